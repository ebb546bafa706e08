/**
 * @file owner.h
 * @brief Program owners: turn order, budgets, at-most-once execution and
 * release of the memory that backend servers hold for programs.
 */
#ifndef APS_OWNER_H
#define APS_OWNER_H

#include "node_int.h"

/** Creates an owner with no programs. */
struct owner *owner_create(struct node *node);

/** Frees it without answering calls; NULL is allowed. */
void owner_destroy(struct owner *owner);

/** Loads a program from its row, after acquiring its shard. */
void owner_load_program(struct owner *owner, int shard, const Aps__Row *row);

/** The shard has another holder: drops its programs. */
void owner_release_shard(struct owner *owner, int shard);

/** Clears the started records that were written ahead of their turns. */
void owner_clear_prestarts(struct owner *owner, int shard);

/** Returns whether no turn, write or read of the shard is in progress. */
bool owner_shard_is_idle(const struct owner *owner, int shard);

/** Handles a call that the entry at instance @p from forwards. */
void owner_on_call(struct owner *owner, const char *from, const Aps__Call *msg);

/** Handles a caller that has disconnected or lost its authorization. */
void owner_on_cancel(struct owner *owner, const char *from,
		     const Aps__CallCancel *msg);

/** Handles a part of a response from a dispatcher. */
void owner_on_chunk(struct owner *owner, const Aps__DispatchChunk *msg);

/** Handles a result from a dispatcher, in that incarnation. */
void owner_on_done(struct owner *owner, uint64_t incarnation,
		   const Aps__DispatchDone *msg);

/** Handles a request for a part of a parent's budget for its child. */
void owner_on_budget_move(struct owner *owner, const char *from,
			  const Aps__BudgetMove *msg);

/** Handles the reply of the owner of a parent program. */
void owner_on_budget_moved(struct owner *owner, const Aps__BudgetMoved *msg);

/** Handles the reply to a liveness check: dispatches waiting turns. */
void owner_on_hello(struct owner *owner);

/** Resends, enforces deadlines and idle limits, requests releases. */
void owner_tick(struct owner *owner);

/** Returns the number of programs that have not ended. */
size_t owner_program_count(const struct owner *owner);

#endif
