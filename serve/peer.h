/**
 * @file peer.h
 * @brief Connections between instances: length-prefixed frames over TCP.
 *
 * A frame is a four-byte length in network byte order, followed by a packed
 * Aps__Peer. Frames may be lost when a connection breaks or the queue is full;
 * they are never duplicated or reordered.
 */
#ifndef APS_PEER_H
#define APS_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <poll.h>

enum {
	/** Longest frame, in bytes. */
	PEER_FRAME_MAX_BYTES = 8 << 20,
	/** Largest number of bytes queued for one peer. */
	PEER_QUEUE_MAX_BYTES = 32 << 20,
	/** Length of the length prefix, in bytes. */
	PEER_PREFIX_BYTES = 4,
};

struct peers;

/** Receives a frame. */
typedef void (*peer_frame_fn)(void *arg, const uint8_t *buf, size_t len);

/**
 * Listens at @p addr (HOST:PORT).
 *
 * @param fn     called with each frame that arrives
 * @param errors receives the reason of a failure, with the address
 * @return NULL on failure
 */
struct peers *peer_create(const char *addr, peer_frame_fn fn, void *arg,
			  GString *errors);

/** Closes all connections; NULL is allowed. */
void peer_destroy(struct peers *peers);

/**
 * Queues a frame for the peer at @p addr, and connects to it if necessary.
 * Frames that cannot be queued are dropped.
 */
void peer_send(struct peers *peers, const char *addr, const uint8_t *buf,
	       size_t len);

/** Returns the descriptors to poll; g_array_unref() it. */
GArray *peer_fds(struct peers *peers);

/** Performs pending I/O. @p fds are those of peer_fds(), after poll(2). */
void peer_process(struct peers *peers, const struct pollfd *fds, guint n);

/**
 * Passes the complete frames in @p in to @p fn and removes them.
 *
 * @return false if a frame is too long and the connection must be closed
 */
bool peer_parse_frames(GByteArray *in, peer_frame_fn fn, void *arg);

#endif
