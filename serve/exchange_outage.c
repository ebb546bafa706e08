/**
 * @file exchange_outage.c
 * @brief Requests that wait for a current configuration, or for contact.
 *
 * A key is valid only by a configuration that is not older than the time in
 * which a withdrawn key has to stop working. In an outage of the store, and
 * after a start, there is none for some seconds. After a start of all instances
 * at once there is also no contact with the instance that has the quota of an
 * account, for about a second. What waits has not been sent to any server, so
 * it may be refused at any time.
 */
#include "clock.h"
#include "decide/outage.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	CONFIG_POLL_MS = 10,
	CONTACT_RETRY_MS = 60,	    /* another attempt takes up to 120 ms */
	STORE_RETRY_AFTER_MS = 900, /* most store outages last seconds */
};

static bool has_current_config(const struct exch *x)
{
	struct watcher *watcher = x->shared->watcher;

	return watcher_catalog(watcher) != NULL &&
	       watcher_config_age_ms(watcher) <= x->shared->max_config_age_ms;
}

static int64_t outage_ms(const struct exch *x)
{
	int64_t ms = store_outage_ms(x->shared->store, WIRE_TABLE_OPERATORS);

	return x->turn != NULL ? MAX(ms, turns_outage_ms(x->turn)) : ms;
}

int64_t exch_store_retry_after_ms(const struct exch *x)
{
	const struct members *members = x->shared->members;
	int64_t age_ms = outage_ms(x);

	if (!exch_manages_overload(x) || age_ms == 0)
		return members_have_fresh_config(members)
			       ? EXCH_PEER_RETRY_AFTER_MS
			       : STORE_RETRY_AFTER_MS;
	return members_have_newer_config(members, age_ms)
		       ? EXCH_PEER_RETRY_AFTER_MS
		       : outage_retry_after_ms(age_ms, x->call.id);
}

/* Sends the request if its key has not been withdrawn since it came. */
static void send_if_valid(struct exch *x)
{
	const struct catalog *catalog = watcher_catalog(x->shared->watcher);

	if (cat_requires_keys(catalog) &&
	    (x->call.key == NULL || cat_find_key(catalog, x->call.key) == NULL))
		exch_refuse(x, STATS_REFUSED_KEY, 401, "unknown key", 0);
	else
		exch_send(x);
}

static void on_config_timer(evutil_socket_t fd, short what, void *arg)
{
	struct exch *x = arg;
	bool current = has_current_config(x);

	(void)fd;
	(void)what;
	if (x->awaits_contact) {
		x->awaits_contact = false;
		exch_acquire_quota(x);
		return;
	}
	if (!current && clock_boot_ms() < x->config_wait_until_ms &&
	    exch_may_await_store(x)) {
		exch_set_timer(x->config_timer, CONFIG_POLL_MS);
		return;
	}
	slog("config_awaited", x->call.id,
	     "\"current\":%s,\"ms\":%" G_GINT64_FORMAT
	     ",\"config_age_ms\":%" G_GINT64_FORMAT,
	     current ? "true" : "false", clock_boot_ms() - x->started_ms,
	     watcher_config_age_ms(x->shared->watcher));
	if (x->turn == NULL)
		exch_begin(x);
	else if (current)
		send_if_valid(x);
	else
		exch_refuse(x, STATS_REFUSED_STALE_CONFIG, 503,
			    "old configuration", exch_store_retry_after_ms(x));
}

static void start_timer(struct exch *x, int64_t ms)
{
	if (x->config_timer == NULL)
		x->config_timer =
			evtimer_new(x->shared->base, on_config_timer, x);
	exch_set_timer(x->config_timer, ms);
}

static void wait_until(struct exch *x, int64_t until_ms)
{
	stats_count(STATS_CONFIG_AWAITED);
	x->config_wait_until_ms = until_ms;
	start_timer(x, CONFIG_POLL_MS);
}

bool exch_await_contact(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();
	int64_t wait_ms = outage_wait_ms(x->deadline_at_ms - x->started_ms, 0);

	if (!exch_may_await_store(x) ||
	    now_ms + CONTACT_RETRY_MS > x->started_ms + wait_ms)
		return false;
	if (x->contact_waits++ == 0)
		stats_count(STATS_CONTACT_AWAITED);
	x->awaits_contact = true;
	start_timer(x, CONTACT_RETRY_MS);
	return true;
}

bool exch_await_config(struct exch *x)
{
	const struct catalog *catalog = watcher_catalog(x->shared->watcher);
	const struct cat_route *route = NULL;
	int64_t wait_ms;

	if (has_current_config(x) || !exch_may_await_store(x))
		return false;
	if (catalog != NULL)
		route = cat_find_route(catalog, x->call.host, x->call.path);
	if (route != NULL && route->is_public)
		return false;
	wait_ms = outage_wait_ms(exch_timeout_ms(x, route), outage_ms(x));
	if (wait_ms == 0)
		return false;
	exch_hold(x);
	wait_until(x, x->started_ms + wait_ms);
	return true;
}

bool exch_may_await_store(const struct exch *x)
{
	return exch_manages_overload(x) &&
	       !members_is_cut_off(x->shared->members, outage_ms(x));
}

void exch_send_checked(struct exch *x)
{
	if (x->route->is_public)
		exch_send(x);
	else if (has_current_config(x))
		send_if_valid(x);
	else
		wait_until(x,
			   x->started_ms + outage_wait_ms(x->deadline_at_ms -
								  x->started_ms,
							  0));
}
