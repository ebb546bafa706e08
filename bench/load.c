/**
 * @file load.c
 * @brief Simulates a load of agent programs and prints latencies and counters.
 *
 * Usage: load latency PROFILE LOAD POLICY EVENT [SECONDS [SEED]]
 *        load rate TIMES SPREAD TAKEOVER
 *
 * PROFILE is macharia or zuiderhaven; LOAD is a percentage of the capacity of
 * warm model servers; POLICY is fair, random or least; EVENT is none, zone,
 * cold, flood, kill, roll, outage (30 s) or outage600 (600 s). TIMES is the
 * load as a multiple of the account's rate; SPREAD over the instances is even
 * or uneven; TAKEOVER, yes or no, kills the instance that holds the ledger.
 * Prints one JSON object per line.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "decide/member.h"
#include "decide/pool.h"
#include "test/sim/clients.h"

enum {
	STARTUP_MS = 5000,
	WARMUP_MS = 20000, /* excluded from the results */
	TURNS_MEAN = 8,
	TURNS_MAX = 40,
	BODY_BYTES = 400,
	OUT_TOKENS_MAX = 40,
	PAUSE_MAX_MS = 400,
	MS_PER_S = 1000,
	SERVICE_TIME_MS = 100, /* mean of a plain service */
	DRAIN_MAX_MS = 300000,
	EVENT_START_MS = 30000, /* start of the event, after the warm-up */
	EVENT_DURATION_MS = 30000,
	OUTAGE_REST_MS = 570000, /* extends the outage to 600 s */
	/* Load of the flooding account, as a multiple of its share. */
	FLOOD_FACTOR = 5,
};

/* Duration of a turn on a fully loaded warm server, in ms: a load of 100 %. */
#define WARM_TURN_MS 330.0
/* Network and commit latency of a turn, in ms. */
#define PATH_LATENCY_MS 6.0

/* Shares of the accounts in the load, of which a few are large. */
static const double account_shares[] = {.30, .20, .15, .10, .10, .05, .05, .05};

struct result {
	GArray *latency; /* double, ms */
	GArray *slowdown;
	GArray *by_account[G_N_ELEMENTS(account_shares)];
	GArray *during_event; /* of programs started during the event */
	long failed;
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(GArray *values, double q)
{
	guint i;

	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_doubles);
	i = (guint)(q * (values->len - 1) + 0.5);
	return g_array_index(values, double, i);
}

static int pick_account(struct rng *rng)
{
	double r = rng_unit(rng);

	for (size_t i = 0; i < G_N_ELEMENTS(account_shares); i++) {
		r -= account_shares[i];
		if (r < 0)
			return (int)i;
	}
	return 0;
}

static int pick_turns(struct rng *rng)
{
	double turns = 1 - log(1 - rng_unit(rng)) * (TURNS_MEAN - 1);

	return (int)fmin(turns, TURNS_MAX);
}

static void add_program(struct sim *sim, struct rng *rng, int account,
			double at_ms)
{
	struct sim_program *prog =
		clients_add_program(sim, account, pick_turns(rng));

	prog->out_tokens_max = OUT_TOKENS_MAX;
	prog->body_padding_bytes = BODY_BYTES;
	prog->pause_max_ms = PAUSE_MAX_MS;
	prog->tool_percent = 10;
	clients_start_program(prog, at_ms);
}

static void add_load(struct sim *sim, struct rng *rng, double load, bool flood,
		     double seconds)
{
	double slots =
		(double)sim->params.engines * sim->params.engine_runs_max;
	double rate =
		load * slots / WARM_TURN_MS / TURNS_MEAN; /* programs per ms */
	double end = WARMUP_MS + seconds * MS_PER_S;

	for (double t = 0; t < end; t -= log(1 - rng_unit(rng)) / rate)
		add_program(sim, rng, pick_account(rng), t);
	/* Additional load of the flooding account. */
	for (double t = 0; flood && t < end;
	     t -= log(1 - rng_unit(rng)) /
		  (rate * account_shares[2] * (FLOOD_FACTOR - 1)))
		add_program(sim, rng, 2, t);
}

/* Latency of the program alone on a warm server. */
static double ideal_latency_ms(const struct sim *sim,
			       const struct sim_program *prog)
{
	const struct model *model = sim->servers[0].model;
	double ms = 0;
	size_t before = 0;

	for (int t = 0; t < prog->turns; t++) {
		const char *body = prog->bodies->pdata[t];
		uint32_t out = model_output_tokens(body, strlen(body));

		if (strstr(body, "!>") != NULL) {
			before += strlen(body);
			ms += SERVICE_TIME_MS + PATH_LATENCY_MS;
			continue;
		}
		ms += model->prefill_ms * (double)(before + strlen(body)) /
		      MODEL_BYTES_PER_TOKEN;
		ms += model->decode_ms * out + PATH_LATENCY_MS;
		before = (size_t)out * MODEL_BYTES_PER_TOKEN;
	}
	return ms;
}

