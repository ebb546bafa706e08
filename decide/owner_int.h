/**
 * @file owner_int.h
 * @brief What the files of the owner share.
 */
#ifndef APS_OWNER_INT_H
#define APS_OWNER_INT_H

#include "owner.h"
#include "program.h"

/** Number of the pseudo turn that ends a program. */
#define TURN_NUMBER_END UINT32_MAX

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
	OWNER_RETRY_CREDIT_MAX = 10,
	/** Time before looking for a dispatcher again, in ms. */
	OWNER_REDISPATCH_MS = 50,
};

/* Life of one turn (owner_turn.c). */

/** Frees a turn and takes it out of its program. */
void owner_free_turn(struct turn *turn);

/** Takes a step of the chart. @return whether it is allowed */
bool owner_step_turn(struct turn *turn, enum turn_event event);

/** Prepares an outcome that arose here; it has not run unless it may have. */
void owner_init_outcome(Aps__Outcome *outcome, const struct turn *turn,
			uint32_t status, const char *reason);

/** Keeps a copy of @p outcome as the turn's. */
void owner_set_outcome(struct turn *turn, const Aps__Outcome *outcome);

/** Tells an entry the end of a call, or NULL: it is not served here. */
void owner_send_call_done(struct node *node, const char *to, uint64_t call_id,
			  const Aps__Outcome *outcome);

/** Tells all who wait for the turn its outcome. */
void owner_answer_waiters(struct turn *turn);

/** Answers and forgets a turn that is in the state answered. */
void owner_finish_turn(struct turn *turn);

/** Starts a queued turn, or refuses it. */
void owner_start_turn(struct turn *turn);

/** Ends an attempt: records it, tries again, or fails. */
void owner_end_attempt(struct turn *turn, const Aps__Outcome *outcome);

/* Turns at their dispatchers (owner_dispatch.c). */

/** Hands a turn to the dispatcher that holds its pool, if one is known. */
void owner_dispatch_turn(struct turn *turn);

/** Sends a turn to its dispatcher, for the first time or again. */
void owner_send_dispatch(struct turn *turn);

/** Forgets the dispatcher of a turn. */
void owner_clear_dispatch(struct turn *turn);

/** Tells the dispatcher that the turn is no longer wanted. */
void owner_send_cancel(struct turn *turn);

/** Returns the shard of the turn's pool, or -1 if no live holder is known. */
int owner_find_pool_shard(const struct turn *turn);

/** Returns whether the turn may go to the holder of @p shard now. */
bool owner_may_dispatch_to(const struct turn *turn, int shard);

/** Writes the program's row; @p turn goes on when it is durable. */
void owner_save_program(struct owner *owner, struct program *program,
			struct turn *turn);

/** Notes a run of @p turn in the program, or none if it is NULL. */
void owner_set_started(struct program *program, const struct turn *turn);

/** Starts what may start in @p program. */
void owner_start_ready_turns(struct owner *owner, struct program *program);

/** Ends a program: no more turns, its memory is released. */
void owner_end_program(struct owner *owner, struct program *program,
		       const char *reason);

/** Refuses a queued turn; it has not run. */
void owner_refuse_turn(struct turn *turn, uint32_t status, const char *reason);

/** Reads the newest segment that is missing. */
void owner_read_segment(struct owner *owner, struct program *program);

/** Stores the oldest turns of the row as an object if there are many. */
void owner_store_segment(struct owner *owner, struct program *program);

/** Asks the parent's owner for the budget of @p program. */
void owner_request_budget(struct owner *owner, struct program *program);

/** Notes that any server of the target's pool may hold memory. */
void owner_add_pool_servers(struct owner *owner, struct program *program,
			    const char *target);

/** Life of programs: idle limits, releases, removal. */
void owner_tick_program(struct owner *owner, struct program *program);

/** Frees a program and its turns. */
void owner_drop_program(struct owner *owner, struct program *program);

/** Returns the turn that is neither queued nor answered, or NULL. */
struct turn *owner_active_turn(const struct program *program);

#endif
