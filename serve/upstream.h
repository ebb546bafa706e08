/**
 * @file upstream.h
 * @brief HTTP requests of ours: to backend servers and to the platform.
 *
 * Every callback runs on the event loop that the pool was created with.
 */
#ifndef APS_UPSTREAM_H
#define APS_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Connections and requests under way. */
struct upstream;
/** One request under way. */
struct upstream_call;

/** How a request ended. */
enum upstream_result {
	UPSTREAM_COMPLETE,    /**< the answer came whole */
	UPSTREAM_NOT_SENT,    /**< no byte of the request has left */
	UPSTREAM_INTERRUPTED, /**< sent, but the answer is missing or not whole
			       */
};

/** Status line and header of an answer. */
struct upstream_head {
	int status;
	GArray *headers; /**< see hdr.h */
	bool framed;	 /**< has a length or comes in chunks */
};

/** Who is told; upstream_cancel() may be called from any of these. */
struct upstream_handler {
	void (*head)(void *arg, const struct upstream_head *head);
	void (*body)(void *arg, const char *data, size_t len);
	/** The last call; @p step says what failed. */
	void (*end)(void *arg, enum upstream_result end, const char *step);
};

/** A request. */
struct upstream_request {
	const char *address; /**< HOST:PORT */
	GQueue *idle;	     /**< kept connections to that address */
	GString *head;	     /**< request line and header; taken over */
	GBytes *body;	     /**< or NULL; a reference is taken */
	const char *id_name; /**< field that an answer has to echo, or NULL */
	const char *id;
	int64_t connect_ms; /**< time limit for a new connection */
};

struct upstream *upstream_create(struct event_base *base);
void upstream_destroy(struct upstream *upstream);
/** Connections opened since the start. */
uint64_t upstream_opened_total(const struct upstream *upstream);

/** Sends a request; the handler is not called before this returns. */
struct upstream_call *upstream_send(struct upstream *upstream,
				    const struct upstream_request *request,
				    const struct upstream_handler *handler,
				    void *arg);
/** Ends a request and its connection; the handler is not called again. */
void upstream_cancel(struct upstream_call *call);
/** Closes the kept connections of a queue. */
void upstream_close_idle(GQueue *idle);

#endif
