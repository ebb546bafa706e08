/**
 * @file rollout.h
 * @brief Stages of a roll-out, and what an instance may send to which version.
 *
 * One instance at a time decides (rollout_decide()), and writes the stage as a
 * row in the store. All instances act on the row that they know, and on how
 * long ago the store confirmed it (rollout_permit()): that is the lease on
 * which the old version may be used. Times of a row are in ms of the store's
 * clock.
 */
#ifndef APS_ROLLOUT_H
#define APS_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "rollout_test.h"

enum {
	/** Age of its view up to which an instance uses the new version. */
	ROLLOUT_FRESH_MS = 1500,
	/** Age up to which it uses the old version after the row's hold time:
	 * one that is older may have missed the cutover. */
	ROLLOUT_LEASE_MS = 2000,
	/** After the lease, for requests in progress at the old version; then
	 * the instance abandons them. */
	ROLLOUT_GRACE_MS = 1000,
	/** For clocks of different speeds and timers that fire late. */
	ROLLOUT_MARGIN_MS = 300,
};

/** Stages, in order; the numbers are stored. */
enum rollout_stage {
	ROLLOUT_WAITING = 0, /**< the new version has no server yet */
	ROLLOUT_TRIAL = 1,   /**< a small share, on all its servers */
	ROLLOUT_TRIAL_2 = 2,
	ROLLOUT_LOAD =
		3, /**< on few servers, so that each has its usual load */
	ROLLOUT_RAMP = 4,    /**< a larger share, on all servers */
	ROLLOUT_CUTOVER = 5, /**< all; the old version's requests end */
	ROLLOUT_SUCCEEDED = 6,
	ROLLOUT_ROLLED_BACK = 7,
};

enum {
	ROLLOUT_FACTORS_MAX = 16,
	ROLLOUT_NAME_MAX = 48, /**< longer names have no factor */
};

/** A route whose share differs. */
struct rollout_factor {
	char route[ROLLOUT_NAME_MAX];
	double factor; /**< of the share */
	/** From when on a request counts as slow before it ends; 0: never. */
	double slow_ms;
};

/** State of a roll-out, as stored. */
struct rollout_state {
	enum rollout_stage stage;
	double share;	    /**< of requests for the new version */
	double spread;	    /**< part of the new servers that get them */
	uint64_t epoch;	    /**< grows with each write */
	int64_t started_ms; /**< when it was requested */
	int64_t ready_ms;   /**< first server of the version; 0: none yet */
	int64_t hold_ms;    /**< no cutover before this time */
	int64_t entered_ms; /**< begin of the stage */
	uint64_t sent_new;  /**< requests so far to the new version */
	uint64_t sent_all;  /**< and to both */
	/** During the trial, routes with few requests get a larger share. */
	uint32_t factors_count;
	struct rollout_factor factors[ROLLOUT_FACTORS_MAX];
};

/** Bounds that the platform sets. */
struct rollout_bounds {
	double exposure_share;	 /**< of requests that a faulty version gets */
	uint32_t exposure_slack; /**< requests beyond that */
	int64_t rollback_ms;	 /**< after the 50th faulty response */
};

/** What an instance knows of a roll-out. */
struct rollout_view {
	const struct rollout_state *state; /**< NULL: it has not begun */
	bool known;			   /**< the rows have been read */
	int64_t age_ms;	      /**< since the store confirmed that */
	int64_t store_now_ms; /**< 0: unknown */
};

/** What an instance may do. */
struct rollout_permit {
	bool old_version;
	bool new_version;
	double share;  /**< of requests that go to the new version */
	double spread; /**< see struct rollout_state */
	/** Requests in progress at the old version must be abandoned. */
	bool abandon_old;
};

struct rollout_permit rollout_permit(const struct rollout_view *view,
				     const struct rollout_bounds *bounds);
/**
 * Whether a request goes to the new version. A program that is at the new
 * version stays there as the share grows.
 *
 * @param state the state that @p permit was made from, or NULL
 * @param key   equal for all turns of a program
 */
bool rollout_prefers_new(const struct rollout_permit *permit,
			 const struct rollout_state *state, const char *route,
			 uint64_t key);
/** Returns the time after which a request counts as slow, though its response
 * is not complete; 0: unknown. */
double rollout_slow_ms(const struct rollout_state *state, const char *route);
/** Whether a stage is final. */
bool rollout_is_final(enum rollout_stage stage);
const char *rollout_stage_name(enum rollout_stage stage);

/** What the deciding instance knows. */
struct rollout_input {
	const struct rollout_state *state; /**< NULL: none is stored */
	int64_t now_ms;			   /**< by the store's clock */
	int64_t requested_ms; /**< when the request was seen, if no state */
	int64_t duration_ms;
	int64_t min_hold_ms; /**< promised for an earlier request; or 0 */
	bool withdrawn;	     /**< the operators removed their request */
	uint32_t slots_new;  /**< of the servers in service */
	uint32_t slots_old;
	/** All instances have reported to this one: without that, no step
	 * forward. */
	bool settled;
	uint64_t sent_new; /**< by the reports of all instances */
	uint64_t sent_all;
	int64_t longest_ms; /**< request in progress or ended at the old one */
	/** Since some instance has first seen the cutover in the store. */
	int64_t cutover_age_ms;
	bool all_ended;	       /**< all instances: nothing is at the old one */
	bool responding_ended; /**< all of those that respond */
};

/**
 * Decides on the next state.
 *
 * @param next  receives it
 * @param cause receives why, a literal
 * @return whether there is a change to be stored
 */
bool rollout_decide(const struct rollout_input *input,
		    const struct rollout_test *test,
		    const struct rollout_bounds *bounds,
		    struct rollout_state *next, const char **cause);

#endif
