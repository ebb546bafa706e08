/** @file inbound.c @brief HTTP server for callers. */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/listener.h>

#include "clock.h"
#include "hdr.h"
#include "inbound_int.h"
#include "input.h"
#include "sock.h"
#include "stats.h"

enum {
	INBOUND_SWEEP_MS = 250, /* between checks of the timeouts */
	/* Lingering close: lets the caller read its last response. */
	INBOUND_LINGER_MS = 1000,
	INBOUND_PIPELINE_MAX_BYTES = 65536, /* read ahead of a response */
	INBOUND_BACKLOG = 1024,
	/* To read a request body or to write the last response. */
	INBOUND_BODY_TIMEOUT_MS = 30000,
	CONN_BYTES = 4096, /* of a connection that does nothing */
	KEPT_BYTES = 1024, /* of these, of each buffer for the next request */
	/* Parts of a header that the parser counts and the limit does not. */
	PARSER_EXTRA_BYTES = 4096,
};

static void conn_free(struct inbound_conn *conn)
{
	cds_list_del(&conn->node);
	mem_leave(&conn->held);
	conn->inbound->count--;
	bufferevent_free(conn->bev);
	g_string_free(conn->target, TRUE);
	g_array_unref(conn->headers);
	g_byte_array_unref(conn->body);
	g_free(conn);
}

/* Updates what the connection holds. A request that the handler has grows no
 * more; its response does, but that is the handler's to stop. */
static void note_memory(struct inbound_conn *conn)
{
	size_t input = evbuffer_get_length(bufferevent_get_input(conn->bev));
	size_t output = evbuffer_get_length(bufferevent_get_output(conn->bev));
	size_t request = conn->header.memory + conn->body->len;
	size_t growing = conn->state == CONN_RESPONSE ? 0
			 : conn->state <= CONN_BODY   ? request + input + output
						      : output;

	if (conn->state == CONN_RESPONSE)
		output = 0;
	mem_set(&conn->held, CONN_BYTES + request + input + output, growing);
}

static void drop_body(struct inbound_conn *conn)
{
	if (conn->body->len > KEPT_BYTES || conn->body_shared) {
		g_byte_array_unref(conn->body);
		conn->body = g_byte_array_new();
	}
	conn->body_shared = false;
	g_byte_array_set_size(conn->body, 0);
}

/* Frees what a request that has ended has taken. */
static void drop_request(struct inbound_conn *conn)
{
	drop_body(conn);
	if (conn->target->allocated_len > KEPT_BYTES) {
		g_string_free(conn->target, TRUE);
		conn->target = g_string_new(NULL);
	}
	if (hdr_memory(conn->headers, 0) > KEPT_BYTES) {
		g_array_unref(conn->headers);
		conn->headers = hdr_create();
	}
	conn->header = (struct header_meter){0};
}

static void set_state(struct inbound_conn *conn, enum conn_state state)
{
	if (conn->state == CONN_RESPONSE && state != CONN_RESPONSE)
		conn->inbound->requests--;
	if (conn->state != CONN_RESPONSE && state == CONN_RESPONSE)
		conn->inbound->requests++;
	conn->state = state;
	conn->state_since_ms = clock_boot_ms();
	conn->idle_timeout_ms = conn->inbound->limits.idle_timeout_ms;
	note_memory(conn);
}

/*
 * Stops the parser. The result is negative because 1 would only skip the body
 * when it is returned from on_headers_complete().
 */
static int reject(struct inbound_conn *conn, int status)
{
	conn->error_status = status;
	return -1;
}

static void note_rejected(struct inbound_conn *conn, int cause)
{
	struct inbound *inbound = conn->inbound;

	header_rejections_note(&inbound->rejections, cause, &conn->header,
			       &inbound->header_limit, clock_boot_ms());
}

/* Counts more of a header, which then takes @p memory, or rejects it. */
static int count_header(struct inbound_conn *conn, size_t bytes, uint32_t lines,
			size_t memory)
{
	size_t before = conn->header.memory;
	enum header_limit_verdict verdict = header_meter_add(
		&conn->header, &conn->inbound->header_limit,
		mem_room(conn->held.budget), bytes, lines, memory);

	if (verdict != HEADER_LIMIT_OK) {
		note_rejected(conn, (int)verdict);
		return reject(conn, header_limit_status(verdict));
	}
	if (conn->header.memory != before)
		note_memory(conn);
	return 0;
}

