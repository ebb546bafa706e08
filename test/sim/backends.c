/** @file backends.c @brief Simulated backend servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/sim/clients.h"
#include "test/sim/sim.h"

enum {
	CHUNK_TOKENS = 4,
	SERVICE_TIME_MAX_MS = 200,
	RESTART_DOWN_MS = 1000,
};

/* A run in progress at a server. */
struct active_run {
	int server;
	struct sim_node_ref origin;
	uint64_t run_id;
	uint64_t fence;
	char *program;
	char *answer;
	size_t sent_bytes;
	struct sim_run *record;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t out_tokens;
	bool is_model;
	bool is_hung;
	/* The response is for another request, which the transport detects. */
	bool is_mismatched;
	bool is_ended; /* freed by its next event */
	char *body;
	char *prompt_text;
};

/* A message in transit from a server to a node. */
struct reply {
	struct sim_node_ref to;
	uint64_t run_id;
	GBytes *text;
	struct node_run_result result;
	bool is_release;
	bool is_probe;
	struct node_load load;
	bool acknowledged;
};

static void active_run_free(void *p)
{
	struct active_run *a = p;

	g_free(a->program);
	g_free(a->answer);
	g_free(a->body);
	g_free(a->prompt_text);
	g_free(a);
}

static void run_free(void *p)
{
	struct sim_run *run = p;

	g_free(run->program);
	g_free(run);
}

void backends_create(struct sim *sim)
{
	sim->runs = g_ptr_array_new_with_free_func(run_free);
	sim->nservers = sim->params.engines + sim->params.services;
	for (int i = 0; i < sim->nservers; i++) {
		struct sim_server *s = &sim->servers[i];
		bool engine = i < sim->params.engines;

		snprintf(s->name, sizeof(s->name), "%c%d", engine ? 'k' : 'd',
			 engine ? i + 1 : i + 1 - sim->params.engines);
		snprintf(s->zone, sizeof(s->zone), "%c",
			 'a' + i % sim->params.zones);
		snprintf(s->pool, sizeof(s->pool), "%s",
			 engine ? "kitchen" : "desk");
		s->model =
			model_create(sim->params.engine_runs_max, i % 2 == 0);
		s->active = g_hash_table_new(g_direct_hash, g_direct_equal);
	}
}

void backends_destroy(struct sim *sim)
{
	for (int i = 0; i < sim->nservers; i++) {
		g_hash_table_unref(sim->servers[i].active);
		model_destroy(sim->servers[i].model);
	}
	g_ptr_array_unref(sim->runs);
}

static int find_server(const struct sim *sim, const char *name, size_t len)
{
	for (int i = 0; i < sim->nservers; i++) {
		if (strlen(sim->servers[i].name) == len &&
		    memcmp(sim->servers[i].name, name, len) == 0)
			return i;
	}
	return -1;
}

static void on_reply(struct sim *sim, void *arg)
{
	struct reply *reply = arg;
	struct sim_node *n = sim_find_running_node(sim, reply->to);
	const uint8_t *buf;
	gsize len;

	if (n != NULL && sim_defer_if_frozen(n, on_reply, reply))
		return;
	if (n != NULL && reply->is_release) {
		node_on_release(n->node, reply->run_id, reply->acknowledged,
				reply->result.incarnation);
	} else if (n != NULL && reply->is_probe) {
		node_on_probe(n->node, reply->run_id, &reply->load);
	} else if (n != NULL && reply->text != NULL) {
		buf = g_bytes_get_data(reply->text, &len);
		node_on_run_chunk(n->node, reply->run_id,
				  reply->result.incarnation, buf, len);
	} else if (n != NULL) {
		node_on_run_done(n->node, reply->run_id, &reply->result);
	}
	if (reply->text != NULL)
		g_bytes_unref(reply->text);
	g_free(reply);
}

static void send_chunk(struct sim *sim, struct active_run *a, size_t len)
{
	struct reply *reply = g_new0(struct reply, 1);

	reply->to = a->origin;
	reply->run_id = a->run_id;
	reply->result.incarnation = sim->servers[a->server].model->incarnation;
	reply->text = g_bytes_new(a->answer + a->sent_bytes, len);
	a->sent_bytes += len;
	sim_schedule(sim, sim->params.latency_ms, on_reply, reply);
}

/*
 * Ends a run. The program's cache stays on the server, and the tokens
 * processed so far count as spent.
 */
static void end_run(struct sim *sim, struct active_run *a,
		    enum node_run_end end)
{
	struct sim_server *s = &sim->servers[a->server];
	struct reply *reply = g_new0(struct reply, 1);
	uint32_t out = (uint32_t)(a->sent_bytes / MODEL_BYTES_PER_TOKEN);

