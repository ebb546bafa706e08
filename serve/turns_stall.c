/** @file turns_stall.c @brief Turns that wait during an outage of the store. */
#include "clock.h"
#include "decide/outage.h"
#include "slog.h"
#include "stats.h"
#include "turns_int.h"

enum {
	/* Between checks whether the store responds. */
	STALL_POLL_MS = 40,
};

/* Whether a turn can't start without a response of the store. */
static bool needs_store(struct turns_turn *turn)
{
	return !turns_has_history(turn) ||
	       (turn->budget > 0 && !turn->reserved &&
		budget_decide(&turn->program->budget, turn->budget,
			      turn->max_tokens) != BUDGET_ALLOW);
}

void turns_leave_stalled(struct turns_turn *turn)
{
	if (turn->stalled)
		cds_list_del(&turn->stalled_node);
	turn->stalled = false;
}

/* An instance that is cut off refuses at once: another one may serve the
 * turn. */
static bool may_wait(const struct turns_turn *turn)
{
	const struct turns *turns = turn->program->turns;

	return clock_boot_ms() < turn->wait_until_ms &&
	       !(turns->is_cut_off != NULL &&
		 turns->is_cut_off(turns->cut_off_arg, turns_outage_ms(turn)));
}

bool turns_stall(struct turns_turn *turn)
{
	struct turns *turns = turn->program->turns;
	struct timeval tv = clock_timeval(STALL_POLL_MS);

	if (!may_wait(turn))
		return false;
	turn->waiting = true;
	if (!turn->has_stalled)
		stats_count(STATS_TURNS_STALLED);
	turn->has_stalled = true;
	if (turn->stalled)
		return true;
	turn->stalled = true;
	cds_list_add_tail(&turn->stalled_node, &turns->stalled_turns);
	if (!evtimer_pending(turns->stall_timer, NULL))
		event_add(turns->stall_timer, &tv);
	return true;
}

/* Goes on with a turn if the store may respond. */
static void try_turn(struct turns_turn *turn)
{
	struct program *program = turn->program;

	if (turn->loads->len > 0 ||
	    !store_is_healthy(program->turns->store, program->part))
		return;
	/* A turn that could start waits for a response all the same, because
	 * its end needs the store; the read asks for one. */
	if (turns_outage_ms(turn) > 0 && !needs_store(turn)) {
		turns_read_budget(program);
		return;
	}
	turn->waiting = false;
	turns_advance(turn);
}

/* A handler may end any turn, also one whose time has not come yet. */
static void on_stall_timer(evutil_socket_t fd, short what, void *arg)
{
	struct turns *turns = arg;
	struct timeval tv = clock_timeval(STALL_POLL_MS);
	CDS_LIST_HEAD(due);

	(void)fd;
	(void)what;
	cds_list_splice(&turns->stalled_turns, &due);
	CDS_INIT_LIST_HEAD(&turns->stalled_turns);
	while (!cds_list_empty(&due)) {
		struct turns_turn *turn = cds_list_first_entry(
			&due, struct turns_turn, stalled_node);

		cds_list_del(&turn->stalled_node);
		cds_list_add_tail(&turn->stalled_node, &turns->stalled_turns);
		if (!may_wait(turn))
			turns_report_verdict(turn, TURNS_UNAVAILABLE);
		else
			try_turn(turn);
	}
	if (!cds_list_empty(&turns->stalled_turns))
		event_add(turns->stall_timer, &tv);
}

void turns_init_stalls(struct turns *turns)
{
	CDS_INIT_LIST_HEAD(&turns->stalled_turns);
	turns->stall_timer = evtimer_new(turns->base, on_stall_timer, turns);
}

void turns_set_cut_off(struct turns *turns,
		       bool (*is_cut_off)(void *arg, int64_t outage_ms),
		       void *arg)
{
	turns->is_cut_off = is_cut_off;
	turns->cut_off_arg = arg;
}

bool turns_has_stalled(const struct turns_turn *turn)
{
	return turn->has_stalled;
}

int64_t turns_outage_ms(const struct turns_turn *turn)
{
	return store_outage_ms(turn->program->turns->store,
			       turn->program->part);
}

static const char *action_name(enum outage_action action)
{
	switch (action) {
	case OUTAGE_START:
		return "start";
	case OUTAGE_WAIT:
		return "wait";
	case OUTAGE_REFUSE:
		break;
	}
	return "refuse";
}

bool turns_begin_or_wait(struct turns_turn *turn,
			 const struct turns_request *request)
{
	int64_t age_ms = turns_outage_ms(turn);
	struct outage_turn query = {
		.retained = request->retain,
		.left_ms = request->left_ms,
	};
	enum outage_action action;

	turn->wait_until_ms =
		turn->started_ms + outage_wait_ms(request->left_ms, age_ms);
	if (age_ms == 0)
		return true;
	query.needs_store = needs_store(turn);
	action = outage_decide(&query, age_ms);
	slog("outage", request->id,
	     "\"age_ms\":%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"needs_store\":%s,\"retained\":%s,\"action\":\"%s\"",
	     age_ms, request->left_ms, query.needs_store ? "true" : "false",
	     request->retain ? "true" : "false", action_name(action));
	if (action == OUTAGE_START)
		return true;
	if (action == OUTAGE_REFUSE || !turns_stall(turn))
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
	return false;
}
