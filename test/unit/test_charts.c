/** @file test_charts.c @brief Tests of the charts embedded into the binary. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "decide/charts.h"

static void assert_embedded(const char *text, const char *file)
{
	char *expected;

	assert_true(g_file_get_contents(file, &expected, NULL, NULL));
	assert_string_equal(text, expected);
	g_free(expected);
}

static void test_charts_are_embedded_whole(void **state)
{
	(void)state;
	assert_embedded(charts_turn(), "charts/turn.chart");
	assert_embedded(charts_server(), "charts/server.chart");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_charts_are_embedded_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
