/**
 * @file soak.c
 * @brief Random faults against real processes, and the promises they keep.
 *
 * soak BINARY SEED [MS [PORT]]: starts three gateways as processes between
 * stand-ins and proxies, harms them from outside for MS and checks, from what
 * callers and backend servers see: what runs at most once does so, a refusal
 * that says "not run" is true, an answer is whole and its own, a turn that was
 * answered whole is found and continued with its whole history, a program's
 * budget holds, and no server sees a key.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <sodium.h>

#include "decide/rng.h"
#include "proxy.h"
#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/upstream.h"
#include "test/standins/backend.h"
#include "test/standins/rowstore.h"

enum {
	GATEWAY_COUNT = 3,
	ENGINES = 2,
	STREAM_EVENTS = 4,
	STRIDE = 10, /* tokens in an event */
	MOST = 60,   /* tokens of a turn, as callers say */
	BUDGET = 400,
	CALLERS = 8,
	TURNS = 6,
	READY_MS = 3000,
	SETTLE_MS = 4000, /* without faults, at the end */
	TURN_MS = 2000,	  /* what a caller waits */
	PORT_PRESET = 19000,
};

static const char config[] =
	"{\"version\":%d,\"routes\":["
	"{\"name\":\"kept\",\"hostname\":\"h\",\"prefix\":\"/kept/\","
	"\"route_type\":\"stream\",\"timeout_ms\":3000,\"slo_ms\":200,"
	"\"service\":\"engines\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":60,\"resumable\":false,\"gap_target_ms\":300},"
	"{\"name\":\"order\",\"hostname\":\"h\",\"prefix\":\"/order/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1000,\"slo_ms\":100,"
	"\"service\":\"shop\",\"attempts\":1}],"
	"\"services\":[{\"name\":\"engines\",\"engine\":{\"stride\":10}},"
	"{\"name\":\"shop\"}],\"limits\":{\"max_header_bytes\":8192,"
	"\"max_body_bytes\":100000,\"header_timeout_ms\":1000,"
	"\"idle_timeout_ms\":60000},\"tenants\":[{\"name\":\"t1\","
	"\"api_keys\":[\"secret-key\"],\"rate_per_s\":0,\"burst\":0}]}";

/* What a caller was told about one request; it may run at most once. */
struct told {
	char *id;
	char *input;
	char *expected; /* body that a server has to get */
	int status;	/* 0: none */
};

struct caller {
	uint32_t program;
	int turn; /* answered whole so far */
	GString *history;
	char *previous;
	uint32_t tokens; /* handed out in this program */
	struct told *asked;
	struct up_call *call;
	struct event *timer; /* time limit, or the pause before the next */
	int status;
	GString *body;
	int gateway;
};

struct gateway {
	pid_t pid;
	bool stopped;
	int64_t back_at; /* SIGCONT or a restart is due; 0: none */
	char *settings;
};

static struct {
	struct event_base *base;
	struct up *up;
	struct rowstore *store;
	struct proxy *to_store[GATEWAY_COUNT];
	struct backend *servers[ENGINES + 1];
	struct proxy *to_server[ENGINES + 1];
	struct gateway gateways[GATEWAY_COUNT];
	struct caller callers[CALLERS];
	GQueue idle[GATEWAY_COUNT];
	GPtrArray *told; /* of struct told, all there were */
	struct rng rng;
	const char *binary;
	int64_t until;
	uint32_t next_id;
	int port; /* the first of 200 */
	int config;
	uint32_t whole;
	uint32_t faults;
} s;

static int failures;

#define FAIL(...)                                                              \
	do {                                                                   \
		printf("BROKEN: " __VA_ARGS__);                                \
		printf("\n");                                                  \
		failures++;                                                    \
	} while (0)

static void ask(struct caller *caller);

