/** @file pool_run.c @brief Dispatchers: runs on backend servers. */
#include "config.h"
#include "member.h"
#include "pool_int.h"
#include "quarantine.h"

enum {
	POOL_ATTEMPTS_MAX = 4, /* of a job that no server executed */
};

void pool_start_job(struct pool *pool, struct job *job, struct server *server)
{
	struct pools *pools = pool->pools;
	struct node *node = pools->node;
	const Aps__Request *request = job->msg->request;
	struct node_run run = {.server = server->name,
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
	fair_charge(pool->fair, job->account, place_cost_ms(pool, job, server));
	job->state = JOB_RUNNING;
	job->started_ms = node_now_ms(node);
	job->first_output_ms = 0;
	job->run_id = node_next_id(node);
	job->attempts++;
	job->expected_cached = srv_cached_tokens(server, request->program);
	g_free(job->server);
	job->server = g_strdup(server->name);
	srv_on_run_start(server, job->exclusive);
	g_hash_table_insert(pools->runs, &job->run_id, job);
	run.run_id = job->run_id;
	run.deadline_ms = (uint32_t)(job->deadline_ms - job->started_ms);
	run.resume = node_wrap_bytes(job->output->data, job->output->len);
	node_counter_add(node, NODE_DISPATCHES, 1);
	node->io.run(node->io.arg, &run);
}

bool pool_may_start(struct pools *pools, struct job *job)
{
	struct node *node = pools->node;

	if (cfg_authorize(node->rules, job->msg->request) == NULL) {
		pool_refuse_job(pools, job, 401, 0,
				"key is not valid for this account");
		return false;
	}
	if (!member_is_alive(node->member, job->from, job->from_incarnation)) {
		pool_refuse_job(pools, job, 499, 0, "its owner is gone");
		return false;
	}
	if (quarantine_crash_count(node->quarantine, job->fingerprint) >=
	    QUARANTINE_THRESHOLD) {
		pool_refuse_job(
			pools, job, 422, 0,
			"quarantined: two backend servers crashed running it");
		return false;
	}
	return true;
}

static void send_chunk(struct pools *pools, const struct job *job,
		       size_t offset)
{
	Aps__Peer peer = APS__PEER__INIT;
	Aps__DispatchChunk msg = APS__DISPATCH_CHUNK__INIT;

	msg.dispatch_id = job->msg->dispatch_id;
	msg.offset = offset;
	msg.text = node_wrap_bytes(job->output->data + offset,
				   job->output->len - offset);
	peer.body_case = APS__PEER__BODY_DISPATCH_CHUNK;
	peer.dispatch_chunk = &msg;
	node_send(pools->node, job->from, &peer);
}

static void note_first_output(struct job *job, uint64_t incarnation)
{
	struct server *server = place_find_server(job->pool, job->server);

	job->first_output_ms = node_now_ms(job->pool->pools->node);
	if (server == NULL)
		return;
	srv_observe_incarnation(server, incarnation);
	srv_on_first_output(server, job->first_output_ms);
}

void pool_on_run_chunk(struct pools *pools, uint64_t run_id,
		       uint64_t incarnation, const uint8_t *buf, size_t len)
{
	struct job *job = g_hash_table_lookup(pools->runs, &run_id);
	size_t offset;

	if (job == NULL)
		return;
	if (job->first_output_ms == 0)
		note_first_output(job, incarnation);
	offset = job->output->len;
	g_byte_array_append(job->output, buf, (guint)len);
	send_chunk(pools, job, offset);
}

static void outcome_complete(struct pools *pools, struct job *job,
			     struct server *server, Aps__Outcome *outcome)
{
	const Aps__Request *request = job->msg->request;
	uint32_t missed;

	outcome->status = 200;
	outcome->executed = APS__EXECUTED__YES;
	outcome->answer = node_wrap_bytes(job->output->data, job->output->len);
	quarantine_clear(pools->node->quarantine, job->fingerprint);
	if (server == NULL)
		return;
	outcome->incarnation = server->incarnation;
	server->last_seen_ms = node_now_ms(pools->node);
	srv_on_response(server, place_observe(job->pool, job, server, outcome));
	if (request->kind != APS__CALL_KIND__MODEL || request->transient)
		return;
	missed = job->expected_cached -
		 MIN(job->expected_cached, outcome->cached_tokens);
	node_counter_add(pools->node, NODE_WASTED_TOKENS, missed);
	node_counter_add(pools->node, NODE_PREFILL_TOKENS,
			 outcome->prompt_tokens - outcome->cached_tokens);
	srv_note_cached(server, request->program,
			outcome->prompt_tokens + outcome->out_tokens);
}

static void outcome_interrupted(struct pools *pools, struct job *job,
				struct server *server, Aps__Outcome *outcome)
{
	outcome->status = 502;
	outcome->executed = APS__EXECUTED__UNKNOWN;
	outcome->reason = (char *)"the backend server broke off";
	quarantine_add_crash(pools->node->quarantine, job->fingerprint);
	if (server != NULL)
		srv_on_failure(server, node_now_ms(pools->node));
}

/* Queues a job again that no server executed, unless it has no attempts left
 * or this instance no longer holds the pool. */
static bool requeue(struct pools *pools, struct job *job)
{
	if (job->attempts >= POOL_ATTEMPTS_MAX || !job->pool->held ||
	    !member_holds_shard(pools->node->member, job->pool->shard))
		return false;
	job->state = JOB_QUEUED;
	fair_push(job->pool->fair, job);
	return true;
}

static void outcome_not_executed(struct pools *pools, struct server *server,
				 const struct node_run_result *result,
				 Aps__Outcome *outcome)
{
	outcome->status = 503;
	outcome->executed = APS__EXECUTED__NO;
	outcome->reason = (char *)"no backend server took it";
	outcome->retry_after_ms = 1000;
	if (server != NULL && result->end == NODE_RUN_NOT_SENT)
		srv_on_failure(server, node_now_ms(pools->node));
	else if (server != NULL && result->status != 409)
		srv_on_response(server, false);
	if (result->status == 409)
		outcome->reason = (char *)"an order with a newer fence came";
}

static void outcome_failed(const struct node_run_result *result,
			   Aps__Outcome *outcome)
{
	outcome->status = 502;
	outcome->executed = result->end == NODE_RUN_FAILED
				    ? APS__EXECUTED__YES
				    : APS__EXECUTED__UNKNOWN;
	if (result->end == NODE_RUN_MISMATCHED)
		outcome->reason = (char *)"the answer was another request's";
	else if (result->end == NODE_RUN_CANCELLED)
		outcome->reason = (char *)"cancelled while it ran";
	else
		outcome->reason = (char *)"the backend server failed";
}

void pool_on_run_done(struct pools *pools, uint64_t run_id,
		      const struct node_run_result *result)
{
	struct job *job = g_hash_table_lookup(pools->runs, &run_id);
	Aps__Outcome outcome = APS__OUTCOME__INIT;
	struct server *server;
	char rule[NODE_RULE_NAME_MAX];

	if (job == NULL)
		return;
	g_hash_table_remove(pools->runs, &run_id);
	server = place_find_server(job->pool, job->server);
	if (server != NULL) {
		srv_on_run_end(server, job->exclusive,
			       job->first_output_ms > 0);
		srv_observe_incarnation(server, result->incarnation);
	}
	node_format_rule_name(pools->node,
			      server != NULL ? server->rule_line : 0, rule);
	outcome.rule = rule;
	outcome.step = (char *)"run";
	outcome.peer = job->server;
	outcome.server = job->server;
	outcome.prompt_tokens = result->prompt_tokens;
	outcome.cached_tokens =
		MIN(result->cached_tokens, result->prompt_tokens);
	outcome.out_tokens = result->out_tokens;
	switch (result->end) {
	case NODE_RUN_COMPLETE:
		outcome_complete(pools, job, server, &outcome);
		break;
	case NODE_RUN_INTERRUPTED:
		outcome_interrupted(pools, job, server, &outcome);
		break;
	case NODE_RUN_NOT_SENT:
	case NODE_RUN_REFUSED:
		outcome_not_executed(pools, server, result, &outcome);
		if (result->status != 409 && requeue(pools, job))
			return;
		break;
	default:
		outcome_failed(result, &outcome);
	}
	pool_finish_job(pools, job, &outcome);
}
