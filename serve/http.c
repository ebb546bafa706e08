/** @file http.c @brief HTTP server for callers and operators. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#define _LGPL_SOURCE
#include <urcu.h>

#include "http.h"
#include "http_parse.h"
#include "log.h"

enum {
	HTTP_CALL_NAME_MAX_BYTES = 96,
	HTTP_KEEP_ALIVE_MS = 5000,
	MS_PER_S = 1000,
	HTTP_WAIT_MS = 200, /* longest wait before the connection is checked */
	US_PER_MS = 1000,
};

struct http {
	struct mg_context *ctx;
	struct loop *loop;   /* NULL before http_serve() */
	struct rules *rules; /* read under RCU */
	uint32_t max_body;
	char *id;
	uint64_t started_us; /* makes generated call names unique */
	gint serial;
};

/* A call and the connection that its response is written to. */
struct exchange {
	struct http *http;
	struct mg_connection *conn;
	struct http_parse_result *call;
	bool head_sent;
	bool disconnected;
	GString *content; /* response content of a call that is not streamed */
};

static char *json_string(const char *text, size_t len)
{
	json_object *obj = json_object_new_string_len(text, (int)len);
	char *out = g_strdup(json_object_to_json_string_ext(
		obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

	json_object_put(obj);
	return out;
}

static const char *executed_name(Aps__Executed executed)
{
	switch (executed) {
	case APS__EXECUTED__NO:
		return "no";
	case APS__EXECUTED__YES:
		return "yes";
	default:
		return "unknown";
	}
}

/* Returns the problem details of a failed call (RFC 9457). */
static char *problem_json(const Aps__Outcome *outcome)
{
	char *reason = json_string(outcome->reason, strlen(outcome->reason));
	char *text = g_strdup_printf(
		"{\"type\":\"about:blank\",\"status\":%u,\"title\":%s,"
		"\"executed\":\"%s\",\"step\":\"%s\",\"peer\":\"%s\","
		"\"rule\":\"%s\",\"recorded\":%s}",
		outcome->status, reason, executed_name(outcome->executed),
		outcome->step, outcome->peer != NULL ? outcome->peer : "",
		outcome->rule, outcome->recorded ? "true" : "false");

	g_free(reason);
	return text;
}

static const char *connection_option(const struct http *http)
{
	if (http->loop != NULL && loop_draining(http->loop))
		return "close";
	return "keep-alive";
}

static void send_text(struct http *http, struct mg_connection *conn, int status,
		      const char *type, const char *extra, const char *text)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: %s\r\n%s"
		  "Content-Length: %zu\r\n\r\n%s",
		  status, mg_get_response_code_text(conn, status), type,
		  connection_option(http), extra, strlen(text), text);
}

