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
struct up;
/** One request under way. */
struct up_call;

/** How a request ended. */
enum up_end {
	UP_WHOLE,    /**< the answer came whole */
	UP_NOT_SENT, /**< no byte of the request has left */
	UP_BROKEN,   /**< sent, but the answer is missing or not whole */
};

/** Status line and header of an answer. */
struct up_head {
	int status;
	GArray *headers; /**< see hdr.h */
	bool framed;	 /**< has a length or comes in chunks */
};

/** Who is told; up_cancel() may be called from any of these. */
struct up_handler {
	void (*head)(void *arg, const struct up_head *head);
	void (*body)(void *arg, const char *data, size_t len);
	/** The last call; @p step says what failed. */
	void (*end)(void *arg, enum up_end end, const char *step);
};

/** A request. */
struct up_request {
	const char *address; /**< HOST:PORT */
	GQueue *idle;	     /**< kept connections to that address */
	GString *head;	     /**< request line and header; taken over */
	GBytes *body;	     /**< or NULL; a reference is taken */
	const char *id_name; /**< field that an answer has to echo, or NULL */
	const char *id;
	int64_t connect_ms; /**< time limit for a new connection */
};

struct up *up_create(struct event_base *base);
void up_destroy(struct up *up);
/** Connections opened since the start. */
uint64_t up_opened(const struct up *up);

/** Sends a request; the handler is not called before this returns. */
struct up_call *up_start(struct up *up, const struct up_request *request,
			 const struct up_handler *handler, void *arg);
/** Ends a request and its connection; the handler is not called again. */
void up_cancel(struct up_call *call);
/** Closes the kept connections of a queue. */
void up_close_idle(GQueue *idle);

#endif
