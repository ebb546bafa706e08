/**
 * @file members.h
 * @brief Membership: the other instances, from the store and by probes.
 *
 * Each instance renews a row of its own and reads all rows now and then; a
 * failure detector (decide/live.h) finds those that do not respond. An instance
 * that is quiet and whose row is no longer renewed is considered gone. Probes
 * also carry demand per account, requests suspected of crashing backend servers
 * the rate limits that servers name, and servers that refuse requests. What an
 * instance sends does not grow with the fleet.
 */
#ifndef APS_MEMBERS_H
#define APS_MEMBERS_H

#include <event2/event.h>

#include "decide/load_view.h"
#include "decide/quota.h"
#include "decide/retry_budget.h"
#include "decide/server_limits.h"
#include "decide/suspect.h"
#include "platform/rowstore.h"

struct members;
struct Rows__RolloutReport;

/** Identity of this instance, and callbacks into it. */
struct members_config {
	struct event_base *base;
	struct store *store;
	struct quota *quota;
	struct slim *server_limits;
	struct lview *load_view;
	struct rbud *retry_budget; /**< whose reports are exchanged */
	const char *id;
	const char *zone;
	const char *address; /**< HOST:PORT for datagrams */
	const char *relay;   /**< HOST:PORT for calls to the store, or NULL */
	/** HOST:PORT at which connections are carried for others, or NULL. */
	const char *tunnel;
	/** HOST:PORT at which copies of streams are taken, or NULL. */
	const char *copies;
	uint64_t epoch; /**< higher than that of its earlier starts */
	/** Returns the age of the configuration. */
	int64_t (*config_age_ms)(void *arg);
	/** Whether this instance reaches the backend servers. */
	bool (*reaches_servers)(void *arg);
	/** The limit of that name in the quota, of an account or a server;
	 * returns false if there is none. */
	bool (*find_limit)(void *arg, const char *name,
			   struct quota_limit *limit);
	/** Another instance answered members_send_borrow(). If @p granted is
	 * 0, @p wait_ms says when to ask again, or is 0. */
	void (*on_lend)(void *arg, const char *account, uint32_t granted,
			int64_t wait_ms, uint32_t serial);
	/** Another instance suspects a request of having crashed a server;
	 * returns false if that is known already. */
	bool (*on_suspect)(void *arg, const struct suspect_mark *mark);
	/** Another instance reports what it has seen of a roll-out; or NULL. */
	void (*on_rollout)(void *arg, const struct Rows__RolloutReport *report);
	void *arg;
};

/** Joins the other instances; returns NULL if the address can't be bound. */
struct members *members_create(const struct members_config *config);
void members_destroy(struct members *members);
/**
 * Whether this instance is among those that are cut off, so that others can
 * serve its callers: it has lost contact with most of them, or the store has
 * answered another one since it failed here.
 *
 * @param outage_ms for how long the store has not answered this instance
 */
bool members_is_cut_off(const struct members *members, int64_t outage_ms);
/** Instances that may send requests, this one included. */
uint32_t members_count(const struct members *members);
/** Whether another instance has a fresh configuration. */
bool members_have_fresh_config(const struct members *members);
/** Whether the store has given another instance a configuration since it failed
 * here, @p outage_ms ago. */
bool members_have_newer_config(const struct members *members,
			       int64_t outage_ms);
/** The relay address of an instance that reaches the store, or NULL. */
const char *members_find_relay(const struct members *members);
/** An instance that carries connections to backend servers for others. */
struct members_tunnel {
	char id[64];
	char address[32]; /**< HOST:PORT */
};

/** Selects one of the instances that reach the servers, a different one each
 * time; returns false if there is none. */
bool members_find_tunnel(struct members *members,
			 struct members_tunnel *tunnel);
/** The instance @p id did not carry a connection. */
void members_report_no_tunnel(struct members *members, const char *id);
/** Whether rendezvous hashing assigns @p task to this instance. While the views
 * of the instances differ, two may be responsible, or none. */
bool members_is_responsible(const struct members *members, const char *task);
/**
 * Divides @p units of a resource among all instances by rendezvous hashing.
 *
 * The sum over all instances is @p units as long as their views agree.
 *
 * @return the units of this instance; 0 until the instances are known
 */
uint32_t members_share_of(const struct members *members, const char *resource,
			  uint32_t units);
/** Reports to the others a request that may have crashed a server. */
void members_report_suspect(struct members *members,
			    const struct suspect_mark *mark);
/** Reports to the others what @p server has said about its rate limit. */
void members_report_limit(struct members *members, const char *server);
/** Asks @p instance to lend requests of the quota of an account, or of a
 * server's limit; @p account is its name in the quota. */
void members_send_borrow(struct members *members, const char *instance,
			 const char *account, uint32_t wanted, bool begins,
			 uint32_t serial);
/** An instance did not answer members_send_borrow(). */
void members_report_unanswered(struct members *members, const char *instance);
/**
 * Sends a report to the first instances in rendezvous hashing for @p task; its
 * sender is filled in.
 *
 * @return whether this instance is one of them
 */
bool members_send_rollout(struct members *members, const char *task,
			  struct Rows__RolloutReport *report);
/** Calls @p fn for each other instance; @p responds: it is not silent, nor
 * gone. */
void members_foreach(const struct members *members,
		     void (*fn)(void *arg, const char *id, bool responds),
		     void *arg);
/** Another instance that takes copies of streams. */
struct members_peer {
	const char *id;
	const char *zone;
	const char *copies; /**< HOST:PORT */
	uint64_t hash;	    /**< of its id */
	bool responds;	    /**< and does not shut down */
};

/** Calls @p fn for each other instance that takes copies of streams and is not
 * gone. */
void members_foreach_peer(const struct members *members,
			  void (*fn)(void *arg,
				     const struct members_peer *peer),
			  void *arg);
/** Whether the other instances are known: their rows have been read. */
bool members_are_known(const struct members *members);
/** Announces that this instance shuts down. */
void members_leave(struct members *members);

#endif
