/** @file place.c @brief Placement: selects the next job and its server. */
#include <math.h>
#include <string.h>

#include "pool_int.h"
#include "quarantine.h"

enum {
	PLACE_JOBS_TRIED_MAX = 8,	/* per account and placement */
	PLACE_CACHE_WAIT_MAX_MS = 1500, /* longest wait for a warm cache */
	PLACE_REPORT_MS = 1000, /* between load reports, POOL_LEAST_LOADED */
	/* Slow from this factor times the expected time plus the margin on. */
	PLACE_SLOW_FACTOR = 4,
	PLACE_SLOW_MARGIN_MS = 500,
};

/* Weight of a new observation in the exponential moving averages. */
#define PLACE_EWMA_WEIGHT 0.1
/* Relative increase of the decode time for each other run on the server. */
#define PLACE_BATCH_SLOWDOWN 0.05
/* Attained service, in tokens, that halves the urgency of a program's jobs. */
#define PLACE_SERVICE_HALVING_TOKENS 500.0

struct server *place_find_server(const struct pool *pool, const char *name)
{
	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		if (strcmp(server->name, name) == 0)
			return server;
	}
	return NULL;
}

uint32_t place_free_slots(struct pool *pool)
{
	uint32_t slots = 0;

	for (guint i = 0; i < pool->servers->len; i++) {
		const struct server *server = pool->servers->pdata[i];

		uint32_t busy = server->inflight + server->foreign_runs;

		if (!srv_is_usable(server) || server->exclusive > 0)
			continue;
		if (pool->pools->node->policy != POOL_FAIR)
			slots += server->max_inflight;
		else if (server->probed && server->limit > busy)
			slots += (uint32_t)server->limit - busy;
	}
	/* At least one, to probe a server at the end of its backoff. */
	return MAX(slots, 1);
}

double place_cost_ms(const struct pool *pool, const struct job *job,
		     const struct server *server)
{
	const Aps__Request *request = job->msg->request;
	uint32_t prompt = place_estimate_tokens(job->msg->prompt.len);
	uint32_t cached = srv_cached_tokens(server, request->program);
	double out = fmin(pool->avg_output_tokens, request->max_out);

	return pool->prefill_token_ms * (double)(prompt - MIN(prompt, cached)) +
	       pool->decode_token_ms * out *
		       (1 + PLACE_BATCH_SLOWDOWN * server->inflight);
}

/* Expected time until a full server has a free slot, in ms. */
static double expected_slot_wait_ms(const struct pool *pool,
				    const struct server *server)
{
	double run = pool->decode_token_ms * pool->avg_output_tokens;

	return run / fmax(server->inflight, 1);
}

static struct server *random_server(struct pool *pool)
{
	struct node *node = pool->pools->node;
	GPtrArray *usable = g_ptr_array_new();
	struct server *server = NULL;

	for (guint i = 0; i < pool->servers->len; i++) {
		if (srv_is_usable(pool->servers->pdata[i]))
			g_ptr_array_add(usable, pool->servers->pdata[i]);
	}
	if (usable->len > 0)
		server = usable->pdata[rng_below(&node->rng, usable->len)];
	g_ptr_array_unref(usable);
	return server;
}

static void refresh_reported_loads(struct pool *pool)
{
	int64_t now = node_now_ms(pool->pools->node);

	if (now - pool->load_report_ms < PLACE_REPORT_MS)
		return;
	pool->load_report_ms = now;
	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		server->reported_inflight = server->inflight;
	}
}

static struct server *least_loaded_server(struct pool *pool)
{
	struct server *best = NULL;

	refresh_reported_loads(pool);
	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		if (srv_is_usable(server) &&
		    (best == NULL ||
		     server->reported_inflight < best->reported_inflight))
			best = server;
	}
	return best;
}

/* The server with the earliest expected finish, NULL if waiting is faster. */
static struct server *best_server(struct pool *pool, const struct job *job)
{
	int64_t now = node_now_ms(pool->pools->node);
	bool waited_enough = now - job->queued_ms > PLACE_CACHE_WAIT_MAX_MS;
	struct server *best = NULL;
	double best_ms = INFINITY;
	double full_ms = INFINITY;

	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];
		double ms = place_cost_ms(pool, job, server);

		if (srv_can_start(server, now, job->exclusive)) {
			if (ms < best_ms) {
				best = server;
				best_ms = ms;
			}
		} else if (srv_is_usable(server)) {
			ms += expected_slot_wait_ms(pool, server);
			full_ms = fmin(full_ms, ms);
		}
	}
	if (!waited_enough && full_ms < best_ms)
		return NULL;
	return best;
}

