/**
 * @file slog.h
 * @brief Structured log: one JSON object per line on standard output.
 *
 * Lines are buffered and written a few times per second without blocking; a
 * slow reader costs lines, never time. Each event has a rate limit; lines
 * beyond it are dropped and counted, and the count is logged. `t` is Unix time
 * in ms, so that the lines of several instances can be merged in order.
 */
#ifndef APS_SLOG_H
#define APS_SLOG_H

#include <glib.h>

/** Starts the log; @p instance is written in each line. */
void slog_open(const char *instance);
/**
 * Writes a line.
 *
 * @param event  name of the event, a literal
 * @param id     id of the request it concerns, or NULL
 * @param fields printf() format of further members of the object, without
 *               braces; strings must be quoted by slog_quote()
 */
void slog(const char *event, const char *id, const char *fields, ...)
	G_GNUC_PRINTF(3, 4);
/**
 * Returns @p text as a quoted JSON string, cut off after about 200 bytes. The
 * result is in a ring of buffers and remains valid for the next seven calls.
 */
const char *slog_quote(const char *text);
/** Writes the buffered lines. */
void slog_flush(void);
/** Returns the number of lines dropped since the start. */
guint64 slog_dropped(void);

#endif
