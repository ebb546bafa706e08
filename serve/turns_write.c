/**
 * @file turns_write.c
 * @brief The transactions that store programs, and their results.
 */
#include <string.h>

#include "clock.h"
#include "decide/retention.h"
#include "proto/message.h"
#include "slog.h"
#include "stats.h"
#include "turns_int.h"

enum {
	PIECE_BYTES = 45000, /* in base64 it fits a row of 64 KiB */
	/* Pieces of 60,000 bytes in base64; a transaction may have 1 MB. */
	TX_PIECES_MAX = 14,
};

/* The row key of piece @p i after the head; keys sort by @p i. */
static void piece_key(char *out, size_t size, const struct turns_turn *turn,
		      uint32_t i)
{
	g_snprintf(out, size, "%s/%s/%04u", turn->program->key, turn->key, i);
}

static void put_head(struct store_tx *tx, const struct turns_turn *turn,
		     uint32_t pieces)
{
	gsize len;
	const uint8_t *text = g_bytes_get_data(turn->text, &len);
	Rows__Turn row = ROWS__TURN__INIT;
	uint8_t *packed;
	size_t packed_len;
	char key[2 * KEY_LEN + 8];

	row.previous = (char *)(turn->copies_history ? "" : turn->previous);
	row.text.data = (uint8_t *)text;
	row.text.len = MIN(len, PIECE_BYTES);
	row.pieces = pieces;
	row.has_length = true;
	row.length = len;
	packed = msg_pack(&row.base, &packed_len);
	g_snprintf(key, sizeof(key), "%s/%s", turn->program->key, turn->key);
	store_tx_expect(tx, TURNS_TABLE, turn->key, 0);
	store_tx_put(tx, TURNS_TABLE, turn->key, turn->program->key,
		     strlen(turn->program->key));
	store_tx_put(tx, PROGRAMS_TABLE, key, packed, packed_len);
	g_free(packed);
}

/*
 * Adds as many rows of a turn as fit. The head row is written with the last
 * piece, so a text that takes several transactions is visible as a whole or not
 * at all.
 */
static void put_turn(struct store_tx *tx, struct turns_written *written,
		     uint32_t *rows_left)
{
	const struct turns_turn *turn = written->turn;
	gsize len;
	const uint8_t *text = g_bytes_get_data(turn->text, &len);
	gsize first_len = MIN(len, PIECE_BYTES);
	uint32_t pieces =
		(uint32_t)((len - first_len + PIECE_BYTES - 1) / PIECE_BYTES);
	char key[2 * KEY_LEN + 8];

	while ((written->pieces < pieces) && (*rows_left > 0)) {
		uint32_t i = written->pieces++;
		gsize offset = first_len + (gsize)i * PIECE_BYTES;

		piece_key(key, sizeof(key), turn, i);
		store_tx_put(tx, PROGRAMS_TABLE, key, text + offset,
			     MIN(len - offset, PIECE_BYTES));
		(*rows_left)--;
	}
	if (*rows_left == 0)
		return;
	put_head(tx, turn, pieces);
	written->has_head = true;
	(*rows_left)--;
}

static void put_version(struct store_tx *tx, struct turns_written *written,
			uint32_t *rows_left)
{
	const struct turns_turn *turn = written->turn;
	char key[VERSION_KEY_LEN];

	turns_version_key(key, turn->program->key, turn->key);
	store_tx_put(tx, PROGRAMS_TABLE, key, turn->version,
		     strlen(turn->version));
	written->has_version = true;
	(*rows_left)--;
}

uint8_t *turns_pack_budget(const struct program *program, uint64_t cap,
			   size_t *len)
{
	const Rows__Program *old = program->budget_row;
	size_t n_old = old ? old->n_caps : 0;
	Rows__Program row = ROWS__PROGRAM__INIT;
	Rows__Cap own = ROWS__CAP__INIT;
	Rows__Cap **caps = g_new(Rows__Cap *, n_old + 1);
	uint8_t *packed;

	if (old != NULL)
		row.base = old->base;
	for (size_t i = 0; i < n_old; i++) {
		if (old->caps[i]->incarnation == program->incarnation)
			own = *old->caps[i];
		else
			caps[row.n_caps++] = old->caps[i];
	}
	own.incarnation = program->incarnation;
	own.tokens = (uint32_t)cap;
	caps[row.n_caps++] = &own;
	row.caps = caps;
	packed = msg_pack(&row.base, len);
	g_free(caps);
	return packed;
}

