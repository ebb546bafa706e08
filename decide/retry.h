/**
 * @file retry.h
 * @brief Retry decisions for requests without a complete response.
 *
 * The load it must handle: servers that crash, leave, refuse or stop responding
 * while callers wait, and more requests than the servers have slots. A request
 * that is not idempotent is sent again only if it certainly was not executed,
 * and a caller is told that its request was not executed only if that is so.
 */
#ifndef APS_RETRY_H
#define APS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended without a complete response. */
enum retry_failure {
	RETRY_NOT_SENT,	    /**< no byte was sent */
	RETRY_NOT_EXECUTED, /**< according to the server */
	RETRY_INTERRUPTED,  /**< it may have been executed */
};

/** State of a request over all attempts. */
struct retry_state {
	bool idempotent;	/**< or a stream that can be resumed */
	bool response_started;	/**< the caller has received a part */
	uint32_t possible_runs; /**< attempts that may have been executed */
	uint32_t attempts;	/**< maximum of possible_runs */
	uint32_t sends;		/**< all attempts */
	uint32_t refusals;	/**< attempts that certainly did not run */
	int64_t remaining_ms;	/**< until the deadline */
};

/** Action after a failed attempt. */
enum retry_action {
	RETRY_RESEND, /**< send it to another server */
	RETRY_REFUSE, /**< report that it was not executed, with Retry-After */
	RETRY_FAIL,   /**< report that it may have been executed */
	RETRY_ABORT,  /**< abort the partial response */
};

enum retry_action retry_decide(const struct retry_state *state,
			       enum retry_failure failure);

/** Delay before a failed attempt is followed by the next one, in ms. A response
 * that has begun waits for a server; another request is refused instead. */
int64_t retry_delay_ms(const struct retry_state *state,
		       enum retry_failure failure);

/** Longest wait of a request for a free slot before it is refused, in ms. */
int64_t retry_queue_wait_ms(int64_t slo_ms, int64_t remaining_ms);
/**
 * Time without any byte after which an attempt is abandoned for another one, in
 * ms; 0: never.
 *
 * @param slo_ms       latency objective of the route
 * @param event_gap_ms objective for the time between stream events; 0: none
 */
int64_t retry_silence_timeout_ms(const struct retry_state *state,
				 int64_t slo_ms, int64_t event_gap_ms);
/** Retry-After for requests refused for lack of a free slot, in ms. */
int64_t retry_after_hint_ms(int64_t slo_ms);

#endif
