/**
 * @file test_live.c
 * @brief The failure detector in fleets of up to 300 instances, in virtual
 * time.
 *
 * Guards against two failures: a fleet that takes too long to agree that an
 * instance is gone, so that what it was responsible for is without an owner,
 * and one that takes instances for silent that only some can't reach.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include <glib.h>

#include "decide/live.h"
#include "decide/rng.h"

enum {
	FLEET = 300,
	ZONES = 5,
	DELAY_MS = 2,		 /* of a datagram */
	AGREED_WITHIN_MS = 2500, /* 99 of 100 know of a change by then */
	/* Users allow for as long without contact before bounds hold again. */
	MANY_AGREED_WITHIN_MS = 5000,
	SETTLE_MS = 8000, /* a round of probes over the whole fleet */
	/* The users allow 2 KB a second for control; headers not counted. */
	BYTES_PER_S_MAX = 2048,
	PROBE_BYTES = 36, /* of a datagram without rumors */
	RUMOR_BYTES = 40,
};

struct datagram {
	int64_t at_ms;
	int from;
	int to;
	uint64_t epoch;
	bool wants_answer;
	size_t count;
	struct live_rumor rumors[LIVE_RUMORS_MAX];
};

struct node {
	int index;
	struct live *live;
	char id[16];
	bool down;
	bool paused;
};

static struct node nodes[FLEET];
static int fleet_size;
static GQueue network = G_QUEUE_INIT; /* of struct datagram, by time */
static struct rng rng;
static double loss;
static int64_t now_ms;
static uint64_t bytes_sent;
static int false_alarms; /* instances found silent that were not down */
/* Whether datagrams pass from one instance to another. */
static bool (*passes)(int from, int to);

static int zone(int index)
{
	return index % ZONES;
}

static void send_datagram(int from, int to, bool wants_answer)
{
	struct datagram *datagram = g_new0(struct datagram, 1);

	datagram->count = live_take_rumors(nodes[from].live, datagram->rumors,
					   LIVE_RUMORS_MAX);
	bytes_sent += PROBE_BYTES + datagram->count * RUMOR_BYTES;
	datagram->at_ms = now_ms + DELAY_MS;
	datagram->from = from;
	datagram->to = to;
	datagram->epoch = live_epoch(nodes[from].live);
	datagram->wants_answer = wants_answer;
	if (rng_unit(&rng) < loss || (passes != NULL && !passes(from, to)))
		g_free(datagram);
	else
		g_queue_push_tail(&network, datagram);
}

static int index_of(const char *id)
{
	return (int)g_ascii_strtoll(id + 1, NULL, 10);
}

static void on_probe(void *arg, const char *id)
{
	const struct node *node = arg;

	send_datagram(node->index, index_of(id), true);
}

static void on_changed(void *arg, const char *id, bool silent)
{
	const struct node *other = &nodes[index_of(id)];

	(void)arg;
	false_alarms += silent && !other->down && !other->paused;
}

static void start_node(int i)
{
	struct node *node = &nodes[i];
	struct live_io io = {on_probe, on_changed, node};

	node->index = i;
	g_snprintf(node->id, sizeof(node->id), "i%d", i);
	live_destroy(node->live);
	node->live = live_create(node->id, (uint64_t)now_ms + 1, &io);
	node->down = false;
	node->paused = false;
	for (int peer = 0; peer < fleet_size; peer++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i%d", peer);
		live_add(node->live, id);
	}
}

static void deliver(const struct datagram *datagram)
{
	const struct node *node = &nodes[datagram->to];

	if (node->down || node->paused)
		return;
	live_on_heard(node->live, nodes[datagram->from].id, datagram->epoch,
		      now_ms);
	for (size_t i = 0; i < datagram->count; i++)
		live_on_rumor(node->live, &datagram->rumors[i], now_ms);
	if (datagram->wants_answer)
		send_datagram(datagram->to, datagram->from, false);
}

/* Lets @p ms pass; instances tick at different times. */
static void run(int64_t ms)
{
	for (int64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms++) {
		struct datagram *datagram;

		while ((datagram = g_queue_peek_head(&network)) != NULL &&
		       datagram->at_ms <= now_ms) {
			g_queue_pop_head(&network);
			deliver(datagram);
			g_free(datagram);
		}
		for (int i = 0; i < fleet_size; i++) {
			if (!nodes[i].down && !nodes[i].paused &&
			    (now_ms + i * 7) % LIVE_PERIOD_MS == 0)
				live_tick(nodes[i].live, now_ms);
		}
	}
}

static void start_fleet(int size, double lost, uint64_t seed)
{
	fleet_size = size;
	loss = lost;
	rng.state = seed;
	passes = NULL;
	now_ms = 1000;
	for (int i = 0; i < size; i++)
		start_node(i);
	run(SETTLE_MS);
	false_alarms = 0;
	bytes_sent = 0;
}

