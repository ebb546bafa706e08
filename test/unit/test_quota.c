/**
 * @file test_quota.c
 * @brief An account's rate limit across instances, in simulated time.
 *
 * The instances hold token buckets, learn of each other's demand by periodic
 * gossip and lend each other tokens. Checked are the requests admitted by all
 * of them together, against the bound that users state for any five seconds,
 * and that an account within its limit is not refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "decide/quota.h"
#include "decide/rng.h"
#include "decide/server_limits.h"

enum {
	INSTANCE_COUNT = 12,
	LARGE_CLUSTER = 90,
	LARGEST_CLUSTER = 295,
	INSTANCES_MAX = LARGEST_CLUSTER + 1,
	GOSSIP_INTERVAL_MS = 250,
	LENDERS_MAX = 3,
	WINDOW_MS = 5000,
	SERVER_WINDOW_MS = 4000, /* for the rate limit of a server */
	REQUEST_WAIT_MS = 120,	 /* how long a request may wait for a token */
	RUN_MS = 20000,
};

struct cluster {
	int n;
	struct quota *instances[INSTANCES_MAX];
	bool is_cut_off[INSTANCES_MAX]; /* neither hears peers nor is heard */
	struct rng rng;
	struct quota_limit limit;
	GArray *admitted_ms; /* of int64_t: when each request was admitted */
	uint32_t refused;
	uint32_t requested;
	uint32_t refused_running; /* requests of running programs */
};

static char instance_ids[INSTANCES_MAX][8];

static void cluster_init(struct cluster *cluster, int n, uint64_t seed,
			 double rate, double burst)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->n = n;
	cluster->rng.state = seed;
	cluster->limit =
		(struct quota_limit){.rate = rate, .burst = burst, .slack = 10};
	cluster->admitted_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < cluster->n; i++) {
		g_snprintf(instance_ids[i], sizeof(instance_ids[i]), "i%d", i);
		cluster->instances[i] = quota_create(instance_ids[i], 0);
		quota_set_instances(cluster->instances[i], (uint32_t)n);
	}
}

static void cluster_clear(struct cluster *cluster)
{
	for (int i = 0; i < cluster->n; i++)
		quota_destroy(cluster->instances[i]);
	g_array_free(cluster->admitted_ms, TRUE);
}

struct message {
	struct cluster *cluster;
	int sender;
	int64_t now;
};

static void deliver_demand(const char *account, double per_s, double tokens,
			   void *arg)
{
	struct message *message = arg;
	struct cluster *cluster = message->cluster;

	for (int i = 0; i < cluster->n; i++) {
		if (i != message->sender && !cluster->is_cut_off[i])
			quota_report_demand(cluster->instances[i],
					    instance_ids[message->sender],
					    account, per_s, tokens,
					    message->now);
	}
}

static void gossip(struct cluster *cluster, int64_t now)
{
	for (int peer = 0; peer < cluster->n; peer++) {
		struct message message = {cluster, peer, now};

		if (cluster->is_cut_off[peer])
			continue;
		quota_confirm_contact(cluster->instances[peer], now);
		for (int i = 0; i < cluster->n; i++) {
			if (i != peer && !cluster->is_cut_off[i])
				quota_report_begin(cluster->instances[i],
						   instance_ids[peer]);
		}
		quota_foreach(cluster->instances[peer], now, deliver_demand,
			      &message);
	}
}

