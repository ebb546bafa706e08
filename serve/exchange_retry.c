/**
 * @file exchange_retry.c
 * @brief What becomes of a request that has no server, or no answer from it.
 */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

enum {
	SELECT_RETRY_MS = 8, /* while no server has a free slot */
};

/* Sends the request again, after a delay unless that is 0. */
static void send_later(struct exch *x, int64_t delay_ms)
{
	if (delay_ms > 0)
		exch_set_timer(x->timer, delay_ms);
	else
		exch_send(x);
}

static void log_no_answer(const struct exch *x, enum retry_failure failure,
			  const char *cause)
{
	slog("no_answer", x->call.id,
	     "\"server\":%s,\"tunnel\":%s,\"cause\":\"%s\",\"ran\":\"%s\","
	     "\"head\":%s,\"listed\":%s,\"ms\":%" G_GINT64_FORMAT,
	     slog_quote(x->server->id), slog_quote(x->tunnel ? x->tunnel : ""),
	     cause, failure == RETRY_INTERRUPTED ? "unknown" : "no",
	     x->head_received ? "true" : "false",
	     x->server->listed ? "true" : "false",
	     clock_boot_ms() - x->sent_ms);
}

/* Ends an attempt and sends the request again, or answers that it failed. */
static void resend_or_fail(struct exch *x, enum retry_failure failure,
			   const char *cause)
{
	int64_t now_ms = clock_boot_ms();
	enum retry_action action;

	if (failure == RETRY_INTERRUPTED) {
		x->retry.possible_runs++;
		x->is_trial = false;
	} else {
		x->retry.refusals++;
	}
	exch_cancel_upstream(x);
	exch_drop_response(x);
	x->head_received = false;
	x->retry.remaining_ms = x->deadline_at_ms - now_ms;
	action = retry_decide(&x->retry, failure);
	if (action == RETRY_RESEND && !exch_may_retry(x, failure))
		action =
			x->retry.possible_runs == 0 ? RETRY_REFUSE : RETRY_FAIL;
	if (action == RETRY_RESEND) {
		if (failure == RETRY_INTERRUPTED)
			stats_count(x->retry.response_started
					    ? STATS_RESUMED
					    : STATS_SENT_AGAIN);
		send_later(x, retry_delay_ms(&x->retry, failure));
	} else if (action == RETRY_REFUSE) {
		exch_refuse(x, STATS_REFUSED_FULL, 503, cause,
			    exch_retry_after_ms(x));
	} else {
		exch_fail(x, cause, 502);
	}
}

bool exch_crashes_servers(struct exch *x, int64_t *wait_ms)
{
	struct crashes *crashes = x->shared->crashes;

	if (x->is_trial || !crash_is_refused(crashes, x->fingerprint, wait_ms))
		return false;
	x->is_trial = x->retry.possible_runs == 0 &&
		      crash_take_trial(crashes, x->call.id, x->fingerprint);
	return !x->is_trial;
}

void exch_suspect(const struct exch *x, enum suspect_evidence evidence,
		  const char *cause)
{
	struct crash_attempt attempt = {.id = x->call.id,
					.fingerprint = x->fingerprint,
					.server = x->server,
					.evidence = evidence,
					.cause = cause};

	crash_on_attempt(x->shared->crashes, &attempt);
}

void exch_attempt_failed(struct exch *x, enum retry_failure failure,
			 const char *cause)
{
	int64_t now_ms = clock_boot_ms();
	bool refused = failure == RETRY_NOT_EXECUTED;

	log_no_answer(x, failure, cause);
	if (failure == RETRY_INTERRUPTED)
		g_ptr_array_add(x->interrupted_servers,
				g_strdup(x->server->id));
	if (!refused)
		fleet_on_failure(x->server, now_ms);
	g_ptr_array_add(x->tried_servers, g_strdup(x->server->id));
	resend_or_fail(x, failure, cause);
}

void exch_link_failed(struct exch *x, const char *cause)
{
	struct members_tunnel tunnel;

	x->link_failed = true;
	lchk_on_failed(x->shared->link_check, x->server->id);
	if (members_find_tunnel(x->shared->members, &tunnel)) {
		log_no_answer(x, RETRY_NOT_SENT, cause);
		fleet_on_failure(x->server, clock_boot_ms());
		resend_or_fail(x, RETRY_NOT_SENT, cause);
	} else {
		exch_attempt_failed(x, RETRY_NOT_SENT, cause);
	}
}

