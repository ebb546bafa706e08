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
#include "test/gateway/world.h"

#define LOG "build/test_gateway_store.log"

/* What is not durable is not ended: a turn that was told whole can always be
 * continued. */
static void test_end_waits_for_the_store(void **state)
{
	struct got got;

	(void)state;
	wld_ask(&got, 0, "POST", "/kept/turn", KEY TURN "Request-Id: w1\r\n",
		"x");
	wld_run_until(NULL, 10);
	srs_set_mode(w.store, SRS_SILENT);
	wld_run_until(&got.done, 400);
	assert_false(got.done);
	assert_non_null(strstr(got.body->str, "id: 4"));
	srs_set_mode(w.store, SRS_OK);
	wld_run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.end, UPSTREAM_COMPLETE);
	wld_got_clear(&got);
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Request-Id: w2\r\nPrevious-Turn: w1\r\n", "y");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
}

static void test_lost_answers_of_the_store(void **state)
{
	struct got got;

	(void)state;
	wld_ask(&got, 0, "POST", "/kept/turn",
		KEY TURN "Request-Id: l1\r\nToken-Budget: 600\r\n", "x");
	wld_run_until(NULL, 18);
	srs_set_mode(w.store, SRS_LOST);
	wld_run_until(&got.done, 100);
	srs_set_mode(w.store, SRS_OK);
	wld_run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.end, UPSTREAM_COMPLETE);
	wld_got_clear(&got);
	/* One turn, in one row and one index row. */
	assert_int_equal(srs_rows(w.store, "aps-turns"), 1);
	assert_int_equal(srs_rows(w.store, "aps-programs"), 2);
}

static void test_store_away_is_said_at_once(void **state)
{
	struct got got;
	int64_t began;

	(void)state;
	srs_set_mode(w.store, SRS_BUSY);
	wld_run_until(NULL, 1800);
	began = clock_boot_ms();
	wld_call(&got, 0, "/kept/turn", KEY TURN "Request-Id: a1\r\n", "x");
	assert_int_equal(got.status, 503);
	assert_non_null(got.retry_after);
	assert_in_range(clock_boot_ms() - began, 0, 300);
	wld_got_clear(&got);
	/* Calls that need no store go on while keys are young enough. */
	wld_call(&got, 0, "/order/1", KEY "Request-Id: a2\r\n", "x");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	/* And no key is let in by an old configuration. */
	wld_run_until(NULL, 3000);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: a3\r\n", "x");
	assert_int_equal(got.status, 503);
	assert_false(wld_is_ready(0));
	wld_got_clear(&got);
	srs_set_mode(w.store, SRS_OK);
	wld_run_until(NULL, 500);
	wld_call(&got, 0, "/kept/turn", KEY TURN "Request-Id: a4\r\n", "x");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
}

static void test_withdrawn_key_and_lost_history(void **state)
{
	struct got got;

	(void)state;
	srs_compact(w.store);
	wld_put_config(5, "");
	wld_run_until(NULL, 300);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: h1\r\n", "x");
	assert_int_equal(got.status, 401);
	wld_got_clear(&got);
	/* A configuration never goes back. */
	wld_put_config(3, "\"key-1\"");
	wld_run_until(NULL, 200);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: h2\r\n", "x");
	assert_int_equal(got.status, 401);
	wld_got_clear(&got);
	/* One that can't be read changes nothing. */
	srs_put(w.store, "op", "", "config", "{\"version\":9,");
	wld_run_until(NULL, 200);
	wld_call(&got, 0, "/order/1",
		 "Authorization: Bearer key-2\r\nRequest-Id: h3\r\n", "x");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
}