static void record_program(struct sim *sim, const struct sim_program *prog,
			   int64_t start_ms, struct result *r)
{
	double latency;
	double slowdown;
	int64_t event = start_ms + WARMUP_MS + EVENT_START_MS;

	if (prog->started_ms < start_ms + WARMUP_MS)
		return;
	if (prog->done_ms == 0) {
		r->failed++;
		return;
	}
	latency = (double)(prog->done_ms - prog->started_ms -
			   prog->pause_total_ms);
	slowdown = latency / ideal_latency_ms(sim, prog);
	g_array_append_val(r->latency, latency);
	g_array_append_val(r->slowdown, slowdown);
	g_array_append_val(r->by_account[prog->account], slowdown);
	if (prog->started_ms >= event &&
	    prog->started_ms < event + EVENT_DURATION_MS)
		g_array_append_val(r->during_event, slowdown);
}

static void set_zone(struct sim *sim, const char *zone, bool out)
{
	for (int i = 0; i < sim->nservers; i++) {
		if (strcmp(sim->servers[i].zone, zone) == 0)
			sim->servers[i].out = out;
	}
	sim_apply_config(sim);
}

static uint64_t sum_counter(const struct sim *sim, enum node_counter counter);

/* Ends an outage and prints the time until the first committed turn. */
static void end_outage(struct sim *sim)
{
	uint64_t before = sum_counter(sim, NODE_TURNS_COMMITTED);
	int64_t outage_end_ms = sim->now_ms;

	sim->table_out = false;
	while (sum_counter(sim, NODE_TURNS_COMMITTED) == before)
		sim_run_for(sim, 100);
	fprintf(stderr,
		"first turn committed %d ms after the end of the outage\n",
		(int)(sim->now_ms - outage_end_ms));
}

/* Replaces a quarter of the instances, one at a time. */
static void replace_instances(struct sim *sim)
{
	for (int i = 0; i < sim->params.nodes / 4; i++) {
		sim_drain_node(sim, i);
		sim_run_for(sim, EVENT_DURATION_MS);
		sim_start_node(sim, i);
	}
}

static void run_event(struct sim *sim, const char *event, double seconds)
{
	sim_run_for(sim, WARMUP_MS + EVENT_START_MS);
	if (strcmp(event, "zone") == 0)
		set_zone(sim, "a", true);
	if (strcmp(event, "roll") == 0)
		replace_instances(sim);
	if (strcmp(event, "kill") == 0)
		sim_kill_node(sim, 0);
	for (int i = 0;
	     strcmp(event, "cold") == 0 && i < sim->params.engines / 2; i++)
		backends_crash(sim, i);
	sim->table_out = strncmp(event, "outage", strlen("outage")) == 0;
	sim_run_for(sim, EVENT_DURATION_MS);
	if (strcmp(event, "outage600") == 0)
		sim_run_for(sim, OUTAGE_REST_MS);
	if (sim->table_out)
		end_outage(sim);
	sim->table_out = false;
	if (strcmp(event, "zone") == 0)
		set_zone(sim, "a", false);
	sim_run_for(sim, (int64_t)(seconds * MS_PER_S) - EVENT_START_MS -
				 EVENT_DURATION_MS);
	for (int i = 0; i < DRAIN_MAX_MS / 10000 && !clients_all_finished(sim);
	     i++)
		sim_run_for(sim, 10000);
}

static double account_median(struct result *r, double *worst, int excluded)
{
	GArray *p95 = g_array_new(FALSE, FALSE, sizeof(double));
	double median;

	*worst = 0;
	for (int i = 0; i < (int)G_N_ELEMENTS(account_shares); i++) {
		double q = quantile(r->by_account[i], .95);

		if (i == excluded)
			continue;
		g_array_append_val(p95, q);
		*worst = fmax(*worst, q);
	}
	median = quantile(p95, .5);
	g_array_unref(p95);
	return median;
}

static uint64_t sum_counter(const struct sim *sim, enum node_counter counter)
{
	uint64_t sum = 0;

	for (int i = 0; i < sim->params.nodes; i++) {
		if (sim->nodes[i].node != NULL)
			sum += node_counter(sim->nodes[i].node, counter);
	}
	return sum;
}