/* Counts a part of a field name or value. */
static int count_field(struct inbound_conn *conn, size_t len, uint32_t lines)
{
	return count_header(conn, len + lines * HEADER_LIMIT_LINE_BYTES, lines,
			    hdr_memory(conn->headers, len) +
				    conn->target->allocated_len);
}

/* Trailers are counted but not kept: they must not be taken for fields of the
 * header (RFC 9110, section 6.5.1). */
static bool is_trailer(const struct inbound_conn *conn)
{
	return conn->state == CONN_BODY;
}

static int on_message_begin(http_parser *parser)
{
	struct inbound_conn *conn = parser->data;

	g_string_truncate(conn->target, 0);
	g_array_set_size(conn->headers, 0);
	g_byte_array_set_size(conn->body, 0);
	conn->header = (struct header_meter){0};
	conn->in_name = false;
	set_state(conn, CONN_HEADER);
	return 0;
}

static int on_url(http_parser *parser, const char *buf, size_t len)
{
	struct inbound_conn *conn = parser->data;
	/* GString grows to the next power of two. */
	size_t memory = 2 * (conn->target->len + len + 1);

	if (count_header(conn, len, 0, memory) != 0)
		return -1;
	g_string_append_len(conn->target, buf, (gssize)len);
	return 0;
}

static int on_header_field(http_parser *parser, const char *buf, size_t len)
{
	struct inbound_conn *conn = parser->data;

	if (memchr(buf, ' ', len) != NULL || memchr(buf, '\t', len) != NULL)
		return reject(conn, 400);
	/* A name may come in parts. */
	if (count_field(conn, len, conn->in_name ? 0 : 1) != 0)
		return -1;
	conn->in_name = true;
	if (!is_trailer(conn))
		hdr_append_name(conn->headers, buf, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *buf, size_t len)
{
	struct inbound_conn *conn = parser->data;

	conn->in_name = false;
	if (count_field(conn, len, 0) != 0)
		return -1;
	if (!is_trailer(conn))
		hdr_append_value(conn->headers, buf, len);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct inbound_conn *conn = parser->data;
	const char *expect = hdr_get(conn->headers, "Expect");

	if (parser->upgrade || conn->target->len == 0 ||
	    conn->target->str[0] != '/')
		return reject(conn, 400);
	if (hdr_count(conn->headers, "Host") > 1 ||
	    hdr_count(conn->headers, "Content-Length") > 1 ||
	    (hdr_count(conn->headers, "Transfer-Encoding") > 0 &&
	     hdr_count(conn->headers, "Content-Length") > 0))
		return reject(conn, 400);
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->inbound->limits.max_body_bytes)
		return reject(conn, 413);
	if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0)
		bufferevent_write(conn->bev, "HTTP/1.1 100 Continue\r\n\r\n",
				  25);
	set_state(conn, CONN_BODY);
	return 0;
}

