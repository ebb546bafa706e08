/**
 * @file test_gateway.c
 * @brief Two gateway instances with stand-in servers and a stand-in store.
 *
 * See fixture.h.
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
#include "test/gateway/fixture.h"

#define LOG_PATH "build/test_gateway.log"

enum {
	CUT_REQUESTS = 6, /* at once, so that each of two servers gets some */
};

/* The account comes from the API key, not from the caller's Tenant header, and
 * the key does not reach the server. */
static void test_basic_request(void **state)
{
	struct fixture_response response;
	const struct backend_run *run;

	(void)state;
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: r1\r\nTenant: x\r\n", "body");
	assert_int_equal(response.status, 200);
	assert_string_equal(response.body->str, "answer of s1");
	assert_string_equal(response.signature, "sig-s1");
	run = g_ptr_array_index(backend_runs(fx.services[0]), 0);
	assert_string_equal(run->account, "t1");
	assert_string_equal(run->body, "body");
	assert_null(strstr(run->headers, "key-1"));
	fixture_response_clear(&response);
}

static void test_refusals(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_request(&response, 0, "/order/1", "Request-Id: r1\r\n", "");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	fixture_request(&response, 0, "/order/1",
			"Authorization: Bearer wrong\r\nRequest-Id: r2\r\n",
			"");
	assert_int_equal(response.status, 401);
	fixture_response_clear(&response);
	fixture_request(&response, 0, "/nowhere/1",
			AUTH_HEADER "Request-Id: r3\r\n", "");
	assert_int_equal(response.status, 404);
	fixture_response_clear(&response);
	assert_int_equal(backend_runs(fx.services[0])->len, 0);
}

/* A response that is broken, unsigned, encoded or another request's never
 * reaches the caller. The requests here may run at most once; 503 says that a
 * request has not run. */
static void test_faulty_responses_are_not_relayed(void **state)
{
	static const struct {
		enum backend_mode mode;
		int status;
		guint runs;
	} cases[] = {
		{BACKEND_CLOSE, 502, 1},	  {BACKEND_MALFORMED, 502, 1},
		{BACKEND_UNSIGNED, 502, 1},	  {BACKEND_ENCODED, 502, 1},
		{BACKEND_NO_RESPONSE, 504, 1},	  {BACKEND_REFUSE, 503, 0},
		{BACKEND_MISDIRECTED, 503, 0},	  {BACKEND_WRONG_ID, 200, 1},
		{BACKEND_TRAILING_BYTES, 200, 1}, {BACKEND_ERROR, 500, 1},
	};
	guint runs = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture_response response;
		char *headers =
			g_strdup_printf(AUTH_HEADER "Request-Id: o%zu\r\n", i);

		backend_set_mode(fx.services[0], cases[i].mode);
		fixture_request(&response, 0, "/order/1", headers, "x");
		g_free(headers);
		if (response.status != cases[i].status)
			print_error("case %zu\n", i);
		assert_int_equal(response.status, cases[i].status);
		runs += cases[i].runs;
		assert_int_equal(backend_runs(fx.services[0])->len, runs);
		if (response.status == 200)
			assert_string_equal(response.body->str, "answer of s1");
		if (response.status == 503)
			assert_non_null(response.retry_after);
		if (response.status >= 502)
			assert_null(response.signature);
		fixture_response_clear(&response);
		/* A server that failed is avoided for a short time. */
		fixture_run_until(NULL, 20);
	}
}

/*
 * A server that sends bytes without end, which are no answer, is cut off after
 * a bounded amount, long before the caller's deadline.
 */
