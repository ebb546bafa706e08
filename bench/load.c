/**
 * @file load.c
 * @brief Drives agent programs in virtual time and prints what they saw.
 *
 * Usage: load latency PROFILE LOAD POLICY EVENT [SECONDS [SEED]]
 *        load rate TIMES SPREAD TAKEOVER
 *
 * PROFILE is macharia or zuiderhaven; LOAD a percentage of what the engines
 * bear when warm; POLICY fair, random or least; EVENT none, zone, cold,
 * flood, kill, roll, outage (30 s) or outage600; SPREAD even or uneven;
 * TAKEOVER yes or no. One JSON object a line.
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
	SETTLE_MS = 5000,
	WARM_MS = 20000, /* not counted */
	TURNS_MEAN = 8,
	TURNS_MAX = 40,
	BODY_BYTES = 400,
	OUT_MAX = 40,
	PAUSE_MS = 400,
	MS_PER_S = 1000,
	DRAIN_MS = 300000,
	EVENT_MS = 30000, /* after the warm-up */
	EVENT_LONG_MS = 30000,
	OUTAGE_REST_MS = 570000, /* of an outage of ten minutes */
	FLOOD = 5, /* times its rate that the flooding account sends */
};

/* Time of a turn on a full, warm engine, in ms: what a load is a share of. */
#define TURN_MS 330.0
/* Network and commits of a turn on the whole path, in ms. */
#define PATH_MS 6.0

/* Shares of the accounts in the load: a few are large. */
static const double weights[] = {.30, .20, .15, .10, .10, .05, .05, .05};

struct result {
	GArray *latency; /* double, ms */
	GArray *slowdown;
	GArray *by_account[G_N_ELEMENTS(weights)];
	GArray *during; /* slowdown of programs started during the event */
	long failed;
};

static int by_value(const void *a, const void *b)
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
	g_array_sort(values, by_value);
	i = (guint)(q * (values->len - 1) + 0.5);
	return g_array_index(values, double, i);
}

