/** @file owner_program.c @brief Programs: loading, budget, end, release. */
#include <string.h>

#include "commit.h"
#include "member.h"
#include "owner_int.h"

enum {
	OWNER_RELEASE_RETRY_MS = 1000,
	OWNER_BUDGET_RETRY_MS = 100,
	OWNER_ENDED_RETENTION_MS = 3600000, /* of the row of an ended program */
	OWNER_SEGMENT_RETRY_MS = 500,
	MS_PER_S = 1000,
};

void owner_add_pool_servers(struct owner *owner, struct program *program,
			    const char *target_name)
{
	const struct rules *rules = owner->node->rules;
	const struct rules_target *target =
		rules != NULL ? rules_target(rules, target_name) : NULL;

	for (guint i = 0; target != NULL && i < rules->servers->len; i++) {
		const struct rules_server *server = rules->servers->pdata[i];

		if (strcmp(server->pool, target->pool) == 0)
			program_add_server(program, server->name, 0);
	}
}

/*
 * Accounts for a run that was in progress when the previous owner was lost: its
 * reserved tokens count as used, and unless idempotent its turn is recorded as
 * possibly executed.
 */
static void recover_started_run(struct owner *owner, struct program *program)
{
	Aps__Started *started = program->started;
	Aps__Request request = APS__REQUEST__INIT;
	Aps__Outcome outcome = APS__OUTCOME__INIT;

	if (started == NULL)
		return;
	program->used += started->reserved;
	owner_add_pool_servers(owner, program, started->target);
	if (!started->repeatable) {
		request.body_hash = started->body_hash;
		request.turn = started->turn;
		request.body = started->body;
		outcome.status = 502;
		outcome.executed = APS__EXECUTED__UNKNOWN;
		outcome.recorded = true;
		outcome.step = (char *)"owner";
		outcome.peer = owner->node->id;
		outcome.reason = (char *)"its owner was lost; it may have run";
		program_append_record(program, &request, &outcome);
	}
	program->started = NULL;
	aps__started__free_unpacked(started, NULL);
}

void owner_load_program(struct owner *owner, int shard, const Aps__Row *row)
{
	struct program *program;

	if (row->deleted)
		return;
	program = program_unpack_row(row->value.data, row->value.len);
	if (program == NULL) {
		node_log(owner->node, "owner: row %s is malformed", row->key);
		return;
	}
	if (program->shard != shard ||
	    g_hash_table_contains(owner->programs, program->id)) {
		program_destroy(program);
		return;
	}
	program->owner = owner;
	program->has_budget = true;
	program->last_used_ms = node_now_ms(owner->node);
	program->ended_ms = program->last_used_ms;
	recover_started_run(owner, program);
	g_hash_table_insert(owner->programs, program->id, program);
}

static bool program_is_idle(const struct program *program)
{
	const struct turn *turn;

	if (program->pending_io > 0)
		return false;
	cds_list_for_each_entry(turn, &program->turns, link) {
		if (turn->state != TURN_ANSWERED)
			return false;
	}
	return true;
}

bool owner_shard_is_idle(const struct owner *owner, int shard)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, owner->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct program *program = value;

		if (program->shard == shard && !program_is_idle(program))
			return false;
	}
	return true;
}

/* Keeps the next owner from charging the program for runs never started. */
void owner_clear_prestarts(struct owner *owner, int shard)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, owner->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct program *program = value;

		if (program->shard != shard || !program->prestarted)
			continue;
		owner_set_started(program, NULL);
		owner_save_program(owner, program, NULL);
	}
}

void owner_release_shard(struct owner *owner, int shard)
{
	GList *programs = g_hash_table_get_values(owner->programs);

	for (GList *l = programs; l != NULL; l = l->next) {
		struct program *program = l->data;

		if (program->shard != shard)
			continue;
		/* Only idle shards are handed over: the lease was lost. */
		if (program_is_idle(program)) {
			owner_drop_program(owner, program);
			continue;
		}
		node_log(owner->node, "owner: shard %d lost while in use",
			 shard);
		owner->node->fenced = true;
	}
	g_list_free(programs);
}

