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

struct mbr;

/** What members needs of the instance. */
struct mbr_config {
	struct event_base *base;
	struct store *store;
	struct quota *quota;
	const char *id;
	const char *zone;
	const char *address; /**< HOST:PORT for datagrams */
	const char *relay;   /**< HOST:PORT for calls to the store, or NULL */
	uint64_t incarnation;
	/** Age of the configuration, in ms. */
	int64_t (*config_age)(void *arg);
	/** The limit of an account; returns false if there is none. */
	bool (*limit)(void *arg, const char *account,
		      struct quota_limit *limit);
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
struct mbr *mbr_create(const struct mbr_config *config);
void mbr_destroy(struct mbr *mbr);
/** Instances that may send requests, this one included. */
uint32_t mbr_count(const struct mbr *mbr);
/** Whether another instance has a fresh configuration. */
bool mbr_others_fresh(const struct mbr *mbr);
/** The address of an instance that reaches the store, or NULL. */
const char *mbr_relay(const struct mbr *mbr);
/** Whether a task that one instance has to do falls to this one. While views
 * differ two may do it, or none. */
bool mbr_is_first(const struct mbr *mbr, const char *task);
/** Tells the others of a mark. */
void mbr_mark(struct mbr *mbr, uint64_t fingerprint, const char *server);
/** Asks @p instance for requests of an account's quota. */
void mbr_borrow(struct mbr *mbr, const char *instance, const char *account,
		uint32_t wanted, bool begins, uint32_t serial);
/** Tells the others that this instance stops. */
void mbr_leave(struct mbr *mbr);

#endif
