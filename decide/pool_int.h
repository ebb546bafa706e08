/**
 * @file pool_int.h
 * @brief What the files of the dispatcher share.
 */
#ifndef APS_POOL_INT_H
#define APS_POOL_INT_H

#include "fair.h"
#include "pool.h"
#include "server.h"

/** One pool of backend servers. */
struct pool {
	char *name;
	int shard;
	bool held;
	struct pools *set;
	GPtrArray *servers; /**< struct server */
	struct fair *fair;
	double out_tokens; /**< moving average of an answer's length */
	double prefill_ms; /**< moving average for each uncached token */
	double decode_ms;  /**< moving average for each answer token */
	int64_t report_ms; /**< last load report, for a baseline */
};

/** All pools of a node. */
struct pools {
	struct node *node;
	GHashTable *by_name; /**< struct pool */
	GHashTable *jobs;    /**< key to struct job */
	GHashTable *runs;    /**< run id to struct job */
	int64_t sweep_due_ms;
};

/** Ends a job and tells its owner. */
void pool_finish_job(struct pools *pools, struct job *job,
		     const Aps__Outcome *outcome);

/** Ends a job that has not run; @p line names the rule, 0 for none. */
void pool_refuse_job(struct pools *pools, struct job *job, uint32_t status,
		     int line, const char *reason);

/** Checks what must hold when a job starts; refuses it if it does not. */
bool pool_may_start(struct pools *pools, struct job *job);

/** Starts a job on @p server. */
void pool_start_job(struct pool *pool, struct job *job, struct server *server);

/** Chooses the next job and its server. @return false if none can start */
bool place_next_job(struct pool *pool, struct job **job,
		    struct server **server);

/** Returns the server @p name of @p pool, or NULL. */
struct server *place_find_server(const struct pool *pool, const char *name);

/** Returns how many more jobs could start now. */
uint32_t place_free_slots(struct pool *pool);

/** Returns the expected time of @p job alone on @p server, in ms. */
double place_cost_ms(const struct pool *pool, const struct job *job,
		     const struct server *server);

/** Learns from a whole answer. @return whether it was timely */
bool place_observe(struct pool *pool, const struct job *job,
		   const struct server *server, const Aps__Outcome *outcome);

/** Returns an estimate of the tokens in @p len bytes. */
static inline uint32_t place_estimate_tokens(size_t len)
{
	enum { BYTES_PER_TOKEN = 4 };

	return (uint32_t)(len / BYTES_PER_TOKEN) + 1;
}

#endif
