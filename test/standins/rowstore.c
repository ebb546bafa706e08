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
	struct inbound_request *request;
	char *table;
	int64_t after;
	int64_t until;
};

/* A call that is not looked at before its time. */
struct late {
	struct inbound_request *request;
	int64_t at;
};

struct srs {
	struct event_base *base;
	struct inbound *inbound;
	struct inbound *door; /* the second address */
	bool door_closed;
	struct event *tick;
	enum srs_mode mode;
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

static struct row *find(const struct srs *srs, const char *table,
			const char *part, const char *key)
{
	char *name = g_strdup_printf("%s\n%s\n%s", table, part, key);
	struct row *row = g_tree_lookup(srs->rows, name);

	g_free(name);
	return row;
}

static void store(struct srs *srs, const char *table, const char *part,
		  const char *key, const char *value)
{
	struct row *row = g_new0(struct row, 1);

	row->table = g_strdup(table);
	row->part = g_strdup(part);
	row->key = g_strdup(key);
	row->value = g_strdup(value);
	row->version = srs->version;
	g_tree_replace(srs->rows,
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

static void answer(struct srs *srs, struct inbound_request *request, int status,
		   json_object *rows, bool more)
{
	json_object *root = json_object_new_object();
	const char *text;

	if (rows != NULL)
		json_object_object_add(root, "rows", rows);
	json_object_object_add(root, "has_more", json_object_new_boolean(more));
	json_object_object_add(root, "ver",
			       json_object_new_int64(srs->version));
	json_object_object_add(
		root, "now_ms",
		json_object_new_int64(clock_boot_ms() + srs->ahead));
	text = json_object_to_json_string(root);
	inbound_reply(request, status, "Content-Type: application/json\r\n",
		      text, strlen(text));
	json_object_put(root);
}

/* The value of a query's field, or "". */
static char *field(const struct inbound_request *request, const char *name)
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

static void get(struct srs *srs, struct inbound_request *request)
{
	char *table = field(request, "table");
	char *part = field(request, "part");
	char *from = field(request, "from");
	char *to = field(request, "to");
	struct scan scan = {table, part, from, to, -1, json_object_new_array(),
			    0,	   false};

	g_tree_foreach(srs->rows, scan_row, &scan);
	answer(srs, request, 200, scan.rows, scan.more);
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
static void list_parts(struct srs *srs, struct inbound_request *request)
{
	char *table = field(request, "table");
	struct part_scan scan = {table,
				 g_hash_table_new(g_str_hash, g_str_equal),
				 json_object_new_array()};
	json_object *root = json_object_new_object();
	const char *text;

	g_tree_foreach(srs->rows, scan_part, &scan);
	json_object_object_add(root, "parts", scan.parts);
	json_object_object_add(root, "has_more",
			       json_object_new_boolean(false));
	text = json_object_to_json_string(root);
	inbound_reply(request, 200, "Content-Type: application/json\r\n", text,
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
static bool feed_step(struct srs *srs, struct feed *feed)
{
	struct scan scan = {feed->table, "",   "", "",
			    feed->after, NULL, 0,  false};

	scan.rows = json_object_new_array();
	g_tree_foreach(srs->rows, scan_row, &scan);
	if (json_object_array_length(scan.rows) == 0 &&
	    clock_boot_ms() < feed->until) {
		json_object_put(scan.rows);
		return false;
	}
	answer(srs, feed->request, 200, scan.rows, false);
	return true;
}

static void follow(struct srs *srs, struct inbound_request *request)
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
	if (feed->after < srs->oldest) {
		answer(srs, request, 410, NULL, false);
		feed_free(feed);
	} else if (feed_step(srs, feed)) {
		feed_free(feed);
	} else {
		g_ptr_array_add(srs->feeds, feed);
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
static bool holds(struct srs *srs, json_object *expected, json_object *rows)
{
	bool ok = true;

	for (size_t i = 0; i < length(expected); i++) {
		json_object *one = json_object_array_get_idx(expected, i);
		struct row *row = find(srs, text(one, "table"),
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
static bool fits(const struct inbound_request *request, json_object *expected,
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

static void transact(struct srs *srs, struct inbound_request *request)
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
		answer(srs, request, 413, NULL, false);
		return;
	}
	if (!holds(srs, list(root, "expected_rev"), rows)) {
		json_object_put(root);
		answer(srs, request, 412, rows, false);
		return;
	}
	srs->version++;
	for (size_t i = 0; i < length(put); i++) {
		json_object *one = json_object_array_get_idx(put, i);

		store(srs, text(one, "table"), text(one, "part"),
		      text(one, "key"), text(one, "value"));
	}
	for (size_t i = 0; i < length(drop); i++) {
		json_object *one = json_object_array_get_idx(drop, i);

		store(srs, text(one, "table"), text(one, "part"),
		      text(one, "key"), NULL);
	}
	json_object_put(root);
	json_object_put(rows);
	if (srs->mode != SRS_LOST)
		answer(srs, request, 200, NULL, false);
}

static void take(struct srs *srs, struct inbound_request *request)
{
	if (srs->mode == SRS_SILENT)
		return;
	if (srs->mode == SRS_BUSY)
		inbound_reply(request, 503, "", NULL, 0);
	else if (g_str_has_prefix(request->target, "/v1/rows-get?"))
		get(srs, request);
	else if (g_str_has_prefix(request->target, "/v1/rows-parts?"))
		list_parts(srs, request);
	else if (g_str_has_prefix(request->target, "/v1/rows-feed?"))
		follow(srs, request);
	else if (strcmp(request->target, "/v1/rows-tx") == 0)
		transact(srs, request);
	else
		inbound_reply(request, 404, "", NULL, 0);
}

static void on_request(void *arg, struct inbound_request *request)
{
	struct srs *srs = arg;
	struct late *late;

	if (srs->slow_ms == 0) {
		take(srs, request);
		return;
	}
	late = g_new(struct late, 1);
	late->request = request;
	late->at = clock_boot_ms() + srs->slow_ms;
	g_queue_push_tail(&srs->late, late);
}

static void take_late(struct srs *srs)
{
	struct late *late;

	while ((late = g_queue_peek_head(&srs->late)) != NULL &&
	       late->at <= clock_boot_ms()) {
		g_queue_pop_head(&srs->late);
		take(srs, late->request);
		g_free(late);
	}
}

static void forget_late(struct srs *srs, const struct inbound_request *request)
{
	for (GList *l = srs->late.head; l != NULL; l = l->next) {
		struct late *late = l->data;

		if (late->request != request)
			continue;
		g_free(late);
		g_queue_delete_link(&srs->late, l);
		return;
	}
}

static void on_door_request(void *arg, struct inbound_request *request)
{
	struct srs *srs = arg;

	if (srs->door_closed)
		inbound_reply(request, 503, "", NULL, 0);
	else
		on_request(arg, request);
}

static void on_gone(void *arg, struct inbound_request *request)
{
	struct srs *srs = arg;

	forget_late(srs, request);
	for (guint i = 0; i < srs->feeds->len; i++) {
		struct feed *feed = g_ptr_array_index(srs->feeds, i);

		if (feed->request != request)
			continue;
		g_ptr_array_remove_index_fast(srs->feeds, i);
		return;
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct srs *srs = arg;

	(void)fd;
	(void)what;
	take_late(srs);
	for (guint i = srs->feeds->len; i > 0; i--) {
		struct feed *feed = g_ptr_array_index(srs->feeds, i - 1);

		if (srs->mode != SRS_SILENT && feed_step(srs, feed))
			g_ptr_array_remove_index_fast(srs->feeds, i - 1);
	}
}

struct srs *srs_create(struct event_base *base, const char *address)
{
	static const struct inbound_handler handler = {on_request, on_gone};
	struct timeval tv = {.tv_usec = FEED_TICK_MS * 1000};
	struct srs *srs = g_new0(struct srs, 1);

	srs->inbound = inbound_create(base, address, &handler, srs);
	if (srs->inbound == NULL) {
		g_free(srs);
		return NULL;
	}
	srs->base = base;
	srs->version = 1;
	srs->rows = g_tree_new_full(compare, NULL, g_free, row_free);
	srs->feeds = g_ptr_array_new_with_free_func(feed_free);
	srs->tick = event_new(base, -1, EV_PERSIST, on_tick, srs);
	event_add(srs->tick, &tv);
	return srs;
}

void srs_destroy(struct srs *srs)
{
	if (srs == NULL)
		return;
	inbound_destroy(srs->inbound);
	inbound_destroy(srs->door);
	event_free(srs->tick);
	g_queue_clear_full(&srs->late, g_free);
	g_ptr_array_free(srs->feeds, TRUE);
	g_tree_destroy(srs->rows);
	g_free(srs);
}

void srs_open_door(struct srs *srs, const char *address)
{
	static const struct inbound_handler handler = {on_door_request,
						       on_gone};

	srs->door = inbound_create(srs->base, address, &handler, srs);
}

void srs_close_door(struct srs *srs, bool closed)
{
	srs->door_closed = closed;
}

void srs_set_slow(struct srs *srs, int64_t ms)
{
	srs->slow_ms = ms;
}

void srs_set_mode(struct srs *srs, enum srs_mode mode)
{
	srs->mode = mode;
	while (mode == SRS_BUSY && srs->feeds->len > 0) {
		struct feed *feed = g_ptr_array_index(srs->feeds, 0);

		inbound_reply(feed->request, 503, "", NULL, 0);
		g_ptr_array_remove_index_fast(srs->feeds, 0);
	}
}

void srs_put(struct srs *srs, const char *table, const char *part,
	     const char *key, const char *value)
{
	char *encoded =
		value ? g_base64_encode((const guchar *)value, strlen(value))
		      : NULL;

	srs->version++;
	store(srs, table, part, key, encoded);
	g_free(encoded);
}

void srs_compact(struct srs *srs)
{
	srs->oldest = srs->version + 1;
	srs->version++;
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

guint srs_rows(const struct srs *srs, const char *table)
{
	struct count count = {table, 0};

	g_tree_foreach(srs->rows, count_row, &count);
	return count.n;
}

void srs_advance(struct srs *srs, int64_t ms)
{
	srs->ahead += ms;
}

int64_t srs_version(const struct srs *srs)
{
	return srs->version;
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

void srs_drop_until(struct srs *srs, int64_t version)
{
	struct drop drop = {version};

	g_tree_foreach(srs->rows, drop_row, &drop);
}
