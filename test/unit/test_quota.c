/**
 * @file test_quota.c
 * @brief Replays load on an account's limit over several instances.
 *
 * Instances are buckets that hear each other late and lend each other tokens,
 * in virtual time. What is checked is the sum: the bound that users state for
 * any five seconds, and that an account within its limit is not refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "decide/quota.h"
#include "decide/rng.h"

enum {
	INSTANCES = 12,
	MANY = 90,
	MOST = MANY,
	GOSSIP_MS = 250,
	LENDERS = 3,
	WINDOW_MS = 5000,
	WAIT_MS = 120, /* how long a request may wait for a token */
	RUN_MS = 20000,
};

struct cluster {
	int n;
	struct quota *at[MOST];
	bool cut[MOST]; /* hears nobody and is not heard */
	struct rng rng;
	struct quota_limit limit;
	GArray *taken; /* of int64_t: when each request was let in */
	uint32_t refused;
	uint32_t asked;
	uint32_t refused_ongoing;
};

static char names[MOST][4];

static void cluster_init(struct cluster *cluster, int n, uint64_t seed,
			 double rate, double burst)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->n = n;
	cluster->rng.state = seed;
	cluster->limit = (struct quota_limit){rate, burst, 10};
	cluster->taken = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < cluster->n; i++) {
		g_snprintf(names[i], sizeof(names[i]), "i%d", i);
		cluster->at[i] = quota_create(names[i], 0);
		quota_set_instances(cluster->at[i], (uint32_t)n);
	}
}

static void cluster_clear(struct cluster *cluster)
{
	for (int i = 0; i < cluster->n; i++)
		quota_destroy(cluster->at[i]);
	g_array_free(cluster->taken, TRUE);
}

struct word {
	struct cluster *cluster;
	int from;
	int64_t now;
};

static void tell(const char *account, double per_s, double tokens, void *arg)
{
	struct word *word = arg;
	struct cluster *cluster = word->cluster;

	for (int i = 0; i < cluster->n; i++) {
		if (i != word->from && !cluster->cut[i])
			quota_report_demand(cluster->at[i], names[word->from],
					    account, per_s, tokens, word->now);
	}
}

static void gossip(struct cluster *cluster, int64_t now)
{
	for (int from = 0; from < cluster->n; from++) {
		struct word word = {cluster, from, now};

		if (cluster->cut[from])
			continue;
		for (int i = 0; i < cluster->n; i++) {
			if (i != from && !cluster->cut[i])
				quota_report_begin(cluster->at[i], names[from]);
		}
		quota_foreach(cluster->at[from], now, tell, &word);
	}
}

