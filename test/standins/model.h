/**
 * @file model.h
 * @brief Performance model of an inference engine with continuous batching.
 *
 * A run takes prefill_ms for each prompt token that is not in the engine's
 * cache, then decode_ms for each output token; each other concurrent run adds
 * the share batch_slowdown to both. An engine that has just started has
 * capacity for MODEL_COLD_CAPACITY concurrent runs, and for warmup_rate more
 * with each completed run, up to max. Above its capacity every step takes
 * MODEL_OVERLOAD_FACTOR times as long.
 */
#ifndef APS_MODEL_H
#define APS_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum {
	MODEL_COLD_CAPACITY = 2,
	MODEL_OVERLOAD_FACTOR = 8,
	MODEL_CACHE_TOKENS = 60000,
	MODEL_BYTES_PER_TOKEN = 4,
};

/** An engine. */
struct model {
	uint32_t max;	       /**< concurrent runs once it is warm */
	double prefill_ms;     /**< of one token */
	double decode_ms;      /**< of one token */
	double batch_slowdown; /**< time share added by each other run */
	double warmup_rate;    /**< capacity gained with each completed run */
	uint64_t incarnation;
	bool checks_fence;     /**< refuses older fencing tokens */
	uint32_t inflight;     /**< concurrent runs */
	uint32_t completed;    /**< runs since it started */
	uint32_t overloads;    /**< runs started above its capacity */
	GHashTable *cache;     /**< program to its cached tokens */
	GQueue *lru;	       /**< programs, most recently used first */
	GHashTable *fences;    /**< program to the highest fencing token seen */
	uint64_t cache_tokens; /**< cached tokens of all programs */
};

/** Creates a cold engine. */
struct model *model_create(uint32_t max, bool checks_fence);

/** Frees an engine; NULL is allowed. */
void model_destroy(struct model *model);

/** Restarts the engine under a new incarnation: cold, with an empty cache. */
void model_restart(struct model *model);

/** Returns how many concurrent runs the engine has capacity for. */
uint32_t model_capacity(const struct model *model);

/**
 * Checks and records a program's fencing token.
 *
 * @return false if it is older than one seen before: refuse the request
 */
bool model_check_fence(struct model *model, const char *program,
		       uint64_t fence);

/** Starts a run. @return how many of its prompt tokens are cached */
uint32_t model_start_run(struct model *model, const char *program,
			 uint32_t prompt);

/** Returns the time in ms to prefill @p uncached tokens. */
double model_prefill_ms(const struct model *model, uint32_t uncached);

/** Returns the time in ms of one output token. */
double model_token_ms(const struct model *model);

/** Ends a run; @p tokens of its program stay cached. Evicts the least recently
 * used programs if the cache exceeds MODEL_CACHE_TOKENS. */
void model_end_run(struct model *model, const char *program, uint32_t tokens,
		   bool is_complete);

/** Evicts a program from the cache. */
void model_release(struct model *model, const char *program);

/** Returns the number of output tokens that @p body asks for ("out=N"). */
uint32_t model_output_tokens(const char *body, size_t len);

/** Returns the engine's full output for @p body; g_free() it. */
char *model_output(const char *body, size_t len);

#endif
