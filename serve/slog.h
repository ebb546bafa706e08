/**
 * @file slog.h
 * @brief Structured log: one JSON object a line on standard output.
 *
 * Lines are collected and written a few times a second; a reader that does
 * not read costs lines, never time. Each kind of line has a rate; what goes
 * beyond it is counted and the count is logged. `t` is Unix time in ms, so that
 * lines of several instances can be put in order.
 */
#ifndef APS_SLOG_H
#define APS_SLOG_H

#include <glib.h>

/** Begins the log of an instance. */
void slog_open(const char *instance);
/**
 * Writes a line.
 *
 * @param kind   what happened: one of a fixed set of words
 * @param id     the request it happened to, or NULL
 * @param fields the rest of the object, as printf() would print it, without
 *               braces; strings in it pass through slog_quote()
 */
void slog(const char *kind, const char *id, const char *fields, ...)
	G_GNUC_PRINTF(3, 4);
/** Returns @p text as a JSON string with its quotes, from a ring of buffers:
 * it stays as it is for the next seven calls. Longer texts are cut. */
const char *slog_quote(const char *text);
/** Writes out what is collected. */
void slog_flush(void);
/** Lines left out since the start. */
guint64 slog_dropped(void);

#endif
