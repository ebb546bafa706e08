/**
 * @file loop.h
 * @brief The thread that runs the node, its peers and its outbound requests.
 */
#ifndef APS_LOOP_H
#define APS_LOOP_H

#include <stdbool.h>

#include "decide/node.h"
#include "settings.h"

struct loop;

/** A caller's call, waited for by the thread that serves it. */
struct loop_call {
	GMutex lock;
	GCond cond;
	GByteArray *text; /**< came, and not yet passed on */
	bool done;
	Aps__Outcome *outcome; /**< set when it is done */
	size_t streamed;       /**< bytes of the answer told as text */
	uint64_t id;	       /**< at the node; the loop's own */
	bool started;
	const Aps__Request *request;
	uint32_t deadline_ms;
};

/** Tells that new rules are in force; called in the loop's thread. */
typedef void (*loop_rules_fn)(void *arg, const struct rules *rules);

/**
 * Creates the loop and listens for peers.
 *
 * @param platform base URL of the platform
 * @param errors   receives what failed
 */
struct loop *loop_create(const struct settings *settings, const char *platform,
			 loop_rules_fn fn, void *arg, GString *errors);

/** Frees a loop that does not run; NULL is allowed. */
void loop_destroy(struct loop *loop);

/** Runs until the node is drained after loop_drain(), or loop_stop(). */
void loop_run(struct loop *loop);

/** Starts a graceful shutdown; safe in any thread. */
void loop_drain(struct loop *loop);

/** Prepares a call. */
void loop_call_init(struct loop_call *call);

/** Frees what a call holds. */
void loop_call_clear(struct loop_call *call);

/** Hands a call to the loop's thread. */
void loop_submit(struct loop *loop, struct loop_call *call);

/** Ends a call whose caller has gone; returns when it is safe to free. */
void loop_abandon(struct loop *loop, struct loop_call *call);

/** Returns a JSON text of the node's state; g_free() it. */
char *loop_status(struct loop *loop);

/** Returns the metrics in text exposition format; g_free() it. */
char *loop_metrics(struct loop *loop);

/** Returns whether the instance can serve calls. */
bool loop_ready(struct loop *loop);

/** Returns whether a graceful shutdown has begun. */
bool loop_draining(struct loop *loop);

#endif
