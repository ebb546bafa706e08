/** @file gateway.c @brief One gateway instance: startup and shutdown. */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "clock.h"
#include "exchange.h"
#include "gateway.h"
#include "platform/contracts.h"
#include "platform/relay.h"
#include "platform/wire.h"
#include "slog.h"
#include "stats.h"
#include "sweeper.h"
#include "tunnel.h"

enum {
	TICK_MS = 200,	   /* log flushes and steps of a shutdown */
	TOTALS_TICKS = 50, /* between two lines of totals: 10 s */
	/* The load balancer has to see two failed health checks, 1 s apart. */
	LISTEN_LINGER_MS = 3200,
	SERVER_LIMIT_KEPT_MS = 60000, /* of a server that is not listed */
	EXIT_MARGIN_MS = 200,	      /* before the process is killed */
	/* Before the exit: for refusals of what has not been read by then. */
	LAST_REFUSALS_MS = 100,
	/* Feeds may lag by a second; a request takes time to arrive. */
	REVOKE_MARGIN_MS = 1500,
	PROCESS_KB = 16384, /* of a process without requests */
	/* What is counted takes up to twice as much, as arrays grow by doubling
	 * and sockets have buffers. */
	MEMORY_FACTOR = 2,
	MEMORY_MIN_KB = 4096,
	COPIES_PART = 8, /* of what connections and requests may hold */
};

struct gw {
	const struct gw_settings *settings;
	const char *path;
	struct event_base *base;
	struct exch_shared shared;
	struct inbound *callers;
	struct inbound *ready;
	struct inbound *metrics;
	struct relay *relay;
	struct tunnels *tunnels;
	struct sweeper *sweeper;
	struct event *signals[3];
	struct event *tick_timer;
	struct event *stop_timer;    /* of the last steps of a shutdown */
	int64_t shutdown_started_ms; /* 0: no shutdown */
	uint32_t ticks;
	bool was_ready;
	bool stopped;
};

static void on_request(void *arg, struct inbound_request *request)
{
	struct gw *gw = arg;

	exch_start(&gw->shared, request);
}

static void on_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	exch_caller_disconnected(request);
}

static void on_drained(void *arg, struct inbound_request *request)
{
	(void)arg;
	exch_caller_drained(request);
}

static bool is_ready(const struct gw *gw)
{
	return gw->shutdown_started_ms == 0 &&
	       watcher_catalog(gw->shared.watcher) != NULL &&
	       watcher_config_age_ms(gw->shared.watcher) <
		       gw->shared.max_config_age_ms;
}

static void on_health_request(void *arg, struct inbound_request *request)
{
	struct gw *gw = arg;
	bool ready = is_ready(gw);

	if (ready != gw->was_ready)
		slog("ready", NULL,
		     "\"ready\":%s,\"config_age_ms\":%" G_GINT64_FORMAT,
		     ready ? "true" : "false",
		     watcher_config_age_ms(gw->shared.watcher));
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
	guint copies = 0;
	uint64_t copy_bytes = 0;

	stats_print(text);
	inbound_count(gw->callers, &conns, &requests);
	turns_cache_size(gw->shared.turns, &programs, &bytes);
	if (gw->shared.copies != NULL)
		copies_size(gw->shared.copies, &copies, &copy_bytes);
	g_string_append_printf(
		text,
		"apricotshift_connections %u\napricotshift_requests %u\n"
		"apricotshift_programs %u\n"
		"apricotshift_history_bytes %" G_GUINT64_FORMAT "\n"
		"apricotshift_memory_held_bytes %" G_GUINT64_FORMAT "\n"
		"apricotshift_copies %u\n"
		"apricotshift_copies_bytes %" G_GUINT64_FORMAT "\n"
		"apricotshift_servers %u\napricotshift_instances %u\n"
		"apricotshift_config_age_ms %" G_GINT64_FORMAT "\n"
		"apricotshift_connections_opened_total %" G_GUINT64_FORMAT "\n"
		"apricotshift_log_lines_left_out_total %" G_GUINT64_FORMAT "\n",
		conns, requests, programs, bytes, gw->shared.memory->bytes,
		copies, copy_bytes, fleet_count(gw->shared.fleet),
		members_count(gw->shared.members),
		watcher_config_age_ms(gw->shared.watcher),
		upstream_opened_total(gw->shared.upstream), slog_dropped());
	inbound_reply(request, 200,
		      "Content-Type: text/plain; version=0.0.4\r\n", text->str,
		      text->len);
	g_string_free(text, TRUE);
}

