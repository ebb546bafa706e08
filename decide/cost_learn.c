/** @file cost_learn.c @brief Learns from requests that have ended. */
#include <math.h>

#include "cost_int.h"

enum {
	SERVICES_KEPT = 64,
	/* Observations after which older ones fade. */
	CLASS_WEIGHT_MAX = 100,
	RATE_WEIGHT_MAX = 300,
	MEAN_WEIGHT_MAX = 300, /* the tail of sizes is rare */
	SERVER_WEIGHT_MAX = 6, /* a server's speed changes quickly */
	OUTLIERS_FROM = 16,    /* observations that outliers are judged by */
};

/* Times to the first event beyond this many standard deviations are taken to be
 * there: they are waiting times. */
#define FIRST_MAX_SIGMAS 3.0
#define TOKEN_MS_MAX_FACTOR 4.0
/* Step by which the position of the 90th percentile is corrected. */
#define HIGH_STEP 0.04
#define HIGH_SHARE 0.9
#define HIGH_Z_MAX 3.5

static struct cost_service *get_service(struct cost *cost, uint64_t key)
{
	struct cost_service *service =
		g_hash_table_lookup(cost->services, &key);
	uint64_t *copy;

	if (service != NULL ||
	    g_hash_table_size(cost->services) >= SERVICES_KEPT)
		return service ? service : &cost->unknown;
	service = g_new0(struct cost_service, 1);
	*service = cost->unknown;
	cstat_fade(&service->first, COST_RELEASE_FACTOR);
	cstat_fade(&service->token, COST_RELEASE_FACTOR);
	copy = g_new(uint64_t, 1);
	*copy = key;
	g_hash_table_insert(cost->services, copy, service);
	return service;
}

/* Makes what was learned from earlier versions count less. */
static void note_version(struct cost_service *service, uint64_t version)
{
	uint32_t known = MIN(service->versions_seen, COST_VERSIONS_KEPT);

	if (version == 0)
		return;
	for (uint32_t i = 0; i < known; i++) {
		if (service->versions[i] == version)
			return;
	}
	service->versions[service->versions_seen++ % COST_VERSIONS_KEPT] =
		version;
	if (known == 0)
		return;
	service->epoch++;
	cstat_fade(&service->first, COST_RELEASE_FACTOR);
	cstat_fade(&service->token, COST_RELEASE_FACTOR);
}

static void learn_first(struct cost_service *service, double prefill, double ms)
{
	const struct cstat *first = &service->first;
	double limit = first->mean_y + FIRST_MAX_SIGMAS * sqrt(first->var_y);

	if (first->weight > OUTLIERS_FROM)
		ms = MIN(ms, limit);
	cstat_add(&service->first, prefill, ms, RATE_WEIGHT_MAX);
}

static void learn_token(struct cost_service *service, double token_ms)
{
	const struct cstat *token = &service->token;

	if (token->weight > OUTLIERS_FROM)
		token_ms = MIN(token_ms, token->mean_y * TOKEN_MS_MAX_FACTOR);
	cstat_add(&service->token, 0, token_ms, RATE_WEIGHT_MAX);
}

static void fade_service(struct cost_service *service, int64_t now_ms)
{
	double factor = cost_age_factor(now_ms - service->updated_ms);

	if (service->updated_ms > 0) {
		cstat_fade(&service->first, factor);
		cstat_fade(&service->token, factor);
	}
	service->updated_ms = now_ms;
}

/* Learns the time per token of the service and the speed of the server. */
static void learn_rates(struct cost *cost, const struct cost_request *request,
			const struct cost_observation *seen, int64_t now_ms)
{
	struct cost_service *service = get_service(cost, request->service);
	struct cost_service *all = &cost->unknown;
	struct cost_server *server = cost_find_server(cost, request->server);
	double given = cost_given_slowness(request);
	double slowness = given > 0 ? given : cost_slowness(server, now_ms);
	double usual_ms = cost_token_ms(service);
	double token_ms;

	note_version(service, request->version);
	if (!request->engine || seen->first_event_ms <= 0)
		return;
	fade_service(service, now_ms);
	learn_first(service, seen->prefill_tokens,
		    (double)seen->first_event_ms / slowness);
	if (service != all)
		learn_first(all, seen->prefill_tokens,
			    (double)seen->first_event_ms / slowness);
	if (seen->tokens < 2 || seen->end_ms <= seen->first_event_ms)
		return;
	token_ms = (double)(seen->end_ms - seen->first_event_ms) /
		   (double)seen->tokens;
	learn_token(service, token_ms / slowness);
	if (service != all)
		learn_token(all, token_ms / slowness);
	if (server != NULL && given <= 0 && service->token.weight > 1) {
		cstat_add(&server->token, 0, token_ms / usual_ms,
			  SERVER_WEIGHT_MAX);
		server->updated_ms = now_ms;
	}
}

/* Corrects the mean and the 90th percentile of predictions, since sizes aren't
 * exactly log-normal: by route without hints, by account with hints. */
static void calibrate(struct cost_class *entry, const struct cost_size *size,
		      double actual)
{
	double z = entry->high_z;

	cstat_add(&entry->mean, size->mean / size->ratio, actual,
		  MEAN_WEIGHT_MAX);
	z += HIGH_STEP * (actual > size->high ? HIGH_SHARE : HIGH_SHARE - 1);
	entry->high_z = (float)CLAMP(z, 0, HIGH_Z_MAX);
}

static void learn_size(struct cost *cost, const struct cost_request *request,
		       double actual, int64_t now_ms)
{
	uint32_t epoch = cost_find_service(cost, request->service)->epoch;
	struct cost_request plain = *request;
	struct cost_size hinted = *cost_size_of(cost, request);
	struct cost_size size;
	double max = cost_max_size(request);
	double hint = MIN((double)request->length_hint, max);
	double y;

	actual = CLAMP(actual, 1, max);
	y = log(actual);
	plain.length_hint = 0;
	size = *cost_size_of(cost, &plain);
	for (int level = 0; level < COST_LEVELS; level++) {
		uint64_t key = cost_level_key(request, level);
		struct cost_class *entry;

		if (key == 0)
			continue;
		entry = cost_table_touch(cost->levels[level], key,
					 level == 0 ? 0 : epoch, now_ms);
		cstat_add(&entry->size, log(max), y, CLASS_WEIGHT_MAX);
		if (level <= COST_BY_ROUTE)
			calibrate(entry, &size, actual);
		if (level < COST_BY_ACCOUNT || hint <= 0)
			continue;
		if (level == COST_BY_CLIENT && cost_uses_hint(entry, request))
			calibrate(entry, &hinted, actual);
		cstat_add(&entry->hint, log(hint), y, CLASS_WEIGHT_MAX);
	}
	cost->has_last = false;
}

/* Plain services have no rate that a server's slowness could be learned from.
 */
static double slowness_of(const struct cost_request *request)
{
	double given = cost_given_slowness(request);

	return given > 0 ? given : 1;
}

void cost_observe(struct cost *cost, const struct cost_request *request,
		  const struct cost_observation *seen, int64_t now_ms)
{
	double size = (double)seen->tokens;

	learn_rates(cost, request, seen, now_ms);
	if (!request->engine)
		size = (double)seen->end_ms / slowness_of(request);
	learn_size(cost, request, size, now_ms);
}
