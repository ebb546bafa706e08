/** @file owner_turn.c @brief Program owners: states of a turn. */
#include <string.h>

#include "commit.h"
#include "member.h"
#include "owner_int.h"

enum {
	OWNER_ATTEMPTS_MAX = 3,		   /* attempts of one turn */
	OWNER_PRESTART_BODY_MAX = 2048,	   /* bytes of the next turn's body */
	OWNER_PROMPT_OVERHEAD_TOKENS = 16, /* added by the prompt's format */
};

/* Limits retries to a tenth of the turns. */
#define OWNER_RETRY_CREDIT_PER_TURN 0.1

static const char *const turn_states[] = {"queued",    "starting", "running",
					  "recording", "answered", NULL};
static const char *const turn_events[] = {"admit",   "begin",	"refuse",
					  "abandon", "retry",	"finish",
					  "record",  "durable", NULL};

const struct chart_names turn_chart_names = {
	.states = turn_states,
	.events = turn_events,
};

void owner_free_turn(struct turn *turn)
{
	if (turn->dispatch_id != 0)
		g_hash_table_remove(turn->owner->dispatches,
				    &turn->dispatch_id);
	cds_list_del(&turn->link);
	aps__request__free_unpacked(turn->request, NULL);
	if (turn->outcome != NULL)
		aps__outcome__free_unpacked(turn->outcome, NULL);
	g_ptr_array_unref(turn->waiters);
	g_byte_array_unref(turn->text);
	g_free(turn->dispatcher);
	g_free(turn);
}

bool owner_step_turn(struct turn *turn, enum turn_event event)
{
	int next =
		chart_step(turn->owner->node->turn_chart, turn->state, event);

	if (next < 0)
		return false;
	turn->state = next;
	return true;
}

void owner_send_call_done(struct node *node, const char *to, uint64_t call_id,
			  const Aps__Outcome *outcome)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__CallDone msg = APS__CALL_DONE__INIT;

	msg.call_id = call_id;
	msg.moved = outcome == NULL;
	msg.outcome = (Aps__Outcome *)outcome;
	peer.body_case = APS__PEER__BODY_CALL_DONE;
	peer.call_done = &msg;
	node_send(node, to, &peer);
}

void owner_answer_waiters(struct turn *turn)
{
	for (guint i = 0; i < turn->waiters->len; i++) {
		const struct waiter *waiter = turn->waiters->pdata[i];

		owner_send_call_done(turn->owner->node, waiter->from,
				     waiter->call_id, turn->outcome);
	}
	g_ptr_array_set_size(turn->waiters, 0);
	turn->answered_ms = node_now_ms(turn->owner->node);
}

void owner_set_outcome(struct turn *turn, const Aps__Outcome *outcome)
{
	if (turn->outcome != NULL)
		aps__outcome__free_unpacked(turn->outcome, NULL);
	turn->outcome = msg_dup(&outcome->base);
}

void owner_init_outcome(Aps__Outcome *outcome, const struct turn *turn,
			uint32_t status, const char *reason)
{
	aps__outcome__init(outcome);
	outcome->status = status;
	outcome->executed =
		turn->may_have_run ? APS__EXECUTED__UNKNOWN : APS__EXECUTED__NO;
	outcome->step = (char *)"owner";
	outcome->peer = turn->owner->node->id;
	outcome->reason = (char *)reason;
	outcome->retry_after_ms = status == 503 ? 1000 : 0;
}

void owner_finish_turn(struct turn *turn)
{
	owner_answer_waiters(turn);
	if (!turn->program->transient)
		owner_free_turn(turn);
}

static void refuse_by_rule(struct turn *turn, int line, uint32_t status,
			   const char *reason)
{
	char rule[NODE_RULE_NAME_MAX];
	Aps__Outcome outcome;

	if (!owner_step_turn(turn, TURN_REFUSE))
		return;
	owner_init_outcome(&outcome, turn, status, reason);
	node_format_rule_name(turn->owner->node, line, rule);
	outcome.rule = rule;
	owner_set_outcome(turn, &outcome);
	owner_finish_turn(turn);
}

void owner_refuse_turn(struct turn *turn, uint32_t status, const char *reason)
{
	refuse_by_rule(turn, 0, status, reason);
}

struct turn *owner_active_turn(const struct program *program)
{
	struct turn *turn;

	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->state != TURN_QUEUED && turn->state != TURN_ANSWERED)
			return turn;
	}
	return NULL;
}

static void on_program_saved(void *arg, bool durable)
{
	struct program *program = arg;

	(void)durable;
	program->pending_io--;
}

