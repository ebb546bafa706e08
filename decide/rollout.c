/** @file rollout.c @brief Stages of a roll-out. */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "rollout.h"

enum {
	/* The ramp lasts until slow responses to it have been seen. */
	RAMP_MIN_MS = 1000,
	RAMP_MAX_MS = 3000,
	REPORT_DELAY_MS =
		300, /* until a count has reached the deciding instance */
	LOAD_MIN_MS = 2500, /* before the ramp, also if that gets late */
	LOAD_LATE_MS = 700,
	SETTLE_MS = 3000,	   /* least trial, if servers start late */
	ROLLBACK_MARGIN_MS = 1500, /* for a request on its way, slow timers */
	LAST_WRITE_MS = 500,	   /* a success is decided before the end */
	RATE_MIN_MS = 500, /* observation from which a rate is estimated */
	LOAD_WAIT_MAX_MS = 6000, /* for which it then waits */
	RAMP_DELAY_MAX_MS =
		1000, /* for which the ramp waits for more evidence */
	/* From a decision to its effect at all instances and back, twice. */
	STEP_MS = 1500,
};

/* Parts of the exposure bound that the trial plans with, and at which it stops.
 * The rest is for what is sent between a fault and its detection in the ramp
 * and at the cutover, and for traffic that decreases. */
#define TRIAL_PART 0.65
#define EXHAUSTED_PART 0.75
#define RAMP_PART 0.85 /* at which the ramp stops */
/* Mean share of the trial, relative to that of ROLLOUT_LOAD. */
#define MEAN_PART 0.75
#define SHARE_MAX 0.5 /* the control group needs the other half */
#define RAMP_SHARE 0.2
/* Bounds of what a route's share may differ by, so that each route gets the
 * same number of requests for the test; the sum stays the same. */
#define FACTOR_MIN 0.3
#define FACTOR_MAX 4.0
#define FACTOR_SHARE_MAX 0.7
/* Part of the requests expected in ROLLOUT_LOAD that have to be seen there, and
 * the least number that matters. */
#define SEEN_PART 0.6
#define LOAD_REQUESTS_MIN 10.0
/* Largest growth of the share between two stages of the trial. */
#define SHARE_STEP 8.0
/* No promise to keep the old version beyond this part of the duration is made
 * before the trial has begun. */
#define HOLD_PART 0.4
/* Load of a server in ROLLOUT_LOAD, relative to its load after the cutover: the
 * programs are few there, so they are spread less evenly. */
#define LOAD_PART 0.87
/* Slots that the new version needs before the cutover, relative to the old. */
#define SLOTS_PART 0.5

bool rollout_is_final(enum rollout_stage stage)
{
	return stage >= ROLLOUT_SUCCEEDED;
}

const char *rollout_stage_name(enum rollout_stage stage)
{
	static const char *const names[] = {
		"waiting", "trial",   "trial-2",   "load",
		"ramp",	   "cutover", "succeeded", "rolled-back"};

	return (size_t)stage < G_N_ELEMENTS(names) ? names[stage] : "unknown";
}

/* Permissions while the old version may still be used by some instance. */
static void permit_trial(const struct rollout_view *view,
			 struct rollout_permit *permit)
{
	const struct rollout_state *state = view->state;
	bool held = state != NULL && view->store_now_ms > 0 &&
		    view->store_now_ms + ROLLOUT_MARGIN_MS < state->hold_ms;

	permit->old_version = held || view->age_ms <= ROLLOUT_LEASE_MS;
	permit->abandon_old =
		!held && view->age_ms > ROLLOUT_LEASE_MS + ROLLOUT_GRACE_MS;
	if (state == NULL || view->age_ms > ROLLOUT_FRESH_MS)
		return;
	permit->new_version = state->share > 0;
	permit->share = state->share;
	permit->spread = state->spread;
}

struct rollout_permit rollout_permit(const struct rollout_view *view,
				     const struct rollout_bounds *bounds)
{
	struct rollout_permit permit = {0};
	enum rollout_stage stage =
		view->state != NULL ? view->state->stage : ROLLOUT_WAITING;

	if (stage == ROLLOUT_ROLLED_BACK) {
		permit.old_version = true;
	} else if (stage == ROLLOUT_SUCCEEDED) {
		permit.new_version = true;
		permit.share = 1;
		permit.spread = 1;
	} else if (stage == ROLLOUT_CUTOVER) {
		permit.new_version = view->age_ms <=
				     bounds->rollback_ms - ROLLBACK_MARGIN_MS;
		permit.share = 1;
		permit.spread = 1;
		permit.abandon_old =
			view->age_ms > ROLLOUT_LEASE_MS + ROLLOUT_GRACE_MS;
	} else if (view->known) {
		permit_trial(view, &permit);
	}
	return permit;
}

