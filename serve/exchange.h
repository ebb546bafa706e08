/**
 * @file exchange.h
 * @brief One request of a caller, from its reading to the end of its answer.
 */
#ifndef APS_EXCHANGE_H
#define APS_EXCHANGE_H

#include <event2/event.h>

#include "admission.h"
#include "decide/fleet.h"
#include "decide/quota.h"
#include "decide/suspect.h"
#include "inbound.h"
#include "members.h"
#include "turns.h"
#include "upstream.h"
#include "watcher.h"

/** What requests share. */
struct exch_shared {
	struct event_base *base;
	struct upstream *upstream;
	struct rst *store;
	struct watcher *watcher;
	struct flt *fleet;
	struct qta *quota;
	struct adm *admission;
	struct sus *suspects;
	struct members *members;
	struct turns *programs;
	const char *zone;
	double quota_slack; /**< see struct qta_limit */
	int64_t stale_ms;   /**< age at which a configuration lets no key in */
	GHashTable *sessions; /**< line of turns -> struct exch_session */
};

/** Where a line of turns ran last. */
struct exch_session {
	char server[64];
	int64_t at;
};

/** Takes a request on; its answer comes on the event loop. */
void exch_start(struct exch_shared *shared, struct in_request *request);
/** The caller of a request has left. */
void exch_caller_disconnected(struct in_request *request);
/** Forgets lines of turns that have been idle for long. */
void exch_expire_sessions(struct exch_shared *shared);

#endif
