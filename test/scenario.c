/**
 * @file scenario.c
 * @brief Runs scenario files and seeded random sequences of faults.
 *
 * Usage: scenario [-v] FILE...               each file is a test
 *        scenario [-v] -n COUNT [-s SEED]    COUNT random runs
 *
 * test/scenarios/README describes the language of scenario files.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "test/sim/clients.h"
#include "test/sim/invariants.h"

enum {
	ARGS_MAX = 32,
	QUIESCE_STEP_MS = 60000,
	STARTUP_MS = 4000,
};

static bool verbose;

struct scenario {
	struct sim *sim;
	struct sim_params params;
	const char *file;
	int line;
	char error[256];
};

static struct sim *get_sim(struct scenario *scenario)
{
	if (scenario->sim == NULL) {
		scenario->sim = sim_create(&scenario->params);
		scenario->sim->verbose = verbose;
		sim_run_for(scenario->sim, STARTUP_MS);
	}
	return scenario->sim;
}

static long int_arg(char **args, int n_args, const char *name,
		    long default_value)
{
	for (int i = 1; i + 1 < n_args; i++) {
		if (strcmp(args[i], name) == 0)
			return strtol(args[i + 1], NULL, 10);
	}
	return default_value;
}

static const char *string_arg(char **args, int n_args, const char *name)
{
	for (int i = 1; i + 1 < n_args; i++) {
		if (strcmp(args[i], name) == 0)
			return g_intern_string(args[i + 1]);
	}
	return NULL;
}

static bool has_arg(char **args, int n_args, const char *name)
{
	for (int i = 1; i < n_args; i++) {
		if (strcmp(args[i], name) == 0)
			return true;
	}
	return false;
}

static int node_arg(const char *name)
{
	return (int)strtol(name + 1, NULL, 10) - 1;
}

static int server_arg(struct scenario *scenario, const char *name)
{
	for (int i = 0; i < get_sim(scenario)->nservers; i++) {
		if (strcmp(scenario->sim->servers[i].name, name) == 0)
			return i;
	}
	return 0;
}

/* A step; args[0] is its keyword. */
typedef void (*step_fn)(struct scenario *scenario, char **args, int n_args);

static void step_world(struct scenario *scenario, char **args, int n_args)
{
	struct sim_params *p = &scenario->params;

	p->seed = (uint64_t)int_arg(args, n_args, "seed", 1);
	p->nodes = (int)int_arg(args, n_args, "nodes", p->nodes);
	p->engines = (int)int_arg(args, n_args, "engines", p->engines);
	p->services = (int)int_arg(args, n_args, "desks", p->services);
	p->accounts = (int)int_arg(args, n_args, "accounts", p->accounts);
	p->rate = (double)int_arg(args, n_args, "rate", (long)p->rate);
	p->burst = (double)int_arg(args, n_args, "burst", (long)p->burst);
	p->idle_s = (uint32_t)int_arg(args, n_args, "idle", p->idle_s);
	p->turns_max = (uint32_t)int_arg(args, n_args, "turns", p->turns_max);
}

static void step_programs(struct scenario *scenario, char **args, int n_args)
{
	struct sim *sim = get_sim(scenario);
	long count = strtol(args[1], NULL, 10);
	long spread_ms = int_arg(args, n_args, "spread", 1000);

	for (long i = 0; i < count; i++) {
		int account = (int)int_arg(args, n_args, "account",
					   i % scenario->params.accounts);
		struct sim_program *prog = clients_add_program(
			sim, account, (int)int_arg(args, n_args, "turns", 3));

		prog->tool_percent = (int)int_arg(args, n_args, "tools", 0);
		prog->pause_max_ms = (int)int_arg(args, n_args, "pause", 200);
		prog->out_tokens_max = (int)int_arg(args, n_args, "out", 40);
		prog->budget_tokens =
			(uint64_t)int_arg(args, n_args, "budget", 0);
		prog->parent = (int)int_arg(args, n_args, "parent", -1);
		prog->kept_open = has_arg(args, n_args, "keep");
		prog->one_shot = has_arg(args, n_args, "once");
		prog->call_timeout_ms = (int)int_arg(args, n_args, "deadline",
						     CLIENTS_CALL_TIMEOUT_MS);
		prog->sends_early = has_arg(args, n_args, "early");
		prog->poison = string_arg(args, n_args, "poison");
		clients_start_program(
			prog,
			(double)rng_below(&sim->rng, (uint64_t)spread_ms + 1));
	}
}

