/**
 * @file sweeper.h
 * @brief Removes the rows of programs that have expired.
 *
 * Each part of the store is swept by one instance, found by rendezvous
 * hashing; two that sweep the same part do no harm, since a removal holds only
 * on the version of the expiry row that it was decided on.
 */
#ifndef APS_SWEEPER_H
#define APS_SWEEPER_H

#include <event2/event.h>

#include "members.h"
#include "platform/rowstore.h"

struct swp;

/** @param cycle_ms time between two sweeps of a part */
struct swp *swp_create(struct event_base *base, struct store *store,
		       struct mbr *members, int64_t cycle_ms);
void swp_destroy(struct swp *swp);

#endif
