/** @file turns.c @brief History and token budget of programs. */
#include <string.h>

#include <sodium.h>
#include <urcu/list.h>

#include "clock.h"
#include "decide/budget.h"
#include "decide/history.h"
#include "proto/message.h"
#include "stats.h"
#include "turns.h"
#include "turns_int.h"

enum {
	RETRY_MIN_MS = 15,
	RETRY_MAX_MS = 250,
	PROGRAM_IDLE_MS = 65000, /* then a program is evicted from memory */
	/* A program with a cap stays in memory for longer, since what is left
	 * of the cap counts as spent afterwards; up to about 2 MB of them. */
	CAPPED_IDLE_MS = RETENTION_MIN_MS,
	CAPPED_PROGRAMS_MAX = 4096,
	EVICTION_PERIOD_MS = 10000,
};

static void program_flush(struct program *program);

void turns_make_key(char *out, char kind, const char *account, const char *name)
{
	unsigned char hash[HASH_BYTES];
	char *text = g_strdup_printf("%c%s\n%s", kind, account, name);

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)text,
			   strlen(text), NULL, 0);
	sodium_bin2hex(out, KEY_LEN, hash, sizeof(hash));
	g_free(text);
}

void turns_program_key(char *out, const char *account, const char *name)
{
	char account_key[KEY_LEN];

	turns_make_key(account_key, 'a', account, "");
	turns_make_key(out, 'p', account, name);
	memcpy(out, account_key, ACCOUNT_DIGITS);
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

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	program_flush(arg);
}

static void program_free(gpointer p)
{
	struct program *program = p;

	turns_tx_cancel(program);
	if (program->read_call != NULL)
		store_cancel(program->read_call);
	event_free(program->retry_timer);
	rows__program__free_unpacked(program->budget_row, NULL);
	g_free(program);
}

static struct program *get_program(struct turns *turns, const char *key)
{
	struct program *program = g_hash_table_lookup(turns->programs, key);

	if (program != NULL)
		return program;
	program = g_new0(struct program, 1);
	program->turns = turns;
	randombytes_buf(&program->incarnation, sizeof(program->incarnation));
	g_strlcpy(program->key, key, KEY_LEN);
	turns_program_part(key, program->part);
	program->retry_timer =
		evtimer_new(turns->base, on_retry_timer, program);
	CDS_INIT_LIST_HEAD(&program->active_turns);
	g_hash_table_insert(turns->programs, program->key, program);
	return program;
}

static bool is_idle(struct program *program, int64_t now_ms)
{
	int64_t idle_ms = now_ms - program->last_used_ms;

	if (!cds_list_empty(&program->active_turns) || program->tx != NULL ||
	    program->read_call != NULL)
		return false;
	if (program->budget.cap > 0 &&
	    g_hash_table_size(program->turns->programs) <= CAPPED_PROGRAMS_MAX)
		return idle_ms > CAPPED_IDLE_MS;
	return idle_ms > PROGRAM_IDLE_MS;
}

static void on_eviction_timer(evutil_socket_t fd, short what, void *arg)
{
	struct turns *turns = arg;
	int64_t now_ms = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, turns->programs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (is_idle(p, now_ms))
			g_hash_table_iter_remove(&it);
	}
	hist_evict_unused(turns->history, now_ms - PROGRAM_IDLE_MS);
}

struct turns *turns_create(struct event_base *base, struct store *store,
			   uint64_t cache_bytes, uint64_t load_bytes)
{
	struct timeval tv = {.tv_sec = EVICTION_PERIOD_MS / 1000};
	struct turns *turns = g_new0(struct turns, 1);

	turns->base = base;
	turns->store = store;
	turns->programs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						program_free);
	turns->history = hist_create(cache_bytes, load_bytes);
	turns->eviction_timer =
		event_new(base, -1, EV_PERSIST, on_eviction_timer, turns);
	event_add(turns->eviction_timer, &tv);
	turns_init_stalls(turns);
	turns_init_loads(turns);
	CDS_INIT_LIST_HEAD(&turns->pages);
	return turns;
}

void turns_destroy(struct turns *turns)
{
	if (turns == NULL)
		return;
	g_hash_table_destroy(turns->programs);
	hist_destroy(turns->history);
	event_free(turns->eviction_timer);
	event_free(turns->stall_timer);
	turns_fini_loads(turns);
	g_free(turns);
}

