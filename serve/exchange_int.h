/**
 * @file exchange_int.h
 * @brief Internal interface between the exchange*.c files.
 *
 * exchange.c authenticates and admits a request and ends it, exchange_resume.c
 * finds out what its caller has of a stream, exchange_admit.c
 * decides whether it starts while servers are overloaded, exchange_pick.c
 * selects a backend server for it, exchange_limit.c keeps to the rate limit of
 * that server, exchange_refusal.c records servers that refuse requests,
 * exchange_send.c sends it there and relays the response, exchange_body.c
 * writes the history before its input, exchange_retry.c
 * decides what becomes of it without a server or an answer,
 * exchange_outage.c lets it wait for a current configuration or contact, and
 * exchange_stop.c decides what is still served while the instance shuts down.
 */
#ifndef APS_EXCHANGE_INT_H
#define APS_EXCHANGE_INT_H

#include "call.h"
#include "copies.h"
#include "decide/retry.h"
#include "exchange.h"
#include "sse_splitter.h"
#include "stats.h"

enum {
	/** Timeout of a request if neither caller nor route sets one, in ms. */
	EXCH_DEFAULT_TIMEOUT_MS = 30000,
};

/** One request. */
struct exch {
	struct cds_list_head node; /* in exch_shared.all */
	struct exch_shared *shared;
	struct mem_holder held;
	struct inbound_request *request;
	struct call call;
	struct catalog *catalog;
	const struct cat_route *route;
	const struct cat_account *account; /* NULL on open routes */
	const struct cat_service *service;
	int64_t started_ms;
	int64_t deadline_at_ms;
	struct adm_waiter *waiter; /* set while it waits for quota */
	bool quota_taken;
	bool awaits_admission; /* until servers are less loaded */
	int64_t admission_ms; /* when exch_admit() was first called; 0: never */
	struct adm_waiter *server_waiter; /* for the rate limit of a server */
	struct fleet_server *awaited_server;
	int64_t limit_wait_ms;	 /* until a server at its limit may get it */
	int64_t refusal_wait_ms; /* until a refusing server may get it */
	uint64_t fingerprint;
	bool is_trial; /* refused, but it may run once more */
	GBytes *body;  /* as the caller sent it */

	struct turns_turn *turn;
	bool tokens_granted;  /* output may be passed to the caller */
	char *version;	      /* that began the stream; NULL: none yet */
	bool storing_version; /* no output is passed to the caller until then */
	struct turns_search *search; /* for the version of a resumed stream */
	struct copies_search *copy_search; /* for what its caller has of it */
	struct copies_stream *copy;	   /* of what is passed on, or NULL */
	/* See struct scopy_name; of a stream that its caller takes up. */
	struct scopy_id copy_first;
	uint32_t copy_generation;

	struct rollouts_attempt attempt; /* at @ref server */
	struct retry_state retry;
	GPtrArray *tried_servers;	/* ids */
	GPtrArray *interrupted_servers; /* of these, where it may have run */
	struct fleet_server *server;
	GArray *used_conns; /* see upstream_request */
	struct upstream_call *upstream;
	struct turns_reader *reader; /* of the history being sent, or NULL */
	char *tunnel;	  /* instance that carries the attempt; NULL: none */
	bool link_failed; /* a server could not be connected to directly */
	struct response response;
	struct cost_run *cost_run; /* of the attempt, or NULL */
	uint64_t attempt_tokens;   /* received in the attempt */
	int64_t sent_ms;
	int64_t first_event_ms;	 /* of the current attempt */
	uint32_t later_events;	 /* events after the first one */
	int64_t events_received; /* of all attempts */
	uint64_t unusable_bytes; /* of a response that is not relayed */
	bool head_received;	 /* of the current attempt */
	bool usable; /* the current attempt's response is the caller's */

