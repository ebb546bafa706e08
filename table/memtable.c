/** @file memtable.c @brief In-memory table with transactions. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "memtable.h"

struct entry {
	uint64_t version;
	bool deleted;
	uint8_t *buf;
	size_t len;
};

struct memtable {
	GTree *rows; /* key to struct entry */
	uint64_t version;
};

static int compare_keys(const void *a, const void *b, void *arg)
{
	(void)arg;
	return strcmp(a, b);
}

static void entry_free(void *p)
{
	struct entry *entry = p;

	g_free(entry->buf);
	g_free(entry);
}

struct memtable *memtable_create(void)
{
	struct memtable *table = g_new0(struct memtable, 1);

	table->rows = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
	return table;
}

void memtable_destroy(struct memtable *table)
{
	if (table == NULL)
		return;
	g_tree_unref(table->rows);
	g_free(table);
}

/* Replies are freed by protobuf-c, so their members come from malloc(). */
static void add_row(Aps__TableReply *reply, const char *key,
		    const struct entry *entry)
{
	Aps__Row *row = malloc(sizeof(*row));

	g_assert_nonnull(row);
	aps__row__init(row);
	row->key = strdup(key);
	if (entry != NULL) {
		row->version = entry->version;
		row->deleted = entry->deleted;
		row->value.len = entry->len;
		row->value.data = malloc(entry->len + 1);
		g_assert_nonnull(row->value.data);
		if (entry->len > 0)
			memcpy(row->value.data, entry->buf, entry->len);
	} else {
		row->deleted = true;
	}
	reply->rows = realloc(reply->rows,
			      (reply->n_rows + 1) * sizeof(*reply->rows));
	reply->rows[reply->n_rows++] = row;
}

static void exec_get(struct memtable *table, const Aps__TableRequest *request,
		     Aps__TableReply *reply)
{
	for (size_t i = 0; i < request->n_keys; i++) {
		const char *key = request->keys[i];
		const struct entry *entry = g_tree_lookup(table->rows, key);

		if (entry != NULL && !entry->deleted)
			add_row(reply, key, entry);
	}
}

static void exec_range(struct memtable *table, const Aps__TableRequest *request,
		       Aps__TableReply *reply)
{
	GTreeNode *node = g_tree_lower_bound(table->rows, request->prefix);

	for (; node != NULL; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const struct entry *entry = g_tree_node_value(node);

		if (!g_str_has_prefix(key, request->prefix))
			break;
		if (entry->version <= request->since)
			continue;
		if (entry->deleted && request->since == 0)
			continue;
		add_row(reply, key, entry);
	}
}

static bool check_cond(struct memtable *table, const Aps__Condition *condition,
		       Aps__TableReply *reply)
{
	const struct entry *entry = g_tree_lookup(table->rows, condition->key);
	uint64_t version =
		entry != NULL && !entry->deleted ? entry->version : 0;

	if (version == condition->version)
		return true;
	reply->refused = true;
	add_row(reply, condition->key, entry);
	return false;
}

static void put_row(struct memtable *table, const Aps__Row *row)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->version = table->version;
	entry->deleted = row->deleted;
	entry->len = row->deleted ? 0 : row->value.len;
	entry->buf = g_memdup2(row->value.data, entry->len);
	g_tree_replace(table->rows, g_strdup(row->key), entry);
}

static void exec_txn(struct memtable *table, const Aps__TableRequest *request,
		     Aps__TableReply *reply)
{
	bool ok = true;

	for (size_t i = 0; i < request->n_conditions; i++)
		ok &= check_cond(table, request->conditions[i], reply);
	if (!ok)
		return;
	table->version++;
	for (size_t i = 0; i < request->n_puts; i++)
		put_row(table, request->puts[i]);
}

Aps__TableReply *memtable_request(struct memtable *table,
				  const Aps__TableRequest *request)
{
	Aps__TableReply *reply = malloc(sizeof(*reply));

	g_assert_nonnull(reply);
	aps__table_reply__init(reply);
	switch (request->op) {
	case APS__TABLE_REQUEST__OP__GET:
		exec_get(table, request, reply);
		break;
	case APS__TABLE_REQUEST__OP__RANGE:
		exec_range(table, request, reply);
		break;
	default:
		exec_txn(table, request, reply);
	}
	reply->version = table->version;
	return reply;
}
