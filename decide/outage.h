/**
 * @file outage.h
 * @brief What becomes of a request while the store does not respond.
 *
 * Most outages of the store last 3 to 7 s, which is longer than a caller waits
 * for one response, and a program fails after few refusals. So a request that
 * needs the store waits for a part of its caller's time, and is then refused
 * with a delay after which the store probably responds. A turn whose end has to
 * be stored is started only if the store will probably respond while its caller
 * waits: a response that is cut off can't be repeated, a refused request can.
 *
 * The load it must handle: all requests of all instances at once, for an outage
 * of any length.
 */
#ifndef APS_OUTAGE_H
#define APS_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** A turn that is to start while the store does not respond. */
struct outage_turn {
	bool needs_store; /**< its budget or history is not in memory */
	bool retained;	  /**< its end is withheld until it is stored */
	int64_t left_ms;  /**< until its caller stops waiting */
};

/** What to do with it. */
enum outage_action {
	OUTAGE_START,
	OUTAGE_WAIT, /**< for outage_wait_ms() at most */
	OUTAGE_REFUSE,
};

/** Decides about a turn; the store has been silent for @p age_ms. */
enum outage_action outage_decide(const struct outage_turn *turn,
				 int64_t age_ms);
/** Returns for how long a request may wait for the store if its caller waits
 * for another @p left_ms; 0 if it is to be refused at once. */
int64_t outage_wait_ms(int64_t left_ms, int64_t age_ms);
/** Returns the delay after which a refused caller is to try again. @p id, the
 * request's, spreads the retries. */
int64_t outage_retry_after_ms(int64_t age_ms, const char *id);

#endif