static void on_probe_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	(void)request;
}

static void on_config(void *arg, struct catalog *catalog)
{
	struct gw *gw = arg;
	const struct cat_limits *configured = cat_limits(catalog);
	struct inbound_limits limits = {
		.max_header_bytes = configured->max_header_bytes,
		.max_body_bytes = configured->max_body_bytes,
		.header_timeout_ms = configured->header_timeout_ms,
		.idle_timeout_ms = configured->idle_timeout_ms,
		.max_header_lines = gw->settings->max_header_lines,
	};

	if (gw->callers != NULL)
		inbound_set_limits(gw->callers, &limits);
	store_set_resending(gw->shared.store,
			    gw->shared.contracts.overload ||
				    cat_has_warm_engines(catalog));
}

static int64_t config_age_ms(void *arg)
{
	struct gw *gw = arg;

	return watcher_config_age_ms(gw->shared.watcher);
}

static bool server_limit(const struct gw *gw, const char *server,
			 struct quota_limit *limit)
{
	struct slim_limit named;

	if (!slim_get(gw->shared.server_limits, server, &named) || !named.named)
		return false;
	slim_quota_limit(&named, limit);
	return true;
}

static bool find_limit(void *arg, const char *name, struct quota_limit *limit)
{
	struct gw *gw = arg;
	const struct catalog *catalog = watcher_catalog(gw->shared.watcher);
	const char *server = slim_quota_server(name);
	const struct cat_account *found;

	if (server != NULL)
		return server_limit(gw, server, limit);
	found = catalog ? cat_find_account(catalog, name) : NULL;
	if (found == NULL)
		return false;
	*limit = (struct quota_limit){.rate = found->rate,
				      .burst = found->burst,
				      .slack = gw->shared.quota_slack};
	return true;
}

static void on_lend(void *arg, const char *account, uint32_t granted,
		    int64_t wait_ms, uint32_t serial)
{
	struct gw *gw = arg;

	adm_on_lend(gw->shared.admission, account, granted, wait_ms, serial);
}

/* Whether connections may be carried for other instances. */
static bool reaches_servers(void *arg)
{
	const struct gw *gw = arg;

	return gw->tunnels != NULL && gw->shutdown_started_ms == 0 &&
	       !links_all_lost(gw->shared.links);
}

static bool is_cut_off(void *arg, int64_t outage_ms)
{
	const struct gw *gw = arg;

	return gw->shared.members != NULL &&
	       members_is_cut_off(gw->shared.members, outage_ms);
}

static const char *get_relay(void *arg)
{
	struct gw *gw = arg;

	/* The first store calls are made before members are created. */
	return gw->shared.members ? members_find_relay(gw->shared.members)
				  : NULL;
}

static bool on_suspect(void *arg, const struct suspect_mark *mark)
{
	struct gw *gw = arg;

	return crash_on_report(gw->shared.crashes, mark);
}

static void on_rollout(void *arg, const struct Rows__RolloutReport *report)
{
	struct gw *gw = arg;

	if (gw->shared.rollouts != NULL)
		rollouts_on_report(gw->shared.rollouts, report);
}

static void close_idle(struct fleet_server *server)
{
	upstream_close_idle(server->idle);
}

/* When the process ends at the latest. */
static int64_t stop_at_ms(const struct gw *gw)
{
	return gw->shutdown_started_ms + (int64_t)gw->settings->grace_s * 1000 -
	       EXIT_MARGIN_MS;
}

