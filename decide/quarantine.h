/**
 * @file quarantine.h
 * @brief Quarantine of requests that crash backend servers.
 *
 * Counts how often a server crashed while it ran a request, identified by a
 * fingerprint of account and body. Refused from QUARANTINE_THRESHOLD on.
 */
#ifndef APS_QUARANTINE_H
#define APS_QUARANTINE_H

#include "node_int.h"

enum {
	/** Number of crashes from which a request is refused. */
	QUARANTINE_THRESHOLD = 2,
	/** How long after its last crash a request is remembered, in ms. */
	QUARANTINE_TTL_MS = 600000,
};

/** Creates an empty quarantine. */
struct quarantine *quarantine_create(struct node *node);

/** Frees it; NULL is allowed. */
void quarantine_destroy(struct quarantine *quarantine);

/** Returns the fingerprint of @p request; g_free() it. */
char *quarantine_fingerprint(const Aps__Request *request);

/** Applies a row that any instance wrote. */
void quarantine_on_row(struct quarantine *quarantine, const Aps__Row *row);

/** Returns the number of crashes recorded for @p fingerprint. */
uint32_t quarantine_crash_count(struct quarantine *quarantine,
				const char *fingerprint);

/** Records a crash and writes it to the table. */
void quarantine_add_crash(struct quarantine *quarantine,
			  const char *fingerprint);

/** Clears the crashes of a request that completed. */
void quarantine_clear(struct quarantine *quarantine, const char *fingerprint);

#endif
