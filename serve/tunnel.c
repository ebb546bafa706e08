/** @file tunnel.c @brief Carries connections to servers for other instances. */
#include <arpa/inet.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "clock.h"
#include "memory.h"
#include "proto/message.h"
#include "proto/rows.pb-c.h"
#include "slog.h"
#include "sock.h"
#include "stats.h"
#include "tunnel.h"

enum {
	MESSAGE_MAX_BYTES = 512,
	OPEN_TIMEOUT_MS = 500,	  /* until the first message is complete */
	CONNECT_TIMEOUT_MS = 250, /* as for connections of our own */
	TUNNELS_MAX = 512,	  /* each needs two descriptors */
	END_TIMEOUT_MS = 5000, /* to pass on what a side sent before its end */
	/* A side that does not read stops the other one. */
	BUFFER_MAX_BYTES = 131072,
};

struct tunnels {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct fleet *fleet;
	struct mem_budget *memory; /* or NULL */
	GHashTable *all;	   /* set of struct tunnel */
	int64_t end_at_ms;	   /* of this instance; 0: not known */
	void (*take_copies)(void *arg, struct bufferevent *bev); /* or NULL */
	void *take_copies_arg;
};

struct tunnel {
	struct tunnels *tunnels;
	struct mem_holder held;
	struct bufferevent *instance; /* the side that asked */
	struct bufferevent *server;   /* NULL until it is asked for */
	struct event *timer;	      /* until the server is connected */
	char *server_id;
	bool connected;
	bool frames; /* of what the server sends */
	bool ending; /* one side has ended; the other gets what is left */
};

/* Returns the message at the start of @p in, or NULL; @p invalid: it can't be
 * one. g_free() the result. */
static uint8_t *read_message(struct evbuffer *in, size_t *len, bool *invalid)
{
	uint16_t prefix;
	uint8_t *message;

	*invalid = false;
	if (evbuffer_copyout(in, &prefix, sizeof(prefix)) < 2)
		return NULL;
	*len = ntohs(prefix);
	*invalid = *len > MESSAGE_MAX_BYTES;
	if (*invalid || evbuffer_get_length(in) < sizeof(prefix) + *len)
		return NULL;
	message = g_malloc(*len + 1);
	evbuffer_drain(in, sizeof(prefix));
	evbuffer_remove(in, message, *len);
	return message;
}

static void write_message(struct evbuffer *out, const ProtobufCMessage *message)
{
	size_t len;
	uint8_t *packed = msg_pack(message, &len);
	uint16_t prefix = htons((uint16_t)len);

	evbuffer_add(out, &prefix, sizeof(prefix));
	evbuffer_add(out, packed, len);
	g_free(packed);
}

void tunnel_write_open(struct evbuffer *out, const char *server,
		       int64_t limit_ms)
{
	Rows__TunnelOpen message = ROWS__TUNNEL_OPEN__INIT;

	message.server = (char *)server;
	message.has_frames = true;
	message.frames = true;
	message.has_limit_ms = true;
	message.limit_ms = (uint32_t)CLAMP(limit_ms, 0, G_MAXUINT32);
	write_message(out, &message.base);
}

void tunnel_write_open_copies(struct evbuffer *out)
{
	Rows__TunnelOpen message = ROWS__TUNNEL_OPEN__INIT;

	message.server = (char *)"";
	message.has_copies = true;
	message.copies = true;
	write_message(out, &message.base);
}

enum tunnel_reply tunnel_read_reply(struct evbuffer *in)
{
	enum tunnel_reply reply = TUNNEL_REPLY_INVALID;
	Rows__TunnelReply *message;
	bool invalid;
	size_t len;
	uint8_t *packed = read_message(in, &len, &invalid);

