/**
 * @file rowstore.h
 * @brief Stand-in for the platform's store, by its published protocol.
 */
#ifndef APS_STANDIN_ROWSTORE_H
#define APS_STANDIN_ROWSTORE_H

#include <stdbool.h>

#include <event2/event.h>
#include <glib.h>

/** What the store does with calls. */
enum rowstore_mode {
	ROWSTORE_OK,
	ROWSTORE_UNAVAILABLE,	/**< answers 503: nothing is done */
	ROWSTORE_NO_RESPONSE,	/**< does nothing and does not answer */
	ROWSTORE_LOSE_RESPONSE, /**< does a write and does not answer it */
};

struct rowstore;

/** Listens on @p address. */
struct rowstore *rowstore_create(struct event_base *base, const char *address);
void rowstore_destroy(struct rowstore *rowstore);
void rowstore_set_mode(struct rowstore *rowstore, enum rowstore_mode mode);
/** Lets each call wait so long before it is done; what waits is done though its
 * caller gives up, unless it closes its connection. */
void rowstore_set_delay(struct rowstore *rowstore, int64_t ms);
/** Listens on a second address, which can be closed by itself. */
void rowstore_listen_alternate(struct rowstore *rowstore, const char *address);
/** Whether calls at the second address get 503. */
void rowstore_block_alternate(struct rowstore *rowstore, bool closed);
/** Writes a row past all conditions; NULL removes it. */
void rowstore_put(struct rowstore *rowstore, const char *table,
		  const char *part, const char *key, const char *value);
/** Forgets the history: feeds have to begin again. */
void rowstore_compact(struct rowstore *rowstore);
/** Lets the store's clock go ahead by @p ms. */
void rowstore_advance_clock(struct rowstore *rowstore, int64_t ms);
/** Its newest version. */
int64_t rowstore_version(const struct rowstore *rowstore);
/** Removes the instances' rows that are not newer than @p version. */
void rowstore_remove_up_to(struct rowstore *rowstore, int64_t version);
/** How many rows a table has. */
guint rowstore_count_rows(const struct rowstore *rowstore, const char *table);

#endif
