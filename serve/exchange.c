/** @file exchange.c @brief Lets a request in, and ends it. */
#include <string.h>

#include "clock.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	NO_DEADLINE_MS = 30000, /* where neither caller nor route says */
	SESSION_MS = 65000,
	STORE_BACK_MS = 900,	 /* the store is mostly back after seconds */
	ELSEWHERE_MS = 50,	 /* another instance may serve it at once */
	QUOTA_PATIENCE_MS = 120, /* a refusal may end a program under way */
	NEW_PATIENCE_MS = 40,	 /* a refusal loses nothing but its way */
};

const char *xch_account_name(const struct xch *x)
{
	return x->account ? x->account->name : "";
}

void xch_drop_upstream(struct xch *x)
{
	if (x->up != NULL)
		up_cancel(x->up);
	x->up = NULL;
	if (x->server != NULL) {
		flt_ended(x->server);
		flt_unref(x->server);
	}
	x->server = NULL;
}

void xch_free(struct xch *x)
{
	xch_drop_upstream(x);
	if (x->admission != NULL)
		adm_cancel(x->admission);
	if (x->turn != NULL)
		trn_end(x->turn, x->used);
	if (x->deadline != NULL)
		event_free(x->deadline);
	if (x->pause != NULL)
		event_free(x->pause);
	if (x->body != NULL)
		g_bytes_unref(x->body);
	if (x->tried != NULL)
		g_ptr_array_free(x->tried, TRUE);
	if (x->headers != NULL)
		g_string_free(x->headers, TRUE);
	if (x->held != NULL)
		g_byte_array_unref(x->held);
	if (x->output != NULL)
		g_string_free(x->output, TRUE);
	evt_destroy(x->events);
	cat_unref(x->cat);
	g_free(x);
}

void xch_log_end(struct xch *x, const char *outcome, int status)
{
	int64_t ms = clock_boot_ms() - x->began;

	slog("ended", x->call.id,
	     "\"outcome\":\"%s\",\"status\":%d,\"ms\":%" G_GINT64_FORMAT
	     ",\"server\":%s,\"sends\":%u,\"tokens\":%" G_GUINT64_FORMAT,
	     outcome, status, ms, slog_quote(x->server ? x->server->id : ""),
	     x->state.sends, x->used);
}

/* Answers without a server's answer; @p x is gone afterwards. */
void xch_reply_own(struct xch *x, int status, const char *cause,
		   int64_t wait_ms)
{
	struct inbound_request *request = x->request;
	GString *headers = g_string_new(NULL);

	g_string_append_printf(headers, WIRE_ID_NAME ": %s\r\n", x->call.id);
	wire_write_refusal(headers, wait_ms);
	slog("refused", x->call.id,
	     "\"status\":%d,\"cause\":\"%s\",\"wait_ms\":%" G_GINT64_FORMAT
	     ",\"account\":%s,\"previous\":%s,\"config\":%" G_GINT64_FORMAT
	     ",\"config_age_ms\":%" G_GINT64_FORMAT
	     ",\"sends\":%u,\"ms\":%" G_GINT64_FORMAT,
	     status, cause, wait_ms, slog_quote(xch_account_name(x)),
	     slog_quote(x->call.previous ? x->call.previous : ""),
	     x->cat ? cat_version(x->cat) : 0, blf_age_ms(x->shared->beliefs),
	     x->state.sends, clock_boot_ms() - x->began);
	stats_observe(STATS_REFUSAL, clock_boot_ms() - x->began);
	xch_free(x);
	inbound_reply(request, status, headers->str, NULL, 0);
	g_string_free(headers, TRUE);
}

/* Refuses a request that has not run, and gives its quota back. */
void xch_refuse(struct xch *x, enum stats_counter counter, int status,
		const char *cause, int64_t wait_ms)
{
	stats_count(counter);
	if (x->admitted)
		qta_give_back(x->shared->quota, x->account->name);
	xch_reply_own(x, status, cause, wait_ms);
}

/* The answer breaks off, or there will be none. */
void xch_fail(struct xch *x, const char *cause, int status)
{
	struct inbound_request *request = x->request;

	if (!x->state.begun) {
		stats_count(STATS_FAILED);
		xch_reply_own(x, status, cause, 0);
		return;
	}
	stats_count(STATS_BROKEN_OFF);
	xch_log_end(x, cause, 0);
	xch_free(x);
	inbound_abort(request);
}

void xch_set_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(timer, &tv);
}

