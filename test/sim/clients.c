/** @file clients.c @brief Simulated callers that drive agent programs. */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "test/sim/clients.h"

enum {
	RETRY_DELAY_MS = 200,
};

static struct sim_program *calling_prog; /* during its node_call() */

static void prog_free(void *p)
{
	struct sim_program *prog = p;

	g_byte_array_unref(prog->streamed);
	g_ptr_array_unref(prog->bodies);
	g_array_unref(prog->answered);
	g_array_unref(prog->not_run);
	g_free(prog);
}

void clients_create(struct sim *sim)
{
	sim->progs = g_ptr_array_new_with_free_func(prog_free);
	sim->final_frame_delays_ms = g_array_new(FALSE, FALSE, sizeof(double));
	sim->first_chunk_times_ms = g_array_new(FALSE, FALSE, sizeof(double));
	sim->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
}

void clients_destroy(struct sim *sim)
{
	g_array_unref(sim->first_chunk_times_ms);
	g_array_unref(sim->final_frame_delays_ms);
	g_hash_table_unref(sim->calls);
	g_ptr_array_unref(sim->progs);
}

void clients_stop(struct sim *sim)
{
	for (guint i = 0; i < sim->progs->len; i++) {
		struct sim_program *prog = sim->progs->pdata[i];

		prog->finished = true;
		prog->call_pending = false;
	}
}

struct sim_program *clients_add_program(struct sim *sim, int account, int turns)
{
	struct sim_program *prog = g_new0(struct sim_program, 1);

	prog->sim = sim;
	prog->index = (int)sim->progs->len;
	prog->account = account;
	prog->turns = turns;
	prog->out_tokens_max = 40;
	prog->pause_max_ms = 200;
	prog->call_timeout_ms = CLIENTS_CALL_TIMEOUT_MS;
	prog->parent = -1;
	prog->streamed = g_byte_array_new();
	prog->bodies = g_ptr_array_new_with_free_func(g_free);
	prog->answered = g_array_new(FALSE, TRUE, sizeof(bool));
	prog->not_run =
		g_array_new(FALSE, TRUE, sizeof(struct clients_not_run));
	g_array_set_size(prog->answered, (guint)turns);
	g_ptr_array_add(sim->progs, prog);
	return prog;
}

static void prepare_turn(struct sim_program *prog)
{
	struct sim *sim = prog->sim;
	GString *body = g_string_new(NULL);

	prog->is_tool_turn =
		(int)rng_below(&sim->rng, 100) < prog->tool_percent &&
		sim->params.services > 0;
	prog->turn_out_tokens =
		1 + (int)rng_below(&sim->rng, (uint64_t)prog->out_tokens_max);
	prog->attempts = 0;
	prog->turn_started_ms = sim->now_ms;
	g_string_printf(body,
			"{\"role\":\"user\",\"content\":\"<P%d.%d@%d%s> "
			"out=%d %s ",
			prog->index, prog->turn, prog->account,
			prog->is_tool_turn ? "!" : "", prog->turn_out_tokens,
			prog->turn == 0 && prog->poison != NULL ? prog->poison
								: "");
	for (int i = 0; i < prog->body_padding_bytes; i++)
		g_string_append_c(body, 'x');
	g_string_append(body, "\"}");
	g_ptr_array_add(prog->bodies, g_string_free(body, FALSE));
}

static void set_request_hashes(const struct sim_program *prog,
			       Aps__Request *request, uint8_t *key,
			       uint8_t *body_hash)
{
	const char *account = prog->sim->accounts[prog->account].name;
	crypto_hash_sha256_state state;

	crypto_hash_sha256(key, (const unsigned char *)account,
			   strlen(account));
	crypto_hash_sha256_init(&state);
	crypto_hash_sha256_update(&state, (const uint8_t *)request->target,
				  strlen(request->target));
	crypto_hash_sha256_update(&state, request->body.data,
				  request->body.len);
	crypto_hash_sha256_final(&state, body_hash);
	request->key_hash.data = key;
	request->key_hash.len = crypto_hash_sha256_BYTES;
	request->body_hash.data = body_hash;
	request->body_hash.len = crypto_hash_sha256_BYTES;
}