static void test_endless_bytes_are_cut_off(void **state)
{
	static const struct {
		enum backend_mode mode;
		bool stream;
	} cases[] = {
		{BACKEND_ENDLESS_HEAD, false},	{BACKEND_ENDLESS_BODY, false},
		{BACKEND_ENDLESS_OTHER, false}, {BACKEND_ENDLESS_HEAD, true},
		{BACKEND_ENDLESS_BODY, true},	{BACKEND_ENDLESS_OTHER, true},
		{BACKEND_ENDLESS_EVENT, true},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture_response response;
		struct backend *backend =
			cases[i].stream ? fx.engines[0] : fx.services[0];
		guint cut_off = backend_cancelled(backend);
		char *headers = g_strdup_printf(
			AUTH_HEADER TURN_HEADERS "Request-Id: e%zu\r\n", i);

		backend_set_mode(backend, cases[i].mode);
		fixture_send(&response, 0, "POST",
			     cases[i].stream ? "/kept/turn" : "/order/1",
			     headers, "x");
		fixture_run_until(&response.done, 500);
		g_free(headers);
		if (!response.done)
			print_error("case %zu\n", i);
		assert_true(response.done);
		assert_int_equal(response.status, 502);
		assert_null(response.signature);
		fixture_response_clear(&response);
		fixture_run_until(NULL, 50);
		assert_int_equal(backend_cancelled(backend), cut_off + 1);
		/* A server that failed is avoided for a short time. */
		fixture_run_until(NULL, 2000);
	}
}

/* A stream that stalls but sends a byte now and then is resumed elsewhere. */
static void test_stalled_stream_is_resumed(void **state)
{
	struct fixture_response response;

	(void)state;
	backend_set_mode(fx.engines[0], BACKEND_STALLED);
	fixture_send(&response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: t1\r\nToken-Usage: 10,60\r\n",
		     "x");
	fixture_run_until(NULL, 3);
	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_run_until(&response.done, 1500);
	assert_true(response.done);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_string_equal(response.body->str,
			    "id: 1\ndata: e1-1\n\nid: 2\ndata: e2-2\n\n"
			    "id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n");
	fixture_response_clear(&response);
}

/* Guards against taking a begun stream from its silent server although no other
 * one is there: it would be cut off, while the server may go on. */
static void test_silent_stream_stays_at_its_only_server(void **state)
{
	struct fixture_response response;

	(void)state;
	backend_set_mode(fx.engines[0], BACKEND_STALLED);
	fixture_send(&response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: t1\r\nToken-Usage: 10,60\r\n",
		     "x");
	/* Twice the objective for the time between two events, and more. */
	fixture_run_until(&response.done, 900);
	assert_false(response.done);
	backend_set_mode(fx.engines[0], BACKEND_OK);
	fixture_run_until(&response.done, 1000);
	assert_true(response.done);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_true(
		g_str_has_prefix(response.body->str, "id: 1\ndata: e1-1\n\n:"));
	assert_true(g_str_has_suffix(response.body->str,
				     "\nid: 2\ndata: e1-2\n\n"
				     "id: 3\ndata: e1-3\n\n"
				     "id: 4\ndata: e1-4\n\n"));
	assert_int_equal(backend_runs(fx.engines[0])->len, 1);
	assert_int_equal(backend_cancelled(fx.engines[0]), 0);
	fixture_response_clear(&response);
}

/* Guards against cutting off a begun stream because the servers that could take
 * it are full for a moment. */
static void test_begun_stream_waits_for_a_full_server(void **state)
{
	struct fixture_response response;

	(void)state;
	backend_set_mode(fx.engines[0], BACKEND_STALLED);
	backend_set_mode(fx.engines[1], BACKEND_REFUSE);
	fixture_send(&response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: t1\r\nToken-Usage: 10,60\r\n",
		     "x");
	fixture_run_until(NULL, 20);
	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_run_until(&response.done, 1000);
	assert_false(response.done);
	assert_int_equal(backend_cancelled(fx.engines[0]), 1);
	backend_set_mode(fx.engines[1], BACKEND_OK);
	fixture_run_until(&response.done, 1000);
	assert_true(response.done);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_string_equal(response.body->str,
			    "id: 1\ndata: e1-1\n\nid: 2\ndata: e2-2\n\n"
			    "id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n");
	fixture_response_clear(&response);
}

