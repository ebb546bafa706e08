/** @file upstream.c @brief HTTP client on an event loop. */
#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "clock.h"
#include "hdr.h"
#include "input.h"
#include "memory.h"
#include "sock.h"
#include "stats.h"
#include "tunnel.h"
#include "upstream.h"

enum {
	SKIP_MAX_BYTES = 65536,	    /* of responses to other requests */
	KEEP_ALIVE_MS = 4000,	    /* if the peer announces no timeout */
	KEEP_ALIVE_MARGIN_MS = 700, /* closes before the peer does */
	/* A timeout is put off for this time and this often at least, to parse
	 * what was received: it takes up to three turns of the event loop, of
	 * any length. The two timers of a call are counted together. */
	PUT_OFF_MS = 50,
	PUT_OFF_COUNT = 2 * 3,
};

struct upstream {
	struct event_base *base;
	struct mem_budget *memory; /* or NULL */
	uint64_t opened;
	uint64_t last_serial;
};

struct conn {
	struct upstream *upstream;
	struct mem_holder held;
	uint64_t serial;
	struct bufferevent *bev;
	GQueue *idle;	     /* the pool of its address */
	struct event *timer; /* of connecting, or of an idle connection */
	struct input_reader *reader;
	struct upstream_call *call;
	char *tunnel_server; /* id, if the connection is through a tunnel */
	int64_t limit_ms;    /* of the request, for the tunnel */
	bool frames;	     /* the tunnel's bytes come in frames */
	size_t frame_left;   /* bytes of the present one that are not parsed */
	bool ended;	     /* the tunnel says that the server has closed */
	bool connected;
	bool parsing; /* the reader is on the stack */
	bool dead;    /* to be freed once it is not */
	bool pooled;  /* in the pool of idle connections */
	int64_t keep_alive_ms;
};

struct upstream_call {
	struct conn *conn;
	GString *head;
	GQueue pieces;	/* of the body, until the connection is established */
	bool more_body; /* it goes on */
	char *id_name;
	char *id;
	const struct upstream_handler *handler;
	void *arg;
	bool sent;
	unsigned int put_offs;	/* of a timeout, since the first */
	uint64_t skipped_bytes; /* of responses to other requests */
	bool skipping;		/* a response to another request */
	bool complete;
	bool reusable; /* the connection, after this call */
	bool framed;
	bool is_head;	     /* the method is HEAD */
	bool connect_failed; /* at once, to be reported by the timer */
};

static void conn_free(struct conn *conn)
{
	if (conn->parsing) {
		conn->dead = true;
		return;
	}
	if (conn->pooled)
		g_queue_remove(conn->idle, conn);
	mem_leave(&conn->held);
	event_free(conn->timer);
	bufferevent_free(conn->bev);
	input_reader_destroy(conn->reader);
	g_free(conn->tunnel_server);
	g_free(conn);
}

static void free_piece(gpointer p)
{
	g_bytes_unref(p);
}

/* Gives up the request that a connection carries. It is reset: what has not
 * reached the peer must not do so later. */
static void conn_abandon(struct conn *conn)
{
	sock_reset_on_close(bufferevent_getfd(conn->bev));
	conn_free(conn);
}

static void call_free(struct upstream_call *call)
{
	if (call->head != NULL)
		g_string_free(call->head, TRUE);
	g_queue_clear_full(&call->pieces, free_piece);
	g_free(call->id_name);
	g_free(call->id);
	g_free(call);
}

static void set_timer(struct conn *conn, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(conn->timer, &tv);
}

/* Ends the call of a connection; pools the connection or closes it. */
static void finish_call(struct conn *conn, enum upstream_result result,
			const char *cause)
{
	struct upstream_call *call = conn->call;
	const struct upstream_handler *handler = call->handler;
	void *arg = call->arg;
	bool reuse = result == UPSTREAM_COMPLETE && call->reusable &&
		     !conn->dead && conn->tunnel_server == NULL;

	conn->call = NULL;
	call_free(call);
	if (reuse && conn->keep_alive_ms > 0) {
		conn->pooled = true;
		bufferevent_enable(conn->bev, EV_READ);
		g_queue_push_tail(conn->idle, conn);
		set_timer(conn, conn->keep_alive_ms);
	} else if (result == UPSTREAM_COMPLETE) {
		conn_free(conn);
	} else {
		conn_abandon(conn);
	}
	handler->end(arg, result, cause);
}

