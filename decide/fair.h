/**
 * @file fair.h
 * @brief Fair queue of one pool, and the token grants that let jobs start.
 *
 * Start-time fair queueing over client accounts, weighted by their shares and
 * charged with the expected cost of each job; within an account, the job that
 * has waited longest relative to the service attained by its program is first.
 */
#ifndef APS_FAIR_H
#define APS_FAIR_H

#include <urcu/list.h>

#include "ledger.h"
#include "node_int.h"

enum {
	/** Longest queueing time of an account over its rate, in ms. */
	FAIR_RATE_WAIT_MS = 2000,
	/** Longest ledger outage whose backlog stays queued, in ms. */
	FAIR_OUTAGE_MAX_MS = 10000,
	/** Time over which the allowance for that backlog shrinks, in ms. */
	FAIR_OUTAGE_DECAY_MS = 60000,
	/** Time after which an unanswered request is repeated, in ms. */
	FAIR_ASK_TIMEOUT_MS = 250,
};

enum job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_DONE,
};

/** A request at the dispatcher of its pool. */
struct job {
	struct cds_list_head link; /**< in its account's queue */
	char *key;		   /**< owner, incarnation and dispatch id */
	char *from;		   /**< instance of the owner */
	uint64_t from_incarnation;
	Aps__Dispatch *msg;
	char *fingerprint;
	struct pool *pool;
	struct fair_account *account;
	enum job_state state;
	int64_t queued_ms;
	int64_t started_ms;
	int64_t first_output_ms; /**< time of the first output, 0 before */
	int64_t deadline_ms;
	int64_t done_ms;
	uint64_t run_id;
	uint32_t attempts;
	uint32_t expected_cached; /**< tokens expected in the server's cache */
	bool exclusive;		  /**< must be the only run on its server */
	char *server;
	GByteArray *output; /**< received so far */
	Aps__Outcome *outcome;
	bool stale; /**< refused: this instance is not its dispatcher */
};

/** An account's queue in one pool. */
struct fair_account {
	char *name;
	struct cds_list_head jobs; /**< struct job, oldest first */
	uint32_t queued;
	double vtime;	     /**< virtual time: charged cost over share */
	GArray *grants;	     /**< struct fair_grant */
	uint64_t ask_id;     /**< of the pending request for tokens, or 0 */
	int64_t ask_sent_ms; /**< when that request was sent */
	int64_t next_ask_ms; /**< earliest time of the next request */
	int64_t unanswered_since_ms; /**< first one without a response */
	int64_t outage_ms;	     /**< length of the last ledger outage */
	int64_t outage_end_ms;	     /**< when the ledger responded again */
	bool last_grant_empty;	     /**< the last response granted nothing */
	bool report_due;
};

/** A grant whose use has not been fully reported. */
struct fair_grant {
	uint64_t ask_id;
	uint32_t left; /**< unspent tokens */
	uint32_t used; /**< since the last report */
	int64_t expires_ms;
};

/** The queue of a pool. */
struct fair {
	struct node *node;
	char *pool;
	GHashTable *accounts; /**< name to struct fair_account */
	double vnow;	      /**< virtual time of the account served last */
};

/** Creates an empty queue. */
struct fair *fair_create(struct node *node, const char *pool);

/** Frees the queue, not the jobs; NULL is allowed. */
void fair_destroy(struct fair *fair);

/** Queues a job. */
void fair_push(struct fair *fair, struct job *job);

/** Takes a job out of its queue. */
void fair_remove(struct job *job);

/** Returns the accounts with queued jobs and a token, least served first. */
GPtrArray *fair_eligible_accounts(struct fair *fair);

/** Spends a token of @p account and adds @p cost to its virtual time. */
void fair_charge(struct fair *fair, struct fair_account *account, double cost);

/** Handles a grant from the ledger. */
void fair_on_grant(struct fair *fair, const Aps__Grant *grant);

/** Requests tokens for at most @p slots jobs, and returns unused ones. */
void fair_tick(struct fair *fair, uint32_t slots);

/** Returns the newest job of an account over its rate, to refuse, or NULL. */
struct job *fair_next_over_rate(struct fair *fair);

#endif