	if (packed == NULL)
		return invalid ? TUNNEL_REPLY_INVALID : TUNNEL_REPLY_INCOMPLETE;
	message = rows__tunnel_reply__unpack(NULL, len, packed);
	if (message != NULL)
		reply = !message->connected ? TUNNEL_NOT_CONNECTED
			: message->frames   ? TUNNEL_CONNECTED_FRAMES
					    : TUNNEL_CONNECTED;
	rows__tunnel_reply__free_unpacked(message, NULL);
	g_free(packed);
	return reply;
}

int tunnel_read_frame(struct evbuffer *in)
{
	uint16_t len;

	if (evbuffer_get_length(in) < sizeof(len))
		return -1;
	evbuffer_remove(in, &len, sizeof(len));
	return ntohs(len);
}

/* Moves all of @p from to @p to, in frames; an empty one if @p ended. */
static void write_frames(struct evbuffer *to, struct evbuffer *from, bool ended)
{
	uint16_t prefix = 0;
	size_t len;

	while ((len = evbuffer_get_length(from)) > 0) {
		len = MIN(len, UINT16_MAX);
		prefix = htons((uint16_t)len);
		evbuffer_add(to, &prefix, sizeof(prefix));
		evbuffer_remove_buffer(from, to, len);
	}
	prefix = 0;
	if (ended)
		evbuffer_add(to, &prefix, sizeof(prefix));
}

static void tunnel_free(struct tunnel *tunnel)
{
	g_hash_table_remove(tunnel->tunnels->all, tunnel);
	mem_leave(&tunnel->held);
	event_free(tunnel->timer);
	if (tunnel->instance != NULL)
		bufferevent_free(tunnel->instance);
	if (tunnel->server != NULL)
		bufferevent_free(tunnel->server);
	g_free(tunnel->server_id);
	g_free(tunnel);
}

static void set_timer(struct tunnel *tunnel, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(tunnel->timer, &tv);
}

static struct bufferevent *other_side(const struct tunnel *tunnel,
				      const struct bufferevent *side)
{
	return side == tunnel->server ? tunnel->instance : tunnel->server;
}

static size_t count_unsent(struct bufferevent *side)
{
	return evbuffer_get_length(bufferevent_get_output(side));
}

static void note_memory(struct tunnel *tunnel)
{
	size_t unsent = count_unsent(tunnel->instance) +
			(tunnel->server ? count_unsent(tunnel->server) : 0);

	mem_set(&tunnel->held, unsent, unsent);
}

static void on_break_off(struct mem_holder *holder)
{
	tunnel_free(caa_container_of(holder, struct tunnel, held));
}

static const struct mem_ops tunnel_memory = {NULL, on_break_off, "tunnel"};

/* Passes on what one side has sent. */
static void on_bytes(struct bufferevent *from, void *arg)
{
	struct tunnel *tunnel = arg;
	struct bufferevent *to = other_side(tunnel, from);

	if (to == NULL || !tunnel->connected)
		return;
	if (tunnel->frames && from == tunnel->server)
		write_frames(bufferevent_get_output(to),
			     bufferevent_get_input(from), false);
	else
		bufferevent_write_buffer(to, bufferevent_get_input(from));
	if (evbuffer_get_length(bufferevent_get_output(to)) > BUFFER_MAX_BYTES)
		bufferevent_disable(from, EV_READ);
	note_memory(tunnel);
}

/* A side has received all that was written to it. */
static void on_drained(struct bufferevent *side, void *arg)
{
	struct tunnel *tunnel = arg;
	struct bufferevent *from = other_side(tunnel, side);

	note_memory(tunnel);
	if (tunnel->ending)
		tunnel_free(tunnel);
	else if (from != NULL && tunnel->connected)
		bufferevent_enable(from, EV_READ);
}

/* Tells the instance that its server was not reached, and ends. */
static void refuse(struct tunnel *tunnel)
{
	Rows__TunnelReply reply = ROWS__TUNNEL_REPLY__INIT;

	slog("tunnel", NULL, "\"server\":%s,\"connected\":false",
	     slog_quote(tunnel->server_id));
	reply.connected = false;
	tunnel->ending = true;
	set_timer(tunnel, END_TIMEOUT_MS);
	write_message(bufferevent_get_output(tunnel->instance), &reply.base);
}

