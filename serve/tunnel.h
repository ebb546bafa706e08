/**
 * @file tunnel.h
 * @brief Carries connections to backend servers for other instances.
 *
 * An instance that has lost its links to the servers reaches them through one
 * that has not. The instance that carries a connection connects to a server of
 * its own list, tells whether that worked, and copies the bytes of both sides;
 * it neither parses nor repeats anything. If one side ends, so does the other.
 * What the server sends comes in frames, whose last one says that the server
 * has closed the connection in order: its end without that may be the end of
 * the instance in between. An instance of an older version sends bare bytes.
 *
 * Messages: two bytes of length in network order, and a message of rows.proto.
 */
#ifndef APS_TUNNEL_H
#define APS_TUNNEL_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "decide/fleet.h"

/** The listening socket, and the connections that are carried. */
struct tunnels;
struct mem_budget;

/** @return NULL if @p address can't be bound, with errno set */
struct tunnels *tunnels_create(struct event_base *base, const char *address,
			       const struct fleet *fleet);
/** Counts what is carried in @p memory. */
void tunnels_set_memory(struct tunnels *tunnels, struct mem_budget *memory);
void tunnels_destroy(struct tunnels *tunnels);
/** This instance ends at @p ms, of CLOCK_BOOTTIME: from now on it carries only
 * requests whose time limits end before that. */
void tunnels_end_at(struct tunnels *tunnels, int64_t ms);
/** Sets who gets connections for copies of streams: @p take, to which the
 * connection belongs from then on. Until then none is taken. */
void tunnels_set_copies(struct tunnels *tunnels,
			void (*take)(void *arg, struct bufferevent *bev),
			void *arg);
/** Accepts no further connections. */
void tunnels_stop_listening(struct tunnels *tunnels);
/** Returns the number of connections that are carried. */
guint tunnels_count(const struct tunnels *tunnels);

/** What tunnel_read_reply() found. */
enum tunnel_reply {
	TUNNEL_REPLY_INCOMPLETE,
	TUNNEL_CONNECTED,
	TUNNEL_CONNECTED_FRAMES, /**< the server's bytes come in frames */
	TUNNEL_NOT_CONNECTED,	 /**< the server was not reached */
	TUNNEL_REPLY_INVALID,
};

/** Writes the message that asks for a connection to @p server, for a request
 * whose time limit is @p limit_ms. */
void tunnel_write_open(struct evbuffer *out, const char *server,
		       int64_t limit_ms);
/** Writes the message that asks for a connection for copies of streams. */
void tunnel_write_open_copies(struct evbuffer *out);
/** Reads the response, and removes it from @p in. */
enum tunnel_reply tunnel_read_reply(struct evbuffer *in);
/** Reads the header of a frame, and removes it from @p in: returns its length,
 * 0 for the orderly end of the connection, or -1 if it is incomplete. */
int tunnel_read_frame(struct evbuffer *in);

#endif