static void start_gateway(struct gateway *gw)
{
	char *log = g_strconcat(gw->settings, ".log", NULL);
	char *const argv[] = {(char *)s.binary, "gateway", "-c", gw->settings,
			      NULL};

	gw->pid = fork();
	if (gw->pid == 0) {
		if (freopen(log, "a", stdout) == NULL ||
		    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
			_exit(126);
		execv(s.binary, argv);
		_exit(127);
	}
	g_free(log);
}

static void write_settings(struct gateway *gw, const char *folder, int i)
{
	int port = s.port + 100 + i * 10;
	char *text = g_strdup_printf(
		"{\"id\":\"g%d\",\"zone\":\"z\",\"callers\":\"127.0.0.1:%d\","
		"\"ready\":\"127.0.0.1:%d\",\"peers\":\"127.0.0.1:%d\","
		"\"relay\":\"127.0.0.1:%d\",\"store\":\"127.0.0.1:%d\","
		"\"grace_s\":2,\"revoke_ms\":5000}",
		i, port, port + 1, port + 2, port + 3, s.port + 10 + i);

	gw->settings = g_strdup_printf("%s/g%d.json", folder, i);
	if (!g_file_set_contents(gw->settings, text, -1, NULL))
		FAIL("settings of gateway %d: %s", i, g_strerror(errno));
	g_free(text);
}

static void put_config(void)
{
	char *text = g_strdup_printf(config, ++s.config);

	rowstore_put(s.store, "op", "", "config", text);
	g_free(text);
}

static void pause_caller(struct caller *caller, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(caller->timer, &tv);
}

static void new_program(struct caller *caller)
{
	caller->program = s.next_id++;
	caller->turn = 0;
	caller->tokens = 0;
	g_string_truncate(caller->history, 0);
	g_clear_pointer(&caller->previous, g_free);
}

/* Appends the data of each event and a line feed; returns how many. */
static uint32_t take_events(const char *body, GString *output)
{
	char **lines = g_strsplit(body, "\n", -1);
	uint32_t n = 0;

	for (char **line = lines; *line != NULL; line++) {
		if (!g_str_has_prefix(*line, "data: "))
			continue;
		g_string_append_printf(output, "%s\n", *line + 6);
		n++;
	}
	g_strfreev(lines);
	return n;
}

/* One request has ended, whole or not. */
static void settle(struct caller *caller, bool whole)
{
	struct told *told = caller->asked;
	GString *output = g_string_new(NULL);
	bool order = g_str_has_prefix(told->id, "o");
	uint32_t events = take_events(caller->body->str, output);

	caller->asked = NULL;
	told->status = whole ? caller->status : 0;
	if (!order && caller->status == 200)
		caller->tokens += events * STRIDE;
	if (caller->tokens > BUDGET + MOST)
		FAIL("%s: %u tokens of %d", told->id, caller->tokens, BUDGET);
	if (whole && caller->status == 200 && !order) {
		if (events != STREAM_EVENTS)
			FAIL("%s: %u events of %d", told->id, events,
			     STREAM_EVENTS);
		s.whole++;
		g_string_append(caller->history, told->input);
		g_string_append(caller->history, output->str);
		g_free(caller->previous);
		caller->previous = g_strdup(told->id);
		caller->turn++;
	}
	if (whole && caller->status == 404)
		FAIL("%s: 404 after %s", told->id,
		     caller->previous ? caller->previous : "-");
	if (caller->turn >= TURNS || (whole && caller->status == 402))
		new_program(caller);
	g_string_free(output, TRUE);
	pause_caller(caller, 5 + (int64_t)rng_below(&s.rng, 60));
}

static void on_head(void *arg, const struct up_head *head)
{
	struct caller *caller = arg;

	caller->status = head->status;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct caller *caller = arg;

	g_string_append_len(caller->body, data, (gssize)len);
}

static void on_end(void *arg, enum up_end end, const char *step)
{
	struct caller *caller = arg;

	(void)step;
	caller->call = NULL;
	event_del(caller->timer);
	settle(caller, end == UP_WHOLE);
}

static const struct up_handler handler = {on_head, on_body, on_end};

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *caller = arg;

	(void)fd;
	(void)what;
	if (caller->call != NULL) {
		up_cancel(caller->call);
		caller->call = NULL;
		settle(caller, false);
		return;
	}
	if (clock_boot_ms() < s.until)
		ask(caller);
}