static void on_turn_saved(void *arg, bool durable)
{
	struct turn *turn = arg;
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	(void)durable;
	program->pending_io--;
	if (turn->state == TURN_STARTING) {
		owner_step_turn(turn, TURN_BEGIN);
		owner_dispatch_turn(turn);
		return;
	}
	if (!owner_step_turn(turn, TURN_DURABLE))
		return;
	if (turn->outcome->status == 200)
		node_counter_add(owner->node, NODE_TURNS_COMMITTED, 1);
	owner_finish_turn(turn);
	owner_start_ready_turns(owner, program);
}

void owner_save_program(struct owner *owner, struct program *program,
			struct turn *turn)
{
	char *key = program_row_key(program);
	size_t len;
	uint8_t *buf = program_pack_row(program, &len);

	program->pending_io++;
	program->stored = true;
	commit_put_row(owner->node->commit, key, buf, len,
		       turn != NULL ? on_turn_saved : on_program_saved,
		       turn != NULL ? (void *)turn : (void *)program);
	g_free(buf);
	g_free(key);
}

void owner_set_started(struct program *program, const struct turn *turn)
{
	Aps__Started *started = NULL;
	Aps__Started run = APS__STARTED__INIT;

	if (program->started != NULL)
		aps__started__free_unpacked(program->started, NULL);
	if (turn != NULL) {
		run.turn = turn->number;
		run.body_hash = turn->request->body_hash;
		run.reserved = turn->reserved;
		run.repeatable = turn->request->repeatable;
		run.epoch =
			member_epoch(turn->owner->node->member, program->shard);
		run.target = turn->request->target;
		/* Becomes part of the history if the outcome is lost. */
		if (!run.repeatable)
			run.body = turn->request->body;
		started = msg_dup(&run.base);
	}
	program->started = started;
	program->prestarted = false;
}

/* Returns an upper bound of the tokens that a run of the turn can use. */
static uint64_t max_tokens_of_run(const struct turn *turn)
{
	const Aps__Request *request = turn->request;

	if (request->kind != APS__CALL_KIND__MODEL)
		return 0;
	return turn->program->history_tokens + request->body.len +
	       request->max_out + OWNER_PROMPT_OVERHEAD_TOKENS;
}

static void handle_end_turn(struct turn *turn)
{
	struct program *program = turn->program;
	Aps__Outcome outcome;

	owner_step_turn(turn, TURN_ABANDON);
	owner_init_outcome(&outcome, turn, 200, "ended");
	outcome.executed = APS__EXECUTED__YES;
	owner_set_outcome(turn, &outcome);
	owner_end_program(turn->owner, program, "by its caller");
	owner_save_program(turn->owner, program, turn);
}

/* Returns whether budget and history are ready; requests them if not. */
static bool is_prepared(struct turn *turn)
{
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	if (!program->has_budget) {
		owner_request_budget(owner, program);
		return false;
	}
	if (program->unread_segments > 0 &&
	    turn->request->kind == APS__CALL_KIND__MODEL) {
		owner_read_segment(owner, program);
		return false;
	}
	return true;
}

/* Returns whether the durable started record already covers this turn. */
static bool is_prestarted(const struct turn *turn)
{
	const struct program *program = turn->program;
	const Aps__Request *request = turn->request;

	return program->prestarted && program->started != NULL &&
	       request->repeatable && request->kind == APS__CALL_KIND__MODEL &&
	       turn->reserved <= program->started->reserved &&
	       strcmp(program->started->target, request->target) == 0;
}

/*
 * Writes the started record of the next turn ahead, in the commit that records
 * this turn, so that the next one need not wait for a commit before it starts.
 */
static void prestart_next_turn(struct turn *turn)
{
	struct program *program = turn->program;
	struct turn next = *turn;

	owner_set_started(program, NULL);
	if (turn->request->kind != APS__CALL_KIND__MODEL)
		return;
	next.number = program->next_turn;
	next.reserved = program->history_tokens + OWNER_PRESTART_BODY_MAX +
			turn->request->max_out + OWNER_PROMPT_OVERHEAD_TOKENS;
	if (program->used + next.reserved > program->budget)
		return;
	owner_set_started(program, &next);
	program->prestarted = true;
}

