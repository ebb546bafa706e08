/** @file rowstore.c @brief Stand-in for the platform's store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "rowstore.h"
#include "serve/clock.h"
#include "serve/inbound.h"

enum {
	ROWS_MOST = 500, /* in one answer */
	ENTRIES_MOST = 100,
	CALL_BYTES_MOST = 1000000,
	ROW_BYTES_MOST = 65536,
	FEED_TICK_MS = 5,
};

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL: removed */
	int64_t version;
};

/* A feed that waits for news. */
struct feed {
	struct in_request *request;
	char *table;
	int64_t after;
	int64_t until;
};

/* A call that is not looked at before its time. */
struct late {
	struct in_request *request;
	int64_t at;
};

struct rowstore {
	struct event_base *base;
	struct in *in;
	struct in *door; /* the second address */
	bool door_closed;
	struct event *tick;
	enum rowstore_mode mode;
	GTree *rows; /* "table\npart\nkey" -> struct row */
	int64_t version;
	int64_t oldest;	 /* history before it is gone */
	int64_t ahead;	 /* of our clock */
	int64_t slow_ms; /* before a call is looked at */
	GQueue late;	 /* of struct late, in order of time */
	GPtrArray *feeds;
};

static void row_free(gpointer p)
{
	struct row *row = p;

	g_free(row->table);
	g_free(row->part);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static struct row *find(const struct rowstore *rowstore, const char *table,
			const char *part, const char *key)
{
	char *name = g_strdup_printf("%s\n%s\n%s", table, part, key);
	struct row *row = g_tree_lookup(rowstore->rows, name);

	g_free(name);
	return row;
}

static void store(struct rowstore *rowstore, const char *table,
		  const char *part, const char *key, const char *value)
{
	struct row *row = g_new0(struct row, 1);

	row->table = g_strdup(table);
	row->part = g_strdup(part);
	row->key = g_strdup(key);
	row->value = g_strdup(value);
	row->version = rowstore->version;
	g_tree_replace(rowstore->rows,
		       g_strdup_printf("%s\n%s\n%s", table, part, key), row);
}

static json_object *row_json(const struct row *row)
{
	json_object *object = json_object_new_object();

	json_object_object_add(object, "table",
			       json_object_new_string(row->table));
	json_object_object_add(object, "part",
			       json_object_new_string(row->part));
	json_object_object_add(object, "key", json_object_new_string(row->key));
	json_object_object_add(object, "ver",
			       json_object_new_int64(row->version));
	if (row->value != NULL)
		json_object_object_add(object, "value",
				       json_object_new_string(row->value));
	else
		json_object_object_add(object, "removed",
				       json_object_new_boolean(true));
	return object;
}

static void answer(struct rowstore *rowstore, struct in_request *request,
		   int status, json_object *rows, bool more)
{
	json_object *root = json_object_new_object();
	const char *text;

	if (rows != NULL)
		json_object_object_add(root, "rows", rows);
	json_object_object_add(root, "has_more", json_object_new_boolean(more));
	json_object_object_add(root, "ver",
			       json_object_new_int64(rowstore->version));
	json_object_object_add(
		root, "now_ms",
		json_object_new_int64(clock_boot_ms() + rowstore->ahead));
	text = json_object_to_json_string(root);
	in_reply(request, status, "Content-Type: application/json\r\n", text,
		 strlen(text));
	json_object_put(root);
}

/* The value of a query's field, or "". */
static char *field(const struct in_request *request, const char *name)
{
	const char *query = strchr(request->target, '?');
	char **pairs = g_strsplit(query ? query + 1 : "", "&", -1);
	size_t len = strlen(name);
	char *value = NULL;

	for (char **p = pairs; *p != NULL && value == NULL; p++) {
		if (strncmp(*p, name, len) == 0 && (*p)[len] == '=')
			value = g_uri_unescape_string(*p + len + 1, NULL);
	}
	g_strfreev(pairs);
	return value ? value : g_strdup("");
}

struct scan {
	const char *table;
	const char *part;
	const char *from;
	const char *to;
	int64_t after; /* -1: rows that are there; else newer ones */
	json_object *rows;
	size_t bytes;
	bool more;
};

static gboolean scan_row(gpointer name, gpointer value, gpointer arg)
{
	const struct row *row = value;
	struct scan *scan = arg;

	(void)name;
	if (strcmp(row->table, scan->table) != 0)
		return FALSE;
	if (scan->after >= 0) {
		if (row->version > scan->after)
			json_object_array_add(scan->rows, row_json(row));
		return FALSE;
	}
	if (row->value == NULL || strcmp(row->part, scan->part) != 0 ||
	    strcmp(row->key, scan->from) < 0 ||
	    (*scan->to != '\0' && strcmp(row->key, scan->to) >= 0))
		return FALSE;
	scan->bytes += strlen(row->value);
	if (json_object_array_length(scan->rows) >= ROWS_MOST ||
	    (scan->bytes > CALL_BYTES_MOST &&
	     json_object_array_length(scan->rows) > 0)) {
		scan->more = true;
		return TRUE;
	}
	json_object_array_add(scan->rows, row_json(row));
	return FALSE;
}

static void get(struct rowstore *rowstore, struct in_request *request)
{
	char *table = field(request, "table");
	char *part = field(request, "part");
	char *from = field(request, "from");
	char *to = field(request, "to");
	struct scan scan = {table, part, from, to, -1, json_object_new_array(),
			    0,	   false};

	g_tree_foreach(rowstore->rows, scan_row, &scan);
	answer(rowstore, request, 200, scan.rows, scan.more);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(to);
}

struct part_scan {
	const char *table;
	GHashTable *seen;
	json_object *parts;
};

static gboolean scan_part(gpointer name, gpointer value, gpointer arg)
{
	const struct row *row = value;
	struct part_scan *scan = arg;

	(void)name;
	if (row->value != NULL && strcmp(row->table, scan->table) == 0 &&
	    g_hash_table_add(scan->seen, row->part))
		json_object_array_add(scan->parts,
				      json_object_new_string(row->part));
	return FALSE;
}

/* All parts in one answer. */
static void list_parts(struct rowstore *rowstore, struct in_request *request)
{
	char *table = field(request, "table");
	struct part_scan scan = {table,
				 g_hash_table_new(g_str_hash, g_str_equal),
				 json_object_new_array()};
	json_object *root = json_object_new_object();
	const char *text;

	g_tree_foreach(rowstore->rows, scan_part, &scan);
	json_object_object_add(root, "parts", scan.parts);
	json_object_object_add(root, "has_more",
			       json_object_new_boolean(false));
	text = json_object_to_json_string(root);
	in_reply(request, 200, "Content-Type: application/json\r\n", text,
		 strlen(text));
	json_object_put(root);
	g_hash_table_destroy(scan.seen);
	g_free(table);
}

static void feed_free(gpointer p)
{
	struct feed *feed = p;

	g_free(feed->table);
	g_free(feed);
}

/* Returns true if the feed was answered. */
static bool feed_step(struct rowstore *rowstore, struct feed *feed)
{
	struct scan scan = {feed->table, "",   "", "",
			    feed->after, NULL, 0,  false};

	scan.rows = json_object_new_array();
	g_tree_foreach(rowstore->rows, scan_row, &scan);
	if (json_object_array_length(scan.rows) == 0 &&
	    clock_boot_ms() < feed->until) {
		json_object_put(scan.rows);
		return false;
	}
	answer(rowstore, feed->request, 200, scan.rows, false);
	return true;
}

static void follow(struct rowstore *rowstore, struct in_request *request)
{
	struct feed *feed = g_new0(struct feed, 1);
	char *after = field(request, "after");
	char *wait = field(request, "wait_ms");

	feed->request = request;
	feed->table = field(request, "table");
	feed->after = g_ascii_strtoll(after, NULL, 10);
	feed->until = clock_boot_ms() + g_ascii_strtoll(wait, NULL, 10);
	g_free(after);
	g_free(wait);
	if (feed->after < rowstore->oldest) {
		answer(rowstore, request, 410, NULL, false);
		feed_free(feed);
	} else if (feed_step(rowstore, feed)) {
		feed_free(feed);
	} else {
		g_ptr_array_add(rowstore->feeds, feed);
	}
}

static const char *text(json_object *object, const char *name)
{
	json_object *value;

	return json_object_object_get_ex(object, name, &value)
		       ? json_object_get_string(value)
		       : "";
}

static json_object *list(json_object *root, const char *name)
{
	json_object *value;

	return json_object_object_get_ex(root, name, &value) ? value : NULL;
}

static size_t length(json_object *array)
{
	return array ? json_object_array_length(array) : 0;
}

/* Whether all conditions hold; the rows they name go into @p rows. */
static bool holds(struct rowstore *rowstore, json_object *expected,
		  json_object *rows)
{
	bool ok = true;

	for (size_t i = 0; i < length(expected); i++) {
		json_object *one = json_object_array_get_idx(expected, i);
		struct row *row = find(rowstore, text(one, "table"),
				       text(one, "part"), text(one, "key"));
		json_object *version = list(one, "ver");
		int64_t now = row && row->value ? row->version : 0;

		ok &= now == json_object_get_int64(version);
		if (now > 0)
			json_object_array_add(rows, row_json(row));
	}
	return ok;
}

/* Whether a transaction is within the published bounds. */
static bool fits(const struct in_request *request, json_object *expected,
		 json_object *put, json_object *drop)
{
	if (request->body->len > CALL_BYTES_MOST ||
	    length(expected) + length(put) + length(drop) > ENTRIES_MOST)
		return false;
	for (size_t i = 0; i < length(put); i++) {
		if (strlen(text(json_object_array_get_idx(put, i), "value")) >
		    ROW_BYTES_MOST)
			return false;
	}
	return true;
}

static void transact(struct rowstore *rowstore, struct in_request *request)
{
	char *body = g_strndup((const char *)request->body->data,
			       request->body->len);
	json_object *root = json_tokener_parse(body);
	json_object *rows = json_object_new_array();
	json_object *put = list(root, "set_keys");
	json_object *drop = list(root, "remove");

	g_free(body);
	if (!fits(request, list(root, "expected_rev"), put, drop)) {
		json_object_put(root);
		json_object_put(rows);
		answer(rowstore, request, 413, NULL, false);
		return;
	}
	if (!holds(rowstore, list(root, "expected_rev"), rows)) {
		json_object_put(root);
		answer(rowstore, request, 412, rows, false);
		return;
	}
	rowstore->version++;
	for (size_t i = 0; i < length(put); i++) {
		json_object *one = json_object_array_get_idx(put, i);

		store(rowstore, text(one, "table"), text(one, "part"),
		      text(one, "key"), text(one, "value"));
	}
	for (size_t i = 0; i < length(drop); i++) {
		json_object *one = json_object_array_get_idx(drop, i);

		store(rowstore, text(one, "table"), text(one, "part"),
		      text(one, "key"), NULL);
	}
	json_object_put(root);
	json_object_put(rows);
	if (rowstore->mode != ROWSTORE_LOSE_RESPONSE)
		answer(rowstore, request, 200, NULL, false);
}

static void take(struct rowstore *rowstore, struct in_request *request)
{
	if (rowstore->mode == ROWSTORE_NO_RESPONSE)
		return;
	if (rowstore->mode == ROWSTORE_UNAVAILABLE)
		in_reply(request, 503, "", NULL, 0);
	else if (g_str_has_prefix(request->target, "/v1/rows-get?"))
		get(rowstore, request);
	else if (g_str_has_prefix(request->target, "/v1/rows-parts?"))
		list_parts(rowstore, request);
	else if (g_str_has_prefix(request->target, "/v1/rows-feed?"))
		follow(rowstore, request);
	else if (strcmp(request->target, "/v1/rows-tx") == 0)
		transact(rowstore, request);
	else
		in_reply(request, 404, "", NULL, 0);
}

static void on_request(void *arg, struct in_request *request)
{
	struct rowstore *rowstore = arg;
	struct late *late;

	if (rowstore->slow_ms == 0) {
		take(rowstore, request);
		return;
	}
	late = g_new(struct late, 1);
	late->request = request;
	late->at = clock_boot_ms() + rowstore->slow_ms;
	g_queue_push_tail(&rowstore->late, late);
}

static void take_late(struct rowstore *rowstore)
{
	struct late *late;

	while ((late = g_queue_peek_head(&rowstore->late)) != NULL &&
	       late->at <= clock_boot_ms()) {
		g_queue_pop_head(&rowstore->late);
		take(rowstore, late->request);
		g_free(late);
	}
}

static void forget_late(struct rowstore *rowstore,
			const struct in_request *request)
{
	for (GList *l = rowstore->late.head; l != NULL; l = l->next) {
		struct late *late = l->data;

		if (late->request != request)
			continue;
		g_free(late);
		g_queue_delete_link(&rowstore->late, l);
		return;
	}
}

static void on_door_request(void *arg, struct in_request *request)
{
	struct rowstore *rowstore = arg;

	if (rowstore->door_closed)
		in_reply(request, 503, "", NULL, 0);
	else
		on_request(arg, request);
}

static void on_gone(void *arg, struct in_request *request)
{
	struct rowstore *rowstore = arg;

	forget_late(rowstore, request);
	for (guint i = 0; i < rowstore->feeds->len; i++) {
		struct feed *feed = g_ptr_array_index(rowstore->feeds, i);

		if (feed->request != request)
			continue;
		g_ptr_array_remove_index_fast(rowstore->feeds, i);
		return;
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct rowstore *rowstore = arg;

	(void)fd;
	(void)what;
	take_late(rowstore);
	for (guint i = rowstore->feeds->len; i > 0; i--) {
		struct feed *feed = g_ptr_array_index(rowstore->feeds, i - 1);

		if (rowstore->mode != ROWSTORE_NO_RESPONSE &&
		    feed_step(rowstore, feed))
			g_ptr_array_remove_index_fast(rowstore->feeds, i - 1);
	}
}

struct rowstore *rowstore_create(struct event_base *base, const char *address)
{
	static const struct in_handler handler = {on_request, on_gone};
	struct timeval tv = {.tv_usec = FEED_TICK_MS * 1000};
	struct rowstore *rowstore = g_new0(struct rowstore, 1);

	rowstore->in = in_create(base, address, &handler, rowstore);
	if (rowstore->in == NULL) {
		g_free(rowstore);
		return NULL;
	}
	rowstore->base = base;
	rowstore->version = 1;
	rowstore->rows = g_tree_new_full(compare, NULL, g_free, row_free);
	rowstore->feeds = g_ptr_array_new_with_free_func(feed_free);
	rowstore->tick = event_new(base, -1, EV_PERSIST, on_tick, rowstore);
	event_add(rowstore->tick, &tv);
	return rowstore;
}

void rowstore_destroy(struct rowstore *rowstore)
{
	if (rowstore == NULL)
		return;
	in_destroy(rowstore->in);
	in_destroy(rowstore->door);
	event_free(rowstore->tick);
	g_queue_clear_full(&rowstore->late, g_free);
	g_ptr_array_free(rowstore->feeds, TRUE);
	g_tree_destroy(rowstore->rows);
	g_free(rowstore);
}

void rowstore_listen_alternate(struct rowstore *rowstore, const char *address)
{
	static const struct in_handler handler = {on_door_request, on_gone};

	rowstore->door = in_create(rowstore->base, address, &handler, rowstore);
}

void rowstore_block_alternate(struct rowstore *rowstore, bool closed)
{
	rowstore->door_closed = closed;
}

void rowstore_set_delay(struct rowstore *rowstore, int64_t ms)
{
	rowstore->slow_ms = ms;
}

void rowstore_set_mode(struct rowstore *rowstore, enum rowstore_mode mode)
{
	rowstore->mode = mode;
	while (mode == ROWSTORE_UNAVAILABLE && rowstore->feeds->len > 0) {
		struct feed *feed = g_ptr_array_index(rowstore->feeds, 0);

		in_reply(feed->request, 503, "", NULL, 0);
		g_ptr_array_remove_index_fast(rowstore->feeds, 0);
	}
}

void rowstore_put(struct rowstore *rowstore, const char *table,
		  const char *part, const char *key, const char *value)
{
	char *encoded =
		value ? g_base64_encode((const guchar *)value, strlen(value))
		      : NULL;

	rowstore->version++;
	store(rowstore, table, part, key, encoded);
	g_free(encoded);
}

void rowstore_compact(struct rowstore *rowstore)
{
	rowstore->oldest = rowstore->version + 1;
	rowstore->version++;
}

struct count {
	const char *table;
	guint n;
};

static gboolean count_row(gpointer name, gpointer value, gpointer arg)
{
	const struct row *row = value;
	struct count *count = arg;

	(void)name;
	count->n += row->value && strcmp(row->table, count->table) == 0;
	return FALSE;
}

guint rowstore_count_rows(const struct rowstore *rowstore, const char *table)
{
	struct count count = {table, 0};

	g_tree_foreach(rowstore->rows, count_row, &count);
	return count.n;
}

void rowstore_advance_clock(struct rowstore *rowstore, int64_t ms)
{
	rowstore->ahead += ms;
}

int64_t rowstore_version(const struct rowstore *rowstore)
{
	return rowstore->version;
}

struct drop {
	int64_t version;
};

static gboolean drop_row(gpointer name, gpointer value, gpointer arg)
{
	struct row *row = value;
	const struct drop *drop = arg;

	(void)name;
	if (g_str_has_prefix(row->table, "aps-") &&
	    row->version <= drop->version)
		g_clear_pointer(&row->value, g_free);
	return FALSE;
}

void rowstore_remove_up_to(struct rowstore *rowstore, int64_t version)
{
	struct drop drop = {version};

	g_tree_foreach(rowstore->rows, drop_row, &drop);
}
