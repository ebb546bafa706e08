/** @file sim.c @brief Virtual time, instances and the network. */
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "table/revision.h"
#include "test/sim/clients.h"
#include "test/sim/sim.h"

enum {
	TICK_MS = 10,
	VIOLATIONS_MAX_BYTES = 4000,
	DRAIN_STEP_MS = 600000, /* longer than any pending event */
};

struct event {
	double due_ms;
	uint64_t seq;
	sim_event_fn fn;
	void *arg;
};

static int64_t now_ms(void *arg)
{
	return ((const struct sim *)arg)->now_ms;
}

static int event_order(const void *a, const void *b, void *arg)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)arg;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return (x->seq > y->seq) - (x->seq < y->seq);
}

void sim_schedule(struct sim *sim, double delay_ms, sim_event_fn fn, void *arg)
{
	struct event *event = g_new(struct event, 1);

	event->due_ms = (double)sim->now_ms + fmax(delay_ms, 0);
	event->seq = sim->next_event_seq++;
	event->fn = fn;
	event->arg = arg;
	g_sequence_insert_sorted(sim->events, event, event_order, NULL);
}

void sim_run_for(struct sim *sim, int64_t ms)
{
	int64_t end = sim->now_ms + ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->due_ms > (double)end)
			break;
		if (event->due_ms > (double)sim->now_ms)
			sim->now_ms = (int64_t)event->due_ms;
		g_sequence_remove(first);
		event->fn(sim, event->arg);
		g_free(event);
	}
	sim->now_ms = end;
}

void sim_violation(struct sim *sim, const char *fmt, ...)
{
	va_list ap;

	if (sim->violations->len > VIOLATIONS_MAX_BYTES)
		return;
	g_string_append_printf(sim->violations,
			       "%" G_GINT64_FORMAT " ms: ", sim->now_ms);
	va_start(ap, fmt);
	g_string_append_vprintf(sim->violations, fmt, ap);
	va_end(ap);
	g_string_append_c(sim->violations, '\n');
}

struct sim_node *sim_find_running_node(struct sim *sim, struct sim_node_ref ref)
{
	struct sim_node *n = &sim->nodes[ref.node];

	if (n->node == NULL || n->generation != ref.generation)
		return NULL;
	return n;
}

bool sim_defer_if_frozen(struct sim_node *n, sim_event_fn fn, void *arg)
{
	struct event *event;

	if (!n->frozen)
		return false;
	event = g_new0(struct event, 1);
	event->fn = fn;
	event->arg = arg;
	g_queue_push_tail(n->deferred, event);
	return true;
}

/* A frame in transit. */
struct frame {
	struct sim_node_ref to;
	int from;
	GBytes *bytes;
};

static void frame_free(struct frame *frame)
{
	g_bytes_unref(frame->bytes);
	g_free(frame);
}

static void on_frame(struct sim *sim, void *arg)
{
	struct frame *frame = arg;
	struct sim_node *n = sim_find_running_node(sim, frame->to);
	const uint8_t *buf;
	gsize len;

	if (n != NULL && sim_defer_if_frozen(n, on_frame, frame))
		return;
	if (n != NULL && !n->peers_unreachable &&
	    !sim->nodes[frame->from].peers_unreachable) {
		buf = g_bytes_get_data(frame->bytes, &len);
		node_on_peer(n->node, buf, len);
	}
	frame_free(frame);
}

static int node_index(const struct sim *sim, const char *id)
{
	for (int i = 0; i < sim->params.nodes; i++) {
		if (strcmp(sim->nodes[i].id, id) == 0)
			return i;
	}
	return -1;
}

static void io_send(void *arg, const char *to, const char *addr,
		    const uint8_t *buf, size_t len)
{
	struct sim_node *n = arg;
	struct sim *sim = n->sim;
	int index = node_index(sim, to);
	struct frame *frame;
	double delay_ms =
		sim->params.latency_ms * (0.8 + 0.4 * rng_unit(&sim->rng));
	int64_t *last_arrival_ms;

	(void)addr;
	if (index < 0 || n->peers_unreachable ||
	    (int)rng_below(&sim->rng, 100) < sim->message_loss_percent)
		return;
	/* A connection preserves the order of its frames. */
	last_arrival_ms = &sim->last_arrival_ms[n->index][index];
	if (sim->now_ms + (int64_t)delay_ms < *last_arrival_ms)
		delay_ms = (double)(*last_arrival_ms - sim->now_ms);
	*last_arrival_ms = sim->now_ms + (int64_t)delay_ms;
	frame = g_new0(struct frame, 1);
	frame->to.node = index;
	frame->to.generation = sim->nodes[index].generation;
	frame->from = n->index;
	frame->bytes = g_bytes_new(buf, len);
	sim_schedule(sim, delay_ms, on_frame, frame);
}

static void io_table(void *arg, uint64_t cookie,
		     const Aps__TableRequest *request)
{
	sim_store_table(arg, cookie, request);
}

