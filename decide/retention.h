/**
 * @file retention.h
 * @brief Expiry of the rows of a program in the store.
 *
 * Each program has one row with the time at which its rows expire. A writer of
 * rows of the program extends that time in the same transaction. The sweeper
 * removes rows on condition that the expiry row still has the version that it
 * read, so rows of an active program are never removed.
 *
 * The load it must handle: an endless number of programs, each of which leaves
 * rows behind. All times are milliseconds of the store's clock.
 */
#ifndef APS_RETENTION_H
#define APS_RETENTION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Returns the expiry time to write, or 0 if the present one is late enough.
 *
 * @param expires_ms present expiry time, 0 if not known
 * @param keep_ms    retention time of the rows that are written now
 */
int64_t retention_extend(int64_t expires_ms, int64_t now, int64_t keep_ms);
/** Whether the rows of a program may be removed. */
bool retention_is_expired(int64_t expires_ms, int64_t now);

#endif