static void on_pause(evutil_socket_t fd, short what, void *arg)
{
	struct xch *x = arg;

	(void)fd;
	(void)what;
	if (x->up == NULL) {
		xch_place(x);
		return;
	}
	up_cancel(x->up);
	x->up = NULL;
	xch_no_answer(x, RTY_BROKEN, "server silent");
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct xch *x = arg;

	(void)fd;
	(void)what;
	stats_count(STATS_TIMED_OUT);
	if (!x->state.begun && x->state.runs == 0 && x->up == NULL &&
	    x->state.sends == 0)
		xch_refuse(x, STATS_REFUSED_FULL, 503, "out of time", 0);
	else
		xch_fail(x, "out of time", 504);
}

/* How long the store's callers should stay away. */
static int64_t store_wait_ms(const struct xch *x)
{
	return mbr_others_fresh(x->shared->members) ? ELSEWHERE_MS
						    : STORE_BACK_MS;
}

static void on_decided(void *arg, enum trn_verdict verdict,
		       const GByteArray *history)
{
	struct xch *x = arg;
	GByteArray *body;

	switch (verdict) {
	case TRN_SPENT:
		xch_refuse(x, STATS_REFUSED_BUDGET, 402, "budget spent", 0);
		return;
	case TRN_NO_TURN:
		xch_refuse(x, STATS_REFUSED_NO_TURN, 404, "no such turn", 0);
		return;
	case TRN_UNAVAILABLE:
		xch_refuse(x, STATS_REFUSED_STORE, 503, "store away",
			   store_wait_ms(x));
		return;
	case TRN_GO:
		break;
	}
	if (history->len > 0) {
		body = g_byte_array_sized_new(history->len +
					      x->request->body->len);
		g_byte_array_append(body, history->data, history->len);
		g_byte_array_append(body, x->request->body->data,
				    x->request->body->len);
		g_bytes_unref(x->body);
		x->body = g_byte_array_free_to_bytes(body);
	}
	xch_place(x);
}

static const struct trn_handler turn_handler = {on_decided, xch_granted,
						xch_kept};

static void begin_turn(struct xch *x)
{
	struct trn_request request = {
		.account = xch_account_name(x),
		.program = x->call.program,
		.id = x->call.id,
		.previous = x->call.previous,
		.budget = x->call.budget,
		.most = x->call.max_tokens,
		.retain = x->route->retain,
		.retention_ms = x->route->retention_ms,
	};

	x->granted = x->call.budget == 0;
	trn_begin(x->shared->programs, &request, &turn_handler, x, &x->turn);
}

/* Goes on with a request that was let in. */
static void proceed(struct xch *x)
{
	if (x->route->kind == CAT_STREAM &&
	    (x->call.budget > 0 || x->route->retain)) {
		begin_turn(x);
		return;
	}
	x->granted = true;
	xch_place(x);
}

/* Whether this is, as far as is known here, the first turn of a program. */
static bool begins_program(const struct xch *x)
{
	return x->route->kind == CAT_STREAM && x->call.program != NULL &&
	       x->call.previous == NULL &&
	       !g_hash_table_contains(x->shared->sessions, x->call.program);
}

/* What a refusal for want of quota rested on. */
static void log_quota(const struct xch *x)
{
	struct qta_view view;

	qta_look(x->shared->quota, x->account->name, &view);
	slog("quota", x->call.id,
	     "\"account\":%s,\"rate\":%g,\"burst\":%g,\"tokens\":%.2f,"
	     "\"share\":%.3f,\"demand\":%.2f,\"instances\":%u,"
	     "\"home\":%s,\"begins\":%s",
	     slog_quote(x->account->name), x->account->rate, x->account->burst,
	     view.tokens, view.share, view.demand, view.instances,
	     view.home ? "true" : "false",
	     begins_program(x) ? "true" : "false");
}

static void on_admitted(void *arg, bool admitted, int64_t wait_ms)
{
	struct xch *x = arg;

	x->admission = NULL;
	if (admitted) {
		x->admitted = true;
		proceed(x);
		return;
	}
	log_quota(x);
	stats_count(STATS_REFUSED_QUOTA);
	xch_reply_own(x, 429, "over quota", wait_ms);
}

static void ask_quota(struct xch *x)
{
	struct qta_limit limit = {x->account->rate, x->account->burst,
				  x->shared->quota_slack};
	bool begins = begins_program(x);
	int64_t patience = begins ? NEW_PATIENCE_MS : QUOTA_PATIENCE_MS;
	struct adm_wait *wait;

	wait = adm_ask(x->shared->admission, x->account->name, &limit, begins,
		       patience, on_admitted, x);
	if (wait != NULL)
		x->admission = wait;
}

