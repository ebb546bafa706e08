/** @file pool.c @brief Dispatchers: jobs, runs, and their ends. */
#include <inttypes.h>
#include <string.h>

#include "config.h"
#include "marks.h"
#include "member.h"
#include "pool_int.h"

enum {
	POL_DONE_KEPT_MS = 60000, /* how long a finished job is remembered */
	POL_PROBE_MS = 250,	  /* between probes of a server */
	POL_SWEEP_MS = 500,	  /* time between looks for what is over */
	POL_TRIES_MAX = 4,	  /* tries of a job that no server ran */
	POL_OUT_TOKENS_START = 64,
};

/* Starting points of the moving averages, in ms for each token. */
#define POL_PREFILL_START_MS 0.2
#define POL_DECODE_START_MS 10.0

static void job_free(void *p)
{
	struct job *job = p;

	aps__dispatch__free_unpacked(job->msg, NULL);
	if (job->outcome != NULL)
		aps__outcome__free_unpacked(job->outcome, NULL);
	g_byte_array_unref(job->text);
	g_free(job->key);
	g_free(job->from);
	g_free(job->fingerprint);
	g_free(job->server);
	g_free(job);
}

static void pool_free(void *p)
{
	struct pool *pool = p;

	g_ptr_array_unref(pool->servers);
	fair_destroy(pool->fair);
	g_free(pool->name);
	g_free(pool);
}

static void server_free(void *p)
{
	srv_destroy(p);
}

struct pools *pol_create(struct node *node)
{
	struct pools *pools = g_new0(struct pools, 1);

	pools->node = node;
	pools->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	pools->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	pools->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	return pools;
}

void pol_destroy(struct pools *pools)
{
	GHashTableIter iter;
	void *value;

	if (pools == NULL)
		return;
	g_hash_table_iter_init(&iter, pools->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		pools->node->io.cancel(pools->node->io.arg, job->run_id);
	}
	g_hash_table_unref(pools->runs);
	g_hash_table_unref(pools->jobs);
	g_hash_table_unref(pools->by_name);
	g_free(pools);
}

static void add_server(struct pool *pool, const struct rul_server *rule)
{
	struct server *server = srv_create(pool->set->node->server_chart, rule);

	server->pool = pool;
	g_ptr_array_add(pool->servers, server);
}

static void sync_servers(struct pool *pool)
{
	struct node *node = pool->set->node;

	for (guint i = pool->servers->len; i-- > 0;) {
		struct server *server = pool->servers->pdata[i];

		if (rul_server(node->rules, server->name) != NULL)
			continue;
		/* A removed server drains; it is dropped when it is idle. */
		server->out = true;
		if (server->inflight == 0 && !server->probing)
			g_ptr_array_remove_index(pool->servers, i);
	}
	for (guint i = 0; i < node->rules->servers->len; i++) {
		const struct rul_server *rule = node->rules->servers->pdata[i];
		struct server *server = plc_server(pool, rule->name);

		if (strcmp(rule->pool, pool->name) != 0)
			continue;
		if (server != NULL)
			srv_update(server, rule);
		else
			add_server(pool, rule);
	}
}

static struct pool *pool_get(struct pools *pools, const char *name)
{
	struct pool *pool = g_hash_table_lookup(pools->by_name, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->name = g_strdup(name);
	pool->shard = shd_of(SHD_POOL, name);
	pool->set = pools;
	pool->servers = g_ptr_array_new_with_free_func(server_free);
	pool->fair = fair_create(pools->node, name);
	pool->out_tokens = POL_OUT_TOKENS_START;
	pool->prefill_ms = POL_PREFILL_START_MS;
	pool->decode_ms = POL_DECODE_START_MS;
	g_hash_table_insert(pools->by_name, pool->name, pool);
	return pool;
}

void pol_on_rules(struct pools *pools)
{
	const struct rules *rules = pools->node->rules;
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < rules->servers->len; i++) {
		const struct rul_server *rule = rules->servers->pdata[i];

		pool_get(pools, rule->pool);
	}
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sync_servers(value);
}