static void test_idempotent_request_is_retried(void **state)
{
	struct fixture_response response;

	(void)state;
	backend_set_mode(fx.services[0], BACKEND_CLOSE);
	backend_set_mode(fx.services[1], BACKEND_OK);
	fixture_put_server("s2", "shop", SERVICE_2_ADDRESS, "ready");
	fixture_run_until(NULL, 100);
	for (int i = 0; i < 4; i++) {
		char *headers =
			g_strdup_printf(AUTH_HEADER "Request-Id: g%d\r\n", i);

		fixture_request(&response, 0, "/get/1", headers, "");
		g_free(headers);
		assert_int_equal(response.status, 200);
		assert_string_equal(response.body->str, "answer of s2");
		fixture_response_clear(&response);
	}
}

/* A server breaks off in the body of its responses, and its callers get the
 * other one's, with its status and signature. */
static void check_served_after_cut(enum backend_mode mode, const char *path,
				   const char *body)
{
	struct fixture_response responses[CUT_REQUESTS];

	backend_set_mode(fx.engines[0], mode);
	backend_set_mode(fx.services[0], mode);
	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_put_server("s2", "shop", SERVICE_2_ADDRESS, "ready");
	fixture_run_until(NULL, 100);
	for (int i = 0; i < CUT_REQUESTS; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER "Request-Id: c%d\r\nToken-Usage: 10,60\r\n",
			i);

		fixture_send(&responses[i], 0, "POST", path, headers, "x");
		g_free(headers);
	}
	for (int i = 0; i < CUT_REQUESTS; i++) {
		fixture_run_until(&responses[i].done, RESPONSE_TIMEOUT_MS);
		assert_int_equal(responses[i].status, 200);
		assert_int_equal(responses[i].end, UPSTREAM_COMPLETE);
		assert_string_equal(responses[i].body->str, body);
		assert_string_equal(responses[i].signature +
					    strlen(responses[i].signature) - 1,
				    "2");
		fixture_response_clear(&responses[i]);
	}
	assert_true(backend_runs(fx.engines[0])->len +
			    backend_runs(fx.services[0])->len >
		    0);
}

#define WHOLE_STREAM                                                           \
	"id: 1\ndata: e2-1\n\nid: 2\ndata: e2-2\n\n"                           \
	"id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n"

/* Guards against answering with the head of an attempt that broke off: a sound
 * answer of the next one is thrown away or, as a stream, gets the status of
 * the first. */
static void test_call_after_a_broken_body(void **state)
{
	(void)state;
	check_served_after_cut(BACKEND_CUT, "/get/1", "answer of s2");
}

static void test_call_after_a_broken_error(void **state)
{
	(void)state;
	check_served_after_cut(BACKEND_ERROR_CUT, "/get/1", "answer of s2");
}

static void test_stream_after_a_broken_error(void **state)
{
	(void)state;
	check_served_after_cut(BACKEND_ERROR_CUT, "/free/turn", WHOLE_STREAM);
}

/* A server gets the full history with each turn, from any instance. */
static void test_turn_history(void **state)
{
	struct fixture_response response;
	const struct backend_run *run;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t1\r\nToken-Budget: 600\r\n",
			"one\n");
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_non_null(strstr(response.body->str, "id: 4\ndata: e1-4\n\n"));
	fixture_response_clear(&response);
	/* The other instance has not served this program before. */
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t2\r\nToken-Budget: 600\r\n"
			"Previous-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 1);
	assert_string_equal(run->body, "one\ne1-1\ne1-2\ne1-3\ne1-4\ntwo\n");
	/* A new program continues from a turn of another program. */
	fixture_request(
		&response, 0, "/kept/turn",
		AUTH_HEADER
		"Program-Id: q\r\nRequest-Id: t3\r\nToken-Usage: 1,60\r\n"
		"Token-Budget: 600\r\nPrevious-Turn: t2\r\n",
		"three\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 2);
	assert_non_null(strstr(run->body, "two\ne1-1\n"));
	assert_true(g_str_has_suffix(run->body, "three\n"));
	/* An unknown turn, and a turn of another account. */
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t4\r\nPrevious-Turn: t9\r\n",
			"x");
	assert_int_equal(response.status, 404);
	fixture_response_clear(&response);
	fixture_request(
		&response, 0, "/kept/turn",
		"Authorization: Bearer key-2\r\nRequest-Id: t5\r\n" TURN_HEADERS
		"Previous-Turn: t1\r\n",
		"x");
	assert_int_equal(response.status, 404);
	fixture_response_clear(&response);
	assert_int_equal(backend_runs(fx.engines[0])->len, 3);
}

