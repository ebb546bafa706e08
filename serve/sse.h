/**
 * @file sse.h
 * @brief Parser for the server-sent events of a chat completion stream.
 */
#ifndef APS_SSE_H
#define APS_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** State of a stream and the values read from it. */
struct sse {
	GString *line;	/**< the incomplete last line */
	bool done;	/**< the final "[DONE]" event was read */
	bool malformed; /**< a line was too long or not a JSON object */
	char *id;	/**< request id in the last event that had one */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
};

/** Receives the content of one event. */
typedef void (*sse_fn)(void *arg, const char *text, size_t len);

/** Initializes the state for a new stream. */
void sse_init(struct sse *sse);

/** Frees the contents of @p sse. */
void sse_clear(struct sse *sse);

/** Parses the next bytes of the stream. */
void sse_feed(struct sse *sse, const char *buf, size_t len, sse_fn fn,
	      void *arg);

#endif
