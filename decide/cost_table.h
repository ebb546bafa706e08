/**
 * @file cost_table.h
 * @brief Bounded table of what was learned by route, client account or object.
 */
#ifndef APS_COST_TABLE_H
#define APS_COST_TABLE_H

#include <stdint.h>

#include <glib.h>

#include "cost_stat.h"

/** What was learned for one key; logarithms of tokens, or of ms of a call. */
struct cost_class {
	uint64_t key;
	struct cstat size; /**< x: maximum, y: actual */
	struct cstat hint; /**< x: the client's hint, y: actual */
	struct cstat mean; /**< x: predicted mean, y: actual */
	float high_z;	   /**< calibrated position of the 90th percentile */
	uint32_t epoch;	   /**< of its service, see cost_table_get() */
	int64_t updated_ms;
	GList link;
};

struct cost_table;

/** At most @p classes_max are kept; those seen only once go first. */
struct cost_table *cost_table_create(guint classes_max);
void cost_table_destroy(struct cost_table *table);
/**
 * Returns the class of that key, or NULL. What was learned before the current
 * @p epoch, that is with an earlier version of the service, has faded.
 */
struct cost_class *cost_table_get(struct cost_table *table, uint64_t key,
				  uint32_t epoch);
/** Returns the class of that key for an update, faded by its age; adds it if
 * there is none. */
struct cost_class *cost_table_touch(struct cost_table *table, uint64_t key,
				    uint32_t epoch, int64_t now_ms);
/** Returns the number of classes. */
guint cost_table_count(const struct cost_table *table);
/** Returns the factor for observations that are @p age_ms old. */
double cost_age_factor(int64_t age_ms);

/** What observations with an earlier version count. */
#define COST_RELEASE_FACTOR 0.2
/** Position of the 90th percentile of a normal distribution. */
#define COST_HIGH_Z 1.2816F

#endif
