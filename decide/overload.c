/** @file overload.c @brief Admission of requests under overload. */
#include <math.h>

#include <glib.h>

#include "fleet.h"
#include "load_view.h"
#include "overload.h"
#include "rng.h"

enum {
	/* A report counts in full as long as reports take to reach all
	 * instances, and then the less the more of the queue may have drained.
	 */
	REPORT_FRESH_MS = 300,
	REPORT_AGE_MAX_MS = 1500,
	PRIORITY_MS = 10000,
	RETRY_AFTER_MIN_MS = 100,
	RETRY_AFTER_MAX_MS = 2000,
};

/* Part of the limit up to which every request is admitted. */
#define RAMP_START 0.5
/* The limits in objectives. A program that starts waits again for each further
 * turn; refusing one of these wastes the turns before. */
#define NEW_LIMIT 0.5
#define UNDER_WAY_LIMIT 3.0
/* An account that uses more than its share keeps at least this part of the
 * limit. */
#define USE_DIVISOR_MAX 8.0
/* Time constant with which the use of an account decays. */
#define USE_DECAY_MS 10000.0
/* Part of the slots whose load stands for the load of all. */
#define KNOWN_ENOUGH 0.25
/* Weight of a new time of a turn. */
#define TURN_WEIGHT 0.05

/* An account's tokens, decayed: a virtual token counter with a limited memory,
 * so that an account that was idle has no credit. */
struct use {
	double tokens;
	int64_t as_of_ms;
};

struct overload {
	struct rng rng;
	GHashTable *uses; /* account -> struct use */
	struct use all;	  /* of all accounts */
	int most_urgent;  /* priority of the last PRIORITY_MS */
	int64_t urgent_ms;
	GHashTable *turns; /* service -> double, ms */
};

struct overload *overload_create(uint64_t seed)
{
	struct overload *overload = g_new0(struct overload, 1);

	overload->rng.state = seed;
	overload->uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	overload->turns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return overload;
}

void overload_destroy(struct overload *overload)
{
	if (overload == NULL)
		return;
	g_hash_table_destroy(overload->uses);
	g_hash_table_destroy(overload->turns);
	g_free(overload);
}

static double decayed(const struct use *use, int64_t now_ms)
{
	return use->tokens *
	       exp((double)(use->as_of_ms - now_ms) / USE_DECAY_MS);
}

static void add_tokens(struct use *use, double tokens, int64_t now_ms)
{
	use->tokens = decayed(use, now_ms) + tokens;
	use->as_of_ms = now_ms;
}

/* Forgets accounts that have used next to nothing, or else the least. */
static void make_room(struct overload *overload, int64_t now_ms)
{
	GHashTableIter it;
	gpointer account;
	gpointer use;
	gpointer least = NULL;
	double least_tokens = 0;

	if (g_hash_table_size(overload->uses) < OVERLOAD_ACCOUNTS_MAX)
		return;
	g_hash_table_iter_init(&it, overload->uses);
	while (g_hash_table_iter_next(&it, &account, &use)) {
		double tokens = decayed(use, now_ms);

		if (tokens < 1.0) {
			g_hash_table_iter_remove(&it);
		} else if (least == NULL || tokens < least_tokens) {
			least = account;
			least_tokens = tokens;
		}
	}
	if (g_hash_table_size(overload->uses) >= OVERLOAD_ACCOUNTS_MAX)
		g_hash_table_remove(overload->uses, least);
}

static void note_use(struct overload *overload,
		     const struct overload_request *request, int64_t now_ms)
{
	double tokens = (double)CLAMP(request->tokens, 1, OVERLOAD_TOKENS_MAX);
	struct use *use = g_hash_table_lookup(overload->uses, request->account);

	if (use == NULL) {
		make_room(overload, now_ms);
		use = g_new0(struct use, 1);
		use->as_of_ms = now_ms;
		g_hash_table_insert(overload->uses, g_strdup(request->account),
				    use);
	}
	add_tokens(use, tokens, now_ms);
	add_tokens(&overload->all, tokens, now_ms);
}

/* Use of the account over the mean of all accounts. */
static double relative_use(const struct overload *overload,
			   const struct overload_request *request,
			   int64_t now_ms)
{
	const struct use *use =
		g_hash_table_lookup(overload->uses, request->account);
	guint accounts = g_hash_table_size(overload->uses);
	double mean;

	if (use == NULL || accounts < 2)
		return 1.0;
	mean = decayed(&overload->all, now_ms) / accounts;
	return mean > 0 ? decayed(use, now_ms) / mean : 1.0;
}

/* Time that a request would wait for a slot: less if too few servers are known
 * to stand for all. */
static double expected_wait_ms(const struct overload_load *load)
{
	double ahead = (double)load->running + load->waiting + 1 - load->slots;
	double known;

	if (load->slots == 0 || load->waiting == 0 || ahead <= 0)
		return 0;
	known = (double)load->slots / MAX(load->all_slots, load->slots);
	return ahead * load->mean_turn_ms / load->slots *
	       MIN(known / KNOWN_ENOUGH, 1.0);
}

