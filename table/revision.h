/**
 * @file revision.h
 * @brief Revisions of the rules in the table: compare-and-set with an audit.
 */
#ifndef APS_REVISION_H
#define APS_REVISION_H

#include <glib.h>

#include "proto/apricot.pb-c.h"

/** Row that names the newest revision. */
#define REV_HEAD_KEY "n/c/head"

/** What a revision is made of. */
struct rev_change {
	uint64_t base_revision; /**< revision it was read at, 0 if none */
	uint64_t base_version;	/**< version of the head row, 0 if none */
	uint64_t txn;		/**< id that tells a lost reply */
	uint64_t when_ms;	/**< wall-clock time, ms since 1970 */
	const char *who;
	const char *why;
	const char *text;
};

/** Returns the key of revision @p revision; g_free() it. */
char *rev_key(uint64_t revision);

/** Returns the key of its audit row; g_free() it. */
char *rev_audit_key(uint64_t revision);

/**
 * Returns the transaction that makes @p change the next revision;
 * aps__table_request__free_unpacked() it.
 */
Aps__TableRequest *rev_build_request(const struct rev_change *change);

#endif