static int stop_fleet(void **state)
{
	(void)state;
	for (int i = 0; i < fleet_size; i++) {
		live_destroy(nodes[i].live);
		nodes[i].live = NULL;
		nodes[i].down = false;
		nodes[i].paused = false;
	}
	g_queue_clear_full(&network, g_free);
	return 0;
}

/* Part of the running instances that know which others are down. */
static double agreement(void)
{
	int right = 0;
	int all = 0;

	for (int i = 0; i < fleet_size; i++) {
		for (int j = 0; j < fleet_size && !nodes[i].down; j++) {
			if (i == j)
				continue;
			all++;
			right += live_is_silent(nodes[i].live, nodes[j].id) ==
				 nodes[j].down;
		}
	}
	return (double)right / all;
}

static void test_killed_instances_are_found(void **state)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		start_fleet(FLEET, 0.01, seed);
		nodes[17].down = true;
		run(AGREED_WITHIN_MS);
		for (int i = 0, known = 0; i < FLEET; i++) {
			known +=
				i == 17 || live_is_silent(nodes[i].live, "i17");
			if (i == FLEET - 1)
				assert_true(known >= FLEET * 99 / 100);
		}
		assert_int_equal(false_alarms, 0);
		/* It returns with a higher epoch, and is known at once. */
		start_node(17);
		run(1000);
		assert_true(agreement() > 0.9999);
		stop_fleet(state);
	}
}

/* An instance that leaves requests unanswered is found sooner than by probes
 * alone; a request that only got lost makes nobody silent. */
static void test_unanswered_requests(void **state)
{
	start_fleet(FLEET, 0.01, 1);
	nodes[17].down = true;
	for (int i = 0; i < 6; i++)
		live_doubt(nodes[40 * i + 20].live, "i17", now_ms);
	run(1200);
	for (int i = 0, known = 0; i < FLEET; i++) {
		known += i == 17 || live_is_silent(nodes[i].live, "i17");
		if (i == FLEET - 1)
			assert_true(known >= FLEET * 99 / 100);
	}
	for (int i = 0; i < 6; i++)
		live_doubt(nodes[40 * i + 21].live, "i18", now_ms);
	run(2000);
	assert_int_equal(false_alarms, 0);
	stop_fleet(state);
}

/* A zone loses power, and a third of all instances elsewhere. */
static void test_many_killed_at_once(void **state)
{
	(void)state;
	start_fleet(FLEET, 0.01, 1);
	for (int i = 0; i < FLEET; i++)
		nodes[i].down = zone(i) == 2 || i % 6 == 1;
	run(MANY_AGREED_WITHIN_MS);
	assert_true(agreement() > 0.99);
	assert_int_equal(false_alarms, 0);
	for (int i = 0; i < FLEET; i++) {
		if (nodes[i].down)
			start_node(i);
	}
	run(1500);
	assert_true(agreement() > 0.99);
}

static bool zone_0_is_cut(int from, int to)
{
	return (zone(from) == 0) == (zone(to) == 0);
}

/* A zone is cut off for 12 s: its instances know that they are on the smaller
 * side, and all is as before soon after. */
static void test_zone_cut(void **state)
{
	(void)state;
	start_fleet(FLEET, 0.01, 1);
	passes = zone_0_is_cut;
	run(12000);
	for (int i = 0; i < FLEET; i++) {
		uint32_t count = live_count(nodes[i].live) + 1;

		if (zone(i) == 0)
			assert_true(live_is_isolated(nodes[i].live, now_ms) ||
				    count <= FLEET / 2);
		else
			assert_true(count > FLEET / 2 &&
				    !live_is_isolated(nodes[i].live, now_ms));
	}
	passes = NULL;
	run(3000);
	assert_true(agreement() > 0.99);
	run(SETTLE_MS);
	assert_true(agreement() > 0.9999);
}

static bool single_ones_are_cut(int from, int to)
{
	return from % 3 != 0 && to % 3 != 0;
}

/* Single instances without any contact take no one else for silent. */
static void test_isolated_instances(void **state)
{
	(void)state;
	start_fleet(FLEET, 0, 1);
	passes = single_ones_are_cut;
	run(5000);
	for (int i = 0; i < FLEET; i++) {
		assert_int_equal(live_is_isolated(nodes[i].live, now_ms),
				 i % 3 == 0);
		if (i % 3 == 0)
			assert_int_equal(live_count(nodes[i].live), FLEET - 1);
	}
	passes = NULL;
	run(SETTLE_MS);
	assert_true(agreement() > 0.9999);
}

