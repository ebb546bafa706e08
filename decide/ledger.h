/**
 * @file ledger.h
 * @brief Token buckets of client accounts, spent through short-lived grants.
 *
 * A grant counts against the burst until its use is reported or it expires, so
 * that tokens plus outstanding grants never exceed the burst.
 */
#ifndef APS_LEDGER_H
#define APS_LEDGER_H

#include <stdint.h>

#include "clk.h"
#include "proto/apricot.pb-c.h"
#include "rules.h"
#include "shard.h"

enum {
	/** Lifetime of a grant in ms; a dispatcher counts from its request. */
	LEDGER_GRANT_LIFETIME_MS = 400,
	/** Largest number of tokens in one grant. */
	LEDGER_GRANT_MAX = 64,
};

struct ledger;

/** Creates a ledger; the buckets start empty. */
struct ledger *ledger_create(const struct clk *clk);

/** Frees a ledger; NULL is allowed. */
void ledger_destroy(struct ledger *ledger);

/**
 * Takes over the accounts of @p shard: their buckets start empty, and refill
 * only after every grant of an earlier holder has expired.
 */
void ledger_acquire_shard(struct ledger *ledger, int shard);

/**
 * Applies the usage reports in @p ask and grants tokens from the bucket.
 *
 * @param ledger  the ledger
 * @param account limits in force
 * @param ask     the dispatcher's request for tokens
 * @param wait_ms receives the time until one token is available, if none was
 *                granted; otherwise 0
 * @return tokens granted, possibly 0
 */
uint32_t ledger_grant(struct ledger *ledger,
		      const struct rules_account *account,
		      const Aps__GrantAsk *ask, uint32_t *wait_ms);

#endif
