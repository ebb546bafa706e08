/** @file backend.c @brief Stand-in for a backend server. */
#include <stdio.h>
#include <string.h>

#include "backend.h"
#include "serve/hdr.h"
#include "serve/inbound.h"

struct sbe {
	struct event_base *base;
	struct inbound *inbound;
	char *id;
	guint events;
	int gap_ms;
	enum sbe_mode mode;
	GPtrArray *runs;
	guint cancelled;
};

/* A stream under way. */
struct stream {
	struct sbe *sbe;
	struct inbound_request *request;
	struct event *timer;
	int64_t next; /* number of the next event; the first has 1 */
	bool begun;
};

static void run_free(gpointer p)
{
	struct sbe_run *run = p;

	g_free(run->id);
	g_free(run->account);
	g_free(run->head);
	g_free(run->body);
	g_free(run);
}

static const char *header(const struct inbound_request *request,
			  const char *name)
{
	const char *value = hdr_get(request->headers, name);

	return value ? value : "";
}

static struct sbe_run *note_run(struct sbe *sbe,
				const struct inbound_request *request)
{
	struct sbe_run *run = g_new0(struct sbe_run, 1);
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
	run->last_event_id = last ? g_ascii_strtoll(last, NULL, 10) : -1;
	g_ptr_array_add(sbe->runs, run);
	return run;
}

static GString *answer_headers(const struct sbe *sbe,
			       const struct inbound_request *request)
{
	GString *headers = g_string_new(NULL);

	g_string_printf(headers, "Request-Id: %s\r\nServer-Load: 1,0,8\r\n",
			header(request, "Request-Id"));
	if (sbe->mode != SBE_UNSIGNED)
		g_string_append_printf(
			headers, "Response-Signature: sig-%s\r\n", sbe->id);
	if (sbe->mode == SBE_ENCODED)
		g_string_append(headers, "Content-Encoding: gzip\r\n");
	return headers;
}

static void stream_free(struct stream *stream)
{
	stream->request->user_data = NULL;
	event_free(stream->timer);
	g_free(stream);
}

static void on_event(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct sbe *sbe = stream->sbe;
	struct inbound_request *request = stream->request;
	struct timeval tv = {.tv_usec = sbe->gap_ms * 1000};
	char event[64];
	int len;

	(void)fd;
	(void)what;
	if (!stream->begun) {
		GString *headers = answer_headers(sbe, request);

		g_string_append(headers, "Content-Type: text/event-stream\r\n");
		inbound_begin_reply(request, 200, headers->str);
		g_string_free(headers, TRUE);
		stream->begun = true;
	}
	if (stream->next > sbe->events) {
		stream_free(stream);
		inbound_end_reply(request);
		return;
	}
	len = g_snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n",
			 (int)stream->next, sbe->id, (int)stream->next);
	if (sbe->mode == SBE_CUTS && stream->next == 2) {
		inbound_send_chunk(request, event, (size_t)len / 2);
		stream_free(stream);
		inbound_abort(request);
		return;
	}
	inbound_send_chunk(request, event, (size_t)len);
	stream->next++;
	event_add(stream->timer, &tv);
}

static void start_stream(struct sbe *sbe, struct inbound_request *request,
			 int64_t last)
{
	struct stream *stream = g_new0(struct stream, 1);
	struct timeval tv = {.tv_usec = sbe->gap_ms * 1000};

	stream->sbe = sbe;
	stream->request = request;
	stream->next = last < 0 ? 1 : last + 1;
	stream->timer = evtimer_new(sbe->base, on_event, stream);
	request->user_data = stream;
	event_add(stream->timer, &tv);
}

/* A whole answer, and bytes that belong to no request. */
static void reply_with_more(struct inbound_request *request,
			    const char *headers, const char *body)
{
	char *bytes = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s"
		"HTTP/1.1 200 OK\r\nRequest-Id: x\r\n"
		"Content-Length: 0\r\n\r\n",
		headers, strlen(body), body);

	inbound_write_raw(request, bytes);
	g_free(bytes);
}

static void reply_plain(struct sbe *sbe, struct inbound_request *request)
{
	GString *headers = answer_headers(sbe, request);
	int status = sbe->mode == SBE_FAILS ? 500 : 200;
	char *body = g_strdup_printf("answer of %s", sbe->id);

	if (sbe->mode == SBE_FOREIGN)
		inbound_write_raw(request,
				  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
				  "Response-Signature: sig\r\n"
				  "Content-Length: 5\r\n\r\nwrong");
	if (sbe->mode == SBE_EXTRA)
		reply_with_more(request, headers->str, body);
	else
		inbound_reply(request, status, headers->str, body,
			      strlen(body));
	g_free(body);
	g_string_free(headers, TRUE);
}

static void on_request(void *arg, struct inbound_request *request)
{
	struct sbe *sbe = arg;
	struct sbe_run *run;
	GString *headers;

	if (sbe->mode == SBE_REFUSES || sbe->mode == SBE_OTHER) {
		headers = answer_headers(sbe, request);
		g_string_append(headers, "Not-Executed: 1\r\n");
		inbound_reply(request, sbe->mode == SBE_OTHER ? 421 : 503,
			      headers->str, NULL, 0);
		g_string_free(headers, TRUE);
		return;
	}
	run = note_run(sbe, request);
	if (sbe->mode == SBE_SILENT)
		return;
	if (sbe->mode == SBE_RESETS) {
		inbound_abort(request);
		return;
	}
	if (sbe->mode == SBE_GARBLES) {
		inbound_write_raw(request, "!!! no answer\r\n\r\n");
		return;
	}
	if (strstr(request->target, "/turn") != NULL) {
		start_stream(sbe, request, run->last_event_id);
		return;
	}
	reply_plain(sbe, request);
}

static void on_gone(void *arg, struct inbound_request *request)
{
	struct sbe *sbe = arg;

	if (request->user_data == NULL)
		return;
	sbe->cancelled++;
	stream_free(request->user_data);
}

struct sbe *sbe_create(struct event_base *base, const char *address,
		       const char *id, guint events, int gap_ms)
{
	static const struct inbound_handler handler = {on_request, on_gone};
	struct sbe *sbe = g_new0(struct sbe, 1);

	sbe->base = base;
	sbe->id = g_strdup(id);
	sbe->events = events;
	sbe->gap_ms = gap_ms;
	sbe->runs = g_ptr_array_new_with_free_func(run_free);
	sbe->inbound = inbound_create(base, address, &handler, sbe);
	return sbe;
}

void sbe_destroy(struct sbe *sbe)
{
	if (sbe == NULL)
		return;
	inbound_destroy(sbe->inbound);
	g_ptr_array_free(sbe->runs, TRUE);
	g_free(sbe->id);
	g_free(sbe);
}

void sbe_set_mode(struct sbe *sbe, enum sbe_mode mode)
{
	sbe->mode = mode;
}

const GPtrArray *sbe_runs(const struct sbe *sbe)
{
	return sbe->runs;
}

guint sbe_cancelled(const struct sbe *sbe)
{
	return sbe->cancelled;
}
