/**
 * @file owner.h
 * @brief Program owners: turn order, budget, at most once, memory release.
 */
#ifndef APS_OWNER_H
#define APS_OWNER_H

#include "node_int.h"

/** Creates an owner that holds no program. */
struct owner *owner_create(struct node *node);

/** Frees it without answering; NULL is allowed. */
void owner_destroy(struct owner *owner);

/** Takes up a program's row after its shard was acquired. */
void owner_load_program(struct owner *owner, int shard, const Aps__Row *row);

/** The shard is another's: its programs are forgotten. */
void owner_stop_shard(struct owner *owner, int shard);

/** Writes that no run of the shard's programs is under way. */
void owner_clear_prestarts(struct owner *owner, int shard);

/** Returns whether no turn, write or read of the shard is under way. */
bool owner_shard_is_idle(const struct owner *owner, int shard);

/** An entry passes a call on. */
void owner_on_call(struct owner *owner, const char *from, const Aps__Call *msg);

/** A caller has gone, or may no longer call. */
void owner_on_cancel(struct owner *owner, const char *from,
		     const Aps__CallCancel *msg);

/** A part of an answer came from a dispatcher. */
void owner_on_chunk(struct owner *owner, const Aps__DispatchChunk *msg);

/** Incarnation @p incarnation of a dispatcher reports a request's end. */
void owner_on_done(struct owner *owner, uint64_t incarnation,
		   const Aps__DispatchDone *msg);

/** A child program's owner asks for a part of its parent's budget. */
void owner_on_budget_move(struct owner *owner, const char *from,
			  const Aps__BudgetMove *msg);

/** A parent program's owner answers. */
void owner_on_budget_moved(struct owner *owner, const Aps__BudgetMoved *msg);

/** A peer that was asked is there. */
void owner_on_hello(struct owner *owner);

/** Sends again, ends what is over, orders releases. */
void owner_tick(struct owner *owner);

/** Returns the number of programs that have not ended. */
size_t owner_program_count(const struct owner *owner);

#endif
