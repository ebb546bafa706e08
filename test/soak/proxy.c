/** @file proxy.c @brief Fault-injecting TCP proxy. */
#include <stdbool.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "proxy.h"
#include "serve/clock.h"
#include "serve/sock.h"

enum {
	DELAY_MS = 150,
};

struct proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	char *target;
	enum proxy_mode mode;
	GPtrArray *pairs; /* of struct pair */
};

/* A connection from a client and the one to the target. */
struct pair {
	struct proxy *proxy;
	struct bufferevent *ends[2]; /* client, target */
	struct event *timer;
	bool has_gap; /* has dropped bytes: forwards nothing more */
	bool ended;   /* the target has closed in order, and all was read */
};

static void free_pair(gpointer p)
{
	struct pair *pair = p;

	/* An orderly end would complete a response without a length. */
	if (!pair->ended) {
		sock_reset_on_close(bufferevent_getfd(pair->ends[0]));
		sock_reset_on_close(bufferevent_getfd(pair->ends[1]));
	}
	bufferevent_free(pair->ends[0]);
	bufferevent_free(pair->ends[1]);
	event_free(pair->timer);
	g_free(pair);
}

static void forward(struct pair *pair)
{
	for (int i = 0; i < 2; i++)
		evbuffer_add_buffer(bufferevent_get_output(pair->ends[1 - i]),
				    bufferevent_get_input(pair->ends[i]));
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pair *pair = arg;

	(void)fd;
	(void)what;
	if (!pair->has_gap)
		forward(pair);
}

static void discard_input(struct bufferevent *end)
{
	struct evbuffer *input = bufferevent_get_input(end);

	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_read(struct bufferevent *end, void *arg)
{
	struct pair *pair = arg;
	enum proxy_mode mode = pair->proxy->mode;
	struct timeval tv = clock_timeval(DELAY_MS);

	if (mode == PROXY_BLACKHOLE ||
	    (mode == PROXY_DROP_REPLIES && end == pair->ends[1]))
		pair->has_gap = true;
	if (pair->has_gap)
		discard_input(end);
	else if (mode == PROXY_DELAY)
		event_add(pair->timer, &tv);
	else
		forward(pair);
}

/* The client has received all that was written to it. */
static void on_written(struct bufferevent *end, void *arg)
{
	struct pair *pair = arg;

	if (pair->ended && end == pair->ends[0])
		g_ptr_array_remove_fast(pair->proxy->pairs, pair);
}

static void on_event(struct bufferevent *end, short what, void *arg)
{
	struct pair *pair = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (what & BEV_EVENT_EOF && end == pair->ends[1] && !pair->has_gap &&
	    !pair->ended) {
		pair->ended = true;
		forward(pair);
		if (evbuffer_get_length(bufferevent_get_output(pair->ends[0])) >
		    0)
			return;
	}
	g_ptr_array_remove_fast(pair->proxy->pairs, pair);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct proxy *proxy = arg;
	struct sockaddr_storage target_addr;
	int addr_len = sizeof(target_addr);
	struct pair *pair;

	(void)listener;
	(void)addr;
	(void)len;
	if (proxy->mode == PROXY_RESET ||
	    evutil_parse_sockaddr_port(proxy->target,
				       (struct sockaddr *)&target_addr,
				       &addr_len) != 0) {
		evutil_closesocket(fd);
		return;
	}
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->timer = evtimer_new(proxy->base, on_timer, pair);
	pair->ends[0] =
		bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->ends[1] =
		bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(proxy->pairs, pair);
	for (int i = 0; i < 2; i++) {
		bufferevent_setcb(pair->ends[i], on_read, on_written, on_event,
				  pair);
		bufferevent_enable(pair->ends[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect(pair->ends[1],
				   (struct sockaddr *)&target_addr, addr_len);
}

struct proxy *proxy_create(struct event_base *base, const char *address,
			   const char *target)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	struct proxy *proxy;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) != 0)
		return NULL;
	proxy = g_new0(struct proxy, 1);
	proxy->base = base;
	proxy->target = g_strdup(target);
	proxy->pairs = g_ptr_array_new_with_free_func(free_pair);
	proxy->listener = evconnlistener_new_bind(
		base, on_accept, proxy,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&addr, len);
	if (proxy->listener == NULL) {
		proxy_destroy(proxy);
		return NULL;
	}
	return proxy;
}

void proxy_destroy(struct proxy *proxy)
{
	if (proxy == NULL)
		return;
	if (proxy->listener != NULL)
		evconnlistener_free(proxy->listener);
	g_ptr_array_free(proxy->pairs, TRUE);
	g_free(proxy->target);
	g_free(proxy);
}

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	proxy->mode = mode;
	if (mode == PROXY_RESET)
		proxy_cut(proxy);
}

void proxy_cut(struct proxy *proxy)
{
	g_ptr_array_set_size(proxy->pairs, 0);
}