static struct server *choose_server(struct pool *pool, const struct job *job)
{
	switch (pool->pools->node->policy) {
	case POOL_RANDOM:
		return random_server(pool);
	case POOL_LEAST_LOADED:
		return least_loaded_server(pool);
	default:
		return best_server(pool, job);
	}
}

/* Waiting time over the program's attained service; highest runs first. */
static double urgency(const struct pool *pool, const struct job *job)
{
	double waited =
		(double)(node_now_ms(pool->pools->node) - job->queued_ms);

	return (waited + 1) /
	       (1 + (double)job->msg->attained / PLACE_SERVICE_HALVING_TOKENS);
}

/* A request that is marked as suspect must not run twice at the same time. */
static bool conflicts_with_run(const struct pool *pool, const struct job *job)
{
	GHashTableIter iter;
	void *value;

	if (!job->exclusive)
		return false;
	g_hash_table_iter_init(&iter, pool->pools->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *other = value;

		if (strcmp(other->fingerprint, job->fingerprint) == 0)
			return true;
	}
	return false;
}

static bool find_server_for(struct pool *pool, struct job *job,
			    struct server **server)
{
	job->exclusive = quarantine_crash_count(pool->pools->node->quarantine,
						job->fingerprint) > 0;
	if (conflicts_with_run(pool, job))
		return false;
	*server = choose_server(pool, job);
	return *server != NULL;
}

static struct job *most_urgent(const struct pool *pool,
			       const struct fair_account *account,
			       struct job *const *tried, int ntried)
{
	struct job *best = NULL;
	struct job *job;
	double best_urgency = -1;

	cds_list_for_each_entry(job, &account->jobs, link) {
		bool already_tried = false;

		for (int i = 0; i < ntried; i++)
			already_tried |= tried[i] == job;
		if (!already_tried && urgency(pool, job) > best_urgency) {
			best = job;
			best_urgency = urgency(pool, job);
		}
	}
	return best;
}

static bool next_job_of_account(struct pool *pool, struct fair_account *account,
				struct job **job, struct server **server)
{
	struct job *tried[PLACE_JOBS_TRIED_MAX];
	int ntried = 0;

	while (ntried < PLACE_JOBS_TRIED_MAX) {
		*job = most_urgent(pool, account, tried, ntried);
		if (*job == NULL)
			return false;
		if (find_server_for(pool, *job, server))
			return true;
		tried[ntried++] = *job;
	}
	return false;
}

static bool next_job_fifo(struct pool *pool, GPtrArray *order, struct job **job,
			  struct server **server)
{
	struct job *first = NULL;

	for (guint i = 0; i < order->len; i++) {
		const struct fair_account *account = order->pdata[i];
		struct job *head =
			cds_list_first_entry(&account->jobs, struct job, link);

		if (first == NULL || head->queued_ms < first->queued_ms)
			first = head;
	}
	*job = first;
	return first != NULL && find_server_for(pool, first, server);
}

bool place_next_job(struct pool *pool, struct job **job, struct server **server)
{
	GPtrArray *order = fair_eligible_accounts(pool->fair);
	bool found = false;

	if (pool->pools->node->policy != POOL_FAIR)
		found = next_job_fifo(pool, order, job, server);
	else
		for (guint i = 0; i < order->len && !found; i++)
			found = next_job_of_account(pool, order->pdata[i], job,
						    server);
	g_ptr_array_unref(order);
	return found;
}

static void update_average(double *value, double observed)
{
	*value += PLACE_EWMA_WEIGHT * (observed - *value);
}

bool place_observe(struct pool *pool, const struct job *job,
		   const struct server *server, const Aps__Outcome *outcome)
{
	int64_t now = node_now_ms(pool->pools->node);
	double took_ms = (double)(now - job->started_ms);
	double first =
		job->first_output_ms > 0
			? (double)(job->first_output_ms - job->started_ms)
			: took_ms;
	uint32_t fresh = outcome->prompt_tokens -
			 MIN(outcome->prompt_tokens, outcome->cached_tokens);
	double expected = pool->prefill_token_ms * fresh +
			  pool->decode_token_ms * outcome->out_tokens *
				  (1 + PLACE_BATCH_SLOWDOWN * server->inflight);
	bool timely =
		took_ms < PLACE_SLOW_FACTOR * expected + PLACE_SLOW_MARGIN_MS;

	if (outcome->out_tokens == 0)
		return true;
	update_average(&pool->avg_output_tokens, outcome->out_tokens);
	if (fresh > 0 && timely)
		update_average(&pool->prefill_token_ms, first / fresh);
	if (timely)
		update_average(
			&pool->decode_token_ms,
			(took_ms - first) / outcome->out_tokens /
				(1 + PLACE_BATCH_SLOWDOWN * server->inflight));
	return timely;
}