void exch_tunnel_failed(struct exch *x, const char *cause)
{
	log_no_answer(x, RETRY_NOT_SENT, cause);
	members_report_no_tunnel(x->shared->members, x->tunnel);
	resend_or_fail(x, RETRY_NOT_SENT, cause);
}

/* All servers have been tried: those that refused may be tried again, and the
 * others too if there is nobody else. */
static void forget_tried(struct exch *x, int64_t now_ms)
{
	enum fleet_pick_status why;

	g_ptr_array_set_size(x->tried_servers, 0);
	if (!x->retry.response_started)
		return;
	for (guint i = 0; i < x->interrupted_servers->len; i++)
		g_ptr_array_add(
			x->tried_servers,
			g_strdup(g_ptr_array_index(x->interrupted_servers, i)));
	if (exch_pick(x, now_ms, &why) == NULL && why == FLEET_ALL_TRIED)
		g_ptr_array_set_size(x->tried_servers, 0);
}

/* Whether a server other than the present one may get the request now. */
static bool has_other_server(struct exch *x)
{
	enum fleet_pick_status why;
	guint tried = x->tried_servers->len;
	bool found;

	g_ptr_array_add(x->tried_servers, g_strdup(x->server->id));
	found = exch_pick(x, clock_boot_ms(), &why) != NULL;
	g_ptr_array_set_size(x->tried_servers, (gint)tried);
	return found;
}

void exch_on_silence(struct exch *x)
{
	if (x->retry.response_started && !has_other_server(x)) {
		exch_arm_silence_timer(x);
		return;
	}
	upstream_cancel(x->upstream);
	x->upstream = NULL;
	rollouts_on_response(&x->attempt, 0, 0);
	exch_suspect(x, SUSPECT_SILENT, "server silent");
	exch_attempt_failed(x, RETRY_INTERRUPTED, "server silent");
}

/* No server can take the request now: retries shortly, or ends it. */
static void on_no_server(struct exch *x, enum fleet_pick_status why,
			 int64_t now_ms)
{
	int64_t max_wait_ms = retry_queue_wait_ms(
		x->route->slo_ms, x->deadline_at_ms - x->started_ms);
	int64_t retry_after_ms = why == FLEET_ALL_LIMITED
					 ? x->limit_wait_ms
					 : exch_retry_after_ms(x);
	int64_t waited_ms = now_ms - x->started_ms;

	if (why == FLEET_ALL_LIMITED)
		waited_ms += x->limit_wait_ms;
	if (why == FLEET_ALL_REFUSING)
		waited_ms += x->refusal_wait_ms;
	if (x->retry.response_started && why == FLEET_NO_SERVER) {
		exch_fail(x, "no server to go on", 502);
		return;
	}
	/* A stream that has begun waits up to its deadline. */
	if (why != FLEET_NO_SERVER &&
	    (x->retry.response_started || waited_ms < max_wait_ms)) {
		if (why == FLEET_ALL_TRIED)
			forget_tried(x, now_ms);
		exch_set_timer(x->timer, SELECT_RETRY_MS);
		return;
	}
	if (x->retry.possible_runs > 0)
		exch_fail(x, "no other server", 502);
	else
		exch_refuse(x, STATS_REFUSED_FULL, 503,
			    why == FLEET_NO_SERVER  ? "no server in service"
			    : why == FLEET_ALL_COLD ? "servers cold"
			    : why == FLEET_ALL_LIMITED
				    ? "servers at their rate limit"
			    : why == FLEET_ALL_REFUSING ? "servers refuse"
							: "servers full",
			    retry_after_ms);
}

/* The request has become known to crash servers since it came in. */
static void stop_crashing(struct exch *x, int64_t wait_ms)
{
	if (x->retry.response_started || x->retry.possible_runs > 0)
		exch_fail(x, "breaks servers", 502);
	else
		exch_refuse(x, STATS_REFUSED_MARKED, 503, "breaks servers",
			    wait_ms);
}

void exch_send(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();
	int64_t wait_ms;
	enum fleet_pick_status why;
	struct fleet_server *server;

	if (!exch_may_send(x)) {
		exch_refuse_stopping(x);
		return;
	}
	if (exch_crashes_servers(x, &wait_ms)) {
		stop_crashing(x, wait_ms);
		return;
	}
	server = exch_pick(x, now_ms, &why);
	if (server == NULL)
		on_no_server(x, why, now_ms);
	else if (exch_has_rate_limit(x, server))
		exch_acquire_server(x, server);
	else
		exch_send_to_server(x, server);
}
