/**
 * @file load_view.h
 * @brief The load of the backend servers, as all instances see it together.
 *
 * The load it answers: hundreds of instances, of which each hears from a given
 * server once in seconds, and servers whose load and speed change several times
 * a second. Instances pass on what servers say about their load. A report says
 * less the older it is: the estimate goes from the reported load back to the
 * mean of all servers, so that a server of which nothing is known looks neither
 * idle nor busy, and old or lost reports do no harm.
 */
#ifndef APS_LOAD_VIEW_H
#define APS_LOAD_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "rng.h"

/** What a server has said about its load. */
struct lview_report {
	uint32_t server;   /**< lview_key() of its id */
	uint32_t requests; /**< running and waiting there */
	uint32_t slowness; /**< time that its work takes, in percent of the
			    * usual; 0: unknown */
	int64_t as_of_ms;
};

/** The reports of all servers. */
struct lview;

struct lview *lview_create(void);
void lview_destroy(struct lview *view);
/** Returns the key of a server: a hash of its id. */
static inline uint32_t lview_key(const char *server)
{
	return (uint32_t)rng_hash(server);
}
/** Applies a report, unless a newer one is known or it can't be true. */
void lview_apply(struct lview *view, const struct lview_report *report,
		 int64_t now_ms);
/** Copies up to @p max of the newest reports, to be passed on; returns how
 * many. */
size_t lview_newest(const struct lview *view, struct lview_report *reports,
		    size_t max, int64_t now_ms);
/** Returns when the last report on a server was made; 0: there is none. */
int64_t lview_reported_ms(const struct lview *view, uint32_t server);
/** Returns the estimated number of requests at a server. */
double lview_requests(const struct lview *view, uint32_t server,
		      int64_t now_ms);
/** Returns the time that a server's work takes now, relative to the usual one;
 * 1 if unknown. */
double lview_slowness(const struct lview *view, uint32_t server);
/** Returns the mean of that time over many reports: how fast the server is
 * apart from what disturbs it now. */
double lview_mean_slowness(const struct lview *view, uint32_t server);

#endif