static void io_put(void *arg, uint64_t cookie, const char *key,
		   const uint8_t *buf, size_t len)
{
	sim_store_put_object(arg, cookie, key, buf, len);
}

static void io_get(void *arg, uint64_t cookie, const char *key)
{
	sim_store_get_object(arg, cookie, key);
}

static void io_run(void *arg, const struct node_run *run)
{
	backends_run(arg, run);
}

static void io_cancel(void *arg, uint64_t run_id)
{
	backends_cancel(arg, run_id);
}

static void io_release(void *arg, uint64_t cookie, const char *addr,
		       const char *program, uint64_t fence)
{
	backends_release(arg, cookie, addr, program, fence);
}

static void io_probe(void *arg, uint64_t cookie, const char *addr)
{
	backends_probe(arg, cookie, addr);
}

static void io_chunk(void *arg, uint64_t call_id, const uint8_t *buf,
		     size_t len)
{
	clients_on_chunk(arg, call_id, buf, len);
}

static void io_done(void *arg, uint64_t call_id, const Aps__Outcome *outcome,
		    size_t streamed)
{
	clients_on_done(arg, call_id, outcome, streamed);
}

static void io_rules(void *arg, const struct rules *rules)
{
	struct sim_node *n = arg;

	if (rules->revision <= n->revision)
		sim_violation(n->sim, "config: %s reverted to revision %u",
			      n->id, (unsigned)rules->revision);
	n->revision = rules->revision;
	n->revision_ms = n->sim->now_ms;
}

static void io_log(void *arg, const char *line)
{
	struct sim_node *n = arg;

	if (n->sim->verbose)
		printf("%8" G_GINT64_FORMAT " %s %s\n", n->sim->now_ms, n->id,
		       line);
}

static void on_tick(struct sim *sim, void *arg)
{
	struct sim_node_ref *ref = arg;
	struct sim_node *n = sim_find_running_node(sim, *ref);

	if (n == NULL) {
		g_free(ref);
		return;
	}
	if (!n->frozen)
		node_tick(n->node);
	if (!n->frozen && node_is_drained(n->node)) {
		n->drained = true;
		sim_kill_node(sim, n->index);
	}
	sim_schedule(sim, TICK_MS, on_tick, ref);
}

void sim_start_node(struct sim *sim, int index)
{
	struct sim_node *n = &sim->nodes[index];
	struct sim_node_ref *ref;
	char addr[32];
	char zone[8];
	struct node_settings settings = {
		.id = n->id,
		.addr = addr,
		.zone = zone,
		.commit_gap_ms = sim->params.commit_gap_ms,
		.policy = sim->params.policy,
	};
	struct node_io io = {.send = io_send,
			     .table = io_table,
			     .object_put = io_put,
			     .object_get = io_get,
			     .run = io_run,
			     .cancel = io_cancel,
			     .release = io_release,
			     .probe = io_probe,
			     .chunk = io_chunk,
			     .done = io_done,
			     .rules = io_rules,
			     .log = io_log,
			     .arg = n};

	if (n->node != NULL)
		return;
	ref = g_new0(struct sim_node_ref, 1);
	snprintf(addr, sizeof(addr), "%s:1", n->id);
	snprintf(zone, sizeof(zone), "%c", 'a' + index % sim->params.zones);
	settings.incarnation = rng_next(&sim->rng) | 1;
	settings.seed = rng_next(&sim->rng);
	n->generation++;
	n->frozen = false;
	n->drained = false;
	n->revision = 0;
	n->node = node_create(&settings, &sim->clk, &io);
	g_assert_nonnull(n->node);
	ref->node = index;
	ref->generation = n->generation;
	sim_schedule(sim, (double)rng_below(&sim->rng, TICK_MS), on_tick, ref);
}

static void run_deferred(struct sim_node *n)
{
	struct event *event;

	n->frozen = false;
	while ((event = g_queue_pop_head(n->deferred)) != NULL) {
		event->fn(n->sim, event->arg);
		g_free(event);
	}
}

void sim_kill_node(struct sim *sim, int index)
{
	struct sim_node *n = &sim->nodes[index];
	struct node *node = n->node;

	if (node == NULL)
		return;
	n->node = NULL;
	backends_on_node_down(sim, index);
	node_destroy(node);
	clients_on_node_down(sim, index);
	run_deferred(n);
}

void sim_freeze_node(struct sim *sim, int index)
{
	sim->nodes[index].frozen = sim->nodes[index].node != NULL;
}

void sim_thaw_node(struct sim *sim, int index)
{
	run_deferred(&sim->nodes[index]);
}

void sim_drain_node(struct sim *sim, int index)
{
	if (sim->nodes[index].node != NULL)
		node_drain(sim->nodes[index].node);
}

struct sim_node *sim_pick_ready_node(struct sim *sim)
{
	int start = (int)rng_below(&sim->rng, (uint64_t)sim->params.nodes);

