/** @file owner.c @brief Program owners: calls and turns. */
#include <string.h>

#include "commit.h"
#include "member.h"
#include "owner_int.h"

enum {
	OWN_WINDOW = 16,      /* turns that may wait for earlier ones */
	OWN_RESEND_MS = 2000, /* between sendings to a dispatcher */
	OWN_STALE_MS = 50,    /* before looking for a new dispatcher */
	OWN_ATTEMPTS_MAX = 3, /* runs of one turn */
	OWN_RETRY_CREDIT_MAX = 10,
	OWN_KEPT_MS = 30000, /* how long a transient answer is kept */
	OWN_SWEEP_MS = 100,
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

static void waiter_free(void *p)
{
	struct waiter *waiter = p;

	g_free(waiter->from);
	g_free(waiter);
}

static void turn_free(struct turn *turn)
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

void own_drop(struct owner *owner, struct program *program)
{
	struct turn *turn;
	struct turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->turns, link) {
		turn_free(turn);
	}
	g_hash_table_remove(owner->programs, program->id);
	prg_destroy(program);
}

struct owner *own_create(struct node *node)
{
	struct owner *owner = g_new0(struct owner, 1);

	owner->node = node;
	owner->programs = g_hash_table_new(g_str_hash, g_str_equal);
	owner->dispatches = g_hash_table_new(g_int64_hash, g_int64_equal);
	owner->retry_credit = OWN_RETRY_CREDIT_MAX;
	return owner;
}

void own_destroy(struct owner *owner)
{
	GList *programs;

	if (owner == NULL)
		return;
	programs = g_hash_table_get_values(owner->programs);
	for (GList *l = programs; l != NULL; l = l->next)
		own_drop(owner, l->data);
	g_list_free(programs);
	g_hash_table_unref(owner->programs);
	g_hash_table_unref(owner->dispatches);
	g_free(owner);
}

static bool step(struct turn *turn, enum turn_event event)
{
	int next =
		chart_step(turn->owner->node->turn_chart, turn->state, event);

	if (next < 0)
		return false;
	turn->state = next;
	return true;
}

