/** @file pool.c @brief Dispatchers: pools, and jobs until they start. */
#include <inttypes.h>
#include <string.h>

#include "config.h"
#include "member.h"
#include "pool_int.h"
#include "quarantine.h"

enum {
	/* Finished jobs are kept this long to answer repeated requests. */
	POOL_DONE_RETENTION_MS = 60000,
	POOL_PROBE_MS = 250, /* between two probes of a server */
	POOL_SWEEP_MS = 500, /* between two scans for expired jobs */
	POOL_OUTPUT_TOKENS_INITIAL = 64,
};

/* Initial values of the moving averages, in ms per token. */
#define POOL_PREFILL_INITIAL_MS 0.2
#define POOL_DECODE_INITIAL_MS 10.0

static void job_free(void *p)
{
	struct job *job = p;

	aps__dispatch__free_unpacked(job->msg, NULL);
	if (job->outcome != NULL)
		aps__outcome__free_unpacked(job->outcome, NULL);
	g_byte_array_unref(job->output);
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

struct pools *pool_create(struct node *node)
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

void pool_destroy(struct pools *pools)
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

static void add_server(struct pool *pool, const struct rules_server *rule)
{
	struct server *server =
		srv_create(pool->pools->node->server_chart, rule);

	server->pool = pool;
	g_ptr_array_add(pool->servers, server);
}

static void sync_servers(struct pool *pool)
{
	struct node *node = pool->pools->node;

	for (guint i = pool->servers->len; i-- > 0;) {
		struct server *server = pool->servers->pdata[i];

		if (rules_server(node->rules, server->name) != NULL)
			continue;
		/* A removed server drains and is freed when it is idle. */
		server->draining = true;
		if (server->inflight == 0 && !server->probing)
			g_ptr_array_remove_index(pool->servers, i);
	}
	for (guint i = 0; i < node->rules->servers->len; i++) {
		const struct rules_server *rule =
			node->rules->servers->pdata[i];
		struct server *server = place_find_server(pool, rule->name);

		if (strcmp(rule->pool, pool->name) != 0)
			continue;
		if (server != NULL)
			srv_update(server, rule);
		else
			add_server(pool, rule);
	}
}

static struct pool *pool_get_or_create(struct pools *pools, const char *name)
{
	struct pool *pool = g_hash_table_lookup(pools->by_name, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->name = g_strdup(name);
	pool->shard = shard_for_name(SHARD_KIND_POOL, name);
	pool->pools = pools;
	pool->servers = g_ptr_array_new_with_free_func(server_free);
	pool->fair = fair_create(pools->node, name);
	pool->avg_output_tokens = POOL_OUTPUT_TOKENS_INITIAL;
	pool->prefill_token_ms = POOL_PREFILL_INITIAL_MS;
	pool->decode_token_ms = POOL_DECODE_INITIAL_MS;
	g_hash_table_insert(pools->by_name, pool->name, pool);
	return pool;
}

void pool_on_rules(struct pools *pools)
{
	const struct rules *rules = pools->node->rules;
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < rules->servers->len; i++) {
		const struct rules_server *rule = rules->servers->pdata[i];

		pool_get_or_create(pools, rule->pool);
	}
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sync_servers(value);
}

void pool_shard_acquire(struct pools *pools, int shard,
			const Aps__ShardRow *row)
{
	for (size_t i = 0; i < row->n_servers; i++) {
		const Aps__PoolServer *state = row->servers[i];
		const struct rules_server *rule =
			pools->node->rules == NULL
				? NULL
				: rules_server(pools->node->rules,
					       state->server);
		struct server *server;

		if (rule == NULL ||
		    shard_for_name(SHARD_KIND_POOL, rule->pool) != shard)
			continue;
		server = place_find_server(
			pool_get_or_create(pools, rule->pool), state->server);
		if (server == NULL)
			continue;
		server->limit = state->limit;
		server->foreign_runs = state->inflight;
		server->probed = true;
		server->incarnation = state->incarnation;
	}
}

void pool_shard_hand_over(struct pools *pools, int shard, Aps__ShardRow *row)
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
			state->inflight =
				server->inflight + server->foreign_runs;
			g_ptr_array_add(states, state);
		}
	}
	row->n_servers = states->len;
	row->servers = (Aps__PoolServer **)g_ptr_array_free(states, FALSE);
}

void pool_shard_row_clear(Aps__ShardRow *row)
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
	node_send(pools->node, job->from, &peer);
}

