/** @file member.c @brief Membership and shard leases. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commit.h"
#include "config.h"
#include "member.h"
#include "owner.h"
#include "pool.h"
#include "quarantine.h"

enum {
	MEMBER_ASSIGN_MS = 200,	     /* between assignments of the shards */
	MEMBER_JOIN_DELAY_MS = 1000, /* age at which an instance gets shards */
	MEMBER_HANDOVERS_MAX = 32,   /* concurrent handovers */
	MEMBER_HANDOVER_GRACE_MS = 3000, /* new turns still accepted */
	MEMBER_KEY_MAX = 128,
	MEMBER_SUCCESSOR_WAIT_MS = 3000, /* before draining without one */
	MEMBER_POLL_GAP_MIN_MS = 50,	 /* between two polls */
	/* A longer gap between polls restarts the timer of every lease. */
	MEMBER_POLL_GAP_MAX_MS = 3 * MEMBER_POLL_MS,
};

/* Role of this node for a shard. */
enum shard_state {
	SHARD_NOT_HELD,
	SHARD_CLAIMING, /* the shard's row is being written */
	SHARD_LOADING,	/* held; its programs are being read */
	SHARD_SERVING,
	SHARD_DRAINING,	    /* served until idle, then handed over */
	SHARD_HANDING_OVER, /* the successor is being written to the row */
};

struct instance {
	Aps__InstanceRow *row;
	uint64_t version;
	int64_t changed_ms;    /* when this version was first seen */
	int64_t first_seen_ms; /* when this incarnation was first seen */
};

struct shard {
	Aps__ShardRow *row;
	uint64_t version;
	int64_t changed_ms;
	enum shard_state state;
	int index;
	int64_t draining_ms; /* when draining began */
	struct membership *member;
};

struct membership {
	struct node *node;
	GHashTable *instances; /* id to struct instance */
	struct shard shards[SHARD_COUNT];
	uint64_t version; /* of the table, up to which all rows are known */
	bool polling;
	bool polled; /* at least one poll has succeeded */
	int64_t poll_due_ms;
	int64_t poll_sent_ms;
	int64_t poll_ok_ms;	/* send time of the last successful poll */
	int64_t watch_since_ms; /* start of polling without a long gap */
	int64_t assign_due_ms;
	uint64_t logged_dead_version; /* row version last logged as dead */
};

static void instance_free(void *p)
{
	struct instance *inst = p;

	if (inst->row != NULL)
		aps__instance_row__free_unpacked(inst->row, NULL);
	g_free(inst);
}

struct membership *member_create(struct node *node)
{
	struct membership *member = g_new0(struct membership, 1);

	member->node = node;
	member->instances = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, instance_free);
	member->poll_ok_ms = INT64_MIN / 2;
	for (int i = 0; i < SHARD_COUNT; i++) {
		member->shards[i].index = i;
		member->shards[i].member = member;
	}
	return member;
}

void member_destroy(struct membership *member)
{
	if (member == NULL)
		return;
	for (int i = 0; i < SHARD_COUNT; i++) {
		if (member->shards[i].row != NULL)
			aps__shard_row__free_unpacked(member->shards[i].row,
						      NULL);
	}
	g_hash_table_unref(member->instances);
	g_free(member);
}

static struct instance *instance_get(struct membership *member, const char *id)
{
	struct instance *inst = g_hash_table_lookup(member->instances, id);

	if (inst != NULL)
		return inst;
	inst = g_new0(struct instance, 1);
	g_hash_table_insert(member->instances, g_strdup(id), inst);
	return inst;
}

static void update_instance(struct membership *member, const Aps__Row *row)
{
	struct instance *inst = instance_get(member, row->key + 4);
	Aps__InstanceRow *update;
	int64_t now = node_now_ms(member->node);

	update = aps__instance_row__unpack(NULL, row->value.len,
					   row->value.data);
	if (update == NULL || row->version <= inst->version) {
		if (update != NULL)
			aps__instance_row__free_unpacked(update, NULL);
		return;
	}
	if (inst->row == NULL || inst->row->incarnation != update->incarnation)
		inst->first_seen_ms = now;
	if (inst->row != NULL)
		aps__instance_row__free_unpacked(inst->row, NULL);
	inst->row = update;
	inst->version = row->version;
	inst->changed_ms = now;
}

