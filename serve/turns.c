/** @file turns.c @brief History and budget of programs. */
#include <string.h>

#include <sodium.h>
#include <urcu/list.h>

#include "clock.h"
#include "decide/budget.h"
#include "decide/history.h"
#include "proto/message.h"
#include "proto/rows.pb-c.h"
#include "stats.h"
#include "turns.h"
#include "turns_int.h"

enum {
	RETRY_FIRST_MS = 15,
	RETRY_MOST_MS = 250,
	IDLE_MS = 65000, /* a program that long idle leaves the memory */
	SWEEP_MS = 10000,
};

static void program_sync(struct program *program);

/* Hashes what names a row: fixed length, nothing to escape, and a turn of
 * another account has another key. */
static void make_key(char *out, char kind, const char *account,
		     const char *name)
{
	unsigned char hash[KEY_BYTES];
	char *text = g_strdup_printf("%c%s\n%s", kind, account, name);

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)text,
			   strlen(text), NULL, 0);
	sodium_bin2hex(out, KEY_LEN, hash, sizeof(hash));
	g_free(text);
}

/* The key of a program begins with digits of its account, which name the
 * parts that a turn of the account can lie in. */
static void make_program_key(char *out, const char *account, const char *name)
{
	char owner[KEY_LEN];

	make_key(owner, 'a', account, "");
	make_key(out, 'p', account, name);
	memcpy(out, owner, ACCOUNT_DIGITS);
}

void trn_part_of(const char *key, char *part)
{
	g_snprintf(part, PART_LEN, "p%.*s", ACCOUNT_DIGITS + 1, key);
}

void trn_account_part(const char *key, int i, char *part)
{
	g_snprintf(part, PART_LEN, "p%.*s%x", ACCOUNT_DIGITS, key,
		   (unsigned int)i);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	program_sync(arg);
}

static void program_free(gpointer p)
{
	struct program *program = p;

	if (program->write != NULL)
		rst_cancel(program->write);
	if (program->read != NULL)
		rst_cancel(program->read);
	event_free(program->retry);
	g_array_free(program->others, TRUE);
	g_free(program);
}

static struct program *program_of(struct trn *trn, const char *key)
{
	struct program *program = g_hash_table_lookup(trn->programs, key);

	if (program != NULL)
		return program;
	program = g_new0(struct program, 1);
	program->trn = trn;
	g_strlcpy(program->key, key, KEY_LEN);
	trn_part_of(key, program->part);
	program->others = g_array_new(FALSE, FALSE, sizeof(struct cap));
	program->retry = evtimer_new(trn->base, on_retry, program);
	CDS_INIT_LIST_HEAD(&program->turns);
	g_hash_table_insert(trn->programs, program->key, program);
	return program;
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct trn *trn = arg;
	int64_t now = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, trn->programs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct program *program = p;

		if (cds_list_empty(&program->turns) && !program->write &&
		    !program->read && now - program->used_at > IDLE_MS)
			g_hash_table_iter_remove(&it);
	}
	hst_forget(trn->history, now - IDLE_MS);
}

struct trn *trn_create(struct event_base *base, struct rst *store,
		       uint64_t incarnation, uint64_t cache_bytes)
{
	struct timeval tv = {.tv_sec = SWEEP_MS / 1000};
	struct trn *trn = g_new0(struct trn, 1);

	trn->base = base;
	trn->store = store;
	trn->incarnation = incarnation;
	trn->programs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      program_free);
	trn->history = hst_create(cache_bytes);
	trn->sweep = event_new(base, -1, EV_PERSIST, on_sweep, trn);
	event_add(trn->sweep, &tv);
	return trn;
}

void trn_destroy(struct trn *trn)
{
	if (trn == NULL)
		return;
	g_hash_table_destroy(trn->programs);
	hst_destroy(trn->history);
	event_free(trn->sweep);
	g_free(trn);
}

void trn_sizes(const struct trn *trn, guint *programs, uint64_t *bytes)
{
	*programs = g_hash_table_size(trn->programs);
	*bytes = hst_bytes(trn->history);
}

