/**
 * @file exchange_refusal.c
 * @brief Records servers that refuse requests, and keeps to the retry budget.
 */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

/* Logs a change of whether a server refuses, with what is known of it. */
static void log_server(const struct exch *x)
{
	const struct fleet_server *server = x->server;
	int64_t now_ms = clock_boot_ms();
	struct rbud_view view;

	rbud_inspect(x->shared->retry_budget, x->service->name, server->id,
		     now_ms, &view);
	slog("server_refuses", x->call.id,
	     "\"server\":%s,\"hash\":\"%08x\",\"level\":%u,\"age_ms\":0,"
	     "\"source\":\"response\",\"backoff_ms\":%" G_GINT64_FORMAT
	     ",\"gap_ms\":%" G_GINT64_FORMAT
	     ",\"running\":%u,\"told_running\":%u,\"told_waiting\":%u,"
	     "\"slots\":%u,\"tokens\":%.2f",
	     slog_quote(server->id), server->load_key, view.level,
	     view.backoff_ms, view.gap_ms, server->running,
	     server->reported_running, server->reported_waiting, server->slots,
	     view.tokens);
}

void exch_note_sent(const struct exch *x)
{
	if (exch_manages_overload(x))
		rbud_on_send(x->shared->retry_budget, x->service->name,
			     x->server->id, x->sent_ms);
}

/* Whether the response tells of a free slot and an empty queue. */
static bool has_room(const struct exch *x)
{
	return x->response.has_load && x->response.waiting == 0 &&
	       x->response.running < x->server->slots;
}

void exch_note_accepted(const struct exch *x)
{
	if (!exch_manages_overload(x))
		return;
	rbud_on_accepted(x->shared->retry_budget, x->service->name,
			 x->server->id, has_room(x), x->sent_ms,
			 clock_boot_ms());
}

void exch_note_refused(const struct exch *x)
{
	if (!exch_manages_overload(x) ||
	    !rbud_on_refused(x->shared->retry_budget, x->service->name,
			     x->server->id, has_room(x), x->sent_ms,
			     clock_boot_ms()))
		return;
	stats_count(STATS_SERVER_REFUSING);
	log_server(x);
}

bool exch_may_retry(struct exch *x, enum retry_failure failure)
{
	int64_t now_ms = clock_boot_ms();
	const struct fleet_server *server;
	enum fleet_pick_status why;
	struct rbud_view view;

	/* A stream that has begun is not refused any more; its retries are
	 * spaced by retry_delay_ms(). */
	if (!exch_manages_overload(x) || failure != RETRY_NOT_EXECUTED ||
	    x->response.misdirected || x->retry.response_started)
		return true;
	/* Retries at servers that have not refused take no token: the first
	 * refusal marks the server. */
	server = exch_pick(x, now_ms, &why);
	if (server != NULL && x->retry.refusals <= RBUD_FREE_RETRIES) {
		rbud_inspect(x->shared->retry_budget, x->service->name,
			     server->id, now_ms, &view);
		if (view.level == 0)
			return true;
	}
	if (rbud_take_retry(x->shared->retry_budget, now_ms))
		return true;
	stats_count(STATS_RETRY_DENIED);
	return false;
}

int64_t exch_retry_after_ms(const struct exch *x)
{
	int64_t hint_ms = retry_after_hint_ms(x->route->slo_ms);

	if (!exch_manages_overload(x))
		return hint_ms;
	return rbud_retry_after_ms(x->shared->retry_budget, x->service->name,
				   hint_ms);
}
