/**
 * @file header_limit.h
 * @brief Limits of the header of one request: bytes, lines and memory.
 *
 * The caller asks before it stores more of a header. All of it is in this file,
 * so that programs that link the HTTP listener alone need no other module.
 */
#ifndef APS_HEADER_LIMIT_H
#define APS_HEADER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** What a line takes beside its name and value, at least: a colon and
	 * a line feed. A request inside the byte limit is never counted as
	 * more than it has. */
	HEADER_LIMIT_LINE_BYTES = 2,
	/** Memory of a header for each byte of the byte limit, at most. A line
	 * of three bytes is stored in three, and buffers grow by doubling, so
	 * that a header inside the byte limit needs less. */
	HEADER_LIMIT_MEMORY_FACTOR = 4,
	/** Memory that each header may take beside. */
	HEADER_LIMIT_MEMORY_BASE_BYTES = 1024,
	/** A header with less memory is not rejected for what others hold: an
	 * ordinary request is served beside those that hold the memory, which
	 * are ended for it (see serve/memory.h). */
	HEADER_LIMIT_SMALL_BYTES = 4096,
};

/** The limits. */
struct header_limit {
	uint64_t max_bytes;
	uint32_t max_lines; /**< 0: no limit */
};

/** A header including the part that is to be stored. */
struct header_limit_use {
	uint64_t bytes; /**< see HEADER_LIMIT_LINE_BYTES */
	uint32_t lines;
	uint64_t memory; /**< that the header takes */
	uint64_t growth; /**< of that memory, not yet allocated */
	uint64_t room;	 /**< memory left for all requests together */
};

/** Whether more of a header may be stored. */
enum header_limit_verdict {
	HEADER_LIMIT_OK,
	HEADER_LIMIT_BYTES,  /**< the header is too long */
	HEADER_LIMIT_LINES,  /**< it has too many lines */
	HEADER_LIMIT_MEMORY, /**< it takes too much memory */
	HEADER_LIMIT_FULL,   /**< all requests together take too much */
	HEADER_LIMIT_VERDICTS,
};

/** Decides whether more of a header may be stored. */
static inline enum header_limit_verdict
header_limit_check(const struct header_limit *limit,
		   const struct header_limit_use *use)
{
	if (use->bytes > limit->max_bytes)
		return HEADER_LIMIT_BYTES;
	if (limit->max_lines > 0 && use->lines > limit->max_lines)
		return HEADER_LIMIT_LINES;
	if (use->memory > limit->max_bytes * HEADER_LIMIT_MEMORY_FACTOR +
				  HEADER_LIMIT_MEMORY_BASE_BYTES)
		return HEADER_LIMIT_MEMORY;
	if (use->memory > HEADER_LIMIT_SMALL_BYTES && use->growth > use->room)
		return HEADER_LIMIT_FULL;
	return HEADER_LIMIT_OK;
}

/** Returns the HTTP status of a rejection. Each states that the request has not
 * run; 503 that it may be sent again. */
static inline int header_limit_status(enum header_limit_verdict verdict)
{
	return verdict == HEADER_LIMIT_FULL ? 503 : 431;
}

#endif
