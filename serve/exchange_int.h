/**
 * @file exchange_int.h
 * @brief What the files of an exchange share; nobody else includes it.
 *
 * exchange.c lets a request in and ends it; exchange_send.c finds a backend
 * server for it and passes the answer on.
 */
#ifndef APS_EXCHANGE_INT_H
#define APS_EXCHANGE_INT_H

#include "call.h"
#include "decide/retry.h"
#include "events.h"
#include "exchange.h"
#include "stats.h"

/** One request. */
struct xch {
	struct xch_shared *shared;
	struct inbound_request *request;
	struct call call;
	struct cat *cat;
	const struct cat_route *route;
	const struct cat_account *account; /* NULL on open routes */
	const struct cat_service *service;
	int64_t began;
	int64_t deadline_at;
	struct adm_wait *admission; /* it waits for its quota */
	bool admitted;		    /* it has taken from its quota */
	uint64_t fingerprint;
	GBytes *body; /* as it goes to the server */

	struct trn_turn *turn;
	bool granted;

	struct rty_state state;
	GPtrArray *tried; /* ids of servers */
	struct flt_server *server;
	struct up_call *up;
	struct response response;
	int64_t sent_at;
	int64_t paced_from;    /* its first event */
	uint32_t paced_events; /* and how many came after it */
	bool reading;	       /* the head of the present answer has come */
	bool misfit; /* it does not go on where the one before broke off */

	int status;
	GString *headers;
	GByteArray *held; /* body, or events that are not granted yet */
	bool streaming;
	struct evt_splitter *events;
	GString *output; /* data of all events, for turns that are kept */
	int64_t last_event_id;
	uint64_t used;
	bool ended; /* the server's answer is whole */
	bool first_seen;

	struct event *deadline;
	struct event *pause; /* a look for a place, or a silent server */
};

/** The name of the caller's account, or "". */
const char *xch_account_name(const struct xch *x);
/** Ends the send under way, if there is one. */
void xch_drop_upstream(struct xch *x);
/** Frees a request; its answer has been given or there is nobody to take it.
 */
void xch_free(struct xch *x);
/** Logs how a request ended. */
void xch_log_end(struct xch *x, const char *outcome, int status);
/** Answers without a server's answer; @p x is gone afterwards. */
void xch_reply_own(struct xch *x, int status, const char *cause,
		   int64_t wait_ms);
/** Refuses a request that has not run; @p x is gone afterwards. */
void xch_refuse(struct xch *x, enum stats_counter counter, int status,
		const char *cause, int64_t wait_ms);
/** Says that a request may have run, or breaks its answer off. */
void xch_fail(struct xch *x, const char *cause, int status);
/** Sets a timer. */
void xch_set_timer(struct event *timer, int64_t ms);

/** Finds a backend server and sends the request, or answers it. */
void xch_place(struct xch *x);
/** The send under way ended without a whole answer. */
void xch_no_answer(struct xch *x, enum rty_end end, const char *cause);
/** The tokens of the turn may be handed out. */
void xch_granted(void *arg);
/** The turn is durable. */
void xch_kept(void *arg);

#endif
