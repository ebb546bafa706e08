/**
 * @file watcher.h
 * @brief Follows the configuration and the list of backend servers.
 *
 * Both are read whole once and then followed by version. The age of the
 * configuration counts from the sending of the last call that confirmed it.
 */
#ifndef APS_WATCHER_H
#define APS_WATCHER_H

#include <event2/event.h>

#include "decide/catalog.h"
#include "decide/fleet.h"
#include "platform/rowstore.h"

struct watcher;

/** Told of each new configuration; it takes no reference. */
typedef void watcher_callback(void *arg, struct cat *cat);

struct watcher *watcher_create(struct event_base *base, struct rst *store,
			       struct flt *fleet, watcher_callback *changed,
			       void *arg);
void watcher_destroy(struct watcher *watcher);
/** The newest configuration, or NULL before the first. */
struct cat *watcher_catalog(const struct watcher *watcher);
/** How long ago the configuration was confirmed, in ms. */
int64_t watcher_config_age_ms(const struct watcher *watcher);

#endif
