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
 * agree; one that hears nothing keeps the last word of the others, so its
 * share can grow only by what it was asked for itself.
 */
#ifndef APS_QUOTA_H
#define APS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Shares and buckets of all accounts at one instance. */
struct qta;

/** @param now when the instance started: buckets begin with one request */
struct qta *qta_create(int64_t now);
void qta_destroy(struct qta *qta);

/** A word of another instance begins: what it said before is over. */
void qta_heard(struct qta *qta, const char *instance);
/** Another instance is asked for @p per_s requests a second by @p account. */
void qta_told(struct qta *qta, const char *instance, const char *account,
	      double per_s);
/** Forgets an instance that is known to send nothing any more. */
void qta_forget(struct qta *qta, const char *instance);
/** Says how many instances there are, this one included. */
void qta_instances(struct qta *qta, uint32_t count);

/** The limit of an account. */
struct qta_limit {
	double rate;  /**< requests a second; 0: none */
	double burst; /**< requests beyond the rate */
	double slack; /**< requests that all instances together may be off */
};

/**
 * Takes one request of @p account.
 *
 * A request that comes a little too early is let in a little later: it takes
 * the place of a later one, so the limit holds. Where an account asks for more
 * than its limit, what is left goes to programs under way: a new program is
 * let in only while half of the burst is left, since one that is cut short
 * later has used its quota for nothing.
 *
 * @param begins      it is the first request of a program
 * @param patience_ms how long the request may wait here
 * @param wait_ms     receives how long to wait before it is sent, or, if it
 *                    was refused, before it is worth coming back
 * @return whether it may be sent
 */
bool qta_take(struct qta *qta, const char *account,
	      const struct qta_limit *limit, bool begins, int64_t now,
	      int64_t patience_ms, int64_t *wait_ms);
/** Gives back one request that was taken and has not run. */
void qta_give_back(struct qta *qta, const char *account);

/** Calls @p fn for each account with what this instance is asked for. */
void qta_foreach(struct qta *qta, int64_t now,
		 void (*fn)(const char *account, double per_s, void *arg),
		 void *arg);

#endif
