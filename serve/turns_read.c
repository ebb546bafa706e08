/** @file turns_read.c @brief Reads the history of a turn in order. */
#include <string.h>

#include "slog.h"
#include "turns_int.h"

struct turns_reader {
	struct turns_turn *turn;
	turns_ready_fn *ready;
	void *arg;
	guint next;		  /* turn of the chain */
	struct hist_turn current; /* the one before that */
	uint64_t left; /* bytes of it still to be read from the store */
	GQueue pieces; /* of GBytes, read and not yet taken */
	char *from;    /* key of its next row */
	struct turns_page *page; /* being read */
};

void turns_rows_end(const char *owner, const char *turn_key, char *end)
{
	g_snprintf(end, HEAD_KEY_LEN + 2, "%s/%s0", owner, turn_key);
}

struct turns_reader *turns_reader_create(struct turns_turn *turn,
					 turns_ready_fn *ready, void *arg)
{
	struct turns_reader *reader = g_new0(struct turns_reader, 1);

	reader->turn = turn;
	reader->ready = ready;
	reader->arg = arg;
	g_queue_init(&reader->pieces);
	return reader;
}

static void free_piece(gpointer p)
{
	g_bytes_unref(p);
}

void turns_reader_destroy(struct turns_reader *reader)
{
	if (reader == NULL)
		return;
	if (reader->page != NULL)
		turns_cancel_page(reader->page);
	g_queue_clear_full(&reader->pieces, free_piece);
	g_free(reader->from);
	g_free(reader);
}

/* Takes a piece of the turn; returns false if the turn is longer than it was.
 */
static bool add_piece(struct turns_reader *reader, GBytes *piece)
{
	gsize len = g_bytes_get_size(piece);

	if (len > reader->left)
		return false;
	reader->left -= len;
	if (len > 0)
		g_queue_push_tail(&reader->pieces, g_bytes_ref(piece));
	return true;
}

static bool add_head(struct turns_reader *reader, const struct store_row *row)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);
	Rows__Turn *head = rows__turn__unpack(NULL, len, data);
	GBytes *piece;
	bool ok;

	if (head == NULL)
		return false;
	piece = g_bytes_new(head->text.data, head->text.len);
	ok = add_piece(reader, piece);
	g_bytes_unref(piece);
	rows__turn__free_unpacked(head, NULL);
	return ok;
}

/* Takes the rows of a page; returns false if they are not what was found
 * before. */
static bool add_rows(struct turns_reader *reader, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row =
			&g_array_index(rows, struct store_row, i);
		bool ok;

		if (row->value == NULL)
			return false;
		if (strlen(row->key) == HEAD_KEY_LEN)
			ok = add_head(reader, row);
		else
			ok = add_piece(reader, row->value);
		if (!ok)
			return false;
	}
	return true;
}

static void on_rows(void *arg, const struct store_response *reply)
{
	struct turns_reader *reader = arg;
	bool ok = reply->result == STORE_OK && reply->rows->len > 0 &&
		  add_rows(reader, reply->rows);
	const struct store_row *last;

	reader->page = NULL;
	if (ok && reader->left > 0) {
		last = &g_array_index(reply->rows, struct store_row,
				      reply->rows->len - 1);
		g_free(reader->from);
		reader->from = store_key_after(last->key);
	}
	if (!ok)
		slog("history_unread", NULL,
		     "\"turn\":%s,\"left\":%" G_GUINT64_FORMAT ",\"result\":%d",
		     slog_quote(reader->current.key), reader->left,
		     (int)reply->result);
	reader->ready(reader->arg, ok);
}

/* Reads the next page of the turn from the store. */
static void read_page(struct turns_reader *reader)
{
	const struct hist_turn *turn = &reader->current;
	char to[HEAD_KEY_LEN + 2];

	turns_rows_end(turn->owner, turn->key, to);
	reader->page =
		turns_read_page(reader->turn->program->turns, turn->owner,
				reader->from, to, on_rows, reader);
}

/* Goes on to the next turn; returns its text if that is in memory. */
static GBytes *next_turn(struct turns_reader *reader)
{
	struct hist_turn *turn = &reader->current;

	hist_chain_get(reader->turn->chain, reader->next++, turn);
	if (turn->text != NULL)
		return g_bytes_ref(turn->text);
	reader->left = turn->len;
	g_free(reader->from);
	reader->from = g_strdup_printf("%s/%s", turn->owner, turn->key);
	return NULL;
}

enum turns_read turns_reader_next(struct turns_reader *reader, GBytes **piece)
{
	*piece = NULL;
	if (reader->page != NULL)
		return TURNS_READ_WAIT;
	while (*piece == NULL && reader->left == 0 &&
	       g_queue_is_empty(&reader->pieces)) {
		if (reader->next == hist_chain_count(reader->turn->chain))
			return TURNS_READ_END;
		*piece = next_turn(reader);
	}
	if (*piece == NULL)
		*piece = g_queue_pop_head(&reader->pieces);
	if (*piece != NULL)
		return TURNS_READ_PIECE;
	read_page(reader);
	return TURNS_READ_WAIT;
}

bool turns_reader_is_waiting(const struct turns_reader *reader)
{
	return reader->page != NULL;
}
