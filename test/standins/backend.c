/** @file backend.c @brief Stand-in for a backend server. */
#include <stdio.h>
#include <string.h>

#include "backend.h"
#include "serve/hdr.h"
#include "serve/inbound.h"

enum {
	ENDLESS_GAP_MS = 1,
	ENDLESS_LINES = 2000, /* of about 24 bytes each */
	STALLED_GAP_MS = 50,
	UNFRAMED_PARTS = 4, /* of a response that is no stream */
	UNFRAMED_GAP_MS = 5,
};

struct backend {
	struct event_base *base;
	struct inbound *inbound;
	char *id;
	guint n_events;
	int event_gap_ms;
	const char
		*long_path; /* prefix of the paths of long streams, or NULL */
	guint n_long_events;
	int long_gap_ms;
	enum backend_mode mode;
	const char *limit_per_s; /* named in each response, or NULL */
	const char *load;	 /* Server-Load; NULL: light load */
	const char *fields;	 /* added to each response, or NULL */
	guint received;
	bool crashes; /* at requests with the body crash_body */
	const char *crash_body;
	bool checks_target;
	enum backend_crash crash;
	bool has_crashed;
	bool numbers_runs;	 /* in the data of events */
	GHashTable *late_copies; /* of responses, by connection */
	GPtrArray *runs;
	guint cancelled;
};

/* A stream that is being sent. */
struct stream {
	struct backend *backend;
	struct inbound_request *request;
	struct event *timer;
	int64_t next_id; /* ID of the next event; the first is 1 */
	guint n_events;
	int event_gap_ms;
	enum backend_mode mode; /* when it was begun */
	guint run;
	bool headers_sent;
	bool stalled; /* a line has been begun */
	bool crashes; /* the server, after the first event */
};

static void free_run(gpointer p)
{
	struct backend_run *run = p;

	g_free(run->id);
	g_free(run->account);
	g_free(run->headers);
	g_free(run->body);
	g_free(run);
}

static const char *header_or_empty(const struct inbound_request *request,
				   const char *name)
{
	const char *value = hdr_get(request->headers, name);

	return value ? value : "";
}

static struct backend_run *record_run(struct backend *backend,
				      const struct inbound_request *request)
{
	struct backend_run *run = g_new0(struct backend_run, 1);
	const char *last = hdr_get(request->headers, "Last-Event-Id");
	GString *lines = g_string_new(NULL);
	struct hdr_field field = {NULL, NULL};

	while (hdr_next(request->headers, &field))
		g_string_append_printf(lines, "%s: %s\n", field.name,
				       field.value);
	run->server = backend->id;
	run->id = g_strdup(header_or_empty(request, "Request-Id"));
	run->account = g_strdup(header_or_empty(request, "Tenant"));
	run->headers = g_string_free(lines, FALSE);
	run->body = g_strndup((const char *)request->body->data,
			      request->body->len);
	run->received_ms = request->received_at_ms;
	run->last_event_id = last ? g_ascii_strtoll(last, NULL, 10) : -1;
	g_ptr_array_add(backend->runs, run);
	return run;
}

