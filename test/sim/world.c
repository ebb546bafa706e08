/** @file world.c @brief Virtual time, instances and the network. */
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "table/revision.h"
#include "test/sim/clients.h"
#include "test/sim/world.h"

enum {
	TICK_MS = 10,
	FAULTS_MAX = 4000,
	END_MS = 600000, /* long enough for whatever is under way */
};

struct event {
	double at;
	uint64_t seq;
	wld_fn fn;
	void *arg;
};

static int64_t now_ms(void *arg)
{
	return ((const struct world *)arg)->now_ms;
}

static int event_order(const void *a, const void *b, void *arg)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->seq > y->seq) - (x->seq < y->seq);
}

void wld_after(struct world *w, double delay_ms, wld_fn fn, void *arg)
{
	struct event *event = g_new(struct event, 1);

	event->at = (double)w->now_ms + fmax(delay_ms, 0);
	event->seq = w->seq++;
	event->fn = fn;
	event->arg = arg;
	g_sequence_insert_sorted(w->events, event, event_order, NULL);
}

void wld_run_for(struct world *w, int64_t ms)
{
	int64_t end = w->now_ms + ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at > (double)end)
			break;
		if (event->at > (double)w->now_ms)
			w->now_ms = (int64_t)event->at;
		g_sequence_remove(first);
		event->fn(w, event->arg);
		g_free(event);
	}
	w->now_ms = end;
}

void wld_fault(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->faults->len > FAULTS_MAX)
		return;
	g_string_append_printf(w->faults,
			       "%" G_GINT64_FORMAT " ms: ", w->now_ms);
	va_start(ap, fmt);
	g_string_append_vprintf(w->faults, fmt, ap);
	va_end(ap);
	g_string_append_c(w->faults, '\n');
}

struct wld_node *wld_same(struct world *w, struct wld_target target)
{
	struct wld_node *n = &w->nodes[target.node];

	if (n->node == NULL || n->generation != target.generation)
		return NULL;
	return n;
}

bool wld_hold(struct wld_node *n, wld_fn fn, void *arg)
{
	struct event *event;

	if (!n->frozen)
		return false;
	event = g_new0(struct event, 1);
	event->fn = fn;
	event->arg = arg;
	g_queue_push_tail(n->held, event);
	return true;
}

/* A frame on its way. */
struct frame {
	struct wld_target to;
	int from;
	GBytes *bytes;
};

static void frame_free(struct frame *frame)
{
	g_bytes_unref(frame->bytes);
	g_free(frame);
}

static void on_frame(struct world *w, void *arg)
{
	struct frame *frame = arg;
	struct wld_node *n = wld_same(w, frame->to);
	const uint8_t *buf;
	gsize len;

	if (n != NULL && wld_hold(n, on_frame, frame))
		return;
	if (n != NULL && !n->cut_peers && !w->nodes[frame->from].cut_peers) {
		buf = g_bytes_get_data(frame->bytes, &len);
		node_on_peer(n->node, buf, len);
	}
	frame_free(frame);
}

static int node_index(const struct world *w, const char *id)
{
	for (int i = 0; i < w->params.nodes; i++) {
		if (strcmp(w->nodes[i].id, id) == 0)
			return i;
	}
	return -1;
}

static void io_send(void *arg, const char *to, const char *addr,
		    const uint8_t *buf, size_t len)
{
	struct wld_node *n = arg;
	struct world *w = n->world;
	int index = node_index(w, to);
	struct frame *frame;
	double delay = w->params.latency_ms * (0.8 + 0.4 * rng_unit(&w->rng));
	int64_t *last;

	(void)addr;
	if (index < 0 || n->cut_peers ||
	    (int)rng_below(&w->rng, 100) < w->lose_messages)
		return;
	/* One connection: frames arrive in the order they were sent. */
	last = &w->last_arrival[n->index][index];
	if (w->now_ms + (int64_t)delay < *last)
		delay = (double)(*last - w->now_ms);
	*last = w->now_ms + (int64_t)delay;
	frame = g_new0(struct frame, 1);
	frame->to.node = index;
	frame->to.generation = w->nodes[index].generation;
	frame->from = n->index;
	frame->bytes = g_bytes_new(buf, len);
	wld_after(w, delay, on_frame, frame);
}

