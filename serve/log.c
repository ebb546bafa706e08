/** @file log.c @brief Log of messages on standard error. */
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "log.h"

enum {
	LOG_TEXT_MAX_BYTES = 512,
	LOG_ID_MAX_BYTES = 64,
};

static char log_id[LOG_ID_MAX_BYTES] = "-";

void log_open(const char *id)
{
	g_strlcpy(log_id, id, sizeof(log_id));
}

void log_line(enum log_level level, const char *fmt, ...)
{
	char text[LOG_TEXT_MAX_BYTES];
	char when[32];
	struct tm tm;
	time_t now = time(NULL);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	gmtime_r(&now, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	fprintf(stderr, "<%d>%s %s apricotshift[%d]: %s\n", (int)level, when,
		log_id, (int)getpid(), text);
}
