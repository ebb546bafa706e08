/** @file servers.c @brief The backend servers of the soak. */
#include <string.h>

#include "proxy.h"
#include "serve/clock.h"
#include "servers.h"
#include "soak.h"
#include "test/standins/backend.h"

/* Where servers are listed, and where one gateway sees them. */
#define LISTED_HOST "127.0.0.1"
#define LINK_HOST "127.0.0.2"
#define ADDRESS_FIELD "\"address\":\""

enum {
	SERVER_MAX = 40, /* over time; each has an ID and ports of its own */
	PORT = 20,
	PROXY_PORT = PORT + SERVER_MAX,
	FIRST_ENGINES = 3,
	LISTED_ENGINES_MAX = 6,
	DRAIN_MIN_MS = 200, /* a draining engine stays listed at least so long
			     */
	LINKS_STEPS = 10,   /* on average, between two losses of the links */
	LINKS_LOST_MIN_MS = 500,
	LINKS_LOST_SPREAD_MS = 3000,
	GOING_AWAY_MS = 5000, /* from the announcement to the end */
	GOING_AWAY_STEPS = 6, /* on average, between two of them */
	TURN_GAP_MS = 5,      /* between events */
	STREAM_GAP_MS = 15,   /* slow, so that faults hit streams */
};

enum server_state {
	SERVER_READY,
	SERVER_GOING_AWAY, /* says so in its responses; listed as ready */
	SERVER_DRAINING,
	SERVER_GONE,
};

/* An ID has one version for good. */
struct server {
	char id[8];
	bool engine;
	guint version;
	enum server_state state;
	int64_t draining_since_ms;
	int64_t going_away_since_ms;
	struct backend *backend;
	struct proxy *proxy;
	struct proxy *link; /* of one gateway, to the proxy; NULL: lost */
};

struct servers {
	struct event_base *base;
	struct rowstore *store;
	struct rng *rng;
	struct rng goaway_rng; /* of servers that go away unlisted */
	int port;
	struct rng links_rng;
	int64_t links_back_ms; /* 0: they are not lost */
	guint link_losses;
	struct server list[SERVER_MAX]; /* the first is the service */
	guint count;
};

static void put_row(struct servers *servers, guint i)
{
	const struct server *server = &servers->list[i];
	char *text = g_strdup_printf(
		"{\"service\":\"%s\"," ADDRESS_FIELD LISTED_HOST ":%u\","
		"\"zone\":\"z\",\"version\":\"v%u\",\"slots\":8,"
		"\"state\":\"%s\",\"cold_left_ms\":0,\"born\":1}",
		server->engine ? "engines" : "shop",
		(guint)servers->port + PROXY_PORT + i, server->version,
		server->state == SERVER_DRAINING ? "draining" : "ready");

	rowstore_put(servers->store, "servers", "", server->id, text);
	g_free(text);
}

static bool open_link(struct servers *servers, guint i)
{
	guint port = (guint)servers->port + PROXY_PORT + i;
	char address[32];
	char target[32];

	g_snprintf(address, sizeof(address), LINK_HOST ":%u", port);
	g_snprintf(target, sizeof(target), LISTED_HOST ":%u", port);
	servers->list[i].link = proxy_create(servers->base, address, target);
	return servers->list[i].link != NULL;
}

static bool add_server(struct servers *servers, bool engine, guint version)
{
	guint i = servers->count;
	struct server *server = &servers->list[i];
	char address[32];
	char proxy_address[32];

	g_snprintf(server->id, sizeof(server->id), "%c%u", engine ? 'e' : 's',
		   i);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   (guint)servers->port + PORT + i);
	g_snprintf(proxy_address, sizeof(proxy_address), "127.0.0.1:%u",
		   (guint)servers->port + PROXY_PORT + i);
	server->engine = engine;
	server->version = version;
	server->state = SERVER_READY;
	server->backend = backend_create(servers->base, address, server->id,
					 SERVERS_TURN_EVENTS, TURN_GAP_MS);
	if (server->backend == NULL)
		return false;
	backend_number_runs(server->backend);
	backend_set_long_streams(server->backend, "/free/",
				 SERVERS_STREAM_EVENTS, STREAM_GAP_MS);
	server->proxy = proxy_create(servers->base, proxy_address, address);
	if (server->proxy == NULL ||
	    (servers->links_back_ms == 0 && !open_link(servers, i)))
		return false;
	servers->count++;
	put_row(servers, i);
	return true;
}

struct servers *servers_create(struct event_base *base, struct rowstore *store,
			       int port, const char *link_reader,
			       struct rng *rng)
{
	struct servers *servers = g_new0(struct servers, 1);
	/* For half of the seeds the second version comes while streams run. */
	guint last_version = rng_below(rng, 2) == 0 ? 1 : 2;

