/** @file turns_load.c @brief Loads the history that a turn continues. */
#include <string.h>

#include "clock.h"
#include "slog.h"
#include "turns_int.h"

/* The head of a turn has been read; further pieces of its text are missing. */
struct partial_turn {
	struct hist *history;
	char key[KEY_LEN];
	char previous[KEY_LEN];
	GByteArray *text;  /* NULL: there is no room for it */
	uint64_t reserved; /* in the history, for the text */
	uint64_t len;	   /* of the text as far as it has been read */
	uint64_t total;	   /* of the whole text; 0: unknown */
	uint32_t missing_pieces;
};

static void drop_text(struct partial_turn *partial)
{
	hist_release(partial->history, partial->reserved);
	partial->reserved = 0;
	g_clear_pointer(&partial->text, g_byte_array_unref);
}

static void partial_free(struct partial_turn *partial)
{
	if (partial == NULL)
		return;
	drop_text(partial);
	g_free(partial);
}

/* Lets the loads go on that wait for this one, from the event loop. */
static void release_waiting(struct load *load)
{
	struct turns *turns = load->turn->program->turns;
	struct load *other;
	struct load *next;

	if (g_hash_table_lookup(turns->owner_loads, load->owner) != load)
		return;
	g_hash_table_remove(turns->owner_loads, load->owner);
	cds_list_for_each_entry_safe(other, next, &load->waiting,
				     waiting_node) {
		other->failed = load->failed;
		cds_list_del(&other->waiting_node);
		cds_list_add_tail(&other->waiting_node, &turns->ready_loads);
		event_active(turns->ready_event, 0, 0);
	}
}

void turns_load_free(gpointer p)
{
	struct load *load = p;

	release_waiting(load);
	if (load->waits)
		cds_list_del(&load->waiting_node);
	if (load->call != NULL)
		store_cancel(load->call);
	if (load->page != NULL)
		turns_cancel_page(load->page);
	partial_free(load->partial);
	g_free(load);
}

/* Reserves room for the text up to @p len bytes, or drops it. */
static void reserve(struct partial_turn *partial, uint64_t len)
{
	uint64_t more;

	if (partial->text == NULL || len <= partial->reserved)
		return;
	more = len - partial->reserved;
	if (hist_reserve(partial->history, more))
		partial->reserved += more;
	else
		drop_text(partial);
}

static void append(struct partial_turn *partial, const uint8_t *data,
		   size_t len)
{
	partial->len += len;
	reserve(partial, partial->len);
	if (partial->text != NULL)
		g_byte_array_append(partial->text, data, (guint)len);
}

/* Adds a turn of known length to the chain that is loaded. */
static void add_turn(struct load *load)
{
	struct partial_turn *partial = load->partial;
	GBytes *text = NULL;

	if (partial->text != NULL)
		text = g_byte_array_free_to_bytes(
			g_steal_pointer(&partial->text));
	/* The chain counts what it keeps. */
	hist_release(partial->history, partial->reserved);
	partial->reserved = 0;
	hist_chain_add(load->turn->chain, partial->key, partial->previous,
		       load->owner, text, MAX(partial->len, partial->total),
		       clock_boot_ms());
	if (text != NULL)
		g_bytes_unref(text);
	g_clear_pointer(&load->partial, partial_free);
}

static void parse_head_row(struct load *load, const struct store_row *row)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);
	Rows__Turn *head = rows__turn__unpack(NULL, len, data);
	struct partial_turn *partial;

	g_clear_pointer(&load->partial, partial_free);
	if (head == NULL) {
		slog("row_unreadable", NULL, "\"table\":\"%s\",\"key\":%s",
		     PROGRAMS_TABLE, slog_quote(row->key));
		return;
	}
	partial = g_new0(struct partial_turn, 1);
	load->partial = partial;
	partial->history = load->turn->program->turns->history;
	g_strlcpy(partial->key, row->key + KEY_LEN, KEY_LEN);
	g_strlcpy(partial->previous, head->previous, KEY_LEN);
	partial->total = head->length;
	partial->missing_pieces = head->pieces;
	partial->text = g_byte_array_new();
	reserve(partial, partial->total);
	append(partial, head->text.data, head->text.len);
	rows__turn__free_unpacked(head, NULL);
	if (partial->missing_pieces == 0)
		add_turn(load);
}

/* Pieces follow their head in key order; pieces without a head belong to a turn
 * that was never committed. */
static void parse_piece_row(struct load *load, const struct store_row *row)
{
	struct partial_turn *partial = load->partial;
	gsize len;
	const uint8_t *data = g_bytes_get_data(row->value, &len);

	if (partial == NULL ||
	    strncmp(row->key + KEY_LEN, partial->key, KEY_LEN - 1) != 0)
		return;
	append(partial, data, len);
	if (--partial->missing_pieces == 0)
		add_turn(load);
}

