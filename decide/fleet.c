/** @file fleet.c @brief State of the backend servers, and server selection. */
#include <math.h>
#include <string.h>

#include "fleet_int.h"
#include "goaway.h"
#include "load_view.h"
#include "versions.h"

enum {
	AVOID_FIRST_MS = 250,	  /* backoff after a first failure */
	AVOID_MAX_MS = 2000,	  /* by then the list is up to date again */
	AVOID_REPLACED_MS = 3000, /* by then the list has the new server */
	COLD_WINDOW_MS = 1000,	  /* of the rate limit of a cold server */
	SEND_SKEW_MS = 150, /* requests may arrive closer than they were sent */
};

/* Time constant with which the fault rate decays. */
#define FAULTS_DECAY_MS 2000.0
/* Weight of a new value; the average spans about the last ten. */
#define EWMA_WEIGHT 0.1

struct fleet {
	fleet_close_idle *close_idle;
	GHashTable *servers;	     /* id -> struct fleet_server */
	GHashTable *services;	     /* name -> struct fleet_service */
	GHashTable *evacuated_zones; /* set of names */
	struct goaway *going_away_ids;
	struct goaway *going_away_addresses;
};

struct fleet_service {
	GPtrArray *servers; /* of struct fleet_server */
	struct versions *versions;
};

static void service_free(gpointer p)
{
	struct fleet_service *service = p;

	g_ptr_array_free(service->servers, TRUE);
	versions_destroy(service->versions);
	g_free(service);
}

struct fleet *fleet_create(fleet_close_idle *close_idle)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->close_idle = close_idle;
	fleet->servers = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						service_free);
	fleet->evacuated_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->going_away_ids = goaway_create();
	fleet->going_away_addresses = goaway_create();
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
	server->close_idle(server);
	g_free(server->id);
	g_free(server->service);
	g_free(server->address);
	g_free(server->zone);
	g_free(server->version);
	g_queue_free_full(server->send_times, g_free);
	g_queue_free(server->idle);
	g_free(server);
}

static struct fleet_service *get_service(struct fleet *fleet, const char *name)
{
	struct fleet_service *service =
		g_hash_table_lookup(fleet->services, name);

	if (service == NULL) {
		service = g_new0(struct fleet_service, 1);
		service->servers = g_ptr_array_new();
		service->versions = versions_create();
		g_hash_table_insert(fleet->services, g_strdup(name), service);
	}
	return service;
}

GPtrArray *fleet_service_servers(struct fleet *fleet, const char *name)
{
	return get_service(fleet, name)->servers;
}

static void observe_versions(struct fleet_service *service, int64_t now)
{
	const struct fleet_server *first;
	bool several = false;

	if (service->servers->len == 0)
		return;
	first = g_ptr_array_index(service->servers, 0);
	for (guint i = 1; i < service->servers->len; i++) {
		const struct fleet_server *server =
			g_ptr_array_index(service->servers, i);

		several |= strcmp(server->version, first->version) != 0;
	}
	versions_observe(service->versions, first->version, several, now);
}

void fleet_observe_versions(struct fleet *fleet, int64_t now)
{
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, fleet->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		observe_versions(service, now);
}

bool fleet_has_mixed_versions(struct fleet *fleet, const char *service,
			      int64_t window_ms, int64_t now)
{
	return versions_are_mixed(get_service(fleet, service)->versions,
				  window_ms, now);
}

bool fleet_needs_version_record(struct fleet *fleet, const char *service,
				int64_t window_ms, int64_t now)
{
	return versions_need_record(get_service(fleet, service)->versions,
				    window_ms, now);
}

const char *fleet_unrecorded_version(struct fleet *fleet, const char *service,
				     int64_t window_ms, int64_t now)
{
	return versions_unrecorded(get_service(fleet, service)->versions,
				   window_ms, now);
}

static void unlist_server(struct fleet *fleet, struct fleet_server *server)
{
	server->listed = false;
	g_ptr_array_remove(fleet_service_servers(fleet, server->service),
			   server);
	fleet->close_idle(server);
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
		unlist_server(fleet, server);
	}
	g_hash_table_destroy(fleet->servers);
	g_hash_table_destroy(fleet->services);
	g_hash_table_destroy(fleet->evacuated_zones);
	goaway_destroy(fleet->going_away_ids);
	goaway_destroy(fleet->going_away_addresses);
	g_free(fleet);
}

static bool has_announced(const struct fleet *fleet,
			  const struct fleet_server *server)
{
	return goaway_has(fleet->going_away_ids, server->id,
			  server->started_ms) ||
	       goaway_has(fleet->going_away_addresses, server->address,
			  server->started_ms);
}

static struct fleet_server *create_server(struct fleet *fleet,
					  const struct fleet_entry *entry)
{
	struct fleet_server *server = g_new0(struct fleet_server, 1);

	server->refs = 1;
	server->close_idle = fleet->close_idle;
	server->id = g_strdup(entry->id);
	server->service = g_strdup(entry->service);
	server->address = g_strdup(entry->address);
	server->zone = g_strdup(entry->zone);
	server->version = g_strdup(entry->version ? entry->version : "");
	server->started_ms = entry->started_ms;
	server->load_key = lview_key(entry->id);
	server->listed = true;
	server->evacuated =
		g_hash_table_contains(fleet->evacuated_zones, entry->zone);
	server->going_away = has_announced(fleet, server);
	server->send_times = g_queue_new();
	server->idle = g_queue_new();
	g_hash_table_insert(fleet->servers, server->id, server);
	g_ptr_array_add(fleet_service_servers(fleet, server->service), server);
	return server;
}

