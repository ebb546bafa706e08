/** @file test_versions.c @brief What is known of the versions of a service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "decide/versions.h"

enum {
	WINDOW_MS = 5000,
};

static void test_nothing_listed(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	assert_false(versions_are_mixed(versions, WINDOW_MS, 0));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 0));
	versions_destroy(versions);
}

static void test_one_version(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	versions_observe(versions, "a", false, 10);
	assert_false(versions_are_mixed(versions, WINDOW_MS, 10));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 10), "a");
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 100000),
			    "a");
	versions_destroy(versions);
}

/* An instance that starts among several versions can't tell. */
static void test_several_from_the_start(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	versions_observe(versions, "a", true, 0);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 0));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 0));
	versions_destroy(versions);
}

/* A release: one version, two side by side, the new one alone. */
static void test_release(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	versions_observe(versions, "a", false, 0);
	versions_observe(versions, "b", true, 1000);
	versions_observe(versions, "a", true, 2000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 2000));
	/* A stream without a record began before the release. */
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 5999),
			    "a");
	/* Nothing that old is left: a record was lost. */
	assert_null(versions_unrecorded(versions, WINDOW_MS, 6000));
	versions_observe(versions, "b", false, 8000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 12999));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 12999));
	assert_false(versions_are_mixed(versions, WINDOW_MS, 13000));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 13000),
			    "b");
	versions_destroy(versions);
}

/* All servers are replaced between two looks at the list. */
static void test_replaced_at_once(void **state)
{
	struct versions *versions = versions_create();

	(void)state;
	versions_observe(versions, "a", false, 0);
	versions_observe(versions, "b", false, 1000);
	assert_true(versions_are_mixed(versions, WINDOW_MS, 1000));
	assert_null(versions_unrecorded(versions, WINDOW_MS, 1000));
	assert_string_equal(versions_unrecorded(versions, WINDOW_MS, 6000),
			    "b");
	versions_destroy(versions);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_listed),
		cmocka_unit_test(test_one_version),
		cmocka_unit_test(test_several_from_the_start),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_replaced_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