void turns_cache_size(const struct turns *turns, guint *programs,
		      uint64_t *bytes)
{
	*programs = g_hash_table_size(turns->programs);
	*bytes = hist_bytes(turns->history);
}

void turns_apply_budget_row(struct program *program, GBytes *value,
			    int64_t version, int64_t sent_ms)
{
	Rows__Program *row = NULL;

	if (version < program->budget_version)
		return;
	if (value != NULL) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(value, &len);

		row = rows__program__unpack(NULL, len, data);
	}
	program->budget.others = 0;
	program->budget.cap = 0;
	for (size_t i = 0; row != NULL && i < row->n_caps; i++) {
		const Rows__Cap *cap = row->caps[i];

		if (cap->incarnation == program->incarnation)
			program->budget.cap = cap->tokens;
		else
			program->budget.others += cap->tokens;
	}
	rows__program__free_unpacked(program->budget_row, NULL);
	program->budget_row = row;
	program->budget.known = true;
	program->budget_version = version;
	program->budget_read_ms = sent_ms;
}

void turns_report_verdict(struct turns_turn *turn, enum turns_verdict verdict)
{
	turns_leave_stalled(turn);
	turn->decided = true;
	turn->waiting = false;
	turn->handler->decided(turn->arg, verdict);
}

/* Returns the first turn whose serial is above @p after, up to @p last. */
static struct turns_turn *find_turn(const struct program *program,
				    uint64_t after, uint64_t last)
{
	struct turns_turn *turn;

	cds_list_for_each_entry(turn, &program->active_turns, node) {
		if (turn->serial > after)
			return turn->serial <= last ? turn : NULL;
	}
	return NULL;
}

/* Calls @p fn for each turn that is there now; it may end any of them. */
static void for_each_turn(struct program *program,
			  void (*fn)(struct turns_turn *turn))
{
	uint64_t last = program->turns->last_turn;
	uint64_t after = 0;
	struct turns_turn *turn;

	while ((turn = find_turn(program, after, last)) != NULL) {
		after = turn->serial;
		fn(turn);
	}
}

/* Grants the tokens of a turn that the cap of this instance covers. */
static void grant_if_covered(struct turns_turn *turn)
{
	const struct budget *budget = &turn->program->budget;

	if (!turn->reserved || turn->granted || turn->settled ||
	    budget->spent + budget->reserved > budget->cap)
		return;
	turn->granted = true;
	if (turn->decided)
		turn->handler->granted(turn->arg);
}

/* Decides again about a turn that waits. */
static void advance_if_waiting(struct turns_turn *turn)
{
	if (!turn->waiting || turn->decided)
		return;
	turn->waiting = false;
	turns_advance(turn);
}

/* The store is unreachable: refuses a turn that waits, unless it may wait for
 * the store. */
static void refuse_if_waiting(struct turns_turn *turn)
{
	if (!turn->decided && turn->waiting && !turns_stall(turn))
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
}

/* Tells the caller of a turn what has been stored of it. */
static void report_written(struct turns_turn *turn)
{
	if (turn->report_version) {
		turn->report_version = false;
		turn->handler->version_stored(turn->arg);
	} else if (turn->report_stored) {
		turn->report_stored = false;
		turn->handler->committed(turn->arg);
	}
}

static void schedule_retry(struct program *program)
{
	struct timeval tv = clock_timeval(program->retry_delay_ms);

	event_add(program->retry_timer, &tv);
	program->retry_delay_ms =
		MIN(program->retry_delay_ms * 2, RETRY_MAX_MS);
}

/* The state of all turns is settled before the first handler is called, and
 * what handlers want to be written goes into one transaction after that. */
static void on_written(void *arg, const struct store_response *reply)
{
	struct program *program = arg;
	bool failed = reply->result >= STORE_REFUSED;

	turns_tx_settle(program, reply);
	if (reply->result == STORE_OK)
		program->retry_delay_ms = RETRY_MIN_MS;
	if (failed)
		schedule_retry(program);
	program->settling = true;
	for_each_turn(program, report_written);
	if (!failed) {
		for_each_turn(program, grant_if_covered);
		for_each_turn(program, advance_if_waiting);
	} else if (!store_is_healthy(program->turns->store, program->part)) {
		for_each_turn(program, refuse_if_waiting);
	}
	program->settling = false;
	program_flush(program);
}