static int pick_account(struct rng *rng)
{
	double r = rng_unit(rng);

	for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
		r -= weights[i];
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

static void add_program(struct world *w, struct rng *rng, int account,
			double at_ms)
{
	struct prog *prog = cli_add(w, account, pick_turns(rng));

	prog->out_tokens = OUT_MAX;
	prog->body_bytes = BODY_BYTES;
	prog->pause_ms = PAUSE_MS;
	prog->tool_percent = 10;
	cli_start(prog, at_ms);
}

static void add_load(struct world *w, struct rng *rng, double load, bool flood,
		     double seconds)
{
	double slots = (double)w->params.engines * w->params.max;
	double rate = load * slots / TURN_MS / TURNS_MEAN; /* programs a ms */
	double end = WARM_MS + seconds * MS_PER_S;

	for (double t = 0; t < end; t -= log(1 - rng_unit(rng)) / rate)
		add_program(w, rng, pick_account(rng), t);
	/* One account sends several times its share on top. */
	for (double t = 0; flood && t < end;
	     t -= log(1 - rng_unit(rng)) / (rate * weights[2] * (FLOOD - 1)))
		add_program(w, rng, 2, t);
}

/* Time of the program alone on a warm server, in ms. */
static double lower_bound(const struct world *w, const struct prog *prog)
{
	const struct model *model = w->servers[0].model;
	double ms = 0;
	size_t before = 0;

	for (int t = 0; t < prog->turns; t++) {
		const char *body = prog->bodies->pdata[t];
		uint32_t out = model_output_tokens(body, strlen(body));

		if (strstr(body, "!>") != NULL) {
			before += strlen(body);
			ms += 100 + PATH_MS;
			continue;
		}
		ms += model->prefill_ms * (double)(before + strlen(body)) /
		      MODEL_BYTES_PER_TOKEN;
		ms += model->decode_ms * out + PATH_MS;
		before = (size_t)out * MODEL_BYTES_PER_TOKEN;
	}
	return ms;
}

static void take(struct world *w, const struct prog *prog, int64_t start,
		 struct result *r)
{
	double latency;
	double slowdown;
	int64_t event = start + WARM_MS + EVENT_MS;

	if (prog->started_ms < start + WARM_MS)
		return;
	if (prog->done_ms == 0) {
		r->failed++;
		return;
	}
	latency = (double)(prog->done_ms - prog->started_ms - prog->pauses_ms);
	slowdown = latency / lower_bound(w, prog);
	g_array_append_val(r->latency, latency);
	g_array_append_val(r->slowdown, slowdown);
	g_array_append_val(r->by_account[prog->account], slowdown);
	if (prog->started_ms >= event &&
	    prog->started_ms < event + EVENT_LONG_MS)
		g_array_append_val(r->during, slowdown);
}

static void set_zone(struct world *w, const char *zone, bool out)
{
	for (int i = 0; i < w->nservers; i++) {
		if (strcmp(w->servers[i].zone, zone) == 0)
			w->servers[i].out = out;
	}
	wld_apply(w);
}

static uint64_t count(const struct world *w, enum node_counter counter);

/* What callers got while the table was out, and how soon after it. */
static void print_outage(struct world *w)
{
	uint64_t before = count(w, NODE_TURNS_COMMITTED);
	int64_t back = w->now_ms;

	w->outage = false;
	while (count(w, NODE_TURNS_COMMITTED) == before)
		wld_run_for(w, 100);
	fprintf(stderr, "first turn committed %d ms after the table is back\n",
		(int)(w->now_ms - back));
}

/* Replaces a quarter of the instances, one after the other. */
static void roll(struct world *w)
{
	for (int i = 0; i < w->params.nodes / 4; i++) {
		wld_drain_node(w, i);
		wld_run_for(w, EVENT_LONG_MS);
		wld_start_node(w, i);
	}
}

static void run_event(struct world *w, const char *event, double seconds)
{
	wld_run_for(w, WARM_MS + EVENT_MS);
	if (strcmp(event, "zone") == 0)
		set_zone(w, "a", true);
	if (strcmp(event, "roll") == 0)
		roll(w);
	if (strcmp(event, "kill") == 0)
		wld_kill_node(w, 0);
	for (int i = 0; strcmp(event, "cold") == 0 && i < w->params.engines / 2;
	     i++)
		bke_crash(w, i);
	w->outage = strncmp(event, "outage", strlen("outage")) == 0;
	wld_run_for(w, EVENT_LONG_MS);
	if (strcmp(event, "outage600") == 0)
		wld_run_for(w, OUTAGE_REST_MS);
	if (w->outage)
		print_outage(w);
	w->outage = false;
	if (strcmp(event, "zone") == 0)
		set_zone(w, "a", false);
	wld_run_for(w,
		    (int64_t)(seconds * MS_PER_S) - EVENT_MS - EVENT_LONG_MS);
	for (int i = 0; i < DRAIN_MS / 10000 && !cli_all_finished(w); i++)
		wld_run_for(w, 10000);
}

static double account_median(struct result *r, double *worst, int but)
{
	GArray *p95 = g_array_new(FALSE, FALSE, sizeof(double));
	double median;

	*worst = 0;
	for (int i = 0; i < (int)G_N_ELEMENTS(weights); i++) {
		double q = quantile(r->by_account[i], .95);

		if (i == but)
			continue;
		g_array_append_val(p95, q);
		*worst = fmax(*worst, q);
	}
	median = quantile(p95, .5);
	g_array_unref(p95);
	return median;
}

static uint64_t count(const struct world *w, enum node_counter counter)
{
	uint64_t sum = 0;

	for (int i = 0; i < w->params.nodes; i++) {
		if (w->nodes[i].node != NULL)
			sum += node_counter(w->nodes[i].node, counter);
	}
	return sum;
}

static void print_result(struct world *w, char **argv, struct result *r,
			 double seconds)
{
	uint32_t overloads = 0;
	double worst;
	double median = account_median(r, &worst,
				       strcmp(argv[5], "flood") == 0 ? 2 : -1);
	uint64_t refused = 0;

	for (int i = 0; i < w->nservers; i++)
		overloads += w->servers[i].model->overloads;
	for (guint i = 0; i < w->progs->len; i++)
		refused += ((struct prog *)w->progs->pdata[i])->refused_rate;
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
	       quantile(r->slowdown, .95), quantile(r->during, .95), worst,
	       median, (unsigned long long)w->fresh_tokens,
	       (unsigned long long)w->wasted_tokens, overloads,
	       (unsigned long long)refused,
	       (unsigned long long)count(w, NODE_TURNS_COMMITTED),
	       (unsigned long long)count(w, NODE_COMMITS),
	       (double)w->table_writes / (seconds + WARM_MS / MS_PER_S),
	       (double)w->table_reads / (seconds + WARM_MS / MS_PER_S),
	       (unsigned long long)count(w, NODE_PEER_BYTES),
	       quantile(w->first_ms, .95), quantile(w->last_ms, .5),
	       quantile(w->last_ms, .95),
	       (unsigned long long)count(w, NODE_SHARDS_TAKEN));
}

static int policy_of(const char *name)
{
	if (strcmp(name, "random") == 0)
		return POOL_RANDOM;
	return strcmp(name, "least") == 0 ? POOL_LEAST_LOADED : POOL_FAIR;
}

