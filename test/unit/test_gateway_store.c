/**
 * @file test_gateway_store.c
 * @brief Gateway instances while the store fails, and the rows they write.
 *
 * See fixture.h.
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

#define LOG_PATH "build/test_gateway_store.log"

/* A turn completes for its caller only when it has been stored; otherwise a
 * completed turn might not be found when it is continued. */
static void test_turn_completes_after_it_is_stored(void **state)
{
	struct fixture_response response;

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
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: w2\r\nPrevious-Turn: w1\r\n",
			"y");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

/* Guards against a budget of 0 that is taken for none: the turn ran without a
 * limit. So did one whose budget can't be read. */
static void test_budget_of_nothing(void **state)
{
	static const struct {
		const char *budget;
		int status;
	} cases[] = {{"0", 402},    {"-1", 400}, {"", 400},
		     {"600x", 400}, {"x", 400},	 {"600", 200}};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture_response response;
		char *headers = g_strdup_printf(
			AUTH_HEADER TURN_HEADERS
			"Request-Id: n%zu\r\nToken-Budget: %s\r\n",
			i, cases[i].budget);

		fixture_request(&response, 0, "/kept/turn", headers, "x");
		assert_int_equal(response.status, cases[i].status);
		fixture_response_clear(&response);
		g_free(headers);
	}
	assert_int_equal(backend_runs(fx.engines[0])->len, 1);
}

/* Guards against a deadline of 0 that is taken for none. */
static void test_no_time_left(void **state)
{
	struct fixture_response response;

	(void)state;
	fx.deadline_ms = 0;
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: n1\r\n", "x");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	assert_int_equal(backend_runs(fx.services[0])->len +
				 backend_runs(fx.services[1])->len,
			 0);
	fx.deadline_ms = 2000;
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: n2\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

/* The store commits a turn but its response is lost, so the write is retried.
 */
static void test_lost_store_response(void **state)
{
	struct fixture_response response;

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
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	/* The retry stored the turn once: one row and one index row. */
	assert_int_equal(rowstore_count_rows(fx.store, "aps-turns"), 1);
	assert_int_equal(rowstore_count_rows(fx.store, "aps-programs"), 2);
}

