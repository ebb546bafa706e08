/** @file exchange.c @brief Admission and end of a caller's request. */
#include <string.h>

#include "clock.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	SESSION_IDLE_MS = 65000,
	QUOTA_WAIT_MS = 120,	/* a refusal may end a running program */
	QUOTA_WAIT_NEW_MS = 40, /* a refusal costs only the round trip */
};

const char *exch_account_name(const struct exch *x)
{
	return x->account ? x->account->name : "";
}

bool exch_manages_overload(const struct exch *x)
{
	const struct catalog *catalog =
		x->catalog ? x->catalog : watcher_catalog(x->shared->watcher);

	return x->shared->contracts.overload ||
	       (catalog != NULL && cat_has_warm_engines(catalog));
}

void exch_cancel_upstream(struct exch *x)
{
	g_clear_pointer(&x->reader, turns_reader_destroy);
	if (x->upstream != NULL)
		upstream_cancel(x->upstream);
	x->upstream = NULL;
	exch_cost_end(x, false);
	if (x->server != NULL) {
		rollouts_on_ended(&x->attempt);
		fleet_on_end(x->server);
		if (x->tunnel == NULL)
			links_on_ended(x->shared->links);
		g_clear_pointer(&x->tunnel, g_free);
		fleet_unref(x->server);
	}
	x->server = NULL;
}

void exch_free(struct exch *x)
{
	cds_list_del(&x->node);
	mem_leave(&x->held);
	exch_cancel_upstream(x);
	if (x->waiter != NULL)
		adm_cancel(x->waiter);
	exch_cancel_acquire(x);
	exch_cancel_resume(x);
	if (x->turn != NULL)
		turns_end(x->turn, x->tokens_used);
	if (x->deadline_timer != NULL)
		event_free(x->deadline_timer);
	if (x->timer != NULL)
		event_free(x->timer);
	if (x->config_timer != NULL)
		event_free(x->config_timer);
	if (x->body != NULL)
		g_bytes_unref(x->body);
	if (x->tried_servers != NULL)
		g_ptr_array_free(x->tried_servers, TRUE);
	if (x->interrupted_servers != NULL)
		g_ptr_array_free(x->interrupted_servers, TRUE);
	if (x->used_conns != NULL)
		g_array_unref(x->used_conns);
	if (x->headers != NULL)
		g_string_free(x->headers, TRUE);
	if (x->buffered != NULL)
		g_byte_array_unref(x->buffered);
	if (x->turn_output != NULL)
		g_string_free(x->turn_output, TRUE);
	if (x->turn_text != NULL)
		g_bytes_unref(x->turn_text);
	splitter_destroy(x->splitter);
	g_free(x->version);
	cat_unref(x->catalog);
	g_free(x);
}

void exch_log_end(struct exch *x, const char *outcome, int status)
{
	int64_t ms = clock_boot_ms() - x->started_ms;

	slog("ended", x->call.id,
	     "\"outcome\":\"%s\",\"status\":%d,\"ms\":%" G_GINT64_FORMAT
	     ",\"server\":%s,\"sends\":%u,\"tokens\":%" G_GUINT64_FORMAT
	     ",\"tx\":%" G_GUINT64_FORMAT,
	     outcome, status, ms, slog_quote(x->server ? x->server->id : ""),
	     x->retry.sends, x->tokens_used,
	     x->turn != NULL ? turns_stored_by(x->turn) : 0);
}

void exch_reply_error(struct exch *x, int status, const char *cause,
		      int64_t wait_ms)
{
	struct inbound_request *request = x->request;
	GString *headers = g_string_new(NULL);

	g_string_append_printf(headers, WIRE_REQUEST_ID_HEADER ": %s\r\n",
			       x->call.id);
	wire_add_retry_after(headers, wait_ms);
	if (status == 503 || status == 429)
		wire_add_not_executed(headers);
	slog("refused", x->call.id,
	     "\"status\":%d,\"cause\":\"%s\",\"wait_ms\":%" G_GINT64_FORMAT
	     ",\"account\":%s,\"previous\":%s,\"config\":%" G_GINT64_FORMAT
	     ",\"config_age_ms\":%" G_GINT64_FORMAT
	     ",\"sends\":%u,\"ms\":%" G_GINT64_FORMAT,
	     status, cause, wait_ms, slog_quote(exch_account_name(x)),
	     slog_quote(x->call.previous ? x->call.previous : ""),
	     x->catalog ? cat_version(x->catalog) : 0,
	     watcher_config_age_ms(x->shared->watcher), x->retry.sends,
	     clock_boot_ms() - x->started_ms);
	stats_observe(STATS_REFUSAL, clock_boot_ms() - x->started_ms);
	exch_free(x);
	inbound_reply(request, status, headers->str, NULL, 0);
	g_string_free(headers, TRUE);
}