/* Updates what the connection holds for headers: that of a request until it has
 * been sent, and that of a response while it is read, of which @p more bytes
 * are about to be stored. An empty list counts as nothing. */
static void note_memory(struct conn *conn, size_t more)
{
	const struct upstream_call *call = conn->call;
	size_t request = call != NULL && call->head != NULL
				 ? call->head->allocated_len
				 : 0;
	const GArray *headers = input_headers(conn->reader);
	size_t response =
		headers->len + more > 0 ? hdr_memory(headers, more) : 0;

	mem_set(&conn->held, request + response, response);
}

/* Frees the header of a response that has been read. */
static void drop_headers(struct conn *conn)
{
	input_drop_headers(conn->reader);
	note_memory(conn, 0);
}

/* Returns how long to keep an idle connection open, by the Keep-Alive header.
 */
static int64_t parse_keep_alive_ms(const GArray *headers)
{
	const char *value = hdr_get(headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	int64_t ms;

	if (timeout == NULL)
		return KEEP_ALIVE_MS;
	ms = g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000;
	if (ms > KEEP_ALIVE_MS * 4)
		ms = KEEP_ALIVE_MS * 4;
	return ms > 2 * KEEP_ALIVE_MARGIN_MS ? ms - KEEP_ALIVE_MARGIN_MS : 0;
}

/* The size of a header is limited by the reader. */
static void on_grow(void *arg, size_t len)
{
	note_memory(arg, len);
}

static bool on_head(void *arg, const struct input_head *input)
{
	struct conn *conn = arg;
	struct upstream_call *call = conn->call;
	GArray *headers = input_headers(conn->reader);
	struct upstream_head head = {.status = input->status,
				     .headers = headers,
				     .framed = input->framed};
	const char *id;

	if (call == NULL)
		return false;
	if (call->id_name != NULL) {
		id = hdr_get(headers, call->id_name);
		call->skipping = id == NULL || strcmp(id, call->id) != 0;
		if (call->skipping) {
			drop_headers(conn);
			stats_count(STATS_STRAY_RESPONSES);
			return true;
		}
	}
	conn->keep_alive_ms = parse_keep_alive_ms(headers);
	call->framed = input->framed;
	call->reusable = input->keep_alive;
	call->handler->head(call->arg, &head);
	drop_headers(conn);
	return !conn->dead;
}

static bool on_body(void *arg, const char *data, size_t len)
{
	struct conn *conn = arg;
	struct upstream_call *call = conn->call;

	if (call == NULL)
		return false;
	if (call->skipping) {
		call->skipped_bytes += len;
		return call->skipped_bytes <= SKIP_MAX_BYTES;
	}
	call->handler->body(call->arg, data, len);
	return !conn->dead;
}

static bool on_message_end(void *arg)
{
	struct conn *conn = arg;
	struct upstream_call *call = conn->call;

	if (call == NULL)
		return false;
	call->complete = !call->skipping;
	return call->skipping;
}

static const struct input_handler response_handler = {
	.grow = on_grow,
	.head = on_head,
	.body = on_body,
	.end = on_message_end,
};

/* Reads bytes of a response, or its end if @p data is NULL. Returns false if
 * the connection was freed. */
static bool parse(struct conn *conn, const char *data, size_t len,
		  size_t *parsed, enum input_result *result)
{
	conn->parsing = true;
	*result = data != NULL ? input_read(conn->reader, data, len, parsed)
			       : input_end(conn->reader);
	conn->parsing = false;
	if (!conn->dead)
		return true;
	conn_free(conn);
	return false;
}

static void on_tunnel_reply(struct conn *conn);
static void on_eof(struct conn *conn, bool in_order);

/* How many of the received bytes are the server's, up to the end of a frame. */
static size_t count_readable(struct conn *conn, struct evbuffer *in)
{
	int len;

	if (!conn->frames)
		return evbuffer_get_length(in);
	if (conn->frame_left == 0 && !conn->ended) {
		len = tunnel_read_frame(in);
		conn->ended = len == 0;
		conn->frame_left = (size_t)MAX(len, 0);
	}
	return MIN(conn->frame_left, evbuffer_get_length(in));
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len;

	if (conn->call == NULL) {
		conn_free(conn);
		return;
	}
	if (!conn->connected) {
		on_tunnel_reply(conn);
		return;
	}
	while ((len = count_readable(conn, in)) > 0) {
		struct evbuffer_iovec chunk;
		struct upstream_call *call;
		enum input_result result;
		size_t parsed;

		evbuffer_peek(in, -1, NULL, &chunk, 1);
		if (!parse(conn, chunk.iov_base, MIN(chunk.iov_len, len),
			   &parsed, &result))
			return;
		call = conn->call;
		if (call->complete) {
			evbuffer_drain(in, parsed);
			/* Bytes after a response belong to no request. */
			if (evbuffer_get_length(in) > 0 || call->more_body ||
			    evbuffer_get_length(bufferevent_get_output(bev)))
				call->reusable = false;
			finish_call(conn, UPSTREAM_COMPLETE, "");
			return;
		}
		if (result != INPUT_MORE) {
			finish_call(conn, UPSTREAM_INTERRUPTED,
				    "answer is not HTTP");
			return;
		}
		evbuffer_drain(in, parsed);
		if (conn->frames)
			conn->frame_left -= parsed;
	}
	if (conn->ended)
		on_eof(conn, true);
}

static void release_piece(const void *data, size_t len, void *piece)
{
	(void)data;
	(void)len;
	g_bytes_unref(piece);
}

/* Writes a piece of a body, and takes over the reference. */
static void write_piece(struct conn *conn, GBytes *piece)
{
	gsize len;
	const void *data = g_bytes_get_data(piece, &len);

	evbuffer_add_reference(bufferevent_get_output(conn->bev), data, len,
			       release_piece, piece);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	struct conn *conn = arg;
	struct upstream_call *call = conn->call;

	(void)bev;
	if (call != NULL && call->sent && call->more_body)
		call->handler->writable(call->arg);
}

static void send_request(struct conn *conn)
{
	struct upstream_call *call = conn->call;
	GBytes *piece;

	call->sent = true;
	bufferevent_write(conn->bev, call->head->str, call->head->len);
	g_string_free(call->head, TRUE);
	call->head = NULL;
	note_memory(conn, 0);
	while ((piece = g_queue_pop_head(&call->pieces)) != NULL)
		write_piece(conn, piece);
	input_start(conn->reader, call->is_head);
}

/* The connection to the server is established. */
static void on_connected(struct conn *conn)
{
	conn->connected = true;
	event_del(conn->timer);
	if (conn->call->handler->connected != NULL)
		conn->call->handler->connected(conn->call->arg);
	send_request(conn);
}

static void on_tunnel_reply(struct conn *conn)
{
	switch (tunnel_read_reply(bufferevent_get_input(conn->bev))) {
	case TUNNEL_CONNECTED_FRAMES:
		conn->frames = true;
		on_connected(conn);
		break;
	case TUNNEL_CONNECTED:
		on_connected(conn);
		break;
	case TUNNEL_NOT_CONNECTED:
		finish_call(conn, UPSTREAM_NOT_SENT, "connect by tunnel");
		break;
	case TUNNEL_REPLY_INVALID:
		finish_call(conn, UPSTREAM_NO_TUNNEL, "tunnel reply");
		break;
	case TUNNEL_REPLY_INCOMPLETE:
		break;
	}
}

/* The socket is connected, to the server or to the instance of the tunnel. */
static void on_socket_connected(struct conn *conn)
{
	conn->upstream->opened++;
	sock_set_options(bufferevent_getfd(conn->bev));
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	if (conn->tunnel_server != NULL)
		tunnel_write_open(bufferevent_get_output(conn->bev),
				  conn->tunnel_server, conn->limit_ms);
	else
		on_connected(conn);
}

/* How a call ends whose connection was not established. */
static enum upstream_result unconnected_result(const struct conn *conn)
{
	return conn->tunnel_server != NULL ? UPSTREAM_NO_TUNNEL
					   : UPSTREAM_NOT_SENT;
}

/* Whether the whole request has been sent. */
static bool is_sent(const struct conn *conn)
{
	return conn->call->sent && !conn->call->more_body &&
	       evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0;
}

/* The peer closed the connection, which ends a response without a length if it
 * did so @p in_order. */
static void on_eof(struct conn *conn, bool in_order)
{
	enum input_result result;
	size_t parsed;

	if (conn->call->sent && !parse(conn, NULL, 0, &parsed, &result))
		return;
	conn->call->reusable = false;
	/* The end of a tunnel is not the end of a response without a length,
	 * unless that is said: the instance in between may have been killed.
	 * Nor is the end of a server that has not read its request. */
	if (conn->call->complete &&
	    (conn->call->framed ||
	     (is_sent(conn) && (conn->tunnel_server ? conn->ended : in_order))))
		finish_call(conn, UPSTREAM_COMPLETE, "");
	else
		finish_call(conn, UPSTREAM_INTERRUPTED,
			    "closed before the answer's end");
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *conn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		on_socket_connected(conn);
		return;
	}
	if (conn->call == NULL) {
		conn_free(conn);
		return;
	}
	if (!conn->connected)
		finish_call(conn, unconnected_result(conn), "connect");
	else if (what & BEV_EVENT_EOF)
		on_eof(conn, sock_ended_in_order(bev, what));
	else
		finish_call(conn, UPSTREAM_INTERRUPTED, "connection reset");
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conn *conn = arg;

	(void)fd;
	(void)what;
	if (conn->call == NULL)
		conn_free(conn);
	else if (!conn->connected || conn->call->connect_failed)
		finish_call(conn, unconnected_result(conn),
			    "connect timed out");
}

