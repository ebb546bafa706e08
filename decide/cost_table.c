/** @file cost_table.c @brief Bounded table of learned request sizes. */
#include <math.h>

#include "cost_table.h"

enum {
	/* Half-life of observations: usage changes over a day. */
	HALF_LIFE_MS = 600000,
	/* Classes that are spared at most when one must go. */
	SPARED_MAX = 8,
};

struct cost_table {
	GHashTable *classes;
	GQueue recent; /* the most recently updated first */
	guint classes_max;
};

struct cost_table *cost_table_create(guint classes_max)
{
	struct cost_table *table = g_new0(struct cost_table, 1);

	table->classes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&table->recent);
	table->classes_max = classes_max;
	return table;
}

void cost_table_destroy(struct cost_table *table)
{
	g_hash_table_destroy(table->classes);
	g_free(table);
}

double cost_age_factor(int64_t age_ms)
{
	return age_ms > 0 ? exp2(-(double)age_ms / HALF_LIFE_MS) : 1;
}

static void fade(struct cost_class *entry, double factor)
{
	cstat_fade(&entry->size, factor);
	cstat_fade(&entry->hint, factor);
	cstat_fade(&entry->mean, factor);
}

struct cost_class *cost_table_get(struct cost_table *table, uint64_t key,
				  uint32_t epoch)
{
	struct cost_class *entry = g_hash_table_lookup(table->classes, &key);

	if (entry != NULL && entry->epoch != epoch) {
		fade(entry, COST_RELEASE_FACTOR);
		entry->epoch = epoch;
	}
	return entry;
}

/* Removes the class that was updated least recently, but spares those that were
 * updated more than once: ids that never repeat must not displace the others.
 */
static void evict(struct cost_table *table)
{
	struct cost_class *entry = g_queue_peek_tail(&table->recent);

	for (int i = 0; i < SPARED_MAX && entry->size.weight > 1.5F; i++) {
		g_queue_unlink(&table->recent, &entry->link);
		fade(entry, 0.5);
		g_queue_push_head_link(&table->recent, &entry->link);
		entry = g_queue_peek_tail(&table->recent);
	}
	g_queue_unlink(&table->recent, &entry->link);
	g_hash_table_remove(table->classes, &entry->key);
}

static struct cost_class *add_class(struct cost_table *table, uint64_t key,
				    uint32_t epoch, int64_t now_ms)
{
	struct cost_class *entry = g_new0(struct cost_class, 1);

	if (g_hash_table_size(table->classes) >= table->classes_max)
		evict(table);
	entry->key = key;
	entry->high_z = COST_HIGH_Z;
	entry->epoch = epoch;
	entry->updated_ms = now_ms;
	entry->link.data = entry;
	g_hash_table_insert(table->classes, &entry->key, entry);
	g_queue_push_head_link(&table->recent, &entry->link);
	return entry;
}

struct cost_class *cost_table_touch(struct cost_table *table, uint64_t key,
				    uint32_t epoch, int64_t now_ms)
{
	struct cost_class *entry = cost_table_get(table, key, epoch);

	if (entry == NULL)
		return add_class(table, key, epoch, now_ms);
	fade(entry, cost_age_factor(now_ms - entry->updated_ms));
	entry->updated_ms = now_ms;
	g_queue_unlink(&table->recent, &entry->link);
	g_queue_push_head_link(&table->recent, &entry->link);
	return entry;
}

guint cost_table_count(const struct cost_table *table)
{
	return g_hash_table_size(table->classes);
}