/* Returns the run of a request, or NULL. */
static struct backend_run *find_run(const struct backend *backend,
				    const char *id)
{
	for (guint i = backend->runs->len; i > 0; i--) {
		struct backend_run *run =
			g_ptr_array_index(backend->runs, i - 1);

		if (strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

static void add_fields(const struct backend *backend,
		       const struct inbound_request *request, GString *headers)
{
	struct backend_run *run;

	if (backend->fields == NULL || backend->mode == BACKEND_WRONG_ID)
		return;
	g_string_append(headers, backend->fields);
	run = find_run(backend, header_or_empty(request, "Request-Id"));
	if (run != NULL)
		run->had_fields = true;
}

static GString *response_headers(const struct backend *backend,
				 const struct inbound_request *request)
{
	GString *headers = g_string_new(NULL);

	g_string_printf(headers, "Request-Id: %s\r\nServer-Load: %s\r\n",
			header_or_empty(request, "Request-Id"),
			backend->load ? backend->load : "1,0,8");
	if (backend->mode != BACKEND_UNSIGNED &&
	    backend->mode != BACKEND_UNSIGNED_TEXT)
		g_string_append_printf(
			headers, "Response-Signature: sig-%s\r\n", backend->id);
	if (backend->mode == BACKEND_ENCODED)
		g_string_append(headers, "Content-Encoding: gzip\r\n");
	if (backend->limit_per_s != NULL)
		g_string_append_printf(headers, "Server-Limit: %s\r\n",
				       backend->limit_per_s);
	add_fields(backend, request, headers);
	return headers;
}

static void free_stream(struct stream *stream)
{
	stream->request->user_data = NULL;
	event_free(stream->timer);
	g_free(stream);
}

/* Returns many lines as one text, which is kept in @p text. */
static const char *repeat_line(const char *line, char **text)
{
	GString *lines;

	if (*text != NULL)
		return *text;
	lines = g_string_new(NULL);
	for (int i = 0; i < ENDLESS_LINES; i++)
		g_string_append(lines, line);
	*text = g_string_free(lines, FALSE);
	return *text;
}

/* Sends the next bytes of a response that has no end, unless as many wait to be
 * read. */
static void on_endless_timer(evutil_socket_t fd, short what, void *arg)
{
	static char *fields;
	static char *body;
	struct stream *stream = arg;
	const char *text =
		stream->backend->mode == BACKEND_ENDLESS_HEAD
			? repeat_line("X-More: 0123456789abcdef\r\n", &fields)
			: repeat_line("data: 0123456789abcdef\n", &body);
	struct timeval tv = {.tv_usec = ENDLESS_GAP_MS * 1000};

	(void)fd;
	(void)what;
	if (inbound_unsent(stream->request) < strlen(text))
		inbound_write_raw(stream->request, text);
	event_add(stream->timer, &tv);
}

/* Begins a response that has no end: neither a length nor chunks. */
static void start_endless(struct backend *backend,
			  struct inbound_request *request)
{
	struct stream *stream = g_new0(struct stream, 1);
	struct timeval tv = {.tv_usec = ENDLESS_GAP_MS * 1000};
	const char *id = backend->mode == BACKEND_ENDLESS_OTHER
				 ? "other"
				 : header_or_empty(request, "Request-Id");
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s%s", id,
		backend->mode == BACKEND_ENDLESS_EVENT
			? "Response-Signature: sig\r\n"
			  "Content-Type: text/event-stream\r\n"
		: backend->mode == BACKEND_ENDLESS_SIGNED
			? "Response-Signature: sig\r\n"
			: "",
		backend->mode == BACKEND_ENDLESS_HEAD ? "" : "\r\n");

	inbound_write_raw(request, head);
	g_free(head);
	stream->backend = backend;
	stream->request = request;
	stream->timer = evtimer_new(backend->base, on_endless_timer, stream);
	request->user_data = stream;
	event_add(stream->timer, &tv);
}

/* Prints the next event of a stream; returns its length. */
static int print_event(const struct stream *stream, char *out, size_t size,
		       const char *end)
{
	const struct backend *backend = stream->backend;
	char run[16] = "";

	if (backend->numbers_runs)
		g_snprintf(run, sizeof(run), ".%u", stream->run);
	return g_snprintf(out, size, "id: %d\ndata: %s%s-%d%s",
			  (int)stream->next_id, backend->id, run,
			  (int)stream->next_id, end);
}

/* Sends the next part of a response without a length, or its end. */
static void on_unframed_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct inbound_request *request = stream->request;
	struct timeval tv = {.tv_usec = stream->event_gap_ms * 1000};
	enum backend_mode mode = stream->mode;
	bool breaks = mode != BACKEND_UNFRAMED && stream->next_id == 2;
	char part[64];

	(void)fd;
	(void)what;
	if (breaks && mode == BACKEND_UNFRAMED_RESET) {
		free_stream(stream);
		inbound_reset(request);
		return;
	}
	if (stream->next_id > stream->n_events) {
		free_stream(stream);
		inbound_end_raw(request);
		return;
	}
	print_event(stream, part, sizeof(part), breaks ? "" : "\n\n");
	inbound_write_raw(request, part);
	stream->next_id = breaks ? stream->n_events + 1 : stream->next_id + 1;
	event_add(stream->timer, &tv);
}

/* Begins a response with neither a length nor chunks. */
static void start_unframed(struct backend *backend,
			   struct inbound_request *request,
			   int64_t last_event_id)
{
	bool is_stream = strstr(request->target, "/turn") != NULL;
	bool is_long = backend->long_path != NULL &&
		       g_str_has_prefix(request->target, backend->long_path);
	struct stream *stream = g_new0(struct stream, 1);
	GString *headers = response_headers(backend, request);
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%s%s\r\n", headers->str,
		is_stream ? "Content-Type: text/event-stream\r\n" : "");
	struct timeval tv = {0};

	inbound_write_raw(request, head);
	g_free(head);
	g_string_free(headers, TRUE);
	stream->backend = backend;
	stream->request = request;
	stream->mode = backend->mode;
	stream->run = backend->runs->len;
	stream->n_events = is_long     ? backend->n_long_events
			   : is_stream ? backend->n_events
				       : UNFRAMED_PARTS;
	stream->event_gap_ms = is_long ? backend->long_gap_ms : UNFRAMED_GAP_MS;
	stream->next_id = last_event_id < 0 ? 1 : last_event_id + 1;
	stream->timer = evtimer_new(backend->base, on_unframed_timer, stream);
	request->user_data = stream;
	tv.tv_usec = stream->event_gap_ms * 1000;
	event_add(stream->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct backend *backend = stream->backend;
	struct inbound_request *request = stream->request;
	struct timeval tv = {.tv_usec = stream->event_gap_ms * 1000};
	char event[64];
	int len;

	(void)fd;
	(void)what;
	if (stream->crashes && stream->next_id == 2)
		backend->has_crashed = true;
	if (backend->has_crashed)
		return;
	if (!stream->headers_sent) {
		GString *headers = response_headers(backend, request);

		g_string_append(headers, "Content-Type: text/event-stream\r\n");
		inbound_begin_reply(request, 200, headers->str);
		g_string_free(headers, TRUE);
		stream->headers_sent = true;
	}
	if (stream->next_id > stream->n_events) {
		free_stream(stream);
		inbound_end_reply(request);
		return;
	}
	len = print_event(stream, event, sizeof(event), "\n\n");
	if (backend->mode == BACKEND_TRUNCATE && stream->next_id == 2) {
		inbound_send_chunk(request, event, (size_t)len / 2);
		free_stream(stream);
		inbound_abort(request);
		return;
	}
	if (backend->mode == BACKEND_STALLED && stream->next_id == 2) {
		tv.tv_usec = STALLED_GAP_MS * 1000;
		inbound_send_chunk(request, ":", 1);
		stream->stalled = true;
		event_add(stream->timer, &tv);
		return;
	}
	if (stream->stalled)
		inbound_send_chunk(request, "\n", 1);
	stream->stalled = false;
	inbound_send_chunk(request, event, (size_t)len);
	stream->next_id++;
	event_add(stream->timer, &tv);
}

static void start_stream(struct backend *backend,
			 struct inbound_request *request, int64_t last_event_id,
			 bool crashes)
{
	struct stream *stream = g_new0(struct stream, 1);
	bool is_long = backend->long_path != NULL &&
		       g_str_has_prefix(request->target, backend->long_path);
	struct timeval tv = {0};

	stream->backend = backend;
	stream->request = request;
	stream->crashes = crashes;
	stream->run = backend->runs->len;
	stream->n_events = is_long ? backend->n_long_events : backend->n_events;
	stream->event_gap_ms =
		is_long ? backend->long_gap_ms : backend->event_gap_ms;
	tv.tv_usec = stream->event_gap_ms * 1000;
	stream->next_id = last_event_id < 0 ? 1 : last_event_id + 1;
	stream->timer = evtimer_new(backend->base, on_timer, stream);
	request->user_data = stream;
	event_add(stream->timer, &tv);
}

/* Sends a response, then another one that belongs to no request. */
static void reply_with_trailing_bytes(struct inbound_request *request,
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

static void reply_to_other_request(const struct backend *backend,
				   struct inbound_request *request)
{
	char *bytes =
		g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n%s"
				"Response-Signature: sig\r\n"
				"Content-Length: 5\r\n\r\nwrong",
				backend->fields ? backend->fields : "");

	inbound_write_raw(request, bytes);
	g_free(bytes);
}

static void reply(struct backend *backend, struct inbound_request *request)
{
	GString *headers = response_headers(backend, request);
	int status = backend->mode == BACKEND_ERROR ? 500 : 200;
	char *body = g_strdup_printf("answer of %s", backend->id);

	if (backend->mode == BACKEND_WRONG_ID)
		reply_to_other_request(backend, request);
	if (backend->mode == BACKEND_TRAILING_BYTES)
		reply_with_trailing_bytes(request, headers->str, body);
	else
		inbound_reply(request, status, headers->str, body,
			      strlen(body));
	g_free(body);
	g_string_free(headers, TRUE);
}

/* Sends a part of a body, and closes the connection. */
static void reply_cut(struct backend *backend, struct inbound_request *request)
{
	GString *headers = response_headers(backend, request);
	char *bytes = g_strdup_printf(
		"HTTP/1.1 %s\r\n%sContent-Length: 100\r\n\r\na part",
		backend->mode == BACKEND_CUT ? "200 OK" : "500 Error",
		headers->str);

	inbound_write_raw(request, bytes);
	inbound_end_raw(request);
	g_free(bytes);
	g_string_free(headers, TRUE);
}

static bool is_meant_for(const struct backend *backend,
			 const struct inbound_request *request)
{
	const char *target = hdr_get(request->headers, "Target-Instance");

	return !backend->checks_target || target == NULL ||
	       strcmp(target, backend->id) == 0;
}

static bool crashes_at(const struct backend *backend,
		       const struct backend_run *run)
{
	const char *body = run->body ? run->body : "";

	return backend->crashes &&
	       strcmp(body, backend->crash_body ? backend->crash_body : "") ==
		       0;
}

static gpointer conn_key(const struct inbound_request *request)
{
	return GSIZE_TO_POINTER((gsize)request->conn_serial);
}

/* Sends the copy that is due on the connection, if any. */
static void send_late_copy(struct backend *backend,
			   struct inbound_request *request)
{
	gpointer key = conn_key(request);
	const char *copy = g_hash_table_lookup(backend->late_copies, key);

	if (copy == NULL)
		return;
	inbound_write_raw(request, copy);
	g_hash_table_remove(backend->late_copies, key);
}

static void refuse(struct backend *backend, struct inbound_request *request,
		   int status)
{
	GString *headers = response_headers(backend, request);

	g_string_append(headers, "Not-Executed: 1\r\n");
	if (backend->mode == BACKEND_LATE_COPY)
		g_hash_table_insert(backend->late_copies, conn_key(request),
				    g_strdup_printf("HTTP/1.1 %d Refused\r\n%s"
						    "Content-Length: 0\r\n\r\n",
						    status, headers->str));
	inbound_reply(request, status, headers->str, NULL, 0);
	g_string_free(headers, TRUE);
}

static bool is_refused(const struct backend *backend)
{
	return backend->mode == BACKEND_REFUSE ||
	       (backend->mode == BACKEND_LATE_COPY &&
		backend->received % 2 == 1);
}

static void on_request(void *arg, struct inbound_request *request)
{
	struct backend *backend = arg;
	struct backend_run *run;
	GString *headers;
	bool crashes;
	bool misdirected;

	backend->received++;
	if (backend->has_crashed)
		return;
	misdirected = backend->mode == BACKEND_MISDIRECTED ||
		      !is_meant_for(backend, request);
	send_late_copy(backend, request);
	if (is_refused(backend) || misdirected) {
		refuse(backend, request, misdirected ? 421 : 503);
		return;
	}
	run = record_run(backend, request);
	crashes = crashes_at(backend, run);
	if (crashes && backend->crash == BACKEND_CRASH_AT_ONCE)
		backend->has_crashed = true;
	if (backend->has_crashed || backend->mode == BACKEND_NO_RESPONSE)
		return;
	if (backend->mode == BACKEND_CLOSE) {
		inbound_abort(request);
		return;
	}
	if (backend->mode == BACKEND_MALFORMED) {
		inbound_write_raw(request, "!!! no answer\r\n\r\n");
		return;
	}
	if (backend->mode >= BACKEND_ENDLESS_HEAD &&
	    backend->mode <= BACKEND_ENDLESS_EVENT) {
		start_endless(backend, request);
		return;
	}
	if (backend->mode >= BACKEND_UNFRAMED &&
	    backend->mode <= BACKEND_UNFRAMED_CUT) {
		start_unframed(backend, request, run->last_event_id);
		return;
	}
	if (backend->mode == BACKEND_CUT ||
	    backend->mode == BACKEND_ERROR_CUT) {
		reply_cut(backend, request);
		return;
	}
	if (backend->mode == BACKEND_UNSIGNED_TEXT) {
		headers = response_headers(backend, request);
		inbound_reply(request, 200, headers->str, "no answer\n\n", 11);
		g_string_free(headers, TRUE);
		return;
	}
	if (strstr(request->target, "/turn") != NULL) {
		start_stream(backend, request, run->last_event_id, crashes);
		return;
	}
	reply(backend, request);
}

static void on_disconnect(void *arg, struct inbound_request *request)
{
	struct backend *backend = arg;

	if (request->user_data == NULL)
		return;
	backend->cancelled++;
	free_stream(request->user_data);
}

struct backend *backend_create(struct event_base *base, const char *address,
			       const char *id, guint n_events, int event_gap_ms)
{
	static const struct inbound_handler handler = {
		.on_request = on_request, .on_disconnect = on_disconnect};
	struct backend *backend = g_new0(struct backend, 1);

	backend->base = base;
	backend->id = g_strdup(id);
	backend->n_events = n_events;
	backend->event_gap_ms = event_gap_ms;
	backend->runs = g_ptr_array_new_with_free_func(free_run);
	backend->late_copies = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	backend->inbound = inbound_create(base, address, &handler, backend);
	if (backend->inbound == NULL) {
		backend_destroy(backend);
		return NULL;
	}
	return backend;
}

void backend_set_long_streams(struct backend *backend, const char *path,
			      guint n_events, int event_gap_ms)
{
	backend->long_path = path;
	backend->n_long_events = n_events;
	backend->long_gap_ms = event_gap_ms;
}

void backend_destroy(struct backend *backend)
{
	if (backend == NULL)
		return;
	inbound_destroy(backend->inbound);
	g_ptr_array_free(backend->runs, TRUE);
	g_hash_table_destroy(backend->late_copies);
	g_free(backend->id);
	g_free(backend);
}

void backend_number_runs(struct backend *backend)
{
	backend->numbers_runs = true;
}

void backend_set_mode(struct backend *backend, enum backend_mode mode)
{
	backend->mode = mode;
}

void backend_set_crash(struct backend *backend, const char *body,
		       enum backend_crash how)
{
	backend->crashes = true;
	backend->crash_body = body;
	backend->crash = how;
}

void backend_check_target(struct backend *backend)
{
	backend->checks_target = true;
}

bool backend_has_crashed(const struct backend *backend)
{
	return backend->has_crashed;
}

void backend_set_fields(struct backend *backend, const char *fields)
{
	backend->fields = fields;
}

guint backend_received(const struct backend *backend)
{
	return backend->received;
}

void backend_set_load(struct backend *backend, const char *load)
{
	backend->load = load;
}

void backend_set_limit(struct backend *backend, const char *per_s)
{
	backend->limit_per_s = per_s;
}

const GPtrArray *backend_runs(const struct backend *backend)
{
	return backend->runs;
}

guint backend_cancelled(const struct backend *backend)
{
	return backend->cancelled;
}
