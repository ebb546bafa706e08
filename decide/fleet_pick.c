/** @file fleet_pick.c @brief Selects the backend server for a request. */
#include <math.h>
#include <string.h>

#include "fleet_int.h"
#include "rng.h"

enum {
	/* Up to so many instances, each sees enough of the load to compare all
	 * servers of a service. */
	FULL_VIEW_INSTANCES = 16,
	CANDIDATES_MIN = 3,
	LOAD_REPORT_DECAY_MS = 400, /* time constant */
};

/* Cost of a failed request: the round trip and the next attempt. */
#define FAULT_COST_MS 400.0
/* Part of the expected stream time that counts as cost, and its maximum: the
 * measured gap also includes waiting for other requests. */
#define PACE_WEIGHT 0.3
#define PACE_MAX_MS 400.0

/* With the shared view of the load, a program leaves its own servers only if it
 * would wait there for longer than this; a shorter wait is within the error of
 * the estimates. */
#define MOVE_WAIT_MS 100.0
/* Bounds of the speed by which servers are ranked, whatever they report. */
#define SPEED_MIN 0.2
#define SPEED_MAX 5.0

static bool has_version(const struct fleet_server *server,
			const struct fleet_query *query)
{
	return query->version == NULL ||
	       strcmp(server->version, query->version) == 0;
}

static bool was_tried(const struct fleet_server *server,
		      const struct fleet_query *query)
{
	for (guint i = 0; query->tried != NULL && i < query->tried->len; i++) {
		if (strcmp(g_ptr_array_index(query->tried, i), server->id) == 0)
			return true;
	}
	return false;
}

/* Whether this instance has used up its share of a cold server's rate. */
static bool is_cold_and_busy(struct fleet_server *server,
			     const struct fleet_query *query, int64_t now)
{
	if (query->cold_per_s <= 0 || now >= server->cold_until_ms)
		return false;
	fleet_drop_old_sends(server, now);
	return g_queue_get_length(server->send_times) >=
	       query->cold_share(query->cold_share_arg, server->id,
				 (uint32_t)query->cold_per_s);
}

/* Whether the instances have used up the rate limit that the server names. */
static bool is_at_rate_limit(const struct fleet_server *server,
			     const struct fleet_query *query)
{
	return query->limit_wait_ms != NULL &&
	       query->limit_wait_ms(query->limit_wait_arg, server->id) > 0;
}

/* Whether the server refuses requests and is not to be probed yet. */
static bool is_refusing(const struct fleet_server *server,
			const struct fleet_query *query)
{
	return query->refusal_wait_ms != NULL &&
	       query->refusal_wait_ms(query->refusal_wait_arg, server->id) > 0;
}

/* Whether this instance has used up its share of the server's connections. */
static bool is_out_of_connections(const struct fleet_server *server,
				  const struct fleet_query *query)
{
	uint32_t share = query->max_conns / MAX(query->instances, 1);

	return query->max_conns > 0 && server->running >= MAX(share, 1);
}

/* Breaks ties by affinity, in the same order on all instances. */
static bool ranks_above(const char *id, uint64_t affinity, const char *other)
{
	uint64_t a = g_str_hash(id) * 0x9e3779b97f4a7c15ULL ^ affinity;
	uint64_t b = g_str_hash(other) * 0x9e3779b97f4a7c15ULL ^ affinity;

	a *= 0xff51afd7ed558ccdULL;
	b *= 0xff51afd7ed558ccdULL;
	return (a ^ (a >> 33)) > (b ^ (b >> 33));
}

/* The last load report, decayed with age, plus our requests since then. */
static double estimate_load(const struct fleet_server *server, int64_t now)
{
	double reported = server->reported_running + server->reported_waiting;
	double sent_since =
		(double)server->running - (double)server->running_then;
	double age = (double)(now - server->reported_at_ms);

	if (server->reported_at_ms == 0 || age > 4.0 * LOAD_REPORT_DECAY_MS)
		return server->running;
	reported *= exp(-age / LOAD_REPORT_DECAY_MS);
	return MAX(reported + sent_since, (double)server->running);
}

/* The cost of a server by what this instance knows of its load; @p best_gap
 * stands in for an unknown time between events. */
static double own_view_cost_ms(const struct fleet_server *server,
			       const struct fleet_query *query, double best_gap,
			       int64_t now)
{
	double gap = server->event_gap_ms > 0 ? server->event_gap_ms : best_gap;
	double load = estimate_load(server, now);
	double cost = load * query->request_cost_ms +
		      MIN(gap * query->events, PACE_MAX_MS) * PACE_WEIGHT +
		      fleet_decayed_faults(server, now) * FAULT_COST_MS;

	if (load >= server->slots)
		cost += FLEET_FULL_MS + 50.0 * (load - server->slots);
	if (strcmp(server->zone, query->zone) != 0)
		cost += query->cross_zone_ms;
	if (query->preferred_id != NULL &&
	    strcmp(server->id, query->preferred_id) != 0)
		cost += query->affinity_miss_ms;
	if (now < server->avoid_until_ms)
		cost += FLEET_AVOID_MS;
	return cost;
}

static double shortest_event_gap(const GPtrArray *servers)
{
	double best = 0;

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		double gap =
			((struct fleet_server *)g_ptr_array_index(servers, i))
				->event_gap_ms;

		if (gap > 0 && (best <= 0 || gap < best))
			best = gap;
	}
	return best;
}

/* A server that may get the request, with its rank for the program. */
struct candidate {
	struct fleet_server *server;
	uint64_t rank;
};

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const struct candidate *)a)->rank;
	uint64_t y = ((const struct candidate *)b)->rank;

	return (x < y) - (x > y);
}