static void io_table(void *arg, uint64_t cookie,
		     const Aps__TableRequest *request)
{
	sto_table(arg, cookie, request);
}

static void io_put(void *arg, uint64_t cookie, const char *key,
		   const uint8_t *buf, size_t len)
{
	sto_put(arg, cookie, key, buf, len);
}

static void io_get(void *arg, uint64_t cookie, const char *key)
{
	sto_get(arg, cookie, key);
}

static void io_run(void *arg, const struct node_run *run)
{
	bke_run(arg, run);
}

static void io_cancel(void *arg, uint64_t run_id)
{
	bke_cancel(arg, run_id);
}

static void io_release(void *arg, uint64_t cookie, const char *addr,
		       const char *program, uint64_t fence)
{
	bke_release(arg, cookie, addr, program, fence);
}

static void io_probe(void *arg, uint64_t cookie, const char *addr)
{
	bke_probe(arg, cookie, addr);
}

static void io_chunk(void *arg, uint64_t call_id, const uint8_t *buf,
		     size_t len)
{
	cli_on_chunk(arg, call_id, buf, len);
}

static void io_done(void *arg, uint64_t call_id, const Aps__Outcome *outcome,
		    size_t streamed)
{
	cli_on_done(arg, call_id, outcome, streamed);
}

static void io_rules(void *arg, const struct rules *rules)
{
	struct wld_node *n = arg;

	if (rules->revision <= n->revision)
		wld_fault(n->world, "config: %s went back to revision %u",
			  n->id, (unsigned)rules->revision);
	n->revision = rules->revision;
	n->revision_ms = n->world->now_ms;
}

static void io_log(void *arg, const char *line)
{
	struct wld_node *n = arg;

	if (n->world->verbose)
		printf("%8" G_GINT64_FORMAT " %s %s\n", n->world->now_ms, n->id,
		       line);
}

static void on_tick(struct world *w, void *arg)
{
	struct wld_target *target = arg;
	struct wld_node *n = wld_same(w, *target);

	if (n == NULL) {
		g_free(target);
		return;
	}
	if (!n->frozen)
		node_tick(n->node);
	if (!n->frozen && node_is_drained(n->node)) {
		n->drained = true;
		wld_kill_node(w, n->index);
	}
	wld_after(w, TICK_MS, on_tick, target);
}

