/**
 * @file marks.h
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
	MRK_QUARANTINE = 2,
	/** Life of a mark, in ms. */
	MRK_LIFE_MS = 600000,
};

/** Creates an empty set. */
struct marks *mrk_create(struct node *node);

/** Frees it; NULL is allowed. */
void mrk_destroy(struct marks *marks);

/** Returns the fingerprint of @p request; g_free() it. */
char *mrk_fingerprint(const Aps__Request *request);

/** Takes up a row that some instance wrote. */
void mrk_see(struct marks *marks, const Aps__Row *row);

/** Returns the number of marks under @p fingerprint. */
uint32_t mrk_get(struct marks *marks, const char *fingerprint);

/** Adds a mark and writes it. */
void mrk_add(struct marks *marks, const char *fingerprint);

/** Clears the marks of a request that ran to its end. */
void mrk_clear(struct marks *marks, const char *fingerprint);

#endif