static int latency(int argc, char **argv)
{
	struct wld_params p = wld_defaults();
	bool macharia = strcmp(argv[2], "macharia") == 0;
	double seconds = argc > 6 ? atof(argv[6]) : 90;
	struct result r = {0};
	struct rng rng;
	struct world *w;
	int64_t start;

	p.nodes = 12;
	p.engines = 9;
	p.desks = macharia ? 3 : 4;
	p.zones = macharia ? 3 : 4;
	p.latency_ms = macharia ? 1 : 1.5;
	p.accounts = G_N_ELEMENTS(weights);
	p.rate = 10000;
	p.burst = 10000;
	p.policy = policy_of(argv[4]);
	p.seed = argc > 7 ? strtoull(argv[7], NULL, 10) : 1;
	rng.state = p.seed;
	w = wld_create(&p);
	wld_run_for(w, SETTLE_MS);
	start = w->now_ms;
	add_load(w, &rng, atof(argv[3]) / 100, strcmp(argv[5], "flood") == 0,
		 seconds);
	run_event(w, argv[5], seconds);
	r.latency = g_array_new(FALSE, FALSE, sizeof(double));
	r.slowdown = g_array_new(FALSE, FALSE, sizeof(double));
	r.during = g_array_new(FALSE, FALSE, sizeof(double));
	for (size_t i = 0; i < G_N_ELEMENTS(weights); i++)
		r.by_account[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (guint i = 0; i < w->progs->len; i++)
		take(w, w->progs->pdata[i], start, &r);
	print_result(w, argv, &r, seconds);
	return 0;
}

/* An exact bucket: what the fleet as a whole should allow. */
struct bucket {
	double level;
	double at_ms;
};

static bool bucket_take(struct bucket *b, double rate, double burst, double now)
{
	b->level = fmin(burst, b->level + rate * (now - b->at_ms) / MS_PER_S);
	b->at_ms = now;
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

enum {
	RATE = 20,
	BURST = 40,
	RATE_S = 60,
	RATE_NODES = 12,
};

static void rate_calls(struct world *w, struct rng *rng, double times,
		       bool even, long *reference, long *divided)
{
	struct bucket exact = {.level = BURST};
	struct bucket share[RATE_NODES];
	double per_ms = times * RATE / MS_PER_S;

	for (int i = 0; i < RATE_NODES; i++) {
		share[i].level = (double)BURST / RATE_NODES;
		share[i].at_ms = 0;
	}
	for (double t = 0; t < RATE_S * MS_PER_S;
	     t -= log(1 - rng_unit(rng)) / per_ms) {
		struct prog *prog = cli_add(w, 0, 1);
		/* Unevenly: half of the calls come to two instances. */
		int node = !even && rng_unit(rng) < 0.5
				   ? (int)rng_below(rng, 2)
				   : (int)rng_below(rng, RATE_NODES);
		bool ok = bucket_take(&exact, RATE, BURST, t);

		prog->one_shot = true;
		prog->out_tokens = 4;
		prog->pinned = node + 1;
		cli_start(prog, t);
		*reference += !ok;
		*divided += ok && !bucket_take(&share[node],
					       (double)RATE / RATE_NODES,
					       (double)BURST / RATE_NODES, t);
	}
}

/* Kills the instance that holds the account's ledger. */
static void kill_ledger(struct world *w)
{
	int shard = shard_for_name(SHARD_KIND_LEDGER, w->accounts[0].name);

	for (int i = 0; i < w->params.nodes; i++) {
		const struct node *node = w->nodes[i].node;

		if (node != NULL && member_holds_shard(node->member, shard)) {
			wld_kill_node(w, i);
			return;
		}
	}
}

static int rate(char **argv)
{
	struct wld_params p = wld_defaults();
	double times = atof(argv[2]);
	bool even = strcmp(argv[3], "even") == 0;
	struct rng rng = {.state = 7};
	long reference = 0;
	long divided = 0;
	long refused = 0;
	long answered = 0;
	struct world *w;

	p.nodes = RATE_NODES;
	p.engines = 9;
	p.accounts = 1;
	p.rate = RATE;
	p.burst = BURST;
	w = wld_create(&p);
	wld_run_for(w, SETTLE_MS + 5000);
	rate_calls(w, &rng, times, even, &reference, &divided);
	wld_run_for(w, RATE_S * MS_PER_S / 2);
	if (strcmp(argv[4], "yes") == 0)
		kill_ledger(w);
	wld_run_for(w, RATE_S * MS_PER_S);
	for (guint i = 0; i < w->progs->len; i++) {
		const struct prog *prog = w->progs->pdata[i];

		refused += prog->refused_rate > 0;
		answered += prog->done_ms > 0;
	}
	printf("{\"times\":%s,\"spread\":\"%s\",\"takeover\":\"%s\","
	       "\"calls\":%u,\"answered\":%ld,\"refused\":%ld,"
	       "\"exact_bucket_refuses\":%ld,\"wrongful_at_least\":%ld,"
	       "\"divided_wrongful\":%ld}\n",
	       argv[2], argv[3], argv[4], w->progs->len, answered, refused,
	       reference, refused > reference ? refused - reference : 0,
	       divided);
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
		return latency(argc, argv);
	if (argc == 5 && strcmp(argv[1], "rate") == 0)
		return rate(argv);
	usage();
}
