/** @file watcher.c @brief Watches the configuration and the server list. */
#include <string.h>

#include <json-c/json.h>

#include "clock.h"
#include "decide/catdiff.h"
#include "platform/wire.h"
#include "slog.h"
#include "stats.h"
#include "watcher.h"

enum {
	CONFIG_POLL_MS = 1000,	/* bounds the age of the configuration */
	SERVERS_POLL_MS = 1500, /* bounds the time until a dead feed ends */
	RETRY_DELAY_MS = 60,
	PROBE_POLL_MS = 20, /* while the store seems to be unreachable */
	/* Servers whose entries expired in an outage are listed again by then.
	 */
	REREGISTER_MS = 2000,
	ZONE_COLD_MS = 4000, /* for servers of a zone that is back in service */
};

/* One table that is read completely and then followed. */
struct table_watch {
	struct watcher *watcher;
	const char *table;
	int64_t poll_ms;
	void (*on_row)(struct watcher *watcher, const struct store_row *row);
	void (*on_read)(struct watcher *watcher); /* all rows were read */
	struct store_call *call;
	struct event *retry_timer; /* the next call after a failure */
	GHashTable *seen;	   /* zones or ids found by a complete read */
	bool following; /* read completely; the feed brings changes */
	int64_t version;
	int64_t confirmed_ms; /* when the last call with a response was sent */
	bool failed;	      /* the last call */
	char *next_key; /* of a read of several pages; NULL: the first page */
};

struct watcher {
	struct store *store;
	struct fleet *fleet;
	watcher_callback *callback;
	void *arg;
	struct table_watch config;
	struct table_watch servers;
	struct catalog *catalog;
	GHashTable *evacuated_zones;
	GHashTable *missing_servers; /* ids, to be removed by the timer */
	struct event *removal_timer;
};

static void send_call(struct table_watch *watch);

static void schedule_call(struct table_watch *watch, int64_t delay_ms)
{
	struct timeval tv = clock_timeval(delay_ms);

	event_add(watch->retry_timer, &tv);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_call(arg);
}

/* Handles a page of a complete read. */
static void on_page(struct table_watch *watch,
		    const struct store_response *reply)
{
	g_clear_pointer(&watch->next_key, g_free);
	if (reply->more && reply->rows->len > 0) {
		const struct store_row *last = &g_array_index(
			reply->rows, struct store_row, reply->rows->len - 1);

		watch->next_key = store_key_after(last->key);
		return;
	}
	watch->on_read(watch->watcher);
	watch->following = true;
}

static void on_reply(void *arg, const struct store_response *reply)
{
	struct table_watch *watch = arg;
	bool first_page = watch->next_key == NULL;

	watch->call = NULL;
	if (reply->result == STORE_FEED_GAP) {
		slog("history_lost", NULL, "\"table\":\"%s\"", watch->table);
		watch->following = false;
		g_hash_table_remove_all(watch->seen);
	} else if (reply->result != STORE_OK) {
		watch->failed = true;
		schedule_call(watch, RETRY_DELAY_MS);
		return;
	} else {
		watch->failed = false;
		for (guint i = 0; i < reply->rows->len; i++)
			watch->on_row(watch->watcher,
				      &g_array_index(reply->rows,
						     struct store_row, i));
		if (!watch->following) {
			/* Changes after the first page come with the feed. */
			if (first_page)
				watch->version = reply->version;
			on_page(watch, reply);
		} else {
			watch->version = MAX(watch->version, reply->version);
		}
		if (watch == &watch->watcher->servers && watch->following)
			fleet_observe_versions(watch->watcher->fleet,
					       clock_boot_ms());
		if (watch->following)
			watch->confirmed_ms = reply->sent_ms;
	}
	send_call(watch);
}

static void send_call(struct table_watch *watch)
{
	struct store *store = watch->watcher->store;
	/* A short poll shows at once that the store is reachable again. */
	int64_t poll_ms = watch->failed ? PROBE_POLL_MS : watch->poll_ms;

	if (watch->following)
		watch->call = store_feed(store, watch->table, watch->version,
					 poll_ms, on_reply, watch);
	else
		watch->call =
			store_read(store, watch->table, "", watch->next_key,
				   NULL, on_reply, watch);
}

static void log_change(const char *kind, const char *name, const char *change,
		       const char *details, void *arg)
{
	const struct catalog *catalog = arg;

	slog("changed", NULL,
	     "\"config\":%" G_GINT64_FORMAT
	     ",\"thing\":\"%s\",\"name\":%s,\"change\":\"%s\"%s%s",
	     cat_version(catalog), kind, slog_quote(name), change,
	     *details ? "," : "", details);
}