void pool_finish_job(struct pools *pools, struct job *job,
		     const Aps__Outcome *outcome)
{
	if (job->state == JOB_QUEUED)
		fair_remove(job);
	job->state = JOB_DONE;
	job->done_ms = node_now_ms(pools->node);
	job->outcome = msg_dup(&outcome->base);
	send_done(pools, job);
	/* A repeated request needs only the outcome. */
	g_free(job->msg->prompt.data);
	job->msg->prompt = node_wrap_bytes(NULL, 0);
}

void pool_refuse_job(struct pools *pools, struct job *job, uint32_t status,
		     int line, const char *reason)
{
	struct node *node = pools->node;
	Aps__Outcome outcome = APS__OUTCOME__INIT;
	char rule[NODE_RULE_NAME_MAX];

	node_format_rule_name(node, line, rule);
	outcome.status = status;
	outcome.executed = APS__EXECUTED__NO;
	outcome.step = (char *)"dispatch";
	outcome.peer = node->id;
	outcome.reason = (char *)reason;
	outcome.rule = rule;
	if (status == 429 || status == 503)
		outcome.retry_after_ms = 1000;
	pool_finish_job(pools, job, &outcome);
}

static struct pool *find_pool_of_target(struct pools *pools, const char *name)
{
	const struct rules_target *target =
		pools->node->rules != NULL
			? rules_target(pools->node->rules, name)
			: NULL;

	return target != NULL ? pool_get_or_create(pools, target->pool) : NULL;
}

static char *make_job_key(const char *from, uint64_t incarnation, uint64_t id)
{
	return g_strdup_printf("%s/%" PRIu64 "/%" PRIu64, from, incarnation,
			       id);
}

static struct job *job_create(struct pools *pools, char *key, const char *from,
			      uint64_t incarnation, const Aps__Dispatch *msg)
{
	struct job *job = g_new0(struct job, 1);
	int64_t now = node_now_ms(pools->node);

	job->key = key;
	job->from = g_strdup(from);
	job->from_incarnation = incarnation;
	job->msg = msg_dup(&msg->base);
	job->fingerprint = quarantine_fingerprint(msg->request);
	job->state = JOB_DONE;
	job->queued_ms = now;
	job->deadline_ms = now + msg->deadline_ms;
	job->output = g_byte_array_new();
	g_byte_array_append(job->output, msg->resume.data,
			    (guint)msg->resume.len);
	g_hash_table_insert(pools->jobs, job->key, job);
	return job;
}

void pool_on_dispatch(struct pools *pools, const char *from,
		      uint64_t incarnation, const Aps__Dispatch *msg)
{
	struct node *node = pools->node;
	char *key = make_job_key(from, incarnation, msg->dispatch_id);
	struct job *job = g_hash_table_lookup(pools->jobs, key);
	struct pool *pool;

	if (job != NULL) {
		g_free(key);
		if (job->state == JOB_DONE)
			send_done(pools, job);
		return;
	}
	job = job_create(pools, key, from, incarnation, msg);
	pool = find_pool_of_target(pools, msg->request->target);
	/* The refused job is kept, so that a late duplicate cannot run. */
	job->stale = pool == NULL ||
		     !member_holds_shard(node->member, pool->shard) ||
		     member_epoch(node->member, pool->shard) != msg->pool_epoch;
	if (job->stale) {
		pool_refuse_job(pools, job, 503, 0,
				"not the dispatcher of this pool");
		return;
	}
	job->pool = pool;
	if (quarantine_crash_count(node->quarantine, job->fingerprint) >=
	    QUARANTINE_THRESHOLD) {
		pool_refuse_job(
			pools, job, 422, 0,
			"quarantined: two backend servers crashed running it");
		return;
	}
	job->state = JOB_QUEUED;
	fair_push(pool->fair, job);
}

void pool_on_cancel(struct pools *pools, const char *from, uint64_t incarnation,
		    uint64_t dispatch_id)
{
	char *key = make_job_key(from, incarnation, dispatch_id);
	struct job *job = g_hash_table_lookup(pools->jobs, key);

	if (job != NULL && job->state == JOB_QUEUED)
		pool_refuse_job(pools, job, 499, 0, "cancelled");
	else if (job != NULL && job->state == JOB_RUNNING)
		pools->node->io.cancel(pools->node->io.arg, job->run_id);
	g_free(key);
}

void pool_on_grant(struct pools *pools, const Aps__Grant *grant)
{
	struct pool *pool = g_hash_table_lookup(pools->by_name, grant->pool);

	if (pool != NULL)
		fair_on_grant(pool->fair, grant);
}

/* Counts our runs that are old enough to be in every load report. */
static uint32_t settled_runs(const struct server *server)
{
	const struct pools *pools = server->pool->pools;
	int64_t now = node_now_ms(pools->node);
	GHashTableIter iter;
	uint32_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, pools->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		count += strcmp(job->server, server->name) == 0 &&
			 now - job->started_ms > NODE_LOAD_MAX_AGE_MS;
	}
	return count;
}

