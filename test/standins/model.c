/** @file model.c @brief Performance model of an inference engine. */
#include <stdlib.h>
#include <string.h>

#include "model.h"

enum {
	OUTPUT_TOKENS_DEFAULT = 16,
};

struct model *model_create(uint32_t max, bool checks_fence)
{
	struct model *model = g_new0(struct model, 1);

	model->max = max;
	model->checks_fence = checks_fence;
	model->prefill_ms = 0.2;
	model->decode_ms = 10;
	model->batch_slowdown = 0.05;
	model->warmup_rate = 0.5;
	model->incarnation = 1;
	model->cache =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	model->lru = g_queue_new();
	model->fences =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return model;
}

void model_destroy(struct model *model)
{
	if (model == NULL)
		return;
	g_queue_free(model->lru);
	g_hash_table_unref(model->cache);
	g_hash_table_unref(model->fences);
	g_free(model);
}

void model_restart(struct model *model)
{
	model->incarnation++;
	model->inflight = 0;
	model->completed = 0;
	model->cache_tokens = 0;
	g_queue_clear(model->lru);
	g_hash_table_remove_all(model->cache);
	g_hash_table_remove_all(model->fences);
}

uint32_t model_capacity(const struct model *model)
{
	double capacity =
		MODEL_COLD_CAPACITY + model->warmup_rate * model->completed;

	return capacity < model->max ? (uint32_t)capacity : model->max;
}

bool model_check_fence(struct model *model, const char *program, uint64_t fence)
{
	uint64_t seen;

	if (!model->checks_fence)
		return true;
	seen = (uint64_t)(uintptr_t)g_hash_table_lookup(model->fences, program);
	if (fence < seen)
		return false;
	g_hash_table_replace(model->fences, g_strdup(program),
			     (void *)(uintptr_t)fence);
	return true;
}

static uint32_t cached_tokens(const struct model *model, const char *program)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(model->cache, program));
}

uint32_t model_start_run(struct model *model, const char *program,
			 uint32_t prompt)
{
	uint32_t cached = cached_tokens(model, program);

	if (model->inflight >= model_capacity(model))
		model->overloads++;
	model->inflight++;
	return MIN(cached, prompt);
}

static double slowdown_factor(const struct model *model)
{
	double factor = 1;

	if (model->inflight > 1)
		factor += model->batch_slowdown * (model->inflight - 1);
	if (model->inflight > model_capacity(model))
		factor *= MODEL_OVERLOAD_FACTOR;
	return factor;
}

double model_prefill_ms(const struct model *model, uint32_t uncached)
{
	return model->prefill_ms * uncached * slowdown_factor(model);
}

double model_token_ms(const struct model *model)
{
	return model->decode_ms * slowdown_factor(model);
}

void model_release(struct model *model, const char *program)
{
	void *key;

	if (!g_hash_table_lookup_extended(model->cache, program, &key, NULL))
		return;
	model->cache_tokens -= cached_tokens(model, program);
	g_queue_remove(model->lru, key);
	g_hash_table_remove(model->cache, program);
}

void model_end_run(struct model *model, const char *program, uint32_t tokens,
		   bool is_complete)
{
	char *key;

	if (model->inflight > 0)
		model->inflight--;
	model->completed += is_complete;
	model_release(model, program);
	key = g_strdup(program);
	g_hash_table_insert(model->cache, key, GUINT_TO_POINTER(tokens));
	g_queue_push_head(model->lru, key);
	model->cache_tokens += tokens;
	while (model->cache_tokens > MODEL_CACHE_TOKENS &&
	       g_queue_get_length(model->lru) > 1)
		model_release(model, g_queue_peek_tail(model->lru));
}

uint32_t model_output_tokens(const char *body, size_t len)
{
	char *text = g_strndup(body, len);
	const char *param = strstr(text, "out=");
	uint32_t n_tokens = param != NULL
				    ? (uint32_t)strtoul(param + 4, NULL, 10)
				    : OUTPUT_TOKENS_DEFAULT;

	g_free(text);
	return n_tokens > 0 ? n_tokens : 1;
}

/* The output depends on the body alone, so the checks can tell when a caller
 * gets the output of another request. */
char *model_output(const char *body, size_t len)
{
	size_t n_bytes =
		(size_t)model_output_tokens(body, len) * MODEL_BYTES_PER_TOKEN;
	GString *text = g_string_new(NULL);
	guint hash = 5381;

	for (size_t i = 0; i < len; i++)
		hash = hash * 33 + (unsigned char)body[i];
	while (text->len < n_bytes)
		g_string_append_printf(text, "re %08x.", hash);
	g_string_truncate(text, n_bytes);
	return g_string_free(text, FALSE);
}
