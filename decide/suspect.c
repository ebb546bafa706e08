/** @file suspect.c @brief Requests that may crash backend servers. */
#include <string.h>

#include <glib.h>

#include "suspect.h"

enum {
	SERVERS_MOST = 3,  /* the third breaks the habit */
	WINDOW_MS = 20000, /* breaks further apart are chance */
	REFUSED_MS = 60000,
	HELD_MOST = 4096,
};

struct entry {
	GPtrArray *servers;
	int64_t last_at;
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

static bool is_over(const struct entry *entry, int64_t now)
{
	int64_t life =
		entry->servers->len >= SERVERS_MOST ? REFUSED_MS : WINDOW_MS;

	return now - entry->last_at > life;
}

static gboolean drop_over(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return is_over(value, *(int64_t *)now);
}

bool suspect_add(struct suspects *suspects, uint64_t fingerprint,
		 const char *server, int64_t now)
{
	gint64 key = (gint64)fingerprint;
	struct entry *entry = g_hash_table_lookup(suspects->entries, &key);

	if (entry != NULL && is_over(entry, now)) {
		g_hash_table_remove(suspects->entries, &key);
		entry = NULL;
	}
	if (entry == NULL) {
		if (g_hash_table_size(suspects->entries) >= HELD_MOST)
			g_hash_table_foreach_remove(suspects->entries,
						    drop_over, &now);
		if (g_hash_table_size(suspects->entries) >= HELD_MOST)
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
	entry->last_at = now;
	g_ptr_array_add(entry->servers, g_strdup(server));
	return true;
}

bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms)
{
	gint64 key = (gint64)fingerprint;
	struct entry *entry = g_hash_table_lookup(suspects->entries, &key);

	if (entry == NULL || is_over(entry, now) ||
	    entry->servers->len < SERVERS_MOST)
		return false;
	*wait_ms = entry->last_at + REFUSED_MS - now;
	return true;
}

static uint64_t mix(uint64_t hash, const void *data, uint64_t len)
{
	const unsigned char *at = data;

	for (uint64_t i = 0; i < len; i++)
		hash = (hash ^ at[i]) * 0x100000001b3ULL;
	return (hash ^ 0xff) * 0x100000001b3ULL;
}

uint64_t suspect_fingerprint(const char *account, const char *path,
			     const void *body, uint64_t len)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	hash = mix(hash, account, strlen(account));
	hash = mix(hash, path, strlen(path));
	return mix(hash, body, len);
}
