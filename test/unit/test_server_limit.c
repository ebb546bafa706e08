/**
 * @file test_server_limit.c
 * @brief Rate limits that backend servers name, at two instances.
 *
 * See fixture.h. The bound is the one that users state: in any four seconds a
 * server gets at most one and a half times what its limit allows, and five
 * requests more, from all instances that know the limit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "decide/server_limits.h"
#include "platform/wire.h"
#include "serve/clock.h"
#include "serve/hdr.h"
#include "test/gateway/fixture.h"

#define LOG_PATH "build/test_server_limit.log"

enum {
	WINDOW_MS = 4000,
	LEARN_MS = 500,	     /* until an instance must act on a limit */
	REQUEST_GAP_MS = 20, /* of the load, over both instances */
	LOAD_MAX = 1000,     /* requests */
	REFUSAL_MAX_MS = 50,
};

/* Requests that are sent at a fixed rate and answered in any order. */
struct load {
	struct fixture_response responses[LOAD_MAX];
	guint count;
};

/* Sends idempotent requests to both instances in turn. */
static void send_load(struct load *load, int64_t ms)
{
	int64_t end_ms = clock_boot_ms() + ms;

	while (clock_boot_ms() < end_ms && load->count < LOAD_MAX) {
		char *headers = g_strdup_printf(
			AUTH_HEADER "Request-Id: l%u\r\n", load->count);
		int gateway = (int)(load->count % GATEWAY_COUNT);

		fixture_send(&load->responses[load->count++], gateway, "GET",
			     "/get/1", headers, "");
		g_free(headers);
		fixture_run_until(NULL, REQUEST_GAP_MS);
	}
}

/* Waits for the responses; returns how many requests were not served. */
static guint finish_load(struct load *load)
{
	guint not_served = 0;

	for (guint i = 0; i < load->count; i++) {
		struct fixture_response *response = &load->responses[i];

		fixture_run_until(&response->done, RESPONSE_TIMEOUT_MS);
		not_served += response->status != 200;
		fixture_response_clear(response);
	}
	return not_served;
}

/* Returns the most requests that a server got in any window after @p since_ms.
 */
static guint busiest_window(const struct backend *backend, int64_t since_ms)
{
	const GPtrArray *runs = backend_runs(backend);
	guint busiest = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct backend_run *first = g_ptr_array_index(runs, i);
		guint n = 0;

		if (first->received_ms < since_ms)
			continue;
		while (i + n < runs->len &&
		       ((struct backend_run *)g_ptr_array_index(runs, i + n))
					       ->received_ms -
				       first->received_ms <
			       WINDOW_MS)
			n++;
		busiest = MAX(busiest, n);
	}
	return busiest;
}

static double window_max(double limit_per_s)
{
	return 1.5 * limit_per_s * WINDOW_MS / 1000.0 + 5;
}

/* A server got more than it had named, from instances that it had told. */
static void test_server_gets_more_than_it_named(void **state)
{
	struct load *load = g_new0(struct load, 1);
	int64_t start_ms = clock_boot_ms();

	(void)state;
	fixture_put_server("s2", "shop", SERVICE_2_ADDRESS, "ready");
	/* Without limits all requests go to it, as the servers are equal. */
	backend_set_limit(fx.services[1], "2.5");
	send_load(load, LEARN_MS + WINDOW_MS + LEARN_MS);
	assert_int_equal(finish_load(load), 0);
	assert_in_range(busiest_window(fx.services[1], start_ms + LEARN_MS), 0,
			window_max(2.5));
	g_free(load);
}

/* The only server of the service is at its limit: what is beyond it is refused
 * at once, as not executed and with a time to come back. */
static void test_excess_over_limit_is_refused_at_once(void **state)
{
	struct fixture_response response;
	guint refused = 0;

	(void)state;
	backend_set_limit(fx.services[0], "2.5");
	for (guint i = 0; i < 20; i++) {
		int64_t sent_ms = clock_boot_ms();
		guint runs = backend_runs(fx.services[0])->len;
		char *headers =
			g_strdup_printf(AUTH_HEADER "Request-Id: o%u\r\n", i);

		fixture_request(&response, (int)i % GATEWAY_COUNT, "/order/1",
				headers, "x");
		g_free(headers);
		if (response.status != 200) {
			assert_int_equal(response.status, 503);
			assert_non_null(response.retry_after);
			assert_int_equal(backend_runs(fx.services[0])->len,
					 runs);
			assert_in_range(clock_boot_ms() - sent_ms, 0,
					REFUSAL_MAX_MS);
			refused++;
		}
		fixture_response_clear(&response);
	}
	assert_in_range(refused, 10, 19);
}

