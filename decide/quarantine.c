/** @file quarantine.c @brief Marks on requests that crash backend servers. */
#include <stdio.h>

#include "commit.h"
#include "quarantine.h"

enum {
	QUARANTINE_FINGERPRINT_BYTES = 16,
	QUARANTINE_ENTRIES_MAX = 4096,
};

struct mark {
	uint32_t count;
	int64_t expires_ms;
};

struct marks {
	struct node *node;
	GHashTable *by_print;
};

struct marks *quarantine_create(struct node *node)
{
	struct marks *marks = g_new0(struct marks, 1);

	marks->node = node;
	marks->by_print =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return marks;
}

void quarantine_destroy(struct marks *marks)
{
	if (marks == NULL)
		return;
	g_hash_table_unref(marks->by_print);
	g_free(marks);
}

char *quarantine_fingerprint(const Aps__Request *request)
{
	GString *print = g_string_new(request->account);

	g_string_append_c(print, '/');
	for (size_t i = 0;
	     i < MIN(request->body_hash.len, QUARANTINE_FINGERPRINT_BYTES); i++)
		g_string_append_printf(print, "%02x",
				       request->body_hash.data[i]);
	return g_string_free(print, FALSE);
}

static gboolean mark_expired(void *key, void *value, void *arg)
{
	const struct mark *mark = value;

	(void)key;
	return mark->expires_ms <= *(int64_t *)arg;
}

static void set(struct marks *marks, const char *print, uint32_t count)
{
	struct mark *mark = g_new0(struct mark, 1);
	int64_t now = node_now_ms(marks->node);

	if (g_hash_table_size(marks->by_print) >= QUARANTINE_ENTRIES_MAX)
		g_hash_table_foreach_remove(marks->by_print, mark_expired,
					    &now);
	mark->count = count;
	mark->expires_ms = now + QUARANTINE_MARK_TTL_MS;
	g_hash_table_insert(marks->by_print, g_strdup(print), mark);
}

void quarantine_on_row(struct marks *marks, const Aps__Row *row)
{
	Aps__MarkRow *seen =
		aps__mark_row__unpack(NULL, row->value.len, row->value.data);

	if (row->deleted)
		g_hash_table_remove(marks->by_print, row->key + 4);
	else if (seen != NULL)
		set(marks, row->key + 4, seen->marks);
	if (seen != NULL)
		aps__mark_row__free_unpacked(seen, NULL);
}

uint32_t quarantine_crash_count(struct marks *marks, const char *fingerprint)
{
	struct mark *mark = g_hash_table_lookup(marks->by_print, fingerprint);

	if (mark == NULL || mark->expires_ms <= node_now_ms(marks->node))
		return 0;
	return mark->count;
}

void quarantine_add_crash(struct marks *marks, const char *fingerprint)
{
	Aps__MarkRow row = APS__MARK_ROW__INIT;
	char *key = g_strdup_printf("n/m/%s", fingerprint);
	uint8_t buf[64];

	row.marks = quarantine_crash_count(marks, fingerprint) + 1;
	set(marks, fingerprint, row.marks);
	if (row.marks == QUARANTINE_THRESHOLD) {
		node_counter_add(marks->node, NODE_QUARANTINED, 1);
		node_log(marks->node, "marks: %s quarantined", fingerprint);
	}
	commit_put_row(marks->node->commit, key, buf,
		       aps__mark_row__pack(&row, buf), NULL, NULL);
	g_free(key);
}

void quarantine_clear(struct marks *marks, const char *fingerprint)
{
	char *key;

	if (!g_hash_table_remove(marks->by_print, fingerprint))
		return;
	key = g_strdup_printf("n/m/%s", fingerprint);
	commit_put_row(marks->node->commit, key, NULL, 0, NULL, NULL);
	g_free(key);
}
