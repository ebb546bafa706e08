/** @file test_request.c @brief Routes, retries, history, suspects, events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "decide/catalog.h"
#include "decide/history.h"
#include "decide/retry.h"
#include "decide/suspect.h"
#include "serve/sse_splitter.h"

static void add_route(struct cat *cat, const char *host, const char *prefix,
		      uint32_t weight)
{
	struct cat_target target = {g_strdup("s"), weight};
	struct cat_route route = {
		.name = g_strdup(prefix),
		.host = g_strdup(host),
		.prefix = g_strdup(prefix),
		.targets = g_array_new(FALSE, FALSE, sizeof(target)),
	};

	g_array_append_val(route.targets, target);
	cat_add_route(cat, &route);
}

static void test_longest_prefix_of_the_host(void **state)
{
	struct cat_limits limits = {0};
	struct cat *cat = cat_create(1, &limits);

	(void)state;
	add_route(cat, "H.example", "/a/", 1);
	add_route(cat, "h.example", "/a/b/", 1);
	add_route(cat, "g.example", "/", 0);
	cat_seal(cat);
	assert_string_equal(
		cat_find_route(cat, "h.example:80", "/a/b/c?q")->prefix,
		"/a/b/");
	assert_string_equal(cat_find_route(cat, "h.example", "/a/bb")->prefix,
			    "/a/");
	assert_null(cat_find_route(cat, "h.example", "/a"));
	assert_null(cat_find_route(cat, "h.example", "/?/a/"));
	assert_null(cat_find_route(cat, "other.example", "/a/"));
	/* A route whose targets have no weight serves nobody. */
	assert_null(cat_choose(cat, cat_find_route(cat, "g.example", "/x"), 5));
	cat_unref(cat);
}

static void test_not_run_is_never_said_of_what_may_have_run(void **state)
{
	(void)state;
	for (int bits = 0; bits < 32; bits++) {
		for (int end = RTY_NOT_SENT; end <= RTY_BROKEN; end++) {
			struct rty_state s = {
				.idempotent = bits & 1,
				.begun = bits & 2,
				.runs = (bits & 4 ? 1 : 0) +
					(end == RTY_BROKEN),
				.attempts = bits & 8 ? 2 : 1,
				.sends = 1,
				.left_ms = bits & 16 ? 1000 : 0,
			};
			enum rty_next next = rty_after(&s, end);

			if (next == RTY_REFUSE)
				assert_int_equal(s.runs, 0);
			/* What runs once at most is sent again only if it
			 * is certain that it has not run. */
			if (next == RTY_AGAIN && !s.idempotent)
				assert_int_not_equal(end, RTY_BROKEN);
			if (next == RTY_AGAIN && end == RTY_BROKEN)
				assert_true(s.runs < s.attempts);
			if (s.begun)
				assert_true(next == RTY_AGAIN ||
					    next == RTY_CUT);
			if (s.left_ms == 0)
				assert_int_not_equal(next, RTY_AGAIN);
		}
	}
}

static void test_silence_ends_only_what_may_run_again(void **state)
{
	struct rty_state once = {.attempts = 2, .runs = 1};
	struct rty_state again = {.idempotent = true, .attempts = 2, .runs = 1};
	struct rty_state last = {.idempotent = true, .attempts = 1, .runs = 1};

	(void)state;
	assert_int_equal(rty_silence_ms(&once, 60, 0), 0);
	assert_true(rty_silence_ms(&again, 60, 0) > 60);
	assert_int_equal(rty_silence_ms(&last, 60, 0), 0);
}

