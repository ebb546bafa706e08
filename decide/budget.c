/** @file budget.c @brief The token budget of one program. */
#include "budget.h"

/* Whether the budget holds @p more beyond what all caps may hand out. */
static bool holds(const struct bgt *bgt, uint64_t budget, uint64_t most,
		  uint64_t more)
{
	uint64_t ours = bgt->spent + bgt->open + more;
	/*
	 * Caps of others are mostly not used up; half a turn beyond the budget
	 * is allowed to make up for that.
	 */
	uint64_t slack = bgt->others > 0 ? most / 2 : 0;

	return bgt->others + ours <= budget + slack;
}

enum bgt_verdict bgt_decide(const struct bgt *bgt, uint64_t budget,
			    uint64_t most)
{
	if (bgt->spent + bgt->open + most <= bgt->cap)
		return BGT_GO;
	/* A row that is not known can only make less of the budget left. */
	if (holds(bgt, budget, most, most))
		return BGT_RAISE;
	return BGT_SPENT;
}

bool bgt_ample(const struct bgt *bgt, uint64_t budget, uint64_t most)
{
	return bgt->known && holds(bgt, budget, most, 3 * most);
}

uint64_t bgt_wanted(const struct bgt *bgt, uint64_t budget, uint64_t most,
		    uint64_t more)
{
	uint64_t cap = bgt->spent + bgt->open + more;

	if (!holds(bgt, budget, most, more))
		return bgt->cap;
	if (holds(bgt, budget, most, more + 3 * most))
		cap += most;
	return cap > bgt->cap ? cap : bgt->cap;
}

void bgt_open(struct bgt *bgt, uint64_t most)
{
	bgt->open += most;
}

void bgt_close(struct bgt *bgt, uint64_t most, uint64_t used)
{
	bgt->open -= most < bgt->open ? most : bgt->open;
	bgt->spent += used;
}
