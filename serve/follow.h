/**
 * @file follow.h
 * @brief A table of the store that is read completely and then followed.
 *
 * Rows are passed on as of some version of the table; changes come with a feed
 * from that version. If the store has discarded the changes in between, the
 * table is read again.
 */
#ifndef APS_FOLLOW_H
#define APS_FOLLOW_H

#include <event2/event.h>

#include "platform/rowstore.h"

struct follow;

/** The table, and callbacks. */
struct follow_config {
	struct event_base *base;
	struct store *store;
	const char *table;
	int64_t poll_ms;  /**< longest wait of a call for changes */
	int64_t pause_ms; /**< between two calls, if the first had rows */
	int64_t retry_ms; /**< until the next call after a failure */
	/** A complete read begins, or begins again. */
	void (*on_begin)(void *arg);
	/** A row was read, or has changed. */
	void (*on_row)(void *arg, const struct store_row *row);
	/** All rows were read. */
	void (*on_read)(void *arg);
	/** All rows of a response were passed on, the table being known; or
	 * NULL. */
	void (*on_current)(void *arg);
	void *arg;
};

/** Begins to read the table. */
struct follow *follow_create(const struct follow_config *config);
void follow_destroy(struct follow *follow);
/** Whether all rows were read, so that only changes come. */
bool follow_has_read(const struct follow *follow);
/** Time since the call was sent that last confirmed what is known. */
int64_t follow_age_ms(const struct follow *follow);
/** Replaces a call for changes, which may wait on a dead connection. */
void follow_renew(struct follow *follow);

#endif
