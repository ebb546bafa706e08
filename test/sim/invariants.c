/** @file invariants.c @brief One function for each invariant. */
#include <stdio.h>
#include <string.h>

#include "decide/shard.h"
#include "test/sim/clients.h"
#include "test/sim/invariants.h"

enum {
	MS_PER_S = 1000,
	DISPATCH_JITTER_MS = 20, /* from dispatch to arrival */
};

static const struct sim_program *find_program(const struct sim *sim,
					      const struct sim_run *run)
{
	if (run->prog < 0 || run->prog >= (int)sim->progs->len)
		return NULL;
	return sim->progs->pdata[run->prog];
}

/* The turns of a program run in order. */
static void check_order(struct sim *sim)
{
	int *last = g_new(int, sim->progs->len + 1);

	for (guint i = 0; i < sim->progs->len; i++)
		last[i] = -1;
	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (find_program(sim, run) == NULL)
			continue;
		if (run->turn < last[run->prog])
			sim_violation(sim, "order: P%d.%d ran after turn %d",
				      run->prog, run->turn, last[run->prog]);
		last[run->prog] = run->turn;
	}
	g_free(last);
}

static Aps__ProgramRow *read_program_row(struct sim *sim, const char *id)
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
	reply = memtable_request(sim->table, &request);
	if (reply->n_rows > 0)
		row = aps__program_row__unpack(NULL, reply->rows[0]->value.len,
					       reply->rows[0]->value.data);
	aps__table_reply__free_unpacked(reply, NULL);
	return row;
}

static void check_record(struct sim *sim, const struct sim_program *prog,
			 const Aps__TurnRecord *record, uint32_t turn)
{
	const char *body;
	char *expected;

	if (record->turn != turn) {
		sim_violation(sim,
			      "history: P%d has turn %u instead of turn %u",
			      prog->index, record->turn, turn);
		return;
	}
	if (turn >= prog->bodies->len ||
	    !g_array_index(prog->answered, bool, turn))
		return;
	body = prog->bodies->pdata[turn];
	expected = model_output(body, strlen(body));
	if (record->outcome->answer.len != strlen(expected) ||
	    memcmp(record->outcome->answer.data, expected, strlen(expected)) !=
		    0)
		sim_violation(sim,
			      "history: P%d.%u is recorded with a wrong answer",
			      prog->index, turn);
	g_free(expected);
}

static uint32_t check_segments(struct sim *sim, const struct sim_program *prog,
			       const Aps__ProgramRow *row)
{
	uint32_t turn = 0;

	for (size_t i = 0; i < row->n_segments; i++) {
		GBytes *bytes =
			g_hash_table_lookup(sim->objects, row->segments[i]);
		Aps__Segment *segment = NULL;
		const uint8_t *buf;
		gsize len;

		if (bytes != NULL) {
			buf = g_bytes_get_data(bytes, &len);
			segment = aps__segment__unpack(NULL, len, buf);
		}
		if (segment == NULL) {
			sim_violation(sim, "history: P%d has no segment %s",
				      prog->index, row->segments[i]);
			return turn;
		}
		for (size_t j = 0; j < segment->n_turns; j++)
			check_record(sim, prog, segment->turns[j], turn++);
		aps__segment__free_unpacked(segment, NULL);
	}
	return turn;
}

/* Every answered turn is in the history, whichever instances failed. */
static void check_history(struct sim *sim)
{
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];
		Aps__ProgramRow *row;
		uint32_t turn;
		char id[64];

		if (prog->one_shot || prog->turn == 0)
			continue;
		snprintf(id, sizeof(id), "%s/P%d",
			 sim->accounts[prog->account].name, prog->index);
		row = read_program_row(sim, id);
		if (row == NULL) {
			sim_violation(sim, "history: P%d has no row",
				      prog->index);
			continue;
		}
		turn = check_segments(sim, prog, row);
		for (size_t j = 0; j < row->n_tail; j++)
			check_record(sim, prog, row->tail[j], turn++);
		if ((int)turn < prog->turn)
			sim_violation(sim, "history: P%d has %u turns of %d",
				      prog->index, turn, prog->turn);
		aps__program_row__free_unpacked(row, NULL);
	}
}

/* A program does not exceed its token budget. */
static void check_budget(struct sim *sim)
{
	uint64_t *spent = g_new0(uint64_t, sim->progs->len + 1);

	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (find_program(sim, run) != NULL)
			spent[run->prog] += run->tokens;
	}
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		if (prog->parent >= 0 && prog->turn > 0)
			spent[prog->parent] += prog->budget_tokens;
	}
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		if (prog->budget_tokens > 0 && spent[i] > prog->budget_tokens)
			sim_violation(sim, "budget: P%u spent %u of %u", i,
				      (unsigned)spent[i],
				      (unsigned)prog->budget_tokens);
	}
	g_free(spent);
}