static void on_server_connected(struct tunnel *tunnel)
{
	Rows__TunnelReply reply = ROWS__TUNNEL_REPLY__INIT;

	event_del(tunnel->timer);
	sock_set_options(bufferevent_getfd(tunnel->server));
	stats_count(STATS_TUNNELS);
	tunnel->connected = true;
	reply.connected = true;
	reply.has_frames = true;
	reply.frames = tunnel->frames;
	write_message(bufferevent_get_output(tunnel->instance), &reply.base);
	bufferevent_enable(tunnel->server, EV_READ | EV_WRITE);
	bufferevent_enable(tunnel->instance, EV_READ | EV_WRITE);
	on_bytes(tunnel->instance, tunnel);
}

static void on_event(struct bufferevent *side, short what, void *arg)
{
	struct tunnel *tunnel = arg;
	struct bufferevent *to = other_side(tunnel, side);

	if (side == tunnel->server && !tunnel->connected) {
		if (tunnel->ending)
			return;
		if (what & BEV_EVENT_CONNECTED)
			on_server_connected(tunnel);
		else
			refuse(tunnel);
		return;
	}
	if (what & BEV_EVENT_EOF && tunnel->connected && !tunnel->ending &&
	    side == tunnel->server) {
		on_bytes(side, tunnel);
		/* Without the last frame the response may have been cut. */
		if (tunnel->frames && sock_ended_in_order(side, what) &&
		    count_unsent(side) == 0)
			write_frames(bufferevent_get_output(to),
				     bufferevent_get_input(side), true);
		tunnel->ending = true;
		set_timer(tunnel, END_TIMEOUT_MS);
		if (evbuffer_get_length(bufferevent_get_output(to)) > 0)
			return;
	} else if (to != NULL &&
		   (side == tunnel->instance || what & BEV_EVENT_ERROR)) {
		/* An instance ends a connection only if it gives up what that
		 * carries. */
		sock_reset_on_close(bufferevent_getfd(to));
	}
	tunnel_free(tunnel);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct tunnel *tunnel = arg;

	(void)fd;
	(void)what;
	if (tunnel->server == NULL || tunnel->ending)
		tunnel_free(tunnel);
	else
		refuse(tunnel);
}

