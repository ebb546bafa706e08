/** @file upstream.c @brief HTTP requests of ours. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>

#include "clock.h"
#include "hdr.h"
#include "upstream.h"

enum {
	IDLE_MS = 4000,		/* where the peer does not say */
	IDLE_MARGIN_MS = 700,	/* closed before the peer does */
	USER_TIMEOUT_MS = 5000, /* unacknowledged data ends the connection */
};

struct up {
	struct event_base *base;
	uint64_t opened;
};

struct conn {
	struct up *up;
	struct bufferevent *bev;
	GQueue *idle;	      /* where it is kept, if it is */
	struct event *expiry; /* ends a connect or an idle time */
	http_parser parser;
	struct up_call *call;
	GArray *headers;
	bool connected;
	bool parsing; /* the parser is on the stack */
	bool dead;    /* to be freed when it is not */
	bool kept;    /* in its idle queue */
	int64_t keep_ms;
};

struct up_call {
	struct conn *conn;
	GString *head;
	GBytes *body;
	char *id_name;
	char *id;
	const struct up_handler *handler;
	void *arg;
	bool sent;
	bool foreign; /* the answer being read belongs to another request */
	bool whole;
	bool reusable;
	bool framed;
	bool failed_early;
};

static void conn_free(struct conn *conn)
{
	if (conn->parsing) {
		conn->dead = true;
		return;
	}
	if (conn->kept)
		g_queue_remove(conn->idle, conn);
	event_free(conn->expiry);
	bufferevent_free(conn->bev);
	g_array_unref(conn->headers);
	g_free(conn);
}

static void call_free(struct up_call *call)
{
	g_string_free(call->head, TRUE);
	if (call->body != NULL)
		g_bytes_unref(call->body);
	g_free(call->id_name);
	g_free(call->id);
	g_free(call);
}

static void set_expiry(struct conn *conn, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(conn->expiry, &tv);
}