static void apply_config(struct watcher *watcher, const struct store_row *row)
{
	char *fault = NULL;
	gsize len;
	const char *text;
	struct catalog *catalog;
	int64_t started_ms = clock_boot_ms();

	if (row->value == NULL)
		return;
	text = g_bytes_get_data(row->value, &len);
	catalog = wire_parse_catalog(text, len, &fault);
	if (catalog == NULL) {
		slog("config_unreadable", NULL,
		     "\"version\":%" G_GINT64_FORMAT ",\"cause\":%s",
		     row->version, slog_quote(fault));
		g_free(fault);
		return;
	}
	if (watcher->catalog != NULL &&
	    cat_version(catalog) <= cat_version(watcher->catalog)) {
		cat_unref(catalog);
		return;
	}
	slog("config", NULL,
	     "\"version\":%" G_GINT64_FORMAT ",\"before\":%" G_GINT64_FORMAT
	     ",\"row_version\":%" G_GINT64_FORMAT
	     ",\"bytes\":%zu,\"parse_ms\":%" G_GINT64_FORMAT
	     ",\"header_timeout_ms\":%" G_GINT64_FORMAT
	     ",\"idle_timeout_ms\":%" G_GINT64_FORMAT,
	     cat_version(catalog),
	     watcher->catalog ? cat_version(watcher->catalog) : 0, row->version,
	     len, clock_boot_ms() - started_ms,
	     cat_limits(catalog)->header_timeout_ms,
	     cat_limits(catalog)->idle_timeout_ms);
	cat_diff(watcher->catalog, catalog, log_change, catalog);
	cat_unref(watcher->catalog);
	watcher->catalog = catalog;
	stats_count(STATS_CONFIGS);
	watcher->callback(watcher->arg, catalog);
}

static void apply_operator_row(struct watcher *watcher,
			       const struct store_row *row)
{
	const char *zone;

	if (strcmp(row->key, WIRE_KEY_CONFIG) == 0) {
		apply_config(watcher, row);
		return;
	}
	if (!g_str_has_prefix(row->key, WIRE_KEY_EVACUATE))
		return;
	zone = row->key + strlen(WIRE_KEY_EVACUATE);
	if (row->value != NULL) {
		g_hash_table_add(watcher->evacuated_zones, g_strdup(zone));
		g_hash_table_add(watcher->config.seen, g_strdup(zone));
	} else {
		g_hash_table_remove(watcher->evacuated_zones, zone);
	}
	slog("zone", NULL, "\"zone\":%s,\"state\":\"%s\"", slog_quote(zone),
	     row->value ? "out" : "in");
	fleet_set_evacuated(watcher->fleet, watcher->evacuated_zones,
			    clock_boot_ms(), ZONE_COLD_MS);
}

static gboolean is_unseen(gpointer zone, gpointer value, gpointer seen)
{
	(void)value;
	return !g_hash_table_contains(seen, zone);
}

/* All operator rows have been read: zones without a row are in service. */
static void on_operators_read(struct watcher *watcher)
{
	g_hash_table_foreach_remove(watcher->evacuated_zones, is_unseen,
				    watcher->config.seen);
	fleet_set_evacuated(watcher->fleet, watcher->evacuated_zones,
			    clock_boot_ms(), ZONE_COLD_MS);
}

/*
 * How long missing servers are kept because they may register again after the
 * store was unreachable: 0 if it was not. The time counts from its recovery and
 * not from the removal, so a server that shuts down meanwhile is not kept
 * longer than that.
 */
static int64_t removal_delay_ms(const struct watcher *watcher)
{
	int64_t recovered_ms =
		store_recovered_ms(watcher->store, watcher->servers.table);
	int64_t left_ms = recovered_ms + REREGISTER_MS - clock_boot_ms();

	return recovered_ms > 0 && left_ms > 0 ? left_ms : 0;
}

static void schedule_removal(struct watcher *watcher, int64_t delay_ms)
{
	struct timeval tv = clock_timeval(delay_ms);

	event_add(watcher->removal_timer, &tv);
}

static void remove_missing(struct watcher *watcher)
{
	GHashTableIter it;
	gpointer id;

	g_hash_table_iter_init(&it, watcher->missing_servers);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		slog("server", NULL, "\"server\":%s,\"state\":\"gone\"",
		     slog_quote(id));
		fleet_remove(watcher->fleet, id);
	}
	g_hash_table_remove_all(watcher->missing_servers);
}

static void on_removal_timer(evutil_socket_t fd, short what, void *arg)
{
	struct watcher *watcher = arg;

	(void)fd;
	(void)what;
	remove_missing(watcher);
	fleet_observe_versions(watcher->fleet, clock_boot_ms());
}

