/** @file test_members_news.c @brief What instances tell each other of servers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/members_int.h"

enum {
	REPORTS = 10000,
	QUEUED_MAX = 1000,
};

/* An instance that hears no other one sends no datagrams. */
static void test_reports_do_not_pile_up_while_alone(void **state)
{
	struct members members = {.news = g_queue_new()};
	const struct news *first;
	const struct news *last;

	(void)state;
	members_report_limit(&members, "limited");
	for (int i = 0; i < REPORTS; i++) {
		struct suspect_mark mark = {.fingerprint = (uint64_t)i,
					    .server = "s",
					    .ended_ms = clock_boot_ms()};

		members_report_suspect(&members, &mark);
	}
	assert_in_range(members.news->length, 1, QUEUED_MAX);
	/* The store does not have what servers say of their limits. */
	first = g_queue_peek_head(members.news);
	assert_int_equal(first->kind, NEWS_SERVER_LIMIT);
	last = g_queue_peek_tail(members.news);
	assert_int_equal(last->mark.fingerprint, REPORTS - 1);
	members_news_clear(&members);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reports_do_not_pile_up_while_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