void exch_refuse(struct exch *x, enum stats_counter counter, int status,
		 const char *cause, int64_t wait_ms)
{
	stats_count(counter);
	if (x->quota_taken)
		quota_refund(x->shared->quota, x->account->name);
	exch_reply_error(x, status, cause, wait_ms);
}

void exch_fail(struct exch *x, const char *cause, int status)
{
	struct inbound_request *request = x->request;

	if (!x->retry.response_started) {
		stats_count(STATS_FAILED);
		exch_reply_error(x, status, cause, 0);
		return;
	}
	stats_count(STATS_BROKEN_OFF);
	exch_log_end(x, cause, 0);
	exch_free(x);
	inbound_abort(request);
}

void exch_set_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(timer, &tv);
}

/* Selects a server again, or gives up an attempt whose server is silent. */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct exch *x = arg;

	(void)fd;
	(void)what;
	if (x->awaits_admission) {
		exch_admit(x);
		return;
	}
	if (x->upstream == NULL) {
		exch_send(x);
		return;
	}
	if (x->held.paused ||
	    (x->reader != NULL && turns_reader_is_waiting(x->reader))) {
		exch_arm_silence_timer(x);
		return;
	}
	if (upstream_put_off(x->upstream, x->timer, &x->silence_until_ms))
		return;
	exch_on_silence(x);
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct exch *x = arg;

	(void)fd;
	(void)what;
	if (x->upstream != NULL &&
	    upstream_put_off(x->upstream, x->deadline_timer,
			     &x->overtime_until_ms))
		return;
	stats_count(STATS_TIMED_OUT);
	if (x->upstream != NULL) {
		rollouts_on_response(&x->attempt, 0, 0);
		exch_suspect(x, SUSPECT_SILENT, "out of time");
	}
	if (!x->retry.response_started && x->retry.possible_runs == 0 &&
	    x->upstream == NULL && x->retry.sends == 0)
		exch_refuse(x, STATS_REFUSED_FULL, 503, "out of time", 0);
	else
		exch_fail(x, "out of time", 504);
}

static void on_turn_verdict(void *arg, enum turns_verdict verdict)
{
	struct exch *x = arg;

	switch (verdict) {
	case TURNS_OVER_BUDGET:
		exch_refuse(x, STATS_REFUSED_BUDGET, 402, "budget spent", 0);
		return;
	case TURNS_NOT_FOUND:
		exch_refuse(x, STATS_REFUSED_NO_TURN, 404, "no such turn", 0);
		return;
	case TURNS_UNAVAILABLE:
		exch_refuse(x, STATS_REFUSED_STORE, 503, "store away",
			    exch_store_retry_after_ms(x));
		return;
	case TURNS_ALLOWED:
		break;
	}
	if (turns_has_stalled(x->turn))
		exch_send_checked(x);
	else
		exch_send(x);
}

static const struct turns_handler turn_handler = {
	on_turn_verdict, exch_on_tokens_granted, exch_on_turn_committed,
	exch_on_version_stored};

static void start_turn(struct exch *x)
{
	struct turns_request request = {
		.account = exch_account_name(x),
		.program = x->call.program,
		.id = x->call.id,
		.previous = x->call.previous,
		.budget = x->call.budget,
		.max_tokens = x->call.max_tokens,
		.retain = x->route->retain,
		.retention_ms = x->route->retention_ms,
	};

	if (exch_may_await_store(x))
		request.left_ms = x->deadline_at_ms - clock_boot_ms();

	x->tokens_granted = x->call.budget == 0;
	turns_begin(x->shared->turns, &request, &turn_handler, x, &x->turn);
}

void exch_start_turn(struct exch *x)
{
	if (x->route->kind == CAT_STREAM && x->call.has_budget &&
	    x->call.budget == 0) {
		exch_refuse(x, STATS_REFUSED_BUDGET, 402, "budget spent", 0);
		return;
	}
	if (x->route->kind == CAT_STREAM &&
	    (x->call.budget > 0 || x->route->retain || x->route->resumable)) {
		start_turn(x);
		return;
	}
	x->tokens_granted = true;
	exch_send(x);
}

/* Whether this is the first turn of a program, as far as this instance knows.
 */
static bool begins_program(const struct exch *x)
{
	return x->route->kind == CAT_STREAM && x->call.program != NULL &&
	       x->call.previous == NULL &&
	       !g_hash_table_contains(x->shared->sessions, x->call.program);
}

