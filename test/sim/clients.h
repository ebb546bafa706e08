/**
 * @file clients.h
 * @brief Callers: agent programs as chains of calls, and what they saw.
 */
#ifndef APS_CLIENTS_H
#define APS_CLIENTS_H

#include "test/sim/world.h"

enum {
	CLI_DEADLINE_MS = 20000, /**< that a call states, if none is set */
	CLI_LATE_MS = 5000, /**< after its deadline a caller tries elsewhere */
	CLI_TRIES_MAX = 100,
};

/** A reply that said "not run". */
struct cli_not_run {
	int turn;
	int64_t called_ms;
	int64_t replied_ms;
};

/** A program as its caller drives it. */
struct prog {
	struct world *world;
	int index;
	int account;
	int turns;
	int tool_percent; /**< turns that call the plain service */
	int pause_ms;	  /**< longest tool pause between turns */
	int out_tokens;	  /**< longest answer */
	int body_bytes;	  /**< padding of each body */
	uint64_t budget;
	int parent;	    /**< index of the parent program, or -1 */
	bool one_shot;	    /**< keeps no history: no program id */
	int deadline_ms;    /**< that each call states */
	bool early;	    /**< sends each turn ahead of its time as well */
	bool keep;	    /**< is not ended by its caller */
	const char *poison; /**< word that the first body carries, or NULL */
	/* What happened. */
	int turn;
	bool tool; /**< the current turn is one */
	int out;   /**< tokens of the current answer */
	bool calling;
	bool finished;
	bool ended;	  /**< the caller's end was confirmed */
	uint32_t status;  /**< of the reply that stopped it, 0 if none */
	uint64_t call_id; /**< 0 if no call is under way */
	int pinned; /**< number of the only instance it calls, 0 for any */
	GByteArray *streamed;
	GPtrArray *bodies; /**< of each turn */
	GArray *answered;  /**< bool for each turn */
	GArray *not_run;   /**< struct cli_not_run */
	int64_t called_ms;
	int64_t run_end_ms; /**< when a server ended its last run */
	int64_t started_ms;
	int64_t turn_ms; /**< when the current turn was first called */
	int64_t done_ms;
	int64_t pauses_ms; /**< in all */
	int tries;
	int node; /**< that has the call */
	uint32_t refused_rate;
	uint32_t unknown;
};

/** Creates the callers' side. */
void cli_create(struct world *w);

/** Frees it. */
void cli_destroy(struct world *w);

/** No caller calls any more. */
void cli_stop(struct world *w);

/** Adds a program; fill it in, then cli_start() it. */
struct prog *cli_add(struct world *w, int account, int turns);

/** Starts a program after @p delay_ms. */
void cli_start(struct prog *prog, double delay_ms);

/** A part of an answer. */
void cli_on_chunk(struct wld_node *n, uint64_t call_id, const uint8_t *buf,
		  size_t len);

/** The end of a call. */
void cli_on_done(struct wld_node *n, uint64_t call_id,
		 const Aps__Outcome *outcome, size_t streamed);

/** A node is gone: its callers notice. */
void cli_node_gone(struct world *w, int node);

/** Returns whether all programs have finished. */
bool cli_all_finished(const struct world *w);

#endif