static void send_call_done(struct node *node, const char *to, uint64_t call_id,
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

static void answer(struct turn *turn)
{
	for (guint i = 0; i < turn->waiters->len; i++) {
		const struct waiter *waiter = turn->waiters->pdata[i];

		send_call_done(turn->owner->node, waiter->from, waiter->call_id,
			       turn->outcome);
	}
	g_ptr_array_set_size(turn->waiters, 0);
	turn->answered_ms = nod_now(turn->owner->node);
}

static void set_outcome(struct turn *turn, const Aps__Outcome *outcome)
{
	if (turn->outcome != NULL)
		aps__outcome__free_unpacked(turn->outcome, NULL);
	turn->outcome = nod_outcome_dup(outcome);
}

static void fill(Aps__Outcome *outcome, const struct turn *turn,
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

/* Answers and forgets a turn that is in the state answered. */
static void finish(struct turn *turn)
{
	answer(turn);
	if (!turn->program->transient)
		turn_free(turn);
}

static void refuse_by(struct turn *turn, int line, uint32_t status,
		      const char *reason)
{
	char rule[NOD_RULE_MAX];
	Aps__Outcome outcome;

	if (!step(turn, TURN_REFUSE))
		return;
	fill(&outcome, turn, status, reason);
	nod_rule_name(turn->owner->node, line, rule);
	outcome.rule = rule;
	set_outcome(turn, &outcome);
	finish(turn);
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

static void dispatch(struct turn *turn);
static void conclude(struct turn *turn, const Aps__Outcome *outcome);

static void on_turn_saved(void *arg, bool durable)
{
	struct turn *turn = arg;
	struct program *program = turn->program;
	struct owner *owner = turn->owner;

	(void)durable;
	program->pending--;
	if (turn->state == TURN_STARTING) {
		step(turn, TURN_BEGIN);
		dispatch(turn);
		return;
	}
	if (!step(turn, TURN_DURABLE))
		return;
	if (turn->outcome->status == 200)
		nod_count(owner->node, NOD_TURNS_COMMITTED, 1);
	finish(turn);
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

static void send_dispatch(struct turn *turn)
{
	struct node *node = turn->owner->node;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Dispatch msg = APS__DISPATCH__INIT;
	GByteArray *prompt = prg_prompt(turn->program, turn->request);
	int64_t now = nod_now(node);

	msg.dispatch_id = turn->dispatch_id;
	msg.incarnation = node->incarnation;
	msg.pool_epoch = turn->pool_epoch;
	msg.fence = mem_epoch(node->member, turn->program->shard);
	msg.deadline_ms = (uint32_t)MAX(turn->deadline_ms - now, 1);
	msg.prompt = nod_bytes(prompt->data, prompt->len);
	msg.resume = nod_bytes(turn->text->data, turn->text->len);
	msg.attained = turn->program->used;
	msg.request = turn->request;
	peer.body_case = APS__PEER__BODY_DISPATCH;
	peer.dispatch = &msg;
	nod_send(node, turn->dispatcher, &peer);
	turn->dispatched = true;
	turn->send_due_ms = now + OWN_RESEND_MS;
	g_byte_array_unref(prompt);
}

/* Returns the shard of the turn's pool, or -1 if no live holder is known. */
static int find_pool(const struct turn *turn)
{
	const struct node *node = turn->owner->node;
	const struct rul_target *target =
		rul_target(node->rules, turn->request->target);
	const char *holder;
	int shard;

	if (target == NULL)
		return -1;
	shard = shd_of(SHD_POOL, target->pool);
	holder = mem_holder(node->member, shard);
	if (holder == NULL ||
	    !mem_alive(node->member, holder,
		       mem_holder_incarnation(node->member, shard)))
		return -1;
	return shard;
}

/* Nothing that must not run twice goes to an instance that may have died. */
static bool may_trust(const struct turn *turn, int shard)
{
	const struct node *node = turn->owner->node;

	return turn->request->repeatable ||
	       nod_heard(node, mem_holder(node->member, shard),
			 mem_holder_incarnation(node->member, shard));
}

/* Hands a turn to the dispatcher that holds its pool, if one is known. */
static void dispatch(struct turn *turn)
{
	struct node *node = turn->owner->node;
	int shard = find_pool(turn);

	turn->send_due_ms = nod_now(node) + OWN_STALE_MS;
	if (shard < 0 || !mem_holds(node->member, turn->program->shard))
		return;
	if (!may_trust(turn, shard)) {
		nod_hello(node, mem_holder(node->member, shard), false);
		return;
	}
	turn->dispatch_id = nod_next_id(node);
	g_hash_table_insert(turn->owner->dispatches, &turn->dispatch_id, turn);
	g_free(turn->dispatcher);
	turn->dispatcher = g_strdup(mem_holder(node->member, shard));
	turn->dispatcher_incarnation =
		mem_holder_incarnation(node->member, shard);
	turn->pool_epoch = mem_epoch(node->member, shard);
	send_dispatch(turn);
}

static void undispatch(struct turn *turn)
{
	if (turn->dispatch_id != 0)
		g_hash_table_remove(turn->owner->dispatches,
				    &turn->dispatch_id);
	turn->dispatch_id = 0;
	turn->dispatched = false;
}

static void send_cancel(struct turn *turn)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__DispatchCancel msg = APS__DISPATCH_CANCEL__INIT;

	if (!turn->dispatched)
		return;
	msg.dispatch_id = turn->dispatch_id;
	peer.body_case = APS__PEER__BODY_DISPATCH_CANCEL;
	peer.dispatch_cancel = &msg;
	nod_send(turn->owner->node, turn->dispatcher, &peer);
}

void own_set_started(struct program *program, const struct turn *turn)
{
	Aps__Started *started = NULL;
	uint8_t *buf;
	size_t len;
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
		len = aps__started__get_packed_size(&now);
		buf = g_malloc(len + 1);
		aps__started__pack(&now, buf);
		started = aps__started__unpack(NULL, len, buf);
		g_free(buf);
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

	step(turn, TURN_ABANDON);
	fill(&outcome, turn, 200, "ended");
	outcome.executed = APS__EXECUTED__YES;
	set_outcome(turn, &outcome);
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

static void start(struct turn *turn)
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
		step(turn, TURN_BEGIN);
		dispatch(turn);
		return;
	}
	if (covered(turn)) {
		program->escrow = false;
		step(turn, TURN_BEGIN);
		dispatch(turn);
		return;
	}
	step(turn, TURN_ADMIT);
	own_set_started(program, turn);
	own_save(owner, program, turn);
}

static bool same_body(const struct turn *turn, const Aps__TurnRecord *record)
{
	const ProtobufCBinaryData *hash = &turn->request->body_hash;

	return record->body_hash.len == hash->len &&
	       memcmp(record->body_hash.data, hash->data, hash->len) == 0;
}

/* Answers a turn from its record. */
static void replay(struct turn *turn, const Aps__TurnRecord *record)
{
	if (!same_body(turn, record)) {
		own_refuse(turn, 409, "this turn had another body");
		return;
	}
	nod_count(turn->owner->node, NOD_REPLAYS, 1);
	step(turn, TURN_REFUSE);
	set_outcome(turn, record->outcome);
	finish(turn);
}

static struct turn *next_queued(struct owner *owner, struct program *program)
{
	struct turn *turn;

	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->state != TURN_QUEUED)
			continue;
		if (turn->number < program->next_turn &&
		    prg_record(program, turn->number) == NULL) {
			own_read_segment(owner, program);
			continue;
		}
		if (turn->number <= program->next_turn ||
		    turn->number == TURN_END || program->ended)
			return turn;
	}
	return NULL;
}