	reply->to = a->origin;
	reply->run_id = a->run_id;
	reply->result.end = end;
	reply->result.incarnation = s->model->incarnation;
	reply->result.prompt_tokens = a->is_model ? a->prompt_tokens : 0;
	reply->result.cached_tokens = a->cached_tokens;
	reply->result.out_tokens = a->is_model ? a->out_tokens : 0;
	if (a->record != NULL) {
		a->record->end_ms = sim->now_ms;
		if (a->record->prog >= 0 &&
		    a->record->prog < (int)sim->progs->len)
			((struct sim_program *)
				 sim->progs->pdata[a->record->prog])
				->run_end_ms = sim->now_ms;
		a->record->tokens = a->is_model ? a->prompt_tokens + out : 0;
		if (a->is_model)
			model_end_run(s->model, a->program,
				      a->prompt_tokens + out,
				      end == NODE_RUN_COMPLETE);
		else
			s->model->inflight--, s->model->completed++;
	}
	a->is_ended = true;
	g_hash_table_remove(s->active, a);
	sim_schedule(sim, sim->params.latency_ms, on_reply, reply);
}

static void on_decode_step(struct sim *sim, void *arg)
{
	struct active_run *a = arg;
	struct sim_server *s = &sim->servers[a->server];
	size_t left;
	size_t chunk = CHUNK_TOKENS * MODEL_BYTES_PER_TOKEN;

	if (a->is_ended) {
		active_run_free(a);
		return;
	}
	left = strlen(a->answer) - a->sent_bytes;
	if (!a->is_model)
		chunk = left;
	if (left > 0 && a->is_mismatched)
		a->sent_bytes += MIN(left, chunk);
	else if (left > 0)
		send_chunk(sim, a, MIN(left, chunk));
	if (left > chunk) {
		sim_schedule(sim, model_token_ms(s->model) * CHUNK_TOKENS,
			     on_decode_step, a);
		return;
	}
	end_run(sim, a,
		a->is_mismatched ? NODE_RUN_MISMATCHED : NODE_RUN_COMPLETE);
	active_run_free(a);
}

/*
 * Parses the <PROGRAM.TURN@ACCOUNT> tags in a prompt. They must belong to one
 * program and be in order of turns.
 */
static void read_tags(struct sim *sim, struct active_run *a,
		      struct sim_run *run)
{
	const char *p = a->prompt_text;
	int expected = 0;
	int prog;
	int turn;
	int account;

	run->prog = -1;
	if (!a->is_model)
		p = a->body;
	while ((p = strstr(p, "<P")) != NULL) {
		if (sscanf(p, "<P%d.%d@%d", &prog, &turn, &account) != 3)
			break;
		if (a->is_model &&
		    (turn != expected || (run->prog >= 0 && run->prog != prog)))
			sim_violation(
				sim,
				"history: the prompt of P%d.%d has turn %d "
				"of P%d where turn %d is expected",
				prog, turn, turn, prog, expected);
		run->prog = prog;
		run->turn = turn;
		run->account = account;
		expected = turn + 1;
		p++;
	}
}

static struct sim_run *record_run(struct sim *sim, struct active_run *a,
				  bool repeatable)
{
	struct sim_run *run = g_new0(struct sim_run, 1);
	char *slash;

	run->start_ms = sim->now_ms;
	run->server = a->server;
	run->program = g_strdup(a->program);
	run->repeatable = repeatable;
	if (sim->servers[a->server].out)
		run->out_for_ms =
			sim->now_ms - sim->servers[a->server].out_since_ms;
	read_tags(sim, a, run);
	slash = strchr(run->program, '/');
	if (run->prog >= 0 && slash != NULL &&
	    strncmp(run->program, sim->accounts[run->account].name,
		    (size_t)(slash - run->program)) != 0)
		sim_violation(sim, "account: P%d.%d ran as %s", run->prog,
			      run->turn, run->program);
	g_ptr_array_add(sim->runs, run);
	return run;
}

static void count_wasted_tokens(struct sim *sim, const struct active_run *a)
{
	uint32_t best = a->cached_tokens;

	for (int i = 0; i < sim->nservers; i++) {
		uint32_t held = GPOINTER_TO_UINT(g_hash_table_lookup(
			sim->servers[i].model->cache, a->program));

		best = MAX(best, MIN(held, a->prompt_tokens));
	}
	sim->prefilled_tokens += a->prompt_tokens - a->cached_tokens;
	sim->wasted_tokens += best - a->cached_tokens;
}