/* Takes the budget row in; NULL: there is none. */
void trn_take_budget(struct program *program, GBytes *value, int64_t version,
		     int64_t sent_at)
{
	Rows__Program *row = NULL;
	uint64_t own = 0;

	if (version < program->version)
		return;
	if (value != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(value, &len);

		row = rows__program__unpack(NULL, len, data);
	}
	g_array_set_size(program->others, 0);
	program->bgt.others = 0;
	for (size_t i = 0; row != NULL && i < row->n_caps; i++) {
		struct cap cap = {row->caps[i]->incarnation,
				  row->caps[i]->tokens};

		if (cap.incarnation == program->trn->incarnation) {
			own = cap.tokens;
			continue;
		}
		program->bgt.others += cap.tokens;
		g_array_append_val(program->others, cap);
	}
	if (row != NULL)
		rows__program__free_unpacked(row, NULL);
	program->bgt.cap = own;
	program->bgt.known = true;
	program->version = version;
	program->read_at = sent_at;
}

void trn_verdict_is(struct trn_turn *turn, enum trn_verdict what)
{
	turn->decided = true;
	turn->waiting = false;
	turn->handler->decided(turn->arg, what,
			       what == TRN_GO ? turn->history : NULL);
}

/* Calls back those whose tokens our cap covers. */
static void grant(struct program *program)
{
	struct trn_turn *turn;
	struct trn_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->turns, node) {
		if (!turn->opened || turn->granted || turn->closed ||
		    program->bgt.spent + program->bgt.open > program->bgt.cap)
			continue;
		turn->granted = true;
		if (turn->decided)
			turn->handler->granted(turn->arg);
	}
}

/* Decides once more about each turn that waits; it may end that turn only. */
static void step_all(struct program *program)
{
	GPtrArray *waiting = g_ptr_array_new();
	struct trn_turn *turn;

	cds_list_for_each_entry(turn, &program->turns, node) {
		if (turn->waiting && !turn->decided)
			g_ptr_array_add(waiting, turn);
	}
	for (guint i = 0; i < waiting->len; i++) {
		turn = g_ptr_array_index(waiting, i);
		turn->waiting = false;
		trn_step(turn);
	}
	g_ptr_array_free(waiting, TRUE);
}

/* The store is away: what has not been sent is refused at once. */
static void fail_waiting(struct program *program)
{
	struct trn_turn *turn;
	struct trn_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->turns, node) {
		if (!turn->decided && turn->waiting)
			trn_verdict_is(turn, TRN_UNAVAILABLE);
	}
}

static bool turn_row_in(const struct trn_turn *turn, const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct rst_row *row =
			&g_array_index(rows, struct rst_row, i);

		if (strcmp(row->table, TURNS_TABLE) == 0 && row->version > 0 &&
		    strcmp(row->key, turn->key) == 0)
			return true;
	}
	return false;
}

static void turn_is_kept(struct trn_turn *turn)
{
	turn->writing = false;
	turn->kept = true;
	hst_put(turn->program->trn->history, turn->key,
		turn->foreign ? "" : turn->previous, turn->program->key,
		turn->text, clock_boot_ms());
	g_bytes_unref(turn->text);
	turn->text = NULL;
	stats_count(STATS_TURNS_KEPT);
	turn->handler->kept(turn->arg);
}

static void conflict(struct program *program, const struct rst_answer *answer)
{
	const struct rst_row *budget = NULL;

	stats_count(STATS_STORE_CONFLICTS);
	for (guint i = 0; i < answer->rows->len; i++) {
		const struct rst_row *row =
			&g_array_index(answer->rows, struct rst_row, i);

		if (strcmp(row->table, PROGRAMS_TABLE) == 0 &&
		    strcmp(row->key, program->key) == 0)
			budget = row;
	}
	if (!program->writing_row)
		return;
	program->version = 0;
	if (budget != NULL)
		trn_take_budget(program, budget->value, budget->version,
				answer->sent_at);
	else
		trn_take_budget(program, NULL, 0, answer->sent_at);
}

static void retry_later(struct program *program)
{
	struct timeval tv = clock_timeval(program->retry_ms);

	event_add(program->retry, &tv);
	program->retry_ms = MIN(program->retry_ms * 2, RETRY_MOST_MS);
}

