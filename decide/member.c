/** @file member.c @brief Membership and shard leases. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commit.h"
#include "config.h"
#include "marks.h"
#include "member.h"
#include "owner.h"
#include "pool.h"

enum {
	MEM_PLAN_MS = 200,    /* time between looks at the shard plan */
	MEM_SETTLE_MS = 1000, /* age at which a new instance gets shards */
	MEM_MOVES_MAX = 32,   /* handovers under way at once */
	MEM_GRACE_MS = 3000,  /* new turns are taken this long while handing */
	MEM_KEY_MAX = 128,
	MEM_ALONE_MS = 3000,  /* time for a successor to show, while leaving */
	MEM_POLL_GAP_MS = 50, /* least time between two polls */
	MEM_GAP_MS = 3 * MEM_POLL_MS, /* a longer gap restarts every watch */
};

/* What this node does with a shard. */
enum hold {
	HOLD_NONE,
	HOLD_CLAIMING, /* the row is being written */
	HOLD_LOADING,  /* the row is ours, its programs are being read */
	HOLD_SERVING,
	HOLD_HANDING, /* served until it is idle, then passed on */
	HOLD_PASSING, /* the row is being passed on */
};

struct instance {
	Aps__InstanceRow *row;
	uint64_t version;
	int64_t changed_ms; /* when this version was first seen */
	int64_t born_ms;    /* when this incarnation was first seen */
};

struct shard {
	Aps__ShardRow *row;
	uint64_t version;
	int64_t changed_ms;
	enum hold hold;
	int index;
	int64_t handing_ms; /* when the handover began */
	struct member *member;
};

struct member {
	struct node *node;
	GHashTable *instances; /* id to struct instance */
	struct shard shards[SHD_COUNT];
	uint64_t version; /* of the table, up to which the view is complete */
	bool polling;
	bool viewed; /* there was a good poll */
	int64_t poll_due_ms;
	int64_t poll_sent_ms;
	int64_t poll_good_ms; /* sending time of the last good poll */
	int64_t watch_ms;     /* since when polls came without a gap */
	int64_t plan_due_ms;
	uint64_t dead_version; /* of the row last logged as dead */
};

static void instance_free(void *p)
{
	struct instance *inst = p;

	if (inst->row != NULL)
		aps__instance_row__free_unpacked(inst->row, NULL);
	g_free(inst);
}

struct member *mem_create(struct node *node)
{
	struct member *member = g_new0(struct member, 1);

	member->node = node;
	member->instances = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, instance_free);
	member->poll_good_ms = INT64_MIN / 2;
	for (int i = 0; i < SHD_COUNT; i++) {
		member->shards[i].index = i;
		member->shards[i].member = member;
	}
	return member;
}

void mem_destroy(struct member *member)
{
	if (member == NULL)
		return;
	for (int i = 0; i < SHD_COUNT; i++) {
		if (member->shards[i].row != NULL)
			aps__shard_row__free_unpacked(member->shards[i].row,
						      NULL);
	}
	g_hash_table_unref(member->instances);
	g_free(member);
}

static struct instance *instance_get(struct member *member, const char *id)
{
	struct instance *inst = g_hash_table_lookup(member->instances, id);

	if (inst != NULL)
		return inst;
	inst = g_new0(struct instance, 1);
	g_hash_table_insert(member->instances, g_strdup(id), inst);
	return inst;
}

static void see_instance(struct member *member, const Aps__Row *row)
{
	struct instance *inst = instance_get(member, row->key + 4);
	Aps__InstanceRow *seen;
	int64_t now = nod_now(member->node);

	seen = aps__instance_row__unpack(NULL, row->value.len, row->value.data);
	if (seen == NULL || row->version <= inst->version) {
		if (seen != NULL)
			aps__instance_row__free_unpacked(seen, NULL);
		return;
	}
	if (inst->row == NULL || inst->row->incarnation != seen->incarnation)
		inst->born_ms = now;
	if (inst->row != NULL)
		aps__instance_row__free_unpacked(inst->row, NULL);
	inst->row = seen;
	inst->version = row->version;
	inst->changed_ms = now;
}

static bool is_self(const struct member *member, const Aps__ShardRow *row)
{
	return row != NULL && row->incarnation == member->node->incarnation &&
	       strcmp(row->holder, member->node->id) == 0;
}

