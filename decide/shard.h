/**
 * @file shard.h
 * @brief Maps programs, accounts and pools of servers to numbered shards.
 */
#ifndef APS_SHARD_H
#define APS_SHARD_H

#include "rng.h"

enum {
	SHARD_PROGRAM_COUNT = 256, /**< shards of program owners, by program */
	SHARD_LEDGER_COUNT = 16,   /**< shards of account ledgers, by account */
	SHARD_POOL_COUNT = 16,	   /**< shards of dispatchers, by pool */
	SHARD_COUNT =
		SHARD_PROGRAM_COUNT + SHARD_LEDGER_COUNT + SHARD_POOL_COUNT,
};

/** The role of a shard's holder. */
enum shard_kind {
	SHARD_KIND_PROGRAM, /**< owner of programs */
	SHARD_KIND_LEDGER,  /**< ledger of accounts */
	SHARD_KIND_POOL,    /**< dispatcher of pools */
};

/** Returns the kind of @p shard. */
static inline enum shard_kind shard_kind(int shard)
{
	if (shard < SHARD_PROGRAM_COUNT)
		return SHARD_KIND_PROGRAM;
	if (shard < SHARD_PROGRAM_COUNT + SHARD_LEDGER_COUNT)
		return SHARD_KIND_LEDGER;
	return SHARD_KIND_POOL;
}

/** Returns the shard of kind @p kind to which @p name is hashed. */
static inline int shard_for_name(enum shard_kind kind, const char *name)
{
	uint64_t hash = rng_hash(name);

	switch (kind) {
	case SHARD_KIND_PROGRAM:
		return (int)(hash % SHARD_PROGRAM_COUNT);
	case SHARD_KIND_LEDGER:
		return SHARD_PROGRAM_COUNT + (int)(hash % SHARD_LEDGER_COUNT);
	default:
		return SHARD_PROGRAM_COUNT + SHARD_LEDGER_COUNT +
		       (int)(hash % SHARD_POOL_COUNT);
	}
}

#endif
