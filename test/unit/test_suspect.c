/** @file test_suspect.c @brief Which requests are refused for crashing servers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "decide/rng.h"
#include "decide/suspect.h"

enum {
	REQUEST = 7,
	OTHER_REQUEST = 8,
	MINUTE_MS = 60000,
	HOUR_MS = 3600000,
	SETTLED_MS = 20000, /* by then a mark is decided */
	MANY = 5000,	    /* requests, more than are kept */
	INSTANCES_MAX = 295,
	CRASHES_MAX = 100,
	STEP_MS = 50,	  /* between two tries of a request */
	STORED_MS = 300,  /* by then a mark is in the store */
	READ_MS = 2200,	  /* by then each instance has read it */
	REPLACE_MS = 500, /* between two instances that are replaced */
	CONTACT_MS = 3000,
	RETRIES_MAX = 3, /* that users allow later than that */
};

/* What the test says of each server, and what became of marks. */
struct view {
	enum suspect_server server;
	guint changes[SUSPECT_EXPIRED + 1];
};

static enum suspect_server server_of_mark(void *arg,
					  const struct suspect_mark *mark)
{
	const struct view *view = arg;

	(void)mark;
	return view->server;
}

static void on_changed(void *arg, const struct suspect_mark *mark,
		       enum suspect_change change)
{
	struct view *view = arg;

	assert_non_null(mark->server);
	view->changes[change]++;
}

static struct suspects *create(struct view *view)
{
	struct suspect_handler handler = {server_of_mark, on_changed, view};

	return suspect_create(&handler);
}

static bool add(struct suspects *suspects, const char *server,
		enum suspect_evidence evidence, int64_t now)
{
	struct suspect_mark mark = {REQUEST, server, 1, now, evidence};

	return suspect_add(suspects, &mark, now);
}

/* Adds marks of three servers, which were not known. */
static void add_three(struct suspects *suspects, enum suspect_evidence evidence,
		      int64_t now)
{
	assert_true(add(suspects, "s1", evidence, now));
	assert_true(add(suspects, "s2", evidence, now));
	assert_true(add(suspects, "s3", evidence, now));
}

static bool is_refused(struct suspects *suspects, int64_t now)
{
	int64_t wait_ms = 0;
	bool refused = suspect_is_refused(suspects, REQUEST, now, &wait_ms);

	assert_true(!refused || wait_ms > 0);
	return refused;
}

static void test_three_broken_servers_refuse_at_once(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);
	int64_t wait_ms;

	(void)state;
	assert_true(add(suspects, "s1", SUSPECT_BROKEN, 0));
	assert_false(add(suspects, "s1", SUSPECT_BROKEN, 0));
	assert_true(add(suspects, "s2", SUSPECT_BROKEN, 1000));
	assert_false(is_refused(suspects, 1000));
	assert_true(add(suspects, "s3", SUSPECT_BROKEN, 2000));
	assert_true(is_refused(suspects, 2000));
	assert_false(
		suspect_is_refused(suspects, OTHER_REQUEST, 2000, &wait_ms));
	suspect_destroy(suspects);
}

static void test_starts_under_one_id_are_different_servers(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	for (int64_t start = 1; start <= 3; start++) {
		struct suspect_mark mark = {REQUEST, "s1", start, 0,
					    SUSPECT_BROKEN};

		assert_false(is_refused(suspects, 0));
		assert_true(suspect_add(suspects, &mark, 0));
	}
	assert_true(is_refused(suspects, 0));
	suspect_destroy(suspects);
}

static void test_crashes_minutes_apart_count(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);
	int64_t now;

	(void)state;
	add(suspects, "s1", SUSPECT_BROKEN, 0);
	suspect_settle(suspects, SETTLED_MS);
	add(suspects, "s2", SUSPECT_BROKEN, 10 * MINUTE_MS);
	suspect_settle(suspects, 10 * MINUTE_MS + SETTLED_MS);
	add(suspects, "s3", SUSPECT_BROKEN, 20 * MINUTE_MS);
	for (now = 20 * MINUTE_MS; now < HOUR_MS; now += MINUTE_MS) {
		suspect_settle(suspects, now);
		assert_true(is_refused(suspects, now));
	}
	suspect_settle(suspects, HOUR_MS + 1);
	assert_false(is_refused(suspects, HOUR_MS + 1));
	assert_int_equal(view.changes[SUSPECT_CONFIRMED], 3);
	assert_int_equal(view.changes[SUSPECT_EXPIRED], 1);
	suspect_destroy(suspects);
}