/* The store turns one instance away for longer than its keys may be old. */
static void test_store_through_another_instance(void **state)
{
	struct got got;

	(void)state;
	wld_run_until(NULL, 500);
	srs_close_door(w.store, true);
	wld_run_until(NULL, 5500);
	assert_true(wld_is_ready(0));
	wld_call(&got, 0, "/kept/turn",
		 KEY TURN "Request-Id: y1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UPSTREAM_COMPLETE);
	wld_got_clear(&got);
	/* And a key that is withdrawn ends there too. */
	wld_put_config(4, "");
	wld_run_until(NULL, 1500);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: y2\r\n", "x");
	assert_int_equal(got.status, 401);
	wld_got_clear(&got);
}

/* How many instances one of them believes that there are. */
static int instances_seen_by(int gateway)
{
	static const char name[] = "apricotshift_instances ";
	struct got got;
	const char *at;
	int count;

	wld_fetch(&got, gateway, 4, "/metrics");
	at = strstr(got.body->str, name);
	count = at ? (int)g_ascii_strtoll(at + strlen(name), NULL, 10) : -1;
	wld_got_clear(&got);
	return count;
}

/* An instance that hears nobody and can't read does not believe that it is
 * alone: it would take the whole of every account's rate. */
static void test_cut_off_instance_does_not_feel_alone(void **state)
{
	(void)state;
	wld_run_until(NULL, 400);
	assert_int_equal(instances_seen_by(0), 2);
	srs_set_mode(w.store, SRS_BUSY);
	gw_destroy(w.gateways[1]);
	w.gateways[1] = NULL;
	wld_run_until(NULL, 7000);
	assert_int_equal(instances_seen_by(0), 2);
	srs_set_mode(w.store, SRS_OK);
	wld_run_until(NULL, 4500);
	assert_int_equal(instances_seen_by(0), 1);
}

/* Entries that lapse in an outage come back within two seconds of its end. One
 * that is still missing then is gone, however late it was removed. */
static void test_removal_after_an_outage(void **state)
{
	struct got got;

	(void)state;
	srs_set_mode(w.store, SRS_BUSY);
	wld_run_until(NULL, 600);
	srs_set_mode(w.store, SRS_OK);
	wld_run_until(NULL, 1000);
	srs_put(w.store, "servers", "", "s1", NULL);
	wld_run_until(NULL, 100);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: v1\r\n", "x");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	wld_run_until(NULL, 1200);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: v2\r\n", "x");
	assert_int_equal(got.status, 503);
	wld_got_clear(&got);
}

/* Answers that take seventy times as long are waited for. */
static void test_slow_store_is_not_away(void **state)
{
	enum { SLOW_MS = 300 };
	struct got got;

	(void)state;
	srs_set_slow(w.store, SLOW_MS);
	for (int i = 0; i < 4; i++) {
		char *headers = g_strdup_printf(
			KEY "Program-Id: p%d\r\nSession-Id: s\r\n"
			    "Token-Usage: 10,60\r\nToken-Budget: 500\r\n"
			    "Request-Id: slow%d\r\n",
			i, i);

		wld_call(&got, i % 2, "/kept/turn", headers, "one\n");
		assert_int_equal(got.status, 200);
		assert_int_equal(got.end, UPSTREAM_COMPLETE);
		wld_got_clear(&got);
		g_free(headers);
	}
	srs_set_slow(w.store, 0);
}

/* A text of several transactions, and of several pages when it is read. */
static void test_long_history(void **state)
{
	enum { LONG = 1500000 };
	char *body = g_strnfill(LONG, 'x');
	const struct sbe_run *run;
	struct got got;

	(void)state;
	body[LONG - 1] = '\n';
	wld_call(&got, 0, "/kept/turn", KEY TURN "Request-Id: t1\r\n", body);
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Request-Id: t2\r\nPrevious-Turn: t1\r\n", "two\n");
	assert_int_equal(got.status, 200);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, body));
	assert_true(g_str_has_suffix(run->body, "two\n"));
	wld_got_clear(&got);
	g_free(body);
}

/* What is left of a transaction that never ended is no turn. */
static void test_pieces_without_a_head(void **state)
{
	enum { LONG = 1500000 };
	char *body = g_strnfill(LONG, 'x');
	struct got got;

	(void)state;
	wld_ask(&got, 0, "POST", "/kept/turn", KEY TURN "Request-Id: t1\r\n",
		body);
	for (int i = 0; i < 500 && srs_rows(w.store, "aps-programs") == 0; i++)
		wld_run_until(NULL, 2);
	assert_true(srs_rows(w.store, "aps-programs") > 0);
	gw_destroy(w.gateways[0]);
	w.gateways[0] = NULL;
	wld_got_clear(&got);
	assert_int_equal(srs_rows(w.store, "aps-turns"), 0);
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Request-Id: t2\r\nPrevious-Turn: t1\r\n", "two\n");
	assert_int_equal(got.status, 404);
	wld_got_clear(&got);
	g_free(body);
}