static void step_run(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_run_for(get_sim(scenario), strtol(args[1], NULL, 10));
}

static void step_kill(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_kill_node(get_sim(scenario), node_arg(args[1]));
}

static void step_start(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_start_node(get_sim(scenario), node_arg(args[1]));
}

static void step_freeze(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_freeze_node(get_sim(scenario), node_arg(args[1]));
}

static void step_thaw(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_thaw_node(get_sim(scenario), node_arg(args[1]));
}

static void step_drain(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	sim_drain_node(get_sim(scenario), node_arg(args[1]));
}

static void step_cut(struct scenario *scenario, char **args, int n_args)
{
	struct sim_node *node = &get_sim(scenario)->nodes[node_arg(args[1])];

	node->table_unreachable = has_arg(args, n_args, "table");
	node->peers_unreachable = has_arg(args, n_args, "peers");
}

static void step_table(struct scenario *scenario, char **args, int n_args)
{
	struct sim *sim = get_sim(scenario);

	sim->table_out = has_arg(args, n_args, "out");
	sim->table_delay_max_ms = (int)int_arg(args, n_args, "slow", 0);
	sim->reply_loss_percent = (int)int_arg(args, n_args, "lose-reply", 0);
}

static void step_objects(struct scenario *scenario, char **args, int n_args)
{
	get_sim(scenario)->objects_out = has_arg(args, n_args, "out");
}

static void step_peers(struct scenario *scenario, char **args, int n_args)
{
	get_sim(scenario)->message_loss_percent =
		(int)int_arg(args, n_args, "lose", 0);
}

static void step_answers(struct scenario *scenario, char **args, int n_args)
{
	get_sim(scenario)->mismatched_percent =
		(int)int_arg(args, n_args, "crossed", 0);
}

static void step_crash(struct scenario *scenario, char **args, int n_args)
{
	(void)n_args;
	backends_crash(get_sim(scenario), server_arg(scenario, args[1]));
}

static void set_server_out(struct sim *sim, struct sim_server *s, bool out)
{
	s->out = out;
	s->out_since_ms = out ? sim->now_ms : 0;
}

static void step_server(struct scenario *scenario, char **args, int n_args)
{
	struct sim *sim = get_sim(scenario);

	set_server_out(sim, &sim->servers[server_arg(scenario, args[1])],
		       has_arg(args, n_args, "out"));
	sim_apply_config(sim);
}

static void step_zone(struct scenario *scenario, char **args, int n_args)
{
	struct sim *sim = get_sim(scenario);

	for (int i = 0; i < sim->nservers; i++) {
		if (strcmp(sim->servers[i].zone, args[1]) == 0)
			set_server_out(sim, &sim->servers[i],
				       has_arg(args, n_args, "out"));
	}
	sim_apply_config(sim);
}

static void step_withdraw(struct scenario *scenario, char **args, int n_args)
{
	struct sim *sim = get_sim(scenario);
	struct sim_account *a = &sim->accounts[strtol(args[1], NULL, 10)];

	(void)n_args;
	a->withdrawn = true;
	a->withdrawn_ms = sim->now_ms;
	sim_apply_config(sim);
}

static void step_apply(struct scenario *scenario, char **args, int n_args)
{
	long times = n_args > 1 ? strtol(args[1], NULL, 10) : 1;

	for (long i = 0; i < times; i++)
		sim_apply_config(get_sim(scenario));
}

static void clear_faults(struct sim *sim)
{
	sim->table_out = false;
	sim->objects_out = false;
	sim->table_delay_max_ms = 0;
	sim->reply_loss_percent = 0;
	sim->message_loss_percent = 0;
	sim->mismatched_percent = 0;
	for (int i = 0; i < sim->params.nodes; i++) {
		sim->nodes[i].table_unreachable = false;
		sim->nodes[i].peers_unreachable = false;
		if (sim->nodes[i].frozen)
			sim_thaw_node(sim, i);
	}
}

static void step_heal(struct scenario *scenario, char **args, int n_args)
{
	(void)args;
	(void)n_args;
	clear_faults(get_sim(scenario));
}

/* Waits until every program has finished and releases are delivered. */
static void quiesce(struct sim *sim)
{
	for (int i = 0; i < 10 && !clients_all_finished(sim); i++)
		sim_run_for(sim, QUIESCE_STEP_MS);
	sim_run_for(sim, QUIESCE_STEP_MS / 4);
	if (!clients_all_finished(sim))
		sim_violation(sim, "service: some programs did not finish");
}