/* Returns the cap that the program's turns need; @p urgent is set if a turn
 * can't go on without it. */
static uint64_t wanted_cap(struct program *program, bool *urgent)
{
	struct budget *budget = &program->budget;
	struct turns_turn *turn;
	uint64_t cap = budget->cap;

	*urgent = budget->spent + budget->reserved > budget->cap;
	cds_list_for_each_entry(turn, &program->active_turns, node) {
		uint64_t more = turn->waiting ? turn->max_tokens : 0;
		uint64_t wanted;

		if (turn->budget == 0)
			continue;
		*urgent |= turn->waiting &&
			   (!turn->stalled ||
			    store_is_healthy(program->turns->store,
					     program->part));
		wanted = budget_target_cap(budget, turn->budget,
					   turn->max_tokens, more);
		cap = MAX(cap, wanted);
		if (turn->waiting)
			break;
	}
	return cap;
}

/* Writes pending rows, one transaction at a time. */
static void program_flush(struct program *program)
{
	struct turns_turn *turn;
	bool urgent;
	bool has_rows = false;
	uint64_t cap;

	if (program->tx != NULL || program->settling ||
	    evtimer_pending(program->retry_timer, NULL))
		return;
	cds_list_for_each_entry(turn, &program->active_turns, node)
		has_rows |=
			turn->text != NULL || turns_has_version_to_store(turn);
	cap = wanted_cap(program, &urgent);
	if (!has_rows && (!urgent || cap <= program->budget.cap))
		return;
	program->tx = turns_tx_send(program, cap, on_written);
}

static void on_budget_read(void *arg, const struct store_response *reply)
{
	struct program *program = arg;
	const struct store_row *row = NULL;

	program->read_call = NULL;
	if (reply->result != STORE_OK) {
		for_each_turn(program, refuse_if_waiting);
		return;
	}
	if (reply->rows->len > 0)
		row = &g_array_index(reply->rows, struct store_row, 0);
	turns_apply_budget_row(program, row ? row->value : NULL,
			       row ? row->version : 0, reply->sent_ms);
	for_each_turn(program, grant_if_covered);
	for_each_turn(program, advance_if_waiting);
	program_flush(program);
}

void turns_read_budget(struct program *program)
{
	char to[KEY_LEN + 2];

	if (program->read_call != NULL)
		return;
	g_snprintf(to, sizeof(to), "%s!", program->key);
	program->read_call =
		store_read(program->turns->store, PROGRAMS_TABLE, program->part,
			   program->key, to, on_budget_read, program);
}

/* Reserves the turn's maximum in the budget; returns true if it may run. */
static bool reserve_budget(struct turns_turn *turn)
{
	struct program *program = turn->program;
	struct budget *budget = &program->budget;

	switch (budget_decide(budget, turn->budget, turn->max_tokens)) {
	case BUDGET_ALLOW:
		budget_reserve(budget, turn->max_tokens);
		turn->reserved = true;
		turn->granted = true;
		return true;
	case BUDGET_RAISE_CAP:
		if (budget_has_headroom(budget, turn->budget,
					turn->max_tokens)) {
			budget_reserve(budget, turn->max_tokens);
			turn->reserved = true;
			program_flush(program);
			return true;
		}
		turn->waiting = true;
		program_flush(program);
		return false;
	case BUDGET_EXHAUSTED:
		break;
	}
	if (program->budget_read_ms >= turn->started_ms) {
		turns_report_verdict(turn, TURNS_OVER_BUDGET);
		return false;
	}
	turn->waiting = true;
	turns_read_budget(program);
	return false;
}

void turns_advance(struct turns_turn *turn)
{
	if (turn->decided)
		return;
	if (turn->previous[0] != '\0' && turn->load_state != LOAD_DONE &&
	    !turns_load_history(turn))
		return;
	if (turn->budget > 0 && !turn->reserved && !reserve_budget(turn))
		return;
	if (turn->budget == 0)
		turn->granted = true;
	turns_leave_stalled(turn);
	turn->decided = true;
	turn->waiting = false;
	if (turn->granted)
		turn->handler->granted(turn->arg);
	turn->handler->decided(turn->arg, TURNS_ALLOWED);
}

