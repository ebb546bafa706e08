/**
 * @file history.h
 * @brief Cache of the turns of programs, and chains of turns.
 *
 * The turns are those in the store. The cache is bounded in bytes and evicts
 * the least recently used turns first. A turn never changes, so an entry is
 * never stale.
 */
#ifndef APS_HISTORY_H
#define APS_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** A cache of turns by key. */
struct hist;

/**
 * @param max_bytes       maximum size of the cache
 * @param max_chain_bytes maximum size of the texts that all chains keep
 */
struct hist *hist_create(uint64_t max_bytes, uint64_t max_chain_bytes);
void hist_destroy(struct hist *hist);

/** Adds a turn of program @p owner; @p previous is the key of the turn before
 * it, or "". */
void hist_put(struct hist *hist, const char *key, const char *previous,
	      const char *owner, GBytes *text, int64_t now);
/** Sets aside @p bytes of what chains may keep, for a text that is being read;
 * returns false if there is no room. */
bool hist_reserve(struct hist *hist, uint64_t bytes);
/** Gives back what was set aside. */
void hist_release(struct hist *hist, uint64_t bytes);

/**
 * The turns that a turn continues. They are found in the cache or added as they
 * are read, in any order. As many of their texts as there is room for are kept,
 * whatever the cache evicts, each once for all chains; of the others the length
 * is known, and they are read again when they are needed.
 */
struct hist_chain;

/** A turn of a chain. */
struct hist_turn {
	const char *key;
	const char *owner; /**< key of the program that stores it */
	uint64_t len;	   /**< of the text */
	GBytes *text;	   /**< NULL: not in memory */
};

/** @param newest key of the turn that is continued */
struct hist_chain *hist_chain_create(struct hist *hist, const char *newest,
				     int64_t now);
void hist_chain_destroy(struct hist_chain *chain);
/** Adds a turn that was read, see hist_put(); @p text of @p len bytes may be
 * NULL. */
void hist_chain_add(struct hist_chain *chain, const char *key,
		    const char *previous, const char *owner, GBytes *text,
		    uint64_t len, int64_t now);
/** Goes on to older turns as far as they are in memory, as another chain may
 * have read them. */
void hist_chain_extend(struct hist_chain *chain, int64_t now);
/** Returns the key of the next older turn, which has not been seen, or NULL if
 * the chain is whole. */
const char *hist_chain_missing(const struct hist_chain *chain);
/** Whether a turn has been added. */
bool hist_chain_has_seen(const struct hist_chain *chain, const char *key);
/** Whether the texts of all turns that are known are kept. */
bool hist_chain_is_kept(const struct hist_chain *chain);
/** Stops keeping the texts of a whole chain. */
void hist_chain_release(struct hist_chain *chain);
/** Returns the owner of a turn whose text is not kept though there is room for
 * all that are not, or NULL. */
const char *hist_chain_fits(const struct hist_chain *chain);
/** Returns the number of turns of a whole chain. */
guint hist_chain_count(const struct hist_chain *chain);
/** Returns turn @p i of a whole chain; 0 is the oldest. */
void hist_chain_get(const struct hist_chain *chain, guint i,
		    struct hist_turn *turn);
/** Returns the length of all texts of a whole chain together. */
uint64_t hist_chain_size(const struct hist_chain *chain);

/** Evicts turns last used before @p since, so that turns which the store has
 * removed are not continued from the cache. */
void hist_evict_unused(struct hist *hist, int64_t since);
/** Returns the size of the cache in bytes. */
uint64_t hist_bytes(const struct hist *hist);
/** Returns the size of the texts that all chains keep, in bytes. */
uint64_t hist_chain_bytes(const struct hist *hist);

#endif
