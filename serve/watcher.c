/** @file watcher.c @brief Watches the configuration and the server list. */
#include <string.h>

#include <json-c/json.h>

#include "clock.h"
#include "decide/catdiff.h"
#include "follow.h"
#include "platform/wire.h"
#include "slog.h"
#include "stats.h"
#include "watcher.h"

enum {
	CONFIG_POLL_MS = 1000,	/* bounds the age of the configuration */
	SERVERS_POLL_MS = 1500, /* bounds the time until a dead feed ends */
	RETRY_DELAY_MS = 60,
	/* Servers whose entries expired in an outage are listed again by then.
	 */
	REREGISTER_MS = 2000,
	ZONE_COLD_MS = 4000, /* for servers of a zone that is back in service */
};

struct watcher {
	struct store *store;
	struct fleet *fleet;
	watcher_callback *callback;
	void *arg;
	struct follow *operators; /* the configuration, and zones */
	struct follow *servers;
	struct watcher_rollouts rollouts;
	GHashTable *seen_zones;	  /* by a complete read of the operators */
	GHashTable *seen_servers; /* ids, by a complete read of the servers */
	struct catalog *catalog;
	GHashTable *evacuated_zones;
	GHashTable *missing_servers; /* ids, to be removed by the timer */
	struct event *removal_timer;
};

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

static void apply_operator_row(void *arg, const struct store_row *row)
{
	struct watcher *watcher = arg;
	const char *zone;

	if (strcmp(row->key, WIRE_KEY_CONFIG) == 0) {
		apply_config(watcher, row);
		return;
	}
	if (watcher->rollouts.on_row != NULL && *row->part == '\0' &&
	    g_str_has_prefix(row->key, WIRE_KEY_ROLLOUT))
		watcher->rollouts.on_row(watcher->rollouts.arg,
					 row->key + strlen(WIRE_KEY_ROLLOUT),
					 row,
					 follow_has_read(watcher->operators));
	if (!g_str_has_prefix(row->key, WIRE_KEY_EVACUATE))
		return;
	zone = row->key + strlen(WIRE_KEY_EVACUATE);
	if (row->value != NULL) {
		g_hash_table_add(watcher->evacuated_zones, g_strdup(zone));
		g_hash_table_add(watcher->seen_zones, g_strdup(zone));
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

static void on_operators_begin(void *arg)
{
	struct watcher *watcher = arg;

	g_hash_table_remove_all(watcher->seen_zones);
	if (watcher->rollouts.on_begin != NULL)
		watcher->rollouts.on_begin(watcher->rollouts.arg);
}

/* All operator rows have been read: zones without a row are in service. */
static void on_operators_read(void *arg)
{
	struct watcher *watcher = arg;

	if (watcher->rollouts.on_read != NULL)
		watcher->rollouts.on_read(watcher->rollouts.arg);
	g_hash_table_foreach_remove(watcher->evacuated_zones, is_unseen,
				    watcher->seen_zones);
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
		store_recovered_ms(watcher->store, WIRE_TABLE_SERVERS);
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

static void apply_server_row(void *arg, const struct store_row *row)
{
	struct watcher *watcher = arg;
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
	if (!follow_has_read(watcher->servers))
		g_hash_table_add(watcher->seen_servers, g_strdup(row->key));
	if (fleet_update(watcher->fleet, &entry, clock_boot_ms()))
		slog("server", NULL,
		     "\"server\":%s,\"state\":\"%s\",\"peer\":%s,"
		     "\"version\":%s,\"cold_ms\":%" G_GINT64_FORMAT,
		     slog_quote(row->key),
		     entry.draining ? "draining" : "ready",
		     slog_quote(entry.address),
		     slog_quote(entry.version ? entry.version : ""),
		     entry.cold_ms);
	json_object_put(root);
}

static void add_if_missing(struct fleet_server *server, void *arg)
{
	struct watcher *watcher = arg;

	if (!g_hash_table_contains(watcher->seen_servers, server->id))
		g_hash_table_add(watcher->missing_servers,
				 g_strdup(server->id));
}

static void on_servers_begin(void *arg)
{
	struct watcher *watcher = arg;

	g_hash_table_remove_all(watcher->seen_servers);
}

/* All servers have been read: those that are not in the list are gone. */
static void on_servers_read(void *arg)
{
	struct watcher *watcher = arg;
	int64_t delay_ms = removal_delay_ms(watcher);

	fleet_foreach(watcher->fleet, add_if_missing, watcher);
	if (delay_ms > 0)
		schedule_removal(watcher, delay_ms);
	else
		remove_missing(watcher);
}

static void on_servers_current(void *arg)
{
	struct watcher *watcher = arg;

	fleet_observe_versions(watcher->fleet, clock_boot_ms());
}

struct watcher *watcher_create(struct event_base *base, struct store *store,
			       struct fleet *fleet, watcher_callback *callback,
			       void *arg)
{
	struct watcher *watcher = g_new0(struct watcher, 1);
	struct follow_config operators = {
		.base = base,
		.store = store,
		.table = WIRE_TABLE_OPERATORS,
		.poll_ms = CONFIG_POLL_MS,
		.retry_ms = RETRY_DELAY_MS,
		.on_begin = on_operators_begin,
		.on_row = apply_operator_row,
		.on_read = on_operators_read,
		.arg = watcher,
	};
	struct follow_config servers = {
		.base = base,
		.store = store,
		.table = WIRE_TABLE_SERVERS,
		.poll_ms = SERVERS_POLL_MS,
		.retry_ms = RETRY_DELAY_MS,
		.on_begin = on_servers_begin,
		.on_row = apply_server_row,
		.on_read = on_servers_read,
		.on_current = on_servers_current,
		.arg = watcher,
	};

	watcher->store = store;
	watcher->fleet = fleet;
	watcher->callback = callback;
	watcher->arg = arg;
	watcher->evacuated_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->missing_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->removal_timer = evtimer_new(base, on_removal_timer, watcher);
	watcher->seen_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->seen_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watcher->operators = follow_create(&operators);
	watcher->servers = follow_create(&servers);
	return watcher;
}

void watcher_set_rollouts(struct watcher *watcher,
			  const struct watcher_rollouts *rollouts)
{
	watcher->rollouts = *rollouts;
}

void watcher_destroy(struct watcher *watcher)
{
	if (watcher == NULL)
		return;
	follow_destroy(watcher->operators);
	follow_destroy(watcher->servers);
	event_free(watcher->removal_timer);
	g_hash_table_destroy(watcher->seen_zones);
	g_hash_table_destroy(watcher->seen_servers);
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
	return follow_age_ms(watcher->operators);
}

int64_t watcher_servers_age_ms(const struct watcher *watcher)
{
	return follow_age_ms(watcher->servers);
}
