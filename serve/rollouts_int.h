/**
 * @file rollouts_int.h
 * @brief Internal interface between the rollouts*.c files.
 *
 * rollouts.c follows the rows and answers which version may be used;
 * rollouts_decide.c exchanges counts and decides.
 */
#ifndef APS_ROLLOUTS_INT_H
#define APS_ROLLOUTS_INT_H

#include "follow.h"
#include "proto/rows.pb-c.h"
#include "rollouts.h"

#define ROLLOUTS_TABLE "aps-rollouts"

/** What this instance has counted on a route; old and new version. */
struct rollouts_counts {
	struct rollout_counts by_version[2];
	bool changed[2]; /**< since the last report */
};

/** Evidence that the instances that may decide collect. */
struct rollouts_deciding {
	struct rollout_test *test;
	GHashTable *sources; /**< instance -> struct rollouts_source */
	int64_t since_ms;
	int64_t used_ms;	 /**< last own report */
	int64_t cutover_seen_ms; /**< 0: not seen by any instance */
};

/** A service that is, or was, rolled out. */
struct rollouts_service {
	struct rollouts *rollouts;
	char *name;
	/* The operators' request. */
	bool requested;
	bool seen;	     /**< by the present read of the requests */
	int64_t row_version; /**< of its row, for conditions */
	int64_t request;     /**< version of its last readable row */
	char to[64];
	int64_t duration_ms;
	int64_t noticed_ms;	  /**< by our clock */
	int64_t noticed_store_ms; /**< by the store's clock; 0: unknown */
	bool is_change; /**< it was written while this instance watched */
	/* The state. */
	bool has_state;
	bool state_seen;       /**< by the present read */
	int64_t state_version; /**< of its row; 0: none */
	uint32_t next_route;   /**< first one of the next report of counts */
	bool state_unreadable; /**< it is a later build's; nothing is decided */
	int64_t state_request; /**< the request that it belongs to */
	char state_to[64];
	struct rollout_state state;
	int64_t state_since_ms; /**< when this instance first saw it */
	/* Counts of this instance. */
	GHashTable *counts; /**< route -> struct rollouts_counts */
	uint64_t sent[2];
	int64_t longest_ms;
	uint32_t reports;
	uint64_t reported; /**< hash of the last report but its counts */
	struct rollouts_deciding *deciding; /**< NULL: not this instance */
	struct store_call *call;
	GHashTable
		*selected_servers; /**< ids of new servers that get requests */
};

struct rollouts {
	struct rollouts_config config;
	struct follow *follow; /**< NULL: no roll-out is going on */
	GHashTable *services;  /**< name -> struct rollouts_service */
	GQueue attempts;       /**< of struct rollouts_attempt */
	struct event *timer;
	uint32_t ticks;
};

/** Returns the state that belongs to the present request, or NULL. */
const struct rollout_state *
rollouts_state(const struct rollouts_service *service);
/** Whether a roll-out is going on. */
bool rollouts_is_active(const struct rollouts_service *service);
struct rollout_permit rollouts_permit(const struct rollouts_service *service);
/** Whether a server has the new version. */
bool rollouts_is_new(const struct rollouts_service *service,
		     const struct fleet_server *server);
/** Reports the counts, and decides if this instance is responsible. */
void rollouts_report(struct rollouts_service *service);
void rollouts_decide(struct rollouts_service *service);
void rollouts_clear_deciding(struct rollouts_service *service);

#endif