static void step_quiesce(struct scenario *scenario, char **args, int n_args)
{
	(void)args;
	(void)n_args;
	quiesce(get_sim(scenario));
}

static long count_answered(const struct sim *sim)
{
	long count = 0;

	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		for (guint j = 0; j < prog->answered->len; j++)
			count += g_array_index(prog->answered, bool, j);
	}
	return count;
}

static long count_stopped(const struct sim *sim, long status)
{
	long count = 0;

	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		count += prog->stop_status == (uint32_t)status;
	}
	return count;
}

static long count_unknown(const struct sim *sim)
{
	long count = 0;

	for (guint i = 0; i < sim->progs->len; i++)
		count += ((const struct sim_program *)sim->progs->pdata[i])
				 ->unknown_replies;
	return count;
}

static long count_restarts(const struct sim *sim)
{
	long count = 0;

	for (int i = 0; i < sim->nservers; i++)
		count += (long)sim->servers[i].model->incarnation - 1;
	return count;
}

static long count_rate_refusals(const struct sim *sim)
{
	long count = 0;

	for (guint i = 0; i < sim->progs->len; i++)
		count += ((const struct sim_program *)sim->progs->pdata[i])
				 ->rate_refusals;
	return count;
}

static long sum_counter(const struct sim *sim, const char *name)
{
	long count = 0;

	for (int c = 0; c < NODE_COUNTER_COUNT; c++) {
		for (int i = 0; strcmp(node_counter_names[c], name) == 0 &&
				i < sim->params.nodes;
		     i++) {
			if (sim->nodes[i].node != NULL)
				count += (long)node_counter(sim->nodes[i].node,
							    c);
		}
	}
	return count;
}

/* expect WHAT [ARG] at-least|at-most|exactly N */
static void step_expect(struct scenario *scenario, char **args, int n_args)
{
	const struct sim *sim = get_sim(scenario);
	long expected = strtol(args[n_args - 1], NULL, 10);
	const char *relation = args[n_args - 2];
	long actual = 0;

	if (strcmp(args[1], "answered") == 0)
		actual = count_answered(sim);
	else if (strcmp(args[1], "stopped") == 0)
		actual = count_stopped(sim, strtol(args[2], NULL, 10));
	else if (strcmp(args[1], "unknown") == 0)
		actual = count_unknown(sim);
	else if (strcmp(args[1], "restarts") == 0)
		actual = count_restarts(sim);
	else if (strcmp(args[1], "rate-refusals") == 0)
		actual = count_rate_refusals(sim);
	else if (strcmp(args[1], "runs") == 0)
		actual = (long)sim->runs->len;
	else
		actual = sum_counter(sim, args[1]);
	if ((strcmp(relation, "at-least") == 0 && actual >= expected) ||
	    (strcmp(relation, "at-most") == 0 && actual <= expected) ||
	    (strcmp(relation, "exactly") == 0 && actual == expected))
		return;
	sim_violation(scenario->sim, "expect: %s is %ld, expected %s %ld",
		      args[1], actual, relation, expected);
}

