/**
 * @file test_raw_answers.c
 * @brief What callers get of answers that are cut, or are not HTTP.
 *
 * The servers and the callers write and read raw bytes: a parser on either side
 * would hide some of it. See fixture.h, raw.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "test/gateway/fixture.h"
#include "test/gateway/links.h"
#include "test/gateway/raw.h"

#define LOG_PATH "build/test_raw_answers.log"
#define CALL_PATH "/order/1"
#define STREAM_PATH "/kept/turn"
#define HEAD_FIELDS "Request-Id: %ID%\r\nResponse-Signature: s\r\n"
#define STREAM_FIELDS HEAD_FIELDS "Content-Type: text/event-stream\r\n"

enum {
	LONG_UPLOAD_BYTES = 4000000,
	SHORT_UPLOAD_BYTES = 10,
	RUNS = 5, /* of a case that depends on the order of events */
	ANSWER_MS = 3000,
	CARRIED_MS = 3000, /* until connections are carried */
	STEP_MS = 100,
};

/* In the place of the first engine and the first plain service. */
static struct raw_server *raw_engine;
static struct raw_server *raw_service;

static int set_up(void **state)
{
	int rc = fixture_set_up(state);

	backend_destroy(fx.engines[0]);
	backend_destroy(fx.services[0]);
	raw_engine = raw_server_create(fx.base, ENGINE_1_ADDRESS);
	raw_service = raw_server_create(fx.base, SERVICE_1_ADDRESS);
	return rc != 0 || raw_engine == NULL || raw_service == NULL;
}

static int tear_down(void **state)
{
	raw_server_destroy(raw_engine);
	raw_server_destroy(raw_service);
	fx.engines[0] = backend_create(fx.base, ENGINE_1_ADDRESS, "e1",
				       STREAM_EVENTS, EVENT_GAP_MS);
	fx.services[0] = backend_create(fx.base, SERVICE_1_ADDRESS, "s1",
					STREAM_EVENTS, EVENT_GAP_MS);
	return fixture_tear_down(state);
}

#define RAW_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

/* Sends a request of @p len bytes to instance 0, with raw bytes. */
static void send_raw(const char *path, size_t len,
		     struct raw_response *response)
{
	GString *request = g_string_new(NULL);
	char *address = fixture_gateway_address(0, 0);
	char *body = g_strnfill(len, 'u');

	g_string_printf(
		request,
		"POST %s HTTP/1.1\r\nHost: h\r\n" AUTH_HEADER TURN_HEADERS
		"Request-Id: raw%u\r\n"
		"Deadline-Ms: 2000\r\nContent-Length: %zu\r\n\r\n%s",
		path, fx.next_id++, len, body);
	raw_request(fx.base, address, request, ANSWER_MS, response);
	g_string_free(request, TRUE);
	g_free(address);
	g_free(body);
}

static bool is_success(const struct raw_response *response)
{
	return g_str_has_prefix(response->bytes->str, "HTTP/1.1 200 ") &&
	       raw_is_complete(response, NULL);
}

/* A server that answers at once and then resets the connection, after some
 * bytes of a body without a length. */
static void check_cut(const char *path, size_t upload, bool reads)
{
	static const struct raw_answer call = {
		.bytes = "HTTP/1.1 200 OK\r\n" HEAD_FIELDS "\r\nthe first part",
		.end = RAW_RESET,
		.end_ms = 20,
	};
	static const struct raw_answer stream = {
		.bytes = "HTTP/1.1 200 OK\r\n" STREAM_FIELDS
			 "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		.end = RAW_RESET,
		.end_ms = 20,
	};
	struct raw_answer answer = path[1] == 'k' ? stream : call;

	answer.reads = reads;
	raw_server_set(path[1] == 'k' ? raw_engine : raw_service, &answer);
	for (int i = 0; i < RUNS; i++) {
		struct raw_response response;

		send_raw(path, upload, &response);
		assert_false(is_success(&response));
		raw_response_clear(&response);
	}
}

