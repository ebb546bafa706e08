/**
 * @file revision.h
 * @brief Revisions of the rules in the table, with an audit log.
 *
 * A revision is added by compare-and-set on the row of the newest one.
 */
#ifndef APS_REVISION_H
#define APS_REVISION_H

#include <glib.h>

#include "proto/apricot.pb-c.h"

/** Key of the head row, which holds the number of the newest revision. */
#define REV_HEAD_KEY "n/c/head"

/** A new revision and the one it is based on. */
struct rev_change {
	uint64_t base_revision; /**< revision it is based on, 0 if none */
	uint64_t base_version;	/**< version of the head row, 0 if none */
	uint64_t txn;	  /**< unique id; shows after a lost reply that it was
			     applied */
	uint64_t when_ms; /**< wall-clock time, ms since 1970 */
	const char *who;  /**< author */
	const char *why;  /**< reason */
	const char *text; /**< the rules */
};

/** Returns the key of a revision's row; g_free() it. */
char *rev_key(uint64_t revision);

/** Returns the key of a revision's audit row; g_free() it. */
char *rev_audit_key(uint64_t revision);

/**
 * Returns the transaction that adds @p change as the next revision;
 * aps__table_request__free_unpacked() it.
 */
Aps__TableRequest *rev_build_request(const struct rev_change *change);

#endif
