/** @file quarantine.c @brief Quarantine of requests that crash servers. */
#include <stdio.h>

#include "commit.h"
#include "quarantine.h"

enum {
	QUARANTINE_FINGERPRINT_BYTES = 16,
	QUARANTINE_ENTRIES_MAX = 4096,
};

struct crash_record {
	uint32_t count;
	int64_t expires_ms;
};

struct quarantine {
	struct node *node;
	GHashTable *by_fingerprint; /* struct crash_record */
};

struct quarantine *quarantine_create(struct node *node)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->node = node;
	quarantine->by_fingerprint =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (quarantine == NULL)
		return;
	g_hash_table_unref(quarantine->by_fingerprint);
	g_free(quarantine);
}

char *quarantine_fingerprint(const Aps__Request *request)
{
	GString *fingerprint = g_string_new(request->account);

	g_string_append_c(fingerprint, '/');
	for (size_t i = 0;
	     i < MIN(request->body_hash.len, QUARANTINE_FINGERPRINT_BYTES); i++)
		g_string_append_printf(fingerprint, "%02x",
				       request->body_hash.data[i]);
	return g_string_free(fingerprint, FALSE);
}

static gboolean record_is_expired(void *key, void *value, void *arg)
{
	const struct crash_record *record = value;

	(void)key;
	return record->expires_ms <= *(int64_t *)arg;
}

static void set_count(struct quarantine *quarantine, const char *fingerprint,
		      uint32_t count)
{
	struct crash_record *record = g_new0(struct crash_record, 1);
	int64_t now = node_now_ms(quarantine->node);

	if (g_hash_table_size(quarantine->by_fingerprint) >=
	    QUARANTINE_ENTRIES_MAX)
		g_hash_table_foreach_remove(quarantine->by_fingerprint,
					    record_is_expired, &now);
	record->count = count;
	record->expires_ms = now + QUARANTINE_TTL_MS;
	g_hash_table_insert(quarantine->by_fingerprint, g_strdup(fingerprint),
			    record);
}

void quarantine_on_row(struct quarantine *quarantine, const Aps__Row *row)
{
	Aps__MarkRow *mark_row =
		aps__mark_row__unpack(NULL, row->value.len, row->value.data);

	if (row->deleted)
		g_hash_table_remove(quarantine->by_fingerprint, row->key + 4);
	else if (mark_row != NULL)
		set_count(quarantine, row->key + 4, mark_row->marks);
	if (mark_row != NULL)
		aps__mark_row__free_unpacked(mark_row, NULL);
}

uint32_t quarantine_crash_count(struct quarantine *quarantine,
				const char *fingerprint)
{
	struct crash_record *record =
		g_hash_table_lookup(quarantine->by_fingerprint, fingerprint);

	if (record == NULL ||
	    record->expires_ms <= node_now_ms(quarantine->node))
		return 0;
	return record->count;
}

void quarantine_add_crash(struct quarantine *quarantine,
			  const char *fingerprint)
{
	Aps__MarkRow row = APS__MARK_ROW__INIT;
	char *key = g_strdup_printf("n/m/%s", fingerprint);
	uint8_t buf[64];

	row.marks = quarantine_crash_count(quarantine, fingerprint) + 1;
	set_count(quarantine, fingerprint, row.marks);
	if (row.marks == QUARANTINE_THRESHOLD) {
		node_counter_add(quarantine->node, NODE_QUARANTINED, 1);
		node_log(quarantine->node, "quarantine: refusing request %s",
			 fingerprint);
	}
	commit_put_row(quarantine->node->commit, key, buf,
		       aps__mark_row__pack(&row, buf), NULL, NULL);
	g_free(key);
}

void quarantine_clear(struct quarantine *quarantine, const char *fingerprint)
{
	char *key;

	if (!g_hash_table_remove(quarantine->by_fingerprint, fingerprint))
		return;
	key = g_strdup_printf("n/m/%s", fingerprint);
	commit_put_row(quarantine->node->commit, key, NULL, 0, NULL, NULL);
	g_free(key);
}