void pol_shard_start(struct pools *pools, int shard, const Aps__ShardRow *row)
{
	for (size_t i = 0; i < row->n_servers; i++) {
		const Aps__PoolServer *state = row->servers[i];
		const struct rul_server *rule =
			pools->node->rules == NULL
				? NULL
				: rul_server(pools->node->rules, state->server);
		struct server *server;

		if (rule == NULL || shd_of(SHD_POOL, rule->pool) != shard)
			continue;
		server = plc_server(pool_get(pools, rule->pool), state->server);
		if (server == NULL)
			continue;
		server->limit = state->limit;
		server->foreign = state->inflight;
		server->probed = true;
		server->incarnation = state->incarnation;
	}
}

void pol_shard_pass(struct pools *pools, int shard, Aps__ShardRow *row)
{
	GPtrArray *states = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *pool = value;

		for (guint i = 0;
		     pool->shard == shard && i < pool->servers->len; i++) {
			const struct server *server = pool->servers->pdata[i];
			Aps__PoolServer *state = g_new(Aps__PoolServer, 1);

			aps__pool_server__init(state);
			state->server = server->name;
			state->incarnation = server->incarnation;
			state->limit = server->limit;
			state->inflight = server->inflight + server->foreign;
			g_ptr_array_add(states, state);
		}
	}
	row->n_servers = states->len;
	row->servers = (Aps__PoolServer **)g_ptr_array_free(states, FALSE);
}

void pol_row_free(Aps__ShardRow *row)
{
	for (size_t i = 0; i < row->n_servers; i++)
		g_free(row->servers[i]);
	g_free(row->servers);
	row->n_servers = 0;
	row->servers = NULL;
}

static void send_done(struct pools *pools, const struct job *job)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__DispatchDone msg = APS__DISPATCH_DONE__INIT;

	msg.dispatch_id = job->msg->dispatch_id;
	msg.stale = job->stale;
	msg.outcome = job->outcome;
	peer.body_case = APS__PEER__BODY_DISPATCH_DONE;
	peer.dispatch_done = &msg;
	nod_send(pools->node, job->from, &peer);
}

static void finish(struct pools *pools, struct job *job,
		   const Aps__Outcome *outcome)
{
	if (job->state == JOB_QUEUED)
		fair_remove(job);
	job->state = JOB_DONE;
	job->done_ms = nod_now(pools->node);
	job->outcome = nod_outcome_dup(outcome);
	send_done(pools, job);
	/* Only the end is kept, for a repeated request. */
	g_free(job->msg->prompt.data);
	job->msg->prompt = nod_bytes(NULL, 0);
}

static void refuse(struct pools *pools, struct job *job, uint32_t status,
		   int line, const char *reason)
{
	struct node *node = pools->node;
	Aps__Outcome outcome = APS__OUTCOME__INIT;
	char rule[NOD_RULE_MAX];

	nod_rule_name(node, line, rule);
	outcome.status = status;
	outcome.executed = APS__EXECUTED__NO;
	outcome.step = (char *)"dispatch";
	outcome.peer = node->id;
	outcome.reason = (char *)reason;
	outcome.rule = rule;
	if (status == 429 || status == 503)
		outcome.retry_after_ms = 1000;
	finish(pools, job, &outcome);
}

static struct pool *pool_of_target(struct pools *pools, const char *name)
{
	const struct rul_target *target =
		pools->node->rules != NULL
			? rul_target(pools->node->rules, name)
			: NULL;

	return target != NULL ? pool_get(pools, target->pool) : NULL;
}

static Aps__Dispatch *dispatch_dup(const Aps__Dispatch *msg)
{
	size_t len = aps__dispatch__get_packed_size(msg);
	uint8_t *buf = g_malloc(len + 1);
	Aps__Dispatch *copy;

	aps__dispatch__pack(msg, buf);
	copy = aps__dispatch__unpack(NULL, len, buf);
	g_free(buf);
	return copy;
}

static char *job_key(const char *from, uint64_t incarnation, uint64_t id)
{
	return g_strdup_printf("%s/%" PRIu64 "/%" PRIu64, from, incarnation,
			       id);
}

