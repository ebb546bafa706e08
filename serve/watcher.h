/**
 * @file watcher.h
 * @brief Watches the configuration and the list of backend servers.
 *
 * Both tables are read completely once and then followed by version. The age of
 * the configuration counts from when the last call that confirmed it was sent.
 */
#ifndef APS_WATCHER_H
#define APS_WATCHER_H

#include <event2/event.h>

#include "decide/catalog.h"
#include "decide/fleet.h"
#include "platform/rowstore.h"

struct watcher;

/** Called for each new configuration; it must take a reference to keep it. */
typedef void watcher_callback(void *arg, struct catalog *catalog);

/** Receives the operators' requests for roll-outs. */
struct watcher_rollouts {
	/** A complete read begins. */
	void (*on_begin)(void *arg);
	/** @p row has a request for @p service, or has been removed.
	 * @param is_change it was written while this instance has watched */
	void (*on_row)(void *arg, const char *service,
		       const struct store_row *row, bool is_change);
	/** All requests have been read. */
	void (*on_read)(void *arg);
	void *arg;
};

struct watcher *watcher_create(struct event_base *base, struct store *store,
			       struct fleet *fleet, watcher_callback *callback,
			       void *arg);
/** Passes on requests for roll-outs; to be called before the event loop runs.
 */
void watcher_set_rollouts(struct watcher *watcher,
			  const struct watcher_rollouts *rollouts);
void watcher_destroy(struct watcher *watcher);
/** The newest configuration, or NULL before the first. */
struct catalog *watcher_catalog(const struct watcher *watcher);
/** Time since the configuration was last confirmed by the store. */
int64_t watcher_config_age_ms(const struct watcher *watcher);
/** Time since the list of servers was last confirmed by the store. */
int64_t watcher_servers_age_ms(const struct watcher *watcher);

#endif
