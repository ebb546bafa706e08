/**
 * @file crash_rows.h
 * @brief Keeps marks of requests that crash servers in the platform's store.
 *
 * They outlive the instances, and reach those that start, or that datagrams
 * did not reach. A mark that is disproved within a moment is not written. Each
 * instance follows the table; it costs next to nothing while nothing crashes.
 */
#ifndef APS_CRASH_ROWS_H
#define APS_CRASH_ROWS_H

#include <event2/event.h>

#include "decide/suspect.h"
#include "members.h"
#include "platform/rowstore.h"

struct crash_rows;

/** Receives marks that are in the store; times are in ms of our clock. */
struct crash_rows_handler {
	void (*on_mark)(void *arg, const struct suspect_mark *mark);
	/** Somebody has removed the mark. */
	void (*on_removed)(void *arg, const struct suspect_mark *mark);
	void *arg;
};

struct crash_rows *crash_rows_create(struct event_base *base,
				     struct store *store,
				     const struct crash_rows_handler *handler);
void crash_rows_destroy(struct crash_rows *rows);
/** Writes the mark, shortly. */
void crash_rows_put(struct crash_rows *rows, const struct suspect_mark *mark);
/** Removes the mark, or does not write it after all. */
void crash_rows_remove(struct crash_rows *rows,
		       const struct suspect_mark *mark);
/** The same, unless another instance wrote the mark and will remove it. */
void crash_rows_withdraw(struct crash_rows *rows,
			 const struct suspect_mark *mark);
/** Writes what is due; called a few times per second. */
void crash_rows_tick(struct crash_rows *rows, const struct members *members);

#endif
