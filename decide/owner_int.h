/**
 * @file owner_int.h
 * @brief Declarations shared by the files of the owner.
 */
#ifndef APS_OWNER_INT_H
#define APS_OWNER_INT_H

#include "owner.h"
#include "program.h"

/** Number of the pseudo turn that ends its program. */
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

/** Names of the states and events above, for the chart. */
extern const struct chart_names turn_chart_names;

/** A call that waits for a turn's outcome. */
struct waiter {
	char *from; /**< instance of its entry */
	uint64_t call_id;
	size_t sent; /**< bytes of the response already sent */
};

/** A turn in progress, or answered and kept for repeated calls. */
struct turn {
	struct cds_list_head link; /**< in program->turns */
	struct owner *owner;
	struct program *program;
	Aps__Request *request;
	uint32_t number;
	int state;
	GPtrArray *waiters; /**< struct waiter */
	GByteArray *text;   /**< partial response */
	int64_t deadline_ms;
	uint64_t reserved; /**< tokens */
	uint32_t attempts;
	bool cancelled;
	bool may_have_run;    /**< an earlier attempt ran or may have run */
	uint64_t dispatch_id; /**< 0 if not dispatched */
	bool dispatched;      /**< sent to the dispatcher at least once */
	char *dispatcher;     /**< instance to which it is dispatched */
	uint64_t dispatcher_incarnation;
	uint64_t pool_epoch;
	int64_t send_due_ms;
	int64_t outcome_due_ms; /**< not sent again, but given up after it */
	int64_t answered_ms;
	Aps__Outcome *outcome; /**< once known */
};

/** The programs of all shards that a node holds. */
struct owner {
	struct node *node;
	GHashTable *programs;	/**< id to struct program */
	GHashTable *dispatches; /**< dispatch id to struct turn */
	double retry_credit;	/**< retries left, a token bucket */
	int64_t tick_due_ms;
};

enum {
	/** Maximum retry credit of an owner, in retries. */
	OWNER_RETRY_CREDIT_MAX = 10,
	/** Delay before looking up the dispatcher again, in ms. */
	OWNER_REDISPATCH_MS = 50,
};

/* Turns (owner_turn.c). */

/** Frees a turn and removes it from its program. */
void owner_free_turn(struct turn *turn);

/** Applies @p event to the turn's state. @return false if not allowed */
bool owner_step_turn(struct turn *turn, enum turn_event event);

/** Initializes an outcome of the owner: not executed, unless may_have_run. */
void owner_init_outcome(Aps__Outcome *outcome, const struct turn *turn,
			uint32_t status, const char *reason);

/** Sets the turn's outcome to a copy of @p outcome. */
void owner_set_outcome(struct turn *turn, const Aps__Outcome *outcome);

/** Sends a call's outcome to its entry; NULL: not the owner here. */
void owner_send_call_done(struct node *node, const char *to, uint64_t call_id,
			  const Aps__Outcome *outcome);

/** Sends the turn's outcome to all its waiters. */
void owner_answer_waiters(struct turn *turn);

/** Answers a turn in state answered; frees it unless transient. */
void owner_finish_turn(struct turn *turn);

/** Starts a queued turn if its prerequisites are met, or refuses it. */
void owner_start_turn(struct turn *turn);

/** Ends an attempt: records its outcome, retries, or fails the turn. */
void owner_end_attempt(struct turn *turn, const Aps__Outcome *outcome);

/* Dispatch of turns (owner_dispatch.c). */

/** Assigns a turn to the dispatcher of its pool, if known, and sends it. */
void owner_dispatch_turn(struct turn *turn);

/** Sends or resends a turn to its dispatcher. */
void owner_send_dispatch(struct turn *turn);

/** Clears the assignment of a turn to its dispatcher. */
void owner_clear_dispatch(struct turn *turn);

/** Asks the dispatcher to cancel the turn. */
void owner_send_cancel(struct turn *turn);

/** Returns the shard of the turn's pool, or -1 if no live holder is known. */
int owner_find_pool_shard(const struct turn *turn);

/** Returns whether the turn may be sent to the holder of @p shard now. */
bool owner_may_dispatch_to(const struct turn *turn, int shard);

/** Writes the program's row; @p turn, if set, continues once it is durable. */
void owner_save_program(struct owner *owner, struct program *program,
			struct turn *turn);

/** Sets the program's started record to @p turn, or clears it if NULL. */
void owner_set_started(struct program *program, const struct turn *turn);

/** Starts, replays or refuses the queued turns that are due. */
void owner_start_ready_turns(struct owner *owner, struct program *program);

/** Ends a program: no more turns, memory on servers is released. */
void owner_end_program(struct owner *owner, struct program *program,
		       const char *reason);

/** Refuses a queued turn, which has not run. */
void owner_refuse_turn(struct turn *turn, uint32_t status, const char *reason);

/** Reads the newest unread segment. */
void owner_read_segment(struct owner *owner, struct program *program);

/** Stores the oldest turns of the row as a segment if it is due. */
void owner_store_segment(struct owner *owner, struct program *program);

/** Requests the budget of @p program from its parent's owner. */
void owner_request_budget(struct owner *owner, struct program *program);

/** Records that any server of the target's pool may hold memory. */
void owner_add_pool_servers(struct owner *owner, struct program *program,
			    const char *target);

/** Enforces the idle limit, requests releases, removes ended programs. */
void owner_tick_program(struct owner *owner, struct program *program);

/** Frees a program and its turns. */
void owner_drop_program(struct owner *owner, struct program *program);

/** Returns the turn that is in progress, or NULL. */
struct turn *owner_active_turn(const struct program *program);

#endif
