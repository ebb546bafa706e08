/** @file catdiff.c @brief Differences between two configurations. */
#include <string.h>

#include "catdiff.h"

struct diff {
	const struct catalog *from;
	const struct catalog *to;
	cat_change_fn *fn;
	void *arg;
};

static void account_changed(const struct cat_account *account, void *arg)
{
	const struct diff *diff = arg;
	const struct cat_account *old =
		diff->from ? cat_find_account(diff->from, account->name) : NULL;
	guint revoked =
		old ? cat_count_missing_keys(diff->from, diff->to, old) : 0;
	guint granted = cat_count_missing_keys(diff->to, diff->from, account);
	char details[160];

	if (old != NULL && old->rate == account->rate &&
	    old->burst == account->burst &&
	    old->priority == account->priority && revoked + granted == 0)
		return;
	g_snprintf(details, sizeof(details),
		   "\"rate\":%g,\"burst\":%g,\"priority\":%d,"
		   "\"keys_taken\":%u,\"keys_given\":%u",
		   account->rate, account->burst, account->priority, revoked,
		   granted);
	diff->fn("account", account->name, old ? "changed" : "added", details,
		 diff->arg);
}

static void account_removed(const struct cat_account *account, void *arg)
{
	const struct diff *diff = arg;

	if (cat_find_account(diff->to, account->name) == NULL)
		diff->fn("account", account->name, "removed", "", diff->arg);
}

static bool targets_equal(const struct cat_route *a, const struct cat_route *b)
{
	if (a->targets->len != b->targets->len)
		return false;
	for (guint i = 0; i < a->targets->len; i++) {
		const struct cat_target *x =
			&g_array_index(a->targets, struct cat_target, i);
		const struct cat_target *y =
			&g_array_index(b->targets, struct cat_target, i);

		if (strcmp(x->service, y->service) != 0 ||
		    x->weight != y->weight)
			return false;
	}
	return true;
}

static bool routes_equal(const struct cat_route *a, const struct cat_route *b)
{
	return a->kind == b->kind && a->timeout_ms == b->timeout_ms &&
	       a->slo_ms == b->slo_ms && a->event_gap_ms == b->event_gap_ms &&
	       a->retention_ms == b->retention_ms &&
	       a->attempts == b->attempts && a->priority == b->priority &&
	       a->is_public == b->is_public && a->resumable == b->resumable &&
	       a->retain == b->retain && targets_equal(a, b);
}

/* Returns the route of the same host and prefix, or NULL. */
static const struct cat_route *find_same_prefix(const struct catalog *catalog,
						const struct cat_route *route)
{
	const struct cat_route *found =
		catalog ? cat_find_route(catalog, route->host, route->prefix)
			: NULL;

	return found != NULL && strcmp(found->prefix, route->prefix) == 0
		       ? found
		       : NULL;
}

static void route_changed(const struct cat_route *route, void *arg)
{
	const struct diff *diff = arg;
	const struct cat_route *old = find_same_prefix(diff->from, route);
	char details[80];

	if (old != NULL && routes_equal(old, route))
		return;
	g_snprintf(details, sizeof(details),
		   "\"timeout_ms\":%" G_GINT64_FORMAT ",\"services\":%u",
		   route->timeout_ms, route->targets->len);
	diff->fn("route", route->name, old ? "changed" : "added", details,
		 diff->arg);
}

static void route_removed(const struct cat_route *route, void *arg)
{
	const struct diff *diff = arg;

	if (find_same_prefix(diff->to, route) == NULL)
		diff->fn("route", route->name, "removed", "", diff->arg);
}

void cat_diff(const struct catalog *from, const struct catalog *to,
	      cat_change_fn *fn, void *arg)
{
	struct diff diff = {from, to, fn, arg};
	bool required = cat_requires_keys(to);

	if (from == NULL ? required : cat_requires_keys(from) != required)
		fn("keys", "", required ? "required" : "not required", "", arg);
	cat_foreach_account(to, account_changed, &diff);
	cat_foreach_route(to, route_changed, &diff);
	if (from == NULL)
		return;
	cat_foreach_account(from, account_removed, &diff);
	cat_foreach_route(from, route_removed, &diff);
}
