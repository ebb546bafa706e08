/**
 * @file exchange.h
 * @brief One request of a caller, from its reading to the end of its answer.
 */
#ifndef APS_EXCHANGE_H
#define APS_EXCHANGE_H

#include <event2/event.h>

#include "admission.h"
#include "beliefs.h"
#include "decide/fleet.h"
#include "decide/quota.h"
#include "decide/suspect.h"
#include "inbound.h"
#include "members.h"
#include "turns.h"
#include "upstream.h"

/** What requests share. */
struct xch_shared {
	struct event_base *base;
	struct up *up;
	struct rst *store;
	struct blf *beliefs;
	struct flt *fleet;
	struct qta *quota;
	struct adm *admission;
	struct sus *suspects;
	struct mbr *members;
	struct trn *programs;
	const char *zone;
	double quota_slack; /**< see struct qta_limit */
	int64_t stale_ms;   /**< age at which a configuration lets no key in */
	GHashTable *sessions; /**< line of turns -> struct xch_session */
};

/** Where a line of turns ran last. */
struct xch_session {
	char server[64];
	int64_t at;
};

/** Takes a request on; its answer comes on the event loop. */
void xch_start(struct xch_shared *shared, struct inbound_request *request);
/** The caller of a request has left. */
void xch_gone(struct inbound_request *request);
/** Forgets lines of turns that have been idle for long. */
void xch_forget_sessions(struct xch_shared *shared);

#endif
