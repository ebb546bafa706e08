/** @file owner_send.c @brief Program owners: turns at their dispatchers. */
#include "member.h"
#include "owner_int.h"

enum {
	OWN_RESEND_MS = 2000, /* between sendings to a dispatcher */
	/* Wait for an outcome after the deadline, in ms: shorter than a
	 * dispatcher remembers it, so that a late copy cannot run again. */
	OWN_VERDICT_MS = 30000,
};

void own_send_dispatch(struct turn *turn)
{
	struct node *node = turn->owner->node;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Dispatch msg = APS__DISPATCH__INIT;
	GByteArray *prompt = prg_prompt(turn->program, turn->request);
	int64_t now = nod_now(node);

	msg.dispatch_id = turn->dispatch_id;
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
int own_find_pool(const struct turn *turn)
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
bool own_may_trust(const struct turn *turn, int shard)
{
	const struct node *node = turn->owner->node;

	return turn->request->repeatable ||
	       nod_heard(node, mem_holder(node->member, shard),
			 mem_holder_incarnation(node->member, shard));
}

/* Hands a turn to the dispatcher that holds its pool, if one is known. */
void own_dispatch(struct turn *turn)
{
	struct node *node = turn->owner->node;
	int shard = own_find_pool(turn);

	turn->send_due_ms = nod_now(node) + OWN_STALE_MS;
	if (shard < 0 || !mem_holds(node->member, turn->program->shard))
		return;
	if (!own_may_trust(turn, shard)) {
		nod_hello(node, mem_holder(node->member, shard), false);
		return;
	}
	turn->verdict_ms = turn->deadline_ms + OWN_VERDICT_MS;
	turn->dispatch_id = nod_next_id(node);
	g_hash_table_insert(turn->owner->dispatches, &turn->dispatch_id, turn);
	g_free(turn->dispatcher);
	turn->dispatcher = g_strdup(mem_holder(node->member, shard));
	turn->dispatcher_incarnation =
		mem_holder_incarnation(node->member, shard);
	turn->pool_epoch = mem_epoch(node->member, shard);
	own_send_dispatch(turn);
}

void own_undispatch(struct turn *turn)
{
	if (turn->dispatch_id != 0)
		g_hash_table_remove(turn->owner->dispatches,
				    &turn->dispatch_id);
	turn->dispatch_id = 0;
	turn->dispatched = false;
}

void own_send_cancel(struct turn *turn)
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
