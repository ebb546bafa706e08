/**
 * @file quarantine.h
 * @brief Requests that were running when their backend server crashed.
 *
 * A mark is kept under a fingerprint of account and body. Two marks
 * quarantine a request.
 */
#ifndef APS_MARKS_H
#define APS_MARKS_H

#include "node_int.h"

enum {
	/** Marks at which a request is refused. */
	QUARANTINE_THRESHOLD = 2,
	/** Life of a mark, in ms. */
	QUARANTINE_MARK_TTL_MS = 600000,
};

/** Creates an empty set. */
struct marks *quarantine_create(struct node *node);

/** Frees it; NULL is allowed. */
void quarantine_destroy(struct marks *marks);

/** Returns the fingerprint of @p request; g_free() it. */
char *quarantine_fingerprint(const Aps__Request *request);

/** Takes up a row that some instance wrote. */
void quarantine_on_row(struct marks *marks, const Aps__Row *row);

/** Returns the number of marks under @p fingerprint. */
uint32_t quarantine_crash_count(struct marks *marks, const char *fingerprint);

/** Adds a mark and writes it. */
void quarantine_add_crash(struct marks *marks, const char *fingerprint);

/** Clears the marks of a request that ran to its end. */
void quarantine_clear(struct marks *marks, const char *fingerprint);

#endif
