/** @file cost_cache.c @brief Prefixes that one engine has cached. */
#include <glib.h>

#include "cost_cache.h"

enum {
	/* Own sends to one engine of 200,000 tokens are fewer. */
	ENTRIES_MAX = 128,
};

struct entry {
	uint64_t key;
	uint64_t tokens;
	uint64_t size; /* tokens of memory */
	GList link;    /* in ccache.recent */
};

struct ccache {
	GHashTable *entries;
	GQueue recent; /* the most recently used first */
	uint64_t size;
};

struct ccache *ccache_create(void)
{
	struct ccache *cache = g_new0(struct ccache, 1);

	cache->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&cache->recent);
	return cache;
}

void ccache_destroy(struct ccache *cache)
{
	if (cache == NULL)
		return;
	g_hash_table_destroy(cache->entries);
	g_free(cache);
}

uint64_t ccache_get(const struct ccache *cache, uint64_t key)
{
	const struct entry *entry = g_hash_table_lookup(cache->entries, &key);

	return entry ? entry->tokens : 0;
}

static void evict(struct ccache *cache)
{
	struct entry *entry = g_queue_peek_tail(&cache->recent);

	g_queue_unlink(&cache->recent, &entry->link);
	cache->size -= entry->size;
	g_hash_table_remove(cache->entries, &entry->key);
}

void ccache_put(struct ccache *cache, uint64_t key, uint64_t tokens,
		uint64_t size, uint64_t size_max)
{
	struct entry *entry = g_hash_table_lookup(cache->entries, &key);

	if (entry == NULL) {
		entry = g_new0(struct entry, 1);
		entry->key = key;
		entry->link.data = entry;
		g_hash_table_insert(cache->entries, &entry->key, entry);
	} else {
		g_queue_unlink(&cache->recent, &entry->link);
		cache->size -= entry->size;
	}
	entry->tokens = tokens;
	entry->size = size;
	cache->size += size;
	g_queue_push_head_link(&cache->recent, &entry->link);
	while (cache->recent.length > ENTRIES_MAX ||
	       (size_max > 0 && cache->size > size_max &&
		cache->recent.length > 1))
		evict(cache);
}

void ccache_clear(struct ccache *cache)
{
	while (cache->recent.length > 0)
		evict(cache);
}