static struct told *new_told(const struct caller *caller, bool order)
{
	struct told *told = g_new0(struct told, 1);

	told->id = g_strdup_printf("%c%u", order ? 'o' : 't', s.next_id++);
	told->input = g_strdup_printf("in-%s\n", told->id);
	told->expected =
		order ? g_strdup(told->input)
		      : g_strconcat(caller->history->str, told->input, NULL);
	g_ptr_array_add(s.told, told);
	return told;
}

static void ask(struct caller *caller)
{
	bool order = rng_below(&s.rng, 4) == 0;
	struct told *told = new_told(caller, order);
	struct up_request request = {.connect_ms = 500};
	char address[32];

	/* Lines of turns wander between instances. */
	if (rng_below(&s.rng, 5) == 0)
		caller->gateway = (int)rng_below(&s.rng, GATEWAY_COUNT);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   s.port + 100 + caller->gateway * 10);
	request.address = address;
	request.idle = &s.idle[caller->gateway];
	request.head = g_string_new(NULL);
	g_string_printf(request.head,
			"POST /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
			"Authorization: Bearer secret-key\r\n"
			"Deadline-Ms: %d\r\nContent-Length: %zu\r\n",
			order ? "order/x" : "kept/turn", told->id, TURN_MS,
			strlen(told->input));
	if (!order)
		g_string_append_printf(request.head,
				       "Program-Id: p%u\r\nSession-Id: s%u\r\n"
				       "Token-Usage: 10,%d\r\n"
				       "Token-Budget: %d\r\n",
				       caller->program, caller->program, MOST,
				       BUDGET);
	if (!order && caller->previous != NULL)
		g_string_append_printf(request.head, "Previous-Turn: %s\r\n",
				       caller->previous);
	g_string_append(request.head, "\r\n");
	request.body = g_bytes_new(told->input, strlen(told->input));
	caller->asked = told;
	caller->status = 0;
	g_string_truncate(caller->body, 0);
	pause_caller(caller, TURN_MS + 200);
	caller->call = up_start(s.up, &request, &handler, caller);
	g_bytes_unref(request.body);
}

/* Ends, pauses or wakes a gateway. */
static void harm_gateway(int i)
{
	struct gateway *gw = &s.gateways[i];
	int64_t back = clock_boot_ms() + 100 + (int64_t)rng_below(&s.rng, 1500);

	if (gw->back_at != 0)
		return;
	gw->back_at = back;
	switch (rng_below(&s.rng, 4)) {
	case 0:
		kill(gw->pid, SIGSTOP);
		gw->stopped = true;
		break;
	case 1:
		kill(gw->pid, SIGTERM);
		break;
	case 2:
		kill(gw->pid, SIGHUP);
		gw->back_at = 0;
		break;
	default:
		kill(gw->pid, SIGKILL);
		break;
	}
}

static void harm(void)
{
	static const enum rowstore_mode stores[] = {
		ROWSTORE_OK, ROWSTORE_OK, ROWSTORE_UNAVAILABLE,
		ROWSTORE_NO_RESPONSE, ROWSTORE_LOSE_RESPONSE};
	static const enum backend_mode servers[] = {
		BACKEND_OK,	  BACKEND_OK,	     BACKEND_OK,
		BACKEND_REFUSE,	  BACKEND_CLOSE,     BACKEND_UNSIGNED,
		BACKEND_WRONG_ID, BACKEND_MALFORMED, BACKEND_NO_RESPONSE,
	};

	s.faults++;
	switch (rng_below(&s.rng, 7)) {
	case 0:
	case 1:
		harm_gateway((int)rng_below(&s.rng, GATEWAY_COUNT));
		break;
	case 2:
		proxy_set_mode(
			s.to_store[rng_below(&s.rng, GATEWAY_COUNT)],
			(enum proxy_mode)rng_below(&s.rng, PROXY_MODE_COUNT));
		break;
	case 3:
		proxy_set_mode(
			s.to_server[rng_below(&s.rng, ENGINES + 1)],
			(enum proxy_mode)rng_below(&s.rng, PROXY_MODE_COUNT));
		break;
	case 4:
		rowstore_set_mode(
			s.store,
			stores[rng_below(&s.rng, G_N_ELEMENTS(stores))]);
		rowstore_set_delay(s.store,
				   rng_below(&s.rng, 4) == 0 ? 200 : 0);
		break;
	case 5:
		backend_set_mode(
			s.servers[rng_below(&s.rng, ENGINES + 1)],
			servers[rng_below(&s.rng, G_N_ELEMENTS(servers))]);
		break;
	default:
		put_config();
		if (rng_below(&s.rng, 2) == 0)
			rowstore_compact(s.store);
		break;
	}
}