static bool is_self(const struct membership *member, const Aps__ShardRow *row)
{
	return row != NULL && row->incarnation == member->node->incarnation &&
	       strcmp(row->holder, member->node->id) == 0;
}

static void acquire_shard(struct shard *shard)
{
	struct node *node = shard->member->node;

	node_counter_add(node, NODE_SHARDS_TAKEN, 1);
	shard->state = SHARD_SERVING;
	if (shard_kind(shard->index) == SHARD_KIND_POOL)
		pool_shard_acquire(node->pools, shard->index, shard->row);
	else if (shard_kind(shard->index) == SHARD_KIND_LEDGER)
		ledger_acquire_shard(node->ledger, shard->index);
}

static void on_loaded(void *arg, const Aps__TableReply *reply)
{
	struct shard *shard = arg;
	struct node *node = shard->member->node;

	if (shard->state != SHARD_LOADING)
		return;
	if (reply == NULL) {
		shard->state = SHARD_CLAIMING;
		return;
	}
	for (size_t i = 0; i < reply->n_rows; i++)
		owner_load_program(node->owner, shard->index, reply->rows[i]);
	acquire_shard(shard);
}

static void load_shard(struct shard *shard)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	char prefix[MEMBER_KEY_MAX];

	if (shard_kind(shard->index) != SHARD_KIND_PROGRAM) {
		acquire_shard(shard);
		return;
	}
	snprintf(prefix, sizeof(prefix), "p/%04x/", (unsigned)shard->index);
	request.op = APS__TABLE_REQUEST__OP__RANGE;
	request.prefix = prefix;
	shard->state = SHARD_LOADING;
	node_table_request(shard->member->node, &request, on_loaded, shard);
}

static void release_shard(struct shard *shard)
{
	struct node *node = shard->member->node;

	shard->state = SHARD_NOT_HELD;
	switch (shard_kind(shard->index)) {
	case SHARD_KIND_PROGRAM:
		owner_release_shard(node->owner, shard->index);
		break;
	case SHARD_KIND_POOL:
		pool_shard_release(node->pools, shard->index);
		break;
	case SHARD_KIND_LEDGER:
		break;
	}
}

static void set_row(struct shard *shard, Aps__ShardRow *row, uint64_t version)
{
	if (shard->row != NULL)
		aps__shard_row__free_unpacked(shard->row, NULL);
	shard->row = row;
	shard->version = version;
	shard->changed_ms = node_now_ms(shard->member->node);
}

static void update_shard(struct membership *member, const Aps__Row *row)
{
	unsigned long index = strtoul(row->key + 4, NULL, 16);
	struct shard *shard;
	Aps__ShardRow *update;

	if (index >= SHARD_COUNT)
		return;
	shard = &member->shards[index];
	update = aps__shard_row__unpack(NULL, row->value.len, row->value.data);
	if (update == NULL || row->version <= shard->version) {
		if (update != NULL)
			aps__shard_row__free_unpacked(update, NULL);
		return;
	}
	set_row(shard, update, row->version);
	/* Another holder may have served the shard since: reload it. */
	if (shard->state >= SHARD_LOADING)
		release_shard(shard);
	if (is_self(member, update))
		load_shard(shard);
}

static void update_row(struct membership *member, const Aps__Row *row)
{
	struct node *node = member->node;

	if (g_str_has_prefix(row->key, "n/i/"))
		update_instance(member, row);
	else if (g_str_has_prefix(row->key, "n/s/"))
		update_shard(member, row);
	else if (g_str_has_prefix(row->key, "n/m/"))
		quarantine_on_row(node->quarantine, row);
	else if (strcmp(row->key, "n/c/head") == 0)
		cfg_on_head_row(node->config, row);
}