/* Guards against requests that hang while the store is down. */
static void test_store_outage(void **state)
{
	struct fixture_response response;
	int64_t start_ms;

	(void)state;
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	fixture_run_until(NULL, 1800);
	start_ms = clock_boot_ms();
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: a1\r\n", "x");
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	assert_in_range(clock_boot_ms() - start_ms, 0, 300);
	fixture_response_clear(&response);
	/* Requests that need no store are served until the keys are stale. */
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: a2\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	/* A stale configuration admits no key. */
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

/* A key is revoked after the store has discarded its change history, so that
 * the feed has to start again. */
static void test_revoked_key_after_compaction(void **state)
{
	struct fixture_response response;

	(void)state;
	rowstore_compact(fx.store);
	fixture_put_config(5, "");
	fixture_run_until(NULL, 300);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: h1\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	/* An older configuration version is ignored. */
	fixture_put_config(3, "\"key-1\"");
	fixture_run_until(NULL, 200);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: h2\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	/* A malformed configuration is ignored. */
	rowstore_put(fx.store, "op", "", "config", "{\"version\":9,");
	fixture_run_until(NULL, 200);
	fixture_request(&response, 0, "/order/1",
			"Authorization: Bearer key-2\r\nRequest-Id: h3\r\n",
			"x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

/* One instance gets errors from the store for longer than its keys may be
 * stale; it reaches the store through the other one. */
static void test_store_via_peer(void **state)
{
	struct fixture_response response;

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
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	/* It also learns that a key was revoked. */
	fixture_put_config(4, "");
	fixture_run_until(NULL, 1500);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: y2\r\n", "x");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
}

/* Returns how many instances there are in the view of one of them. */
static int count_instances_seen(int gateway)
{
	static const char metric[] = "apricotshift_instances ";
	struct fixture_response response;
	const char *value;
	int count;

	fixture_get(&response, gateway, 4, "/metrics");
	value = strstr(response.body->str, metric);
	count = value ? (int)g_ascii_strtoll(value + strlen(metric), NULL, 10)
		      : -1;
	fixture_response_clear(&response);
	return count;
}

/* An instance that hears no peers and can't read the store must not assume that
 * it is the only one: it would claim the full rate of every account. */
static void test_isolated_instance_keeps_peer_count(void **state)
{
	(void)state;
	fixture_run_until(NULL, 400);
	assert_int_equal(count_instances_seen(0), 2);
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	gw_destroy(fx.gateways[1]);
	fx.gateways[1] = NULL;
	fixture_run_until(NULL, 7000);
	assert_int_equal(count_instances_seen(0), 2);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(NULL, 4500);
	assert_int_equal(count_instances_seen(0), 1);
}

/* Server entries that expire during an outage of the store are restored within
 * two seconds of its end, so instances keep missing ones until then. One that
 * is still missing is removed, even if it was deleted after the outage. */
static void test_server_removal_after_outage(void **state)
{
	struct fixture_response response;

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

/* A store that is seventy times as slow as usual is not treated as failed. */
static void test_slow_store(void **state)
{
	enum { DELAY_MS = 300 };
	struct fixture_response response;

	(void)state;
	rowstore_set_delay(fx.store, DELAY_MS);
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
		assert_int_equal(response.end, UPSTREAM_COMPLETE);
		fixture_response_clear(&response);
		g_free(headers);
	}
	rowstore_set_delay(fx.store, 0);
}

/* The pieces of a turn whose instance failed before it wrote the turn's row
 * must not be taken for a turn. */
static void test_incomplete_write_is_no_turn(void **state)
{
	enum { HISTORY_BYTES = 1500000 };
	char *body = g_strnfill(HISTORY_BYTES, 'x');
	struct fixture_response response;

	(void)state;
	/* Without a delay the last transaction may follow the first one within
	 * a poll, and the write is complete before the instance is destroyed.
	 */
	rowstore_set_delay(fx.store, 50);
	fixture_send(&response, 0, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS "Request-Id: t1\r\n", body);
	for (int i = 0;
	     i < 500 && rowstore_count_rows(fx.store, "aps-programs") == 0; i++)
		fixture_run_until(NULL, 2);
	assert_true(rowstore_count_rows(fx.store, "aps-programs") > 0);
	gw_destroy(fx.gateways[0]);
	fx.gateways[0] = NULL;
	fixture_response_clear(&response);
	rowstore_set_delay(fx.store, 0);
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
	struct fixture_response response;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Token-Budget: 500\r\nRequest-Id: t1\r\n",
			"one\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		assert_true(rowstore_count_rows(fx.store, tables[i]) > 0);
	/* The route retains turns for 60 s: the first one can be continued. */
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

/* A program that continues is retained, however long it runs. */
static void test_active_programs_are_retained(void **state)
{
	const char *previous = "";
	char *headers;
	struct fixture_response response;

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

/* A program that continues a turn of another program keeps a copy of the
 * history: the other program's rows may be removed first. */
static void test_history_of_another_program_is_copied(void **state)
{
	const struct backend_run *run;
	int64_t version;
	struct fixture_response response;

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
	int64_t expires_at = retention_extend(0, now, 60000);

	(void)state;
	assert_true(expires_at >= now + 60000);
	/* The time is not extended again immediately, but always before it
	 * would be too short. */
	assert_int_equal(retention_extend(expires_at, now + 1000, 60000), 0);
	for (int64_t t = now; t < expires_at; t += 1000)
		assert_true(retention_extend(expires_at, t, 60000) > 0 ||
			    expires_at >= t + 60000);
	assert_false(retention_is_expired(expires_at, expires_at));
	assert_true(retention_is_expired(expires_at, expires_at + 10 * 60000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_turn_completes_after_it_is_stored),
		FIXTURE_TEST(test_lost_store_response),
		FIXTURE_TEST(test_budget_of_nothing),
		FIXTURE_TEST(test_no_time_left),
		FIXTURE_TEST(test_store_outage),
		FIXTURE_TEST(test_revoked_key_after_compaction),
		FIXTURE_TEST(test_store_via_peer),
		FIXTURE_TEST(test_isolated_instance_keeps_peer_count),
		FIXTURE_TEST(test_server_removal_after_outage),
		FIXTURE_TEST(test_slow_store),
		FIXTURE_TEST(test_incomplete_write_is_no_turn),
		FIXTURE_TEST(test_expired_programs_are_removed),
		FIXTURE_TEST(test_active_programs_are_retained),
		FIXTURE_TEST(test_history_of_another_program_is_copied),
		cmocka_unit_test(test_retention),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
