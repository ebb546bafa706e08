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
enum srs_mode {
	SRS_OK,
	SRS_BUSY,   /**< answers 503: nothing is done */
	SRS_SILENT, /**< does nothing and does not answer */
	SRS_LOST,   /**< does a write and does not answer it */
};

struct srs;

/** Listens on @p address. */
struct srs *srs_create(struct event_base *base, const char *address);
void srs_destroy(struct srs *srs);
void srs_set_mode(struct srs *srs, enum srs_mode mode);
/** Lets each call wait so long before it is done; what waits is done though its
 * caller gives up, unless it closes its connection. */
void srs_set_slow(struct srs *srs, int64_t ms);
/** Listens on a second address, which can be closed by itself. */
void srs_open_door(struct srs *srs, const char *address);
/** Whether calls at the second address get 503. */
void srs_close_door(struct srs *srs, bool closed);
/** Writes a row past all conditions; NULL removes it. */
void srs_put(struct srs *srs, const char *table, const char *part,
	     const char *key, const char *value);
/** Forgets the history: feeds have to begin again. */
void srs_compact(struct srs *srs);
/** Lets the store's clock go ahead by @p ms. */
void srs_advance(struct srs *srs, int64_t ms);
/** Its newest version. */
int64_t srs_version(const struct srs *srs);
/** Removes the instances' rows that are not newer than @p version. */
void srs_drop_until(struct srs *srs, int64_t version);
/** How many rows a table has. */
guint srs_rows(const struct srs *srs, const char *table);

#endif