/* There is no memory for the response's header. */
static void on_break_off(struct mem_holder *holder)
{
	struct conn *conn = caa_container_of(holder, struct conn, held);

	if (conn->call != NULL)
		finish_call(conn, UPSTREAM_INTERRUPTED, "out of memory");
}

static const struct mem_ops conn_memory = {NULL, on_break_off,
					   "response header"};

struct upstream *upstream_create(struct event_base *base)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->base = base;
	return upstream;
}

void upstream_destroy(struct upstream *upstream)
{
	g_free(upstream);
}

void upstream_set_memory(struct upstream *upstream, struct mem_budget *memory)
{
	upstream->memory = memory;
}

uint64_t upstream_opened_total(const struct upstream *upstream)
{
	return upstream->opened;
}

static struct conn *conn_create(struct upstream *upstream,
				const struct upstream_request *request)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->upstream = upstream;
	conn->serial = ++upstream->last_serial;
	conn->idle = request->idle;
	if (request->tunnel != NULL)
		conn->tunnel_server = g_strdup(request->server);
	conn->limit_ms = request->limit_ms;
	conn->reader = input_reader_create(&response_handler, conn);
	mem_join(&conn->held, upstream->memory, &conn_memory);
	conn->timer = evtimer_new(upstream->base, on_timer, conn);
	conn->bev = bufferevent_socket_new(upstream->base, -1,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_read, on_written, on_event, conn);
	return conn;
}

