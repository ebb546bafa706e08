/**
 * @file events.h
 * @brief Splits a stream of events as it comes.
 */
#ifndef APS_EVENTS_H
#define APS_EVENTS_H

#include <stdint.h>

#include <glib.h>

/** One event; the texts belong to the splitter. */
struct evt {
	const char *raw; /**< the event's bytes with the line that ends it */
	size_t raw_len;
	int64_t id;    /**< -1: it has none */
	GString *data; /**< its data lines, joined by line feeds */
	gboolean has_data;
};

/** Takes each event as it becomes whole. */
typedef void evt_fn(void *arg, const struct evt *event);

/** Bytes of an event that is not whole yet. */
struct evt_splitter;

struct evt_splitter *evt_create(void);
void evt_destroy(struct evt_splitter *splitter);
/** Takes bytes in; @p fn must not destroy the splitter. */
void evt_feed(struct evt_splitter *splitter, const char *data, size_t len,
	      evt_fn *fn, void *arg);
/** Bytes that belong to no whole event. */
size_t evt_left(const struct evt_splitter *splitter);
/** Forgets these: the stream goes on from another server. */
void evt_reset(struct evt_splitter *splitter);

#endif
