/** @file owner_dispatch.c @brief Program owners: dispatch of turns. */
#include "member.h"
#include "owner_int.h"

enum {
	OWNER_RESEND_MS = 2000, /* between retransmissions to a dispatcher */
	/*
	 * How long after the deadline that a turn had when dispatched it may be
	 * resent: less than its dispatcher remembers the outcome, so that a
	 * late duplicate cannot run again.
	 */
	OWNER_OUTCOME_WAIT_MS = 30000,
};

void owner_send_dispatch(struct turn *turn)
{
	struct node *node = turn->owner->node;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Dispatch msg = APS__DISPATCH__INIT;
	GByteArray *prompt = program_build_prompt(turn->program, turn->request);
	int64_t now = node_now_ms(node);

	msg.dispatch_id = turn->dispatch_id;
	msg.pool_epoch = turn->pool_epoch;
	msg.fence = member_epoch(node->member, turn->program->shard);
	msg.deadline_ms = (uint32_t)MAX(turn->deadline_ms - now, 1);
	msg.prompt = node_wrap_bytes(prompt->data, prompt->len);
	msg.resume = node_wrap_bytes(turn->text->data, turn->text->len);
	msg.attained = turn->program->used;
	msg.request = turn->request;
	peer.body_case = APS__PEER__BODY_DISPATCH;
	peer.dispatch = &msg;
	node_send(node, turn->dispatcher, &peer);
	turn->dispatched = true;
	turn->send_due_ms = now + OWNER_RESEND_MS;
	g_byte_array_unref(prompt);
}

int owner_find_pool_shard(const struct turn *turn)
{
	const struct node *node = turn->owner->node;
	const struct rules_target *target =
		rules_target(node->rules, turn->request->target);
	const char *holder;
	int shard;

	if (target == NULL)
		return -1;
	shard = shard_for_name(SHARD_KIND_POOL, target->pool);
	holder = member_holder(node->member, shard);
	if (holder == NULL ||
	    !member_is_alive(node->member, holder,
			     member_holder_incarnation(node->member, shard)))
		return -1;
	return shard;
}

/*
 * A turn that is not idempotent is sent only to an instance that was heard from
 * recently: if the instance died, its outcome would stay unknown.
 */
bool owner_may_dispatch_to(const struct turn *turn, int shard)
{
	const struct node *node = turn->owner->node;

	return turn->request->repeatable ||
	       node_peer_seen_recently(
		       node, member_holder(node->member, shard),
		       member_holder_incarnation(node->member, shard));
}

void owner_dispatch_turn(struct turn *turn)
{
	struct node *node = turn->owner->node;
	int shard = owner_find_pool_shard(turn);

	turn->send_due_ms = node_now_ms(node) + OWNER_REDISPATCH_MS;
	if (shard < 0 ||
	    !member_holds_shard(node->member, turn->program->shard))
		return;
	if (!owner_may_dispatch_to(turn, shard)) {
		node_send_hello(node, member_holder(node->member, shard),
				false);
		return;
	}
	turn->outcome_due_ms = turn->deadline_ms + OWNER_OUTCOME_WAIT_MS;
	turn->dispatch_id = node_next_id(node);
	g_hash_table_insert(turn->owner->dispatches, &turn->dispatch_id, turn);
	g_free(turn->dispatcher);
	turn->dispatcher = g_strdup(member_holder(node->member, shard));
	turn->dispatcher_incarnation =
		member_holder_incarnation(node->member, shard);
	turn->pool_epoch = member_epoch(node->member, shard);
	owner_send_dispatch(turn);
}

void owner_clear_dispatch(struct turn *turn)
{
	if (turn->dispatch_id != 0)
		g_hash_table_remove(turn->owner->dispatches,
				    &turn->dispatch_id);
	turn->dispatch_id = 0;
	turn->dispatched = false;
}

void owner_send_cancel(struct turn *turn)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__DispatchCancel msg = APS__DISPATCH_CANCEL__INIT;

	if (!turn->dispatched)
		return;
	msg.dispatch_id = turn->dispatch_id;
	peer.body_case = APS__PEER__BODY_DISPATCH_CANCEL;
	peer.dispatch_cancel = &msg;
	node_send(turn->owner->node, turn->dispatcher, &peer);
}
