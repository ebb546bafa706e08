/**
 * @file fair.h
 * @brief Queue of one pool: fair shares between client accounts, and the
 * grants that let their jobs start.
 *
 * Start-time fair queueing over accounts, by served cost; within an account,
 * the job that has waited longest relative to its program's service first.
 */
#ifndef APS_FAIR_H
#define APS_FAIR_H

#include <urcu/list.h>

#include "ledger.h"
#include "node_int.h"

enum {
	/** Longest wait for a token of an account over its rate, in ms. */
	FAIR_RATE_WAIT_MS = 2000,
	/** Longest silence of a ledger that calls are kept waiting for, in ms.
	 */
	FAIR_GAP_MAX_MS = 10000,
	/** Time over which the room for a silence's backlog shrinks, in ms. */
	FAIR_GAP_DECAY_MS = 60000,
	/** Time after which an unanswered ask is repeated, in ms. */
	FAIR_ASK_TIMEOUT_MS = 250,
};

/** States of a job. */
enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_DONE,
};

/** A request at its dispatcher. */
struct job {
	struct cds_list_head link; /**< in its account's queue */
	char *key;		   /**< origin, incarnation and dispatch id */
	char *from;
	uint64_t from_incarnation;
	Aps__Dispatch *msg;
	char *fingerprint;
	struct pool *pool;
	struct fair_account *account;
	enum job_state state;
	int64_t queued_ms;
	int64_t started_ms;
	int64_t first_ms; /**< when the first part came, 0 before */
	int64_t deadline_ms;
	int64_t done_ms;
	uint64_t run_id;
	uint32_t tries;
	uint32_t cached; /**< tokens expected in the server's cache */
	bool solo;	 /**< runs alone on its server */
	char *server;
	GByteArray *text; /**< the answer so far */
	Aps__Outcome *outcome;
	bool stale; /**< refused since this is not its dispatcher */
};

/** An account's queue in one pool. */
struct fair_account {
	char *name;
	struct cds_list_head jobs; /**< struct job, first come first */
	uint32_t queued;
	double vtime;	       /**< served cost over share */
	GArray *grants;	       /**< struct fair_grant */
	uint64_t ask_id;       /**< of the ask under way, 0 if none */
	int64_t ask_ms;	       /**< when it was sent */
	int64_t ask_due_ms;    /**< no ask before it */
	int64_t unanswered_ms; /**< first ask since the last answer, or 0 */
	int64_t gap_ms;	       /**< how long the ledger was silent */
	int64_t gap_end_ms;    /**< when it answered again */
	bool starved;	       /**< the last ask got nothing */
	bool report_due;
};

/** What was granted and not yet reported. */
struct fair_grant {
	uint64_t ask_id;
	uint32_t left;
	uint32_t used; /**< since the last report */
	int64_t expires_ms;
};

/** The queue of a pool. */
struct fair {
	struct node *node;
	char *pool;
	GHashTable *accounts; /**< name to struct fair_account */
	double vnow;
};

/** Creates an empty queue. */
struct fair *fair_create(struct node *node, const char *pool);

/** Frees the queue, not the jobs; NULL is allowed. */
void fair_destroy(struct fair *fair);

/** Queues a job. */
void fair_push(struct fair *fair, struct job *job);

/** Takes a job out of its queue. */
void fair_remove(struct job *job);

/** Returns the accounts that have jobs and a token, fairest first. */
GPtrArray *fair_eligible_accounts(struct fair *fair);

/** Spends a token of @p account and charges @p cost for its share. */
void fair_charge(struct fair *fair, struct fair_account *account, double cost);

/** Takes up a grant. */
void fair_on_grant(struct fair *fair, const Aps__Grant *grant);

/** Asks for tokens, for at most @p slots jobs, and returns unused ones. */
void fair_tick(struct fair *fair, uint32_t slots);

/** Returns a job to refuse since its account is over its rate, or NULL. */
struct job *fair_next_over_rate(struct fair *fair);

#endif
