/**
 * @file backend.h
 * @brief Stand-in for a backend server that can inject faults.
 *
 * A request to a path with "/turn" is answered by a stream of events, any other
 * one by a short body.
 */
#ifndef APS_STANDIN_BACKEND_H
#define APS_STANDIN_BACKEND_H

#include <stdbool.h>

#include <event2/event.h>
#include <glib.h>

/** What the server does with a request. Unless stated otherwise it runs the
 * request. */
enum backend_mode {
	BACKEND_OK,	       /**< responds in full */
	BACKEND_REFUSE,	       /**< 503 with Not-Executed; does not run it */
	BACKEND_MISDIRECTED,   /**< 421 with Not-Executed, as if another server
				* had the address; does not run it */
	BACKEND_NO_RESPONSE,   /**< sends nothing */
	BACKEND_CLOSE,	       /**< closes the connection */
	BACKEND_TRUNCATE,      /**< closes in the middle of a stream's event */
	BACKEND_UNSIGNED,      /**< leaves out Response-Signature */
	BACKEND_UNSIGNED_TEXT, /**< the same, and sends a short text, framed as
				* an event is, also in place of a stream */
	BACKEND_ENCODED,       /**< sets Content-Encoding: gzip */
	BACKEND_WRONG_ID, /**< first sends the response to another request */
	BACKEND_TRAILING_BYTES, /**< sends more bytes after the response */
	BACKEND_MALFORMED,	/**< sends bytes that are not HTTP */
	BACKEND_ERROR,		/**< 500 */
	/* Refuses every second request, and sends the refusal once more where
	 * the next response on that connection is expected. */
	BACKEND_LATE_COPY,
	BACKEND_CUT,	   /**< a short body that breaks off */
	BACKEND_ERROR_CUT, /**< 500, with such a body */
	/* Bytes without end, until the caller closes the connection. */
	BACKEND_ENDLESS_HEAD,	/**< of header fields */
	BACKEND_ENDLESS_BODY,	/**< of a response that is not signed */
	BACKEND_ENDLESS_SIGNED, /**< of a response that is signed */
	BACKEND_ENDLESS_OTHER,	/**< of a response to another request */
	BACKEND_ENDLESS_EVENT,	/**< of one event in a stream */
	BACKEND_UNFRAMED,	/**< no length, no chunks; ends in order */
	BACKEND_UNFRAMED_RESET, /**< the same, but reset before its end */
	BACKEND_UNFRAMED_CUT,	/**< the same, but ends inside the 2nd event */
	BACKEND_STALLED,	/**< a byte now and then, of the 2nd event */
};

/** How a server ends that begins to run a request which crashes it. */
enum backend_crash {
	BACKEND_CRASH_AT_ONCE,	 /**< before any byte of a response */
	BACKEND_CRASH_IN_STREAM, /**< after the first event of a stream */
};

/** A request that the server ran. */
struct backend_run {
	char *id;      /**< Request-Id; "" if missing */
	char *account; /**< Tenant; "" if missing */
	char *headers; /**< every header, "name: value\n" each */
	char *body;
	const char *server; /**< id */
	bool had_fields;    /**< its response had the fields that were added */
	int64_t last_event_id; /**< Last-Event-Id; -1 if missing */
	int64_t received_ms;   /**< CLOCK_BOOTTIME of its last byte */
};

struct backend;

/**
 * Starts a server on the event loop @p base.
 *
 * @param address      HOST:PORT to listen on
 * @param id           names the server in its responses
 * @param n_events     events in each stream
 * @param event_gap_ms time before each event, below 1000
 * @return NULL if it can't listen
 */
struct backend *backend_create(struct event_base *base, const char *address,
			       const char *id, guint n_events,
			       int event_gap_ms);
/** Makes the streams of paths that begin with @p path, which must outlive the
 * server, differ from the others. */
void backend_set_long_streams(struct backend *backend, const char *path,
			      guint n_events, int event_gap_ms);
void backend_destroy(struct backend *backend);
/** From now on the data of events have the number of the run, from 1 on, behind
 * the server's id: "e1.1-2" for the second event. */
void backend_number_runs(struct backend *backend);
void backend_set_mode(struct backend *backend, enum backend_mode mode);
/** Adds @p fields, whole header lines which must outlive the server, to each
 * response from now on, or in mode BACKEND_WRONG_ID to those that belong to
 * other requests; NULL: none. */
void backend_set_fields(struct backend *backend, const char *fields);
/** Returns the number of requests received, also of those that were refused. */
guint backend_received(const struct backend *backend);
/** Makes the server crash when it runs a request with @p body, which must
 * outlive it, or for NULL any request without a body. It then sends nothing any
 * more, and its connections stay open until it is destroyed. */
void backend_set_crash(struct backend *backend, const char *body,
		       enum backend_crash how);
/** Refuses requests that are meant for another server from now on: 421. */
void backend_check_target(struct backend *backend);
/** Whether the server has crashed. */
bool backend_has_crashed(const struct backend *backend);
/** Reports @p load, which must outlive the server, in each response from now
 * on: requests running, waiting, and slots; NULL: "1,0,8". */
void backend_set_load(struct backend *backend, const char *load);
/** Names a rate limit, @p per_s requests a second, in each response from now
 * on; NULL: none. */
void backend_set_limit(struct backend *backend, const char *per_s);
/** Returns the requests that ran, oldest first: of struct backend_run *. */
const GPtrArray *backend_runs(const struct backend *backend);
/** Returns how many streams ended because their caller disconnected. */
guint backend_cancelled(const struct backend *backend);

#endif
