/** @file test_links.c @brief Which servers an instance can connect to. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "decide/links.h"

/* One server that has crashed is no reason to go round the others. */
static void test_one_lost_server_is_not_all(void **state)
{
	struct links *links = links_create();

	(void)state;
	assert_false(links_on_failed(links, "a", 0));
	assert_false(links_on_failed(links, "a", 10));
	assert_true(links_is_lost(links, "a"));
	assert_false(links_is_lost(links, "b"));
	assert_false(links_all_lost(links));
	assert_string_equal(links_next_lost(links), "a");
	links_forget(links, "a");
	assert_null(links_next_lost(links));
	links_destroy(links);
}

static void test_several_in_a_row_are_all(void **state)
{
	struct links *links = links_create();

	(void)state;
	assert_false(links_on_failed(links, "a", 0));
	assert_false(links_on_connected(links, "b", 10));
	assert_false(links_on_failed(links, "c", 20));
	assert_true(links_on_failed(links, "d", 30));
	assert_true(links_is_lost(links, "b"));
	/* What was lost together is back together. */
	assert_true(links_on_connected(links, "c", 40));
	assert_false(links_all_lost(links));
	assert_false(links_is_lost(links, "a"));
	links_destroy(links);
}

/* Links over which nothing comes while requests wait are checked, but a server
 * that goes on after a second has lost nothing by that. */
static void test_silent_links_are_checked(void **state)
{
	struct links *links = links_create();

	(void)state;
	assert_false(links_take_check(links, 10000));
	links_on_sent(links, 10000);
	links_on_received(links, 10100);
	assert_false(links_take_check(links, 10200));
	assert_true(links_take_check(links, 10600));
	assert_false(links_take_check(links, 10700));
	assert_false(links_all_lost(links));
	links_on_received(links, 11000);
	assert_false(links_take_check(links, 11100));
	links_on_ended(links);
	assert_false(links_take_check(links, 20000));
	assert_int_equal(links_silent_ms(links, 20000), 0);
	links_destroy(links);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_lost_server_is_not_all),
		cmocka_unit_test(test_several_in_a_row_are_all),
		cmocka_unit_test(test_silent_links_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