void gw_stop(struct gw *gw)
{
	struct timeval tv;

	if (gw->shutdown_started_ms != 0)
		return;
	gw->shutdown_started_ms = clock_boot_ms();
	slog("stop", NULL, "\"grace_s\":%u", gw->settings->grace_s);
	inbound_drain(gw->callers);
	members_leave(gw->shared.members);
	exch_stop_at(&gw->shared, stop_at_ms(gw));
	if (gw->tunnels != NULL)
		tunnels_end_at(gw->tunnels, stop_at_ms(gw));
	tv = clock_timeval(stop_at_ms(gw) - LAST_REFUSALS_MS - clock_boot_ms());
	event_add(gw->stop_timer, &tv);
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

/* No setting can change while the process runs; the file is only checked, so
 * that a fault is reported before the next start. */
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

static void end_shutdown(struct gw *gw)
{
	gw->stopped = true;
	event_base_loopbreak(gw->base);
}

/* The grace period is nearly over: refuses what can't be read to its end any
 * more, and then ends. */
static void on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gw *gw = arg;
	int64_t left_ms = stop_at_ms(gw) - clock_boot_ms();
	struct timeval tv = clock_timeval(MAX(left_ms, 0));
	GString *headers;

	(void)fd;
	(void)what;
	if (left_ms <= 0) {
		end_shutdown(gw);
		return;
	}
	headers = g_string_new(NULL);
	wire_add_retry_after(headers, EXCH_PEER_RETRY_AFTER_MS);
	wire_add_not_executed(headers);
	inbound_stop_listening(gw->callers);
	inbound_refuse_partial(gw->callers, headers->str);
	g_string_free(headers, TRUE);
	event_add(gw->stop_timer, &tv);
}

/* Advances a shutdown: keeps listening for a while, then ends once all
 * connections are closed. */
static void advance_shutdown(struct gw *gw)
{
	int64_t elapsed_ms = clock_boot_ms() - gw->shutdown_started_ms;
	int64_t grace_ms = (int64_t)gw->settings->grace_s * 1000;
	guint conns;
	guint requests;

	if (elapsed_ms < MIN(LISTEN_LINGER_MS, grace_ms / 2))
		return;
	inbound_stop_listening(gw->callers);
	inbound_close_idle(gw->callers);
	inbound_count(gw->callers, &conns, &requests);
	if (gw->tunnels != NULL) {
		tunnels_stop_listening(gw->tunnels);
		conns += tunnels_count(gw->tunnels);
	}
	if (gw->relay != NULL)
		conns += relay_calls(gw->relay);
	if (conns == 0)
		end_shutdown(gw);
}

/* Logs totals since the start, so that rates can be read from the log alone. */
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
	     conns, requests, members_count(gw->shared.members),
	     fleet_count(gw->shared.fleet), stats_get(STATS_REQUESTS),
	     stats_get(STATS_SENT), stats_get(STATS_STORE_READS),
	     stats_get(STATS_STORE_FEEDS), stats_get(STATS_STORE_WRITES),
	     watcher_config_age_ms(gw->shared.watcher));
}

/* Forgets the limit of a server that has left the list. */
static bool forget_server_limit(void *arg, const char *server)
{
	struct gw *gw = arg;
	char *name;

	if (fleet_find(gw->shared.fleet, server) != NULL)
		return false;
	name = slim_quota_name(server);
	adm_forget(gw->shared.admission, name);
	quota_forget(gw->shared.quota, name);
	g_free(name);
	return true;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct gw *gw = arg;

	(void)fd;
	(void)what;
	if (gw->shutdown_started_ms != 0)
		advance_shutdown(gw);
	if (++gw->ticks % TOTALS_TICKS == 0) {
		exch_expire_sessions(&gw->shared);
		slim_expire(gw->shared.server_limits,
			    clock_boot_ms() - SERVER_LIMIT_KEPT_MS,
			    forget_server_limit, gw);
		rbud_expire(gw->shared.retry_budget, clock_boot_ms());
		log_totals(gw);
	}
	crash_tick(gw->shared.crashes);
	rbud_set_instances(gw->shared.retry_budget,
			   members_count(gw->shared.members));
	slog_flush();
}