static struct job *job_create(struct pools *pools, char *key, const char *from,
			      uint64_t incarnation, const Aps__Dispatch *msg)
{
	struct job *job = g_new0(struct job, 1);
	int64_t now = nod_now(pools->node);

	job->key = key;
	job->from = g_strdup(from);
	job->from_incarnation = incarnation;
	job->msg = dispatch_dup(msg);
	job->fingerprint = mrk_fingerprint(msg->request);
	job->state = JOB_DONE;
	job->queued_ms = now;
	job->deadline_ms = now + msg->deadline_ms;
	job->text = g_byte_array_new();
	g_byte_array_append(job->text, msg->resume.data,
			    (guint)msg->resume.len);
	g_hash_table_insert(pools->jobs, job->key, job);
	return job;
}

void pol_on_dispatch(struct pools *pools, const char *from,
		     uint64_t incarnation, const Aps__Dispatch *msg)
{
	struct node *node = pools->node;
	char *key = job_key(from, incarnation, msg->dispatch_id);
	struct job *job = g_hash_table_lookup(pools->jobs, key);
	struct pool *pool;

	if (job != NULL) {
		g_free(key);
		if (job->state == JOB_DONE)
			send_done(pools, job);
		return;
	}
	job = job_create(pools, key, from, incarnation, msg);
	pool = pool_of_target(pools, msg->request->target);
	/* A refusal is remembered, so that a late copy cannot run. */
	job->stale = pool == NULL || !mem_holds(node->member, pool->shard) ||
		     mem_epoch(node->member, pool->shard) != msg->pool_epoch;
	if (job->stale) {
		refuse(pools, job, 503, 0, "not the dispatcher of this pool");
		return;
	}
	job->pool = pool;
	if (mrk_get(node->marks, job->fingerprint) >= MRK_QUARANTINE) {
		refuse(pools, job, 422, 0,
		       "quarantined: two backend servers crashed running it");
		return;
	}
	job->state = JOB_QUEUED;
	fair_push(pool->fair, job);
}

void pol_on_cancel(struct pools *pools, const char *from, uint64_t incarnation,
		   uint64_t dispatch_id)
{
	char *key = job_key(from, incarnation, dispatch_id);
	struct job *job = g_hash_table_lookup(pools->jobs, key);

	if (job != NULL && job->state == JOB_QUEUED)
		refuse(pools, job, 499, 0, "cancelled");
	else if (job != NULL && job->state == JOB_RUNNING)
		pools->node->io.cancel(pools->node->io.arg, job->run_id);
	g_free(key);
}

void pol_on_grant(struct pools *pools, const Aps__Grant *grant)
{
	struct pool *pool = g_hash_table_lookup(pools->by_name, grant->pool);

	if (pool != NULL)
		fair_on_grant(pool->fair, grant);
}

static void mark_shared(struct pools *pools, const struct job *job)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pools->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *other = value;

		if (g_strcmp0(other->server, job->server) == 0)
			other->shared = true;
	}
}

static void start(struct pool *pool, struct job *job, struct server *server)
{
	struct pools *pools = pool->set;
	struct node *node = pools->node;
	const Aps__Request *request = job->msg->request;
	struct nod_run run = {.server = server->name,
			      .addr = server->addr,
			      .target = request->target,
			      .program = request->program,
			      .is_model =
				      request->kind == APS__CALL_KIND__MODEL,
			      .repeatable = request->repeatable,
			      .fence = job->msg->fence,
			      .max_out = request->max_out,
			      .prompt = job->msg->prompt};

	fair_remove(job);
	job->cost = plc_cost(pool, job, server);
	fair_charge(pool->fair, job->account, job->cost);
	job->state = JOB_RUNNING;
	job->started_ms = nod_now(node);
	job->first_ms = 0;
	job->run_id = nod_next_id(node);
	job->tries++;
	job->cached = srv_cached(server, request->program);
	g_free(job->server);
	job->server = g_strdup(server->name);
	job->shared = server->inflight > 0;
	if (job->shared)
		mark_shared(pools, job);
	srv_started(server, job->solo);
	g_hash_table_insert(pools->runs, &job->run_id, job);
	run.run_id = job->run_id;
	run.deadline_ms = (uint32_t)(job->deadline_ms - job->started_ms);
	run.resume = nod_bytes(job->text->data, job->text->len);
	nod_count(node, NOD_DISPATCHES, 1);
	node->io.run(node->io.arg, &run);
}