static int instance_index(const char *name)
{
	return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

/* Takes a token, or borrows one; no messages are lost. */
static bool take_or_borrow(struct cluster *cluster, int i,
			   bool is_first_request, int64_t now)
{
	GPtrArray *tried_lenders = g_ptr_array_new();
	int64_t wait_ms;
	bool ok = quota_take(cluster->instances[i], "a", &cluster->limit,
			     is_first_request, now, &wait_ms);

	for (int n = 0; !ok && !cluster->is_cut_off[i] && n < LENDERS_MAX;
	     n++) {
		const char *name =
			quota_pick_lender(cluster->instances[i], "a",
					  &cluster->limit, tried_lenders);
		int peer = name ? instance_index(name) : -1;

		if (name == NULL || cluster->is_cut_off[peer])
			break;
		g_ptr_array_add(tried_lenders, (gpointer)instance_ids[peer]);
		quota_add_borrowed(cluster->instances[i], "a",
				   quota_lend(cluster->instances[peer], "a",
					      &cluster->limit, 1,
					      is_first_request, now, &wait_ms),
				   now);
		ok = quota_take(cluster->instances[i], "a", &cluster->limit,
				is_first_request, now, &wait_ms);
	}
	g_ptr_array_free(tried_lenders, TRUE);
	return ok;
}

static void request(struct cluster *cluster, int i, bool is_first_request,
		    int64_t now)
{
	cluster->requested++;
	quota_add_demand(cluster->instances[i], "a", now);
	/* A waiting request tries again until its time limit. */
	for (int64_t t = now; t <= now + REQUEST_WAIT_MS; t += 10) {
		if (!take_or_borrow(cluster, i, is_first_request, t))
			continue;
		g_array_append_val(cluster->admitted_ms, t);
		return;
	}
	cluster->refused++;
	cluster->refused_running += !is_first_request;
}

/* Requests arrive at random times, most of them at a few instances. */
static void run_load(struct cluster *cluster, double per_s, int64_t from_ms,
		     int64_t to_ms)
{
	for (int64_t now = from_ms; now < to_ms; now++) {
		if (now % GOSSIP_INTERVAL_MS == 0)
			gossip(cluster, now);
		while (rng_unit(&cluster->rng) < per_s / 1000.0) {
			double position = rng_unit(&cluster->rng);

			request(cluster,
				(int)(position * position * cluster->n), false,
				now);
			if (per_s < 1000)
				break;
		}
	}
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the largest number of admitted requests in any window. */
static guint busiest_window(struct cluster *cluster, int64_t window_ms)
{
	guint first = 0;
	guint busiest = 0;

	g_array_sort(cluster->admitted_ms, compare_times);
	for (guint i = 0; i < cluster->admitted_ms->len; i++) {
		while (g_array_index(cluster->admitted_ms, int64_t, first) +
			       window_ms <=
		       g_array_index(cluster->admitted_ms, int64_t, i))
			first++;
		busiest = MAX(busiest, i - first + 1);
	}
	return busiest;
}

/* Returns the bound that users state for a window. */
static double admitted_max(const struct cluster *cluster)
{
	return (cluster->limit.rate * WINDOW_MS / 1000.0 +
		cluster->limit.burst) *
		       1.1 +
	       20;
}

static void test_overload_stays_within_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCE_COUNT, seed, 30, 30);
		run_load(&cluster, 18, 0, 5000);
		run_load(&cluster, 225, 5000, RUN_MS);
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		/* The account also gets at least 90% of its rate. */
		assert_true(cluster.admitted_ms->len >
			    0.9 * 30 * (RUN_MS - 5000) / 1000.0);
		cluster_clear(&cluster);
	}
}

static void test_load_within_limit_is_not_refused(void **state)
{
	uint32_t refused = 0;
	uint32_t requested = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCE_COUNT, seed, 30, 30);
		run_load(&cluster, 0, 0, 2000);
		run_load(&cluster, 19, 2000, RUN_MS);
		refused += cluster.refused;
		requested += cluster.requested;
		cluster_clear(&cluster);
	}
	/* A single bucket would refuse none at 19 of 30 a second. */
	assert_true(refused * 1000 <= requested);
}

/* Ninety instances, each with a share of a tenth of a token a second. */
static void test_small_limit_many_instances(void **state)
{
	uint32_t refused = 0;
	uint32_t requested = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, LARGE_CLUSTER, seed, 9, 9);
		run_load(&cluster, 0, 0, 2000);
		run_load(&cluster, 5.5, 2000, 12000);
		refused += cluster.refused;
		requested += cluster.requested;
		run_load(&cluster, 40, 12000, RUN_MS);
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);
	}
	/* A single bucket would refuse none at 5.5 of 9 a second. */
	assert_true(refused * 100 <= requested);
}

static void test_lowered_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCE_COUNT, seed, 30, 30);
		run_load(&cluster, 25, 0, 3000);
		g_array_set_size(cluster.admitted_ms, 0);
		cluster.limit.rate = 4;
		cluster.limit.burst = 4;
		run_load(&cluster, 25, 3000, RUN_MS);
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);
	}
}