/* Calls back the turns of a transaction that is settled. */
static void settle_turns(struct program *program,
			 const struct rst_answer *answer)
{
	struct trn_turn *turn;
	struct trn_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->turns, node) {
		if (answer->result == RST_OK)
			turn->pieces_kept = turn->pieces_sent;
		else
			turn->pieces_sent = turn->pieces_kept;
		if (!turn->writing)
			continue;
		turn->writing = false;
		if (answer->result == RST_OK ||
		    (answer->result == RST_CONFLICT &&
		     turn_row_in(turn, answer->rows)))
			turn_is_kept(turn);
	}
}

static void on_written(void *arg, const struct rst_answer *answer)
{
	struct program *program = arg;

	program->write = NULL;
	if (answer->result == RST_OK) {
		program->retry_ms = RETRY_FIRST_MS;
		program->expires_at =
			MAX(program->expires_at, program->writing_expiry);
		if (program->writing_row) {
			program->version = answer->version;
			program->bgt.cap = program->writing_cap;
			program->bgt.known = true;
			program->read_at = answer->sent_at;
		}
		stats_observe(STATS_COMMIT,
			      clock_boot_ms() - program->write_began);
	} else if (answer->result == RST_CONFLICT) {
		conflict(program, answer);
	}
	settle_turns(program, answer);
	if (answer->result >= RST_REFUSED) {
		if (!rst_healthy(program->trn->store, program->part))
			fail_waiting(program);
		retry_later(program);
		return;
	}
	grant(program);
	step_all(program);
	program_sync(program);
}

/* The cap that the turns of a program want now. */
static uint64_t wanted_cap(struct program *program, bool *urgent)
{
	struct bgt *bgt = &program->bgt;
	struct trn_turn *turn;
	uint64_t cap = bgt->cap;

	*urgent = bgt->spent + bgt->open > bgt->cap;
	cds_list_for_each_entry(turn, &program->turns, node) {
		uint64_t more = turn->waiting ? turn->most : 0;
		uint64_t wanted;

		if (turn->budget == 0)
			continue;
		*urgent |= turn->waiting;
		wanted = bgt_wanted(bgt, turn->budget, turn->most, more);
		cap = MAX(cap, wanted);
		if (turn->waiting)
			break;
	}
	return cap;
}

/* Writes what is to be written, one transaction at a time. */
static void program_sync(struct program *program)
{
	struct rst_tx *tx;
	struct trn_turn *turn;
	bool urgent;
	bool keeps = false;
	uint64_t cap;

	if (program->write != NULL || evtimer_pending(program->retry, NULL))
		return;
	cds_list_for_each_entry(turn, &program->turns, node)
		keeps |= turn->text != NULL;
	cap = wanted_cap(program, &urgent);
	if (!keeps && (!urgent || cap <= program->bgt.cap))
		return;
	tx = trn_write(program, cap);
	program->write_began = clock_boot_ms();
	program->write =
		rst_tx_send(program->trn->store, tx, on_written, program);
}

static void on_budget_read(void *arg, const struct rst_answer *answer)
{
	struct program *program = arg;
	const struct rst_row *row = NULL;

	program->read = NULL;
	if (answer->result != RST_OK) {
		fail_waiting(program);
		return;
	}
	if (answer->rows->len > 0)
		row = &g_array_index(answer->rows, struct rst_row, 0);
	trn_take_budget(program, row ? row->value : NULL,
			row ? row->version : 0, answer->sent_at);
	grant(program);
	step_all(program);
	program_sync(program);
}

static void read_budget(struct program *program)
{
	char to[KEY_LEN + 2];

	if (program->read != NULL)
		return;
	g_snprintf(to, sizeof(to), "%s!", program->key);
	program->read =
		rst_get(program->trn->store, PROGRAMS_TABLE, program->part,
			program->key, to, on_budget_read, program);
}

