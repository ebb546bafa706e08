/**
 * @file overload.h
 * @brief Which requests start while servers are overloaded.
 *
 * The load it must handle: more requests than the servers finish in time. If
 * all are admitted, all are late. A request is admitted as long as the time
 * that it would wait at the servers is short compared with what its client
 * needs; the limit is longer for urgent requests and for turns of a program
 * under way, whose earlier turns would be wasted, and shorter for accounts that
 * have lately used more than their share of tokens. The probability of a
 * refusal grows up to the limit, so that instances with the same view of the
 * load do not all stop and start together; a request that waits draws again at
 * each decision.
 *
 * While servers are free every request is admitted at once, and also while
 * nothing is known of their load.
 */
#ifndef APS_OVERLOAD_H
#define APS_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** Accounts whose use is remembered; beyond it, the one with the least
	 * use is forgotten. */
	OVERLOAD_ACCOUNTS_MAX = 1024,
	/** Tokens that one request counts at most; clients state them. */
	OVERLOAD_TOKENS_MAX = 1000000,
};

/** Load of all servers of a service. */
struct overload_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;	     /**< of the servers that reported; 0: unknown */
	uint32_t all_slots;  /**< of all servers; 0: all reported */
	double mean_turn_ms; /**< time in a slot; 0: unknown */
};

/** A request that is to start. */
struct overload_request {
	const char *account;	 /**< name, or "" */
	int priority;		 /**< 0 is the most urgent */
	bool under_way;		 /**< a later turn of a program */
	int64_t slo_ms;		 /**< until the first event */
	int64_t left_ms;	 /**< until the client gives up */
	int64_t program_left_ms; /**< until the program is due; 0: unknown */
	uint64_t tokens;	 /**< prompt and maximum output */
	int64_t may_wait_ms;	 /**< how much longer it may wait here */
};

/** What becomes of a request. */
enum overload_action {
	OVERLOAD_ADMIT,
	OVERLOAD_WAIT, /**< decide again shortly */
	OVERLOAD_REFUSE,
};

/** A decision, with the figures that decided it. */
struct overload_decision {
	enum overload_action action;
	bool misses_deadline;	/**< it can't finish in time */
	int64_t retry_after_ms; /**< of a refusal */
	double wait_ms;		/**< expected at the servers */
	double limit_ms;	/**< of that wait, for this request */
	double use;		/**< of its account, 1: the mean */
};

/** What one instance knows of accounts. */
struct overload;
struct fleet_server;
struct lview;

/** @param seed different on each instance */
struct overload *overload_create(uint64_t seed);
void overload_destroy(struct overload *overload);

/** Decides whether a request starts now; an admitted one counts as use. */
void overload_decide(struct overload *overload,
		     const struct overload_request *request,
		     const struct overload_load *load, int64_t now_ms,
		     struct overload_decision *decision);
/** Records how long a turn was in its slot. */
void overload_on_turn(struct overload *overload, const char *service,
		      int64_t ms);
/** Returns the smoothed time of a turn in its slot, or 0. */
double overload_mean_turn_ms(const struct overload *overload,
			     const char *service);
/** Adds what is known of a server by @p view or by its last response here, if
 * that is recent. */
void overload_add_server(struct overload_load *load,
			 const struct fleet_server *server,
			 const struct lview *view, int64_t now_ms);

#endif