/* Instances that can't hear each other must not together exceed the limit. */
static void test_cut_off_instances(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCE_COUNT, seed, 30, 30);
		run_load(&cluster, 18, 0, 5000);
		for (int i = 0; i < 4; i++)
			cluster.is_cut_off[(i * 5 + (int)seed) %
					   INSTANCE_COUNT] = true;
		run_load(&cluster, 120, 5000, 12000);
		memset(cluster.is_cut_off, 0, sizeof(cluster.is_cut_off));
		run_load(&cluster, 120, 12000, RUN_MS);
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);
	}
}

/* Guards against rolling restarts that refill the buckets. */
static void test_restarts_add_no_burst(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, INSTANCE_COUNT, seed, 30, 30);
		run_load(&cluster, 60, 0, 5000);
		for (int round = 0; round < 5; round++) {
			int64_t now = 5000 + round * 1000;

			for (int i = 0; i < INSTANCE_COUNT; i++) {
				quota_destroy(cluster.instances[i]);
				cluster.instances[i] =
					quota_create(instance_ids[i], now);
			}
			run_load(&cluster, 60, now, now + 1000);
		}
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);
	}
}

/* Returns the instance that holds nearly all of the limit, or -1. */
static int find_home(struct cluster *cluster)
{
	for (int i = 0; i < cluster->n; i++) {
		struct quota_view view;
		int64_t wait_ms;

		quota_take(cluster->instances[i], "a", &cluster->limit, true, 0,
			   &wait_ms);
		quota_inspect(cluster->instances[i], "a", &view);
		if (view.home)
			return i;
	}
	return -1;
}

/*
 * A home that was paused has a right that ran out meanwhile: it lends nothing
 * until it is in contact again, and no more than for the time since.
 */
static void test_paused_home_lends_nothing(void **state)
{
	struct cluster cluster;
	int64_t wait_ms;
	struct quota *home;
	uint32_t lent = 0;

	(void)state;
	cluster_init(&cluster, LARGE_CLUSTER, 1, 10, 10);
	for (int64_t now = 0; now <= 5000; now += GOSSIP_INTERVAL_MS)
		gossip(&cluster, now);
	home = cluster.instances[find_home(&cluster)];
	assert_true(quota_lend(home, "a", &cluster.limit, 1, false, 5100,
			       &wait_ms) == 1);
	assert_int_equal(
		quota_lend(home, "a", &cluster.limit, 1, false, 9000, &wait_ms),
		0);
	quota_confirm_contact(home, 9010);
	while (quota_lend(home, "a", &cluster.limit, 1, false, 9110,
			  &wait_ms) == 1)
		lent++;
	assert_true(lent <= 1);
	cluster_clear(&cluster);
}

/* The instances learn at different times that the home is silent, or back. */
static void change_views(struct cluster *cluster, int home, bool silent,
			 const int64_t *learn_ms, int64_t now)
{
	for (int i = 0; i < cluster->n; i++) {
		if (i == home || learn_ms[i] != now)
			continue;
		if (silent)
			quota_mark_silent(cluster->instances[i],
					  instance_ids[home]);
		else
			quota_add_instance(cluster->instances[i],
					   instance_ids[home]);
	}
}

/*
 * The home of an overloaded account is cut off, and comes back. The others
 * notice each within a second, so for a while there are two homes.
 */
static void test_two_homes_stay_within_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		int64_t learn_ms[INSTANCES_MAX];
		struct cluster cluster;
		int home;

		cluster_init(&cluster, LARGE_CLUSTER, seed, 100, 100);
		gossip(&cluster, 1);
		home = find_home(&cluster);
		for (int64_t now = 0; now < 14000; now++) {
			bool cut = now >= 6000 && now < 9000;

			for (int i = 0; now % 250 == 0 && i < cluster.n; i++) {
				if (i != home || !cut)
					quota_confirm_contact(
						cluster.instances[i], now);
			}
			if (now == 6000 || now == 9000) {
				for (int i = 0; i < cluster.n; i++)
					learn_ms[i] =
						now + 900 +
						(int64_t)rng_below(&cluster.rng,
								   100);
			}
			if (now >= 6000)
				change_views(&cluster, home, now < 9000,
					     learn_ms, now);
			/* The load begins long before, or as the home returns.
			 */
			if (now >= (seed % 2 == 0 ? 0 : 9000))
				request(&cluster,
					(int)rng_below(&cluster.rng,
						       (uint64_t)cluster.n),
					false, now);
		}
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);
	}
}