/* Checks that hold when a job is about to start. */
static bool may_start(struct pools *pools, struct job *job)
{
	struct node *node = pools->node;

	if (cfg_authorize(node->rules, job->msg->request) == NULL) {
		refuse(pools, job, 401, 0, "key is not valid for this account");
		return false;
	}
	if (!mem_alive(node->member, job->from, job->from_incarnation)) {
		refuse(pools, job, 499, 0, "its owner is gone");
		return false;
	}
	if (mrk_get(node->marks, job->fingerprint) >= MRK_QUARANTINE) {
		refuse(pools, job, 422, 0,
		       "quarantined: two backend servers crashed running it");
		return false;
	}
	return true;
}

/* Our runs that every report made now must contain. */
static uint32_t old_runs(const struct server *server)
{
	const struct pools *pools = server->pool->set;
	int64_t now = nod_now(pools->node);
	GHashTableIter iter;
	uint32_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, pools->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		count += strcmp(job->server, server->name) == 0 &&
			 now - job->started_ms > NOD_LOAD_LAG_MS;
	}
	return count;
}

static void on_probed(void *arg, const struct nod_load *load)
{
	struct server *server = arg;

	server->probing = false;
	if (load == NULL)
		return;
	srv_see_incarnation(server, load->incarnation);
	srv_probed(server, load->inflight, old_runs(server));
}

/* What an earlier dispatcher left running counts against the limit. */
static void probe(struct pool *pool)
{
	struct node *node = pool->set->node;
	int64_t now = nod_now(node);

	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		if ((server->probed && server->foreign == 0) ||
		    server->probing || now < server->probe_due_ms)
			continue;
		server->probing = true;
		server->probe_due_ms = now + POL_PROBE_MS;
		nod_probe(node, server->addr, on_probed, server);
	}
}

static void run_pool(struct pool *pool)
{
	struct node *node = pool->set->node;
	struct server *server = NULL;
	struct job *job = NULL;

	if (node->rules == NULL || !mem_holds(node->member, pool->shard) ||
	    !mem_fresh(node->member))
		return;
	probe(pool);
	while ((job = fair_over_rate(pool->fair)) != NULL) {
		const struct rul_account *rule =
			rul_account(node->rules, job->msg->request->account);

		nod_count(node, NOD_RATE_REFUSALS, 1);
		refuse(pool->set, job, 429, rule != NULL ? rule->line : 0,
		       "account is over its rate");
	}
	while (plc_next(pool, &job, &server)) {
		if (may_start(pool->set, job))
			start(pool, job, server);
	}
	fair_tick(pool->fair, plc_slots(pool));
}

static void send_chunk(struct pools *pools, const struct job *job,
		       size_t offset)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__DispatchChunk msg = APS__DISPATCH_CHUNK__INIT;

	msg.dispatch_id = job->msg->dispatch_id;
	msg.offset = offset;
	msg.text = nod_bytes(job->text->data + offset, job->text->len - offset);
	peer.body_case = APS__PEER__BODY_DISPATCH_CHUNK;
	peer.dispatch_chunk = &msg;
	nod_send(pools->node, job->from, &peer);
}

static void first_part(struct job *job, uint64_t incarnation)
{
	struct server *server = plc_server(job->pool, job->server);

	job->first_ms = nod_now(job->pool->set->node);
	if (server == NULL)
		return;
	srv_see_incarnation(server, incarnation);
	srv_heard(server, job->first_ms);
}

