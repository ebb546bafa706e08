/** @file clients.c @brief Callers that drive agent programs. */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "test/sim/clients.h"

enum {
	RETRY_MS = 200,
};

static struct prog *calling; /* whose node_call() is under way */

static void prog_free(void *p)
{
	struct prog *prog = p;

	g_byte_array_unref(prog->streamed);
	g_ptr_array_unref(prog->bodies);
	g_array_unref(prog->answered);
	g_array_unref(prog->not_run);
	g_free(prog);
}

void cli_create(struct world *w)
{
	w->progs = g_ptr_array_new_with_free_func(prog_free);
	w->last_ms = g_array_new(FALSE, FALSE, sizeof(double));
	w->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	w->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
}

void cli_destroy(struct world *w)
{
	g_array_unref(w->first_ms);
	g_array_unref(w->last_ms);
	g_hash_table_unref(w->calls);
	g_ptr_array_unref(w->progs);
}

void cli_stop(struct world *w)
{
	for (guint i = 0; i < w->progs->len; i++) {
		struct prog *prog = w->progs->pdata[i];

		prog->finished = true;
		prog->calling = false;
	}
}

struct prog *cli_add(struct world *w, int account, int turns)
{
	struct prog *prog = g_new0(struct prog, 1);

	prog->world = w;
	prog->index = (int)w->progs->len;
	prog->account = account;
	prog->turns = turns;
	prog->out_tokens = 40;
	prog->pause_ms = 200;
	prog->deadline_ms = CLI_DEADLINE_MS;
	prog->parent = -1;
	prog->streamed = g_byte_array_new();
	prog->bodies = g_ptr_array_new_with_free_func(g_free);
	prog->answered = g_array_new(FALSE, TRUE, sizeof(bool));
	prog->not_run = g_array_new(FALSE, TRUE, sizeof(struct cli_not_run));
	g_array_set_size(prog->answered, (guint)turns);
	g_ptr_array_add(w->progs, prog);
	return prog;
}

static void prepare_turn(struct prog *prog)
{
	struct world *w = prog->world;
	GString *body = g_string_new(NULL);

	prog->tool = (int)rng_below(&w->rng, 100) < prog->tool_percent &&
		     w->params.desks > 0;
	prog->out = 1 + (int)rng_below(&w->rng, (uint64_t)prog->out_tokens);
	prog->tries = 0;
	prog->turn_ms = w->now_ms;
	g_string_printf(body,
			"{\"role\":\"user\",\"content\":\"<P%d.%d@%d%s> "
			"out=%d %s ",
			prog->index, prog->turn, prog->account,
			prog->tool ? "!" : "", prog->out,
			prog->turn == 0 && prog->poison != NULL ? prog->poison
								: "");
	for (int i = 0; i < prog->body_bytes; i++)
		g_string_append_c(body, 'x');
	g_string_append(body, "\"}");
	g_ptr_array_add(prog->bodies, g_string_free(body, FALSE));
}

static void set_hashes(const struct prog *prog, Aps__Request *request,
		       uint8_t *key, uint8_t *hash)
{
	const char *account = prog->world->accounts[prog->account].name;
	crypto_hash_sha256_state state;

	crypto_hash_sha256(key, (const unsigned char *)account,
			   strlen(account));
	crypto_hash_sha256_init(&state);
	crypto_hash_sha256_update(&state, (const uint8_t *)request->target,
				  strlen(request->target));
	crypto_hash_sha256_update(&state, request->body.data,
				  request->body.len);
	crypto_hash_sha256_final(&state, hash);
	request->key_hash.data = key;
	request->key_hash.len = crypto_hash_sha256_BYTES;
	request->body_hash.data = hash;
	request->body_hash.len = crypto_hash_sha256_BYTES;
}

static void fill_turn(const struct prog *prog, Aps__Request *request)
{
	char *body = prog->bodies->pdata[prog->turn];

	request->turn = (uint32_t)prog->turn;
	request->kind =
		prog->tool ? APS__CALL_KIND__SERVICE : APS__CALL_KIND__MODEL;
	request->target = (char *)(prog->tool ? "orders" : "kitchen");
	request->repeatable = !prog->tool;
	request->transient = prog->one_shot;
	request->max_out = (uint32_t)prog->out_tokens;
	request->budget = prog->budget;
	request->body.data = (uint8_t *)body;
	request->body.len = strlen(body);
}

static void on_timeout(struct world *w, void *arg);
static void give_up(struct prog *prog);
static void on_call(struct world *w, void *arg);

