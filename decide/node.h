/**
 * @file node.h
 * @brief One instance of the scheduler as a deterministic state machine.
 *
 * All four roles (entry, program owner, account ledger, dispatcher) run in
 * one node. A node does no I/O: it is told of events by the functions below
 * and acts through @ref nod_io. It is not thread-safe.
 */
#ifndef APS_NODE_H
#define APS_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"
#include "proto/apricot.pb-c.h"
#include "rules.h"

struct node;

/** One run of a request on a backend server. */
struct nod_run {
	uint64_t run_id;
	const char *server;
	const char *addr; /**< HOST:PORT */
	const char *target;
	const char *program; /**< internal id, unique across accounts */
	bool is_model;
	bool repeatable;
	uint64_t fence;	  /**< fencing token of the program's owner */
	uint32_t max_out; /**< output limit in tokens */
	uint32_t deadline_ms;
	ProtobufCBinaryData prompt;
	ProtobufCBinaryData resume; /**< answer so far, to be continued */
};

/** How a run ended, as the transport saw it. */
enum nod_run_end {
	NOD_RUN_WHOLE,	   /**< the whole answer came */
	NOD_RUN_REFUSED,   /**< the server says that it did not run */
	NOD_RUN_UNSENT,	   /**< nothing was sent: the connection failed */
	NOD_RUN_BROKEN,	   /**< the connection broke, or truncated answer */
	NOD_RUN_CROSSED,   /**< the answer is another request's */
	NOD_RUN_CANCELLED, /**< cancelled by us */
	NOD_RUN_FAILED,	   /**< the server ran it and answers an error */
};

/** The end of a run. */
struct nod_run_result {
	enum nod_run_end end;
	uint32_t status; /**< HTTP status, 0 if none */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
	uint64_t incarnation; /**< of the server, 0 if unknown */
};

/** What a server reports of itself; it may be late by NOD_LOAD_LAG_MS. */
struct nod_load {
	uint32_t inflight;
	uint64_t incarnation;
};

enum {
	/** Greatest age of a load report, in ms. */
	NOD_LOAD_LAG_MS = 1000,
};

/** Outside effects. Calls must not re-enter the node. */
struct nod_io {
	/** Sends a frame to a peer; may be lost. */
	void (*send)(void *arg, const char *to, const char *addr,
		     const uint8_t *buf, size_t len);
	/** Sends a request to the table; ends in nod_on_table(). */
	void (*table)(void *arg, uint64_t cookie,
		      const Aps__TableRequest *request);
	/** Stores an object; ends in nod_on_object(). */
	void (*object_put)(void *arg, uint64_t cookie, const char *key,
			   const uint8_t *buf, size_t len);
	/** Reads an object; ends in nod_on_object(). */
	void (*object_get)(void *arg, uint64_t cookie, const char *key);
	/** Starts a run; ends in nod_on_run_done(). */
	void (*run)(void *arg, const struct nod_run *run);
	/** Cancels a run; nod_on_run_done() still follows. */
	void (*cancel)(void *arg, uint64_t run_id);
	/** Orders a server to release a program's memory. */
	void (*release)(void *arg, uint64_t cookie, const char *addr,
			const char *program, uint64_t fence);
	/** Asks a server for its load; ends in nod_on_probe(). */
	void (*probe)(void *arg, uint64_t cookie, const char *addr);
	/** Passes a part of an answer to a caller. */
	void (*chunk)(void *arg, uint64_t call_id, const uint8_t *buf,
		      size_t len);
	/** Ends a call. The answer holds only what was not yet passed on. */
	void (*done)(void *arg, uint64_t call_id, const Aps__Outcome *outcome,
		     size_t streamed);
	/** New rules are in force; the former ones are freed on return. */
	void (*rules)(void *arg, const struct rules *rules);
	/** Reports a change of state. */
	void (*log)(void *arg, const char *line);
	void *arg;
};

/** Settings of a node; strings are copied. */
struct nod_settings {
	const char *id;
	const char *addr; /**< where peers reach it */
	const char *zone;
	uint64_t incarnation; /**< differs at each start */
	uint64_t seed;
	uint32_t commit_gap_ms; /**< mean time between two commits at most load
				 */
	int policy;		/**< enum pool_policy */
};

/** A call as a caller sent it. */
struct nod_call {
	const Aps__Request *request;
	uint32_t deadline_ms;
};

/** Counters, exported as metrics. */
enum nod_counter {
	NOD_CALLS,
	NOD_ANSWERS,
	NOD_REFUSALS,
	NOD_TURNS_COMMITTED,
	NOD_REPLAYS,
	NOD_DISPATCHES,
	NOD_RETRIES,
	NOD_RATE_REFUSALS,
	NOD_COMMITS,
	NOD_COMMITTED_ROWS,
	NOD_TABLE_READS,
	NOD_PEER_MESSAGES,
	NOD_PEER_BYTES,
	NOD_CONTROL_BYTES,
	NOD_PEER_FAULTS,
	NOD_SHARDS_TAKEN,
	NOD_SHARDS_HANDED,
	NOD_FENCED,
	NOD_RELEASES,
	NOD_QUARANTINED,
	NOD_RULES_APPLIED,
	NOD_PREFILL_TOKENS,
	NOD_WASTED_TOKENS,
	NOD_COUNTERS,
};

/** Names of the counters, in the order of @ref nod_counter. */
extern const char *const nod_counter_names[NOD_COUNTERS];

/** Creates a node. @return NULL if a state chart is faulty */
struct node *nod_create(const struct nod_settings *settings,
			const struct clk *clk, const struct nod_io *io);

/** Frees a node; NULL is allowed. */
void nod_destroy(struct node *node);

/** Lets time pass; to be called at least every 20 ms. */
void nod_tick(struct node *node);

/** Starts a call. @return its id */
uint64_t nod_call(struct node *node, const struct nod_call *call);

/** The caller has gone. */
void nod_call_cancel(struct node *node, uint64_t call_id);

/** A frame from a peer. */
void nod_on_peer(struct node *node, const uint8_t *buf, size_t len);

/** The end of a table request; @p reply is NULL if none came in time. */
void nod_on_table(struct node *node, uint64_t cookie,
		  const Aps__TableReply *reply);

/** The end of an object request; for reads, @p buf is NULL if it failed. */
void nod_on_object(struct node *node, uint64_t cookie, bool ok,
		   const uint8_t *buf, size_t len);

/** A part of an answer; @p incarnation of the server, 0 if unknown. */
void nod_on_run_chunk(struct node *node, uint64_t run_id, uint64_t incarnation,
		      const uint8_t *buf, size_t len);

/** The end of a run. */
void nod_on_run_done(struct node *node, uint64_t run_id,
		     const struct nod_run_result *result);

/** The end of a release order. */
void nod_on_release(struct node *node, uint64_t cookie, bool acknowledged,
		    uint64_t incarnation);

/** The end of a probe; @p load is NULL if it failed. */
void nod_on_probe(struct node *node, uint64_t cookie,
		  const struct nod_load *load);

/** Starts a graceful shutdown. */
void nod_drain(struct node *node);

/** Returns whether a graceful shutdown is complete. */
bool nod_drained(const struct node *node);

/** Returns whether the node can serve calls. */
bool nod_ready(const struct node *node);

/** Returns a counter. */
uint64_t nod_counter(const struct node *node, enum nod_counter counter);

/** Returns a JSON text of shards, servers and programs; g_free() it. */
char *nod_status(const struct node *node);

#endif
