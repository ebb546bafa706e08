/**
 * @file test_planned_stop.c
 * @brief What an instance serves between SIGTERM and its end. See fixture.h.
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

#define LOG_PATH "build/test_planned_stop.log"

enum {
	STEP_MS = 5,
	GRACE_S = 2,		 /* shorter than the timeout of a stream */
	LONG_LIMIT_MS = 3000,	 /* the timeout of a stream */
	SHORT_LIMIT_MS = 500,	 /* fits while three quarters of it are left */
	STREAM_GAP_MS = 50,	 /* between two events */
	STREAM_LONG_EVENTS = 24, /* 1.2 s */
	AT_ONCE_MS = 25,
	LISTED_MS = 100,
};

static int set_up(void **state)
{
	int rc = fixture_set_up(state);

	for (int i = 0; i < GATEWAY_COUNT; i++)
		fx.settings[i].grace_s = GRACE_S;
	fx.deadline_ms = LONG_LIMIT_MS;
	backend_set_long_streams(fx.engines[0], "/kept/slow",
				 STREAM_LONG_EVENTS, STREAM_GAP_MS);
	return rc;
}

#define STOP_TEST(test)                                                        \
	cmocka_unit_test_setup_teardown(test, set_up, fixture_tear_down)

static void send_turn(struct fixture_response *response, const char *path,
		      const char *id)
{
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: %s\r\n", id);

	fixture_send(response, 0, "POST", path, headers, "x");
	g_free(headers);
}

static void run_until_received(const struct backend *backend, guint count)
{
	for (int ms = 0;
	     ms < RESPONSE_TIMEOUT_MS && backend_received(backend) < count;
	     ms += STEP_MS)
		fixture_run_until(NULL, STEP_MS);
	assert_int_equal(backend_received(backend), count);
}

static void assert_refused_at_once(struct fixture_response *response)
{
	fixture_run_until(&response->done, AT_ONCE_MS);
	assert_true(response->done);
	assert_int_equal(response->status, 503);
	assert_non_null(response->retry_after);
}

static void run_until_stopped(int gateway)
{
	for (int ms = 0;
	     ms < RESPONSE_TIMEOUT_MS && !gw_stopped(fx.gateways[gateway]);
	     ms += STEP_MS)
		fixture_run_until(NULL, STEP_MS);
	assert_true(gw_stopped(fx.gateways[gateway]));
}

/* Begins the long stream, and the stop while it runs. */
static void stop_beside_stream(struct fixture_response *response,
			       const char *id)
{
	send_turn(response, "/kept/slow/turn", id);
	run_until_received(fx.engines[0], 1);
	fixture_run_until(NULL, 2 * STREAM_GAP_MS);
	gw_stop(fx.gateways[0]);
}

/* Guards against a request on a channel that was kept over the SIGTERM, which
 * is passed on although the process ends before it can. */
