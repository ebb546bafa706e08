/**
 * @file test_request.c
 * @brief Decisions about one request: its route, its retries and its history;
 * and the splitting of event streams.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "decide/catalog.h"
#include "decide/history.h"
#include "decide/retry.h"
#include "serve/sse_splitter.h"

static void add_route(struct catalog *catalog, const char *host,
		      const char *prefix, uint32_t weight)
{
	struct cat_target target = {g_strdup("s"), weight};
	struct cat_route route = {
		.name = g_strdup(prefix),
		.host = g_strdup(host),
		.prefix = g_strdup(prefix),
		.targets = g_array_new(FALSE, FALSE, sizeof(target)),
	};

	g_array_append_val(route.targets, target);
	cat_add_route(catalog, &route);
}

static void test_longest_prefix_route(void **state)
{
	struct cat_limits limits = {0};
	struct catalog *catalog = cat_create(1, &limits);

	(void)state;
	add_route(catalog, "H.example", "/a/", 1);
	add_route(catalog, "h.example", "/a/b/", 1);
	add_route(catalog, "g.example", "/", 0);
	cat_seal(catalog);
	assert_string_equal(
		cat_find_route(catalog, "h.example:80", "/a/b/c?q")->prefix,
		"/a/b/");
	assert_string_equal(
		cat_find_route(catalog, "h.example", "/a/bb")->prefix, "/a/");
	assert_null(cat_find_route(catalog, "h.example", "/a"));
	assert_null(cat_find_route(catalog, "h.example", "/?/a/"));
	assert_null(cat_find_route(catalog, "other.example", "/a/"));
	/* A route whose targets all have weight 0 serves no requests. */
	assert_null(cat_choose_service(
		catalog, cat_find_route(catalog, "g.example", "/x"), 5));
	cat_unref(catalog);
}

/* A request that may have run is never reported as not executed, nor sent again
 * unless it may run twice. Covers all states. */
static void test_maybe_executed_is_never_refused(void **state)
{
	(void)state;
	for (int flags = 0; flags < 32; flags++) {
		for (int end = RETRY_NOT_SENT; end <= RETRY_INTERRUPTED;
		     end++) {
			struct retry_state request = {
				.idempotent = flags & 1,
				.response_started = flags & 2,
				.possible_runs = (flags & 4 ? 1 : 0) +
						 (end == RETRY_INTERRUPTED),
				.attempts = flags & 8 ? 2 : 1,
				.sends = 1,
				.remaining_ms = flags & 16 ? 1000 : 0,
			};
			enum retry_action next = retry_decide(&request, end);

			if (next == RETRY_REFUSE)
				assert_int_equal(request.possible_runs, 0);
			/* A request that may run at most once is sent again
			 * only if it has certainly not run. */
			if (next == RETRY_RESEND && !request.idempotent)
				assert_int_not_equal(end, RETRY_INTERRUPTED);
			if (next == RETRY_RESEND && end == RETRY_INTERRUPTED)
				assert_true(request.possible_runs <
					    request.attempts);
			if (request.response_started)
				assert_true(next == RETRY_RESEND ||
					    next == RETRY_ABORT);
			if (request.remaining_ms == 0)
				assert_int_not_equal(next, RETRY_RESEND);
		}
	}
}

/* Only a request that may run again is given up for lack of a response. */
static void test_silence_timeout(void **state)
{
	struct retry_state non_idempotent = {.attempts = 2, .possible_runs = 1};
	struct retry_state retryable = {
		.idempotent = true, .attempts = 2, .possible_runs = 1};
	struct retry_state last = {
		.idempotent = true, .attempts = 1, .possible_runs = 1};

	(void)state;
	assert_int_equal(retry_silence_timeout_ms(&non_idempotent, 60, 0), 0);
	assert_true(retry_silence_timeout_ms(&retryable, 60, 0) > 60);
	assert_int_equal(retry_silence_timeout_ms(&last, 60, 0), 0);
}

static void test_history_chain_and_size(void **state)
{
	struct hist *hist = hist_create(2000);
	GByteArray *text = g_byte_array_new();
	GBytes *one = g_bytes_new("one\n", 4);
	GBytes *two = g_bytes_new("two\n", 4);
	GBytes *big = g_bytes_new_take(g_malloc0(700), 700);
	char *missing;
	bool foreign;

	(void)state;
	hist_put(hist, "t2", "t1", "p", two, 0);
	missing = hist_join(hist, "t2", "p", 0, text, &foreign);
	assert_string_equal(missing, "t1");
	g_free(missing);
	hist_put(hist, "t1", "", "p", one, 0);
	g_byte_array_set_size(text, 0);
	assert_null(hist_join(hist, "t2", "p", 0, text, &foreign));
	assert_int_equal(text->len, 8);
	assert_memory_equal(text->data, "one\ntwo\n", 8);
	for (int i = 0; i < 10; i++) {
		char key[8];

		g_snprintf(key, sizeof(key), "b%d", i);
		hist_put(hist, key, "", "p", big, 0);
	}
	assert_true(hist_bytes(hist) <= 2000);
	/* A cycle in the chain must not make the join loop. */
	hist_put(hist, "x", "y", "p", one, 0);
	hist_put(hist, "y", "x", "p", one, 0);
	missing = hist_join(hist, "x", "p", 0, text, &foreign);
	assert_non_null(missing);
	g_free(missing);
	g_bytes_unref(one);
	g_bytes_unref(two);
	g_bytes_unref(big);
	g_byte_array_unref(text);
	hist_destroy(hist);
}

struct collected {
	GString *data;
	int64_t last_id;
	int count;
};

static void collect_event(void *arg, const struct splitter_event *event)
{
	struct collected *collected = arg;

	collected->count++;
	collected->last_id = event->id;
	if (event->has_data)
		g_string_append_printf(collected->data, "[%s]",
				       event->data->str);
}

static void test_event_stream_split_anywhere(void **state)
{
	static const char text[] =
		"id: 1\ndata: a\n\nweight-versions:3\nid:2\r\n"
		"data:b\r\ndata: c\r\n\r\n: note\n\nid: 3\n";
	size_t len = strlen(text);

	(void)state;
	for (size_t split_at = 0; split_at <= len; split_at++) {
		struct collected collected = {g_string_new(NULL), -1, 0};
		struct splitter *splitter = splitter_create();

		splitter_feed(splitter, text, split_at, collect_event,
			      &collected);
		splitter_feed(splitter, text + split_at, len - split_at,
			      collect_event, &collected);
		assert_string_equal(collected.data->str, "[a][b\nc]");
		assert_int_equal(collected.count, 3);
		assert_int_equal(splitter_pending(splitter), strlen("id: 3\n"));
		splitter_destroy(splitter);
		g_string_free(collected.data, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix_route),
		cmocka_unit_test(test_maybe_executed_is_never_refused),
		cmocka_unit_test(test_silence_timeout),
		cmocka_unit_test(test_history_chain_and_size),
		cmocka_unit_test(test_event_stream_split_anywhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
