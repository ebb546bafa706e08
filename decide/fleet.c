/** @file fleet.c @brief Beliefs about backend servers, and placement. */
#include <math.h>
#include <string.h>

#include "fleet.h"

enum {
	TOLD_FRESH_MS = 400,   /* a server's word on its load fades after it */
	AVOID_FIRST_MS = 250,  /* after a first failure */
	AVOID_MOST_MS = 2000,  /* the list is up to date again after that */
	REPLACED_MS = 3000,    /* until the list names the new server */
	COLD_WINDOW_MS = 1000, /* the window in which a cold server is judged */
	SEND_GAP_MS = 150,     /* sends may arrive closer than they left */
};

/* What a server that is full costs beside one that is not. */
#define FULL_MS 500.0
/* What a request that fails costs: the way back, and the next try. */
#define FAULT_MS 400.0
/* Faults fade in this time. */
#define FAULTS_FADE_MS 2000.0
/* The part of a stream's time that counts, and the most of it: other requests
 * stand in the measured pace too. */
#define PACE_PART 0.3
#define PACE_MOST_MS 400.0
/* Weight of the newest of the last ten or so values. */
#define SMOOTH 0.1

struct fleet {
	fleet_close_idle *drop;
	GHashTable *servers;  /* id -> struct fleet_server */
	GHashTable *services; /* name -> GPtrArray of struct fleet_server */
	GHashTable *out;      /* zones taken out */
};

static void services_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

struct fleet *fleet_create(fleet_close_idle *drop)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->drop = drop;
	fleet->servers = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						services_free);
	fleet->out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fleet;
}

struct fleet_server *fleet_ref(struct fleet_server *server)
{
	server->refs++;
	return server;
}

void fleet_unref(struct fleet_server *server)
{
	if (--server->refs > 0)
		return;
	server->drop(server);
	g_free(server->id);
	g_free(server->service);
	g_free(server->address);
	g_free(server->zone);
	g_queue_free_full(server->sends, g_free);
	g_queue_free(server->idle);
	g_free(server);
}

static GPtrArray *service_servers(struct fleet *fleet, const char *name)
{
	GPtrArray *servers = g_hash_table_lookup(fleet->services, name);

	if (servers == NULL) {
		servers = g_ptr_array_new();
		g_hash_table_insert(fleet->services, g_strdup(name), servers);
	}
	return servers;
}

static void unlist(struct fleet *fleet, struct fleet_server *server)
{
	server->listed = false;
	g_ptr_array_remove(service_servers(fleet, server->service), server);
	fleet->drop(server);
	fleet_unref(server);
}

void fleet_destroy(struct fleet *fleet)
{
	GHashTableIter it;
	gpointer server;

	if (fleet == NULL)
		return;
	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, NULL, &server)) {
		g_hash_table_iter_steal(&it);
		unlist(fleet, server);
	}
	g_hash_table_destroy(fleet->servers);
	g_hash_table_destroy(fleet->services);
	g_hash_table_destroy(fleet->out);
	g_free(fleet);
}

static struct fleet_server *server_create(struct fleet *fleet,
					  const struct fleet_entry *entry)
{
	struct fleet_server *server = g_new0(struct fleet_server, 1);

	server->refs = 1;
	server->drop = fleet->drop;
	server->id = g_strdup(entry->id);
	server->service = g_strdup(entry->service);
	server->address = g_strdup(entry->address);
	server->zone = g_strdup(entry->zone);
	server->started_ms = entry->started_ms;
	server->listed = true;
	server->evacuated = g_hash_table_contains(fleet->out, entry->zone);
	server->sends = g_queue_new();
	server->idle = g_queue_new();
	g_hash_table_insert(fleet->servers, server->id, server);
	g_ptr_array_add(service_servers(fleet, server->service), server);
	return server;
}

/* Whether an entry speaks of the same start of the same server. */
static bool same_server(const struct fleet_server *server,
			const struct fleet_entry *entry)
{
	return server->started_ms == entry->started_ms &&
	       strcmp(server->service, entry->service) == 0 &&
	       strcmp(server->address, entry->address) == 0 &&
	       strcmp(server->zone, entry->zone) == 0;
}

