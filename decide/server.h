/**
 * @file server.h
 * @brief One backend server as its dispatcher sees it: in-flight count, ramp,
 * and what is known of its prompt cache.
 */
#ifndef APS_SERVER_H
#define APS_SERVER_H

#include <stdbool.h>

#include "chart.h"
#include "rules.h"

enum {
	/** Limit of a server that has just started, in requests. */
	SRV_LIMIT_START = 2,
	/** Time for which a sign of life counts, in ms. */
	SRV_LIVENESS_MS = 200,
	/** Programs whose cached prefix is remembered. */
	SRV_CACHE_PROGRAMS = 512,
	/** First backoff after a failure, in ms; it doubles. */
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

/** Names for the chart. */
extern const struct chart_names srv_chart_names;

struct pool;

/** A backend server. */
struct server {
	char *name;
	char *addr;
	char *zone;
	const struct chart *chart;
	int state;
	uint32_t max;
	bool fencing;
	bool out; /**< takes no new work */
	int line; /**< rule that decides over it */
	double limit;
	uint32_t inflight;
	uint32_t reported; /**< in-flight count as of the last load report */
	uint32_t live;	   /**< runs under way that have brought something */
	int64_t seen_ms;   /**< last sign of this incarnation */
	uint32_t foreign;  /**< runs of earlier dispatchers, at most */
	bool probed;	   /**< foreign is known */
	bool probing;
	int64_t probe_due_ms;
	struct pool *pool; /**< set by the dispatcher */
	uint32_t solo;	   /**< runs that must be alone, under way */
	uint64_t incarnation;
	uint32_t failures; /**< in a row */
	int64_t retry_ms;  /**< end of the backoff */
	GHashTable *cache; /**< program to tokens */
	GQueue *lru;	   /**< programs, last used first */
};

/** Creates a server that has just started. */
struct server *srv_create(const struct chart *chart,
			  const struct rul_server *rule);

/** Frees a server; NULL is allowed. */
void srv_destroy(struct server *server);

/** Takes up the rule in force. */
void srv_update(struct server *server, const struct rul_server *rule);

/** Returns whether one more run may start at @p now. */
bool srv_can_start(struct server *server, int64_t now, bool solo);

/** Returns whether it takes work at all, now or when a run ends. */
bool srv_is_usable(const struct server *server);

/** A run under way has brought its first part. */
void srv_on_first_output(struct server *server, int64_t now);

/** Counts a run in. */
void srv_on_run_start(struct server *server, bool solo);

/** Counts a run out; @p live says whether srv_on_first_output() was called for
 * it. */
void srv_on_run_end(struct server *server, bool solo, bool live);

/** A whole answer came. @p timely says whether it was as fast as expected. */
void srv_on_response(struct server *server, bool timely);

/** A run failed so that the server is to be left alone for a while. */
void srv_on_failure(struct server *server, int64_t now);

/** Compares incarnations, 0 being unknown; a new one has lost everything. */
void srv_observe_incarnation(struct server *server, uint64_t incarnation);

/** Takes up a load report; @p own of our runs must be in it. */
void srv_on_load_report(struct server *server, uint32_t reported, uint32_t own);

/** Returns the tokens of @p program that it should have cached. */
uint32_t srv_cached_tokens(const struct server *server, const char *program);

/** Notes that @p tokens of @p program are cached. */
void srv_note_cached(struct server *server, const char *program,
		     uint32_t tokens);

#endif