static void on_segment_read(void *arg, bool ok, const uint8_t *buf, size_t len)
{
	struct program *program = arg;

	program->pending_io--;
	program->reading_segment = false;
	if (ok && buf != NULL)
		(void)program_load_segment(program, buf, len);
}

void owner_read_segment(struct owner *owner, struct program *program)
{
	const char *name;

	if (program->reading_segment || program->unread_segments == 0)
		return;
	name = program->segments->pdata[program->unread_segments - 1];
	program->reading_segment = true;
	program->pending_io++;
	node_object_get(owner->node, name, on_segment_read, program);
}

static void on_segment_stored(void *arg, bool ok, const uint8_t *buf,
			      size_t len)
{
	struct program *program = arg;
	char *name = program->storing_segment;

	(void)buf;
	(void)len;
	program->pending_io--;
	program->storing_segment = NULL;
	if (ok) {
		program_segment_stored(program, name);
		owner_save_program(program->owner, program, NULL);
	}
	g_free(name);
}

void owner_store_segment(struct owner *owner, struct program *program)
{
	uint8_t *buf;
	size_t len;

	if (!program_has_segment_due(program))
		return;
	buf = program_pack_segment(program, &program->storing_segment, &len);
	program->pending_io++;
	node_object_put(owner->node, program->storing_segment, buf, len,
			on_segment_stored, program);
	g_free(buf);
}

void owner_request_budget(struct owner *owner, struct program *program)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__BudgetMove msg = APS__BUDGET_MOVE__INIT;
	int64_t now = node_now_ms(owner->node);

	if (now < program->budget_due_ms)
		return;
	program->budget_due_ms = now + OWNER_BUDGET_RETRY_MS;
	msg.parent = program->parent;
	msg.child = program->id;
	msg.amount = program->budget;
	msg.account = program->account;
	peer.body_case = APS__PEER__BODY_BUDGET_MOVE;
	peer.budget_move = &msg;
	(void)node_send_to_shard(
		owner->node,
		shard_for_name(SHARD_KIND_PROGRAM, program->parent), &peer);
}

static void send_budget_reply(struct owner *owner, const char *to,
			      const Aps__BudgetMove *msg, const char *refusal)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__BudgetMoved reply = APS__BUDGET_MOVED__INIT;

	reply.parent = msg->parent;
	reply.child = msg->child;
	reply.granted = refusal == NULL;
	reply.reason = (char *)(refusal != NULL ? refusal : "");
	peer.body_case = APS__PEER__BODY_BUDGET_MOVED;
	peer.budget_moved = &reply;
	node_send(owner->node, to, &peer);
}

static bool has_child(const struct program *program, const char *child)
{
	for (guint i = 0; i < program->children->len; i++) {
		const Aps__Child *c = program->children->pdata[i];

		if (strcmp(c->program, child) == 0)
			return true;
	}
	return false;
}

static void add_child(struct program *program, const Aps__BudgetMove *msg)
{
	Aps__Child child = APS__CHILD__INIT;

	child.program = msg->child;
	child.amount = msg->amount;
	g_ptr_array_add(program->children, msg_dup(&child.base));
	program->used += msg->amount;
}

void owner_on_budget_move(struct owner *owner, const char *from,
			  const Aps__BudgetMove *msg)
{
	struct program *program;
	uint64_t reserved;

	/* No reply is needed: the child's owner retries until it gets one. */
	if (!member_holds_shard(
		    owner->node->member,
		    shard_for_name(SHARD_KIND_PROGRAM, msg->parent)))
		return;
	program = g_hash_table_lookup(owner->programs, msg->parent);
	if (program == NULL || strcmp(program->account, msg->account) != 0) {
		send_budget_reply(owner, from, msg, "no such parent program");
		return;
	}
	if (has_child(program, msg->child)) {
		if (program->pending_io == 0)
			send_budget_reply(owner, from, msg, NULL);
		return;
	}
	if (program->ended) {
		send_budget_reply(owner, from, msg,
				  "the parent program has ended");
		return;
	}
	reserved = program->started != NULL && !program->prestarted
			   ? program->started->reserved
			   : 0;
	if (program->used + reserved + msg->amount > program->budget) {
		send_budget_reply(owner, from, msg,
				  "the parent's budget is too small");
		return;
	}
	add_child(program, msg);
	owner_save_program(owner, program, NULL);
}