void pol_on_run_chunk(struct pools *pools, uint64_t run_id,
		      uint64_t incarnation, const uint8_t *buf, size_t len)
{
	struct job *job = g_hash_table_lookup(pools->runs, &run_id);
	size_t offset;

	if (job == NULL)
		return;
	if (job->first_ms == 0)
		first_part(job, incarnation);
	offset = job->text->len;
	g_byte_array_append(job->text, buf, (guint)len);
	send_chunk(pools, job, offset);
}

static void whole(struct pools *pools, struct job *job, struct server *server,
		  Aps__Outcome *outcome)
{
	const Aps__Request *request = job->msg->request;
	uint32_t missed;

	outcome->status = 200;
	outcome->executed = APS__EXECUTED__YES;
	outcome->answer = nod_bytes(job->text->data, job->text->len);
	mrk_clear(pools->node->marks, job->fingerprint);
	if (server == NULL)
		return;
	outcome->incarnation = server->incarnation;
	server->seen_ms = nod_now(pools->node);
	srv_answered(server, plc_learn(job->pool, job, server, outcome));
	if (request->kind != APS__CALL_KIND__MODEL || request->transient)
		return;
	missed = job->cached - MIN(job->cached, outcome->cached_tokens);
	nod_count(pools->node, NOD_WASTED_TOKENS, missed);
	nod_count(pools->node, NOD_PREFILL_TOKENS,
		  outcome->prompt_tokens - outcome->cached_tokens);
	srv_cache(server, request->program,
		  outcome->prompt_tokens + outcome->out_tokens);
}

static void broken(struct pools *pools, struct job *job, struct server *server,
		   Aps__Outcome *outcome)
{
	outcome->status = 502;
	outcome->executed = APS__EXECUTED__UNKNOWN;
	outcome->reason = (char *)"the backend server broke off";
	mrk_add(pools->node->marks, job->fingerprint);
	if (server != NULL)
		srv_failed(server, nod_now(pools->node));
}

/* Queues a job that no server ran. @return false if it was tried enough */
static bool try_again(struct pools *pools, struct job *job)
{
	if (job->tries >= POL_TRIES_MAX || !job->pool->held ||
	    !mem_holds(pools->node->member, job->pool->shard))
		return false;
	job->state = JOB_QUEUED;
	fair_push(job->pool->fair, job);
	return true;
}

static void unsent(struct pools *pools, struct server *server,
		   const struct nod_run_result *result, Aps__Outcome *outcome)
{
	outcome->status = 503;
	outcome->executed = APS__EXECUTED__NO;
	outcome->reason = (char *)"no backend server took it";
	outcome->retry_after_ms = 1000;
	if (server != NULL && result->end == NOD_RUN_UNSENT)
		srv_failed(server, nod_now(pools->node));
	else if (server != NULL && result->status != 409)
		srv_answered(server, false);
	if (result->status == 409)
		outcome->reason = (char *)"an order with a newer fence came";
}

static void failed(const struct nod_run_result *result, Aps__Outcome *outcome)
{
	outcome->status = 502;
	outcome->executed = result->end == NOD_RUN_FAILED
				    ? APS__EXECUTED__YES
				    : APS__EXECUTED__UNKNOWN;
	if (result->end == NOD_RUN_CROSSED)
		outcome->reason = (char *)"the answer was another request's";
	else if (result->end == NOD_RUN_CANCELLED)
		outcome->reason = (char *)"cancelled while it ran";
	else
		outcome->reason = (char *)"the backend server failed";
}

