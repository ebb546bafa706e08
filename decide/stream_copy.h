/**
 * @file stream_copy.h
 * @brief Copies of streams under way: what a caller may have got of each.
 *
 * A stream whose instance is lost may go on elsewhere only if what its caller
 * has is known there. An instance keeps a copy of each such stream that it
 * passes on, and one other instance keeps another one, in another availability
 * zone if there is one. Both are found by the name of the stream alone, by
 * rendezvous hashing over the instances. Times are milliseconds of one clock.
 */
#ifndef APS_STREAM_COPY_H
#define APS_STREAM_COPY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum {
	SCOPY_ID_BYTES = 16,
	/** Instances that are asked for a copy, at most. */
	SCOPY_ASKED_MAX = 12,
	/** Of the events that a text is split into, but for longer lines. */
	SCOPY_PART_BYTES = 262144,
};

/** A hash. */
struct scopy_id {
	uint8_t bytes[SCOPY_ID_BYTES];
};

/** Names a stream, and the attempt of its caller that brings it. */
struct scopy_name {
	struct scopy_id stream; /**< equal for all attempts */
	struct scopy_id attempt;
	/** The attempt that brought the first event; all that follow it take up
	 * what it began. */
	struct scopy_id first;
	/** Number of attempts that this one is known to follow. A caller that
	 * takes a stream up has no more than it says of those before. */
	uint32_t generation;
};

/** An event, or several: the id is the last one's. */
struct scopy_event {
	int64_t id; /**< -1: none */
	bool has_data;
	const uint8_t *data; /**< joined by line feeds */
	size_t len;
};

/** All copies that an instance keeps. */
struct scopy;
/** The copy of one attempt. */
struct scopy_stream;

/** @param max_bytes that all copies take; the oldest ones give way */
struct scopy *scopy_create(uint64_t max_bytes);
void scopy_destroy(struct scopy *scopy);
/** Bytes that all copies take, and their number. */
uint64_t scopy_bytes(const struct scopy *scopy);
guint scopy_count(const struct scopy *scopy);

/**
 * Begins a copy, which belongs to the caller until scopy_release().
 *
 * @param version of the software of the stream's server
 * @param keep_ms for how long the copy is kept after that
 */
struct scopy_stream *scopy_begin(struct scopy *scopy,
				 const struct scopy_name *name,
				 const char *version, int64_t keep_ms,
				 int64_t now_ms);
/** Adds an event. If there is no room, the whole copy is given up. */
void scopy_add(struct scopy_stream *stream, const struct scopy_event *event,
	       int64_t now_ms);
/** Adds the data of several events, a line feed after each, of which the last
 * one has the id @p id. */
void scopy_add_text(struct scopy_stream *stream, int64_t id, const char *text,
		    size_t len, int64_t now_ms);
/** The stream is complete. */
void scopy_end(struct scopy_stream *stream, int64_t now_ms);
/** Nothing more will be added. */
void scopy_release(struct scopy_stream *stream, int64_t now_ms);
/** Frees copies that were released long enough ago. */
void scopy_expire(struct scopy *scopy, int64_t now_ms);

const struct scopy_name *scopy_name(const struct scopy_stream *stream);
const char *scopy_version(const struct scopy_stream *stream);
int64_t scopy_keep_ms(const struct scopy_stream *stream);
bool scopy_has_ended(const struct scopy_stream *stream);
/** Number of events, and the event number @p i, valid until the next change. */
guint scopy_events(const struct scopy_stream *stream);
void scopy_get(const struct scopy_stream *stream, guint i,
	       struct scopy_event *event);

/** What is known of a stream; the more a value tells, the higher it is. */
enum scopy_result {
	SCOPY_UNKNOWN,	 /**< nothing */
	SCOPY_BEHIND,	 /**< less than the caller has */
	SCOPY_FOUND,	 /**< all that the caller has */
	SCOPY_AMBIGUOUS, /**< several attempts have brought different events */
};

/** The result of a search; scopy_found_clear() it. */
struct scopy_found {
	enum scopy_result result;
	char *version;	    /**< if it was found */
	GByteArray *text;   /**< the data of the caller's events, a line feed
			     * after each */
	int64_t last_event; /**< id of the last one that is known */
	bool ended;	    /**< that is the end of the stream */
	int64_t age_ms;	    /**< of the copy's last change */
	struct scopy_name name; /**< of the copy, unless nothing is known */
};

/**
 * Searches the copies of an instance. What a copy has beyond @p after_event
 * does not count any more once it is found: its caller does not have it, and
 * goes on with another attempt.
 *
 * @param attempt     the first attempt that brought events, or the last one; or
 *                    NULL
 * @param after_event id of the last event that the caller has
 */
void scopy_find(struct scopy *scopy, const struct scopy_id *stream,
		const struct scopy_id *attempt, int64_t after_event,
		int64_t now_ms, struct scopy_found *found);
/** Adds what another instance has found to @p found, and clears it. */
void scopy_combine(struct scopy_found *found, struct scopy_found *other);
void scopy_found_clear(struct scopy_found *found);

/** Another instance. */
struct scopy_peer {
	const char *zone;
	uint64_t hash; /**< of its id */
	bool responds;
};

/** Returns the index of the instance that keeps the copy of a stream which an
 * instance in @p zone passes on; -1: there is none. */
int scopy_pick_holder(const struct scopy_id *stream, const char *zone,
		      const struct scopy_peer *peers, guint n);
/** Selects the instances that may have a copy, whichever instance passed the
 * stream on. Returns their number; @p picked receives the indices. */
guint scopy_pick_asked(const struct scopy_id *stream,
		       const struct scopy_peer *peers, guint n,
		       guint picked[SCOPY_ASKED_MAX]);

#endif