void owner_on_budget_moved(struct owner *owner, const Aps__BudgetMoved *msg)
{
	struct program *program =
		g_hash_table_lookup(owner->programs, msg->child);

	if (program == NULL || program->has_budget)
		return;
	if (msg->granted) {
		program->has_budget = true;
		owner_start_ready_turns(owner, program);
		return;
	}
	while (!cds_list_empty(&program->turns))
		owner_refuse_turn(cds_list_first_entry(&program->turns,
						       struct turn, link),
				  402, msg->reason);
	owner_drop_program(owner, program);
}

void owner_end_program(struct owner *owner, struct program *program,
		       const char *reason)
{
	if (program->ended)
		return;
	program->ended = true;
	if (program->prestarted)
		owner_set_started(program, NULL);
	program->ended_ms = node_now_ms(owner->node);
	g_free(program->end_reason);
	program->end_reason = g_strdup(reason);
}

static void on_released(void *arg, bool acknowledged, uint64_t incarnation)
{
	struct program_server *server = arg;
	struct program *program = server->program;
	struct node *node = program->owner->node;
	bool restarted = server->incarnation != 0 && incarnation != 0 &&
			 incarnation != server->incarnation;

	program->pending_io--;
	server->releasing = false;
	if (!acknowledged && !restarted) {
		server->release_due_ms =
			node_now_ms(node) + OWNER_RELEASE_RETRY_MS;
		return;
	}
	node_counter_add(node, NODE_RELEASES, 1);
	g_ptr_array_remove(program->servers, server);
	owner_save_program(program->owner, program, NULL);
}

static void request_release(struct owner *owner, struct program *program,
			    struct program_server *server)
{
	struct node *node = owner->node;
	const struct rules_server *rule =
		rules_server(node->rules, server->name);

	if (server->releasing || node_now_ms(node) < server->release_due_ms)
		return;
	server->release_due_ms = node_now_ms(node) + OWNER_RELEASE_RETRY_MS;
	/* A server that is not in the rules may come back: keep retrying. */
	if (rule == NULL)
		return;
	server->releasing = true;
	program->pending_io++;
	node_send_release(node, rule->addr, program->id,
			  member_epoch(node->member, program->shard),
			  on_released, server);
}

static void delete_program(struct owner *owner, struct program *program)
{
	char *key = program_row_key(program);

	if (program->stored)
		commit_put_row(owner->node->commit, key, NULL, 0, NULL, NULL);
	owner_drop_program(owner, program);
	g_free(key);
}

void owner_tick_program(struct owner *owner, struct program *program)
{
	int64_t now = node_now_ms(owner->node);
	int64_t idle_ms = (int64_t)owner->node->rules->idle_s * MS_PER_S;

	if (!program->stored) {
		if (cds_list_empty(&program->turns) && program->pending_io == 0)
			owner_drop_program(owner, program);
		return;
	}
	if (!program->ended && cds_list_empty(&program->turns) &&
	    now - program->last_used_ms > idle_ms) {
		owner_end_program(owner, program, "idle limit");
		owner_save_program(owner, program, NULL);
	}
	if (!program->ended || program->pending_io > 0)
		return;
	for (guint i = 0; i < program->servers->len; i++)
		request_release(owner, program, program->servers->pdata[i]);
	if (program->servers->len == 0 && cds_list_empty(&program->turns) &&
	    now - program->ended_ms > OWNER_ENDED_RETENTION_MS)
		delete_program(owner, program);
}

size_t owner_program_count(const struct owner *owner)
{
	GHashTableIter iter;
	size_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, owner->programs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct program *program = value;

		count += !program->ended;
	}
	return count;
}