static const struct {
	const char *keyword;
	step_fn fn;
	int args_min; /* including the keyword */
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

static bool run_step(struct scenario *scenario, const char *line)
{
	char *copy = g_strndup(line, strcspn(line, "#"));
	char **args = g_strsplit_set(g_strstrip(copy), " \t", ARGS_MAX);
	int n_args = 0;
	bool ok = false;

	for (int i = 0; args[i] != NULL; i++) {
		if (args[i][0] != '\0')
			args[n_args++] = args[i];
		else
			g_free(args[i]);
	}
	args[n_args] = NULL;
	ok = n_args == 0;
	for (size_t i = 0; n_args > 0 && i < G_N_ELEMENTS(steps); i++) {
		if (strcmp(steps[i].keyword, args[0]) != 0 ||
		    n_args < steps[i].args_min)
			continue;
		steps[i].fn(scenario, args, n_args);
		ok = true;
	}
	g_strfreev(args);
	g_free(copy);
	return ok;
}

static void run_file(void **state)
{
	struct scenario scenario = {.params = sim_default_params(),
				    .file = *state};
	char *content = NULL;
	char **line;

	if (!g_file_get_contents(scenario.file, &content, NULL, NULL))
		fail_msg("%s: cannot read the file", scenario.file);
	line = g_strsplit(content, "\n", -1);
	for (scenario.line = 0; line[scenario.line] != NULL; scenario.line++) {
		if (!run_step(&scenario, line[scenario.line]))
			fail_msg("%s:%d: unknown step or too few arguments: %s",
				 scenario.file, scenario.line + 1,
				 line[scenario.line]);
	}
	invariants_check(get_sim(&scenario));
	if (scenario.sim->violations->len > 0) {
		print_error("%s", scenario.sim->violations->str);
		fail_msg("%s failed", scenario.file);
	}
	sim_destroy(scenario.sim);
	g_strfreev(line);
	g_free(content);
}

/* Injects or clears a random fault. */
static void inject_random_fault(struct sim *sim)
{
	int node = (int)rng_below(&sim->rng, (uint64_t)sim->params.nodes);
	int server = (int)rng_below(&sim->rng, (uint64_t)sim->nservers);

	int kind = (int)rng_below(&sim->rng, 16);

	if (verbose)
		printf("%8" G_GINT64_FORMAT " fault %d node n%d server %s\n",
		       sim->now_ms, kind, node + 1, sim->servers[server].name);
	switch (kind) {
	case 0:
		sim_kill_node(sim, node);
		break;
	case 1:
	case 2:
		sim_start_node(sim, node);
		break;
	case 3:
		sim_freeze_node(sim, node);
		break;
	case 4:
		if (sim->nodes[node].frozen)
			sim_thaw_node(sim, node);
		break;
	case 5:
		sim->nodes[node].table_unreachable =
			!sim->nodes[node].table_unreachable;
		break;
	case 6:
		sim->nodes[node].peers_unreachable =
			!sim->nodes[node].peers_unreachable;
		break;
	case 7:
		sim->table_out = !sim->table_out;
		break;
	case 8:
		sim->table_delay_max_ms = sim->table_delay_max_ms > 0 ? 0 : 900;
		break;
	case 9:
		sim->reply_loss_percent = sim->reply_loss_percent > 0 ? 0 : 20;
		break;
	case 10:
		sim->message_loss_percent =
			sim->message_loss_percent > 0 ? 0 : 5;
		break;
	case 11:
		backends_crash(sim, server);
		break;
	case 12:
		set_server_out(sim, &sim->servers[server],
			       !sim->servers[server].out);
		sim_apply_config(sim);
		break;
	case 13:
		sim_drain_node(sim, node);
		break;
	case 14:
		sim->objects_out = !sim->objects_out;
		break;
	default:
		clear_faults(sim);
	}
}

static char *random_run(uint64_t seed)
{
	struct sim_params params = sim_default_params();
	struct sim *sim;
	char *violations = NULL;

	params.seed = seed;
	params.rate = 5;
	params.burst = 10;
	sim = sim_create(&params);
	sim->verbose = verbose;
	sim_run_for(sim, STARTUP_MS);
	for (int i = 0; i < 6; i++) {
		int turns = i == 5 ? 1 : 2 + (int)rng_below(&sim->rng, 10);
		struct sim_program *prog =
			clients_add_program(sim, i % params.accounts, turns);

		prog->tool_percent = 30;
		prog->budget_tokens = 2000 + rng_below(&sim->rng, 20000);
		prog->one_shot = i == 5;
		clients_start_program(prog, (double)rng_below(&sim->rng, 2000));
	}
	for (int i = 0; i < 12; i++) {
		sim_run_for(sim, (int64_t)rng_below(&sim->rng, 2500));
		inject_random_fault(sim);
	}
	clear_faults(sim);
	for (int i = 0; i < params.nodes; i++)
		sim_start_node(sim, i);
	for (int i = 0; i < sim->nservers; i++)
		set_server_out(sim, &sim->servers[i], false);
	sim_apply_config(sim);
	for (int i = 0; i < 4 * 10 && !clients_all_finished(sim); i++) {
		sim_run_for(sim, QUIESCE_STEP_MS / 10);
		for (int j = 0; j < params.nodes; j++)
			sim_start_node(sim, j);
	}
	quiesce(sim);
	invariants_check(sim);
	if (sim->violations->len > 0)
		violations = g_strdup(sim->violations->str);
	sim_destroy(sim);
	return violations;
}

static int random_runs(uint64_t seed, long count)
{
	long failed = 0;

	for (long i = 0; i < count; i++) {
		char *violations = random_run(seed + (uint64_t)i);

		if (violations == NULL)
			continue;
		failed++;
		printf("seed %llu failed; replay: scenario -n 1 -s %llu\n%s",
		       (unsigned long long)(seed + (uint64_t)i),
		       (unsigned long long)(seed + (uint64_t)i), violations);
		g_free(violations);
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
