/**
 * @file exchange_admit.c
 * @brief Decides whether a request starts while servers are overloaded.
 */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

enum {
	ADMIT_RETRY_MS = 8, /* between two decisions on a request that waits */
};

bool exch_is_under_way(const struct exch *x)
{
	return x->call.previous != NULL || x->call.last_event_id >= 0 ||
	       (x->call.program != NULL &&
		g_hash_table_contains(x->shared->sessions, x->call.program));
}

/* What the sum of a service's load is taken over. */
struct load_query {
	const struct exch *x;
	int64_t now_ms;
	struct overload_load *load;
};

static void add_server(struct fleet_server *server, void *arg)
{
	const struct load_query *query = arg;

	if (fleet_is_in_service(server) &&
	    g_strcmp0(server->service, query->x->service->name) == 0)
		overload_add_server(query->load, server,
				    query->x->shared->load_view, query->now_ms);
}

/* Fills in the load of the request's service as far as it is known here. */
static void get_load(const struct exch *x, int64_t now_ms,
		     struct overload_load *load)
{
	struct load_query query = {x, now_ms, load};

	load->mean_turn_ms =
		overload_mean_turn_ms(x->shared->overload, x->service->name);
	fleet_foreach(x->shared->fleet, add_server, &query);
}

static void log_decision(const struct exch *x,
			 const struct overload_request *request,
			 const struct overload_load *load,
			 const struct overload_decision *decision)
{
	slog("overload", x->call.id,
	     "\"action\":\"%s\",\"hopeless\":%s,\"wait_ms\":%.0f,"
	     "\"limit_ms\":%.0f,\"use\":%.2f,\"running\":%u,"
	     "\"waiting\":%u,\"slots\":%u,\"turn_ms\":%.0f,"
	     "\"priority\":%d,\"under_way\":%s,\"left_ms\":%" G_GINT64_FORMAT
	     ",\"program_left_ms\":%" G_GINT64_FORMAT
	     ",\"retry_after_ms\":%" G_GINT64_FORMAT,
	     decision->action == OVERLOAD_WAIT ? "wait" : "refuse",
	     decision->misses_deadline ? "true" : "false", decision->wait_ms,
	     decision->limit_ms, decision->use, load->running, load->waiting,
	     load->slots, load->mean_turn_ms, request->priority,
	     request->under_way ? "true" : "false", request->left_ms,
	     request->program_left_ms, decision->retry_after_ms);
}

static void refuse(struct exch *x, const struct overload_decision *decision)
{
	if (decision->misses_deadline)
		exch_refuse(x, STATS_REFUSED_TOO_LATE, 503, "too late",
			    decision->retry_after_ms);
	else
		exch_refuse(x, STATS_REFUSED_OVERLOAD, 503, "overload",
			    decision->retry_after_ms);
}

void exch_admit(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();
	bool first = x->admission_ms == 0;
	struct overload_request request = {
		.account = exch_account_name(x),
		.priority = exch_priority(x),
		.under_way = exch_is_under_way(x),
		.slo_ms = x->route->slo_ms,
		.left_ms = MAX(x->deadline_at_ms - now_ms, 1),
		.tokens = MIN(x->call.prompt_tokens, OVERLOAD_TOKENS_MAX) +
			  MIN(x->call.max_tokens, OVERLOAD_TOKENS_MAX),
	};
	struct overload_load load = {0};
	struct overload_decision decision;

	x->awaits_admission = false;
	/* The rest of a stream is the shorter, and its start would be wasted.
	 */
	if (!exch_manages_overload(x) || x->route->slo_ms <= 0 ||
	    x->call.last_event_id >= 0) {
		exch_start_admitted(x);
		return;
	}
	if (first)
		x->admission_ms = now_ms;
	request.may_wait_ms =
		x->admission_ms +
		retry_queue_wait_ms(x->route->slo_ms,
				    x->deadline_at_ms - x->started_ms) -
		now_ms;
	if (x->call.program_left_ms > 0)
		request.program_left_ms =
			MAX(x->request->received_at_ms +
				    x->call.program_left_ms - now_ms,
			    1);
	get_load(x, now_ms, &load);
	overload_decide(x->shared->overload, &request, &load, now_ms,
			&decision);
	if (decision.action != OVERLOAD_ADMIT &&
	    (first || decision.action == OVERLOAD_REFUSE))
		log_decision(x, &request, &load, &decision);
	switch (decision.action) {
	case OVERLOAD_ADMIT:
		exch_start_admitted(x);
		break;
	case OVERLOAD_WAIT:
		if (first)
			stats_count(STATS_ADMISSION_WAITED);
		x->awaits_admission = true;
		exch_set_timer(x->timer, ADMIT_RETRY_MS);
		break;
	case OVERLOAD_REFUSE:
		refuse(x, &decision);
		break;
	}
}

void exch_note_turn(const struct exch *x)
{
	int64_t from_ms =
		x->first_event_ms > 0 ? x->first_event_ms : x->sent_ms;

	if (exch_manages_overload(x))
		overload_on_turn(x->shared->overload, x->service->name,
				 clock_boot_ms() - from_ms);
}