static void test_servers_that_live_acquit(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add_three(suspects, SUSPECT_BROKEN, 0);
	assert_true(is_refused(suspects, 0));
	view.server = SUSPECT_SERVER_ALIVE;
	assert_false(is_refused(suspects, 200));
	assert_int_equal(view.changes[SUSPECT_DISPROVED], 3);
	/* The same again, with servers that are listed all the while. */
	view.server = SUSPECT_SERVER_LISTED;
	add_three(suspects, SUSPECT_BROKEN, 1000);
	suspect_settle(suspects, 2000);
	assert_true(is_refused(suspects, 2000));
	suspect_settle(suspects, 1000 + SETTLED_MS);
	assert_false(is_refused(suspects, 1000 + SETTLED_MS));
	/* Without a list nothing is decided. */
	view.server = SUSPECT_SERVER_UNKNOWN;
	add(suspects, "s1", SUSPECT_BROKEN, MINUTE_MS);
	suspect_settle(suspects, 2 * MINUTE_MS);
	assert_int_equal(view.changes[SUSPECT_DISPROVED], 6);
	suspect_destroy(suspects);
}

/* Instances pass marks on to each other, and may send one again. */
static void test_disproved_mark_does_not_come_back(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);
	struct suspect_mark late = {REQUEST, "s1", 1, 0, SUSPECT_BROKEN};

	(void)state;
	assert_true(add(suspects, "s1", SUSPECT_BROKEN, 0));
	view.server = SUSPECT_SERVER_ALIVE;
	suspect_settle(suspects, 200);
	assert_int_equal(view.changes[SUSPECT_DISPROVED], 1);
	assert_false(suspect_add(suspects, &late, 300));
	view.server = SUSPECT_SERVER_LISTED;
	assert_false(suspect_add(suspects, &late, SETTLED_MS));
	view.server = SUSPECT_SERVER_GONE;
	assert_true(suspect_add(suspects, &late, SETTLED_MS));
	suspect_destroy(suspects);
}

static void test_silent_servers_count_once_gone(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add_three(suspects, SUSPECT_SILENT, 0);
	assert_false(is_refused(suspects, 0));
	view.server = SUSPECT_SERVER_GONE;
	suspect_settle(suspects, 5000);
	assert_true(is_refused(suspects, 5000));
	assert_int_equal(view.changes[SUSPECT_CONFIRMED], 3);
	suspect_destroy(suspects);
}

static void test_silent_server_that_another_instance_saw_crash(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	assert_true(add(suspects, "s1", SUSPECT_SILENT, 0));
	assert_true(add(suspects, "s1", SUSPECT_CRASHED, 0));
	assert_false(add(suspects, "s1", SUSPECT_BROKEN, 0));
	add(suspects, "s2", SUSPECT_CRASHED, 0);
	add(suspects, "s3", SUSPECT_CRASHED, 0);
	assert_true(is_refused(suspects, SETTLED_MS));
	suspect_destroy(suspects);
}

/* Many callers send the same request, and three servers that have it crash for
 * another reason. */
static void test_request_that_completes_is_sound(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add(suspects, "s1", SUSPECT_BROKEN, 0);
	add(suspects, "s2", SUSPECT_BROKEN, 0);
	assert_true(suspect_on_completed(suspects, REQUEST, 100));
	assert_int_equal(view.changes[SUSPECT_CLEARED], 2);
	assert_false(add(suspects, "s3", SUSPECT_BROKEN, 200));
	assert_false(add(suspects, "s4", SUSPECT_CRASHED, 200));
	assert_false(add(suspects, "s5", SUSPECT_BROKEN, 200));
	assert_false(is_refused(suspects, 200));
	assert_false(suspect_on_completed(suspects, REQUEST, 300));
	/* That does not last: servers of a new version may crash. */
	add(suspects, "s6", SUSPECT_BROKEN, MINUTE_MS);
	add(suspects, "s7", SUSPECT_BROKEN, MINUTE_MS);
	add(suspects, "s8", SUSPECT_BROKEN, MINUTE_MS);
	assert_true(is_refused(suspects, MINUTE_MS));
	suspect_destroy(suspects);
}

static void add_shared(struct suspects *suspects, const char *server,
		       int64_t now)
{
	struct suspect_mark other = {OTHER_REQUEST, server, 1, now,
				     SUSPECT_BROKEN};

	assert_true(suspect_add(suspects, &other, now));
	assert_true(add(suspects, server, SUSPECT_BROKEN, now));
}

