/**
 * @file members.h
 * @brief The other instances: found in the store, heard by datagrams.
 *
 * Each instance renews a row of its own and reads all rows; an instance whose
 * row does not change for long and that is not heard is gone. Datagrams carry
 * what changes fast: demands of accounts, and marks on requests that break
 * backend servers.
 */
#ifndef APS_MEMBERS_H
#define APS_MEMBERS_H

#include <event2/event.h>

#include "decide/quota.h"
#include "platform/rowstore.h"

struct members;

/** What members needs of the instance. */
struct members_config {
	struct event_base *base;
	struct rst *store;
	struct qta *quota;
	const char *id;
	const char *zone;
	const char *address; /**< HOST:PORT for datagrams */
	const char *relay;   /**< HOST:PORT for calls to the store, or NULL */
	uint64_t incarnation;
	/** Age of the configuration, in ms. */
	int64_t (*config_age)(void *arg);
	/** The limit of an account; returns false if there is none. */
	bool (*limit)(void *arg, const char *account, struct qta_limit *limit);
	/** What was asked of another instance has come; @p granted may be 0,
	 * then
	 * @p wait_ms says when to ask again, or is 0. */
	void (*lent)(void *arg, const char *account, uint32_t granted,
		     int64_t wait_ms, uint32_t serial);
	/** A request with that fingerprint was running when @p server broke. */
	void (*marked)(void *arg, uint64_t fingerprint, const char *server);
	void *arg;
};

/** Begins; returns NULL if the address can't be bound. */
struct members *members_create(const struct members_config *config);
void members_destroy(struct members *members);
/** Instances that may send requests, this one included. */
uint32_t members_count(const struct members *members);
/** Whether another instance has a fresh configuration. */
bool members_have_fresh_config(const struct members *members);
/** The address of an instance that reaches the store, or NULL. */
const char *members_find_relay(const struct members *members);
/** Whether a task that one instance has to do falls to this one. While views
 * differ two may do it, or none. */
bool members_is_responsible(const struct members *members, const char *task);
/** Tells the others of a mark. */
void members_broadcast_mark(struct members *members, uint64_t fingerprint,
			    const char *server);
/** Asks @p instance for requests of an account's quota. */
void members_send_borrow(struct members *members, const char *instance,
			 const char *account, uint32_t wanted, bool begins,
			 uint32_t serial);
/** Tells the others that this instance stops. */
void members_leave(struct members *members);

#endif
