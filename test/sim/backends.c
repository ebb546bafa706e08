/** @file backends.c @brief Backend servers in virtual time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/sim/clients.h"
#include "test/sim/world.h"

enum {
	CHUNK_TOKENS = 4,
	SERVICE_MS_MAX = 200,
	RESTART_MS = 1000,
};

/* A run under way at a server. */
struct active {
	int server;
	struct wld_target from;
	uint64_t run_id;
	uint64_t fence;
	char *program;
	char *answer;
	size_t sent;
	struct wld_run *log;
	uint32_t prompt;
	uint32_t cached;
	uint32_t out;
	bool is_model;
	bool hung;
	bool crossed; /* its answer is another's, which the transport notices */
	bool dead;    /* its next event frees it */
	char *body;
	char *prompt_text;
};

/* Something on its way back to a node. */
struct back {
	struct wld_target to;
	uint64_t run_id;
	GBytes *text;
	struct node_run_result result;
	bool is_release;
	bool is_probe;
	struct node_load load;
	bool acknowledged;
};

static void active_free(void *p)
{
	struct active *a = p;

	g_free(a->program);
	g_free(a->answer);
	g_free(a->body);
	g_free(a->prompt_text);
	g_free(a);
}

static void run_free(void *p)
{
	struct wld_run *run = p;

	g_free(run->program);
	g_free(run);
}

void bke_create(struct world *w)
{
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->nservers = w->params.engines + w->params.desks;
	for (int i = 0; i < w->nservers; i++) {
		struct wld_server *s = &w->servers[i];
		bool engine = i < w->params.engines;

		snprintf(s->name, sizeof(s->name), "%c%d", engine ? 'k' : 'd',
			 engine ? i + 1 : i + 1 - w->params.engines);
		snprintf(s->zone, sizeof(s->zone), "%c",
			 'a' + i % w->params.zones);
		snprintf(s->pool, sizeof(s->pool), "%s",
			 engine ? "kitchen" : "desk");
		s->model = model_create(w->params.max, i % 2 == 0);
		s->active = g_hash_table_new(g_direct_hash, g_direct_equal);
	}
}

void bke_destroy(struct world *w)
{
	for (int i = 0; i < w->nservers; i++) {
		g_hash_table_unref(w->servers[i].active);
		model_destroy(w->servers[i].model);
	}
	g_ptr_array_unref(w->runs);
}

static int find_server(const struct world *w, const char *name, size_t len)
{
	for (int i = 0; i < w->nservers; i++) {
		if (strlen(w->servers[i].name) == len &&
		    memcmp(w->servers[i].name, name, len) == 0)
			return i;
	}
	return -1;
}

static void on_back(struct world *w, void *arg)
{
	struct back *back = arg;
	struct wld_node *n = wld_same(w, back->to);
	const uint8_t *buf;
	gsize len;

	if (n != NULL && wld_hold(n, on_back, back))
		return;
	if (n != NULL && back->is_release) {
		node_on_release(n->node, back->run_id, back->acknowledged,
				back->result.incarnation);
	} else if (n != NULL && back->is_probe) {
		node_on_probe(n->node, back->run_id, &back->load);
	} else if (n != NULL && back->text != NULL) {
		buf = g_bytes_get_data(back->text, &len);
		node_on_run_chunk(n->node, back->run_id,
				  back->result.incarnation, buf, len);
	} else if (n != NULL) {
		node_on_run_done(n->node, back->run_id, &back->result);
	}
	if (back->text != NULL)
		g_bytes_unref(back->text);
	g_free(back);
}

static void send_chunk(struct world *w, struct active *a, size_t len)
{
	struct back *back = g_new0(struct back, 1);

	back->to = a->from;
	back->run_id = a->run_id;
	back->result.incarnation = w->servers[a->server].model->incarnation;
	back->text = g_bytes_new(a->answer + a->sent, len);
	a->sent += len;
	wld_after(w, w->params.latency_ms, on_back, back);
}

