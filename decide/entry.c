/** @file entry.c @brief Calls received by this instance. */
#include <string.h>

#include "config.h"
#include "entry.h"
#include "member.h"

enum {
	ENTRY_RESEND_MS = 2000,	   /* between retransmissions to an owner */
	ENTRY_MOVED_RETRY_MS = 50, /* before retrying after a handover */
};

/* A call from a caller of this instance. */
struct entry_call {
	uint64_t id;
	Aps__Request *request;
	int shard; /* of the program */
	int64_t deadline_ms;
	int64_t send_due_ms;
	uint64_t sent_epoch;	   /* of the shard when last sent, 0 if never */
	uint64_t sent_incarnation; /* of the owner last sent to */
	bool sent;
	uint32_t copies;      /* sent to that owner and not returned */
	bool may_have_run;    /* at an earlier owner */
	GByteArray *streamed; /* part of the response that the caller has */
};

struct entry {
	struct node *node;
	GHashTable *calls; /* id to struct entry_call */
};

static void entry_call_free(void *p)
{
	struct entry_call *call = p;

	aps__request__free_unpacked(call->request, NULL);
	g_byte_array_unref(call->streamed);
	g_free(call);
}

struct entry *entry_create(struct node *node)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->node = node;
	entry->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     entry_call_free);
	return entry;
}

void entry_destroy(struct entry *entry)
{
	if (entry == NULL)
		return;
	g_hash_table_unref(entry->calls);
	g_free(entry);
}

static void complete_call(struct entry *entry, struct entry_call *call,
			  const Aps__Outcome *outcome)
{
	struct node *node = entry->node;

	node_counter_add(
		node, outcome->status == 200 ? NODE_ANSWERS : NODE_REFUSALS, 1);
	node->io.done(node->io.arg, call->id, outcome, call->streamed->len);
	g_hash_table_remove(entry->calls, &call->id);
}

static void fail_call(struct entry *entry, struct entry_call *call,
		      uint32_t status, const char *reason)
{
	Aps__Outcome outcome = APS__OUTCOME__INIT;

	outcome.status = status;
	outcome.executed =
		call->sent ? APS__EXECUTED__UNKNOWN : APS__EXECUTED__NO;
	outcome.step = (char *)"entry";
	outcome.peer = entry->node->id;
	outcome.reason = (char *)reason;
	outcome.retry_after_ms = status == 503 ? 1000 : 0;
	complete_call(entry, call, &outcome);
}

uint64_t entry_start_call(struct entry *entry, const struct node_call *call)
{
	struct node *node = entry->node;
	struct entry_call *entry_call = g_new0(struct entry_call, 1);
	uint64_t id = node_next_id(node);

	entry_call->id = id;
	entry_call->request = msg_dup(&call->request->base);
	entry_call->shard =
		shard_for_name(SHARD_KIND_PROGRAM, call->request->program);
	entry_call->deadline_ms = node_now_ms(node) + call->deadline_ms;
	entry_call->streamed = g_byte_array_new();
	g_hash_table_insert(entry->calls, &entry_call->id, entry_call);
	node_counter_add(node, NODE_CALLS, 1);
	if (node_refuses_calls(node))
		fail_call(entry, entry_call, 503, "instance is leaving");
	else if (node->rules == NULL)
		fail_call(entry, entry_call, 503, "no rules yet");
	else if (!member_has_current_rules(node->member))
		fail_call(entry, entry_call, 503, "rules may be out of date");
	else if (cfg_authorize(node->rules, call->request) == NULL)
		fail_call(entry, entry_call, 401,
			  "key is not valid for this account");
	else if (call->request->kind != APS__CALL_KIND__END &&
		 rules_target(node->rules, call->request->target) == NULL)
		fail_call(entry, entry_call, 404, "unknown model or service");
	return id;
}

void entry_cancel_call(struct entry *entry, uint64_t call_id)
{
	struct entry_call *call = g_hash_table_lookup(entry->calls, &call_id);
	Aps__Peer peer = APS__PEER__INIT;
	Aps__CallCancel cancel = APS__CALL_CANCEL__INIT;

	if (call == NULL)
		return;
	cancel.call_id = call_id;
	cancel.program = call->request->program;
	cancel.turn = call->request->turn;
	peer.body_case = APS__PEER__BODY_CALL_CANCEL;
	peer.call_cancel = &cancel;
	if (call->sent)
		node_send_to_shard(entry->node, call->shard, &peer);
	g_hash_table_remove(entry->calls, &call_id);
}

void entry_on_chunk(struct entry *entry, const Aps__CallChunk *chunk)
{
	struct entry_call *call =
		g_hash_table_lookup(entry->calls, &chunk->call_id);
	struct node *node = entry->node;
	size_t skip;

	if (call == NULL || chunk->offset > call->streamed->len)
		return;
	skip = call->streamed->len - chunk->offset;
	if (skip >= chunk->text.len)
		return;
	node->io.chunk(node->io.arg, call->id, chunk->text.data + skip,
		       chunk->text.len - skip);
	g_byte_array_append(call->streamed, chunk->text.data + skip,
			    (guint)(chunk->text.len - skip));
}

