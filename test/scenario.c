/**
 * @file scenario.c
 * @brief Runs scenario files, and seeded random interleavings of faults.
 *
 * Usage: scenario FILE...          each file as a test
 *        scenario -n COUNT [-s SEED]  COUNT random runs
 * The language: one step a line; see test/scenarios/README.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "test/sim/check.h"
#include "test/sim/clients.h"

enum {
	WORDS_MAX = 32,
	QUIESCE_MS = 60000,
	SETTLE_MS = 4000,
};

static bool verbose;

struct run {
	struct world *w;
	struct wld_params params;
	const char *file;
	int line;
	char error[256];
};

static struct world *world(struct run *run)
{
	if (run->w == NULL) {
		run->w = wld_create(&run->params);
		run->w->verbose = verbose;
		wld_run_for(run->w, SETTLE_MS);
	}
	return run->w;
}

static long number(char **word, int n, const char *name, long preset)
{
	for (int i = 1; i + 1 < n; i++) {
		if (strcmp(word[i], name) == 0)
			return strtol(word[i + 1], NULL, 10);
	}
	return preset;
}

static const char *text(char **word, int n, const char *name)
{
	for (int i = 1; i + 1 < n; i++) {
		if (strcmp(word[i], name) == 0)
			return g_intern_string(word[i + 1]);
	}
	return NULL;
}

static bool flag(char **word, int n, const char *name)
{
	for (int i = 1; i < n; i++) {
		if (strcmp(word[i], name) == 0)
			return true;
	}
	return false;
}

static int node_arg(const char *word)
{
	return (int)strtol(word + 1, NULL, 10) - 1;
}

static int server_arg(struct run *run, const char *word)
{
	for (int i = 0; i < world(run)->nservers; i++) {
		if (strcmp(run->w->servers[i].name, word) == 0)
			return i;
	}
	return 0;
}

/* Each step gets its words, the keyword first. */
typedef void (*step_fn)(struct run *run, char **word, int n);

static void step_world(struct run *run, char **word, int n)
{
	struct wld_params *p = &run->params;

	p->seed = (uint64_t)number(word, n, "seed", 1);
	p->nodes = (int)number(word, n, "nodes", p->nodes);
	p->engines = (int)number(word, n, "engines", p->engines);
	p->desks = (int)number(word, n, "desks", p->desks);
	p->accounts = (int)number(word, n, "accounts", p->accounts);
	p->rate = (double)number(word, n, "rate", (long)p->rate);
	p->burst = (double)number(word, n, "burst", (long)p->burst);
	p->idle_s = (uint32_t)number(word, n, "idle", p->idle_s);
	p->turns_max = (uint32_t)number(word, n, "turns", p->turns_max);
}

static void step_programs(struct run *run, char **word, int n)
{
	struct world *w = world(run);
	long count = strtol(word[1], NULL, 10);
	long spread = number(word, n, "spread", 1000);

	for (long i = 0; i < count; i++) {
		int account = (int)number(word, n, "account",
					  i % run->params.accounts);
		struct prog *prog =
			cli_add(w, account, (int)number(word, n, "turns", 3));

		prog->tool_percent = (int)number(word, n, "tools", 0);
		prog->pause_ms = (int)number(word, n, "pause", 200);
		prog->out_tokens = (int)number(word, n, "out", 40);
		prog->budget = (uint64_t)number(word, n, "budget", 0);
		prog->parent = (int)number(word, n, "parent", -1);
		prog->keep = flag(word, n, "keep");
		prog->one_shot = flag(word, n, "once");
		prog->deadline_ms =
			(int)number(word, n, "deadline", CLI_DEADLINE_MS);
		prog->early = flag(word, n, "early");
		prog->poison = text(word, n, "poison");
		cli_start(prog,
			  (double)rng_below(&w->rng, (uint64_t)spread + 1));
	}
}

static void step_run(struct run *run, char **word, int n)
{
	(void)n;
	wld_run_for(world(run), strtol(word[1], NULL, 10));
}

static void step_kill(struct run *run, char **word, int n)
{
	(void)n;
	wld_kill_node(world(run), node_arg(word[1]));
}

static void step_start(struct run *run, char **word, int n)
{
	(void)n;
	wld_start_node(world(run), node_arg(word[1]));
}

static void step_freeze(struct run *run, char **word, int n)
{
	(void)n;
	wld_freeze_node(world(run), node_arg(word[1]));
}

static void step_thaw(struct run *run, char **word, int n)
{
	(void)n;
	wld_thaw_node(world(run), node_arg(word[1]));
}

