/**
 * @file rig2.h
 * @brief A small deployment for the review's trials.
 *
 * Starts gateways as separate processes on loopback addresses, between a
 * stand-in store, stand-in servers and callers that run on one event loop here.
 */
#ifndef REVIEW_RIG2_H
#define REVIEW_RIG2_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <event2/event.h>
#include <glib.h>

#include "serve/inbound.h"
#include "test/standins/rowstore.h"

enum {
	RIG_GATEWAYS_MAX = 16,
	RIG_MEMORY_MB = 130, /**< of a machine of the small site */
};

/** A gateway process. */
struct rig_gateway {
	pid_t pid; /**< 0: it does not run */
	char *settings;
	char *callers; /**< HOST:PORT */
	char *ready;
	GQueue idle; /**< kept connections of callers */
	guint starts;
	guint ends; /**< by itself */
};

/** The deployment. */
struct rig {
	struct event_base *base;
	struct upstream *upstream;
	struct rowstore *store;
	char *store_address;
	char *dir; /**< for settings and logs */
	FILE *record;
	int port; /**< the first of the ports in use */
	bool trouble;
	int memory_mb;
	int64_t started_ms;
	int gateways_len;
	struct rig_gateway gateways[RIG_GATEWAYS_MAX];
};

/** One request of a caller, as far as it is answered. */
struct rig_call {
	struct rig *rig;
	char *id;
	int gateway;
	bool done;
	bool whole; /**< the response is complete */
	int status; /**< 0: none */
	bool is_signed;
	GString *body;
	int64_t sent_ms;
	int64_t ended_ms;
	struct upstream_call *upstream;
};

/** Creates the deployment; ends the process with 2 if that fails. */
void rig_open(struct rig *rig, const char *record);
/** Ends all processes and frees everything. */
void rig_close(struct rig *rig);
/** Writes a line to the record, with the time since the start. */
void rig_note(struct rig *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Returns 127.0.HOST.1:PORT; g_free() it. */
char *rig_address(const struct rig *rig, int host, int offset);
/** Stores a configuration; the lists are members of JSON arrays. */
void rig_put_config(struct rig *rig, int version, const char *routes,
		    const char *services, const char *tenants);
/** Stores the row of a server. */
void rig_put_server(struct rig *rig, const char *id, const char *service,
		    const char *address, const char *state);
void rig_start_gateway(struct rig *rig, int i);
void rig_signal(struct rig *rig, int i, int signal);
/** Waits until the gateway has ended; returns false if it has not in time. */
bool rig_wait_end(struct rig *rig, int i, int64_t ms);
/** Waits until all gateways that run are ready; ends with 2 if they are not. */
void rig_wait_ready(struct rig *rig);
/** Runs the event loop. */
void rig_run(struct rig *rig, int64_t ms);
/** Notes gateways that have ended by themselves. */
void rig_check(struct rig *rig);
int64_t rig_now_ms(const struct rig *rig);
/** Sends a request; @p headers are whole lines. */
struct rig_call *rig_send(struct rig *rig, int gateway, const char *method,
			  const char *path, const char *headers,
			  const void *body, size_t len);
/** Sends a request and waits for its end. */
struct rig_call *rig_request(struct rig *rig, int gateway, const char *method,
			     const char *path, const char *headers,
			     const void *body, size_t len, int64_t ms);
void rig_call_free(struct rig_call *call);
/** Resident memory of a gateway without the pages of files, in KiB. */
long rig_memory_kb(const struct rig *rig, int i);

#endif