static int on_body(http_parser *parser, const char *buf, size_t len)
{
	struct inbound_conn *conn = parser->data;

	if (conn->body->len + len > conn->inbound->limits.max_body_bytes)
		return reject(conn, 413);
	g_byte_array_append(conn->body, (const guint8 *)buf, (guint)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
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

static bool output_is_pending(const struct inbound_conn *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0;
}

static void on_flushed(struct bufferevent *bev, void *arg)
{
	struct inbound_conn *conn = arg;

	if (output_is_pending(conn))
		return;
	note_memory(conn);
	if (conn->state == CONN_RESPONSE &&
	    conn->inbound->handler->on_drained != NULL)
		conn->inbound->handler->on_drained(conn->inbound->arg,
						   &conn->request);
	/* The caller can't send its next request before it has the response. */
	if (conn->state == CONN_IDLE)
		conn->state_since_ms = clock_boot_ms();
	if (conn->state != CONN_FLUSH)
		return;
	(void)shutdown(bufferevent_getfd(bev), SHUT_WR);
	set_state(conn, CONN_LINGER);
}

/* Closes the connection once the output buffer is written. */
static void close_after_response(struct inbound_conn *conn)
{
	set_state(conn, CONN_FLUSH);
	on_flushed(conn->bev, conn);
}

static bool must_close(const struct inbound_conn *conn)
{
	return conn->inbound->draining ||
	       !http_should_keep_alive(&conn->parser);
}

static void write_header(struct inbound_conn *conn, int status,
			 const char *headers, const char *framing,
			 bool close_conn)
{
	conn->close_after = close_conn;
	evbuffer_add_printf(bufferevent_get_output(conn->bev),
			    "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status,
			    http_status_str((enum http_status)status), headers,
			    framing, close_conn ? "Connection: close\r\n" : "");
}

static void reject_and_close(struct inbound_conn *conn, int status,
			     const char *headers)
{
	drop_request(conn);
	write_header(conn, status, headers, "Content-Length: 0\r\n", true);
	close_after_response(conn);
}

static void reject_no_memory(struct inbound_conn *conn)
{
	char headers[40];

	g_snprintf(headers, sizeof(headers), "Retry-After: %.1f\r\n",
		   INBOUND_MEMORY_RETRY_AFTER_MS / 1000.0);
	reject_and_close(conn, 503, headers);
}

static void dispatch_request(struct inbound_conn *conn)
{
	struct inbound_request *request = &conn->request;

	memset(request, 0, sizeof(*request));
	request->method = http_method_str(conn->parser.method);
	request->target = conn->target->str;
	request->headers = conn->headers;
	request->body = conn->body;
	request->received_at_ms = clock_boot_ms();
	request->conn = conn;
	request->conn_serial = conn->serial;
	conn->chunked_response = false;
	set_state(conn, CONN_RESPONSE);
	conn->inbound->handler->on_request(conn->inbound->arg, request);
}

/* The parser has failed and can't go on. */
static void reject_unreadable(struct inbound_conn *conn)
{
	stats_count(STATS_UNREADABLE);
	/* The parser has a limit of its own, see inbound_set_limits(). */
	if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW) {
		note_rejected(conn, HEADER_LIMIT_BYTES);
		conn->error_status = 431;
	} else if (conn->error_status == 0 || conn->error_status == 400) {
		note_rejected(conn, HEADER_CAUSE_MALFORMED);
		conn->error_status = 400;
	}
	if (conn->error_status == 503)
		reject_no_memory(conn);
	else
		reject_and_close(conn, conn->error_status, "");
}

/* Parses input up to the end of a request; @p conn may be freed afterwards. */
static void read_requests(struct inbound_conn *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);

	while (conn->state <= CONN_BODY && evbuffer_get_length(input) > 0) {
		struct evbuffer_iovec iov;
		size_t parsed;

		evbuffer_peek(input, -1, NULL, &iov, 1);
		parsed = http_parser_execute(&conn->parser, &request_settings,
					     iov.iov_base, iov.iov_len);
		evbuffer_drain(input, parsed);
		switch (HTTP_PARSER_ERRNO(&conn->parser)) {
		case HPE_OK:
			break;
		case HPE_PAUSED: /* by on_message_complete() */
			http_parser_pause(&conn->parser, 0);
			dispatch_request(conn);
			return;
		default:
			reject_unreadable(conn);
			return;
		}
	}
	note_memory(conn);
	if (conn->state >= CONN_FLUSH)
		evbuffer_drain(input, evbuffer_get_length(input));
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
	if (conn->state == CONN_RESPONSE) {
		conn->inbound->handler->on_disconnect(conn->inbound->arg,
						      &conn->request);
		set_state(conn, CONN_LINGER);
	}
	conn_free(conn);
}

static void on_set_reading(struct mem_holder *holder, bool reading)
{
	struct inbound_conn *conn =
		caa_container_of(holder, struct inbound_conn, held);

	(reading ? bufferevent_enable : bufferevent_disable)(conn->bev,
							     EV_READ);
}

/* There is no memory for the request, or for the rest of a response that its
 * caller does not read. */
