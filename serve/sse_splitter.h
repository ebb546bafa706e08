/**
 * @file sse_splitter.h
 * @brief Incremental parser that splits a stream into server-sent events.
 */
#ifndef APS_SSE_SPLITTER_H
#define APS_SSE_SPLITTER_H

#include <stdint.h>

#include <glib.h>

/** One event; valid during the callback. */
struct splitter_event {
	const char *raw; /**< as received, with the empty line at its end */
	size_t raw_len;
	int64_t id;    /**< -1: it has none */
	GString *data; /**< its data lines, joined by line feeds */
	gboolean has_data;
};

/** Called for each complete event. */
typedef void splitter_event_fn(void *arg, const struct splitter_event *event);

/** State of the parser: the bytes of an incomplete event. */
struct splitter;

struct splitter *splitter_create(void);
void splitter_destroy(struct splitter *splitter);
/** Parses further bytes of the stream; @p fn must not destroy the splitter. */
void splitter_feed(struct splitter *splitter, const char *data, size_t len,
		   splitter_event_fn *fn, void *arg);
/** Buffered bytes of an incomplete event. */
size_t splitter_pending(const struct splitter *splitter);
/** Discards them: another server continues the stream. */
void splitter_reset(struct splitter *splitter);

#endif
