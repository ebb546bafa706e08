/**
 * @file server_limits.h
 * @brief Rate limits that backend servers name in their responses.
 *
 * A server in need names the requests a second that it takes from all instances
 * together, in each response for as long as the limit holds. A response without
 * it ends the limit only if its request was sent after the limit was last
 * named: responses on several connections may overtake each other.
 *
 * The load it must handle: hundreds of instances, none of which sends much to a
 * server that takes two or three requests a second. Instances tell each other
 * what servers have said, and take a token of the server's quota (quota.h) for
 * each request that they send it.
 */
#ifndef APS_SERVER_LIMITS_H
#define APS_SERVER_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "quota.h"

/** The limits of all servers, as far as this instance knows them. */
struct slim;

/** What is known of a server's limit. */
struct slim_limit {
	bool named;	  /**< false: the server names none any more */
	double per_s;	  /**< requests a second, of all instances */
	int64_t as_of_ms; /**< when the server said so */
};

struct slim *slim_create(void);
void slim_destroy(struct slim *slim);

/**
 * Handles a response that names @p per_s requests a second.
 *
 * @return whether that is news
 */
bool slim_on_named(struct slim *slim, const char *server, double per_s,
		   int64_t now);
/**
 * Handles a response that names no limit.
 *
 * @param sent_ms when its request was sent
 * @return whether that is news
 */
bool slim_on_unnamed(struct slim *slim, const char *server, int64_t sent_ms);
/** Handles what another instance knows; returns whether that is news. */
bool slim_on_report(struct slim *slim, const char *server,
		    const struct slim_limit *report);
/** Returns false if the server has never named a limit. */
bool slim_get(const struct slim *slim, const char *server,
	      struct slim_limit *limit);

/** There is no token for the server until @p until_ms. */
void slim_block(struct slim *slim, const char *server, int64_t until_ms);
/** Returns how long there is no token for the server, in ms; 0: there may be
 * one, or the server names no limit. */
int64_t slim_wait_ms(const struct slim *slim, const char *server, int64_t now);

/** Returns the name of the server's limit in the quota, which is no account's;
 * g_free() it. */
char *slim_quota_name(const char *server);
/** Returns the server of a limit of that name, or NULL if it is an account. */
const char *slim_quota_server(const char *name);
/** Sets @p quota to the limit that instances keep to together. */
void slim_quota_limit(const struct slim_limit *limit,
		      struct quota_limit *quota);

/** Calls @p fn for each server about which nothing was said since @p since_ms;
 * forgets its limit if @p fn returns true. */
void slim_expire(struct slim *slim, int64_t since_ms,
		 bool (*fn)(void *arg, const char *server), void *arg);

#endif
