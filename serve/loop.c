/** @file loop.c @brief Event loop that runs the node. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <sodium.h>

#include "log.h"
#include "loop.h"
#include "outbound.h"
#include "peer.h"
#include "proto/message.h"

enum {
	LOOP_TICK_MS = 10,
	NS_PER_MS = 1000000,
	MS_PER_S = 1000,
	LOOP_FDS_MAX = 1024,
};

/* What other threads queue for the loop. */
enum task_kind {
	TASK_CALL,
	TASK_CANCEL,
	TASK_STATUS,
};

struct task {
	enum task_kind kind;
	struct loop_call *call;
	char **text; /* receives the status */
	bool *done;
};

struct loop {
	struct node *node;
	struct clk clk;
	struct peers *peers;
	struct outbound *outbound;
	loop_rules_fn rules_fn;
	void *rules_arg;
	GMutex lock; /* protects tasks, counters and flags */
	GCond cond;
	GQueue *tasks;
	uint64_t counters[NODE_COUNTER_COUNT];
	bool ready;
	bool draining;
	bool ended;
	GHashTable *calls; /* id to struct loop_call */
	struct loop_call *starting;
	double cpu_s; /* CPU time of the loop's thread */
};

static int64_t boottime_ms(void *arg)
{
	struct timespec ts;

	(void)arg;
	/* Counts time in suspend, so that leases expire during a suspend. */
	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0)
		return 0;
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

static void io_send(void *arg, const char *to, const char *addr,
		    const uint8_t *buf, size_t len)
{
	struct loop *loop = arg;

	(void)to;
	peer_send(loop->peers, addr, buf, len);
}

static void io_table(void *arg, uint64_t cookie,
		     const Aps__TableRequest *request)
{
	outbound_table(((struct loop *)arg)->outbound, cookie, request);
}

static void io_put(void *arg, uint64_t cookie, const char *key,
		   const uint8_t *buf, size_t len)
{
	outbound_object(((struct loop *)arg)->outbound, cookie, key, buf, len);
}

static void io_get(void *arg, uint64_t cookie, const char *key)
{
	outbound_object(((struct loop *)arg)->outbound, cookie, key, NULL, 0);
}

static void io_run(void *arg, const struct node_run *run)
{
	outbound_start_run(((struct loop *)arg)->outbound, run);
}

static void io_cancel(void *arg, uint64_t run_id)
{
	outbound_cancel_run(((struct loop *)arg)->outbound, run_id);
}

static void io_release(void *arg, uint64_t cookie, const char *addr,
		       const char *program, uint64_t fence)
{
	outbound_release(((struct loop *)arg)->outbound, cookie, addr, program,
			 fence);
}

static void io_probe(void *arg, uint64_t cookie, const char *addr)
{
	outbound_probe(((struct loop *)arg)->outbound, cookie, addr);
}

/*
 * Finds a call by its id, or else returns the one being started: a call may
 * end before node_call() has returned its id.
 */
static struct loop_call *find_call(struct loop *loop, uint64_t id)
{
	struct loop_call *call = g_hash_table_lookup(loop->calls, &id);

	return call != NULL ? call : loop->starting;
}

static void io_chunk(void *arg, uint64_t id, const uint8_t *buf, size_t len)
{
	struct loop_call *call = find_call(arg, id);

	if (call == NULL)
		return;
	g_mutex_lock(&call->lock);
	g_byte_array_append(call->text, buf, (guint)len);
	call->streamed += len;
	g_cond_signal(&call->cond);
	g_mutex_unlock(&call->lock);
}

static void finish_call(struct loop_call *call, const Aps__Outcome *outcome)
{
	g_mutex_lock(&call->lock);
	if (outcome != NULL && call->outcome == NULL)
		call->outcome = msg_dup(&outcome->base);
	call->done = true;
	g_cond_signal(&call->cond);
	g_mutex_unlock(&call->lock);
}

