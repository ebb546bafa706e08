/**
 * @file log.h
 * @brief Log of messages in syslog format on standard error.
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

/** Sets the instance name that is written in each line. */
void log_open(const char *id);

/** Writes one line; text beyond 511 bytes is cut off. */
void log_line(enum log_level level, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
