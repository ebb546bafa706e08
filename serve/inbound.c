/** @file inbound.c @brief HTTP connections of callers. */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <urcu/list.h>

#include "clock.h"
#include "hdr.h"
#include "inbound.h"

enum {
	SWEEP_MS = 250,	       /* how often time limits are looked at */
	LINGER_MS = 1000,      /* for the caller to read its last answer */
	PIPELINE_MOST = 65536, /* bytes read ahead of an answer */
	BACKLOG = 1024,
	BODY_MS = 30000, /* to the end of a body */
};

enum conn_state {
	CONN_IDLE, /* no byte of a request */
	CONN_HEAD,
	CONN_BODY,
	CONN_ANSWER, /* a request is with the handler */
	CONN_FLUSH,  /* the last answer is being written */
	CONN_LINGER, /* waiting for the caller to close */
};

struct inbound {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct inbound_handler *handler;
	void *arg;
	struct inbound_limits limits;
	struct cds_list_head conns;
	struct event *sweep;
	guint count;
	guint requests;
	bool draining;
};

struct inbound_conn {
	struct cds_list_head node;
	struct inbound *inbound;
	struct bufferevent *bev;
	http_parser parser;
	enum conn_state state;
	int64_t since; /* when the state began */
	GString *target;
	GArray *headers;
	GByteArray *body;
	size_t head_bytes;
	int refused; /* status that a fault of the request asks for */
	bool whole;
	bool chunked_answer;
	bool closing; /* the answer says that the connection ends */
	struct inbound_request request;
};

static void conn_free(struct inbound_conn *conn)
{
	cds_list_del(&conn->node);
	conn->inbound->count--;
	bufferevent_free(conn->bev);
	g_string_free(conn->target, TRUE);
	g_array_unref(conn->headers);
	g_byte_array_unref(conn->body);
	g_free(conn);
}

static void set_state(struct inbound_conn *conn, enum conn_state state)
{
	if (conn->state == CONN_ANSWER && state != CONN_ANSWER)
		conn->inbound->requests--;
	if (conn->state != CONN_ANSWER && state == CONN_ANSWER)
		conn->inbound->requests++;
	conn->state = state;
	conn->since = clock_boot_ms();
}

/* Ends the parsing: 1 would only skip the body of a head that is whole. */
static int refuse(struct inbound_conn *conn, int status)
{
	conn->refused = status;
	return -1;
}

static int count_head(struct inbound_conn *conn, size_t len)
{
	conn->head_bytes += len;
	if (conn->head_bytes > conn->inbound->limits.max_header_bytes)
		return refuse(conn, 431);
	return 0;
}

static int on_message_begin(http_parser *parser)
{
	struct inbound_conn *conn = parser->data;

	g_string_truncate(conn->target, 0);
	g_array_set_size(conn->headers, 0);
	g_byte_array_set_size(conn->body, 0);
	conn->head_bytes = 0;
	conn->whole = false;
	set_state(conn, CONN_HEAD);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct inbound_conn *conn = parser->data;

	g_string_append_len(conn->target, at, (gssize)len);
	return count_head(conn, len);
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct inbound_conn *conn = parser->data;

	if (memchr(at, ' ', len) != NULL || memchr(at, '\t', len) != NULL)
		return refuse(conn, 400);
	hdr_append_name(conn->headers, at, len);
	return count_head(conn, len + 4);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct inbound_conn *conn = parser->data;

	hdr_append_value(conn->headers, at, len);
	return count_head(conn, len);
}

