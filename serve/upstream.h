/**
 * @file upstream.h
 * @brief HTTP client for requests to backend servers and to the platform.
 *
 * All callbacks run on the event loop given to upstream_create().
 */
#ifndef APS_UPSTREAM_H
#define APS_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

struct mem_budget;

/** The client: its event loop and counters. */
struct upstream;
/** One request in progress. */
struct upstream_call;

/** How a request ended. */
enum upstream_result {
	UPSTREAM_COMPLETE,    /**< a complete response was received */
	UPSTREAM_NOT_SENT,    /**< no byte of the request was sent */
	UPSTREAM_NO_TUNNEL,   /**< nor was the instance of the tunnel reached */
	UPSTREAM_INTERRUPTED, /**< sent, but without a complete response */
};

/** Status line and header of a response. */
struct upstream_head {
	int status;
	GArray *headers; /**< see hdr.h */
	bool framed;	 /**< has a content length or is chunked */
};

/** Callbacks of a request; upstream_cancel() may be called from any of them. */
struct upstream_handler {
	void (*head)(void *arg, const struct upstream_head *head);
	void (*body)(void *arg, const char *data, size_t len);
	/** A new connection was established for the request; or NULL. */
	void (*connected)(void *arg);
	/** All that was written of the body has been sent, and more is to
	 * follow; needed if the request has more_body. */
	void (*writable)(void *arg);
	/** The last callback; @p cause says what failed, or is "". */
	void (*end)(void *arg, enum upstream_result result, const char *cause);
};

/** A request. */
struct upstream_request {
	const char *address; /**< HOST:PORT */
	GQueue *idle;	     /**< pool of idle connections to that address */
	GString *head;	     /**< request line and header; takes ownership */
	GBytes *body;	     /**< or NULL; a reference is taken */
	bool more_body;	     /**< the body goes on: upstream_write() */
	const char *id_name; /**< header that a response must echo, or NULL */
	const char *id;	     /**< and its value */
	/** Connections that have carried a request with that id, of uint64_t;
	 * the one that is used is added, and none of them is used again: the id
	 * does not tell a late copy of an earlier response from this one's.
	 * NULL: the id is new. */
	GArray *used_conns;
	int64_t connect_timeout_ms; /**< of a new connection */
	/** HOST:PORT of the instance that carries the connection to @p server
	 * (see tunnel.h), or NULL: a direct connection. It is not kept. */
	const char *tunnel;
	const char *server; /**< id; needed with @p tunnel */
	int64_t limit_ms;   /**< of the request; needed with @p tunnel */
};

struct upstream *upstream_create(struct event_base *base);
void upstream_destroy(struct upstream *upstream);
/** Counts the headers of requests that are not sent yet and of responses that
 * are being read in @p memory, for connections from now on. */
void upstream_set_memory(struct upstream *upstream, struct mem_budget *memory);
/** Connections opened since the start. */
uint64_t upstream_opened_total(const struct upstream *upstream);

/** Sends a request; no callback is called before this returns. */
struct upstream_call *upstream_send(struct upstream *upstream,
				    const struct upstream_request *request,
				    const struct upstream_handler *handler,
				    void *arg);
/** Writes the next piece of the body, of which a reference is taken. */
void upstream_write(struct upstream_call *call, GBytes *piece, bool last);
/** Returns how many bytes of the body were written and are not sent yet. */
size_t upstream_unsent(const struct upstream_call *call);
/** Aborts a request and closes its connection; no callback is called. */
void upstream_cancel(struct upstream_call *call);
/**
 * Puts off a timeout of the call if bytes of its response have been received
 * and not been parsed, as they will be in one of the next turns of the event
 * loop.
 *
 * @param timer    the timer of that timeout, which is armed again
 * @param until_ms 0 at first; bounds the time, and the number of turns, that a
 *                 response without an end is given
 * @return false if the timeout counts
 */
bool upstream_put_off(struct upstream_call *call, struct event *timer,
		      int64_t *until_ms);
/** Stops reading the response, or goes on; it is read at first. */
void upstream_set_reading(struct upstream_call *call, bool reading);
/** Closes the idle connections of a pool. */
void upstream_close_idle(GQueue *idle);

#endif
