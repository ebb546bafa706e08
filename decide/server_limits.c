/** @file server_limits.c @brief Rate limits that backend servers name. */
#include <math.h>

#include <glib.h>

#include "server_limits.h"

/* A server that names less still gets a request now and then, since only its
 * response can tell that the limit has ended. */
#define LIMIT_MIN_PER_S 0.2
/* Relative change from which a limit is news. */
#define NEWS_MIN_CHANGE 0.05

struct slim {
	GHashTable *limits; /* server -> struct slim_limit */
};

struct slim *slim_create(void)
{
	struct slim *slim = g_new0(struct slim, 1);

	slim->limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return slim;
}

void slim_destroy(struct slim *slim)
{
	if (slim == NULL)
		return;
	g_hash_table_destroy(slim->limits);
	g_free(slim);
}

static struct slim_limit *get_limit(struct slim *slim, const char *server)
{
	struct slim_limit *limit = g_hash_table_lookup(slim->limits, server);

	if (limit == NULL) {
		limit = g_new0(struct slim_limit, 1);
		g_hash_table_insert(slim->limits, g_strdup(server), limit);
	}
	return limit;
}

bool slim_on_named(struct slim *slim, const char *server, double per_s,
		   int64_t now)
{
	struct slim_limit *limit = get_limit(slim, server);
	bool news;

	per_s = MAX(per_s, LIMIT_MIN_PER_S);
	news = !limit->named ||
	       fabs(per_s - limit->per_s) > NEWS_MIN_CHANGE * limit->per_s;
	limit->named = true;
	limit->per_s = per_s;
	limit->as_of_ms = now;
	return news;
}

bool slim_on_unnamed(struct slim *slim, const char *server, int64_t sent_ms)
{
	struct slim_limit *limit = g_hash_table_lookup(slim->limits, server);

	if (limit == NULL || !limit->named || sent_ms < limit->as_of_ms)
		return false;
	limit->named = false;
	limit->as_of_ms = sent_ms;
	return true;
}

bool slim_get(const struct slim *slim, const char *server,
	      struct slim_limit *limit)
{
	const struct slim_limit *known =
		g_hash_table_lookup(slim->limits, server);

	if (known == NULL)
		return false;
	*limit = *known;
	return true;
}
