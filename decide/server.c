/** @file server.c @brief One backend server as its dispatcher sees it. */
#include "server.h"

/* Growth of the limit for each timely answer, in requests. */
#define SRV_GROWTH 0.25

static const char *const srv_states[] = {"ramping", "steady", "down", NULL};
static const char *const srv_events[] = {"full", "slow",  "restart",
					 "fail", "retry", NULL};

const struct chart_names srv_chart_names = {
	.states = srv_states,
	.events = srv_events,
};

struct server *srv_create(const struct chart *chart,
			  const struct rul_server *rule)
{
	struct server *server = g_new0(struct server, 1);

	server->chart = chart;
	server->name = g_strdup(rule->name);
	server->limit = SRV_LIMIT_START;
	server->cache =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->lru = g_queue_new();
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
	g_queue_free(server->lru);
	g_hash_table_unref(server->cache);
	g_free(server);
}

static void forget_cache(struct server *server)
{
	g_queue_clear(server->lru);
	g_hash_table_remove_all(server->cache);
}

static void step(struct server *server, enum srv_event event)
{
	int next = chart_step(server->chart, server->state, event);

	if (next >= 0)
		server->state = next;
}

static void ramp_again(struct server *server, enum srv_event event)
{
	step(server, event);
	server->limit = SRV_LIMIT_START;
}

void srv_update(struct server *server, const struct rul_server *rule)
{
	bool returned = server->out && !rule->out;

	g_free(server->addr);
	g_free(server->zone);
	server->addr = g_strdup(rule->addr);
	server->zone = g_strdup(rule->zone);
	server->max = rule->max;
	server->fencing = rule->fencing;
	server->out = rule->out;
	server->line = rule->out ? rule->out_line : rule->line;
	if (returned)
		ramp_again(server, SRV_RESTART);
}

bool srv_is_usable(const struct server *server)
{
	return !server->out && server->state != SRV_DOWN;
}

/*
 * A server that restarts without warning breaks the runs under way; one that
 * is idle gives no sign, so it gets no more than a cold one until it does.
 */
static bool proved(const struct server *server, int64_t now)
{
	return server->live > 0 || now - server->seen_ms <= SRV_LIVENESS_MS;
}

bool srv_can_start(struct server *server, int64_t now, bool solo)
{
	uint32_t busy = server->inflight + server->foreign;

	if (server->out || server->solo > 0 || !server->probed)
		return false;
	if (server->state == SRV_DOWN && now < server->retry_ms)
		return false;
	if (server->state == SRV_DOWN)
		ramp_again(server, SRV_RETRY);
	if (solo || server->failures > 0)
		return busy == 0;
	if (busy >= SRV_LIMIT_START && !proved(server, now))
		return false;
	return busy + 1 <= server->limit && busy < server->max;
}

void srv_on_first_output(struct server *server, int64_t now)
{
	server->live++;
	server->seen_ms = now;
}

void srv_on_run_start(struct server *server, bool solo)
{
	server->inflight++;
	server->solo += solo;
}

void srv_on_run_end(struct server *server, bool solo, bool live)
{
	if (server->live > 0)
		server->live -= live;
	if (server->inflight > 0)
		server->inflight--;
	if (server->solo > 0)
		server->solo -= solo;
}

void srv_on_response(struct server *server, bool timely)
{
	server->failures = 0;
	if (!timely) {
		ramp_again(server, SRV_SLOW);
		return;
	}
	if (server->state != SRV_RAMPING)
		return;
	server->limit += SRV_GROWTH;
	if (server->limit < server->max)
		return;
	server->limit = server->max;
	step(server, SRV_FULL);
}

void srv_on_failure(struct server *server, int64_t now)
{
	int64_t backoff = SRV_BACKOFF_MS;

	for (uint32_t i = 0; i < server->failures; i++)
		backoff = MIN(backoff * 2, SRV_BACKOFF_MAX_MS);
	server->failures++;
	server->retry_ms = now + backoff;
	server->limit = SRV_LIMIT_START;
	forget_cache(server);
	step(server, SRV_FAIL);
}

void srv_observe_incarnation(struct server *server, uint64_t incarnation)
{
	if (incarnation == 0 || incarnation == server->incarnation)
		return;
	if (server->incarnation != 0) {
		server->foreign = 0;
		ramp_again(server, SRV_RESTART);
		forget_cache(server);
	}
	server->incarnation = incarnation;
}

void srv_on_load_report(struct server *server, uint32_t reported, uint32_t own)
{
	uint32_t foreign = reported > own ? reported - own : 0;

	/* Earlier dispatchers start nothing more, so it only falls. */
	if (!server->probed || foreign < server->foreign)
		server->foreign = foreign;
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
		g_queue_remove(server->lru, key);
		g_hash_table_steal(server->cache, program);
	} else {
		key = g_strdup(program);
	}
	g_queue_push_head(server->lru, key);
	g_hash_table_insert(server->cache, key, GUINT_TO_POINTER(tokens));
	while (g_queue_get_length(server->lru) > SRV_CACHE_PROGRAMS)
		g_hash_table_remove(server->cache,
				    g_queue_pop_tail(server->lru));
}