/*
 * All instances of a large fleet are killed and start again. Their homes have
 * tokens at once, so programs under way go on; with the restart credit given
 * only after a long time without a start, the limit holds.
 */
static void test_restart_of_all_homes(void **state)
{
	uint32_t refused = 0;
	uint32_t requested = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct cluster cluster;

		cluster_init(&cluster, LARGE_CLUSTER, seed, 40, 40);
		run_load(&cluster, 0, 0, 1000);
		run_load(&cluster, 400, 1000, 8000);
		for (int round = 0; round < 3; round++) {
			int64_t now = 8000 + round * 1000;

			for (int i = 0; i < LARGE_CLUSTER; i++) {
				quota_destroy(cluster.instances[i]);
				cluster.instances[i] =
					quota_create(instance_ids[i], now);
				quota_set_instances(cluster.instances[i],
						    LARGE_CLUSTER);
				if (round == 0)
					quota_allow_restart_credit(
						cluster.instances[i]);
			}
			gossip(&cluster, now);
			run_load(&cluster, 400, now, now + 1000);
		}
		assert_true(busiest_window(&cluster, WINDOW_MS) <=
			    admitted_max(&cluster));
		cluster_clear(&cluster);

		cluster_init(&cluster, LARGE_CLUSTER, seed, 40, 40);
		for (int i = 0; i < LARGE_CLUSTER; i++)
			quota_allow_restart_credit(cluster.instances[i]);
		gossip(&cluster, 1);
		run_load(&cluster, 25, 1, 1000);
		refused += cluster.refused;
		requested += cluster.requested;
		cluster_clear(&cluster);
	}
	/* 25 requests of 40 a second, from the first moment on. */
	assert_true(refused * 20 <= requested);
}

/* Half of the burst is reserved for requests of running programs. */
static void test_running_programs_first(void **state)
{
	struct quota *quota = quota_create("i", 0);
	struct quota_limit limit = {.rate = 10, .burst = 10};
	int64_t wait_ms;
	int new_programs = 0;
	int running_programs = 0;

	(void)state;
	quota_set_instances(quota, 1);
	while (quota_take(quota, "a", &limit, true, 5000, &wait_ms))
		new_programs++;
	while (quota_take(quota, "a", &limit, false, 5000, &wait_ms))
		running_programs++;
	assert_int_equal(new_programs, 5);
	assert_int_equal(running_programs, 5);
	assert_true(wait_ms > 0);
	quota_destroy(quota);
}