/* A copy of the next turn that overtakes this one; nobody waits for it. */
static void call_early(struct prog *prog)
{
	struct wld_node *n = wld_pick_node(prog->world);
	Aps__Request request = APS__REQUEST__INIT;
	struct node_call msg = {.request = &request,
				.deadline_ms = (uint32_t)prog->deadline_ms};
	uint8_t secret[crypto_hash_sha256_BYTES];
	uint8_t hash[crypto_hash_sha256_BYTES];
	char program[64];

	if (n == NULL || prog->turn == 0 || prog->turn + 1 >= prog->turns ||
	    prog->tool_percent > 0)
		return;
	prog->turn++;
	if ((int)prog->bodies->len <= prog->turn)
		prepare_turn(prog);
	snprintf(program, sizeof(program), "%s/P%d",
		 prog->world->accounts[prog->account].name, prog->index);
	request.program = program;
	request.account = prog->world->accounts[prog->account].name;
	fill_turn(prog, &request);
	set_hashes(prog, &request, secret, hash);
	(void)node_call(n->node, &msg);
	prog->turn--;
}

static void call(struct prog *prog, struct wld_node *n)
{
	struct world *w = prog->world;
	Aps__Request request = APS__REQUEST__INIT;
	struct node_call msg = {.request = &request,
				.deadline_ms = (uint32_t)prog->deadline_ms};
	char program[64];
	char parent[64];
	uint8_t secret[crypto_hash_sha256_BYTES];
	uint8_t hash[crypto_hash_sha256_BYTES];
	uint64_t *key;
	uint64_t id;

	snprintf(program, sizeof(program), "%s/P%d%s",
		 w->accounts[prog->account].name, prog->index,
		 prog->one_shot ? "-once" : "");
	request.program = program;
	request.account = w->accounts[prog->account].name;
	if (prog->parent >= 0) {
		snprintf(parent, sizeof(parent), "%s/P%d", request.account,
			 prog->parent);
		request.parent = parent;
	}
	if (prog->turn < prog->turns)
		fill_turn(prog, &request);
	else
		request.kind = APS__CALL_KIND__END;
	set_hashes(prog, &request, secret, hash);
	if (prog->early)
		call_early(prog);
	prog->calling = true;
	prog->called_ms = w->now_ms;
	prog->node = n->index;
	prog->call_id = 0;
	g_byte_array_set_size(prog->streamed, 0);
	if (w->verbose)
		printf("%8" G_GINT64_FORMAT " P%d.%d called at %s\n", w->now_ms,
		       prog->index, prog->turn, n->id);
	calling = prog;
	id = node_call(n->node, &msg);
	calling = NULL;
	if (!prog->calling)
		return;
	prog->call_id = id;
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_insert(w->calls, key, prog);
	wld_after(w, prog->deadline_ms + CLI_LATE_MS, on_timeout, prog);
}

static void on_call(struct world *w, void *arg)
{
	struct prog *prog = arg;
	struct wld_node *n;

	if (prog->finished || prog->calling)
		return;
	if (prog->turn < prog->turns && (int)prog->bodies->len <= prog->turn)
		prepare_turn(prog);
	n = prog->pinned > 0 ? &w->nodes[prog->pinned - 1] : NULL;
	if (n == NULL || n->node == NULL || n->frozen)
		n = wld_pick_node(w);
	if (n == NULL) {
		wld_after(w, RETRY_MS, on_call, prog);
		return;
	}
	if (++prog->tries > CLI_TRIES_MAX) {
		prog->finished = true;
		prog->status = 599;
		return;
	}
	call(prog, n);
}

void cli_start(struct prog *prog, double delay_ms)
{
	prog->started_ms = prog->world->now_ms + (int64_t)delay_ms;
	wld_after(prog->world, delay_ms, on_call, prog);
}

static void call_again(struct prog *prog, double delay_ms)
{
	prog->calling = false;
	prog->call_id = 0;
	wld_after(prog->world, delay_ms, on_call, prog);
}

/* Timers are not cancelled: only the last one finds its call. */
static void on_timeout(struct world *w, void *arg)
{
	struct prog *prog = arg;

	struct wld_node *n = &w->nodes[prog->node];

	if (!prog->calling ||
	    w->now_ms - prog->called_ms < prog->deadline_ms + CLI_LATE_MS)
		return;
	/* The connection closes; a frozen instance does not notice. */
	if (n->node != NULL && !n->frozen)
		node_call_cancel(n->node, prog->call_id);
	if (prog->tool && prog->one_shot)
		give_up(prog);
	else
		call_again(prog, 0);
}

static struct prog *find(struct wld_node *n, uint64_t call_id)
{
	struct prog *prog = g_hash_table_lookup(n->world->calls, &call_id);

	if (prog != NULL && prog->calling && prog->call_id == call_id)
		return prog;
	/* The reply came before the call returned its id. */
	return calling != NULL && calling->call_id == 0 &&
			       calling->node == n->index
		       ? calling
		       : NULL;
}