/* Priorities count relative to the most urgent one in use. */
static void note_priority(struct overload *overload, int priority,
			  int64_t now_ms)
{
	if (overload->urgent_ms > 0 && priority > overload->most_urgent &&
	    now_ms - overload->urgent_ms < PRIORITY_MS)
		return;
	overload->most_urgent = priority;
	overload->urgent_ms = now_ms;
}

/* Longest wait at which the request still starts. Its client needs the first
 * event within the objective; less urgent requests leave room for others. */
static double limit_ms(const struct overload *overload,
		       const struct overload_request *request, double use)
{
	double ms = (double)request->slo_ms *
		    (request->under_way ? UNDER_WAY_LIMIT : NEW_LIMIT);

	ms /= 1.0 + request->priority - overload->most_urgent;
	return ms / CLAMP(use, 1.0, USE_DIVISOR_MAX);
}

/* Whether the request can't be finished before it is due. */
static bool would_miss_deadline(const struct overload_request *request,
				const struct overload_load *load,
				double wait_ms)
{
	double needed_ms = wait_ms + load->mean_turn_ms;

	if (wait_ms <= 0)
		return false;
	return (request->left_ms > 0 && needed_ms > (double)request->left_ms) ||
	       (request->program_left_ms > 0 &&
		needed_ms > (double)request->program_left_ms);
}

void overload_decide(struct overload *overload,
		     const struct overload_request *request,
		     const struct overload_load *load, int64_t now_ms,
		     struct overload_decision *decision)
{
	double excess;
	double ms;

	note_priority(overload, request->priority, now_ms);
	decision->wait_ms = expected_wait_ms(load);
	decision->use = relative_use(overload, request, now_ms);
	decision->limit_ms = limit_ms(overload, request, decision->use);
	decision->misses_deadline =
		would_miss_deadline(request, load, decision->wait_ms);
	decision->retry_after_ms = 0;
	excess = (decision->wait_ms / MAX(decision->limit_ms, 1.0) -
		  RAMP_START) /
		 (1.0 - RAMP_START);
	if (decision->wait_ms <= 0 || (!decision->misses_deadline &&
				       excess <= rng_unit(&overload->rng))) {
		decision->action = OVERLOAD_ADMIT;
		note_use(overload, request, now_ms);
		return;
	}
	if (!decision->misses_deadline && request->may_wait_ms > 0) {
		decision->action = OVERLOAD_WAIT;
		return;
	}
	decision->action = OVERLOAD_REFUSE;
	/* By then a queue of this length has drained; as long again spreads
	 * those who return. */
	ms = CLAMP(decision->wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	decision->retry_after_ms =
		(int64_t)(ms * (1.0 + rng_unit(&overload->rng)));
}

void overload_on_turn(struct overload *overload, const char *service,
		      int64_t ms)
{
	double *mean = g_hash_table_lookup(overload->turns, service);

	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = (double)MAX(ms, 1);
		g_hash_table_insert(overload->turns, g_strdup(service), mean);
	}
	*mean += TURN_WEIGHT * ((double)MAX(ms, 0) - *mean);
}

double overload_mean_turn_ms(const struct overload *overload,
			     const char *service)
{
	const double *mean = g_hash_table_lookup(overload->turns, service);

	return mean ? *mean : 0;
}

/* How much a report counts that was made at @p as_of_ms; 0: there is none. */
static double report_weight(int64_t as_of_ms, int64_t now_ms)
{
	double age_ms = (double)(now_ms - as_of_ms);
	double weight = (REPORT_AGE_MAX_MS - age_ms) /
			(REPORT_AGE_MAX_MS - REPORT_FRESH_MS);

	return as_of_ms == 0 ? 0 : CLAMP(weight, 0.0, 1.0);
}

static void add_viewed(struct overload_load *load,
		       const struct fleet_server *server,
		       const struct lview *view, int64_t now_ms)
{
	double requests = lview_requests(view, server->load_key, now_ms);
	double running = MIN(requests, (double)server->slots);

	load->running +=
		(uint32_t)lround(MAX(running, (double)server->running));
	load->waiting += (uint32_t)lround(requests - running);
	load->slots += server->slots;
}

void overload_add_server(struct overload_load *load,
			 const struct fleet_server *server,
			 const struct lview *view, int64_t now_ms)
{
	double weight = report_weight(server->reported_at_ms, now_ms);

	load->all_slots += server->slots;
	if (report_weight(lview_reported_ms(view, server->load_key), now_ms) >
	    weight) {
		add_viewed(load, server, view, now_ms);
		return;
	}
	if (weight <= 0)
		return;
	load->running += (uint32_t)lround(MAX(weight * server->reported_running,
					      (double)server->running));
	load->waiting += (uint32_t)lround(weight * server->reported_waiting);
	load->slots += server->slots;
}
