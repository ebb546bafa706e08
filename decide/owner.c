/** @file owner.c @brief Program owners: calls and the turns they request. */
#include <string.h>

#include "member.h"
#include "owner_int.h"

enum {
	OWNER_TURNS_AHEAD_MAX = 16,	 /* turns queued beyond the next one */
	OWNER_TRANSIENT_KEEP_MS = 30000, /* for a transient turn's outcome */
	OWNER_TICK_MS = 100,
};

static void waiter_free(void *p)
{
	struct waiter *waiter = p;

	g_free(waiter->from);
	g_free(waiter);
}

void owner_drop_program(struct owner *owner, struct program *program)
{
	struct turn *turn;
	struct turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->turns, link) {
		owner_free_turn(turn);
	}
	g_hash_table_remove(owner->programs, program->id);
	program_destroy(program);
}

struct owner *owner_create(struct node *node)
{
	struct owner *owner = g_new0(struct owner, 1);

	owner->node = node;
	owner->programs = g_hash_table_new(g_str_hash, g_str_equal);
	owner->dispatches = g_hash_table_new(g_int64_hash, g_int64_equal);
	owner->retry_credit = OWNER_RETRY_CREDIT_MAX;
	return owner;
}

void owner_destroy(struct owner *owner)
{
	GList *programs;

	if (owner == NULL)
		return;
	programs = g_hash_table_get_values(owner->programs);
	for (GList *l = programs; l != NULL; l = l->next)
		owner_drop_program(owner, l->data);
	g_list_free(programs);
	g_hash_table_unref(owner->programs);
	g_hash_table_unref(owner->dispatches);
	g_free(owner);
}

static bool record_has_same_body(const struct turn *turn,
				 const Aps__TurnRecord *record)
{
	const ProtobufCBinaryData *hash = &turn->request->body_hash;

	return record->body_hash.len == hash->len &&
	       memcmp(record->body_hash.data, hash->data, hash->len) == 0;
}

/* Answers a turn from its record; refuses it if the request differs. */
static void replay(struct turn *turn, const Aps__TurnRecord *record)
{
	if (!record_has_same_body(turn, record)) {
		owner_refuse_turn(turn, 409, "this turn had another body");
		return;
	}
	node_counter_add(turn->owner->node, NODE_REPLAYS, 1);
	owner_step_turn(turn, TURN_REFUSE);
	owner_set_outcome(turn, record->outcome);
	owner_finish_turn(turn);
}

static struct turn *next_ready_turn(struct owner *owner,
				    struct program *program)
{
	struct turn *turn;

	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->state != TURN_QUEUED)
			continue;
		if (turn->number < program->next_turn &&
		    program_find_record(program, turn->number) == NULL) {
			owner_read_segment(owner, program);
			continue;
		}
		if (turn->number <= program->next_turn ||
		    turn->number == TURN_NUMBER_END || program->ended)
			return turn;
	}
	return NULL;
}

void owner_start_ready_turns(struct owner *owner, struct program *program)
{
	struct turn *turn;
	struct turn *last = NULL;

	if (!member_holds_shard(owner->node->member, program->shard) ||
	    owner->node->rules == NULL)
		return;
	while ((turn = next_ready_turn(owner, program)) != NULL &&
	       turn != last) {
		last = turn;
		if (turn->number < program->next_turn)
			replay(turn,
			       program_find_record(program, turn->number));
		else if (program->ended && turn->number != TURN_NUMBER_END)
			owner_refuse_turn(turn, 410, "the program has ended");
		else if (owner_active_turn(program) != NULL)
			return;
		else
			owner_start_turn(turn);
	}
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
	turn->request = msg_dup(&msg->request->base);
	turn->number = number;
	turn->waiters = g_ptr_array_new_with_free_func(waiter_free);
	turn->text = g_byte_array_new();
	/* A model resumes an interrupted stream after what was streamed. */
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
	msg.text = node_wrap_bytes(turn->text->data + waiter->sent,
				   turn->text->len - waiter->sent);
	peer.body_case = APS__PEER__BODY_CALL_CHUNK;
	peer.call_chunk = &msg;
	node_send(turn->owner->node, waiter->from, &peer);
	waiter->sent = turn->text->len;
}

