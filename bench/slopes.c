/**
 * @file slopes.c
 * @brief Cost of each role against its size, for docs/CAPACITY.md.
 *
 * Usage: slopes. Prints one JSON object a line; times are processor time.
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
	SETTLE_MS = 20000,
	IDLE_S = 30,
	MS_PER_S = 1000,
};

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t heap(void)
{
	return mallinfo2().uordblks;
}

static uint64_t count(const struct sim *sim, enum nod_counter counter)
{
	uint64_t sum = 0;

	for (int i = 0; i < sim->params.nodes; i++)
		sum += nod_counter(sim->nodes[i].node, counter);
	return sum;
}

/* Instances that have nothing to do. */
static void idle_instances(int nodes)
{
	struct sim_params p = sim_default_params();
	size_t before = heap();
	struct sim *sim;
	uint64_t reads;
	uint64_t writes;
	uint64_t bytes;
	double cpu;
	double per = (double)nodes * IDLE_S;

	p.nodes = nodes;
	sim = sim_create(&p);
	sim_run_for(sim, SETTLE_MS);
	reads = sim->table_reads;
	writes = sim->table_writes;
	bytes = count(sim, NOD_PEER_BYTES);
	cpu = cpu_s();
	sim_run_for(sim, (int64_t)IDLE_S * MS_PER_S);
	printf("{\"size\":\"instances\",\"n\":%d,\"cpu_percent\":%.3f,"
	       "\"reads_s\":%.2f,\"writes_s\":%.2f,\"peer_bytes_s\":%.0f,"
	       "\"row_bytes_s\":%.0f,\"heap_kb\":%.0f}\n",
	       nodes, 100 * (cpu_s() - cpu) / per,
	       (double)(sim->table_reads - reads) / per,
	       (double)(sim->table_writes - writes) / per,
	       (double)(count(sim, NOD_PEER_BYTES) - bytes) / per,
	       (double)sim->read_reply_bytes /
		       ((IDLE_S + SETTLE_MS / 1000.0) * nodes),
	       (double)(heap() - before) / 1024 / nodes);
	sim_destroy(sim);
}

/* A world in which neither servers nor rates are short. */
static struct sim_params roomy(int nodes)
{
	struct sim_params p = sim_default_params();

	p.nodes = nodes;
	p.engines = 30;
	p.engine_runs_max = 64;
	p.rate = 1e6;
	p.burst = 1e6;
	return p;
}

/* Programs that one owner holds, each with a history of four turns. */
static void held_programs(int programs)
{
	struct sim_params p = roomy(1);
	struct sim *sim;
	size_t before;
	double cpu;

	sim = sim_create(&p);
	sim_run_for(sim, SETTLE_MS);
	before = heap();
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
	sim_run_for(sim, SETTLE_MS * 4);
	cpu = cpu_s();
	sim_run_for(sim, (int64_t)IDLE_S * MS_PER_S);
	printf("{\"size\":\"programs held\",\"n\":%d,\"cpu_percent\":%.3f,"
	       "\"heap_bytes_each\":%.0f}\n",
	       programs, 100 * (cpu_s() - cpu) / IDLE_S,
	       (double)(heap() - before) / programs);
	sim_destroy(sim);
}

/* Turns a second through the whole path. */
static void running_programs(int programs)
{
	struct sim_params p = roomy(4);
	struct sim *sim;
	uint64_t done;
	uint64_t bytes;
	uint64_t messages;
	uint64_t control;
	double idle;
	double cpu;

	sim = sim_create(&p);
	sim_run_for(sim, SETTLE_MS);
	cpu = cpu_s();
	sim_run_for(sim, SETTLE_MS);
	idle = cpu_s() - cpu;
	for (int i = 0; i < programs; i++) {
		struct sim_program *prog =
			clients_add_program(sim, i % p.accounts, 1000000);

		prog->out_tokens_max = 40;
		prog->pause_max_ms = 200;
		prog->one_shot = false;
		clients_start_program(prog, i);
	}
	sim_run_for(sim, 3000);
	done = count(sim, NOD_TURNS_COMMITTED);
	bytes = count(sim, NOD_PEER_BYTES);
	messages = count(sim, NOD_PEER_MESSAGES);
	control = count(sim, NOD_CONTROL_BYTES);
	cpu = cpu_s();
	sim_run_for(sim, SETTLE_MS);
	done = count(sim, NOD_TURNS_COMMITTED) - done;
	printf("{\"size\":\"programs running\",\"n\":%d,\"turns_s\":%.0f,"
	       "\"cpu_us_a_turn\":%.0f,\"peer_bytes_a_turn\":%.0f,"
	       "\"messages_a_turn\":%.1f,"
	       "\"control_bytes_a_turn\":%.0f}\n",
	       programs, (double)done * MS_PER_S / SETTLE_MS,
	       1e6 * (cpu_s() - cpu - idle) / (double)done,
	       (double)(count(sim, NOD_PEER_BYTES) - bytes) / (double)done,
	       (double)(count(sim, NOD_PEER_MESSAGES) - messages) /
		       (double)done,
	       (double)(count(sim, NOD_CONTROL_BYTES) - control) /
		       (double)done);
	sim_destroy(sim);
}

