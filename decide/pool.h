/**
 * @file pool.h
 * @brief Dispatchers: one for each pool of backend servers.
 *
 * The holder of a pool's shard knows the exact in-flight count of each of
 * its servers, so every limit is a local integer.
 */
#ifndef APS_POOL_H
#define APS_POOL_H

#include "node_int.h"

/** How jobs are placed. All but POOL_FAIR are baselines for measurements. */
enum pool_policy {
	POOL_FAIR,
	POOL_RANDOM,
	POOL_LEAST_LOADED,
};

/** Creates a set of dispatchers; none is served yet. */
struct pools *pool_create(struct node *node);

/** Frees them; NULL is allowed. */
void pool_destroy(struct pools *pools);

/** The shard is ours from now on. */
void pool_shard_acquire(struct pools *pools, int shard,
			const Aps__ShardRow *row);

/** Writes what the next holder has to know into @p row. */
void pool_shard_hand_over(struct pools *pools, int shard, Aps__ShardRow *row);

/** Frees what pool_shard_hand_over() added to @p row. */
void pool_shard_row_clear(Aps__ShardRow *row);

/** The shard is no longer ours; runs go on, queued jobs go back. */
void pool_shard_release(struct pools *pools, int shard);

/** An owner wants a request run. */
void pool_on_dispatch(struct pools *pools, const char *from,
		      uint64_t incarnation, const Aps__Dispatch *msg);

/** An owner no longer wants it. */
void pool_on_cancel(struct pools *pools, const char *from, uint64_t incarnation,
		    uint64_t dispatch_id);

/** A ledger answers. */
void pool_on_grant(struct pools *pools, const Aps__Grant *grant);

/** A part of an answer. */
void pool_on_run_chunk(struct pools *pools, uint64_t run_id,
		       uint64_t incarnation, const uint8_t *buf, size_t len);

/** The end of a run. */
void pool_on_run_done(struct pools *pools, uint64_t run_id,
		      const struct nod_run_result *result);

/** New rules are in force. */
void pool_on_rules(struct pools *pools);

/** Starts what may start, refuses what is over. */
void pool_tick(struct pools *pools);

/** Returns the number of runs under way. */
size_t pool_run_count(const struct pools *pools);

/** Appends a JSON array of servers. */
void pool_status(const struct pools *pools, GString *out);

#endif
