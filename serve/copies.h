/**
 * @file copies.h
 * @brief Copies of streams under way, at this instance and one other.
 *
 * What an instance passes on of a stream that may be taken up by its caller is
 * kept here and at one other instance (decide/stream_copy.h says which), as it
 * passes. A stream that is taken up goes on with what one of them knows.
 * Nothing waits for a copy: the other instance is about a network delay behind.
 *
 * If that instance is lost, the copy goes to another one from its beginning. If
 * both are lost, nothing is known of the stream, and none is made up.
 */
#ifndef APS_COPIES_H
#define APS_COPIES_H

#include <event2/bufferevent.h>

#include "decide/stream_copy.h"
#include "members.h"
#include "memory.h"

/** All copies of an instance, and its connections for them. */
struct copies;
/** A stream that this instance passes on. */
struct copies_stream;
/** A search for what is known of a stream. */
struct copies_search;

struct copies_config {
	struct event_base *base;
	struct members *members;
	struct mem_budget *memory;
	const char *zone;
	uint64_t max_bytes; /**< of all copies */
};

struct copies *copies_create(const struct copies_config *config);
void copies_destroy(struct copies *copies);
/** Takes over a connection that another instance has opened for copies; @p arg
 * is the struct copies. */
void copies_accept(void *arg, struct bufferevent *bev);
/** Number of copies, also of those for others, and their bytes. */
void copies_size(const struct copies *copies, guint *count, uint64_t *bytes);

/** Begins to copy a stream; see scopy_begin(). */
struct copies_stream *copies_begin(struct copies *copies,
				   const struct scopy_name *name,
				   const char *version, int64_t keep_ms);
/** Adds an event that is about to be passed on; copies_send() sends it. */
void copies_add(struct copies_stream *stream, const struct scopy_event *event);
/** Adds what the caller had before; see scopy_add_text(). */
void copies_add_text(struct copies_stream *stream, int64_t id, const char *text,
		     size_t len);
/** The stream is complete. */
void copies_end(struct copies_stream *stream);
/** Sends what was added to the other instance. */
void copies_send(struct copies_stream *stream);
/** Nothing more will be passed on; the copy is kept for a while. */
void copies_release(struct copies_stream *stream);

/** Receives the result of a search, which is freed when this returns. @p holder
 * is the instance that knew most, or "". */
typedef void copies_found_fn(void *arg, const struct scopy_found *found,
			     const char *holder);

/**
 * Searches for what is known of a stream; the result comes later, within some
 * hundred milliseconds.
 *
 * @param attempt     the attempt that brought its events, the first or the last
 *                    one; or NULL
 * @param after_event id of the last event that the caller has
 */
struct copies_search *copies_find(struct copies *copies,
				  const struct scopy_id *stream,
				  const struct scopy_id *attempt,
				  int64_t after_event, copies_found_fn *found,
				  void *arg);
void copies_cancel(struct copies_search *search);

#endif