void wld_start_node(struct world *w, int index)
{
	struct wld_node *n = &w->nodes[index];
	struct wld_target *target;
	char addr[32];
	char zone[8];
	struct node_settings settings = {
		.id = n->id,
		.addr = addr,
		.zone = zone,
		.commit_gap_ms = w->params.commit_gap_ms,
		.policy = w->params.policy,
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
	target = g_new0(struct wld_target, 1);
	snprintf(addr, sizeof(addr), "%s:1", n->id);
	snprintf(zone, sizeof(zone), "%c", 'a' + index % w->params.zones);
	settings.incarnation = rng_next(&w->rng) | 1;
	settings.seed = rng_next(&w->rng);
	n->generation++;
	n->frozen = false;
	n->drained = false;
	n->revision = 0;
	n->node = node_create(&settings, &w->clk, &io);
	g_assert_nonnull(n->node);
	target->node = index;
	target->generation = n->generation;
	wld_after(w, (double)rng_below(&w->rng, TICK_MS), on_tick, target);
}

static void drop_held(struct wld_node *n)
{
	struct event *event;

	n->frozen = false;
	while ((event = g_queue_pop_head(n->held)) != NULL) {
		event->fn(n->world, event->arg);
		g_free(event);
	}
}

void wld_kill_node(struct world *w, int index)
{
	struct wld_node *n = &w->nodes[index];
	struct node *node = n->node;

	if (node == NULL)
		return;
	n->node = NULL;
	bke_node_gone(w, index);
	node_destroy(node);
	cli_node_gone(w, index);
	drop_held(n);
}

void wld_freeze_node(struct world *w, int index)
{
	w->nodes[index].frozen = w->nodes[index].node != NULL;
}

void wld_thaw_node(struct world *w, int index)
{
	drop_held(&w->nodes[index]);
}

void wld_drain_node(struct world *w, int index)
{
	if (w->nodes[index].node != NULL)
		node_drain(w->nodes[index].node);
}

struct wld_node *wld_pick_node(struct world *w)
{
	int start = (int)rng_below(&w->rng, (uint64_t)w->params.nodes);

	for (int i = 0; i < w->params.nodes; i++) {
		struct wld_node *n = &w->nodes[(start + i) % w->params.nodes];

		if (n->node != NULL && !n->frozen && node_is_ready(n->node))
			return n;
	}
	return NULL;
}

static void rules_text(const struct world *w, GString *out)
{
	uint8_t hash[crypto_hash_sha256_BYTES];
	char hex[sizeof(hash) * 2 + 1];

	g_string_append_printf(
		out, "limit programs turns %u idle %u # test: limits\n",
		w->params.turns_max, w->params.idle_s);
	for (int i = 0; i < w->params.accounts; i++) {
		const struct wld_account *a = &w->accounts[i];

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
	if (w->params.desks > 0)
		g_string_append(out, "service orders pool desk repeat no "
				     "# test: orders\n");
	for (int i = 0; i < w->nservers; i++) {
		const struct wld_server *s = &w->servers[i];

		g_string_append_printf(
			out,
			"server %s pool %s zone %s addr %s:1 max %u fencing %s"
			"%s # test: server\n",
			s->name, s->pool, s->zone, s->name, s->model->max,
			s->model->checks_fence ? "yes" : "no",
			s->out ? " out yes" : "");
	}
}

void wld_apply(struct world *w)
{
	GString *text = g_string_new(NULL);
	struct rev_change change = {.base_revision = w->revision,
				    .base_version = w->head_version,
				    .txn = rng_next(&w->rng),
				    .who = "test",
				    .why = "scenario"};
	Aps__TableRequest *request;
	Aps__TableReply *reply;

	rules_text(w, text);
	change.text = text->str;
	request = rev_build_request(&change);
	reply = memtable_request(w->table, request);
	g_assert_false(reply->refused);
	w->revision++;
	w->revision_ms = w->now_ms;
	w->head_version = reply->version;
	aps__table_request__free_unpacked(request, NULL);
	aps__table_reply__free_unpacked(reply, NULL);
	g_string_free(text, TRUE);
}

struct wld_params wld_defaults(void)
{
	struct wld_params params = {
		.seed = 1,
		.nodes = 3,
		.zones = 3,
		.engines = 4,
		.desks = 2,
		.max = 8,
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

struct world *wld_create(const struct wld_params *params)
{
	struct world *w = g_new0(struct world, 1);

	w->params = *params;
	w->rng.state = params->seed;
	w->now_ms = 1000000;
	w->clk.now_ms = now_ms;
	w->clk.arg = w;
	w->events = g_sequence_new(NULL);
	w->table = memtable_create();
	w->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   bytes_free);
	w->faults = g_string_new(NULL);
	bke_create(w);
	cli_create(w);
	for (int i = 0; i < params->accounts; i++) {
		struct wld_account *a = &w->accounts[i];

		snprintf(a->name, sizeof(a->name), "acct%d", i);
		a->rate = params->rate;
		a->burst = params->burst;
		a->share = 1;
	}
	wld_apply(w);
	for (int i = 0; i < params->nodes; i++) {
		struct wld_node *n = &w->nodes[i];

		n->world = w;
		n->index = i;
		n->held = g_queue_new();
		snprintf(n->id, sizeof(n->id), "n%d", i + 1);
		wld_start_node(w, i);
	}
	return w;
}

void wld_destroy(struct world *w)
{
	cli_stop(w);
	for (int i = 0; i < w->params.nodes; i++)
		wld_kill_node(w, i);
	/* What is under way owns its argument: let it find nobody. */
	while (!g_sequence_iter_is_end(g_sequence_get_begin_iter(w->events)))
		wld_run_for(w, END_MS);
	for (int i = 0; i < w->params.nodes; i++)
		g_queue_free(w->nodes[i].held);
	cli_destroy(w);
	bke_destroy(w);
	memtable_destroy(w->table);
	g_hash_table_unref(w->objects);
	g_sequence_free(w->events);
	g_string_free(w->faults, TRUE);
	g_free(w);
}