static int on_headers_complete(http_parser *parser)
{
	struct inbound_conn *conn = parser->data;
	const char *expect = hdr_get(conn->headers, "Expect");

	if (parser->upgrade || conn->target->len == 0 ||
	    conn->target->str[0] != '/')
		return refuse(conn, 400);
	if (hdr_count(conn->headers, "Host") > 1 ||
	    hdr_count(conn->headers, "Content-Length") > 1 ||
	    (hdr_count(conn->headers, "Transfer-Encoding") > 0 &&
	     hdr_count(conn->headers, "Content-Length") > 0))
		return refuse(conn, 400);
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->inbound->limits.max_body_bytes)
		return refuse(conn, 413);
	if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0)
		bufferevent_write(conn->bev, "HTTP/1.1 100 Continue\r\n\r\n",
				  25);
	set_state(conn, CONN_BODY);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct inbound_conn *conn = parser->data;

	if (conn->body->len + len > conn->inbound->limits.max_body_bytes)
		return refuse(conn, 413);
	g_byte_array_append(conn->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct inbound_conn *conn = parser->data;

	conn->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings request_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void on_flushed(struct bufferevent *bev, void *arg)
{
	struct inbound_conn *conn = arg;

	if (conn->state != CONN_FLUSH ||
	    evbuffer_get_length(bufferevent_get_output(bev)) > 0)
		return;
	(void)shutdown(bufferevent_getfd(bev), SHUT_WR);
	set_state(conn, CONN_LINGER);
}

/* Writes what there is, then closes. */
static void close_after_answer(struct inbound_conn *conn)
{
	set_state(conn, CONN_FLUSH);
	on_flushed(conn->bev, conn);
}

static const char *reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 402:
		return "Payment Required";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static bool ends_connection(const struct inbound_conn *conn)
{
	return conn->inbound->draining ||
	       !http_should_keep_alive(&conn->parser);
}

static void write_head(struct inbound_conn *conn, int status,
		       const char *headers, const char *framing, bool last)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	conn->closing = last;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status,
			    reason(status), headers, framing,
			    last ? "Connection: close\r\n" : "");
}

static void refuse_connection(struct inbound_conn *conn, int status)
{
	write_head(conn, status, "", "Content-Length: 0\r\n", true);
	close_after_answer(conn);
}

static void hand_on(struct inbound_conn *conn)
{
	struct inbound_request *request = &conn->request;

	memset(request, 0, sizeof(*request));
	request->method = http_method_str(conn->parser.method);
	request->target = conn->target->str;
	request->headers = conn->headers;
	request->body = conn->body;
	request->received_at_ms = clock_boot_ms();
	request->conn = conn;
	conn->chunked_answer = false;
	set_state(conn, CONN_ANSWER);
	conn->inbound->handler->request(conn->inbound->arg, request);
}

/* Reads requests until one is whole; the connection may be gone after it. */
static void read_requests(struct inbound_conn *conn)
{
	struct evbuffer *inbound = bufferevent_get_input(conn->bev);

	while (conn->state <= CONN_BODY && evbuffer_get_length(inbound) > 0) {
		struct evbuffer_iovec piece;
		size_t parsed;

		evbuffer_peek(inbound, -1, NULL, &piece, 1);
		parsed = http_parser_execute(&conn->parser, &request_settings,
					     piece.iov_base, piece.iov_len);
		if (conn->whole) {
			evbuffer_drain(inbound, parsed);
			http_parser_pause(&conn->parser, 0);
			hand_on(conn);
			return;
		}
		if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			refuse_connection(conn,
					  conn->refused ? conn->refused : 400);
			return;
		}
		evbuffer_drain(inbound, parsed);
	}
	if (conn->state >= CONN_FLUSH)
		evbuffer_drain(inbound, evbuffer_get_length(inbound));
}

