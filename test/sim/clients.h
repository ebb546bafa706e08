/**
 * @file clients.h
 * @brief Simulated callers: agent programs, their calls and the responses.
 */
#ifndef APS_CLIENTS_H
#define APS_CLIENTS_H

#include "test/sim/sim.h"

enum {
	CLIENTS_CALL_TIMEOUT_MS = 20000, /**< default timeout of a call */
	/** A caller waits this long past the timeout before it retries. */
	CLIENTS_TIMEOUT_MARGIN_MS = 5000,
	CLIENTS_ATTEMPTS_MAX = 100, /**< attempts for one turn */
};

/** A response that reported the request as not executed. */
struct clients_not_run {
	int turn;
	int64_t called_ms;
	int64_t replied_ms;
};

/** An agent program as its caller drives it. */
struct sim_program {
	struct sim *sim;
	int index;
	int account;
	int turns;
	int tool_percent;	/**< share of turns that call a plain service */
	int pause_max_ms;	/**< longest pause between turns */
	int out_tokens_max;	/**< output limit of each turn */
	int body_padding_bytes; /**< padding of each request body */
	uint64_t budget_tokens; /**< 0 for no budget */
	int parent;		/**< index of the parent program, or -1 */
	bool one_shot;		/**< sends transient requests: no history */
	int call_timeout_ms;	/**< timeout stated in each call */
	bool sends_early;   /**< also sends each turn before the previous one */
	bool kept_open;	    /**< the caller does not end the program */
	const char *poison; /**< marker in the first body, or NULL */
	/* State. */
	int turn;
	bool is_tool_turn;   /**< the current turn calls a plain service */
	int turn_out_tokens; /**< output length of the current turn */
	bool call_pending;
	bool finished;
	bool end_confirmed;   /**< the END request succeeded */
	uint32_t stop_status; /**< HTTP status that stopped it, or 0 */
	uint64_t call_id;     /**< 0 if no call is pending */
	int pinned_node;      /**< 1-based node that it calls, 0 for any */
	GByteArray *streamed;
	GPtrArray *bodies; /**< request body of each turn */
	GArray *answered;  /**< bool for each turn */
	GArray *not_run;   /**< struct clients_not_run */
	int64_t called_ms;
	int64_t run_end_ms; /**< end of the last run at a server */
	int64_t started_ms;
	int64_t turn_started_ms; /**< first call of the current turn */
	int64_t done_ms;
	int64_t pause_total_ms;
	int attempts;
	int call_node; /**< node that handles the current call */
	uint32_t rate_refusals;
	uint32_t unknown_replies; /**< responses with an unknown execution */
};

/** Creates the callers. */
void clients_create(struct sim *sim);

/** Frees the callers and their programs. */
void clients_destroy(struct sim *sim);

/** Marks every program as finished, so that no further call is sent. */
void clients_stop(struct sim *sim);

/** Adds a program; set its fields, then call clients_start_program(). */
struct sim_program *clients_add_program(struct sim *sim, int account,
					int turns);

/** Starts a program after @p delay_ms. */
void clients_start_program(struct sim_program *prog, double delay_ms);

/** Handles a chunk of a streamed response. */
void clients_on_chunk(struct sim_node *n, uint64_t call_id, const uint8_t *buf,
		      size_t len);

/** Handles the end of a call. */
void clients_on_done(struct sim_node *n, uint64_t call_id,
		     const Aps__Outcome *outcome, size_t streamed);

/** Fails the pending calls at a node that has stopped. */
void clients_on_node_down(struct sim *sim, int node);

/** Returns whether all programs have finished. */
bool clients_all_finished(const struct sim *sim);

#endif
