/**
 * @file rng.h
 * @brief A small seeded generator (splitmix64) and the hash built on it.
 */
#ifndef APS_RNG_H
#define APS_RNG_H

#include <stddef.h>
#include <stdint.h>

/** State of a generator; any value is a valid seed. */
struct rng {
	uint64_t state;
};

/** Mixes the bits of @p x. */
static inline uint64_t rng_mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/** Returns the next 64 bits. */
static inline uint64_t rng_next(struct rng *rng)
{
	rng->state += 0x9e3779b97f4a7c15ULL;
	return rng_mix(rng->state);
}

/** Returns a number below @p bound, which must not be 0. */
static inline uint64_t rng_below(struct rng *rng, uint64_t bound)
{
	return rng_next(rng) % bound;
}

/** Returns a number in [0, 1). */
static inline double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}

/** Hashes a string (FNV-1a, mixed); stable between releases. */
static inline uint64_t rng_hash(const char *s)
{
	uint64_t h = 0xcbf29ce484222325ULL;

	for (; *s != '\0'; s++)
		h = (h ^ (uint8_t)*s) * 0x100000001b3ULL;
	return rng_mix(h);
}

/** Returns the rank of @p b for @p a in rendezvous hashing: the same on all
 * instances, and in a different order for each @p a. */
static inline uint64_t rng_rank(const char *a, const char *b)
{
	return rng_mix(rng_hash(a) ^ rng_hash(b));
}

#endif