static double factor_of(const struct rollout_state *state, const char *route)
{
	for (uint32_t i = 0; state != NULL && i < state->factors_count; i++) {
		if (strcmp(state->factors[i].route, route) == 0)
			return state->factors[i].factor;
	}
	return 1;
}

double rollout_slow_ms(const struct rollout_state *state, const char *route)
{
	for (uint32_t i = 0; state != NULL && i < state->factors_count; i++) {
		if (strcmp(state->factors[i].route, route) == 0)
			return state->factors[i].slow_ms;
	}
	return 0;
}

bool rollout_prefers_new(const struct rollout_permit *permit,
			 const struct rollout_state *state, const char *route,
			 uint64_t key)
{
	double place = (double)(key >> 11) / 9007199254740992.0;
	double share = permit->share;

	if (!permit->new_version)
		return false;
	if (permit->old_version)
		share = MIN(share * factor_of(state, route), FACTOR_SHARE_MAX);
	return !permit->old_version || place < share;
}

static int64_t ramp_length_ms(const struct rollout_state *state)
{
	double longest_ms = 0;

	for (uint32_t i = 0; i < state->factors_count; i++)
		longest_ms = MAX(longest_ms, state->factors[i].slow_ms);
	return CLAMP((int64_t)longest_ms + REPORT_DELAY_MS, RAMP_MIN_MS,
		     RAMP_MAX_MS);
}

/* Time at which all requests go to the new version: the old one's requests
 * have to end, and leases to expire, before the duration is over. */
static int64_t cutover_ms(const struct rollout_input *input,
			  const struct rollout_state *state)
{
	int64_t lead_ms = MAX(input->longest_ms * 13 / 10 + STEP_MS,
			      ROLLOUT_LEASE_MS + ROLLOUT_GRACE_MS +
				      ROLLOUT_MARGIN_MS + STEP_MS);
	int64_t at_ms = state->started_ms +
			MAX(input->duration_ms - lead_ms,
			    (int64_t)((double)input->duration_ms * HOLD_PART));

	if (state->ready_ms > 0)
		at_ms = MAX(at_ms, state->ready_ms + SETTLE_MS);
	return MAX(at_ms, state->hold_ms);
}

/* Requests that a faulty version may get until the end of the duration, if the
 * rate stays as it is; 0: the rate is unknown. */
static double exposure_bound(const struct rollout_input *input,
			     const struct rollout_state *state,
			     const struct rollout_bounds *bounds)
{
	double observed_ms = (double)(input->now_ms - state->started_ms);
	double expected;

	if (observed_ms < RATE_MIN_MS)
		return 0;
	expected = (double)state->sent_all *
		   MAX((double)input->duration_ms / observed_ms, 1.0);
	return bounds->exposure_share * expected + bounds->exposure_slack;
}

/* Largest share of the trial, which lasts for @p window_ms. */
static double trial_share(const struct rollout_input *input,
			  const struct rollout_state *state, int64_t window_ms,
			  const struct rollout_bounds *bounds)
{
	double bound = exposure_bound(input, state, bounds);
	double observed_ms = (double)(input->now_ms - state->started_ms);
	double expected;

	if (bound <= 0)
		return bounds->exposure_share;
	expected = (double)MAX(state->sent_all, 1) / observed_ms *
		   (double)window_ms * MEAN_PART;
	return MIN(TRIAL_PART * bound / expected, SHARE_MAX);
}

/* Whether the trial has used up its part of the exposure bound. */
static bool is_exhausted(const struct rollout_input *input,
			 const struct rollout_state *state,
			 const struct rollout_bounds *bounds)
{
	double bound = exposure_bound(input, state, bounds);

	return bound > 0 && (double)state->sent_new > EXHAUSTED_PART * bound;
}

/* Whether ROLLOUT_LOAD has had a good part of the requests that its share would
 * bring: while the store is away, instances leave the new version alone. */
static bool has_seen_load(const struct rollout_input *input, int64_t ramp_ms)
{
	const struct rollout_state *state = input->state;
	double expected =
		(double)state->sent_all /
		(double)MAX(state->entered_ms - state->started_ms,
			    RATE_MIN_MS) *
		(double)MAX(ramp_ms - state->entered_ms, LOAD_MIN_MS) *
		state->share;

	return expected < LOAD_REQUESTS_MIN ||
	       (double)(input->sent_new -
			MIN(state->sent_new, input->sent_new)) >=
		       SEEN_PART * expected;
}

