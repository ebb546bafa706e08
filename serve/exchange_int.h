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
#include "exchange.h"
#include "sse_splitter.h"
#include "stats.h"

/** One request. */
struct exch {
	struct exch_shared *shared;
	struct in_request *request;
	struct call call;
	struct cat *cat;
	const struct cat_route *route;
	const struct cat_account *account; /* NULL on open routes */
	const struct cat_service *service;
	int64_t began;
	int64_t deadline_at;
	struct adm_waiter *admission; /* it waits for its quota */
	bool admitted;		      /* it has taken from its quota */
	uint64_t fingerprint;
	GBytes *body; /* as it goes to the server */

	struct turns_turn *turn;
	bool granted;

	struct rty_state state;
	GPtrArray *tried; /* ids of servers */
	struct flt_server *server;
	struct upstream_call *upstream;
	struct answer answer;
	int64_t sent_at;
	int64_t paced_from;    /* its first event */
	uint32_t paced_events; /* and how many came after it */
	bool reading;	       /* the head of the present answer has come */
	bool misfit; /* it does not go on where the one before broke off */

	int status;
	GString *headers;
	GByteArray *held; /* body, or events that are not granted yet */
	bool streaming;
	struct splitter *events;
	GString *output; /* data of all events, for turns that are kept */
	int64_t last_event;
	uint64_t used;
	bool ended; /* the server's answer is whole */
	bool first_seen;

	struct event *deadline;
	struct event *pause; /* a look for a place, or a silent server */
};

/** The name of the caller's account, or "". */
const char *exch_account_name(const struct exch *x);
/** Ends the send under way, if there is one. */
void exch_cancel_upstream(struct exch *x);
/** Frees a request; its answer has been given or there is nobody to take it.
 */
void exch_free(struct exch *x);
/** Logs how a request ended. */
void exch_log_end(struct exch *x, const char *outcome, int status);
/** Answers without a server's answer; @p x is gone afterwards. */
void exch_reply_error(struct exch *x, int status, const char *cause,
		      int64_t wait_ms);
/** Refuses a request that has not run; @p x is gone afterwards. */
void exch_refuse(struct exch *x, enum sts_counter counter, int status,
		 const char *cause, int64_t wait_ms);
/** Says that a request may have run, or breaks its answer off. */
void exch_fail(struct exch *x, const char *cause, int status);
/** Sets a timer. */
void exch_set_timer(struct event *timer, int64_t ms);

/** Finds a backend server and sends the request, or answers it. */
void exch_send(struct exch *x);
/** The send under way ended without a whole answer. */
void exch_attempt_failed(struct exch *x, enum rty_end end, const char *cause);
/** The tokens of the turn may be handed out. */
void exch_on_tokens_granted(void *arg);
/** The turn is durable. */
void exch_on_turn_committed(void *arg);

#endif