static void step_drain(struct run *run, char **word, int n)
{
	(void)n;
	wld_drain_node(world(run), node_arg(word[1]));
}

static void step_cut(struct run *run, char **word, int n)
{
	struct wld_node *node = &world(run)->nodes[node_arg(word[1])];

	node->cut_table = flag(word, n, "table");
	node->cut_peers = flag(word, n, "peers");
}

static void step_table(struct run *run, char **word, int n)
{
	struct world *w = world(run);

	w->outage = flag(word, n, "out");
	w->slow_ms = (int)number(word, n, "slow", 0);
	w->lose_replies = (int)number(word, n, "lose-reply", 0);
}

static void step_objects(struct run *run, char **word, int n)
{
	world(run)->objects_out = flag(word, n, "out");
}

static void step_peers(struct run *run, char **word, int n)
{
	world(run)->lose_messages = (int)number(word, n, "lose", 0);
}

static void step_answers(struct run *run, char **word, int n)
{
	world(run)->crossed = (int)number(word, n, "crossed", 0);
}

static void step_crash(struct run *run, char **word, int n)
{
	(void)n;
	bke_crash(world(run), server_arg(run, word[1]));
}

static void set_out(struct world *w, struct wld_server *s, bool out)
{
	s->out = out;
	s->out_ms = out ? w->now_ms : 0;
}

static void step_server(struct run *run, char **word, int n)
{
	struct world *w = world(run);

	set_out(w, &w->servers[server_arg(run, word[1])], flag(word, n, "out"));
	wld_apply(w);
}

static void step_zone(struct run *run, char **word, int n)
{
	struct world *w = world(run);

	for (int i = 0; i < w->nservers; i++) {
		if (strcmp(w->servers[i].zone, word[1]) == 0)
			set_out(w, &w->servers[i], flag(word, n, "out"));
	}
	wld_apply(w);
}

static void step_withdraw(struct run *run, char **word, int n)
{
	struct world *w = world(run);
	struct wld_account *a = &w->accounts[strtol(word[1], NULL, 10)];

	(void)n;
	a->withdrawn = true;
	a->withdrawn_ms = w->now_ms;
	wld_apply(w);
}

static void step_apply(struct run *run, char **word, int n)
{
	long times = n > 1 ? strtol(word[1], NULL, 10) : 1;

	for (long i = 0; i < times; i++)
		wld_apply(world(run));
}

static void heal(struct world *w)
{
	w->outage = false;
	w->objects_out = false;
	w->slow_ms = 0;
	w->lose_replies = 0;
	w->lose_messages = 0;
	w->crossed = 0;
	for (int i = 0; i < w->params.nodes; i++) {
		w->nodes[i].cut_table = false;
		w->nodes[i].cut_peers = false;
		if (w->nodes[i].frozen)
			wld_thaw_node(w, i);
	}
}

static void step_heal(struct run *run, char **word, int n)
{
	(void)word;
	(void)n;
	heal(world(run));
}

/* Lets every program come to its end, and releases come through. */
static void quiesce(struct world *w)
{
	for (int i = 0; i < 10 && !cli_all_finished(w); i++)
		wld_run_for(w, QUIESCE_MS);
	wld_run_for(w, QUIESCE_MS / 4);
	if (!cli_all_finished(w))
		wld_fault(w, "service: not all programs came to an end");
}

static void step_quiesce(struct run *run, char **word, int n)
{
	(void)word;
	(void)n;
	quiesce(world(run));
}

static long answered(const struct world *w)
{
	long count = 0;

	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		for (guint j = 0; j < prog->answered->len; j++)
			count += g_array_index(prog->answered, bool, j);
	}
	return count;
}

static long stopped_by(const struct world *w, long status)
{
	long count = 0;

	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		count += prog->status == (uint32_t)status;
	}
	return count;
}

static long unknown(const struct world *w)
{
	long count = 0;

	for (guint i = 0; i < w->progs->len; i++)
		count += ((const struct prog *)w->progs->pdata[i])->unknown;
	return count;
}

static long restarts(const struct world *w)
{
	long count = 0;

	for (int i = 0; i < w->nservers; i++)
		count += (long)w->servers[i].model->incarnation - 1;
	return count;
}

static long refused_rate(const struct world *w)
{
	long count = 0;

	for (guint i = 0; i < w->progs->len; i++)
		count +=
			((const struct prog *)w->progs->pdata[i])->refused_rate;
	return count;
}

