/** @file gateway.c @brief One instance: its parts and their life. */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "clock.h"
#include "exchange.h"
#include "gateway.h"
#include "platform/relay.h"
#include "settings.h"
#include "slog.h"
#include "stats.h"
#include "sweeper.h"

enum {
	TICK_MS = 200,	     /* logs, and the steps of a stop */
	TOTALS_TICKS = 50,   /* between two lines of totals: 10 s */
	LISTEN_ON_MS = 3200, /* the balancer asks each second, twice */
	END_EARLY_MS = 500,  /* before the process is killed */
	KEY_SLACK_MS = 1500, /* watchers may be a second behind, and a
			      * request has a way to go */
};

#define FIELD(name, type, required, preset, min, max)                          \
	{                                                                      \
#name, offsetof(struct gw_settings, name), type, required,     \
			preset, min, max                                       \
	}

static const struct settings_field fields[] = {
	FIELD(id, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(zone, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(callers, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(ready, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(peers, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(relay, SETTINGS_ADDRESS, false, 0, 0, 0),
	FIELD(metrics, SETTINGS_ADDRESS, false, 0, 0, 0),
	FIELD(store, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(grace_s, SETTINGS_TRUNCATED, false, 8, 1, 3600),
	FIELD(revoke_ms, SETTINGS_TRUNCATED, false, 5000, 2000, 600000),
	FIELD(quota_slack, SETTINGS_TRUNCATED, false, 0, 0, 1000000),
	FIELD(cache_kb, SETTINGS_INTEGER, false, 3072, 64, 1048576),
	/* As long as rows are kept at least: they stay for two such times. */
	FIELD(sweep_ms, SETTINGS_INTEGER, false, 600000, 1, 86400000),
};

struct gw {
	const struct gw_settings *settings;
	const char *path;
	struct event_base *base;
	struct xch_shared shared;
	struct inbound *callers;
	struct inbound *ready;
	struct inbound *metrics;
	struct rly *relay;
	struct swp *sweeper;
	struct event *signals[3];
	struct event *tick;
	int64_t stop_at; /* when SIGTERM came; 0: it has not */
	uint32_t ticks;
	bool was_ready;
	bool stopped;
};

struct gw_settings *gw_read_settings(const char *path, GString *errors)
{
	struct gw_settings *settings = g_new0(struct gw_settings, 1);

	if (settings_load(path, fields, G_N_ELEMENTS(fields), settings, errors))
		return settings;
	gw_free_settings(settings);
	return NULL;
}

void gw_free_settings(struct gw_settings *settings)
{
	if (settings == NULL)
		return;
	settings_clear(fields, G_N_ELEMENTS(fields), settings);
	g_free(settings);
}

static void on_request(void *arg, struct inbound_request *request)
{
	struct gw *gw = arg;

	xch_start(&gw->shared, request);
}

static void on_gone(void *arg, struct inbound_request *request)
{
	(void)arg;
	xch_gone(request);
}

static bool is_ready(const struct gw *gw)
{
	return gw->stop_at == 0 && blf_catalog(gw->shared.beliefs) != NULL &&
	       blf_age_ms(gw->shared.beliefs) < gw->shared.stale_ms;
}

static void on_ready_request(void *arg, struct inbound_request *request)
{
	struct gw *gw = arg;
	bool ready = is_ready(gw);

	if (ready != gw->was_ready)
		slog("ready", NULL,
		     "\"ready\":%s,\"config_age_ms\":%" G_GINT64_FORMAT,
		     ready ? "true" : "false", blf_age_ms(gw->shared.beliefs));
	gw->was_ready = ready;
	inbound_reply(request, ready ? 200 : 503, "", NULL, 0);
}

static void on_metrics_request(void *arg, struct inbound_request *request)
{
	struct gw *gw = arg;
	GString *text = g_string_new(NULL);
	guint conns;
	guint requests;
	guint programs;
	uint64_t bytes;

	stats_print(text);
	inbound_count(gw->callers, &conns, &requests);
	trn_sizes(gw->shared.programs, &programs, &bytes);
	g_string_append_printf(
		text,
		"apricotshift_connections %u\napricotshift_requests %u\n"
		"apricotshift_programs %u\n"
		"apricotshift_history_bytes %" G_GUINT64_FORMAT "\n"
		"apricotshift_servers %u\napricotshift_instances %u\n"
		"apricotshift_config_age_ms %" G_GINT64_FORMAT "\n"
		"apricotshift_connections_opened_total %" G_GUINT64_FORMAT "\n"
		"apricotshift_log_lines_left_out_total %" G_GUINT64_FORMAT "\n",
		conns, requests, programs, bytes, flt_count(gw->shared.fleet),
		mbr_count(gw->shared.members), blf_age_ms(gw->shared.beliefs),
		up_opened(gw->shared.up), slog_dropped());
	inbound_reply(request, 200,
		      "Content-Type: text/plain; version=0.0.4\r\n", text->str,
		      text->len);
	g_string_free(text, TRUE);
}

static void on_asker_gone(void *arg, struct inbound_request *request)
{
	(void)arg;
	(void)request;
}

static void on_config(void *arg, struct cat *cat)
{
	struct gw *gw = arg;
	const struct cat_limits *from = cat_limits(cat);
	struct inbound_limits limits = {
		.max_header_bytes = from->max_header_bytes,
		.max_body_bytes = from->max_body_bytes,
		.header_timeout_ms = from->header_timeout_ms,
		.idle_timeout_ms = from->idle_timeout_ms,
	};

	if (gw->callers != NULL)
		inbound_set_limits(gw->callers, &limits);
}

static int64_t config_age(void *arg)
{
	struct gw *gw = arg;

	return blf_age_ms(gw->shared.beliefs);
}

static bool account_limit(void *arg, const char *account,
			  struct qta_limit *limit)
{
	struct gw *gw = arg;
	const struct cat *cat = blf_catalog(gw->shared.beliefs);
	const struct cat_account *found =
		cat ? cat_find_account(cat, account) : NULL;

	if (found == NULL)
		return false;
	limit->rate = found->rate;
	limit->burst = found->burst;
	limit->slack = gw->shared.quota_slack;
	return true;
}

static void on_lent(void *arg, const char *account, uint32_t granted,
		    int64_t wait_ms, uint32_t serial)
{
	struct gw *gw = arg;

	adm_lent(gw->shared.admission, account, granted, wait_ms, serial);
}

static const char *find_relay(void *arg)
{
	struct gw *gw = arg;

	/* The first calls are made before there are members. */
	return gw->shared.members ? mbr_relay(gw->shared.members) : NULL;
}

static void on_marked(void *arg, uint64_t fingerprint, const char *server)
{
	struct gw *gw = arg;

	sus_add(gw->shared.suspects, fingerprint, server, clock_boot_ms());
}

static void drop_idle(struct flt_server *server)
{
	up_close_idle(server->idle);
}

void gw_stop(struct gw *gw)
{
	if (gw->stop_at != 0)
		return;
	gw->stop_at = clock_boot_ms();
	slog("stop", NULL, "\"grace_s\":%u", gw->settings->grace_s);
	inbound_drain(gw->callers);
	mbr_leave(gw->shared.members);
}

bool gw_stopped(const struct gw *gw)
{
	return gw->stopped;
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	gw_stop(arg);
}

/* Settings hold nothing that changes while a process runs; they are checked
 * so that a fault shows before the next start. */
static void on_hup(evutil_socket_t fd, short what, void *arg)
{
	struct gw *gw = arg;
	GString *errors = g_string_new(NULL);
	struct gw_settings *settings = gw_read_settings(gw->path, errors);

	(void)fd;
	(void)what;
	slog("reload", NULL, "\"faults\":%s", slog_quote(errors->str));
	gw_free_settings(settings);
	g_string_free(errors, TRUE);
}

static void stop_step(struct gw *gw)
{
	int64_t age = clock_boot_ms() - gw->stop_at;
	int64_t grace = (int64_t)gw->settings->grace_s * 1000;
	guint conns;
	guint requests;

	if (age < MIN(LISTEN_ON_MS, grace / 2))
		return;
	inbound_stop_listening(gw->callers);
	inbound_close_idle(gw->callers);
	inbound_count(gw->callers, &conns, &requests);
	if (conns == 0 || age > grace - END_EARLY_MS) {
		gw->stopped = true;
		event_base_loopbreak(gw->base);
	}
}

/* What was done since the start, so that a log alone shows rates. */
static void log_totals(struct gw *gw)
{
	guint conns;
	guint requests;

	inbound_count(gw->callers, &conns, &requests);
	slog("totals", NULL,
	     "\"connections\":%u,\"requests\":%u,\"instances\":%u,"
	     "\"servers\":%u,\"asked\":%" G_GUINT64_FORMAT
	     ",\"sent\":%" G_GUINT64_FORMAT
	     ",\"store_reads\":%" G_GUINT64_FORMAT
	     ",\"store_feeds\":%" G_GUINT64_FORMAT
	     ",\"store_writes\":%" G_GUINT64_FORMAT
	     ",\"config_age_ms\":%" G_GINT64_FORMAT,
	     conns, requests, mbr_count(gw->shared.members),
	     flt_count(gw->shared.fleet), stats_get(STATS_REQUESTS),
	     stats_get(STATS_SENT), stats_get(STATS_STORE_READS),
	     stats_get(STATS_STORE_FEEDS), stats_get(STATS_STORE_WRITES),
	     blf_age_ms(gw->shared.beliefs));
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct gw *gw = arg;

	(void)fd;
	(void)what;
	if (gw->stop_at != 0)
		stop_step(gw);
	if (++gw->ticks % TOTALS_TICKS == 0) {
		xch_forget_sessions(&gw->shared);
		log_totals(gw);
	}
	slog_flush();
}

static struct inbound *listen_at(struct gw *gw, const char *address,
				 const struct inbound_handler *handler)
{
	struct inbound *inbound =
		inbound_create(gw->base, address, handler, gw);

	if (inbound == NULL)
		fprintf(stderr, "apricotshift: listen on %s: %s\n", address,
			strerror(errno));
	return inbound;
}

static bool open_listeners(struct gw *gw)
{
	static const struct inbound_handler callers = {on_request, on_gone};
	static const struct inbound_handler ready = {on_ready_request,
						     on_asker_gone};
	static const struct inbound_handler metrics = {on_metrics_request,
						       on_asker_gone};

	gw->callers = listen_at(gw, gw->settings->callers, &callers);
	gw->ready = listen_at(gw, gw->settings->ready, &ready);
	if (gw->settings->metrics != NULL)
		gw->metrics = listen_at(gw, gw->settings->metrics, &metrics);
	if (gw->settings->relay != NULL)
		gw->relay =
			rly_create(gw->base, gw->shared.up, gw->settings->relay,
				   gw->settings->store);
	if (gw->settings->relay != NULL && gw->relay == NULL)
		fprintf(stderr, "apricotshift: listen on %s: %s\n",
			gw->settings->relay, strerror(errno));
	return gw->callers != NULL && gw->ready != NULL;
}

static void catch_signals(struct gw *gw)
{
	struct timeval tv = {.tv_usec = TICK_MS * 1000};

	signal(SIGPIPE, SIG_IGN);
	gw->signals[0] = evsignal_new(gw->base, SIGTERM, on_term, gw);
	gw->signals[1] = evsignal_new(gw->base, SIGINT, on_term, gw);
	gw->signals[2] = evsignal_new(gw->base, SIGHUP, on_hup, gw);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++)
		event_add(gw->signals[i], NULL);
	gw->tick = event_new(gw->base, -1, EV_PERSIST, on_tick, gw);
	event_add(gw->tick, &tv);
}

/* Builds what requests share; returns false if an address can't be bound. */
static bool build_shared(struct gw *gw)
{
	const struct gw_settings *settings = gw->settings;
	struct xch_shared *shared = &gw->shared;
	struct mbr_config members = {
		.base = gw->base,
		.id = settings->id,
		.zone = settings->zone,
		.address = settings->peers,
		.relay = settings->relay,
		.config_age = config_age,
		.limit = account_limit,
		.lent = on_lent,
		.marked = on_marked,
		.arg = gw,
	};

	randombytes_buf(&members.incarnation, sizeof(members.incarnation));
	shared->base = gw->base;
	shared->zone = settings->zone;
	shared->stale_ms = (int64_t)settings->revoke_ms - KEY_SLACK_MS;
	/* Half of it is for instances that come, go and lose each other. */
	shared->quota_slack = settings->quota_slack / 2.0;
	shared->up = up_create(gw->base);
	shared->store = rst_create(gw->base, shared->up, settings->store);
	rst_set_relay(shared->store, find_relay, gw);
	shared->fleet = flt_create(drop_idle);
	shared->quota = qta_create(settings->id, clock_boot_ms());
	shared->admission = adm_create(gw->base, shared->quota);
	shared->suspects = sus_create();
	shared->programs =
		trn_create(gw->base, shared->store, members.incarnation,
			   (uint64_t)settings->cache_kb * 1024);
	shared->sessions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shared->beliefs = blf_create(gw->base, shared->store, shared->fleet,
				     on_config, gw);
	members.store = shared->store;
	members.quota = shared->quota;
	shared->members = mbr_create(&members);
	adm_set_members(shared->admission, shared->members);
	if (shared->members == NULL)
		fprintf(stderr, "apricotshift: datagrams on %s: %s\n",
			settings->peers, strerror(errno));
	if (shared->members != NULL)
		gw->sweeper = swp_create(gw->base, shared->store,
					 shared->members, settings->sweep_ms);
	return shared->members != NULL;
}

struct gw *gw_create(struct event_base *base,
		     const struct gw_settings *settings, const char *path)
{
	struct gw *gw = g_new0(struct gw, 1);

	gw->settings = settings;
	gw->path = path;
	gw->base = base;
	slog_open(settings->id);
	slog("start", NULL, "\"zone\":%s,\"store\":%s",
	     slog_quote(settings->zone), slog_quote(settings->store));
	if (!build_shared(gw) || !open_listeners(gw)) {
		slog_flush();
		gw_destroy(gw);
		return NULL;
	}
	catch_signals(gw);
	return gw;
}

void gw_run(struct gw *gw)
{
	event_base_dispatch(gw->base);
	slog("stopped", NULL, "\"ms\":%" G_GINT64_FORMAT,
	     clock_boot_ms() - gw->stop_at);
	slog_flush();
}

void gw_destroy(struct gw *gw)
{
	struct xch_shared *shared = &gw->shared;

	inbound_destroy(gw->callers);
	inbound_destroy(gw->ready);
	inbound_destroy(gw->metrics);
	rly_destroy(gw->relay);
	swp_destroy(gw->sweeper);
	mbr_destroy(shared->members);
	blf_destroy(shared->beliefs);
	trn_destroy(shared->programs);
	flt_destroy(shared->fleet);
	adm_destroy(shared->admission);
	qta_destroy(shared->quota);
	sus_destroy(shared->suspects);
	rst_destroy(shared->store);
	up_destroy(shared->up);
	g_hash_table_destroy(shared->sessions);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++) {
		if (gw->signals[i] != NULL)
			event_free(gw->signals[i]);
	}
	if (gw->tick != NULL)
		event_free(gw->tick);
	g_free(gw);
}
