/**
 * @file catdiff.h
 * @brief What a version of the configuration changes, for the audit trail.
 */
#ifndef APS_CATDIFF_H
#define APS_CATDIFF_H

#include "catalog.h"

/** One change: what kind of thing, its name, what became of it, and details
 * as "name":value pairs of JSON, or "". */
typedef void cat_change_fn(const char *thing, const char *name,
			   const char *change, const char *details, void *arg);

/** Calls @p fn for each route, service and account that @p to has otherwise
 * than @p from; @p from may be NULL. Keys are counted, never named. */
void cat_diff(const struct catalog *from, const struct catalog *to,
	      cat_change_fn *fn, void *arg);

#endif
