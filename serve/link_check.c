/** @file link_check.c @brief Checks the links to the backend servers. */
#include <string.h>

#include <event2/bufferevent.h>

#include "clock.h"
#include "decide/rng.h"
#include "link_check.h"
#include "slog.h"
#include "sock.h"
#include "stats.h"

enum {
	TICK_MS = 100,
	CONNECT_TIMEOUT_MS = 250,
	CHECKS_MAX = 2, /* at a time; enough to tell one server from all */
};

struct check {
	struct lchk *lchk;
	struct bufferevent *bev; /* NULL: not in progress */
	struct event *timer;
	char *server;
};

struct lchk {
	struct event_base *base;
	struct fleet *fleet;
	struct links *links;
	struct event *tick;
	struct rng rng;
	struct check checks[CHECKS_MAX];
};

static void close_idle(struct fleet_server *server, void *arg)
{
	(void)arg;
	server->close_idle(server);
}

static void log_change(const struct lchk *lchk, const char *server)
{
	slog("links", NULL,
	     "\"lost\":%s,\"server\":%s,\"silent_ms\":%" G_GINT64_FORMAT,
	     links_all_lost(lchk->links) ? "true" : "false", slog_quote(server),
	     links_silent_ms(lchk->links, clock_boot_ms()));
}

void lchk_on_connected(struct lchk *lchk, const char *server)
{
	if (links_on_connected(lchk->links, server, clock_boot_ms()))
		log_change(lchk, server);
}

void lchk_on_failed(struct lchk *lchk, const char *server)
{
	int64_t now_ms = clock_boot_ms();

	if (!links_on_failed(lchk->links, server, now_ms))
		return;
	stats_count(STATS_LINKS_LOST);
	log_change(lchk, server);
	/* Kept connections over which responses still come live on. */
	if (links_is_silent(lchk->links, now_ms))
		fleet_foreach(lchk->fleet, close_idle, NULL);
}

static void end_check(struct check *check)
{
	g_clear_pointer(&check->bev, bufferevent_free);
	event_del(check->timer);
	g_clear_pointer(&check->server, g_free);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct check *check = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		lchk_on_connected(check->lchk, check->server);
	else
		lchk_on_failed(check->lchk, check->server);
	end_check(check);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct check *check = arg;

	(void)fd;
	(void)what;
	lchk_on_failed(check->lchk, check->server);
	end_check(check);
}

static void start_check(struct check *check, const struct fleet_server *server)
{
	if (check->bev != NULL)
		return;
	check->server = g_strdup(server->id);
	check->bev = bufferevent_socket_new(check->lchk->base, -1,
					    BEV_OPT_CLOSE_ON_FREE |
						    BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(check->bev, NULL, NULL, on_event, check);
	if (sock_connect(check->bev, server->address)) {
		struct timeval tv = clock_timeval(CONNECT_TIMEOUT_MS);

		event_add(check->timer, &tv);
	} else {
		lchk_on_failed(check->lchk, check->server);
		end_check(check);
	}
}

/* Selects one of the listed servers at random. */
struct random_server {
	struct rng *rng;
	uint64_t seen;
	const struct fleet_server *server;
};

static void consider(struct fleet_server *server, void *arg)
{
	struct random_server *choice = arg;

	if (rng_below(choice->rng, ++choice->seen) == 0)
		choice->server = server;
}

static void check_random_server(struct lchk *lchk, struct check *check)
{
	struct random_server choice = {&lchk->rng, 0, NULL};

	fleet_foreach(lchk->fleet, consider, &choice);
	if (choice.server != NULL)
		start_check(check, choice.server);
}

static void check_lost_server(struct lchk *lchk)
{
	const char *id = links_next_lost(lchk->links);
	const struct fleet_server *server =
		id ? fleet_find(lchk->fleet, id) : NULL;

	if (server != NULL)
		start_check(&lchk->checks[0], server);
	else if (id != NULL)
		links_forget(lchk->links, id);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct lchk *lchk = arg;
	int64_t now_ms = clock_boot_ms();

	(void)fd;
	(void)what;
	if (!links_take_check(lchk->links, now_ms))
		return;
	if (!links_all_lost(lchk->links) &&
	    !links_is_silent(lchk->links, now_ms)) {
		check_lost_server(lchk);
		return;
	}
	for (int i = 0; i < CHECKS_MAX; i++)
		check_random_server(lchk, &lchk->checks[i]);
}

struct lchk *lchk_create(struct event_base *base, struct fleet *fleet,
			 struct links *links)
{
	struct lchk *lchk = g_new0(struct lchk, 1);
	struct timeval tv = clock_timeval(TICK_MS);

	lchk->base = base;
	lchk->fleet = fleet;
	lchk->links = links;
	lchk->rng.state = (uint64_t)g_get_real_time();
	for (int i = 0; i < CHECKS_MAX; i++) {
		lchk->checks[i].lchk = lchk;
		lchk->checks[i].timer =
			evtimer_new(base, on_timeout, &lchk->checks[i]);
	}
	lchk->tick = event_new(base, -1, EV_PERSIST, on_tick, lchk);
	event_add(lchk->tick, &tv);
	return lchk;
}

void lchk_destroy(struct lchk *lchk)
{
	if (lchk == NULL)
		return;
	for (int i = 0; i < CHECKS_MAX; i++) {
		end_check(&lchk->checks[i]);
		event_free(lchk->checks[i].timer);
	}
	event_free(lchk->tick);
	g_free(lchk);
}