void own_advance(struct owner *owner, struct program *program)
{
	struct turn *turn;
	struct turn *last = NULL;

	if (!mem_holds(owner->node->member, program->shard) ||
	    owner->node->rules == NULL)
		return;
	while ((turn = next_queued(owner, program)) != NULL && turn != last) {
		last = turn;
		if (turn->number < program->next_turn)
			replay(turn, prg_record(program, turn->number));
		else if (program->ended && turn->number != TURN_END)
			own_refuse(turn, 410, "the program has ended");
		else if (own_active(program) != NULL)
			return;
		else
			start(turn);
	}
}

static void record(struct turn *turn, const Aps__Outcome *outcome)
{
	struct program *program = turn->program;
	bool is_model = turn->request->kind == APS__CALL_KIND__MODEL;
	uint64_t spent = (uint64_t)outcome->prompt_tokens + outcome->out_tokens;

	undispatch(turn);
	set_outcome(turn, outcome);
	if (program->transient) {
		step(turn, TURN_FINISH);
		finish(turn);
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
	step(turn, TURN_RECORD);
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

	set_outcome(turn, outcome);
	if (turn->may_have_run && turn->outcome->executed == APS__EXECUTED__NO)
		turn->outcome->executed = APS__EXECUTED__UNKNOWN;
	if (program->transient) {
		step(turn, TURN_FINISH);
		finish(turn);
		return;
	}
	/* What may have run and must not run again is part of the history. */
	if (outcome->executed != APS__EXECUTED__NO &&
	    !turn->request->repeatable)
		prg_append(program, turn->request, outcome);
	own_set_started(program, NULL);
	step(turn, TURN_RECORD);
	own_save(turn->owner, program, turn);
}

static void conclude(struct turn *turn, const Aps__Outcome *outcome)
{
	struct owner *owner = turn->owner;

	if (turn->state != TURN_RUNNING)
		return;
	if (outcome->status == 200) {
		record(turn, outcome);
		return;
	}
	undispatch(turn);
	charge_lost(turn, outcome);
	if (outcome->executed == APS__EXECUTED__NO || !may_retry(turn)) {
		fail(turn, outcome);
		return;
	}
	owner->retry_credit -= 1;
	nod_count(owner->node, NOD_RETRIES, 1);
	own_set_started(turn->program, NULL);
	step(turn, TURN_RETRY);
}

static struct turn *find_turn(const struct program *program, uint32_t number)
{
	struct turn *turn;

	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->number == number)
			return turn;
	}
	return NULL;
}

