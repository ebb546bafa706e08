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

struct fleet {
	int n;
	struct qta *at[MOST];
	bool cut[MOST]; /* hears nobody and is not heard */
	struct rng rng;
	struct qta_limit limit;
	GArray *taken; /* of int64_t: when each request was let in */
	uint32_t refused;
	uint32_t asked;
	uint32_t refused_ongoing;
};

static char names[MOST][4];

static void fleet_init(struct fleet *fleet, int n, uint64_t seed, double rate,
		       double burst)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->n = n;
	fleet->rng.state = seed;
	fleet->limit = (struct qta_limit){rate, burst, 10};
	fleet->taken = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < fleet->n; i++) {
		g_snprintf(names[i], sizeof(names[i]), "i%d", i);
		fleet->at[i] = qta_create(names[i], 0);
		qta_instances(fleet->at[i], (uint32_t)n);
	}
}

static void fleet_clear(struct fleet *fleet)
{
	for (int i = 0; i < fleet->n; i++)
		qta_destroy(fleet->at[i]);
	g_array_free(fleet->taken, TRUE);
}

struct word {
	struct fleet *fleet;
	int from;
	int64_t now;
};

static void tell(const char *account, double per_s, double tokens, void *arg)
{
	struct word *word = arg;
	struct fleet *fleet = word->fleet;

	for (int i = 0; i < fleet->n; i++) {
		if (i != word->from && !fleet->cut[i])
			qta_told(fleet->at[i], names[word->from], account,
				 per_s, tokens, word->now);
	}
}

static void gossip(struct fleet *fleet, int64_t now)
{
	for (int from = 0; from < fleet->n; from++) {
		struct word word = {fleet, from, now};

		if (fleet->cut[from])
			continue;
		for (int i = 0; i < fleet->n; i++) {
			if (i != from && !fleet->cut[i])
				qta_heard(fleet->at[i], names[from]);
		}
		qta_foreach(fleet->at[from], now, tell, &word);
	}
}

static int instance_of(const char *name)
{
	return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

/* Takes a token, or borrows one; no message is lost here. */
static bool take_or_borrow(struct fleet *fleet, int i, bool begins, int64_t now)
{
	GPtrArray *asked = g_ptr_array_new();
	int64_t wait_ms;
	bool ok = qta_take(fleet->at[i], "a", &fleet->limit, begins, now,
			   &wait_ms);

	for (int n = 0; !ok && !fleet->cut[i] && n < LENDERS; n++) {
		const char *name =
			qta_lender(fleet->at[i], "a", &fleet->limit, asked);
		int from = name ? instance_of(name) : -1;

		if (name == NULL || fleet->cut[from])
			break;
		g_ptr_array_add(asked, (gpointer)names[from]);
		qta_borrowed(fleet->at[i], "a",
			     qta_lend(fleet->at[from], "a", &fleet->limit, 1,
				      begins, now, &wait_ms),
			     now);
		ok = qta_take(fleet->at[i], "a", &fleet->limit, begins, now,
			      &wait_ms);
	}
	g_ptr_array_free(asked, TRUE);
	return ok;
}

static void request(struct fleet *fleet, int i, bool begins, int64_t now)
{
	fleet->asked++;
	qta_asked(fleet->at[i], "a", now);
	/* A waiting request is tried again until its patience is over. */
	for (int64_t t = now; t <= now + WAIT_MS; t += 10) {
		if (!take_or_borrow(fleet, i, begins, t))
			continue;
		g_array_append_val(fleet->taken, t);
		return;
	}
	fleet->refused++;
	fleet->refused_ongoing += !begins;
}

/* Requests come at random, most of them at a few instances. */
static void load(struct fleet *fleet, double per_s, int64_t from, int64_t to)
{
	for (int64_t now = from; now < to; now++) {
		if (now % GOSSIP_MS == 0)
			gossip(fleet, now);
		while (rng_unit(&fleet->rng) < per_s / 1000.0) {
			double at = rng_unit(&fleet->rng);

			request(fleet, (int)(at * at * fleet->n), false, now);
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
static guint busiest_window(struct fleet *fleet)
{
	guint first = 0;
	guint most = 0;

	g_array_sort(fleet->taken, by_time);
	for (guint i = 0; i < fleet->taken->len; i++) {
		while (g_array_index(fleet->taken, int64_t, first) +
			       WINDOW_MS <=
		       g_array_index(fleet->taken, int64_t, i))
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* What the users' rule allows in a window. */
static double allowed(const struct fleet *fleet)
{
	return (fleet->limit.rate * WINDOW_MS / 1000.0 + fleet->limit.burst) *
		       1.1 +
	       20;
}

static void test_hot_account_stays_in_its_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fleet fleet;

		fleet_init(&fleet, INSTANCES, seed, 30, 30);
		load(&fleet, 18, 0, 5000);
		load(&fleet, 225, 5000, RUN_MS);
		assert_true(busiest_window(&fleet) <= allowed(&fleet));
		/* And it gets what it may have. */
		assert_true(fleet.taken->len >
			    0.9 * 30 * (RUN_MS - 5000) / 1000.0);
		fleet_clear(&fleet);
	}
}

static void test_account_within_its_limit_is_not_refused(void **state)
{
	uint32_t refused = 0;
	uint32_t asked = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fleet fleet;

		fleet_init(&fleet, INSTANCES, seed, 30, 30);
		load(&fleet, 0, 0, 2000);
		load(&fleet, 19, 2000, RUN_MS);
		refused += fleet.refused;
		asked += fleet.asked;
		fleet_clear(&fleet);
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
		struct fleet fleet;

		fleet_init(&fleet, MANY, seed, 9, 9);
		load(&fleet, 0, 0, 2000);
		load(&fleet, 5.5, 2000, 12000);
		refused += fleet.refused;
		asked += fleet.asked;
		load(&fleet, 40, 12000, RUN_MS);
		assert_true(busiest_window(&fleet) <= allowed(&fleet));
		fleet_clear(&fleet);
	}
	/* One exact bucket would refuse none at 5.5 of 9 a second. */
	assert_true(refused * 100 <= asked);
}

static void test_lowered_limit_with_few_tokens(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fleet fleet;

		fleet_init(&fleet, INSTANCES, seed, 30, 30);
		load(&fleet, 25, 0, 3000);
		g_array_set_size(fleet.taken, 0);
		fleet.limit.rate = 4;
		fleet.limit.burst = 4;
		load(&fleet, 25, 3000, RUN_MS);
		assert_true(busiest_window(&fleet) <= allowed(&fleet));
		fleet_clear(&fleet);
	}
}

static void test_cut_off_instances_stay_in_the_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fleet fleet;

		fleet_init(&fleet, INSTANCES, seed, 30, 30);
		load(&fleet, 18, 0, 5000);
		for (int i = 0; i < 4; i++)
			fleet.cut[(i * 5 + (int)seed) % INSTANCES] = true;
		load(&fleet, 120, 5000, 12000);
		memset(fleet.cut, 0, sizeof(fleet.cut));
		load(&fleet, 120, 12000, RUN_MS);
		assert_true(busiest_window(&fleet) <= allowed(&fleet));
		fleet_clear(&fleet);
	}
}

