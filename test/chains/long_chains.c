/**
 * @file long_chains.c
 * @brief Several programs with the longest chains at one process.
 *
 * long_chains BINARY [LOG]: starts a gateway with a stand-in store and engine.
 * First BURST new programs continue one stored turn at once, several times;
 * then PROGRAMS programs run TURNS turns at once, whose inputs are as long as
 * the configuration allows, and whose answers are long too. Checks that
 *  - each turn is answered whole, at one of its callers' tries: a process may
 *    refuse what it has no memory for now
 *  - its server gets every byte of the chain, in order
 *  - the peak resident memory of the gateway stays below its setting memory_mb
 *
 * Guards against a chain that was answered whole and can't be continued, and
 * against a process that is ended for its memory by the chains it serves.
 * Nothing that depends on speed is checked.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>
#include <glib.h>

#include "serve/hdr.h"
#include "serve/upstream.h"
#include "test/gateway/target.h"

enum {
	PROGRAMS = 8,
	BURST = 72, /* programs that continue one turn at once */
	BURST_ROUNDS = 3,
	BURST_CHAIN_BYTES = 700000,
	BURST_INPUT_BYTES = 1000,
	TURNS = 7,
	INPUT_BYTES = 4000000, /* max_body_bytes is 4,194,304 */
	EVENTS = 20,
	EVENT_BYTES = 100000,
	MEMORY_MB = 130,
	TIMEOUT_MS = 60000,
	TRIES_MAX = 5, /* of a turn: a caller gives up then */
	RETRY_MS = 400,
	START_TRIES = 100,
	START_WAIT_MS = 100,
	PORT = 22500, /* of the store; the others follow */
	CHAIN_MAX_BYTES = 2 * TURNS * (INPUT_BYTES + EVENTS * EVENT_BYTES),
};

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"turn\",\"hostname\":\"h\","
	"\"prefix\":\"/\",\"route_type\":\"stream\",\"timeout_ms\":60000,"
	"\"slo_ms\":20000,\"service\":\"m\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":600,\"public\":true}],"
	"\"services\":[{\"name\":\"m\",\"engine\":{\"slots\":48,"
	"\"kv_capacity\":841052,\"stride\":20}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000}}";

/* FNV-1a over all bytes of a chain. */
enum { HASH_DIGITS = 16 };
#define HASH_BASE 14695981039346656037ULL
#define HASH_PRIME 1099511628211ULL

/* One program. */
struct program {
	int number;
	int turn;	 /* in progress; 1 is the first */
	uint64_t hash;	 /* of the chain, up to the input in progress */
	uint64_t len;	 /* and its length */
	GString *answer; /* the bytes of the stream */
	char previous[32];
	char id[32];
	int tries; /* of the turn */
	int status;
	bool whole;
	bool done;
	struct upstream_call *call;
};

static struct event_base *base;
static struct upstream *upstream;
static GQueue idle = G_QUEUE_INIT;

