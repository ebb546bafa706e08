/** @file turns_write.c @brief Builds the transactions that store programs. */
#include <string.h>

#include "decide/retention.h"
#include "proto/message.h"
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

static void put_head(struct store_tx *tx, struct turns_turn *turn,
		     uint32_t pieces)
{
	gsize len;
	const uint8_t *text = g_bytes_get_data(turn->text, &len);
	Rows__Turn row = ROWS__TURN__INIT;
	uint8_t *packed;
	size_t packed_len;
	char key[2 * KEY_LEN + 8];

	row.previous = turn->copies_history ? (char *)"" : turn->previous;
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
static void put_turn(struct store_tx *tx, struct turns_turn *turn,
		     uint32_t *rows_left)
{
	gsize len;
	const uint8_t *text = g_bytes_get_data(turn->text, &len);
	gsize first_len = MIN(len, PIECE_BYTES);
	uint32_t pieces =
		(uint32_t)((len - first_len + PIECE_BYTES - 1) / PIECE_BYTES);
	char key[2 * KEY_LEN + 8];

	while ((turn->pieces_sent < pieces) && (*rows_left > 0)) {
		uint32_t i = turn->pieces_sent++;
		gsize offset = first_len + (gsize)i * PIECE_BYTES;

		piece_key(key, sizeof(key), turn, i);
		store_tx_put(tx, PROGRAMS_TABLE, key, text + offset,
			     MIN(len - offset, PIECE_BYTES));
		(*rows_left)--;
	}
	if (*rows_left == 0)
		return;
	put_head(tx, turn, pieces);
	turn->writing = true;
	(*rows_left)--;
}

static void put_version(struct store_tx *tx, struct turns_turn *turn,
			uint32_t *rows_left)
{
	char key[VERSION_KEY_LEN];

	turns_version_key(key, turn->program->key, turn->key);
	store_tx_put(tx, PROGRAMS_TABLE, key, turn->version,
		     strlen(turn->version));
	turn->writing_version = true;
	(*rows_left)--;
}

uint8_t *turns_pack_budget(const struct program *program, size_t *len)
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
	own.tokens = (uint32_t)program->writing_cap;
	caps[row.n_caps++] = &own;
	row.caps = caps;
	packed = msg_pack(&row.base, len);
	g_free(caps);
	return packed;
}

static void put_budget(struct store_tx *tx, struct program *program)
{
	size_t len;
	uint8_t *packed = turns_pack_budget(program, &len);

	store_tx_expect(tx, PROGRAMS_TABLE, program->key,
			program->budget_version);
	store_tx_put(tx, PROGRAMS_TABLE, program->key, packed, len);
	g_free(packed);
}

/* Extends the expiry of the program's rows where it is too near. */
static void put_expiry(struct store_tx *tx, struct program *program)
{
	Rows__Expiry row = ROWS__EXPIRY__INIT;
	struct turns_turn *turn;
	int64_t keep_ms = RETENTION_MIN_MS;
	int64_t now_ms = store_clock_ms(program->turns->store);
	int64_t expires_ms;
	uint8_t *packed;
	size_t len;

	cds_list_for_each_entry(turn, &program->active_turns, node)
		keep_ms = MAX(keep_ms, turn->retention_ms);
	expires_ms = retention_extend(program->expires_ms, now_ms, keep_ms);
	program->writing_expires_ms = expires_ms;
	if (expires_ms == 0)
		return;
	row.at_ms = (uint64_t)expires_ms;
	packed = msg_pack(&row.base, &len);
	store_tx_put(tx, EXPIRY_TABLE, program->key, packed, len);
	g_free(packed);
}

struct store_tx *turns_build_tx(struct program *program, uint64_t cap)
{
	struct store_tx *tx = store_tx_create(program->part);
	uint32_t rows_left = TX_PIECES_MAX;
	struct turns_turn *turn;

	cds_list_for_each_entry(turn, &program->active_turns, node) {
		if (turns_has_version_to_store(turn) && rows_left > 0)
			put_version(tx, turn, &rows_left);
		if (turn->text != NULL && rows_left > 0)
			put_turn(tx, turn, &rows_left);
	}
	program->writing_budget = cap > program->budget.cap;
	program->writing_cap = cap;
	if (program->writing_budget)
		put_budget(tx, program);
	put_expiry(tx, program);
	return tx;
}
