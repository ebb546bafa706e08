/** @file check.c @brief One function for each point that must always hold. */
#include <stdio.h>
#include <string.h>

#include "decide/shard.h"
#include "test/sim/check.h"
#include "test/sim/clients.h"

enum {
	MS_PER_S = 1000,
	JITTER_MS = 20, /* between a dispatch and its arrival */
};

static const struct prog *prog_of(const struct world *w,
				  const struct wld_run *run)
{
	if (run->prog < 0 || run->prog >= (int)w->progs->len)
		return NULL;
	return w->progs->pdata[run->prog];
}

/* A program's calls are served in order. */
static void check_order(struct world *w)
{
	int *last = g_new(int, w->progs->len + 1);

	for (guint i = 0; i < w->progs->len; i++)
		last[i] = -1;
	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];

		if (prog_of(w, run) == NULL)
			continue;
		if (run->turn < last[run->prog])
			wld_fault(w, "order: P%d.%d ran after turn %d",
				  run->prog, run->turn, last[run->prog]);
		last[run->prog] = run->turn;
	}
	g_free(last);
}

static Aps__ProgramRow *read_row(struct world *w, const char *id)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	Aps__ProgramRow *row = NULL;
	Aps__TableReply *reply;
	char key[128];
	char *keys = key;

	snprintf(key, sizeof(key), "p/%04x/%s",
		 (unsigned)shard_for_name(SHARD_KIND_PROGRAM, id), id);
	request.op = APS__TABLE_REQUEST__OP__GET;
	request.n_keys = 1;
	request.keys = &keys;
	reply = memtable_request(w->table, &request);
	if (reply->n_rows > 0)
		row = aps__program_row__unpack(NULL, reply->rows[0]->value.len,
					       reply->rows[0]->value.data);
	aps__table_reply__free_unpacked(reply, NULL);
	return row;
}

static void check_record(struct world *w, const struct prog *prog,
			 const Aps__TurnRecord *record, uint32_t turn)
{
	const char *body;
	char *want;

	if (record->turn != turn) {
		wld_fault(w, "history: P%d has turn %u in place of %u",
			  prog->index, record->turn, turn);
		return;
	}
	if (turn >= prog->bodies->len ||
	    !g_array_index(prog->answered, bool, turn))
		return;
	body = prog->bodies->pdata[turn];
	want = model_output(body, strlen(body));
	if (record->outcome->answer.len != strlen(want) ||
	    memcmp(record->outcome->answer.data, want, strlen(want)) != 0)
		wld_fault(w, "history: P%d.%u is recorded with another answer",
			  prog->index, turn);
	g_free(want);
}

static uint32_t check_segments(struct world *w, const struct prog *prog,
			       const Aps__ProgramRow *row)
{
	uint32_t turn = 0;

	for (size_t i = 0; i < row->n_segments; i++) {
		GBytes *bytes =
			g_hash_table_lookup(w->objects, row->segments[i]);
		Aps__Segment *segment = NULL;
		const uint8_t *buf;
		gsize len;

		if (bytes != NULL) {
			buf = g_bytes_get_data(bytes, &len);
			segment = aps__segment__unpack(NULL, len, buf);
		}
		if (segment == NULL) {
			wld_fault(w, "history: P%d lost %s", prog->index,
				  row->segments[i]);
			return turn;
		}
		for (size_t j = 0; j < segment->n_turns; j++)
			check_record(w, prog, segment->turns[j], turn++);
		aps__segment__free_unpacked(segment, NULL);
	}
	return turn;
}

/* What a caller was answered is in the history, whatever died. */
static void check_history(struct world *w)
{
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];
		Aps__ProgramRow *row;
		uint32_t turn;
		char id[64];

		if (prog->one_shot || prog->turn == 0)
			continue;
		snprintf(id, sizeof(id), "%s/P%d",
			 w->accounts[prog->account].name, prog->index);
		row = read_row(w, id);
		if (row == NULL) {
			wld_fault(w, "history: P%d has no row", prog->index);
			continue;
		}
		turn = check_segments(w, prog, row);
		for (size_t j = 0; j < row->n_tail; j++)
			check_record(w, prog, row->tail[j], turn++);
		if ((int)turn < prog->turn)
			wld_fault(w, "history: P%d has %u turns of %d",
				  prog->index, turn, prog->turn);
		aps__program_row__free_unpacked(row, NULL);
	}
}

