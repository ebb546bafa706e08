/**
 * @file backend.h
 * @brief Stand-in for a backend server, with the faults that these have.
 */
#ifndef APS_STANDIN_BACKEND_H
#define APS_STANDIN_BACKEND_H

#include <event2/event.h>
#include <glib.h>

/** What the server does with a request. */
enum backend_mode {
	BACKEND_OK,
	BACKEND_REFUSE,	     /**< 503, and says that it has not run */
	BACKEND_MISDIRECTED, /**< 421: the address has another server */
	BACKEND_NO_RESPONSE, /**< runs it and does not answer */
	BACKEND_CLOSE,	     /**< runs it and closes */
	BACKEND_TRUNCATE,    /**< ends a stream in the middle of an event */
	BACKEND_UNSIGNED,    /**< a success that it does not vouch for */
	BACKEND_ENCODED,     /**< a body in another encoding */
	BACKEND_WRONG_ID,    /**< the answer to another request comes first */
	BACKEND_TRAILING_BYTES, /**< bytes after the answer */
	BACKEND_MALFORMED,	/**< bytes that are no answer */
	BACKEND_ERROR,		/**< 500 of its own */
};

/** A request that the server ran. */
struct backend_run {
	char *id;
	char *account; /**< as the system named it; "" if it did not */
	char *head;    /**< every header line */
	char *body;
	int64_t last_event;
};

struct backend;

/** @param events of each stream; @param gap_ms between them */
struct backend *backend_create(struct event_base *base, const char *address,
			       const char *id, guint events, int gap_ms);
void backend_destroy(struct backend *backend);
void backend_set_mode(struct backend *backend, enum backend_mode mode);
/** Requests that ran, oldest first: of struct backend_run *. */
const GPtrArray *backend_runs(const struct backend *backend);
/** Streams that ended because their caller left. */
guint backend_cancelled(const struct backend *backend);

#endif
