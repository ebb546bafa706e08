/** @file node.c @brief One instance: its modules and the events they get. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "charts.h"
#include "commit.h"
#include "config.h"
#include "entry.h"
#include "marks.h"
#include "member.h"
#include "owner_int.h"
#include "pool.h"
#include "server.h"

enum {
	NOD_VERSION = 1,	    /* of the messages between peers */
	NOD_FRAME_MAX = 8 << 20,    /* longest frame, in bytes */
	NOD_DRAIN_ALONE_MS = 10000, /* least time to wait for the table */
	NOD_ID_SHIFT = 2, /* leaves room to count up from a random id */
	NOD_LOG_MAX = 256,
	NOD_LOCAL_ROUNDS_MAX = 64, /* rounds of local delivery in one tick */
};

const char *const nod_counter_names[NOD_COUNTERS] = {
	[NOD_CALLS] = "calls",
	[NOD_ANSWERS] = "answers",
	[NOD_REFUSALS] = "refusals",
	[NOD_TURNS_COMMITTED] = "turns_committed",
	[NOD_REPLAYS] = "replays",
	[NOD_DISPATCHES] = "dispatches",
	[NOD_RETRIES] = "retries",
	[NOD_RATE_REFUSALS] = "rate_refusals",
	[NOD_COMMITS] = "commits",
	[NOD_COMMITTED_ROWS] = "committed_rows",
	[NOD_TABLE_READS] = "table_reads",
	[NOD_PEER_MESSAGES] = "peer_messages",
	[NOD_PEER_BYTES] = "peer_bytes",
	[NOD_CONTROL_BYTES] = "control_bytes",
	[NOD_PEER_FAULTS] = "peer_faults",
	[NOD_SHARDS_TAKEN] = "shards_taken",
	[NOD_SHARDS_HANDED] = "shards_handed",
	[NOD_FENCED] = "fenced",
	[NOD_RELEASES] = "releases",
	[NOD_QUARANTINED] = "quarantined",
	[NOD_RULES_APPLIED] = "rules_applied",
	[NOD_PREFILL_TOKENS] = "prefill_tokens",
	[NOD_WASTED_TOKENS] = "wasted_tokens",
};

/* What an outside request under way leads to. */
struct wait {
	uint64_t cookie;
	nod_table_fn table;
	nod_object_fn object;
	nod_release_fn release;
	nod_probe_fn probe;
	void *arg;
};

/* Last sign of a peer. */
struct heard {
	uint64_t incarnation;
	int64_t at_ms;
};

static void hear(struct node *node, const Aps__Peer *peer)
{
	struct heard *heard = g_hash_table_lookup(node->heard, peer->from);

	if (heard == NULL) {
		heard = g_new0(struct heard, 1);
		g_hash_table_insert(node->heard, g_strdup(peer->from), heard);
	}
	heard->incarnation = peer->incarnation;
	heard->at_ms = nod_now(node);
}

bool nod_heard(const struct node *node, const char *id, uint64_t incarnation)
{
	const struct heard *heard = g_hash_table_lookup(node->heard, id);

	if (strcmp(id, node->id) == 0)
		return true;
	return heard != NULL && heard->incarnation == incarnation &&
	       nod_now(node) - heard->at_ms <= NOD_HEARD_MS;
}

void nod_hello(struct node *node, const char *to, bool reply)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Hello hello = APS__HELLO__INIT;

	hello.reply = reply;
	peer.body_case = APS__PEER__BODY_HELLO;
	peer.hello = &hello;
	nod_send(node, to, &peer);
}

