/** @file crash_rows.c @brief Marks of crashing requests, in the store. */
#include "crash_rows.h"
#include "clock.h"
#include "decide/rng.h"
#include "follow.h"
#include "platform/wire.h"
#include "proto/rows.pb-c.h"
#include "slog.h"

#define CRASHES_TABLE "aps-crashes"

enum {
	POLL_MS = 25000,      /* while nothing crashes */
	POLL_PAUSE_MS = 2000, /* datagrams bring most marks sooner */
	POLL_RETRY_MS = 500,
	PUT_DELAY_MS = 100,  /* many marks are disproved or cleared by then */
	SEND_RETRY_MS = 500, /* after the store did not take a transaction */
	TX_ROWS_MAX = 50,
	KEY_LEN = 64,
	ROWS_MAX = 8192,
};

/* A row, as it is in the store or is to be. */
struct row {
	struct suspect_mark mark;
	char *server;
	bool stored;	/* it may be in the store */
	bool seen;	/* by the present read of the table */
	bool own;	/* this instance wrote it */
	bool wanted;	/* it is to be in the store */
	int64_t due_ms; /* of the next write; 0: none */
	bool sent;	/* by the call in progress, as sent_wanted says */
	bool sent_wanted;
};

struct crash_rows {
	struct store *store;
	struct crash_rows_handler handler;
	struct follow *follow;
	GHashTable *rows; /* key -> struct row */
	struct store_call *call;
	int64_t retry_ms;     /* no transaction before */
	int64_t recovered_ms; /* when the store was last back */
};

static void row_free(gpointer p)
{
	struct row *row = p;

	g_free(row->server);
	g_free(row);
}

static void make_key(char *key, const struct suspect_mark *mark)
{
	g_snprintf(key, KEY_LEN,
		   "%016" G_GINT64_MODIFIER "x/%016" G_GINT64_MODIFIER
		   "x/%" G_GINT64_FORMAT,
		   mark->fingerprint, rng_hash(mark->server), mark->started_ms);
}

static struct row *find_row(const struct crash_rows *rows,
			    const struct suspect_mark *mark)
{
	char key[KEY_LEN];

	make_key(key, mark);
	return g_hash_table_lookup(rows->rows, key);
}

/* Returns the row of a mark, which it adds if there is room; else NULL. */
static struct row *get_row(struct crash_rows *rows,
			   const struct suspect_mark *mark)
{
	struct row *row = find_row(rows, mark);
	char key[KEY_LEN];

	if (row != NULL || g_hash_table_size(rows->rows) >= ROWS_MAX)
		return row;
	make_key(key, mark);
	row = g_new0(struct row, 1);
	row->mark = *mark;
	row->server = g_strdup(mark->server);
	row->mark.server = row->server;
	g_hash_table_insert(rows->rows, g_strdup(key), row);
	return row;
}

void crash_rows_put(struct crash_rows *rows, const struct suspect_mark *mark)
{
	struct row *row = get_row(rows, mark);

	if (row == NULL || row->wanted)
		return;
	row->mark.evidence = mark->evidence;
	row->wanted = true;
	row->due_ms = clock_boot_ms() + PUT_DELAY_MS;
}

static void unwant_row(struct row *row)
{
	row->wanted = false;
	row->due_ms = clock_boot_ms();
}

void crash_rows_remove(struct crash_rows *rows, const struct suspect_mark *mark)
{
	struct row *row = find_row(rows, mark);

	if (row != NULL)
		unwant_row(row);
}

void crash_rows_withdraw(struct crash_rows *rows,
			 const struct suspect_mark *mark)
{
	struct row *row = find_row(rows, mark);

	if (row != NULL && (row->own || !row->stored))
		unwant_row(row);
}

static void add_put(struct store_tx *tx, const char *key, const struct row *row,
		    int64_t store_now_ms)
{
	int64_t age_ms = clock_boot_ms() - row->mark.ended_ms;
	Rows__Crash message = ROWS__CRASH__INIT;
	uint8_t *bytes;
	size_t len;

	message.fingerprint = row->mark.fingerprint;
	message.server = row->server;
	message.started_ms = (uint64_t)row->mark.started_ms;
	message.ended_ms = (uint64_t)(store_now_ms - age_ms);
	message.confirmed = row->mark.evidence == SUSPECT_CRASHED;
	len = rows__crash__get_packed_size(&message);
	bytes = g_malloc(len);
	rows__crash__pack(&message, bytes);
	store_tx_put(tx, CRASHES_TABLE, key, bytes, len);
	g_free(bytes);
}

/* Applies the result of the transaction; returns whether to forget the row. */
static gboolean on_row_written(gpointer key, gpointer value, gpointer result)
{
	enum store_status status = *(enum store_status *)result;
	struct row *row = value;

	(void)key;
	if (!row->sent)
		return FALSE;
	row->sent = false;
	if (status != STORE_OK) {
		row->stored |= row->sent_wanted && status == STORE_UNKNOWN;
		return FALSE;
	}
	row->stored = row->sent_wanted;
	row->own = row->sent_wanted;
	if (row->wanted != row->sent_wanted)
		return FALSE;
	row->due_ms = 0;
	return !row->wanted;
}

static void on_written(void *arg, const struct store_response *reply)
{
	struct crash_rows *rows = arg;
	enum store_status status = reply->result;

	rows->call = NULL;
	if (status != STORE_OK)
		rows->retry_ms = clock_boot_ms() + SEND_RETRY_MS;
	g_hash_table_foreach_remove(rows->rows, on_row_written, &status);
}

