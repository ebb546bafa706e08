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

int main(void)
{
	const struct CMUnitTest tests[] = {
		RAW_TEST(test_reset_within_an_upload),
		RAW_TEST(test_reset_after_an_upload),
		RAW_TEST(test_close_within_an_upload),
		RAW_TEST(test_reset_of_a_carried_connection),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
