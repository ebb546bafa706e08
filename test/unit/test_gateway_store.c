/**
 * @file test_gateway_store.c
 * @brief Instances while the store, or the way to it, has faults; and what
 * they leave there.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "decide/retention.h"
#include "serve/clock.h"
#include "test/gateway/fixture.h"

#define LOG "build/test_gateway_store.log"

/* What is not durable is not ended: a turn that was told whole can always be
 * continued. */
static void test_end_waits_for_the_store(void **state)
{
	struct response response;

	(void)state;
	fixture_send(&response, 0, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS "Request-Id: w1\r\n", "x");
	fixture_run_until(NULL, 10);
	rowstore_set_mode(fx.store, ROWSTORE_NO_RESPONSE);
	fixture_run_until(&response.done, 400);
	assert_false(response.done);
	assert_non_null(strstr(response.body->str, "id: 4"));
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.end, UP_WHOLE);
	fixture_response_clear(&response);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: w2\r\nPrevious-Turn: w1\r\n",
			"y");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

static void test_lost_answers_of_the_store(void **state)
{
	struct response response;

	(void)state;
	fixture_send(&response, 0, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS
		     "Request-Id: l1\r\nToken-Budget: 600\r\n",
		     "x");
	fixture_run_until(NULL, 18);
	rowstore_set_mode(fx.store, ROWSTORE_LOSE_RESPONSE);
	fixture_run_until(&response.done, 100);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.end, UP_WHOLE);
	fixture_response_clear(&response);
	/* One turn, in one row and one index row. */
	assert_int_equal(rowstore_count_rows(fx.store, "aps-turns"), 1);
	assert_int_equal(rowstore_count_rows(fx.store, "aps-programs"), 2);
}

static void test_store_away_is_said_at_once(void **state)
{
	struct response response;
	int64_t began;

	(void)state;
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	fixture_run_until(NULL, 1800);
	began = clock_boot_ms();
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: a1\r\n", "x");
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	assert_in_range(clock_boot_ms() - began, 0, 300);
	fixture_response_clear(&response);
	/* Calls that need no store go on while keys are young enough. */
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: a2\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	/* And no key is let in by an old configuration. */
	fixture_run_until(NULL, 3000);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: a3\r\n", "x");
	assert_int_equal(response.status, 503);
	assert_false(fixture_is_ready(0));
	fixture_response_clear(&response);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(NULL, 500);
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: a4\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

static void test_withdrawn_key_and_lost_history(void **state)
{
	struct response response;

	(void)state;
	rowstore_compact(fx.store);
	fixture_put_config(5, "");
	fixture_run_until(NULL, 300);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: h1\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	/* A configuration never goes back. */
	fixture_put_config(3, "\"key-1\"");
	fixture_run_until(NULL, 200);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: h2\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	/* One that can't be read changes nothing. */
	rowstore_put(fx.store, "op", "", "config", "{\"version\":9,");
	fixture_run_until(NULL, 200);
	fixture_request(&response, 0, "/order/1",
			"Authorization: Bearer key-2\r\nRequest-Id: h3\r\n",
			"x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

/* The store turns one instance away for longer than its keys may be old. */
static void test_store_through_another_instance(void **state)
{
	struct response response;

	(void)state;
	fixture_run_until(NULL, 500);
	rowstore_block_alternate(fx.store, true);
	fixture_run_until(NULL, 5500);
	assert_true(fixture_is_ready(0));
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: y1\r\nToken-Budget: 600\r\n",
			"one\n");
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UP_WHOLE);
	fixture_response_clear(&response);
	/* And a key that is withdrawn ends there too. */
	fixture_put_config(4, "");
	fixture_run_until(NULL, 1500);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: y2\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
}

/* How many instances one of them believes that there are. */
static int instances_seen_by(int gateway)
{
	static const char name[] = "apricotshift_instances ";
	struct response response;
	const char *at;
	int count;

	fixture_get(&response, gateway, 4, "/metrics");
	at = strstr(response.body->str, name);
	count = at ? (int)g_ascii_strtoll(at + strlen(name), NULL, 10) : -1;
	fixture_response_clear(&response);
	return count;
}

/* An instance that hears nobody and can't read does not believe that it is
 * alone: it would take the whole of every account's rate. */
static void test_cut_off_instance_does_not_feel_alone(void **state)
{
	(void)state;
	fixture_run_until(NULL, 400);
	assert_int_equal(instances_seen_by(0), 2);
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	gw_destroy(fx.gateways[1]);
	fx.gateways[1] = NULL;
	fixture_run_until(NULL, 7000);
	assert_int_equal(instances_seen_by(0), 2);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(NULL, 4500);
	assert_int_equal(instances_seen_by(0), 1);
}

/* Entries that lapse in an outage come back within two seconds of its end. One
 * that is still missing then is gone, however late it was removed. */
static void test_removal_after_an_outage(void **state)
{
	struct response response;

	(void)state;
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	fixture_run_until(NULL, 600);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(NULL, 1000);
	rowstore_put(fx.store, "servers", "", "s1", NULL);
	fixture_run_until(NULL, 100);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: v1\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	fixture_run_until(NULL, 1200);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: v2\r\n", "x");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
}

/* Answers that take seventy times as long are waited for. */
static void test_slow_store_is_not_away(void **state)
{
	enum { SLOW_MS = 300 };
	struct response response;

	(void)state;
	rowstore_set_delay(fx.store, SLOW_MS);
	for (int i = 0; i < 4; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER
			"Program-Id: p%d\r\nSession-Id: s\r\n"
			"Token-Usage: 10,60\r\nToken-Budget: 500\r\n"
			"Request-Id: slow%d\r\n",
			i, i);

		fixture_request(&response, i % 2, "/kept/turn", headers,
				"one\n");
		assert_int_equal(response.status, 200);
		assert_int_equal(response.end, UP_WHOLE);
		fixture_response_clear(&response);
		g_free(headers);
	}
	rowstore_set_delay(fx.store, 0);
}

