/** @file turns_load.c @brief Looks for the history that a turn continues. */
#include <string.h>

#include "proto/rows.pb-c.h"
#include "slog.h"
#include "turns_int.h"

enum {
	ROUNDS_MOST = 8, /* programs that one chain passes through */
};

static void load_end(struct load *load, bool ok);

void trn_load_free(gpointer p)
{
	struct load *load = p;

	if (load->call != NULL)
		rst_cancel(load->call);
	g_free(load);
}

void trn_drop_loads(struct trn_turn *turn)
{
	g_ptr_array_set_size(turn->loads, 0);
}

/* Puts the rows of a program's turns into the history. */
static void take_turns(struct trn *trn, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct rst_row *row =
			&g_array_index(rows, struct rst_row, i);
		Rows__Turn *turn;
		GByteArray *text;
		GBytes *bytes;
		gsize len;
		const uint8_t *data;

		if (strlen(row->key) != 2 * (KEY_LEN - 1) + 1 ||
		    row->value == NULL)
			continue;
		data = g_bytes_get_data(row->value, &len);
		turn = rows__turn__unpack(NULL, len, data);
		if (turn == NULL || i + turn->pieces >= rows->len) {
			if (turn != NULL)
				rows__turn__free_unpacked(turn, NULL);
			continue;
		}
		text = g_byte_array_new();
		g_byte_array_append(text, turn->text.data,
				    (guint)turn->text.len);
		for (uint32_t k = 1; k <= turn->pieces; k++) {
			const struct rst_row *piece =
				&g_array_index(rows, struct rst_row, i + k);

			data = g_bytes_get_data(piece->value, &len);
			g_byte_array_append(text, data, (guint)len);
		}
		bytes = g_byte_array_free_to_bytes(text);
		hst_put(trn->history, row->key + KEY_LEN, turn->previous,
			bytes);
		g_bytes_unref(bytes);
		rows__turn__free_unpacked(turn, NULL);
	}
}

static void read_rows_of(struct load *load, const char *from);

static void on_program_rows(void *arg, const struct rst_answer *answer)
{
	struct load *load = arg;
	struct program *program = load->turn->program;

	load->call = NULL;
	if (answer->result != RST_OK) {
		load_end(load, false);
		return;
	}
	take_turns(program->trn, answer->rows);
	if (strcmp(load->owner, program->key) == 0 && answer->rows->len > 0) {
		const struct rst_row *row =
			&g_array_index(answer->rows, struct rst_row, 0);

		if (strcmp(row->key, program->key) == 0)
			trn_take_budget(program, row->value, row->version,
					answer->sent_at);
	}
	if (answer->more && answer->rows->len > 0) {
		const struct rst_row *row = &g_array_index(
			answer->rows, struct rst_row, answer->rows->len - 1);

		read_rows_of(load, row->key);
		return;
	}
	load_end(load, true);
}

static void read_rows_of(struct load *load, const char *from)
{
	char to[KEY_LEN + 2];
	char part[4];

	trn_part_of(load->owner, part);
	g_snprintf(to, sizeof(to), "%s0", load->owner);
	load->call = rst_get(load->turn->program->trn->store, PROGRAMS_TABLE,
			     part, from, to, on_program_rows, load);
}

static void on_index(void *arg, const struct rst_answer *answer)
{
	struct load *load = arg;

	load->call = NULL;
	if (answer->result == RST_OK && answer->rows->len > 0) {
		const struct rst_row *row =
			&g_array_index(answer->rows, struct rst_row, 0);
		gsize len;
		const char *owner = g_bytes_get_data(row->value, &len);

		if (len == KEY_LEN - 1)
			memcpy(load->turn->found, owner, len);
	}
	load_end(load, answer->result == RST_OK);
}

static struct load *load_add(struct trn_turn *turn, const char *owner)
{
	struct load *load = g_new0(struct load, 1);

	load->turn = turn;
	g_strlcpy(load->owner, owner, KEY_LEN);
	g_ptr_array_add(turn->loads, load);
	return load;
}

static void search_index(struct trn_turn *turn)
{
	char to[KEY_LEN + 2];

	turn->load = LOAD_SEARCH;
	memset(turn->found, 0, KEY_LEN);
	g_snprintf(to, sizeof(to), "%s!", turn->missing);
	for (int i = 0; i < PARTS; i++) {
		struct load *load = load_add(turn, "");
		char part[4] = {'p', "0123456789abcdef"[i], '\0'};

		load->call = rst_get(turn->program->trn->store, TURNS_TABLE,
				     part, turn->missing, to, on_index, load);
	}
}

/* All that was being read is there. */
static void loads_done(struct trn_turn *turn)
{
	if (turn->load_failed && turn->found[0] == '\0') {
		trn_verdict_is(turn, TRN_UNAVAILABLE);
		return;
	}
	turn->load_failed = false;
	if (turn->load == LOAD_SEARCH) {
		if (turn->found[0] == '\0') {
			trn_verdict_is(turn, TRN_NO_TURN);
			return;
		}
		turn->load = LOAD_OWNER;
		read_rows_of(load_add(turn, turn->found), turn->found);
		return;
	}
	trn_step(turn);
}

static void load_end(struct load *load, bool ok)
{
	struct trn_turn *turn = load->turn;

	turn->load_failed |= !ok;
	g_ptr_array_remove_fast(turn->loads, load);
	if (turn->loads->len == 0)
		loads_done(turn);
}

/* Returns true once the history is at hand. */
bool trn_load_history(struct trn_turn *turn)
{
	char *missing;

	g_byte_array_set_size(turn->history, 0);
	missing = hst_join(turn->program->trn->history, turn->previous,
			   turn->history);
	if (missing == NULL) {
		turn->load = LOAD_DONE;
		return true;
	}
	if (turn->load == LOAD_OWNER && (strcmp(missing, turn->missing) == 0 ||
					 ++turn->rounds > ROUNDS_MOST)) {
		slog("history_broken", NULL, "\"turn\":%s",
		     slog_quote(missing));
		g_free(missing);
		trn_verdict_is(turn, TRN_UNAVAILABLE);
		return false;
	}
	g_strlcpy(turn->missing, missing, KEY_LEN);
	g_free(missing);
	memset(turn->found, 0, KEY_LEN);
	if (turn->load == LOAD_NONE) {
		turn->load = LOAD_PROGRAM;
		read_rows_of(load_add(turn, turn->program->key),
			     turn->program->key);
	} else {
		search_index(turn);
	}
	return false;
}
