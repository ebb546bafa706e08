/** @file commit.c @brief Group commit and lease of one instance. */
#include <string.h>

#include "commit.h"

enum {
	COMMIT_RETRY_MS = 200,
	COMMIT_CREDIT_MAX = 25, /* burst of commits after idling */
};

/* A queued write; owns copies of its conditions and rows. */
struct queued_write {
	GPtrArray *conditions; /* Aps__Condition */
	GPtrArray *rows;       /* Aps__Row */
	commit_fn fn;
	void *arg;
};

struct commit {
	struct node *node;
	char *row_key;
	bool version_known; /* of this instance's row */
	bool reading;	    /* the instance's row is being read */
	uint64_t version;   /* of the instance's row, 0 if there is none */
	Aps__InstanceState state;
	Aps__InstanceState written_state;
	GQueue *queue;	/* struct queued_write, not yet sent */
	GQueue *sent;	/* struct queued_write, in the current transaction */
	uint64_t txn;	/* id of the current transaction */
	bool in_flight; /* the outcome of the transaction is unknown */
	bool awaiting_reply; /* a request of the transaction is in flight */
	double credit;	     /* commits that may be sent now, a token bucket */
	int64_t credit_ms;
	int64_t first_sent_ms; /* of the current transaction */
	int64_t last_sent_ms;  /* of any request */
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

static void queued_write_free(void *p)
{
	struct queued_write *queued = p;

	g_ptr_array_unref(queued->conditions);
	g_ptr_array_unref(queued->rows);
	g_free(queued);
}

struct commit *commit_create(struct node *node)
{
	struct commit *commit = g_new0(struct commit, 1);