static void send_problem(struct http *http, struct mg_connection *conn,
			 const Aps__Outcome *outcome)
{
	char *text = problem_json(outcome);
	char extra[64] = "";

	if (outcome->retry_after_ms > 0)
		snprintf(extra, sizeof(extra), "Retry-After: %u\r\n",
			 (outcome->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	send_text(http, conn, (int)outcome->status, "application/problem+json",
		  extra, text);
	g_free(text);
}

static void refuse(struct http *http, struct mg_connection *conn,
		   uint32_t status, const char *reason)
{
	Aps__Outcome outcome = APS__OUTCOME__INIT;

	outcome.status = status;
	outcome.step = (char *)"entry";
	outcome.peer = http->id;
	outcome.reason = (char *)reason;
	send_problem(http, conn, &outcome);
}

static void send_chunk(struct exchange *x, const char *text)
{
	if (!x->disconnected &&
	    mg_send_chunk(x->conn, text, (unsigned)strlen(text)) < 0)
		x->disconnected = true;
}

static void send_stream_head(struct exchange *x)
{
	if (x->head_sent)
		return;
	x->head_sent = true;
	mg_printf(x->conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		  "Cache-Control: no-store\r\nConnection: %s\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  connection_option(x->http));
}

static void send_content(struct exchange *x, const char *buf, size_t len)
{
	char *text;
	char *event;

	if (!x->call->stream) {
		g_string_append_len(x->content, buf, (gssize)len);
		return;
	}
	send_stream_head(x);
	text = json_string(buf, len);
	event = g_strdup_printf(
		"data: {\"object\":\"chat.completion.chunk\",\"choices\":"
		"[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n",
		text);
	send_chunk(x, event);
	g_free(event);
	g_free(text);
}

static void send_stream_end(struct exchange *x, const Aps__Outcome *outcome)
{
	char *text;

	if (outcome->status != 200) {
		char *details = problem_json(outcome);

		text = g_strdup_printf("event: error\ndata: %s\n\n", details);
		g_free(details);
		send_chunk(x, text);
		g_free(text);
	} else {
		text = g_strdup_printf(
			"data: {\"object\":\"chat.completion.chunk\","
			"\"choices\":[{\"index\":0,\"delta\":{},"
			"\"finish_reason\":\"stop\"}],\"usage\":"
			"{\"prompt_tokens\":%u,\"completion_tokens\":%u},"
			"\"server\":\"%s\",\"rule\":\"%s\"}\n\n",
			outcome->prompt_tokens, outcome->out_tokens,
			outcome->server, outcome->rule);
		send_chunk(x, text);
		g_free(text);
		send_chunk(x, "data: [DONE]\n\n");
	}
	mg_send_chunk(x->conn, "", 0);
}

static void send_json(struct exchange *x, const Aps__Outcome *outcome)
{
	char *text;
	char *body;

	if (x->call->request.kind != APS__CALL_KIND__MODEL) {
		send_text(x->http, x->conn, 200, "application/json", "",
			  x->content->str);
		return;
	}
	text = json_string(x->content->str, x->content->len);
	body = g_strdup_printf(
		"{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
		"\"message\":{\"role\":\"assistant\",\"content\":%s},"
		"\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%u,"
		"\"completion_tokens\":%u},\"server\":\"%s\",\"rule\":\"%s\"}",
		text, outcome->prompt_tokens, outcome->out_tokens,
		outcome->server, outcome->rule);
	send_text(x->http, x->conn, 200, "application/json", "", body);
	g_free(body);
	g_free(text);
}

/* Sends the rest of the response, which the outcome holds, and ends it. */
static void send_outcome(struct exchange *x, const struct loop_call *call)
{
	const Aps__Outcome *outcome = call->outcome;
	size_t streamed = call->streamed;

	if (outcome->status == 200 && outcome->answer.len > streamed)
		send_content(x, (const char *)outcome->answer.data + streamed,
			     outcome->answer.len - streamed);
	if (x->head_sent)
		send_stream_end(x, outcome);
	else if (outcome->status != 200)
		send_problem(x->http, x->conn, outcome);
	else if (x->call->stream) {
		send_stream_head(x);
		send_stream_end(x, outcome);
	} else
		send_json(x, outcome);
}

/*
 * Sends content as it arrives, until the call is done.
 *
 * @return false if the caller has disconnected
 */
static bool forward_content(struct exchange *x, struct loop_call *call)
{
	for (;;) {
		GByteArray *text = NULL;
		bool done;

		g_mutex_lock(&call->lock);
		if (call->text->len == 0 && !call->done)
			g_cond_wait_until(&call->cond, &call->lock,
					  g_get_monotonic_time() +
						  HTTP_WAIT_MS * US_PER_MS);
		if (call->text->len > 0) {
			text = call->text;
			call->text = g_byte_array_new();
		}
		done = call->done;
		g_mutex_unlock(&call->lock);
		if (text != NULL) {
			send_content(x, (const char *)text->data, text->len);
			g_byte_array_unref(text);
		} else if (done) {
			return true;
		}
		if (x->disconnected)
			return false;
	}
}

static void serve_call(struct http *http, struct mg_connection *conn,
		       struct http_parse_result *parsed)
{
	struct exchange x = {.http = http, .conn = conn, .call = parsed};
	struct loop_call call;

	loop_call_init(&call);
	call.request = &parsed->request;
	call.deadline_ms = parsed->deadline_ms;
	x.content = g_string_new(NULL);
	loop_submit(http->loop, &call);
	if (forward_content(&x, &call))
		send_outcome(&x, &call);
	else
		loop_cancel(http->loop, &call);
	loop_call_clear(&call);
	g_string_free(x.content, TRUE);
}

static char *read_body(struct http *http, struct mg_connection *conn,
		       size_t *len)
{
	long long length = mg_get_request_info(conn)->content_length;
	char *body;
	int got;

	if (length > http->max_body) {
		refuse(http, conn, 413, "body is too long");
		return NULL;
	}
	if (length < 0)
		length = 0;
	body = g_malloc0((gsize)length + 1);
	got = length > 0 ? mg_read(conn, body, (size_t)length) : 0;
	if (got != length) {
		g_free(body);
		refuse(http, conn, 400, "body is incomplete");
		return NULL;
	}
	*len = (size_t)got;
	return body;
}

static void parse_and_serve(struct http *http, struct mg_connection *conn,
			    struct http_parse_input *input)
{
	char call_name[HTTP_CALL_NAME_MAX_BYTES];
	struct http_parse_result *call = NULL;
	const struct rules *rules;
	uint32_t status = 503;
	const char *reason = "no rules yet";

	input->authorization = mg_get_header(conn, "Authorization");
	input->turn = mg_get_header(conn, "X-Turn");
	input->budget = mg_get_header(conn, "X-Budget");
	input->parent = mg_get_header(conn, "X-Parent");
	input->timeout_ms = mg_get_header(conn, "X-Timeout-Ms");
	input->idempotency_key = mg_get_header(conn, "Idempotency-Key");
	if (input->program == NULL)
		input->program = mg_get_header(conn, "X-Program");
	snprintf(call_name, sizeof(call_name), "%.40s-%" PRIx64 "-%x", http->id,
		 http->started_us,
		 (unsigned)g_atomic_int_add(&http->serial, 1));
	rcu_read_lock();
	rules = rcu_dereference(http->rules);
	if (rules != NULL)
		call = http_parse_request(input, rules, call_name, &status,
					  &reason);
	rcu_read_unlock();
	if (call == NULL)
		refuse(http, conn, status, reason);
	else
		serve_call(http, conn, call);
	http_parse_free(call);
}

static int on_call(struct http *http, struct mg_connection *conn,
		   struct http_parse_input *input)
{
	size_t len = 0;
	char *body;

	if (http->loop == NULL) {
		refuse(http, conn, 503, "instance is not serving");
		return 503;
	}
	body = read_body(http, conn, &len);
	if (body == NULL)
		return 400;
	input->body = body;
	input->body_len = len;
	parse_and_serve(http, conn, input);
	g_free(body);
	return 200;
}

static bool is_method(struct mg_connection *conn, const char *method)
{
	return strcmp(mg_get_request_info(conn)->request_method, method) == 0;
}

static int on_chat(struct mg_connection *conn, void *arg)
{
	struct http_parse_input input = {0};

	if (!is_method(conn, "POST")) {
		refuse(arg, conn, 405, "use POST");
		return 405;
	}
	return on_call(arg, conn, &input);
}

static int on_service(struct mg_connection *conn, void *arg)
{
	struct http_parse_input input = {0};

	if (!is_method(conn, "POST")) {
		refuse(arg, conn, 405, "use POST");
		return 405;
	}
	input.service =
		mg_get_request_info(conn)->local_uri + strlen("/v1/services/");
	return on_call(arg, conn, &input);
}

static int on_program(struct mg_connection *conn, void *arg)
{
	struct http_parse_input input = {0};

	if (!is_method(conn, "DELETE")) {
		refuse(arg, conn, 405, "use DELETE");
		return 405;
	}
	input.end = true;
	input.program =
		mg_get_request_info(conn)->local_uri + strlen("/v1/programs/");
	return on_call(arg, conn, &input);
}

static int on_health(struct mg_connection *conn, void *arg)
{
	send_text(arg, conn, 200, "text/plain", "", "ok\n");
	return 200;
}

static int on_ready(struct mg_connection *conn, void *arg)
{
	struct http *http = arg;
	bool ready = http->loop != NULL && loop_ready(http->loop);

	send_text(http, conn, ready ? 200 : 503, "text/plain", "",
		  ready ? "ready\n" : "not ready\n");
	return ready ? 200 : 503;
}

static int reply_from_loop(struct mg_connection *conn, struct http *http,
			   char *(*get)(struct loop *), const char *type)
{
	char *text = http->loop != NULL ? get(http->loop) : g_strdup("");

	send_text(http, conn, 200, type, "", text);
	g_free(text);
	return 200;
}

static int on_metrics(struct mg_connection *conn, void *arg)
{
	return reply_from_loop(conn, arg, loop_metrics,
			       "text/plain; version=0.0.4");
}

static int on_status(struct mg_connection *conn, void *arg)
{
	return reply_from_loop(conn, arg, loop_status, "application/json");
}

/* Worker threads read the rules under RCU. */
static void *on_thread_start(const struct mg_context *ctx, int type)
{
	(void)ctx;
	(void)type;
	rcu_register_thread();
	return NULL;
}

static void on_thread_end(const struct mg_context *ctx, int type, void *arg)
{
	(void)ctx;
	(void)type;
	(void)arg;
	rcu_unregister_thread();
}

static int on_server_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	log_line(LOG_LEVEL_WARNING, "http: %s", message);
	return 1;
}

static void add_handlers(struct http *http)
{
	struct mg_context *ctx = http->ctx;

	mg_set_request_handler(ctx, "/v1/chat/completions$", on_chat, http);
	mg_set_request_handler(ctx, "/v1/services/*", on_service, http);
	mg_set_request_handler(ctx, "/v1/programs/*", on_program, http);
	mg_set_request_handler(ctx, "/healthz$", on_health, http);
	mg_set_request_handler(ctx, "/readyz$", on_ready, http);
	mg_set_request_handler(ctx, "/metrics$", on_metrics, http);
	mg_set_request_handler(ctx, "/status$", on_status, http);
}

struct http *http_create(const struct settings *settings, GString *errors)
{
	struct http *http = g_new0(struct http, 1);
	struct mg_callbacks callbacks = {.init_thread = on_thread_start,
					 .exit_thread = on_thread_end,
					 .log_message = on_server_log};
	char threads[16];
	char keep_alive[16];
	const char *options[] = {"listening_ports",
				 settings->http,
				 "num_threads",
				 threads,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 keep_alive,
				 "tcp_nodelay",
				 "1",
				 NULL};

	snprintf(threads, sizeof(threads), "%u", settings->threads);
	snprintf(keep_alive, sizeof(keep_alive), "%d", HTTP_KEEP_ALIVE_MS);
	http->max_body = settings->max_body;
	http->id = g_strdup(settings->id);
	http->started_us = (uint64_t)g_get_real_time();
	http->ctx = mg_start(&callbacks, http, options);
	if (http->ctx == NULL) {
		g_string_append_printf(errors, "http %s: cannot listen\n",
				       settings->http);
		http_destroy(http);
		return NULL;
	}
	add_handlers(http);
	return http;
}

struct mg_context *http_context(struct http *http)
{
	return http->ctx;
}

void http_serve(struct http *http, struct loop *loop)
{
	http->loop = loop;
}

void http_set_rules(void *arg, const struct rules *rules)
{
	struct http *http = arg;
	GString *errors = g_string_new(NULL);
	struct rules *copy =
		rules_parse(rules->text, rules->revision, "rules", errors);
	struct rules *old = http->rules;

	g_string_free(errors, TRUE);
	rcu_assign_pointer(http->rules, copy);
	synchronize_rcu();
	rules_destroy(old);
}

void http_stop(struct http *http)
{
	if (http->ctx != NULL)
		mg_stop(http->ctx);
	http->ctx = NULL;
}

void http_destroy(struct http *http)
{
	if (http == NULL)
		return;
	http_stop(http);
	rules_destroy(http->rules);
	g_free(http->id);
	g_free(http);
}