/* A completed turn can be continued after all instances were replaced. */
static void test_history_survives_instance_replacement(void **state)
{
	struct fixture_response response;
	const struct backend_run *run;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t1\r\nToken-Budget: 600\r\n",
			"one\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		gw_destroy(fx.gateways[i]);
		upstream_close_idle(&fx.idle[i]);
		fixture_start_gateway(i);
	}
	fixture_run_until(NULL, 300);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t2\r\nToken-Budget: 600\r\n"
			"Previous-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, "one\ne1-1\n"));
}

static void test_budget_across_instances(void **state)
{
	struct fixture_response response;
	int64_t start_ms;
	int served = 0;

	(void)state;
	/* A turn uses 40 tokens and reserves 60; the budget is 240. */
	for (int i = 0; i < 12; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER TURN_HEADERS
			"Request-Id: b%d\r\nToken-Budget: 240\r\n",
			i);

		fixture_request(&response, i % 2, "/free/turn", headers, "x");
		g_free(headers);
		assert_true(response.status == 200 || response.status == 402);
		served += response.status == 200;
		if (i == 11)
			assert_int_equal(response.status, 402);
		fixture_response_clear(&response);
	}
	assert_int_equal(backend_runs(fx.engines[0])->len, served);
	assert_in_range(served, 3, 7);
	/* A turn larger than the budget is refused immediately. */
	start_ms = clock_boot_ms();
	fixture_request(&response, 0, "/free/turn",
			AUTH_HEADER "Program-Id: z\r\nToken-Usage: 1,60\r\n"
				    "Request-Id: c1\r\nToken-Budget: 10\r\n",
			"x");
	assert_int_equal(response.status, 402);
	assert_in_range(clock_boot_ms() - start_ms, 0, 300);
	fixture_response_clear(&response);
}

/* Requests a stream that breaks off in its second event, at the only server;
 * another one, which responds as @p mode says, is listed meanwhile. */