static void on_break_off(struct mem_holder *holder)
{
	struct inbound_conn *conn =
		caa_container_of(holder, struct inbound_conn, held);

	if (conn->state != CONN_HEADER && conn->state != CONN_BODY) {
		conn_free(conn);
		return;
	}
	/* What the caller still sends must not reset the connection. */
	bufferevent_enable(conn->bev, EV_READ);
	reject_no_memory(conn);
}

static const struct mem_ops conn_memory = {on_set_reading, on_break_off,
					   "connection"};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn = g_new0(struct inbound_conn, 1);
	int one = 1;

	(void)listener;
	(void)addr;
	(void)len;
	/* Only reduces latency, so a failure is ignored. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->inbound = inbound;
	conn->serial = ++inbound->last_serial;
	conn->target = g_string_new(NULL);
	conn->headers = hdr_create();
	conn->body = g_byte_array_new();
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->bev = bufferevent_socket_new(inbound->base, fd,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_read, on_flushed, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0,
				 INBOUND_PIPELINE_MAX_BYTES);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	mem_join(&conn->held, inbound->memory, &conn_memory);
	set_state(conn, CONN_IDLE);
	cds_list_add_tail(&conn->node, &inbound->conns);
	inbound->count++;
}

/* A limit that was lowered since the connection became idle does not apply yet:
 * its caller may count on the one from before. */
static int64_t idle_timeout_ms(const struct inbound_conn *conn)
{
	int64_t ms = MAX(conn->idle_timeout_ms,
			 conn->inbound->limits.idle_timeout_ms);

	/* The response has ended for the handler, but is still being written.
	 */
	return output_is_pending(conn) ? MAX(ms, INBOUND_BODY_TIMEOUT_MS) : ms;
}

static void sweep_conn(struct inbound_conn *conn, int64_t now_ms)
{
	int64_t age_ms = now_ms - conn->state_since_ms;

	switch (conn->state) {
	case CONN_IDLE:
		if (age_ms > idle_timeout_ms(conn) &&
		    !input_is_pending(conn->bev)) {
			stats_count(STATS_IDLE_CLOSED);
			conn_free(conn);
		}
		break;
	case CONN_HEADER:
		if (age_ms > conn->inbound->limits.header_timeout_ms &&
		    !input_is_pending(conn->bev))
			reject_and_close(conn, 408, "");
		break;
	case CONN_BODY:
		if (age_ms > INBOUND_BODY_TIMEOUT_MS &&
		    !input_is_pending(conn->bev))
			reject_and_close(conn, 408, "");
		break;
	case CONN_FLUSH:
		if (age_ms > INBOUND_BODY_TIMEOUT_MS)
			conn_free(conn);
		break;
	case CONN_LINGER:
		if (age_ms > INBOUND_LINGER_MS)
			conn_free(conn);
		break;
	case CONN_RESPONSE:
		break;
	}
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;
	struct inbound_conn *next;
	int64_t now_ms = clock_boot_ms();

	(void)fd;
	(void)what;
	cds_list_for_each_entry_safe(conn, next, &inbound->conns, node)
		sweep_conn(conn, now_ms);
}

struct inbound *inbound_create(struct event_base *base, const char *address,
			       const struct inbound_handler *handler, void *arg)
{
	static const struct inbound_limits default_limits = {
		.max_header_bytes = 65536,
		.max_body_bytes = 4194304,
		.header_timeout_ms = 10000,
		.idle_timeout_ms = 60000,
	};
	struct timeval tv = {.tv_usec = INBOUND_SWEEP_MS * 1000};
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
	inbound_set_limits(inbound, &default_limits);
	CDS_INIT_LIST_HEAD(&inbound->conns);
	inbound->listener = evconnlistener_new_bind(
		base, on_accept, inbound,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, INBOUND_BACKLOG,
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
		if (conn->state == CONN_RESPONSE)
			inbound->handler->on_disconnect(inbound->arg,
							&conn->request);
		conn_free(conn);
	}
	event_free(inbound->sweep);
	g_free(inbound);
}

