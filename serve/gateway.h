/**
 * @file gateway.h
 * @brief One instance on the users' machines: its parts and their life.
 */
#ifndef APS_GATEWAY_H
#define APS_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Settings of an instance; unset strings are NULL. */
struct gw_settings {
	char *id;	    /**< name of the instance */
	char *zone;	    /**< its availability zone */
	char *callers;	    /**< HOST:PORT for callers */
	char *ready;	    /**< HOST:PORT for the balancer's question */
	char *peers;	    /**< HOST:PORT for datagrams of other instances */
	char *relay;	    /**< HOST:PORT for store calls of others, or NULL */
	char *metrics;	    /**< HOST:PORT for metrics, or NULL */
	char *store;	    /**< HOST:PORT of the platform's store */
	uint32_t grace_s;   /**< from SIGTERM to SIGKILL */
	uint32_t revoke_ms; /**< a withdrawn key ends within that */
	uint32_t quota_slack; /**< requests by which an account may pass its
			       * limit, all instances together */
	uint32_t cache_kb;    /**< history of programs that is kept at hand */
	uint32_t sweep_ms;    /**< between two sweeps of the store */
};

struct gw;

/** Reads settings; returns NULL after adding a line for each fault. */
struct gw_settings *gw_read_settings(const char *path, GString *errors);
void gw_free_settings(struct gw_settings *settings);

/**
 * Prepares an instance on @p base.
 *
 * @param path where the settings came from; they are checked again on SIGHUP
 * @return NULL after a line on standard error
 */
struct gw *gw_create(struct event_base *base,
		     const struct gw_settings *settings, const char *path);
/** Runs it until it is told to stop and its requests have ended. */
void gw_run(struct gw *gw);
/** Ends it at once; the base stays. */
void gw_destroy(struct gw *gw);
/** Begins a graceful shutdown, as SIGTERM does. */
void gw_stop(struct gw *gw);
/** Whether the shutdown is over. */
bool gw_stopped(const struct gw *gw);

#endif