bool fleet_update(struct fleet *fleet, const struct fleet_entry *entry,
		  int64_t now)
{
	struct fleet_server *server =
		g_hash_table_lookup(fleet->servers, entry->id);
	bool changed;

	if (server != NULL && !same_server(server, entry)) {
		fleet_remove(fleet, entry->id);
		server = NULL;
	}
	changed = server == NULL || server->draining != entry->draining;
	if (server == NULL)
		server = server_create(fleet, entry);
	server->draining = entry->draining;
	server->slots = MAX(entry->slots, 1);
	if (entry->cold_ms > 0)
		server->cold_until =
			MAX(server->cold_until, now + entry->cold_ms);
	return changed;
}

bool fleet_remove(struct fleet *fleet, const char *id)
{
	struct fleet_server *server = g_hash_table_lookup(fleet->servers, id);

	if (server == NULL)
		return false;
	g_hash_table_remove(fleet->servers, id);
	unlist(fleet, server);
	return true;
}

void fleet_remove_unlisted(struct fleet *fleet, GHashTable *ids)
{
	GHashTableIter it;
	gpointer id;
	gpointer server;

	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, &id, &server)) {
		if (g_hash_table_contains(ids, id))
			continue;
		g_hash_table_iter_steal(&it);
		unlist(fleet, server);
	}
}

void fleet_set_evacuated(struct fleet *fleet, GHashTable *zones, int64_t now,
			 int64_t cold_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_remove_all(fleet->out);
	g_hash_table_iter_init(&it, zones);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_hash_table_add(fleet->out, g_strdup(p));
	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_server *server = p;
		bool out = g_hash_table_contains(fleet->out, server->zone);

		if (server->evacuated && !out)
			server->cold_until =
				MAX(server->cold_until, now + cold_ms);
		server->evacuated = out;
	}
}

guint fleet_count(const struct fleet *fleet)
{
	return g_hash_table_size(fleet->servers);
}

void fleet_foreach(struct fleet *fleet,
		   void (*fn)(struct fleet_server *, void *), void *arg)
{
	GHashTableIter it;
	gpointer server;

	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, NULL, &server))
		fn(server, arg);
}

static bool in_service(const struct fleet_server *server)
{
	return server->listed && !server->draining && !server->evacuated;
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

static void forget_sends(struct fleet_server *server, int64_t now)
{
	int64_t since = now - COLD_WINDOW_MS - SEND_GAP_MS;

	while (!g_queue_is_empty(server->sends) &&
	       *(int64_t *)g_queue_peek_head(server->sends) <= since)
		g_free(g_queue_pop_head(server->sends));
}

/* Whether this instance's share of what a cold server bears is used up. */
static bool cold_and_busy(struct fleet_server *server,
			  const struct fleet_query *query, int64_t now)
{
	double share;

	if (query->cold_per_s <= 0 || now >= server->cold_until)
		return false;
	forget_sends(server, now);
	share = query->cold_per_s / MAX(query->instances, 1);
	return g_queue_get_length(server->sends) >= MAX(1, (guint)share);
}

/* Whether this instance's share of the server's connections is used up. */
static bool out_of_connections(const struct fleet_server *server,
			       const struct fleet_query *query)
{
	uint32_t share = query->max_conns / MAX(query->instances, 1);

	return query->max_conns > 0 && server->running >= MAX(share, 1);
}

/* Requests at the server: its own word, corrected by what was sent since. */
static double load_of(const struct fleet_server *server, int64_t now)
{
	double told = server->reported_running + server->reported_waiting;
	double since = (double)server->running - (double)server->told_own;
	double age = (double)(now - server->reported_at_ms);

	if (server->reported_at_ms == 0 || age > 4.0 * TOLD_FRESH_MS)
		return server->running;
	told *= exp(-age / TOLD_FRESH_MS);
	return MAX(told + since, (double)server->running);
}

/* A different order of the servers for each affinity, the same everywhere. */
static bool prefers(const char *id, uint64_t affinity, const char *other)
{
	uint64_t a = g_str_hash(id) * 0x9e3779b97f4a7c15ULL ^ affinity;
	uint64_t b = g_str_hash(other) * 0x9e3779b97f4a7c15ULL ^ affinity;

	a *= 0xff51afd7ed558ccdULL;
	b *= 0xff51afd7ed558ccdULL;
	return (a ^ (a >> 33)) > (b ^ (b >> 33));
}

/* A server that gets nothing because of its faults is tried again. */
static double faults_of(const struct fleet_server *server, int64_t now)
{
	return server->faults *
	       exp((double)(server->faults_at - now) / FAULTS_FADE_MS);
}

static void note_result(struct fleet_server *server, bool fault, int64_t now)
{
	double faults = faults_of(server, now);

	server->faults = faults + SMOOTH * ((fault ? 1.0 : 0.0) - faults);
	server->faults_at = now;
}

/* @p best_gap is taken for servers whose pace is not known. */
static double cost_of(const struct fleet_server *server,
		      const struct fleet_query *query, double best_gap,
		      int64_t now)
{
	double gap = server->gap_ms > 0 ? server->gap_ms : best_gap;
	double load = load_of(server, now);
	double cost = load * query->request_cost_ms +
		      MIN(gap * query->events, PACE_MOST_MS) * PACE_PART +
		      faults_of(server, now) * FAULT_MS;

	if (load >= server->slots)
		cost += FULL_MS + 50.0 * (load - server->slots);
	if (strcmp(server->zone, query->zone) != 0)
		cost += query->cross_zone_ms;
	if (query->preferred_id != NULL &&
	    strcmp(server->id, query->preferred_id) != 0)
		cost += query->affinity_miss_ms;
	if (now < server->avoid_until)
		cost += 1000.0;
	return cost;
}

static double shortest_gap(const GPtrArray *servers)
{
	double best = 0;

	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		double gap =
			((struct fleet_server *)g_ptr_array_index(servers, i))
				->gap_ms;

		if (gap > 0 && (best <= 0 || gap < best))
			best = gap;
	}
	return best;
}

