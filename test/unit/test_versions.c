/** @file test_versions.c @brief What is known of the versions of a service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "decide/versions.h"

enum {
	WINDOW_MS = 5000,
	POLL_MS = 1000,
};

/* Looks at the list each second from @p from on, up to and including @p to. */
static void watch(struct versions *versions, const char *version, bool several,
		  int64_t from, int64_t to)
{
	for (int64_t now = from; now <= to; now += POLL_MS)
		versions_observe(versions, version, several, now);
}

static void test_nothing_listed(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	assert_true(versions_are_mixed(versions, WINDOW_MS, 0));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 0));
	versions_destroy(versions);
}

/* Guards against trust in a single look: what was listed before it is unknown.
 */
static void test_one_version(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	watch(versions, "a", false, 0, 4000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 4999));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 4999));
	watch(versions, "a", false, 5000, 5000);
	assert_false(versions_are_mixed(versions, WINDOW_MS, 5000));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 5000),
			    "a");
	versions_destroy(versions);
}

/* A pause, or a store that was away: changes may have been missed. */
static void test_gap(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	watch(versions, "a", false, 0, 6000);
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 8500),
			    "a");
	assert_null(versions_unrecorded(versions, WINDOW_MS, 8501));
	assert_true(versions_are_mixed(versions, WINDOW_MS, 8501));
	watch(versions, "a", false, 9000, 13000);
	assert_null(versions_unrecorded(versions, WINDOW_MS, 13000));
	watch(versions, "a", false, 14000, 14000);
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 14000),
			    "a");
	versions_destroy(versions);
}

/* An instance that starts among several versions can't tell. */
static void test_several_from_the_start(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	watch(versions, "a", true, 0, 20000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 20000));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 20000));
	versions_destroy(versions);
}

/* A release: one version, two side by side, the new one alone. */
static void test_release(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	watch(versions, "a", false, 0, 9000);
	assert_false(versions_need_record(versions, WINDOW_MS, 9000));
	watch(versions, "b", true, 10000, 14000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 14000));
	/* A stream without a record began before the release; none of the
	 * others may be without one for as long as anybody thinks so. */
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 14999),
			    "a");
	watch(versions, "b", true, 15000, 16000);
	assert_null(versions_unrecorded(versions, WINDOW_MS, 15000));
	assert_true(versions_need_record(versions, WINDOW_MS, 16999));
	assert_false(versions_need_record(versions, WINDOW_MS, 17000));
	watch(versions, "b", false, 17000, 22000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 21999));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 21999));
	assert_false(versions_are_mixed(versions, WINDOW_MS, 22000));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 22000),
			    "b");
	versions_destroy(versions);
}

/* All servers are replaced between two looks at the list. */
static void test_replaced_at_once(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	watch(versions, "a", false, 0, 9000);
	watch(versions, "b", false, 10000, 15000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 14999));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 14999));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 15000),
			    "b");
	versions_destroy(versions);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_listed),
		cmocka_unit_test(test_one_version),
		cmocka_unit_test(test_gap),
		cmocka_unit_test(test_several_from_the_start),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_replaced_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