static void start_model(struct sim *sim, struct active_run *a)
{
	struct sim_server *s = &sim->servers[a->server];

	a->cached_tokens =
		model_start_run(s->model, a->program, a->prompt_tokens);
	count_wasted_tokens(sim, a);
	if (strstr(a->body, "CRASH") != NULL) {
		backends_crash(sim, a->server);
		active_run_free(a);
		return;
	}
	if (strstr(a->body, "HANG") != NULL) {
		a->is_hung = true;
		return;
	}
	sim_schedule(sim,
		     model_prefill_ms(s->model,
				      a->prompt_tokens - a->cached_tokens) +
			     model_token_ms(s->model) * CHUNK_TOKENS,
		     on_decode_step, a);
}

static void start_service(struct sim *sim, struct active_run *a)
{
	struct sim_server *s = &sim->servers[a->server];

	if (s->model->inflight >= model_capacity(s->model))
		s->model->overloads++;
	s->model->inflight++;
	if (strstr(a->body, "HANG") != NULL) {
		a->is_hung = true;
		return;
	}
	sim_schedule(sim, 1 + (double)rng_below(&sim->rng, SERVICE_TIME_MAX_MS),
		     on_decode_step, a);
}

static void refuse_run(struct sim *sim, struct active_run *a,
		       enum node_run_end end, uint32_t status)
{
	struct reply *reply = g_new0(struct reply, 1);

	reply->to = a->origin;
	reply->run_id = a->run_id;
	reply->result.end = end;
	reply->result.status = status;
	sim_schedule(sim, sim->params.latency_ms, on_reply, reply);
	active_run_free(a);
}

struct arrival {
	struct active_run *a;
	bool repeatable;
};

static void on_arrival(struct sim *sim, void *arg)
{
	struct arrival *arrival = arg;
	struct active_run *a = arrival->a;
	struct sim_server *s = &sim->servers[a->server];
	bool repeatable = arrival->repeatable;

	g_free(arrival);
	if (sim_find_running_node(sim, a->origin) == NULL) {
		active_run_free(a);
		return;
	}
	if (sim->now_ms < s->down_until_ms) {
		refuse_run(sim, a, NODE_RUN_NOT_SENT, 0);
		return;
	}
	if (a->is_model && !model_check_fence(s->model, a->program, a->fence)) {
		refuse_run(sim, a, NODE_RUN_REFUSED, 409);
		return;
	}
	a->is_mismatched =
		(int)rng_below(&sim->rng, 100) < sim->mismatched_percent;
	a->record = record_run(sim, a, repeatable);
	if (sim->verbose)
		printf("%8" G_GINT64_FORMAT " %s runs P%d.%d for %s\n",
		       sim->now_ms, s->name, a->record->prog, a->record->turn,
		       sim->nodes[a->origin.node].id);
	g_hash_table_add(s->active, a);
	if (a->is_model)
		start_model(sim, a);
	else
		start_service(sim, a);
}

void backends_run(struct sim_node *n, const struct node_run *run)
{
	struct sim *sim = n->sim;
	struct active_run *a = g_new0(struct active_run, 1);
	struct arrival *arrival = g_new0(struct arrival, 1);
	const char *body;

	a->server = find_server(sim, run->server, strlen(run->server));
	g_assert_cmpint(a->server, >=, 0);
	a->origin.node = n->index;
	a->origin.generation = n->generation;
	a->run_id = run->run_id;
	a->fence = run->fence;
	a->program = g_strdup(run->program);
	a->is_model = run->is_model;
	a->prompt_text =
		g_strndup((const char *)run->prompt.data, run->prompt.len);
	body = g_strrstr(a->prompt_text, "{\"role\":\"user\"");
	a->body = g_strdup(body != NULL ? body : "");
	a->answer = model_output(a->body, strlen(a->body));
	a->out_tokens = model_output_tokens(a->body, strlen(a->body));
	a->sent_bytes = MIN(run->resume.len, strlen(a->answer));
	a->prompt_tokens = (uint32_t)(run->prompt.len / MODEL_BYTES_PER_TOKEN);
	arrival->a = a;
	arrival->repeatable = run->repeatable;
	sim_schedule(sim, sim->params.latency_ms, on_arrival, arrival);
}

/* Ends a run early. A hung run has no pending event that would free it. */
static void abort_run(struct sim *sim, struct active_run *a,
		      enum node_run_end end)
{
	bool is_hung = a->is_hung;

	end_run(sim, a, end);
	if (is_hung)
		active_run_free(a);
}