static long counted(const struct world *w, const char *name)
{
	long count = 0;

	for (int c = 0; c < NODE_COUNTER_COUNT; c++) {
		for (int i = 0; strcmp(node_counter_names[c], name) == 0 &&
				i < w->params.nodes;
		     i++) {
			if (w->nodes[i].node != NULL)
				count +=
					(long)node_counter(w->nodes[i].node, c);
		}
	}
	return count;
}

/* expect WHAT [ARG] at-least|at-most|exactly N */
static void step_expect(struct run *run, char **word, int n)
{
	const struct world *w = world(run);
	long want = strtol(word[n - 1], NULL, 10);
	const char *how = word[n - 2];
	long have = 0;

	if (strcmp(word[1], "answered") == 0)
		have = answered(w);
	else if (strcmp(word[1], "stopped") == 0)
		have = stopped_by(w, strtol(word[2], NULL, 10));
	else if (strcmp(word[1], "unknown") == 0)
		have = unknown(w);
	else if (strcmp(word[1], "restarts") == 0)
		have = restarts(w);
	else if (strcmp(word[1], "rate-refusals") == 0)
		have = refused_rate(w);
	else if (strcmp(word[1], "runs") == 0)
		have = (long)w->runs->len;
	else
		have = counted(w, word[1]);
	if ((strcmp(how, "at-least") == 0 && have >= want) ||
	    (strcmp(how, "at-most") == 0 && have <= want) ||
	    (strcmp(how, "exactly") == 0 && have == want))
		return;
	wld_fault(run->w, "expect: %s is %ld, not %s %ld", word[1], have, how,
		  want);
}

static const struct {
	const char *keyword;
	step_fn fn;
	int words; /* least number of words */
} steps[] = {
	{"world", step_world, 1},	{"programs", step_programs, 2},
	{"run", step_run, 2},		{"kill", step_kill, 2},
	{"start", step_start, 2},	{"freeze", step_freeze, 2},
	{"thaw", step_thaw, 2},		{"drain", step_drain, 2},
	{"cut", step_cut, 3},		{"table", step_table, 2},
	{"objects", step_objects, 2},	{"peers", step_peers, 3},
	{"answers", step_answers, 3},	{"crash", step_crash, 2},
	{"server", step_server, 3},	{"zone", step_zone, 3},
	{"withdraw", step_withdraw, 2}, {"apply", step_apply, 1},
	{"heal", step_heal, 1},		{"quiesce", step_quiesce, 1},
	{"expect", step_expect, 4},
};

static bool do_line(struct run *run, const char *line)
{
	char *copy = g_strndup(line, strcspn(line, "#"));
	char **word = g_strsplit_set(g_strstrip(copy), " \t", WORDS_MAX);
	int n = 0;
	bool ok = false;

	for (int i = 0; word[i] != NULL; i++) {
		if (word[i][0] != '\0')
			word[n++] = word[i];
		else
			g_free(word[i]);
	}
	word[n] = NULL;
	ok = n == 0;
	for (size_t i = 0; n > 0 && i < G_N_ELEMENTS(steps); i++) {
		if (strcmp(steps[i].keyword, word[0]) != 0 ||
		    n < steps[i].words)
			continue;
		steps[i].fn(run, word, n);
		ok = true;
	}
	g_strfreev(word);
	g_free(copy);
	return ok;
}

static void run_file(void **state)
{
	struct run run = {.params = wld_defaults(), .file = *state};
	char *content = NULL;
	char **line;

	if (!g_file_get_contents(run.file, &content, NULL, NULL))
		fail_msg("%s: cannot be read", run.file);
	line = g_strsplit(content, "\n", -1);
	for (run.line = 0; line[run.line] != NULL; run.line++) {
		if (!do_line(&run, line[run.line]))
			fail_msg("%s:%d: not a step: %s", run.file,
				 run.line + 1, line[run.line]);
	}
	chk_all(world(&run));
	if (run.w->faults->len > 0) {
		print_error("%s", run.w->faults->str);
		fail_msg("%s failed", run.file);
	}
	wld_destroy(run.w);
	g_strfreev(line);
	g_free(content);
}

