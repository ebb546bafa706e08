/** @file crashes.c @brief Callers whose requests crash backend servers. */
#include <stdio.h>
#include <string.h>

#include "crashes.h"
#include "decide/rng.h"
#include "serve/clock.h"
#include "soak.h"
#include "test/standins/backend.h"

#define CRASH_BODY "crash"
#define SOUND_BODY "sound"
/* Not one that servers.c replaces for a gateway that loses its links. */
#define SERVER_HOST "127.0.0.3"

enum {
	SERVERS = 3,
	CALLERS = 4, /* the last one sends sound requests */
	REQUESTS_MAX = 200,
	TRIES = 12,	   /* of a request, before a new one */
	CRASHES_KNOWN = 3, /* after which a request is known */
	RETRIES_MAX = 3,   /* that may reach a server once all is calm */
	RECENT = 6,	   /* requests that are tried once all is calm */
	STEP_MS = 20,	   /* between two looks at the servers */
	DOWN_MIN_MS = 100,
	DOWN_SPREAD_MS = 600,
	TRY_TIMEOUT_MS = 1200,
};

struct server {
	struct backend *backend; /* NULL: down */
	int starts;
	char id[24];
	int64_t up_at_ms;
};

/* A request that crashes servers; its path tells it from the others. */
struct request {
	guint crashes;
	guint crashes_when_calm;
};

struct caller {
	struct crashes *crashes;
	struct upstream_call *call;
	struct event *timer; /* pause, or the end of its patience */
	bool is_sound;
	guint request; /* index */
	guint tries;
	int status;
};

struct crashes {
	struct crashes_config config;
	struct rng rng;
	struct server servers[SERVERS];
	struct request requests[REQUESTS_MAX];
	guint count; /* requests */
	struct caller callers[CALLERS];
	GQueue idle[SOAK_GATEWAYS_MAX];
	struct event *timer;
	bool stopped;
	bool calm;
	guint served; /* sound requests, once all is calm */
};

static void set_timer(struct caller *caller, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(caller->timer, &tv);
}

static bool start_server(struct crashes *crashes, int i)
{
	struct server *server = &crashes->servers[i];
	int port = crashes->config.server_port + i;
	char address[32];
	char *row;

	if (server->starts > 0)
		rowstore_put(crashes->config.store, "servers", "", server->id,
			     NULL);
	g_snprintf(server->id, sizeof(server->id), "c%d-%d", i,
		   ++server->starts);
	g_snprintf(address, sizeof(address), SERVER_HOST ":%d", port);
	server->backend =
		backend_create(crashes->config.base, address, server->id, 0, 0);
	if (server->backend == NULL)
		return false;
	backend_set_crash(server->backend, CRASH_BODY, BACKEND_CRASH_AT_ONCE);
	backend_check_target(server->backend);
	row = g_strdup_printf("{\"service\":\"fragile\",\"address\":\"%s\","
			      "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
			      "\"state\":\"ready\",\"cold_left_ms\":0,"
			      "\"born\":%d}",
			      address, server->starts);
	rowstore_put(crashes->config.store, "servers", "", server->id, row);
	g_free(row);
	return true;
}

/* Counts the requests that crashed the server: the first of its runs. */
static void on_crash(struct crashes *crashes, struct server *server)
{
	const GPtrArray *runs = backend_runs(server->backend);

	for (guint i = 0; i < runs->len; i++) {
		const struct backend_run *run = g_ptr_array_index(runs, i);
		guint index;

		if (strcmp(run->body, CRASH_BODY) != 0 ||
		    sscanf(run->id, "c%u-", &index) != 1)
			continue;
		crashes->requests[index].crashes++;
		crashes->requests[index].crashes_when_calm += crashes->calm;
		break;
	}
	backend_destroy(server->backend);
	server->backend = NULL;
	server->up_at_ms = clock_boot_ms() + DOWN_MIN_MS +
			   (int64_t)rng_below(&crashes->rng, DOWN_SPREAD_MS);
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
	struct crashes *crashes = arg;

	(void)fd;
	(void)what;
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &crashes->servers[i];

		if (server->backend != NULL &&
		    backend_has_crashed(server->backend))
			on_crash(crashes, server);
		else if (server->backend == NULL &&
			 clock_boot_ms() >= server->up_at_ms &&
			 !start_server(crashes, i))
			soak_fail("server %d does not start again", i);
	}
}

/* Goes on with another request now and then; once all is calm, with one of the
 * last ones that are known. */
static void choose_request(struct caller *caller)
{
	struct crashes *crashes = caller->crashes;
	guint recent = MIN(crashes->count, RECENT);

	if (crashes->calm) {
		caller->request = crashes->count - 1 -
				  (guint)rng_below(&crashes->rng, recent);
		return;
	}
	if (caller->tries++ % TRIES != 0 || crashes->count == REQUESTS_MAX)
		return;
	caller->request = crashes->count++;
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct caller *caller = arg;

	caller->status = head->status;
}