/* Logs the state that a refusal for lack of quota was based on. */
static void log_quota(const struct exch *x)
{
	struct quota_view view;

	quota_inspect(x->shared->quota, x->account->name, &view);
	slog("quota", x->call.id,
	     "\"account\":%s,\"rate\":%g,\"burst\":%g,\"tokens\":%.2f,"
	     "\"share\":%.3f,\"demand\":%.2f,\"instances\":%u,"
	     "\"home\":%s,\"begins\":%s",
	     slog_quote(x->account->name), x->account->rate, x->account->burst,
	     view.tokens, view.share, view.demand, view.instances,
	     view.home ? "true" : "false",
	     begins_program(x) ? "true" : "false");
}

static void on_quota(void *arg, enum adm_result result, int64_t wait_ms)
{
	struct exch *x = arg;

	x->waiter = NULL;
	if (result == ADM_ADMITTED) {
		x->quota_taken = true;
		exch_admit(x);
		return;
	}
	if (result == ADM_NO_CONTACT && exch_await_contact(x))
		return;
	log_quota(x);
	if (result == ADM_NO_CONTACT) {
		stats_count(STATS_REFUSED_NO_CONTACT);
		exch_reply_error(x, 503, "no contact for quota", wait_ms);
		return;
	}
	stats_count(STATS_REFUSED_QUOTA);
	exch_reply_error(x, 429, "over quota", wait_ms);
}

void exch_acquire_quota(struct exch *x)
{
	struct quota_limit limit = {.rate = x->account->rate,
				    .burst = x->account->burst,
				    .slack = x->shared->quota_slack};
	bool begins = begins_program(x);
	int64_t max_wait_ms = begins ? QUOTA_WAIT_NEW_MS : QUOTA_WAIT_MS;
	struct adm_waiter *waiter;

	waiter = adm_acquire(x->shared->admission, x->account->name, &limit,
			     begins, max_wait_ms, on_quota, x);
	if (waiter != NULL)
		x->waiter = waiter;
}

/* Finds the route and authenticates the caller; returns false if the request
 * was answered with an error. */
static bool authorize(struct exch *x)
{
	struct exch_shared *shared = x->shared;
	struct catalog *catalog = watcher_catalog(shared->watcher);

	if (catalog == NULL) {
		stats_count(STATS_REFUSED_NO_CONFIG);
		exch_reply_error(x, 503, "no configuration",
				 exch_manages_overload(x)
					 ? exch_store_retry_after_ms(x)
					 : EXCH_PEER_RETRY_AFTER_MS);
		return false;
	}
	x->catalog = cat_ref(catalog);
	x->route = cat_find_route(catalog, x->call.host, x->call.path);
	if (watcher_config_age_ms(shared->watcher) >
		    shared->max_config_age_ms &&
	    (x->route == NULL || !x->route->is_public)) {
		stats_count(STATS_REFUSED_STALE_CONFIG);
		exch_reply_error(x, 503, "old configuration",
				 exch_store_retry_after_ms(x));
		return false;
	}
	if (x->route == NULL) {
		stats_count(STATS_REFUSED_ROUTE);
		exch_reply_error(x, 404, "no such route", 0);
		return false;
	}
	if (!cat_requires_keys(catalog) || x->route->is_public)
		return true;
	x->account = x->call.key ? cat_find_key(catalog, x->call.key) : NULL;
	if (x->account == NULL) {
		stats_count(STATS_REFUSED_KEY);
		exch_reply_error(x, 401, "unknown key", 0);
		return false;
	}
	return true;
}

/* Selects the service and refuses requests that crashed several servers;
 * returns false if the request was answered with an error. */
static bool choose_service(struct exch *x)
{
	const char *name = x->call.program ? x->call.program : x->call.id;
	int64_t wait_ms;

	x->service =
		cat_choose_service(x->catalog, x->route, g_str_hash(name) >> 3);
	if (x->service == NULL) {
		stats_count(STATS_REFUSED_FULL);
		exch_reply_error(x, 503, "no service", 0);
		return false;
	}
	x->fingerprint = suspect_fingerprint(
		exch_account_name(x), x->request->method, x->call.path,
		x->request->body->data, x->request->body->len);
	if (exch_crashes_servers(x, &wait_ms)) {
		stats_count(STATS_REFUSED_MARKED);
		exch_reply_error(x, 503, "breaks servers", wait_ms);
		return false;
	}
	return true;
}

int64_t exch_timeout_ms(const struct exch *x, const struct cat_route *route)
{
	int64_t ms = route ? route->timeout_ms : 0;

	if (x->call.deadline_ms >= 0 && (ms <= 0 || x->call.deadline_ms < ms))
		return x->call.deadline_ms;
	return ms > 0 ? ms : EXCH_DEFAULT_TIMEOUT_MS;
}