static void connect_server(struct tunnel *tunnel, const char *address)
{
	tunnel->server = bufferevent_socket_new(
		tunnel->tunnels->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(tunnel->server, on_bytes, on_drained, on_event,
			  tunnel);
	set_timer(tunnel, CONNECT_TIMEOUT_MS);
	if (!sock_connect(tunnel->server, address))
		refuse(tunnel);
}

/* Hands the connection over to those who take copies of streams. */
static void hand_over(struct tunnel *tunnel)
{
	struct tunnels *tunnels = tunnel->tunnels;
	struct bufferevent *bev = g_steal_pointer(&tunnel->instance);
	Rows__TunnelReply reply = ROWS__TUNNEL_REPLY__INIT;

	reply.connected = true;
	write_message(bufferevent_get_output(bev), &reply.base);
	tunnel_free(tunnel);
	tunnels->take_copies(tunnels->take_copies_arg, bev);
}

/* Whether what an instance asks for ends before this one does. Requests of an
 * earlier build may take any time. */
static bool ends_in_time(const struct tunnels *tunnels,
			 const Rows__TunnelOpen *message)
{
	if (tunnels->end_at_ms == 0)
		return true;
	return message->has_limit_ms &&
	       clock_boot_ms() + message->limit_ms <= tunnels->end_at_ms;
}

/* Reads which server the instance asks for. */
static void on_open(struct bufferevent *bev, void *arg)
{
	struct tunnel *tunnel = arg;
	const struct fleet_server *server;
	Rows__TunnelOpen *message;
	bool for_copies;
	bool in_time;
	bool invalid;
	size_t len;
	uint8_t *packed;

	if (tunnel->server_id != NULL) {
		on_bytes(bev, tunnel);
		return;
	}
	packed = read_message(bufferevent_get_input(bev), &len, &invalid);
	if (packed == NULL && !invalid)
		return;
	message = packed ? rows__tunnel_open__unpack(NULL, len, packed) : NULL;
	g_free(packed);
	if (message == NULL) {
		slog("peer_fault", NULL, "\"step\":\"tunnel\"");
		tunnel_free(tunnel);
		return;
	}
	tunnel->server_id = g_strdup(message->server);
	tunnel->frames = message->frames;
	in_time = ends_in_time(tunnel->tunnels, message);
	for_copies = message->copies && tunnel->tunnels->take_copies != NULL;
	rows__tunnel_open__free_unpacked(message, NULL);
	if (for_copies) {
		hand_over(tunnel);
		return;
	}
	server = fleet_find(tunnel->tunnels->fleet, tunnel->server_id);
	if (server != NULL && !server->going_away && in_time)
		connect_server(tunnel, server->address);
	else
		refuse(tunnel);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct tunnels *tunnels = arg;
	struct tunnel *tunnel;

	(void)listener;
	(void)addr;
	(void)len;
	if (g_hash_table_size(tunnels->all) >= TUNNELS_MAX) {
		evutil_closesocket(fd);
		return;
	}
	sock_set_options(fd);
	tunnel = g_new0(struct tunnel, 1);
	tunnel->tunnels = tunnels;
	tunnel->timer = evtimer_new(tunnels->base, on_timeout, tunnel);
	tunnel->instance = bufferevent_socket_new(
		tunnels->base, fd,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(tunnel->instance, on_open, on_drained, on_event,
			  tunnel);
	bufferevent_enable(tunnel->instance, EV_READ | EV_WRITE);
	set_timer(tunnel, OPEN_TIMEOUT_MS);
	mem_join(&tunnel->held, tunnels->memory, &tunnel_memory);
	g_hash_table_add(tunnels->all, tunnel);
}

struct tunnels *tunnels_create(struct event_base *base, const char *address,
			       const struct fleet *fleet)
{
	struct tunnels *tunnels = g_new0(struct tunnels, 1);
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	tunnels->base = base;
	tunnels->fleet = fleet;
	tunnels->all = g_hash_table_new(g_direct_hash, g_direct_equal);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) == 0)
		tunnels->listener = evconnlistener_new_bind(
			base, on_accept, tunnels,
			LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
			(struct sockaddr *)&addr, len);
	if (tunnels->listener != NULL)
		return tunnels;
	tunnels_destroy(tunnels);
	return NULL;
}

void tunnels_destroy(struct tunnels *tunnels)
{
	GHashTableIter it;
	gpointer tunnel;

	if (tunnels == NULL)
		return;
	tunnels_stop_listening(tunnels);
	while (g_hash_table_iter_init(&it, tunnels->all),
	       g_hash_table_iter_next(&it, &tunnel, NULL))
		tunnel_free(tunnel);
	g_hash_table_destroy(tunnels->all);
	g_free(tunnels);
}

void tunnels_set_memory(struct tunnels *tunnels, struct mem_budget *memory)
{
	tunnels->memory = memory;
}

void tunnels_set_copies(struct tunnels *tunnels,
			void (*take)(void *arg, struct bufferevent *bev),
			void *arg)
{
	tunnels->take_copies = take;
	tunnels->take_copies_arg = arg;
}

void tunnels_end_at(struct tunnels *tunnels, int64_t ms)
{
	tunnels->end_at_ms = ms;
}

void tunnels_stop_listening(struct tunnels *tunnels)
{
	g_clear_pointer(&tunnels->listener, evconnlistener_free);
}

guint tunnels_count(const struct tunnels *tunnels)
{
	return g_hash_table_size(tunnels->all);
}
