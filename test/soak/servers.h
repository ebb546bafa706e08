/**
 * @file servers.h
 * @brief The backend servers of the soak: a service, and engines of several
 * software versions that come and go as in a release.
 */
#ifndef APS_SOAK_SERVERS_H
#define APS_SOAK_SERVERS_H

#include <event2/event.h>
#include <glib.h>

#include "decide/rng.h"
#include "test/standins/rowstore.h"

enum {
	SERVERS_TURN_EVENTS = 4,   /**< events of a turn's stream */
	SERVERS_STREAM_EVENTS = 8, /**< events of a resumable stream */
};

struct servers;

/**
 * Starts servers behind proxies and lists them in the store.
 *
 * @param port the ports from 20 to 99 above it are used
 * @param link_reader HOST:PORT where one gateway reads the list; it reaches the
 *             servers over links that are lost now and then
 * @param rng  of the changes; it has to outlive them
 * @return NULL if it can't listen
 */
struct servers *servers_create(struct event_base *base, struct rowstore *store,
			       int port, const char *link_reader,
			       struct rng *rng);
/** Perhaps continues the release by one step, or cuts connections. */
void servers_change(struct servers *servers);
/** Returns the proxy, or the backend, of any server that is listed. */
struct proxy *servers_pick_proxy(struct servers *servers, struct rng *rng);
struct backend *servers_pick_backend(struct servers *servers, struct rng *rng);
guint servers_link_losses(const struct servers *servers);
void servers_clear_faults(struct servers *servers);
/** Returns the software version of a server, or 0 if there was none of that
 * id. */
guint servers_version(const struct servers *servers, const char *id);
/** Returns the run of that number, from 1 on, of a server, or NULL. */
const struct backend_run *servers_find_run(const struct servers *servers,
					   const char *id, guint run);
/** Adds all runs to @p runs: request IDs to GPtrArray of struct backend_run. */
void servers_collect_runs(const struct servers *servers, GHashTable *runs);

#endif