static void insert_turn(struct program *program, struct turn *turn)
{
	struct turn *other;

	cds_list_for_each_entry(other, &program->turns, link) {
		if (other->number > turn->number) {
			cds_list_add_tail(&turn->link, &other->link);
			return;
		}
	}
	cds_list_add_tail(&turn->link, &program->turns);
}

static struct turn *turn_create(struct owner *owner, struct program *program,
				const Aps__Call *msg, uint32_t number)
{
	struct turn *turn = g_new0(struct turn, 1);

	turn->owner = owner;
	turn->program = program;
	turn->request = nod_request_dup(msg->request);
	turn->number = number;
	turn->waiters = g_ptr_array_new_with_free_func(waiter_free);
	turn->text = g_byte_array_new();
	/* A stream that broke off goes on where it broke off. */
	if (msg->request->kind == APS__CALL_KIND__MODEL)
		g_byte_array_append(turn->text, msg->streamed.data,
				    (guint)msg->streamed.len);
	insert_turn(program, turn);
	return turn;
}

static void send_text(struct turn *turn, struct waiter *waiter)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__CallChunk msg = APS__CALL_CHUNK__INIT;

	if (waiter->sent >= turn->text->len)
		return;
	msg.call_id = waiter->call_id;
	msg.offset = waiter->sent;
	msg.text = nod_bytes(turn->text->data + waiter->sent,
			     turn->text->len - waiter->sent);
	peer.body_case = APS__PEER__BODY_CALL_CHUNK;
	peer.call_chunk = &msg;
	nod_send(turn->owner->node, waiter->from, &peer);
	waiter->sent = turn->text->len;
}

/* What the caller has must be the beginning of this run's answer. */
static bool continues(const struct turn *turn, const Aps__Call *msg)
{
	return msg->streamed.len <= turn->text->len &&
	       (msg->streamed.len == 0 ||
		memcmp(msg->streamed.data, turn->text->data,
		       msg->streamed.len) == 0);
}

static void join(struct turn *turn, const char *from, const Aps__Call *msg)
{
	int64_t deadline = nod_now(turn->owner->node) + msg->deadline_ms;
	struct waiter *waiter = NULL;

	turn->deadline_ms = MAX(turn->deadline_ms, deadline);
	for (guint i = 0; i < turn->waiters->len; i++) {
		struct waiter *other = turn->waiters->pdata[i];

		if (other->call_id == msg->call_id &&
		    strcmp(other->from, from) == 0)
			waiter = other;
	}
	if (waiter == NULL) {
		waiter = g_new0(struct waiter, 1);
		waiter->from = g_strdup(from);
		waiter->call_id = msg->call_id;
		g_ptr_array_add(turn->waiters, waiter);
	}
	if (!continues(turn, msg))
		return;
	waiter->sent = msg->streamed.len;
	send_text(turn, waiter);
}

static void refuse_call(struct owner *owner, const char *from,
			const Aps__Call *msg, uint32_t status,
			const char *reason)
{
	Aps__Outcome outcome = APS__OUTCOME__INIT;

	outcome.status = status;
	outcome.executed = APS__EXECUTED__NO;
	outcome.step = (char *)"owner";
	outcome.peer = owner->node->id;
	outcome.reason = (char *)reason;
	send_call_done(owner->node, from, msg->call_id, &outcome);
}