/* Ends a run. Its memory stays; the tokens count as spent. */
static void end(struct world *w, struct active *a, enum node_run_end how)
{
	struct wld_server *s = &w->servers[a->server];
	struct back *back = g_new0(struct back, 1);
	uint32_t out = (uint32_t)(a->sent / MODEL_BYTES_PER_TOKEN);

	back->to = a->from;
	back->run_id = a->run_id;
	back->result.end = how;
	back->result.incarnation = s->model->incarnation;
	back->result.prompt_tokens = a->is_model ? a->prompt : 0;
	back->result.cached_tokens = a->cached;
	back->result.out_tokens = a->is_model ? a->out : 0;
	if (a->log != NULL) {
		a->log->end_ms = w->now_ms;
		if (a->log->prog >= 0 && a->log->prog < (int)w->progs->len)
			((struct prog *)w->progs->pdata[a->log->prog])
				->run_end_ms = w->now_ms;
		a->log->tokens = a->is_model ? a->prompt + out : 0;
		if (a->is_model)
			model_end_run(s->model, a->program, a->prompt + out,
				      how == NODE_RUN_COMPLETE);
		else
			s->model->inflight--, s->model->completed++;
	}
	a->dead = true;
	g_hash_table_remove(s->active, a);
	wld_after(w, w->params.latency_ms, on_back, back);
}

static void on_step(struct world *w, void *arg)
{
	struct active *a = arg;
	struct wld_server *s = &w->servers[a->server];
	size_t left;
	size_t chunk = CHUNK_TOKENS * MODEL_BYTES_PER_TOKEN;

	if (a->dead) {
		active_free(a);
		return;
	}
	left = strlen(a->answer) - a->sent;
	if (!a->is_model)
		chunk = left;
	if (left > 0 && a->crossed)
		a->sent += MIN(left, chunk);
	else if (left > 0)
		send_chunk(w, a, MIN(left, chunk));
	if (left > chunk) {
		wld_after(w, model_token_ms(s->model) * CHUNK_TOKENS, on_step,
			  a);
		return;
	}
	end(w, a, a->crossed ? NODE_RUN_MISMATCHED : NODE_RUN_COMPLETE);
	active_free(a);
}

/* Reads the tags in a prompt: they must be one program's, in order. */
static void read_tags(struct world *w, struct active *a, struct wld_run *run)
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
			wld_fault(w,
				  "history: the prompt of P%d.%d has turn %d "
				  "of P%d where turn %d belongs",
				  prog, turn, turn, prog, expected);
		run->prog = prog;
		run->turn = turn;
		run->account = account;
		expected = turn + 1;
		p++;
	}
}

static struct wld_run *log_run(struct world *w, struct active *a,
			       bool repeatable)
{
	struct wld_run *run = g_new0(struct wld_run, 1);
	char *slash;

	run->start_ms = w->now_ms;
	run->server = a->server;
	run->program = g_strdup(a->program);
	run->repeatable = repeatable;
	if (w->servers[a->server].out)
		run->out_for_ms = w->now_ms - w->servers[a->server].out_ms;
	read_tags(w, a, run);
	slash = strchr(run->program, '/');
	if (run->prog >= 0 && slash != NULL &&
	    strncmp(run->program, w->accounts[run->account].name,
		    (size_t)(slash - run->program)) != 0)
		wld_fault(w, "account: P%d.%d ran as %s", run->prog, run->turn,
			  run->program);
	g_ptr_array_add(w->runs, run);
	return run;
}

static void count_waste(struct world *w, const struct active *a)
{
	uint32_t best = a->cached;

	for (int i = 0; i < w->nservers; i++) {
		uint32_t held = GPOINTER_TO_UINT(g_hash_table_lookup(
			w->servers[i].model->cache, a->program));

		best = MAX(best, MIN(held, a->prompt));
	}
	w->fresh_tokens += a->prompt - a->cached;
	w->wasted_tokens += best - a->cached;
}