static void remove_server(struct watcher *watcher, const char *id)
{
	int64_t delay_ms = removal_delay_ms(watcher);

	g_hash_table_add(watcher->missing_servers, g_strdup(id));
	if (delay_ms > 0)
		schedule_removal(watcher, delay_ms);
	else
		remove_missing(watcher);
}

static void apply_server_row(struct watcher *watcher,
			     const struct store_row *row)
{
	struct fleet_entry entry;
	json_object *root = NULL;
	const char *text;
	gsize len;

	if (*row->part != '\0')
		return;
	if (row->value == NULL) {
		remove_server(watcher, row->key);
		return;
	}
	text = g_bytes_get_data(row->value, &len);
	if (!wire_parse_server(row->key, text, len, &entry, &root)) {
		slog("server", NULL, "\"server\":%s,\"state\":\"unreadable\"",
		     slog_quote(row->key));
		fleet_remove(watcher->fleet, row->key);
		json_object_put(root);
		return;
	}
	g_hash_table_remove(watcher->missing_servers, row->key);
	if (!watcher->servers.following)
		g_hash_table_add(watcher->servers.seen, g_strdup(row->key));
	if (fleet_update(watcher->fleet, &entry, clock_boot_ms()))
		slog("server", NULL,
		     "\"server\":%s,\"state\":\"%s\",\"peer\":%s,"
		     "\"version\":%s,\"cold_ms\":%" G_GINT64_FORMAT,
		     slog_quote(row->key), entry.draining ? "leaving" : "ready",
		     slog_quote(entry.address),
		     slog_quote(entry.version ? entry.version : ""),
		     entry.cold_ms);
	json_object_put(root);
}

static void add_if_missing(struct fleet_server *server, void *arg)
{
	struct watcher *watcher = arg;

	if (!g_hash_table_contains(watcher->servers.seen, server->id))
		g_hash_table_add(watcher->missing_servers,
				 g_strdup(server->id));
}

/* All servers have been read: those that are not in the list are gone. */
static void on_servers_read(struct watcher *watcher)
{
	int64_t delay_ms = removal_delay_ms(watcher);

	fleet_foreach(watcher->fleet, add_if_missing, watcher);
	if (delay_ms > 0)
		schedule_removal(watcher, delay_ms);
	else
		remove_missing(watcher);
}

static void watch_start(struct table_watch *watch, struct watcher *watcher,
			struct event_base *base)
{
	watch->watcher = watcher;
	watch->confirmed_ms = G_MININT32;
	watch->retry_timer = evtimer_new(base, on_retry_timer, watch);
	watch->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	send_call(watch);
}

static void watch_stop(struct table_watch *watch)
{
	if (watch->call != NULL)
		store_cancel(watch->call);
	event_free(watch->retry_timer);
	g_hash_table_destroy(watch->seen);
	g_free(watch->next_key);
}

struct watcher *watcher_create(struct event_base *base, struct store *store,
			       struct fleet *fleet, watcher_callback *callback,
			       void *arg)
{
	struct watcher *watcher = g_new0(struct watcher, 1);

	watcher->store = store;
	watcher->fleet = fleet;
	watcher->callback = callback;
	watcher->arg = arg;
	watcher->evacuated_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->missing_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->removal_timer = evtimer_new(base, on_removal_timer, watcher);
	watcher->config.table = WIRE_TABLE_OPERATORS;
	watcher->config.poll_ms = CONFIG_POLL_MS;
	watcher->config.on_row = apply_operator_row;
	watcher->config.on_read = on_operators_read;
	watcher->servers.table = WIRE_TABLE_SERVERS;
	watcher->servers.poll_ms = SERVERS_POLL_MS;
	watcher->servers.on_row = apply_server_row;
	watcher->servers.on_read = on_servers_read;
	watch_start(&watcher->config, watcher, base);
	watch_start(&watcher->servers, watcher, base);
	return watcher;
}

void watcher_destroy(struct watcher *watcher)
{
	if (watcher == NULL)
		return;
	watch_stop(&watcher->config);
	watch_stop(&watcher->servers);
	event_free(watcher->removal_timer);
	g_hash_table_destroy(watcher->evacuated_zones);
	g_hash_table_destroy(watcher->missing_servers);
	cat_unref(watcher->catalog);
	g_free(watcher);
}

struct catalog *watcher_catalog(const struct watcher *watcher)
{
	return watcher->catalog;
}

int64_t watcher_config_age_ms(const struct watcher *watcher)
{
	return clock_boot_ms() - watcher->config.confirmed_ms;
}

int64_t watcher_servers_age_ms(const struct watcher *watcher)
{
	return clock_boot_ms() - watcher->servers.confirmed_ms;
}