/* What an instance held before a pause is void until it has heard others. */
static void test_paused_instance(void **state)
{
	(void)state;
	start_fleet(FLEET, 0, 1);
	nodes[5].paused = true;
	run(6000);
	nodes[5].paused = false;
	assert_true(live_is_isolated(nodes[5].live, now_ms));
	/* A datagram that waited meanwhile is no proof of contact. */
	live_on_rumor(nodes[5].live,
		      &(struct live_rumor){LIVE_ALIVE, "i6", 1, 0}, now_ms);
	assert_true(live_is_isolated(nodes[5].live, now_ms));
	run(1000);
	assert_false(live_is_isolated(nodes[5].live, now_ms));
	assert_int_equal(live_count(nodes[5].live), FLEET - 1);
	run(2000);
	assert_true(agreement() > 0.9999);
}

/* All instances are replaced one by one, 2 s apart. */
static void test_roll(void **state)
{
	(void)state;
	start_fleet(100, 0.01, 1);
	for (int i = 0; i < 40; i++) {
		live_announce(nodes[i].live, true, now_ms);
		run(1200);
		nodes[i].down = true;
		run(600);
		start_node(i);
		run(200);
	}
	run(2000);
	assert_true(agreement() > 0.9999);
	for (int i = 0; i < 40; i++)
		assert_false(live_is_leaving(nodes[60].live, nodes[i].id));
	assert_int_equal(false_alarms, 0);
}

/* Everything restarts at once, and is known to respond at once. */
static void test_all_restarted(void **state)
{
	(void)state;
	start_fleet(FLEET, 0.01, 1);
	for (int i = 0; i < FLEET; i++)
		start_node(i);
	run(600);
	for (int i = 0; i < FLEET; i++)
		assert_false(live_is_isolated(nodes[i].live, now_ms));
	assert_true(agreement() > 0.9999);
}

/* Losses of datagrams alone make no instance silent; the traffic of each
 * instance does not grow with the fleet. */
static void test_traffic_is_bounded(void **state)
{
	static const int sizes[] = {12, 100, FLEET};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		start_fleet(sizes[i], 0.01, 1);
		run(20000);
		assert_true(bytes_sent / 20 / (uint64_t)sizes[i] <=
			    BYTES_PER_S_MAX);
		assert_int_equal(false_alarms, 0);
		stop_fleet(state);
	}
}

/* Small fleets: every pair exchanges a datagram in each period. */
static void test_small_fleet_hears_all(void **state)
{
	(void)state;
	start_fleet(13, 0, 1);
	nodes[3].down = true;
	run(LIVE_PERIOD_MS * 2);
	for (int i = 0; i < 13; i++) {
		if (i != 3)
			assert_false(
				live_is_quiet(nodes[i].live, "i3", now_ms));
	}
	run(1500);
	assert_true(agreement() == 1.0);
	stop_fleet(state);
	/* With a single other instance there is no second witness: it is not
	 * known which of the two is cut off. */
	start_fleet(2, 0, 1);
	nodes[1].down = true;
	run(3000);
	assert_true(live_is_isolated(nodes[0].live, now_ms));
	assert_true(live_is_quiet(nodes[0].live, "i1", now_ms));
}

/* Rumors of an older incarnation, or with a foreign id, change nothing. */
static void test_stale_rumors(void **state)
{
	struct live_rumor rumor = {LIVE_SUSPECTED, "i4", 0, 7};

	(void)state;
	start_fleet(20, 0, 1);
	for (uint32_t witness = 1; witness < 9; witness++) {
		rumor.witness = witness;
		live_on_rumor(nodes[1].live, &rumor, now_ms);
	}
	assert_false(live_is_silent(nodes[1].live, "i4"));
	g_strlcpy(rumor.id, "unknown", sizeof(rumor.id));
	assert_false(live_on_rumor(nodes[1].live, &rumor, now_ms));
	/* An instance refutes what is said of it. */
	g_strlcpy(rumor.id, "i1", sizeof(rumor.id));
	rumor.epoch = live_epoch(nodes[1].live);
	live_on_rumor(nodes[1].live, &rumor, now_ms);
	assert_true(live_epoch(nodes[1].live) > rumor.epoch);
}

#define FLEET_TEST(test) cmocka_unit_test_teardown(test, stop_fleet)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FLEET_TEST(test_killed_instances_are_found),
		FLEET_TEST(test_unanswered_requests),
		FLEET_TEST(test_many_killed_at_once),
		FLEET_TEST(test_zone_cut),
		FLEET_TEST(test_isolated_instances),
		FLEET_TEST(test_paused_instance),
		FLEET_TEST(test_roll),
		FLEET_TEST(test_all_restarted),
		FLEET_TEST(test_traffic_is_bounded),
		FLEET_TEST(test_small_fleet_hears_all),
		FLEET_TEST(test_stale_rumors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