static void start_deadline(struct exch *x)
{
	int64_t ms = exch_timeout_ms(x, x->route);

	x->deadline_at_ms = x->request->received_at_ms + ms;
	x->deadline_timer = evtimer_new(x->shared->base, on_deadline, x);
	x->timer = evtimer_new(x->shared->base, on_timer, x);
	if (x->config_timer != NULL)
		ms = MAX(x->deadline_at_ms - clock_boot_ms(), 1);
	exch_set_timer(x->deadline_timer, ms);
}

void exch_note_memory(struct exch *x)
{
	uint64_t response = x->buffered->len + x->turn_output->len +
			    splitter_pending(x->splitter) +
			    (x->headers ? x->headers->allocated_len : 0) +
			    inbound_unsent(x->request);
	uint64_t text = x->turn_text ? g_bytes_get_size(x->turn_text) : 0;

	/* The body is held by its connection. */
	mem_set(&x->held, response + text, x->upstream_complete ? 0 : response);
}

static void on_set_reading(struct mem_holder *holder, bool reading)
{
	struct exch *x = caa_container_of(holder, struct exch, held);

	if (x->upstream != NULL)
		upstream_set_reading(x->upstream, reading);
}

static void on_break_off(struct mem_holder *holder)
{
	struct exch *x = caa_container_of(holder, struct exch, held);

	/* Another attempt would not help a caller that does not read. */
	if (x->upstream != NULL && inbound_unsent(x->request) == 0)
		exch_attempt_failed(x, RETRY_INTERRUPTED, "out of memory");
	else
		exch_fail(x, "out of memory", 502);
}

static const struct mem_ops exch_memory = {on_set_reading, on_break_off,
					   "request"};

void exch_start(struct exch_shared *shared, struct inbound_request *request)
{
	struct exch *x;
	struct call call;

	stats_count(STATS_REQUESTS);
	if (!wire_parse_request(request, &call)) {
		inbound_reply(request, 400, "", NULL, 0);
		return;
	}
	x = g_new0(struct exch, 1);
	x->shared = shared;
	x->request = request;
	x->call = call;
	x->started_ms = clock_boot_ms();
	request->user_data = x;
	cds_list_add_tail(&x->node, &shared->all);
	if (mem_is_full(shared->memory)) {
		stats_count(STATS_REFUSED_MEMORY);
		exch_reply_error(x, 503, "out of memory",
				 INBOUND_MEMORY_RETRY_AFTER_MS);
		return;
	}
	if (!exch_await_config(x))
		exch_begin(x);
}

/* Allocates what the request holds while it is served. */
void exch_hold(struct exch *x)
{
	if (x->body != NULL)
		return;
	x->body = inbound_share_body(x->request);
	x->tried_servers = g_ptr_array_new_with_free_func(g_free);
	x->interrupted_servers = g_ptr_array_new_with_free_func(g_free);
	x->used_conns = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	x->buffered = g_byte_array_new();
	x->turn_output = g_string_new(NULL);
	x->splitter = splitter_create();
	mem_join(&x->held, x->shared->memory, &exch_memory);
	exch_note_memory(x);
}

void exch_begin(struct exch *x)
{
	if (!authorize(x) || !choose_service(x))
		return;
	exch_hold(x);
	x->received_event_id = x->call.last_event_id;
	x->retry.attempts = x->route->attempts;
	x->retry.idempotent =
		x->route->kind == CAT_IDEMPOTENT ||
		(x->route->kind == CAT_STREAM && x->route->resumable);
	start_deadline(x);
	if (x->call.deadline_ms == 0) {
		exch_refuse(x, STATS_REFUSED_FULL, 503, "no time", 0);
		return;
	}
	if (!exch_may_send(x)) {
		exch_refuse_stopping(x);
		return;
	}
	if (x->account != NULL)
		exch_acquire_quota(x);
	else
		exch_admit(x);
}

void exch_caller_drained(struct inbound_request *request)
{
	struct exch *x = request->user_data;

	if (x != NULL)
		exch_note_memory(x);
}

void exch_caller_disconnected(struct inbound_request *request)
{
	struct exch *x = request->user_data;

	if (x == NULL)
		return;
	stats_count(STATS_CALLER_LEFT);
	if (x->upstream != NULL)
		exch_suspect(x, SUSPECT_SILENT, "caller left");
	exch_log_end(x, "caller left", 0);
	exch_free(x);
}

static gboolean is_session_expired(gpointer name, gpointer value,
				   gpointer now_ms_p)
{
	const struct exch_session *session = value;

	(void)name;
	return *(int64_t *)now_ms_p - session->used_ms > SESSION_IDLE_MS;
}

void exch_expire_sessions(struct exch_shared *shared)
{
	int64_t now_ms = clock_boot_ms();

	g_hash_table_foreach_remove(shared->sessions, is_session_expired,
				    &now_ms);
}