static bool is_used(const struct conn *conn, const GArray *used_conns)
{
	for (guint i = 0; used_conns != NULL && i < used_conns->len; i++) {
		if (g_array_index(used_conns, uint64_t, i) == conn->serial)
			return true;
	}
	return false;
}

/*
 * Takes a connection from a pool, or returns NULL. One that its peer has closed
 * or sent anything on is freed: the event loop may not have run its callbacks.
 */
static struct conn *take_idle(const struct upstream_request *request)
{
	GList *link = request->idle->tail;
	struct conn *used = NULL;

	while (link != NULL) {
		struct conn *conn = link->data;
		GList *next = link->prev;

		if (is_used(conn, request->used_conns)) {
			used = conn;
		} else if (input_is_quiet(conn->bev)) {
			g_queue_delete_link(request->idle, link);
			conn->pooled = false;
			event_del(conn->timer);
			return conn;
		} else {
			conn_free(conn);
		}
		link = next;
	}
	/* A server accepts a limited number of connections: the one that will
	 * be opened replaces this one. */
	if (used != NULL)
		conn_free(used);
	return NULL;
}

static void conn_open(struct conn *conn, const struct upstream_request *request)
{
	if (!sock_connect(conn->bev, request->tunnel ? request->tunnel
						     : request->address)) {
		conn->call->connect_failed = true;
		set_timer(conn, 0);
		return;
	}
	set_timer(conn, request->connect_timeout_ms);
}