static void shard_start(struct shard *shard)
{
	struct node *node = shard->member->node;

	nod_count(node, NOD_SHARDS_TAKEN, 1);
	shard->hold = HOLD_SERVING;
	if (shd_kind(shard->index) == SHD_POOL)
		pool_shard_acquire(node->pools, shard->index, shard->row);
	else if (shd_kind(shard->index) == SHD_LEDGER)
		ledger_acquire_shard(node->ledger, shard->index);
}

static void on_loaded(void *arg, const Aps__TableReply *reply)
{
	struct shard *shard = arg;
	struct node *node = shard->member->node;

	if (shard->hold != HOLD_LOADING)
		return;
	if (reply == NULL) {
		shard->hold = HOLD_CLAIMING;
		return;
	}
	for (size_t i = 0; i < reply->n_rows; i++)
		own_load(node->owner, shard->index, reply->rows[i]);
	shard_start(shard);
}

static void shard_load(struct shard *shard)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	char prefix[MEM_KEY_MAX];

	if (shd_kind(shard->index) != SHD_PROGRAM) {
		shard_start(shard);
		return;
	}
	snprintf(prefix, sizeof(prefix), "p/%04x/", (unsigned)shard->index);
	request.op = APS__TABLE_REQUEST__OP__RANGE;
	request.prefix = prefix;
	shard->hold = HOLD_LOADING;
	nod_table(shard->member->node, &request, on_loaded, shard);
}

static void shard_stop(struct shard *shard)
{
	struct node *node = shard->member->node;

	shard->hold = HOLD_NONE;
	switch (shd_kind(shard->index)) {
	case SHD_PROGRAM:
		own_shard_stop(node->owner, shard->index);
		break;
	case SHD_POOL:
		pool_shard_release(node->pools, shard->index);
		break;
	case SHD_LEDGER:
		break;
	}
}

static void set_row(struct shard *shard, Aps__ShardRow *row, uint64_t version)
{
	if (shard->row != NULL)
		aps__shard_row__free_unpacked(shard->row, NULL);
	shard->row = row;
	shard->version = version;
	shard->changed_ms = nod_now(shard->member->node);
}

static void see_shard(struct member *member, const Aps__Row *row)
{
	unsigned long index = strtoul(row->key + 4, NULL, 16);
	struct shard *shard;
	Aps__ShardRow *seen;

	if (index >= SHD_COUNT)
		return;
	shard = &member->shards[index];
	seen = aps__shard_row__unpack(NULL, row->value.len, row->value.data);
	if (seen == NULL || row->version <= shard->version) {
		if (seen != NULL)
			aps__shard_row__free_unpacked(seen, NULL);
		return;
	}
	set_row(shard, seen, row->version);
	/* Whoever wrote it may have held the shard since: start afresh. */
	if (shard->hold >= HOLD_LOADING)
		shard_stop(shard);
	if (is_self(member, seen))
		shard_load(shard);
}

static void see_row(struct member *member, const Aps__Row *row)
{
	struct node *node = member->node;

	if (g_str_has_prefix(row->key, "n/i/"))
		see_instance(member, row);
	else if (g_str_has_prefix(row->key, "n/s/"))
		see_shard(member, row);
	else if (g_str_has_prefix(row->key, "n/m/"))
		mrk_see(node->marks, row);
	else if (strcmp(row->key, "n/c/head") == 0)
		cfg_see_head(node->config, row);
}

static void on_poll(void *arg, const Aps__TableReply *reply)
{
	struct member *member = arg;

	member->polling = false;
	if (reply == NULL)
		return;
	for (size_t i = 0; i < reply->n_rows; i++)
		see_row(member, reply->rows[i]);
	if (reply->version > member->version)
		member->version = reply->version;
	if (member->poll_sent_ms - member->poll_good_ms > MEM_GAP_MS)
		member->watch_ms = nod_now(member->node);
	member->poll_good_ms = member->poll_sent_ms;
	cfg_polled(member->node->config, member->poll_sent_ms);
	member->viewed = true;
}

static void poll(struct member *member)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	int64_t now = nod_now(member->node);

	request.op = APS__TABLE_REQUEST__OP__RANGE;
	request.prefix = (char *)"n/";
	request.since = member->version;
	member->polling = true;
	member->poll_sent_ms = now;
	member->poll_due_ms = now + MEM_POLL_MS;
	nod_count(member->node, NOD_TABLE_READS, 1);
	nod_table(member->node, &request, on_poll, member);
}

