/**
 * @file catdiff.h
 * @brief Differences between two configurations, for the audit log.
 */
#ifndef APS_CATDIFF_H
#define APS_CATDIFF_H

#include "catalog.h"

/** Receives a change: @p kind and @p name of the entry, "added", "changed" or
 * "removed", and details as "name":value pairs of JSON, or "". */
typedef void cat_change_fn(const char *kind, const char *name,
			   const char *change, const char *details, void *arg);

/** Calls @p fn for each route and account that differs between @p from, which
 * may be NULL, and @p to. Keys are only counted, since they are secret. */
void cat_diff(const struct catalog *from, const struct catalog *to,
	      cat_change_fn *fn, void *arg);

#endif