void nod_log(struct node *node, const char *fmt, ...)
{
	char line[NOD_LOG_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	node->io.log(node->io.arg, line);
}

static uint64_t add_wait(struct node *node, const struct wait *proto)
{
	struct wait *wait = g_new0(struct wait, 1);

	*wait = *proto;
	wait->cookie = nod_next_id(node);
	g_hash_table_insert(node->waits, &wait->cookie, wait);
	return wait->cookie;
}

void nod_table(struct node *node, const Aps__TableRequest *request,
	       nod_table_fn fn, void *arg)
{
	struct wait wait = {.table = fn, .arg = arg};

	node->io.table(node->io.arg, add_wait(node, &wait), request);
}

void nod_object_put(struct node *node, const char *key, const uint8_t *buf,
		    size_t len, nod_object_fn fn, void *arg)
{
	struct wait wait = {.object = fn, .arg = arg};

	node->io.object_put(node->io.arg, add_wait(node, &wait), key, buf, len);
}

void nod_object_get(struct node *node, const char *key, nod_object_fn fn,
		    void *arg)
{
	struct wait wait = {.object = fn, .arg = arg};

	node->io.object_get(node->io.arg, add_wait(node, &wait), key);
}

void nod_release(struct node *node, const char *addr, const char *program,
		 uint64_t fence, nod_release_fn fn, void *arg)
{
	struct wait wait = {.release = fn, .arg = arg};

	node->io.release(node->io.arg, add_wait(node, &wait), addr, program,
			 fence);
}

void nod_probe(struct node *node, const char *addr, nod_probe_fn fn, void *arg)
{
	struct wait wait = {.probe = fn, .arg = arg};

	node->io.probe(node->io.arg, add_wait(node, &wait), addr);
}

/* Whether a message carries neither a request nor an answer. */
static bool is_control(const Aps__Peer *msg)
{
	switch (msg->body_case) {
	case APS__PEER__BODY_CALL:
	case APS__PEER__BODY_CALL_CHUNK:
	case APS__PEER__BODY_CALL_DONE:
	case APS__PEER__BODY_DISPATCH:
	case APS__PEER__BODY_DISPATCH_CHUNK:
	case APS__PEER__BODY_DISPATCH_DONE:
		return false;
	default:
		return true;
	}
}

void nod_send(struct node *node, const char *to, Aps__Peer *msg)
{
	const char *addr;
	uint8_t *buf;
	size_t len;

	msg->version = NOD_VERSION;
	msg->from = node->id;
	msg->incarnation = node->incarnation;
	len = aps__peer__get_packed_size(msg);
	if (len > NOD_FRAME_MAX) {
		nod_count(node, NOD_PEER_FAULTS, 1);
		return;
	}
	buf = g_malloc(len);
	aps__peer__pack(msg, buf);
	if (strcmp(to, node->id) == 0) {
		g_queue_push_tail(node->local, g_bytes_new_take(buf, len));
		return;
	}
	addr = mem_addr(node->member, to);
	if (addr != NULL) {
		nod_count(node, NOD_PEER_MESSAGES, 1);
		nod_count(node, NOD_PEER_BYTES, len);
		if (is_control(msg))
			nod_count(node, NOD_CONTROL_BYTES, len);
		node->io.send(node->io.arg, to, addr, buf, len);
	}
	g_free(buf);
}

bool nod_send_shard(struct node *node, int shard, Aps__Peer *msg)
{
	const char *holder = mem_holder(node->member, shard);

	if (holder == NULL)
		return false;
	nod_send(node, holder, msg);
	return true;
}

void nod_rule_name(const struct node *node, int line, char *buf)
{
	buf[0] = '\0';
	if (line > 0 && node->rules != NULL)
		g_snprintf(buf, NOD_RULE_MAX, "%" PRIu64 ":%d",
			   node->rules->revision, line);
}

static void bytes_free(void *p)
{
	g_bytes_unref(p);
}

/* Everything that rests on the lease; the entry's calls outlive it. */
static void modules_create(struct node *node)
{
	node->waits = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	node->heard =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->local = g_queue_new();
	node->commit = cmt_create(node);
	node->member = mem_create(node);
	node->config = cfg_create(node);
	node->owner = own_create(node);
	node->ledger = ledger_create(node->clk);
	node->pools = pool_create(node);
	node->marks = mrk_create(node);
	if (node->rules != NULL)
		pool_on_rules(node->pools);
}

static void modules_destroy(struct node *node)
{
	mrk_destroy(node->marks);
	pool_destroy(node->pools);
	ledger_destroy(node->ledger);
	own_destroy(node->owner);
	cfg_destroy(node->config);
	mem_destroy(node->member);
	cmt_destroy(node->commit);
	g_queue_free_full(node->local, bytes_free);
	g_hash_table_unref(node->heard);
	g_hash_table_unref(node->waits);
}

static bool load_charts(struct node *node)
{
	char err[160];

	node->turn_chart = chart_create(charts_turn(), &turn_chart_names, err,
					sizeof(err));
	if (node->turn_chart == NULL) {
		nod_log(node, "chart turn: %s", err);
		return false;
	}
	node->server_chart = chart_create(charts_server(), &srv_chart_names,
					  err, sizeof(err));
	if (node->server_chart == NULL) {
		nod_log(node, "chart server: %s", err);
		return false;
	}
	return true;
}

struct node *nod_create(const struct nod_settings *settings,
			const struct clk *clk, const struct nod_io *io)
{
	struct node *node = g_new0(struct node, 1);

	node->id = g_strdup(settings->id);
	node->addr = g_strdup(settings->addr);
	node->zone = g_strdup(settings->zone);
	node->incarnation = settings->incarnation;
	node->commit_gap_ms = settings->commit_gap_ms;
	node->policy = settings->policy;
	node->rng.state = settings->seed;
	/* No later incarnation may take an answer meant for this one. */
	node->last_id = rng_next(&node->rng) >> NOD_ID_SHIFT;
	node->clk = clk;
	node->io = *io;
	modules_create(node);
	node->entry = ent_create(node);
	if (load_charts(node))
		return node;
	nod_destroy(node);
	return NULL;
}

void nod_destroy(struct node *node)
{
	if (node == NULL)
		return;
	ent_destroy(node->entry);
	modules_destroy(node);
	rul_destroy(node->rules);
	chart_destroy(node->turn_chart);
	chart_destroy(node->server_chart);
	g_free(node->id);
	g_free(node->addr);
	g_free(node->zone);
	g_free(node);
}

/* The lease is lost: what rested on it is dropped, unanswered. */
static void start_again(struct node *node)
{
	nod_count(node, NOD_FENCED, 1);
	nod_log(node, "lease lost; starting again");
	modules_destroy(node);
	node->incarnation = rng_next(&node->rng) | 1;
	node->fenced = false;
	modules_create(node);
}

static void on_grant_ask(struct node *node, const char *from,
			 const Aps__GrantAsk *ask)
{
	int shard = shd_of(SHD_LEDGER, ask->account);
	const struct rul_account *account;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Grant grant = APS__GRANT__INIT;
	uint32_t wait_ms = 0;

	if (!mem_holds(node->member, shard) || node->rules == NULL)
		return;
	account = rul_account(node->rules, ask->account);
	if (account == NULL)
		return;
	grant.account = ask->account;
	grant.pool = ask->pool;
	grant.ask_id = ask->ask_id;
	grant.count = ledger_grant(node->ledger, account, ask, &wait_ms);
	grant.wait_ms = wait_ms;
	peer.body_case = APS__PEER__BODY_GRANT;
	peer.grant = &grant;
	if (ask->want > 0)
		nod_send(node, from, &peer);
}

/* Whether the parts that a handler relies on are there. */
static bool well_formed(const Aps__Peer *peer)
{
	switch (peer->body_case) {
	case APS__PEER__BODY_CALL:
		return peer->call->request != NULL;
	case APS__PEER__BODY_DISPATCH:
		return peer->dispatch->request != NULL;
	case APS__PEER__BODY__NOT_SET:
		return false;
	default:
		return peer->from[0] != '\0';
	}
}

static void handle(struct node *node, const Aps__Peer *peer)
{
	switch (peer->body_case) {
	case APS__PEER__BODY_CALL:
		own_on_call(node->owner, peer->from, peer->call);
		break;
	case APS__PEER__BODY_CALL_CHUNK:
		ent_on_chunk(node->entry, peer->call_chunk);
		break;
	case APS__PEER__BODY_CALL_DONE:
		ent_on_done(node->entry, peer->incarnation, peer->call_done);
		break;
	case APS__PEER__BODY_CALL_CANCEL:
		own_on_cancel(node->owner, peer->from, peer->call_cancel);
		break;
	case APS__PEER__BODY_DISPATCH:
		pool_on_dispatch(node->pools, peer->from, peer->incarnation,
				 peer->dispatch);
		break;
	case APS__PEER__BODY_DISPATCH_CHUNK:
		own_on_chunk(node->owner, peer->dispatch_chunk);
		break;
	case APS__PEER__BODY_DISPATCH_DONE:
		own_on_done(node->owner, peer->incarnation,
			    peer->dispatch_done);
		break;
	case APS__PEER__BODY_DISPATCH_CANCEL:
		pool_on_cancel(node->pools, peer->from, peer->incarnation,
			       peer->dispatch_cancel->dispatch_id);
		break;
	case APS__PEER__BODY_GRANT_ASK:
		on_grant_ask(node, peer->from, peer->grant_ask);
		break;
	case APS__PEER__BODY_GRANT:
		pool_on_grant(node->pools, peer->grant);
		break;
	case APS__PEER__BODY_BUDGET_MOVE:
		own_on_budget_move(node->owner, peer->from, peer->budget_move);
		break;
	case APS__PEER__BODY_BUDGET_MOVED:
		own_on_budget_moved(node->owner, peer->budget_moved);
		break;
	case APS__PEER__BODY_HELLO:
		if (!peer->hello->reply)
			nod_hello(node, peer->from, true);
		else
			own_on_hello(node->owner);
		break;
	default:
		break;
	}
}

static void deliver(struct node *node, const uint8_t *buf, size_t len)
{
	Aps__Peer *peer = NULL;

	if (len <= NOD_FRAME_MAX)
		peer = aps__peer__unpack(NULL, len, buf);
	if (peer == NULL || peer->version != NOD_VERSION || !well_formed(peer))
		nod_count(node, NOD_PEER_FAULTS, 1);
	else {
		hear(node, peer);
		handle(node, peer);
	}
	if (peer != NULL)
		aps__peer__free_unpacked(peer, NULL);
}

static void deliver_local(struct node *node)
{
	for (int i = 0; i < NOD_LOCAL_ROUNDS_MAX; i++) {
		GBytes *bytes = g_queue_pop_head(node->local);
		const uint8_t *buf;
		gsize len;

		if (bytes == NULL)
			return;
		buf = g_bytes_get_data(bytes, &len);
		deliver(node, buf, len);
		g_bytes_unref(bytes);
	}
}

/* Carries out what an event has led to. */
static void settle(struct node *node)
{
	if (node->fenced)
		start_again(node);
	do {
		deliver_local(node);
		pool_tick(node->pools);
	} while (!g_queue_is_empty(node->local));
	cmt_tick(node->commit);
}

static bool idle(const struct node *node)
{
	return nod_closed(node) && mem_held(node->member) == 0 &&
	       ent_calls(node->entry) == 0 && pool_run_count(node->pools) == 0;
}

void nod_tick(struct node *node)
{
	if (node->fenced)
		start_again(node);
	if (node->draining)
		cmt_set_state(node->commit,
			      idle(node) ? APS__INSTANCE_STATE__DEAD
					 : APS__INSTANCE_STATE__LEAVING);
	mem_tick(node->member);
	cfg_tick(node->config);
	ent_tick(node->entry);
	own_tick(node->owner);
	settle(node);
}

uint64_t nod_call(struct node *node, const struct nod_call *call)
{
	uint64_t id = ent_start(node->entry, call);

	ent_tick(node->entry);
	settle(node);
	return id;
}

void nod_call_cancel(struct node *node, uint64_t call_id)
{
	ent_cancel(node->entry, call_id);
	settle(node);
}

void nod_on_peer(struct node *node, const uint8_t *buf, size_t len)
{
	deliver(node, buf, len);
	settle(node);
}

static bool take_wait(struct node *node, uint64_t cookie, struct wait *wait)
{
	const struct wait *found = g_hash_table_lookup(node->waits, &cookie);

	if (found == NULL)
		return false;
	*wait = *found;
	g_hash_table_remove(node->waits, &cookie);
	return true;
}

void nod_on_table(struct node *node, uint64_t cookie,
		  const Aps__TableReply *reply)
{
	uint64_t before = nod_counter(node, NOD_RULES_APPLIED);
	struct wait wait;

	if (!take_wait(node, cookie, &wait) || wait.table == NULL)
		return;
	wait.table(wait.arg, reply);
	if (nod_counter(node, NOD_RULES_APPLIED) != before) {
		pool_on_rules(node->pools);
		ent_on_rules(node->entry);
	}
	settle(node);
}

void nod_on_object(struct node *node, uint64_t cookie, bool ok,
		   const uint8_t *buf, size_t len)
{
	struct wait wait;

	if (!take_wait(node, cookie, &wait) || wait.object == NULL)
		return;
	wait.object(wait.arg, ok, buf, len);
	settle(node);
}

void nod_on_release(struct node *node, uint64_t cookie, bool acknowledged,
		    uint64_t incarnation)
{
	struct wait wait;

	if (!take_wait(node, cookie, &wait) || wait.release == NULL)
		return;
	wait.release(wait.arg, acknowledged, incarnation);
	settle(node);
}

void nod_on_probe(struct node *node, uint64_t cookie,
		  const struct nod_load *load)
{
	struct wait wait;

	if (!take_wait(node, cookie, &wait) || wait.probe == NULL)
		return;
	wait.probe(wait.arg, load);
	settle(node);
}

void nod_on_run_chunk(struct node *node, uint64_t run_id, uint64_t incarnation,
		      const uint8_t *buf, size_t len)
{
	pool_on_run_chunk(node->pools, run_id, incarnation, buf, len);
	settle(node);
}

void nod_on_run_done(struct node *node, uint64_t run_id,
		     const struct nod_run_result *result)
{
	pool_on_run_done(node->pools, run_id, result);
	settle(node);
}

void nod_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	node->drain_ms = nod_now(node);
}

