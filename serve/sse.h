/**
 * @file sse.h
 * @brief Reads the server-sent events of a chat completion stream.
 */
#ifndef APS_SSE_H
#define APS_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** What a stream has brought so far. */
struct sse {
	GString *line;	/**< the line that is not complete */
	bool done;	/**< the last event came */
	bool malformed; /**< an event was not understood */
	char *id;	/**< request id that the events name, or NULL */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
};

/** Receives the text of one event. */
typedef void (*sse_fn)(void *arg, const char *text, size_t len);

/** Prepares for a new stream. */
void sse_init(struct sse *sse);

/** Frees what a stream holds. */
void sse_clear(struct sse *sse);

/** Takes up bytes of the stream. */
void sse_feed(struct sse *sse, const char *buf, size_t len, sse_fn fn,
	      void *arg);

#endif
