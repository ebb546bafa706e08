/** @file beliefs.c @brief Follows the configuration and the server list. */
#include <string.h>

#include <json-c/json.h>

#include "beliefs.h"
#include "clock.h"
#include "decide/catdiff.h"
#include "platform/wire.h"
#include "slog.h"
#include "stats.h"

enum {
	CONFIG_WAIT_MS = 1000,	/* bounds the age of the configuration */
	SERVERS_WAIT_MS = 1500, /* a feed that went silent ends soon after */
	RETRY_MS = 60,
	PROBE_WAIT_MS = 20, /* while the store seems to be away */
	RETURN_MS = 2000,   /* entries that lapsed in an outage are back then */
	COLD_PRESET_MS = 4000, /* for zones that come back */
};

/* One table that is read whole and then followed. */
struct follow {
	struct blf *blf;
	const char *table;
	int64_t wait_ms;
	void (*row)(struct blf *blf, const struct rst_row *row);
	void (*whole)(struct blf *blf);
	struct rst_call *call;
	struct event *timer; /* the next call, after a failure */
	GHashTable *seen;    /* what a whole reading has named so far */
	bool begun;	     /* read whole, and followed from @ref version */
	int64_t version;
	bool failed; /* the last call had no answer */
	char *from;  /* where a long reading goes on */
};

struct blf {
	struct rst *store;
	struct flt *fleet;
	blf_changed *changed;
	void *arg;
	struct follow config;
	struct follow servers;
	struct cat *cat;
	int64_t confirmed_at;
	GHashTable *out;    /* zones taken out */
	GHashTable *lapsed; /* ids removed around an outage */
	struct event *lapse_timer;
};

static void ask(struct follow *follow);

static void ask_later(struct follow *follow, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(follow->timer, &tv);
}

static void on_ask_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	ask(arg);
}

/* A whole reading, or a page of it, has come. */
static void took_page(struct follow *follow, const struct rst_answer *answer)
{
	g_clear_pointer(&follow->from, g_free);
	if (answer->more && answer->rows->len > 0) {
		const struct rst_row *last = &g_array_index(
			answer->rows, struct rst_row, answer->rows->len - 1);

		follow->from = rst_key_after(last->key);
		return;
	}
	follow->whole(follow->blf);
	follow->begun = true;
}

static void on_answer(void *arg, const struct rst_answer *answer)
{
	struct follow *follow = arg;
	bool first = follow->from == NULL;

	follow->call = NULL;
	if (answer->result == RST_NO_HISTORY) {
		slog("history_lost", NULL, "\"table\":\"%s\"", follow->table);
		follow->begun = false;
		g_hash_table_remove_all(follow->seen);
	} else if (answer->result != RST_OK) {
		follow->failed = true;
		ask_later(follow, RETRY_MS);
		return;
	} else {
		follow->failed = false;
		for (guint i = 0; i < answer->rows->len; i++)
			follow->row(follow->blf,
				    &g_array_index(answer->rows, struct rst_row,
						   i));
		if (!follow->begun) {
			/* What changes between pages is in the feed. */
			if (first)
				follow->version = answer->version;
			took_page(follow, answer);
		} else {
			follow->version = MAX(follow->version, answer->version);
		}
		if (follow == &follow->blf->config && follow->begun)
			follow->blf->confirmed_at = answer->sent_at;
	}
	ask(follow);
}

static void ask(struct follow *follow)
{
	struct rst *store = follow->blf->store;
	/* A short wait shows at once that the store is back. */
	int64_t wait_ms = follow->failed ? PROBE_WAIT_MS : follow->wait_ms;

	if (follow->begun)
		follow->call = rst_feed(store, follow->table, follow->version,
					wait_ms, on_answer, follow);
	else
		follow->call = rst_get(store, follow->table, "", follow->from,
				       NULL, on_answer, follow);
}