/* One fault or its mending, chosen by the seed. */
static void random_fault(struct world *w)
{
	int node = (int)rng_below(&w->rng, (uint64_t)w->params.nodes);
	int server = (int)rng_below(&w->rng, (uint64_t)w->nservers);

	int kind = (int)rng_below(&w->rng, 16);

	if (verbose)
		printf("%8" G_GINT64_FORMAT " fault %d node n%d server %s\n",
		       w->now_ms, kind, node + 1, w->servers[server].name);
	switch (kind) {
	case 0:
		wld_kill_node(w, node);
		break;
	case 1:
	case 2:
		wld_start_node(w, node);
		break;
	case 3:
		wld_freeze_node(w, node);
		break;
	case 4:
		if (w->nodes[node].frozen)
			wld_thaw_node(w, node);
		break;
	case 5:
		w->nodes[node].cut_table = !w->nodes[node].cut_table;
		break;
	case 6:
		w->nodes[node].cut_peers = !w->nodes[node].cut_peers;
		break;
	case 7:
		w->outage = !w->outage;
		break;
	case 8:
		w->slow_ms = w->slow_ms > 0 ? 0 : 900;
		break;
	case 9:
		w->lose_replies = w->lose_replies > 0 ? 0 : 20;
		break;
	case 10:
		w->lose_messages = w->lose_messages > 0 ? 0 : 5;
		break;
	case 11:
		bke_crash(w, server);
		break;
	case 12:
		set_out(w, &w->servers[server], !w->servers[server].out);
		wld_apply(w);
		break;
	case 13:
		wld_drain_node(w, node);
		break;
	case 14:
		w->objects_out = !w->objects_out;
		break;
	default:
		heal(w);
	}
}

static char *random_run(uint64_t seed)
{
	struct wld_params params = wld_defaults();
	struct world *w;
	char *faults = NULL;

	params.seed = seed;
	params.rate = 5;
	params.burst = 10;
	w = wld_create(&params);
	w->verbose = verbose;
	wld_run_for(w, SETTLE_MS);
	for (int i = 0; i < 6; i++) {
		int turns = i == 5 ? 1 : 2 + (int)rng_below(&w->rng, 10);
		struct prog *prog = cli_add(w, i % params.accounts, turns);

		prog->tool_percent = 30;
		prog->budget = 2000 + rng_below(&w->rng, 20000);
		prog->one_shot = i == 5;
		cli_start(prog, (double)rng_below(&w->rng, 2000));
	}
	for (int i = 0; i < 12; i++) {
		wld_run_for(w, (int64_t)rng_below(&w->rng, 2500));
		random_fault(w);
	}
	heal(w);
	for (int i = 0; i < params.nodes; i++)
		wld_start_node(w, i);
	for (int i = 0; i < w->nservers; i++)
		set_out(w, &w->servers[i], false);
	wld_apply(w);
	for (int i = 0; i < 4 * 10 && !cli_all_finished(w); i++) {
		wld_run_for(w, QUIESCE_MS / 10);
		for (int j = 0; j < params.nodes; j++)
			wld_start_node(w, j);
	}
	quiesce(w);
	chk_all(w);
	if (w->faults->len > 0)
		faults = g_strdup(w->faults->str);
	wld_destroy(w);
	return faults;
}

static int random_runs(uint64_t seed, long count)
{
	long failed = 0;

	for (long i = 0; i < count; i++) {
		char *faults = random_run(seed + (uint64_t)i);

		if (faults == NULL)
			continue;
		failed++;
		printf("seed %llu failed; replay: scenario -n 1 -s %llu\n%s",
		       (unsigned long long)(seed + (uint64_t)i),
		       (unsigned long long)(seed + (uint64_t)i), faults);
		g_free(faults);
	}
	printf("random: %ld passed, %ld failed\n", count - failed, failed);
	return failed > 0;
}

static int run_files(char **files, size_t n)
{
	struct CMUnitTest *tests = g_new0(struct CMUnitTest, n);
	int failed;

	for (size_t i = 0; i < n; i++) {
		tests[i].name = files[i];
		tests[i].test_func = run_file;
		tests[i].initial_state = files[i];
	}
	failed = _cmocka_run_group_tests("scenarios", tests, n, NULL, NULL);
	g_free(tests);
	return failed != 0;
}

int main(int argc, char **argv)
{
	uint64_t seed = 1;
	long count = 0;
	int i = 1;

	if (sodium_init() < 0)
		return 1;
	for (; i < argc && argv[i][0] == '-'; i++) {
		if (strcmp(argv[i], "-v") == 0)
			verbose = true;
		else if (strcmp(argv[i], "-n") == 0 && i + 1 < argc)
			count = strtol(argv[++i], NULL, 10);
		else if (strcmp(argv[i], "-s") == 0 && i + 1 < argc)
			seed = strtoull(argv[++i], NULL, 10);
	}
	if (count > 0)
		return random_runs(seed, count);
	return run_files(argv + i, (size_t)(argc - i));
}
