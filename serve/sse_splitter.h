/**
 * @file sse_splitter.h
 * @brief Splits a stream of events as it comes.
 */
#ifndef APS_SSE_SPLITTER_H
#define APS_SSE_SPLITTER_H

#include <stdint.h>

#include <glib.h>

/** One event; the texts belong to the splitter. */
struct splitter_event {
	const char *raw; /**< the event's bytes with the line that ends it */
	size_t raw_len;
	int64_t id;    /**< -1: it has none */
	GString *data; /**< its data lines, joined by line feeds */
	gboolean has_data;
};

/** Takes each event as it becomes whole. */
typedef void splitter_event_fn(void *arg, const struct splitter_event *event);

/** Bytes of an event that is not whole yet. */
struct splitter;

struct splitter *splitter_create(void);
void splitter_destroy(struct splitter *splitter);
/** Takes bytes in; @p fn must not destroy the splitter. */
void splitter_feed(struct splitter *splitter, const char *data, size_t len,
		   splitter_event_fn *fn, void *arg);
/** Bytes that belong to no whole event. */
size_t splitter_pending(const struct splitter *splitter);
/** Forgets these: the stream goes on from another server. */
void splitter_reset(struct splitter *splitter);

#endif