/* Returned tokens never raise a bucket above the burst. */
static void test_returned_tokens_are_capped(void **state)
{
	struct quota *quota = quota_create("i", 0);
	struct quota_limit limit = {.rate = 10, .burst = 10};
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

/* Borrowers that find no tokens at the home get staggered retry times, and each
 * finds a token then. New programs leave half of the burst to running ones. */
static void test_home_staggers_retries(void **state)
{
	struct cluster cluster;
	int64_t wait_ms = 0;
	int64_t previous_wait_ms = 0;
	struct quota *home;
	uint32_t new_programs = 0;
	uint32_t running_programs = 0;
	int home_index;

	(void)state;
	cluster_init(&cluster, LARGE_CLUSTER, 1, 10, 10);
	for (int64_t now = 0; now <= 5000; now += GOSSIP_INTERVAL_MS)
		gossip(&cluster, now);
	home_index = find_home(&cluster);
	assert_true(home_index >= 0);
	home = cluster.instances[home_index];
	while (quota_lend(home, "a", &cluster.limit, 1, true, 5000, &wait_ms) >
	       0)
		new_programs++;
	assert_true(wait_ms > 0);
	while (quota_lend(home, "a", &cluster.limit, 1, false, 5000, &wait_ms) >
	       0)
		running_programs++;
	assert_true(new_programs > 0);
	assert_in_range(running_programs, 4, 6);
	for (int i = 0; i < 4; i++) {
		assert_in_range(wait_ms - previous_wait_ms, 60, 260);
		previous_wait_ms = wait_ms;
		quota_lend(home, "a", &cluster.limit, 1, false, 5000, &wait_ms);
	}
	/* A borrower that comes back at its time gets a token. */
	assert_int_equal(quota_lend(home, "a", &cluster.limit, 1, false,
				    5000 + previous_wait_ms, &wait_ms),
			 1);
	cluster_clear(&cluster);
}

/* Confirms the contact of all instances that are not cut off. */
static void confirm_contacts(struct cluster *cluster, int64_t now)
{
	for (int i = 0; now % GOSSIP_INTERVAL_MS == 0 && i < cluster->n; i++) {
		if (!cluster->is_cut_off[i])
			quota_confirm_contact(cluster->instances[i], now);
	}
}

/* All learn, at random times in the second after @p now, of a change. */
static void draw_learn_times(struct cluster *cluster, int64_t *learn_ms,
			     int64_t now)
{
	for (int i = 0; i < cluster->n; i++)
		learn_ms[i] = now + 1 + (int64_t)rng_below(&cluster->rng, 1000);
}

/* The instance starts again; its bucket and its views are new. */
static void restart(struct cluster *cluster, int i, int64_t now)
{
	quota_destroy(cluster->instances[i]);
	cluster->instances[i] = quota_create(instance_ids[i], now);
	quota_set_instances(cluster->instances[i], (uint32_t)cluster->n);
	for (int peer = 0; peer < cluster->n; peer++) {
		if (peer != i)
			quota_add_instance(cluster->instances[i],
					   instance_ids[peer]);
	}
}

/*
 * A server that takes 2.5 requests a second, and many times that in demand. The
 * instance that holds its tokens is cut off or paused, comes back, and is
 * restarted; the others learn of each at different times.
 */
static void check_server_limit(int n, uint64_t seed)
{
	const struct slim_limit named = {true, 2.5, 0};
	const double most = 1.5 * 2.5 * SERVER_WINDOW_MS / 1000.0 + 5;
	int64_t learn_ms[INSTANCES_MAX] = {0};
	struct cluster cluster;
	int home;

	cluster_init(&cluster, n, seed, 0, 0);
	slim_quota_limit(&named, &cluster.limit);
	gossip(&cluster, 1);
	home = find_home(&cluster);
	assert_true(home >= 0);
	for (int64_t now = 0; now < RUN_MS; now++) {
		bool cut = now >= 6000 && now < 9000;

		confirm_contacts(&cluster, now);
		if (now == 6000 || now == 9000)
			draw_learn_times(&cluster, learn_ms, now);
		cluster.is_cut_off[home] = cut;
		change_views(&cluster, home, cut, learn_ms, now);
		if (now == 13000)
			restart(&cluster, home, now);
		if (rng_unit(&cluster.rng) < 0.06)
			request(&cluster,
				(int)rng_below(&cluster.rng, (uint64_t)n),
				false, now);
	}
	assert_in_range(busiest_window(&cluster, SERVER_WINDOW_MS), 1, most);
	/* The server is also used: it gets two thirds of its limit at least. */
	assert_true(cluster.admitted_ms->len >
		    2.5 * 2 / 3 * (RUN_MS - 5000) / 1000.0);
	cluster_clear(&cluster);
}

static void test_few_instances_exceed_servers_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++)
		check_server_limit(11, seed);
}

static void test_many_instances_exceed_servers_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 2; seed++)
		check_server_limit(LARGEST_CLUSTER, seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload_stays_within_limit),
		cmocka_unit_test(test_load_within_limit_is_not_refused),
		cmocka_unit_test(test_small_limit_many_instances),
		cmocka_unit_test(test_lowered_limit),
		cmocka_unit_test(test_cut_off_instances),
		cmocka_unit_test(test_restarts_add_no_burst),
		cmocka_unit_test(test_paused_home_lends_nothing),
		cmocka_unit_test(test_two_homes_stay_within_limit),
		cmocka_unit_test(test_restart_of_all_homes),
		cmocka_unit_test(test_running_programs_first),
		cmocka_unit_test(test_returned_tokens_are_capped),
		cmocka_unit_test(test_home_staggers_retries),
		cmocka_unit_test(test_few_instances_exceed_servers_limit),
		cmocka_unit_test(test_many_instances_exceed_servers_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
