/**
 * @file retry_budget.h
 * @brief Which servers refuse requests, and how many more sends that allows.
 *
 * The load it must handle: most servers of a service at a fraction of their
 * usual rate, hundreds of instances that each see little of it, and clients
 * that retry. Sends are to exceed executions by at most a tenth.
 *
 * Three bounds work together. A server that has refused is left out for a
 * backoff that grows with consecutive refusals; then one probe at a time finds
 * out whether it takes requests again. All sends of this instance to servers of
 * a service that have refused lately keep to a gap, which a refusal lengthens
 * and an accepted request shortens: so little that about one send in eleven is
 * refused, or by half if the server reports room. Sends of a request after a
 * refusal draw from a token bucket that fills with executions. Servers that
 * have not refused are never limited.
 *
 * Instances pass refusals on to each other, by a hash of the server's id, in
 * bounded number. A report that is missing or wrong costs at most a refusal or
 * one backoff.
 */
#ifndef APS_RETRY_BUDGET_H
#define APS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The refusals that one instance knows of, and its budget. */
struct rbud;

enum {
	/** Longest time that a server counts as refusing after its last known
	 * refusal, in ms. */
	RBUD_KEPT_MS = 30000,
	/** Servers that are remembered; the ids come from a bounded list, but
	 * reports of other instances may be forged. */
	RBUD_SERVERS_MAX = 4096,
	/** Retries of a request at servers that have not refused lately which
	 * take no token. */
	RBUD_FREE_RETRIES = 2,
};

/** What instances tell each other of a server. */
struct rbud_report {
	uint32_t server; /**< lview_key() of its id */
	uint32_t level;	 /**< consecutive refusals; 0: it does not refuse */
	int64_t age_ms;
};

/** What is known of a server, for the log. */
struct rbud_view {
	uint32_t level;	    /**< consecutive refusals; 0: it does not refuse */
	int64_t backoff_ms; /**< until it may get the next request */
	int64_t gap_ms;	    /**< between sends to refusing servers */
	double tokens;	    /**< retries left */
};

/** @param seed different on each instance */
struct rbud *rbud_create(uint64_t seed);
void rbud_destroy(struct rbud *rbud);
/** Sets the number of instances, this one included. */
void rbud_set_instances(struct rbud *rbud, uint32_t count);

/**
 * The server has refused a request that was sent at @p sent_ms.
 *
 * @param has_room the refusal tells of a free slot and an empty queue: the
 *                 server is at another limit, which load reports do not show
 * @return whether it was not known to refuse
 */
bool rbud_on_refused(struct rbud *rbud, const char *service, const char *server,
		     bool has_room, int64_t sent_ms, int64_t now);
/**
 * The server has accepted a request that was sent at @p sent_ms.
 *
 * @param has_room its load report tells of a free slot and an empty queue
 */
void rbud_on_accepted(struct rbud *rbud, const char *service,
		      const char *server, bool has_room, int64_t sent_ms,
		      int64_t now);
/** A request is sent to the server: a probe if the server refuses. */
void rbud_on_send(struct rbud *rbud, const char *service, const char *server,
		  int64_t now);
/** Returns for how long the server gets no request from here, in ms; 0: it may
 * get one. */
int64_t rbud_wait_ms(const struct rbud *rbud, const char *service,
		     const char *server, int64_t now);

/** Takes a token for another send of a request that a server has refused;
 * returns false if there is none. */
bool rbud_take_retry(struct rbud *rbud, int64_t now);
/** Retry-After of a request that no server takes, in ms: at least @p min_ms,
 * longer while sends are far apart, and spread so that clients do not return
 * together. */
int64_t rbud_retry_after_ms(struct rbud *rbud, const char *service,
			    int64_t min_ms);
/** Sets @p view to what is known of the server. */
void rbud_inspect(const struct rbud *rbud, const char *service,
		  const char *server, int64_t now, struct rbud_view *view);

/** Takes the reports for the next datagram, latest first, at most @p max;
 * returns their number. */
size_t rbud_take_reports(struct rbud *rbud, struct rbud_report *reports,
			 size_t max, int64_t now);
/** Handles a report of another instance; returns whether it was news. */
bool rbud_on_report(struct rbud *rbud, const struct rbud_report *report,
		    int64_t now);
/** Forgets servers that have not refused for #RBUD_KEPT_MS. */
void rbud_expire(struct rbud *rbud, int64_t now);

#endif
