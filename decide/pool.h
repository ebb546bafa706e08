/**
 * @file pool.h
 * @brief Dispatchers: one for each pool of backend servers.
 *
 * The instance that holds the lease on a pool's shard is the only one that
 * starts runs on its servers. It knows their exact in-flight counts, so every
 * limit is checked against a local integer.
 */
#ifndef APS_POOL_H
#define APS_POOL_H

#include "node_int.h"

/** Placement policies. All but POOL_FAIR are baselines for benchmarks. */
enum pool_policy {
	POOL_FAIR,
	POOL_RANDOM,
	POOL_LEAST_LOADED,
};

/** Creates the dispatchers of a node; no shard is held yet. */
struct pools *pool_create(struct node *node);

/** Frees them; NULL is allowed. */
void pool_destroy(struct pools *pools);

/** Starts dispatching for @p shard; @p row has the previous holder's state. */
void pool_shard_acquire(struct pools *pools, int shard,
			const Aps__ShardRow *row);

/** Adds the state of the shard's servers to @p row for the next holder. */
void pool_shard_hand_over(struct pools *pools, int shard, Aps__ShardRow *row);

/** Frees and clears what pool_shard_hand_over() added to @p row. */
void pool_shard_row_clear(Aps__ShardRow *row);

/** Stops dispatching for @p shard; only runs in progress continue. */
void pool_shard_release(struct pools *pools, int shard);

/** Queues a job for an owner's request; a repeated request is idempotent. */
void pool_on_dispatch(struct pools *pools, const char *from,
		      uint64_t incarnation, const Aps__Dispatch *msg);

/** Cancels a job at the request of its owner. */
void pool_on_cancel(struct pools *pools, const char *from, uint64_t incarnation,
		    uint64_t dispatch_id);

/** Handles a ledger's response to a request for tokens. */
void pool_on_grant(struct pools *pools, const Aps__Grant *grant);

/** Handles a part of the output of a run. */
void pool_on_run_chunk(struct pools *pools, uint64_t run_id,
		       uint64_t incarnation, const uint8_t *buf, size_t len);

/** Handles the end of a run. */
void pool_on_run_done(struct pools *pools, uint64_t run_id,
		      const struct node_run_result *result);

/** Updates pools and servers after new rules came into force. */
void pool_on_rules(struct pools *pools);

/** Starts jobs that may start and refuses expired ones. */
void pool_tick(struct pools *pools);

/** Returns the number of runs in progress. */
size_t pool_run_count(const struct pools *pools);

/** Appends a JSON array of the servers of held pools. */
void pool_status(const struct pools *pools, GString *out);

#endif
