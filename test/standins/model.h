/**
 * @file model.h
 * @brief Timing and memory of a backend server that batches continuously.
 *
 * Units: ms of time, tokens of text. A run takes prefill_ms for each prompt
 * token that is not cached, then decode_ms for each answer token, stretched by
 * `crowding` for each other run under way. A server that has just started
 * bears COLD_BEARS runs at once and WARMING more for each answer, up to max;
 * above what it bears, every step takes COLLAPSE times as long.
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

/** A backend server. */
struct model {
	uint32_t max;
	double prefill_ms;
	double decode_ms;
	double batch_slowdown;
	double warmup_rate;
	uint64_t incarnation;
	bool checks_fence;
	uint32_t inflight;
	uint32_t completed; /**< since it started */
	uint32_t overloads; /**< starts above what it bears */
	GHashTable *cache;  /**< program to tokens in memory */
	GQueue *lru;	    /**< programs, last used first */
	GHashTable *fences; /**< program to the highest fencing token seen */
	uint64_t cache_tokens;
};

/** Creates a cold server. */
struct model *model_create(uint32_t max, bool checks_fence);

/** Frees a server; NULL is allowed. */
void model_destroy(struct model *model);

/** The server starts again, cold and empty. */
void model_restart(struct model *model);

/** Returns how many runs it bears at once. */
uint32_t model_capacity(const struct model *model);

/** Checks a fencing token. @return false if the order is to be refused */
bool model_check_fence(struct model *model, const char *program,
		       uint64_t fence);

/** Counts a run in. @return the tokens of its prompt that are cached */
uint32_t model_start_run(struct model *model, const char *program,
			 uint32_t prompt);

/** Returns the time of the prefill in ms. */
double model_prefill_ms(const struct model *model, uint32_t fresh);

/** Returns the time of one answer token in ms. */
double model_token_ms(const struct model *model);

/** Counts a run out; @p tokens of its program stay in memory. */
void model_end_run(struct model *model, const char *program, uint32_t tokens,
		   bool whole);

/** Frees a program's memory. */
void model_release(struct model *model, const char *program);

/** Returns the tokens of the answer that @p body asks for ("out=N"). */
uint32_t model_output_tokens(const char *body, size_t len);

/** Returns the whole answer to @p body; g_free() it. */
char *model_output(const char *body, size_t len);

#endif
