/**
 * @file quota.h
 * @brief Rate and burst of an account, shared by all instances.
 *
 * Load that it answers: one account sends many times its rate through all
 * instances, unevenly, while instances come, go and lose each other.
 *
 * Each instance runs a bucket that holds a share of the account's rate and
 * burst. Shares follow demand: an instance knows what each other one is asked
 * for by its last word, and takes that part of the whole which it is asked
 * for itself. The shares of all instances sum to one as long as their views
 * agree. Where a bucket is empty, another instance lends out of its own: the
 * tokens leave there before they arrive here, so a lost message costs tokens
 * and never makes any. The less there is for each instance, the more of it lies
 * at one of them, the account's home, which the others borrow from. An instance
 * that hears nothing keeps the last word of the others, so its share can grow
 * only by what it was asked for itself.
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
 * @param now when it started: buckets begin with one request
 */
struct quota *quota_create(const char *id, int64_t now);
void quota_destroy(struct quota *quota);

/** A word of another instance begins: what it said before is over. */
void quota_report_begin(struct quota *quota, const char *instance);
/** Another instance is asked for @p per_s requests a second by @p account, and
 * could send @p tokens at once. */
void quota_report_demand(struct quota *quota, const char *instance,
			 const char *account, double per_s, double tokens,
			 int64_t now);
/** An instance is not heard at present: it is no account's home. */
void quota_mark_silent(struct quota *quota, const char *instance);
/** Forgets an instance that is known to send nothing any more. */
void quota_remove_instance(struct quota *quota, const char *instance);
/** Says how many instances there are, this one included. */
void quota_set_instances(struct quota *quota, uint32_t count);

/** A caller asks for one request of @p account: this is its demand. */
void quota_add_demand(struct quota *quota, const char *account, int64_t now);

/** The limit of an account. */
struct quota_limit {
	double rate;  /**< requests a second; 0: none */
	double burst; /**< requests beyond the rate */
	double slack; /**< requests that all instances together may be off */
};

/**
 * Takes one request of @p account.
 *
 * Where an account asks for more
 * than its limit, what is left goes to programs under way: a new program is
 * let in only while half of the burst is left, since one that is cut short
 * later has used its quota for nothing.
 *
 * @param begins      it is the first request of a program
 * @param wait_ms     receives when there will be a token, if there is none
 * @return whether it may be sent
 */
bool quota_take(struct quota *quota, const char *account,
		const struct quota_limit *limit, bool begins, int64_t now,
		int64_t *wait_ms);
/** The time between two tokens of ours, in ms. */
double quota_interval_ms(struct quota *quota, const char *account,
			 const struct quota_limit *limit);
/** The instance to borrow from for @p account, or NULL: its home, if the limit
 * has one, or the one that has most; what it has
 * counts as lent until its next word. @p asked are left out. */
const char *quota_pick_lender(struct quota *quota, const char *account,
			      const struct quota_limit *limit,
			      const GPtrArray *asked);
/**
 * Takes up to @p wanted requests out of the bucket for another instance.
 *
 * @param begins  they begin programs, as with quota_take()
 * @param wait_ms receives when to ask again if nothing is granted at the home
 *                of the account, where all wait in one line; otherwise 0
 */
uint32_t quota_lend(struct quota *quota, const char *account,
		    const struct quota_limit *limit, uint32_t wanted,
		    bool begins, int64_t now, int64_t *wait_ms);
/** Puts requests in that another instance has lent. */
void quota_add_borrowed(struct quota *quota, const char *account,
			uint32_t count, int64_t now);
/** Gives back one request that was taken and has not run. */
void quota_refund(struct quota *quota, const char *account);

/** What the last decision about an account rested on. */
struct quota_view {
	double tokens; /**< at hand, without those lent by others */
	double share;  /**< the part of rate and burst that is ours */
	double demand; /**< requests a second asked of this instance */
	uint32_t instances;
	bool home; /**< nearly all of the limit lies here */
};

/** Looks at an account without changing anything. */
void quota_inspect(const struct quota *quota, const char *account,
		   struct quota_view *view);

/** Takes the word on one account: what this instance is asked for, and what
 * it could send at once. */
typedef void quota_demand_fn(const char *account, double per_s, double tokens,
			     void *arg);
/** Calls @p fn for each account. */
void quota_foreach(struct quota *quota, int64_t now, quota_demand_fn *fn,
		   void *arg);

#endif
