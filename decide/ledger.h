/**
 * @file ledger.h
 * @brief Token buckets of client accounts, spent through short-lived grants.
 *
 * A grant counts against the burst until it is reported or its life is over,
 * so that tokens + outstanding never pass the burst.
 */
#ifndef APS_LEDGER_H
#define APS_LEDGER_H

#include <stdint.h>

#include "clk.h"
#include "proto/apricot.pb-c.h"
#include "rules.h"
#include "shard.h"

enum {
	/** Life of a grant in ms, counted from when it was asked for. */
	LEDGER_GRANT_LIFETIME_MS = 400,
	/** Most tokens in one grant. */
	LEDGER_GRANT_MAX = 64,
};

struct ledger;

/** Creates a ledger; buckets of accounts start empty. */
struct ledger *ledger_create(const struct clk *clk);

/** Frees a ledger; NULL is allowed. */
void ledger_destroy(struct ledger *led);

/**
 * Takes over the accounts of @p shard: their buckets start again empty, and
 * fill only when every grant of an earlier holder has expired.
 */
void ledger_acquire_shard(struct ledger *led, int shard);

/**
 * Takes up the reports of @p ask and grants what the bucket has.
 *
 * @param led     the ledger
 * @param account limits in force
 * @param ask     what is wanted
 * @param wait_ms receives the time until one token is there, if none is now
 * @return tokens granted, possibly 0
 */
uint32_t ledger_grant(struct ledger *led, const struct rul_account *account,
		      const Aps__GrantAsk *ask, uint32_t *wait_ms);

#endif
