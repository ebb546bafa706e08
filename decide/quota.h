/**
 * @file quota.h
 * @brief Distributed rate limits over all instances: of client accounts, and of
 * backend servers that name one (see server_limits.h).
 *
 * The load it must handle: one account sends many times its rate through all
 * instances, unevenly, while instances join, leave and lose contact.
 *
 * Each instance has a token bucket with a share of the account's rate and
 * burst. Shares are proportional to demand: instances report their demand to
 * each other, and each takes its part of the total. The shares of all instances
 * sum to one as long as their views agree. An instance whose bucket is empty
 * borrows from another: tokens are deducted at the lender before they are sent,
 * so a lost message loses tokens and never creates any. Where the limit is too
 * small to be divided, and in large fleets, most of it is at one instance, the
 * account's home, from which the others borrow. An instance that receives no
 * reports keeps the last ones, so its share grows only with its own demand.
 */
#ifndef APS_QUOTA_H
#define APS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Shares and buckets of all accounts at one instance. */
struct quota;

/**
 * @param id  name of this instance
 * @param now its start time; each bucket then had one token
 */
struct quota *quota_create(const char *id, int64_t now);
void quota_destroy(struct quota *quota);

/** Adds an instance that responds: it may be the home of accounts. */
void quota_add_instance(struct quota *quota, const char *instance);
/** Begins a report of another instance, which replaces its last one. */
void quota_report_begin(struct quota *quota, const char *instance);
/** Records that another instance has a demand of @p per_s requests a second
 * for @p account, and @p tokens to spare. */
void quota_report_demand(struct quota *quota, const char *instance,
			 const char *account, double per_s, double tokens,
			 int64_t now);
/** Marks an instance that does not respond: it is no account's home. */
void quota_mark_silent(struct quota *quota, const char *instance);
/** Removes an instance that is known to send no more requests. */
void quota_remove_instance(struct quota *quota, const char *instance);
/** Sets the number of instances, including this one. */
void quota_set_instances(struct quota *quota, uint32_t count);

/** Confirms that this instance is in contact with the others. It may act as a
 * home until shortly after, so not when it resumes after a pause. */
void quota_confirm_contact(struct quota *quota, int64_t now);
/** This instance has started, and its last start was long ago: where it acts as
 * home, it may start with some tokens, as the others' burst is spent by now. */
void quota_allow_restart_credit(struct quota *quota);
/** Whether this instance was in contact with the others until now. */
bool quota_has_contact(const struct quota *quota, int64_t now);
/** Whether limits are divided by demand, so that reports are needed. */
bool quota_divides_limits(const struct quota *quota);

/** Adds one request of @p account to the demand. */
void quota_add_demand(struct quota *quota, const char *account, int64_t now);

/** The limit of an account. */
struct quota_limit {
	double rate;  /**< requests a second; 0: no limit */
	double burst; /**< requests beyond the rate */
	double slack; /**< excess allowed over all instances, in requests */
	/** All of it is always at the home, which needs only a majority of the
	 * instances: whoever lacks contact with it can do without. */
	bool undivided;
};

/**
 * Takes a token for one request of @p account.
 *
 * Programs in progress have priority: a new program is admitted only while half
 * of the burst is left, since one that is refused midway has wasted its quota.
 *
 * @param new_program      the request is the first of its program
 * @param wait_ms     receives the time until a token is available, if none is
 * @return whether the request may be sent
 */
bool quota_take(struct quota *quota, const char *account,
		const struct quota_limit *limit, bool new_program, int64_t now,
		int64_t *wait_ms);
/** Returns the time in which this instance's bucket gains one token, in ms. */
double quota_interval_ms(struct quota *quota, const char *account,
			 const struct quota_limit *limit);
/** Returns the instance to borrow from, or NULL: the account's home or those
 * that come next, if it has one; or the instance with the most spare tokens,
 * less those borrowed since its last report. Instances in @p asked are left
 * out. */
const char *quota_pick_lender(struct quota *quota, const char *account,
			      const struct quota_limit *limit,
			      const GPtrArray *asked);
/** Whether the tokens of @p account are at another instance, so that a shortage
 * here does not mean that the account has used up its limit. */
bool quota_is_elsewhere(struct quota *quota, const char *account,
			const struct quota_limit *limit);
/**
 * Takes up to @p wanted tokens out of the bucket for another instance.
 *
 * @param new_program  the tokens are for new programs, as with quota_take()
 * @param wait_ms receives the time until the next attempt, if nothing is
 * granted and this is the account's home, with the common backlog; otherwise 0
 */
uint32_t quota_lend(struct quota *quota, const char *account,
		    const struct quota_limit *limit, uint32_t wanted,
		    bool new_program, int64_t now, int64_t *wait_ms);
/** Adds tokens that another instance has lent. */
void quota_add_borrowed(struct quota *quota, const char *account,
			uint32_t count, int64_t now);
/** Returns the token of a request that has not run. */
void quota_refund(struct quota *quota, const char *account);

/** State of an account after the last decision, for the logs. */
struct quota_view {
	double tokens; /**< in the bucket, without borrowed ones */
	double share;  /**< this instance's share of rate and burst */
	double demand; /**< at this instance, in requests a second */
	uint32_t instances;
	bool home; /**< this instance is the account's home */
};

/** Frees the state of a limit that is not used any more. */
void quota_forget(struct quota *quota, const char *account);

/** Copies the state of an account to @p view. */
void quota_inspect(const struct quota *quota, const char *account,
		   struct quota_view *view);

/** Receives the demand for an account at this instance, in requests a second,
 * and the tokens that it has to spare. */
typedef void quota_demand_fn(const char *account, double per_s, double tokens,
			     void *arg);
/** Calls @p fn for each account. */
void quota_foreach(struct quota *quota, int64_t now, quota_demand_fn *fn,
		   void *arg);

#endif
