/**
 * @file crashes.h
 * @brief What this instance knows of requests that crash backend servers.
 *
 * Decides by decide/suspect.h. Marks come from the attempts of this instance,
 * from the other instances and from the store, which keeps them; what is known
 * of a server comes from the list and from its responses.
 */
#ifndef APS_CRASHES_H
#define APS_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/fleet.h"
#include "decide/suspect.h"
#include "members.h"
#include "watcher.h"

struct crashes;

/** An attempt that ended without an answer, though the server may have run the
 * request. */
struct crash_attempt {
	const char *id; /**< of the request */
	uint64_t fingerprint;
	const struct fleet_server *server;
	enum suspect_evidence evidence;
	const char *cause;
};

struct crashes *crash_create(struct event_base *base, struct store *store,
			     struct fleet *fleet,
			     const struct watcher *watcher);
void crash_destroy(struct crashes *crashes);
/** Sets whom to tell; without it nobody is told. */
void crash_set_members(struct crashes *crashes, struct members *members);

void crash_on_attempt(struct crashes *crashes,
		      const struct crash_attempt *attempt);
/** A server ran the request to the end. */
void crash_on_completed(struct crashes *crashes, const char *id,
			uint64_t fingerprint);
/** Another instance reported a mark; returns false if it is known already. */
bool crash_on_report(struct crashes *crashes, const struct suspect_mark *mark);
/** Whether the request is refused; @p wait_ms receives for how much longer. */
bool crash_is_refused(struct crashes *crashes, uint64_t fingerprint,
		      int64_t *wait_ms);
/** Whether this instance may try a refused request once more. */
bool crash_take_trial(struct crashes *crashes, const char *id,
		      uint64_t fingerprint);
/** Decides what has been left open; called a few times per second. */
void crash_tick(struct crashes *crashes);

#endif