static int instance_of(const char *name)
{
	return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

/* Takes a token, or borrows one; no message is lost here. */
static bool take_or_borrow(struct cluster *cluster, int i, bool begins,
			   int64_t now)
{
	GPtrArray *asked = g_ptr_array_new();
	int64_t wait_ms;
	bool ok = quota_take(cluster->at[i], "a", &cluster->limit, begins, now,
			     &wait_ms);

	for (int n = 0; !ok && !cluster->cut[i] && n < LENDERS; n++) {
		const char *name = quota_pick_lender(cluster->at[i], "a",
						     &cluster->limit, asked);
		int from = name ? instance_of(name) : -1;

		if (name == NULL || cluster->cut[from])
			break;
		g_ptr_array_add(asked, (gpointer)names[from]);
		quota_add_borrowed(cluster->at[i], "a",
				   quota_lend(cluster->at[from], "a",
					      &cluster->limit, 1, begins, now,
					      &wait_ms),
				   now);
		ok = quota_take(cluster->at[i], "a", &cluster->limit, begins,
				now, &wait_ms);
	}
	g_ptr_array_free(asked, TRUE);
	return ok;
}

static void request(struct cluster *cluster, int i, bool begins, int64_t now)
{
	cluster->asked++;
	quota_add_demand(cluster->at[i], "a", now);
	/* A waiting request is tried again until its patience is over. */
	for (int64_t t = now; t <= now + WAIT_MS; t += 10) {
		if (!take_or_borrow(cluster, i, begins, t))
			continue;
		g_array_append_val(cluster->taken, t);
		return;
	}
	cluster->refused++;
	cluster->refused_ongoing += !begins;
}

/* Requests come at random, most of them at a few instances. */
static void load(struct cluster *cluster, double per_s, int64_t from,
		 int64_t to)
{
	for (int64_t now = from; now < to; now++) {
		if (now % GOSSIP_MS == 0)
			gossip(cluster, now);
		while (rng_unit(&cluster->rng) < per_s / 1000.0) {
			double at = rng_unit(&cluster->rng);

			request(cluster, (int)(at * at * cluster->n), false,
				now);
			if (per_s < 1000)
				break;
		}
	}
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The most requests in any window. */
static guint busiest_window(struct cluster *cluster)
{
	guint first = 0;
	guint most = 0;

	g_array_sort(cluster->taken, by_time);
	for (guint i = 0; i < cluster->taken->len; i++) {
		while (g_array_index(cluster->taken, int64_t, first) +
			       WINDOW_MS <=
		       g_array_index(cluster->taken, int64_t, i))
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* What the users' rule allows in a window. */
static double allowed(const struct cluster *cluster)
{
	return (cluster->limit.rate * WINDOW_MS / 1000.0 +
		cluster->limit.burst) *
		       1.1 +
	       20;
}

static void test_hot_account_stays_in_its_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCES, seed, 30, 30);
		load(&cluster, 18, 0, 5000);
		load(&cluster, 225, 5000, RUN_MS);
		assert_true(busiest_window(&cluster) <= allowed(&cluster));
		/* And it gets what it may have. */
		assert_true(cluster.taken->len >
			    0.9 * 30 * (RUN_MS - 5000) / 1000.0);
		cluster_clear(&cluster);
	}
}

static void test_account_within_its_limit_is_not_refused(void **state)
{
	uint32_t refused = 0;
	uint32_t asked = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCES, seed, 30, 30);
		load(&cluster, 0, 0, 2000);
		load(&cluster, 19, 2000, RUN_MS);
		refused += cluster.refused;
		asked += cluster.asked;
		cluster_clear(&cluster);
	}
	/* One exact bucket would refuse none at 19 of 30 a second. */
	assert_true(refused * 1000 <= asked);
}

/* Ninety instances, and a limit of a tenth of a token a second for each. */
static void test_small_limits_of_a_wide_fleet(void **state)
{
	uint32_t refused = 0;
	uint32_t asked = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, MANY, seed, 9, 9);
		load(&cluster, 0, 0, 2000);
		load(&cluster, 5.5, 2000, 12000);
		refused += cluster.refused;
		asked += cluster.asked;
		load(&cluster, 40, 12000, RUN_MS);
		assert_true(busiest_window(&cluster) <= allowed(&cluster));
		cluster_clear(&cluster);
	}
	/* One exact bucket would refuse none at 5.5 of 9 a second. */
	assert_true(refused * 100 <= asked);
}

static void test_lowered_limit_with_few_tokens(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCES, seed, 30, 30);
		load(&cluster, 25, 0, 3000);
		g_array_set_size(cluster.taken, 0);
		cluster.limit.rate = 4;
		cluster.limit.burst = 4;
		load(&cluster, 25, 3000, RUN_MS);
		assert_true(busiest_window(&cluster) <= allowed(&cluster));
		cluster_clear(&cluster);
	}
}

static void test_cut_off_instances_stay_in_the_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCES, seed, 30, 30);
		load(&cluster, 18, 0, 5000);
		for (int i = 0; i < 4; i++)
			cluster.cut[(i * 5 + (int)seed) % INSTANCES] = true;
		load(&cluster, 120, 5000, 12000);
		memset(cluster.cut, 0, sizeof(cluster.cut));
		load(&cluster, 120, 12000, RUN_MS);
		assert_true(busiest_window(&cluster) <= allowed(&cluster));
		cluster_clear(&cluster);
	}
}