static uint64_t hash_bytes(uint64_t hash, const void *data, size_t len)
{
	const uint8_t *bytes = data;

	for (size_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * HASH_PRIME;
	return hash;
}

/* The engine answers with the hash and the length of what it got, and then with
 * long events if the request asks for them. */
static void on_server_request(void *arg, struct inbound_request *request)
{
	const char *id = hdr_get(request->headers, "Request-Id");
	GString *out = g_string_new(NULL);
	char *fill = g_strnfill(EVENT_BYTES, 'o');
	bool is_long = hdr_get(request->headers, "Long-Answer") != NULL;

	(void)arg;
	g_string_printf(out,
			"Request-Id: %s\r\nResponse-Signature: s\r\n"
			"Content-Type: text/event-stream\r\n",
			id != NULL ? id : "");
	inbound_begin_reply(request, 200, out->str);
	g_string_printf(
		out, "id: 1\ndata: %016" G_GINT64_MODIFIER "x %u\n\n",
		hash_bytes(HASH_BASE, request->body->data, request->body->len),
		request->body->len);
	for (int i = 2; i <= EVENTS && is_long; i++)
		g_string_append_printf(out, "id: %d\ndata: %s\n\n", i, fill);
	inbound_send_chunk(request, out->str, out->len);
	inbound_end_reply(request);
	g_string_free(out, TRUE);
	g_free(fill);
}

static const struct target_platform platform = {
	.port = PORT,
	.config = config,
	.service = "m",
	.max_body_bytes = CHAIN_MAX_BYTES,
	.on_request = on_server_request,
};

static pid_t start_gateway(const char *binary, const char *path,
			   const char *log)
{
	char *text = target_settings(&platform, MEMORY_MB);

	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return target_start(binary, "gateway", path, log, false);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct program *program = arg;

	program->status = head->status;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct program *program = arg;

	g_string_append_len(program->answer, data, (gssize)len);
}

static void on_end(void *arg, enum upstream_result result, const char *cause)
{
	struct program *program = arg;

	(void)cause;
	program->call = NULL;
	program->whole = result == UPSTREAM_COMPLETE && program->status == 200;
	program->done = true;
}

static const struct upstream_handler handler = {
	.head = on_head, .body = on_body, .end = on_end};

/* The input of a turn: it names the program and the turn. */
static GBytes *build_input(const struct program *program, size_t len)
{
	char *text = g_strnfill(len, (char)('a' + program->number % 26));

	text[0] = (char)('0' + program->turn);
	text[len - 1] = '\n';
	return g_bytes_new_take(text, len);
}

/* Adds the input of a turn to the chain. */
static void begin_turn(struct program *program, int turn, size_t len)
{
	GBytes *input;

	program->turn = turn;
	program->tries = 0;
	input = build_input(program, len);
	program->hash =
		hash_bytes(program->hash, g_bytes_get_data(input, NULL), len);
	program->len += len;
	g_bytes_unref(input);
}

static void send_turn(struct program *program, size_t len)
{
	GBytes *input = build_input(program, len);
	char address[32];
	struct upstream_request request = {.address = address,
					   .idle = &idle,
					   .body = input,
					   .connect_timeout_ms = 1000};

	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   PORT + TARGET_CALLERS);
	g_snprintf(program->id, sizeof(program->id), "p%d-%d-%u",
		   program->number, program->turn, g_random_int());
	program->tries++;
	program->done = false;
	program->status = 0;
	g_string_truncate(program->answer, 0);
	request.head = g_string_new(NULL);
	g_string_printf(request.head,
			"POST /turn HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
			"Program-Id: p%d\r\nSession-Id: s%d\r\n"
			"Token-Usage: 10,600\r\nContent-Length: %zu\r\n",
			program->id, program->number, program->number, len);
	if (len == INPUT_BYTES)
		g_string_append(request.head, "Long-Answer: 1\r\n");
	if (program->turn > 1)
		g_string_append_printf(request.head, "Previous-Turn: %s\r\n",
				       program->previous);
	g_string_append(request.head, "\r\n");
	program->call = upstream_send(upstream, &request, &handler, program);
	g_bytes_unref(input);
}

/* Checks what the server says it got, and adds the output to the chain. Returns
 * false if anything is missing. */
static bool check_answer(struct program *program)
{
	char *expected = g_strdup_printf("id: 1\ndata: %016" G_GINT64_MODIFIER
					 "x %" G_GUINT64_FORMAT "\n\n",
					 program->hash, program->len);
	bool ok = program->whole &&
		  g_str_has_prefix(program->answer->str, expected);
	const char *data = program->answer->str;

	printf("%s      program %d, turn %d: status %d, %" G_GUINT64_FORMAT
	       " bytes of chain, %d tries\n",
	       ok ? "ok" : "FAILED", program->number, program->turn,
	       program->status, program->len, program->tries);
	while (ok && (data = strstr(data, "data: ")) != NULL) {
		size_t len;

		data += strlen("data: ");
		len = strcspn(data, "\n") + 1;
		program->hash = hash_bytes(program->hash, data, len);
		program->len += len;
		data += len;
	}
	g_strlcpy(program->previous, program->id, sizeof(program->previous));
	g_free(expected);
	return ok;
}