static struct inbound *create_listener(struct gw *gw, const char *address,
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
	static const struct inbound_handler callers = {
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.on_drained = on_drained};
	static const struct inbound_handler ready = {
		.on_request = on_health_request,
		.on_disconnect = on_probe_disconnect};
	static const struct inbound_handler metrics = {
		.on_request = on_metrics_request,
		.on_disconnect = on_probe_disconnect};

	gw->callers = create_listener(gw, gw->settings->callers, &callers);
	if (gw->callers != NULL)
		inbound_set_memory(gw->callers, gw->shared.memory);
	gw->ready = create_listener(gw, gw->settings->ready, &ready);
	if (gw->ready != NULL)
		inbound_set_memory(gw->ready, gw->shared.memory);
	if (gw->settings->metrics != NULL)
		gw->metrics =
			create_listener(gw, gw->settings->metrics, &metrics);
	if (gw->metrics != NULL)
		inbound_set_memory(gw->metrics, gw->shared.memory);
	if (gw->settings->relay != NULL)
		gw->relay =
			relay_create(gw->base, gw->shared.upstream,
				     gw->settings->relay, gw->settings->store);
	if (gw->settings->relay != NULL && gw->relay == NULL)
		fprintf(stderr, "apricotshift: listen on %s: %s\n",
			gw->settings->relay, strerror(errno));
	if (gw->relay != NULL)
		relay_set_memory(gw->relay, gw->shared.memory);
	if (gw->settings->tunnel != NULL)
		gw->tunnels = tunnels_create(gw->base, gw->settings->tunnel,
					     gw->shared.fleet);
	if (gw->settings->tunnel != NULL && gw->tunnels == NULL)
		fprintf(stderr, "apricotshift: listen on %s: %s\n",
			gw->settings->tunnel, strerror(errno));
	if (gw->tunnels != NULL)
		tunnels_set_memory(gw->tunnels, gw->shared.memory);
	if (gw->tunnels != NULL && gw->shared.copies != NULL)
		tunnels_set_copies(gw->tunnels, copies_accept,
				   gw->shared.copies);
	return gw->callers != NULL && gw->ready != NULL;
}

static void add_events(struct gw *gw)
{
	struct timeval tv = {.tv_usec = TICK_MS * 1000};

	signal(SIGPIPE, SIG_IGN);
	gw->signals[0] = evsignal_new(gw->base, SIGTERM, on_term, gw);
	gw->signals[1] = evsignal_new(gw->base, SIGINT, on_term, gw);
	gw->signals[2] = evsignal_new(gw->base, SIGHUP, on_hup, gw);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++)
		event_add(gw->signals[i], NULL);
	gw->stop_timer = evtimer_new(gw->base, on_stop_timer, gw);
	gw->tick_timer = event_new(gw->base, -1, EV_PERSIST, on_tick, gw);
	event_add(gw->tick_timer, &tv);
}

/* How much connections and requests may hold. */
static uint64_t budget_bytes(const struct gw_settings *settings)
{
	int64_t kb = (int64_t)settings->memory_mb * 1024 - PROCESS_KB -
		     settings->cache_kb - settings->load_kb;

	return (uint64_t)MAX(kb / MEMORY_FACTOR, MEMORY_MIN_KB) * 1024;
}

static void create_rollouts(struct gw *gw)
{
	struct exch_shared *shared = &gw->shared;
	const struct gw_settings *settings = gw->settings;
	struct rollouts_config config = {
		.base = gw->base,
		.store = shared->store,
		.fleet = shared->fleet,
		.members = shared->members,
		.bounds = {.exposure_share = settings->exposure_share,
			   .exposure_slack = settings->exposure_slack,
			   .rollback_ms = settings->rollback_ms},
	};

	shared->rollouts = rollouts_create(&config, shared->watcher);
}

static void create_copies(struct gw *gw)
{
	struct exch_shared *shared = &gw->shared;
	struct copies_config config = {
		.base = gw->base,
		.members = shared->members,
		.memory = shared->memory,
		.zone = gw->settings->zone,
		.max_bytes = shared->memory->max_bytes / COPIES_PART,
	};

	shared->copies = copies_create(&config);
}