/* A text of several transactions, and of several pages when it is read. */
static void test_long_history(void **state)
{
	enum { LONG = 1500000 };
	char *body = g_strnfill(LONG, 'x');
	const struct backend_run *run;
	struct response response;

	(void)state;
	body[LONG - 1] = '\n';
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: t1\r\n", body);
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t2\r\nPrevious-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, body));
	assert_true(g_str_has_suffix(run->body, "two\n"));
	fixture_response_clear(&response);
	g_free(body);
}

/* What is left of a transaction that never ended is no turn. */
static void test_pieces_without_a_head(void **state)
{
	enum { LONG = 1500000 };
	char *body = g_strnfill(LONG, 'x');
	struct response response;

	(void)state;
	fixture_send(&response, 0, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS "Request-Id: t1\r\n", body);
	for (int i = 0;
	     i < 500 && rowstore_count_rows(fx.store, "aps-programs") == 0; i++)
		fixture_run_until(NULL, 2);
	assert_true(rowstore_count_rows(fx.store, "aps-programs") > 0);
	gw_destroy(fx.gateways[0]);
	fx.gateways[0] = NULL;
	fixture_response_clear(&response);
	assert_int_equal(rowstore_count_rows(fx.store, "aps-turns"), 0);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t2\r\nPrevious-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 404);
	fixture_response_clear(&response);
	g_free(body);
}

static void test_expired_programs_are_removed(void **state)
{
	static const char *const tables[] = {"aps-programs", "aps-turns",
					     "aps-expiry"};
	struct response response;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Token-Budget: 500\r\nRequest-Id: t1\r\n",
			"one\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		assert_true(rowstore_count_rows(fx.store, tables[i]) > 0);
	/* The route keeps turns for 60 s: they are there, and stay. */
	rowstore_advance_clock(fx.store, 59000);
	fixture_run_until(NULL, 800);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Token-Budget: 500\r\nRequest-Id: t2\r\n"
			"Previous-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	rowstore_advance_clock(fx.store, 2000000);
	fixture_run_until(NULL, 1500);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		assert_int_equal(rowstore_count_rows(fx.store, tables[i]), 0);
}

