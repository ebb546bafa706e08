/** @file owner_turn.c @brief Program owners: life of one turn. */
#include <string.h>

#include "commit.h"
#include "member.h"
#include "owner_int.h"

enum {
	OWN_ATTEMPTS_MAX = 3,	/* runs of one turn */
	OWN_ESCROW_BODY = 2048, /* longest body that escrow covers, in bytes */
	OWN_PROMPT_SLACK = 16,	/* tokens that a prompt's frame may take */
};

/* Retries that each turn earns, so that a tenth of the load is retries. */
#define OWN_RETRY_EARN 0.1

static const char *const turn_states[] = {"queued",    "starting", "running",
					  "recording", "answered", NULL};
static const char *const turn_events[] = {"admit",   "begin",	"refuse",
					  "abandon", "retry",	"finish",
					  "record",  "durable", NULL};

const struct chart_names turn_chart_names = {
	.states = turn_states,
	.events = turn_events,
};

void own_turn_free(struct turn *turn)
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

bool own_step(struct turn *turn, enum turn_event event)
{
	int next =
		chart_step(turn->owner->node->turn_chart, turn->state, event);

	if (next < 0)
		return false;
	turn->state = next;
	return true;
}

void own_send_call_done(struct node *node, const char *to, uint64_t call_id,
			const Aps__Outcome *outcome)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__CallDone msg = APS__CALL_DONE__INIT;

	msg.call_id = call_id;
	msg.moved = outcome == NULL;
	msg.outcome = (Aps__Outcome *)outcome;
	peer.body_case = APS__PEER__BODY_CALL_DONE;
	peer.call_done = &msg;
	nod_send(node, to, &peer);
}

void own_answer(struct turn *turn)
{
	for (guint i = 0; i < turn->waiters->len; i++) {
		const struct waiter *waiter = turn->waiters->pdata[i];

		own_send_call_done(turn->owner->node, waiter->from,
				   waiter->call_id, turn->outcome);
	}
	g_ptr_array_set_size(turn->waiters, 0);
	turn->answered_ms = nod_now(turn->owner->node);
}

void own_set_outcome(struct turn *turn, const Aps__Outcome *outcome)
{
	if (turn->outcome != NULL)
		aps__outcome__free_unpacked(turn->outcome, NULL);
	turn->outcome = msg_dup(&outcome->base);
}

void own_fill(Aps__Outcome *outcome, const struct turn *turn, uint32_t status,
	      const char *reason)
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

/* Answers and forgets a turn that is in the state answered. */
void own_finish(struct turn *turn)
{
	own_answer(turn);
	if (!turn->program->transient)
		own_turn_free(turn);
}

static void refuse_by(struct turn *turn, int line, uint32_t status,
		      const char *reason)
{
	char rule[NOD_RULE_MAX];
	Aps__Outcome outcome;

	if (!own_step(turn, TURN_REFUSE))
		return;
	own_fill(&outcome, turn, status, reason);
	nod_rule_name(turn->owner->node, line, rule);
	outcome.rule = rule;
	own_set_outcome(turn, &outcome);
	own_finish(turn);
}

void own_refuse(struct turn *turn, uint32_t status, const char *reason)
{
	refuse_by(turn, 0, status, reason);
}

struct turn *own_active(const struct program *program)
{
	struct turn *turn;

	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->state != TURN_QUEUED && turn->state != TURN_ANSWERED)
			return turn;
	}
	return NULL;
}

static void on_saved(void *arg, bool durable)
{
	struct program *program = arg;

	(void)durable;
	program->pending--;
}

static void on_turn_saved(void *arg, bool durable)
{
	struct turn *turn = arg;
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	(void)durable;
	program->pending--;
	if (turn->state == TURN_STARTING) {
		own_step(turn, TURN_BEGIN);
		own_dispatch(turn);
		return;
	}
	if (!own_step(turn, TURN_DURABLE))
		return;
	if (turn->outcome->status == 200)
		nod_count(owner->node, NOD_TURNS_COMMITTED, 1);
	own_finish(turn);
	own_advance(owner, program);
}

