/** @file backend.c @brief Stand-in for a backend server. */
#include <stdio.h>
#include <string.h>

#include "backend.h"
#include "serve/hdr.h"
#include "serve/inbound.h"

struct backend {
	struct event_base *base;
	struct in *in;
	char *id;
	guint events;
	int gap_ms;
	enum backend_mode mode;
	GPtrArray *runs;
	guint cancelled;
};

/* A stream under way. */
struct stream {
	struct backend *backend;
	struct in_request *request;
	struct event *timer;
	int64_t next; /* number of the next event; the first has 1 */
	bool begun;
};

static void run_free(gpointer p)
{
	struct backend_run *run = p;

	g_free(run->id);
	g_free(run->account);
	g_free(run->head);
	g_free(run->body);
	g_free(run);
}

static const char *header(const struct in_request *request, const char *name)
{
	const char *value = hdr_get(request->headers, name);

	return value ? value : "";
}

static struct backend_run *note_run(struct backend *backend,
				    const struct in_request *request)
{
	struct backend_run *run = g_new0(struct backend_run, 1);
	const char *last = hdr_get(request->headers, "Last-Event-Id");
	GString *head = g_string_new(NULL);

	for (guint i = 0; i < request->headers->len; i++) {
		const struct hdr_field *field = hdr_at(request->headers, i);

		g_string_append_printf(head, "%s: %s\n", field->name->str,
				       field->value ? field->value->str : "");
	}
	run->id = g_strdup(header(request, "Request-Id"));
	run->account = g_strdup(header(request, "Tenant"));
	run->head = g_string_free(head, FALSE);
	run->body = g_strndup((const char *)request->body->data,
			      request->body->len);
	run->last_event = last ? g_ascii_strtoll(last, NULL, 10) : -1;
	g_ptr_array_add(backend->runs, run);
	return run;
}

static GString *answer_headers(const struct backend *backend,
			       const struct in_request *request)
{
	GString *headers = g_string_new(NULL);

	g_string_printf(headers, "Request-Id: %s\r\nServer-Load: 1,0,8\r\n",
			header(request, "Request-Id"));
	if (backend->mode != BACKEND_UNSIGNED)
		g_string_append_printf(
			headers, "Response-Signature: sig-%s\r\n", backend->id);
	if (backend->mode == BACKEND_ENCODED)
		g_string_append(headers, "Content-Encoding: gzip\r\n");
	return headers;
}

static void stream_free(struct stream *stream)
{
	stream->request->user = NULL;
	event_free(stream->timer);
	g_free(stream);
}

static void on_event(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct backend *backend = stream->backend;
	struct in_request *request = stream->request;
	struct timeval tv = {.tv_usec = backend->gap_ms * 1000};
	char event[64];
	int len;

	(void)fd;
	(void)what;
	if (!stream->begun) {
		GString *headers = answer_headers(backend, request);

		g_string_append(headers, "Content-Type: text/event-stream\r\n");
		in_begin(request, 200, headers->str);
		g_string_free(headers, TRUE);
		stream->begun = true;
	}
	if (stream->next > backend->events) {
		stream_free(stream);
		in_finish(request);
		return;
	}
	len = g_snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n",
			 (int)stream->next, backend->id, (int)stream->next);
	if (backend->mode == BACKEND_TRUNCATE && stream->next == 2) {
		in_chunk(request, event, (size_t)len / 2);
		stream_free(stream);
		in_abort(request);
		return;
	}
	in_chunk(request, event, (size_t)len);
	stream->next++;
	event_add(stream->timer, &tv);
}

static void start_stream(struct backend *backend, struct in_request *request,
			 int64_t last)
{
	struct stream *stream = g_new0(struct stream, 1);
	struct timeval tv = {.tv_usec = backend->gap_ms * 1000};

	stream->backend = backend;
	stream->request = request;
	stream->next = last < 0 ? 1 : last + 1;
	stream->timer = evtimer_new(backend->base, on_event, stream);
	request->user = stream;
	event_add(stream->timer, &tv);
}

/* A whole answer, and bytes that belong to no request. */
static void reply_with_more(struct in_request *request, const char *headers,
			    const char *body)
{
	char *bytes = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s"
		"HTTP/1.1 200 OK\r\nRequest-Id: x\r\n"
		"Content-Length: 0\r\n\r\n",
		headers, strlen(body), body);

	in_raw(request, bytes);
	g_free(bytes);
}

static void reply_plain(struct backend *backend, struct in_request *request)
{
	GString *headers = answer_headers(backend, request);
	int status = backend->mode == BACKEND_ERROR ? 500 : 200;
	char *body = g_strdup_printf("answer of %s", backend->id);

	if (backend->mode == BACKEND_WRONG_ID)
		in_raw(request, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
				"Response-Signature: sig\r\n"
				"Content-Length: 5\r\n\r\nwrong");
	if (backend->mode == BACKEND_TRAILING_BYTES)
		reply_with_more(request, headers->str, body);
	else
		in_reply(request, status, headers->str, body, strlen(body));
	g_free(body);
	g_string_free(headers, TRUE);
}

static void on_request(void *arg, struct in_request *request)
{
	struct backend *backend = arg;
	struct backend_run *run;
	GString *headers;

	if (backend->mode == BACKEND_REFUSE ||
	    backend->mode == BACKEND_MISDIRECTED) {
		headers = answer_headers(backend, request);
		g_string_append(headers, "Not-Executed: 1\r\n");
		in_reply(request,
			 backend->mode == BACKEND_MISDIRECTED ? 421 : 503,
			 headers->str, NULL, 0);
		g_string_free(headers, TRUE);
		return;
	}
	run = note_run(backend, request);
	if (backend->mode == BACKEND_NO_RESPONSE)
		return;
	if (backend->mode == BACKEND_CLOSE) {
		in_abort(request);
		return;
	}
	if (backend->mode == BACKEND_MALFORMED) {
		in_raw(request, "!!! no answer\r\n\r\n");
		return;
	}
	if (strstr(request->target, "/turn") != NULL) {
		start_stream(backend, request, run->last_event);
		return;
	}
	reply_plain(backend, request);
}

static void on_gone(void *arg, struct in_request *request)
{
	struct backend *backend = arg;

	if (request->user == NULL)
		return;
	backend->cancelled++;
	stream_free(request->user);
}

struct backend *backend_create(struct event_base *base, const char *address,
			       const char *id, guint events, int gap_ms)
{
	static const struct in_handler handler = {on_request, on_gone};
	struct backend *backend = g_new0(struct backend, 1);

	backend->base = base;
	backend->id = g_strdup(id);
	backend->events = events;
	backend->gap_ms = gap_ms;
	backend->runs = g_ptr_array_new_with_free_func(run_free);
	backend->in = in_create(base, address, &handler, backend);
	return backend;
}

void backend_destroy(struct backend *backend)
{
	if (backend == NULL)
		return;
	in_destroy(backend->in);
	g_ptr_array_free(backend->runs, TRUE);
	g_free(backend->id);
	g_free(backend);
}

void backend_set_mode(struct backend *backend, enum backend_mode mode)
{
	backend->mode = mode;
}

const GPtrArray *backend_runs(const struct backend *backend)
{
	return backend->runs;
}

guint backend_cancelled(const struct backend *backend)
{
	return backend->cancelled;
}
