/**
 * @file input.h
 * @brief What a connection has received: bytes that wait, and the HTTP/1.1
 * responses in them.
 *
 * The event loop runs timers before deferred callbacks. If it was busy, a timer
 * and the bytes that it waits for may be due in the same turn; a timeout must
 * not count then.
 *
 * Responses are read strictly, by RFC 9112: see docs/design/responses.md.
 */
#ifndef APS_INPUT_H
#define APS_INPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct bufferevent;

/** Whether bytes wait in the buffer or in the socket of a connection. */
bool input_is_pending(struct bufferevent *bev);
/** Whether a connection is open, as far as is known, and nothing waits on it.
 */
bool input_is_quiet(struct bufferevent *bev);

/** What input_read() stopped at. */
enum input_result {
	INPUT_MORE,    /**< all bytes were taken, and more are needed */
	INPUT_STOPPED, /**< a callback wants it; or a response has ended */
	INPUT_INVALID, /**< no HTTP/1.1 response */
};

/** A response, once its header has been read. */
struct input_head {
	int status;	 /**< 200 to 599 */
	bool framed;	 /**< its end does not depend on the connection's */
	bool keep_alive; /**< the connection may be used again after it */
};

/** Callbacks; each returns false to stop the reader. */
struct input_handler {
	/** @p len bytes are about to be added to the header. */
	void (*grow)(void *arg, size_t len);
	/** The header is complete; it is in input_headers() until this returns.
	 */
	bool (*head)(void *arg, const struct input_head *head);
	bool (*body)(void *arg, const char *data, size_t len);
	/** The response has ended; if this returns true, another one is read.
	 */
	bool (*end)(void *arg);
};

/** Reads one response after another; interim ones (1xx) are passed over. */
struct input_reader;

struct input_reader *input_reader_create(const struct input_handler *handler,
					 void *arg);
void input_reader_destroy(struct input_reader *reader);
/** Starts with the response to the next request; @p is_head: to HEAD, so that
 * it has no body. */
void input_start(struct input_reader *reader, bool is_head);
/** Reads bytes; @p used receives how many of them belong to what was read. */
enum input_result input_read(struct input_reader *reader, const char *data,
			     size_t len, size_t *used);
/** The connection has ended: ends a response that has no other end. */
enum input_result input_end(struct input_reader *reader);
/** Returns the header fields of the response; see hdr.h. */
GArray *input_headers(struct input_reader *reader);
/** Frees the header fields. */
void input_drop_headers(struct input_reader *reader);

#endif
