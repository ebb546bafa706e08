/**
 * @file backend.h
 * @brief Stand-in for a backend server, with the faults that these have.
 */
#ifndef APS_STANDIN_BACKEND_H
#define APS_STANDIN_BACKEND_H

#include <event2/event.h>
#include <glib.h>

/** What the server does with a request. */
enum sbe_mode {
	SBE_OK,
	SBE_REFUSES,  /**< 503, and says that it has not run */
	SBE_OTHER,    /**< 421: the address has another server */
	SBE_SILENT,   /**< runs it and does not answer */
	SBE_RESETS,   /**< runs it and closes */
	SBE_CUTS,     /**< ends a stream in the middle of an event */
	SBE_UNSIGNED, /**< a success that it does not vouch for */
	SBE_ENCODED,  /**< a body in another encoding */
	SBE_FOREIGN,  /**< the answer to another request comes first */
	SBE_EXTRA,    /**< bytes after the answer */
	SBE_GARBLES,  /**< bytes that are no answer */
	SBE_FAILS,    /**< 500 of its own */
};

/** A request that the server ran. */
struct sbe_run {
	char *id;
	char *account; /**< as the system named it; "" if it did not */
	char *head;    /**< every header line */
	char *body;
	int64_t last_event_id;
};

struct sbe;

/** @param events of each stream; @param gap_ms between them */
struct sbe *sbe_create(struct event_base *base, const char *address,
		       const char *id, guint events, int gap_ms);
void sbe_destroy(struct sbe *sbe);
void sbe_set_mode(struct sbe *sbe, enum sbe_mode mode);
/** Requests that ran, oldest first: of struct sbe_run *. */
const GPtrArray *sbe_runs(const struct sbe *sbe);
/** Streams that ended because their caller left. */
guint sbe_cancelled(const struct sbe *sbe);

#endif