static void start_model(struct world *w, struct active *a)
{
	struct wld_server *s = &w->servers[a->server];

	a->cached = model_start_run(s->model, a->program, a->prompt);
	count_waste(w, a);
	if (strstr(a->body, "CRASH") != NULL) {
		bke_crash(w, a->server);
		active_free(a);
		return;
	}
	if (strstr(a->body, "HANG") != NULL) {
		a->hung = true;
		return;
	}
	wld_after(w,
		  model_prefill_ms(s->model, a->prompt - a->cached) +
			  model_token_ms(s->model) * CHUNK_TOKENS,
		  on_step, a);
}

static void start_service(struct world *w, struct active *a)
{
	struct wld_server *s = &w->servers[a->server];

	if (s->model->inflight >= model_capacity(s->model))
		s->model->overloads++;
	s->model->inflight++;
	if (strstr(a->body, "HANG") != NULL) {
		a->hung = true;
		return;
	}
	wld_after(w, 1 + (double)rng_below(&w->rng, SERVICE_MS_MAX), on_step,
		  a);
}

static void refuse(struct world *w, struct active *a, enum node_run_end how,
		   uint32_t status)
{
	struct back *back = g_new0(struct back, 1);

	back->to = a->from;
	back->run_id = a->run_id;
	back->result.end = how;
	back->result.status = status;
	wld_after(w, w->params.latency_ms, on_back, back);
	active_free(a);
}

struct arrival {
	struct active *a;
	bool repeatable;
};

static void on_arrival(struct world *w, void *arg)
{
	struct arrival *arrival = arg;
	struct active *a = arrival->a;
	struct wld_server *s = &w->servers[a->server];
	bool repeatable = arrival->repeatable;

	g_free(arrival);
	if (wld_same(w, a->from) == NULL) {
		active_free(a);
		return;
	}
	if (w->now_ms < s->down_until_ms) {
		refuse(w, a, NODE_RUN_NOT_SENT, 0);
		return;
	}
	if (a->is_model && !model_check_fence(s->model, a->program, a->fence)) {
		refuse(w, a, NODE_RUN_REFUSED, 409);
		return;
	}
	a->crossed = (int)rng_below(&w->rng, 100) < w->crossed;
	a->log = log_run(w, a, repeatable);
	if (w->verbose)
		printf("%8" G_GINT64_FORMAT " %s runs P%d.%d for %s\n",
		       w->now_ms, s->name, a->log->prog, a->log->turn,
		       w->nodes[a->from.node].id);
	g_hash_table_add(s->active, a);
	if (a->is_model)
		start_model(w, a);
	else
		start_service(w, a);
}

void bke_run(struct wld_node *n, const struct node_run *run)
{
	struct world *w = n->world;
	struct active *a = g_new0(struct active, 1);
	struct arrival *arrival = g_new0(struct arrival, 1);
	const char *body;

	a->server = find_server(w, run->server, strlen(run->server));
	g_assert_cmpint(a->server, >=, 0);
	a->from.node = n->index;
	a->from.generation = n->generation;
	a->run_id = run->run_id;
	a->fence = run->fence;
	a->program = g_strdup(run->program);
	a->is_model = run->is_model;
	a->prompt_text =
		g_strndup((const char *)run->prompt.data, run->prompt.len);
	body = g_strrstr(a->prompt_text, "{\"role\":\"user\"");
	a->body = g_strdup(body != NULL ? body : "");
	a->answer = model_output(a->body, strlen(a->body));
	a->out = model_output_tokens(a->body, strlen(a->body));
	a->sent = MIN(run->resume.len, strlen(a->answer));
	a->prompt = (uint32_t)(run->prompt.len / MODEL_BYTES_PER_TOKEN);
	arrival->a = a;
	arrival->repeatable = run->repeatable;
	wld_after(w, w->params.latency_ms, on_arrival, arrival);
}

/* Ends a run from outside; a hung one has no event that would free it. */
static void stop(struct world *w, struct active *a, enum node_run_end how)
{
	bool hung = a->hung;

	end(w, a, how);
	if (hung)
		active_free(a);
}

static void stop_matching(struct world *w, int server,
			  bool (*match)(const struct active *, const void *),
			  const void *arg, enum node_run_end how)
{
	GList *list = g_hash_table_get_keys(w->servers[server].active);

	for (GList *l = list; l != NULL; l = l->next) {
		if (match(l->data, arg))
			stop(w, l->data, how);
	}
	g_list_free(list);
}

