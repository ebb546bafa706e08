/**
 * @file beliefs.h
 * @brief Follows the configuration and the list of backend servers.
 *
 * Both are read whole once and then followed by version. The age of the
 * configuration counts from the sending of the last call that confirmed it.
 */
#ifndef APS_BELIEFS_H
#define APS_BELIEFS_H

#include <event2/event.h>

#include "decide/catalog.h"
#include "decide/fleet.h"
#include "platform/rowstore.h"

struct blf;

/** Told of each new configuration; it takes no reference. */
typedef void blf_changed(void *arg, struct catalog *catalog);

struct blf *blf_create(struct event_base *base, struct store *store,
		       struct fleet *fleet, blf_changed *changed, void *arg);
void blf_destroy(struct blf *blf);
/** The newest configuration, or NULL before the first. */
struct catalog *blf_catalog(const struct blf *blf);
/** How long ago the configuration was confirmed, in ms. */
int64_t blf_age_ms(const struct blf *blf);

#endif
