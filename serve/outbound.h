/**
 * @file outbound.h
 * @brief HTTP requests of this instance: backend servers and the platform.
 *
 * One curl multi handle, driven by the loop's thread. CivetWeb's client
 * blocks until its buffer is full, so it cannot pass tokens on as they come.
 */
#ifndef APS_OUTBOUND_H
#define APS_OUTBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "decide/node.h"

struct outbound;

/** Who is told of what came back. */
struct outbound_events {
	void (*run_chunk)(void *arg, uint64_t run_id, uint64_t incarnation,
			  const uint8_t *buf, size_t len);
	void (*run_done)(void *arg, uint64_t run_id,
			 const struct nod_run_result *result);
	void (*release_done)(void *arg, uint64_t cookie, bool acknowledged,
			     uint64_t incarnation);
	void (*probe_done)(void *arg, uint64_t cookie,
			   const struct nod_load *load);
	void (*table_done)(void *arg, uint64_t cookie,
			   const Aps__TableReply *reply);
	void (*object_done)(void *arg, uint64_t cookie, bool ok,
			    const uint8_t *buf, size_t len);
	void *arg;
};

/** Creates an idle set; @p platform is the base URL of the platform. */
struct outbound *outbound_create(const char *platform,
				 const struct outbound_events *events);

/** Ends all requests without telling; NULL is allowed. */
void outbound_destroy(struct outbound *out);

/** Starts a run on a backend server. */
void outbound_start_run(struct outbound *out, const struct nod_run *run);

/** Breaks a run off; its end is told from outbound_process(). */
void outbound_cancel_run(struct outbound *out, uint64_t run_id);

/** Orders a server to release a program's memory. */
void outbound_release(struct outbound *out, uint64_t cookie, const char *addr,
		      const char *program, uint64_t fence);

/** Asks a server for its load. */
void outbound_probe(struct outbound *out, uint64_t cookie, const char *addr);

/** Sends a request to the table. */
void outbound_table(struct outbound *out, uint64_t cookie,
		    const Aps__TableRequest *request);

/** Stores an object, or reads it if @p buf is NULL. */
void outbound_object(struct outbound *out, uint64_t cookie, const char *key,
		     const uint8_t *buf, size_t len);

/** Returns the multi handle, to poll. */
CURLM *outbound_multi(struct outbound *out);

/** Reads and writes what can be, and tells of what has ended. */
void outbound_process(struct outbound *out);

#endif