/* No model server caches a program that has ended. */
static void check_released_caches(struct sim *sim)
{
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];
		char id[64];

		if (!prog->end_confirmed)
			continue;
		snprintf(id, sizeof(id), "%s/P%d",
			 sim->accounts[prog->account].name, prog->index);
		for (int s = 0; s < sim->nservers; s++) {
			if (g_hash_table_contains(sim->servers[s].model->cache,
						  id))
				sim_violation(sim,
					      "memory: %s still caches P%u, "
					      "which has ended",
					      sim->servers[s].name, i);
		}
	}
}

/* A withdrawn key is refused within INVARIANTS_REACTION_MAX_MS. */
static void check_keys(struct sim *sim)
{
	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];
		const struct sim_account *a;

		if (find_program(sim, run) == NULL)
			continue;
		a = &sim->accounts[run->account];
		if (a->withdrawn &&
		    run->start_ms >
			    a->withdrawn_ms + INVARIANTS_REACTION_MAX_MS)
			sim_violation(sim,
				      "key: P%d.%d ran %d ms after withdrawal",
				      run->prog, run->turn,
				      (int)(run->start_ms - a->withdrawn_ms));
	}
}

/* No account exceeds the token bucket of its rate and burst. */
static void check_rate(struct sim *sim, int account)
{
	const struct sim_account *a = &sim->accounts[account];
	double capacity =
		a->burst + 1 + a->rate * DISPATCH_JITTER_MS / MS_PER_S;
	double level = capacity;
	int64_t last = 0;

	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (find_program(sim, run) == NULL || run->account != account)
			continue;
		if (last > 0)
			level += a->rate * (double)(run->start_ms - last) /
				 MS_PER_S;
		level = MIN(level, capacity) - 1;
		last = run->start_ms;
		if (level < 0) {
			sim_violation(sim,
				      "rate: %s exceeded its rate and burst",
				      a->name);
			return;
		}
	}
}

/* A newly started server is not overloaded. */
static void check_ramp(struct sim *sim)
{
	for (int s = 0; s < sim->nservers; s++) {
		if (sim->servers[s].model->overloads > 0)
			sim_violation(sim, "ramp: %s was overloaded %u times",
				      sim->servers[s].name,
				      sim->servers[s].model->overloads);
	}
}

/* A server that is taken out, alone or with its zone, gets no new runs. */
static void check_evacuation(struct sim *sim)
{
	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (run->out_for_ms > INVARIANTS_REACTION_MAX_MS)
			sim_violation(sim,
				      "out: %s got a run %d ms after it was "
				      "taken out",
				      sim->servers[run->server].name,
				      (int)run->out_for_ms);
	}
}

/* A request that was reported as not executed did not run. */
static void check_not_run(struct sim *sim)
{
	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];
		const struct sim_program *prog = find_program(sim, run);

		for (guint j = 0; prog != NULL && j < prog->not_run->len; j++) {
			const struct clients_not_run *not_run = &g_array_index(
				prog->not_run, struct clients_not_run, j);

			if (not_run->turn == run->turn &&
			    run->start_ms >= not_run->called_ms &&
			    run->start_ms <= not_run->replied_ms)
				sim_violation(sim,
					      "not run: P%d.%d ran, but was "
					      "reported as not run",
					      run->prog, run->turn);
		}
	}
}

/* A request that is not repeatable runs at most once. */
static void check_at_most_once(struct sim *sim)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		if (run->repeatable)
			continue;
		if (!g_hash_table_add(seen, g_strdup_printf("%d.%d", run->prog,
							    run->turn)))
			sim_violation(sim, "once: P%d.%d ran more than once",
				      run->prog, run->turn);
	}
	g_hash_table_unref(seen);
}

/* An accepted configuration takes effect on every ready node in time. */
static void check_config(struct sim *sim)
{
	if (sim->table_out ||
	    sim->now_ms < sim->config_accepted_ms + INVARIANTS_REACTION_MAX_MS)
		return;
	for (int i = 0; i < sim->params.nodes; i++) {
		const struct sim_node *n = &sim->nodes[i];

		if (n->node != NULL && node_is_ready(n->node) &&
		    n->revision < sim->config_revision)
			sim_violation(sim, "config: %s is at revision %u of %u",
				      n->id, (unsigned)n->revision,
				      (unsigned)sim->config_revision);
	}
}

void invariants_check(struct sim *sim)
{
	check_order(sim);
	check_history(sim);
	check_budget(sim);
	check_released_caches(sim);
	check_keys(sim);
	for (int i = 0; i < sim->params.accounts; i++)
		check_rate(sim, i);
	check_ramp(sim);
	check_evacuation(sim);
	check_not_run(sim);
	check_at_most_once(sim);
	check_config(sim);
}