void turns_begin(struct turns *turns, const struct turns_request *request,
		 const struct turns_handler *handler, void *arg,
		 struct turns_turn **slot)
{
	struct turns_turn *turn = g_new0(struct turns_turn, 1);
	char key[KEY_LEN];

	turn->serial = ++turns->last_turn;
	/* A turn without a program forms a program by itself. */
	turns_program_key(key, request->account,
			  request->program ? request->program : request->id);
	turn->program = get_program(turns, key);
	turn->program->retry_delay_ms = RETRY_MIN_MS;
	turn->program->last_used_ms = clock_boot_ms();
	turns_make_key(turn->key, 't', request->account, request->id);
	if (request->retain && request->previous != NULL)
		turns_make_key(turn->previous, 't', request->account,
			       request->previous);
	turn->budget = request->budget;
	turn->max_tokens = request->max_tokens;
	turn->retention_ms = request->retention_ms;
	turn->started_ms = clock_boot_ms();
	turn->handler = handler;
	turn->arg = arg;
	turn->loads = g_ptr_array_new_with_free_func(turns_load_free);
	cds_list_add_tail(&turn->node, &turn->program->active_turns);
	*slot = turn;
	if (request->left_ms > 0) {
		if (turns_begin_or_wait(turn, request))
			turns_advance(turn);
		return;
	}
	if (!store_is_healthy(turns->store, turn->program->part) &&
	    (request->retain ||
	     (turn->budget > 0 &&
	      budget_decide(&turn->program->budget, turn->budget,
			    turn->max_tokens) != BUDGET_ALLOW))) {
		turns_report_verdict(turn, TURNS_UNAVAILABLE);
		return;
	}
	turns_advance(turn);
}

static void settle_budget(struct turns_turn *turn, uint64_t used)
{
	if (turn->reserved && !turn->settled)
		budget_settle(&turn->program->budget, turn->max_tokens, used);
	turn->settled = true;
}

/* Returns the text of a turn with a copy of its history before it. */
static GBytes *prepend_history(const struct turns_turn *turn, GBytes *text)
{
	GByteArray *joined = g_byte_array_new();
	struct hist_turn part;

	for (guint i = 0; i < hist_chain_count(turn->chain); i++) {
		hist_chain_get(turn->chain, i, &part);
		g_byte_array_append(joined, g_bytes_get_data(part.text, NULL),
				    (guint)part.len);
	}
	g_byte_array_append(joined, g_bytes_get_data(text, NULL),
			    (guint)g_bytes_get_size(text));
	return g_byte_array_free_to_bytes(joined);
}

void turns_commit(struct turns_turn *turn, GBytes *text, uint64_t used)
{
	settle_budget(turn, used);
	turn->text = turn->copies_history ? prepend_history(turn, text)
					  : g_bytes_ref(text);
	program_flush(turn->program);
}

uint64_t turns_stored_by(const struct turns_turn *turn)
{
	return turn->stored_by;
}

uint64_t turns_history_size(const struct turns_turn *turn)
{
	return turn->chain != NULL ? hist_chain_size(turn->chain) : 0;
}

void turns_release_history(struct turns_turn *turn)
{
	if (turn->chain != NULL && !turn->copies_history)
		hist_chain_release(turn->chain);
}

bool turns_store_version(struct turns_turn *turn, const char *version,
			 bool needed)
{
	if (!needed &&
	    !store_is_healthy(turn->program->turns->store, turn->program->part))
		return false;
	turn->version = g_strdup(version);
	turn->version_needed = needed;
	program_flush(turn->program);
	return true;
}

void turns_end(struct turns_turn *turn, uint64_t used)
{
	settle_budget(turn, used);
	turn->program->last_used_ms = clock_boot_ms();
	turns_leave_stalled(turn);
	turns_tx_forget(turn);
	cds_list_del(&turn->node);
	g_ptr_array_free(turn->loads, TRUE);
	hist_chain_destroy(turn->chain);
	if (turn->text != NULL)
		g_bytes_unref(turn->text);
	g_free(turn->version);
	g_free(turn);
}
