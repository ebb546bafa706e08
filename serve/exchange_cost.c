/**
 * @file exchange_cost.c
 * @brief Predicts the work of requests, and learns from how they ran.
 */
#include "clock.h"
#include "decide/rng.h"
#include "exchange_int.h"

static uint64_t hash_of(const char *text)
{
	return text != NULL ? rng_hash(text) : 0;
}

/* Describes the request at @p server. */
static void describe(const struct exch *x, const struct fleet_server *server,
		     int64_t now_ms, struct cost_request *request)
{
	*request = (struct cost_request){
		.now_ms = now_ms,
		.service = hash_of(x->service->name),
		.route = hash_of(x->route->name),
		.account = x->account ? hash_of(x->account->name) : 0,
		.object = x->call.affinity,
		.version = hash_of(server->version),
		.program = hash_of(x->call.program),
		.session = hash_of(x->call.session),
		.server = server->load_key,
		.engine = x->service->engine,
		.kv_tokens = x->service->kv_tokens,
		.slowness =
			lview_slowness(x->shared->load_view, server->load_key),
		.prompt_tokens = x->call.prompt_tokens,
		.max_tokens = x->call.max_tokens,
		.length_hint = x->call.length_hint,
		.parts = x->call.parts,
		.parts_count = x->call.parts_count,
	};
}

void exch_predict_work(void *arg, const struct fleet_server *server,
		       struct fleet_work *work)
{
	const struct exch *x = arg;
	int64_t now_ms = clock_boot_ms();
	struct cost_prediction prediction;
	struct cost_request request;

	describe(x, server, now_ms, &request);
	/* What this instance has sent to a server is a small part of what that
	 * has cached, so the whole prompt counts. */
	request.program = 0;
	request.session = 0;
	request.parts_count = 0;
	cost_predict(x->shared->cost, &request, &prediction);
	work->prefill_ms = prediction.prefill_ms;
	work->mean_ms = prediction.mean_ms;
	work->high_ms = prediction.high_ms;
	work->outstanding_ms =
		cost_outstanding_ms(x->shared->cost, server->load_key, now_ms);
}

void exch_cost_begin(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();
	struct cost_request request;

	if (!x->service->engine || !exch_manages_overload(x))
		return;
	describe(x, x->server, now_ms, &request);
	x->cost_run = cost_begin(x->shared->cost, &request, now_ms);
}

void exch_cost_progress(struct exch *x)
{
	if (x->cost_run != NULL)
		cost_progress(x->cost_run, x->attempt_tokens, clock_boot_ms());
}

void exch_cost_end(struct exch *x, bool complete)
{
	if (x->cost_run != NULL)
		cost_end(x->cost_run, complete, clock_boot_ms());
	x->cost_run = NULL;
}