/* Once a server names no limit any more, all instances learn that from the one
 * that sees it. */
static void test_ended_limit_is_forgotten_everywhere(void **state)
{
	struct load *load = g_new0(struct load, 1);
	struct fixture_response response;

	(void)state;
	backend_set_limit(fx.services[0], "0.5");
	send_load(load, 2 * LEARN_MS);
	(void)finish_load(load);
	backend_set_limit(fx.services[0], NULL);
	fixture_run_until(NULL, 2 * WINDOW_MS / 4 + LEARN_MS);
	/* The first request that the limit allows brings the news. */
	fixture_request(&response, 0, "/get/1", AUTH_HEADER "Request-Id: a\r\n",
			"");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	fixture_run_until(NULL, LEARN_MS);
	for (guint i = 0; i < 10; i++) {
		char *headers =
			g_strdup_printf(AUTH_HEADER "Request-Id: e%u\r\n", i);

		fixture_request(&response, 1, "/get/1", headers, "");
		assert_int_equal(response.status, 200);
		fixture_response_clear(&response);
		g_free(headers);
	}
	g_free(load);
}

/* A response that was overtaken by one that names the limit does not end it,
 * nor does old news. */
static void test_overtaken_response_ends_no_limit(void **state)
{
	struct slim *slim = slim_create();
	struct slim_limit limit;
	struct slim_limit old = {false, 0, 900};

	(void)state;
	assert_false(slim_on_unnamed(slim, "s", 500));
	assert_false(slim_get(slim, "s", &limit));
	assert_true(slim_on_named(slim, "s", 3, 1000));
	assert_false(slim_on_named(slim, "s", 3, 1001));
	assert_false(slim_on_unnamed(slim, "s", 990));
	assert_false(slim_on_report(slim, "s", &old));
	assert_true(slim_get(slim, "s", &limit));
	assert_true(limit.named);
	slim_block(slim, "s", 1500);
	assert_int_equal(slim_wait_ms(slim, "s", 1100), 400);
	assert_true(slim_on_unnamed(slim, "s", 1002));
	assert_int_equal(slim_wait_ms(slim, "s", 1100), 0);
	slim_destroy(slim);
}

static void test_limit_header(void **state)
{
	static const struct {
		const char *value;
		enum response_limit limit;
	} cases[] = {
		{"2.5", RESPONSE_LIMIT},
		{"0", RESPONSE_LIMIT},
		{"12 ", RESPONSE_LIMIT},
		{"", RESPONSE_LIMIT_UNREADABLE},
		{"-1", RESPONSE_LIMIT_UNREADABLE},
		{"x", RESPONSE_LIMIT_UNREADABLE},
		{"3,4", RESPONSE_LIMIT_UNREADABLE},
		{"inf", RESPONSE_LIMIT_UNREADABLE},
		{"nan", RESPONSE_LIMIT_UNREADABLE},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct upstream_head head = {200, hdr_create(), true};
		struct response response;

		wire_parse_response(&head, &response);
		assert_int_equal(response.limit, RESPONSE_NO_LIMIT);
		hdr_append_name(head.headers, "server-limit", 12);
		hdr_append_value(head.headers, cases[i].value,
				 strlen(cases[i].value));
		wire_parse_response(&head, &response);
		assert_int_equal(response.limit, cases[i].limit);
		g_array_unref(head.headers);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_server_gets_more_than_it_named),
		FIXTURE_TEST(test_excess_over_limit_is_refused_at_once),
		FIXTURE_TEST(test_ended_limit_is_forgotten_everywhere),
		cmocka_unit_test(test_overtaken_response_ends_no_limit),
		cmocka_unit_test(test_limit_header),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
