/** @file commit.c @brief Group commit and lease of one instance. */
#include <string.h>

#include "commit.h"

enum {
	COMMIT_RETRY_MS = 200,
	COMMIT_CREDIT_MAX = 25, /* commits that an idle instance may save up */
};

/* A queued write with copies of its parts. */
struct op {
	GPtrArray *conditions; /* Aps__Condition */
	GPtrArray *rows;       /* Aps__Row */
	commit_fn fn;
	void *arg;
};

struct commit {
	struct node *node;
	char *row_key;
	bool registered;  /* the version of our row is known */
	bool reading;	  /* the first read is under way */
	uint64_t version; /* of our row */
	Aps__InstanceState state;
	Aps__InstanceState written_state;
	GQueue *queue;	/* struct op, not yet in a transaction */
	GQueue *flight; /* struct op, in the transaction under way */
	uint64_t txn;	/* its id */
	bool in_flight;
	bool waiting;  /* for the reply of a try */
	double credit; /* commits that may be sent now */
	int64_t credit_ms;
	int64_t first_sent_ms;
	int64_t last_sent_ms;
	int64_t lease_until_ms;
};

static void condition_free(void *p)
{
	aps__condition__free_unpacked(p, NULL);
}

static void row_free(void *p)
{
	aps__row__free_unpacked(p, NULL);
}

static void op_free(void *p)
{
	struct op *op = p;

	g_ptr_array_unref(op->conditions);
	g_ptr_array_unref(op->rows);
	g_free(op);
}

struct commit *commit_create(struct node *node)
{
	struct commit *commit = g_new0(struct commit, 1);

	commit->node = node;
	commit->credit_ms = node_now_ms(node);
	commit->row_key = g_strdup_printf("n/i/%s", node->id);
	commit->queue = g_queue_new();
	commit->flight = g_queue_new();
	commit->last_sent_ms = INT64_MIN / 2;
	commit->lease_until_ms = INT64_MIN / 2;
	return commit;
}

void commit_destroy(struct commit *commit)
{
	if (commit == NULL)
		return;
	g_queue_free_full(commit->queue, op_free);
	g_queue_free_full(commit->flight, op_free);
	g_free(commit->row_key);
	g_free(commit);
}

void commit_write(struct commit *commit, const struct commit_write *write)
{
	struct op *op = g_new0(struct op, 1);

	op->conditions = g_ptr_array_new_with_free_func(condition_free);
	op->rows = g_ptr_array_new_with_free_func(row_free);
	op->fn = write->fn;
	op->arg = write->arg;
	for (size_t i = 0; i < write->conditions_len; i++)
		g_ptr_array_add(op->conditions,
				msg_dup(&write->conditions[i].base));
	for (size_t i = 0; i < write->rows_len; i++)
		g_ptr_array_add(op->rows, msg_dup(&write->rows[i].base));
	g_queue_push_tail(commit->queue, op);
}

void commit_put_row(struct commit *commit, const char *key, const uint8_t *buf,
		    size_t len, commit_fn fn, void *arg)
{
	Aps__Row row = APS__ROW__INIT;
	struct commit_write write = {.rows = &row, .rows_len = 1};

	row.key = (char *)key;
	row.deleted = buf == NULL;
	row.value = node_wrap_bytes(buf, len);
	write.fn = fn;
	write.arg = arg;
	commit_write(commit, &write);
}

static void finish(struct commit *commit, bool durable)
{
	GQueue *done = commit->flight;
	struct op *op;

	commit->flight = g_queue_new();
	commit->in_flight = false;
	while ((op = g_queue_pop_head(done)) != NULL) {
		if (op->fn != NULL)
			op->fn(op->arg, durable);
		op_free(op);
	}
	g_queue_free(done);
}

static void succeed(struct commit *commit, uint64_t version)
{
	commit->version = version;
	commit->written_state = commit->state;
	commit->lease_until_ms = commit->first_sent_ms + COMMIT_LEASE_MS;
	node_counter_add(commit->node, NODE_COMMITS, 1);
	finish(commit, true);
}

static const Aps__Row *find_row(const Aps__TableReply *reply, const char *key)
{
	for (size_t i = 0; i < reply->n_rows; i++) {
		if (strcmp(reply->rows[i]->key, key) == 0)
			return reply->rows[i];
	}
	return NULL;
}

static bool op_refused(const struct op *op, const Aps__TableReply *reply)
{
	for (guint i = 0; i < op->conditions->len; i++) {
		const Aps__Condition *c = op->conditions->pdata[i];

		if (find_row(reply, c->key) != NULL)
			return true;
	}
	return false;
}

/* Fails the writes that rest on a row that differs; queues the others. */
static void drop_refused(struct commit *commit, const Aps__TableReply *reply)
{
	GQueue *flight = commit->flight;
	GQueue *lost = g_queue_new();
	struct op *op;

	commit->flight = g_queue_new();
	commit->in_flight = false;
	while ((op = g_queue_pop_tail(flight)) != NULL) {
		if (op_refused(op, reply))
			g_queue_push_head(lost, op);
		else
			g_queue_push_head(commit->queue, op);
	}
	g_queue_free(flight);
	while ((op = g_queue_pop_head(lost)) != NULL) {
		if (op->fn != NULL)
			op->fn(op->arg, false);
		op_free(op);
	}
	g_queue_free(lost);
}

