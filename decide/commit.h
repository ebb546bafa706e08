/**
 * @file commit.h
 * @brief Group commit of one instance, which is also its lease.
 *
 * Every transaction rewrites the instance's own row, on condition that no other
 * instance has changed it. So each commit renews the lease, the transaction id
 * in the row tells whether a commit whose reply was lost took effect, and an
 * instance whose row was taken over cannot write any more. One transaction is
 * in flight at a time.
 */
#ifndef APS_COMMIT_H
#define APS_COMMIT_H

#include "node_int.h"

enum {
	/** Duration of a lease in ms, counted from sending its renewal. */
	COMMIT_LEASE_MS = 4000,
	/** Added by observers of a lease to allow for clock drift, in ms. */
	COMMIT_DRIFT_MARGIN_MS = 500,
	/** Renewal interval when there is nothing to write, in ms. */
	COMMIT_RENEW_MS = 1000,
	/** Remaining time below which a lease counts as expired, in ms. */
	COMMIT_LEASE_REMAINING_MIN_MS = 100,
	/** Number of rows from which a transaction takes no more writes. */
	COMMIT_ROWS_MAX = 512,
};

/** Completion of a write. Not called if the node is fenced. */
typedef void (*commit_fn)(void *arg, bool durable);

/** Conditions and rows that are written atomically. */
struct commit_write {
	const Aps__Condition *conditions;
	size_t conditions_len;
	const Aps__Row *rows;
	size_t rows_len;
	commit_fn fn; /**< may be NULL */
	void *arg;
};

/** Creates the group commit; the first commit starts the lease. */
struct commit *commit_create(struct node *node);

/** Frees it without completing queued writes; NULL is allowed. */
void commit_destroy(struct commit *commit);

/** Queues a write; its conditions and rows are copied. */
void commit_write(struct commit *commit, const struct commit_write *write);

/** Queues one row, or its deletion if @p buf is NULL. */
void commit_put_row(struct commit *commit, const char *key, const uint8_t *buf,
		    size_t len, commit_fn fn, void *arg);

/** Sends the transaction or renewal that is due. */
void commit_tick(struct commit *commit);

/** Returns whether the lease is valid with the required time remaining. */
bool commit_lease_is_valid(const struct commit *commit);

/** Returns whether all writes, and the state of the instance, are durable. */
bool commit_is_idle(const struct commit *commit);

/** Sets the state to be written to the instance's row. */
void commit_set_state(struct commit *commit, Aps__InstanceState state);

#endif