void pol_on_run_done(struct pools *pools, uint64_t run_id,
		     const struct nod_run_result *result)
{
	struct job *job = g_hash_table_lookup(pools->runs, &run_id);
	Aps__Outcome outcome = APS__OUTCOME__INIT;
	struct server *server;
	char rule[NOD_RULE_MAX];

	if (job == NULL)
		return;
	g_hash_table_remove(pools->runs, &run_id);
	server = plc_server(job->pool, job->server);
	if (server != NULL) {
		srv_ended(server, job->solo, job->first_ms > 0);
		srv_see_incarnation(server, result->incarnation);
	}
	nod_rule_name(pools->node, server != NULL ? server->line : 0, rule);
	outcome.rule = rule;
	outcome.step = (char *)"run";
	outcome.peer = job->server;
	outcome.server = job->server;
	outcome.prompt_tokens = result->prompt_tokens;
	outcome.cached_tokens =
		MIN(result->cached_tokens, result->prompt_tokens);
	outcome.out_tokens = result->out_tokens;
	switch (result->end) {
	case NOD_RUN_WHOLE:
		whole(pools, job, server, &outcome);
		break;
	case NOD_RUN_BROKEN:
		broken(pools, job, server, &outcome);
		break;
	case NOD_RUN_UNSENT:
	case NOD_RUN_REFUSED:
		unsent(pools, server, result, &outcome);
		if (result->status != 409 && try_again(pools, job))
			return;
		break;
	default:
		failed(result, &outcome);
	}
	finish(pools, job, &outcome);
}

/* Whoever holds the pool next may start runs that we do not see. */
static void forget_probes(struct pools *pools, int shard)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		for (guint i = 0;
		     pool->shard == shard && i < pool->servers->len; i++) {
			struct server *server = pool->servers->pdata[i];

			server->probed = false;
			server->foreign = 0;
		}
	}
}

void pol_shard_stop(struct pools *pools, int shard)
{
	GList *jobs = g_hash_table_get_values(pools->jobs);

	for (GList *l = jobs; l != NULL; l = l->next) {
		struct job *job = l->data;

		if (job->pool == NULL || job->pool->shard != shard ||
		    job->state != JOB_QUEUED)
			continue;
		job->stale = true;
		refuse(pools, job, 503, 0, "the dispatcher has changed");
	}
	g_list_free(jobs);
	forget_probes(pools, shard);
}

static gboolean job_over(void *key, void *value, void *arg)
{
	struct pools *pools = arg;
	struct job *job = value;

	(void)key;
	return job->state == JOB_DONE &&
	       nod_now(pools->node) - job->done_ms > POL_DONE_KEPT_MS;
}

static void sweep(struct pools *pools)
{
	int64_t now = nod_now(pools->node);
	GList *jobs;

	pools->sweep_due_ms = now + POL_SWEEP_MS;
	g_hash_table_foreach_remove(pools->jobs, job_over, pools);
	jobs = g_hash_table_get_values(pools->jobs);
	for (GList *l = jobs; l != NULL; l = l->next) {
		struct job *job = l->data;

		if (job->state == JOB_QUEUED && now >= job->deadline_ms)
			refuse(pools, job, 504, 0, "deadline passed in queue");
		else if (job->state == JOB_RUNNING && now >= job->deadline_ms)
			pools->node->io.cancel(pools->node->io.arg,
					       job->run_id);
	}
	g_list_free(jobs);
}

void pol_tick(struct pools *pools)
{
	GHashTableIter iter;
	void *value;

	if (nod_now(pools->node) >= pools->sweep_due_ms)
		sweep(pools);
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		pool->held = mem_holds(pools->node->member, pool->shard);
		if (pool->held)
			run_pool(pool);
	}
}

size_t pol_runs(const struct pools *pools)
{
	return g_hash_table_size(pools->runs);
}

static void status_server(const struct pool *pool, const struct server *server,
			  GString *out)
{
	g_string_append_printf(
		out,
		"%s{\"server\":\"%s\",\"pool\":\"%s\",\"zone\":\"%s\","
		"\"state\":\"%s\",\"out\":%s,\"inflight\":%u,"
		"\"limit\":%.2f,\"line\":%d}",
		out->str[out->len - 1] == '[' ? "" : ",", server->name,
		pool->name, server->zone,
		chart_state_name(server->chart, server->state),
		server->out ? "true" : "false", server->inflight, server->limit,
		server->line);
}

void pol_status(const struct pools *pools, GString *out)
{
	GHashTableIter iter;
	void *value;

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *pool = value;

		for (guint i = 0; pool->held && i < pool->servers->len; i++)
			status_server(pool, pool->servers->pdata[i], out);
	}
	g_string_append_c(out, ']');
}