static char *rules_of(int accounts)
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

/* Client accounts, one key each. */
static void accounts(int n)
{
	enum { LOOKUPS = 20000, PARSES = 5 };
	char *text = rules_of(n);
	GString *errors = g_string_new(NULL);
	struct rules *rules = NULL;
	size_t before = heap();
	size_t used;
	uint8_t key[RUL_HASH_BYTES] = {0};
	double parse = cpu_s();
	double lookup;
	long found = 0;

	for (int i = 0; i < PARSES; i++) {
		rul_destroy(rules);
		rules = rul_parse(text, 1, "r", errors);
	}
	parse = (cpu_s() - parse) / PARSES;
	used = heap() - before;
	lookup = cpu_s();
	for (int i = 0; i < LOOKUPS; i++) {
		key[RUL_HASH_BYTES - 1] = (uint8_t)i;
		found += rul_key(rules, key) != NULL;
	}
	lookup = (cpu_s() - lookup) / LOOKUPS;
	printf("{\"size\":\"accounts\",\"n\":%d,\"rules_bytes\":%zu,"
	       "\"parse_ms\":%.2f,\"key_lookup_us\":%.2f,\"heap_kb\":%zu,"
	       "\"found\":%ld}\n",
	       n, strlen(text), parse * 1e3, lookup * 1e6, used / 1024, found);
	rul_destroy(rules);
	g_string_free(errors, TRUE);
	g_free(text);
}

/* Time from an applied revision to the last instance that follows it. */
static void applies(int nodes, int slow_ms)
{
	enum { APPLIES = 20, APART_MS = 4000 };
	struct sim_params p = sim_default_params();
	struct sim *sim;
	int64_t worst = 0;

	p.nodes = nodes;
	sim = sim_create(&p);
	sim_run_for(sim, SETTLE_MS);
	sim->table_delay_max_ms = slow_ms;
	for (int i = 0; i < APPLIES; i++) {
		sim_apply_config(sim);
		sim_run_for(sim, APART_MS);
		for (int n = 0; n < nodes; n++) {
			int64_t lag = sim->nodes[n].revision_ms -
				      sim->config_accepted_ms;

			if (sim->nodes[n].revision < sim->config_revision)
				lag = APART_MS;
			worst = MAX(worst, lag);
		}
	}
	printf("{\"size\":\"applies\",\"n\":%d,\"slow_ms\":%d,"
	       "\"worst_ms\":%d}\n",
	       nodes, slow_ms, (int)worst);
	sim_destroy(sim);
}

/* Turns that do almost nothing, so that commits are what they wait for. */
static void group_commit(int programs)
{
	struct sim_params p = roomy(12);
	double total_ms = 0;
	uint64_t writes;
	uint64_t done;
	struct sim *sim;

	sim = sim_create(&p);
	sim_run_for(sim, SETTLE_MS);
	for (int i = 0; i < programs; i++) {
		struct sim_program *prog =
			clients_add_program(sim, i % p.accounts, 1000000);

		prog->out_tokens_max = 4;
		prog->pause_max_ms = 0;
		clients_start_program(prog, i);
	}
	sim_run_for(sim, SETTLE_MS / 2);
	done = count(sim, NOD_TURNS_COMMITTED);
	writes = sim->table_writes;
	sim_run_for(sim, SETTLE_MS);
	done = count(sim, NOD_TURNS_COMMITTED) - done;
	writes = sim->table_writes - writes;
	total_ms = (double)programs * SETTLE_MS / (double)done;
	printf("{\"size\":\"group commit\",\"n\":%d,\"turns_s\":%.0f,"
	       "\"writes_s\":%.0f,\"turn_ms\":%.0f}\n",
	       programs, (double)done * MS_PER_S / SETTLE_MS,
	       (double)writes * MS_PER_S / SETTLE_MS, total_ms);
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
		idle_instances(instances_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(instances_n); i++)
		applies(instances_n[i], 0);
	applies(12, 300);
	for (size_t i = 0; i < G_N_ELEMENTS(programs_n); i++)
		held_programs(programs_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(running_n); i++)
		running_programs(running_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(running_n); i++)
		group_commit(running_n[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(accounts_n); i++)
		accounts(accounts_n[i]);
	return 0;
}
