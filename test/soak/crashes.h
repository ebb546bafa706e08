/**
 * @file crashes.h
 * @brief Callers of the soak whose requests crash backend servers.
 *
 * A service of its own has servers that crash when they run such a request, and
 * start again under a new id. Each request is sent again and again, through
 * any gateway. Sound requests go to the same servers.
 */
#ifndef APS_SOAK_CRASHES_H
#define APS_SOAK_CRASHES_H

#include <stdbool.h>

#include <event2/event.h>
#include <glib.h>

#include "serve/upstream.h"
#include "test/standins/rowstore.h"

/** Route and service, for the configuration. */
#define CRASHES_ROUTE                                                          \
	"{\"name\":\"fragile\",\"hostname\":\"h\",\"prefix\":\"/fragile/\","   \
	"\"route_type\":\"safe\",\"timeout_ms\":1000,\"slo_ms\":100,"          \
	"\"service\":\"fragile\",\"attempts\":2}"
#define CRASHES_SERVICE "{\"name\":\"fragile\"}"

struct crashes;

struct crashes_config {
	struct event_base *base;
	struct upstream *upstream;
	struct rowstore *store;
	int gateway_port; /**< of the first one; the next follow at intervals of
			   * 10 */
	int server_port;  /**< of the first server; the next follow */
	uint64_t seed;
};

/** Starts the servers and lists them; returns NULL if it can't listen. */
struct crashes *crashes_create(const struct crashes_config *config);
/** Starts the callers. */
void crashes_start(struct crashes *crashes);
/** Faults are over: what was known is to be known still from now on, and sound
 * requests are to be served. */
void crashes_set_calm(struct crashes *crashes);
/** Whether a sound request has been served since. */
bool crashes_has_served(const struct crashes *crashes);
/** The callers send no more. */
void crashes_stop(struct crashes *crashes);
void crashes_check(const struct crashes *crashes);
void crashes_print(const struct crashes *crashes);

#endif
