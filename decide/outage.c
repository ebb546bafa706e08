/** @file outage.c @brief What becomes of a request in an outage of the store.
 */
#include "outage.h"
#include "rng.h"

enum {
	/* Few outages end before this age ... */
	OUTAGE_SHORT_MS = 3000,
	/* ... about three of four have ended at this one ... */
	OUTAGE_MOST_MS = 6000,
	/* ... and one that is older may last for minutes. */
	OUTAGE_LONG_MS = 10000,
	/* Shorter waits are not worth a timer. */
	WAIT_MIN_MS = 100,
	RETRY_AFTER_MIN_MS = 900,
	/* A caller is not sent away for longer than it would wait. */
	RETRY_AFTER_MAX_MS = 2000,
	RETRY_SPREAD_MS = 300,
};

enum outage_action outage_decide(const struct outage_turn *turn, int64_t age_ms)
{
	if (!turn->needs_store) {
		if (!turn->retained)
			return OUTAGE_START;
		if (age_ms <= OUTAGE_LONG_MS &&
		    age_ms + turn->left_ms >= OUTAGE_MOST_MS)
			return OUTAGE_START;
	}
	return outage_wait_ms(turn->left_ms, age_ms) > 0 ? OUTAGE_WAIT
							 : OUTAGE_REFUSE;
}

int64_t outage_wait_ms(int64_t left_ms, int64_t age_ms)
{
	/* The last third is for the run. */
	int64_t ms = left_ms / 3 * 2;

	return age_ms > OUTAGE_LONG_MS || ms < WAIT_MIN_MS ? 0 : ms;
}

int64_t outage_retry_after_ms(int64_t age_ms, const char *id)
{
	int64_t ms = OUTAGE_SHORT_MS - age_ms;

	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	return ms + (int64_t)(rng_hash(id) % RETRY_SPREAD_MS);
}
