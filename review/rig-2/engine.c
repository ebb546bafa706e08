/** @file engine.c @brief Stand-in for a sound model server. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/inbound.h"

enum {
	BODY_MAX_BYTES = 256 << 20,
	HEADER_MAX_BYTES = 65536,
	IDLE_MS = 60000,
	SLOTS = 48,		 /* requests that run at once */
	QUEUE = 144,		 /* requests that wait beside them */
	BODY_KEPT_BYTES = 65536, /* in the list of runs */
};

struct engine {
	struct event_base *base;
	struct inbound *inbound;
	char *id;
	struct engine_work work;
	GPtrArray *runs;
	guint running;
	GQueue waiting; /* of struct stream */
};

struct stream {
	struct engine *engine;
	struct inbound_request *request;
	struct event *timer;
	struct engine_work work;
	int next;   /* event; 0: the request waits */
	bool began; /* the head has been sent */
};

static void run_free(gpointer p)
{
	struct engine_run *run = p;

	g_free(run->id);
	g_free(run->account);
	g_free(run->body);
	g_free(run);
}

static void start_next(struct engine *engine);

static void stream_free(struct stream *stream)
{
	struct engine *engine = stream->engine;

	if (stream->next == 0)
		g_queue_remove(&engine->waiting, stream);
	else
		engine->running--;
	stream->request->user_data = NULL;
	event_free(stream->timer);
	g_free(stream);
	start_next(engine);
}

static void schedule(struct stream *stream, int ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(stream->timer, &tv);
}

static void send_head(struct stream *stream)
{
	const char *id = hdr_get(stream->request->headers, "Request-Id");
	char *headers = g_strdup_printf(
		"Request-Id: %s\r\nResponse-Signature: sig-%s-%s\r\n"
		"Content-Type: text/event-stream\r\nServer-Load: %u,%u,%d\r\n",
		id ? id : "", stream->engine->id, id ? id : "",
		stream->engine->running, stream->engine->waiting.length, SLOTS);

	inbound_begin_reply(stream->request, 200, headers);
	g_free(headers);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct inbound_request *request = stream->request;
	GString *event;

	(void)fd;
	(void)what;
	if (!stream->began)
		send_head(stream);
	stream->began = true;
	event = g_string_new(NULL);
	g_string_printf(event, "id: %d\ndata: " ENGINE_DATA, stream->next,
			stream->next);
	for (gsize i = 0; i < stream->work.padding; i++)
		g_string_append_c(event, 'x');
	g_string_append(event, "\n\n");
	inbound_send_chunk(request, event->str, event->len);
	g_string_free(event, TRUE);
	if (stream->next++ < stream->work.events) {
		schedule(stream, stream->work.gap_ms);
		return;
	}
	stream_free(stream);
	inbound_end_reply(request);
}

static void refuse(const struct engine *engine, struct inbound_request *request,
		   int status)
{
	const char *id = hdr_get(request->headers, "Request-Id");
	char *headers = g_strdup_printf(
		"Request-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\n",
		id ? id : "", engine->id);

	inbound_reply(request, status, headers, NULL, 0);
	g_free(headers);
}

static void record(struct engine *engine, const struct inbound_request *request)
{
	struct engine_run *run = g_new0(struct engine_run, 1);

	run->id = g_strdup(hdr_get(request->headers, "Request-Id"));
	run->account = g_strdup(hdr_get(request->headers, "Tenant"));
	run->at_ms = clock_boot_ms();
	if (request->body->len <= BODY_KEPT_BYTES)
		run->body = g_strndup((const char *)request->body->data,
				      request->body->len);
	g_ptr_array_add(engine->runs, run);
}

static int last_event_id(const struct inbound_request *request)
{
	const char *id = hdr_get(request->headers, "Last-Event-Id");

	return id != NULL ? atoi(id) : 0;
}

static void start_next(struct engine *engine)
{
	struct stream *stream;

	if (engine->running >= SLOTS)
		return;
	stream = g_queue_pop_head(&engine->waiting);
	if (stream == NULL)
		return;
	engine->running++;
	record(engine, stream->request);
	stream->work = engine->work;
	stream->next = last_event_id(stream->request) + 1;
	schedule(stream, engine->work.first_ms);
}

static void on_request(void *arg, struct inbound_request *request)
{
	struct engine *engine = arg;
	const char *target = hdr_get(request->headers, "Target-Instance");
	struct stream *stream;

	if (target != NULL && strcmp(target, engine->id) != 0) {
		refuse(engine, request, 421);
		return;
	}
	if (engine->running >= SLOTS && engine->waiting.length >= QUEUE) {
		refuse(engine, request, 503);
		return;
	}
	stream = g_new0(struct stream, 1);
	stream->engine = engine;
	stream->request = request;
	stream->timer = evtimer_new(engine->base, on_timer, stream);
	request->user_data = stream;
	g_queue_push_tail(&engine->waiting, stream);
	start_next(engine);
}

static void on_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	if (request->user_data != NULL)
		stream_free(request->user_data);
}

struct engine *engine_create(struct event_base *base, const char *address,
			     const char *id)
{
	static const struct inbound_handler handler = {
		.on_request = on_request, .on_disconnect = on_disconnect};
	static const struct inbound_limits limits = {
		.max_header_bytes = HEADER_MAX_BYTES,
		.max_body_bytes = BODY_MAX_BYTES,
		.header_timeout_ms = IDLE_MS,
		.idle_timeout_ms = IDLE_MS,
	};
	struct engine *engine = g_new0(struct engine, 1);

	engine->base = base;
	engine->id = g_strdup(id);
	g_queue_init(&engine->waiting);
	engine->work = (struct engine_work){3, 20, 20, 0};
	engine->runs = g_ptr_array_new_with_free_func(run_free);
	engine->inbound = inbound_create(base, address, &handler, engine);
	if (engine->inbound == NULL) {
		engine_destroy(engine);
		return NULL;
	}
	inbound_set_limits(engine->inbound, &limits);
	return engine;
}

void engine_destroy(struct engine *engine)
{
	if (engine == NULL)
		return;
	inbound_destroy(engine->inbound);
	g_ptr_array_free(engine->runs, TRUE);
	g_free(engine->id);
	g_free(engine);
}

void engine_set_work(struct engine *engine, const struct engine_work *work)
{
	engine->work = *work;
}

const GPtrArray *engine_runs(const struct engine *engine)
{
	return engine->runs;
}