static void io_done(void *arg, uint64_t id, const Aps__Outcome *outcome,
		    size_t streamed)
{
	struct loop *loop = arg;
	struct loop_call *call = find_call(loop, id);

	(void)streamed;
	if (call == NULL)
		return;
	g_hash_table_remove(loop->calls, &id);
	if (call == loop->starting)
		loop->starting = NULL;
	finish_call(call, outcome);
}

static void io_rules(void *arg, const struct rules *rules)
{
	struct loop *loop = arg;

	loop->rules_fn(loop->rules_arg, rules);
}

static void io_log(void *arg, const char *line)
{
	(void)arg;
	log_line(LOG_LEVEL_NOTICE, "%s", line);
}

static void on_frame(void *arg, const uint8_t *buf, size_t len)
{
	node_on_peer(((struct loop *)arg)->node, buf, len);
}

static void on_run_chunk(void *arg, uint64_t id, uint64_t incarnation,
			 const uint8_t *buf, size_t len)
{
	node_on_run_chunk(((struct loop *)arg)->node, id, incarnation, buf,
			  len);
}

static void on_run_done(void *arg, uint64_t id,
			const struct node_run_result *result)
{
	node_on_run_done(((struct loop *)arg)->node, id, result);
}

static void on_release_done(void *arg, uint64_t cookie, bool acknowledged,
			    uint64_t incarnation)
{
	node_on_release(((struct loop *)arg)->node, cookie, acknowledged,
			incarnation);
}

static void on_probe_done(void *arg, uint64_t cookie,
			  const struct node_load *load)
{
	node_on_probe(((struct loop *)arg)->node, cookie, load);
}

static void on_table_done(void *arg, uint64_t cookie,
			  const Aps__TableReply *reply)
{
	node_on_table(((struct loop *)arg)->node, cookie, reply);
}

static void on_object_done(void *arg, uint64_t cookie, bool ok,
			   const uint8_t *buf, size_t len)
{
	node_on_object(((struct loop *)arg)->node, cookie, ok, buf, len);
}

static struct node *create_node(struct loop *loop,
				const struct settings *settings)
{
	struct node_settings node = {
		.id = settings->id,
		.addr = settings->peer,
		.zone = settings->zone,
		.commit_gap_ms = settings->commit_gap_ms,
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
			     .arg = loop};

	randombytes_buf(&node.seed, sizeof(node.seed));
	randombytes_buf(&node.incarnation, sizeof(node.incarnation));
	node.incarnation |= 1;
	return node_create(&node, &loop->clk, &io);
}

struct loop *loop_create(const struct settings *settings, const char *platform,
			 loop_rules_fn fn, void *arg, GString *errors)
{
	struct loop *loop = g_new0(struct loop, 1);
	struct outbound_events events = {.run_chunk = on_run_chunk,
					 .run_done = on_run_done,
					 .release_done = on_release_done,
					 .probe_done = on_probe_done,
					 .table_done = on_table_done,
					 .object_done = on_object_done,
					 .arg = loop};

	g_mutex_init(&loop->lock);
	g_cond_init(&loop->cond);
	loop->tasks = g_queue_new();
	loop->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	loop->rules_fn = fn;
	loop->rules_arg = arg;
	loop->clk.now_ms = boottime_ms;
	loop->outbound = outbound_create(platform, &events);
	loop->peers = peer_create(settings->peer, on_frame, loop, errors);
	if (loop->peers != NULL)
		loop->node = create_node(loop, settings);
	if (loop->node != NULL)
		return loop;
	loop_destroy(loop);
	return NULL;
}

void loop_destroy(struct loop *loop)
{
	if (loop == NULL)
		return;
	node_destroy(loop->node);
	peer_destroy(loop->peers);
	outbound_destroy(loop->outbound);
	g_hash_table_unref(loop->calls);
	g_queue_free(loop->tasks);
	g_mutex_clear(&loop->lock);
	g_cond_clear(&loop->cond);
	g_free(loop);
}