/* A program's budget holds. */
static void check_budget(struct world *w)
{
	uint64_t *spent = g_new0(uint64_t, w->progs->len + 1);

	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];

		if (prog_of(w, run) != NULL)
			spent[run->prog] += run->tokens;
	}
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		if (prog->parent >= 0 && prog->turn > 0)
			spent[prog->parent] += prog->budget;
	}
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		if (prog->budget > 0 && spent[i] > prog->budget)
			wld_fault(w, "budget: P%u spent %u of %u", i,
				  (unsigned)spent[i], (unsigned)prog->budget);
	}
	g_free(spent);
}

/* No engine memory is held for programs that have ended. */
static void check_memory(struct world *w)
{
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];
		char id[64];

		if (!prog->ended)
			continue;
		snprintf(id, sizeof(id), "%s/P%d",
			 w->accounts[prog->account].name, prog->index);
		for (int s = 0; s < w->nservers; s++) {
			if (g_hash_table_contains(w->servers[s].model->cache,
						  id))
				wld_fault(w, "memory: %s still holds P%u",
					  w->servers[s].name, i);
		}
	}
}

/* A withdrawn key stops working within seconds. */
static void check_keys(struct world *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];
		const struct wld_account *a;

		if (prog_of(w, run) == NULL)
			continue;
		a = &w->accounts[run->account];
		if (a->withdrawn &&
		    run->start_ms > a->withdrawn_ms + CHK_SECONDS_MS)
			wld_fault(w, "key: P%d.%d ran %d ms after withdrawal",
				  run->prog, run->turn,
				  (int)(run->start_ms - a->withdrawn_ms));
	}
}

/* No account exceeds its rate and burst: an exact bucket never runs dry. */
static void check_rate(struct world *w, int account)
{
	const struct wld_account *a = &w->accounts[account];
	double room = a->burst + 1 + a->rate * JITTER_MS / MS_PER_S;
	double level = room;
	int64_t last = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];

		if (prog_of(w, run) == NULL || run->account != account)
			continue;
		if (last > 0)
			level += a->rate * (double)(run->start_ms - last) /
				 MS_PER_S;
		level = MIN(level, room) - 1;
		last = run->start_ms;
		if (level < 0) {
			wld_fault(w, "rate: %s passed its rate and burst",
				  a->name);
			return;
		}
	}
}

/* A newly started server gets no more than it can bear. */
static void check_ramp(struct world *w)
{
	for (int s = 0; s < w->nservers; s++) {
		if (w->servers[s].model->overloads > 0)
			wld_fault(w, "ramp: %s was overloaded %u times",
				  w->servers[s].name,
				  w->servers[s].model->overloads);
	}
}

/* A server that leaves, or whose zone does, gets no new work. */
static void check_out(struct world *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];

		if (run->out_for_ms > CHK_SECONDS_MS)
			wld_fault(w, "out: %s got work %d ms after it left",
				  w->servers[run->server].name,
				  (int)run->out_for_ms);
	}
}

/* A refusal saying "not run" is true. */
static void check_not_run(struct world *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];
		const struct prog *prog = prog_of(w, run);

		for (guint j = 0; prog != NULL && j < prog->not_run->len; j++) {
			const struct cli_not_run *note = &g_array_index(
				prog->not_run, struct cli_not_run, j);

			if (note->turn == run->turn &&
			    run->start_ms >= note->called_ms &&
			    run->start_ms <= note->replied_ms)
				wld_fault(w, "not run: P%d.%d had run",
					  run->prog, run->turn);
		}
	}
}

/* A non-idempotent request runs at most once. */
static void check_once(struct world *w)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < w->runs->len; i++) {
		const struct wld_run *run = w->runs->pdata[i];

		if (run->repeatable)
			continue;
		if (!g_hash_table_add(seen, g_strdup_printf("%d.%d", run->prog,
							    run->turn)))
			wld_fault(w, "once: P%d.%d ran again", run->prog,
				  run->turn);
	}
	g_hash_table_unref(seen);
}

/* An accepted configuration is in force everywhere within seconds. */
static void check_config(struct world *w)
{
	if (w->outage || w->now_ms < w->revision_ms + CHK_SECONDS_MS)
		return;
	for (int i = 0; i < w->params.nodes; i++) {
		const struct wld_node *n = &w->nodes[i];

		if (n->node != NULL && node_is_ready(n->node) &&
		    n->revision < w->revision)
			wld_fault(w, "config: %s is at revision %u of %u",
				  n->id, (unsigned)n->revision,
				  (unsigned)w->revision);
	}
}

void chk_all(struct world *w)
{
	check_order(w);
	check_history(w);
	check_budget(w);
	check_memory(w);
	check_keys(w);
	for (int i = 0; i < w->params.accounts; i++)
		check_rate(w, i);
	check_ramp(w);
	check_out(w);
	check_not_run(w);
	check_once(w);
	check_config(w);
}
