/**
 * @file inbound.h
 * @brief HTTP/1.1 server for callers, on one event loop.
 *
 * Thousands of connections cost a buffer each and no thread. A request is
 * passed to the handler once it has been read completely; the next one on the
 * same connection is read after the response.
 */
#ifndef APS_INBOUND_H
#define APS_INBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

struct mem_budget;

/** A listening socket and its connections. */
struct inbound;

enum {
	/** Retry-After of what is refused for lack of memory, in ms. */
	INBOUND_MEMORY_RETRY_AFTER_MS = 200,
};

/** A request. */
struct inbound_request {
	const char *method;
	const char *target;    /**< path and query, as sent */
	const GArray *headers; /**< see hdr.h */
	GByteArray *body;
	int64_t received_at_ms; /**< CLOCK_BOOTTIME of its last byte */
	void *user_data;	/**< for the handler */
	struct inbound_conn *conn;
	uint64_t conn_serial; /**< differs for each connection accepted */
};

/** Limits of a connection; see struct cat_limits. */
struct inbound_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms; /**< from first byte to end of headers */
	int64_t idle_timeout_ms;   /**< between two requests */
	uint32_t max_header_lines; /**< 0: no limit */
};

/** Callbacks of the code that serves requests. */
struct inbound_handler {
	/** A request was read. It may be replied to at once or later. */
	void (*on_request)(void *arg, struct inbound_request *request);
	/** The caller disconnected before its response was complete;
	 * @p request is freed when this returns. */
	void (*on_disconnect)(void *arg, struct inbound_request *request);
	/** All that was written of the response has been sent; or NULL. */
	void (*on_drained)(void *arg, struct inbound_request *request);
};

/**
 * Listens on @p address.
 *
 * @return NULL on failure, with errno set
 */
struct inbound *inbound_create(struct event_base *base, const char *address,
			       const struct inbound_handler *handler,
			       void *arg);
/** Closes the listener and all connections; calls on_disconnect for open
 * requests. */
void inbound_destroy(struct inbound *inbound);
void inbound_set_limits(struct inbound *inbound,
			const struct inbound_limits *limits);
/** Counts what connections hold in @p memory, from those accepted from now on.
 */
void inbound_set_memory(struct inbound *inbound, struct mem_budget *memory);
/** From now on, closes each connection after its response. */
void inbound_drain(struct inbound *inbound);
/** Stops accepting connections. */
void inbound_stop_listening(struct inbound *inbound);
/** Closes connections without a request, not even a partial one, whose last
 * response has been written. */
void inbound_close_idle(struct inbound *inbound);
/** Answers requests that are only partly read with 503 and @p headers, and
 * closes their connections. */
void inbound_refuse_partial(struct inbound *inbound, const char *headers);
/** Returns the number of open connections and of unanswered requests. */
void inbound_count(const struct inbound *inbound, guint *conns,
		   guint *requests);

/**
 * Sends a complete response and frees the request.
 *
 * @param headers header lines, each terminated by CRLF; may be empty
 */
void inbound_reply(struct inbound_request *request, int status,
		   const char *headers, const void *body, size_t len);
/**
 * Starts a response of unknown length: chunked, or ended by closing the
 * connection for HTTP/1.0.
 */
void inbound_begin_reply(struct inbound_request *request, int status,
			 const char *headers);
/** Sends part of such a response. */
void inbound_send_chunk(struct inbound_request *request, const void *data,
			size_t len);
/** Returns the body of a request, without a copy, to be used for as long as the
 * caller likes; g_bytes_unref() it. */
GBytes *inbound_share_body(struct inbound_request *request);
/** Frees the body of a request that is not needed any more. */
void inbound_drop_body(struct inbound_request *request);
/** Bytes of the response that are still to be sent. */
size_t inbound_unsent(const struct inbound_request *request);
/** Ends such a response and frees the request. */
void inbound_end_reply(struct inbound_request *request);
/** Writes bytes without framing; for stand-ins that send malformed responses.
 */
void inbound_write_raw(struct inbound_request *request, const char *bytes);
/** Closes the connection in order once all is written, without any framing; for
 * stand-ins. */
void inbound_end_raw(struct inbound_request *request);
/** Resets the connection; for stand-ins. */
void inbound_reset(struct inbound_request *request);
/** Closes the connection, so that the caller sees a truncated response. */
void inbound_abort(struct inbound_request *request);

#endif