static void test_restarted_instances_bring_no_burst(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCES, seed, 30, 30);
		load(&cluster, 60, 0, 5000);
		for (int round = 0; round < 5; round++) {
			int64_t now = 5000 + round * 1000;

			for (int i = 0; i < INSTANCES; i++) {
				quota_destroy(cluster.at[i]);
				cluster.at[i] = quota_create(names[i], now);
			}
			load(&cluster, 60, now, now + 1000);
		}
		assert_true(busiest_window(&cluster) <= allowed(&cluster));
		cluster_clear(&cluster);
	}
}

static void test_programs_under_way_go_first(void **state)
{
	struct quota *quota = quota_create("i", 0);
	struct quota_limit limit = {10, 10, 0};
	int64_t wait_ms;
	int begun = 0;
	int ongoing = 0;

	(void)state;
	quota_set_instances(quota, 1);
	while (quota_take(quota, "a", &limit, true, 5000, &wait_ms))
		begun++;
	while (quota_take(quota, "a", &limit, false, 5000, &wait_ms))
		ongoing++;
	assert_int_equal(begun, 5);
	assert_int_equal(ongoing, 5);
	assert_true(wait_ms > 0);
	quota_destroy(quota);
}

static void test_given_back_tokens_do_not_pile_up(void **state)
{
	struct quota *quota = quota_create("i", 0);
	struct quota_limit limit = {10, 10, 0};
	int64_t wait_ms;
	int taken = 0;

	(void)state;
	quota_set_instances(quota, 1);
	for (int i = 0; i < 500; i++)
		quota_refund(quota, "a");
	while (quota_take(quota, "a", &limit, false, 5000, &wait_ms))
		taken++;
	assert_int_equal(taken, 10);
	quota_destroy(quota);
}

/* The instance where nearly all of the limit lies. */
static int home_in(struct cluster *cluster)
{
	for (int i = 0; i < cluster->n; i++) {
		struct quota_view view;
		int64_t wait_ms;

		quota_take(cluster->at[i], "a", &cluster->limit, true, 0,
			   &wait_ms);
		quota_inspect(cluster->at[i], "a", &view);
		if (view.home)
			return i;
	}
	return -1;
}

/* Those who find nothing at the home are told to come one after another, and
 * new programs leave half of the burst to those under way. */
static void test_home_spreads_those_who_wait(void **state)
{
	struct cluster cluster;
	int64_t wait_ms = 0;
	int64_t before = 0;
	struct quota *home;
	uint32_t begun = 0;
	uint32_t ongoing = 0;
	int at;

	(void)state;
	cluster_init(&cluster, MANY, 1, 10, 10);
	gossip(&cluster, 0);
	at = home_in(&cluster);
	assert_true(at >= 0);
	home = cluster.at[at];
	while (quota_lend(home, "a", &cluster.limit, 1, true, 5000, &wait_ms) >
	       0)
		begun++;
	assert_true(wait_ms > 0);
	while (quota_lend(home, "a", &cluster.limit, 1, false, 5000, &wait_ms) >
	       0)
		ongoing++;
	assert_true(begun > 0);
	assert_in_range(ongoing, 4, 6);
	for (int i = 0; i < 4; i++) {
		assert_in_range(wait_ms - before, 60, 260);
		before = wait_ms;
		quota_lend(home, "a", &cluster.limit, 1, false, 5000, &wait_ms);
	}
	/* Nobody who comes when it was told is turned away. */
	assert_int_equal(quota_lend(home, "a", &cluster.limit, 1, false,
				    5000 + before, &wait_ms),
			 1);
	cluster_clear(&cluster);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hot_account_stays_in_its_limit),
		cmocka_unit_test(test_account_within_its_limit_is_not_refused),
		cmocka_unit_test(test_small_limits_of_a_wide_fleet),
		cmocka_unit_test(test_lowered_limit_with_few_tokens),
		cmocka_unit_test(test_cut_off_instances_stay_in_the_limit),
		cmocka_unit_test(test_restarted_instances_bring_no_burst),
		cmocka_unit_test(test_programs_under_way_go_first),
		cmocka_unit_test(test_given_back_tokens_do_not_pile_up),
		cmocka_unit_test(test_home_spreads_those_who_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