/* Whether a lease seen at @since has run out as of the last good poll. */
static bool lapsed(const struct member *member, int64_t since)
{
	int64_t from = MAX(since, member->watch_ms);

	return member->poll_good_ms >= from + CMT_LEASE_MS + CMT_MARGIN_MS;
}

static bool instance_live(const struct member *member,
			  const struct instance *inst)
{
	if (inst->row == NULL || inst->row->state != APS__INSTANCE_STATE__LIVE)
		return false;
	return !lapsed(member, inst->changed_ms);
}

/* Whether the holder that @shard names can no longer act. */
static bool takeable(const struct member *member, const struct shard *shard)
{
	const struct instance *inst;

	if (shard->row == NULL)
		return true;
	inst = g_hash_table_lookup(member->instances, shard->row->holder);
	if (inst == NULL || inst->row == NULL)
		return lapsed(member, shard->changed_ms);
	if (inst->row->incarnation != shard->row->incarnation)
		return lapsed(member, MAX(inst->born_ms, shard->changed_ms));
	if (inst->row->state == APS__INSTANCE_STATE__DEAD)
		return true;
	return lapsed(member, inst->changed_ms);
}

/* Rendezvous hashing: the live instance with the highest score. */
static const char *target(const struct member *member, int index)
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

		if (!instance_live(member, inst) ||
		    nod_now(member->node) - inst->born_ms < MEM_SETTLE_MS)
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

	if (!durable && shard->hold == HOLD_CLAIMING)
		shard->hold = HOLD_NONE;
	mem_poll_soon(shard->member);
}

/* Writes the shard's row, and optionally that its old holder is dead. */
static void write_shard(struct shard *shard, const Aps__ShardRow *row,
			const struct instance *dead, cmt_fn fn)
{
	Aps__Condition conditions[2] = {APS__CONDITION__INIT,
					APS__CONDITION__INIT};
	Aps__Row rows[2] = {APS__ROW__INIT, APS__ROW__INIT};
	struct cmt_write write = {.conditions = conditions,
				  .conditions_len = 1,
				  .rows = rows,
				  .rows_len = 1,
				  .fn = fn,
				  .arg = shard};
	char key[MEM_KEY_MAX];
	char dead_key[MEM_KEY_MAX];
	Aps__InstanceRow gone;
	uint8_t *gone_buf = NULL;

	snprintf(key, sizeof(key), "n/s/%04x", (unsigned)shard->index);
	conditions[0].key = key;
	conditions[0].version = shard->version;
	rows[0].key = key;
	rows[0].value.data = msg_pack(&row->base, &rows[0].value.len);
	if (dead != NULL) {
		snprintf(dead_key, sizeof(dead_key), "n/i/%s", dead->row->id);
		conditions[1].key = dead_key;
		conditions[1].version = dead->version;
		gone = *dead->row;
		gone.state = APS__INSTANCE_STATE__DEAD;
		rows[1].key = dead_key;
		gone_buf = msg_pack(&gone.base, &rows[1].value.len);
		rows[1].value.data = gone_buf;
		write.conditions_len = 2;
		write.rows_len = 2;
	}
	cmt_write(shard->member->node->commit, &write);
	g_free(rows[0].value.data);
	g_free(gone_buf);
}

static void claim(struct shard *shard)
{
	struct member *member = shard->member;
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
	if (dead != NULL && member->dead_version != dead->version)
		nod_log(member->node, "member: %s is taken for dead",
			dead->row->id);
	if (dead != NULL)
		member->dead_version = dead->version;
	shard->hold = HOLD_CLAIMING;
	write_shard(shard, &row, dead, on_claimed);
}

static bool shard_idle(const struct shard *shard)
{
	if (shd_kind(shard->index) == SHD_PROGRAM)
		return own_shard_idle(shard->member->node->owner, shard->index);
	return true;
}

static void on_passed(void *arg, bool durable)
{
	struct shard *shard = arg;

	if (durable)
		nod_count(shard->member->node, NOD_SHARDS_HANDED, 1);
	else if (shard->hold == HOLD_PASSING)
		shard->hold = HOLD_SERVING;
	mem_poll_soon(shard->member);
}