struct fleet_server *fleet_pick(struct fleet *fleet,
				const struct fleet_query *query, int64_t now,
				enum fleet_pick_status *why)
{
	GPtrArray *servers =
		g_hash_table_lookup(fleet->services, query->service);
	struct fleet_server *best = NULL;
	double best_cost = 0;
	double best_gap = shortest_gap(servers);

	*why = FLEET_NO_SERVER;
	for (guint i = 0; servers != NULL && i < servers->len; i++) {
		struct fleet_server *server = g_ptr_array_index(servers, i);
		double cost;

		if (!in_service(server))
			continue;
		if (was_tried(server, query)) {
			if (*why == FLEET_NO_SERVER)
				*why = FLEET_ALL_TRIED;
			continue;
		}
		if (cold_and_busy(server, query, now)) {
			*why = FLEET_ALL_COLD;
			continue;
		}
		if (out_of_connections(server, query)) {
			*why = FLEET_ALL_FULL;
			continue;
		}
		cost = cost_of(server, query, best_gap, now);
		if (best == NULL || cost < best_cost ||
		    (cost == best_cost &&
		     prefers(server->id, query->affinity, best->id))) {
			best = server;
			best_cost = cost;
		}
	}
	if (best != NULL)
		*why = FLEET_FOUND;
	return best;
}

void fleet_on_send(struct fleet_server *server, int64_t now)
{
	int64_t *at = g_new(int64_t, 1);

	*at = now;
	server->running++;
	forget_sends(server, now);
	g_queue_push_tail(server->sends, at);
}

void fleet_on_end(struct fleet_server *server)
{
	if (server->running > 0)
		server->running--;
}

void fleet_on_load_report(struct fleet_server *server, uint32_t running,
			  uint32_t waiting, int64_t now)
{
	server->reported_running = running;
	server->reported_waiting = waiting;
	server->reported_at_ms = now;
	server->told_own = server->running;
}

void fleet_on_failure(struct fleet_server *server, int64_t now)
{
	int64_t wait = AVOID_FIRST_MS;

	for (uint32_t i = 0; i < server->failures && wait < AVOID_MOST_MS; i++)
		wait *= 2;
	server->failures++;
	note_result(server, true, now);
	server->avoid_until = now + MIN(wait, AVOID_MOST_MS);
}

void fleet_on_response(struct fleet_server *server, bool fault, int64_t now)
{
	server->failures = 0;
	server->avoid_until = 0;
	note_result(server, fault, now);
}

void fleet_on_stream_end(struct fleet_server *server, double gap_ms)
{
	if (server->gap_ms <= 0)
		server->gap_ms = gap_ms;
	else
		server->gap_ms += SMOOTH * (gap_ms - server->gap_ms);
}

void fleet_on_replaced(struct fleet_server *server, int64_t now)
{
	server->avoid_until = now + REPLACED_MS;
}