static void on_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void end_try(struct caller *caller)
{
	struct crashes *crashes = caller->crashes;

	caller->call = NULL;
	if (caller->is_sound && caller->status == 200)
		crashes->served += crashes->calm;
	set_timer(caller, 20 + (int64_t)rng_below(&crashes->rng, 150));
}

static void on_end(void *arg, enum upstream_result end, const char *cause)
{
	struct caller *caller = arg;

	(void)cause;
	if (end != UPSTREAM_COMPLETE)
		caller->status = 0;
	end_try(caller);
}

static const struct upstream_handler handler = {
	.head = on_head, .body = on_body, .end = on_end};

static void send_try(struct caller *caller)
{
	struct crashes *crashes = caller->crashes;
	int gateway =
		(int)rng_below(&crashes->rng, (uint64_t)soak_gateway_count());
	const char *body = caller->is_sound ? SOUND_BODY : CRASH_BODY;
	struct upstream_request request = {.idle = &crashes->idle[gateway],
					   .connect_timeout_ms = 500};
	char address[32];

	if (!caller->is_sound)
		choose_request(caller);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   crashes->config.gateway_port + gateway * SOAK_ADDRESS_STEP);
	request.address = address;
	request.head = g_string_new(NULL);
	g_string_printf(request.head,
			"POST /fragile/%u HTTP/1.1\r\nHost: h\r\n"
			"Request-Id: %c%u-%u\r\n"
			"Authorization: Bearer secret-key\r\n"
			"Deadline-Ms: 1000\r\nContent-Length: %zu\r\n\r\n",
			caller->request, caller->is_sound ? 's' : 'c',
			caller->request, caller->tries++, strlen(body));
	request.body = g_bytes_new(body, strlen(body));
	caller->status = 0;
	set_timer(caller, TRY_TIMEOUT_MS);
	caller->call = upstream_send(crashes->config.upstream, &request,
				     &handler, caller);
	g_bytes_unref(request.body);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *caller = arg;

	(void)fd;
	(void)what;
	if (caller->call != NULL) {
		upstream_cancel(caller->call);
		caller->status = 0;
		end_try(caller);
	} else if (!caller->crashes->stopped) {
		send_try(caller);
	}
}

struct crashes *crashes_create(const struct crashes_config *config)
{
	struct crashes *crashes = g_new0(struct crashes, 1);

	crashes->config = *config;
	crashes->rng.state = config->seed;
	for (int i = 0; i < SERVERS; i++) {
		if (!start_server(crashes, i))
			return NULL;
	}
	for (int i = 0; i < CALLERS; i++) {
		struct caller *caller = &crashes->callers[i];

		caller->crashes = crashes;
		caller->is_sound = i == CALLERS - 1;
		caller->timer = evtimer_new(config->base, on_timer, caller);
	}
	return crashes;
}

void crashes_start(struct crashes *crashes)
{
	struct timeval tv = clock_timeval(STEP_MS);

	crashes->timer = event_new(crashes->config.base, -1, EV_PERSIST,
				   on_step, crashes);
	event_add(crashes->timer, &tv);
	for (int i = 0; i < CALLERS; i++)
		set_timer(&crashes->callers[i], 1 + i);
}

void crashes_set_calm(struct crashes *crashes)
{
	crashes->calm = true;
}

bool crashes_has_served(const struct crashes *crashes)
{
	return crashes->served > 0;
}

void crashes_stop(struct crashes *crashes)
{
	crashes->stopped = true;
}

/* Whether it had crashed enough servers before all was calm. */
static bool was_known(const struct request *request)
{
	return request->crashes - request->crashes_when_calm >= CRASHES_KNOWN;
}

void crashes_check(const struct crashes *crashes)
{
	for (guint i = 0; i < crashes->count; i++) {
		const struct request *request = &crashes->requests[i];

		if (was_known(request) &&
		    request->crashes_when_calm > RETRIES_MAX)
			soak_fail("request %u crashed %u servers, and %u more "
				  "when all was calm",
				  i, request->crashes,
				  request->crashes_when_calm);
	}
	if (crashes->served == 0)
		soak_fail("no sound request was served beside those that "
			  "crash servers");
}

void crashes_print(const struct crashes *crashes)
{
	guint known = 0;
	guint most = 0;
	guint calm = 0;

	for (guint i = 0; i < crashes->count; i++) {
		const struct request *request = &crashes->requests[i];

		most = MAX(most, request->crashes);
		if (!was_known(request))
			continue;
		known++;
		calm += request->crashes_when_calm;
	}
	printf("crashes: %u requests, %u with %d or more, at most %u; %u of "
	       "these when all was calm; %u sound requests served then\n",
	       crashes->count, known, CRASHES_KNOWN, most, calm,
	       crashes->served);
}
