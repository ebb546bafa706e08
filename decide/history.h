/**
 * @file history.h
 * @brief Cache of the turns of programs.
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

/** @param max_bytes maximum size of the cache */
struct hist *hist_create(uint64_t max_bytes);
void hist_destroy(struct hist *hist);

/** Adds a turn of program @p owner; @p previous is the key of the turn before
 * it, or "". */
void hist_put(struct hist *hist, const char *key, const char *previous,
	      const char *owner, GBytes *text, int64_t now);
/**
 * Appends the texts of a turn and its predecessors, oldest first, to @p text.
 *
 * @param owner   the program that reads the turns
 * @param foreign receives whether a turn belongs to another program
 * @return NULL if all turns were found; otherwise the key of the newest turn
 *         that is missing, to be freed, and @p text is unchanged
 */
char *hist_join(struct hist *hist, const char *key, const char *owner,
		int64_t now, GByteArray *text, bool *foreign);
/** Evicts turns last used before @p since, so that turns which the store has
 * removed are not continued from the cache. */
void hist_evict_unused(struct hist *hist, int64_t since);
/** Returns the size of the cache in bytes. */
uint64_t hist_bytes(const struct hist *hist);

#endif