bool nod_drained(const struct node *node)
{
	if (!node->draining)
		return false;
	/* Without a lease nothing is left to hand over. */
	if (nod_now(node) - node->drain_ms > NOD_DRAIN_ALONE_MS &&
	    !cmt_lease_ok(node->commit))
		return ent_calls(node->entry) == 0 &&
		       pool_run_count(node->pools) == 0;
	return idle(node) && cmt_idle(node->commit);
}

bool nod_ready(const struct node *node)
{
	return !node->draining && node->rules != NULL &&
	       cmt_lease_ok(node->commit) && mem_fresh(node->member);
}

uint64_t nod_counter(const struct node *node, enum nod_counter counter)
{
	return node->counters[counter];
}

char *nod_status(const struct node *node)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"{\"id\":\"%s\",\"zone\":\"%s\",\"ready\":%s,"
		"\"draining\":%s,\"revision\":%" PRIu64
		",\"shards\":%d,\"programs\":%zu,\"calls\":%zu,\"servers\":",
		node->id, node->zone, nod_ready(node) ? "true" : "false",
		node->draining ? "true" : "false",
		node->rules != NULL ? node->rules->revision : 0,
		mem_held(node->member), own_programs(node->owner),
		ent_calls(node->entry));
	pool_status(node->pools, out);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}