static void test_expired_programs_are_removed(void **state)
{
	static const char *const tables[] = {"aps-programs", "aps-turns",
					     "aps-expiry"};
	struct got got;

	(void)state;
	wld_call(&got, 0, "/kept/turn",
		 KEY TURN "Token-Budget: 500\r\nRequest-Id: t1\r\n", "one\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		assert_true(srs_rows(w.store, tables[i]) > 0);
	/* The route keeps turns for 60 s: they are there, and stay. */
	srs_advance(w.store, 59000);
	wld_run_until(NULL, 800);
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Token-Budget: 500\r\nRequest-Id: t2\r\n"
			  "Previous-Turn: t1\r\n",
		 "two\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	srs_advance(w.store, 2000000);
	wld_run_until(NULL, 1500);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		assert_int_equal(srs_rows(w.store, tables[i]), 0);
}

/* A program that goes on is kept however long that takes. */
static void test_programs_that_go_on_stay(void **state)
{
	const char *previous = "";
	char *headers;
	struct got got;

	(void)state;
	for (int i = 0; i < 6; i++) {
		headers = g_strdup_printf(KEY TURN "Request-Id: t%d\r\n%s", i,
					  previous);
		wld_call(&got, i % 2, "/kept/turn", headers, "more\n");
		assert_int_equal(got.status, 200);
		wld_got_clear(&got);
		g_free(headers);
		srs_advance(w.store, 500000);
		wld_run_until(NULL, 400);
		previous = i == 0   ? "Previous-Turn: t0\r\n"
			   : i == 1 ? "Previous-Turn: t1\r\n"
			   : i == 2 ? "Previous-Turn: t2\r\n"
			   : i == 3 ? "Previous-Turn: t3\r\n"
				    : "Previous-Turn: t4\r\n";
	}
	assert_int_equal(srs_rows(w.store, "aps-turns"), 6);
}

/* A program that continues another one's turn takes the history along. */
static void test_history_of_another_program_is_taken_along(void **state)
{
	const struct sbe_run *run;
	int64_t version;
	struct got got;

	(void)state;
	wld_call(&got, 0, "/kept/turn", KEY TURN "Request-Id: t1\r\n", "one\n");
	wld_got_clear(&got);
	version = srs_version(w.store);
	wld_call(&got, 1, "/kept/turn",
		 KEY "Program-Id: q\r\nSession-Id: u\r\n"
		     "Token-Usage: 10,60\r\nRequest-Id: t2\r\n"
		     "Previous-Turn: t1\r\n",
		 "two\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	gw_destroy(w.gateways[0]);
	wld_start_gateway(0);
	wld_run_until(NULL, 300);
	srs_drop_until(w.store, version);
	wld_call(&got, 0, "/kept/turn",
		 KEY "Program-Id: q\r\nSession-Id: u\r\n"
		     "Token-Usage: 10,60\r\nRequest-Id: t3\r\n"
		     "Previous-Turn: t2\r\n",
		 "three\n");
	assert_int_equal(got.status, 200);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 2);
	assert_true(g_str_has_prefix(run->body, "one\n"));
	assert_non_null(strstr(run->body, "two\n"));
	assert_true(g_str_has_suffix(run->body, "three\n"));
	wld_got_clear(&got);
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
		CASE(test_end_waits_for_the_store),
		CASE(test_lost_answers_of_the_store),
		CASE(test_store_away_is_said_at_once),
		CASE(test_withdrawn_key_and_lost_history),
		CASE(test_store_through_another_instance),
		CASE(test_cut_off_instance_does_not_feel_alone),
		CASE(test_removal_after_an_outage),
		CASE(test_slow_store_is_not_away),
		CASE(test_long_history),
		CASE(test_pieces_without_a_head),
		CASE(test_expired_programs_are_removed),
		CASE(test_programs_that_go_on_stay),
		CASE(test_history_of_another_program_is_taken_along),
		cmocka_unit_test(test_retention),
	};

	if (sodium_init() < 0 || freopen(LOG, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