static void start_call(struct loop *loop, struct loop_call *call)
{
	struct node_call msg = {.request = call->request,
				.deadline_ms = call->deadline_ms};
	uint64_t id;

	loop->starting = call;
	id = node_call(loop->node, &msg);
	if (loop->starting == NULL)
		return;
	loop->starting = NULL;
	call->id = id;
	g_hash_table_insert(loop->calls, &call->id, call);
}

static void cancel_call(struct loop *loop, struct loop_call *call)
{
	if (g_hash_table_lookup(loop->calls, &call->id) == call) {
		g_hash_table_remove(loop->calls, &call->id);
		node_call_cancel(loop->node, call->id);
	}
	finish_call(call, NULL);
}

static void run_status_task(struct loop *loop, struct task *task)
{
	char *text = node_status(loop->node);

	g_mutex_lock(&loop->lock);
	*task->text = text;
	*task->done = true;
	g_cond_broadcast(&loop->cond);
	g_mutex_unlock(&loop->lock);
}

static void run_tasks(struct loop *loop)
{
	struct task *task;

	for (;;) {
		g_mutex_lock(&loop->lock);
		task = g_queue_pop_head(loop->tasks);
		g_mutex_unlock(&loop->lock);
		if (task == NULL)
			return;
		if (task->kind == TASK_CALL)
			start_call(loop, task->call);
		else if (task->kind == TASK_CANCEL)
			cancel_call(loop, task->call);
		else
			run_status_task(loop, task);
		g_free(task);
	}
}

static void update_shared_state(struct loop *loop)
{
	struct timespec cpu;

	g_mutex_lock(&loop->lock);
	for (int i = 0; i < NODE_COUNTER_COUNT; i++)
		loop->counters[i] =
			node_counter(loop->node, (enum node_counter)i);
	loop->ready = node_is_ready(loop->node);
	if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu) == 0)
		loop->cpu_s = (double)cpu.tv_sec + (double)cpu.tv_nsec / 1e9;
	if (loop->draining)
		node_drain(loop->node);
	g_mutex_unlock(&loop->lock);
}

static void wait_for_events(struct loop *loop)
{
	GArray *fds = peer_fds(loop->peers);
	guint n = MIN(fds->len, LOOP_FDS_MAX);
	struct curl_waitfd *wait = g_new0(struct curl_waitfd, n);
	struct pollfd *poll = (struct pollfd *)(void *)fds->data;
	int ready = 0;

	for (guint i = 0; i < n; i++) {
		wait[i].fd = poll[i].fd;
		wait[i].events = CURL_WAIT_POLLIN;
		if (poll[i].events & POLLOUT)
			wait[i].events |= CURL_WAIT_POLLOUT;
	}
	curl_multi_poll(outbound_multi(loop->outbound), wait, n, LOOP_TICK_MS,
			&ready);
	for (guint i = 0; i < n; i++) {
		if (wait[i].revents & CURL_WAIT_POLLIN)
			poll[i].revents |= POLLIN;
		if (wait[i].revents & CURL_WAIT_POLLOUT)
			poll[i].revents |= POLLOUT;
	}
	peer_process(loop->peers, poll, n);
	g_free(wait);
	g_array_unref(fds);
}

/* Handles the tasks still queued, so that no thread waits forever. */
static void end_loop(struct loop *loop)
{
	g_mutex_lock(&loop->lock);
	loop->ended = true;
	g_cond_broadcast(&loop->cond);
	g_mutex_unlock(&loop->lock);
	run_tasks(loop);
}

void loop_run(struct loop *loop)
{
	int64_t tick_ms = 0;

	while (!node_is_drained(loop->node)) {
		int64_t now = boottime_ms(NULL);

		wait_for_events(loop);
		outbound_process(loop->outbound);
		run_tasks(loop);
		if (now - tick_ms >= LOOP_TICK_MS) {
			tick_ms = now;
			node_tick(loop->node);
			update_shared_state(loop);
		}
	}
	end_loop(loop);
}

