/**
 * @file test_gateway.c
 * @brief Two instances between stand-ins, over loopback, by the published
 * protocol.
 *
 * Everything runs on one event loop: the store, two engines, a service, the
 * instances and their callers. Time is real and short. Each test starts the
 * whole anew.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/slog.h"
#include "test/gateway/world.h"

#define LOG "build/test_gateway.log"

static void test_plain_call(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	wld_call(&got, 0, "/order/1", KEY "Request-Id: r1\r\nTenant: x\r\n",
		 "body");
	assert_int_equal(got.status, 200);
	assert_string_equal(got.body->str, "answer of s1");
	assert_string_equal(got.signature, "sig-s1");
	run = g_ptr_array_index(sbe_runs(w.services[0]), 0);
	assert_string_equal(run->account, "t1");
	assert_string_equal(run->body, "body");
	assert_null(strstr(run->head, "key-1"));
	wld_got_clear(&got);
}

static void test_refusals(void **state)
{
	struct got got;

	(void)state;
	wld_call(&got, 0, "/order/1", "Request-Id: r1\r\n", "");
	assert_int_equal(got.status, 401);
	wld_got_clear(&got);
	wld_call(&got, 0, "/order/1",
		 "Authorization: Bearer wrong\r\nRequest-Id: r2\r\n", "");
	assert_int_equal(got.status, 401);
	wld_got_clear(&got);
	wld_call(&got, 0, "/nowhere/1", KEY "Request-Id: r3\r\n", "");
	assert_int_equal(got.status, 404);
	wld_got_clear(&got);
	assert_int_equal(sbe_runs(w.services[0])->len, 0);
}

static void test_faulty_answers_are_never_passed_on(void **state)
{
	static const struct {
		enum sbe_mode mode;
		int status; /* of what must not run twice */
		guint runs;
	} cases[] = {
		{SBE_RESETS, 502, 1},	{SBE_GARBLES, 502, 1},
		{SBE_UNSIGNED, 502, 1}, {SBE_ENCODED, 502, 1},
		{SBE_SILENT, 504, 1},	{SBE_REFUSES, 503, 0},
		{SBE_OTHER, 503, 0},	{SBE_FOREIGN, 200, 1},
		{SBE_EXTRA, 200, 1},	{SBE_FAILS, 500, 1},
	};
	guint runs = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct got got;
		char *headers = g_strdup_printf(KEY "Request-Id: o%zu\r\n", i);

		sbe_set_mode(w.services[0], cases[i].mode);
		wld_call(&got, 0, "/order/1", headers, "x");
		g_free(headers);
		if (got.status != cases[i].status)
			print_error("case %zu\n", i);
		assert_int_equal(got.status, cases[i].status);
		runs += cases[i].runs;
		assert_int_equal(sbe_runs(w.services[0])->len, runs);
		if (got.status == 200)
			assert_string_equal(got.body->str, "answer of s1");
		if (got.status == 503)
			assert_non_null(got.retry_after);
		if (got.status >= 502)
			assert_null(got.signature);
		wld_got_clear(&got);
		/* A server that failed is avoided for a while. */
		wld_run_until(NULL, 20);
	}
}

static void test_idempotent_call_goes_elsewhere(void **state)
{
	struct got got;

	(void)state;
	sbe_set_mode(w.services[0], SBE_RESETS);
	sbe_set_mode(w.services[1], SBE_OK);
	wld_put_server("s2", "shop", SERVICE_2, "ready");
	wld_run_until(NULL, 100);
	for (int i = 0; i < 4; i++) {
		char *headers = g_strdup_printf(KEY "Request-Id: g%d\r\n", i);

		wld_call(&got, 0, "/get/1", headers, "");
		g_free(headers);
		assert_int_equal(got.status, 200);
		assert_string_equal(got.body->str, "answer of s2");
		wld_got_clear(&got);
	}
}