/* Least time in ROLLOUT_LOAD. After a late begin, as after an outage of the
 * store, little has been seen before: slow responses have to be seen here. */
static int64_t load_length_ms(const struct rollout_state *state,
			      int64_t window_ms)
{
	int64_t late_ms =
		state->entered_ms - state->ready_ms - window_ms * 4 / 10;

	return late_ms > LOAD_LATE_MS ? LOAD_MIN_MS + ramp_length_ms(state)
				      : MIN(LOAD_MIN_MS, window_ms * 6 / 10);
}

static enum rollout_stage stage_at(const struct rollout_state *state,
				   int64_t ramp_ms, bool has_seen,
				   int64_t now_ms)
{
	int64_t window_ms = MAX(ramp_ms - state->ready_ms, 1);
	int64_t since_ms = now_ms - state->ready_ms;

	if (now_ms >= ramp_ms && state->stage == ROLLOUT_LOAD &&
	    now_ms - state->entered_ms >= load_length_ms(state, window_ms) &&
	    (has_seen || now_ms >= ramp_ms + LOAD_WAIT_MAX_MS))
		return ROLLOUT_RAMP;
	if (since_ms * 5 >= window_ms * 2)
		return ROLLOUT_LOAD;
	if (since_ms * 5 >= window_ms)
		return ROLLOUT_TRIAL_2;
	return ROLLOUT_TRIAL;
}

/* Divides the trial among the routes. */
static void set_factors(const struct rollout_test *test,
			struct rollout_state *next)
{
	uint32_t routes = rollout_test_routes(test);
	double sum = 0;

	next->factors_count = 0;
	if (next->stage > ROLLOUT_RAMP || routes > ROLLOUT_FACTORS_MAX)
		return;
	for (uint32_t i = 0; i < routes; i++) {
		struct rollout_factor *factor =
			&next->factors[next->factors_count];
		double part;
		const char *name = rollout_test_route(test, i, &part);

		factor->factor = CLAMP(1.0 / (routes * MAX(part, 0.001)),
				       FACTOR_MIN, FACTOR_MAX);
		factor->slow_ms = rollout_test_slow_ms(test, i);
		sum += part * factor->factor;
		if (g_strlcpy(factor->route, name, sizeof(factor->route)) <
		    sizeof(factor->route))
			next->factors_count++;
	}
	for (uint32_t i = 0; sum > 0 && i < next->factors_count; i++)
		next->factors[i].factor =
			MIN(next->factors[i].factor / sum, FACTOR_MAX);
}

/* Fills in share and servers of the stage in @p next. */
static void set_share(const struct rollout_input *input,
		      const struct rollout_bounds *bounds, int64_t window_ms,
		      struct rollout_state *next)
{
	double share = trial_share(input, next, window_ms, bounds);

	/* A rate that seems low, as reports are missing, has little effect. */
	if (next->share > 0)
		share = MIN(share, next->share * SHARE_STEP);
	next->spread = 1;
	if (next->stage == ROLLOUT_TRIAL)
		next->share = share / 4;
	else if (next->stage == ROLLOUT_TRIAL_2)
		next->share = share / 2;
	else if (next->stage == ROLLOUT_LOAD)
		next->share = share;
	else
		next->share = MAX(next->share, RAMP_SHARE);
	if (next->stage == ROLLOUT_LOAD)
		next->spread = MIN(share / LOAD_PART, 1);
	if (next->stage <= ROLLOUT_LOAD && is_exhausted(input, next, bounds))
		next->share = 0;
}

static bool set_stage(struct rollout_state *next, enum rollout_stage stage,
		      int64_t now_ms)
{
	if (next->stage == stage)
		return false;
	next->stage = stage;
	next->entered_ms = now_ms;
	return true;
}

static bool has_capacity(const struct rollout_input *input)
{
	return input->slots_new > 0 &&
	       input->slots_new >= SLOTS_PART * input->slots_old;
}

/* Advances the stages up to the cutover. */
static bool advance(const struct rollout_input *input,
		    const struct rollout_test *test,
		    const struct rollout_bounds *bounds,
		    struct rollout_state *next, const char **cause)
{
	int64_t ramp_ms;
	bool changed;
	bool was_paused = next->share <= 0;