/* Whether servers are ranked by the program, equally on all instances. */
static bool is_ranked(const struct fleet_query *query)
{
	return query->placement_key != 0 &&
	       (query->view_ops != NULL ||
		query->instances > FULL_VIEW_INSTANCES);
}

/*
 * Number of servers to compare. In a large fleet an instance knows little of
 * the load: if all compared all servers, they would choose the same ones. Each
 * program then has a few servers of its own, the same on all instances.
 */
static guint candidates_count(const struct fleet_query *query, guint usable)
{
	guint count;

	if (!is_ranked(query))
		return usable;
	if (query->view_ops != NULL)
		return MIN(CANDIDATES_MIN, usable);
	count = usable * FULL_VIEW_INSTANCES / query->instances;
	return MIN(MAX(count, CANDIDATES_MIN), usable);
}

/* Whether @p server may get the request now; otherwise says why not. */
static bool is_usable(struct fleet_server *server,
		      const struct fleet_query *query, int64_t now,
		      enum fleet_pick_status *why)
{
	if (!fleet_is_in_service(server) || !has_version(server, query))
		return false;
	if (query->is_allowed != NULL &&
	    !query->is_allowed(query->allowed_arg, server))
		return false;
	if (was_tried(server, query)) {
		if (*why == FLEET_NO_SERVER)
			*why = FLEET_ALL_TRIED;
		return false;
	}
	if (is_cold_and_busy(server, query, now)) {
		*why = FLEET_ALL_COLD;
		return false;
	}
	if (is_out_of_connections(server, query)) {
		*why = FLEET_ALL_FULL;
		return false;
	}
	if (is_at_rate_limit(server, query)) {
		*why = FLEET_ALL_LIMITED;
		return false;
	}
	if (is_refusing(server, query)) {
		*why = FLEET_ALL_REFUSING;
		return false;
	}
	return true;
}

/* Weighs a rank by the server's speed (weighted rendezvous hashing): a server
 * that is twice as fast comes first for twice as many programs. */
static uint64_t weigh_rank(uint64_t rank, const struct fleet_server *server,
			   const struct fleet_query *query)
{
	double speed = CLAMP(query->view_ops->speed(query, server), SPEED_MIN,
			     SPEED_MAX);
	double uniform = ((double)(rank >> 11) + 0.5) / 9007199254740992.0;

	return (uint64_t)((double)G_MAXINT64 / (1.0 - log(uniform) / speed));
}

/* Returns the usable servers of the service, by their rank for the program. */
static GArray *rank_usable(const GPtrArray *servers,
			   const struct fleet_query *query, int64_t now,
			   enum fleet_pick_status *why)
{
	GArray *usable = g_array_new(FALSE, FALSE, sizeof(struct candidate));

	for (guint i = 0; i < servers->len; i++) {
		struct candidate candidate = {g_ptr_array_index(servers, i), 0};

		if (!is_usable(candidate.server, query, now, why))
			continue;
		candidate.rank = rng_mix(rng_hash(candidate.server->id) ^
					 query->placement_key);
		if (query->view_ops != NULL)
			candidate.rank = weigh_rank(candidate.rank,
						    candidate.server, query);
		g_array_append_val(usable, candidate);
	}
	if (is_ranked(query))
		g_array_sort(usable, compare_candidates);
	return usable;
}

/* The first server has the program's history, if this instance knows nothing
 * better; that counts more than the pace of streams. */
static void prefer_first(struct fleet_query *query, const GArray *ranked)
{
	query->events = 0;
	if (query->preferred_id == NULL)
		query->preferred_id =
			g_array_index(ranked, struct candidate, 0).server->id;
}

/* The cheapest server so far. */
struct choice {
	struct fleet_server *server;
	double cost_ms;
	double wait_ms; /* part of the cost, known with a load view */
};

/* Whether the choice is so bad that servers beyond the program's own ones are
 * compared too. */
static bool is_full(const struct choice *choice,
		    const struct fleet_query *query)
{
	if (query->view_ops != NULL)
		return choice->wait_ms > MOVE_WAIT_MS;
	return choice->cost_ms >= FLEET_FULL_MS;
}

/* Replaces the choice by @p server if that is cheaper. */
static void compare_server(struct choice *best, struct fleet_server *server,
			   const struct fleet_query *query, double best_gap,
			   int64_t now)
{
	struct choice choice = {.server = server};

	if (query->view_ops != NULL)
		choice.cost_ms = query->view_ops->cost_ms(query, server, now,
							  &choice.wait_ms);
	else
		choice.cost_ms = own_view_cost_ms(server, query, best_gap, now);
	if (best->server == NULL || choice.cost_ms < best->cost_ms ||
	    (choice.cost_ms == best->cost_ms &&
	     ranks_above(server->id, query->affinity, best->server->id)))
		*best = choice;
}

struct fleet_server *fleet_pick(struct fleet *fleet,
				const struct fleet_query *query, int64_t now,
				enum fleet_pick_status *why)
{
	const GPtrArray *servers = fleet_service_servers(fleet, query->service);
	struct fleet_query refined = *query;
	double best_gap = shortest_event_gap(servers);
	struct choice best = {0};
	GArray *usable;
	guint count;

	*why = FLEET_NO_SERVER;
	usable = rank_usable(servers, query, now, why);
	count = candidates_count(query, usable->len);
	if (count < usable->len)
		prefer_first(&refined, usable);
	for (guint i = 0; i < usable->len; i++) {
		if (i >= count && !is_full(&best, query))
			break;
		compare_server(
			&best,
			g_array_index(usable, struct candidate, i).server,
			&refined, best_gap, now);
	}
	g_array_free(usable, TRUE);
	if (best.server != NULL)
		*why = FLEET_FOUND;
	return best.server;
}