static void end_matching_runs(struct sim *sim, int server,
			      bool (*match)(const struct active_run *,
					    const void *),
			      const void *arg, enum node_run_end end)
{
	GList *list = g_hash_table_get_keys(sim->servers[server].active);

	for (GList *l = list; l != NULL; l = l->next) {
		if (match(l->data, arg))
			abort_run(sim, l->data, end);
	}
	g_list_free(list);
}

static bool match_all(const struct active_run *a, const void *arg)
{
	(void)a;
	(void)arg;
	return true;
}

static bool match_node(const struct active_run *a, const void *arg)
{
	return a->origin.node == *(const int *)arg;
}

static bool match_program(const struct active_run *a, const void *arg)
{
	return strcmp(a->program, arg) == 0;
}

void backends_crash(struct sim *sim, int server)
{
	struct sim_server *s = &sim->servers[server];

	/* The run that causes the crash is freed by start_model(). */
	end_matching_runs(sim, server, match_all, NULL, NODE_RUN_INTERRUPTED);
	model_restart(s->model);
	s->down_until_ms = sim->now_ms + RESTART_DOWN_MS;
}

void backends_on_node_down(struct sim *sim, int node)
{
	for (int i = 0; i < sim->nservers; i++)
		end_matching_runs(sim, i, match_node, &node,
				  NODE_RUN_INTERRUPTED);
}

struct run_key {
	int node;
	uint64_t generation;
	uint64_t run_id;
};

static bool match_run(const struct active_run *a, const void *arg)
{
	const struct run_key *key = arg;

	return a->origin.node == key->node &&
	       a->origin.generation == key->generation &&
	       a->run_id == key->run_id;
}

static void on_cancel(struct sim *sim, void *arg)
{
	for (int i = 0; i < sim->nservers; i++)
		end_matching_runs(sim, i, match_run, arg, NODE_RUN_CANCELLED);
	g_free(arg);
}

void backends_cancel(struct sim_node *n, uint64_t run_id)
{
	struct run_key *key = g_new0(struct run_key, 1);

	key->node = n->index;
	key->generation = n->generation;
	key->run_id = run_id;
	sim_schedule(n->sim, n->sim->params.latency_ms, on_cancel, key);
}

/* A release request in transit. */
struct release {
	struct reply *reply;
	int server;
	uint64_t fence;
	char *program;
};

static void on_release(struct sim *sim, void *arg)
{
	struct release *release = arg;
	struct sim_server *s = &sim->servers[release->server];

	release->reply->acknowledged =
		model_check_fence(s->model, release->program, release->fence);
	release->reply->result.incarnation = s->model->incarnation;
	if (release->reply->acknowledged) {
		end_matching_runs(sim, release->server, match_program,
				  release->program, NODE_RUN_CANCELLED);
		model_release(s->model, release->program);
	}
	sim_schedule(sim, sim->params.latency_ms, on_reply, release->reply);
	g_free(release->program);
	g_free(release);
}

void backends_release(struct sim_node *n, uint64_t cookie, const char *addr,
		      const char *program, uint64_t fence)
{
	struct release *release = g_new0(struct release, 1);

	release->reply = g_new0(struct reply, 1);
	release->reply->to.node = n->index;
	release->reply->to.generation = n->generation;
	release->reply->run_id = cookie;
	release->reply->is_release = true;
	release->server = find_server(n->sim, addr, strcspn(addr, ":"));
	g_assert_cmpint(release->server, >=, 0);
	release->fence = fence;
	release->program = g_strdup(program);
	sim_schedule(n->sim, n->sim->params.latency_ms, on_release, release);
}

/* The report holds the values from the time of the probe. */
static void on_load_report(struct sim *sim, void *arg)
{
	sim_schedule(sim, sim->params.latency_ms, on_reply, arg);
}

void backends_probe(struct sim_node *n, uint64_t cookie, const char *addr)
{
	struct sim *sim = n->sim;
	struct reply *reply = g_new0(struct reply, 1);
	int server = find_server(sim, addr, strcspn(addr, ":"));

	g_assert_cmpint(server, >=, 0);
	reply->to.node = n->index;
	reply->to.generation = n->generation;
	reply->run_id = cookie;
	reply->is_probe = true;
	reply->load.inflight = sim->servers[server].model->inflight;
	reply->load.incarnation = sim->servers[server].model->incarnation;
	/* Load reports arrive with a delay. */
	sim_schedule(sim,
		     (double)rng_below(&sim->rng, NODE_LOAD_MAX_AGE_MS / 2),
		     on_load_report, reply);
}
