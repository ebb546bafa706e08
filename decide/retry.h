/**
 * @file retry.h
 * @brief What follows when a request did not get a whole answer.
 *
 * Loads that these rules answer: servers that crash, leave, refuse or fall
 * silent while callers wait; more callers than the servers have places. A
 * request that must not run twice is sent again only if it is certain that it
 * has not run; a caller is told "not run" only if that is so.
 */
#ifndef APS_RETRY_H
#define APS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How a send ended without a whole answer. */
enum retry_failure {
	RETRY_NOT_SENT,	    /**< no byte left */
	RETRY_NOT_EXECUTED, /**< the server says that it has not run */
	RETRY_BROKEN,	    /**< it may have run */
};

/** A request so far. */
struct retry_state {
	bool idempotent;	/**< or a stream that goes on where it broke */
	bool response_started;	/**< the caller has a part of the answer */
	uint32_t possible_runs; /**< sends that may have run */
	uint32_t attempts;	/**< servers that may run it */
	uint32_t sends;		/**< all sends */
	int64_t remaining_ms;	/**< until its caller leaves */
};

/** What to do. */
enum retry_action {
	RETRY_RESEND, /**< send it to another server */
	RETRY_REFUSE, /**< say that it has not run, and when to come back */
	RETRY_FAIL,   /**< say that it may have run */
	RETRY_ABORT,  /**< break the answer off */
};

enum retry_action retry_decide(const struct retry_state *state,
			       enum retry_failure end);

/** How long a request waits here for a place before it is refused, in ms. */
int64_t retry_queue_wait_ms(int64_t target_ms, int64_t left_ms);
/**
 * After how long without a byte a send is given up for another one; 0: never.
 *
 * @param target_ms latency objective of the route
 */
int64_t retry_silence_timeout_ms(const struct retry_state *state,
				 int64_t target_ms, int64_t pause_ms);
/** When to come back after a refusal for want of a place. */
int64_t retry_after_hint_ms(int64_t target_ms);

#endif
