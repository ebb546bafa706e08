/**
 * @file sweeper.h
 * @brief Removes the rows of programs that have expired.
 *
 * Each part of the store is swept by one instance, chosen by rendezvous
 * hashing. Two instances that sweep the same part do no harm, since a removal
 * is conditional on the version of the expiry row that it was based on.
 */
#ifndef APS_SWEEPER_H
#define APS_SWEEPER_H

#include <event2/event.h>

#include "members.h"
#include "platform/rowstore.h"

struct sweeper;

/** @param cycle_ms time between two sweeps of a part */
struct sweeper *sweeper_create(struct event_base *base, struct store *store,
			       struct members *members, int64_t cycle_ms);
void sweeper_destroy(struct sweeper *sweeper);

#endif
