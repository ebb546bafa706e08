/**
 * @file copies_link.h
 * @brief A connection between two instances that carries copies of streams.
 *
 * Each side sends frames: four bytes of length in network order, and a message
 * CopyFrame of rows.proto.
 */
#ifndef APS_COPIES_LINK_H
#define APS_COPIES_LINK_H

#include <stdbool.h>

#include <event2/bufferevent.h>

#include "proto/rows.pb-c.h"

struct clink;

/** Callbacks; clink_destroy() may be called in each. */
struct clink_handler {
	/** A frame has come; it is valid until this returns. */
	void (*frame)(void *arg, const Rows__CopyFrame *frame);
	/** The connection has ended; @p refused: the other side takes no copies
	 * of streams. The link is still to be destroyed. */
	void (*ended)(void *arg, bool refused);
};

/** Connects to an instance; NULL if that fails at once. Frames may be sent
 * before it is connected. */
struct clink *clink_connect(struct event_base *base, const char *address,
			    const struct clink_handler *handler, void *arg);
/** Takes over a connection that another instance has opened. */
struct clink *clink_accept(struct bufferevent *bev,
			   const struct clink_handler *handler, void *arg);
void clink_destroy(struct clink *link);
/** Sends a frame; returns its bytes with the length before it. */
size_t clink_send(struct clink *link, const Rows__CopyFrame *frame);
/** Whether the other side does not read what is sent. */
bool clink_is_stuck(const struct clink *link);

#endif