static void put_budget(struct store_tx *tx, const struct program *program,
		       uint64_t cap)
{
	size_t len;
	uint8_t *packed = turns_pack_budget(program, cap, &len);

	store_tx_expect(tx, PROGRAMS_TABLE, program->key,
			program->budget_version);
	store_tx_put(tx, PROGRAMS_TABLE, program->key, packed, len);
	g_free(packed);
}

void turns_put_expiry(struct store_tx *tx, const char *program_key,
		      int64_t expires_ms)
{
	Rows__Expiry row = ROWS__EXPIRY__INIT;
	uint8_t *packed;
	size_t len;

	row.at_ms = (uint64_t)expires_ms;
	packed = msg_pack(&row.base, &len);
	store_tx_put(tx, EXPIRY_TABLE, program_key, packed, len);
	g_free(packed);
}

/* Extends the expiry of the program's rows where it is too near; returns the
 * new one, or 0. */
static int64_t put_expiry(struct store_tx *tx, struct program *program)
{
	struct turns_turn *turn;
	int64_t keep_ms = RETENTION_MIN_MS;
	int64_t now_ms = store_clock_ms(program->turns->store);
	int64_t expires_ms;

	cds_list_for_each_entry(turn, &program->active_turns, node)
		keep_ms = MAX(keep_ms, turn->retention_ms);
	expires_ms = retention_extend(program->expires_ms, now_ms, keep_ms);
	if (expires_ms > 0)
		turns_put_expiry(tx, program->key, expires_ms);
	return expires_ms;
}

static void tx_free(struct turns_tx *tx)
{
	g_array_unref(tx->turns);
	g_free(tx);
}

/* Adds what is to be stored of a turn, as far as there is room. */
static void add_turn(struct turns_tx *tx, struct store_tx *rows,
		     struct turns_turn *turn, uint32_t *rows_left)
{
	struct turns_written written = {.turn = turn,
					.pieces = turn->pieces_committed};
	uint32_t left = *rows_left;

	if (turns_has_version_to_store(turn) && *rows_left > 0)
		put_version(rows, &written, rows_left);
	if (turn->text != NULL && *rows_left > 0)
		put_turn(rows, &written, rows_left);
	if (*rows_left < left)
		g_array_append_val(tx->turns, written);
}

/* Counts the turns that a transaction stores, and versions of streams. */
static void count_rows(const struct turns_tx *tx, guint *turns, guint *versions)
{
	*turns = 0;
	*versions = 0;
	for (guint i = 0; i < tx->turns->len; i++) {
		const struct turns_written *written =
			&g_array_index(tx->turns, struct turns_written, i);

		*turns += written->has_head;
		*versions += written->has_version;
	}
}

static void log_tx(const struct program *program, const struct turns_tx *tx,
		   const char *event, int result)
{
	guint turns;
	guint versions;

	count_rows(tx, &turns, &versions);
	slog(event, NULL,
	     "\"tx\":%" G_GUINT64_FORMAT ",\"program\":\"%s\",\"turns\":%u"
	     ",\"versions\":%u,\"budget\":%s,\"result\":%d"
	     ",\"ms\":%" G_GINT64_FORMAT,
	     tx->serial, program->key, turns, versions,
	     tx->has_budget ? "true" : "false", result,
	     clock_boot_ms() - tx->sent_ms);
}

struct turns_tx *turns_tx_send(struct program *program, uint64_t cap,
			       store_done_fn *done)
{
	struct turns *turns = program->turns;
	struct store_tx *rows = store_tx_create(program->part);
	struct turns_tx *tx = g_new0(struct turns_tx, 1);
	uint32_t rows_left = TX_PIECES_MAX;
	struct turns_turn *turn;

	tx->serial = ++turns->last_tx;
	tx->sent_ms = clock_boot_ms();
	tx->turns = g_array_new(FALSE, FALSE, sizeof(struct turns_written));
	cds_list_for_each_entry(turn, &program->active_turns, node)
		add_turn(tx, rows, turn, &rows_left);
	tx->has_budget = cap > program->budget.cap;
	tx->cap = cap;
	if (tx->has_budget)
		put_budget(rows, program, cap);
	tx->expires_ms = put_expiry(rows, program);
	tx->call = store_tx_send(turns->store, rows, done, program);
	log_tx(program, tx, "tx_sent", -1);
	return tx;
}