static void on_refused(struct commit *commit, const Aps__TableReply *reply)
{
	const Aps__Row *row = find_row(reply, commit->row_key);
	Aps__InstanceRow *self;

	if (row == NULL) {
		drop_refused(commit, reply);
		return;
	}
	self = aps__instance_row__unpack(NULL, row->value.len, row->value.data);
	/* A taker keeps our transaction id when it marks the row as dead. */
	if (self != NULL && self->txn == commit->txn &&
	    self->incarnation == commit->node->incarnation &&
	    (self->state != APS__INSTANCE_STATE__DEAD ||
	     commit->state == APS__INSTANCE_STATE__DEAD)) {
		/* An earlier try took effect and its reply was lost. */
		succeed(commit, row->version);
	} else {
		node_log(commit->node, "commit: row taken over");
		commit->node->fenced = true;
		commit->lease_until_ms = INT64_MIN / 2;
	}
	if (self != NULL)
		aps__instance_row__free_unpacked(self, NULL);
}

static void on_txn(void *arg, const Aps__TableReply *reply)
{
	struct commit *commit = arg;

	commit->waiting = false;
	if (reply == NULL)
		return;
	if (reply->refused)
		on_refused(commit, reply);
	else
		succeed(commit, reply->version);
}

static void on_registered(void *arg, const Aps__TableReply *reply)
{
	struct commit *commit = arg;

	commit->reading = false;
	if (reply == NULL)
		return;
	commit->registered = true;
	commit->version = reply->n_rows > 0 && !reply->rows[0]->deleted
				  ? reply->rows[0]->version
				  : 0;
}

static void read_own_row(struct commit *commit)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;

	request.op = APS__TABLE_REQUEST__OP__GET;
	request.n_keys = 1;
	request.keys = &commit->row_key;
	commit->reading = true;
	commit->last_sent_ms = node_now_ms(commit->node);
	node_table_request(commit->node, &request, on_registered, commit);
}

static void add_own_row(struct commit *commit, Aps__Row *row,
			Aps__InstanceRow *self, uint8_t **buf)
{
	self->id = commit->node->id;
	self->incarnation = commit->node->incarnation;
	self->addr = commit->node->addr;
	self->zone = commit->node->zone;
	self->state = commit->state;
	self->txn = commit->txn;
	row->key = commit->row_key;
	*buf = msg_pack(&self->base, &row->value.len);
	row->value.data = *buf;
}

static void send_txn(struct commit *commit)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	Aps__Condition own = APS__CONDITION__INIT;
	Aps__Row row = APS__ROW__INIT;
	Aps__InstanceRow self = APS__INSTANCE_ROW__INIT;
	GPtrArray *conditions = g_ptr_array_new();
	GPtrArray *rows = g_ptr_array_new();
	uint8_t *buf;

	own.key = commit->row_key;
	own.version = commit->version;
	g_ptr_array_add(conditions, &own);
	add_own_row(commit, &row, &self, &buf);
	g_ptr_array_add(rows, &row);
	for (GList *l = commit->flight->head; l != NULL; l = l->next) {
		const struct op *op = l->data;

		for (guint i = 0; i < op->conditions->len; i++)
			g_ptr_array_add(conditions, op->conditions->pdata[i]);
		for (guint i = 0; i < op->rows->len; i++)
			g_ptr_array_add(rows, op->rows->pdata[i]);
	}
	request.op = APS__TABLE_REQUEST__OP__TXN;
	request.n_conditions = conditions->len;
	request.conditions = (Aps__Condition **)conditions->pdata;
	request.n_puts = rows->len;
	request.puts = (Aps__Row **)rows->pdata;
	commit->waiting = true;
	commit->last_sent_ms = node_now_ms(commit->node);
	node_counter_add(commit->node, NODE_COMMITTED_ROWS, rows->len);
	node_table_request(commit->node, &request, on_txn, commit);
	g_ptr_array_unref(conditions);
	g_ptr_array_unref(rows);
	g_free(buf);
}

static void start_txn(struct commit *commit)
{
	size_t rows = 0;
	struct op *op;

	while (rows < COMMIT_ROWS_MAX &&
	       (op = g_queue_pop_head(commit->queue)) != NULL) {
		rows += op->rows->len;
		g_queue_push_tail(commit->flight, op);
	}
	commit->txn = node_next_id(commit->node);
	commit->in_flight = true;
	commit->first_sent_ms = node_now_ms(commit->node);
	send_txn(commit);
}

/*
 * The share of the platform's writes is a rate with a burst: a lone turn does
 * not wait for a gap, and a busy instance still keeps to its share.
 */
static void earn_credit(struct commit *commit)
{
	int64_t now = node_now_ms(commit->node);
	double earned =
		(double)(now - commit->credit_ms) / commit->node->commit_gap_ms;

	commit->credit = MIN(commit->credit + earned, COMMIT_CREDIT_MAX);
	commit->credit_ms = now;
}

void commit_tick(struct commit *commit)
{
	int64_t age = node_now_ms(commit->node) - commit->last_sent_ms;
	bool due;

	if (commit->waiting || commit->reading)
		return;
	if (!commit->registered || commit->in_flight) {
		if (age < COMMIT_RETRY_MS)
			return;
		if (commit->in_flight)
			send_txn(commit);
		else
			read_own_row(commit);
		return;
	}
	earn_credit(commit);
	due = age >= COMMIT_RENEW_MS || commit->state != commit->written_state;
	if (!due && (g_queue_is_empty(commit->queue) || commit->credit < 1))
		return;
	commit->credit = MAX(commit->credit - 1, 0);
	start_txn(commit);
}

bool commit_lease_is_valid(const struct commit *commit)
{
	return !commit->node->fenced &&
	       node_now_ms(commit->node) + COMMIT_LEASE_REMAINING_MIN_MS <
		       commit->lease_until_ms;
}

bool commit_is_idle(const struct commit *commit)
{
	return !commit->in_flight && g_queue_is_empty(commit->queue) &&
	       commit->state == commit->written_state;
}

void commit_set_state(struct commit *commit, Aps__InstanceState state)
{
	commit->state = state;
}
