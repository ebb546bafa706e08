/**
 * @file streams.h
 * @brief Callers of the soak that take up streams that broke off.
 *
 * Each checks, event by event, that its stream has every event once and events
 * of one software version only.
 */
#ifndef APS_SOAK_STREAMS_H
#define APS_SOAK_STREAMS_H

#include <event2/event.h>
#include <glib.h>

#include "serve/upstream.h"
#include "servers.h"

struct streams;

struct streams_config {
	struct event_base *base;
	struct upstream *upstream;
	const struct servers *servers;
	GPtrArray *requests; /**< of struct soak_request; attempts are added */
	int port;	     /**< of the first gateway; the next ones follow at
			      * intervals of 10 */
	uint64_t seed;
	bool keeps_turns; /**< of half of the callers */
};

struct streams *streams_create(const struct streams_config *config);
/** Starts the callers; they begin no stream after @p until_ms. */
void streams_start(struct streams *streams, int64_t until_ms);
/** Counts complete streams from 0 again. */
void streams_reset_completed(struct streams *streams);
guint streams_completed(const struct streams *streams);
void streams_print(const struct streams *streams);

#endif
