/** @file exchange_pick.c @brief Describes a request for server selection. */
#include "decide/fleet_cost.h"
#include "decide/rng.h"
#include "exchange_int.h"

/* Costs weighed when a server is selected. */
enum {
	TURN_COST_MS = 1,	/* slowdown by another running turn */
	CALL_COST_MS = 10,	/* a call that waits for another one */
	CROSS_ZONE_COST_MS = 4, /* round trip and transfer to another zone */
	AFFINITY_MISS_COST_MS = 12, /* the session's history is read again */
};

/* The server that ran the last turn of the session, or else of the program. */
static const char *preferred_server(const struct exch *x)
{
	const struct exch_session *session = NULL;

	if (!x->service->engine)
		return NULL;
	if (x->call.session != NULL)
		session = g_hash_table_lookup(x->shared->sessions,
					      x->call.session);
	if (session == NULL && x->call.program != NULL)
		session = g_hash_table_lookup(x->shared->sessions,
					      x->call.program);
	return session ? session->server : NULL;
}

/* Expected events of the stream: a turn usually generates half of its maximum.
 */
static double expected_events(const struct exch *x)
{
	return (double)x->call.max_tokens / MAX(x->service->stride, 1) / 2;
}

/* What the servers for this request are ranked by, equally on all instances:
 * its program, the object that it concerns, or else the request itself. */
static uint64_t placement_key(const struct exch *x)
{
	if (x->service->engine && x->call.program != NULL)
		return rng_hash(x->call.program);
	return x->call.affinity != 0 ? x->call.affinity : rng_hash(x->call.id);
}

/* Equal for all turns of a program, on all instances. */
static uint64_t rollout_key(const struct exch *x)
{
	return rng_hash(x->call.program ? x->call.program : x->call.id);
}

/* Extra time at a server that has not served the same program or object. */
static double affinity_miss_ms(const struct exch *x)
{
	return x->service->engine || x->call.affinity != 0
		       ? AFFINITY_MISS_COST_MS
		       : 0;
}

/* The shared view of the load, if the deployment asks for it. */
static const struct lview *load_view(const struct exch *x)
{
	return x->service->engine && exch_manages_overload(x)
		       ? x->shared->load_view
		       : NULL;
}

static uint32_t cold_share(void *arg, const char *server, uint32_t units)
{
	return members_share_of(arg, server, units);
}

/* The servers at their rate limit that were passed over. */
struct limited_servers {
	const struct slim *limits;
	int64_t now_ms;
	int64_t wait_ms; /* until the first of them may get a request */
};

static int64_t limit_wait_ms(void *arg, const char *server)
{
	struct limited_servers *limited = arg;
	int64_t wait_ms =
		slim_wait_ms(limited->limits, server, limited->now_ms);

	if (wait_ms > 0)
		limited->wait_ms = MIN(limited->wait_ms, wait_ms);
	return wait_ms;
}

/* The refusing servers that were passed over. */
struct refusing_servers {
	const struct exch *x;
	int64_t now_ms;
	int64_t wait_ms; /* until the first of them may get a request */
};

static int64_t refusal_wait_ms(void *arg, const char *server)
{
	struct refusing_servers *refusing = arg;
	const struct exch *x = refusing->x;
	int64_t wait_ms =
		rbud_wait_ms(x->shared->retry_budget, x->service->name, server,
			     refusing->now_ms);

	if (wait_ms > 0)
		refusing->wait_ms = MIN(refusing->wait_ms, wait_ms);
	return wait_ms;
}

struct fleet_server *exch_pick(struct exch *x, int64_t now_ms,
			       enum fleet_pick_status *why)
{
	struct limited_servers limited = {x->shared->server_limits, now_ms,
					  G_MAXINT32};
	struct refusing_servers refusing = {x, now_ms, G_MAXINT32};
	struct fleet_server *server;
	struct rollouts_choice choice;
	struct fleet_query query = {
		.service = x->service->name,
		.zone = x->shared->zone,
		.version = x->version,
		.preferred_id = preferred_server(x),
		.affinity = x->call.shared ^ x->call.affinity,
		.placement_key = placement_key(x),
		.view_ops = load_view(x) ? &fleet_shared_view : NULL,
		.load_view = load_view(x),
		.predict = exch_predict_work,
		.predict_arg = x,
		.affinity_miss_ms = affinity_miss_ms(x),
		.cross_zone_ms = CROSS_ZONE_COST_MS,
		.request_cost_ms =
			x->service->engine ? TURN_COST_MS : CALL_COST_MS,
		.events = x->service->engine && preferred_server(x) == NULL
				  ? expected_events(x)
				  : 0,
		.cold_per_s = x->service->cold_per_s,
		.cold_share = cold_share,
		.cold_share_arg = x->shared->members,
		.limit_wait_ms = limit_wait_ms,
		.limit_wait_arg = &limited,
		.refusal_wait_ms =
			exch_manages_overload(x) ? refusal_wait_ms : NULL,
		.refusal_wait_arg = &refusing,
		.max_conns = x->service->max_conns,
		.instances = members_count(x->shared->members),
		.is_allowed = rollouts_is_allowed,
		.allowed_arg = &choice,
		.tried = x->tried_servers,
	};

	rollouts_choose(x->shared->rollouts, x->service->name, x->route->name,
			rollout_key(x), x->version, &choice);
	server = fleet_pick(x->shared->fleet, &query, now_ms, why);
	if (server == NULL && rollouts_fall_back(&choice))
		server = fleet_pick(x->shared->fleet, &query, now_ms, why);
	x->limit_wait_ms = limited.wait_ms;
	x->refusal_wait_ms = refusing.wait_ms;
	return server;
}
