/**
 * @file commit.h
 * @brief Group commit of one instance, which is also its lease.
 *
 * Every transaction rewrites the instance's own row under the condition that
 * nobody else has, so a commit renews the lease, a lost reply is settled by
 * the transaction id in the row, and an instance whose lease was taken over
 * can write nothing. One transaction is in flight at a time.
 */
#ifndef APS_COMMIT_H
#define APS_COMMIT_H

#include "node_int.h"

enum {
	/** Life of a lease in ms, from the sending of its renewal. */
	COMMIT_LEASE_MS = 4000,
	/** Added by those who watch a lease, against clock drift. */
	COMMIT_DRIFT_MARGIN_MS = 500,
	/** Time between renewals when there is nothing to write, in ms. */
	COMMIT_RENEW_MS = 1000,
	/** Rest of the lease that an action must leave, in ms. */
	COMMIT_LEASE_REMAINING_MIN_MS = 100,
	/** Most rows in one transaction. */
	COMMIT_ROWS_MAX = 512,
};

/** Receives the end of a write. Not called if the node is fenced. */
typedef void (*commit_fn)(void *arg, bool durable);

/** Conditions and rows that stand or fall together. */
struct commit_write {
	const Aps__Condition *conditions;
	size_t conditions_len;
	const Aps__Row *rows;
	size_t rows_len;
	commit_fn fn; /**< may be NULL */
	void *arg;
};

/** Creates the group commit; the lease starts with the first commit. */
struct commit *commit_create(struct node *node);

/** Frees it without calling anyone back; NULL is allowed. */
void commit_destroy(struct commit *commit);

/** Queues a write; its parts are copied. */
void commit_write(struct commit *commit, const struct commit_write *write);

/** Queues one row, or its deletion if @p buf is NULL. */
void commit_put_row(struct commit *commit, const char *key, const uint8_t *buf,
		    size_t len, commit_fn fn, void *arg);

/** Sends what is due. */
void commit_tick(struct commit *commit);

/** Returns whether the lease is valid now. */
bool commit_lease_is_valid(const struct commit *commit);

/** Returns whether everything queued is durable. */
bool commit_is_idle(const struct commit *commit);

/** Sets the state that the instance's row shows. */
void commit_set_state(struct commit *commit, Aps__InstanceState state);

#endif