/* Guards against a part of an answer that is passed on as a complete one, as an
 * error of the upload hides that the connection was reset. */
static void test_reset_within_an_upload(void **state)
{
	(void)state;
	check_cut(CALL_PATH, LONG_UPLOAD_BYTES, false);
	check_cut(STREAM_PATH, LONG_UPLOAD_BYTES, false);
}

static void test_reset_after_an_upload(void **state)
{
	(void)state;
	check_cut(CALL_PATH, SHORT_UPLOAD_BYTES, true);
	check_cut(STREAM_PATH, SHORT_UPLOAD_BYTES, true);
	check_cut(CALL_PATH, LONG_UPLOAD_BYTES, true);
}

/* A server that closes in order, but has not read its request, has not ended an
 * answer without a length either. One that has read it has. */
static void test_close_within_an_upload(void **state)
{
	static const struct raw_answer unread = {
		.bytes = "HTTP/1.1 200 OK\r\n" HEAD_FIELDS "\r\nthe first part",
		.end = RAW_CLOSE,
		.end_ms = 20,
	};
	struct raw_answer read = unread;
	struct raw_response response;
	GString *body = g_string_new(NULL);

	(void)state;
	raw_server_set(raw_service, &unread);
	send_raw(CALL_PATH, LONG_UPLOAD_BYTES, &response);
	assert_false(is_success(&response));
	raw_response_clear(&response);
	read.reads = true;
	raw_server_set(raw_service, &read);
	send_raw(CALL_PATH, LONG_UPLOAD_BYTES, &response);
	assert_true(is_success(&response));
	assert_true(raw_is_complete(&response, body));
	assert_string_equal(body->str, "the first part");
	raw_response_clear(&response);
	g_string_free(body, TRUE);
}

/* The same over a connection that another instance carries. */
static void test_reset_of_a_carried_connection(void **state)
{
	static const struct raw_answer whole = {
		.bytes = "HTTP/1.1 200 OK\r\n" HEAD_FIELDS
			 "Content-Length: 2\r\n\r\nok",
		.reads = true,
	};
	struct links *links = links_open();
	struct raw_response response;
	int64_t until_ms = clock_boot_ms() + CARRIED_MS;
	bool carried = false;

	(void)state;
	raw_server_set(raw_service, &whole);
	fixture_put_started("e1", "engines", ENGINE_1_ADDRESS, 2);
	fixture_put_started("s1", "shop", SERVICE_1_ADDRESS, 2);
	fixture_run_until(NULL, STEP_MS);
	links_cut(links, LINK_REFUSES);
	while (!carried && clock_boot_ms() < until_ms) {
		fixture_run_until(NULL, STEP_MS);
		send_raw(CALL_PATH, SHORT_UPLOAD_BYTES, &response);
		carried = is_success(&response);
		raw_response_clear(&response);
	}
	assert_true(carried);
	check_cut(CALL_PATH, LONG_UPLOAD_BYTES, false);
	check_cut(STREAM_PATH, LONG_UPLOAD_BYTES, false);
	check_cut(CALL_PATH, SHORT_UPLOAD_BYTES, true);
	links_close(links);
}

/* Guards against a request that has been given up and still arrives: a network
 * that holds bytes back delivers them after a close, but not after a reset. */