	int status;
	GString *headers;
	GByteArray *buffered; /* body, or events not yet passed on */
	bool streaming;
	struct splitter *splitter;
	GString *turn_output; /* data of all events, for the history */
	GBytes *turn_text;    /* input and output, once it is complete */
	/* The last event of the stream, of all attempts, those of its caller
	 * included; -1: none. */
	int64_t received_event_id;
	uint64_t tokens_used;
	bool upstream_complete; /* the server's response is complete */
	bool first_event_seen;

	/* Ends of the times by which the timers were put off; 0: not yet. */
	int64_t overtime_until_ms; /* of the deadline */
	int64_t silence_until_ms;
	struct event *deadline_timer;
	struct event *timer; /* next server selection, or a silent server */

	/* While it waits for a current configuration, or for contact with the
	 * instance that has its quota; NULL if it never did. */
	struct event *config_timer;
	int64_t config_wait_until_ms;
	bool awaits_contact;
	uint32_t contact_waits;
};

/** Returns the name of the caller's account, or "". */
const char *exch_account_name(const struct exch *x);
/** Whether the deployment asks for placement by work and for admission under
 * overload. */
bool exch_manages_overload(const struct exch *x);
/** Returns the length of the body as sent to a backend server: the history of
 * the turn and what the caller sent. */
uint64_t exch_body_size(const struct exch *x);
/** Begins to write a body with a history to the server. */
void exch_write_body(struct exch *x);
/** Writes the next pieces of the body. */
void exch_continue_body(void *arg);
/** Cancels the attempt in progress, if any. */
void exch_cancel_upstream(struct exch *x);
/** Frees an exchange that has been answered or abandoned by its caller. */
void exch_free(struct exch *x);
/** Forgets the response of an attempt that has failed, but for what goes to the
 * caller all the same. */
void exch_drop_response(struct exch *x);
/** Updates how much memory the request holds. */
void exch_note_memory(struct exch *x);
/** Logs how a request ended. */
void exch_log_end(struct exch *x, const char *outcome, int status);
/** Answers with an error of this instance; frees @p x. */
void exch_reply_error(struct exch *x, int status, const char *cause,
		      int64_t wait_ms);
/** Refuses a request that has not run and returns its quota; frees @p x. */
void exch_refuse(struct exch *x, enum stats_counter counter, int status,
		 const char *cause, int64_t wait_ms);
/** Reports that a request may have run, or truncates a response that has begun;
 * frees @p x. */
void exch_fail(struct exch *x, const char *cause, int status);
/** For how long a stream may be taken up, also after versions have changed, in
 * ms. */
int64_t exch_version_window_ms(const struct exch *x);
/** Arms @p timer to fire in @p ms milliseconds. */
void exch_set_timer(struct event *timer, int64_t ms);

/** Allocates what the request holds while it is served, if it has not. */
void exch_hold(struct exch *x);
/** Authenticates and starts a request. */
void exch_begin(struct exch *x);
/** Returns the timeout of a request on @p route, which may be NULL, in ms. */
int64_t exch_timeout_ms(const struct exch *x, const struct cat_route *route);
/** Whether the request may wait here for the store. */
bool exch_may_await_store(const struct exch *x);
/** Lets a new request wait for a configuration that authenticates it; returns
 * false if it needs not or must not wait. */
bool exch_await_config(struct exch *x);
/** Takes quota for a request, and then starts it. */
void exch_acquire_quota(struct exch *x);
/** Lets a request try again to take quota that is at an instance without
 * contact; returns false if it must not wait (any longer). */
bool exch_await_contact(struct exch *x);
/** Sends a request that has waited for the store, if its key is still valid by
 * a current configuration. */
void exch_send_checked(struct exch *x);
/** Returns the Retry-After while the store does not respond, in ms. */
int64_t exch_store_retry_after_ms(const struct exch *x);

/** Whether the request may be sent to a server: one that has not been sent must
 * be able to end before this instance does. */
bool exch_may_send(const struct exch *x);
/** Refuses a request that this instance can't end. */
void exch_refuse_stopping(struct exch *x);

/** Starts the request, or refuses it or lets it wait while servers are
 * overloaded. */
