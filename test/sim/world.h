/**
 * @file world.h
 * @brief A few nodes, a table, backend servers and callers in virtual time.
 *
 * Fakes at the interfaces of struct node_io. Everything follows from the seed.
 */
#ifndef APS_WORLD_H
#define APS_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "decide/node.h"
#include "decide/rng.h"
#include "table/memtable.h"
#include "test/standins/model.h"

enum {
	WLD_NODES_MAX = 64,
	WLD_SERVERS_MAX = 32,
	WLD_ACCOUNTS_MAX = 16,
};

struct world;

/** Something that happens later. */
typedef void (*wld_fn)(struct world *w, void *arg);

/** What a world is made of. */
struct wld_params {
	uint64_t seed;
	int nodes;
	int zones;
	int engines;  /**< servers of the pool kitchen */
	int desks;    /**< servers of the pool desk */
	uint32_t max; /**< most runs of an engine at once */
	int accounts;
	double rate; /**< of each account */
	double burst;
	double latency_ms; /**< one way */
	uint32_t commit_gap_ms;
	uint32_t idle_s;
	uint32_t turns_max;
	int policy;
};

/** An instance. */
struct wld_node {
	struct world *world;
	int index;
	char id[16];
	struct node *node; /**< NULL while it is down */
	uint64_t generation;
	bool frozen;
	bool cut_table;
	bool cut_peers;
	bool drained;
	GQueue *held;	     /**< events that came while it was frozen */
	uint64_t revision;   /**< highest revision seen in force */
	int64_t revision_ms; /**< when it came into force */
};

/** One run as a server saw it. */
struct wld_run {
	int64_t start_ms;
	int64_t end_ms; /**< 0 while it runs */
	int server;
	char *program;
	int prog; /**< caller's program, from the body; -1 if unknown */
	int turn;
	int account;
	bool repeatable;
	uint32_t tokens;
	int64_t out_for_ms; /**< how long its server had been out */
};

/** A backend server. */
struct wld_server {
	char name[16];
	char zone[8];
	char pool[16];
	struct model *model;
	bool out;
	int64_t down_until_ms; /**< refuses connections until then */
	int64_t out_ms;	       /**< when it was taken out, 0 if it is in */
	GHashTable *active;    /**< runs under way */
};

/** A client account. */
struct wld_account {
	char name[16];
	double rate;
	double burst;
	double share;
	bool withdrawn;
	int64_t withdrawn_ms;
};

/** The world. */
struct world {
	struct wld_params params;
	struct rng rng;
	int64_t now_ms;
	uint64_t seq;
	GSequence *events;
	struct clk clk;
	struct wld_node nodes[WLD_NODES_MAX];
	struct wld_server servers[WLD_SERVERS_MAX];
	int nservers;
	struct wld_account accounts[WLD_ACCOUNTS_MAX];
	struct memtable *table;
	GHashTable *objects; /**< name to GBytes */
	bool outage;
	bool objects_out;
	int slow_ms;
	int lose_replies;  /**< percent of the table's replies */
	int lose_messages; /**< percent of messages between peers */
	int crossed;	   /**< percent of answers that are another's */
	uint64_t revision; /**< last accepted */
	int64_t revision_ms;
	uint64_t head_version;
	int64_t last_arrival[WLD_NODES_MAX][WLD_NODES_MAX];
	GPtrArray *runs;   /**< struct wld_run, by start */
	GPtrArray *progs;  /**< struct prog */
	GArray *last_ms;   /**< double: from a run's end to its last frame */
	GArray *first_ms;  /**< double: time to the first part of each turn */
	GHashTable *calls; /**< call id to struct prog */
	uint64_t fresh_tokens;	/**< prefilled */
	uint64_t wasted_tokens; /**< prefilled although cached elsewhere */
	uint64_t table_writes;
	uint64_t table_reads;
	uint64_t poll_bytes; /**< of replies to reads */
	GString *faults;     /**< one line for each broken invariant */
	bool verbose;
};

/** A node that may be gone when something arrives. */
struct wld_target {
	int node;
	uint64_t generation;
};

/** Returns the parameters that scenarios start from. */
struct wld_params wld_defaults(void);

/** Creates a world whose nodes are up. */
struct world *wld_create(const struct wld_params *params);

/** Frees a world. */
void wld_destroy(struct world *w);

/** Calls @p fn after @p delay_ms. */
void wld_after(struct world *w, double delay_ms, wld_fn fn, void *arg);

/** Lets @p ms pass. */
void wld_run_for(struct world *w, int64_t ms);

/** Starts node @p index if it is down. */
void wld_start_node(struct world *w, int index);
/** Kills node @p index. */
void wld_kill_node(struct world *w, int index);
/** Stops node @p index for a while; its clock goes on. */
void wld_freeze_node(struct world *w, int index);
/** Lets a frozen node go on. */
void wld_thaw_node(struct world *w, int index);
/** Stops node @p index gracefully. */
void wld_drain_node(struct world *w, int index);

/** Applies accounts, servers and zones as they stand as a revision. */
void wld_apply(struct world *w);

/** Returns a node that a balancer would choose, or NULL. */
struct wld_node *wld_pick_node(struct world *w);

/** Notes a broken invariant. */
void wld_fault(struct world *w, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** Returns the node if it is still the same one, or NULL. */
struct wld_node *wld_same(struct world *w, struct wld_target target);

/** Holds an event back if the node is frozen. @return whether it did */
bool wld_hold(struct wld_node *n, wld_fn fn, void *arg);

/* Backend servers (backends.c). */
void bke_create(struct world *w);
void bke_destroy(struct world *w);
void bke_run(struct wld_node *n, const struct node_run *run);
void bke_cancel(struct wld_node *n, uint64_t run_id);
void bke_release(struct wld_node *n, uint64_t cookie, const char *addr,
		 const char *program, uint64_t fence);
void bke_probe(struct wld_node *n, uint64_t cookie, const char *addr);
void bke_crash(struct world *w, int server);
void bke_node_gone(struct world *w, int node);

/* The table and the object store (store.c). */
void sto_table(struct wld_node *n, uint64_t cookie,
	       const Aps__TableRequest *request);
void sto_put(struct wld_node *n, uint64_t cookie, const char *key,
	     const uint8_t *buf, size_t len);
void sto_get(struct wld_node *n, uint64_t cookie, const char *key);

#endif