void cli_on_chunk(struct wld_node *n, uint64_t call_id, const uint8_t *buf,
		  size_t len)
{
	struct prog *prog = find(n, call_id);

	if (prog != NULL && prog->streamed->len == 0) {
		double first = (double)(n->world->now_ms - prog->turn_ms);

		g_array_append_val(n->world->first_ms, first);
	}
	if (prog != NULL)
		g_byte_array_append(prog->streamed, buf, (guint)len);
}

static void check_answer(struct prog *prog, const Aps__Outcome *outcome,
			 size_t streamed)
{
	const char *body = prog->bodies->pdata[prog->turn];
	char *want = model_output(body, strlen(body));
	bool ok = outcome->answer.len == strlen(want) &&
		  memcmp(outcome->answer.data, want, strlen(want)) == 0 &&
		  prog->streamed->len == streamed && streamed <= strlen(want) &&
		  memcmp(prog->streamed->data != NULL ? prog->streamed->data
						      : (const uint8_t *)"",
			 want, streamed) == 0;

	if (!ok)
		wld_fault(prog->world, "answer: P%d.%d got another answer",
			  prog->index, prog->turn);
	g_free(want);
}

static void turn_over(struct prog *prog, bool answered)
{
	struct world *w = prog->world;
	double pause = (double)rng_below(&w->rng, (uint64_t)prog->pause_ms + 1);

	g_array_index(prog->answered, bool, prog->turn) = answered;
	prog->turn++;
	prog->calling = false;
	prog->tries = 0;
	if (prog->turn == prog->turns) {
		prog->done_ms = w->now_ms;
		prog->finished = prog->keep || prog->one_shot;
		pause = 0;
	} else {
		prog->pauses_ms += (int64_t)pause;
	}
	if (!prog->finished)
		wld_after(w, pause, on_call, prog);
}

static void stop(struct prog *prog, uint32_t status)
{
	prog->calling = false;
	prog->finished = true;
	prog->status = status;
}

/* Without a key or a program a second call would be a second request. */
static void give_up(struct prog *prog)
{
	stop(prog, 502);
}

static void on_end_reply(struct prog *prog, const Aps__Outcome *outcome)
{
	prog->calling = false;
	if (outcome->status != 200 && outcome->status != 404) {
		call_again(prog, RETRY_MS);
		return;
	}
	prog->ended = true;
	prog->finished = true;
}

static bool stops(uint32_t status)
{
	return status == 401 || status == 402 || status == 404 ||
	       status == 409 || status == 410 || status == 422;
}

static void on_not_run(struct prog *prog, const Aps__Outcome *outcome)
{
	struct cli_not_run note = {.turn = prog->turn,
				   .called_ms = prog->called_ms,
				   .replied_ms = prog->world->now_ms};

	g_array_append_val(prog->not_run, note);
	prog->refused_rate += outcome->status == 429;
	if (stops(outcome->status))
		stop(prog, outcome->status);
	else
		call_again(prog, RETRY_MS + outcome->retry_after_ms);
}

/* What may have run: a repeatable turn is sent again, others once more. */
static void on_unknown(struct prog *prog, const Aps__Outcome *outcome)
{
	prog->unknown++;
	if (prog->tool && prog->one_shot)
		give_up(prog);
	else if (prog->tool && outcome->recorded)
		turn_over(prog, false);
	else if (outcome->status == 401)
		stop(prog, outcome->status);
	else
		call_again(prog, RETRY_MS);
}

void cli_on_done(struct wld_node *n, uint64_t call_id,
		 const Aps__Outcome *outcome, size_t streamed)
{
	struct prog *prog = find(n, call_id);

	if (prog == NULL)
		return;
	if (n->world->verbose)
		printf("%8" G_GINT64_FORMAT " P%d.%d: %u executed %d: %s\n",
		       n->world->now_ms, prog->index, prog->turn,
		       outcome->status, (int)outcome->executed,
		       outcome->reason);
	if (prog->turn == prog->turns) {
		on_end_reply(prog, outcome);
	} else if (outcome->status == 200) {
		double last = (double)(n->world->now_ms - prog->run_end_ms);

		g_array_append_val(n->world->last_ms, last);
		check_answer(prog, outcome, streamed);
		turn_over(prog, true);
	} else if (outcome->executed == APS__EXECUTED__NO) {
		on_not_run(prog, outcome);
	} else {
		on_unknown(prog, outcome);
	}
}

void cli_node_gone(struct world *w, int node)
{
	for (guint i = 0; i < w->progs->len; i++) {
		struct prog *prog = w->progs->pdata[i];

		if (!prog->calling || prog->node != node)
			continue;
		if (w->nodes[node].drained)
			wld_fault(w, "stop: P%d was cut off by %s", prog->index,
				  w->nodes[node].id);
		if (prog->tool && prog->one_shot)
			give_up(prog);
		else
			call_again(prog, RETRY_MS);
	}
}

bool cli_all_finished(const struct world *w)
{
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		if (!prog->finished)
			return false;
	}
	return true;
}
