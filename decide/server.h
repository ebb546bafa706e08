/**
 * @file server.h
 * @brief One backend server at its dispatcher: in-flight count, concurrency
 * limit with slow start, and the estimated content of its prompt cache.
 */
#ifndef APS_SERVER_H
#define APS_SERVER_H

#include <stdbool.h>

#include "chart.h"
#include "rules.h"

enum {
	/** Concurrency limit of a server that has just started, in requests. */
	SRV_LIMIT_START = 2,
	/** Time for which output shows that a server is up, in ms. */
	SRV_LIVENESS_MS = 200,
	/** Largest number of programs whose cached prefix is tracked. */
	SRV_CACHE_PROGRAMS = 512,
	/** First backoff after a failure, in ms; each further one doubles it.
	 */
	SRV_BACKOFF_MS = 500,
	/** Longest backoff, in ms. */
	SRV_BACKOFF_MAX_MS = 8000,
};

/** States, as in charts/server.chart. */
enum srv_state {
	SRV_RAMPING,
	SRV_STEADY,
	SRV_DOWN,
};

/** Events, as in charts/server.chart. */
enum srv_event {
	SRV_FULL,
	SRV_SLOW,
	SRV_RESTART,
	SRV_FAIL,
	SRV_RETRY,
};

/** Names of the states and events for the state chart. */
extern const struct chart_names srv_chart_names;

struct pool;

struct server {
	char *name;
	char *addr;
	char *zone;
	const struct chart *chart;
	int state;
	uint32_t max_inflight;
	bool fencing;
	bool draining; /**< accepts no new runs */
	int rule_line; /**< line of the rule that applies to it */
	double limit;  /**< concurrency limit, at most max_inflight */
	uint32_t inflight;
	uint32_t reported_inflight; /**< as of the last load report */
	uint32_t live_runs;    /**< runs in progress that have had output */
	int64_t last_seen_ms;  /**< last output of this incarnation */
	uint32_t foreign_runs; /**< upper bound on earlier dispatchers' runs */
	bool probed;	       /**< foreign_runs is known */
	bool probing;
	int64_t probe_due_ms;
	struct pool *pool;  /**< set by the dispatcher */
	uint32_t exclusive; /**< exclusive runs in progress */
	uint64_t incarnation;
	uint32_t failures;   /**< in a row */
	int64_t retry_at_ms; /**< end of the backoff */
	GHashTable *cache;   /**< program to tokens */
	GQueue *cache_lru;   /**< programs, most recently used first */
};

/** Creates a server in the state of one that has just started. */
struct server *srv_create(const struct chart *chart,
			  const struct rules_server *rule);

/** Frees a server; NULL is allowed. */
void srv_destroy(struct server *server);

/** Applies the rule in force. */
void srv_update(struct server *server, const struct rules_server *rule);

/** Returns whether one more run may start; ends an expired backoff. */
bool srv_can_start(struct server *server, int64_t now, bool exclusive);

/** Returns whether it accepts runs, now or when a run in progress ends. */
bool srv_is_usable(const struct server *server);

/** Notes the first output of a run in progress. */
void srv_on_first_output(struct server *server, int64_t now);

/** Adds a run to the in-flight counts. */
void srv_on_run_start(struct server *server, bool exclusive);

/** Removes a run from the counts; @p had_output: srv_on_first_output() was
 * called for it. */
void srv_on_run_end(struct server *server, bool exclusive, bool had_output);

/** Raises the limit after a response, or restarts the ramp if the response was
 * not @p timely. */
void srv_on_response(struct server *server, bool timely);

/** Starts or extends the backoff after a failed run. */
void srv_on_failure(struct server *server, int64_t now);

/** Handles a reported incarnation, 0: unknown; a new one has lost its state. */
void srv_observe_incarnation(struct server *server, uint64_t incarnation);

/** Handles a load report that contains at least @p own of our runs. */
void srv_on_load_report(struct server *server, uint32_t reported, uint32_t own);

/** Returns the estimated number of cached tokens of @p program. */
uint32_t srv_cached_tokens(const struct server *server, const char *program);

/** Records that @p tokens of @p program are cached. */
void srv_note_cached(struct server *server, const char *program,
		     uint32_t tokens);

#endif