static struct program *program_for(struct owner *owner,
				   const Aps__Request *request)
{
	struct program *program;

	program = g_hash_table_lookup(owner->programs, request->program);
	if (program != NULL || request->turn != 0 ||
	    request->kind == APS__CALL_KIND__END)
		return program;
	program = prg_create(request->program, request->account);
	program->owner = owner;
	program->transient = request->transient;
	g_free(program->parent);
	program->parent = g_strdup(request->parent);
	program->budgeted = request->parent[0] == '\0';
	program->budget = request->budget != 0 ? request->budget
					       : owner->node->rules->budget;
	g_hash_table_insert(owner->programs, program->id, program);
	return program;
}

static bool same_request(const struct turn *turn, const Aps__Request *request)
{
	return turn->request->body_hash.len == request->body_hash.len &&
	       memcmp(turn->request->body_hash.data, request->body_hash.data,
		      request->body_hash.len) == 0;
}

/* What keeps no record and must not run twice has one owner ever. */
static bool meant_for_another(const struct owner *owner, const Aps__Call *msg,
			      int shard)
{
	return msg->request->transient && !msg->request->repeatable &&
	       msg->owner_epoch != mem_epoch(owner->node->member, shard);
}

void own_on_call(struct owner *owner, const char *from, const Aps__Call *msg)
{
	const Aps__Request *request = msg->request;
	struct node *node = owner->node;
	int shard = shd_of(SHD_PROGRAM, request->program);
	uint32_t number =
		request->kind == APS__CALL_KIND__END ? TURN_END : request->turn;
	struct program *program;
	struct turn *turn;

	if (!mem_holds(node->member, shard) || node->rules == NULL ||
	    meant_for_another(owner, msg, shard)) {
		mem_poll_soon(node->member);
		send_call_done(node, from, msg->call_id, NULL);
		return;
	}
	program = program_for(owner, request);
	if (program == NULL ||
	    strcmp(program->account, request->account) != 0) {
		refuse_call(owner, from, msg, 404, "no such program");
		return;
	}
	program->last_used_ms = nod_now(node);
	turn = find_turn(program, number);
	if (turn != NULL && !same_request(turn, request)) {
		refuse_call(owner, from, msg, 409,
			    "this turn had another body");
		return;
	}
	if (turn == NULL && mem_handing(node->member, shard)) {
		send_call_done(node, from, msg->call_id, NULL);
		return;
	}
	if (turn == NULL && number != TURN_END &&
	    number >= program->next_turn + OWN_WINDOW) {
		refuse_call(owner, from, msg, 409, "too many turns ahead");
		return;
	}
	if (turn == NULL)
		turn = turn_create(owner, program, msg, number);
	join(turn, from, msg);
	if (turn->state == TURN_ANSWERED)
		answer(turn);
	else
		own_advance(owner, program);
}

static void cancel_turn(struct turn *turn, bool stop)
{
	if (turn->waiters->len > 0 || (!turn->program->transient && !stop))
		return;
	if (turn->state == TURN_QUEUED) {
		own_refuse(turn, 499, "cancelled");
	} else if (turn->request->repeatable) {
		turn->cancelled = true;
		send_cancel(turn);
	}
}

void own_on_cancel(struct owner *owner, const char *from,
		   const Aps__CallCancel *msg)
{
	struct program *program =
		g_hash_table_lookup(owner->programs, msg->program);
	struct turn *turn =
		program != NULL ? find_turn(program, msg->turn) : NULL;

	if (turn == NULL)
		return;
	for (guint i = turn->waiters->len; i-- > 0;) {
		const struct waiter *waiter = turn->waiters->pdata[i];

		if (waiter->call_id == msg->call_id &&
		    strcmp(waiter->from, from) == 0)
			g_ptr_array_remove_index(turn->waiters, i);
	}
	cancel_turn(turn, msg->stop);
}