static void test_history_joins_chains_and_stays_small(void **state)
{
	struct hst *hst = hst_create(2000);
	GByteArray *text = g_byte_array_new();
	GBytes *one = g_bytes_new("one\n", 4);
	GBytes *two = g_bytes_new("two\n", 4);
	GBytes *big = g_bytes_new_take(g_malloc0(700), 700);
	char *missing;
	bool foreign;

	(void)state;
	hst_put(hst, "t2", "t1", "p", two, 0);
	missing = hst_join(hst, "t2", "p", 0, text, &foreign);
	assert_string_equal(missing, "t1");
	g_free(missing);
	hst_put(hst, "t1", "", "p", one, 0);
	g_byte_array_set_size(text, 0);
	assert_null(hst_join(hst, "t2", "p", 0, text, &foreign));
	assert_int_equal(text->len, 8);
	assert_memory_equal(text->data, "one\ntwo\n", 8);
	for (int i = 0; i < 10; i++) {
		char key[8];

		g_snprintf(key, sizeof(key), "b%d", i);
		hst_put(hst, key, "", "p", big, 0);
	}
	assert_true(hst_bytes(hst) <= 2000);
	/* A loop in the rows is not followed for ever. */
	hst_put(hst, "x", "y", "p", one, 0);
	hst_put(hst, "y", "x", "p", one, 0);
	missing = hst_join(hst, "x", "p", 0, text, &foreign);
	assert_non_null(missing);
	g_free(missing);
	g_bytes_unref(one);
	g_bytes_unref(two);
	g_bytes_unref(big);
	g_byte_array_unref(text);
	hst_destroy(hst);
}

static void test_request_that_breaks_three_servers_is_refused(void **state)
{
	struct sus *sus = sus_create();
	int64_t wait_ms;

	(void)state;
	assert_true(sus_add(sus, 7, "s1", 0));
	assert_false(sus_add(sus, 7, "s1", 0));
	assert_true(sus_add(sus, 7, "s2", 1000));
	assert_false(sus_refused(sus, 7, 1000, &wait_ms));
	assert_true(sus_add(sus, 7, "s3", 2000));
	assert_true(sus_refused(sus, 7, 2000, &wait_ms));
	assert_true(wait_ms > 0);
	assert_false(sus_refused(sus, 8, 2000, &wait_ms));
	assert_false(sus_refused(sus, 7, 200000, &wait_ms));
	sus_destroy(sus);
}

static void test_breaks_far_apart_are_chance(void **state)
{
	struct sus *sus = sus_create();
	int64_t wait_ms;

	(void)state;
	sus_add(sus, 7, "s1", 0);
	sus_add(sus, 7, "s2", 30000);
	sus_add(sus, 7, "s3", 60000);
	assert_false(sus_refused(sus, 7, 60000, &wait_ms));
	sus_destroy(sus);
}

struct seen {
	GString *data;
	int64_t last;
	int count;
};

static void see(void *arg, const struct splitter_event *event)
{
	struct seen *seen = arg;

	seen->count++;
	seen->last = event->id;
	if (event->has_data)
		g_string_append_printf(seen->data, "[%s]", event->data->str);
}

static void test_events_at_any_split(void **state)
{
	static const char text[] =
		"id: 1\ndata: a\n\nweight-versions:3\nid:2\r\n"
		"data:b\r\ndata: c\r\n\r\n: note\n\nid: 3\n";
	size_t len = strlen(text);

	(void)state;
	for (size_t cut = 0; cut <= len; cut++) {
		struct seen seen = {g_string_new(NULL), -1, 0};
		struct splitter *splitter = splitter_create();

		splitter_feed(splitter, text, cut, see, &seen);
		splitter_feed(splitter, text + cut, len - cut, see, &seen);
		assert_string_equal(seen.data->str, "[a][b\nc]");
		assert_int_equal(seen.count, 3);
		assert_int_equal(splitter_pending(splitter), strlen("id: 3\n"));
		splitter_destroy(splitter);
		g_string_free(seen.data, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix_of_the_host),
		cmocka_unit_test(
			test_not_run_is_never_said_of_what_may_have_run),
		cmocka_unit_test(test_silence_ends_only_what_may_run_again),
		cmocka_unit_test(test_history_joins_chains_and_stays_small),
		cmocka_unit_test(
			test_request_that_breaks_three_servers_is_refused),
		cmocka_unit_test(test_breaks_far_apart_are_chance),
		cmocka_unit_test(test_events_at_any_split),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
