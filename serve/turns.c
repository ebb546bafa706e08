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

void turns_program_part(const char *key, char *part)
{
	g_snprintf(part, PART_LEN, "p%.*s", ACCOUNT_DIGITS + 1, key);
}

void turns_account_part(const char *key, int i, char *part)
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

static struct program *program_of(struct turns *turns, const char *key)
{
	struct program *program = g_hash_table_lookup(turns->programs, key);

	if (program != NULL)
		return program;
	program = g_new0(struct program, 1);
	program->turns = turns;
	g_strlcpy(program->key, key, KEY_LEN);
	turns_program_part(key, program->part);
	program->others = g_array_new(FALSE, FALSE, sizeof(struct cap));
	program->retry = evtimer_new(turns->base, on_retry, program);
	CDS_INIT_LIST_HEAD(&program->active_turns);
	g_hash_table_insert(turns->programs, program->key, program);
	return program;
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct turns *turns = arg;
	int64_t now = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, turns->programs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct program *program = p;

		if (cds_list_empty(&program->active_turns) && !program->write &&
		    !program->read && now - program->used_at > IDLE_MS)
			g_hash_table_iter_remove(&it);
	}
	hst_forget(turns->history, now - IDLE_MS);
}

struct turns *turns_create(struct event_base *base, struct rst *store,
			   uint64_t incarnation, uint64_t cache_bytes)
{
	struct timeval tv = {.tv_sec = SWEEP_MS / 1000};
	struct turns *turns = g_new0(struct turns, 1);

	turns->base = base;
	turns->store = store;
	turns->incarnation = incarnation;
	turns->programs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						program_free);
	turns->history = hst_create(cache_bytes);
	turns->sweep = event_new(base, -1, EV_PERSIST, on_sweep, turns);
	event_add(turns->sweep, &tv);
	return turns;
}

void turns_destroy(struct turns *turns)
{
	if (turns == NULL)
		return;
	g_hash_table_destroy(turns->programs);
	hst_destroy(turns->history);
	event_free(turns->sweep);
	g_free(turns);
}

void turns_cache_size(const struct turns *turns, guint *programs,
		      uint64_t *bytes)
{
	*programs = g_hash_table_size(turns->programs);
	*bytes = hst_bytes(turns->history);
}

/* Takes the budget row in; NULL: there is none. */
void turns_apply_budget_row(struct program *program, GBytes *value,
			    int64_t version, int64_t sent_at)
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

		if (cap.incarnation == program->turns->incarnation) {
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

void turns_report_verdict(struct turns_turn *turn, enum turns_verdict what)
{
	turn->decided = true;
	turn->waiting = false;
	turn->handler->decided(turn->arg, what,
			       what == TURNS_ALLOWED ? turn->history : NULL);
}

/* Calls back those whose tokens our cap covers. */
static void grant(struct program *program)
{
	struct turns_turn *turn;
	struct turns_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->active_turns, node) {
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
	struct turns_turn *turn;

	cds_list_for_each_entry(turn, &program->active_turns, node) {
		if (turn->waiting && !turn->decided)
			g_ptr_array_add(waiting, turn);
	}
	for (guint i = 0; i < waiting->len; i++) {
		turn = g_ptr_array_index(waiting, i);
		turn->waiting = false;
		turns_advance(turn);
	}
	g_ptr_array_free(waiting, TRUE);
}

/* The store is away: what has not been sent is refused at once. */
static void fail_waiting(struct program *program)
{
	struct turns_turn *turn;
	struct turns_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->active_turns, node) {
		if (!turn->decided && turn->waiting)
			turns_report_verdict(turn, TURNS_UNAVAILABLE);
	}
}

static bool turn_row_in(const struct turns_turn *turn, const GArray *rows)
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

static void turn_is_kept(struct turns_turn *turn)
{
	turn->writing = false;
	turn->kept = true;
	hst_put(turn->program->turns->history, turn->key,
		turn->foreign ? "" : turn->previous, turn->program->key,
		turn->text, clock_boot_ms());
	g_bytes_unref(turn->text);
	turn->text = NULL;
	sts_count(STS_TURNS_KEPT);
	turn->handler->kept(turn->arg);
}