/* A program that goes on is kept however long that takes. */
static void test_programs_that_go_on_stay(void **state)
{
	const char *previous = "";
	char *headers;
	struct response response;

	(void)state;
	for (int i = 0; i < 6; i++) {
		headers = g_strdup_printf(AUTH_HEADER TURN_HEADERS
					  "Request-Id: t%d\r\n%s",
					  i, previous);
		fixture_request(&response, i % 2, "/kept/turn", headers,
				"more\n");
		assert_int_equal(response.status, 200);
		fixture_response_clear(&response);
		g_free(headers);
		rowstore_advance_clock(fx.store, 500000);
		fixture_run_until(NULL, 400);
		previous = i == 0   ? "Previous-Turn: t0\r\n"
			   : i == 1 ? "Previous-Turn: t1\r\n"
			   : i == 2 ? "Previous-Turn: t2\r\n"
			   : i == 3 ? "Previous-Turn: t3\r\n"
				    : "Previous-Turn: t4\r\n";
	}
	assert_int_equal(rowstore_count_rows(fx.store, "aps-turns"), 6);
}

/* A program that continues another one's turn takes the history along. */
static void test_history_of_another_program_is_taken_along(void **state)
{
	const struct backend_run *run;
	int64_t version;
	struct response response;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: t1\r\n", "one\n");
	fixture_response_clear(&response);
	version = rowstore_version(fx.store);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER "Program-Id: q\r\nSession-Id: u\r\n"
				    "Token-Usage: 10,60\r\nRequest-Id: t2\r\n"
				    "Previous-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	gw_destroy(fx.gateways[0]);
	fixture_start_gateway(0);
	fixture_run_until(NULL, 300);
	rowstore_remove_up_to(fx.store, version);
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER "Program-Id: q\r\nSession-Id: u\r\n"
				    "Token-Usage: 10,60\r\nRequest-Id: t3\r\n"
				    "Previous-Turn: t2\r\n",
			"three\n");
	assert_int_equal(response.status, 200);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 2);
	assert_true(g_str_has_prefix(run->body, "one\n"));
	assert_non_null(strstr(run->body, "two\n"));
	assert_true(g_str_has_suffix(run->body, "three\n"));
	fixture_response_clear(&response);
}

static void test_retention(void **state)
{
	int64_t now = 1000000;
	int64_t at = ret_extend(0, now, 60000);

	(void)state;
	assert_true(at >= now + 60000);
	/* Nothing is written again at once, and always before it is late. */
	assert_int_equal(ret_extend(at, now + 1000, 60000), 0);
	for (int64_t t = now; t < at; t += 1000)
		assert_true(ret_extend(at, t, 60000) > 0 || at >= t + 60000);
	assert_false(ret_expired(at, at));
	assert_true(ret_expired(at, at + 10 * 60000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_end_waits_for_the_store),
		FIXTURE_TEST(test_lost_answers_of_the_store),
		FIXTURE_TEST(test_store_away_is_said_at_once),
		FIXTURE_TEST(test_withdrawn_key_and_lost_history),
		FIXTURE_TEST(test_store_through_another_instance),
		FIXTURE_TEST(test_cut_off_instance_does_not_feel_alone),
		FIXTURE_TEST(test_removal_after_an_outage),
		FIXTURE_TEST(test_slow_store_is_not_away),
		FIXTURE_TEST(test_long_history),
		FIXTURE_TEST(test_pieces_without_a_head),
		FIXTURE_TEST(test_expired_programs_are_removed),
		FIXTURE_TEST(test_programs_that_go_on_stay),
		FIXTURE_TEST(test_history_of_another_program_is_taken_along),
		cmocka_unit_test(test_retention),
	};

	if (sodium_init() < 0 || freopen(LOG, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
