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
struct inbound;

/** One request. */
struct inbound_request {
	const char *method;
	const char *target;    /**< path and query, as sent */
	const GArray *headers; /**< see hdr.h */
	GByteArray *body;
	int64_t received_at_ms; /**< CLOCK_BOOTTIME, in ms, of its last byte */
	void *user_data;	/**< the handler's */
	struct inbound_conn *conn;
};

/** What callers may send; see struct cat_limits. */
struct inbound_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/** Who answers. */
struct inbound_handler {
	/** A request was read; inbound_reply() or inbound_begin_reply() may
	 * come later. */
	void (*request)(void *arg, struct inbound_request *request);
	/** The caller has left before its answer was whole: @p request is
	 * gone when this returns. */
	void (*gone)(void *arg, struct inbound_request *request);
};

/**
 * Listens on @p address.
 *
 * @return NULL if that fails; errno says why
 */
struct inbound *inbound_create(struct event_base *base, const char *address,
			       const struct inbound_handler *handler,
			       void *arg);
/** Closes the listener and every connection; callers count as gone. */
void inbound_destroy(struct inbound *inbound);
void inbound_set_limits(struct inbound *inbound,
			const struct inbound_limits *limits);
/** From now on each answer ends its connection. */
void inbound_drain(struct inbound *inbound);
/** Takes no further connections. */
void inbound_stop_listening(struct inbound *inbound);
/** Closes connections on which no request has begun. */
void inbound_close_idle(struct inbound *inbound);
/** Connections there are, and requests under way on them. */
void inbound_count(const struct inbound *inbound, guint *conns,
		   guint *requests);

/**
 * Answers a request whole; the request is gone afterwards.
 *
 * @param headers header lines, each with its line end; may be ""
 */
void inbound_reply(struct inbound_request *request, int status,
		   const char *headers, const void *body, size_t len);
/** Begins an answer in chunks. */
void inbound_begin_reply(struct inbound_request *request, int status,
			 const char *headers);
/** Sends a piece of an answer. */
void inbound_send_chunk(struct inbound_request *request, const void *data,
			size_t len);
/** Ends an answer in chunks; the request is gone afterwards. */
void inbound_end_reply(struct inbound_request *request);
/** Writes bytes as they are, past all framing: for stand-ins that misbehave. */
void inbound_write_raw(struct inbound_request *request, const char *bytes);
/** Closes the connection: the caller sees that the answer is not whole. */
void inbound_abort(struct inbound_request *request);

#endif