void own_on_chunk(struct owner *owner, const Aps__DispatchChunk *msg)
{
	struct turn *turn =
		g_hash_table_lookup(owner->dispatches, &msg->dispatch_id);
	size_t skip;

	if (turn == NULL || turn->state != TURN_RUNNING ||
	    msg->offset > turn->text->len)
		return;
	skip = turn->text->len - msg->offset;
	if (skip >= msg->text.len)
		return;
	g_byte_array_append(turn->text, msg->text.data + skip,
			    (guint)(msg->text.len - skip));
	for (guint i = 0; i < turn->waiters->len; i++)
		send_text(turn, turn->waiters->pdata[i]);
}

void own_on_done(struct owner *owner, uint64_t incarnation,
		 const Aps__DispatchDone *msg)
{
	struct turn *turn =
		g_hash_table_lookup(owner->dispatches, &msg->dispatch_id);
	struct program *program;

	/* A later incarnation knows nothing of what an earlier one ran. */
	if (turn == NULL || msg->outcome == NULL ||
	    turn->dispatcher_incarnation != incarnation)
		return;
	program = turn->program;
	if (!msg->stale) {
		conclude(turn, msg->outcome);
		own_advance(owner, program);
		return;
	}
	/* It vouches that it has not run and never will. */
	undispatch(turn);
	turn->send_due_ms = nod_now(owner->node) + OWN_STALE_MS;
	mem_poll_soon(owner->node->member);
}

static void running_tick(struct turn *turn)
{
	struct node *node = turn->owner->node;
	int64_t now = nod_now(node);
	Aps__Outcome outcome;

	fill(&outcome, turn, 504, "deadline passed");
	if (turn->dispatch_id != 0)
		outcome.executed = APS__EXECUTED__UNKNOWN;
	if (now >= turn->deadline_ms) {
		send_cancel(turn);
		conclude(turn, &outcome);
		return;
	}
	if (now < turn->send_due_ms)
		return;
	if (turn->dispatch_id == 0) {
		dispatch(turn);
		return;
	}
	if (mem_alive(node->member, turn->dispatcher,
		      turn->dispatcher_incarnation)) {
		send_dispatch(turn);
		return;
	}
	outcome.status = 502;
	outcome.reason = (char *)"its dispatcher was lost";
	conclude(turn, &outcome);
}

/* May free the turn, and no other. */
static void turn_tick(struct turn *turn)
{
	int64_t now = nod_now(turn->owner->node);

	switch (turn->state) {
	case TURN_QUEUED:
		if (now >= turn->deadline_ms)
			own_refuse(turn, 504, "deadline passed in queue");
		break;
	case TURN_RUNNING:
		running_tick(turn);
		break;
	case TURN_ANSWERED:
		if (now - turn->answered_ms > OWN_KEPT_MS)
			turn_free(turn);
		break;
	default:
		break;
	}
}

void own_on_hello(struct owner *owner)
{
	GList *programs = g_hash_table_get_values(owner->programs);
	int shard;

	for (GList *l = programs; l != NULL; l = l->next) {
		struct turn *turn = own_active(l->data);

		if (turn == NULL || turn->state != TURN_RUNNING ||
		    turn->dispatch_id != 0)
			continue;
		shard = find_pool(turn);
		if (shard >= 0 && may_trust(turn, shard))
			dispatch(turn);
	}
	g_list_free(programs);
}

void own_tick(struct owner *owner)
{
	int64_t now = nod_now(owner->node);
	GList *programs;
	struct turn *turn;
	struct turn *next;

	if (now < owner->sweep_due_ms || owner->node->rules == NULL)
		return;
	owner->sweep_due_ms = now + OWN_SWEEP_MS;
	programs = g_hash_table_get_values(owner->programs);
	for (GList *l = programs; l != NULL; l = l->next) {
		struct program *program = l->data;

		if (!mem_holds(owner->node->member, program->shard))
			continue;
		cds_list_for_each_entry_safe(turn, next, &program->turns,
					     link) {
			turn_tick(turn);
		}
		own_advance(owner, program);
		own_life_tick(owner, program);
	}
	g_list_free(programs);
}