static void set_turn_fields(const struct sim_program *prog,
			    Aps__Request *request)
{
	char *body = prog->bodies->pdata[prog->turn];

	request->turn = (uint32_t)prog->turn;
	request->kind = prog->is_tool_turn ? APS__CALL_KIND__SERVICE
					   : APS__CALL_KIND__MODEL;
	request->target = (char *)(prog->is_tool_turn ? "orders" : "kitchen");
	request->repeatable = !prog->is_tool_turn;
	request->transient = prog->one_shot;
	request->max_out = (uint32_t)prog->out_tokens_max;
	request->budget = prog->budget_tokens;
	request->body.data = (uint8_t *)body;
	request->body.len = strlen(body);
}

static void on_timeout(struct sim *sim, void *arg);
static void give_up(struct sim_program *prog);
static void on_call_due(struct sim *sim, void *arg);

/* Sends the next turn ahead of the current one; its response is ignored. */
static void send_early_call(struct sim_program *prog)
{
	struct sim_node *n = sim_pick_ready_node(prog->sim);
	Aps__Request request = APS__REQUEST__INIT;
	struct node_call msg = {.request = &request,
				.deadline_ms = (uint32_t)prog->call_timeout_ms};
	uint8_t key_hash[crypto_hash_sha256_BYTES];
	uint8_t body_hash[crypto_hash_sha256_BYTES];
	char program[64];

	if (n == NULL || prog->turn == 0 || prog->turn + 1 >= prog->turns ||
	    prog->tool_percent > 0)
		return;
	prog->turn++;
	if ((int)prog->bodies->len <= prog->turn)
		prepare_turn(prog);
	snprintf(program, sizeof(program), "%s/P%d",
		 prog->sim->accounts[prog->account].name, prog->index);
	request.program = program;
	request.account = prog->sim->accounts[prog->account].name;
	set_turn_fields(prog, &request);
	set_request_hashes(prog, &request, key_hash, body_hash);
	(void)node_call(n->node, &msg);
	prog->turn--;
}

static void send_call(struct sim_program *prog, struct sim_node *n)
{
	struct sim *sim = prog->sim;
	Aps__Request request = APS__REQUEST__INIT;
	struct node_call msg = {.request = &request,
				.deadline_ms = (uint32_t)prog->call_timeout_ms};
	char program[64];
	char parent[64];
	uint8_t key_hash[crypto_hash_sha256_BYTES];
	uint8_t body_hash[crypto_hash_sha256_BYTES];
	uint64_t *key;
	uint64_t id;

	snprintf(program, sizeof(program), "%s/P%d%s",
		 sim->accounts[prog->account].name, prog->index,
		 prog->one_shot ? "-once" : "");
	request.program = program;
	request.account = sim->accounts[prog->account].name;
	if (prog->parent >= 0) {
		snprintf(parent, sizeof(parent), "%s/P%d", request.account,
			 prog->parent);
		request.parent = parent;
	}
	if (prog->turn < prog->turns)
		set_turn_fields(prog, &request);
	else
		request.kind = APS__CALL_KIND__END;
	set_request_hashes(prog, &request, key_hash, body_hash);
	if (prog->sends_early)
		send_early_call(prog);
	prog->call_pending = true;
	prog->called_ms = sim->now_ms;
	prog->call_node = n->index;
	prog->call_id = 0;
	g_byte_array_set_size(prog->streamed, 0);
	if (sim->verbose)
		printf("%8" G_GINT64_FORMAT " P%d.%d called at %s\n",
		       sim->now_ms, prog->index, prog->turn, n->id);
	calling_prog = prog;
	id = node_call(n->node, &msg);
	calling_prog = NULL;
	if (!prog->call_pending)
		return;
	prog->call_id = id;
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_insert(sim->calls, key, prog);
	sim_schedule(sim, prog->call_timeout_ms + CLIENTS_TIMEOUT_MARGIN_MS,
		     on_timeout, prog);
}