static void on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_requests(arg);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct inbound_conn *conn = arg;

	(void)bev;
	(void)what;
	if (conn->state == CONN_ANSWER) {
		conn->inbound->handler->gone(conn->inbound->arg,
					     &conn->request);
		set_state(conn, CONN_LINGER);
	}
	conn_free(conn);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn = g_new0(struct inbound_conn, 1);
	int on = 1;

	(void)listener;
	(void)addr;
	(void)len;
	/* Speeds answers up; failing to set it is no fault. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->inbound = inbound;
	conn->target = g_string_new(NULL);
	conn->headers = hdr_create();
	conn->body = g_byte_array_new();
	conn->since = clock_boot_ms();
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->bev = bufferevent_socket_new(inbound->base, fd,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_read, on_flushed, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, PIPELINE_MOST);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	cds_list_add_tail(&conn->node, &inbound->conns);
	inbound->count++;
}

static void sweep_conn(struct inbound_conn *conn, int64_t now)
{
	int64_t age = now - conn->since;

	switch (conn->state) {
	case CONN_IDLE:
		if (age > conn->inbound->limits.idle_timeout_ms)
			conn_free(conn);
		break;
	case CONN_HEAD:
		if (age > conn->inbound->limits.header_timeout_ms)
			refuse_connection(conn, 408);
		break;
	case CONN_BODY:
		if (age > BODY_MS)
			refuse_connection(conn, 408);
		break;
	case CONN_FLUSH:
		if (age > BODY_MS)
			conn_free(conn);
		break;
	case CONN_LINGER:
		if (age > LINGER_MS)
			conn_free(conn);
		break;
	case CONN_ANSWER:
		break;
	}
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;
	struct inbound_conn *next;
	int64_t now = clock_boot_ms();

	(void)fd;
	(void)what;
	cds_list_for_each_entry_safe(conn, next, &inbound->conns, node)
		sweep_conn(conn, now);
}

struct inbound *inbound_create(struct event_base *base, const char *address,
			       const struct inbound_handler *handler, void *arg)
{
	static const struct inbound_limits presets = {65536, 4194304, 10000,
						      60000};
	struct timeval tv = {.tv_usec = SWEEP_MS * 1000};
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct inbound *inbound;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) != 0) {
		errno = EINVAL;
		return NULL;
	}
	inbound = g_new0(struct inbound, 1);
	inbound->base = base;
	inbound->handler = handler;
	inbound->arg = arg;
	inbound->limits = presets;
	CDS_INIT_LIST_HEAD(&inbound->conns);
	inbound->listener = evconnlistener_new_bind(
		base, on_accept, inbound,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		(struct sockaddr *)&addr, len);
	if (inbound->listener == NULL) {
		g_free(inbound);
		return NULL;
	}
	inbound->sweep = event_new(base, -1, EV_PERSIST, on_sweep, inbound);
	event_add(inbound->sweep, &tv);
	return inbound;
}

void inbound_destroy(struct inbound *inbound)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;

	if (inbound == NULL)
		return;
	inbound_stop_listening(inbound);
	cds_list_for_each_entry_safe(conn, next, &inbound->conns, node) {
		if (conn->state == CONN_ANSWER)
			inbound->handler->gone(inbound->arg, &conn->request);
		conn_free(conn);
	}
	event_free(inbound->sweep);
	g_free(inbound);
}

void inbound_set_limits(struct inbound *inbound,
			const struct inbound_limits *limits)
{
	inbound->limits = *limits;
}

void inbound_drain(struct inbound *inbound)
{
	inbound->draining = true;
}

void inbound_stop_listening(struct inbound *inbound)
{
	if (inbound->listener != NULL)
		evconnlistener_free(inbound->listener);
	inbound->listener = NULL;
}

void inbound_close_idle(struct inbound *inbound)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;

	cds_list_for_each_entry_safe(conn, next, &inbound->conns, node) {
		if (conn->state == CONN_IDLE &&
		    evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0)
			conn_free(conn);
	}
}

void inbound_count(const struct inbound *inbound, guint *conns, guint *requests)
{
	*conns = inbound->count;
	*requests = inbound->requests;
}

/* An answer was written whole: the connection ends or goes on. */
static void answered(struct inbound_conn *conn, bool last)
{
	if (last) {
		close_after_answer(conn);
		return;
	}
	set_state(conn, CONN_IDLE);
	g_byte_array_set_size(conn->body, 0);
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS |
					    BEV_TRIG_DEFER_CALLBACKS);
}

void inbound_reply(struct inbound_request *request, int status,
		   const char *headers, const void *body, size_t len)
{
	struct inbound_conn *conn = request->conn;
	bool last = ends_connection(conn);
	char framing[64];

	g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
	write_head(conn, status, headers, framing, last);
	if (len > 0 && conn->parser.method != HTTP_HEAD)
		bufferevent_write(conn->bev, body, len);
	answered(conn, last);
}

void inbound_begin_reply(struct inbound_request *request, int status,
			 const char *headers)
{
	struct inbound_conn *conn = request->conn;

	conn->chunked_answer = conn->parser.http_minor > 0;
	write_head(conn, status, headers,
		   conn->chunked_answer ? "Transfer-Encoding: chunked\r\n" : "",
		   ends_connection(conn));
}

void inbound_send_chunk(struct inbound_request *request, const void *data,
			size_t len)
{
	struct inbound_conn *conn = request->conn;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (len == 0)
		return;
	if (conn->chunked_answer)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	if (conn->chunked_answer)
		evbuffer_add(out, "\r\n", 2);
}

void inbound_end_reply(struct inbound_request *request)
{
	struct inbound_conn *conn = request->conn;
	if (conn->chunked_answer)
		bufferevent_write(conn->bev, "0\r\n\r\n", 5);
	answered(conn, conn->closing || !conn->chunked_answer);
}

void inbound_write_raw(struct inbound_request *request, const char *bytes)
{
	bufferevent_write(request->conn->bev, bytes, strlen(bytes));
}

void inbound_abort(struct inbound_request *request)
{
	struct inbound_conn *conn = request->conn;

	set_state(conn, CONN_FLUSH);
	conn_free(conn);
}