static bool match_all(const struct active *a, const void *arg)
{
	(void)a;
	(void)arg;
	return true;
}

static bool match_node(const struct active *a, const void *arg)
{
	return a->from.node == *(const int *)arg;
}

static bool match_program(const struct active *a, const void *arg)
{
	return strcmp(a->program, arg) == 0;
}

void bke_crash(struct world *w, int server)
{
	struct wld_server *s = &w->servers[server];

	/* The one that crashes it is not freed by an event. */
	stop_matching(w, server, match_all, NULL, NODE_RUN_INTERRUPTED);
	model_restart(s->model);
	s->down_until_ms = w->now_ms + RESTART_MS;
}

void bke_node_gone(struct world *w, int node)
{
	for (int i = 0; i < w->nservers; i++)
		stop_matching(w, i, match_node, &node, NODE_RUN_INTERRUPTED);
}

struct cancel_key {
	int node;
	uint64_t generation;
	uint64_t run_id;
};

static bool match_run(const struct active *a, const void *arg)
{
	const struct cancel_key *key = arg;

	return a->from.node == key->node &&
	       a->from.generation == key->generation &&
	       a->run_id == key->run_id;
}

static void on_cancel(struct world *w, void *arg)
{
	for (int i = 0; i < w->nservers; i++)
		stop_matching(w, i, match_run, arg, NODE_RUN_CANCELLED);
	g_free(arg);
}

void bke_cancel(struct wld_node *n, uint64_t run_id)
{
	struct cancel_key *key = g_new0(struct cancel_key, 1);

	key->node = n->index;
	key->generation = n->generation;
	key->run_id = run_id;
	wld_after(n->world, n->world->params.latency_ms, on_cancel, key);
}

/* A release order on its way. */
struct order {
	struct back *back;
	int server;
	uint64_t fence;
	char *program;
};

static void on_order(struct world *w, void *arg)
{
	struct order *order = arg;
	struct wld_server *s = &w->servers[order->server];

	order->back->acknowledged =
		model_check_fence(s->model, order->program, order->fence);
	order->back->result.incarnation = s->model->incarnation;
	if (order->back->acknowledged) {
		stop_matching(w, order->server, match_program, order->program,
			      NODE_RUN_CANCELLED);
		model_release(s->model, order->program);
	}
	wld_after(w, w->params.latency_ms, on_back, order->back);
	g_free(order->program);
	g_free(order);
}

void bke_release(struct wld_node *n, uint64_t cookie, const char *addr,
		 const char *program, uint64_t fence)
{
	struct order *order = g_new0(struct order, 1);

	order->back = g_new0(struct back, 1);
	order->back->to.node = n->index;
	order->back->to.generation = n->generation;
	order->back->run_id = cookie;
	order->back->is_release = true;
	order->server = find_server(n->world, addr, strcspn(addr, ":"));
	g_assert_cmpint(order->server, >=, 0);
	order->fence = fence;
	order->program = g_strdup(program);
	wld_after(n->world, n->world->params.latency_ms, on_order, order);
}

/* A report on its way: it says what was so when it was asked for. */
static void on_report(struct world *w, void *arg)
{
	wld_after(w, w->params.latency_ms, on_back, arg);
}

void bke_probe(struct wld_node *n, uint64_t cookie, const char *addr)
{
	struct world *w = n->world;
	struct back *back = g_new0(struct back, 1);
	int server = find_server(w, addr, strcspn(addr, ":"));

	g_assert_cmpint(server, >=, 0);
	back->to.node = n->index;
	back->to.generation = n->generation;
	back->run_id = cookie;
	back->is_probe = true;
	back->load.inflight = w->servers[server].model->inflight;
	back->load.incarnation = w->servers[server].model->incarnation;
	/* Reports lag. */
	wld_after(w, (double)rng_below(&w->rng, NODE_LOAD_MAX_AGE_MS / 2),
		  on_report, back);
}
