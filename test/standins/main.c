/**
 * @file main.c
 * @brief Stand-ins for the systems around the product, and a small caller.
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
	CHUNK_TOKENS = 4,
	US_PER_MS = 1000,
	BODY_MAX = 8 << 20,
	SERVICE_MS = 30,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct model *model;
static const char *name = "?";

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static const char *header(const struct mg_connection *conn, const char *key)
{
	const char *value = mg_get_header(conn, key);

	return value != NULL ? value : "-";
}

/* One line for each event, for the checks. */
static void note(const struct mg_connection *conn, const char *event)
{
	printf("%" PRId64 " %s %s program=%s request=%s fence=%s key=%s\n",
	       now_ms(), name, event, header(conn, "X-Program"),
	       header(conn, "X-Request-Id"), header(conn, "X-Fencing-Token"),
	       header(conn, "Authorization"));
	fflush(stdout);
}

static char *read_body(struct mg_connection *conn)
{
	long long len = mg_get_request_info(conn)->content_length;
	char *body;

	if (len < 0 || len > BODY_MAX)
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

/* Streams the answer after @sent bytes. @return bytes sent in all */
static size_t stream(struct mg_connection *conn, const char *answer,
		     size_t sent, const char *id)
{
	size_t len = strlen(answer);
	char event[512];

	while (sent < len) {
		size_t n = MIN(len - sent,
			       (size_t)CHUNK_TOKENS * MODEL_BYTES_PER_TOKEN);
		double ms;

		pthread_mutex_lock(&lock);
		ms = model_token_ms(model) * CHUNK_TOKENS;
		pthread_mutex_unlock(&lock);
		pause_ms(ms);
		snprintf(event, sizeof(event),
			 "data: {\"id\":\"%s\",\"choices\":[{\"delta\":"
			 "{\"content\":\"%.*s\"}}]}\n\n",
			 id, (int)n, answer + sent);
		if (mg_send_chunk(conn, event, (unsigned)strlen(event)) < 0)
			return sent;
		sent += n;
	}
	return sent;
}

static void answer_chat(struct mg_connection *conn, json_object *root,
			size_t body_len)
{
	const char *id = header(conn, "X-Request-Id");
	const char *program = header(conn, "X-Program");
	uint32_t prompt = (uint32_t)(body_len / MODEL_BYTES_PER_TOKEN);
	char *body = last_message(root);
	char *answer = model_output(body, strlen(body));
	json_object *resume = NULL;
	size_t sent = 0;
	uint32_t cached;
	double ms;
	char event[256];

	if (json_object_object_get_ex(root, "resume", &resume))
		sent = MIN(strlen(answer),
			   (size_t)json_object_get_string_len(resume));
	pthread_mutex_lock(&lock);
	cached = model_start_run(model, program, prompt);
	ms = model_prefill_ms(model, prompt - cached);
	pthread_mutex_unlock(&lock);
	pause_ms(ms);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		  "X-Request-Id: %s\r\nX-Incarnation: %" PRIu64 "\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  id, model->incarnation);
	if (strstr(body, "CUT") != NULL)
		answer[strlen(answer) / 2] = '\0';
	sent = stream(conn, answer, sent, id);
	snprintf(event, sizeof(event),
		 "data: {\"id\":\"%s\",\"choices\":[],\"usage\":"
		 "{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
		 "\"cached_tokens\":%u}}\n\ndata: [DONE]\n\n",
		 id, prompt, model_output_tokens(body, strlen(body)), cached);
	if (sent == strlen(answer) && strstr(body, "CUT") == NULL) {
		mg_send_chunk(conn, event, (unsigned)strlen(event));
		mg_send_chunk(conn, "", 0);
	}
	pthread_mutex_lock(&lock);
	model_end_run(model, program,
		      prompt + (uint32_t)(sent / MODEL_BYTES_PER_TOKEN),
		      sent == strlen(answer));
	pthread_mutex_unlock(&lock);
	g_free(answer);
	g_free(body);
}

static int on_chat(struct mg_connection *conn, void *arg)
{
	char *body = read_body(conn);
	json_object *root = body != NULL ? json_tokener_parse(body) : NULL;
	uint64_t fence = strtoull(header(conn, "X-Fencing-Token"), NULL, 10);
	bool ok;

	(void)arg;
	if (root == NULL) {
		g_free(body);
		mg_send_http_error(conn, 400, "not JSON");
		return 400;
	}
	if (strstr(body, "CRASH") != NULL) {
		note(conn, "crash");
		_exit(3);
	}
	pthread_mutex_lock(&lock);
	ok = model_check_fence(model, header(conn, "X-Program"), fence);
	pthread_mutex_unlock(&lock);
	note(conn, ok ? "start" : "fenced");
	if (ok)
		answer_chat(conn, root, strlen(body));
	else
		mg_printf(conn, "HTTP/1.1 409 Conflict\r\nX-Executed: no\r\n"
				"Content-Length: 0\r\n\r\n");
	note(conn, "end");
	json_object_put(root);
	g_free(body);
	return 200;
}

static int on_release(struct mg_connection *conn, void *arg)
{
	const char *program =
		mg_get_request_info(conn)->local_uri + strlen("/v1/programs/");
	uint64_t fence = strtoull(header(conn, "X-Fencing-Token"), NULL, 10);
	bool ok;

	(void)arg;
	pthread_mutex_lock(&lock);
	ok = model_check_fence(model, program, fence);
	if (ok)
		model_release(model, program);
	pthread_mutex_unlock(&lock);
	printf("%" PRId64 " %s release program=%s ok=%d\n", now_ms(), name,
	       program, ok);
	fflush(stdout);
	mg_printf(conn,
		  "HTTP/1.1 %s\r\nX-Incarnation: %" PRIu64
		  "\r\nContent-Length: 0\r\n\r\n",
		  ok ? "200 OK" : "409 Conflict", model->incarnation);
	return 200;
}

static int on_load(struct mg_connection *conn, void *arg)
{
	char text[64];
	uint32_t inflight;

	(void)arg;
	pthread_mutex_lock(&lock);
	inflight = model->inflight;
	pthread_mutex_unlock(&lock);
	snprintf(text, sizeof(text), "{\"inflight\":%u}", inflight);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "X-Incarnation: %" PRIu64 "\r\nContent-Length: %zu\r\n\r\n%s",
		  model->incarnation, strlen(text), text);
	return 200;
}

