/**
 * @file cost_cache.h
 * @brief Estimate of the prompt prefixes that one engine has cached, from what
 * this instance has sent to it.
 */
#ifndef APS_COST_CACHE_H
#define APS_COST_CACHE_H

#include <stdint.h>

/** The prefixes at one engine, least recently used first out. */
struct ccache;

struct ccache *ccache_create(void);
void ccache_destroy(struct ccache *cache);
/** Returns the number of tokens of an entry, or 0 if it isn't cached. */
uint64_t ccache_get(const struct ccache *cache, uint64_t key);
/**
 * Adds an entry or marks it as used. The least recently used ones are evicted
 * when all take more than @p size_max; 0: only their number is limited.
 *
 * @param size tokens of memory that it takes in addition to the others
 */
void ccache_put(struct ccache *cache, uint64_t key, uint64_t tokens,
		uint64_t size, uint64_t size_max);
/** Removes all entries. */
void ccache_clear(struct ccache *cache);

#endif