/* Whether an entry describes the same start of the same server. */
static bool is_same_start(const struct fleet_server *server,
			  const struct fleet_entry *entry)
{
	return server->started_ms == entry->started_ms &&
	       strcmp(server->service, entry->service) == 0 &&
	       strcmp(server->address, entry->address) == 0 &&
	       strcmp(server->version, entry->version ? entry->version : "") ==
		       0 &&
	       strcmp(server->zone, entry->zone) == 0;
}

bool fleet_update(struct fleet *fleet, const struct fleet_entry *entry,
		  int64_t now)
{
	struct fleet_server *server =
		g_hash_table_lookup(fleet->servers, entry->id);
	bool changed;

	if (server != NULL && !is_same_start(server, entry)) {
		fleet_remove(fleet, entry->id);
		server = NULL;
	}
	changed = server == NULL || server->draining != entry->draining;
	if (server == NULL)
		server = create_server(fleet, entry);
	server->draining = entry->draining;
	server->slots = MAX(entry->slots, 1);
	if (entry->cold_ms > 0)
		server->cold_until_ms =
			MAX(server->cold_until_ms, now + entry->cold_ms);
	return changed;
}

bool fleet_remove(struct fleet *fleet, const char *id)
{
	struct fleet_server *server = g_hash_table_lookup(fleet->servers, id);

	if (server == NULL)
		return false;
	g_hash_table_remove(fleet->servers, id);
	unlist_server(fleet, server);
	return true;
}

void fleet_set_evacuated(struct fleet *fleet, GHashTable *zones, int64_t now,
			 int64_t cold_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_remove_all(fleet->evacuated_zones);
	g_hash_table_iter_init(&it, zones);
	while (g_hash_table_iter_next(&it, &p, NULL))
		g_hash_table_add(fleet->evacuated_zones, g_strdup(p));
	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_server *server = p;
		bool out = g_hash_table_contains(fleet->evacuated_zones,
						 server->zone);

		if (server->evacuated && !out)
			server->cold_until_ms =
				MAX(server->cold_until_ms, now + cold_ms);
		server->evacuated = out;
	}
}

struct fleet_server *fleet_find(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->servers, id);
}

bool fleet_is_in_service(const struct fleet_server *server)
{
	return server->listed && !server->draining && !server->going_away &&
	       !server->evacuated;
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

void fleet_drop_old_sends(struct fleet_server *server, int64_t now)
{
	int64_t since = now - COLD_WINDOW_MS - SEND_SKEW_MS;

	while (!g_queue_is_empty(server->send_times) &&
	       *(int64_t *)g_queue_peek_head(server->send_times) <= since)
		g_free(g_queue_pop_head(server->send_times));
}

/* The rate decays, so that a server avoided for its faults is tried again. */
double fleet_decayed_faults(const struct fleet_server *server, int64_t now)
{
	return server->fault_rate *
	       exp((double)(server->fault_rate_ms - now) / FAULTS_DECAY_MS);
}

static void note_fault(struct fleet_server *server, bool fault, int64_t now)
{
	double faults = fleet_decayed_faults(server, now);

	server->fault_rate =
		faults + EWMA_WEIGHT * ((fault ? 1.0 : 0.0) - faults);
	server->fault_rate_ms = now;
}

void fleet_on_send(struct fleet_server *server, int64_t now)
{
	int64_t *sent_ms = g_new(int64_t, 1);

	*sent_ms = now;
	server->running++;
	fleet_drop_old_sends(server, now);
	g_queue_push_tail(server->send_times, sent_ms);
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
	server->running_then = server->running;
}

void fleet_on_heard(struct fleet_server *server, int64_t now)
{
	server->heard_ms = now;
}

void fleet_on_failure(struct fleet_server *server, int64_t now)
{
	int64_t wait = AVOID_FIRST_MS;

	for (uint32_t i = 0; i < server->failures && wait < AVOID_MAX_MS; i++)
		wait *= 2;
	server->failures++;
	note_fault(server, true, now);
	server->avoid_until_ms = now + MIN(wait, AVOID_MAX_MS);
}

void fleet_on_response(struct fleet_server *server, bool fault, int64_t now)
{
	server->failures = 0;
	server->avoid_until_ms = 0;
	note_fault(server, fault, now);
}

void fleet_update_event_gap(struct fleet_server *server, double gap_ms)
{
	if (server->event_gap_ms <= 0)
		server->event_gap_ms = gap_ms;
	else
		server->event_gap_ms +=
			EWMA_WEIGHT * (gap_ms - server->event_gap_ms);
}

bool fleet_on_going_away(struct fleet *fleet, const struct fleet_server *server,
			 bool is_other, int64_t time_ms)
{
	bool is_news = false;
	GHashTableIter it;
	gpointer p;

	if (is_other)
		goaway_note(fleet->going_away_addresses, server->address,
			    time_ms);
	else
		goaway_note(fleet->going_away_ids, server->id,
			    MAX(time_ms, server->started_ms));
	g_hash_table_iter_init(&it, fleet->servers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_server *listed = p;

		if (listed->going_away || !has_announced(fleet, listed))
			continue;
		listed->going_away = true;
		fleet->close_idle(listed);
		is_news = true;
	}
	return is_news;
}

void fleet_on_replaced(struct fleet_server *server, int64_t now)
{
	server->replaced = true;
	server->avoid_until_ms = now + AVOID_REPLACED_MS;
}