static int on_any(struct mg_connection *conn, void *arg)
{
	static int serial;
	char *body = read_body(conn);
	char text[128];

	(void)arg;
	note(conn, "start");
	pause_ms(SERVICE_MS);
	pthread_mutex_lock(&lock);
	snprintf(text, sizeof(text), "{\"order\":%d,\"by\":\"%s\"}", ++serial,
		 name);
	pthread_mutex_unlock(&lock);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
		  header(conn, "X-Request-Id"), strlen(text), text);
	note(conn, "end");
	g_free(body);
	return 200;
}

static void usage(void) __attribute__((noreturn));

static int get(const char *url)
{
	GString *errors = g_string_new(NULL);
	char *text = tcl_fetch(url, errors);
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

static int serve(const char *kind, const char *addr, uint32_t max)
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
	model = model_create(max, true);
	model->incarnation = (uint64_t)now_ms();
	mg_set_request_handler(ctx, "/v1/load$", on_load, NULL);
	if (strcmp(kind, "table") == 0) {
		(void)tsv_create(ctx);
	} else if (strcmp(kind, "engine") == 0) {
		mg_set_request_handler(ctx, "/v1/chat/completions$", on_chat,
				       NULL);
		mg_set_request_handler(ctx, "/v1/programs/*", on_release, NULL);
	} else {
		mg_set_request_handler(ctx, "/", on_any, NULL);
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
	uint32_t max = 8;
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
		return get(argv[2]);
	if (argc > 3)
		name = argv[3];
	if (argc > 4)
		max = (uint32_t)strtoul(argv[4], NULL, 10);
	return serve(argv[1], argv[2], max);
}
