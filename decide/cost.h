/**
 * @file cost.h
 * @brief Predicts the work of requests, and keeps the work that this instance
 * has outstanding at each server.
 *
 * A prediction is made for each candidate server before a request is placed.
 * Work is the time in ms that the request would keep one slot of the server
 * busy: prompt tokens that the server has not cached and output tokens at
 * learned rates, or the time of a plain call, multiplied by the server's
 * relative slowness. Services, routes, client accounts, objects, programs and
 * sessions are given as hashes, 0: none; servers as 32-bit hashes.
 */
#ifndef APS_COST_H
#define APS_COST_H

#include <stdbool.h>
#include <stdint.h>

enum {
	COST_PARTS_MAX = 8, /**< parts of a prompt that are considered */
};

/** A part of a prompt that several requests share. */
struct cost_part {
	uint64_t hash;
	uint64_t tokens;
};

/** A request at one server. */
struct cost_request {
	int64_t now_ms;
	uint64_t service;
	uint64_t route;
	uint64_t account;
	uint64_t object;  /**< what a plain call concerns */
	uint64_t version; /**< of the server's software; 0: unknown */
	uint64_t program;
	uint64_t session;
	uint32_t server;
	bool engine;	    /**< a model engine, else a plain service */
	uint64_t kv_tokens; /**< memory of an engine, in tokens; 0: unknown */
	double slowness;    /**< relative service time of the server now, 1: as
			     * usual; 0: unknown, estimated here */
	uint64_t prompt_tokens;
	uint64_t max_tokens;  /**< output limit; 0: none */
	uint64_t length_hint; /**< output expected by the client; 0: none */
	const struct cost_part *parts; /**< that its prompt begins with */
	uint32_t parts_count;
};

/** Predicted work of a request at one server. */
struct cost_prediction {
	double prefill_tokens; /**< of the prompt, not cached there */
	double prefill_ms;
	double output_tokens; /**< mean */
	double output_high;   /**< 90th percentile */
	double mean_ms;	      /**< mean work, prefill included */
	double high_ms;	      /**< 90th percentile of the work */
};

/** How a request ran; times are ms since it was sent. */
struct cost_observation {
	double prefill_tokens;	/**< as predicted when it was sent */
	int64_t first_event_ms; /**< 0: none, or a plain call */
	int64_t end_ms;
	uint64_t tokens; /**< output tokens received */
};

/** What has been learned from all requests. */
struct cost;
/** A request of this instance that is running at a server. */
struct cost_run;

struct cost *cost_create(void);
/** All runs must have ended. */
void cost_destroy(struct cost *cost);

/** Predicts the work of a request, for each candidate server. It keeps the
 * slowness that @p request gives for the server; learned values don't change.
 */
void cost_predict(struct cost *cost, const struct cost_request *request,
		  struct cost_prediction *prediction);
/** Learns from a request with a complete response; cost_end() calls it. */
void cost_observe(struct cost *cost, const struct cost_request *request,
		  const struct cost_observation *observation, int64_t now_ms);

/** Records that a request is sent; @p request needn't be kept. */
struct cost_run *cost_begin(struct cost *cost,
			    const struct cost_request *request, int64_t now_ms);
/** Records the output tokens received so far; the first call marks the end of
 * the prefill. */
void cost_progress(struct cost_run *run, uint64_t tokens, int64_t now_ms);
/** Ends a run; @p complete: its whole response was received, otherwise nothing
 * is learned from it. */
void cost_end(struct cost_run *run, bool complete, int64_t now_ms);
/** Returns the work left of this instance's runs at a server, in ms of slots;
 * divided by the server's slots it is about the time until they end. */
double cost_outstanding_ms(struct cost *cost, uint32_t server, int64_t now_ms);

/**
 * Returns the time that a request would wait for a slot of a server.
 *
 * While slots are free there is hardly any, however much work is left. The
 * count is some tenths of a second old, so a server with few free slots may
 * have none.
 *
 * @param work_ms work left of all its requests, of other instances too
 * @param count number of its requests, running and waiting
 */
double cost_wait_ms(double work_ms, double count, uint32_t slots);

/** Forgets what a server has cached: it has been restarted. */
void cost_forget_cache(struct cost *cost, uint32_t server);

#endif
