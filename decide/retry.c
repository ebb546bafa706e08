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

static bool may_run_again(const struct rty_state *state)
{
	return state->idempotent && state->runs < state->attempts;
}

enum rty_next rty_after(const struct rty_state *state, enum rty_end end)
{
	bool in_time =
		state->left_ms > LEFT_LEAST_MS && state->sends < SENDS_MOST;

	if (state->begun)
		return in_time && (end != RTY_BROKEN || may_run_again(state))
			       ? RTY_AGAIN
			       : RTY_CUT;
	if (end == RTY_BROKEN)
		return in_time && may_run_again(state) ? RTY_AGAIN : RTY_FAIL;
	if (in_time)
		return RTY_AGAIN;
	return state->runs == 0 ? RTY_REFUSE : RTY_FAIL;
}

int64_t rty_patience_ms(int64_t target_ms, int64_t left_ms)
{
	int64_t ms = target_ms / 4;

	if (ms > PATIENCE_MOST_MS)
		ms = PATIENCE_MOST_MS;
	return ms < left_ms / 3 ? ms : left_ms / 3;
}

int64_t rty_silence_ms(const struct rty_state *state, int64_t target_ms,
		       int64_t pause_ms)
{
	int64_t ms =
		state->begun && pause_ms > 0 ? 2 * pause_ms : 3 * target_ms;

	if (!state->idempotent || state->runs >= state->attempts)
		return 0;
	return ms > SILENCE_LEAST_MS ? ms : SILENCE_LEAST_MS;
}

int64_t rty_come_back_ms(int64_t target_ms)
{
	int64_t ms = target_ms / 2;

	if (ms < COME_BACK_LEAST_MS)
		return COME_BACK_LEAST_MS;
	return ms > COME_BACK_MOST_MS ? COME_BACK_MOST_MS : ms;
}
