/**
 * @file gateway.h
 * @brief One gateway instance: its modules, startup and shutdown.
 */
#ifndef APS_GATEWAY_H
#define APS_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Settings of an instance; unset strings are NULL. */
struct gw_settings {
	char *id;	 /**< name of the instance */
	char *zone;	 /**< its availability zone */
	char *callers;	 /**< HOST:PORT for callers */
	char *ready;	 /**< HOST:PORT for the load balancer's health check */
	char *peers;	 /**< HOST:PORT for datagrams from other instances */
	char *tunnel;	 /**< HOST:PORT to carry others' connections, or NULL */
	char *relay;	 /**< HOST:PORT to relay others' store calls, or NULL */
	char *metrics;	 /**< HOST:PORT for metrics, or NULL */
	char *store;	 /**< HOST:PORT of the platform's store */
	char *contracts; /**< see platform/contracts.h; NULL: none */
	uint32_t grace_s;   /**< from SIGTERM to SIGKILL */
	uint32_t revoke_ms; /**< time within which a withdrawn key is refused */
	uint32_t quota_slack;	   /**< requests by which an account may exceed
				    * its limit, summed over all instances */
	uint32_t max_header_lines; /**< of a request; 0: no limit */
	/** Part of a service's requests that a faulty version may get. */
	double exposure_share;
	uint32_t exposure_slack; /**< requests beyond that */
	uint32_t rollback_ms;	 /**< until a faulty version gets none */
	uint32_t contact_ms;	 /**< accepted, without effect at present */
	uint32_t cache_kb;	 /**< memory for cached history of programs */
	uint32_t memory_mb;	 /**< at which the process is killed */
	uint32_t load_kb;	 /**< memory for histories that are loaded */
	uint32_t sweep_ms; /**< between two sweeps of a part of the store */
};

struct gw;

/** Reads settings; on faults returns NULL and adds a line for each to @p
 * errors.
 */
struct gw_settings *gw_read_settings(const char *path, GString *errors);
void gw_free_settings(struct gw_settings *settings);

/**
 * Creates an instance on @p base.
 *
 * @param path file of the settings, checked again on SIGHUP
 * @return NULL after a message on standard error
 */
struct gw *gw_create(struct event_base *base,
		     const struct gw_settings *settings, const char *path);
/** Runs the event loop until a shutdown has completed. */
void gw_run(struct gw *gw);
/** Frees an instance without a graceful shutdown; the event base remains. */
void gw_destroy(struct gw *gw);
/** Begins a graceful shutdown, as SIGTERM does. */
void gw_stop(struct gw *gw);
/** Whether the shutdown has completed. */
bool gw_stopped(const struct gw *gw);

#endif