static void add_row(struct store_tx *tx, const char *key, struct row *row,
		    int64_t store_now_ms)
{
	if (row->wanted)
		add_put(tx, key, row, store_now_ms);
	else
		store_tx_remove(tx, CRASHES_TABLE, key);
	row->sent = true;
	row->sent_wanted = row->wanted;
}

/* Writes the rows that are due. */
static void send_due(struct crash_rows *rows)
{
	int64_t now_ms = clock_boot_ms();
	int64_t store_now_ms = store_clock_ms(rows->store);
	struct store_tx *tx = NULL;
	GHashTableIter it;
	gpointer key;
	gpointer value;
	guint count = 0;

	if (rows->call != NULL || store_now_ms == 0 || now_ms < rows->retry_ms)
		return;
	g_hash_table_iter_init(&it, rows->rows);
	while (count < TX_ROWS_MAX &&
	       g_hash_table_iter_next(&it, &key, &value)) {
		struct row *row = value;

		if (row->due_ms == 0 || row->due_ms > now_ms)
			continue;
		if (!row->wanted && !row->stored) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (tx == NULL)
			tx = store_tx_create("");
		add_row(tx, key, row, store_now_ms);
		count++;
	}
	if (tx != NULL)
		rows->call = store_tx_send(rows->store, tx, on_written, rows);
}

static void remove_expired(struct crash_rows *rows,
			   const struct members *members)
{
	int64_t now_ms = clock_boot_ms();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, rows->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct row *row = value;

		if (row->due_ms != 0 ||
		    now_ms - row->mark.ended_ms <= SUSPECT_MARK_MAX_MS)
			continue;
		if (!members_is_responsible(members, CRASHES_TABLE))
			return;
		unwant_row(row);
	}
}

void crash_rows_tick(struct crash_rows *rows, const struct members *members)
{
	int64_t recovered_ms =
		store_recovered_ms(rows->store, WIRE_TABLE_OPERATORS);

	if (recovered_ms != rows->recovered_ms)
		follow_renew(rows->follow);
	rows->recovered_ms = recovered_ms;
	if (g_hash_table_size(rows->rows) == 0)
		return;
	if (members != NULL)
		remove_expired(rows, members);
	send_due(rows);
}

/* Somebody removed a row. */
static void on_row_removed(struct crash_rows *rows, const char *key)
{
	struct row *row = g_hash_table_lookup(rows->rows, key);

	if (row == NULL)
		return;
	rows->handler.on_removed(rows->handler.arg, &row->mark);
	g_hash_table_remove(rows->rows, key);
}

static void on_row(void *arg, const struct store_row *stored)
{
	struct crash_rows *rows = arg;
	struct suspect_mark mark;
	Rows__Crash *message;
	struct row *row;
	const void *bytes;
	gsize len;

	if (stored->value == NULL) {
		on_row_removed(rows, stored->key);
		return;
	}
	bytes = g_bytes_get_data(stored->value, &len);
	message = rows__crash__unpack(NULL, len, bytes);
	if (message == NULL) {
		slog("crash_unreadable", NULL, "\"key\":%s",
		     slog_quote(stored->key));
		return;
	}
	mark = (struct suspect_mark){
		.fingerprint = message->fingerprint,
		.server = message->server,
		.started_ms = (int64_t)message->started_ms,
		.ended_ms = clock_boot_ms() - (store_clock_ms(rows->store) -
					       (int64_t)message->ended_ms),
		.evidence =
			message->confirmed ? SUSPECT_CRASHED : SUSPECT_BROKEN,
	};
	row = get_row(rows, &mark);
	if (row != NULL) {
		row->stored = true;
		row->seen = true;
		row->wanted |= row->due_ms == 0;
	}
	rows->handler.on_mark(rows->handler.arg, &mark);
	rows__crash__free_unpacked(message, NULL);
}

static void on_begin(void *arg)
{
	struct crash_rows *rows = arg;
	GHashTableIter it;
	gpointer row;

	g_hash_table_iter_init(&it, rows->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		((struct row *)row)->seen = false;
}

/* The table was read: rows that it does not have were removed unseen. */
static void on_read(void *arg)
{
	struct crash_rows *rows = arg;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, rows->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct row *row = value;

		if (row->seen || !row->stored || row->due_ms != 0)
			continue;
		rows->handler.on_removed(rows->handler.arg, &row->mark);
		g_hash_table_iter_remove(&it);
	}
}

struct crash_rows *crash_rows_create(struct event_base *base,
				     struct store *store,
				     const struct crash_rows_handler *handler)
{
	struct crash_rows *rows = g_new0(struct crash_rows, 1);
	struct follow_config config = {
		.base = base,
		.store = store,
		.table = CRASHES_TABLE,
		.poll_ms = POLL_MS,
		.pause_ms = POLL_PAUSE_MS,
		.retry_ms = POLL_RETRY_MS,
		.on_begin = on_begin,
		.on_row = on_row,
		.on_read = on_read,
		.arg = rows,
	};

	rows->store = store;
	rows->handler = *handler;
	rows->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   row_free);
	rows->follow = follow_create(&config);
	return rows;
}

void crash_rows_destroy(struct crash_rows *rows)
{
	if (rows == NULL)
		return;
	follow_destroy(rows->follow);
	if (rows->call != NULL)
		store_cancel(rows->call);
	g_hash_table_destroy(rows->rows);
	g_free(rows);
}
