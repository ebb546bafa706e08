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

/* Checks that the chain is whole, and what its turns are: those of which the
 * texts are in memory, and the lengths of all. */
static void assert_chain(struct hist_chain *chain, const char *expected,
			 bool expect_kept)
{
	const char *at = expected;
	struct hist_turn turn;

	assert_null(hist_chain_missing(chain));
	assert_int_equal(hist_chain_size(chain), strlen(expected));
	assert_int_equal(hist_chain_is_kept(chain), expect_kept);
	for (guint i = 0; i < hist_chain_count(chain); i++) {
		hist_chain_get(chain, i, &turn);
		assert_true(at + turn.len <= expected + strlen(expected));
		assert_true(turn.text != NULL || !expect_kept);
		if (turn.text != NULL) {
			assert_int_equal(g_bytes_get_size(turn.text), turn.len);
			assert_memory_equal(g_bytes_get_data(turn.text, NULL),
					    at, turn.len);
		}
		at += turn.len;
	}
	assert_string_equal(at, "");
}

static void test_history_chain_and_size(void **state)
{
	struct hist *hist = hist_create(2000, 2000);
	GBytes *one = g_bytes_new("one\n", 4);
	GBytes *two = g_bytes_new("two\n", 4);
	GBytes *big = g_bytes_new_take(g_malloc0(700), 700);
	struct hist_chain *chain;

	(void)state;
	hist_put(hist, "t2", "t1", "p", two, 0);
	chain = hist_chain_create(hist, "t2", 0);
	assert_string_equal(hist_chain_missing(chain), "t1");
	hist_chain_destroy(chain);
	hist_put(hist, "t1", "", "p", one, 0);
	chain = hist_chain_create(hist, "t2", 0);
	assert_chain(chain, "one\ntwo\n", true);
	hist_chain_destroy(chain);
	for (int i = 0; i < 10; i++) {
		char key[8];

		g_snprintf(key, sizeof(key), "b%d", i);
		hist_put(hist, key, "", "p", big, 0);
	}
	assert_true(hist_bytes(hist) <= 2000);
	/* A cycle must not make the chain loop. */
	hist_put(hist, "x", "y", "p", one, 0);
	hist_put(hist, "y", "x", "p", one, 0);
	chain = hist_chain_create(hist, "x", 0);
	assert_non_null(hist_chain_missing(chain));
	hist_chain_add(chain, "x", "y", "p", one, 4, 0);
	assert_non_null(hist_chain_missing(chain));
	hist_chain_destroy(chain);
	assert_int_equal(hist_chain_bytes(hist), 0);
	g_bytes_unref(one);
	g_bytes_unref(two);
	g_bytes_unref(big);
	hist_destroy(hist);
}

enum {
	LONG_TURNS = 20,
	LONG_TURN_BYTES = 500,
	SMALL_CACHE_BYTES = 1500,
	LONG_CHAIN_BYTES = LONG_TURNS * LONG_TURN_BYTES,
};

/* Adds turns t1 to t20 in the order of their numbers times @p step, and between
 * them turns of other lines. @p line is the letter of their keys. */
static void add_turns(struct hist_chain *chain, char line, int step)
{
	for (int i = 0; i < LONG_TURNS; i++) {
		int number = i * step % LONG_TURNS + 1;
		char *text = g_strnfill(LONG_TURN_BYTES, (char)('a' + number));
		GBytes *bytes = g_bytes_new_take(text, LONG_TURN_BYTES);
		char key[8];
		char previous[8] = "";

		g_snprintf(key, sizeof(key), "%c%d", line, number);
		if (number > 1)
			g_snprintf(previous, sizeof(previous), "%c%d", line,
				   number - 1);
		hist_chain_add(chain, key, previous, "q", bytes,
			       LONG_TURN_BYTES, 0);
		g_snprintf(key, sizeof(key), "s%c%d", line, number);
		hist_chain_add(chain, key, previous, "q", bytes,
			       LONG_TURN_BYTES, 0);
		g_bytes_unref(bytes);
	}
}

