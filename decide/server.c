/** @file server.c @brief One backend server at its dispatcher. */
#include "server.h"

/* Increase of the limit for each timely response, in requests. */
#define SRV_GROWTH 0.25

static const char *const srv_states[] = {"ramping", "steady", "down", NULL};
static const char *const srv_events[] = {"full", "slow",  "restart",
					 "fail", "retry", NULL};

const struct chart_names srv_chart_names = {
	.states = srv_states,
	.events = srv_events,
};

struct server *srv_create(const struct chart *chart,
			  const struct rules_server *rule)
{
	struct server *server = g_new0(struct server, 1);

	server->chart = chart;
	server->name = g_strdup(rule->name);
	server->limit = SRV_LIMIT_START;
	server->cache =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->cache_lru = g_queue_new();
	srv_update(server, rule);
	return server;
}

void srv_destroy(struct server *server)
{
	if (server == NULL)
		return;
	g_free(server->name);
	g_free(server->addr);
	g_free(server->zone);
	g_queue_free(server->cache_lru);
	g_hash_table_unref(server->cache);
	g_free(server);
}

static void clear_cache(struct server *server)
{
	g_queue_clear(server->cache_lru);
	g_hash_table_remove_all(server->cache);
}

static void step_chart(struct server *server, enum srv_event event)
{
	int next = chart_step(server->chart, server->state, event);

	if (next >= 0)
		server->state = next;
}

static void restart_ramp(struct server *server, enum srv_event event)
{
	step_chart(server, event);
	server->limit = SRV_LIMIT_START;
}

void srv_update(struct server *server, const struct rules_server *rule)
{
	bool returned = server->draining && !rule->out;

	g_free(server->addr);
	g_free(server->zone);
	server->addr = g_strdup(rule->addr);
	server->zone = g_strdup(rule->zone);
	server->max_inflight = rule->max;
	server->fencing = rule->fencing;
	server->draining = rule->out;
	server->rule_line = rule->out ? rule->out_line : rule->line;
	if (returned)
		restart_ramp(server, SRV_RESTART);
}

bool srv_is_usable(const struct server *server)
{
	return !server->draining && server->state != SRV_DOWN;
}

/*
 * A server that restarts without warning breaks its runs in progress, which
 * shows the restart. An idle one shows nothing, so it gets no more runs than a
 * cold server until it has output again.
 */
static bool is_known_up(const struct server *server, int64_t now)
{
	return server->live_runs > 0 ||
	       now - server->last_seen_ms <= SRV_LIVENESS_MS;
}

bool srv_can_start(struct server *server, int64_t now, bool exclusive)
{
	uint32_t busy = server->inflight + server->foreign_runs;

	if (server->draining || server->exclusive > 0 || !server->probed)
		return false;
	if (server->state == SRV_DOWN && now < server->retry_at_ms)
		return false;
	if (server->state == SRV_DOWN)
		restart_ramp(server, SRV_RETRY);
	if (exclusive || server->failures > 0)
		return busy == 0;
	if (busy >= SRV_LIMIT_START && !is_known_up(server, now))
		return false;
	return busy + 1 <= server->limit && busy < server->max_inflight;
}

void srv_on_first_output(struct server *server, int64_t now)
{
	server->live_runs++;
	server->last_seen_ms = now;
}

void srv_on_run_start(struct server *server, bool exclusive)
{
	server->inflight++;
	server->exclusive += exclusive;
}

void srv_on_run_end(struct server *server, bool exclusive, bool had_output)
{
	if (server->live_runs > 0)
		server->live_runs -= had_output;
	if (server->inflight > 0)
		server->inflight--;
	if (server->exclusive > 0)
		server->exclusive -= exclusive;
}

void srv_on_response(struct server *server, bool timely)
{
	server->failures = 0;
	if (!timely) {
		restart_ramp(server, SRV_SLOW);
		return;
	}
	if (server->state != SRV_RAMPING)
		return;
	server->limit += SRV_GROWTH;
	if (server->limit < server->max_inflight)
		return;
	server->limit = server->max_inflight;
	step_chart(server, SRV_FULL);
}

void srv_on_failure(struct server *server, int64_t now)
{
	int64_t backoff = SRV_BACKOFF_MS;

	for (uint32_t i = 0; i < server->failures; i++)
		backoff = MIN(backoff * 2, SRV_BACKOFF_MAX_MS);
	server->failures++;
	server->retry_at_ms = now + backoff;
	server->limit = SRV_LIMIT_START;
	clear_cache(server);
	step_chart(server, SRV_FAIL);
}

void srv_observe_incarnation(struct server *server, uint64_t incarnation)
{
	if (incarnation == 0 || incarnation == server->incarnation)
		return;
	if (server->incarnation != 0) {
		server->foreign_runs = 0;
		restart_ramp(server, SRV_RESTART);
		clear_cache(server);
	}
	server->incarnation = incarnation;
}

void srv_on_load_report(struct server *server, uint32_t reported, uint32_t own)
{
	uint32_t foreign = reported > own ? reported - own : 0;

	/* Earlier dispatchers start no more runs, so the count only falls. */
	if (!server->probed || foreign < server->foreign_runs)
		server->foreign_runs = foreign;
	server->probed = true;
}

uint32_t srv_cached_tokens(const struct server *server, const char *program)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(server->cache, program));
}

void srv_note_cached(struct server *server, const char *program,
		     uint32_t tokens)
{
	void *key;

	if (g_hash_table_lookup_extended(server->cache, program, &key, NULL)) {
		g_queue_remove(server->cache_lru, key);
		g_hash_table_steal(server->cache, program);
	} else {
		key = g_strdup(program);
	}
	g_queue_push_head(server->cache_lru, key);
	g_hash_table_insert(server->cache, key, GUINT_TO_POINTER(tokens));
	while (g_queue_get_length(server->cache_lru) > SRV_CACHE_PROGRAMS)
		g_hash_table_remove(server->cache,
				    g_queue_pop_tail(server->cache_lru));
}