	if (next->ready_ms == 0) {
		if (input->slots_new == 0)
			return false;
		next->ready_ms = input->now_ms;
	}
	ramp_ms = cutover_ms(input, next) - ramp_length_ms(next);
	*cause = "time";
	if (next->stage == ROLLOUT_RAMP && !was_paused &&
	    (double)next->sent_new >
		    RAMP_PART * exposure_bound(input, next, bounds)) {
		*cause = "exposure";
		next->share = 0;
		return true;
	}
	if (next->stage == ROLLOUT_RAMP) {
		if (input->now_ms < next->entered_ms + ramp_length_ms(next) ||
		    input->now_ms < next->hold_ms)
			return false;
		next->share = 1;
		return set_stage(next, ROLLOUT_CUTOVER, input->now_ms);
	}
	if (input->now_ms >= ramp_ms &&
	    (!has_capacity(input) ||
	     (input->now_ms < ramp_ms + RAMP_DELAY_MAX_MS &&
	      rollout_test_delays_ramp(test))))
		return false;
	/* A shorter ramp does not undo a stage that has begun. */
	changed = set_stage(
		next,
		MAX(next->stage,
		    stage_at(next, ramp_ms, has_seen_load(input, ramp_ms),
			     input->now_ms)),
		input->now_ms);
	if (changed && next->stage <= ROLLOUT_LOAD)
		next->hold_ms = MAX(next->hold_ms, ramp_ms);
	if (!changed && is_exhausted(input, next, bounds) == was_paused)
		return false;
	if (!changed)
		*cause = "exposure";
	set_share(input, bounds, ramp_ms - next->ready_ms, next);
	set_factors(test, next);
	return true;
}

/* Whether no instance uses the old version, nor will. */
static bool is_old_unused(const struct rollout_input *input)
{
	int64_t lease_ms = ROLLOUT_LEASE_MS + ROLLOUT_MARGIN_MS;

	if (input->cutover_age_ms < lease_ms)
		return false;
	return input->all_ended ||
	       (input->responding_ended &&
		input->cutover_age_ms >= lease_ms + ROLLOUT_GRACE_MS);
}

/* Instances that have missed a change of the request act on the promise made
 * for the earlier one. */
static struct rollout_state first_state(const struct rollout_input *input)
{
	int64_t hold_ms = input->requested_ms +
			  (int64_t)((double)input->duration_ms * HOLD_PART);

	return (struct rollout_state){
		.spread = 1,
		.epoch = 1,
		.started_ms = input->requested_ms,
		.hold_ms = MAX(hold_ms, input->min_hold_ms),
		.entered_ms = input->now_ms,
	};
}

bool rollout_decide(const struct rollout_input *input,
		    const struct rollout_test *test,
		    const struct rollout_bounds *bounds,
		    struct rollout_state *next, const char **cause)
{
	int64_t end_ms;
	bool changed;

	if (input->state == NULL) {
		if (input->withdrawn)
			return false;
		*next = first_state(input);
		*cause = "requested";
		return true;
	}
	*next = *input->state;
	if (rollout_is_final(next->stage))
		return false;
	next->sent_new = MAX(next->sent_new, input->sent_new);
	next->sent_all = MAX(next->sent_all, input->sent_all);
	end_ms = next->started_ms + input->duration_ms;
	if (input->withdrawn) {
		*cause = "withdrawn";
		changed = set_stage(next, ROLLOUT_ROLLED_BACK, input->now_ms);
	} else if (rollout_test_is_faulty(test) ||
		   (next->stage == ROLLOUT_RAMP &&
		    input->now_ms >= next->entered_ms + ramp_length_ms(next) &&
		    rollout_test_blocks_cutover(test))) {
		*cause = "faulty";
		changed = set_stage(next, ROLLOUT_ROLLED_BACK, input->now_ms);
	} else if (next->stage == ROLLOUT_CUTOVER) {
		*cause = "old version unused";
		/* Slow responses come late: waits until the end of the duration
		 * while there is evidence of a fault. */
		changed = is_old_unused(input) &&
			  (input->now_ms >= end_ms - LAST_WRITE_MS ||
			   !rollout_test_blocks_cutover(test)) &&
			  set_stage(next, ROLLOUT_SUCCEEDED, input->now_ms);
	} else if (input->now_ms >= end_ms && !has_capacity(input)) {
		*cause = "too few servers";
		changed = set_stage(next, ROLLOUT_ROLLED_BACK, input->now_ms);
	} else if (!input->settled) {
		changed = false;
	} else {
		changed = advance(input, test, bounds, next, cause);
	}
	if (changed && next->stage == ROLLOUT_ROLLED_BACK)
		next->share = 0;
	if (changed)
		next->epoch++;
	return changed;
}
