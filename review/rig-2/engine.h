/**
 * @file engine.h
 * @brief Stand-in for a sound model server.
 *
 * It answers each request by a stream of events, whatever its path. A request
 * that names another server in Target-Instance gets 421. It runs 48 requests at
 * once, lets 144 more wait and refuses the others, as on the sheet.
 */
#ifndef REVIEW_ENGINE_H
#define REVIEW_ENGINE_H

#include <event2/event.h>
#include <glib.h>

/** Data of an event, with its number: the same at each server, so that another
 * one can go on with a stream after Last-Event-Id. */
#define ENGINE_DATA "piece-%d"

struct engine;

/** What a server does with each request. */
struct engine_work {
	int events;
	int first_ms;  /**< until the first event */
	int gap_ms;    /**< between events */
	gsize padding; /**< bytes of an event's data, beside its number */
};

/** A request that ran. */
struct engine_run {
	char *id;
	char *account;
	char *body;    /**< NULL: a long one */
	int64_t at_ms; /**< CLOCK_BOOTTIME */
};

/** @return NULL if it can't listen on @p address, HOST:PORT */
struct engine *engine_create(struct event_base *base, const char *address,
			     const char *id);
void engine_destroy(struct engine *engine);
void engine_set_work(struct engine *engine, const struct engine_work *work);
/** Returns the requests that ran, of struct engine_run *. */
const GPtrArray *engine_runs(const struct engine *engine);

#endif
