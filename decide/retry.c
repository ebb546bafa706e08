/** @file retry.c @brief What follows when there was no whole answer. */
#include "retry.h"

enum {
	SENDS_MOST = 12,    /* of one request, all servers together */
	LEFT_LEAST_MS = 15, /* too little to run anything */
	SILENCE_LEAST_MS = 250,
	COME_BACK_LEAST_MS = 40,
	COME_BACK_MOST_MS = 250,
	PATIENCE_MOST_MS = 60,
};

static bool may_run_again(const struct retry_state *state)
{
	return state->idempotent && state->possible_runs < state->attempts;
}

enum retry_action retry_decide(const struct retry_state *state,
			       enum retry_failure end)
{
	bool in_time = state->remaining_ms > LEFT_LEAST_MS &&
		       state->sends < SENDS_MOST;

	if (state->response_started)
		return in_time && (end != RETRY_BROKEN || may_run_again(state))
			       ? RETRY_RESEND
			       : RETRY_ABORT;
	if (end == RETRY_BROKEN)
		return in_time && may_run_again(state) ? RETRY_RESEND
						       : RETRY_FAIL;
	if (in_time)
		return RETRY_RESEND;
	return state->possible_runs == 0 ? RETRY_REFUSE : RETRY_FAIL;
}

int64_t retry_queue_wait_ms(int64_t target_ms, int64_t left_ms)
{
	int64_t ms = target_ms / 4;

	if (ms > PATIENCE_MOST_MS)
		ms = PATIENCE_MOST_MS;
	return ms < left_ms / 3 ? ms : left_ms / 3;
}

int64_t retry_silence_timeout_ms(const struct retry_state *state,
				 int64_t target_ms, int64_t pause_ms)
{
	int64_t ms = state->response_started && pause_ms > 0 ? 2 * pause_ms
							     : 3 * target_ms;

	if (!state->idempotent || state->possible_runs >= state->attempts)
		return 0;
	return ms > SILENCE_LEAST_MS ? ms : SILENCE_LEAST_MS;
}

int64_t retry_after_hint_ms(int64_t target_ms)
{
	int64_t ms = target_ms / 2;

	if (ms < COME_BACK_LEAST_MS)
		return COME_BACK_LEAST_MS;
	return ms > COME_BACK_MOST_MS ? COME_BACK_MOST_MS : ms;
}
