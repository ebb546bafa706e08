/**
 * @file cost_int.h
 * @brief Internal interface between the cost*.c files.
 *
 * cost.c predicts, cost_learn.c learns from requests that have ended, and
 * cost_runs.c keeps the running ones.
 */
#ifndef APS_COST_INT_H
#define APS_COST_INT_H

#include <glib.h>

#include "cost.h"
#include "cost_cache.h"
#include "cost_table.h"

enum {
	COST_VERSIONS_KEPT = 4, /* of a service, that serve side by side */
};

/* Rates of a service at usual speed. */
struct cost_service {
	uint64_t versions[COST_VERSIONS_KEPT];
	uint32_t versions_seen;
	uint32_t epoch;	    /* increased by each new version */
	struct cstat first; /* x: prefilled tokens, y: ms to the first event */
	struct cstat token; /* y: ms of an output token */
	int64_t updated_ms;
};

struct cost_server {
	uint32_t key;
	double slowness;    /* as last given; 0: not */
	struct cstat token; /* y: its time of a token over the service's */
	int64_t updated_ms;
	int64_t used_ms;
	struct ccache *cache;
	GQueue runs; /* of struct cost_run */
};

/* Predicted size of a request, whatever the server: tokens, or ms. */
struct cost_size {
	struct cstat_log dist;
	double max;
	double ratio; /* by which the mean is corrected */
	double mean;
	double high; /* 90th percentile */
};

/* What the size of a request depends on. */
struct cost_size_key {
	uint64_t service;
	uint64_t route;
	uint64_t account;
	uint64_t object;
	uint64_t max_tokens;
	uint64_t hint;
	bool engine;
};

/* The levels by which sizes are learned, from the general to the special. */
enum cost_level {
	COST_BY_KIND, /* engines or plain services */
	COST_BY_SERVICE,
	COST_BY_ROUTE,
	COST_BY_ACCOUNT, /* on one route */
	COST_BY_OBJECT,
	COST_BY_CLIENT, /* an account on all routes, for its hints only */
	COST_LEVELS,
};

struct cost {
	GHashTable *services; /* of struct cost_service */
	GHashTable *servers;  /* of struct cost_server */
	struct cost_table *levels[COST_LEVELS];
	struct cost_service unknown; /* over all services */
	struct cost_size_key last_key;
	struct cost_size last_size; /* of last_key; until something changes */
	bool has_last;
};

struct cost_run {
	struct cost *cost;
	struct cost_server *server;
	uint64_t prefix_tokens;	     /* of its parts */
	struct cost_request request; /* without parts */
	struct cost_prediction prediction;
	struct cost_size size;
	double left; /* predicted output tokens */
	int64_t started_ms;
	int64_t first_event_ms; /* since then; 0: none yet */
	uint64_t tokens;
	GList link; /* in cost_server.runs */
};

/** Returns the rates of a service, or of all if it is unknown. */
const struct cost_service *cost_find_service(const struct cost *cost,
					     uint64_t service);
/** Returns the key of a level for a request, or 0 if it has none. */
uint64_t cost_level_key(const struct cost_request *request,
			enum cost_level level);
/** Returns the predicted size of a request. */
const struct cost_size *cost_size_of(struct cost *cost,
				     const struct cost_request *request);
/** Whether the client's hint is used: hints are learned by account only, so
 * that nobody's hints affect another account. */
bool cost_uses_hint(const struct cost_class *client,
		    const struct cost_request *request);
/** Returns the output limit that is used for predictions. */
double cost_max_size(const struct cost_request *request);
/** Returns the time of an output token, and of a prefilled one. */
double cost_token_ms(const struct cost_service *service);
double cost_prefill_token_ms(const struct cost_service *service);
/** Returns a server that requests were sent to, or NULL. */
struct cost_server *cost_find_server(const struct cost *cost, uint32_t key);
/** Returns the slowness that @p request gives, or 0. */
double cost_given_slowness(const struct cost_request *request);
/** Returns the slowness of a server, which may be NULL. */
double cost_slowness(const struct cost_server *server, int64_t now_ms);
/** Returns the keys of its prompt's history at an engine, or 0. */
uint64_t cost_session_key(const struct cost_request *request);
uint64_t cost_program_key(const struct cost_request *request);
/** Returns the number of parts that are considered, and extends @p hash, 0 at
 * first, by part @p i. */
uint32_t cost_parts_count(const struct cost_request *request);
uint64_t cost_extend_prefix(uint64_t hash, const struct cost_part *part);

#endif