static void test_abandoned_request_is_reset(void **state)
{
	static const struct raw_answer silent = {.bytes = "", .reads = true};
	struct links *links = links_open();
	struct raw_response response;

	(void)state;
	raw_server_set(raw_service, &silent);
	raw_server_set(raw_engine, &silent);
	send_raw(CALL_PATH, SHORT_UPLOAD_BYTES, &response);
	raw_response_clear(&response);
	assert_int_equal(raw_server_ended(raw_service, true), 1);
	send_raw(STREAM_PATH, LONG_UPLOAD_BYTES, &response);
	raw_response_clear(&response);
	assert_int_equal(raw_server_ended(raw_engine, true), 1);
	fixture_put_started("s1", "shop", SERVICE_1_ADDRESS, 2);
	fixture_run_until(NULL, STEP_MS);
	links_cut(links, LINK_REFUSES);
	fixture_run_until(NULL, CARRIED_MS);
	send_raw(CALL_PATH, SHORT_UPLOAD_BYTES, &response);
	raw_response_clear(&response);
	assert_int_equal(raw_server_received(raw_service), 2);
	assert_int_equal(raw_server_ended(raw_service, true), 2);
	links_close(links);
}

/* Answers that are not HTTP/1.1. */
static const char *const invalid_answers[] = {
	"HTTP/1.1 000 OK\r\n" HEAD_FIELDS "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 099 OK\r\n" HEAD_FIELDS "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 101 OK\r\n" HEAD_FIELDS "Upgrade: x\r\n\r\n",
	"HTTP/1.1 600 OK\r\n" HEAD_FIELDS "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 0200 OK\r\n" HEAD_FIELDS "Content-Length: 2\r\n\r\nok",
	"HTTP/2.0 200 OK\r\n" HEAD_FIELDS "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS
	"A b: c\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS
	"A\x01: c\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS "Content-Length : 1\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS
	"A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS "A: b\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200 OK\r\n" HEAD_FIELDS
	"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS "Transfer-Encoding: gzip\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS
	"Transfer-Encoding: chunked\r\n\r\n2\r\nokXY0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" HEAD_FIELDS
	"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA b: c\r\n\r\n",
};

/* Guards against bytes of a faulty server that are passed on as its answer, and
 * against waiting until the deadline for what can't come any more. */
static void test_answers_that_are_not_http(void **state)
{
	enum { AT_ONCE_MS = 500 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_answers); i++) {
		struct raw_answer answer = {.bytes = invalid_answers[i],
					    .reads = true};
		int64_t started_ms = clock_boot_ms();
		struct raw_response response;

		raw_server_set(raw_service, &answer);
		send_raw(CALL_PATH, SHORT_UPLOAD_BYTES, &response);
		if (!g_str_has_prefix(response.bytes->str, "HTTP/1.1 502 "))
			fail_msg("%s: %s", invalid_answers[i],
				 response.bytes->str);
		assert_in_range(clock_boot_ms() - started_ms, 0, AT_ONCE_MS);
		raw_response_clear(&response);
	}
}

/* The same in the stream that goes on with one which broke off. */
static void test_resumed_by_no_http(void **state)
{
	static const struct raw_answer bad = {
		.bytes = "HTTP/1.1 200 OK\r\nA b: c\r\n" STREAM_FIELDS
			 "Transfer-Encoding: chunked\r\n\r\n"
			 "11\r\nid: 5\ndata: bad\n\n\r\n0\r\n\r\n",
		.reads = true,
	};
	struct raw_response response;

	(void)state;
	backend_set_mode(fx.engines[1], BACKEND_TRUNCATE);
	raw_server_set(raw_engine, &bad);
	fixture_put_engine("e2", ENGINE_2_ADDRESS, FIXTURE_VERSION);
	fixture_run_until(NULL, STEP_MS);
	for (int i = 0; i < RUNS; i++) {
		send_raw("/free/turn", SHORT_UPLOAD_BYTES, &response);
		assert_false(is_success(&response));
		assert_null(strstr(response.bytes->str, "bad"));
		raw_response_clear(&response);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		RAW_TEST(test_reset_within_an_upload),
		RAW_TEST(test_reset_after_an_upload),
		RAW_TEST(test_close_within_an_upload),
		RAW_TEST(test_reset_of_a_carried_connection),
		RAW_TEST(test_abandoned_request_is_reset),
		RAW_TEST(test_answers_that_are_not_http),
		RAW_TEST(test_resumed_by_no_http),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