/* Adds the turns of a program from their rows. */
static void parse_turn_rows(struct load *load, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row =
			&g_array_index(rows, struct store_row, i);
		size_t len = strlen(row->key);

		if (row->value == NULL)
			continue;
		if (len == HEAD_KEY_LEN)
			parse_head_row(load, row);
		else if (len > HEAD_KEY_LEN)
			parse_piece_row(load, row);
	}
}

/* Returns the key at which to go on after a page. The pieces of a turn that
 * ends on a later page are left out if there is no room for them. */
static char *next_key(struct load *load, const struct store_response *reply)
{
	const struct partial_turn *partial = load->partial;
	const struct store_row *last = &g_array_index(
		reply->rows, struct store_row, reply->rows->len - 1);
	char to[HEAD_KEY_LEN + 2];

	if (partial == NULL || partial->text != NULL || partial->total == 0)
		return store_key_after(last->key);
	turns_rows_end(load->owner, partial->key, to);
	add_turn(load);
	return g_strdup(to);
}

/* Whether further rows of a program are needed. */
static bool needs_more(const struct turns_turn *turn)
{
	return hist_chain_missing(turn->chain) != NULL ||
	       (turn->load_state == LOAD_TEXTS &&
		!hist_chain_is_kept(turn->chain));
}

/* Reads the rows of a program from @p from on: its key, or that of a further
 * page. */
static void read_program(struct load *load, const char *from);

static void on_program_rows(void *arg, const struct store_response *reply)
{
	struct load *load = arg;
	struct program *program = load->turn->program;
	char *from = NULL;

	load->call = NULL;
	load->page = NULL;
	if (reply->result != STORE_OK) {
		turns_finish_load(load, false);
		return;
	}
	parse_turn_rows(load, reply->rows);
	if (strcmp(load->owner, program->key) == 0 && reply->rows->len > 0) {
		const struct store_row *row =
			&g_array_index(reply->rows, struct store_row, 0);

		if (strcmp(row->key, program->key) == 0)
			turns_apply_budget_row(program, row->value,
					       row->version, reply->sent_ms);
	}
	if (reply->more && reply->rows->len > 0)
		from = next_key(load, reply);
	if (from != NULL && needs_more(load->turn))
		read_program(load, from);
	else
		turns_finish_load(load, true);
	g_free(from);
}

static void read_program(struct load *load, const char *from)
{
	struct turns *turns = load->turn->program->turns;
	char to[KEY_LEN + 2];
	char part[PART_LEN];

	turns_program_part(load->owner, part);
	g_snprintf(to, sizeof(to), "%s0", load->owner);
	if (from == load->owner)
		load->call = store_read(turns->store, PROGRAMS_TABLE, part,
					from, to, on_program_rows, load);
	else
		load->page = turns_read_page(turns, load->owner, from, to,
					     on_program_rows, load);
}

static void on_index(void *arg, const struct store_response *reply)
{
	struct load *load = arg;

	load->call = NULL;
	if (reply->result == STORE_OK && reply->rows->len > 0) {
		const struct store_row *row =
			&g_array_index(reply->rows, struct store_row, 0);
		gsize len;
		const char *owner = g_bytes_get_data(row->value, &len);

		if (len == KEY_LEN - 1)
			memcpy(load->turn->found_owner, owner, len);
	}
	turns_finish_load(load, reply->result == STORE_OK);
}

struct load *turns_add_load(struct turns_turn *turn, const char *owner)
{
	struct load *load = g_new0(struct load, 1);

	load->turn = turn;
	CDS_INIT_LIST_HEAD(&load->waiting);
	g_strlcpy(load->owner, owner, KEY_LEN);
	g_ptr_array_add(turn->loads, load);
	return load;
}

/* Reads the rows of a program. */
static void read_owner(struct turns_turn *turn, const char *owner)
{
	struct load *load = turns_add_load(turn, owner);

	read_program(load, load->owner);
}

/* Reads the rows of another program, or waits for a load that does so: many
 * programs may continue one turn at once. */
static void share_read(struct load *load)
{
	GHashTable *loads = load->turn->program->turns->owner_loads;
	struct load *other = g_hash_table_lookup(loads, load->owner);

	load->waits = other != NULL;
	if (other != NULL) {
		cds_list_add_tail(&load->waiting_node, &other->waiting);
		return;
	}
	g_hash_table_insert(loads, load->owner, load);
	read_program(load, load->owner);
}

/* Goes on with the loads that have waited: what they need is in memory now, or
 * they read it. */
static void on_ready(evutil_socket_t fd, short what, void *arg)
{
	struct turns *turns = arg;
	struct load *load;

	(void)fd;
	(void)what;
	while (!cds_list_empty(&turns->ready_loads)) {
		load = cds_list_first_entry(&turns->ready_loads, struct load,
					    waiting_node);
		cds_list_del(&load->waiting_node);
		load->waits = false;
		hist_chain_extend(load->turn->chain, clock_boot_ms());
		if (load->failed ||
		    hist_chain_missing(load->turn->chain) == NULL)
			turns_finish_load(load, !load->failed);
		else
			share_read(load);
	}
}

