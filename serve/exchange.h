/**
 * @file exchange.h
 * @brief One HTTP exchange: a caller's request and the response to it.
 */
#ifndef APS_EXCHANGE_H
#define APS_EXCHANGE_H

#include <event2/event.h>
#include <urcu/list.h>

#include "admission.h"
#include "copies.h"
#include "crashes.h"
#include "decide/cost.h"
#include "decide/fleet.h"
#include "decide/overload.h"
#include "decide/quota.h"
#include "decide/retry_budget.h"
#include "decide/server_limits.h"
#include "inbound.h"
#include "link_check.h"
#include "members.h"
#include "memory.h"
#include "platform/contracts.h"
#include "rollouts.h"
#include "turns.h"
#include "upstream.h"
#include "watcher.h"

enum {
	/** Retry-After if another instance may serve it at once, in ms. */
	EXCH_PEER_RETRY_AFTER_MS = 50,
};

/** State shared by all exchanges of an instance. */
struct exch_shared {
	struct event_base *base;
	struct mem_budget *memory;
	struct upstream *upstream;
	struct store *store;
	struct watcher *watcher;
	struct fleet *fleet;
	struct quota *quota;
	struct adm *admission;
	struct crashes *crashes;
	struct slim *server_limits;
	struct rbud *retry_budget;
	struct overload *overload;
	struct links *links;
	struct lchk *link_check;
	struct members *members;
	struct cost *cost;
	struct lview *load_view; /**< empty unless overload is managed */
	struct turns *turns;
	struct rollouts *rollouts; /**< NULL: no roll-outs */
	struct copies *copies;	   /**< NULL: no copies of streams */
	const char *zone;
	struct contracts contracts;
	double quota_slack; /**< see struct quota_limit */
	/** Age from which the configuration no longer authenticates keys. */
	int64_t max_config_age_ms;
	GHashTable *sessions; /**< session or program -> struct exch_session */
	struct cds_list_head all; /**< exchanges in progress */
	int64_t stop_at_ms;	  /**< when this instance ends; 0: not known */
};

/** Session affinity: the backend server that ran the last turn. */
struct exch_session {
	char server[64];
	int64_t used_ms;
};

/** Starts to serve a request; the response is sent from the event loop. */
void exch_start(struct exch_shared *shared, struct inbound_request *request);
/** Abandons a request whose caller has closed the connection. */
void exch_caller_disconnected(struct inbound_request *request);
/** Notes that the caller has been sent all there is of its response. */
void exch_caller_drained(struct inbound_request *request);
/** This instance ends at @p ms, of CLOCK_BOOTTIME: refuses what has not been
 * sent to a server and may take longer, now and from now on. */
void exch_stop_at(struct exch_shared *shared, int64_t ms);
/** Removes session affinity that has not been used recently. */
void exch_expire_sessions(struct exch_shared *shared);

#endif