static void test_kept_channel_late_in_a_stop(void **state)
{
	struct fixture_response first;
	struct fixture_response second;

	(void)state;
	stop_beside_stream(&first, "a1");
	fixture_run_until(&first.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(first.end, UPSTREAM_COMPLETE);
	send_turn(&second, "/kept/slow/turn", "a2");
	assert_refused_at_once(&second);
	assert_int_equal(backend_received(fx.engines[0]), 1);
	fixture_response_clear(&first);
	fixture_response_clear(&second);
}

/* Guards against a refusal of what can end before the process does. */
static void test_kept_channel_with_time_left(void **state)
{
	struct fixture_response first;
	struct fixture_response second;

	(void)state;
	stop_beside_stream(&first, "b1");
	fixture_run_until(&first.done, RESPONSE_TIMEOUT_MS);
	fx.deadline_ms = SHORT_LIMIT_MS;
	send_turn(&second, "/kept/turn", "b2");
	fixture_run_until(&second.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(second.status, 200);
	assert_int_equal(second.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&first);
	fixture_response_clear(&second);
}

/* Guards against the same from the first moment on, at a new channel. */
static void test_new_channel_after_a_stop(void **state)
{
	struct fixture_response long_one;
	struct fixture_response short_one;

	(void)state;
	gw_stop(fx.gateways[0]);
	send_turn(&long_one, "/kept/turn", "c1");
	assert_refused_at_once(&long_one);
	assert_int_equal(backend_received(fx.engines[0]), 0);
	fx.deadline_ms = SHORT_LIMIT_MS;
	send_turn(&short_one, "/kept/turn", "c2");
	fixture_run_until(&short_one.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(short_one.status, 200);
	assert_int_equal(short_one.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&long_one);
	fixture_response_clear(&short_one);
}

/* Guards against a request that waits when the stop begins, and is then sent to
 * a server although it can't end. */
static void test_waiting_request(void **state)
{
	struct fixture_response response;

	(void)state;
	rowstore_set_delay(fx.store, 600);
	send_turn(&response, "/kept/turn", "d1\r\nPrevious-Turn: d0");
	fixture_run_until(NULL, 50);
	assert_false(response.done);
	gw_stop(fx.gateways[0]);
	assert_refused_at_once(&response);
	fixture_run_until(NULL, 1200);
	assert_int_equal(backend_received(fx.engines[0]), 0);
	rowstore_set_delay(fx.store, 0);
	fixture_response_clear(&response);
}

/* Guards against one that no server has got when the stop begins, as its
 * connection is not established, and that is then sent once more. */
static void test_request_not_sent_yet(void **state)
{
	struct links *links = links_open();
	struct fixture_response response;

	(void)state;
	fixture_put_server("e1", "engines", ENGINE_1_ADDRESS, "ready");
	fixture_run_until(NULL, LISTED_MS);
	links_cut(links, LINK_HANGS);
	send_turn(&response, "/kept/turn", "e1");
	fixture_run_until(NULL, 50);
	assert_false(response.done);
	gw_stop(fx.gateways[0]);
	fixture_run_until(&response.done, 500);
	assert_true(response.done);
	assert_int_equal(response.status, 503);
	assert_int_equal(backend_received(fx.engines[0]), 0);
	fixture_response_clear(&response);
	links_close(links);
}

/* Guards against a channel that is closed in the middle of a request without an
 * answer. */
static void test_half_read_request(void **state)
{
	GString *request =
		g_string_new("POST /order/1 HTTP/1.1\r\nHost: h\r\n" AUTH_HEADER
			     "Request-Id: f1\r\nContent-Length: 10\r\n\r\nab");
	char *address = fixture_gateway_address(0, 0);
	struct raw_response response;

	(void)state;
	gw_stop(fx.gateways[0]);
	raw_request(fx.base, address, request, GRACE_S * 1000 - 50, &response);
	assert_true(response.ended);
	assert_true(g_str_has_prefix(response.bytes->str, "HTTP/1.1 503 "));
	assert_non_null(strstr(response.bytes->str, "\r\nNot-Executed: "));
	assert_non_null(strstr(response.bytes->str, "\r\nRetry-After: "));
	assert_non_null(
		strstr(response.bytes->str, "\r\nConnection: close\r\n"));
	raw_response_clear(&response);
	g_string_free(request, TRUE);
	g_free(address);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	(void)arg;
	(void)head;
}

static void on_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_end(void *arg, enum upstream_result end, const char *step)
{
	(void)step;
	*(enum upstream_result *)arg = end;
}

/* Sends a call to the first service through instance 1. */
static enum upstream_result carry(int limit_ms)
{
	static const struct upstream_handler handler = {
		.head = on_head, .body = on_body, .end = on_end};
	enum upstream_result end = (enum upstream_result) - 1;
	char *address = fixture_gateway_address(1, 5);
	GQueue idle = G_QUEUE_INIT;
	struct upstream_request request = {
		.address = SERVICE_1_ADDRESS,
		.idle = &idle,
		.head = g_string_new("GET /get/1 HTTP/1.1\r\nHost: h\r\n"
				     "Request-Id: g1\r\n\r\n"),
		.connect_timeout_ms = 1000,
		.tunnel = address,
		.server = "s1",
		.limit_ms = limit_ms,
	};

	(void)upstream_send(fx.upstream, &request, &handler, &end);
	for (int ms = 0;
	     ms < RESPONSE_TIMEOUT_MS && end == (enum upstream_result) - 1;
	     ms += STEP_MS)
		fixture_run_until(NULL, STEP_MS);
	upstream_close_idle(&idle);
	g_free(address);
	return end;
}

/* Guards against a request that another instance sends through this one, and
 * that is cut off with it. */
static void test_request_carried_for_another(void **state)
{
	(void)state;
	assert_int_equal(carry(LONG_LIMIT_MS), UPSTREAM_COMPLETE);
	gw_stop(fx.gateways[1]);
	assert_int_equal(carry(LONG_LIMIT_MS), UPSTREAM_NOT_SENT);
	assert_int_equal(carry(SHORT_LIMIT_MS), UPSTREAM_COMPLETE);
	assert_int_equal(backend_received(fx.services[0]), 2);
}

/* Guards against an end long before the grace period is over: what was passed
 * on before the stop goes on. */
static void test_running_stream_has_the_grace_period(void **state)
{
	struct fixture_response response;
	int64_t stopped_ms;

	(void)state;
	backend_set_long_streams(fx.engines[0], "/kept/slow", 36,
				 STREAM_GAP_MS);
	stop_beside_stream(&response, "h1");
	stopped_ms = clock_boot_ms();
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_true(clock_boot_ms() - stopped_ms > 1500);
	run_until_stopped(0);
	assert_true(clock_boot_ms() - stopped_ms < GRACE_S * 1000);
	fixture_response_clear(&response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		STOP_TEST(test_kept_channel_late_in_a_stop),
		STOP_TEST(test_kept_channel_with_time_left),
		STOP_TEST(test_new_channel_after_a_stop),
		STOP_TEST(test_waiting_request),
		STOP_TEST(test_request_not_sent_yet),
		STOP_TEST(test_half_read_request),
		STOP_TEST(test_request_carried_for_another),
		STOP_TEST(test_running_stream_has_the_grace_period),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