/* Returns true if the turn may go on. */
static bool budget_step(struct trn_turn *turn)
{
	struct program *program = turn->program;
	struct bgt *bgt = &program->bgt;

	switch (bgt_decide(bgt, turn->budget, turn->most)) {
	case BGT_GO:
		bgt_open(bgt, turn->most);
		turn->opened = true;
		turn->granted = true;
		return true;
	case BGT_RAISE:
		if (bgt_ample(bgt, turn->budget, turn->most)) {
			bgt_open(bgt, turn->most);
			turn->opened = true;
			program_sync(program);
			return true;
		}
		turn->waiting = true;
		program_sync(program);
		return false;
	case BGT_SPENT:
		break;
	}
	if (program->read_at >= turn->began) {
		trn_verdict_is(turn, TRN_SPENT);
		return false;
	}
	turn->waiting = true;
	read_budget(program);
	return false;
}

void trn_step(struct trn_turn *turn)
{
	if (turn->decided)
		return;
	if (turn->previous[0] != '\0' && turn->load != LOAD_DONE &&
	    !trn_load_history(turn))
		return;
	if (turn->budget > 0 && !turn->opened && !budget_step(turn))
		return;
	if (turn->budget == 0)
		turn->granted = true;
	turn->decided = true;
	turn->waiting = false;
	if (turn->granted)
		turn->handler->granted(turn->arg);
	turn->handler->decided(turn->arg, TRN_GO, turn->history);
}

void trn_begin(struct trn *trn, const struct trn_request *request,
	       const struct trn_handler *handler, void *arg,
	       struct trn_turn **slot)
{
	struct trn_turn *turn = g_new0(struct trn_turn, 1);
	char key[KEY_LEN];

	/* A turn without a program is a program of its own. */
	make_program_key(key, request->account,
			 request->program ? request->program : request->id);
	turn->program = program_of(trn, key);
	turn->program->retry_ms = RETRY_FIRST_MS;
	turn->program->used_at = clock_boot_ms();
	make_key(turn->key, 't', request->account, request->id);
	if (request->retain && request->previous != NULL)
		make_key(turn->previous, 't', request->account,
			 request->previous);
	turn->budget = request->budget;
	turn->most = request->most;
	turn->retention_ms = request->retention_ms;
	turn->began = clock_boot_ms();
	turn->handler = handler;
	turn->arg = arg;
	turn->history = g_byte_array_new();
	turn->loads = g_ptr_array_new_with_free_func(trn_load_free);
	cds_list_add_tail(&turn->node, &turn->program->turns);
	*slot = turn;
	if (!rst_healthy(trn->store, turn->program->part) &&
	    (request->retain ||
	     (turn->budget > 0 && bgt_decide(&turn->program->bgt, turn->budget,
					     turn->most) != BGT_GO))) {
		trn_verdict_is(turn, TRN_UNAVAILABLE);
		return;
	}
	trn_step(turn);
}

static void close_budget(struct trn_turn *turn, uint64_t used)
{
	if (turn->opened && !turn->closed)
		bgt_close(&turn->program->bgt, turn->most, used);
	turn->closed = true;
}

/*
 * A turn that continues another program's takes that history along: rows of
 * the two are kept for different times.
 */
static GBytes *with_history(const struct trn_turn *turn, GBytes *text)
{
	GByteArray *whole = g_byte_array_new();
	gsize len;
	const uint8_t *data = g_bytes_get_data(text, &len);

	g_byte_array_append(whole, turn->history->data, turn->history->len);
	g_byte_array_append(whole, data, (guint)len);
	return g_byte_array_free_to_bytes(whole);
}

void trn_keep(struct trn_turn *turn, GBytes *text, uint64_t used)
{
	close_budget(turn, used);
	turn->text =
		turn->foreign ? with_history(turn, text) : g_bytes_ref(text);
	program_sync(turn->program);
}

void trn_end(struct trn_turn *turn, uint64_t used)
{
	close_budget(turn, used);
	turn->program->used_at = clock_boot_ms();
	cds_list_del(&turn->node);
	trn_drop_loads(turn);
	g_ptr_array_free(turn->loads, TRUE);
	g_byte_array_unref(turn->history);
	if (turn->text != NULL)
		g_bytes_unref(turn->text);
	g_free(turn);
}
