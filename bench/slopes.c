/**
 * @file slopes.c
 * @brief Measures how costs grow with the number of instances, programs and
 * accounts, for docs/CAPACITY.md.
 *
 * Usage: slopes. Prints one JSON object per line. Times are processor time;
 * those of applies and group commit are virtual time.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "decide/config.h"
#include "decide/ledger.h"
#include "decide/member.h"
#include "decide/program.h"
#include "test/sim/clients.h"

enum {
	STARTUP_MS = 20000,
	MEASURE_S = 30,
	MS_PER_S = 1000,
};

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static uint64_t sum_counter(const struct sim *sim, enum node_counter counter)
{
	uint64_t sum = 0;

	for (int i = 0; i < sim->params.nodes; i++)
		sum += node_counter(sim->nodes[i].node, counter);
	return sum;
}

/* Cost of idle instances. */
static void measure_idle_instances(int nodes)
{
	struct sim_params p = sim_default_params();
	size_t before = heap_bytes();
	struct sim *sim;
	uint64_t reads;
	uint64_t writes;
	uint64_t bytes;
	double cpu_start_s;
	double instance_seconds = (double)nodes * MEASURE_S;

	p.nodes = nodes;
	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	reads = sim->table_reads;
	writes = sim->table_writes;
	bytes = sum_counter(sim, NODE_PEER_BYTES);
	cpu_start_s = cpu_s();
	sim_run_for(sim, (int64_t)MEASURE_S * MS_PER_S);
	printf("{\"size\":\"instances\",\"n\":%d,\"cpu_percent\":%.3f,"
	       "\"reads_s\":%.2f,\"writes_s\":%.2f,\"peer_bytes_s\":%.0f,"
	       "\"row_bytes_s\":%.0f,\"heap_kb\":%.0f}\n",
	       nodes, 100 * (cpu_s() - cpu_start_s) / instance_seconds,
	       (double)(sim->table_reads - reads) / instance_seconds,
	       (double)(sim->table_writes - writes) / instance_seconds,
	       (double)(sum_counter(sim, NODE_PEER_BYTES) - bytes) /
		       instance_seconds,
	       (double)sim->read_reply_bytes /
		       ((MEASURE_S + STARTUP_MS / 1000.0) * nodes),
	       (double)(heap_bytes() - before) / 1024 / nodes);
	sim_destroy(sim);
}

/* Parameters under which neither servers nor rates limit the load. */
static struct sim_params unlimited_params(int nodes)
{
	struct sim_params p = sim_default_params();

	p.nodes = nodes;
	p.engines = 30;
	p.engine_runs_max = 64;
	p.rate = 1e6;
	p.burst = 1e6;
	return p;
}

/* Cost of idle programs at one owner, each with a history of four turns. */
static void measure_idle_programs(int programs)
{
	struct sim_params p = unlimited_params(1);
	struct sim *sim;
	size_t before;
	double cpu_start_s;

	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	before = heap_bytes();
	for (int i = 0; i < programs; i++) {
		struct sim_program *prog =
			clients_add_program(sim, i % p.accounts, 4);

		prog->kept_open = true;
		prog->out_tokens_max = 8;
		prog->pause_max_ms = 0;
		clients_start_program(prog, i * 2.0);
	}
	while (!clients_all_finished(sim))
		sim_run_for(sim, 1000);
	sim_run_for(sim, STARTUP_MS * 4);
	cpu_start_s = cpu_s();
	sim_run_for(sim, (int64_t)MEASURE_S * MS_PER_S);
	printf("{\"size\":\"programs held\",\"n\":%d,\"cpu_percent\":%.3f,"
	       "\"heap_bytes_each\":%.0f}\n",
	       programs, 100 * (cpu_s() - cpu_start_s) / MEASURE_S,
	       (double)(heap_bytes() - before) / programs);
	sim_destroy(sim);
}

/* Cost of a turn from entry to commit. */
static void measure_running_programs(int programs)
{
	struct sim_params p = unlimited_params(4);
	struct sim *sim;
	uint64_t done;
	uint64_t bytes;
	uint64_t messages;
	uint64_t control;
	double idle_cpu_s;
	double cpu_start_s;

	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	cpu_start_s = cpu_s();
	sim_run_for(sim, STARTUP_MS);
	idle_cpu_s = cpu_s() - cpu_start_s;
	for (int i = 0; i < programs; i++) {
		struct sim_program *prog =
			clients_add_program(sim, i % p.accounts, 1000000);

		prog->out_tokens_max = 40;
		prog->pause_max_ms = 200;
		prog->one_shot = false;
		clients_start_program(prog, i);
	}
	sim_run_for(sim, 3000);
	done = sum_counter(sim, NODE_TURNS_COMMITTED);
	bytes = sum_counter(sim, NODE_PEER_BYTES);
	messages = sum_counter(sim, NODE_PEER_MESSAGES);
	control = sum_counter(sim, NODE_CONTROL_BYTES);
	cpu_start_s = cpu_s();
	sim_run_for(sim, STARTUP_MS);
	done = sum_counter(sim, NODE_TURNS_COMMITTED) - done;
	printf("{\"size\":\"programs running\",\"n\":%d,\"turns_s\":%.0f,"
	       "\"cpu_us_a_turn\":%.0f,\"peer_bytes_a_turn\":%.0f,"
	       "\"messages_a_turn\":%.1f,"
	       "\"control_bytes_a_turn\":%.0f}\n",
	       programs, (double)done * MS_PER_S / STARTUP_MS,
	       1e6 * (cpu_s() - cpu_start_s - idle_cpu_s) / (double)done,
	       (double)(sum_counter(sim, NODE_PEER_BYTES) - bytes) /
		       (double)done,
	       (double)(sum_counter(sim, NODE_PEER_MESSAGES) - messages) /
		       (double)done,
	       (double)(sum_counter(sim, NODE_CONTROL_BYTES) - control) /
		       (double)done);
	sim_destroy(sim);
}

