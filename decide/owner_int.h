/**
 * @file owner_int.h
 * @brief What the files of the owner share.
 */
#ifndef APS_OWNER_INT_H
#define APS_OWNER_INT_H

#include "owner.h"
#include "program.h"

/** Number of the pseudo turn that ends a program. */
#define TURN_END UINT32_MAX

/** States, as in charts/turn.chart. */
enum turn_state {
	TURN_QUEUED,
	TURN_STARTING,
	TURN_RUNNING,
	TURN_RECORDING,
	TURN_ANSWERED,
};

/** Events, as in charts/turn.chart. */
enum turn_event {
	TURN_ADMIT,
	TURN_BEGIN,
	TURN_REFUSE,
	TURN_ABANDON,
	TURN_RETRY,
	TURN_FINISH,
	TURN_RECORD,
	TURN_DURABLE,
};

/** Names for the chart. */
extern const struct chart_names turn_chart_names;

/** A call that waits for a turn. */
struct waiter {
	char *from;
	uint64_t call_id;
	size_t sent; /**< bytes of the answer that it has */
};

/** A turn under way. */
struct turn {
	struct cds_list_head link; /**< in its program */
	struct owner *owner;
	struct program *program;
	Aps__Request *request;
	uint32_t number;
	int state;
	GPtrArray *waiters; /**< struct waiter */
	GByteArray *text;   /**< the answer so far */
	int64_t deadline_ms;
	uint64_t reserved; /**< tokens */
	uint32_t attempts;
	bool cancelled;
	bool may_have_run;    /**< an earlier attempt did, or may have */
	uint64_t dispatch_id; /**< 0 if not dispatched */
	bool dispatched;      /**< it was sent at least once */
	char *dispatcher;     /**< instance it was sent to */
	uint64_t dispatcher_incarnation;
	uint64_t pool_epoch;
	int64_t send_due_ms;
	int64_t verdict_ms; /**< no copy is sent to the dispatcher after it */
	int64_t answered_ms;
	Aps__Outcome *outcome;
};

/** Programs of the shards that a node holds. */
struct owner {
	struct node *node;
	GHashTable *programs;	/**< id to struct program */
	GHashTable *dispatches; /**< dispatch id to struct turn */
	double retry_credit;	/**< retries that may be made */
	int64_t sweep_due_ms;
};

enum {
	/** Most retries that an owner saves up. */
	OWN_RETRY_CREDIT_MAX = 10,
	/** Time before looking for a dispatcher again, in ms. */
	OWN_STALE_MS = 50,
};

/* Life of one turn (owner_turn.c). */

/** Frees a turn and takes it out of its program. */
void own_turn_free(struct turn *turn);

/** Takes a step of the chart. @return whether it is allowed */
bool own_step(struct turn *turn, enum turn_event event);

/** Prepares an outcome that arose here; it has not run unless it may have. */
void own_fill(Aps__Outcome *outcome, const struct turn *turn, uint32_t status,
	      const char *reason);

/** Keeps a copy of @p outcome as the turn's. */
void own_set_outcome(struct turn *turn, const Aps__Outcome *outcome);

/** Tells an entry the end of a call, or NULL: it is not served here. */
void own_send_call_done(struct node *node, const char *to, uint64_t call_id,
			const Aps__Outcome *outcome);

/** Tells all who wait for the turn its outcome. */
void own_answer(struct turn *turn);

/** Answers and forgets a turn that is in the state answered. */
void own_finish(struct turn *turn);

/** Starts a queued turn, or refuses it. */
void own_start(struct turn *turn);

/** Ends an attempt: records it, tries again, or fails. */
void own_conclude(struct turn *turn, const Aps__Outcome *outcome);

/* Turns at their dispatchers (owner_send.c). */

/** Hands a turn to the dispatcher that holds its pool, if one is known. */
void own_dispatch(struct turn *turn);

/** Sends a turn to its dispatcher, for the first time or again. */
void own_send_dispatch(struct turn *turn);

/** Forgets the dispatcher of a turn. */
void own_undispatch(struct turn *turn);

/** Tells the dispatcher that the turn is no longer wanted. */
void own_send_cancel(struct turn *turn);

/** Returns the shard of the turn's pool, or -1 if no live holder is known. */
int own_find_pool(const struct turn *turn);

/** Returns whether the turn may go to the holder of @p shard now. */
bool own_may_trust(const struct turn *turn, int shard);

/** Writes the program's row; @p turn goes on when it is durable. */
void own_save(struct owner *owner, struct program *program, struct turn *turn);

/** Notes a run of @p turn in the program, or none if it is NULL. */
void own_set_started(struct program *program, const struct turn *turn);

/** Starts what may start in @p program. */
void own_advance(struct owner *owner, struct program *program);

/** Ends a program: no more turns, its memory is released. */
void own_end(struct owner *owner, struct program *program, const char *reason);

/** Refuses a queued turn; it has not run. */
void own_refuse(struct turn *turn, uint32_t status, const char *reason);

/** Reads the newest segment that is missing. */
void own_read_segment(struct owner *owner, struct program *program);

/** Stores the oldest turns of the row as an object if there are many. */
void own_move_segment(struct owner *owner, struct program *program);

/** Asks the parent's owner for the budget of @p program. */
void own_ask_budget(struct owner *owner, struct program *program);

/** Notes that any server of the target's pool may hold memory. */
void own_suspect_pool(struct owner *owner, struct program *program,
		      const char *target);

/** Life of programs: idle limits, releases, removal. */
void own_life_tick(struct owner *owner, struct program *program);

/** Frees a program and its turns. */
void own_drop(struct owner *owner, struct program *program);

/** Returns the turn that is neither queued nor answered, or NULL. */
struct turn *own_active(const struct program *program);

#endif