/* Checks who is calling and what for; returns false if it was answered. */
static bool admit(struct xch *x)
{
	struct xch_shared *shared = x->shared;
	struct cat *cat = blf_catalog(shared->beliefs);
	guint routes;
	guint services;
	guint accounts;

	if (cat == NULL) {
		stats_count(STATS_REFUSED_NO_CONFIG);
		xch_reply_own(x, 503, "no configuration", ELSEWHERE_MS);
		return false;
	}
	x->cat = cat_ref(cat);
	x->route = cat_find_route(cat, x->call.host, x->call.path);
	cat_sizes(cat, &routes, &services, &accounts);
	if (blf_age_ms(shared->beliefs) > shared->stale_ms &&
	    (x->route == NULL || !x->route->open)) {
		stats_count(STATS_REFUSED_STALE_CONFIG);
		xch_reply_own(x, 503, "old configuration", store_wait_ms(x));
		return false;
	}
	if (x->route == NULL) {
		stats_count(STATS_REFUSED_ROUTE);
		xch_reply_own(x, 404, "no such route", 0);
		return false;
	}
	if (accounts == 0 || x->route->open)
		return true;
	x->account = x->call.key ? cat_find_key(cat, x->call.key) : NULL;
	if (x->account == NULL) {
		stats_count(STATS_REFUSED_KEY);
		xch_reply_own(x, 401, "unknown key", 0);
		return false;
	}
	return true;
}

static bool choose_service(struct xch *x)
{
	const char *name = x->call.program ? x->call.program : x->call.id;
	int64_t wait_ms;

	x->service = cat_choose(x->cat, x->route, g_str_hash(name) >> 3);
	if (x->service == NULL) {
		stats_count(STATS_REFUSED_FULL);
		xch_reply_own(x, 503, "no service", 0);
		return false;
	}
	x->fingerprint =
		sus_fingerprint(xch_account_name(x), x->call.path,
				x->request->body->data, x->request->body->len);
	if (x->request->body->len > 0 &&
	    sus_refused(x->shared->suspects, x->fingerprint, x->began,
			&wait_ms)) {
		stats_count(STATS_REFUSED_MARKED);
		xch_reply_own(x, 503, "breaks servers", wait_ms);
		return false;
	}
	return true;
}

static void set_deadlines(struct xch *x)
{
	int64_t ms = x->route->timeout_ms;

	if (x->call.deadline_ms > 0 && (ms <= 0 || x->call.deadline_ms < ms))
		ms = x->call.deadline_ms;
	if (ms <= 0)
		ms = NO_DEADLINE_MS;
	x->deadline_at = x->request->received_at_ms + ms;
	x->deadline = evtimer_new(x->shared->base, on_deadline, x);
	x->pause = evtimer_new(x->shared->base, on_pause, x);
	xch_set_timer(x->deadline, ms);
}

void xch_start(struct xch_shared *shared, struct inbound_request *request)
{
	struct xch *x;
	struct call call;

	stats_count(STATS_REQUESTS);
	if (!wire_read_call(request, &call)) {
		inbound_reply(request, 400, "", NULL, 0);
		return;
	}
	x = g_new0(struct xch, 1);
	x->shared = shared;
	x->request = request;
	x->call = call;
	x->began = clock_boot_ms();
	request->user_data = x;
	if (!admit(x) || !choose_service(x))
		return;
	x->body = g_bytes_new(request->body->data, request->body->len);
	x->tried = g_ptr_array_new_with_free_func(g_free);
	x->held = g_byte_array_new();
	x->output = g_string_new(NULL);
	x->events = evt_create();
	x->last_event_id = call.last_event_id;
	x->state.attempts = x->route->attempts;
	x->state.idempotent =
		x->route->kind == CAT_IDEMPOTENT ||
		(x->route->kind == CAT_STREAM && x->route->resumable);
	set_deadlines(x);
	if (x->account != NULL)
		ask_quota(x);
	else
		proceed(x);
}

void xch_gone(struct inbound_request *request)
{
	struct xch *x = request->user_data;

	if (x == NULL)
		return;
	stats_count(STATS_CALLER_LEFT);
	xch_log_end(x, "caller left", 0);
	xch_free(x);
}

static gboolean session_is_over(gpointer name, gpointer value, gpointer now)
{
	const struct xch_session *session = value;

	(void)name;
	return *(int64_t *)now - session->at > SESSION_MS;
}

void xch_forget_sessions(struct xch_shared *shared)
{
	int64_t now = clock_boot_ms();

	g_hash_table_foreach_remove(shared->sessions, session_is_over, &now);
}