static void on_call_due(struct sim *sim, void *arg)
{
	struct sim_program *prog = arg;
	struct sim_node *n;

	if (prog->finished || prog->call_pending)
		return;
	if (prog->turn < prog->turns && (int)prog->bodies->len <= prog->turn)
		prepare_turn(prog);
	n = prog->pinned_node > 0 ? &sim->nodes[prog->pinned_node - 1] : NULL;
	if (n == NULL || n->node == NULL || n->frozen)
		n = sim_pick_ready_node(sim);
	if (n == NULL) {
		sim_schedule(sim, RETRY_DELAY_MS, on_call_due, prog);
		return;
	}
	if (++prog->attempts > CLIENTS_ATTEMPTS_MAX) {
		prog->finished = true;
		prog->stop_status = 599; /* no attempts left */
		return;
	}
	send_call(prog, n);
}

void clients_start_program(struct sim_program *prog, double delay_ms)
{
	prog->started_ms = prog->sim->now_ms + (int64_t)delay_ms;
	sim_schedule(prog->sim, delay_ms, on_call_due, prog);
}

static void retry_call(struct sim_program *prog, double delay_ms)
{
	prog->call_pending = false;
	prog->call_id = 0;
	sim_schedule(prog->sim, delay_ms, on_call_due, prog);
}

/* Timers are not cancelled; those of earlier calls are ignored. */
static void on_timeout(struct sim *sim, void *arg)
{
	struct sim_program *prog = arg;

	struct sim_node *n = &sim->nodes[prog->call_node];

	if (!prog->call_pending ||
	    sim->now_ms - prog->called_ms <
		    prog->call_timeout_ms + CLIENTS_TIMEOUT_MARGIN_MS)
		return;
	/* Closes the connection; a frozen node does not process that. */
	if (n->node != NULL && !n->frozen)
		node_call_cancel(n->node, prog->call_id);
	if (prog->is_tool_turn && prog->one_shot)
		give_up(prog);
	else
		retry_call(prog, 0);
}

static struct sim_program *find_caller(struct sim_node *n, uint64_t call_id)
{
	struct sim_program *prog = g_hash_table_lookup(n->sim->calls, &call_id);

	if (prog != NULL && prog->call_pending && prog->call_id == call_id)
		return prog;
	/* The response arrived before node_call() returned the id. */
	return calling_prog != NULL && calling_prog->call_id == 0 &&
			       calling_prog->call_node == n->index
		       ? calling_prog
		       : NULL;
}

void clients_on_chunk(struct sim_node *n, uint64_t call_id, const uint8_t *buf,
		      size_t len)
{
	struct sim_program *prog = find_caller(n, call_id);

	if (prog != NULL && prog->streamed->len == 0) {
		double delay_ms =
			(double)(n->sim->now_ms - prog->turn_started_ms);

		g_array_append_val(n->sim->first_chunk_times_ms, delay_ms);
	}
	if (prog != NULL)
		g_byte_array_append(prog->streamed, buf, (guint)len);
}

static void verify_answer(struct sim_program *prog, const Aps__Outcome *outcome,
			  size_t streamed)
{
	const char *body = prog->bodies->pdata[prog->turn];
	char *expected = model_output(body, strlen(body));
	bool is_correct =
		outcome->answer.len == strlen(expected) &&
		memcmp(outcome->answer.data, expected, strlen(expected)) == 0 &&
		prog->streamed->len == streamed &&
		streamed <= strlen(expected) &&
		memcmp(prog->streamed->data != NULL ? prog->streamed->data
						    : (const uint8_t *)"",
		       expected, streamed) == 0;

	if (!is_correct)
		sim_violation(prog->sim,
			      "answer: P%d.%d got a wrong or incomplete answer",
			      prog->index, prog->turn);
	g_free(expected);
}

