/**
 * @file budget.h
 * @brief The token budget of one program, as one instance sees it.
 *
 * Every incarnation of an instance that serves a program holds a cap in the
 * program's row: the tokens that it may hand out over its whole life. The sum
 * of all caps is bounded by the budget, and the row is changed only on the
 * version it was read at, so no crash, pause or lost answer lets callers have
 * more. An incarnation that ends leaves its cap behind as spent.
 *
 * Load that it answers: programs that loop for ever through several instances
 * while these are killed, and a store that answers late or not at all.
 */
#ifndef APS_BUDGET_H
#define APS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** The budget of one program; all amounts are tokens. */
struct budget {
	bool known;	 /**< the row has been read */
	uint64_t others; /**< sum of the caps of other incarnations */
	uint64_t cap;	 /**< our cap, as confirmed by the store */
	uint64_t spent;	 /**< handed to callers by us */
	uint64_t
		reserved; /**< most that our running turns may still hand out */
};

/** What a turn may do. */
enum budget_decision {
	BUDGET_ALLOW,	  /**< it may run: its tokens are within our cap */
	BUDGET_RAISE_CAP, /**< our cap has to be raised first */
	BUDGET_EXHAUSTED, /**< the budget does not hold it, by what we know */
};

/** Decides about a turn that may generate @p most of @p budget tokens. */
enum budget_decision budget_decide(const struct budget *budget, uint64_t total,
				   uint64_t most);
/** Whether so much is left that a turn may run while the cap is raised. */
bool budget_has_headroom(const struct budget *budget, uint64_t total,
			 uint64_t most);
/** The cap to ask for, so that another @p more tokens and, if the budget is
 * wide, a further turn of @p most fit; never less than the one
 * there is, and never more than the budget holds. */
uint64_t budget_target_cap(const struct budget *budget, uint64_t total,
			   uint64_t most, uint64_t more);
/** A turn begins. */
void budget_reserve(struct budget *budget, uint64_t most);
/** A turn has ended after @p used of its @p most tokens. */
void budget_settle(struct budget *budget, uint64_t most, uint64_t used);

#endif