void owner_start_turn(struct turn *turn)
{
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	if (turn->number == TURN_NUMBER_END) {
		handle_end_turn(turn);
		return;
	}
	if (!is_prepared(turn))
		return;
	if (program->next_turn >= owner->node->rules->turns_max) {
		owner_end_program(owner, program, "turn limit");
		owner_save_program(owner, program, NULL);
		refuse_by_rule(turn, owner->node->rules->limit_line, 409,
			       "the program reached its turn limit");
		return;
	}
	turn->reserved = max_tokens_of_run(turn);
	if (!program->transient &&
	    program->used + turn->reserved > program->budget) {
		refuse_by_rule(turn, owner->node->rules->limit_line, 402,
			       "the program's budget is too small");
		return;
	}
	turn->attempts++;
	owner->retry_credit =
		MIN(owner->retry_credit + OWNER_RETRY_CREDIT_PER_TURN,
		    OWNER_RETRY_CREDIT_MAX);
	if (program->transient) {
		owner_step_turn(turn, TURN_BEGIN);
		owner_dispatch_turn(turn);
		return;
	}
	if (is_prestarted(turn)) {
		program->prestarted = false;
		owner_step_turn(turn, TURN_BEGIN);
		owner_dispatch_turn(turn);
		return;
	}
	owner_step_turn(turn, TURN_ADMIT);
	owner_set_started(program, turn);
	owner_save_program(owner, program, turn);
}

static void record_turn(struct turn *turn, const Aps__Outcome *outcome)
{
	struct program *program = turn->program;
	bool is_model = turn->request->kind == APS__CALL_KIND__MODEL;
	uint64_t spent = (uint64_t)outcome->prompt_tokens + outcome->out_tokens;

	owner_clear_dispatch(turn);
	owner_set_outcome(turn, outcome);
	if (program->transient) {
		owner_step_turn(turn, TURN_FINISH);
		owner_finish_turn(turn);
		return;
	}
	program->last_used_ms = node_now_ms(turn->owner->node);
	if (is_model) {
		program->used += spent;
		program->history_tokens = spent;
		program_add_server(program, outcome->server,
				   outcome->incarnation);
	} else {
		program->history_tokens +=
			turn->request->body.len + outcome->answer.len;
	}
	program_append_record(program, turn->request, outcome);
	prestart_next_turn(turn);
	owner_step_turn(turn, TURN_RECORD);
	owner_save_program(turn->owner, program, turn);
	owner_store_segment(turn->owner, program);
}

static bool may_retry(const struct turn *turn)
{
	return turn->request->repeatable && !turn->cancelled &&
	       turn->attempts < OWNER_ATTEMPTS_MAX &&
	       turn->owner->retry_credit >= 1 &&
	       node_now_ms(turn->owner->node) < turn->deadline_ms;
}

/* Charges a run that may have used its reservation and left memory behind. */
static void charge_failed_attempt(struct turn *turn,
				  const Aps__Outcome *outcome)
{
	struct program *program = turn->program;

	if (outcome->executed == APS__EXECUTED__NO)
		return;
	turn->may_have_run = true;
	if (program->transient)
		return;
	program->used += turn->reserved;
	if (turn->request->kind != APS__CALL_KIND__MODEL)
		return;
	if (outcome->server != NULL && outcome->server[0] != '\0')
		program_add_server(program, outcome->server,
				   outcome->incarnation);
	else
		owner_add_pool_servers(turn->owner, program,
				       turn->request->target);
}

static void fail_turn(struct turn *turn, const Aps__Outcome *outcome)
{
	struct program *program = turn->program;

	owner_set_outcome(turn, outcome);
	if (turn->may_have_run && turn->outcome->executed == APS__EXECUTED__NO)
		turn->outcome->executed = APS__EXECUTED__UNKNOWN;
	if (program->transient) {
		owner_step_turn(turn, TURN_FINISH);
		owner_finish_turn(turn);
		return;
	}
	/* Record a run that is not idempotent, so that it never runs again. */
	if (turn->outcome->executed != APS__EXECUTED__NO &&
	    !turn->request->repeatable) {
		turn->outcome->recorded = true;
		program_append_record(program, turn->request, turn->outcome);
	}
	owner_set_started(program, NULL);
	owner_step_turn(turn, TURN_RECORD);
	owner_save_program(turn->owner, program, turn);
}

void owner_end_attempt(struct turn *turn, const Aps__Outcome *outcome)
{
	struct owner *owner = turn->owner;

	if (turn->state != TURN_RUNNING)
		return;
	if (outcome->status == 200) {
		record_turn(turn, outcome);
		return;
	}
	owner_clear_dispatch(turn);
	charge_failed_attempt(turn, outcome);
	if (outcome->executed == APS__EXECUTED__NO || !may_retry(turn)) {
		fail_turn(turn, outcome);
		return;
	}
	owner->retry_credit -= 1;
	node_counter_add(owner->node, NODE_RETRIES, 1);
	owner_set_started(turn->program, NULL);
	owner_step_turn(turn, TURN_RETRY);
}