static void log_change(const char *thing, const char *name, const char *change,
		       const char *details, void *arg)
{
	const struct cat *cat = arg;

	slog("changed", NULL,
	     "\"config\":%" G_GINT64_FORMAT
	     ",\"thing\":\"%s\",\"name\":%s,\"change\":\"%s\"%s%s",
	     cat_version(cat), thing, slog_quote(name), change,
	     *details ? "," : "", details);
}

static void take_config(struct blf *blf, const struct rst_row *row)
{
	char *fault = NULL;
	gsize len;
	const char *text;
	struct cat *cat;

	if (row->value == NULL)
		return;
	text = g_bytes_get_data(row->value, &len);
	cat = wire_read_catalog(text, len, &fault);
	if (cat == NULL) {
		slog("config_unreadable", NULL,
		     "\"version\":%" G_GINT64_FORMAT ",\"cause\":%s",
		     row->version, slog_quote(fault));
		g_free(fault);
		return;
	}
	if (blf->cat != NULL && cat_version(cat) <= cat_version(blf->cat)) {
		cat_unref(cat);
		return;
	}
	slog("config", NULL,
	     "\"version\":%" G_GINT64_FORMAT ",\"before\":%" G_GINT64_FORMAT
	     ",\"row_version\":%" G_GINT64_FORMAT,
	     cat_version(cat), blf->cat ? cat_version(blf->cat) : 0,
	     row->version);
	cat_diff(blf->cat, cat, log_change, cat);
	cat_unref(blf->cat);
	blf->cat = cat;
	stats_count(STATS_CONFIGS);
	blf->changed(blf->arg, cat);
}

static void take_operator_row(struct blf *blf, const struct rst_row *row)
{
	const char *zone;

	if (strcmp(row->key, WIRE_KEY_CONFIG) == 0) {
		take_config(blf, row);
		return;
	}
	if (!g_str_has_prefix(row->key, WIRE_KEY_EVACUATE))
		return;
	zone = row->key + strlen(WIRE_KEY_EVACUATE);
	if (row->value != NULL) {
		g_hash_table_add(blf->out, g_strdup(zone));
		g_hash_table_add(blf->config.seen, g_strdup(zone));
	} else {
		g_hash_table_remove(blf->out, zone);
	}
	slog("zone", NULL, "\"zone\":%s,\"state\":\"%s\"", slog_quote(zone),
	     row->value ? "out" : "in");
	flt_evacuate(blf->fleet, blf->out, clock_boot_ms(), COLD_PRESET_MS);
}

static gboolean unseen(gpointer zone, gpointer value, gpointer seen)
{
	(void)value;
	return !g_hash_table_contains(seen, zone);
}

/* All operators' rows have been read: zones not named are in. */
static void took_operator_rows(struct blf *blf)
{
	g_hash_table_foreach_remove(blf->out, unseen, blf->config.seen);
	flt_evacuate(blf->fleet, blf->out, clock_boot_ms(), COLD_PRESET_MS);
}

/*
 * How long entries that are missing may yet come back, because the store, or
 * the way to it, was away: 0 if it was not. The time counts from its return
 * and not from the removal, so a server that leaves meanwhile is not kept for
 * longer than that.
 */
static int64_t grace_ms(const struct blf *blf)
{
	int64_t regained_at = rst_regained_at(blf->store, blf->servers.table);
	int64_t left = regained_at + RETURN_MS - clock_boot_ms();

	return regained_at > 0 && left > 0 ? left : 0;
}

static void remove_lapsed_in(struct blf *blf, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(blf->lapse_timer, &tv);
}

static void on_lapse_timer(evutil_socket_t fd, short what, void *arg)
{
	struct blf *blf = arg;
	GHashTableIter it;
	gpointer id;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, blf->lapsed);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		slog("server", NULL, "\"server\":%s,\"state\":\"gone\"",
		     slog_quote(id));
		flt_remove(blf->fleet, id);
	}
	g_hash_table_remove_all(blf->lapsed);
}

static void remove_server(struct blf *blf, const char *id)
{
	int64_t grace = grace_ms(blf);

	g_hash_table_add(blf->lapsed, g_strdup(id));
	if (grace > 0)
		remove_lapsed_in(blf, grace);
	else
		on_lapse_timer(-1, 0, blf);
}

