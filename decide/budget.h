/**
 * @file budget.h
 * @brief The token budget of one program at one instance.
 *
 * Every incarnation of an instance that serves a program has a cap in the
 * program's row: the number of tokens that it may deliver in its lifetime. The
 * sum of all caps is at most the budget and half a turn, and the row is written
 * only on the version that was read, so no crash, pause or lost response lets
 * callers get more. The whole cap of a dead incarnation counts as spent.
 *
 * The load it must handle: programs that loop for ever through several
 * instances while these are killed, and a store that responds late or never.
 */
#ifndef APS_BUDGET_H
#define APS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** The budget of one program; all amounts are in tokens. */
struct budget {
	bool known;	   /**< the row has been read */
	uint64_t others;   /**< sum of the caps of other incarnations */
	uint64_t cap;	   /**< own cap, as confirmed by the store */
	uint64_t spent;	   /**< delivered to callers by this incarnation */
	uint64_t reserved; /**< maximum for its turns in progress */
};

/** Whether a turn may run. */
enum budget_decision {
	BUDGET_ALLOW,	  /**< it fits into the own cap */
	BUDGET_RAISE_CAP, /**< the own cap has to be raised first */
	BUDGET_EXHAUSTED, /**< it does not fit into the budget */
};

/** Decides about a turn of up to @p max_tokens; the budget is @p total. */
enum budget_decision budget_decide(const struct budget *budget, uint64_t total,
				   uint64_t max_tokens);
/** Whether enough is left that a turn may run while the cap is being raised. */
bool budget_has_headroom(const struct budget *budget, uint64_t total,
			 uint64_t max_tokens);
/** Returns the cap to request, so that another @p extra tokens and, if plenty
 * is left, a further turn of @p max_tokens fit. It is never below the present
 * cap and never more than the budget allows. */
uint64_t budget_target_cap(const struct budget *budget, uint64_t total,
			   uint64_t max_tokens, uint64_t extra);
/** Reserves tokens for a turn that starts. */
void budget_reserve(struct budget *budget, uint64_t max_tokens);
/** Replaces the reservation of a turn by the tokens that it @p used. */
void budget_settle(struct budget *budget, uint64_t max_tokens, uint64_t used);

#endif
