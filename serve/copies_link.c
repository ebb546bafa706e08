/** @file copies_link.c @brief Connections that carry copies of streams. */
#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>

#include "copies_link.h"
#include "proto/message.h"
#include "slog.h"
#include "sock.h"
#include "tunnel.h"

enum {
	FRAME_MAX_BYTES = 2097152,  /* twice the largest event */
	UNSENT_MAX_BYTES = 4194304, /* then the other side counts as stuck */
};

struct clink {
	struct bufferevent *bev;
	const struct clink_handler *handler;
	void *arg;
	bool opened;	 /* the other side takes frames */
	bool *destroyed; /* set by clink_destroy() while a callback runs */
};

static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static struct clink *create(struct bufferevent *bev,
			    const struct clink_handler *handler, void *arg)
{
	struct clink *link = g_new0(struct clink, 1);

	link->bev = bev;
	link->handler = handler;
	link->arg = arg;
	bufferevent_setcb(bev, on_read, NULL, on_event, link);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	return link;
}

struct clink *clink_connect(struct event_base *base, const char *address,
			    const struct clink_handler *handler, void *arg)
{
	struct bufferevent *bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	struct clink *link = create(bev, handler, arg);

	tunnel_write_open_copies(bufferevent_get_output(bev));
	if (sock_connect(bev, address))
		return link;
	clink_destroy(link);
	return NULL;
}

struct clink *clink_accept(struct bufferevent *bev,
			   const struct clink_handler *handler, void *arg)
{
	struct clink *link = create(bev, handler, arg);

	link->opened = true;
	if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		bufferevent_trigger(bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
	return link;
}

void clink_destroy(struct clink *link)
{
	if (link->destroyed != NULL)
		*link->destroyed = true;
	bufferevent_free(link->bev);
	g_free(link);
}

size_t clink_send(struct clink *link, const Rows__CopyFrame *frame)
{
	size_t len;
	uint8_t *packed = msg_pack(&frame->base, &len);
	uint32_t prefix = htonl((uint32_t)len);

	bufferevent_write(link->bev, &prefix, sizeof(prefix));
	bufferevent_write(link->bev, packed, len);
	g_free(packed);
	return sizeof(prefix) + len;
}

bool clink_is_stuck(const struct clink *link)
{
	return evbuffer_get_length(bufferevent_get_output(link->bev)) >
	       UNSENT_MAX_BYTES;
}

/* Reads whether the other side takes copies; returns false if that has not come
 * yet, or the link was destroyed. */
static bool read_reply(struct clink *link)
{
	switch (tunnel_read_reply(bufferevent_get_input(link->bev))) {
	case TUNNEL_REPLY_INCOMPLETE:
		return false;
	case TUNNEL_CONNECTED:
	case TUNNEL_CONNECTED_FRAMES:
		link->opened = true;
		return true;
	case TUNNEL_NOT_CONNECTED:
	case TUNNEL_REPLY_INVALID:
		break;
	}
	link->handler->ended(link->arg, true);
	return false;
}

/* Returns the next frame, or NULL; @p invalid: what comes is none. */
static Rows__CopyFrame *read_frame(struct clink *link, bool *invalid)
{
	struct evbuffer *in = bufferevent_get_input(link->bev);
	Rows__CopyFrame *frame;
	uint32_t prefix;
	size_t len;

	*invalid = false;
	if (evbuffer_copyout(in, &prefix, sizeof(prefix)) <
	    (ev_ssize_t)sizeof(prefix))
		return NULL;
	len = ntohl(prefix);
	*invalid = len > FRAME_MAX_BYTES;
	if (*invalid || evbuffer_get_length(in) < sizeof(prefix) + len)
		return NULL;
	evbuffer_drain(in, sizeof(prefix));
	frame = rows__copy_frame__unpack(NULL, len,
					 evbuffer_pullup(in, (ev_ssize_t)len));
	evbuffer_drain(in, len);
	*invalid = frame == NULL;
	return frame;
}

static void read_frames(struct clink *link)
{
	bool destroyed = false;
	bool invalid = false;
	Rows__CopyFrame *frame;

	link->destroyed = &destroyed;
	while (!destroyed && (frame = read_frame(link, &invalid)) != NULL) {
		link->handler->frame(link->arg, frame);
		rows__copy_frame__free_unpacked(frame, NULL);
	}
	if (destroyed)
		return;
	link->destroyed = NULL;
	if (!invalid)
		return;
	slog("peer_fault", NULL, "\"step\":\"copies\"");
	link->handler->ended(link->arg, false);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct clink *link = arg;

	(void)bev;
	if (link->opened || read_reply(link))
		read_frames(link);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct clink *link = arg;

	if (what & BEV_EVENT_CONNECTED)
		sock_set_options(bufferevent_getfd(bev));
	else
		link->handler->ended(link->arg, false);
}
