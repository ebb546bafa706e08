/** @file node.c @brief One instance: its modules and event dispatch. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "charts.h"
#include "commit.h"
#include "config.h"
#include "entry.h"
#include "member.h"
#include "owner_int.h"
#include "pool.h"
#include "quarantine.h"
#include "server.h"

enum {
	NODE_PROTOCOL_VERSION = 1,	/* of peer messages */
	NODE_FRAME_MAX = 8 << 20,	/* in bytes */
	NODE_DRAIN_NO_LEASE_MS = 10000, /* minimum drain time without a lease */
	NODE_ID_SHIFT = 2, /* room to count up from a random first id */
	NODE_LOG_MAX = 256,
	NODE_LOOPBACK_BATCH_MAX = 64, /* frames between pool ticks */
};

const char *const node_counter_names[NODE_COUNTER_COUNT] = {
	[NODE_CALLS] = "calls",
	[NODE_ANSWERS] = "answers",
	[NODE_REFUSALS] = "refusals",
	[NODE_TURNS_COMMITTED] = "turns_committed",
	[NODE_REPLAYS] = "replays",
	[NODE_DISPATCHES] = "dispatches",
	[NODE_RETRIES] = "retries",
	[NODE_RATE_REFUSALS] = "rate_refusals",
	[NODE_COMMITS] = "commits",
	[NODE_COMMITTED_ROWS] = "committed_rows",
	[NODE_TABLE_READS] = "table_reads",
	[NODE_PEER_MESSAGES] = "peer_messages",
	[NODE_PEER_BYTES] = "peer_bytes",
	[NODE_CONTROL_BYTES] = "control_bytes",
	[NODE_PEER_FAULTS] = "peer_faults",
	[NODE_SHARDS_TAKEN] = "shards_taken",
	[NODE_SHARDS_HANDED] = "shards_handed",
	[NODE_FENCED] = "fenced",
	[NODE_RELEASES] = "releases",
	[NODE_QUARANTINED] = "quarantined",
	[NODE_RULES_APPLIED] = "rules_applied",
	[NODE_PREFILL_TOKENS] = "prefill_tokens",
	[NODE_WASTED_TOKENS] = "wasted_tokens",
};

/* Completion of a request in flight; one of the callbacks is set. */
struct pending {
	uint64_t cookie;
	node_table_fn table;
	node_object_fn object;
	node_release_fn release;
	node_probe_fn probe;
	void *arg;
};

/* Time of the last message from a peer. */
struct peer {
	uint64_t incarnation;
	int64_t seen_ms;
};

static void note_peer_seen(struct node *node, const Aps__Peer *peer)
{
	struct peer *seen = g_hash_table_lookup(node->peers, peer->from);

	if (seen == NULL) {
		seen = g_new0(struct peer, 1);
		g_hash_table_insert(node->peers, g_strdup(peer->from), seen);
	}
	seen->incarnation = peer->incarnation;
	seen->seen_ms = node_now_ms(node);
}

bool node_peer_seen_recently(const struct node *node, const char *id,
			     uint64_t incarnation)
{
	const struct peer *seen = g_hash_table_lookup(node->peers, id);

	if (strcmp(id, node->id) == 0)
		return true;
	return seen != NULL && seen->incarnation == incarnation &&
	       node_now_ms(node) - seen->seen_ms <= NODE_PEER_SEEN_MS;
}

void node_send_hello(struct node *node, const char *to, bool reply)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Hello hello = APS__HELLO__INIT;

	hello.reply = reply;
	peer.body_case = APS__PEER__BODY_HELLO;
	peer.hello = &hello;
	node_send(node, to, &peer);
}