/* The request was at three servers that another one may have crashed. */
static void test_request_in_doubt_is_tried_twice(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	assert_false(suspect_take_trial(suspects, REQUEST, 0));
	add_shared(suspects, "s1", 0);
	add_shared(suspects, "s2", 0);
	add(suspects, "s3", SUSPECT_BROKEN, 0);
	assert_true(is_refused(suspects, 2000));
	assert_false(suspect_take_trial(suspects, REQUEST, 2000));
	assert_true(suspect_take_trial(suspects, REQUEST, 3000));
	assert_false(suspect_take_trial(suspects, REQUEST, 3001));
	add(suspects, "s4", SUSPECT_BROKEN, 3100);
	assert_false(suspect_take_trial(suspects, REQUEST, 10000));
	assert_true(suspect_take_trial(suspects, REQUEST, 2 * MINUTE_MS));
	add(suspects, "s5", SUSPECT_BROKEN, 2 * MINUTE_MS);
	for (int64_t now = 2 * MINUTE_MS; now < HOUR_MS; now += MINUTE_MS) {
		suspect_settle(suspects, now);
		assert_true(is_refused(suspects, now));
		assert_false(suspect_take_trial(suspects, REQUEST, now));
	}
	suspect_destroy(suspects);
}

/* Beside it were requests that had no second chance, as they may run once. */
static void test_many_bystanders_are_no_doubt(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);
	static const char *const servers[] = {"s1", "s2", "s3"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		struct suspect_mark beside = {OTHER_REQUEST + i, servers[i], 1,
					      0, SUSPECT_BROKEN};

		assert_true(suspect_add(suspects, &beside, 0));
		add(suspects, servers[i], SUSPECT_BROKEN, 0);
	}
	assert_true(is_refused(suspects, MINUTE_MS));
	assert_false(suspect_take_trial(suspects, REQUEST, MINUTE_MS));
	suspect_destroy(suspects);
}

static void test_request_beyond_doubt_is_not_tried(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add_shared(suspects, "s1", 0);
	add_shared(suspects, "s2", 0);
	add_shared(suspects, "s3", 0);
	suspect_on_completed(suspects, OTHER_REQUEST, 1000);
	for (int64_t now = 1000; now < HOUR_MS; now += MINUTE_MS) {
		assert_true(is_refused(suspects, now));
		assert_false(suspect_take_trial(suspects, REQUEST, now));
	}
	suspect_destroy(suspects);
}

/* Instances that learn of each mark from the store, each after a while. */
struct instances {
	struct view view;
	struct suspects *list[INSTANCES_MAX];
	guint count;
	struct rng rng;
	int64_t crashed_ms[CRASHES_MAX]; /* the marks, by server */
	int64_t delay_ms[CRASHES_MAX][INSTANCES_MAX];
	guint crashes;
};

static void learn(struct instances *all, guint i, guint server)
{
	struct suspect_mark mark = {REQUEST, "s", server,
				    all->crashed_ms[server], SUSPECT_CRASHED};

	suspect_add(all->list[i], &mark, all->crashed_ms[server]);
}

/* The instance is replaced, and reads what is in the store. */
static void replace(struct instances *all, guint i, int64_t now)
{
	suspect_destroy(all->list[i]);
	all->list[i] = create(&all->view);
	for (guint server = 0; server < all->crashes; server++) {
		if (now - all->crashed_ms[server] >= STORED_MS)
			learn(all, i, server);
	}
}

static void deliver(struct instances *all, int64_t now)
{
	for (guint server = 0; server < all->crashes; server++) {
		for (guint i = 0; i < all->count; i++) {
			if (now - all->crashed_ms[server] ==
			    all->delay_ms[server][i])
				learn(all, i, server);
		}
	}
}

/* The request comes to any instance; it crashes a server unless refused. */
static bool try_request(struct instances *all, int64_t now)
{
	guint i = (guint)rng_below(&all->rng, all->count);
	guint server = all->crashes;

	if (is_refused(all->list[i], now) || server == CRASHES_MAX)
		return false;
	all->crashed_ms[server] = now;
	for (guint other = 0; other < all->count; other++)
		all->delay_ms[server][other] =
			STORED_MS +
			STEP_MS * (int64_t)rng_below(&all->rng,
						     READ_MS / STEP_MS);
	all->crashes++;
	learn(all, i, server);
	return true;
}