void exch_admit(struct exch *x);
/** Starts a request that has been admitted. A stream that its caller takes up
 * goes on only at the version that began it, and on a route that retains turns
 * only with the events that the caller has. */
void exch_start_admitted(struct exch *x);
/** Starts a request through its turn, or directly to a server. */
void exch_start_turn(struct exch *x);
/** Abandons the searches of exch_start_admitted(), and releases the copy of the
 * stream. */
void exch_cancel_resume(struct exch *x);
/** Begins to copy a stream that its caller may take up; its version is known.
 */
void exch_begin_copy(struct exch *x);
/** Whether the request is a further turn of a program. */
bool exch_is_under_way(const struct exch *x);
/** The priority of the request; 0 is the most urgent. */
int exch_priority(const struct exch *x);
/** Records that a server has executed the request. */
void exch_note_turn(const struct exch *x);
/** Returns a server that may get the request now, or NULL; @p why: the reason.
 */
struct fleet_server *exch_pick(struct exch *x, int64_t now_ms,
			       enum fleet_pick_status *why);
/** Predicts the work of the request, struct exch, at a server. */
void exch_predict_work(void *arg, const struct fleet_server *server,
		       struct fleet_work *work);
/** Records that an attempt was sent to its server. */
void exch_cost_begin(struct exch *x);
/** Records the tokens that the attempt has received so far. */
void exch_cost_progress(struct exch *x);
/** Records the end of the attempt; @p complete: with a whole success. */
void exch_cost_end(struct exch *x, bool complete);
/** Selects a backend server and sends the request; otherwise retries later or
 * answers with an error. */
void exch_send(struct exch *x);
/** Sends the request to @p server. */
void exch_send_to_server(struct exch *x, struct fleet_server *server);
/** Whether the server names a rate limit. */
bool exch_has_rate_limit(const struct exch *x,
			 const struct fleet_server *server);
/** Sends the request to @p server once its rate limit allows that, shortly; or
 * selects another one. */
void exch_acquire_server(struct exch *x, struct fleet_server *server);
/** Abandons exch_acquire_server(). */
void exch_cancel_acquire(struct exch *x);
/** Records what the response says about its server's rate limit. */
void exch_note_server_limit(struct exch *x);
/** Records a request sent to a server, for exch_pick(). */
void exch_note_sent(const struct exch *x);
/** Records that the server has accepted the request. */
void exch_note_accepted(const struct exch *x);
/** Records that the server has refused the request. */
void exch_note_refused(const struct exch *x);
/** Whether the retry budget allows another send after @p failure. */
bool exch_may_retry(struct exch *x, enum retry_failure failure);
/** Retry-After of a request that no server takes, in ms. */
int64_t exch_retry_after_ms(const struct exch *x);
/** Handles a server that has sent nothing for too long. */
void exch_on_silence(struct exch *x);
/** (Re)arms the timer that ends an attempt whose server sends nothing. */
void exch_arm_silence_timer(struct exch *x);
/** Handles a server that this instance could not connect to; another instance
 * may reach it. */
void exch_link_failed(struct exch *x, const char *cause);
/** Handles another instance that did not carry the connection; the server has
 * nothing to do with that. */
void exch_tunnel_failed(struct exch *x, const char *cause);
/** Whether the request crashes servers and must not be sent; @p wait_ms
 * receives for how much longer. */
bool exch_crashes_servers(struct exch *x, int64_t *wait_ms);
/** Records that the attempt may have crashed its server. */
void exch_suspect(const struct exch *x, enum suspect_evidence evidence,
		  const char *cause);
/** Handles an attempt that ended without a complete response. */
void exch_attempt_failed(struct exch *x, enum retry_failure failure,
			 const char *cause);
/** Turn callback: the turn's tokens may be passed to the caller. */
void exch_on_tokens_granted(void *arg);
/** Turn callback: the version that began the stream is stored. */
void exch_on_version_stored(void *arg);
/** Turn callback: the turn is committed to the store. */
void exch_on_turn_committed(void *arg);

#endif