static void test_stream_with_history(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	wld_call(&got, 0, "/kept/turn",
		 KEY TURN "Request-Id: t1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UP_WHOLE);
	assert_non_null(strstr(got.body->str, "id: 4\ndata: e1-4\n\n"));
	wld_got_clear(&got);
	/* The other instance has never seen the program. */
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Request-Id: t2\r\nToken-Budget: 600\r\n"
			  "Previous-Turn: t1\r\n",
		 "two\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 1);
	assert_string_equal(run->body, "one\ne1-1\ne1-2\ne1-3\ne1-4\ntwo\n");
	/* A new program goes on from a turn of another one. */
	wld_call(&got, 0, "/kept/turn",
		 KEY "Program-Id: q\r\nRequest-Id: t3\r\nToken-Usage: 1,60\r\n"
		     "Token-Budget: 600\r\nPrevious-Turn: t2\r\n",
		 "three\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 2);
	assert_non_null(strstr(run->body, "two\ne1-1\n"));
	assert_true(g_str_has_suffix(run->body, "three\n"));
	/* No such turn; and a turn of another account. */
	wld_call(&got, 0, "/kept/turn",
		 KEY TURN "Request-Id: t4\r\nPrevious-Turn: t9\r\n", "x");
	assert_int_equal(got.status, 404);
	wld_got_clear(&got);
	wld_call(&got, 0, "/kept/turn",
		 "Authorization: Bearer key-2\r\nRequest-Id: t5\r\n" TURN
		 "Previous-Turn: t1\r\n",
		 "x");
	assert_int_equal(got.status, 404);
	wld_got_clear(&got);
	assert_int_equal(sbe_runs(w.engines[0])->len, 3);
}

/* All instances are replaced: what was answered whole is still there. */
static void test_history_outlives_the_instances(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	wld_call(&got, 0, "/kept/turn",
		 KEY TURN "Request-Id: t1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	for (int i = 0; i < GATEWAYS; i++) {
		gw_destroy(w.gateways[i]);
		up_close_idle(&w.idle[i]);
		wld_start_gateway(i);
	}
	wld_run_until(NULL, 300);
	wld_call(&got, 1, "/kept/turn",
		 KEY TURN "Request-Id: t2\r\nToken-Budget: 600\r\n"
			  "Previous-Turn: t1\r\n",
		 "two\n");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, "one\ne1-1\n"));
}

static void test_budget_over_instances(void **state)
{
	struct got got;
	int64_t began;
	int served = 0;

	(void)state;
	/* 40 tokens a turn, at most 60; the budget holds 240. */
	for (int i = 0; i < 12; i++) {
		char *headers = g_strdup_printf(
			KEY TURN "Request-Id: b%d\r\nToken-Budget: 240\r\n", i);

		wld_call(&got, i % 2, "/free/turn", headers, "x");
		g_free(headers);
		assert_true(got.status == 200 || got.status == 402);
		served += got.status == 200;
		if (i == 11)
			assert_int_equal(got.status, 402);
		wld_got_clear(&got);
	}
	assert_int_equal(sbe_runs(w.engines[0])->len, served);
	assert_in_range(served, 3, 7);
	/* A budget that holds no turn at all is said at once. */
	began = clock_boot_ms();
	wld_call(&got, 0, "/free/turn",
		 KEY "Program-Id: z\r\nToken-Usage: 1,60\r\n"
		     "Request-Id: c1\r\nToken-Budget: 10\r\n",
		 "x");
	assert_int_equal(got.status, 402);
	assert_in_range(clock_boot_ms() - began, 0, 300);
	wld_got_clear(&got);
}

static void test_stream_goes_on_elsewhere(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	sbe_set_mode(w.engines[0], SBE_CUTS);
	wld_ask(&got, 0, "POST", "/free/turn",
		KEY "Request-Id: f1\r\nToken-Usage: 10,60\r\n", "x");
	wld_run_until(NULL, 3);
	wld_put_server("e2", "engines", ENGINE_2, "ready");
	wld_run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UP_WHOLE);
	assert_string_equal(got.body->str,
			    "id: 1\ndata: e1-1\n\nid: 2\ndata: e2-2\n\n"
			    "id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n");
	assert_string_equal(got.signature, "sig-e1");
	run = g_ptr_array_index(sbe_runs(w.engines[1]), 0);
	assert_int_equal(run->last_event_id, 1);
	wld_got_clear(&got);
}

static void test_kept_stream_is_never_joined(void **state)
{
	struct got got;

	(void)state;
	wld_put_server("e2", "engines", ENGINE_2, "ready");
	wld_run_until(NULL, 100);
	sbe_set_mode(w.engines[0], SBE_CUTS);
	sbe_set_mode(w.engines[1], SBE_CUTS);
	wld_call(&got, 0, "/kept/turn", KEY TURN "Request-Id: k1\r\n", "x");
	assert_int_equal(got.end, UP_BROKEN);
	assert_null(strstr(got.body->str, "id: 2"));
	assert_int_equal(
		sbe_runs(w.engines[0])->len + sbe_runs(w.engines[1])->len, 1);
	wld_got_clear(&got);
}

static void test_leaving_servers_and_zones(void **state)
{
	struct got got;

	(void)state;
	wld_put_server("s1", "shop", SERVICE_1, "draining");
	wld_run_until(NULL, 100);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: d1\r\n", "x");
	assert_int_equal(got.status, 503);
	wld_got_clear(&got);
	wld_put_server("s1", "shop", SERVICE_1, "ready");
	srs_put(w.store, "op", "", "evacuate/z", "{}");
	wld_run_until(NULL, 100);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: d2\r\n", "x");
	assert_int_equal(got.status, 503);
	wld_got_clear(&got);
	assert_int_equal(sbe_runs(w.services[0])->len, 0);
	srs_put(w.store, "op", "", "evacuate/z", NULL);
	wld_run_until(NULL, 100);
	wld_call(&got, 0, "/order/1", KEY "Request-Id: d3\r\n", "x");
	assert_int_equal(got.status, 200);
	wld_got_clear(&got);
}

