/**
 * @file log.h
 * @brief syslog-style lines on standard error.
 */
#ifndef APS_LOG_H
#define APS_LOG_H

#include <glib.h>

/** Severity, as in syslog(3). */
enum log_level {
	LOG_LEVEL_ERR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
};

/** Sets the name that each line carries. */
void log_open(const char *id);

/** Writes one line. */
void log_line(enum log_level level, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