static void print_result(struct sim *sim, char **argv, struct result *r,
			 double seconds)
{
	uint32_t overloads = 0;
	double worst;
	double median = account_median(r, &worst,
				       strcmp(argv[5], "flood") == 0 ? 2 : -1);
	uint64_t refused = 0;

	for (int i = 0; i < sim->nservers; i++)
		overloads += sim->servers[i].model->overloads;
	for (guint i = 0; i < sim->progs->len; i++)
		refused += ((struct sim_program *)sim->progs->pdata[i])
				   ->rate_refusals;
	printf("{\"profile\":\"%s\",\"load\":%s,\"policy\":\"%s\","
	       "\"event\":\"%s\",\"programs\":%u,\"failed\":%ld,"
	       "\"p50_ms\":%.0f,\"p95_ms\":%.0f,\"p99_ms\":%.0f,"
	       "\"slowdown_p50\":%.2f,\"slowdown_p95\":%.2f,"
	       "\"event_p95\":%.2f,\"worst_account\":%.2f,"
	       "\"median_account\":%.2f,\"fresh_tokens\":%llu,"
	       "\"wasted_tokens\":%llu,\"overloads\":%u,\"refused\":%llu,"
	       "\"turns\":%llu,\"commits\":%llu,\"writes_s\":%.1f,"
	       "\"reads_s\":%.1f,\"peer_bytes\":%llu,\"first_p95_ms\":%.0f,"
	       "\"last_frame_p50_ms\":%.0f,\"last_frame_p95_ms\":%.0f,"
	       "\"shards_taken\":%llu}\n",
	       argv[2], argv[3], argv[4], argv[5], r->latency->len, r->failed,
	       quantile(r->latency, .5), quantile(r->latency, .95),
	       quantile(r->latency, .99), quantile(r->slowdown, .5),
	       quantile(r->slowdown, .95), quantile(r->during_event, .95),
	       worst, median, (unsigned long long)sim->prefilled_tokens,
	       (unsigned long long)sim->wasted_tokens, overloads,
	       (unsigned long long)refused,
	       (unsigned long long)sum_counter(sim, NODE_TURNS_COMMITTED),
	       (unsigned long long)sum_counter(sim, NODE_COMMITS),
	       (double)sim->table_writes / (seconds + WARMUP_MS / MS_PER_S),
	       (double)sim->table_reads / (seconds + WARMUP_MS / MS_PER_S),
	       (unsigned long long)sum_counter(sim, NODE_PEER_BYTES),
	       quantile(sim->first_chunk_times_ms, .95),
	       quantile(sim->final_frame_delays_ms, .5),
	       quantile(sim->final_frame_delays_ms, .95),
	       (unsigned long long)sum_counter(sim, NODE_SHARDS_TAKEN));
}

static int parse_policy(const char *name)
{
	if (strcmp(name, "random") == 0)
		return POOL_RANDOM;
	return strcmp(name, "least") == 0 ? POOL_LEAST_LOADED : POOL_FAIR;
}

static int run_latency(int argc, char **argv)
{
	struct sim_params p = sim_default_params();
	bool macharia = strcmp(argv[2], "macharia") == 0;
	double seconds = argc > 6 ? atof(argv[6]) : 90;
	struct result r = {0};
	struct rng rng;
	struct sim *sim;
	int64_t start_ms;

	p.nodes = 12;
	p.engines = 9;
	p.services = macharia ? 3 : 4;
	p.zones = macharia ? 3 : 4;
	p.latency_ms = macharia ? 1 : 1.5;
	p.accounts = G_N_ELEMENTS(account_shares);
	p.rate = 10000;
	p.burst = 10000;
	p.policy = parse_policy(argv[4]);
	p.seed = argc > 7 ? strtoull(argv[7], NULL, 10) : 1;
	rng.state = p.seed;
	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS);
	start_ms = sim->now_ms;
	add_load(sim, &rng, atof(argv[3]) / 100, strcmp(argv[5], "flood") == 0,
		 seconds);
	run_event(sim, argv[5], seconds);
	r.latency = g_array_new(FALSE, FALSE, sizeof(double));
	r.slowdown = g_array_new(FALSE, FALSE, sizeof(double));
	r.during_event = g_array_new(FALSE, FALSE, sizeof(double));
	for (size_t i = 0; i < G_N_ELEMENTS(account_shares); i++)
		r.by_account[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (guint i = 0; i < sim->progs->len; i++)
		record_program(sim, sim->progs->pdata[i], start_ms, &r);
	print_result(sim, argv, &r, seconds);
	return 0;
}

