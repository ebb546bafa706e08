/**
 * @file outbound.h
 * @brief HTTP client for requests to backend servers and the platform.
 *
 * Uses one curl multi handle, driven by the loop's thread. CivetWeb's client
 * blocks until its buffer is full, so it cannot forward tokens as they arrive.
 */
#ifndef APS_OUTBOUND_H
#define APS_OUTBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "decide/node.h"

struct outbound;

/** Callbacks for results; called from outbound_process() only. */
struct outbound_events {
	/** Part of a run's output; @p incarnation is 0 if unknown. */
	void (*run_chunk)(void *arg, uint64_t run_id, uint64_t incarnation,
			  const uint8_t *buf, size_t len);
	void (*run_done)(void *arg, uint64_t run_id,
			 const struct node_run_result *result);
	void (*release_done)(void *arg, uint64_t cookie, bool acknowledged,
			     uint64_t incarnation);
	/** @p load is NULL on failure. */
	void (*probe_done)(void *arg, uint64_t cookie,
			   const struct node_load *load);
	/** @p reply is NULL on failure. */
	void (*table_done)(void *arg, uint64_t cookie,
			   const Aps__TableReply *reply);
	/** @p buf is NULL after a write and on failure. */
	void (*object_done)(void *arg, uint64_t cookie, bool ok,
			    const uint8_t *buf, size_t len);
	void *arg;
};

/** Creates a client; @p platform is the base URL of the platform. */
struct outbound *outbound_create(const char *platform,
				 const struct outbound_events *events);

/** Aborts all requests without calling back; NULL is allowed. */
void outbound_destroy(struct outbound *outbound);

/** Starts a run on a backend server. */
void outbound_start_run(struct outbound *outbound, const struct node_run *run);

/** Cancels a run; run_done is called by the next outbound_process(). */
void outbound_cancel_run(struct outbound *outbound, uint64_t run_id);

/** Tells a server to release the cache of a program. */
void outbound_release(struct outbound *outbound, uint64_t cookie,
		      const char *addr, const char *program, uint64_t fence);

/** Requests the load of a server. */
void outbound_probe(struct outbound *outbound, uint64_t cookie,
		    const char *addr);

/** Sends a request to the table. */
void outbound_table(struct outbound *outbound, uint64_t cookie,
		    const Aps__TableRequest *request);

/** Stores an object, or reads it if @p buf is NULL. */
void outbound_object(struct outbound *outbound, uint64_t cookie,
		     const char *key, const uint8_t *buf, size_t len);

/** Returns the multi handle, for polling. */
CURLM *outbound_multi(struct outbound *outbound);

/** Performs pending I/O and calls back for output and finished requests. */
void outbound_process(struct outbound *outbound);

#endif