static void on_probe_done(void *arg, const struct node_load *load)
{
	struct server *server = arg;

	server->probing = false;
	if (load == NULL)
		return;
	srv_observe_incarnation(server, load->incarnation);
	srv_on_load_report(server, load->inflight, settled_runs(server));
}

/* Probes for runs of earlier dispatchers, which count against the limits. */
static void probe_servers(struct pool *pool)
{
	struct node *node = pool->pools->node;
	int64_t now = node_now_ms(node);

	for (guint i = 0; i < pool->servers->len; i++) {
		struct server *server = pool->servers->pdata[i];

		if ((server->probed && server->foreign_runs == 0) ||
		    server->probing || now < server->probe_due_ms)
			continue;
		server->probing = true;
		server->probe_due_ms = now + POOL_PROBE_MS;
		node_send_probe(node, server->addr, on_probe_done, server);
	}
}

static void schedule_pool(struct pool *pool)
{
	struct node *node = pool->pools->node;
	struct server *server = NULL;
	struct job *job = NULL;

	if (node->rules == NULL ||
	    !member_holds_shard(node->member, pool->shard) ||
	    !member_has_current_rules(node->member))
		return;
	probe_servers(pool);
	while ((job = fair_next_over_rate(pool->fair)) != NULL) {
		const struct rules_account *rule =
			rules_account(node->rules, job->msg->request->account);

		node_counter_add(node, NODE_RATE_REFUSALS, 1);
		pool_refuse_job(pool->pools, job, 429,
				rule != NULL ? rule->line : 0,
				"account is over its rate");
	}
	while (place_next_job(pool, &job, &server)) {
		if (pool_may_start(pool->pools, job))
			pool_start_job(pool, job, server);
	}
	fair_tick(pool->fair, place_free_slots(pool));
}

/* The next holder of the shard may start runs that we do not see. */
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
			server->foreign_runs = 0;
		}
	}
}

void pool_shard_release(struct pools *pools, int shard)
{
	GList *jobs = g_hash_table_get_values(pools->jobs);

	for (GList *l = jobs; l != NULL; l = l->next) {
		struct job *job = l->data;

		if (job->pool == NULL || job->pool->shard != shard ||
		    job->state != JOB_QUEUED)
			continue;
		job->stale = true;
		pool_refuse_job(pools, job, 503, 0,
				"the dispatcher has changed");
	}
	g_list_free(jobs);
	forget_probes(pools, shard);
}

static gboolean job_is_expired(void *key, void *value, void *arg)
{
	struct pools *pools = arg;
	struct job *job = value;

	(void)key;
	return job->state == JOB_DONE &&
	       node_now_ms(pools->node) > MAX(job->done_ms, job->deadline_ms) +
						  POOL_DONE_RETENTION_MS;
}

static void sweep_jobs(struct pools *pools)
{
	int64_t now = node_now_ms(pools->node);
	GList *jobs;

	pools->sweep_due_ms = now + POOL_SWEEP_MS;
	g_hash_table_foreach_remove(pools->jobs, job_is_expired, pools);
	jobs = g_hash_table_get_values(pools->jobs);
	for (GList *l = jobs; l != NULL; l = l->next) {
		struct job *job = l->data;

		if (job->state == JOB_QUEUED && now >= job->deadline_ms)
			pool_refuse_job(pools, job, 504, 0,
					"deadline passed in queue");
		else if (job->state == JOB_RUNNING && now >= job->deadline_ms)
			pools->node->io.cancel(pools->node->io.arg,
					       job->run_id);
	}
	g_list_free(jobs);
}

void pool_tick(struct pools *pools)
{
	GHashTableIter iter;
	void *value;

	if (node_now_ms(pools->node) >= pools->sweep_due_ms)
		sweep_jobs(pools);
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		pool->held =
			member_holds_shard(pools->node->member, pool->shard);
		if (pool->held)
			schedule_pool(pool);
	}
}

size_t pool_run_count(const struct pools *pools)
{
	return g_hash_table_size(pools->runs);
}

static void append_status(const struct pool *pool, const struct server *server,
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
		server->draining ? "true" : "false", server->inflight,
		server->limit, server->rule_line);
}

void pool_status(const struct pools *pools, GString *out)
{
	GHashTableIter iter;
	void *value;

	g_string_append_c(out, '[');
	g_hash_table_iter_init(&iter, pools->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *pool = value;

		for (guint i = 0; pool->held && i < pool->servers->len; i++)
			append_status(pool, pool->servers->pdata[i], out);
	}
	g_string_append_c(out, ']');
}
