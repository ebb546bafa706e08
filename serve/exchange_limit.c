/** @file exchange_limit.c @brief Keeps to the rate limits that servers name. */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

enum {
	ACQUIRE_MAX_MS =
		30, /* two attempts to reach the holder of the tokens */
};

void exch_note_server_limit(struct exch *x)
{
	struct slim *limits = x->shared->server_limits;
	const char *server = x->server->id;
	bool news = false;

	if (x->response.misdirected)
		return;
	if (x->response.limit == RESPONSE_LIMIT)
		news = slim_on_named(limits, server, x->response.limit_per_s,
				     clock_boot_ms());
	else if (x->response.limit == RESPONSE_NO_LIMIT &&
		 x->response.is_signed)
		news = slim_on_unnamed(limits, server, x->sent_ms);
	if (!news)
		return;
	slog("server_limit", x->call.id,
	     "\"server\":%s,\"named\":%s,\"per_s\":%.2f,\"age_ms\":0,"
	     "\"source\":\"response\"",
	     slog_quote(server),
	     x->response.limit == RESPONSE_LIMIT ? "true" : "false",
	     x->response.limit_per_s);
	members_report_limit(x->shared->members, server);
}

bool exch_has_rate_limit(const struct exch *x,
			 const struct fleet_server *server)
{
	struct slim_limit limit;

	return slim_get(x->shared->server_limits, server->id, &limit) &&
	       limit.named;
}

/* No token was to be had for @p server. */
static void block_server(struct exch *x, const struct fleet_server *server,
			 enum adm_result result, int64_t wait_ms)
{
	int64_t now_ms = clock_boot_ms();
	struct slim_limit limit = {0};

	(void)slim_get(x->shared->server_limits, server->id, &limit);
	slim_block(x->shared->server_limits, server->id, now_ms + wait_ms);
	stats_count(STATS_SERVER_LIMITED);
	slog("limited", x->call.id,
	     "\"server\":%s,\"per_s\":%.2f,\"limit_ms\":%" G_GINT64_FORMAT
	     ",\"wait_ms\":%" G_GINT64_FORMAT ",\"contact\":%s",
	     slog_quote(server->id), limit.per_s, now_ms - limit.as_of_ms,
	     wait_ms, result == ADM_NO_CONTACT ? "false" : "true");
}

static void on_acquired(void *arg, enum adm_result result, int64_t wait_ms)
{
	struct exch *x = arg;
	struct fleet_server *server = x->awaited_server;
	char *name;

	x->server_waiter = NULL;
	x->awaited_server = NULL;
	if (result != ADM_ADMITTED && exch_has_rate_limit(x, server)) {
		block_server(x, server, result, wait_ms);
		exch_send(x);
	} else if (fleet_is_in_service(server) &&
		   rollouts_may_send(x->shared->rollouts, server)) {
		exch_send_to_server(x, server);
	} else {
		name = slim_quota_name(server->id);
		if (result == ADM_ADMITTED)
			quota_refund(x->shared->quota, name);
		g_free(name);
		exch_send(x);
	}
	fleet_unref(server);
}

void exch_acquire_server(struct exch *x, struct fleet_server *server)
{
	char *name = slim_quota_name(server->id);
	int64_t left_ms = x->deadline_at_ms - clock_boot_ms();
	struct slim_limit named;
	struct quota_limit limit;
	struct adm_waiter *waiter;

	(void)slim_get(x->shared->server_limits, server->id, &named);
	slim_quota_limit(&named, &limit);
	event_del(x->timer);
	x->awaited_server = fleet_ref(server);
	waiter = adm_acquire(x->shared->admission, name, &limit, false,
			     MIN(left_ms, ACQUIRE_MAX_MS), on_acquired, x);
	if (waiter != NULL)
		x->server_waiter = waiter;
	g_free(name);
}

void exch_cancel_acquire(struct exch *x)
{
	if (x->server_waiter == NULL)
		return;
	adm_cancel(x->server_waiter);
	fleet_unref(x->awaited_server);
	x->server_waiter = NULL;
	x->awaited_server = NULL;
}