static void on_poll(void *arg, const Aps__TableReply *reply)
{
	struct membership *member = arg;

	member->polling = false;
	if (reply == NULL)
		return;
	for (size_t i = 0; i < reply->n_rows; i++)
		update_row(member, reply->rows[i]);
	if (reply->version > member->version)
		member->version = reply->version;
	if (member->poll_sent_ms - member->poll_ok_ms > MEMBER_POLL_GAP_MAX_MS)
		member->watch_since_ms = node_now_ms(member->node);
	member->poll_ok_ms = member->poll_sent_ms;
	cfg_on_poll(member->node->config, member->poll_sent_ms);
	member->polled = true;
}

static void poll(struct membership *member)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	int64_t now = node_now_ms(member->node);

	request.op = APS__TABLE_REQUEST__OP__RANGE;
	request.prefix = (char *)"n/";
	request.since = member->version;
	member->polling = true;
	member->poll_sent_ms = now;
	member->poll_due_ms = now + MEMBER_POLL_MS;
	node_counter_add(member->node, NODE_TABLE_READS, 1);
	node_table_request(member->node, &request, on_poll, member);
}

/*
 * Returns whether a lease last renewed at @since had expired when the last
 * successful poll was sent.
 */
static bool lease_has_expired(const struct membership *member, int64_t since)
{
	int64_t from = MAX(since, member->watch_since_ms);

	return member->poll_ok_ms >=
	       from + COMMIT_LEASE_MS + COMMIT_DRIFT_MARGIN_MS;
}

static bool instance_is_live(const struct membership *member,
			     const struct instance *inst)
{
	if (inst->row == NULL || inst->row->state != APS__INSTANCE_STATE__LIVE)
		return false;
	return !lease_has_expired(member, inst->changed_ms);
}

/* Returns whether the holder of @shard has no lease any more. */
static bool shard_is_claimable(const struct membership *member,
			       const struct shard *shard)
{
	const struct instance *inst;

	if (shard->row == NULL)
		return true;
	inst = g_hash_table_lookup(member->instances, shard->row->holder);
	if (inst == NULL || inst->row == NULL)
		return lease_has_expired(member, shard->changed_ms);
	if (inst->row->incarnation != shard->row->incarnation)
		return lease_has_expired(
			member, MAX(inst->first_seen_ms, shard->changed_ms));
	if (inst->row->state == APS__INSTANCE_STATE__DEAD)
		return true;
	return lease_has_expired(member, inst->changed_ms);
}

/* Rendezvous hashing: returns the live instance with the highest score. */
static const char *preferred_holder(const struct membership *member, int index)
{
	GHashTableIter iter;
	const char *best = NULL;
	uint64_t best_score = 0;
	void *id;
	void *value;

	g_hash_table_iter_init(&iter, member->instances);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct instance *inst = value;
		uint64_t score;

		if (!instance_is_live(member, inst) ||
		    node_now_ms(member->node) - inst->first_seen_ms <
			    MEMBER_JOIN_DELAY_MS)
			continue;
		score = rng_mix(rng_hash(id) ^
				(uint64_t)index * 0x9e3779b97f4a7c15ULL);
		if (best == NULL || score > best_score ||
		    (score == best_score && strcmp(id, best) > 0)) {
			best = id;
			best_score = score;
		}
	}
	return best;
}

static void on_claimed(void *arg, bool durable)
{
	struct shard *shard = arg;

	if (!durable && shard->state == SHARD_CLAIMING)
		shard->state = SHARD_NOT_HELD;
	member_poll_soon(shard->member);
}