static void test_caller_that_leaves_ends_the_run(void **state)
{
	struct got got;

	(void)state;
	wld_ask(&got, 0, "POST", "/free/turn", KEY "Request-Id: c1\r\n", "x");
	wld_run_until(NULL, 12);
	assert_int_equal(sbe_runs(w.engines[0])->len, 1);
	up_cancel(got.call);
	got.call = NULL;
	wld_run_until(NULL, 200);
	assert_int_equal(sbe_cancelled(w.engines[0]), 1);
	wld_got_clear(&got);
}

static void test_quota_over_instances(void **state)
{
	int served = 0;

	(void)state;
	/* 2 a second and a burst of 2, at two instances, for two seconds. */
	for (int i = 0; i < 40; i++) {
		struct got got;
		char *headers = g_strdup_printf(
			"Authorization: Bearer key-2\r\nRequest-Id: q%d\r\n",
			i);

		wld_call(&got, i % 2, "/order/1", headers, "x");
		g_free(headers);
		assert_true(got.status == 200 || got.status == 429);
		if (got.status == 429)
			assert_non_null(got.retry_after);
		served += got.status == 200;
		wld_got_clear(&got);
		wld_run_until(NULL, 30);
	}
	assert_in_range(served, 2, 14);
}

static void test_graceful_stop(void **state)
{
	struct got under_way;
	struct got later;

	(void)state;
	wld_ask(&under_way, 0, "POST", "/kept/turn",
		KEY TURN "Request-Id: s1\r\n", "x");
	wld_run_until(NULL, 8);
	gw_stop(w.gateways[0]);
	assert_false(wld_is_ready(0));
	wld_run_until(&under_way.done, ANSWER_MS);
	assert_int_equal(under_way.end, UP_WHOLE);
	wld_got_clear(&under_way);
	/* A caller that has not heard yet is served. */
	wld_call(&later, 0, "/order/1", KEY "Request-Id: s2\r\n", "x");
	assert_int_equal(later.status, 200);
	wld_got_clear(&later);
	for (int i = 0; i < 400 && !gw_stopped(w.gateways[0]); i++)
		wld_run_until(NULL, 10);
	assert_true(gw_stopped(w.gateways[0]));
}

/* How many lines of the log name @p request as refused or ended. */
static int final_lines(const char *log, const char *request)
{
	char *name = g_strdup_printf("\"request\":\"%s\"", request);
	char **lines = g_strsplit(log, "\n", -1);
	int count = 0;

	for (char **line = lines; *line != NULL; line++)
		count += strstr(*line, name) != NULL &&
			 (strstr(*line, "\"event\":\"refused\"") != NULL ||
			  strstr(*line, "\"event\":\"ended\"") != NULL);
	g_strfreev(lines);
	g_free(name);
	return count;
}

/* Every request has exactly one line that says how it ended and why, and no
 * key stands in the log. */
static void test_every_request_has_its_last_line(void **state)
{
	static const struct {
		enum sbe_mode mode;
		const char *path;
		const char *headers;
	} cases[] = {
		{SBE_OK, "/order/1", KEY "Request-Id: z0\r\n"},
		{SBE_OK, "/order/1", "Request-Id: z1\r\n"},
		{SBE_OK, "/nowhere/1", KEY "Request-Id: z2\r\n"},
		{SBE_RESETS, "/order/1", KEY "Request-Id: z3\r\n"},
		{SBE_REFUSES, "/order/1", KEY "Request-Id: z4\r\n"},
		{SBE_SILENT, "/order/1", KEY "Request-Id: z5\r\n"},
		{SBE_OK, "/kept/turn",
		 KEY TURN "Request-Id: z6\r\nPrevious-Turn: none\r\n"},
		{SBE_OK, "/free/turn",
		 KEY TURN "Request-Id: z7\r\nToken-Budget: 10\r\n"},
	};
	char *log;
	gsize len;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct got got;

		sbe_set_mode(w.services[0], cases[i].mode);
		wld_call(&got, 0, cases[i].path, cases[i].headers, "x");
		wld_got_clear(&got);
	}
	slog_flush();
	assert_true(g_file_get_contents(LOG, &log, &len, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "z%zu", i);
		assert_int_equal(final_lines(log, id), 1);
	}
	assert_null(strstr(log, "key-1"));
	assert_null(strstr(log, "key-2"));
	g_free(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_plain_call),
		CASE(test_refusals),
		CASE(test_faulty_answers_are_never_passed_on),
		CASE(test_idempotent_call_goes_elsewhere),
		CASE(test_stream_with_history),
		CASE(test_history_outlives_the_instances),
		CASE(test_budget_over_instances),
		CASE(test_stream_goes_on_elsewhere),
		CASE(test_kept_stream_is_never_joined),
		CASE(test_leaving_servers_and_zones),
		CASE(test_caller_that_leaves_ends_the_run),
		CASE(test_quota_over_instances),
		CASE(test_graceful_stop),
		CASE(test_every_request_has_its_last_line),
	};

	if (sodium_init() < 0 || freopen(LOG, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