void own_save(struct owner *owner, struct program *program, struct turn *turn)
{
	char *key = prg_key(program);
	size_t len;
	uint8_t *buf = prg_pack(program, &len);

	program->pending++;
	program->stored = true;
	cmt_put(owner->node->commit, key, buf, len,
		turn != NULL ? on_turn_saved : on_saved,
		turn != NULL ? (void *)turn : (void *)program);
	g_free(buf);
	g_free(key);
}

void own_set_started(struct program *program, const struct turn *turn)
{
	Aps__Started *started = NULL;
	Aps__Started now = APS__STARTED__INIT;

	if (program->started != NULL)
		aps__started__free_unpacked(program->started, NULL);
	if (turn != NULL) {
		now.turn = turn->number;
		now.body_hash = turn->request->body_hash;
		now.reserved = turn->reserved;
		now.repeatable = turn->request->repeatable;
		now.epoch =
			mem_epoch(turn->owner->node->member, program->shard);
		now.target = turn->request->target;
		/* It becomes part of the history if the outcome is lost. */
		if (!now.repeatable)
			now.body = turn->request->body;
		started = msg_dup(&now.base);
	}
	program->started = started;
	program->escrow = false;
}

/* Most tokens that a run of the turn can take. */
static uint64_t upper_bound(const struct turn *turn)
{
	const Aps__Request *request = turn->request;

	if (request->kind != APS__CALL_KIND__MODEL)
		return 0;
	return turn->program->history_tokens + request->body.len +
	       request->max_out + OWN_PROMPT_SLACK;
}

static void end_turn(struct turn *turn)
{
	struct program *program = turn->program;
	Aps__Outcome outcome;

	own_step(turn, TURN_ABANDON);
	own_fill(&outcome, turn, 200, "ended");
	outcome.executed = APS__EXECUTED__YES;
	own_set_outcome(turn, &outcome);
	own_end(turn->owner, program, "by its caller");
	own_save(turn->owner, program, turn);
}

/* Whether what a turn needs before it runs is there. */
static bool prepared(struct turn *turn)
{
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	if (!program->budgeted) {
		own_ask_budget(owner, program);
		return false;
	}
	if (program->missing > 0 &&
	    turn->request->kind == APS__CALL_KIND__MODEL) {
		own_read_segment(owner, program);
		return false;
	}
	return true;
}

/* Whether the last commit already covers a run of this turn. */
static bool covered(const struct turn *turn)
{
	const struct program *program = turn->program;
	const Aps__Request *request = turn->request;

	return program->escrow && program->started != NULL &&
	       request->repeatable && request->kind == APS__CALL_KIND__MODEL &&
	       turn->reserved <= program->started->reserved &&
	       strcmp(program->started->target, request->target) == 0;
}

/*
 * Notes the next run ahead of its turn, in the commit that records this one,
 * so that the next turn need not wait for a commit before it starts.
 */
static void set_escrow(struct turn *turn)
{
	struct program *program = turn->program;
	struct turn next = *turn;

	own_set_started(program, NULL);
	if (turn->request->kind != APS__CALL_KIND__MODEL)
		return;
	next.number = program->next_turn;
	next.reserved = program->history_tokens + OWN_ESCROW_BODY +
			turn->request->max_out + OWN_PROMPT_SLACK;
	if (program->used + next.reserved > program->budget)
		return;
	own_set_started(program, &next);
	program->escrow = true;
}

