/** @file cost.c @brief Predicts the work of a request at a server. */
#include <math.h>
#include <string.h>

#include "cost_int.h"
#include "rng.h"

enum {
	/* Bounds of what is kept; a class takes about 130 bytes. */
	KINDS = 2,
	SERVICES_MAX = 64,
	ROUTES_MAX = 512,
	ACCOUNTS_MAX = 8192,
	OBJECTS_MAX = 8192,
	CLIENTS_MAX = 4096,
	/* Hints of an account count once so many of them were checked. */
	HINTS_MIN = 4,
	/* Limit of sizes: no engine has more tokens of memory, and no call
	 * takes longer in ms. */
	SIZE_MAX_DEFAULT = 4000000,
};

/* Assumed until something is observed. */
#define TOKEN_MS_DEFAULT 10.0
#define PREFILL_TOKEN_MS_DEFAULT 0.2
#define OUTPUT_DEFAULT 256.0
#define CALL_MS_DEFAULT 10.0
#define LOG_VAR_DEFAULT 1.0
/* Strength of the default in the slope of the prefill time: eight requests that
 * differ by 200 tokens. */
#define PREFILL_RIDGE (8 * 200.0 * 200.0)
#define PREFILL_TOKEN_MS_MAX 20.0
#define SLOWNESS_MIN 0.05
#define SLOWNESS_MAX 50.0
/* Weight of the assumption that means are right, in requests, and bounds. */
#define RATIO_PRIOR 20.0
#define RATIO_MIN 0.5
#define RATIO_MAX 2.0
/* Standard deviation of the number of requests at a server, compared with what
 * is known of it. */
#define COUNT_SIGMA 2.0
/* A server's own estimate of its slowness is outdated after this time, if
 * nothing is given. */
#define SLOWNESS_DECAY_MS 10000.0

static void free_server(gpointer data)
{
	struct cost_server *server = data;

	ccache_destroy(server->cache);
	g_free(server);
}

struct cost *cost_create(void)
{
	static const guint classes_max[COST_LEVELS] = {
		KINDS,	      SERVICES_MAX, ROUTES_MAX,
		ACCOUNTS_MAX, OBJECTS_MAX,  CLIENTS_MAX};
	struct cost *cost = g_new0(struct cost, 1);

	cost->services = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	cost->servers = g_hash_table_new_full(g_int_hash, g_int_equal, NULL,
					      free_server);
	for (int i = 0; i < COST_LEVELS; i++)
		cost->levels[i] = cost_table_create(classes_max[i]);
	return cost;
}

void cost_destroy(struct cost *cost)
{
	if (cost == NULL)
		return;
	for (int i = 0; i < COST_LEVELS; i++)
		cost_table_destroy(cost->levels[i]);
	g_hash_table_destroy(cost->servers);
	g_hash_table_destroy(cost->services);
	g_free(cost);
}

const struct cost_service *cost_find_service(const struct cost *cost,
					     uint64_t service)
{
	const struct cost_service *found =
		g_hash_table_lookup(cost->services, &service);

	return found ? found : &cost->unknown;
}

static uint64_t combine(uint64_t a, uint64_t b)
{
	uint64_t hash = rng_mix(a * 0x9e3779b97f4a7c15ULL ^ b);

	return hash == 0 ? 1 : hash;
}

uint64_t cost_level_key(const struct cost_request *request,
			enum cost_level level)
{
	uint64_t route = combine(request->service, request->route);

	switch (level) {
	case COST_BY_KIND:
		return request->engine ? 1 : 2;
	case COST_BY_SERVICE:
		return combine(request->service, 0);
	case COST_BY_ROUTE:
		return request->route ? route : 0;
	case COST_BY_ACCOUNT:
		return request->account ? combine(route, request->account) : 0;
	case COST_BY_OBJECT:
		return request->object && !request->engine
			       ? combine(route, request->object)
			       : 0;
	case COST_BY_CLIENT:
		return request->account && request->engine
			       ? combine(combine(request->service, 'c'),
					 request->account)
			       : 0;
	default:
		return 0;
	}
}

double cost_max_size(const struct cost_request *request)
{
	double max = SIZE_MAX_DEFAULT;

	if (!request->engine)
		return max;
	if (request->kv_tokens > 0)
		max = MIN(max, (double)request->kv_tokens);
	if (request->max_tokens > 0)
		max = MIN(max, (double)request->max_tokens);
	return max;
}

static struct cstat_log default_size(const struct cost_request *request)
{
	double size = request->engine ? OUTPUT_DEFAULT : CALL_MS_DEFAULT;