static void calm(void)
{
	rowstore_set_mode(s.store, ROWSTORE_OK);
	rowstore_set_delay(s.store, 0);
	for (int i = 0; i < GATEWAY_COUNT; i++)
		proxy_set_mode(s.to_store[i], PROXY_PASS);
	for (int i = 0; i <= ENGINES; i++) {
		proxy_set_mode(s.to_server[i], PROXY_PASS);
		backend_set_mode(s.servers[i], BACKEND_OK);
	}
}

/* Brings back what was paused, and starts what has ended. */
static void mend_gateways(bool all)
{
	int64_t now = clock_boot_ms();

	for (int i = 0; i < GATEWAY_COUNT; i++) {
		struct gateway *gw = &s.gateways[i];

		if (gw->back_at == 0 || (!all && now < gw->back_at))
			continue;
		if (gw->stopped) {
			kill(gw->pid, SIGCONT);
		} else if (waitpid(gw->pid, NULL, WNOHANG) == 0) {
			continue; /* it is still stopping */
		} else {
			start_gateway(gw);
		}
		gw->stopped = false;
		gw->back_at = 0;
	}
}

/* A process that ended without a signal of ours. */
static void check_alive(void)
{
	int status;

	for (int i = 0; i < GATEWAY_COUNT; i++) {
		struct gateway *gw = &s.gateways[i];

		if (gw->back_at != 0 ||
		    waitpid(gw->pid, &status, WNOHANG) != gw->pid)
			continue;
		FAIL("gateway %d ended by itself, status %d", i, status);
		start_gateway(gw);
	}
}

static void run_for(int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_base_loopexit(s.base, &tv);
	event_base_dispatch(s.base);
}

/* What the servers saw of one request. */
static void check_runs(const struct told *told, GHashTable *runs)
{
	const GPtrArray *ran = g_hash_table_lookup(runs, told->id);
	guint n = ran ? ran->len : 0;

	if (n > 1)
		FAIL("%s ran %u times", told->id, n);
	if (n > 0 &&
	    (told->status == 429 || told->status == 503 || told->status == 402))
		FAIL("%s was answered %d and ran", told->id, told->status);
	if (n == 0 && told->status == 200)
		FAIL("%s was answered 200 and did not run", told->id);
	for (guint i = 0; i < n; i++) {
		const struct backend_run *run = g_ptr_array_index(ran, i);

		if (strcmp(run->body, told->expected) != 0)
			FAIL("%s ran with another body", told->id);
		if (strstr(run->headers, "secret-key") != NULL)
			FAIL("%s: a server saw the key", told->id);
		if (strcmp(run->account, "t1") != 0)
			FAIL("%s ran for account %s", told->id, run->account);
	}
}

static void check_all(void)
{
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);

	for (int i = 0; i <= ENGINES; i++) {
		const GPtrArray *ran = backend_runs(s.servers[i]);

		for (guint k = 0; k < ran->len; k++) {
			struct backend_run *run = g_ptr_array_index(ran, k);
			GPtrArray *list = g_hash_table_lookup(runs, run->id);

			if (list == NULL) {
				list = g_ptr_array_new();
				g_hash_table_insert(runs, run->id, list);
			}
			g_ptr_array_add(list, run);
		}
	}
	for (guint i = 0; i < s.told->len; i++)
		check_runs(g_ptr_array_index(s.told, i), runs);
	g_hash_table_destroy(runs);
}