/* Returns whether the caller's part of the response is a prefix of this one. */
static bool matches_text(const struct turn *turn, const Aps__Call *msg)
{
	return msg->streamed.len <= turn->text->len &&
	       (msg->streamed.len == 0 ||
		memcmp(msg->streamed.data, turn->text->data,
		       msg->streamed.len) == 0);
}

static void add_waiter(struct turn *turn, const char *from,
		       const Aps__Call *msg)
{
	int64_t deadline = node_now_ms(turn->owner->node) + msg->deadline_ms;
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
	if (!matches_text(turn, msg))
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
	owner_send_call_done(owner->node, from, msg->call_id, &outcome);
}

static struct program *find_or_create_program(struct owner *owner,
					      const Aps__Request *request)
{
	struct program *program;

	program = g_hash_table_lookup(owner->programs, request->program);
	if (program != NULL || request->turn != 0 ||
	    request->kind == APS__CALL_KIND__END)
		return program;
	program = program_create(request->program, request->account);
	program->owner = owner;
	program->transient = request->transient;
	g_free(program->parent);
	program->parent = g_strdup(request->parent);
	program->has_budget = request->parent[0] == '\0';
	program->budget = request->budget != 0 ? request->budget
					       : owner->node->rules->budget;
	g_hash_table_insert(owner->programs, program->id, program);
	return program;
}

static bool turn_has_same_body(const struct turn *turn,
			       const Aps__Request *request)
{
	return turn->request->body_hash.len == request->body_hash.len &&
	       memcmp(turn->request->body_hash.data, request->body_hash.data,
		      request->body_hash.len) == 0;
}

/*
 * Returns whether the call was sent to another owner of the shard. A transient
 * call leaves no record, so unless idempotent only that owner may run it.
 */
static bool is_for_another_owner(const struct owner *owner,
				 const Aps__Call *msg, int shard)
{
	return msg->request->transient && !msg->request->repeatable &&
	       msg->owner_epoch != member_epoch(owner->node->member, shard);
}

void owner_on_call(struct owner *owner, const char *from, const Aps__Call *msg)
{
	const Aps__Request *request = msg->request;
	struct node *node = owner->node;
	int shard = shard_for_name(SHARD_KIND_PROGRAM, request->program);
	uint32_t number = request->kind == APS__CALL_KIND__END ? TURN_NUMBER_END
							       : request->turn;
	struct program *program;
	struct turn *turn;

	if (!member_holds_shard(node->member, shard) || node->rules == NULL ||
	    is_for_another_owner(owner, msg, shard)) {
		member_poll_soon(node->member);
		owner_send_call_done(node, from, msg->call_id, NULL);
		return;
	}
	program = find_or_create_program(owner, request);
	if (program == NULL ||
	    strcmp(program->account, request->account) != 0) {
		refuse_call(owner, from, msg, 404, "no such program");
		return;
	}
	program->last_used_ms = node_now_ms(node);
	turn = find_turn(program, number);
	if (turn != NULL && !turn_has_same_body(turn, request)) {
		refuse_call(owner, from, msg, 409,
			    "this turn had another body");
		return;
	}
	if (turn == NULL && member_is_draining_shard(node->member, shard)) {
		owner_send_call_done(node, from, msg->call_id, NULL);
		return;
	}
	if (turn == NULL && number != TURN_NUMBER_END &&
	    number >= program->next_turn + OWNER_TURNS_AHEAD_MAX) {
		refuse_call(owner, from, msg, 409, "too many turns ahead");
		return;
	}
	if (turn == NULL)
		turn = turn_create(owner, program, msg, number);
	add_waiter(turn, from, msg);
	if (turn->state == TURN_ANSWERED)
		owner_answer_waiters(turn);
	else
		owner_start_ready_turns(owner, program);
}

static void cancel_turn(struct turn *turn, bool stop)
{
	if (turn->waiters->len > 0 || (!turn->program->transient && !stop))
		return;
	if (turn->state == TURN_QUEUED) {
		owner_refuse_turn(turn, 499, "cancelled");
	} else if (turn->request->repeatable) {
		turn->cancelled = true;
		owner_send_cancel(turn);
	}
}