/* A token bucket, the reference for the limit over all instances. */
struct token_bucket {
	double level;
	double at_ms;
};

static bool token_bucket_take(struct token_bucket *b, double rate, double burst,
			      double now)
{
	b->level = fmin(burst, b->level + rate * (now - b->at_ms) / MS_PER_S);
	b->at_ms = now;
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

enum {
	RATE_PER_S = 20,
	BURST = 40,
	RATE_DURATION_S = 60,
	RATE_NODES = 12,
};

static void add_rate_load(struct sim *sim, struct rng *rng, double times,
			  bool even, long *exact_refusals,
			  long *divided_refusals)
{
	struct token_bucket exact = {.level = BURST};
	struct token_bucket shares[RATE_NODES];
	double calls_per_ms = times * RATE_PER_S / MS_PER_S;

	for (int i = 0; i < RATE_NODES; i++) {
		shares[i].level = (double)BURST / RATE_NODES;
		shares[i].at_ms = 0;
	}
	for (double t = 0; t < RATE_DURATION_S * MS_PER_S;
	     t -= log(1 - rng_unit(rng)) / calls_per_ms) {
		struct sim_program *prog = clients_add_program(sim, 0, 1);
		/* Uneven: half of the calls go to two instances. */
		int node = !even && rng_unit(rng) < 0.5
				   ? (int)rng_below(rng, 2)
				   : (int)rng_below(rng, RATE_NODES);
		bool ok = token_bucket_take(&exact, RATE_PER_S, BURST, t);

		prog->one_shot = true;
		prog->out_tokens_max = 4;
		prog->pinned_node = node + 1;
		clients_start_program(prog, t);
		*exact_refusals += !ok;
		*divided_refusals +=
			ok &&
			!token_bucket_take(&shares[node],
					   (double)RATE_PER_S / RATE_NODES,
					   (double)BURST / RATE_NODES, t);
	}
}

/* Kills the instance that holds the ledger of the account. */
static void kill_ledger_holder(struct sim *sim)
{
	int shard = shard_for_name(SHARD_KIND_LEDGER, sim->accounts[0].name);

	for (int i = 0; i < sim->params.nodes; i++) {
		const struct node *node = sim->nodes[i].node;

		if (node != NULL && member_holds_shard(node->member, shard)) {
			sim_kill_node(sim, i);
			return;
		}
	}
}

static int run_rate(char **argv)
{
	struct sim_params p = sim_default_params();
	double times = atof(argv[2]);
	bool even = strcmp(argv[3], "even") == 0;
	struct rng rng = {.state = 7};
	long exact_refusals = 0;
	long divided_refusals = 0;
	long refused = 0;
	long answered = 0;
	struct sim *sim;

	p.nodes = RATE_NODES;
	p.engines = 9;
	p.accounts = 1;
	p.rate = RATE_PER_S;
	p.burst = BURST;
	sim = sim_create(&p);
	sim_run_for(sim, STARTUP_MS + 5000);
	add_rate_load(sim, &rng, times, even, &exact_refusals,
		      &divided_refusals);
	sim_run_for(sim, RATE_DURATION_S * MS_PER_S / 2);
	if (strcmp(argv[4], "yes") == 0)
		kill_ledger_holder(sim);
	sim_run_for(sim, RATE_DURATION_S * MS_PER_S);
	for (guint i = 0; i < sim->progs->len; i++) {
		const struct sim_program *prog = sim->progs->pdata[i];

		refused += prog->rate_refusals > 0;
		answered += prog->done_ms > 0;
	}
	printf("{\"times\":%s,\"spread\":\"%s\",\"takeover\":\"%s\","
	       "\"calls\":%u,\"answered\":%ld,\"refused\":%ld,"
	       "\"exact_bucket_refuses\":%ld,\"wrongful_at_least\":%ld,"
	       "\"divided_wrongful\":%ld}\n",
	       argv[2], argv[3], argv[4], sim->progs->len, answered, refused,
	       exact_refusals,
	       refused > exact_refusals ? refused - exact_refusals : 0,
	       divided_refusals);
	return 0;
}

static void usage(void) __attribute__((noreturn));

static void usage(void)
{
	fprintf(stderr, "usage: load latency PROFILE LOAD POLICY EVENT "
			"[SECONDS [SEED]]\n"
			"       load rate TIMES even|uneven yes|no\n");
	exit(2);
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	if (argc >= 6 && strcmp(argv[1], "latency") == 0)
		return run_latency(argc, argv);
	if (argc == 5 && strcmp(argv[1], "rate") == 0)
		return run_rate(argv);
	usage();
}