void inbound_set_limits(struct inbound *inbound,
			const struct inbound_limits *limits)
{
	inbound->limits = *limits;
	inbound->header_limit = (struct header_limit){limits->max_header_bytes,
						      limits->max_header_lines};
	/* The parser limits the headers of a process. It must not be the one to
	 * reject a request inside the limit. */
	http_parser_set_max_header_size(
		MAX(HTTP_MAX_HEADER_SIZE,
		    limits->max_header_bytes + PARSER_EXTRA_BYTES));
}

void inbound_set_memory(struct inbound *inbound, struct mem_budget *memory)
{
	inbound->memory = memory;
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
		if (conn->state == CONN_IDLE && !output_is_pending(conn) &&
		    !input_is_pending(conn->bev))
			conn_free(conn);
	}
}

void inbound_refuse_partial(struct inbound *inbound, const char *headers)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;

	cds_list_for_each_entry_safe(conn, next, &inbound->conns, node) {
		if (conn->state == CONN_HEADER || conn->state == CONN_BODY)
			reject_and_close(conn, 503, headers);
	}
}

void inbound_count(const struct inbound *inbound, guint *conns, guint *requests)
{
	*conns = inbound->count;
	*requests = inbound->requests;
}

/* Closes the connection after a response or waits for the next request. */
static void finish_response(struct inbound_conn *conn, bool close_conn)
{
	drop_request(conn);
	if (close_conn) {
		close_after_response(conn);
		return;
	}
	set_state(conn, CONN_IDLE);
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS |
					    BEV_TRIG_DEFER_CALLBACKS);
}

void inbound_reply(struct inbound_request *request, int status,
		   const char *headers, const void *body, size_t len)
{
	struct inbound_conn *conn = request->conn;
	bool close_conn = must_close(conn);
	char framing[64];

	g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
	write_header(conn, status, headers, framing, close_conn);
	if (len > 0 && conn->parser.method != HTTP_HEAD)
		bufferevent_write(conn->bev, body, len);
	finish_response(conn, close_conn);
}

void inbound_begin_reply(struct inbound_request *request, int status,
			 const char *headers)
{
	struct inbound_conn *conn = request->conn;

	conn->chunked_response = conn->parser.http_minor > 0;
	write_header(conn, status, headers,
		     conn->chunked_response ? "Transfer-Encoding: chunked\r\n"
					    : "",
		     must_close(conn));
}

void inbound_send_chunk(struct inbound_request *request, const void *data,
			size_t len)
{
	struct inbound_conn *conn = request->conn;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (len == 0)
		return;
	if (conn->chunked_response)
		evbuffer_add_printf(out, "%zx\r\n", len);
	evbuffer_add(out, data, len);
	if (conn->chunked_response)
		evbuffer_add(out, "\r\n", 2);
}

static void release_body(gpointer body)
{
	g_byte_array_unref(body);
}

GBytes *inbound_share_body(struct inbound_request *request)
{
	struct inbound_conn *conn = request->conn;

	conn->body_shared = true;
	return g_bytes_new_with_free_func(conn->body->data, conn->body->len,
					  release_body,
					  g_byte_array_ref(conn->body));
}

void inbound_drop_body(struct inbound_request *request)
{
	drop_body(request->conn);
	request->body = request->conn->body;
	note_memory(request->conn);
}

size_t inbound_unsent(const struct inbound_request *request)
{
	return evbuffer_get_length(bufferevent_get_output(request->conn->bev));
}

void inbound_end_reply(struct inbound_request *request)
{
	struct inbound_conn *conn = request->conn;
	if (conn->chunked_response)
		bufferevent_write(conn->bev, "0\r\n\r\n", 5);
	finish_response(conn, conn->close_after || !conn->chunked_response);
}

void inbound_write_raw(struct inbound_request *request, const char *bytes)
{
	bufferevent_write(request->conn->bev, bytes, strlen(bytes));
}

void inbound_end_raw(struct inbound_request *request)
{
	close_after_response(request->conn);
}

void inbound_reset(struct inbound_request *request)
{
	sock_reset_on_close(bufferevent_getfd(request->conn->bev));
	inbound_abort(request);
}

void inbound_abort(struct inbound_request *request)
{
	struct inbound_conn *conn = request->conn;

	set_state(conn, CONN_FLUSH);
	conn_free(conn);
}