void owner_on_cancel(struct owner *owner, const char *from,
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

void owner_on_chunk(struct owner *owner, const Aps__DispatchChunk *msg)
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

void owner_on_done(struct owner *owner, uint64_t incarnation,
		   const Aps__DispatchDone *msg)
{
	struct turn *turn =
		g_hash_table_lookup(owner->dispatches, &msg->dispatch_id);
	struct program *program;

	/* Another incarnation cannot know what the one sent to has run. */
	if (turn == NULL || msg->outcome == NULL ||
	    turn->dispatcher_incarnation != incarnation)
		return;
	program = turn->program;
	if (!msg->stale) {
		owner_end_attempt(turn, msg->outcome);
		owner_start_ready_turns(owner, program);
		return;
	}
	/* The dispatcher has not run it and never will. */
	owner_clear_dispatch(turn);
	turn->send_due_ms = node_now_ms(owner->node) + OWNER_REDISPATCH_MS;
	member_poll_soon(owner->node->member);
}

static void tick_running_turn(struct turn *turn)
{
	struct node *node = turn->owner->node;
	int64_t now = node_now_ms(node);
	Aps__Outcome outcome;

	owner_init_outcome(&outcome, turn, 504, "deadline passed");
	if (turn->dispatch_id != 0)
		outcome.executed = APS__EXECUTED__UNKNOWN;
	if (now >= turn->deadline_ms) {
		owner_send_cancel(turn);
		owner_end_attempt(turn, &outcome);
		return;
	}
	if (now < turn->send_due_ms)
		return;
	if (turn->dispatch_id == 0) {
		owner_dispatch_turn(turn);
		return;
	}
	if (now < turn->outcome_due_ms &&
	    member_is_alive(node->member, turn->dispatcher,
			    turn->dispatcher_incarnation)) {
		owner_send_dispatch(turn);
		return;
	}
	outcome.status = 502;
	outcome.reason = (char *)"its dispatcher was lost";
	owner_end_attempt(turn, &outcome);
}

/* May free the turn, but no other turn. */
static void tick_turn(struct turn *turn)
{
	int64_t now = node_now_ms(turn->owner->node);

	switch (turn->state) {
	case TURN_QUEUED:
		if (now >= turn->deadline_ms)
			owner_refuse_turn(turn, 504,
					  "deadline passed in queue");
		break;
	case TURN_RUNNING:
		tick_running_turn(turn);
		break;
	case TURN_ANSWERED:
		/* Retransmissions may arrive until the caller's deadline. */
		if (now > MAX(turn->answered_ms, turn->deadline_ms) +
				  OWNER_TRANSIENT_KEEP_MS)
			owner_free_turn(turn);
		break;
	default:
		break;
	}
}

void owner_on_hello(struct owner *owner)
{
	GList *programs = g_hash_table_get_values(owner->programs);
	int shard;

	for (GList *l = programs; l != NULL; l = l->next) {
		struct turn *turn = owner_active_turn(l->data);

		if (turn == NULL || turn->state != TURN_RUNNING ||
		    turn->dispatch_id != 0)
			continue;
		shard = owner_find_pool_shard(turn);
		if (shard >= 0 && owner_may_dispatch_to(turn, shard))
			owner_dispatch_turn(turn);
	}
	g_list_free(programs);
}

void owner_tick(struct owner *owner)
{
	int64_t now = node_now_ms(owner->node);
	GList *programs;
	struct turn *turn;
	struct turn *next;

	if (now < owner->tick_due_ms || owner->node->rules == NULL)
		return;
	owner->tick_due_ms = now + OWNER_TICK_MS;
	programs = g_hash_table_get_values(owner->programs);
	for (GList *l = programs; l != NULL; l = l->next) {
		struct program *program = l->data;

		if (!member_holds_shard(owner->node->member, program->shard))
			continue;
		cds_list_for_each_entry_safe(turn, next, &program->turns,
					     link) {
			tick_turn(turn);
		}
		owner_start_ready_turns(owner, program);
		owner_tick_program(owner, program);
	}
	g_list_free(programs);
}
