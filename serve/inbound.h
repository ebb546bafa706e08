/**
 * @file inbound.h
 * @brief HTTP connections of callers, on one event loop.
 *
 * Thousands of connections cost a buffer each and no thread. A request is
 * handed on when it has been read whole; the next one on its connection is
 * read after its answer.
 */
#ifndef APS_INBOUND_H
#define APS_INBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** One listening address and its connections. */
struct in;

/** One request. */
struct in_request {
	const char *method;
	const char *target;    /**< path and query, as sent */
	const GArray *headers; /**< see hdr.h */
	GByteArray *body;
	int64_t read_at; /**< CLOCK_BOOTTIME, in ms, of its last byte */
	void *user;	 /**< the handler's */
	struct in_conn *conn;
};

/** What callers may send; see struct cat_limits. */
struct in_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

/** Who answers. */
struct in_handler {
	/** A request was read; in_reply() or in_begin() may come later. */
	void (*request)(void *arg, struct in_request *request);
	/** The caller has left before its answer was whole: @p request is
	 * gone when this returns. */
	void (*gone)(void *arg, struct in_request *request);
};

/**
 * Listens on @p address.
 *
 * @return NULL if that fails; errno says why
 */
struct in *in_create(struct event_base *base, const char *address,
		     const struct in_handler *handler, void *arg);
/** Closes the listener and every connection; callers count as gone. */
void in_destroy(struct in *in);
void in_set_limits(struct in *in, const struct in_limits *limits);
/** From now on each answer ends its connection. */
void in_drain(struct in *in);
/** Takes no further connections. */
void in_stop_listening(struct in *in);
/** Closes connections on which no request has begun. */
void in_close_idle(struct in *in);
/** Connections there are, and requests under way on them. */
void in_count(const struct in *in, guint *conns, guint *requests);

/**
 * Answers a request whole; the request is gone afterwards.
 *
 * @param headers header lines, each with its line end; may be ""
 */
void in_reply(struct in_request *request, int status, const char *headers,
	      const void *body, size_t len);
/** Begins an answer in chunks. */
void in_begin(struct in_request *request, int status, const char *headers);
/** Sends a piece of an answer. */
void in_chunk(struct in_request *request, const void *data, size_t len);
/** Ends an answer in chunks; the request is gone afterwards. */
void in_finish(struct in_request *request);
/** Writes bytes as they are, past all framing: for stand-ins that misbehave. */
void in_raw(struct in_request *request, const char *bytes);
/** Closes the connection: the caller sees that the answer is not whole. */
void in_abort(struct in_request *request);

#endif
