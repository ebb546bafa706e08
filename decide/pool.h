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

/** How jobs are placed. All but POL_FAIR are baselines for measurements. */
enum pol_policy {
	POL_FAIR,
	POL_RANDOM,
	POL_LEAST_LOADED,
};

/** Creates a set of dispatchers; none is served yet. */
struct pools *pol_create(struct node *node);

/** Frees them; NULL is allowed. */
void pol_destroy(struct pools *pools);

/** The shard is ours from now on. */
void pol_shard_start(struct pools *pools, int shard, const Aps__ShardRow *row);

/** Writes what the next holder has to know into @p row. */
void pol_shard_pass(struct pools *pools, int shard, Aps__ShardRow *row);

/** Frees what pol_shard_pass() added to @p row. */
void pol_row_free(Aps__ShardRow *row);

/** The shard is no longer ours; runs go on, queued jobs go back. */
void pol_shard_stop(struct pools *pools, int shard);

/** An owner wants a request run. */
void pol_on_dispatch(struct pools *pools, const char *from,
		     uint64_t incarnation, const Aps__Dispatch *msg);

/** An owner no longer wants it. */
void pol_on_cancel(struct pools *pools, const char *from, uint64_t incarnation,
		   uint64_t dispatch_id);

/** A ledger answers. */
void pol_on_grant(struct pools *pools, const Aps__Grant *grant);

/** A part of an answer. */
void pol_on_run_chunk(struct pools *pools, uint64_t run_id,
		      uint64_t incarnation, const uint8_t *buf, size_t len);

/** The end of a run. */
void pol_on_run_done(struct pools *pools, uint64_t run_id,
		     const struct node_run_result *result);

/** New rules are in force. */
void pol_on_rules(struct pools *pools);

/** Starts what may start, refuses what is over. */
void pol_tick(struct pools *pools);

/** Returns the number of runs under way. */
size_t pol_runs(const struct pools *pools);

/** Appends a JSON array of servers. */
void pol_status(const struct pools *pools, GString *out);

#endif
