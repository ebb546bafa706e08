/**
 * @file shard.h
 * @brief Numbering of shards: program owners, account ledgers, dispatchers.
 */
#ifndef APS_SHARD_H
#define APS_SHARD_H

#include "rng.h"

enum {
	SHD_PROGRAMS = 256, /**< shards of program owners */
	SHD_LEDGERS = 16,   /**< shards of account ledgers */
	SHD_POOLS = 16,	    /**< shards of dispatchers, by pool */
	SHD_COUNT = SHD_PROGRAMS + SHD_LEDGERS + SHD_POOLS,
};

/** What a shard's holder decides. */
enum shd_kind {
	SHD_PROGRAM,
	SHD_LEDGER,
	SHD_POOL,
};

/** Returns the kind of shard @p shard. */
static inline enum shd_kind shd_kind(int shard)
{
	if (shard < SHD_PROGRAMS)
		return SHD_PROGRAM;
	if (shard < SHD_PROGRAMS + SHD_LEDGERS)
		return SHD_LEDGER;
	return SHD_POOL;
}

/** Returns the shard of kind @p kind that @p name falls into. */
static inline int shd_of(enum shd_kind kind, const char *name)
{
	uint64_t hash = rng_hash(name);

	switch (kind) {
	case SHD_PROGRAM:
		return (int)(hash % SHD_PROGRAMS);
	case SHD_LEDGER:
		return SHD_PROGRAMS + (int)(hash % SHD_LEDGERS);
	default:
		return SHD_PROGRAMS + SHD_LEDGERS + (int)(hash % SHD_POOLS);
	}
}

#endif