/* Writes the shard's row and, if @dead is set, marks that instance as dead. */
static void write_shard(struct shard *shard, const Aps__ShardRow *row,
			const struct instance *dead, commit_fn fn)
{
	Aps__Condition conditions[2] = {APS__CONDITION__INIT,
					APS__CONDITION__INIT};
	Aps__Row rows[2] = {APS__ROW__INIT, APS__ROW__INIT};
	struct commit_write write = {.conditions = conditions,
				     .conditions_len = 1,
				     .rows = rows,
				     .rows_len = 1,
				     .fn = fn,
				     .arg = shard};
	char key[MEMBER_KEY_MAX];
	char dead_key[MEMBER_KEY_MAX];
	Aps__InstanceRow dead_row;
	uint8_t *dead_buf = NULL;

	snprintf(key, sizeof(key), "n/s/%04x", (unsigned)shard->index);
	conditions[0].key = key;
	conditions[0].version = shard->version;
	rows[0].key = key;
	rows[0].value.data = msg_pack(&row->base, &rows[0].value.len);
	if (dead != NULL) {
		snprintf(dead_key, sizeof(dead_key), "n/i/%s", dead->row->id);
		conditions[1].key = dead_key;
		conditions[1].version = dead->version;
		dead_row = *dead->row;
		dead_row.state = APS__INSTANCE_STATE__DEAD;
		rows[1].key = dead_key;
		dead_buf = msg_pack(&dead_row.base, &rows[1].value.len);
		rows[1].value.data = dead_buf;
		write.conditions_len = 2;
		write.rows_len = 2;
	}
	commit_write(shard->member->node->commit, &write);
	g_free(rows[0].value.data);
	g_free(dead_buf);
}

static void claim_shard(struct shard *shard)
{
	struct membership *member = shard->member;
	Aps__ShardRow row = APS__SHARD_ROW__INIT;
	const struct instance *dead = NULL;

	row.holder = member->node->id;
	row.incarnation = member->node->incarnation;
	row.epoch = shard->row != NULL ? shard->row->epoch + 1 : 1;
	if (shard->row != NULL) {
		dead = g_hash_table_lookup(member->instances,
					   shard->row->holder);
		if (dead != NULL &&
		    (dead->row == NULL ||
		     dead->row->state == APS__INSTANCE_STATE__DEAD ||
		     dead->row->incarnation != shard->row->incarnation))
			dead = NULL;
	}
	if (dead != NULL && member->logged_dead_version != dead->version)
		node_log(member->node, "member: %s is taken for dead",
			 dead->row->id);
	if (dead != NULL)
		member->logged_dead_version = dead->version;
	shard->state = SHARD_CLAIMING;
	write_shard(shard, &row, dead, on_claimed);
}

static bool shard_is_idle(const struct shard *shard)
{
	if (shard_kind(shard->index) == SHARD_KIND_PROGRAM)
		return owner_shard_is_idle(shard->member->node->owner,
					   shard->index);
	return true;
}

static void on_handed_over(void *arg, bool durable)
{
	struct shard *shard = arg;

	if (durable)
		node_counter_add(shard->member->node, NODE_SHARDS_HANDED, 1);
	else if (shard->state == SHARD_HANDING_OVER)
		shard->state = SHARD_SERVING;
	member_poll_soon(shard->member);
}

static void hand_over_shard(struct shard *shard, const char *to)
{
	struct membership *member = shard->member;
	const struct instance *inst =
		g_hash_table_lookup(member->instances, to);
	Aps__ShardRow row = APS__SHARD_ROW__INIT;

	if (shard_kind(shard->index) == SHARD_KIND_PROGRAM)
		owner_clear_prestarts(member->node->owner, shard->index);
	row.holder = (char *)to;
	row.incarnation = inst->row->incarnation;
	row.epoch = shard->row->epoch + 1;
	if (shard_kind(shard->index) == SHARD_KIND_POOL)
		pool_shard_hand_over(member->node->pools, shard->index, &row);
	shard->state = SHARD_HANDING_OVER;
	write_shard(shard, &row, NULL, on_handed_over);
	if (shard_kind(shard->index) == SHARD_KIND_POOL)
		pool_shard_row_clear(&row);
}