/* Guards against a request that is known to too few instances, or only until
 * they are replaced. */
static void test_many_instances_know_in_time(void **state)
{
	static const guint counts[] = {2, 11, INSTANCES_MAX};

	(void)state;
	for (size_t n = 0; n < G_N_ELEMENTS(counts); n++) {
		struct instances *all = g_new0(struct instances, 1);
		guint late = 0;

		all->view.server = SUSPECT_SERVER_GONE;
		all->count = counts[n];
		all->rng.state = n + 1;
		for (guint i = 0; i < all->count; i++)
			all->list[i] = create(&all->view);
		for (int64_t now = 0; now < MINUTE_MS; now += STEP_MS) {
			deliver(all, now);
			if (now % REPLACE_MS == 0)
				replace(all,
					(guint)rng_below(&all->rng, all->count),
					now);
			for (guint i = 0;
			     now == MINUTE_MS / 2 && i < all->count; i++)
				replace(all, i, now);
			if (try_request(all, now) && all->crashes > 3 &&
			    now > all->crashed_ms[2] + CONTACT_MS)
				late++;
		}
		assert_in_range(late, 0, RETRIES_MAX);
		for (guint i = 0; i < all->count; i++)
			suspect_destroy(all->list[i]);
		g_free(all);
	}
}

static void test_refused_request_survives_many_others(void **state)
{
	struct view view = {SUSPECT_SERVER_GONE, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add_three(suspects, SUSPECT_BROKEN, 0);
	for (uint64_t i = 0; i < MANY; i++) {
		struct suspect_mark mark = {OTHER_REQUEST + i, "s1", 1,
					    (int64_t)i, SUSPECT_BROKEN};

		assert_true(suspect_add(suspects, &mark, (int64_t)i));
	}
	assert_true(is_refused(suspects, MANY));
	suspect_destroy(suspects);
}

/* Guards against an entry without marks when room is made for another. */
static void test_acquitted_request_and_many_others(void **state)
{
	struct view view = {SUSPECT_SERVER_LISTED, {0}};
	struct suspects *suspects = create(&view);

	(void)state;
	add_three(suspects, SUSPECT_BROKEN, 0);
	view.server = SUSPECT_SERVER_ALIVE;
	assert_false(is_refused(suspects, 200));
	view.server = SUSPECT_SERVER_LISTED;
	for (uint64_t i = 0; i < MANY; i++) {
		struct suspect_mark mark = {OTHER_REQUEST + i, "s1", 1,
					    (int64_t)i, SUSPECT_BROKEN};

		assert_true(suspect_add(suspects, &mark, (int64_t)i));
	}
	suspect_destroy(suspects);
}

static void test_fingerprint_tells_requests_apart(void **state)
{
	uint64_t first = suspect_fingerprint("a", "POST", "/p", "body", 4);

	(void)state;
	assert_true(first == suspect_fingerprint("a", "POST", "/p", "body", 4));
	assert_false(first ==
		     suspect_fingerprint("b", "POST", "/p", "body", 4));
	assert_false(first == suspect_fingerprint("a", "PUT", "/p", "body", 4));
	assert_false(first ==
		     suspect_fingerprint("a", "POST", "/p?q", "body", 4));
	assert_false(first ==
		     suspect_fingerprint("a", "POST", "/p", "bodies", 6));
	assert_false(suspect_fingerprint("a", "GET", "/p", "", 0) ==
		     suspect_fingerprint("a", "GET", "", "/p", 2));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_three_broken_servers_refuse_at_once),
		cmocka_unit_test(
			test_starts_under_one_id_are_different_servers),
		cmocka_unit_test(test_crashes_minutes_apart_count),
		cmocka_unit_test(test_servers_that_live_acquit),
		cmocka_unit_test(test_disproved_mark_does_not_come_back),
		cmocka_unit_test(test_silent_servers_count_once_gone),
		cmocka_unit_test(
			test_silent_server_that_another_instance_saw_crash),
		cmocka_unit_test(test_request_that_completes_is_sound),
		cmocka_unit_test(test_request_in_doubt_is_tried_twice),
		cmocka_unit_test(test_many_bystanders_are_no_doubt),
		cmocka_unit_test(test_request_beyond_doubt_is_not_tried),
		cmocka_unit_test(test_many_instances_know_in_time),
		cmocka_unit_test(test_refused_request_survives_many_others),
		cmocka_unit_test(test_acquitted_request_and_many_others),
		cmocka_unit_test(test_fingerprint_tells_requests_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