/* Returns whether the response starts with what the caller has received. */
static bool extends_streamed(const struct entry_call *call,
			     const Aps__Outcome *outcome)
{
	return outcome->answer.len >= call->streamed->len &&
	       (call->streamed->len == 0 ||
		memcmp(outcome->answer.data, call->streamed->data,
		       call->streamed->len) == 0);
}

void entry_on_done(struct entry *entry, uint64_t incarnation,
		   const Aps__CallDone *done)
{
	struct entry_call *call =
		g_hash_table_lookup(entry->calls, &done->call_id);

	if (call == NULL)
		return;
	if (done->moved) {
		call->send_due_ms =
			node_now_ms(entry->node) + ENTRY_MOVED_RETRY_MS;
		/* The sending incarnation will not run one of the copies. */
		if (incarnation == call->sent_incarnation && call->copies > 0)
			call->copies--;
		member_poll_soon(entry->node->member);
		return;
	}
	if (done->outcome == NULL)
		return;
	if (done->outcome->status == 200 &&
	    !extends_streamed(call, done->outcome)) {
		fail_call(entry, call, 502,
			  "answer changed while it was streamed");
		return;
	}
	/* The call went to an earlier owner too, which may have run it. */
	if (incarnation != call->sent_incarnation)
		call->may_have_run = true;
	if (call->may_have_run && done->outcome->executed == APS__EXECUTED__NO)
		done->outcome->executed = APS__EXECUTED__UNKNOWN;
	complete_call(entry, call, done->outcome);
}

static void send_call(struct entry *entry, struct entry_call *call)
{
	struct node *node = entry->node;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Call msg = APS__CALL__INIT;
	int64_t now = node_now_ms(node);

	msg.call_id = call->id;
	msg.deadline_ms = (uint32_t)(call->deadline_ms - now);
	msg.streamed =
		node_wrap_bytes(call->streamed->data, call->streamed->len);
	msg.request = call->request;
	msg.owner_epoch = member_epoch(node->member, call->shard);
	peer.body_case = APS__PEER__BODY_CALL;
	peer.call = &msg;
	if (!node_send_to_shard(node, call->shard, &peer))
		return;
	call->sent = true;
	if (member_epoch(node->member, call->shard) != call->sent_epoch) {
		call->may_have_run |= call->copies > 0;
		call->copies = 0;
	}
	call->copies++;
	call->sent_epoch = member_epoch(node->member, call->shard);
	call->sent_incarnation =
		member_holder_incarnation(node->member, call->shard);
	call->send_due_ms = now + ENTRY_RESEND_MS;
}

/*
 * Returns whether the call may be sent to the present owner. A transient call
 * leaves no record, so unless idempotent it must not reach a second owner.
 */
static bool may_send_call(const struct entry *entry,
			  const struct entry_call *call)
{
	return !call->request->transient || call->request->repeatable ||
	       (call->copies == 0 && !call->may_have_run) ||
	       member_epoch(entry->node->member, call->shard) ==
		       call->sent_epoch;
}

static void tick_call(struct entry *entry, struct entry_call *call)
{
	struct node *node = entry->node;
	int64_t now = node_now_ms(node);
	uint64_t epoch = member_epoch(node->member, call->shard);

	if (now >= call->deadline_ms) {
		fail_call(entry, call, 504, "deadline passed");
		return;
	}
	if (epoch != call->sent_epoch && call->copies > 0)
		call->send_due_ms = MIN(call->send_due_ms, now);
	if (now < call->send_due_ms || epoch == 0)
		return;
	if (may_send_call(entry, call))
		send_call(entry, call);
	else
		fail_call(entry, call, 502,
			  "owner lost; the call may have run");
}

static void for_each_call(struct entry *entry,
			  void (*fn)(struct entry *, struct entry_call *))
{
	GList *calls = g_hash_table_get_values(entry->calls);

	for (GList *l = calls; l != NULL; l = l->next)
		fn(entry, l->data);
	g_list_free(calls);
}

void entry_tick(struct entry *entry)
{
	for_each_call(entry, tick_call);
}

static void recheck_key(struct entry *entry, struct entry_call *call)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__CallCancel cancel = APS__CALL_CANCEL__INIT;

	if (cfg_authorize(entry->node->rules, call->request) != NULL)
		return;
	cancel.call_id = call->id;
	cancel.program = call->request->program;
	cancel.turn = call->request->turn;
	cancel.stop = true;
	peer.body_case = APS__PEER__BODY_CALL_CANCEL;
	peer.call_cancel = &cancel;
	if (call->sent)
		node_send_to_shard(entry->node, call->shard, &peer);
	fail_call(entry, call, 401, "key was withdrawn");
}

void entry_on_rules(struct entry *entry)
{
	for_each_call(entry, recheck_key);
}

size_t entry_call_count(const struct entry *entry)
{
	return g_hash_table_size(entry->calls);
}