/* The last instance to drain has no successor for its shards. */
static void abandon_shard(struct shard *shard)
{
	struct membership *member = shard->member;
	struct node *node = member->node;

	if (!node->draining || shard->state == SHARD_NOT_HELD ||
	    !shard_is_idle(shard) ||
	    node_now_ms(node) - node->drain_ms < MEMBER_SUCCESSOR_WAIT_MS)
		return;
	release_shard(shard);
}

static void assign_shard(struct shard *shard, int *handovers)
{
	struct membership *member = shard->member;
	const char *to;
	bool is_mine;

	if (shard->state == SHARD_CLAIMING) {
		if (is_self(member, shard->row))
			load_shard(shard);
		return;
	}
	if (shard->state == SHARD_LOADING || shard->state == SHARD_HANDING_OVER)
		return;
	to = preferred_holder(member, shard->index);
	if (to == NULL) {
		abandon_shard(shard);
		return;
	}
	is_mine = strcmp(to, member->node->id) == 0;
	if (shard->state == SHARD_NOT_HELD) {
		if (is_mine && shard_is_claimable(member, shard))
			claim_shard(shard);
		return;
	}
	if (is_mine) {
		shard->state = SHARD_SERVING;
		return;
	}
	if (*handovers >= MEMBER_HANDOVERS_MAX && !member->node->draining)
		return;
	(*handovers)++;
	if (shard->state == SHARD_SERVING)
		shard->draining_ms = node_now_ms(member->node);
	shard->state = SHARD_DRAINING;
	if (shard_is_idle(shard))
		hand_over_shard(shard, to);
}

static void assign_shards(struct membership *member)
{
	int handovers = 0;

	member->assign_due_ms = node_now_ms(member->node) + MEMBER_ASSIGN_MS;
	if (!member->polled || !commit_lease_is_valid(member->node->commit))
		return;
	for (int i = 0; i < SHARD_COUNT; i++)
		assign_shard(&member->shards[i], &handovers);
}

void member_tick(struct membership *member)
{
	int64_t now = node_now_ms(member->node);

	if (!member->polling && now >= member->poll_due_ms)
		poll(member);
	if (now >= member->assign_due_ms)
		assign_shards(member);
}

void member_poll_soon(struct membership *member)
{
	int64_t now = node_now_ms(member->node);

	member->poll_due_ms =
		MAX(now, member->poll_sent_ms + MEMBER_POLL_GAP_MIN_MS);
	member->assign_due_ms = member->poll_due_ms;
}

bool member_holds_shard(const struct membership *member, int shard)
{
	enum shard_state state = member->shards[shard].state;

	return (state == SHARD_SERVING || state == SHARD_DRAINING) &&
	       commit_lease_is_valid(member->node->commit);
}

bool member_is_draining_shard(const struct membership *member, int shard)
{
	const struct shard *s = &member->shards[shard];

	return s->state == SHARD_DRAINING &&
	       node_now_ms(member->node) - s->draining_ms >
		       MEMBER_HANDOVER_GRACE_MS;
}

uint64_t member_epoch(const struct membership *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->epoch : 0;
}

const char *member_holder(const struct membership *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->holder : NULL;
}

const char *member_addr(const struct membership *member, const char *id)
{
	const struct instance *inst =
		g_hash_table_lookup(member->instances, id);

	return inst != NULL && inst->row != NULL ? inst->row->addr : NULL;
}

bool member_is_alive(const struct membership *member, const char *id,
		     uint64_t incarnation)
{
	const struct instance *inst =
		g_hash_table_lookup(member->instances, id);

	return inst != NULL && inst->row != NULL &&
	       inst->row->incarnation == incarnation &&
	       inst->row->state != APS__INSTANCE_STATE__DEAD &&
	       !lease_has_expired(member, inst->changed_ms);
}

uint64_t member_holder_incarnation(const struct membership *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->incarnation : 0;
}

int member_shards_held(const struct membership *member)
{
	int count = 0;

	for (int i = 0; i < SHARD_COUNT; i++)
		count += member->shards[i].state != SHARD_NOT_HELD;
	return count;
}

bool member_has_current_rules(const struct membership *member)
{
	return cfg_is_current(member->node->config);
}
