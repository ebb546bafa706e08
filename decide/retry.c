/** @file retry.c @brief Retry decisions for failed requests. */
#include "retry.h"

enum {
	SENDS_MAX = 12,	       /* of a request whose response has not begun */
	REMAINING_MIN_MS = 15, /* less is too short for any run */
	SILENCE_TIMEOUT_MIN_MS = 250,
	RETRY_AFTER_MIN_MS = 40,
	RETRY_AFTER_MAX_MS = 250,
	QUEUE_WAIT_MAX_MS = 60,
	RESEND_DELAY_MIN_MS = 10,
	RESEND_DELAY_DOUBLINGS_MAX = 4,
};

static bool may_execute_again(const struct retry_state *state)
{
	return state->idempotent && state->possible_runs < state->attempts;
}

enum retry_action retry_decide(const struct retry_state *state,
			       enum retry_failure failure)
{
	bool in_time = state->remaining_ms > REMAINING_MIN_MS &&
		       (state->response_started || state->sends < SENDS_MAX);

	if (state->response_started)
		return in_time && (failure != RETRY_INTERRUPTED ||
				   may_execute_again(state))
			       ? RETRY_RESEND
			       : RETRY_ABORT;
	if (failure == RETRY_INTERRUPTED)
		return in_time && may_execute_again(state) ? RETRY_RESEND
							   : RETRY_FAIL;
	if (in_time)
		return RETRY_RESEND;
	return state->possible_runs == 0 ? RETRY_REFUSE : RETRY_FAIL;
}

int64_t retry_delay_ms(const struct retry_state *state,
		       enum retry_failure failure)
{
	uint32_t doublings = state->refusals < RESEND_DELAY_DOUBLINGS_MAX
				     ? state->refusals
				     : RESEND_DELAY_DOUBLINGS_MAX;

	if (!state->response_started || failure == RETRY_INTERRUPTED)
		return 0;
	return RESEND_DELAY_MIN_MS << doublings;
}

int64_t retry_queue_wait_ms(int64_t slo_ms, int64_t remaining_ms)
{
	int64_t ms = slo_ms / 4;

	if (ms > QUEUE_WAIT_MAX_MS)
		ms = QUEUE_WAIT_MAX_MS;
	return ms < remaining_ms / 3 ? ms : remaining_ms / 3;
}

int64_t retry_silence_timeout_ms(const struct retry_state *state,
				 int64_t slo_ms, int64_t event_gap_ms)
{
	int64_t ms = state->response_started && event_gap_ms > 0
			     ? 2 * event_gap_ms
			     : 3 * slo_ms;

	if (!state->idempotent || state->possible_runs >= state->attempts)
		return 0;
	return ms > SILENCE_TIMEOUT_MIN_MS ? ms : SILENCE_TIMEOUT_MIN_MS;
}

int64_t retry_after_hint_ms(int64_t slo_ms)
{
	int64_t ms = slo_ms / 2;

	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : ms;
}