/* Returns the texts of such a line, joined. */
static GString *build_line(void)
{
	GString *line = g_string_new(NULL);

	for (int number = 1; number <= LONG_TURNS; number++) {
		for (int i = 0; i < LONG_TURN_BYTES; i++)
			g_string_append_c(line, (char)('a' + number));
	}
	return line;
}

/* Guards against a chain that is larger than the cache and never becomes whole:
 * one pass over its turns, in any order, tells all of them, and a second one
 * finds the texts that the cache had evicted. */
static void test_chain_larger_than_the_cache(void **state)
{
	static const int steps[] = {1, 3, 7, 19};
	GString *expected = build_line();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct hist *hist =
			hist_create(SMALL_CACHE_BYTES, LONG_CHAIN_BYTES);
		struct hist_chain *chain = hist_chain_create(hist, "t20", 0);

		assert_string_equal(hist_chain_missing(chain), "t20");
		assert_false(hist_chain_has_seen(chain, "t20"));
		add_turns(chain, 't', steps[i]);
		assert_true(hist_chain_has_seen(chain, "t20"));
		assert_chain(chain, expected->str, hist_chain_is_kept(chain));
		if (!hist_chain_is_kept(chain))
			assert_string_equal(hist_chain_fits(chain), "q");
		add_turns(chain, 't', steps[i]);
		assert_chain(chain, expected->str, true);
		assert_null(hist_chain_fits(chain));
		assert_int_equal(hist_chain_bytes(hist), LONG_CHAIN_BYTES);
		assert_true(hist_bytes(hist) <= SMALL_CACHE_BYTES);
		hist_chain_destroy(chain);
		assert_int_equal(hist_chain_bytes(hist), 0);
		assert_true(hist_bytes(hist) <= SMALL_CACHE_BYTES);
		hist_destroy(hist);
	}
	g_string_free(expected, TRUE);
}

/* Chains keep no more than their maximum together; of what does not fit, all is
 * known but the texts. What another one gives back can be used. */
static void test_chains_have_a_maximum(void **state)
{
	GString *expected = build_line();
	struct hist *hist =
		hist_create(SMALL_CACHE_BYTES, LONG_CHAIN_BYTES + 10);
	struct hist_chain *first = hist_chain_create(hist, "t20", 0);
	struct hist_chain *second = hist_chain_create(hist, "u20", 0);

	(void)state;
	add_turns(first, 't', 1);
	add_turns(first, 't', 1);
	assert_chain(first, expected->str, true);
	add_turns(second, 'u', 1);
	add_turns(second, 'u', 1);
	assert_chain(second, expected->str, false);
	assert_null(hist_chain_fits(second));
	assert_false(hist_reserve(hist, LONG_TURN_BYTES));
	assert_true(hist_chain_bytes(hist) <= LONG_CHAIN_BYTES + 10);
	hist_chain_release(first);
	assert_int_equal(hist_chain_bytes(hist), 0);
	assert_chain(first, expected->str, false);
	add_turns(second, 'u', 1);
	assert_chain(second, expected->str, true);
	hist_chain_destroy(second);
	hist_chain_destroy(first);
	hist_destroy(hist);
	g_string_free(expected, TRUE);
}

/* Guards against memory for a history once for each turn that continues it. */
static void test_chains_share_their_texts(void **state)
{
	struct hist *hist = hist_create(SMALL_CACHE_BYTES, LONG_CHAIN_BYTES);
	struct hist_chain *chains[3];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(chains); i++) {
		chains[i] = hist_chain_create(hist, "t20", 0);
		add_turns(chains[i], 't', 1);
		add_turns(chains[i], 't', 1);
		assert_true(hist_chain_is_kept(chains[i]));
		assert_int_equal(hist_chain_bytes(hist), LONG_CHAIN_BYTES);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(chains); i++) {
		assert_int_equal(hist_chain_bytes(hist), LONG_CHAIN_BYTES);
		hist_chain_destroy(chains[i]);
	}
	assert_int_equal(hist_chain_bytes(hist), 0);
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
		cmocka_unit_test(test_chain_larger_than_the_cache),
		cmocka_unit_test(test_chains_have_a_maximum),
		cmocka_unit_test(test_chains_share_their_texts),
		cmocka_unit_test(test_event_stream_split_anywhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