static void pass_on(struct shard *shard, const char *to)
{
	struct member *member = shard->member;
	const struct instance *inst =
		g_hash_table_lookup(member->instances, to);
	Aps__ShardRow row = APS__SHARD_ROW__INIT;

	if (shd_kind(shard->index) == SHD_PROGRAM)
		own_shard_settle(member->node->owner, shard->index);
	row.holder = (char *)to;
	row.incarnation = inst->row->incarnation;
	row.epoch = shard->row->epoch + 1;
	if (shd_kind(shard->index) == SHD_POOL)
		pool_shard_hand_over(member->node->pools, shard->index, &row);
	shard->hold = HOLD_PASSING;
	write_shard(shard, &row, NULL, on_passed);
	if (shd_kind(shard->index) == SHD_POOL)
		pool_shard_row_clear(&row);
}

/* The last instance to leave has nobody to pass its shards on to. */
static void give_up(struct shard *shard)
{
	struct member *member = shard->member;
	struct node *node = member->node;

	if (!node->draining || shard->hold == HOLD_NONE || !shard_idle(shard) ||
	    nod_now(node) - node->drain_ms < MEM_ALONE_MS)
		return;
	shard_stop(shard);
}

static void plan_shard(struct shard *shard, int *moves)
{
	struct member *member = shard->member;
	const char *to;
	bool mine;

	if (shard->hold == HOLD_CLAIMING) {
		if (is_self(member, shard->row))
			shard_load(shard);
		return;
	}
	if (shard->hold == HOLD_LOADING || shard->hold == HOLD_PASSING)
		return;
	to = target(member, shard->index);
	if (to == NULL) {
		give_up(shard);
		return;
	}
	mine = strcmp(to, member->node->id) == 0;
	if (shard->hold == HOLD_NONE) {
		if (mine && takeable(member, shard))
			claim(shard);
		return;
	}
	if (mine) {
		shard->hold = HOLD_SERVING;
		return;
	}
	if (*moves >= MEM_MOVES_MAX && !member->node->draining)
		return;
	(*moves)++;
	if (shard->hold == HOLD_SERVING)
		shard->handing_ms = nod_now(member->node);
	shard->hold = HOLD_HANDING;
	if (shard_idle(shard))
		pass_on(shard, to);
}

static void plan(struct member *member)
{
	int moves = 0;

	member->plan_due_ms = nod_now(member->node) + MEM_PLAN_MS;
	if (!member->viewed || !cmt_lease_ok(member->node->commit))
		return;
	for (int i = 0; i < SHD_COUNT; i++)
		plan_shard(&member->shards[i], &moves);
}

void mem_tick(struct member *member)
{
	int64_t now = nod_now(member->node);

	if (!member->polling && now >= member->poll_due_ms)
		poll(member);
	if (now >= member->plan_due_ms)
		plan(member);
}

void mem_poll_soon(struct member *member)
{
	int64_t now = nod_now(member->node);

	member->poll_due_ms = MAX(now, member->poll_sent_ms + MEM_POLL_GAP_MS);
	member->plan_due_ms = member->poll_due_ms;
}

bool mem_holds(const struct member *member, int shard)
{
	enum hold hold = member->shards[shard].hold;

	return (hold == HOLD_SERVING || hold == HOLD_HANDING) &&
	       cmt_lease_ok(member->node->commit);
}

bool mem_handing(const struct member *member, int shard)
{
	const struct shard *s = &member->shards[shard];

	return s->hold == HOLD_HANDING &&
	       nod_now(member->node) - s->handing_ms > MEM_GRACE_MS;
}

uint64_t mem_epoch(const struct member *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->epoch : 0;
}

const char *mem_holder(const struct member *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->holder : NULL;
}

const char *mem_addr(const struct member *member, const char *id)
{
	const struct instance *inst =
		g_hash_table_lookup(member->instances, id);

	return inst != NULL && inst->row != NULL ? inst->row->addr : NULL;
}

bool mem_alive(const struct member *member, const char *id,
	       uint64_t incarnation)
{
	const struct instance *inst =
		g_hash_table_lookup(member->instances, id);

	return inst != NULL && inst->row != NULL &&
	       inst->row->incarnation == incarnation &&
	       inst->row->state != APS__INSTANCE_STATE__DEAD &&
	       !lapsed(member, inst->changed_ms);
}

uint64_t mem_holder_incarnation(const struct member *member, int shard)
{
	const Aps__ShardRow *row = member->shards[shard].row;

	return row != NULL ? row->incarnation : 0;
}

int mem_held(const struct member *member)
{
	int held = 0;

	for (int i = 0; i < SHD_COUNT; i++)
		held += member->shards[i].hold != HOLD_NONE;
	return held;
}

bool mem_fresh(const struct member *member)
{
	return cfg_current(member->node->config);
}
