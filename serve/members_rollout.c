/** @file members_rollout.c @brief Reports on roll-outs to those who decide. */
#include "clock.h"
#include "decide/share.h"
#include "members_int.h"

enum {
	RECEIVERS = 2, /* the second one stands by */
};

static bool may_decide(const struct members *members,
		       const struct member *member)
{
	return !member->gone && member->addr.sin_port != 0 &&
	       !live_is_leaving(members->live, member->id);
}

/* Finds the first instances for a task; NULL stands for this one. Returns their
 * number. */
static size_t find_first(const struct members *members, const char *task,
			 const struct member *first[RECEIVERS])
{
	uint64_t task_hash = rng_hash(task);
	uint64_t orders[RECEIVERS] = {share_order(task_hash, members->hash)};
	size_t count = 1;
	GHashTableIter it;
	gpointer p;

	first[0] = NULL;
	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;
		uint64_t order = share_order(task_hash, member->hash);
		size_t at = count;

		if (!may_decide(members, member))
			continue;
		while (at > 0 && order > orders[at - 1])
			at--;
		if (at >= RECEIVERS)
			continue;
		count = MIN(count + 1, (size_t)RECEIVERS);
		for (size_t i = count - 1; i > at; i--) {
			first[i] = first[i - 1];
			orders[i] = orders[i - 1];
		}
		first[at] = member;
		orders[at] = order;
	}
	return count;
}

bool members_send_rollout(struct members *members, const char *task,
			  struct Rows__RolloutReport *report)
{
	const struct member *first[RECEIVERS] = {NULL};
	size_t count = find_first(members, task, first);
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	bool is_receiver = false;

	report->id = (char *)members->config.id;
	report->epoch = members->config.epoch;
	datagram.n_rollouts = 1;
	datagram.rollouts = &report;
	for (size_t i = 0; i < count; i++) {
		if (first[i] == NULL)
			is_receiver = true;
		else
			members_net_send(members, &first[i]->addr, &datagram);
	}
	return is_receiver;
}

void members_foreach(const struct members *members,
		     void (*fn)(void *arg, const char *id, bool responds),
		     void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		fn(arg, member->id,
		   !member->gone && !live_is_silent(members->live, member->id));
	}
}