	servers->base = base;
	servers->store = store;
	servers->port = port;
	servers->rng = rng;
	servers->goaway_rng.state = rng_mix(rng->state);
	servers->links_rng.state = rng_mix(rng->state + 1);
	rowstore_set_alternate_host(store, link_reader,
				    ADDRESS_FIELD LISTED_HOST,
				    ADDRESS_FIELD LINK_HOST);
	if (!add_server(servers, false, 1))
		return NULL;
	for (guint i = 1; i <= FIRST_ENGINES; i++)
		if (!add_server(servers, true,
				i < FIRST_ENGINES ? 1 : last_version))
			return NULL;
	return servers;
}

static guint newest_version(const struct servers *servers)
{
	guint newest = 1;

	for (guint i = 0; i < servers->count; i++)
		newest = MAX(newest, servers->list[i].version);
	return newest;
}

/* Counts engines in @p state of @p version, or of any version if it is 0. */
static guint count_engines(const struct servers *servers,
			   enum server_state state, guint version)
{
	guint n = 0;

	for (guint i = 0; i < servers->count; i++) {
		const struct server *server = &servers->list[i];

		n += server->engine && server->state == state &&
		     (version == 0 || server->version == version);
	}
	return n;
}

/* The newest version spreads, then the next one comes; or one goes back. */
static guint next_version(const struct servers *servers)
{
	guint newest = newest_version(servers);

	if (newest > 1 && rng_below(servers->rng, 6) == 0)
		return newest - 1;
	if (count_engines(servers, SERVER_READY, newest) >= 2 || newest == 1)
		return newest + 1;
	return newest;
}

static void add_engine(struct servers *servers)
{
	guint listed = count_engines(servers, SERVER_READY, 0) +
		       count_engines(servers, SERVER_GOING_AWAY, 0) +
		       count_engines(servers, SERVER_DRAINING, 0);

	if (servers->count < SERVER_MAX && listed < LISTED_ENGINES_MAX)
		add_server(servers, true, next_version(servers));
}

/* Returns the index of an engine in @p state, mostly one of the oldest version,
 * or 0. */
static guint choose_engine(const struct servers *servers,
			   enum server_state state)
{
	bool any = rng_below(servers->rng, 4) == 0;
	guint start = (guint)rng_below(servers->rng, servers->count);
	guint found = 0;

	for (guint k = 0; k < servers->count; k++) {
		guint i = (start + k) % servers->count;
		const struct server *server = &servers->list[i];

		if (!server->engine || server->state != state)
			continue;
		if (found == 0 ||
		    (!any && server->version < servers->list[found].version))
			found = i;
	}
	return found;
}

static void set_draining(struct servers *servers, guint i)
{
	servers->list[i].state = SERVER_DRAINING;
	servers->list[i].draining_since_ms = clock_boot_ms();
	put_row(servers, i);
}

/* At least one engine stays ready. */
static void drain_engine(struct servers *servers)
{
	if (count_engines(servers, SERVER_READY, 0) >= 2)
		set_draining(servers, choose_engine(servers, SERVER_READY));
}

/* A release in one go: two engines of a new version come, all others drain. */
static void replace_engines(struct servers *servers)
{
	guint version = newest_version(servers) + 1;

	if (servers->count + 2 > SERVER_MAX ||
	    !add_server(servers, true, version) ||
	    !add_server(servers, true, version))
		return;
	for (guint i = 0; i < servers->count; i++) {
		const struct server *server = &servers->list[i];

		if (server->engine && server->state == SERVER_READY &&
		    server->version != version)
			set_draining(servers, i);
	}
}

/* At least one engine stays that does not. */
static void announce_shutdown(struct servers *servers)
{
	struct server *server;

	if (count_engines(servers, SERVER_READY, 0) < 2)
		return;
	server = &servers->list[choose_engine(servers, SERVER_READY)];
	server->state = SERVER_GOING_AWAY;
	server->going_away_since_ms = clock_boot_ms();
	backend_set_fields(server->backend, "Server-Leaving: 1\r\n");
}

static void unlist_gone(struct servers *servers)
{
	for (guint i = 0; i < servers->count; i++) {
		struct server *server = &servers->list[i];

		if (server->state != SERVER_GOING_AWAY ||
		    clock_boot_ms() - server->going_away_since_ms <
			    GOING_AWAY_MS)
			continue;
		server->state = SERVER_GONE;
		rowstore_put(servers->store, "servers", "", server->id, NULL);
		proxy_set_mode(server->proxy, PROXY_RESET);
	}
}