static void put_server(const char *id, const char *service, int port)
{
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z\",\"slots\":8,\"state\":\"ready\","
		"\"cold_left_ms\":0,\"born\":1}",
		service, port);

	rowstore_put(s.store, "servers", "", id, text);
	g_free(text);
}

static bool build(const char *folder)
{
	char at[32];
	char to[32];

	s.base = event_base_new();
	s.up = up_create(s.base);
	g_snprintf(to, sizeof(to), "127.0.0.1:%d", s.port);
	s.store = rowstore_create(s.base, to);
	if (s.store == NULL)
		return false;
	put_config();
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		g_snprintf(at, sizeof(at), "127.0.0.1:%d", s.port + 10 + i);
		s.to_store[i] = proxy_create(s.base, at, to);
		if (s.to_store[i] == NULL)
			return false;
		write_settings(&s.gateways[i], folder, i);
		start_gateway(&s.gateways[i]);
	}
	for (int i = 0; i <= ENGINES; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "e%d", i);
		g_snprintf(to, sizeof(to), "127.0.0.1:%d", s.port + 20 + i);
		g_snprintf(at, sizeof(at), "127.0.0.1:%d", s.port + 30 + i);
		s.servers[i] = backend_create(s.base, to, id, STREAM_EVENTS, 5);
		s.to_server[i] = proxy_create(s.base, at, to);
		if (s.to_server[i] == NULL)
			return false;
		put_server(id, i < ENGINES ? "engines" : "shop",
			   s.port + 30 + i);
	}
	return true;
}

static void start_callers(void)
{
	for (int i = 0; i < CALLERS; i++) {
		struct caller *caller = &s.callers[i];

		caller->gateway = i % GATEWAY_COUNT;
		caller->history = g_string_new(NULL);
		caller->body = g_string_new(NULL);
		caller->timer = evtimer_new(s.base, on_timer, caller);
		new_program(caller);
		pause_caller(caller, 1 + i);
	}
}

static void soak(int64_t ms)
{
	int64_t end = clock_boot_ms() + ms;

	s.until = end + SETTLE_MS;
	while (clock_boot_ms() < end) {
		run_for(20 + (int64_t)rng_below(&s.rng, 250));
		check_alive();
		harm();
		mend_gateways(false);
	}
	calm();
	for (int i = 0; i < 20; i++) {
		mend_gateways(i > 10);
		run_for(SETTLE_MS / 20);
	}
	s.whole = 0;
	s.until += READY_MS;
	for (int i = 0; i < CALLERS; i++)
		pause_caller(&s.callers[i], 1);
	run_for(READY_MS);
	if (s.whole == 0)
		FAIL("no turn was served after the faults");
	s.until = 0;
	run_for(TURN_MS + 500);
}

static void end_gateways(void)
{
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		kill(s.gateways[i].pid, SIGKILL);
		waitpid(s.gateways[i].pid, NULL, 0);
	}
}

int main(int argc, char **argv)
{
	char folder[] = "/tmp/aps-soak-XXXXXX";
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
	int64_t ms = argc > 3 ? strtoll(argv[3], NULL, 10) : 5000;

	if (argc < 2 || sodium_init() < 0 || mkdtemp(folder) == NULL) {
		fprintf(stderr, "usage: soak BINARY SEED [MS [PORT]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	s.binary = argv[1];
	s.port = argc > 4 ? atoi(argv[4]) : PORT_PRESET;
	s.rng.state = seed;
	s.next_id = 1;
	s.told = g_ptr_array_new();
	if (!build(folder)) {
		fprintf(stderr, "soak: can't listen: %s\n", strerror(errno));
		return 2;
	}
	run_for(READY_MS / 2);
	start_callers();
	soak(ms);
	check_all();
	end_gateways();
	printf("seed %" G_GUINT64_FORMAT ": %u requests, %u faults, "
	       "%u turns served afterwards, %d broken, logs in %s\n",
	       seed, s.told->len, s.faults, s.whole, failures, folder);
	return failures > 0;
}
