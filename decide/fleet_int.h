/**
 * @file fleet_int.h
 * @brief Internal interface between the fleet*.c files.
 *
 * fleet.c keeps the state of the servers, fleet_pick.c selects one, and
 * fleet_cost.c compares them by what all instances know.
 */
#ifndef APS_FLEET_INT_H
#define APS_FLEET_INT_H

#include "fleet.h"

/** Cost of a server without a free slot, compared with one that has one. */
#define FLEET_FULL_MS 500.0
/** Cost of a server that does not respond: it is taken last. */
#define FLEET_AVOID_MS 1000.0

/** Returns the servers of a service. */
GPtrArray *fleet_service_servers(struct fleet *fleet, const char *name);
/** Removes the sends that no longer count for the rate of a cold server. */
void fleet_drop_old_sends(struct fleet_server *server, int64_t now);
/** Returns the smoothed share of failed requests, decayed until @p now. */
double fleet_decayed_faults(const struct fleet_server *server, int64_t now);
#endif