static void take_server_row(struct blf *blf, const struct rst_row *row)
{
	struct flt_entry entry;
	json_object *root = NULL;
	const char *text;
	gsize len;

	if (*row->part != '\0')
		return;
	if (row->value == NULL) {
		remove_server(blf, row->key);
		return;
	}
	text = g_bytes_get_data(row->value, &len);
	if (!wire_read_server(row->key, text, len, &entry, &root)) {
		slog("server", NULL, "\"server\":%s,\"state\":\"unreadable\"",
		     slog_quote(row->key));
		flt_remove(blf->fleet, row->key);
		json_object_put(root);
		return;
	}
	g_hash_table_remove(blf->lapsed, row->key);
	if (!blf->servers.begun)
		g_hash_table_add(blf->servers.seen, g_strdup(row->key));
	if (flt_put(blf->fleet, &entry, clock_boot_ms()))
		slog("server", NULL,
		     "\"server\":%s,\"state\":\"%s\",\"peer\":%s,"
		     "\"cold_ms\":%" G_GINT64_FORMAT,
		     slog_quote(row->key), entry.draining ? "leaving" : "ready",
		     slog_quote(entry.address), entry.cold_ms);
	json_object_put(root);
}

static void collect_unlisted(struct flt_server *server, void *arg)
{
	struct blf *blf = arg;

	if (!g_hash_table_contains(blf->servers.seen, server->id))
		g_hash_table_add(blf->lapsed, g_strdup(server->id));
}

/* All servers have been read: those that were not named are gone. */
static void took_servers(struct blf *blf)
{
	int64_t grace = grace_ms(blf);

	flt_foreach(blf->fleet, collect_unlisted, blf);
	if (grace > 0)
		remove_lapsed_in(blf, grace);
	else
		on_lapse_timer(-1, 0, blf);
}

static void follow_init(struct follow *follow, struct blf *blf,
			struct event_base *base)
{
	follow->blf = blf;
	follow->timer = evtimer_new(base, on_ask_timer, follow);
	follow->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ask(follow);
}

static void follow_end(struct follow *follow)
{
	if (follow->call != NULL)
		rst_cancel(follow->call);
	event_free(follow->timer);
	g_hash_table_destroy(follow->seen);
	g_free(follow->from);
}

struct blf *blf_create(struct event_base *base, struct rst *store,
		       struct flt *fleet, blf_changed *changed, void *arg)
{
	struct blf *blf = g_new0(struct blf, 1);

	blf->store = store;
	blf->fleet = fleet;
	blf->changed = changed;
	blf->arg = arg;
	blf->confirmed_at = G_MININT32;
	blf->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	blf->lapsed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	blf->lapse_timer = evtimer_new(base, on_lapse_timer, blf);
	blf->config.table = WIRE_TABLE_OPERATORS;
	blf->config.wait_ms = CONFIG_WAIT_MS;
	blf->config.row = take_operator_row;
	blf->config.whole = took_operator_rows;
	blf->servers.table = WIRE_TABLE_SERVERS;
	blf->servers.wait_ms = SERVERS_WAIT_MS;
	blf->servers.row = take_server_row;
	blf->servers.whole = took_servers;
	follow_init(&blf->config, blf, base);
	follow_init(&blf->servers, blf, base);
	return blf;
}

void blf_destroy(struct blf *blf)
{
	if (blf == NULL)
		return;
	follow_end(&blf->config);
	follow_end(&blf->servers);
	event_free(blf->lapse_timer);
	g_hash_table_destroy(blf->out);
	g_hash_table_destroy(blf->lapsed);
	cat_unref(blf->cat);
	g_free(blf);
}

struct cat *blf_catalog(const struct blf *blf)
{
	return blf->cat;
}

int64_t blf_age_ms(const struct blf *blf)
{
	return clock_boot_ms() - blf->confirmed_at;
}