struct upstream_call *upstream_send(struct upstream *upstream,
				    const struct upstream_request *request,
				    const struct upstream_handler *handler,
				    void *arg)
{
	struct upstream_call *call = g_new0(struct upstream_call, 1);
	struct conn *conn = request->tunnel ? NULL : take_idle(request);

	call->head = request->head;
	call->is_head = g_str_has_prefix(request->head->str, "HEAD ");
	g_queue_init(&call->pieces);
	if (request->body != NULL)
		g_queue_push_tail(&call->pieces, g_bytes_ref(request->body));
	call->more_body = request->more_body;
	call->id_name = g_strdup(request->id_name);
	call->id = g_strdup(request->id);
	call->handler = handler;
	call->arg = arg;
	if (conn == NULL)
		conn = conn_create(upstream, request);
	conn->call = call;
	call->conn = conn;
	if (request->used_conns != NULL)
		g_array_append_val(request->used_conns, conn->serial);
	note_memory(conn, 0);
	if (conn->connected)
		send_request(conn);
	else
		conn_open(conn, request);
	return call;
}

void upstream_write(struct upstream_call *call, GBytes *piece, bool last)
{
	call->more_body = !last;
	if (call->sent)
		write_piece(call->conn, g_bytes_ref(piece));
	else
		g_queue_push_tail(&call->pieces, g_bytes_ref(piece));
}

size_t upstream_unsent(const struct upstream_call *call)
{
	size_t len = 0;

	if (call->sent)
		return evbuffer_get_length(
			bufferevent_get_output(call->conn->bev));
	for (const GList *i = call->pieces.head; i != NULL; i = i->next)
		len += g_bytes_get_size(i->data);
	return len;
}

void upstream_cancel(struct upstream_call *call)
{
	struct conn *conn = call->conn;

	conn->call = NULL;
	call_free(call);
	conn_abandon(conn);
}

static bool may_put_off(struct upstream_call *call, int64_t *until_ms)
{
	int64_t now_ms = clock_boot_ms();

	if (*until_ms == 0) {
		*until_ms = now_ms + PUT_OFF_MS;
		call->put_offs = 0;
	}
	if (now_ms >= *until_ms && call->put_offs >= PUT_OFF_COUNT)
		return false;
	call->put_offs++;
	return true;
}

bool upstream_put_off(struct upstream_call *call, struct event *timer,
		      int64_t *until_ms)
{
	const struct conn *conn = call->conn;
	struct timeval tv = clock_timeval(1);

	if (!conn->connected || !input_is_pending(conn->bev) ||
	    !may_put_off(call, until_ms))
		return false;
	event_add(timer, &tv);
	return true;
}

void upstream_set_reading(struct upstream_call *call, bool reading)
{
	if (!call->conn->connected)
		return;
	if (reading)
		bufferevent_enable(call->conn->bev, EV_READ);
	else
		bufferevent_disable(call->conn->bev, EV_READ);
}

void upstream_close_idle(GQueue *idle)
{
	struct conn *conn;

	while ((conn = g_queue_pop_tail(idle)) != NULL) {
		conn->pooled = false;
		conn_free(conn);
	}
}
