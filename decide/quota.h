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

/**
 * Takes one request of @p account.
 *
 * @param rate    of the account, in requests a second; 0: no limit
 * @param burst   of the account
 * @param wait_ms receives how long to wait, if it was refused
 * @return whether the request may be sent
 */
bool qta_take(struct qta *qta, const char *account, double rate, double burst,
	      int64_t now, int64_t *wait_ms);
/** Gives back one request that was taken and has not run. */
void qta_give_back(struct qta *qta, const char *account);

/** Calls @p fn for each account with what this instance is asked for. */
void qta_foreach(struct qta *qta, int64_t now,
		 void (*fn)(const char *account, double per_s, void *arg),
		 void *arg);

#endif
