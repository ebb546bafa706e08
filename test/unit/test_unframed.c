/**
 * @file test_unframed.c
 * @brief Responses that have neither a length nor chunks.
 *
 * See fixture.h. Such a response, a stream too, ends with its connection: it is
 * complete if the server closed that in order, and broken off if it was reset,
 * if a stream ends inside an event, or if the instance that carried the
 * connection was killed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/stats.h"
#include "test/gateway/fixture.h"
#include "test/gateway/links.h"

#define CALL_PATH "/order/1"
#define STREAM_PATH "/kept/turn"
#define ALL_OF_CALL                                                            \
	"id: 1\ndata: s1-1\n\nid: 2\ndata: s1-2\n\n"                           \
	"id: 3\ndata: s1-3\n\nid: 4\ndata: s1-4\n\n"
#define ALL_OF_STREAM                                                          \
	"id: 1\ndata: e1-1\n\nid: 2\ndata: e1-2\n\n"                           \
	"id: 3\ndata: e1-3\n\nid: 4\ndata: e1-4\n\n"

enum {
	CARRIED_MS = 3000, /* until connections are carried */
	STEP_MS = 100,
	SLOW_GAP_MS = 200,
	BEGUN_MS = 150, /* by then a slow response has begun, and not ended */
};

static void set_mode(enum backend_mode mode)
{
	backend_set_mode(fx.services[0], mode);
	backend_set_mode(fx.engines[0], mode);
}

static void send_call(struct fixture_response *response, const char *path)
{
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: r%u\r\n", fx.next_id++);

	fixture_send(response, 0, "POST", path, headers, "x");
	g_free(headers);
}

static void check_complete(const char *path, const char *body)
{
	struct fixture_response response;

	set_mode(BACKEND_UNFRAMED);
	send_call(&response, path);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_string_equal(response.body->str, body);
	/* The caller's connection is kept. */
	assert_int_equal(g_queue_get_length(&fx.idle[0]), 1);
	fixture_response_clear(&response);
}

static void assert_broken_off(const struct fixture_response *response)
{
	assert_true(response->done);
	assert_true(response->status != 200 ||
		    response->end != UPSTREAM_COMPLETE);
}

static void check_broken(const char *path, enum backend_mode mode)
{
	struct fixture_response response;

	set_mode(mode);
	send_call(&response, path);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_broken_off(&response);
	fixture_response_clear(&response);
}

/* Instance 0 reaches the servers over connections of instance 1 only. */
static struct links *carry(void)
{
	struct links *links = links_open();
	struct fixture_response response;
	int64_t deadline_ms = clock_boot_ms() + CARRIED_MS;
	int status = 0;

	fixture_put_started("e1", "engines", ENGINE_1_ADDRESS, 2);
	fixture_put_started("s1", "shop", SERVICE_1_ADDRESS, 2);
	fixture_run_until(NULL, STEP_MS);
	links_cut(links, LINK_REFUSES);
	while (status != 200 && clock_boot_ms() < deadline_ms) {
		fixture_run_until(NULL, STEP_MS);
		send_call(&response, CALL_PATH);
		fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
		status = response.status;
		fixture_response_clear(&response);
	}
	assert_int_equal(status, 200);
	return links;
}

static void test_response_ends_with_its_connection(void **state)
{
	(void)state;
	check_complete(CALL_PATH, ALL_OF_CALL);
}

static void test_stream_ends_with_its_connection(void **state)
{
	(void)state;
	check_complete(STREAM_PATH, ALL_OF_STREAM);
}

static void test_reset_response(void **state)
{
	(void)state;
	check_broken(CALL_PATH, BACKEND_UNFRAMED_RESET);
}

static void test_reset_stream(void **state)
{
	(void)state;
	check_broken(STREAM_PATH, BACKEND_UNFRAMED_RESET);
}

static void test_stream_ends_inside_an_event(void **state)
{
	(void)state;
	check_broken(STREAM_PATH, BACKEND_UNFRAMED_CUT);
}

static void test_carried_response_ends_with_its_connection(void **state)
{
	struct links *links = carry();
	uint64_t carried = stats_get(STATS_SENT_BY_TUNNEL);

	(void)state;
	check_complete(CALL_PATH, ALL_OF_CALL);
	assert_int_not_equal(stats_get(STATS_SENT_BY_TUNNEL), carried);
	links_close(links);
}

static void test_carried_stream_ends_with_its_connection(void **state)
{
	struct links *links = carry();

	(void)state;
	check_complete(STREAM_PATH, ALL_OF_STREAM);
	links_close(links);
}

static void test_carried_response_is_reset(void **state)
{
	struct links *links = carry();

	(void)state;
	check_broken(CALL_PATH, BACKEND_UNFRAMED_RESET);
	check_broken(STREAM_PATH, BACKEND_UNFRAMED_RESET);
	links_close(links);
}

static void test_carried_stream_ends_inside_an_event(void **state)
{
	struct links *links = carry();

	(void)state;
	check_broken(STREAM_PATH, BACKEND_UNFRAMED_CUT);
	links_close(links);
}

static void check_killed(const char *path)
{
	struct fixture_response response;

	set_mode(BACKEND_UNFRAMED);
	send_call(&response, path);
	fixture_run_until(NULL, BEGUN_MS);
	assert_false(response.done);
	fixture_kill_gateway(1);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_broken_off(&response);
	fixture_response_clear(&response);
}

/* The end of the instance looks like the orderly end of the response. */
static void test_carrying_instance_is_killed(void **state)
{
	struct links *links = carry();

	(void)state;
	backend_set_long_streams(fx.services[0], "/order/", STREAM_EVENTS,
				 SLOW_GAP_MS);
	check_killed(CALL_PATH);
	links_close(links);
}

static void test_carrying_instance_is_killed_in_a_stream(void **state)
{
	struct links *links = carry();

	(void)state;
	backend_set_long_streams(fx.engines[0], "/kept/", STREAM_EVENTS,
				 SLOW_GAP_MS);
	check_killed(STREAM_PATH);
	links_close(links);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_response_ends_with_its_connection),
		FIXTURE_TEST(test_stream_ends_with_its_connection),
		FIXTURE_TEST(test_reset_response),
		FIXTURE_TEST(test_reset_stream),
		FIXTURE_TEST(test_stream_ends_inside_an_event),
		FIXTURE_TEST(test_carried_response_ends_with_its_connection),
		FIXTURE_TEST(test_carried_stream_ends_with_its_connection),
		FIXTURE_TEST(test_carried_response_is_reset),
		FIXTURE_TEST(test_carried_stream_ends_inside_an_event),
		FIXTURE_TEST(test_carrying_instance_is_killed),
		FIXTURE_TEST(test_carrying_instance_is_killed_in_a_stream),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
