/**
 * @file share.h
 * @brief Division of a small number of units among many instances.
 *
 * The load it must handle: a server that bears a few requests a second while
 * hundreds of instances have requests for it. Rounding up to a unit for each
 * instance would exceed the bound many times, so only the instances that come
 * first for that resource get the units that are left after an even division.
 */
#ifndef APS_SHARE_H
#define APS_SHARE_H

#include <stdint.h>

#include "rng.h"

/** Returns the order of an instance for a resource; see rng_rank(). Takes
 * hashes, so that an instance can compare itself with hundreds of others. */
static inline uint64_t share_order(uint64_t resource_hash,
				   uint64_t instance_hash)
{
	return rng_mix(resource_hash ^ instance_hash);
}

/**
 * Returns the part of @p units of the instance that has @p rank others before
 * it, out of @p instances (at least 1).
 */
static inline uint32_t share_units(uint32_t units, uint32_t instances,
				   uint32_t rank)
{
	return units / instances + (rank < units % instances ? 1 : 0);
}

#endif
