/**
 * @file node.h
 * @brief One instance of the scheduler as a deterministic state machine.
 *
 * All four roles (entry, program owner, account ledger, dispatcher) run in
 * one node. A node does no I/O: it is told of events by the functions below
 * and acts through @ref node_io. It is not thread-safe.
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
struct node_run {
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
enum node_run_end {
	NODE_RUN_COMPLETE,    /**< the whole answer came */
	NODE_RUN_REFUSED,     /**< the server says that it did not run */
	NODE_RUN_NOT_SENT,    /**< nothing was sent: the connection failed */
	NODE_RUN_INTERRUPTED, /**< the connection broke, or truncated answer */
	NODE_RUN_MISMATCHED,  /**< the answer is another request's */
	NODE_RUN_CANCELLED,   /**< cancelled by us */
	NODE_RUN_FAILED,      /**< the server ran it and answers an error */
};

/** The end of a run. */
struct node_run_result {
	enum node_run_end end;
	uint32_t status; /**< HTTP status, 0 if none */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
	uint64_t incarnation; /**< of the server, 0 if unknown */
};

/** What a server reports of itself; it may be late by NODE_LOAD_MAX_AGE_MS. */
struct node_load {
	uint32_t inflight;
	uint64_t incarnation;
};

enum {
	/** Greatest age of a load report, in ms. */
	NODE_LOAD_MAX_AGE_MS = 1000,
};

/** Outside effects. Calls must not re-enter the node. */
struct node_io {
	/** Sends a frame to a peer; may be lost. */
	void (*send)(void *arg, const char *to, const char *addr,
		     const uint8_t *buf, size_t len);
	/** Sends a request to the table; ends in node_on_table(). */
	void (*table)(void *arg, uint64_t cookie,
		      const Aps__TableRequest *request);
	/** Stores an object; ends in node_on_object(). */
	void (*object_put)(void *arg, uint64_t cookie, const char *key,
			   const uint8_t *buf, size_t len);
	/** Reads an object; ends in node_on_object(). */
	void (*object_get)(void *arg, uint64_t cookie, const char *key);
	/** Starts a run; ends in node_on_run_done(). */
	void (*run)(void *arg, const struct node_run *run);
	/** Cancels a run; node_on_run_done() still follows. */
	void (*cancel)(void *arg, uint64_t run_id);
	/** Orders a server to release a program's memory. */
	void (*release)(void *arg, uint64_t cookie, const char *addr,
			const char *program, uint64_t fence);
	/** Asks a server for its load; ends in node_on_probe(). */
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
struct node_settings {
	const char *id;
	const char *addr; /**< where peers reach it */
	const char *zone;
	uint64_t incarnation; /**< differs at each start */
	uint64_t seed;
	uint32_t commit_gap_ms; /**< mean time between two commits at most load
				 */
	int policy;		/**< enum pol_policy */
};

/** A call as a caller sent it. */
struct node_call {
	const Aps__Request *request;
	uint32_t deadline_ms;
};

/** Counters, exported as metrics. */
enum node_counter {
	NODE_CALLS,
	NODE_ANSWERS,
	NODE_REFUSALS,
	NODE_TURNS_COMMITTED,
	NODE_REPLAYS,
	NODE_DISPATCHES,
	NODE_RETRIES,
	NODE_RATE_REFUSALS,
	NODE_COMMITS,
	NODE_COMMITTED_ROWS,
	NODE_TABLE_READS,
	NODE_PEER_MESSAGES,
	NODE_PEER_BYTES,
	NODE_CONTROL_BYTES,
	NODE_PEER_FAULTS,
	NODE_SHARDS_TAKEN,
	NODE_SHARDS_HANDED,
	NODE_FENCED,
	NODE_RELEASES,
	NODE_QUARANTINED,
	NODE_RULES_APPLIED,
	NODE_PREFILL_TOKENS,
	NODE_WASTED_TOKENS,
	NODE_COUNTERS,
};

/** Names of the counters, in the order of @ref node_counter. */
extern const char *const node_counter_names[NODE_COUNTERS];

/** Creates a node. @return NULL if a state chart is faulty */
struct node *node_create(const struct node_settings *settings,
			 const struct clk *clk, const struct node_io *io);

/** Frees a node; NULL is allowed. */
void node_destroy(struct node *node);

/** Lets time pass; to be called at least every 20 ms. */
void node_tick(struct node *node);

/** Starts a call. @return its id */
uint64_t node_call(struct node *node, const struct node_call *call);

/** The caller has gone. */
void node_call_cancel(struct node *node, uint64_t call_id);

/** A frame from a peer. */
void node_on_peer(struct node *node, const uint8_t *buf, size_t len);

/** The end of a table request; @p reply is NULL if none came in time. */
void node_on_table(struct node *node, uint64_t cookie,
		   const Aps__TableReply *reply);

/** The end of an object request; for reads, @p buf is NULL if it failed. */
void node_on_object(struct node *node, uint64_t cookie, bool ok,
		    const uint8_t *buf, size_t len);

/** A part of an answer; @p incarnation of the server, 0 if unknown. */
void node_on_run_chunk(struct node *node, uint64_t run_id, uint64_t incarnation,
		       const uint8_t *buf, size_t len);

/** The end of a run. */
void node_on_run_done(struct node *node, uint64_t run_id,
		      const struct node_run_result *result);

/** The end of a release order. */
void node_on_release(struct node *node, uint64_t cookie, bool acknowledged,
		     uint64_t incarnation);

/** The end of a probe; @p load is NULL if it failed. */
void node_on_probe(struct node *node, uint64_t cookie,
		   const struct node_load *load);

/** Starts a graceful shutdown. */
void node_drain(struct node *node);

/** Returns whether a graceful shutdown is complete. */
bool node_is_drained(const struct node *node);

/** Returns whether the node can serve calls. */
bool node_is_ready(const struct node *node);

/** Returns a counter. */
uint64_t node_counter(const struct node *node, enum node_counter counter);

/** Returns a JSON text of shards, servers and programs; g_free() it. */
char *node_status(const struct node *node);

#endif
