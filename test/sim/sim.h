/**
 * @file sim.h
 * @brief Simulation of nodes, table, backend servers and callers in virtual
 * time.
 *
 * Implements the interface struct node_io. A run is determined by its seed.
 */
#ifndef APS_SIM_H
#define APS_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "decide/node.h"
#include "decide/rng.h"
#include "table/memtable.h"
#include "test/standins/model.h"

enum {
	SIM_NODES_MAX = 64,
	SIM_SERVERS_MAX = 32,
	SIM_ACCOUNTS_MAX = 16,
};

struct sim;

/** Callback of a scheduled event. */
typedef void (*sim_event_fn)(struct sim *sim, void *arg);

/** Parameters of a simulation. */
struct sim_params {
	uint64_t seed;
	int nodes;
	int zones;
	int engines;		  /**< model servers, in the pool kitchen */
	int services;		  /**< plain services, in the pool desk */
	uint32_t engine_runs_max; /**< concurrent runs of a model server */
	int accounts;
	double rate;	   /**< of each account, in requests per second */
	double burst;	   /**< of each account, in requests */
	double latency_ms; /**< one way */
	uint32_t commit_gap_ms;
	uint32_t idle_s;
	uint32_t turns_max;
	int policy;
};

/** A simulated instance. */
struct sim_node {
	struct sim *sim;
	int index;
	char id[16];
	struct node *node; /**< NULL while the instance is down */
	uint64_t generation;
	bool frozen;
	bool table_unreachable;
	bool peers_unreachable;
	bool drained;
	GQueue *deferred;    /**< events received while frozen */
	uint64_t revision;   /**< last configuration revision */
	int64_t revision_ms; /**< when it took effect */
};

/** A run, as recorded by its server. */
struct sim_run {
	int64_t start_ms;
	int64_t end_ms; /**< 0 while running */
	int server;
	char *program;
	int prog; /**< index of the program, or -1 */
	int turn;
	int account;
	bool repeatable;
	uint32_t tokens;
	int64_t out_for_ms; /**< time since its server was taken out */
};

/** A backend server. */
struct sim_server {
	char name[16];
	char zone[8];
	char pool[16];
	struct model *model;
	bool out;
	int64_t down_until_ms; /**< connections are refused */
	int64_t out_since_ms;  /**< 0 unless taken out */
	GHashTable *active;    /**< set of struct active_run */
};

/** A client account. */
struct sim_account {
	char name[16];
	double rate;
	double burst;
	double share;
	bool withdrawn;
	int64_t withdrawn_ms;
};

/** A simulation. */
struct sim {
	struct sim_params params;
	struct rng rng;
	int64_t now_ms;
	uint64_t next_event_seq;
	GSequence *events;
	struct clk clk;
	struct sim_node nodes[SIM_NODES_MAX];
	struct sim_server servers[SIM_SERVERS_MAX];
	int nservers;
	struct sim_account accounts[SIM_ACCOUNTS_MAX];
	struct memtable *table;
	GHashTable *objects; /**< key to GBytes */
	bool table_out;
	bool objects_out;
	int table_delay_max_ms;
	int reply_loss_percent;	  /**< replies of the table that are lost */
	int message_loss_percent; /**< messages between nodes that are lost */
	int mismatched_percent;	  /**< responses that answer another request */
	uint64_t config_revision; /**< last accepted revision */
	int64_t config_accepted_ms;
	uint64_t head_version;
	int64_t last_arrival_ms[SIM_NODES_MAX][SIM_NODES_MAX];
	GPtrArray *runs;  /**< struct sim_run, in order of start */
	GPtrArray *progs; /**< struct sim_program */
	/** double: from the end of a run to its final frame at the caller */
	GArray *final_frame_delays_ms;
	GArray *first_chunk_times_ms; /**< double: time to first chunk */
	GHashTable *calls;	      /**< call id to struct sim_program */
	uint64_t prefilled_tokens;
	uint64_t wasted_tokens; /**< prefilled while cached elsewhere */
	uint64_t table_writes;
	uint64_t table_reads;
	uint64_t read_reply_bytes;
	GString *violations; /**< one line per violated invariant */
	bool verbose;
};

/** Refers to one start of a node, which may have stopped since. */
struct sim_node_ref {
	int node;
	uint64_t generation;
};

/** Returns the default parameters of scenarios. */
struct sim_params sim_default_params(void);

/** Creates a simulation and starts its nodes. */
struct sim *sim_create(const struct sim_params *params);

/** Runs all remaining events, then frees the simulation. */
void sim_destroy(struct sim *sim);

/** Schedules @p fn after @p delay_ms of virtual time. */
void sim_schedule(struct sim *sim, double delay_ms, sim_event_fn fn, void *arg);

/** Advances virtual time by @p ms and runs the events due. */
void sim_run_for(struct sim *sim, int64_t ms);

/** Starts node @p index if it is down. */
void sim_start_node(struct sim *sim, int index);
/** Kills node @p index. */
void sim_kill_node(struct sim *sim, int index);
/** Suspends node @p index; its clock continues. */
void sim_freeze_node(struct sim *sim, int index);
/** Resumes a frozen node. */
void sim_thaw_node(struct sim *sim, int index);
/** Starts a graceful shutdown of node @p index. */
void sim_drain_node(struct sim *sim, int index);

/** Applies a new revision with the current accounts, servers and zones. */
void sim_apply_config(struct sim *sim);

/** Returns a random ready node, as a load balancer would, or NULL. */
struct sim_node *sim_pick_ready_node(struct sim *sim);

/** Records a violated invariant. */
void sim_violation(struct sim *sim, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** Returns the referenced node, or NULL if it has stopped or restarted. */
struct sim_node *sim_find_running_node(struct sim *sim,
				       struct sim_node_ref ref);

/** Defers an event while the node is frozen. @return whether it did */
bool sim_defer_if_frozen(struct sim_node *n, sim_event_fn fn, void *arg);

/* Backend servers (backends.c). */
void backends_create(struct sim *sim);
void backends_destroy(struct sim *sim);
void backends_run(struct sim_node *n, const struct node_run *run);
void backends_cancel(struct sim_node *n, uint64_t run_id);
void backends_release(struct sim_node *n, uint64_t cookie, const char *addr,
		      const char *program, uint64_t fence);
void backends_probe(struct sim_node *n, uint64_t cookie, const char *addr);
void backends_crash(struct sim *sim, int server);
void backends_on_node_down(struct sim *sim, int node);

/* Table and object store (sim_store.c). */
void sim_store_table(struct sim_node *n, uint64_t cookie,
		     const Aps__TableRequest *request);
void sim_store_put_object(struct sim_node *n, uint64_t cookie, const char *key,
			  const uint8_t *buf, size_t len);
void sim_store_get_object(struct sim_node *n, uint64_t cookie, const char *key);

#endif
