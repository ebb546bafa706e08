/**
 * @file history.h
 * @brief Turns of programs that this instance has at hand.
 *
 * A cache of what the store keeps, bounded in bytes; the least recently used
 * turns go first. A turn never changes, so nothing in it is ever stale.
 */
#ifndef APS_HISTORY_H
#define APS_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Turns at hand, by the key of the turn. */
struct hist;

/** @param most_bytes bound of the cache */
struct hist *hist_create(uint64_t most_bytes);
void hist_destroy(struct hist *hist);

/** Adds a turn of program @p owner: @p previous is the key of the one before
 * it, or "". */
void hist_put(struct hist *hist, const char *turn, const char *previous,
	      const char *owner, GBytes *text, int64_t now);
/**
 * Joins the texts of a chain, oldest first, into @p text.
 *
 * @param owner   the program that asks
 * @param foreign set if a turn of the chain is another program's
 * @return NULL if the chain is whole; otherwise the key of the first turn
 *         that is not at hand, to be freed
 */
char *hist_join(struct hist *hist, const char *turn, const char *owner,
		int64_t now, GByteArray *text, bool *foreign);
/** Drops turns that were last used before @p since: what the store has removed
 * must not be continued from here. */
void hist_evict_unused(struct hist *hist, int64_t since);
/** Bytes at hand. */
uint64_t hist_bytes(const struct hist *hist);

#endif
