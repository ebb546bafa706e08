/**
 * @file header_meter.h
 * @brief Counts what a header takes while it is read, and reports rejections.
 *
 * All of it is in this file, see decide/header_limit.h.
 */
#ifndef APS_HEADER_METER_H
#define APS_HEADER_METER_H

#include <stddef.h>

#include <glib.h>

#include "decide/header_limit.h"
#include "slog.h"
#include "stats.h"

/** Why a header was rejected; the causes of the limit come first. */
enum {
	HEADER_CAUSE_MALFORMED = HEADER_LIMIT_VERDICTS,
	HEADER_CAUSES,
	/** Between two log lines of one cause. */
	HEADER_LOG_GAP_MS = 1000,
};

/** What a header takes so far. */
struct header_meter {
	size_t bytes; /**< see HEADER_LIMIT_LINE_BYTES */
	size_t memory;
	uint32_t lines;
};

/** Rejections that are not logged yet. */
struct header_rejections {
	int64_t logged_ms[HEADER_CAUSES];
	guint rejected[HEADER_CAUSES]; /**< since then */
};

/**
 * Counts a part of a header that is to be stored.
 *
 * @param room   memory left for all requests together
 * @param memory what the header takes once the part is stored
 */
static inline enum header_limit_verdict
header_meter_add(struct header_meter *meter, const struct header_limit *limit,
		 uint64_t room, size_t bytes, uint32_t lines, size_t memory)
{
	struct header_limit_use use = {
		.bytes = meter->bytes + bytes,
		.lines = meter->lines + lines,
		.memory = memory,
		.growth = memory - MIN(meter->memory, memory),
		.room = room,
	};
	enum header_limit_verdict verdict = header_limit_check(limit, &use);

	meter->bytes += bytes;
	meter->lines += lines;
	if (verdict == HEADER_LIMIT_OK)
		meter->memory = MAX(meter->memory, memory);
	return verdict;
}

/** Counts a rejection, and logs at most one line in HEADER_LOG_GAP_MS for each
 * cause. */
static inline void header_rejections_note(struct header_rejections *rejections,
					  int cause,
					  const struct header_meter *meter,
					  const struct header_limit *limit,
					  int64_t now_ms)
{
	static const struct {
		const char *name;
		enum stats_counter counter;
	} causes[HEADER_CAUSES] = {
		[HEADER_LIMIT_BYTES] = {"bytes", STATS_HEADER_BYTES},
		[HEADER_LIMIT_LINES] = {"lines", STATS_HEADER_LINES},
		[HEADER_LIMIT_MEMORY] = {"memory", STATS_HEADER_MEMORY},
		[HEADER_LIMIT_FULL] = {"full", STATS_HEADER_FULL},
		[HEADER_CAUSE_MALFORMED] = {"malformed",
					    STATS_HEADER_MALFORMED},
	};

	stats_count(causes[cause].counter);
	rejections->rejected[cause]++;
	if (rejections->logged_ms[cause] != 0 &&
	    now_ms - rejections->logged_ms[cause] < HEADER_LOG_GAP_MS)
		return;
	slog("header", NULL,
	     "\"cause\":\"%s\",\"rejected\":%u,\"bytes\":%zu,"
	     "\"lines\":%u,\"memory\":%zu,\"max_bytes\":%" G_GUINT64_FORMAT
	     ",\"max_lines\":%u",
	     causes[cause].name, rejections->rejected[cause], meter->bytes,
	     meter->lines, meter->memory, limit->max_bytes, limit->max_lines);
	rejections->logged_ms[cause] = now_ms;
	rejections->rejected[cause] = 0;
}

#endif
