/**
 * @file admission.h
 * @brief Admits requests by the quota of their account.
 *
 * A request for which there is no token here waits a short time: for the next
 * token, or for one that another instance lends. Requests of an account are
 * queued in order, those of running programs before those that begin one.
 */
#ifndef APS_ADMISSION_H
#define APS_ADMISSION_H

#include <event2/event.h>

#include "decide/quota.h"
#include "members.h"

struct adm;
/** A request that waits for quota. */
struct adm_waiter;

/** Whether a request may be sent. */
enum adm_result {
	ADM_ADMITTED,
	ADM_OVER_LIMIT, /**< the account has used up its limit */
	ADM_NO_CONTACT, /**< the instance that has its tokens does not answer */
};

/** Called once; if the request is refused, @p wait_ms is the time after which
 * the caller should retry. */
typedef void adm_callback(void *arg, enum adm_result result, int64_t wait_ms);

struct adm *adm_create(struct event_base *base, struct quota *quota);
void adm_destroy(struct adm *adm);
/** Sets the instances to borrow from. */
void adm_set_members(struct adm *adm, struct members *members);

/**
 * Takes one request from the quota of @p account.
 *
 * @param begins      the request begins a program
 * @param max_wait_ms how long the request may wait
 * @return NULL if @p callback was called already; otherwise the waiter, valid
 *         until that call or adm_cancel()
 */
struct adm_waiter *adm_acquire(struct adm *adm, const char *account,
			       const struct quota_limit *limit, bool begins,
			       int64_t max_wait_ms, adm_callback *callback,
			       void *arg);
/** Removes a request whose caller has disconnected from the queue. */
void adm_cancel(struct adm_waiter *waiter);
/** Frees the queue of an account that is not used any more, unless requests
 * wait in it. */
void adm_forget(struct adm *adm, const char *account);
/** Another instance has lent @p granted requests. If that is 0, @p wait_ms says
 * when it may lend again, or is 0. */
void adm_on_lend(struct adm *adm, const char *account, uint32_t granted,
		 int64_t wait_ms, uint32_t serial);

#endif
