/** @file turns_write.c @brief Puts the rows of programs into transactions. */
#include <string.h>

#include "decide/retention.h"
#include "proto/message.h"
#include "proto/rows.pb-c.h"
#include "turns_int.h"

enum {
	PIECE_BYTES = 45000, /* fits a row of 64 KiB in base64 */
	TX_PIECES = 14,	     /* of 60,000 bytes each; a call takes 1 MB */
};

/* The key of a further piece of a turn's text; in order of @p i. */
static void piece_key(char *out, size_t size, const struct turns_turn *turn,
		      uint32_t i)
{
	g_snprintf(out, size, "%s/%s/%04u", turn->program->key, turn->key, i);
}

static void put_head(struct rst_tx *tx, struct turns_turn *turn,
		     const uint8_t *text, gsize len, uint32_t pieces)
{
	Rows__Turn row = ROWS__TURN__INIT;
	uint8_t *packed;
	size_t packed_len;
	char key[2 * KEY_LEN + 8];

	row.previous = turn->foreign ? (char *)"" : turn->previous;
	row.text.data = (uint8_t *)text;
	row.text.len = len;
	row.pieces = pieces;
	packed = msg_pack(&row.base, &packed_len);
	g_snprintf(key, sizeof(key), "%s/%s", turn->program->key, turn->key);
	rst_tx_expect(tx, TURNS_TABLE, turn->key, 0);
	rst_tx_put(tx, TURNS_TABLE, turn->key, turn->program->key,
		   strlen(turn->program->key));
	rst_tx_put(tx, PROGRAMS_TABLE, key, packed, packed_len);
	g_free(packed);
}

/*
 * Puts as much of a turn as fits. The row that makes it a turn comes with the
 * last piece, so a text of several transactions is there as a whole or not at
 * all.
 */
static void put_turn(struct rst_tx *tx, struct turns_turn *turn, uint32_t *room)
{
	gsize len;
	const uint8_t *text = g_bytes_get_data(turn->text, &len);
	gsize first = MIN(len, PIECE_BYTES);
	uint32_t pieces =
		(uint32_t)((len - first + PIECE_BYTES - 1) / PIECE_BYTES);
	char key[2 * KEY_LEN + 8];

	while (turn->pieces_sent<pieces && * room> 0) {
		uint32_t i = turn->pieces_sent++;
		gsize at = first + (gsize)i * PIECE_BYTES;

		piece_key(key, sizeof(key), turn, i);
		rst_tx_put(tx, PROGRAMS_TABLE, key, text + at,
			   MIN(len - at, PIECE_BYTES));
		(*room)--;
	}
	if (*room == 0)
		return;
	put_head(tx, turn, text, first, pieces);
	turn->writing = true;
	(*room)--;
}

static void put_budget(struct rst_tx *tx, struct program *program)
{
	Rows__Program row = ROWS__PROGRAM__INIT;
	guint n = program->others->len + 1;
	Rows__Cap *caps = g_new(Rows__Cap, n);
	Rows__Cap **list = g_new(Rows__Cap *, n);
	uint8_t *packed;
	size_t len;

	for (guint i = 0; i < n; i++) {
		rows__cap__init(&caps[i]);
		list[i] = &caps[i];
		if (i == n - 1)
			break;
		caps[i].incarnation =
			g_array_index(program->others, struct cap, i)
				.incarnation;
		caps[i].tokens =
			g_array_index(program->others, struct cap, i).tokens;
	}
	caps[n - 1].incarnation = program->turns->incarnation;
	caps[n - 1].tokens = (uint32_t)program->writing_cap;
	row.n_caps = n;
	row.caps = list;
	packed = msg_pack(&row.base, &len);
	rst_tx_expect(tx, PROGRAMS_TABLE, program->key, program->version);
	rst_tx_put(tx, PROGRAMS_TABLE, program->key, packed, len);
	g_free(packed);
	g_free(list);
	g_free(caps);
}

/* Says until when the rows are kept, unless that is far enough off. */
static void put_expiry(struct rst_tx *tx, struct program *program)
{
	Rows__Expiry row = ROWS__EXPIRY__INIT;
	struct turns_turn *turn;
	int64_t keep_ms = KEEP_LEAST_MS;
	int64_t now = rst_now(program->turns->store);
	int64_t expires_at;
	uint8_t *packed;
	size_t len;

	cds_list_for_each_entry(turn, &program->active_turns, node)
		keep_ms = MAX(keep_ms, turn->retention_ms);
	expires_at = ret_extend(program->expires_at, now, keep_ms);
	program->writing_expiry = expires_at;
	if (expires_at == 0)
		return;
	row.at_ms = (uint64_t)expires_at;
	packed = msg_pack(&row.base, &len);
	rst_tx_put(tx, EXPIRY_TABLE, program->key, packed, len);
	g_free(packed);
}

struct rst_tx *turns_build_tx(struct program *program, uint64_t cap)
{
	struct rst_tx *tx = rst_tx_create(program->part);
	uint32_t room = TX_PIECES;
	struct turns_turn *turn;

	cds_list_for_each_entry(turn, &program->active_turns, node) {
		if (turn->text != NULL && room > 0)
			put_turn(tx, turn, &room);
	}
	program->writing_row = cap > program->bgt.cap;
	program->writing_cap = cap;
	if (program->writing_row)
		put_budget(tx, program);
	put_expiry(tx, program);
	return tx;
}
