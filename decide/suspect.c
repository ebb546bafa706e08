/** @file suspect.c @brief Detection of requests that crash backend servers. */
#include <string.h>

#include <glib.h>

#include "suspect.h"

enum {
	REFUSAL_SERVERS = 3,	 /* failures at this many servers */
	CRASH_WINDOW_MS = 20000, /* failures further apart are unrelated */
	REFUSAL_MS = 60000,
	ENTRIES_MAX = 4096,
};

struct entry {
	GPtrArray *servers;
	int64_t last_ms;
};

struct suspects {
	GHashTable *entries; /* fingerprint -> struct entry */
};

static void entry_free(gpointer p)
{
	struct entry *entry = p;

	g_ptr_array_free(entry->servers, TRUE);
	g_free(entry);
}

struct suspects *suspect_create(void)
{
	struct suspects *suspects = g_new0(struct suspects, 1);

	suspects->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, entry_free);
	return suspects;
}

void suspect_destroy(struct suspects *suspects)
{
	if (suspects == NULL)
		return;
	g_hash_table_destroy(suspects->entries);
	g_free(suspects);
}

static bool is_expired(const struct entry *entry, int64_t now)
{
	int64_t lifetime_ms = entry->servers->len >= REFUSAL_SERVERS
				      ? REFUSAL_MS
				      : CRASH_WINDOW_MS;

	return now - entry->last_ms > lifetime_ms;
}

static gboolean remove_if_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return is_expired(value, *(int64_t *)now);
}

bool suspect_add(struct suspects *suspects, uint64_t fingerprint,
		 const char *server, int64_t now)
{
	gint64 key = (gint64)fingerprint;
	struct entry *entry = g_hash_table_lookup(suspects->entries, &key);

	if (entry != NULL && is_expired(entry, now)) {
		g_hash_table_remove(suspects->entries, &key);
		entry = NULL;
	}
	if (entry == NULL) {
		if (g_hash_table_size(suspects->entries) >= ENTRIES_MAX)
			g_hash_table_foreach_remove(suspects->entries,
						    remove_if_expired, &now);
		if (g_hash_table_size(suspects->entries) >= ENTRIES_MAX)
			return false;
		entry = g_new0(struct entry, 1);
		entry->servers = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(suspects->entries,
				    g_memdup2(&key, sizeof(key)), entry);
	}
	for (guint i = 0; i < entry->servers->len; i++) {
		if (strcmp(g_ptr_array_index(entry->servers, i), server) == 0)
			return false;
	}
	entry->last_ms = now;
	g_ptr_array_add(entry->servers, g_strdup(server));
	return true;
}

bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms)
{
	gint64 key = (gint64)fingerprint;
	struct entry *entry = g_hash_table_lookup(suspects->entries, &key);

	if (entry == NULL || is_expired(entry, now) ||
	    entry->servers->len < REFUSAL_SERVERS)
		return false;
	*wait_ms = entry->last_ms + REFUSAL_MS - now;
	return true;
}

static uint64_t hash_bytes(uint64_t hash, const void *data, uint64_t len)
{
	const unsigned char *bytes = data;

	for (uint64_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * 0x100000001b3ULL;
	return (hash ^ 0xff) * 0x100000001b3ULL;
}

uint64_t suspect_fingerprint(const char *account, const char *path,
			     const void *body, uint64_t len)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	hash = hash_bytes(hash, account, strlen(account));
	hash = hash_bytes(hash, path, strlen(path));
	return hash_bytes(hash, body, len);
}
