/**
 * @file main.c
 * @brief Command line for the stand-ins: servers, the table and a caller.
 */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <civetweb.h>
#include <json-c/json.h>

#include "table/tableclient.h"
#include "table/tableserver.h"
#include "test/standins/caller.h"
#include "test/standins/model.h"

enum {
	CHUNK_TOKENS = 4, /* output tokens in each event */
	US_PER_MS = 1000,
	BODY_BYTES_MAX = 8 << 20,
	SERVICE_TIME_MS = 30,
};

static pthread_mutex_t state_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct model *model;
static const char *server_name = "?";

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static const char *header_or_dash(const struct mg_connection *conn,
				  const char *key)
{
	const char *value = mg_get_header(conn, key);

	return value != NULL ? value : "-";
}

/* Prints the line of one event; the tests search these lines. */
static void log_event(const struct mg_connection *conn, const char *event)
{
	printf("%" PRId64 " %s %s program=%s request=%s fence=%s key=%s\n",
	       now_ms(), server_name, event, header_or_dash(conn, "X-Program"),
	       header_or_dash(conn, "X-Request-Id"),
	       header_or_dash(conn, "X-Fencing-Token"),
	       header_or_dash(conn, "Authorization"));
	fflush(stdout);
}

static char *read_body(struct mg_connection *conn)
{
	long long len = mg_get_request_info(conn)->content_length;
	char *body;

	if (len < 0 || len > BODY_BYTES_MAX)
		return NULL;
	body = g_malloc0((gsize)len + 1);
	if (len > 0 && mg_read(conn, body, (size_t)len) != len) {
		g_free(body);
		return NULL;
	}
	return body;
}

static void pause_ms(double ms)
{
	usleep((useconds_t)(ms * US_PER_MS));
}

static char *last_message(json_object *root)
{
	json_object *messages = NULL;
	json_object *content = NULL;
	size_t n;

	if (!json_object_object_get_ex(root, "messages", &messages))
		return g_strdup("");
	n = json_object_array_length(messages);
	if (n == 0 || !json_object_object_get_ex(
			      json_object_array_get_idx(messages, n - 1),
			      "content", &content))
		return g_strdup("");
	return g_strdup(json_object_get_string(content));
}

/* Streams the output from byte @sent on. Returns how much has been sent, which
 * is less than all if the caller disconnected. */
static size_t stream_output(struct mg_connection *conn, const char *output,
			    size_t sent, const char *id)
{
	size_t len = strlen(output);
	char event[512];

	while (sent < len) {
		size_t n = MIN(len - sent,
			       (size_t)CHUNK_TOKENS * MODEL_BYTES_PER_TOKEN);
		double ms;

		pthread_mutex_lock(&state_mutex);
		ms = model_token_ms(model) * CHUNK_TOKENS;
		pthread_mutex_unlock(&state_mutex);
		pause_ms(ms);
		snprintf(event, sizeof(event),
			 "data: {\"id\":\"%s\",\"choices\":[{\"delta\":"
			 "{\"content\":\"%.*s\"}}]}\n\n",
			 id, (int)n, output + sent);
		if (mg_send_chunk(conn, event, (unsigned)strlen(event)) < 0)
			return sent;
		sent += n;
	}
	return sent;
}

/* Runs a chat completion. Text in the last message controls the engine: "out=N"
 * sets the output tokens, and "CUT" truncates the stream half-way. A "resume"
 * member holds the output that the caller already has. */
static void run_chat(struct mg_connection *conn, json_object *root,
		     size_t body_len)
{
	const char *id = header_or_dash(conn, "X-Request-Id");
	const char *program = header_or_dash(conn, "X-Program");
	uint32_t prompt = (uint32_t)(body_len / MODEL_BYTES_PER_TOKEN);
	char *body = last_message(root);
	char *output = model_output(body, strlen(body));
	json_object *resume = NULL;
	size_t sent = 0;
	uint32_t cached;
	double ms;
	char event[256];

	if (json_object_object_get_ex(root, "resume", &resume))
		sent = MIN(strlen(output),
			   (size_t)json_object_get_string_len(resume));
	pthread_mutex_lock(&state_mutex);
	cached = model_start_run(model, program, prompt);
	ms = model_prefill_ms(model, prompt - cached);
	pthread_mutex_unlock(&state_mutex);
	pause_ms(ms);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		  "X-Request-Id: %s\r\nX-Incarnation: %" PRIu64 "\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  id, model->incarnation);
	if (strstr(body, "CUT") != NULL)
		output[strlen(output) / 2] = '\0';
	sent = stream_output(conn, output, sent, id);
	snprintf(event, sizeof(event),
		 "data: {\"id\":\"%s\",\"choices\":[],\"usage\":"
		 "{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
		 "\"cached_tokens\":%u}}\n\ndata: [DONE]\n\n",
		 id, prompt, model_output_tokens(body, strlen(body)), cached);
	if (sent == strlen(output) && strstr(body, "CUT") == NULL) {
		mg_send_chunk(conn, event, (unsigned)strlen(event));
		mg_send_chunk(conn, "", 0);
	}
	pthread_mutex_lock(&state_mutex);
	model_end_run(model, program,
		      prompt + (uint32_t)(sent / MODEL_BYTES_PER_TOKEN),
		      sent == strlen(output));
	pthread_mutex_unlock(&state_mutex);
	g_free(output);
	g_free(body);
}

