/** @file server_limits.c @brief Rate limits that backend servers name. */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "server_limits.h"

/* A server that names less still gets a request now and then, since only its
 * response can tell that the limit has ended. */
#define LIMIT_MIN_PER_S 0.2
/* Relative change from which a limit is news. */
#define NEWS_MIN_CHANGE 0.05
/* Depth of the token bucket: a request, and so many seconds of the limit. */
#define BURST_MIN 1.0
#define BURST_S 0.5
/* No account has such a name: names of accounts are sent in headers. */
#define QUOTA_NAME_PREFIX "server\n"

struct entry {
	struct slim_limit limit;
	int64_t blocked_until_ms;
};

struct slim {
	GHashTable *entries; /* server -> struct entry */
};

struct slim *slim_create(void)
{
	struct slim *slim = g_new0(struct slim, 1);

	slim->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return slim;
}

void slim_destroy(struct slim *slim)
{
	if (slim == NULL)
		return;
	g_hash_table_destroy(slim->entries);
	g_free(slim);
}

static bool is_news(const struct slim_limit *known,
		    const struct slim_limit *limit)
{
	if (known->named != limit->named)
		return true;
	return limit->named && fabs(limit->per_s - known->per_s) >
				       NEWS_MIN_CHANGE * known->per_s;
}

/* Replaces what is known of a server; returns whether that is news. */
static bool set_limit(struct slim *slim, const char *server,
		      const struct slim_limit *limit)
{
	struct entry *entry = g_hash_table_lookup(slim->entries, server);
	bool news;

	if (entry == NULL) {
		entry = g_new0(struct entry, 1);
		g_hash_table_insert(slim->entries, g_strdup(server), entry);
	}
	news = is_news(&entry->limit, limit);
	entry->limit = *limit;
	entry->limit.per_s = MAX(limit->per_s, LIMIT_MIN_PER_S);
	return news;
}

bool slim_on_named(struct slim *slim, const char *server, double per_s,
		   int64_t now)
{
	struct slim_limit limit = {true, per_s, now};

	return set_limit(slim, server, &limit);
}

bool slim_on_unnamed(struct slim *slim, const char *server, int64_t sent_ms)
{
	struct slim_limit limit = {false, 0, sent_ms};
	const struct entry *entry = g_hash_table_lookup(slim->entries, server);

	return entry != NULL && sent_ms >= entry->limit.as_of_ms &&
	       set_limit(slim, server, &limit);
}

bool slim_on_report(struct slim *slim, const char *server,
		    const struct slim_limit *report)
{
	const struct entry *entry = g_hash_table_lookup(slim->entries, server);

	if (entry == NULL ? !report->named
			  : report->as_of_ms <= entry->limit.as_of_ms)
		return false;
	return set_limit(slim, server, report);
}

bool slim_get(const struct slim *slim, const char *server,
	      struct slim_limit *limit)
{
	const struct entry *entry = g_hash_table_lookup(slim->entries, server);

	if (entry == NULL)
		return false;
	*limit = entry->limit;
	return true;
}

void slim_block(struct slim *slim, const char *server, int64_t until_ms)
{
	struct entry *entry = g_hash_table_lookup(slim->entries, server);

	if (entry != NULL)
		entry->blocked_until_ms =
			MAX(entry->blocked_until_ms, until_ms);
}

int64_t slim_wait_ms(const struct slim *slim, const char *server, int64_t now)
{
	const struct entry *entry = g_hash_table_lookup(slim->entries, server);

	if (entry == NULL || !entry->limit.named)
		return 0;
	return MAX(entry->blocked_until_ms - now, 0);
}

char *slim_quota_name(const char *server)
{
	return g_strconcat(QUOTA_NAME_PREFIX, server, NULL);
}

const char *slim_quota_server(const char *name)
{
	return g_str_has_prefix(name, QUOTA_NAME_PREFIX)
		       ? name + strlen(QUOTA_NAME_PREFIX)
		       : NULL;
}

void slim_quota_limit(const struct slim_limit *limit, struct quota_limit *quota)
{
	*quota = (struct quota_limit){
		.rate = limit->per_s,
		.burst = BURST_MIN + BURST_S * limit->per_s,
		.undivided = true,
	};
}

void slim_expire(struct slim *slim, int64_t since_ms,
		 bool (*fn)(void *arg, const char *server), void *arg)
{
	GHashTableIter it;
	gpointer server;
	gpointer entry;

	g_hash_table_iter_init(&it, slim->entries);
	while (g_hash_table_iter_next(&it, &server, &entry)) {
		if (((struct entry *)entry)->limit.as_of_ms < since_ms &&
		    fn(arg, server))
			g_hash_table_iter_remove(&it);
	}
}