static void test_restarted_instances_bring_no_burst(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fleet fleet;

		fleet_init(&fleet, INSTANCES, seed, 30, 30);
		load(&fleet, 60, 0, 5000);
		for (int round = 0; round < 5; round++) {
			int64_t now = 5000 + round * 1000;

			for (int i = 0; i < INSTANCES; i++) {
				qta_destroy(fleet.at[i]);
				fleet.at[i] = qta_create(names[i], now);
			}
			load(&fleet, 60, now, now + 1000);
		}
		assert_true(busiest_window(&fleet) <= allowed(&fleet));
		fleet_clear(&fleet);
	}
}

static void test_programs_under_way_go_first(void **state)
{
	struct qta *qta = qta_create("i", 0);
	struct qta_limit limit = {10, 10, 0};
	int64_t wait_ms;
	int begun = 0;
	int ongoing = 0;

	(void)state;
	qta_instances(qta, 1);
	while (qta_take(qta, "a", &limit, true, 5000, &wait_ms))
		begun++;
	while (qta_take(qta, "a", &limit, false, 5000, &wait_ms))
		ongoing++;
	assert_int_equal(begun, 5);
	assert_int_equal(ongoing, 5);
	assert_true(wait_ms > 0);
	qta_destroy(qta);
}

static void test_given_back_tokens_do_not_pile_up(void **state)
{
	struct qta *qta = qta_create("i", 0);
	struct qta_limit limit = {10, 10, 0};
	int64_t wait_ms;
	int taken = 0;

	(void)state;
	qta_instances(qta, 1);
	for (int i = 0; i < 500; i++)
		qta_give_back(qta, "a");
	while (qta_take(qta, "a", &limit, false, 5000, &wait_ms))
		taken++;
	assert_int_equal(taken, 10);
	qta_destroy(qta);
}

/* The instance where nearly all of the limit lies. */
static int home_in(struct fleet *fleet)
{
	for (int i = 0; i < fleet->n; i++) {
		struct qta_view view;
		int64_t wait_ms;

		qta_take(fleet->at[i], "a", &fleet->limit, true, 0, &wait_ms);
		qta_look(fleet->at[i], "a", &view);
		if (view.home)
			return i;
	}
	return -1;
}

/* Those who find nothing at the home are told to come one after another, and
 * new programs leave half of the burst to those under way. */
static void test_home_spreads_those_who_wait(void **state)
{
	struct fleet fleet;
	int64_t wait_ms = 0;
	int64_t before = 0;
	struct qta *home;
	uint32_t begun = 0;
	uint32_t ongoing = 0;
	int at;

	(void)state;
	fleet_init(&fleet, MANY, 1, 10, 10);
	gossip(&fleet, 0);
	at = home_in(&fleet);
	assert_true(at >= 0);
	home = fleet.at[at];
	while (qta_lend(home, "a", &fleet.limit, 1, true, 5000, &wait_ms) > 0)
		begun++;
	assert_true(wait_ms > 0);
	while (qta_lend(home, "a", &fleet.limit, 1, false, 5000, &wait_ms) > 0)
		ongoing++;
	assert_true(begun > 0);
	assert_in_range(ongoing, 4, 6);
	for (int i = 0; i < 4; i++) {
		assert_in_range(wait_ms - before, 60, 260);
		before = wait_ms;
		qta_lend(home, "a", &fleet.limit, 1, false, 5000, &wait_ms);
	}
	/* Nobody who comes when it was told is turned away. */
	assert_int_equal(qta_lend(home, "a", &fleet.limit, 1, false,
				  5000 + before, &wait_ms),
			 1);
	fleet_clear(&fleet);
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