static int on_chat(struct mg_connection *conn, void *arg)
{
	char *body = read_body(conn);
	json_object *root = body != NULL ? json_tokener_parse(body) : NULL;
	uint64_t fence =
		strtoull(header_or_dash(conn, "X-Fencing-Token"), NULL, 10);
	bool accepted;

	(void)arg;
	if (root == NULL) {
		g_free(body);
		mg_send_http_error(conn, 400, "not JSON");
		return 400;
	}
	/* Such a request crashes every engine that it is sent to. */
	if (strstr(body, "CRASH") != NULL) {
		log_event(conn, "crash");
		_exit(3);
	}
	pthread_mutex_lock(&state_mutex);
	accepted = model_check_fence(model, header_or_dash(conn, "X-Program"),
				     fence);
	pthread_mutex_unlock(&state_mutex);
	log_event(conn, accepted ? "start" : "fenced");
	if (accepted)
		run_chat(conn, root, strlen(body));
	else
		mg_printf(conn, "HTTP/1.1 409 Conflict\r\nX-Executed: no\r\n"
				"Content-Length: 0\r\n\r\n");
	log_event(conn, "end");
	json_object_put(root);
	g_free(body);
	return 200;
}

static int on_end_program(struct mg_connection *conn, void *arg)
{
	const char *program =
		mg_get_request_info(conn)->local_uri + strlen("/v1/programs/");
	uint64_t fence =
		strtoull(header_or_dash(conn, "X-Fencing-Token"), NULL, 10);
	bool accepted;

	(void)arg;
	pthread_mutex_lock(&state_mutex);
	accepted = model_check_fence(model, program, fence);
	if (accepted)
		model_release(model, program);
	pthread_mutex_unlock(&state_mutex);
	printf("%" PRId64 " %s release program=%s ok=%d\n", now_ms(),
	       server_name, program, accepted);
	fflush(stdout);
	mg_printf(conn,
		  "HTTP/1.1 %s\r\nX-Incarnation: %" PRIu64
		  "\r\nContent-Length: 0\r\n\r\n",
		  accepted ? "200 OK" : "409 Conflict", model->incarnation);
	return 200;
}

static int on_load(struct mg_connection *conn, void *arg)
{
	char text[64];
	uint32_t inflight;

	(void)arg;
	pthread_mutex_lock(&state_mutex);
	inflight = model->inflight;
	pthread_mutex_unlock(&state_mutex);
	snprintf(text, sizeof(text), "{\"inflight\":%u}", inflight);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "X-Incarnation: %" PRIu64 "\r\nContent-Length: %zu\r\n\r\n%s",
		  model->incarnation, strlen(text), text);
	return 200;
}

static int on_service_call(struct mg_connection *conn, void *arg)
{
	static int last_order;
	char *body = read_body(conn);
	char text[128];

	(void)arg;
	log_event(conn, "start");
	pause_ms(SERVICE_TIME_MS);
	pthread_mutex_lock(&state_mutex);
	snprintf(text, sizeof(text), "{\"order\":%d,\"by\":\"%s\"}",
		 ++last_order, server_name);
	pthread_mutex_unlock(&state_mutex);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
		  header_or_dash(conn, "X-Request-Id"), strlen(text), text);
	log_event(conn, "end");
	g_free(body);
	return 200;
}

static void usage(void) __attribute__((noreturn));

static int print_url(const char *url)
{
	GString *errors = g_string_new(NULL);
	char *text = tableclient_fetch(url, errors);
	int failed = text == NULL;

	printf("%s", failed ? errors->str : text);

	g_string_free(errors, TRUE);
	g_free(text);
	return failed;
}

static void usage(void)
{
	fprintf(stderr, "usage: standin table ADDR\n"
			"       standin engine ADDR NAME [MAX]\n"
			"       standin service ADDR NAME\n"
			"       standin get URL\n"
			"       standin post URL BODY [HEADER]...\n"
			"       standin program KEY NAME TURNS URL...\n");
	exit(2);
}

static int serve(const char *role, const char *addr, uint32_t max_runs)
{
	const char *options[] = {"listening_ports",
				 addr,
				 "num_threads",
				 "64",
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "5000",
				 "tcp_nodelay",
				 "1",
				 NULL};
	struct mg_callbacks callbacks = {0};
	struct mg_context *ctx = mg_start(&callbacks, NULL, options);
	sigset_t set;
	int sig;

	if (ctx == NULL) {
		fprintf(stderr, "standin: %s: cannot listen\n", addr);
		return 1;
	}
	model = model_create(max_runs, true);
	model->incarnation = (uint64_t)now_ms();
	mg_set_request_handler(ctx, "/v1/load$", on_load, NULL);
	if (strcmp(role, "table") == 0) {
		(void)tableserver_create(ctx);
	} else if (strcmp(role, "engine") == 0) {
		mg_set_request_handler(ctx, "/v1/chat/completions$", on_chat,
				       NULL);
		mg_set_request_handler(ctx, "/v1/programs/*", on_end_program,
				       NULL);
	} else {
		mg_set_request_handler(ctx, "/", on_service_call, NULL);
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &sig);
	mg_stop(ctx);
	return 0;
}

int main(int argc, char **argv)
{
	uint32_t max_runs = 8;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (argc >= 6 && strcmp(argv[1], "program") == 0) {
		pthread_sigmask(SIG_UNBLOCK, &set, NULL);
		return caller_run_program(argv[2], argv[3], atoi(argv[4]),
					  argv + 5, argc - 5);
	}
	if (argc < 3)
		usage();
	if (strcmp(argv[1], "post") == 0 && argc >= 4)
		return caller_post(argv[2], argv[3], argv + 4, argc - 4);
	if (strcmp(argv[1], "get") == 0)
		return print_url(argv[2]);
	if (argc > 3)
		server_name = argv[3];
	if (argc > 4)
		max_runs = (uint32_t)strtoul(argv[4], NULL, 10);
	return serve(argv[1], argv[2], max_runs);
}
