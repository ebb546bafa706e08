/**
 * @file retention.h
 * @brief How long the rows of a program stay in the store.
 *
 * Each program has one row that says until when its rows are kept, by the
 * store's clock. Whoever writes rows of the program puts that time far enough
 * off in the same transaction; whoever removes them does so on the version of
 * that row, so a program that goes on is never removed.
 *
 * Load that it answers: programs without end, of which each leaves rows
 * behind. All times are milliseconds of the store's clock.
 */
#ifndef APS_RETENTION_H
#define APS_RETENTION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The time that a writer has to put, or 0 if the one that stands is enough.
 *
 * @param expires_at what stands, 0: not known
 * @param keep_ms    how long the rows that are written now are to stay
 */
int64_t retention_extend(int64_t expires_at, int64_t now, int64_t keep_ms);
/** Whether the rows of a program may go. */
bool retention_is_expired(int64_t expires_at, int64_t now);

#endif