static void request_broken_stream(struct fixture_response *response,
				  enum backend_mode mode)
{
	backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
	backend_set_mode(fx.engines[1], mode);
	fixture_send(response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: f1\r\nToken-Usage: 10,60\r\n",
		     "x");
	fixture_run_until(NULL, 3);
	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_run_until(&response->done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(backend_runs(fx.engines[1])->len, 1);
}

/* An interrupted stream resumes at another server, after its last complete
 * event, if its route allows that. */
static void test_resumable_stream_resumes(void **state)
{
	struct fixture_response response;
	const struct backend_run *run;

	(void)state;
	request_broken_stream(&response, BACKEND_OK);
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_string_equal(response.body->str,
			    "id: 1\ndata: e1-1\n\nid: 2\ndata: e2-2\n\n"
			    "id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n");
	assert_string_equal(response.signature, "sig-e1");
	run = g_ptr_array_index(backend_runs(fx.engines[1]), 0);
	assert_int_equal(run->last_event_id, 1);
	fixture_response_clear(&response);
}

/* The caller of a stream that is resumed gets nothing of such a response, and a
 * stream that has not ended. */
static void check_not_resumed_by(enum backend_mode mode)
{
	struct fixture_response response;

	request_broken_stream(&response, mode);
	assert_int_equal(response.end, UPSTREAM_INTERRUPTED);
	assert_string_equal(response.body->str, "id: 1\ndata: e1-1\n\n");
	fixture_response_clear(&response);
}

/* Guards against a stream that a success without a signature completes. */
static void test_unsigned_text_resumes_no_stream(void **state)
{
	(void)state;
	check_not_resumed_by(BACKEND_UNSIGNED_TEXT);
}

static void test_unsigned_events_resume_no_stream(void **state)
{
	(void)state;
	check_not_resumed_by(BACKEND_UNSIGNED);
}

static void test_encoded_events_resume_no_stream(void **state)
{
	(void)state;
	check_not_resumed_by(BACKEND_ENCODED);
}

/* The stream of a retained turn is never joined from the runs of two servers.
 */
static void test_retained_stream_does_not_resume(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_run_until(NULL, 100);
	backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
	backend_set_mode(fx.engines[1], BACKEND_TRUNCATE);
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: k1\r\n", "x");
	assert_int_equal(response.end, UPSTREAM_INTERRUPTED);
	assert_null(strstr(response.body->str, "id: 2"));
	assert_int_equal(backend_runs(fx.engines[0])->len +
				 backend_runs(fx.engines[1])->len,
			 1);
	fixture_response_clear(&response);
}

static void test_draining_server_and_evacuated_zone(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_put_server("s1", "shop", SERVICE_1_ADDRESS, "draining");
	fixture_run_until(NULL, 100);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: d1\r\n", "x");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	fixture_put_server("s1", "shop", SERVICE_1_ADDRESS, "ready");
	rowstore_put(fx.store, "op", "", "evacuate/z", "{}");
	fixture_run_until(NULL, 100);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: d2\r\n", "x");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	assert_int_equal(backend_runs(fx.services[0])->len, 0);
	rowstore_put(fx.store, "op", "", "evacuate/z", NULL);
	fixture_run_until(NULL, 100);
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: d3\r\n", "x");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
}

static void test_caller_disconnect_cancels_run(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_send(&response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: c1\r\n", "x");
	fixture_run_until(NULL, 12);
	assert_int_equal(backend_runs(fx.engines[0])->len, 1);
	upstream_cancel(response.call);
	response.call = NULL;
	fixture_run_until(NULL, 200);
	assert_int_equal(backend_cancelled(fx.engines[0]), 1);
	fixture_response_clear(&response);
}

static void test_quota_across_instances(void **state)
{
	int served = 0;

	(void)state;
	/* 2 requests a second and a burst of 2, at two instances, for two
	 * seconds. */
	for (int i = 0; i < 40; i++) {
		struct fixture_response response;
		char *headers = g_strdup_printf(
			"Authorization: Bearer key-2\r\nRequest-Id: q%d\r\n",
			i);

		fixture_request(&response, i % 2, "/order/1", headers, "x");
		g_free(headers);
		assert_true(response.status == 200 || response.status == 429);
		if (response.status == 429)
			assert_non_null(response.retry_after);
		served += response.status == 200;
		fixture_response_clear(&response);
		fixture_run_until(NULL, 30);
	}
	assert_in_range(served, 2, 14);
}

/* A stopping instance is not ready, but completes old and new requests. */
static void test_graceful_stop(void **state)
{
	struct fixture_response running;
	struct fixture_response after_stop;

	(void)state;
	fixture_send(&running, 0, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS "Request-Id: s1\r\n", "x");
	fixture_run_until(NULL, 8);
	gw_stop(fx.gateways[0]);
	assert_false(fixture_is_ready(0));
	fixture_run_until(&running.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(running.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&running);
	/* A caller that does not know of the stop yet is served. */
	fixture_request(&after_stop, 0, "/order/1",
			AUTH_HEADER "Request-Id: s2\r\n", "x");
	assert_int_equal(after_stop.status, 200);
	fixture_response_clear(&after_stop);
	for (int i = 0; i < 400 && !gw_stopped(fx.gateways[0]); i++)
		fixture_run_until(NULL, 10);
	assert_true(gw_stopped(fx.gateways[0]));
}

/* Returns how many log lines say that @p request was refused or ended. */
static int count_final_lines(const char *log, const char *request)
{
	char *field = g_strdup_printf("\"request\":\"%s\"", request);
	char **lines = g_strsplit(log, "\n", -1);
	int count = 0;

	for (char **line = lines; *line != NULL; line++)
		count += strstr(*line, field) != NULL &&
			 (strstr(*line, "\"event\":\"refused\"") != NULL ||
			  strstr(*line, "\"event\":\"ended\"") != NULL);
	g_strfreev(lines);
	g_free(field);
	return count;
}

/* Each request has exactly one log line that says how it ended, and the log
 * contains no API key. */
static void test_one_final_log_line_per_request(void **state)
{
	static const struct {
		enum backend_mode mode;
		const char *path;
		const char *headers;
	} cases[] = {
		{BACKEND_OK, "/order/1", AUTH_HEADER "Request-Id: z0\r\n"},
		{BACKEND_OK, "/order/1", "Request-Id: z1\r\n"},
		{BACKEND_OK, "/nowhere/1", AUTH_HEADER "Request-Id: z2\r\n"},
		{BACKEND_CLOSE, "/order/1", AUTH_HEADER "Request-Id: z3\r\n"},
		{BACKEND_REFUSE, "/order/1", AUTH_HEADER "Request-Id: z4\r\n"},
		{BACKEND_NO_RESPONSE, "/order/1",
		 AUTH_HEADER "Request-Id: z5\r\n"},
		{BACKEND_OK, "/kept/turn",
		 AUTH_HEADER TURN_HEADERS
		 "Request-Id: z6\r\nPrevious-Turn: none\r\n"},
		{BACKEND_OK, "/free/turn",
		 AUTH_HEADER TURN_HEADERS
		 "Request-Id: z7\r\nToken-Budget: 10\r\n"},
	};
	char *log;
	gsize len;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture_response response;

		backend_set_mode(fx.services[0], cases[i].mode);
		fixture_request(&response, 0, cases[i].path, cases[i].headers,
				"x");
		fixture_response_clear(&response);
	}
	slog_flush();
	assert_true(g_file_get_contents(LOG_PATH, &log, &len, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "z%zu", i);
		assert_int_equal(count_final_lines(log, id), 1);
	}
	assert_null(strstr(log, "key-1"));
	assert_null(strstr(log, "key-2"));
	g_free(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_basic_request),
		FIXTURE_TEST(test_refusals),
		FIXTURE_TEST(test_faulty_responses_are_not_relayed),
		FIXTURE_TEST(test_endless_bytes_are_cut_off),
		FIXTURE_TEST(test_stalled_stream_is_resumed),
		FIXTURE_TEST(test_silent_stream_stays_at_its_only_server),
		FIXTURE_TEST(test_begun_stream_waits_for_a_full_server),
		FIXTURE_TEST(test_idempotent_request_is_retried),
		FIXTURE_TEST(test_call_after_a_broken_body),
		FIXTURE_TEST(test_call_after_a_broken_error),
		FIXTURE_TEST(test_stream_after_a_broken_error),
		FIXTURE_TEST(test_turn_history),
		FIXTURE_TEST(test_history_survives_instance_replacement),
		FIXTURE_TEST(test_budget_across_instances),
		FIXTURE_TEST(test_resumable_stream_resumes),
		FIXTURE_TEST(test_unsigned_text_resumes_no_stream),
		FIXTURE_TEST(test_unsigned_events_resume_no_stream),
		FIXTURE_TEST(test_encoded_events_resume_no_stream),
		FIXTURE_TEST(test_retained_stream_does_not_resume),
		FIXTURE_TEST(test_draining_server_and_evacuated_zone),
		FIXTURE_TEST(test_caller_disconnect_cancels_run),
		FIXTURE_TEST(test_quota_across_instances),
		FIXTURE_TEST(test_graceful_stop),
		FIXTURE_TEST(test_one_final_log_line_per_request),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
