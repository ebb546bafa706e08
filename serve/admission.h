/**
 * @file admission.h
 * @brief Lets requests in by the quota of their account.
 *
 * A request for which there is no token here waits a moment: for the next
 * token, or for one that another instance lends. Waiting requests of an
 * account go in order, those of programs under way before those that begin
 * one.
 */
#ifndef APS_ADMISSION_H
#define APS_ADMISSION_H

#include <event2/event.h>

#include "decide/quota.h"
#include "members.h"

struct adm;
/** A request that waits. */
struct adm_waiter;

/** Told once: the request may be sent, or is refused for @p wait_ms. */
typedef void adm_callback(void *arg, bool admitted, int64_t wait_ms);

struct adm *adm_create(struct event_base *base, struct qta *quota);
void adm_destroy(struct adm *adm);
/** Sets whom to borrow from. */
void adm_set_members(struct adm *adm, struct members *members);

/**
 * Asks for a request of @p account.
 *
 * @param begins the request begins a program
 * @return NULL if @p decided was called already; otherwise the wait, which
 *         ends with that call or with adm_cancel()
 */
struct adm_waiter *adm_acquire(struct adm *adm, const char *account,
			       const struct qta_limit *limit, bool begins,
			       int64_t patience_ms, adm_callback *decided,
			       void *arg);
/** The request has left. */
void adm_cancel(struct adm_waiter *wait);
/** Another instance has lent @p granted requests; or none, and those who wait
 * have a chance after @p wait_ms, if that is not 0. */
void adm_loan_received(struct adm *adm, const char *account, uint32_t granted,
		       int64_t wait_ms, uint32_t serial);

#endif
