/**
 * @file fleet_int.h
 * @brief Internal interface between fleet.c and fleet_pick.c.
 *
 * fleet.c keeps the state of the servers; fleet_pick.c selects one.
 */
#ifndef APS_FLEET_INT_H
#define APS_FLEET_INT_H

#include "fleet.h"

/** Returns the servers of a service. */
GPtrArray *fleet_service_servers(struct fleet *fleet, const char *name);
/** Removes the sends that no longer count for the rate of a cold server. */
void fleet_drop_old_sends(struct fleet_server *server, int64_t now);
/** Returns the smoothed share of failed requests, decayed until @p now. */
double fleet_decayed_faults(const struct fleet_server *server, int64_t now);

#endif
