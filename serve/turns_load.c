/** @file turns_load.c @brief Looks for the history that a turn continues. */
#include <string.h>

#include "clock.h"
#include "proto/rows.pb-c.h"
#include "slog.h"
#include "turns_int.h"

enum {
	ROUNDS_MOST = 8, /* programs that one chain passes through */
};

static void load_end(struct load *load, bool ok);

void turns_cancel_loads(struct turns_turn *turn)
{
	g_ptr_array_set_size(turn->loads, 0);
}

/* A text whose rows are being read: the head came, pieces are missing. */
struct partial {
	char key[KEY_LEN];
	char previous[KEY_LEN];
	GByteArray *text;
	uint32_t left; /* pieces */
};

static void partial_free(struct partial *partial)
{
	if (partial == NULL)
		return;
	g_byte_array_unref(partial->text);
	g_free(partial);
}

void turns_load_free(gpointer p)
{
	struct load *load = p;

	if (load->call != NULL)
		rst_cancel(load->call);
	partial_free(load->partial);
	g_free(load);
}

/* Puts a turn that is whole into the history. */
static void take_whole(struct load *load)
{
	struct partial *partial = load->partial;
	GBytes *text =
		g_byte_array_free_to_bytes(g_byte_array_ref(partial->text));

	hst_put(load->turn->program->turns->history, partial->key,
		partial->previous, load->owner, text, clock_boot_ms());
	g_bytes_unref(text);
	g_clear_pointer(&load->partial, partial_free);
}

static void take_head(struct load *load, const struct rst_row *row)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);
	Rows__Turn *turn = rows__turn__unpack(NULL, len, data);

	g_clear_pointer(&load->partial, partial_free);
	if (turn == NULL) {
		slog("row_unreadable", NULL, "\"table\":\"%s\",\"key\":%s",
		     PROGRAMS_TABLE, slog_quote(row->key));
		return;
	}
	load->partial = g_new0(struct partial, 1);
	g_strlcpy(load->partial->key, row->key + KEY_LEN, KEY_LEN);
	g_strlcpy(load->partial->previous, turn->previous, KEY_LEN);
	load->partial->text = g_byte_array_new();
	g_byte_array_append(load->partial->text, turn->text.data,
			    (guint)turn->text.len);
	load->partial->left = turn->pieces;
	rows__turn__free_unpacked(turn, NULL);
	if (load->partial->left == 0)
		take_whole(load);
}

/* Pieces come in order, after their head; those without one are left over
 * from a turn that was never kept. */
static void take_piece(struct load *load, const struct rst_row *row)
{
	struct partial *partial = load->partial;
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);

	if (partial == NULL ||
	    strncmp(row->key + KEY_LEN, partial->key, KEY_LEN - 1) != 0)
		return;
	g_byte_array_append(partial->text, data, (guint)len);
	if (--partial->left == 0)
		take_whole(load);
}

/* Puts the rows of a program's turns into the history. */
static void take_turns(struct load *load, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct rst_row *row =
			&g_array_index(rows, struct rst_row, i);
		size_t len = strlen(row->key);

		if (row->value == NULL)
			continue;
		if (len == HEAD_KEY_LEN)
			take_head(load, row);
		else if (len > HEAD_KEY_LEN)
			take_piece(load, row);
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
	take_turns(load, answer->rows);
	if (strcmp(load->owner, program->key) == 0 && answer->rows->len > 0) {
		const struct rst_row *row =
			&g_array_index(answer->rows, struct rst_row, 0);

		if (strcmp(row->key, program->key) == 0)
			turns_apply_budget_row(program, row->value,
					       row->version, answer->sent_at);
	}
	if (answer->more && answer->rows->len > 0) {
		const struct rst_row *row = &g_array_index(
			answer->rows, struct rst_row, answer->rows->len - 1);
		char *from = rst_key_after(row->key);

		read_rows_of(load, from);
		g_free(from);
		return;
	}
	load_end(load, true);
}

static void read_rows_of(struct load *load, const char *from)
{
	char to[KEY_LEN + 2];
	char part[PART_LEN];

	turns_program_part(load->owner, part);
	g_snprintf(to, sizeof(to), "%s0", load->owner);
	load->call = rst_get(load->turn->program->turns->store, PROGRAMS_TABLE,
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

static struct load *load_add(struct turns_turn *turn, const char *owner)
{
	struct load *load = g_new0(struct load, 1);

	load->turn = turn;
	g_strlcpy(load->owner, owner, KEY_LEN);
	g_ptr_array_add(turn->loads, load);
	return load;
}

static void search_index(struct turns_turn *turn)
{
	char to[KEY_LEN + 2];

	turn->load = LOAD_SEARCH;
	memset(turn->found, 0, KEY_LEN);
	g_snprintf(to, sizeof(to), "%s!", turn->missing);
	for (int i = 0; i < PARTS; i++) {
		struct load *load = load_add(turn, "");
		char part[PART_LEN];

		turns_account_part(turn->program->key, i, part);
		load->call = rst_get(turn->program->turns->store, TURNS_TABLE,
				     part, turn->missing, to, on_index, load);
	}
}

/* All that was being read is there. */
static void loads_done(struct turns_turn *turn)
{
	if (turn->load_failed && turn->found[0] == '\0') {
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
		return;
	}
	turn->load_failed = false;
	if (turn->load == LOAD_SEARCH) {
		if (turn->found[0] == '\0') {
			turns_report_verdict(turn, TURNS_NOT_FOUND);
			return;
		}
		turn->load = LOAD_OWNER;
		read_rows_of(load_add(turn, turn->found), turn->found);
		return;
	}
	turns_advance(turn);
}

static void load_end(struct load *load, bool ok)
{
	struct turns_turn *turn = load->turn;

	turn->load_failed |= !ok;
	g_ptr_array_remove_fast(turn->loads, load);
	if (turn->loads->len == 0)
		loads_done(turn);
}

/* Returns true once the history is at hand. */
bool turns_load_history(struct turns_turn *turn)
{
	char *missing;

	g_byte_array_set_size(turn->history, 0);
	missing = hst_join(turn->program->turns->history, turn->previous,
			   turn->program->key, clock_boot_ms(), turn->history,
			   &turn->foreign);
	if (missing == NULL) {
		turn->load = LOAD_DONE;
		return true;
	}
	if (turn->load == LOAD_OWNER && (strcmp(missing, turn->missing) == 0 ||
					 ++turn->rounds > ROUNDS_MOST)) {
		slog("history_broken", NULL, "\"turn\":%s",
		     slog_quote(missing));
		g_free(missing);
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
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