	return (struct cstat_log){log(MIN(size, cost_max_size(request) / 2)),
				  LOG_VAR_DEFAULT};
}

bool cost_uses_hint(const struct cost_class *client,
		    const struct cost_request *request)
{
	return request->engine && request->length_hint > 0 && client != NULL &&
	       client->hint.weight >= HINTS_MIN;
}

/*
 * Combines the prediction by the client's hint with the one without it,
 * weighted by their precisions: a hint that has told nothing about the actual
 * size of this account's requests changes nothing.
 *
 * @client: what the hints of the account have told on all routes
 * @account: on this route; may be NULL
 */
static struct cstat_log apply_hint(struct cstat_log dist,
				   const struct cost_class *client,
				   const struct cost_class *account,
				   const struct cost_request *request)
{
	double max = cost_max_size(request);
	double x = log(MIN((double)request->length_hint, max));
	struct cstat_log by_hint = cstat_predict(&client->hint, x);
	double a, b, share;

	by_hint.var *= 1 + HINTS_MIN / (double)client->hint.weight;
	if (account != NULL && account->hint.weight > 0)
		by_hint = cstat_blend(cstat_predict(&account->hint, x),
				      account->hint.weight, by_hint);
	a = 1 / (by_hint.var * by_hint.var);
	b = 1 / (dist.var * dist.var);
	share = a / (a + b);
	dist.mu = share * by_hint.mu + (1 - share) * dist.mu;
	dist.var = share * by_hint.var + (1 - share) * dist.var;
	return dist;
}

/* The factor by which actual sizes exceed the predicted means. The ratio of the
 * means, since that of each request would be dominated by short ones. */
static double mean_ratio(const struct cstat *mean)
{
	double ratio;

	if (mean->mean_x <= 0)
		return 1;
	ratio = (mean->weight * mean->mean_y / mean->mean_x + RATIO_PRIOR) /
		(mean->weight + RATIO_PRIOR);
	return CLAMP(ratio, RATIO_MIN, RATIO_MAX);
}

static struct cost_size predict_size(struct cost *cost,
				     const struct cost_request *request)
{
	uint32_t epoch = cost_find_service(cost, request->service)->epoch;
	struct cost_size size = {.max = cost_max_size(request), .ratio = 1};
	const struct cost_class *found[COST_LEVELS] = {NULL};
	const struct cost_class *client;
	double x = log(size.max);
	double high_z = COST_HIGH_Z;

	size.dist = default_size(request);
	for (int level = 0; level < COST_LEVELS; level++) {
		uint64_t key = cost_level_key(request, level);
		const struct cost_class *entry =
			key == 0 ? NULL
				 : cost_table_get(cost->levels[level], key,
						  level == 0 ? 0 : epoch);

		found[level] = entry;
		if (entry == NULL || level == COST_BY_CLIENT)
			continue;
		size.dist = cstat_blend(cstat_predict(&entry->size, x),
					entry->size.weight, size.dist);
		if (level <= COST_BY_ROUTE) {
			size.ratio = mean_ratio(&entry->mean);
			high_z = entry->high_z;
		}
	}
	client = found[COST_BY_CLIENT];
	if (cost_uses_hint(client, request)) {
		size.dist = apply_hint(size.dist, client,
				       found[COST_BY_ACCOUNT], request);
		size.ratio = mean_ratio(&client->mean);
		high_z = client->high_z;
	}
	size.mean = MIN(cstat_mean_left(size.dist, 0, size.max) * size.ratio,
			size.max);
	size.high = cstat_quantile(size.dist, high_z, size.max);
	return size;
}

static struct cost_size_key size_key(const struct cost_request *request)
{
	struct cost_size_key key;

	/* Compared as bytes, with the padding. */
	memset(&key, 0, sizeof(key));
	key.service = request->service;
	key.route = request->route;
	key.account = request->account;
	key.object = request->object;
	key.max_tokens = request->max_tokens ^ request->kv_tokens << 32;
	key.hint = request->length_hint;
	key.engine = request->engine;
	return key;
}

const struct cost_size *cost_size_of(struct cost *cost,
				     const struct cost_request *request)
{
	struct cost_size_key key = size_key(request);

	if (!cost->has_last ||
	    memcmp(&key, &cost->last_key, sizeof(key)) != 0) {
		cost->last_size = predict_size(cost, request);
		cost->last_key = key;
		cost->has_last = true;
	}
	return &cost->last_size;
}

double cost_token_ms(const struct cost_service *service)
{
	return service->token.weight > 0 ? service->token.mean_y
					 : TOKEN_MS_DEFAULT;
}