/* Half of the engines that leave end their streams. */
static void remove_engine(struct servers *servers, guint i)
{
	struct server *server = &servers->list[i];

	if (server->state != SERVER_DRAINING ||
	    clock_boot_ms() - server->draining_since_ms < DRAIN_MIN_MS)
		return;
	server->state = SERVER_GONE;
	rowstore_put(servers->store, "servers", "", server->id, NULL);
	if (rng_below(servers->rng, 2) == 0)
		proxy_set_mode(server->proxy, PROXY_RESET);
}

static void remove_all_draining(struct servers *servers)
{
	for (guint i = 0; i < servers->count; i++)
		remove_engine(servers, i);
}

/* Returns any server that is listed. */
static struct server *pick_server(struct servers *servers, struct rng *rng)
{
	guint i = (guint)rng_below(rng, servers->count);

	while (servers->list[i].state == SERVER_GONE)
		i = (i + 1) % servers->count;
	return &servers->list[i];
}

/* Connections to the servers fail at one gateway. */
static void lose_links(struct servers *servers)
{
	servers->link_losses++;
	servers->links_back_ms =
		clock_boot_ms() + LINKS_LOST_MIN_MS +
		(int64_t)rng_below(&servers->links_rng, LINKS_LOST_SPREAD_MS);
	for (guint i = 0; i < servers->count; i++)
		g_clear_pointer(&servers->list[i].link, proxy_destroy);
}

static void restore_links(struct servers *servers)
{
	servers->links_back_ms = 0;
	for (guint i = 0; i < servers->count; i++) {
		if (servers->list[i].link == NULL && !open_link(servers, i))
			soak_fail("the link to server %u is not restored", i);
	}
}

static void change_links(struct servers *servers)
{
	if (servers->links_back_ms == 0) {
		if (rng_below(&servers->links_rng, LINKS_STEPS) == 0)
			lose_links(servers);
	} else if (clock_boot_ms() >= servers->links_back_ms) {
		restore_links(servers);
	}
}

void servers_change(struct servers *servers)
{
	unlist_gone(servers);
	change_links(servers);
	if (rng_below(&servers->goaway_rng, GOING_AWAY_STEPS) == 0)
		announce_shutdown(servers);
	switch (rng_below(servers->rng, 12)) {
	case 0:
	case 1:
		add_engine(servers);
		break;
	case 2:
	case 3:
		drain_engine(servers);
		break;
	case 4:
		remove_engine(servers, choose_engine(servers, SERVER_DRAINING));
		break;
	case 5:
		remove_all_draining(servers);
		break;
	case 6:
		replace_engines(servers);
		break;
	case 7:
	case 8:
		proxy_cut(servers_pick_proxy(servers, servers->rng));
		break;
	default:
		break;
	}
}

struct proxy *servers_pick_proxy(struct servers *servers, struct rng *rng)
{
	return pick_server(servers, rng)->proxy;
}

struct backend *servers_pick_backend(struct servers *servers, struct rng *rng)
{
	return pick_server(servers, rng)->backend;
}

guint servers_link_losses(const struct servers *servers)
{
	return servers->link_losses;
}

void servers_clear_faults(struct servers *servers)
{
	restore_links(servers);
	for (guint i = 0; i < servers->count; i++) {
		struct server *server = &servers->list[i];

		if (server->state == SERVER_GONE)
			continue;
		proxy_set_mode(server->proxy, PROXY_PASS);
		backend_set_mode(server->backend, BACKEND_OK);
	}
}

guint servers_version(const struct servers *servers, const char *id)
{
	for (guint i = 0; i < servers->count; i++)
		if (strcmp(servers->list[i].id, id) == 0)
			return servers->list[i].version;
	return 0;
}

const struct backend_run *servers_find_run(const struct servers *servers,
					   const char *id, guint run)
{
	for (guint i = 0; i < servers->count; i++) {
		const GPtrArray *runs = backend_runs(servers->list[i].backend);

		if (strcmp(servers->list[i].id, id) == 0)
			return run >= 1 && run <= runs->len
				       ? g_ptr_array_index(runs, run - 1)
				       : NULL;
	}
	return NULL;
}

static void add_run(GHashTable *runs, struct backend_run *run)
{
	GPtrArray *request_runs = g_hash_table_lookup(runs, run->id);

	if (request_runs == NULL) {
		request_runs = g_ptr_array_new();
		g_hash_table_insert(runs, run->id, request_runs);
	}
	g_ptr_array_add(request_runs, run);
}

void servers_collect_runs(const struct servers *servers, GHashTable *runs)
{
	for (guint i = 0; i < servers->count; i++) {
		const GPtrArray *server_runs =
			backend_runs(servers->list[i].backend);

		for (guint k = 0; k < server_runs->len; k++)
			add_run(runs, g_ptr_array_index(server_runs, k));
	}
}
