/** @file raw.c @brief A server and a caller that write and read raw bytes. */
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "raw.h"

#define HEAD_END "\r\n\r\n"

enum { STEP_MS = 2 };

struct raw_server {
	struct event_base *base;
	struct evconnlistener *listener;
	GHashTable *conns; /* set of struct raw_conn */
	struct raw_answer answer;
	guint received;
	guint closed;
	guint reset;
};

struct raw_conn {
	struct raw_server *server;
	struct bufferevent *bev;
	struct event *timer;
	char *id;	    /* of the request; NULL: its header has not come */
	size_t request_len; /* with the body */
	bool answered;
};

static void conn_free(gpointer p)
{
	struct raw_conn *conn = p;

	event_free(conn->timer);
	bufferevent_free(conn->bev);
	g_free(conn->id);
	g_free(conn);
}

static void conn_close(struct raw_conn *conn)
{
	g_hash_table_remove(conn->server->conns, conn);
}

static void on_end_timer(evutil_socket_t fd, short what, void *arg)
{
	struct raw_conn *conn = arg;
	struct linger linger = {.l_onoff = 1};

	(void)fd;
	(void)what;
	if (conn->server->answer.end == RAW_RESET)
		(void)setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET,
				 SO_LINGER, &linger, sizeof(linger));
	conn_close(conn);
}

/* Returns the value of a header field in a request's bytes, up to its line's
 * end; g_free() it. */
static char *find_field(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	if (at == NULL)
		return g_strdup("");
	at += strlen(name) + strspn(at + strlen(name), ": ");
	return g_strndup(at, strcspn(at, "\r\n"));
}

static void answer(struct raw_conn *conn)
{
	const struct raw_answer *answer = &conn->server->answer;
	char **parts = g_strsplit(answer->bytes, "%ID%", -1);
	char *bytes = g_strjoinv(conn->id, parts);
	struct timeval tv = {.tv_usec = answer->end_ms * 1000};

	conn->answered = true;
	/* At once, so that a reset does not overtake it. */
	(void)!send(bufferevent_getfd(conn->bev), bytes, strlen(bytes),
		    MSG_NOSIGNAL);
	if (!answer->reads)
		bufferevent_disable(conn->bev, EV_READ);
	if (answer->end != RAW_KEEP)
		event_add(conn->timer, &tv);
	g_free(bytes);
	g_strfreev(parts);
}

/* Reads the header of a request; returns false if it is incomplete. */
static bool read_head(struct raw_conn *conn, struct evbuffer *in)
{
	struct evbuffer_ptr end =
		evbuffer_search(in, HEAD_END, strlen(HEAD_END), NULL);
	size_t len = (size_t)end.pos + strlen(HEAD_END);
	char *body_len;
	char *head;

	if (end.pos < 0)
		return false;
	head = g_strndup((char *)evbuffer_pullup(in, (ev_ssize_t)len), len);
	body_len = find_field(head, "Content-Length");
	conn->id = find_field(head, "Request-Id");
	conn->request_len = len + g_ascii_strtoull(body_len, NULL, 10);
	conn->server->received++;
	g_free(body_len);
	g_free(head);
	return true;
}

static void on_request(struct bufferevent *bev, void *arg)
{
	struct raw_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->answered || (conn->id == NULL && !read_head(conn, in)))
		return;
	if (!conn->server->answer.reads ||
	    evbuffer_get_length(in) >= conn->request_len)
		answer(conn);
}

static void on_conn_event(struct bufferevent *bev, short what, void *arg)
{
	struct raw_conn *conn = arg;

	(void)bev;
	if (what & BEV_EVENT_ERROR)
		conn->server->reset++;
	else if (what & BEV_EVENT_EOF)
		conn->server->closed++;
	else
		return;
	conn_close(conn);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct raw_server *server = arg;
	struct raw_conn *conn = g_new0(struct raw_conn, 1);

	(void)listener;
	(void)addr;
	(void)len;
	conn->server = server;
	conn->bev =
		bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->timer = evtimer_new(server->base, on_end_timer, conn);
	bufferevent_setcb(conn->bev, on_request, NULL, on_conn_event, conn);
	bufferevent_enable(conn->bev, EV_READ);
	g_hash_table_add(server->conns, conn);
}