double cost_prefill_token_ms(const struct cost_service *service)
{
	double slope = cstat_slope(&service->first, PREFILL_TOKEN_MS_DEFAULT,
				   PREFILL_RIDGE);

	return CLAMP(slope, 0, PREFILL_TOKEN_MS_MAX);
}

struct cost_server *cost_find_server(const struct cost *cost, uint32_t key)
{
	return g_hash_table_lookup(cost->servers, &key);
}

double cost_given_slowness(const struct cost_request *request)
{
	if (!isfinite(request->slowness) || request->slowness <= 0)
		return 0;
	return CLAMP(request->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
}

double cost_slowness(const struct cost_server *server, int64_t now_ms)
{
	double trust;

	if (server == NULL)
		return 1;
	if (server->slowness > 0)
		return server->slowness;
	if (server->token.weight <= 0)
		return 1;
	trust = now_ms > server->updated_ms
			? exp(-(double)(now_ms - server->updated_ms) /
			      SLOWNESS_DECAY_MS)
			: 1;
	return CLAMP(1 + trust * (server->token.mean_y - 1), SLOWNESS_MIN,
		     SLOWNESS_MAX);
}

uint64_t cost_session_key(const struct cost_request *request)
{
	return request->session ? combine(request->session, 's') : 0;
}

uint64_t cost_program_key(const struct cost_request *request)
{
	return request->program ? combine(request->program, 'p') : 0;
}

uint32_t cost_parts_count(const struct cost_request *request)
{
	return request->parts ? MIN(request->parts_count, COST_PARTS_MAX) : 0;
}

uint64_t cost_extend_prefix(uint64_t hash, const struct cost_part *part)
{
	return combine(combine(hash, part->hash), part->tokens);
}

/* Tokens of the prompt that its server has cached. */
static double cached_tokens(const struct ccache *cache,
			    const struct cost_request *request)
{
	uint64_t history = ccache_get(cache, cost_session_key(request));
	uint64_t prefix = 0;
	uint64_t hash = 0;

	if (history == 0)
		history = ccache_get(cache, cost_program_key(request));
	for (uint32_t i = 0; i < cost_parts_count(request); i++) {
		hash = cost_extend_prefix(hash, &request->parts[i]);
		if (ccache_get(cache, hash) == 0)
			break;
		prefix += MIN(request->parts[i].tokens, SIZE_MAX_DEFAULT);
	}
	return (double)MAX(history, prefix);
}

static double prefill_tokens(const struct cost *cost,
			     const struct cost_request *request)
{
	const struct cost_server *server =
		cost_find_server(cost, request->server);
	double prompt = (double)request->prompt_tokens;
	double max = request->kv_tokens > 0 ? (double)request->kv_tokens
					    : SIZE_MAX_DEFAULT;

	prompt = MIN(prompt, max);
	if (server == NULL)
		return prompt;
	return MAX(prompt - cached_tokens(server->cache, request), 0);
}

void cost_predict(struct cost *cost, const struct cost_request *request,
		  struct cost_prediction *prediction)
{
	const struct cost_service *service =
		cost_find_service(cost, request->service);
	const struct cost_size *size = cost_size_of(cost, request);
	struct cost_server *server = cost_find_server(cost, request->server);
	double slowness = cost_given_slowness(request);
	double token_ms = cost_token_ms(service);

	if (server != NULL)
		server->slowness = slowness;
	if (slowness <= 0)
		slowness = cost_slowness(server, request->now_ms);
	memset(prediction, 0, sizeof(*prediction));
	if (!request->engine) {
		prediction->mean_ms = size->mean * slowness;
		prediction->high_ms = size->high * slowness;
		return;
	}
	prediction->prefill_tokens = prefill_tokens(cost, request);
	prediction->prefill_ms = prediction->prefill_tokens *
				 cost_prefill_token_ms(service) * slowness;
	prediction->output_tokens = size->mean;
	prediction->output_high = size->high;
	prediction->mean_ms =
		prediction->prefill_ms + size->mean * token_ms * slowness;
	prediction->high_ms =
		prediction->prefill_ms + size->high * token_ms * slowness;
}

double cost_wait_ms(double work_ms, double count, uint32_t slots)
{
	double beyond = (count + 1 - slots) / COUNT_SIGMA;
	double excess =
		COUNT_SIGMA * (beyond > 30 ? beyond : log1p(exp(beyond)));

	if (slots == 0 || count <= 0)
		return 0;
	return work_ms / slots * excess / count;
}
