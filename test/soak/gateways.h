/**
 * @file gateways.h
 * @brief The gateway processes of the soak, and what is done to them.
 *
 * They are started, stopped, terminated, reloaded and killed, and started again
 * some time after they have ended.
 */
#ifndef APS_SOAK_GATEWAYS_H
#define APS_SOAK_GATEWAYS_H

#include <stdbool.h>

#include <glib.h>

#include "decide/rng.h"

struct gateways;

struct gateways_config {
	const char *binary;
	/** An earlier build of the gateway, which all run at first, or NULL. */
	const char *earlier;
	const char *dir; /**< for settings and logs */
	int port;	 /**< of the first gateway; the next ones follow at
			  * intervals of 10 */
	int store_port;	 /**< of the first one's store; the next ones follow */
};

/** Starts the gateways. */
struct gateways *gateways_create(const struct gateways_config *config);
/** Kills them. */
void gateways_destroy(struct gateways *gateways);
/** Stops, terminates, reloads or kills one of them. */
void gateways_inject_fault(struct gateways *gateways, struct rng *rng);
/** Perhaps replaces a gateway of one build by one of the other, or turns round
 * what replaces what: upgrades, and releases that are withdrawn. */
void gateways_change_build(struct gateways *gateways, struct rng *rng);
/** Chooses the build of all gateways that are started from now on. */
void gateways_choose_build(struct gateways *gateways, bool earlier);
/** Whether a gateway runs the earlier build. */
bool gateways_is_earlier(const struct gateways *gateways, int gateway);
/** How many gateways were replaced by one of the other build. */
guint gateways_replaced(const struct gateways *gateways);
void gateways_kill_all(struct gateways *gateways);
/** Resumes stopped gateways and restarts ended ones, when due or all at once.
 */
void gateways_recover(struct gateways *gateways, bool immediately);
/** Reports and restarts gateways that exited without our signal. */
void gateways_check(struct gateways *gateways);
/** Returns a number that changes whenever a gateway is stopped, continued,
 * ended or started. */
guint gateways_epoch(const struct gateways *gateways, int gateway);
/** How many were ended by a SIGHUP that came before main(), which KNOWN-RED.txt
 * lists. */
guint gateways_early_ends(const struct gateways *gateways);

#endif