static void run_ms(int64_t ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Sends the turns that have failed again; returns whether any was sent. */
static bool send_again(struct program *programs, int count, size_t len)
{
	bool sent = false;

	for (int i = 0; i < count; i++) {
		if (programs[i].whole || programs[i].tries == TRIES_MAX)
			continue;
		if (!sent)
			run_ms(RETRY_MS);
		send_turn(&programs[i], len);
		sent = true;
	}
	return sent;
}

static void run_until_done(const struct program *programs, int count)
{
	int64_t until_us = g_get_monotonic_time() + TIMEOUT_MS * 1000LL;
	bool done = false;

	while (!done && g_get_monotonic_time() < until_us) {
		run_ms(10);
		done = true;
		for (int i = 0; i < count; i++)
			done &= programs[i].done;
	}
}

/* Runs a turn of @p len bytes of each program at once; returns how many
 * failed. */
static int play_turn(struct program *programs, int count, int turn, size_t len)
{
	int failed = 0;

	for (int i = 0; i < count; i++) {
		begin_turn(&programs[i], turn, len);
		send_turn(&programs[i], len);
	}
	do {
		run_until_done(programs, count);
	} while (send_again(programs, count, len));
	for (int i = 0; i < count; i++)
		failed += !check_answer(&programs[i]);
	return failed;
}

static void program_init(struct program *program, int number)
{
	memset(program, 0, sizeof(*program));
	program->number = number;
	program->hash = HASH_BASE;
	program->answer = g_string_new(NULL);
}

/* Runs programs with chains that get ever longer; returns how many turns
 * failed. */
static int play_chains(void)
{
	struct program programs[PROGRAMS];
	int failed = 0;

	for (int i = 0; i < PROGRAMS; i++)
		program_init(&programs[i], i);
	for (int turn = 1; turn <= TURNS && failed == 0; turn++)
		failed += play_turn(programs, PROGRAMS, turn, INPUT_BYTES);
	for (int i = 0; i < PROGRAMS; i++)
		g_string_free(programs[i].answer, TRUE);
	return failed;
}

/* Lets new programs continue one turn of another program, all at once. */
static int play_burst(void)
{
	struct program first;
	struct program programs[BURST];
	int number = PROGRAMS;
	int failed;

	program_init(&first, number++);
	failed = play_turn(&first, 1, 1, BURST_CHAIN_BYTES);
	for (int round = 0; round < BURST_ROUNDS && failed == 0; round++) {
		for (int i = 0; i < BURST; i++) {
			program_init(&programs[i], number++);
			programs[i].hash = first.hash;
			programs[i].len = first.len;
			g_strlcpy(programs[i].previous, first.id,
				  sizeof(programs[i].previous));
		}
		failed += play_turn(programs, BURST, 2, BURST_INPUT_BYTES);
		for (int i = 0; i < BURST; i++)
			g_string_free(programs[i].answer, TRUE);
	}
	g_string_free(first.answer, TRUE);
	return failed;
}

/* Checks the peak of the gateway's memory; returns whether it is too high. */
static bool is_too_large(pid_t gateway, const char *phase)
{
	uint64_t peak_kb = target_status_kb(gateway, "VmHWM:");

	printf("long_chains: %s, peak %.1f MB (bound %d)\n", phase,
	       (double)peak_kb / 1024, MEMORY_MB);
	return peak_kb == 0 || peak_kb > MEMORY_MB * 1024;
}

/* Waits until the gateway serves. */
static bool is_served(void)
{
	struct program probe = {
		.number = PROGRAMS, .turn = 1, .hash = HASH_BASE};

	probe.answer = g_string_new(NULL);
	for (int i = 0; i < START_TRIES && !probe.whole; i++) {
		send_turn(&probe, 10);
		while (!probe.done)
			run_ms(10);
		if (!probe.whole)
			run_ms(START_WAIT_MS);
	}
	g_string_free(probe.answer, TRUE);
	return probe.whole;
}

int main(int argc, char **argv)
{
	char dir[] = "/tmp/aps-chains-XXXXXX";
	pid_t platform_pid;
	pid_t gateway;
	char *path;
	int failed;

	if (argc < 2 || mkdtemp(dir) == NULL) {
		fprintf(stderr, "usage: long_chains BINARY [LOG]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	path = g_strdup_printf("%s/settings.json", dir);
	platform_pid = target_start_platform(&platform);
	gateway = start_gateway(argv[1], path, argc > 2 ? argv[2] : NULL);
	base = event_base_new();
	upstream = upstream_create(base);
	if (!is_served()) {
		printf("long_chains: the gateway does not start\n");
		return 2;
	}
	failed = play_burst();
	failed += is_too_large(gateway, "burst");
	failed += play_chains();
	failed += is_too_large(gateway, "chains");
	target_stop(&gateway);
	target_stop(&platform_pid);
	printf("long_chains: %d failed\n", failed);
	return failed > 0;
}
