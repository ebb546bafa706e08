/**
 * @file pool_int.h
 * @brief Types and functions shared by the files of the dispatcher.
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
	bool held; /**< this instance holds the lease on the shard */
	struct pools *pools;
	GPtrArray *servers; /**< struct server */
	struct fair *fair;
	double avg_output_tokens; /**< moving average, per response */
	double prefill_token_ms;  /**< moving average, per uncached token */
	double decode_token_ms;	  /**< moving average, per output token */
	int64_t load_report_ms;	  /**< last load report, POOL_LEAST_LOADED */
};

/** All pools of a node. */
struct pools {
	struct node *node;
	GHashTable *by_name; /**< struct pool */
	GHashTable *jobs;    /**< key to struct job */
	GHashTable *runs;    /**< run id to struct job */
	int64_t sweep_due_ms;
};

/** Ends a job and sends its outcome to the owner. */
void pool_finish_job(struct pools *pools, struct job *job,
		     const Aps__Outcome *outcome);

/** Ends a job that has not run; @p line is that of the deciding rule, or 0. */
void pool_refuse_job(struct pools *pools, struct job *job, uint32_t status,
		     int line, const char *reason);

/** Checks the preconditions for starting a job; refuses it if one fails. */
bool pool_may_start(struct pools *pools, struct job *job);

/** Starts a job on @p server. */
void pool_start_job(struct pool *pool, struct job *job, struct server *server);

/** Chooses the next job and its server. @return false if none can start */
bool place_next_job(struct pool *pool, struct job **job,
		    struct server **server);

/** Returns the server @p name of @p pool, or NULL. */
struct server *place_find_server(const struct pool *pool, const char *name);

/** Returns how many more jobs could start now, at least 1. */
uint32_t place_free_slots(struct pool *pool);

/** Returns the expected run time of @p job on @p server, in ms. */
double place_cost_ms(const struct pool *pool, const struct job *job,
		     const struct server *server);

/** Updates the averages from a complete response. @return whether timely */
bool place_observe(struct pool *pool, const struct job *job,
		   const struct server *server, const Aps__Outcome *outcome);

/** Estimates the number of tokens in @p len bytes of text. */
static inline uint32_t place_estimate_tokens(size_t len)
{
	enum { BYTES_PER_TOKEN = 4 };

	return (uint32_t)(len / BYTES_PER_TOKEN) + 1;
}

#endif