static void conflict(struct program *program, const struct rst_answer *answer)
{
	const struct rst_row *budget = NULL;

	sts_count(STS_STORE_CONFLICTS);
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
		turns_apply_budget_row(program, budget->value, budget->version,
				       answer->sent_at);
	else
		turns_apply_budget_row(program, NULL, 0, answer->sent_at);
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
	struct turns_turn *turn;
	struct turns_turn *next;

	cds_list_for_each_entry_safe(turn, next, &program->active_turns, node) {
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
		sts_time(STS_COMMIT, clock_boot_ms() - program->write_began);
	} else if (answer->result == RST_CONFLICT) {
		conflict(program, answer);
	}
	settle_turns(program, answer);
	if (answer->result >= RST_REFUSED) {
		if (!rst_healthy(program->turns->store, program->part))
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
	struct turns_turn *turn;
	uint64_t cap = bgt->cap;

	*urgent = bgt->spent + bgt->open > bgt->cap;
	cds_list_for_each_entry(turn, &program->active_turns, node) {
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
	struct turns_turn *turn;
	bool urgent;
	bool keeps = false;
	uint64_t cap;

	if (program->write != NULL || evtimer_pending(program->retry, NULL))
		return;
	cds_list_for_each_entry(turn, &program->active_turns, node)
		keeps |= turn->text != NULL;
	cap = wanted_cap(program, &urgent);
	if (!keeps && (!urgent || cap <= program->bgt.cap))
		return;
	tx = turns_build_tx(program, cap);
	program->write_began = clock_boot_ms();
	program->write =
		rst_tx_send(program->turns->store, tx, on_written, program);
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
	turns_apply_budget_row(program, row ? row->value : NULL,
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
		rst_get(program->turns->store, PROGRAMS_TABLE, program->part,
			program->key, to, on_budget_read, program);
}

/* Returns true if the turn may go on. */
static bool budget_step(struct turns_turn *turn)
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
		turns_report_verdict(turn, TURNS_OVER_BUDGET);
		return false;
	}
	turn->waiting = true;
	read_budget(program);
	return false;
}

void turns_advance(struct turns_turn *turn)
{
	if (turn->decided)
		return;
	if (turn->previous[0] != '\0' && turn->load != LOAD_DONE &&
	    !turns_load_history(turn))
		return;
	if (turn->budget > 0 && !turn->opened && !budget_step(turn))
		return;
	if (turn->budget == 0)
		turn->granted = true;
	turn->decided = true;
	turn->waiting = false;
	if (turn->granted)
		turn->handler->granted(turn->arg);
	turn->handler->decided(turn->arg, TURNS_ALLOWED, turn->history);
}

void turns_begin(struct turns *turns, const struct turns_request *request,
		 const struct turns_handler *handler, void *arg,
		 struct turns_turn **slot)
{
	struct turns_turn *turn = g_new0(struct turns_turn, 1);
	char key[KEY_LEN];

	/* A turn without a program is a program of its own. */
	make_program_key(key, request->account,
			 request->program ? request->program : request->id);
	turn->program = program_of(turns, key);
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
	turn->loads = g_ptr_array_new_with_free_func(turns_load_free);
	cds_list_add_tail(&turn->node, &turn->program->active_turns);
	*slot = turn;
	if (!rst_healthy(turns->store, turn->program->part) &&
	    (request->retain ||
	     (turn->budget > 0 && bgt_decide(&turn->program->bgt, turn->budget,
					     turn->most) != BGT_GO))) {
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
		return;
	}
	turns_advance(turn);
}

static void close_budget(struct turns_turn *turn, uint64_t used)
{
	if (turn->opened && !turn->closed)
		bgt_close(&turn->program->bgt, turn->most, used);
	turn->closed = true;
}

/*
 * A turn that continues another program's takes that history along: rows of
 * the two are kept for different times.
 */
static GBytes *with_history(const struct turns_turn *turn, GBytes *text)
{
	GByteArray *whole = g_byte_array_new();
	gsize len;
	const uint8_t *data = g_bytes_get_data(text, &len);

	g_byte_array_append(whole, turn->history->data, turn->history->len);
	g_byte_array_append(whole, data, (guint)len);
	return g_byte_array_free_to_bytes(whole);
}

void turns_commit(struct turns_turn *turn, GBytes *text, uint64_t used)
{
	close_budget(turn, used);
	turn->text =
		turn->foreign ? with_history(turn, text) : g_bytes_ref(text);
	program_sync(turn->program);
}

void turns_end(struct turns_turn *turn, uint64_t used)
{
	close_budget(turn, used);
	turn->program->used_at = clock_boot_ms();
	cds_list_del(&turn->node);
	turns_cancel_loads(turn);
	g_ptr_array_free(turn->loads, TRUE);
	g_byte_array_unref(turn->history);
	if (turn->text != NULL)
		g_bytes_unref(turn->text);
	g_free(turn);
}
