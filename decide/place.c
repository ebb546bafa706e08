/** @file place.c @brief Placement: which job runs next, and where. */
#include <math.h>
#include <string.h>

#include "marks.h"
#include "pool_int.h"

enum {
	PLACE_LOOK_MAX = 8,	  /* jobs of one account that are looked at */
	PLACE_HOLD_MAX_MS = 1500, /* longest wait for a warm cache */
	PLACE_REPORT_MS = 1000,	  /* lag of load reports, for a baseline */
	PLACE_SLOW_FACTOR = 4, /* slower than expected by this is not timely */
	PLACE_SLOW_MIN_MS = 500, /* and by at least this */
};

/* Weight of a new observation in a moving average. */
#define PLACE_WEIGHT 0.1
/* Share of a decode step that each other run on the server adds. */
#define PLACE_CROWDING 0.05
/* Service of a program that counts as much as a second of waiting, tokens. */
#define PLACE_SERVICE_UNIT 500.0

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

		uint32_t busy = server->inflight + server->foreign;

		if (!srv_is_usable(server) || server->solo > 0)
			continue;
		if (pool->set->node->policy != POOL_FAIR)
			slots += server->max;
		else if (server->probed && server->limit > busy)
			slots += (uint32_t)server->limit - busy;
	}
	/* A server in its backoff is tried with one. */
	return MAX(slots, 1);
}

double place_cost_ms(const struct pool *pool, const struct job *job,
		     const struct server *server)
{
	const Aps__Request *request = job->msg->request;
	uint32_t prompt = place_estimate_tokens(job->msg->prompt.len);
	uint32_t cached = srv_cached_tokens(server, request->program);
	double out = fmin(pool->out_tokens, request->max_out);

	return pool->prefill_ms * (double)(prompt - MIN(prompt, cached)) +
	       pool->decode_ms * out * (1 + PLACE_CROWDING * server->inflight);
}

/* Expected time until a full server has room, in ms. */
static double wait_for_room(const struct pool *pool,
			    const struct server *server)
{
	double run = pool->decode_ms * pool->out_tokens;

	return run / fmax(server->inflight, 1);
}

static struct server *any_server(struct pool *pool)
{
	struct node *node = pool->set->node;
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

static void report_loads(struct pool *pool)
{
	int64_t now = nod_now(pool->set->node);

	if (now - pool->report_ms < PLACE_REPORT_MS)
		return;
	pool->report_ms = now;
	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		server->reported = server->inflight;
	}
}

static struct server *least_reported(struct pool *pool)
{
	struct server *best = NULL;

	report_loads(pool);
	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		if (srv_is_usable(server) &&
		    (best == NULL || server->reported < best->reported))
			best = server;
	}
	return best;
}

/* The server with the least expected finish, or NULL if it pays to wait. */
static struct server *best_server(struct pool *pool, const struct job *job)
{
	int64_t now = nod_now(pool->set->node);
	bool held = now - job->queued_ms > PLACE_HOLD_MAX_MS;
	struct server *best = NULL;
	double best_ms = INFINITY;
	double full_ms = INFINITY;

	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];
		double ms = place_cost_ms(pool, job, server);

		if (srv_can_start(server, now, job->solo)) {
			if (ms < best_ms) {
				best = server;
				best_ms = ms;
			}
		} else if (srv_is_usable(server)) {
			ms += wait_for_room(pool, server);
			full_ms = fmin(full_ms, ms);
		}
	}
	if (!held && full_ms < best_ms)
		return NULL;
	return best;
}

static struct server *choose_server(struct pool *pool, const struct job *job)
{
	switch (pool->set->node->policy) {
	case POOL_RANDOM:
		return any_server(pool);
	case POOL_LEAST_LOADED:
		return least_reported(pool);
	default:
		return best_server(pool, job);
	}
}

/* Waiting time over service attained: higher runs first. */
static double urgency(const struct pool *pool, const struct job *job)
{
	double waited = (double)(nod_now(pool->set->node) - job->queued_ms);

	return (waited + 1) /
	       (1 + (double)job->msg->attained / PLACE_SERVICE_UNIT);
}

/* A marked request must not run twice at a time. */
static bool runs_elsewhere(const struct pool *pool, const struct job *job)
{
	GHashTableIter iter;
	void *value;

	if (!job->solo)
		return false;
	g_hash_table_iter_init(&iter, pool->set->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *other = value;

		if (strcmp(other->fingerprint, job->fingerprint) == 0)
			return true;
	}
	return false;
}

static bool try_job(struct pool *pool, struct job *job, struct server **server)
{
	job->solo = mrk_get(pool->set->node->marks, job->fingerprint) > 0;
	if (runs_elsewhere(pool, job))
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
		bool seen = false;

		for (int i = 0; i < ntried; i++)
			seen |= tried[i] == job;
		if (!seen && urgency(pool, job) > best_urgency) {
			best = job;
			best_urgency = urgency(pool, job);
		}
	}
	return best;
}

static bool next_of_account(struct pool *pool, struct fair_account *account,
			    struct job **job, struct server **server)
{
	struct job *tried[PLACE_LOOK_MAX];
	int ntried = 0;

	while (ntried < PLACE_LOOK_MAX) {
		*job = most_urgent(pool, account, tried, ntried);
		if (*job == NULL)
			return false;
		if (try_job(pool, *job, server))
			return true;
		tried[ntried++] = *job;
	}
	return false;
}

static bool next_first_come(struct pool *pool, GPtrArray *order,
			    struct job **job, struct server **server)
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
	return first != NULL && try_job(pool, first, server);
}

bool place_next_job(struct pool *pool, struct job **job, struct server **server)
{
	GPtrArray *order = fair_eligible_accounts(pool->fair);
	bool found = false;

	if (pool->set->node->policy != POOL_FAIR)
		found = next_first_come(pool, order, job, server);
	else
		for (guint i = 0; i < order->len && !found; i++)
			found = next_of_account(pool, order->pdata[i], job,
						server);
	g_ptr_array_unref(order);
	return found;
}

static void average(double *value, double seen)
{
	*value += PLACE_WEIGHT * (seen - *value);
}

bool place_observe(struct pool *pool, const struct job *job,
		   const struct server *server, const Aps__Outcome *outcome)
{
	int64_t now = nod_now(pool->set->node);
	double took = (double)(now - job->started_ms);
	double first = job->first_ms > 0
			       ? (double)(job->first_ms - job->started_ms)
			       : took;
	uint32_t fresh = outcome->prompt_tokens -
			 MIN(outcome->prompt_tokens, outcome->cached_tokens);
	double expected = pool->prefill_ms * fresh +
			  pool->decode_ms * outcome->out_tokens *
				  (1 + PLACE_CROWDING * server->inflight);
	bool timely = took < PLACE_SLOW_FACTOR * expected + PLACE_SLOW_MIN_MS;

	if (outcome->out_tokens == 0)
		return true;
	average(&pool->out_tokens, outcome->out_tokens);
	if (fresh > 0 && timely)
		average(&pool->prefill_ms, first / fresh);
	if (timely)
		average(&pool->decode_ms,
			(took - first) / outcome->out_tokens /
				(1 + PLACE_CROWDING * server->inflight));
	return timely;
}
