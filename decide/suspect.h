/**
 * @file suspect.h
 * @brief Detection of requests that crash the backend servers running them.
 *
 * The load it must handle: a request that crashes every server that starts to
 * run it, retried by its caller through any instance for as long as it fails,
 * beside sound requests whose connections break, whose servers fall silent or
 * crash for other reasons.
 *
 * Each attempt that ended without an answer leaves a mark: the request, by its
 * fingerprint, and the start of the server that had it. A mark is open until it
 * is known whether that server ended: one that responds later, or is still
 * listed after a while, did not. A request with marks of REFUSAL_SERVERS
 * different starts is refused. A request that a server ran to the end crashes
 * none: its marks are forgotten, and new ones are ignored for a while.
 *
 * A sound request may have been at servers that others crashed. As long as it
 * is refused it can't complete, so it may be tried a few times more if one of
 * these others has marks of several starts. A request that crashes servers is
 * mostly the only such one: those that were beside it have one mark each, or
 * have completed since.
 */
#ifndef APS_SUSPECT_H
#define APS_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

struct suspects;

enum {
	SUSPECT_MARK_MAX_MS = 3600000, /**< then a mark is forgotten */
};

/** How an attempt ended. */
enum suspect_evidence {
	SUSPECT_SILENT,	 /**< it was given up: counts once the server is gone */
	SUSPECT_BROKEN,	 /**< its connection broke: counts unless disproved */
	SUSPECT_CRASHED, /**< the server is known to have ended */
};

/** A request, and a start of a backend server that had it. */
struct suspect_mark {
	uint64_t fingerprint;
	const char *server;
	int64_t started_ms; /**< of that start, by the server's clock */
	int64_t ended_ms;   /**< when the attempt ended */
	enum suspect_evidence evidence;
};

/** What is known now of the server of a mark. */
enum suspect_server {
	SUSPECT_SERVER_UNKNOWN, /**< the list is not up to date */
	SUSPECT_SERVER_LISTED,
	SUSPECT_SERVER_ALIVE, /**< it has shown that since the attempt ended */
	SUSPECT_SERVER_GONE,  /**< it is not listed, or has started again */
};

/** What has become of a mark. */
enum suspect_change {
	SUSPECT_CONFIRMED, /**< its server has ended */
	SUSPECT_DISPROVED, /**< its server has not */
	SUSPECT_CLEARED,   /**< its request was run to the end */
	SUSPECT_EXPIRED,
};

/** Callbacks. */
struct suspect_handler {
	enum suspect_server (*server)(void *arg,
				      const struct suspect_mark *mark);
	/** @p mark is as it was before. It is valid until this returns, which
	 * must not add or remove marks. */
	void (*changed)(void *arg, const struct suspect_mark *mark,
			enum suspect_change change);
	void *arg;
};

struct suspects *suspect_create(const struct suspect_handler *handler);
void suspect_destroy(struct suspects *suspects);
/** Adds a mark; returns false if it is known already, or tells nothing. */
bool suspect_add(struct suspects *suspects, const struct suspect_mark *mark,
		 int64_t now);
/** Forgets the mark of that request and start; does not call back. */
void suspect_remove(struct suspects *suspects, const struct suspect_mark *mark);
/** A server ran the request to the end; returns whether it had marks. */
bool suspect_on_completed(struct suspects *suspects, uint64_t fingerprint,
			  int64_t now);
/** Whether a server ran the request to the end a short while ago. */
bool suspect_has_completed(const struct suspects *suspects,
			   uint64_t fingerprint, int64_t now);
/** Decides open marks by what is known of their servers by now, and forgets
 * expired ones. */
void suspect_settle(struct suspects *suspects, int64_t now);
/** Whether the request is refused; @p wait_ms receives for how much longer. */
bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms);
/** Whether a refused request may be tried once more, which is noted; one
 * instance should ask. */
bool suspect_take_trial(struct suspects *suspects, uint64_t fingerprint,
			int64_t now);
/** Returns the fingerprint of a request. */
uint64_t suspect_fingerprint(const char *account, const char *method,
			     const char *path, const void *body, uint64_t len);

#endif