void loop_drain(struct loop *loop)
{
	g_mutex_lock(&loop->lock);
	loop->draining = true;
	g_mutex_unlock(&loop->lock);
}

void loop_call_init(struct loop_call *call)
{
	memset(call, 0, sizeof(*call));
	g_mutex_init(&call->lock);
	g_cond_init(&call->cond);
	call->text = g_byte_array_new();
}

void loop_call_clear(struct loop_call *call)
{
	if (call->outcome != NULL)
		aps__outcome__free_unpacked(call->outcome, NULL);
	g_byte_array_unref(call->text);
	g_mutex_clear(&call->lock);
	g_cond_clear(&call->cond);
}

static bool push_task(struct loop *loop, const struct task *template)
{
	struct task *task = g_new(struct task, 1);
	bool ended;

	*task = *template;
	g_mutex_lock(&loop->lock);
	ended = loop->ended;
	if (!ended)
		g_queue_push_tail(loop->tasks, task);
	g_mutex_unlock(&loop->lock);
	if (ended)
		g_free(task);
	else
		curl_multi_wakeup(outbound_multi(loop->outbound));
	return !ended;
}

void loop_submit(struct loop *loop, struct loop_call *call)
{
	struct task task = {.kind = TASK_CALL, .call = call};
	Aps__Outcome outcome = APS__OUTCOME__INIT;

	if (push_task(loop, &task))
		return;
	outcome.status = 503;
	outcome.step = (char *)"entry";
	outcome.reason = (char *)"instance has left";
	finish_call(call, &outcome);
}

void loop_cancel(struct loop *loop, struct loop_call *call)
{
	struct task task = {.kind = TASK_CANCEL, .call = call};

	if (!push_task(loop, &task))
		return;
	g_mutex_lock(&call->lock);
	while (!call->done)
		g_cond_wait(&call->cond, &call->lock);
	g_mutex_unlock(&call->lock);
}

char *loop_status(struct loop *loop)
{
	bool done = false;
	char *text = NULL;
	struct task task = {.kind = TASK_STATUS, .text = &text, .done = &done};

	if (!push_task(loop, &task))
		return g_strdup("{}");
	g_mutex_lock(&loop->lock);
	while (!done)
		g_cond_wait(&loop->cond, &loop->lock);
	g_mutex_unlock(&loop->lock);
	return text;
}

char *loop_metrics(struct loop *loop)
{
	GString *out = g_string_new(NULL);

	g_mutex_lock(&loop->lock);
	for (int i = 0; i < NODE_COUNTER_COUNT; i++)
		g_string_append_printf(
			out,
			"# TYPE apricotshift_%s_total counter\n"
			"apricotshift_%s_total %" G_GUINT64_FORMAT "\n",
			node_counter_names[i], node_counter_names[i],
			loop->counters[i]);
	g_string_append_printf(
		out,
		"# TYPE apricotshift_ready gauge\napricotshift_ready %d\n"
		"# TYPE apricotshift_loop_cpu_seconds_total counter\n"
		"apricotshift_loop_cpu_seconds_total %.3f\n",
		loop->ready, loop->cpu_s);
	g_mutex_unlock(&loop->lock);
	return g_string_free(out, FALSE);
}

bool loop_ready(struct loop *loop)
{
	bool ready;

	g_mutex_lock(&loop->lock);
	ready = loop->ready && !loop->draining;
	g_mutex_unlock(&loop->lock);
	return ready;
}

bool loop_draining(struct loop *loop)
{
	bool draining;

	g_mutex_lock(&loop->lock);
	draining = loop->draining;
	g_mutex_unlock(&loop->lock);
	return draining;
}