static void complete_turn(struct sim_program *prog, bool answered)
{
	struct sim *sim = prog->sim;
	double pause_ms =
		(double)rng_below(&sim->rng, (uint64_t)prog->pause_max_ms + 1);

	g_array_index(prog->answered, bool, prog->turn) = answered;
	prog->turn++;
	prog->call_pending = false;
	prog->attempts = 0;
	if (prog->turn == prog->turns) {
		prog->done_ms = sim->now_ms;
		prog->finished = prog->kept_open || prog->one_shot;
		pause_ms = 0;
	} else {
		prog->pause_total_ms += (int64_t)pause_ms;
	}
	if (!prog->finished)
		sim_schedule(sim, pause_ms, on_call_due, prog);
}

static void stop_program(struct sim_program *prog, uint32_t status)
{
	prog->call_pending = false;
	prog->finished = true;
	prog->stop_status = status;
}

/*
 * Stops the program. Without an idempotency key or a program id, a retry would
 * be a new request.
 */
static void give_up(struct sim_program *prog)
{
	stop_program(prog, 502);
}

static void on_program_end_reply(struct sim_program *prog,
				 const Aps__Outcome *outcome)
{
	prog->call_pending = false;
	if (outcome->status != 200 && outcome->status != 404) {
		retry_call(prog, RETRY_DELAY_MS);
		return;
	}
	prog->end_confirmed = true;
	prog->finished = true;
}

static bool is_final_status(uint32_t status)
{
	return status == 401 || status == 402 || status == 404 ||
	       status == 409 || status == 410 || status == 422;
}

static void on_not_run(struct sim_program *prog, const Aps__Outcome *outcome)
{
	struct clients_not_run not_run = {.turn = prog->turn,
					  .called_ms = prog->called_ms,
					  .replied_ms = prog->sim->now_ms};

	g_array_append_val(prog->not_run, not_run);
	prog->rate_refusals += outcome->status == 429;
	if (is_final_status(outcome->status))
		stop_program(prog, outcome->status);
	else
		retry_call(prog, RETRY_DELAY_MS + outcome->retry_after_ms);
}

/*
 * Handles a failed call that may have been executed. The turn is sent again,
 * unless it is recorded or a retry could execute it twice.
 */
static void on_unknown(struct sim_program *prog, const Aps__Outcome *outcome)
{
	prog->unknown_replies++;
	if (prog->is_tool_turn && prog->one_shot)
		give_up(prog);
	else if (prog->is_tool_turn && outcome->recorded)
		complete_turn(prog, false);
	else if (outcome->status == 401)
		stop_program(prog, outcome->status);
	else
		retry_call(prog, RETRY_DELAY_MS);
}

void clients_on_done(struct sim_node *n, uint64_t call_id,
		     const Aps__Outcome *outcome, size_t streamed)
{
	struct sim_program *prog = find_caller(n, call_id);

	if (prog == NULL)
		return;
	if (n->sim->verbose)
		printf("%8" G_GINT64_FORMAT " P%d.%d: %u executed %d: %s\n",
		       n->sim->now_ms, prog->index, prog->turn, outcome->status,
		       (int)outcome->executed, outcome->reason);
	if (prog->turn == prog->turns) {
		on_program_end_reply(prog, outcome);
	} else if (outcome->status == 200) {
		double delay_ms = (double)(n->sim->now_ms - prog->run_end_ms);

		g_array_append_val(n->sim->final_frame_delays_ms, delay_ms);
		verify_answer(prog, outcome, streamed);
		complete_turn(prog, true);
	} else if (outcome->executed == APS__EXECUTED__NO) {
		on_not_run(prog, outcome);
	} else {
		on_unknown(prog, outcome);
	}
}

void clients_on_node_down(struct sim *sim, int node)
{
	for (guint i = 0; i < sim->progs->len; i++) {
		struct sim_program *prog = sim->progs->pdata[i];

		if (!prog->call_pending || prog->call_node != node)
			continue;
		if (sim->nodes[node].drained)
			sim_violation(
				sim,
				"stop: a call of P%d was interrupted by %s",
				prog->index, sim->nodes[node].id);
		if (prog->is_tool_turn && prog->one_shot)
			give_up(prog);
		else
			retry_call(prog, RETRY_DELAY_MS);
	}
}

bool clients_all_finished(const struct sim *sim)
{
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		if (!prog->finished)
			return false;
	}
	return true;
}
