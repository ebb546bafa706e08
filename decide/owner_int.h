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
