/**
 * @file loop.h
 * @brief Event loop that runs the node, its peer connections and its requests
 * to backend servers and the platform.
 */
#ifndef APS_LOOP_H
#define APS_LOOP_H

#include <stdbool.h>

#include "decide/node.h"
#include "settings.h"

struct loop;

/** A call, shared by the thread that serves the caller and the loop. */
struct loop_call {
	GMutex lock;
	GCond cond;
	GByteArray *text; /**< received, and not yet taken by the thread */
	bool done;
	Aps__Outcome *outcome; /**< set when it is done */
	size_t streamed;       /**< bytes of the response passed as text */
	uint64_t id;	       /**< id at the node; used by the loop only */
	bool started;
	const Aps__Request *request;
	uint32_t deadline_ms; /**< time allowed for the call */
};

/** Called in the loop's thread when new rules have taken effect. */
typedef void (*loop_rules_fn)(void *arg, const struct rules *rules);

/**
 * Creates the loop and listens for peers.
 *
 * @param platform base URL of the platform
 * @param fn       called with new rules
 * @param errors   receives the reason of a failure
 * @return NULL on failure
 */
struct loop *loop_create(const struct settings *settings, const char *platform,
			 loop_rules_fn fn, void *arg, GString *errors);

/** Frees a loop that is not running; NULL is allowed. */
void loop_destroy(struct loop *loop);

/** Runs until the node is drained after loop_drain(). */
void loop_run(struct loop *loop);

/** Starts a graceful shutdown; may be called from any thread. */
void loop_drain(struct loop *loop);

/** Initializes a call. */
void loop_call_init(struct loop_call *call);

/** Frees the contents of a call. */
void loop_call_clear(struct loop_call *call);

/** Queues a call for the loop's thread. */
void loop_submit(struct loop *loop, struct loop_call *call);

/** Cancels a call whose caller has disconnected; waits until the loop no
 * longer uses it. */
void loop_cancel(struct loop *loop, struct loop_call *call);

/** Returns the node's state as JSON; g_free() it. */
char *loop_status(struct loop *loop);

/** Returns the metrics in text exposition format; g_free() it. */
char *loop_metrics(struct loop *loop);

/** Returns whether the instance can serve calls. */
bool loop_ready(struct loop *loop);

/** Returns whether a graceful shutdown has begun. */
bool loop_draining(struct loop *loop);

#endif