static char *build_rules(int accounts)
{
	GString *text =
		g_string_new("model m pool p # a: b\n"
			     "server k pool p zone z addr h:1 # a: b\n");

	for (int i = 0; i < accounts; i++)
		g_string_append_printf(
			text,
			"account acct%d rate 5 burst 10 share 2 # Achieng: "
			"contract 2026-%d\nkey %064x account acct%d # Otieno: "
			"first key\n",
			i, i, i, i);
	return g_string_free(text, FALSE);
}

/* Cost of client accounts with one key each. */
static void measure_accounts(int n)
{
	enum { LOOKUPS = 20000, PARSES = 5 };
	char *text = build_rules(n);
	GString *errors = g_string_new(NULL);
	struct rules *rules = NULL;
	size_t before = heap_bytes();
	size_t heap_used;
	uint8_t key[RULES_HASH_BYTES] = {0};
	double parse_s = cpu_s();
	double lookup_s;
	long found = 0;

	for (int i = 0; i < PARSES; i++) {
		rules_destroy(rules);
		rules = rules_parse(text, 1, "r", errors);
	}
	parse_s = (cpu_s() - parse_s) / PARSES;
	heap_used = heap_bytes() - before;
	lookup_s = cpu_s();
	for (int i = 0; i < LOOKUPS; i++) {
		key[RULES_HASH_BYTES - 1] = (uint8_t)i;
		found += rules_key(rules, key) != NULL;
	}
	lookup_s = (cpu_s() - lookup_s) / LOOKUPS;
	printf("{\"size\":\"accounts\",\"n\":%d,\"rules_bytes\":%zu,"
	       "\"parse_ms\":%.2f,\"key_lookup_us\":%.2f,\"heap_kb\":%zu,"
	       "\"found\":%ld}\n",
	       n, strlen(text), parse_s * 1e3, lookup_s * 1e6, heap_used / 1024,
	       found);
	rules_destroy(rules);
	g_string_free(errors, TRUE);
	g_free(text);
}

/* Longest time until an applied revision is in effect on all instances. */
static void measure_applies(int nodes, int slow_ms)
{
	enum { APPLIES = 20, APPLY_GAP_MS = 4000 };
	struct sim_params p = sim_default_params();
	struct sim *sim;
	int64_t worst_lag_ms = 0;

	p.nodes = nodes;
	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	sim->table_delay_max_ms = slow_ms;
	for (int i = 0; i < APPLIES; i++) {
		sim_apply_config(sim);
		sim_run_for(sim, APPLY_GAP_MS);
		for (int n = 0; n < nodes; n++) {
			int64_t lag = sim->nodes[n].revision_ms -
				      sim->config_accepted_ms;

			if (sim->nodes[n].revision < sim->config_revision)
				lag = APPLY_GAP_MS;
			worst_lag_ms = MAX(worst_lag_ms, lag);
		}
	}
	printf("{\"size\":\"applies\",\"n\":%d,\"slow_ms\":%d,"
	       "\"worst_ms\":%d}\n",
	       nodes, slow_ms, (int)worst_lag_ms);
	sim_destroy(sim);
}

/* Turns with minimal output, so that commits dominate their latency. */
static void measure_group_commit(int programs)
{
	struct sim_params p = unlimited_params(12);
	double turn_ms = 0;
	uint64_t writes;
	uint64_t done;
	struct sim *sim;

	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	for (int i = 0; i < programs; i++) {
		struct sim_program *prog =
			clients_add_program(sim, i % p.accounts, 1000000);

		prog->out_tokens_max = 4;
		prog->pause_max_ms = 0;
		clients_start_program(prog, i);
	}
	sim_run_for(sim, STARTUP_MS / 2);
	done = sum_counter(sim, NODE_TURNS_COMMITTED);
	writes = sim->table_writes;
	sim_run_for(sim, STARTUP_MS);
	done = sum_counter(sim, NODE_TURNS_COMMITTED) - done;
	writes = sim->table_writes - writes;
	turn_ms = (double)programs * STARTUP_MS / (double)done;
	printf("{\"size\":\"group commit\",\"n\":%d,\"turns_s\":%.0f,"
	       "\"writes_s\":%.0f,\"turn_ms\":%.0f}\n",
	       programs, (double)done * MS_PER_S / STARTUP_MS,
	       (double)writes * MS_PER_S / STARTUP_MS, turn_ms);
	sim_destroy(sim);
}

int main(void)
{
	static const int instances_n[] = {8, 16, 32, 64};
	static const int programs_n[] = {100, 400, 1600, 6400};
	static const int running_n[] = {20, 80, 160, 320};
	static const int accounts_n[] = {10, 100, 300, 600};

	if (sodium_init() < 0)
		return 1;
	for (size_t i = 0; i < G_N_ELEMENTS(instances_n); i++)
		measure_idle_instances(instances_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(instances_n); i++)
		measure_applies(instances_n[i], 0);
	measure_applies(12, 300);
	for (size_t i = 0; i < G_N_ELEMENTS(programs_n); i++)
		measure_idle_programs(programs_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(running_n); i++)
		measure_running_programs(running_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(running_n); i++)
		measure_group_commit(running_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(accounts_n); i++)
		measure_accounts(accounts_n[i]);
	return 0;
}
