/**
 * @file rollouts.h
 * @brief Roll-outs of services to another software version.
 *
 * Follows the operators' requests and the states in the store, counts what this
 * instance sees of both versions, reports it to the instances that decide, and
 * decides where this instance is responsible (decide/rollout.h). A state takes
 * effect once it has been read from the store, also at the instance that wrote
 * it.
 */
#ifndef APS_ROLLOUTS_H
#define APS_ROLLOUTS_H

#include <event2/event.h>

#include "decide/fleet.h"
#include "decide/rollout.h"
#include "members.h"
#include "platform/rowstore.h"
#include "watcher.h"

struct rollouts;
struct Rows__RolloutReport;

/** What a roll-out needs of its instance. */
struct rollouts_config {
	struct event_base *base;
	struct store *store;
	struct fleet *fleet;
	struct members *members;
	struct rollout_bounds bounds;
};

struct rollouts *rollouts_create(const struct rollouts_config *config,
				 struct watcher *watcher);
void rollouts_destroy(struct rollouts *rollouts);

/** Which servers a request may be sent to. */
struct rollouts_choice {
	const struct rollouts *rollouts;
	const char *service;
	const char *to; /**< the new version; NULL: no roll-out */
	bool old_version;
	bool new_version;
	bool only_selected; /**< of the new servers */
	bool fell_back;	    /**< from the new version to the old one */
};

/**
 * Chooses the version for a request.
 *
 * @param begun the version that has begun its stream, or NULL
 * @param key   equal for all turns of a program
 */
void rollouts_choose(struct rollouts *rollouts, const char *service,
		     const char *route, uint64_t key, const char *begun,
		     struct rollouts_choice *choice);
/** Chooses the old version if no server of the new one can take the request;
 * returns false if there is no such choice. */
bool rollouts_fall_back(struct rollouts_choice *choice);
/** Whether a server may get the request; @p arg: struct rollouts_choice. */
bool rollouts_is_allowed(void *arg, const struct fleet_server *server);
/** Whether a server may get a request now, whichever one it was chosen for. */
bool rollouts_may_send(struct rollouts *rollouts,
		       const struct fleet_server *server);

/** A request that is at a server. */
struct rollouts_attempt {
	struct rollouts *rollouts; /**< NULL: not registered */
	const struct fleet_server *server;
	const char *route;
	int64_t sent_ms;
	bool is_stream;	  /* its time is counted per event */
	bool was_counted; /* as slow, though it has not ended */
	/** Abandons the request: its version may stop at any time. */
	void (*abandon)(void *arg);
	void *arg;
	GList link;
};

/** Registers an attempt, whose members but the first and last are set. */
void rollouts_on_sent(struct rollouts *rollouts,
		      struct rollouts_attempt *attempt);
/**
 * Counts a response, or a server that is too slow.
 *
 * @param ms     time it took; of a stream, per event
 * @param status 0: no response in time
 * @return whether it counts as evidence
 */
bool rollouts_on_response(struct rollouts_attempt *attempt, int status,
			  double ms);
/** The attempt has ended, in whatever way. */
void rollouts_on_ended(struct rollouts_attempt *attempt);
/** Another instance reports what it has seen. */
void rollouts_on_report(struct rollouts *rollouts,
			const struct Rows__RolloutReport *report);

#endif