void node_log(struct node *node, const char *fmt, ...)
{
	char line[NODE_LOG_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	node->io.log(node->io.arg, line);
}

static uint64_t pending_add(struct node *node, const struct pending *request)
{
	struct pending *pending = g_new0(struct pending, 1);

	*pending = *request;
	pending->cookie = node_next_id(node);
	g_hash_table_insert(node->pending, &pending->cookie, pending);
	return pending->cookie;
}

void node_table_request(struct node *node, const Aps__TableRequest *request,
			node_table_fn fn, void *arg)
{
	struct pending pending = {.table = fn, .arg = arg};

	node->io.table(node->io.arg, pending_add(node, &pending), request);
}

void node_object_put(struct node *node, const char *key, const uint8_t *buf,
		     size_t len, node_object_fn fn, void *arg)
{
	struct pending pending = {.object = fn, .arg = arg};

	node->io.object_put(node->io.arg, pending_add(node, &pending), key, buf,
			    len);
}

void node_object_get(struct node *node, const char *key, node_object_fn fn,
		     void *arg)
{
	struct pending pending = {.object = fn, .arg = arg};

	node->io.object_get(node->io.arg, pending_add(node, &pending), key);
}

void node_send_release(struct node *node, const char *addr, const char *program,
		       uint64_t fence, node_release_fn fn, void *arg)
{
	struct pending pending = {.release = fn, .arg = arg};

	node->io.release(node->io.arg, pending_add(node, &pending), addr,
			 program, fence);
}

void node_send_probe(struct node *node, const char *addr, node_probe_fn fn,
		     void *arg)
{
	struct pending pending = {.probe = fn, .arg = arg};

	node->io.probe(node->io.arg, pending_add(node, &pending), addr);
}

/* Returns whether a message carries neither a request nor a response. */
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

void node_send(struct node *node, const char *to, Aps__Peer *msg)
{
	const char *addr;
	uint8_t *buf;
	size_t len;

	msg->version = NODE_PROTOCOL_VERSION;
	msg->from = node->id;
	msg->incarnation = node->incarnation;
	len = aps__peer__get_packed_size(msg);
	if (len > NODE_FRAME_MAX) {
		node_counter_add(node, NODE_PEER_FAULTS, 1);
		return;
	}
	buf = g_malloc(len);
	aps__peer__pack(msg, buf);
	if (strcmp(to, node->id) == 0) {
		g_queue_push_tail(node->loopback, g_bytes_new_take(buf, len));
		return;
	}
	addr = member_addr(node->member, to);
	if (addr != NULL) {
		node_counter_add(node, NODE_PEER_MESSAGES, 1);
		node_counter_add(node, NODE_PEER_BYTES, len);
		if (is_control(msg))
			node_counter_add(node, NODE_CONTROL_BYTES, len);
		node->io.send(node->io.arg, to, addr, buf, len);
	}
	g_free(buf);
}

bool node_send_to_shard(struct node *node, int shard, Aps__Peer *msg)
{
	const char *holder = member_holder(node->member, shard);

	if (holder == NULL)
		return false;
	node_send(node, holder, msg);
	return true;
}

void node_format_rule_name(const struct node *node, int line, char *buf)
{
	buf[0] = '\0';
	if (line > 0 && node->rules != NULL)
		g_snprintf(buf, NODE_RULE_NAME_MAX, "%" PRIu64 ":%d",
			   node->rules->revision, line);
}

static void bytes_free(void *p)
{
	g_bytes_unref(p);
}

/*
 * Creates the modules whose state depends on the lease. That is all except the
 * entry, whose calls survive a lost lease.
 */
static void modules_create(struct node *node)
{
	node->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	node->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->loopback = g_queue_new();
	node->commit = commit_create(node);
	node->member = member_create(node);
	node->config = cfg_create(node);
	node->owner = owner_create(node);
	node->ledger = ledger_create(node->clk);
	node->pools = pool_create(node);
	node->quarantine = quarantine_create(node);
	if (node->rules != NULL)
		pool_on_rules(node->pools);
}

static void modules_destroy(struct node *node)
{
	quarantine_destroy(node->quarantine);
	pool_destroy(node->pools);
	ledger_destroy(node->ledger);
	owner_destroy(node->owner);
	cfg_destroy(node->config);
	member_destroy(node->member);
	commit_destroy(node->commit);
	g_queue_free_full(node->loopback, bytes_free);
	g_hash_table_unref(node->peers);
	g_hash_table_unref(node->pending);
}

static bool load_charts(struct node *node)
{
	char err[160];

	node->turn_chart = chart_create(charts_turn(), &turn_chart_names, err,
					sizeof(err));
	if (node->turn_chart == NULL) {
		node_log(node, "chart turn: %s", err);
		return false;
	}
	node->server_chart = chart_create(charts_server(), &srv_chart_names,
					  err, sizeof(err));
	if (node->server_chart == NULL) {
		node_log(node, "chart server: %s", err);
		return false;
	}
	return true;
}

struct node *node_create(const struct node_settings *settings,
			 const struct clk *clk, const struct node_io *io)
{
	struct node *node = g_new0(struct node, 1);

	node->id = g_strdup(settings->id);
	node->addr = g_strdup(settings->addr);
	node->zone = g_strdup(settings->zone);
	node->incarnation = settings->incarnation;
	node->commit_gap_ms = settings->commit_gap_ms;
	node->policy = settings->policy;
	node->rng.state = settings->seed;
	/* Random, so that no later incarnation accepts replies to this one. */
	node->last_id = rng_next(&node->rng) >> NODE_ID_SHIFT;
	node->clk = clk;
	node->io = *io;
	modules_create(node);
	node->entry = entry_create(node);
	if (load_charts(node))
		return node;
	node_destroy(node);
	return NULL;
}

void node_destroy(struct node *node)
{
	if (node == NULL)
		return;
	entry_destroy(node->entry);
	modules_destroy(node);
	rules_destroy(node->rules);
	chart_destroy(node->turn_chart);
	chart_destroy(node->server_chart);
	g_free(node->id);
	g_free(node->addr);
	g_free(node->zone);
	g_free(node);
}

/* Discards all state that depended on the lost lease, without answering. */
static void restart_fenced(struct node *node)
{
	node_counter_add(node, NODE_FENCED, 1);
	node_log(node, "lease lost; starting again");
	modules_destroy(node);
	node->incarnation = rng_next(&node->rng) | 1;
	node->fenced = false;
	modules_create(node);
}

static void on_grant_ask(struct node *node, const char *from,
			 const Aps__GrantAsk *ask)
{
	int shard = shard_for_name(SHARD_KIND_LEDGER, ask->account);
	const struct rules_account *account;
	Aps__Peer peer = APS__PEER__INIT;
	Aps__Grant grant = APS__GRANT__INIT;
	uint32_t wait_ms = 0;

	if (!member_holds_shard(node->member, shard) || node->rules == NULL)
		return;
	account = rules_account(node->rules, ask->account);
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
		node_send(node, from, &peer);
}

/* Returns whether the fields that the handlers rely on are present. */
static bool is_well_formed(const Aps__Peer *peer)
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

static void handle_message(struct node *node, const Aps__Peer *peer)
{
	switch (peer->body_case) {
	case APS__PEER__BODY_CALL:
		owner_on_call(node->owner, peer->from, peer->call);
		break;
	case APS__PEER__BODY_CALL_CHUNK:
		entry_on_chunk(node->entry, peer->call_chunk);
		break;
	case APS__PEER__BODY_CALL_DONE:
		entry_on_done(node->entry, peer->incarnation, peer->call_done);
		break;
	case APS__PEER__BODY_CALL_CANCEL:
		owner_on_cancel(node->owner, peer->from, peer->call_cancel);
		break;
	case APS__PEER__BODY_DISPATCH:
		pool_on_dispatch(node->pools, peer->from, peer->incarnation,
				 peer->dispatch);
		break;
	case APS__PEER__BODY_DISPATCH_CHUNK:
		owner_on_chunk(node->owner, peer->dispatch_chunk);
		break;
	case APS__PEER__BODY_DISPATCH_DONE:
		owner_on_done(node->owner, peer->incarnation,
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
		owner_on_budget_move(node->owner, peer->from,
				     peer->budget_move);
		break;
	case APS__PEER__BODY_BUDGET_MOVED:
		owner_on_budget_moved(node->owner, peer->budget_moved);
		break;
	case APS__PEER__BODY_HELLO:
		if (!peer->hello->reply)
			node_send_hello(node, peer->from, true);
		else
			owner_on_hello(node->owner);
		break;
	default:
		break;
	}
}

static void deliver_frame(struct node *node, const uint8_t *buf, size_t len)
{
	Aps__Peer *peer = NULL;

	if (len <= NODE_FRAME_MAX)
		peer = aps__peer__unpack(NULL, len, buf);
	if (peer == NULL || peer->version != NODE_PROTOCOL_VERSION ||
	    !is_well_formed(peer))
		node_counter_add(node, NODE_PEER_FAULTS, 1);
	else {
		note_peer_seen(node, peer);
		handle_message(node, peer);
	}
	if (peer != NULL)
		aps__peer__free_unpacked(peer, NULL);
}

static void deliver_loopback(struct node *node)
{
	for (int i = 0; i < NODE_LOOPBACK_BATCH_MAX; i++) {
		GBytes *bytes = g_queue_pop_head(node->loopback);
		const uint8_t *buf;
		gsize len;

		if (bytes == NULL)
			return;
		buf = g_bytes_get_data(bytes, &len);
		deliver_frame(node, buf, len);
		g_bytes_unref(bytes);
	}
}

/* Processes the work that an event has queued. */
static void process_queued_work(struct node *node)
{
	if (node->fenced)
		restart_fenced(node);
	do {
		deliver_loopback(node);
		pool_tick(node->pools);
	} while (!g_queue_is_empty(node->loopback));
	commit_tick(node->commit);
}

static bool is_idle(const struct node *node)
{
	return node_refuses_calls(node) &&
	       member_shards_held(node->member) == 0 &&
	       entry_call_count(node->entry) == 0 &&
	       pool_run_count(node->pools) == 0;
}

void node_tick(struct node *node)
{
	if (node->fenced)
		restart_fenced(node);
	if (node->draining)
		commit_set_state(node->commit,
				 is_idle(node) ? APS__INSTANCE_STATE__DEAD
					       : APS__INSTANCE_STATE__LEAVING);
	member_tick(node->member);
	cfg_tick(node->config);
	entry_tick(node->entry);
	owner_tick(node->owner);
	process_queued_work(node);
}

uint64_t node_call(struct node *node, const struct node_call *call)
{
	uint64_t id = entry_start_call(node->entry, call);

	entry_tick(node->entry);
	process_queued_work(node);
	return id;
}

void node_call_cancel(struct node *node, uint64_t call_id)
{
	entry_cancel_call(node->entry, call_id);
	process_queued_work(node);
}

void node_on_peer(struct node *node, const uint8_t *buf, size_t len)
{
	deliver_frame(node, buf, len);
	process_queued_work(node);
}

static bool pending_take(struct node *node, uint64_t cookie,
			 struct pending *pending)
{
	const struct pending *found =
		g_hash_table_lookup(node->pending, &cookie);

	if (found == NULL)
		return false;
	*pending = *found;
	g_hash_table_remove(node->pending, &cookie);
	return true;
}

void node_on_table(struct node *node, uint64_t cookie,
		   const Aps__TableReply *reply)
{
	uint64_t before = node_counter(node, NODE_RULES_APPLIED);
	struct pending pending;

	if (!pending_take(node, cookie, &pending) || pending.table == NULL)
		return;
	pending.table(pending.arg, reply);
	if (node_counter(node, NODE_RULES_APPLIED) != before) {
		pool_on_rules(node->pools);
		entry_on_rules(node->entry);
	}
	process_queued_work(node);
}

void node_on_object(struct node *node, uint64_t cookie, bool ok,
		    const uint8_t *buf, size_t len)
{
	struct pending pending;

	if (!pending_take(node, cookie, &pending) || pending.object == NULL)
		return;
	pending.object(pending.arg, ok, buf, len);
	process_queued_work(node);
}

void node_on_release(struct node *node, uint64_t cookie, bool acknowledged,
		     uint64_t incarnation)
{
	struct pending pending;

	if (!pending_take(node, cookie, &pending) || pending.release == NULL)
		return;
	pending.release(pending.arg, acknowledged, incarnation);
	process_queued_work(node);
}

void node_on_probe(struct node *node, uint64_t cookie,
		   const struct node_load *load)
{
	struct pending pending;

	if (!pending_take(node, cookie, &pending) || pending.probe == NULL)
		return;
	pending.probe(pending.arg, load);
	process_queued_work(node);
}

void node_on_run_chunk(struct node *node, uint64_t run_id, uint64_t incarnation,
		       const uint8_t *buf, size_t len)
{
	pool_on_run_chunk(node->pools, run_id, incarnation, buf, len);
	process_queued_work(node);
}

void node_on_run_done(struct node *node, uint64_t run_id,
		      const struct node_run_result *result)
{
	pool_on_run_done(node->pools, run_id, result);
	process_queued_work(node);
}

void node_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	node->drain_ms = node_now_ms(node);
}

bool node_is_drained(const struct node *node)
{
	if (!node->draining)
		return false;
	/* Without a lease there are no shards to hand over. */
	if (node_now_ms(node) - node->drain_ms > NODE_DRAIN_NO_LEASE_MS &&
	    !commit_lease_is_valid(node->commit))
		return entry_call_count(node->entry) == 0 &&
		       pool_run_count(node->pools) == 0;
	return is_idle(node) && commit_is_idle(node->commit);
}

bool node_is_ready(const struct node *node)
{
	return !node->draining && node->rules != NULL &&
	       commit_lease_is_valid(node->commit) &&
	       member_has_current_rules(node->member);
}

uint64_t node_counter(const struct node *node, enum node_counter counter)
{
	return node->counters[counter];
}

char *node_status(const struct node *node)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"{\"id\":\"%s\",\"zone\":\"%s\",\"ready\":%s,"
		"\"draining\":%s,\"revision\":%" PRIu64
		",\"shards\":%d,\"programs\":%zu,\"calls\":%zu,\"servers\":",
		node->id, node->zone, node_is_ready(node) ? "true" : "false",
		node->draining ? "true" : "false",
		node->rules != NULL ? node->rules->revision : 0,
		member_shards_held(node->member),
		owner_program_count(node->owner),
		entry_call_count(node->entry));
	pool_status(node->pools, out);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}
