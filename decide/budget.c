/** @file budget.c @brief The token budget of one program. */
#include "budget.h"

/* Whether the budget holds @p more beyond what all caps may hand out. */
static bool holds(const struct budget *budget, uint64_t total, uint64_t most,
		  uint64_t more)
{
	uint64_t ours = budget->spent + budget->reserved + more;
	/*
	 * Caps of others are mostly not used up; half a turn beyond the budget
	 * is allowed to make up for that.
	 */
	uint64_t slack = budget->others > 0 ? most / 2 : 0;

	return budget->others + ours <= total + slack;
}

enum budget_decision budget_decide(const struct budget *budget, uint64_t total,
				   uint64_t most)
{
	if (budget->spent + budget->reserved + most <= budget->cap)
		return BUDGET_ALLOW;
	/* A row that is not known can only make less of the budget left. */
	if (holds(budget, total, most, most))
		return BUDGET_RAISE_CAP;
	return BUDGET_EXHAUSTED;
}

bool budget_has_headroom(const struct budget *budget, uint64_t total,
			 uint64_t most)
{
	return budget->known && holds(budget, total, most, 3 * most);
}

uint64_t budget_target_cap(const struct budget *budget, uint64_t total,
			   uint64_t most, uint64_t more)
{
	uint64_t cap = budget->spent + budget->reserved + more;

	if (!holds(budget, total, most, more))
		return budget->cap;
	if (holds(budget, total, most, more + 3 * most))
		cap += most;
	return cap > budget->cap ? cap : budget->cap;
}

void budget_reserve(struct budget *budget, uint64_t most)
{
	budget->reserved += most;
}

void budget_settle(struct budget *budget, uint64_t most, uint64_t used)
{
	budget->reserved -= most < budget->reserved ? most : budget->reserved;
	budget->spent += used;
}
