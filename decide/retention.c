/** @file retention.c @brief How long the rows of a program stay. */
#include "retention.h"

enum {
	/* A write whose answer was lost may take effect seconds later and put
	 * an older time back. */
	LATE_MS = 30000,
	/* Readers that have just found a program go on with it. */
	MARGIN_MS = 60000,
};

int64_t retention_extend(int64_t expires_at, int64_t now, int64_t keep_ms)
{
	if (expires_at >= now + keep_ms + LATE_MS)
		return 0;
	/* Twice as long as needed: one write in each such time is enough. */
	return now + 2 * keep_ms + LATE_MS;
}

bool retention_is_expired(int64_t expires_at, int64_t now)
{
	return now > expires_at + MARGIN_MS;
}
