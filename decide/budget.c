/** @file budget.c @brief The token budget of one program. */
#include "budget.h"

/* Whether @p extra tokens fit into the budget beside all other caps. */
static bool has_room_for(const struct budget *budget, uint64_t total,
			 uint64_t max_tokens, uint64_t extra)
{
	uint64_t own = budget->spent + budget->reserved + extra;
	/*
	 * Other incarnations rarely use up their caps. An excess of half a turn
	 * over the budget is allowed to make up for that.
	 */
	uint64_t slack = budget->others > 0 ? max_tokens / 2 : 0;

	return budget->others + own <= total + slack;
}

enum budget_decision budget_decide(const struct budget *budget, uint64_t total,
				   uint64_t max_tokens)
{
	if (budget->spent + budget->reserved + max_tokens <= budget->cap)
		return BUDGET_ALLOW;
	/* If the row is not known yet, reading it can only leave less. */
	if (has_room_for(budget, total, max_tokens, max_tokens))
		return BUDGET_RAISE_CAP;
	return BUDGET_EXHAUSTED;
}

bool budget_has_headroom(const struct budget *budget, uint64_t total,
			 uint64_t max_tokens)
{
	return budget->known &&
	       has_room_for(budget, total, max_tokens, 3 * max_tokens);
}

uint64_t budget_target_cap(const struct budget *budget, uint64_t total,
			   uint64_t max_tokens, uint64_t extra)
{
	uint64_t cap = budget->spent + budget->reserved + extra;

	if (!has_room_for(budget, total, max_tokens, extra))
		return budget->cap;
	if (has_room_for(budget, total, max_tokens, extra + 3 * max_tokens))
		cap += max_tokens;
	return cap > budget->cap ? cap : budget->cap;
}

void budget_reserve(struct budget *budget, uint64_t max_tokens)
{
	budget->reserved += max_tokens;
}

void budget_settle(struct budget *budget, uint64_t max_tokens, uint64_t used)
{
	budget->reserved -=
		max_tokens < budget->reserved ? max_tokens : budget->reserved;
	budget->spent += used;
}
