/**
 * @file node.h
 * @brief One instance of the scheduler as a deterministic state machine.
 *
 * All four roles (entry, program owner, account ledger, dispatcher) run in
 * one node. A node does no I/O: the functions below deliver events to it, and
 * it acts through the callbacks of @ref node_io. It is not thread-safe.
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

/** One run of a request on a backend server, as started by the node. */
struct node_run {
	uint64_t run_id;
	const char *server;
	const char *addr;    /**< HOST:PORT */
	const char *target;  /**< model or service */
	const char *program; /**< internal id, unique across accounts */
	bool is_model;
	bool repeatable;  /**< idempotent */
	uint64_t fence;	  /**< fencing token of the program's owner */
	uint32_t max_out; /**< output limit in tokens */
	uint32_t deadline_ms;
	ProtobufCBinaryData prompt;
	ProtobufCBinaryData resume; /**< partial response to continue */
};

/** How a run ended, as the transport saw it. */
enum node_run_end {
	NODE_RUN_COMPLETE,    /**< the complete response was received */
	NODE_RUN_REFUSED,     /**< the server reports that it did not run it */
	NODE_RUN_NOT_SENT,    /**< connection failed, nothing was sent */
	NODE_RUN_INTERRUPTED, /**< connection lost, or response truncated */
	NODE_RUN_MISMATCHED,  /**< the response belongs to another request */
	NODE_RUN_CANCELLED,   /**< cancelled by this node */
	NODE_RUN_FAILED,      /**< the server ran it and returned an error */
};

/** Result of a run. */
struct node_run_result {
	enum node_run_end end;
	uint32_t status; /**< HTTP status, 0 if none */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
	uint64_t incarnation; /**< of the server, 0 if unknown */
};

/** A server's load report; it may be up to NODE_LOAD_MAX_AGE_MS old. */
struct node_load {
	uint32_t inflight;
	uint64_t incarnation;
};

enum {
	/** Maximum age of a load report, in ms. */
	NODE_LOAD_MAX_AGE_MS = 1000,
};

/** Callbacks for all I/O. They must not call back into the node. */
struct node_io {
	/** Sends a frame to a peer; delivery is not guaranteed. */
	void (*send)(void *arg, const char *to, const char *addr,
		     const uint8_t *buf, size_t len);
	/** Sends a request to the table; node_on_table() completes it. */
	void (*table)(void *arg, uint64_t cookie,
		      const Aps__TableRequest *request);
	/** Stores an object; node_on_object() completes it. */
	void (*object_put)(void *arg, uint64_t cookie, const char *key,
			   const uint8_t *buf, size_t len);
	/** Reads an object; node_on_object() completes it. */
	void (*object_get)(void *arg, uint64_t cookie, const char *key);
	/** Starts a run; node_on_run_done() completes it. */
	void (*run)(void *arg, const struct node_run *run);
	/** Cancels a run; node_on_run_done() still follows. */
	void (*cancel)(void *arg, uint64_t run_id);
	/**
	 * Asks a server to release a program's memory; node_on_release()
	 * completes it.
	 */
	void (*release)(void *arg, uint64_t cookie, const char *addr,
			const char *program, uint64_t fence);
	/** Asks a server for its load; node_on_probe() completes it. */
	void (*probe)(void *arg, uint64_t cookie, const char *addr);
	/** Streams a part of a response to a caller. */
	void (*chunk)(void *arg, uint64_t call_id, const uint8_t *buf,
		      size_t len);
	/** Completes a call; @p streamed bytes of the response were sent. */
	void (*done)(void *arg, uint64_t call_id, const Aps__Outcome *outcome,
		     size_t streamed);
	/** New rules are in force; the previous ones are freed afterwards. */
	void (*rules)(void *arg, const struct rules *rules);
	/** Logs a line. */
	void (*log)(void *arg, const char *line);
	void *arg;
};

/** Settings of a node; strings are copied. */
struct node_settings {
	const char *id;
	const char *addr; /**< HOST:PORT for peers */
	const char *zone;
	uint64_t incarnation; /**< unique to each start */
	uint64_t seed;
	uint32_t commit_gap_ms; /**< mean interval of commits at full load */
	int policy;		/**< enum pool_policy */
};

/** A call as received from a caller. */
struct node_call {
	const Aps__Request *request;
	uint32_t deadline_ms; /**< from now */
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
	NODE_COUNTER_COUNT,
};

/** Names of the counters, in the order of @ref node_counter. */
extern const char *const node_counter_names[NODE_COUNTER_COUNT];

/** Creates a node. @return NULL if a state chart is invalid */
struct node *node_create(const struct node_settings *settings,
			 const struct clk *clk, const struct node_io *io);

/** Frees a node; NULL is allowed. */
void node_destroy(struct node *node);

/** Runs timers; must be called at least every 20 ms. */
void node_tick(struct node *node);

/** Starts a call. @return its id */
uint64_t node_call(struct node *node, const struct node_call *call);

/** Cancels a call whose caller has disconnected. */
void node_call_cancel(struct node *node, uint64_t call_id);

/** Handles a frame from a peer. */
void node_on_peer(struct node *node, const uint8_t *buf, size_t len);

/** Completes a table request; @p reply is NULL if it timed out. */
void node_on_table(struct node *node, uint64_t cookie,
		   const Aps__TableReply *reply);

/** Completes an object request; a failed read passes NULL as @p buf. */
void node_on_object(struct node *node, uint64_t cookie, bool ok,
		    const uint8_t *buf, size_t len);

/** Handles a part of a response from a server, of incarnation 0 if unknown. */
void node_on_run_chunk(struct node *node, uint64_t run_id, uint64_t incarnation,
		       const uint8_t *buf, size_t len);

/** Completes a run. */
void node_on_run_done(struct node *node, uint64_t run_id,
		      const struct node_run_result *result);

/** Completes a release request. */
void node_on_release(struct node *node, uint64_t cookie, bool acknowledged,
		     uint64_t incarnation);

/** Completes a load probe; @p load is NULL if it failed. */
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

/** Returns the node's status and its servers as JSON; g_free() it. */
char *node_status(const struct node *node);

#endif