void turns_init_loads(struct turns *turns)
{
	turns->owner_loads = g_hash_table_new(g_str_hash, g_str_equal);
	CDS_INIT_LIST_HEAD(&turns->ready_loads);
	turns->ready_event = event_new(turns->base, -1, 0, on_ready, turns);
}

void turns_fini_loads(struct turns *turns)
{
	event_free(turns->ready_event);
	g_hash_table_destroy(turns->owner_loads);
}

/* Searches the index for the program that holds the missing turn. */
static void search_index(struct turns_turn *turn)
{
	char to[KEY_LEN + 2];

	turn->load_state = LOAD_SEARCH;
	memset(turn->found_owner, 0, KEY_LEN);
	g_strlcpy(turn->searched_turn, hist_chain_missing(turn->chain),
		  KEY_LEN);
	g_snprintf(to, sizeof(to), "%s!", turn->searched_turn);
	for (int i = 0; i < ACCOUNT_PARTS; i++) {
		struct load *load = turns_add_load(turn, "");
		char part[PART_LEN];

		turns_account_part(turn->program->key, i, part);
		load->call = store_read(turn->program->turns->store,
					TURNS_TABLE, part, turn->searched_turn,
					to, on_index, load);
	}
}

/* The store can't be read: waits for it, or gives up. */
static void on_load_failed(struct turns_turn *turn)
{
	turn->load_failed = false;
	turn->load_state = LOAD_NONE;
	turn->texts_read = false;
	if (!turns_stall(turn))
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
}

/* Goes on after the last of the current reads has ended. */
static void on_loads_ended(struct turns_turn *turn)
{
	bool found =
		turn->load_state == LOAD_SEARCH && turn->found_owner[0] != '\0';

	if (turn->load_failed && !found) {
		on_load_failed(turn);
		return;
	}
	turn->load_failed = false;
	if (turn->owner_expired ||
	    (turn->load_state == LOAD_SEARCH && !found)) {
		turns_report_verdict(turn, TURNS_NOT_FOUND);
		return;
	}
	if (found) {
		turn->load_state = LOAD_OWNER;
		share_read(turns_add_load(turn, turn->found_owner));
		return;
	}
	turns_advance(turn);
}

void turns_finish_load(struct load *load, bool ok)
{
	struct turns_turn *turn = load->turn;

	load->failed = !ok;
	turn->load_failed |= !ok;
	g_ptr_array_remove_fast(turn->loads, load);
	if (turn->loads->len == 0)
		on_loads_ended(turn);
}

/* The rows of the history are incomplete. */
static void give_up(struct turns_turn *turn)
{
	slog("history_broken", NULL, "\"turn\":%s",
	     slog_quote(hist_chain_missing(turn->chain)));
	turns_report_verdict(turn, TURNS_UNAVAILABLE);
}

/* Reads on, until no turn of the chain is missing. */
static void load_missing(struct turns_turn *turn)
{
	const char *missing = hist_chain_missing(turn->chain);
	const char *own = turn->program->key;

	switch (turn->load_state) {
	case LOAD_NONE:
		turn->load_state = LOAD_PROGRAM;
		read_owner(turn, own);
		break;
	case LOAD_OWNER:
		if (strcmp(turn->searched_turn, missing) == 0) {
			give_up(turn);
			break;
		}
		/* fall through */
	case LOAD_PROGRAM:
		if (hist_chain_has_seen(turn->chain, missing))
			give_up(turn);
		else
			search_index(turn);
		break;
	case LOAD_SEARCH: /* ends in LOAD_OWNER or a verdict */
	case LOAD_TEXTS:
	case LOAD_KEEP:
	case LOAD_DONE:
		break;
	}
}

static void open_chain(struct turns_turn *turn)
{
	if (turn->chain == NULL)
		turn->chain =
			hist_chain_create(turn->program->turns->history,
					  turn->previous, clock_boot_ms());
}

bool turns_has_history(struct turns_turn *turn)
{
	if (turn->previous[0] == '\0')
		return true;
	open_chain(turn);
	return hist_chain_missing(turn->chain) == NULL &&
	       hist_chain_is_kept(turn->chain);
}

/* Reads the rows of a program again, once: it was not known before that the
 * texts of its turns would be needed. Returns false if there is no need. */
static bool load_texts(struct turns_turn *turn)
{
	const char *owner = hist_chain_fits(turn->chain);

	if (turn->texts_read || owner == NULL)
		return false;
	turn->texts_read = true;
	turn->load_state = LOAD_TEXTS;
	read_owner(turn, owner);
	return true;
}

bool turns_load_history(struct turns_turn *turn)
{
	open_chain(turn);
	if (hist_chain_missing(turn->chain) != NULL) {
		load_missing(turn);
		return false;
	}
	if (load_texts(turn) || turns_keep_owners(turn))
		return false;
	turn->load_state = LOAD_DONE;
	return true;
}
