/** @file cost_runs.c @brief Work outstanding at each server. */
#include <math.h>

#include "cost_int.h"

enum {
	SERVERS_MAX = 256, /* those without runs go first */
};

struct idle_search {
	const struct cost_server *oldest;
};

static void consider_idle(gpointer key, gpointer value, gpointer arg)
{
	const struct cost_server *server = value;
	struct idle_search *search = arg;

	(void)key;
	if (server->runs.length == 0 &&
	    (search->oldest == NULL ||
	     server->used_ms < search->oldest->used_ms))
		search->oldest = server;
}

static struct cost_server *get_server(struct cost *cost, uint32_t key,
				      int64_t now_ms)
{
	struct cost_server *server = cost_find_server(cost, key);
	struct idle_search search = {NULL};

	if (server == NULL) {
		if (g_hash_table_size(cost->servers) >= SERVERS_MAX)
			g_hash_table_foreach(cost->servers, consider_idle,
					     &search);
		if (search.oldest != NULL)
			g_hash_table_remove(cost->servers, &search.oldest->key);
		server = g_new0(struct cost_server, 1);
		server->key = key;
		server->cache = ccache_create();
		g_queue_init(&server->runs);
		g_hash_table_insert(cost->servers, &server->key, server);
	}
	server->used_ms = now_ms;
	return server;
}

/* Records the parts of a prompt as cached; returns their tokens. */
static uint64_t cache_parts(struct ccache *cache,
			    const struct cost_request *request)
{
	uint64_t total = 0;
	uint64_t hash = 0;

	for (uint32_t i = 0; i < cost_parts_count(request); i++) {
		uint64_t tokens = request->parts[i].tokens;

		hash = cost_extend_prefix(hash, &request->parts[i]);
		if (total + tokens > request->prompt_tokens)
			break;
		total += tokens;
		ccache_put(cache, hash, tokens, tokens, request->kv_tokens);
	}
	return total;
}

/* Records the history of a session, which is @p tokens long, as cached. */
static void cache_history(struct ccache *cache,
			  const struct cost_request *request,
			  uint64_t prefix_tokens, uint64_t tokens)
{
	uint64_t session = cost_session_key(request);
	uint64_t program = cost_program_key(request);
	uint64_t size = tokens > prefix_tokens ? tokens - prefix_tokens : 0;

	if (session != 0)
		ccache_put(cache, session, tokens, size, request->kv_tokens);
	if (program != 0)
		ccache_put(cache, program, tokens, session == 0 ? size : 0,
			   request->kv_tokens);
}

struct cost_run *cost_begin(struct cost *cost,
			    const struct cost_request *request, int64_t now_ms)
{
	struct cost_run *run = g_new0(struct cost_run, 1);

	run->cost = cost;
	run->server = get_server(cost, request->server, now_ms);
	run->request = *request;
	run->request.parts = NULL;
	run->request.parts_count = 0;
	cost_predict(cost, request, &run->prediction);
	run->size = *cost_size_of(cost, request);
	run->left = run->size.mean;
	run->started_ms = now_ms;
	run->link.data = run;
	g_queue_push_tail_link(&run->server->runs, &run->link);
	if (request->engine) {
		run->prefix_tokens = cache_parts(run->server->cache, request);
		cache_history(run->server->cache, request, run->prefix_tokens,
			      request->prompt_tokens);
	}
	return run;
}

void cost_progress(struct cost_run *run, uint64_t tokens, int64_t now_ms)
{
	if (run->first_event_ms == 0)
		run->first_event_ms = MAX(now_ms - run->started_ms, 1);
	run->tokens = tokens;
	run->left = MIN(
		cstat_mean_left(run->size.dist, (double)tokens, run->size.max) *
			run->size.ratio,
		MAX(run->size.max - (double)tokens, 0));
}

void cost_end(struct cost_run *run, bool complete, int64_t now_ms)
{
	struct cost_observation seen = {
		.prefill_tokens = run->prediction.prefill_tokens,
		.first_event_ms = run->first_event_ms,
		.end_ms = now_ms - run->started_ms,
		.tokens = run->tokens,
	};

	g_queue_unlink(&run->server->runs, &run->link);
	if (run->request.engine && run->tokens > 0)
		cache_history(run->server->cache, &run->request,
			      run->prefix_tokens,
			      run->request.prompt_tokens + run->tokens);
	if (complete)
		cost_observe(run->cost, &run->request, &seen, now_ms);
	g_free(run);
}

/* Work left of a run, in ms at usual speed. */
static double left_ms(const struct cost_run *run,
		      const struct cost_service *service, int64_t now_ms)
{
	double elapsed = (double)(now_ms - run->started_ms);
	double left;

	if (!run->request.engine)
		return cstat_mean_left(run->size.dist, elapsed, run->size.max);
	left = run->left * cost_token_ms(service);
	if (run->first_event_ms == 0)
		left += run->prediction.prefill_tokens *
			cost_prefill_token_ms(service);
	return left;
}

double cost_outstanding_ms(struct cost *cost, uint32_t key, int64_t now_ms)
{
	const struct cost_server *server = cost_find_server(cost, key);
	double sum = 0;

	if (server == NULL)
		return 0;
	for (const GList *i = server->runs.head; i != NULL; i = i->next) {
		const struct cost_run *run = i->data;

		sum += left_ms(run,
			       cost_find_service(cost, run->request.service),
			       now_ms);
	}
	return sum * cost_slowness(server, now_ms);
}

void cost_forget_cache(struct cost *cost, uint32_t key)
{
	struct cost_server *server = cost_find_server(cost, key);

	if (server != NULL)
		ccache_clear(server->cache);
}
