/** @file retention.c @brief Expiry of the rows of a program. */
#include "retention.h"

enum {
	/* A write without a response may take effect seconds later and set an
	 * earlier expiry time again. */
	LATE_WRITE_MS = 30000,
	/* A reader that has just found a program may continue it. */
	REMOVAL_MARGIN_MS = 60000,
};

int64_t retention_extend(int64_t expires_ms, int64_t now, int64_t keep_ms)
{
	if (expires_ms >= now + keep_ms + LATE_WRITE_MS)
		return 0;
	/* Twice the retention time, so that one write per such period is
	 * enough. */
	return now + 2 * keep_ms + LATE_WRITE_MS;
}

bool retention_is_expired(int64_t expires_ms, int64_t now)
{
	return now > expires_ms + REMOVAL_MARGIN_MS;
}