/* Ends the call of a connection, and the connection unless it is kept. */
static void finish(struct conn *conn, enum up_end end, const char *step)
{
	struct up_call *call = conn->call;
	const struct up_handler *handler = call->handler;
	void *arg = call->arg;
	bool keep = end == UP_WHOLE && call->reusable && !conn->dead;

	conn->call = NULL;
	call_free(call);
	if (keep && conn->keep_ms > 0) {
		conn->kept = true;
		g_queue_push_tail(conn->idle, conn);
		set_expiry(conn, conn->keep_ms);
	} else {
		conn_free(conn);
	}
	handler->end(arg, end, step);
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	hdr_append_name(conn->headers, at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	hdr_append_value(conn->headers, at, len);
	return 0;
}

static int on_message_begin(http_parser *parser)
{
	struct conn *conn = parser->data;

	g_array_set_size(conn->headers, 0);
	return 0;
}

/* Reads how long the peer keeps an idle connection. */
static int64_t keep_time(const GArray *headers)
{
	const char *value = hdr_get(headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	int64_t ms;

	if (timeout == NULL)
		return IDLE_MS;
	ms = g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000;
	if (ms > IDLE_MS * 4)
		ms = IDLE_MS * 4;
	return ms > 2 * IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct conn *conn = parser->data;
	struct up_call *call = conn->call;
	struct up_head head = {.status = parser->status_code,
			       .headers = conn->headers};
	const char *id;

	if (call == NULL)
		return -1;
	call->foreign = parser->status_code < 200;
	if (call->foreign)
		return 0;
	if (call->id_name != NULL) {
		id = hdr_get(conn->headers, call->id_name);
		call->foreign = id == NULL || strcmp(id, call->id) != 0;
		if (call->foreign)
			return 0;
	}
	conn->keep_ms = keep_time(conn->headers);
	head.framed = parser->flags & F_CHUNKED ||
		      parser->content_length != UINT64_MAX;
	call->framed = head.framed;
	call->handler->head(call->arg, &head);
	return conn->dead ? -1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;
	struct up_call *call = conn->call;

	if (call != NULL && !call->foreign)
		call->handler->body(call->arg, at, len);
	return conn->dead ? 1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;
	struct up_call *call = conn->call;

	if (call == NULL)
		return 1;
	if (call->foreign)
		return 0;
	call->whole = true;
	call->reusable = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings response_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Returns false if the connection was freed. */
static bool parse(struct conn *conn, const char *data, size_t len,
		  size_t *parsed)
{
	conn->parsing = true;
	*parsed = http_parser_execute(&conn->parser, &response_settings, data,
				      len);
	conn->parsing = false;
	if (!conn->dead)
		return true;
	conn_free(conn);
	return false;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->call == NULL) {
		conn_free(conn);
		return;
	}
	while (evbuffer_get_length(in) > 0) {
		struct evbuffer_iovec piece;
		struct up_call *call;
		size_t parsed;

		evbuffer_peek(in, -1, NULL, &piece, 1);
		if (!parse(conn, piece.iov_base, piece.iov_len, &parsed))
			return;
		call = conn->call;
		if (call->whole) {
			evbuffer_drain(in, parsed);
			/* Bytes after an answer belong to no request. */
			if (evbuffer_get_length(in) > 0 ||
			    evbuffer_get_length(bufferevent_get_output(bev)))
				call->reusable = false;
			http_parser_pause(&conn->parser, 0);
			finish(conn, UP_WHOLE, "");
			return;
		}
		if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			finish(conn, UP_BROKEN, "answer is not HTTP");
			return;
		}
		evbuffer_drain(in, parsed);
	}
}

static void send_request(struct conn *conn)
{
	struct up_call *call = conn->call;

	call->sent = true;
	bufferevent_write(conn->bev, call->head->str, call->head->len);
	if (call->body != NULL) {
		gsize len;
		const void *data = g_bytes_get_data(call->body, &len);

		bufferevent_write(conn->bev, data, len);
	}
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
}

static void on_connected(struct conn *conn)
{
	int on = 1;
	unsigned int ms = USER_TIMEOUT_MS;
	evutil_socket_t fd = bufferevent_getfd(conn->bev);

	conn->connected = true;
	conn->up->opened++;
	event_del(conn->expiry);
	/* Both only speed things up; failing to set them is no fault. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	send_request(conn);
}

/* The peer closed in order: an answer without a length ends that way. */
static void on_closed(struct conn *conn)
{
	size_t parsed;

	if (conn->call->sent && !parse(conn, NULL, 0, &parsed))
		return;
	conn->call->reusable = false;
	if (conn->call->whole)
		finish(conn, UP_WHOLE, "");
	else
		finish(conn, UP_BROKEN, "closed before the answer's end");
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *conn = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(conn);
		return;
	}
	if (conn->call == NULL) {
		conn_free(conn);
		return;
	}
	if (!conn->connected)
		finish(conn, UP_NOT_SENT, "connect");
	else if (what & BEV_EVENT_EOF)
		on_closed(conn);
	else
		finish(conn, UP_BROKEN, "connection reset");
}

static void on_expiry(evutil_socket_t fd, short what, void *arg)
{
	struct conn *conn = arg;

	(void)fd;
	(void)what;
	if (conn->call == NULL)
		conn_free(conn);
	else if (!conn->connected || conn->call->failed_early)
		finish(conn, UP_NOT_SENT, "connect timed out");
}

struct up *up_create(struct event_base *base)
{
	struct up *up = g_new0(struct up, 1);

	up->base = base;
	return up;
}

void up_destroy(struct up *up)
{
	g_free(up);
}

uint64_t up_opened(const struct up *up)
{
	return up->opened;
}

static struct conn *conn_create(struct up *up, const struct up_request *request)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->up = up;
	conn->idle = request->idle;
	conn->headers = hdr_create();
	conn->expiry = evtimer_new(up->base, on_expiry, conn);
	conn->bev = bufferevent_socket_new(
		up->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	return conn;
}

static void conn_open(struct conn *conn, const struct up_request *request)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (evutil_parse_sockaddr_port(request->address,
				       (struct sockaddr *)&addr, &len) != 0 ||
	    bufferevent_socket_connect(conn->bev, (struct sockaddr *)&addr,
				       len) != 0) {
		conn->call->failed_early = true;
		set_expiry(conn, 0);
		return;
	}
	set_expiry(conn, request->connect_ms);
}

struct up_call *up_start(struct up *up, const struct up_request *request,
			 const struct up_handler *handler, void *arg)
{
	struct up_call *call = g_new0(struct up_call, 1);
	struct conn *conn = g_queue_pop_tail(request->idle);

	call->head = request->head;
	call->body = request->body ? g_bytes_ref(request->body) : NULL;
	call->id_name = g_strdup(request->id_name);
	call->id = g_strdup(request->id);
	call->handler = handler;
	call->arg = arg;
	if (conn != NULL) {
		conn->kept = false;
		event_del(conn->expiry);
		conn->call = call;
		call->conn = conn;
		send_request(conn);
		return call;
	}
	conn = conn_create(up, request);
	conn->call = call;
	call->conn = conn;
	conn_open(conn, request);
	return call;
}

void up_cancel(struct up_call *call)
{
	struct conn *conn = call->conn;

	conn->call = NULL;
	call_free(call);
	conn_free(conn);
}

void up_close_idle(GQueue *idle)
{
	struct conn *conn;

	while ((conn = g_queue_pop_tail(idle)) != NULL) {
		conn->kept = false;
		conn_free(conn);
	}
}