void own_start(struct turn *turn)
{
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	if (turn->number == TURN_END) {
		end_turn(turn);
		return;
	}
	if (!prepared(turn))
		return;
	if (program->next_turn >= owner->node->rules->turns_max) {
		own_end(owner, program, "turn limit");
		own_save(owner, program, NULL);
		refuse_by(turn, owner->node->rules->limit_line, 409,
			  "the program reached its turn limit");
		return;
	}
	turn->reserved = upper_bound(turn);
	if (!program->transient &&
	    program->used + turn->reserved > program->budget) {
		refuse_by(turn, owner->node->rules->limit_line, 402,
			  "the program's budget is too small");
		return;
	}
	turn->attempts++;
	owner->retry_credit =
		MIN(owner->retry_credit + OWN_RETRY_EARN, OWN_RETRY_CREDIT_MAX);
	if (program->transient) {
		own_step(turn, TURN_BEGIN);
		own_dispatch(turn);
		return;
	}
	if (covered(turn)) {
		program->escrow = false;
		own_step(turn, TURN_BEGIN);
		own_dispatch(turn);
		return;
	}
	own_step(turn, TURN_ADMIT);
	own_set_started(program, turn);
	own_save(owner, program, turn);
}

static void record(struct turn *turn, const Aps__Outcome *outcome)
{
	struct program *program = turn->program;
	bool is_model = turn->request->kind == APS__CALL_KIND__MODEL;
	uint64_t spent = (uint64_t)outcome->prompt_tokens + outcome->out_tokens;

	own_undispatch(turn);
	own_set_outcome(turn, outcome);
	if (program->transient) {
		own_step(turn, TURN_FINISH);
		own_finish(turn);
		return;
	}
	program->last_used_ms = nod_now(turn->owner->node);
	if (is_model) {
		program->used += spent;
		program->history_tokens = spent;
		prg_add_server(program, outcome->server, outcome->incarnation);
	} else {
		program->history_tokens +=
			turn->request->body.len + outcome->answer.len;
	}
	prg_append(program, turn->request, outcome);
	set_escrow(turn);
	own_step(turn, TURN_RECORD);
	own_save(turn->owner, program, turn);
	own_move_segment(turn->owner, program);
}

static bool may_retry(const struct turn *turn)
{
	return turn->request->repeatable && !turn->cancelled &&
	       turn->attempts < OWN_ATTEMPTS_MAX &&
	       turn->owner->retry_credit >= 1 &&
	       nod_now(turn->owner->node) < turn->deadline_ms;
}

/* The engine may have spent what was reserved, and may hold memory. */
static void charge_lost(struct turn *turn, const Aps__Outcome *outcome)
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
		prg_add_server(program, outcome->server, outcome->incarnation);
	else
		own_suspect_pool(turn->owner, program, turn->request->target);
}

static void fail(struct turn *turn, const Aps__Outcome *outcome)
{
	struct program *program = turn->program;

	own_set_outcome(turn, outcome);
	if (turn->may_have_run && turn->outcome->executed == APS__EXECUTED__NO)
		turn->outcome->executed = APS__EXECUTED__UNKNOWN;
	if (program->transient) {
		own_step(turn, TURN_FINISH);
		own_finish(turn);
		return;
	}
	/* What may have run and must not run again is part of the history. */
	if (turn->outcome->executed != APS__EXECUTED__NO &&
	    !turn->request->repeatable) {
		turn->outcome->recorded = true;
		prg_append(program, turn->request, turn->outcome);
	}
	own_set_started(program, NULL);
	own_step(turn, TURN_RECORD);
	own_save(turn->owner, program, turn);
}

void own_conclude(struct turn *turn, const Aps__Outcome *outcome)
{
	struct owner *owner = turn->owner;

	if (turn->state != TURN_RUNNING)
		return;
	if (outcome->status == 200) {
		record(turn, outcome);
		return;
	}
	own_undispatch(turn);
	charge_lost(turn, outcome);
	if (outcome->executed == APS__EXECUTED__NO || !may_retry(turn)) {
		fail(turn, outcome);
		return;
	}
	owner->retry_credit -= 1;
	nod_count(owner->node, NOD_RETRIES, 1);
	own_set_started(turn->program, NULL);
	own_step(turn, TURN_RETRY);
}