	commit->node = node;
	commit->credit_ms = node_now_ms(node);
	commit->row_key = g_strdup_printf("n/i/%s", node->id);
	commit->queue = g_queue_new();
	commit->sent = g_queue_new();
	commit->last_sent_ms = INT64_MIN / 2;
	commit->lease_until_ms = INT64_MIN / 2;
	return commit;
}

void commit_destroy(struct commit *commit)
{
	if (commit == NULL)
		return;
	g_queue_free_full(commit->queue, queued_write_free);
	g_queue_free_full(commit->sent, queued_write_free);
	g_free(commit->row_key);
	g_free(commit);
}

void commit_write(struct commit *commit, const struct commit_write *write)
{
	struct queued_write *queued = g_new0(struct queued_write, 1);

	queued->conditions = g_ptr_array_new_with_free_func(condition_free);
	queued->rows = g_ptr_array_new_with_free_func(row_free);
	queued->fn = write->fn;
	queued->arg = write->arg;
	for (size_t i = 0; i < write->conditions_len; i++)
		g_ptr_array_add(queued->conditions,
				msg_dup(&write->conditions[i].base));
	for (size_t i = 0; i < write->rows_len; i++)
		g_ptr_array_add(queued->rows, msg_dup(&write->rows[i].base));
	g_queue_push_tail(commit->queue, queued);
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

static void complete_sent(struct commit *commit, bool durable)
{
	GQueue *done = commit->sent;
	struct queued_write *queued;

	commit->sent = g_queue_new();
	commit->in_flight = false;
	while ((queued = g_queue_pop_head(done)) != NULL) {
		if (queued->fn != NULL)
			queued->fn(queued->arg, durable);
		queued_write_free(queued);
	}
	g_queue_free(done);
}

static void on_committed(struct commit *commit, uint64_t version)
{
	commit->version = version;
	commit->written_state = commit->state;
	commit->lease_until_ms = commit->first_sent_ms + COMMIT_LEASE_MS;
	node_counter_add(commit->node, NODE_COMMITS, 1);
	complete_sent(commit, true);
}

static const Aps__Row *find_row(const Aps__TableReply *reply, const char *key)
{
	for (size_t i = 0; i < reply->n_rows; i++) {
		if (strcmp(reply->rows[i]->key, key) == 0)
			return reply->rows[i];
	}
	return NULL;
}

static bool queued_write_is_refused(const struct queued_write *queued,
				    const Aps__TableReply *reply)
{
	for (guint i = 0; i < queued->conditions->len; i++) {
		const Aps__Condition *c = queued->conditions->pdata[i];

		if (find_row(reply, c->key) != NULL)
			return true;
	}
	return false;
}

/* Fails the writes whose conditions do not hold; queues the others again. */
static void fail_refused(struct commit *commit, const Aps__TableReply *reply)
{
	GQueue *sent = commit->sent;
	GQueue *failed = g_queue_new();
	struct queued_write *queued;

	commit->sent = g_queue_new();
	commit->in_flight = false;
	while ((queued = g_queue_pop_tail(sent)) != NULL) {
		if (queued_write_is_refused(queued, reply))
			g_queue_push_head(failed, queued);
		else
			g_queue_push_head(commit->queue, queued);
	}
	g_queue_free(sent);
	while ((queued = g_queue_pop_head(failed)) != NULL) {
		if (queued->fn != NULL)
			queued->fn(queued->arg, false);
		queued_write_free(queued);
	}
	g_queue_free(failed);
}

static void on_refused(struct commit *commit, const Aps__TableReply *reply)
{
	const Aps__Row *row = find_row(reply, commit->row_key);
	Aps__InstanceRow *self;

	if (row == NULL) {
		fail_refused(commit, reply);
		return;
	}
	self = aps__instance_row__unpack(NULL, row->value.len, row->value.data);
	/* Whoever marks the row as dead leaves the transaction id unchanged. */
	if (self != NULL && self->txn == commit->txn &&
	    self->incarnation == commit->node->incarnation &&
	    (self->state != APS__INSTANCE_STATE__DEAD ||
	     commit->state == APS__INSTANCE_STATE__DEAD)) {
		/* An earlier attempt was committed, but its reply was lost. */
		on_committed(commit, row->version);
	} else {
		node_log(commit->node,
			 "commit: another instance took over the row");
		commit->node->fenced = true;
		commit->lease_until_ms = INT64_MIN / 2;
	}
	if (self != NULL)
		aps__instance_row__free_unpacked(self, NULL);
}

static void on_txn(void *arg, const Aps__TableReply *reply)
{
	struct commit *commit = arg;

	commit->awaiting_reply = false;
	if (reply == NULL)
		return;
	if (reply->refused)
		on_refused(commit, reply);
	else
		on_committed(commit, reply->version);
}

static void on_own_row(void *arg, const Aps__TableReply *reply)
{
	struct commit *commit = arg;

	commit->reading = false;
	if (reply == NULL)
		return;
	commit->version_known = true;
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
	node_table_request(commit->node, &request, on_own_row, commit);
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
	for (GList *l = commit->sent->head; l != NULL; l = l->next) {
		const struct queued_write *queued = l->data;

		for (guint i = 0; i < queued->conditions->len; i++)
			g_ptr_array_add(conditions,
					queued->conditions->pdata[i]);
		for (guint i = 0; i < queued->rows->len; i++)
			g_ptr_array_add(rows, queued->rows->pdata[i]);
	}
	request.op = APS__TABLE_REQUEST__OP__TXN;
	request.n_conditions = conditions->len;
	request.conditions = (Aps__Condition **)conditions->pdata;
	request.n_puts = rows->len;
	request.puts = (Aps__Row **)rows->pdata;
	commit->awaiting_reply = true;
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
	struct queued_write *queued;

	while (rows < COMMIT_ROWS_MAX &&
	       (queued = g_queue_pop_head(commit->queue)) != NULL) {
		rows += queued->rows->len;
		g_queue_push_tail(commit->sent, queued);
	}
	commit->txn = node_next_id(commit->node);
	commit->in_flight = true;
	commit->first_sent_ms = node_now_ms(commit->node);
	send_txn(commit);
}

/*
 * Commits are limited by a token bucket, one per commit_gap_ms: a single turn
 * need not wait for the interval, and a busy instance keeps to its share of the
 * platform's write capacity.
 */
static void update_credit(struct commit *commit)
{
	int64_t now = node_now_ms(commit->node);
	double added =
		(double)(now - commit->credit_ms) / commit->node->commit_gap_ms;

	commit->credit = MIN(commit->credit + added, COMMIT_CREDIT_MAX);
	commit->credit_ms = now;
}

void commit_tick(struct commit *commit)
{
	int64_t age = node_now_ms(commit->node) - commit->last_sent_ms;
	bool due;

	if (commit->awaiting_reply || commit->reading)
		return;
	if (!commit->version_known || commit->in_flight) {
		if (age < COMMIT_RETRY_MS)
			return;
		if (commit->in_flight)
			send_txn(commit);
		else
			read_own_row(commit);
		return;
	}
	update_credit(commit);
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