void turns_tx_cancel(struct program *program)
{
	if (program->tx == NULL)
		return;
	store_cancel(program->tx->call);
	g_clear_pointer(&program->tx, tx_free);
}

void turns_tx_forget(struct turns_turn *turn)
{
	const struct turns_tx *tx = turn->program->tx;

	for (guint i = 0; tx != NULL && i < tx->turns->len; i++) {
		struct turns_written *written =
			&g_array_index(tx->turns, struct turns_written, i);

		if (written->turn == turn)
			written->turn = NULL;
	}
}

static bool rows_contain_turn(const struct turns_turn *turn, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row =
			&g_array_index(rows, struct store_row, i);

		if (strcmp(row->table, TURNS_TABLE) == 0 && row->version > 0 &&
		    strcmp(row->key, turn->key) == 0)
			return true;
	}
	return false;
}

/* Takes over the budget row that a conflicting transaction returned. */
static void apply_conflict(struct program *program,
			   const struct store_response *reply)
{
	const struct store_row *budget = NULL;

	for (guint i = 0; i < reply->rows->len; i++) {
		const struct store_row *row =
			&g_array_index(reply->rows, struct store_row, i);

		if (strcmp(row->table, PROGRAMS_TABLE) == 0 &&
		    strcmp(row->key, program->key) == 0)
			budget = row;
	}
	program->budget_version = 0;
	if (budget != NULL)
		turns_apply_budget_row(program, budget->value, budget->version,
				       reply->sent_ms);
	else
		turns_apply_budget_row(program, NULL, 0, reply->sent_ms);
}

static void settle_budget_row(struct program *program,
			      const struct turns_tx *tx,
			      const struct store_response *reply)
{
	if (!tx->has_budget)
		return;
	if (reply->result == STORE_CONFLICT)
		apply_conflict(program, reply);
	if (reply->result != STORE_OK)
		return;
	program->budget_version = reply->version;
	program->budget.cap = tx->cap;
	program->budget.known = true;
	program->budget_read_ms = reply->sent_ms;
}

static void settle_version(struct turns_turn *turn, enum store_status result)
{
	turn->version_stored = result == STORE_OK;
	if (turn->version_reported || result == STORE_CONFLICT ||
	    (turn->version_needed && !turn->version_stored))
		return;
	turn->version_reported = true;
	turn->report_version = true;
}

static void settle_stored(struct turns_turn *turn, uint64_t serial)
{
	turn->stored_by = serial;
	turn->report_stored = true;
	hist_put(turn->program->turns->history, turn->key,
		 turn->copies_history ? "" : turn->previous, turn->program->key,
		 turn->text, clock_boot_ms());
	g_bytes_unref(turn->text);
	turn->text = NULL;
	stats_count(STATS_TURNS_KEPT);
}

static void settle_turn(const struct turns_tx *tx,
			const struct turns_written *written,
			const struct store_response *reply)
{
	struct turns_turn *turn = written->turn;

	if (turn == NULL)
		return;
	if (reply->result == STORE_OK)
		turn->pieces_committed = written->pieces;
	if (written->has_version)
		settle_version(turn, reply->result);
	/* A conflict may be about another row: an earlier transaction that got
	 * no response has stored the turn. */
	if (written->has_head && (reply->result == STORE_OK ||
				  (reply->result == STORE_CONFLICT &&
				   rows_contain_turn(turn, reply->rows))))
		settle_stored(turn, tx->serial);
}

void turns_tx_settle(struct program *program,
		     const struct store_response *reply)
{
	struct turns_tx *tx = g_steal_pointer(&program->tx);

	log_tx(program, tx, "tx_settled", (int)reply->result);
	settle_budget_row(program, tx, reply);
	if (reply->result == STORE_OK) {
		program->expires_ms = MAX(program->expires_ms, tx->expires_ms);
		stats_observe(STATS_COMMIT, clock_boot_ms() - tx->sent_ms);
	}
	if (reply->result == STORE_CONFLICT)
		stats_count(STATS_STORE_CONFLICTS);
	for (guint i = 0; i < tx->turns->len; i++)
		settle_turn(tx,
			    &g_array_index(tx->turns, struct turns_written, i),
			    reply);
	tx_free(tx);
}
