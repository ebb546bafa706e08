/**
 * @file turns_keep.c
 * @brief Keeps the programs that hold a turn's history from being removed.
 *
 * A turn that continues another program's either stores a copy of the history,
 * if that is short, or refers to it. The rows of that program then have to stay
 * for as long as the turn's own.
 */
#include <string.h>

#include "decide/retention.h"
#include "slog.h"
#include "turns_int.h"

enum {
	COPY_MAX_BYTES = 262144, /* of a history */
	EXTEND_TRIES_MAX = 5,
};

static void read_expiry(struct load *load);

static void on_extended(void *arg, const struct store_response *reply)
{
	struct load *load = arg;

	load->call = NULL;
	if (reply->result == STORE_CONFLICT && ++load->tries < EXTEND_TRIES_MAX)
		read_expiry(load);
	else
		turns_finish_load(load, reply->result == STORE_OK);
}

static void write_expiry(struct load *load, int64_t expires_ms, int64_t version)
{
	char part[PART_LEN];
	struct store_tx *tx;

	turns_program_part(load->owner, part);
	tx = store_tx_create(part);
	store_tx_expect(tx, EXPIRY_TABLE, load->owner, version);
	turns_put_expiry(tx, load->owner, expires_ms);
	load->call = store_tx_send(load->turn->program->turns->store, tx,
				   on_extended, load);
}

/* Returns the new expiry of a program, or 0 if it need not be extended. */
static int64_t extend(const struct load *load, const struct store_row *row)
{
	struct store *store = load->turn->program->turns->store;
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);
	Rows__Expiry *expiry = rows__expiry__unpack(NULL, len, data);
	int64_t expires_ms = expiry != NULL ? (int64_t)expiry->at_ms : 0;

	if (expiry != NULL)
		rows__expiry__free_unpacked(expiry, NULL);
	return retention_extend(
		expires_ms, store_clock_ms(store),
		MAX(RETENTION_MIN_MS, load->turn->retention_ms));
}

static void on_expiry(void *arg, const struct store_response *reply)
{
	struct load *load = arg;
	const struct store_row *row;
	int64_t expires_ms;

	load->call = NULL;
	if (reply->result != STORE_OK) {
		turns_finish_load(load, false);
		return;
	}
	/* It is removed in one transaction with the last rows of the program.
	 */
	if (reply->rows->len == 0) {
		load->turn->owner_expired = true;
		turns_finish_load(load, true);
		return;
	}
	row = &g_array_index(reply->rows, struct store_row, 0);
	expires_ms = extend(load, row);
	if (expires_ms > 0)
		write_expiry(load, expires_ms, row->version);
	else
		turns_finish_load(load, true);
}

static void read_expiry(struct load *load)
{
	char to[KEY_LEN + 2];
	char part[PART_LEN];

	turns_program_part(load->owner, part);
	g_snprintf(to, sizeof(to), "%s!", load->owner);
	load->call = store_read(load->turn->program->turns->store, EXPIRY_TABLE,
				part, load->owner, to, on_expiry, load);
}

/* Returns the other programs that hold the history. */
static GHashTable *find_owners(const struct turns_turn *turn)
{
	GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
	struct hist_turn part;

	for (guint i = 0; i < hist_chain_count(turn->chain); i++) {
		hist_chain_get(turn->chain, i, &part);
		if (strcmp(part.owner, turn->program->key) != 0)
			g_hash_table_add(owners, (gpointer)part.owner);
	}
	return owners;
}

bool turns_keep_owners(struct turns_turn *turn)
{
	GHashTable *owners;
	GHashTableIter it;
	gpointer owner;
	bool refers;

	if (turn->load_state == LOAD_KEEP)
		return false;
	owners = find_owners(turn);
	turn->copies_history = g_hash_table_size(owners) > 0 &&
			       hist_chain_is_kept(turn->chain) &&
			       hist_chain_size(turn->chain) <= COPY_MAX_BYTES;
	refers = g_hash_table_size(owners) > 0 && !turn->copies_history;
	if (refers) {
		turn->load_state = LOAD_KEEP;
		g_hash_table_iter_init(&it, owners);
		while (g_hash_table_iter_next(&it, &owner, NULL))
			read_expiry(turns_add_load(turn, owner));
	}
	g_hash_table_destroy(owners);
	return refers;
}