struct raw_server *raw_server_create(struct event_base *base,
				     const char *address)
{
	struct raw_server *server = g_new0(struct raw_server, 1);
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	server->base = base;
	server->conns = g_hash_table_new_full(NULL, NULL, conn_free, NULL);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) == 0)
		server->listener = evconnlistener_new_bind(
			base, on_accept, server,
			LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
			(struct sockaddr *)&addr, len);
	if (server->listener != NULL)
		return server;
	raw_server_destroy(server);
	return NULL;
}

void raw_server_destroy(struct raw_server *server)
{
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	g_hash_table_destroy(server->conns);
	g_free(server);
}

void raw_server_set(struct raw_server *server, const struct raw_answer *answer)
{
	server->answer = *answer;
	g_hash_table_remove_all(server->conns);
}

guint raw_server_received(const struct raw_server *server)
{
	return server->received;
}

guint raw_server_ended(const struct raw_server *server, bool reset)
{
	return reset ? server->reset : server->closed;
}

static void on_response(struct bufferevent *bev, void *arg)
{
	struct raw_response *response = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);

	g_string_append_len(response->bytes, (char *)evbuffer_pullup(in, -1),
			    (gssize)len);
	evbuffer_drain(in, len);
}

static void on_response_event(struct bufferevent *bev, short what, void *arg)
{
	struct raw_response *response = arg;

	(void)bev;
	if (what & BEV_EVENT_ERROR)
		response->reset = true;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		response->ended = true;
}

static void run_ms(struct event_base *base, int ms)
{
	struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

void raw_request(struct event_base *base, const char *address,
		 const GString *request, int ms, struct raw_response *response)
{
	struct bufferevent *bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	response->bytes = g_string_new(NULL);
	response->ended = false;
	response->reset = false;
	bufferevent_setcb(bev, on_response, NULL, on_response_event, response);
	evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr, &len);
	bufferevent_socket_connect(bev, (struct sockaddr *)&addr, len);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_write(bev, request->str, request->len);
	for (int i = 0; i < ms && !response->ended; i += STEP_MS) {
		run_ms(base, STEP_MS);
		if (raw_is_complete(response, NULL))
			break;
	}
	bufferevent_free(bev);
}

void raw_response_clear(struct raw_response *response)
{
	g_string_free(response->bytes, TRUE);
}

/* Reads chunks; returns whether the last one has come. */
static bool read_chunks(const char *at, GString *body)
{
	char *end;
	guint64 len;

	for (;;) {
		len = g_ascii_strtoull(at, &end, 16);
		if (end == at || !g_str_has_prefix(end, "\r\n"))
			return false;
		at = end + 2;
		if (len == 0)
			return g_str_has_prefix(at, "\r\n");
		if (strlen(at) < len + 2)
			return false;
		if (body != NULL)
			g_string_append_len(body, at, (gssize)len);
		at += len + 2;
	}
}

bool raw_is_complete(const struct raw_response *response, GString *body)
{
	const char *bytes = response->bytes->str;
	const char *head_end = strstr(bytes, HEAD_END);
	char *head;
	char *len;
	bool complete;

	if (head_end == NULL)
		return false;
	head = g_ascii_strdown(bytes, head_end + 2 - bytes);
	head_end += 4;
	len = find_field(head, "content-length");
	if (strstr(head, "\r\ntransfer-encoding: chunked\r\n") != NULL) {
		complete = read_chunks(head_end, body);
	} else if (*len != '\0') {
		complete = strlen(head_end) >= g_ascii_strtoull(len, NULL, 10);
		if (body != NULL)
			g_string_append(body, head_end);
	} else {
		complete = response->ended && !response->reset;
		if (body != NULL)
			g_string_append(body, head_end);
	}
	g_free(len);
	g_free(head);
	return complete;
}
