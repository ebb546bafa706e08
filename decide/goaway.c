/** @file goaway.c @brief Backend servers that have announced their shutdown. */
#include <glib.h>

#include "goaway.h"

enum {
	NAMES_MAX = 4096, /* the oldest announcement goes first */
};

struct goaway {
	GHashTable *latest; /* name -> latest possible start, int64_t */
};

struct goaway *goaway_create(void)
{
	struct goaway *goaway = g_new0(struct goaway, 1);

	goaway->latest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return goaway;
}

void goaway_destroy(struct goaway *goaway)
{
	if (goaway == NULL)
		return;
	g_hash_table_destroy(goaway->latest);
	g_free(goaway);
}

static void drop_oldest(struct goaway *goaway)
{
	const int64_t *oldest = NULL;
	gpointer oldest_name = NULL;
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, goaway->latest);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const int64_t *latest = value;

		if (oldest != NULL && *latest >= *oldest)
			continue;
		oldest = latest;
		oldest_name = name;
	}
	if (oldest_name != NULL)
		g_hash_table_remove(goaway->latest, oldest_name);
}

void goaway_note(struct goaway *goaway, const char *name, int64_t started_ms)
{
	int64_t *latest = g_hash_table_lookup(goaway->latest, name);

	if (latest != NULL) {
		*latest = MAX(*latest, started_ms);
		return;
	}
	if (g_hash_table_size(goaway->latest) >= NAMES_MAX)
		drop_oldest(goaway);
	latest = g_new(int64_t, 1);
	*latest = started_ms;
	g_hash_table_insert(goaway->latest, g_strdup(name), latest);
}

bool goaway_has(const struct goaway *goaway, const char *name,
		int64_t started_ms)
{
	const int64_t *latest = g_hash_table_lookup(goaway->latest, name);

	return latest != NULL && started_ms <= *latest;
}