/* Creates the shared modules; returns false if an address can't be bound. */
static bool create_modules(struct gw *gw)
{
	const struct gw_settings *settings = gw->settings;
	struct exch_shared *shared = &gw->shared;
	struct members_config config = {
		.base = gw->base,
		.id = settings->id,
		.zone = settings->zone,
		.address = settings->peers,
		.relay = settings->relay,
		.tunnel = settings->tunnel,
		.copies = settings->tunnel,
		.reaches_servers = reaches_servers,
		.config_age_ms = config_age_ms,
		.find_limit = find_limit,
		.on_lend = on_lend,
		.on_suspect = on_suspect,
		.on_rollout = on_rollout,
		.arg = gw,
	};
	uint64_t seed;

	config.epoch = (uint64_t)(g_get_real_time() / 1000);
	shared->base = gw->base;
	CDS_INIT_LIST_HEAD(&shared->all);
	shared->memory = mem_create(gw->base, budget_bytes(settings));
	shared->zone = settings->zone;
	shared->contracts = contracts_parse(settings->contracts);
	shared->max_config_age_ms =
		(int64_t)settings->revoke_ms - REVOKE_MARGIN_MS;
	/* The other half is for instances that join, leave or lose contact. */
	shared->quota_slack = settings->quota_slack / 2.0;
	shared->upstream = upstream_create(gw->base);
	upstream_set_memory(shared->upstream, shared->memory);
	shared->store =
		store_create(gw->base, shared->upstream, settings->store);
	store_set_relay(shared->store, get_relay, gw);
	store_set_resending(shared->store, shared->contracts.overload);
	shared->fleet = fleet_create(close_idle);
	shared->quota = quota_create(settings->id, clock_boot_ms());
	shared->admission = adm_create(gw->base, shared->quota);
	shared->server_limits = slim_create();
	shared->load_view = lview_create();
	shared->cost = cost_create();
	randombytes_buf(&seed, sizeof(seed));
	shared->retry_budget = rbud_create(seed);
	shared->overload = overload_create(~seed);
	shared->links = links_create();
	shared->link_check =
		lchk_create(gw->base, shared->fleet, shared->links);
	shared->turns = turns_create(gw->base, shared->store,
				     (uint64_t)settings->cache_kb * 1024,
				     (uint64_t)settings->load_kb * 1024);
	shared->sessions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shared->watcher = watcher_create(gw->base, shared->store, shared->fleet,
					 on_config, gw);
	shared->crashes = crash_create(gw->base, shared->store, shared->fleet,
				       shared->watcher);
	config.store = shared->store;
	config.quota = shared->quota;
	config.server_limits = shared->server_limits;
	config.load_view = shared->load_view;
	config.retry_budget = shared->retry_budget;
	shared->members = members_create(&config);
	turns_set_cut_off(shared->turns, is_cut_off, gw);
	adm_set_members(shared->admission, shared->members);
	crash_set_members(shared->crashes, shared->members);
	if (shared->members == NULL)
		fprintf(stderr,
			"apricotshift: bind datagram socket on %s: %s\n",
			settings->peers, strerror(errno));
	if (shared->members != NULL && shared->contracts.rollouts)
		create_rollouts(gw);
	if (shared->members != NULL && settings->tunnel != NULL)
		create_copies(gw);
	if (shared->members != NULL)
		gw->sweeper =
			sweeper_create(gw->base, shared->store, shared->members,
				       settings->sweep_ms);
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
	if (!create_modules(gw) || !open_listeners(gw)) {
		slog_flush();
		gw_destroy(gw);
		return NULL;
	}
	add_events(gw);
	return gw;
}

void gw_run(struct gw *gw)
{
	event_base_dispatch(gw->base);
	slog("stopped", NULL, "\"ms\":%" G_GINT64_FORMAT,
	     clock_boot_ms() - gw->shutdown_started_ms);
	slog_flush();
}

void gw_destroy(struct gw *gw)
{
	struct exch_shared *shared = &gw->shared;

	inbound_destroy(gw->callers);
	inbound_destroy(gw->ready);
	inbound_destroy(gw->metrics);
	relay_destroy(gw->relay);
	tunnels_destroy(gw->tunnels);
	copies_destroy(shared->copies);
	sweeper_destroy(gw->sweeper);
	rollouts_destroy(shared->rollouts);
	members_destroy(shared->members);
	lchk_destroy(shared->link_check);
	crash_destroy(shared->crashes);
	watcher_destroy(shared->watcher);
	turns_destroy(shared->turns);
	fleet_destroy(shared->fleet);
	adm_destroy(shared->admission);
	quota_destroy(shared->quota);
	slim_destroy(shared->server_limits);
	lview_destroy(shared->load_view);
	cost_destroy(shared->cost);
	rbud_destroy(shared->retry_budget);
	overload_destroy(shared->overload);
	links_destroy(shared->links);
	store_destroy(shared->store);
	upstream_destroy(shared->upstream);
	mem_destroy(shared->memory);
	g_hash_table_destroy(shared->sessions);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++) {
		if (gw->signals[i] != NULL)
			event_free(gw->signals[i]);
	}
	if (gw->tick_timer != NULL)
		event_free(gw->tick_timer);
	if (gw->stop_timer != NULL)
		event_free(gw->stop_timer);
	g_free(gw);
}