	for (int i = 0; i < sim->params.nodes; i++) {
		struct sim_node *n =
			&sim->nodes[(start + i) % sim->params.nodes];

		if (n->node != NULL && !n->frozen && node_is_ready(n->node))
			return n;
	}
	return NULL;
}

static void format_rules(const struct sim *sim, GString *out)
{
	uint8_t hash[crypto_hash_sha256_BYTES];
	char hex[sizeof(hash) * 2 + 1];

	g_string_append_printf(
		out, "limit programs turns %u idle %u # test: limits\n",
		sim->params.turns_max, sim->params.idle_s);
	for (int i = 0; i < sim->params.accounts; i++) {
		const struct sim_account *a = &sim->accounts[i];

		g_string_append_printf(out,
				       "account %s rate %g burst %g share %g # "
				       "test: account\n",
				       a->name, a->rate, a->burst, a->share);
		crypto_hash_sha256(hash, (const unsigned char *)a->name,
				   strlen(a->name));
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		if (!a->withdrawn)
			g_string_append_printf(
				out, "key %s account %s # test: key\n", hex,
				a->name);
	}
	g_string_append(out, "model kitchen pool kitchen # test: model\n");
	if (sim->params.services > 0)
		g_string_append(out, "service orders pool desk repeat no "
				     "# test: orders\n");
	for (int i = 0; i < sim->nservers; i++) {
		const struct sim_server *s = &sim->servers[i];

		g_string_append_printf(
			out,
			"server %s pool %s zone %s addr %s:1 max %u fencing %s"
			"%s # test: server\n",
			s->name, s->pool, s->zone, s->name, s->model->max,
			s->model->checks_fence ? "yes" : "no",
			s->out ? " out yes" : "");
	}
}

void sim_apply_config(struct sim *sim)
{
	GString *text = g_string_new(NULL);
	struct rev_change change = {.base_revision = sim->config_revision,
				    .base_version = sim->head_version,
				    .txn = rng_next(&sim->rng),
				    .who = "test",
				    .why = "scenario"};
	Aps__TableRequest *request;
	Aps__TableReply *reply;

	format_rules(sim, text);
	change.text = text->str;
	request = rev_build_request(&change);
	reply = memtable_request(sim->table, request);
	g_assert_false(reply->refused);
	sim->config_revision++;
	sim->config_accepted_ms = sim->now_ms;
	sim->head_version = reply->version;
	aps__table_request__free_unpacked(request, NULL);
	aps__table_reply__free_unpacked(reply, NULL);
	g_string_free(text, TRUE);
}

struct sim_params sim_default_params(void)
{
	struct sim_params params = {
		.seed = 1,
		.nodes = 3,
		.zones = 3,
		.engines = 4,
		.services = 2,
		.engine_runs_max = 8,
		.accounts = 3,
		.rate = 100,
		.burst = 100,
		.latency_ms = 1,
		.commit_gap_ms = 40,
		.idle_s = 3600,
		.turns_max = 1000,
	};

	return params;
}

static void bytes_free(void *p)
{
	g_bytes_unref(p);
}

struct sim *sim_create(const struct sim_params *params)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->params = *params;
	sim->rng.state = params->seed;
	sim->now_ms = 1000000;
	sim->clk.now_ms = now_ms;
	sim->clk.arg = sim;
	sim->events = g_sequence_new(NULL);
	sim->table = memtable_create();
	sim->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     bytes_free);
	sim->violations = g_string_new(NULL);
	backends_create(sim);
	clients_create(sim);
	for (int i = 0; i < params->accounts; i++) {
		struct sim_account *a = &sim->accounts[i];

		snprintf(a->name, sizeof(a->name), "acct%d", i);
		a->rate = params->rate;
		a->burst = params->burst;
		a->share = 1;
	}
	sim_apply_config(sim);
	for (int i = 0; i < params->nodes; i++) {
		struct sim_node *n = &sim->nodes[i];

		n->sim = sim;
		n->index = i;
		n->deferred = g_queue_new();
		snprintf(n->id, sizeof(n->id), "n%d", i + 1);
		sim_start_node(sim, i);
	}
	return sim;
}

void sim_destroy(struct sim *sim)
{
	clients_stop(sim);
	for (int i = 0; i < sim->params.nodes; i++)
		sim_kill_node(sim, i);
	/*
	 * Pending events own their arguments. With no node running, each
	 * only frees its argument.
	 */
	while (!g_sequence_iter_is_end(g_sequence_get_begin_iter(sim->events)))
		sim_run_for(sim, DRAIN_STEP_MS);
	for (int i = 0; i < sim->params.nodes; i++)
		g_queue_free(sim->nodes[i].deferred);
	clients_destroy(sim);
	backends_destroy(sim);
	memtable_destroy(sim->table);
	g_hash_table_unref(sim->objects);
	g_sequence_free(sim->events);
	g_string_free(sim->violations, TRUE);
	g_free(sim);
}
