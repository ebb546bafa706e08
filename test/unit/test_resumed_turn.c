/**
 * @file test_resumed_turn.c
 * @brief Turns that are kept and whose streams are resumed.
 *
 * The route of these tests retains turns and may be resumed. See fixture.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "test/gateway/fixture.h"

#define LOG_PATH "build/test_resumed_turn.log"

enum {
	LISTED_MS = 100,
	/* The timeout of the route and the skew between two lists, and more:
	 * then the version of a stream without a record is known. */
	WATCHED_MS = 5500,
};

/* Makes the turns of the route /free/ kept. */
static int set_up(void **state)
{
	static const char from[] = "\"retain\":false,\"resumable\":true";
	static const char to[] =
		"\"retain\":true,\"retention_s\":60,\"resumable\":true";
	int rc = fixture_set_up(state);
	char *old = rowstore_get(fx.store, "op", "", "config");
	const char *at = strstr(old, from);
	const char *routes = strchr(old, ',');
	char *text =
		g_strdup_printf("{\"version\":2%.*s%s%s", (int)(at - routes),
				routes, to, at + strlen(from));

	rowstore_put(fx.store, "op", "", "config", text);
	fixture_run_until(NULL, WATCHED_MS);
	g_free(text);
	g_free(old);
	return rc;
}

#define RESUMED_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up, fixture_tear_down)

/* Sends a turn that its caller takes up after event @p last; 0: a new one.
 * Returns the status, and checks the events that come if it is 200. */
static int send_turn(int gateway, const char *id, int last, const char *budget)
{
	struct fixture_response response;
	char *resume = g_strdup_printf("Last-Event-Id: %d\r\n", last);
	char *headers = g_strdup_printf(AUTH_HEADER TURN_HEADERS
					"%sRequest-Id: %s\r\n%s",
					budget, id, last > 0 ? resume : "");
	int status;

	fixture_request(&response, gateway, "/free/turn", headers, "one\n");
	status = response.status;
	for (int i = 1; status == 200 && i <= STREAM_EVENTS; i++) {
		char *event = g_strdup_printf("id: %d\n", i);

		if (i <= last)
			assert_null(strstr(response.body->str, event));
		else
			assert_non_null(strstr(response.body->str, event));
		g_free(event);
	}
	if (status == 200)
		assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	g_free(headers);
	g_free(resume);
	return status;
}

/* Continues a turn, and checks that its server gets all of the chain, whichever
 * server each event came from. */
static void check_next_turn(int gateway, const char *previous)
{
	struct fixture_response response;
	const struct backend_run *run = NULL;
	char *headers =
		g_strdup_printf(AUTH_HEADER TURN_HEADERS
				"Request-Id: next\r\nPrevious-Turn: %s\r\n",
				previous);
	const char *at;

	fixture_request(&response, gateway, "/free/turn", headers, "two\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	for (int i = 0; i < 2; i++) {
		const GPtrArray *runs = backend_runs(fx.engines[i]);

		for (guint n = 0; n < runs->len; n++) {
			struct backend_run *other = g_ptr_array_index(runs, n);

			if (strcmp(other->id, "next") == 0)
				run = other;
		}
	}
	assert_non_null(run);
	assert_true(g_str_has_prefix(run->body, "one\n"));
	at = run->body + strlen("one\n");
	for (int i = 1; i <= STREAM_EVENTS; i++) {
		char *data = g_strdup_printf("-%d\n", i);

		assert_true(g_str_has_prefix(at, "e1") ||
			    g_str_has_prefix(at, "e2"));
		assert_true(g_str_has_prefix(at + 2, data));
		at += 2 + strlen(data);
		g_free(data);
	}
	assert_string_equal(at, "two\n");
	g_free(headers);
}

/* Guards against a turn that is kept without the events before Last-Event-Id:
 * the next one runs with a history that lacks them. */
static void test_resumed_turn_is_kept_whole(void **state)
{
	(void)state;
	assert_int_equal(send_turn(1, "r1", 2, ""), 200);
	check_next_turn(0, "r1");
}

/* The same if the caller has all events but not the end. */
static void test_all_events_but_the_end(void **state)
{
	(void)state;
	assert_int_equal(send_turn(1, "r1", STREAM_EVENTS, ""), 200);
	check_next_turn(0, "r1");
}

/* The same where servers break off too: before the caller's last event, and
 * after it. */
static void test_resumed_here_and_by_the_caller(void **state)
{
	(void)state;
	fixture_put_engine("e2", ENGINE_2_ADDRESS, FIXTURE_VERSION);
	fixture_run_until(NULL, LISTED_MS);
	for (int last = 1; last <= 3; last++) {
		char *id = g_strdup_printf("r%d", last);

		backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
		assert_int_equal(send_turn(1, id, last, ""), 200);
		backend_set_mode(fx.engines[0], BACKEND_OK);
		check_next_turn(0, id);
		g_free(id);
	}
}

/* The same twice in a row: the gateway that goes on is lost too. */
static void test_resumed_twice(void **state)
{
	struct fixture_response response;

	(void)state;
	backend_set_long_streams(fx.engines[0], "/free/slow", 1000, 50);
	fixture_send(&response, 1, "POST", "/free/slow/turn",
		     AUTH_HEADER TURN_HEADERS
		     "Request-Id: r1\r\nLast-Event-Id: 1\r\n",
		     "one\n");
	for (int ms = 0; ms < RESPONSE_TIMEOUT_MS &&
			 strstr(response.body->str, "id: 3\n") == NULL;
	     ms++)
		fixture_run_until(&response.done, 1);
	assert_null(strstr(response.body->str, "id: 1\n"));
	fixture_kill_gateway(1);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	fixture_response_clear(&response);
	fixture_start_gateway(1);
	assert_int_equal(send_turn(0, "r2", 3, ""), 200);
	fixture_wait_until_ready();
	check_next_turn(1, "r2");
}

/* A stream that ends before the event which its caller has is not its stream:
 * nothing is kept. */
static void test_stream_that_lacks_the_callers_event(void **state)
{
	struct fixture_response response;

	(void)state;
	assert_int_equal(send_turn(1, "r1", STREAM_EVENTS + 1, ""), 502);
	fixture_request(&response, 0, "/free/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: r2\r\nPrevious-Turn: r1\r\n",
			"two\n");
	assert_int_equal(response.status, 404);
	fixture_response_clear(&response);
}

/* The tokens of all events count, also of those that were received again. */
static void test_budget_of_a_resumed_turn(void **state)
{
	static const char budget[] = "Token-Budget: 80\r\n";

	(void)state;
	assert_int_equal(send_turn(1, "r1", 2, budget), 200);
	assert_int_equal(send_turn(1, "r2", 0, budget), 402);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		RESUMED_TEST(test_resumed_turn_is_kept_whole),
		RESUMED_TEST(test_all_events_but_the_end),
		RESUMED_TEST(test_resumed_here_and_by_the_caller),
		RESUMED_TEST(test_resumed_twice),
		RESUMED_TEST(test_stream_that_lacks_the_callers_event),
		RESUMED_TEST(test_budget_of_a_resumed_turn),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
