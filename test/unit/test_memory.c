/**
 * @file test_memory.c
 * @brief The budget of memory: what is stopped, what is broken off, and that
 * the rest is served.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/memory.h"
#include "serve/stats.h"
#include "test/gateway/fixture.h"

enum {
	MAX_BYTES = 1000000,
	HOLDERS = 4,
	SMALL_MEMORY_MB = 44, /* 4 MB of it for connections and requests */
	SMALL_BUDGET_BYTES = 4 << 20,
	READ_BYTES = 16384, /* by one call */
	CALLS = 8,
	UPLOADS = 60,
	UPLOAD_BYTES = 200000,
	SOUND_CALLS = 10,
	GIVEN_BACK_MS = 2000,
};

struct fake {
	struct mem_holder held;
	bool reading;
	bool broken_off;
};

static struct event_base *base;
static struct mem_budget *budget;
static struct fake fakes[HOLDERS];

static void on_set_reading(struct mem_holder *holder, bool reading)
{
	caa_container_of(holder, struct fake, held)->reading = reading;
}

static void on_break_off(struct mem_holder *holder)
{
	caa_container_of(holder, struct fake, held)->broken_off = true;
	mem_set(holder, 0, 0);
}

static const struct mem_ops fake_ops = {on_set_reading, on_break_off, "fake"};

static int set_up(void **state)
{
	(void)state;
	base = event_base_new();
	budget = mem_create(base, MAX_BYTES);
	memset(fakes, 0, sizeof(fakes));
	for (int i = 0; i < HOLDERS; i++) {
		fakes[i].reading = true;
		mem_join(&fakes[i].held, budget, &fake_ops);
	}
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < HOLDERS; i++)
		mem_leave(&fakes[i].held);
	assert_int_equal(budget->bytes, 0);
	mem_destroy(budget);
	event_base_free(base);
	return 0;
}

static void run_loop(int ms)
{
	struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Near the maximum reading stops for what has grown, and for nothing else, and
 * goes on when there is room again. */
static void test_reading_stops_first(void **state)
{
	(void)state;
	mem_set(&fakes[0].held, 500000, 500000);
	mem_set(&fakes[1].held, 300000, 100); /* a large request, in progress */
	run_loop(10);
	assert_false(fakes[0].reading);
	assert_true(fakes[1].reading);
	assert_true(fakes[2].reading);
	assert_false(fakes[0].broken_off);
	mem_set(&fakes[1].held, 0, 0);
	run_loop(100);
	assert_true(fakes[0].reading);
	assert_false(fakes[0].broken_off);
	assert_false(fakes[1].broken_off);
}

/* At the maximum the one that has grown most goes at once, and only as many as
 * needed. */
static void test_largest_is_broken_off_at_the_maximum(void **state)
{
	(void)state;
	mem_set(&fakes[0].held, 300000, 300000);
	mem_set(&fakes[1].held, 400000, 400000);
	mem_set(&fakes[2].held, 350000, 10);
	run_loop(10);
	assert_true(fakes[1].broken_off);
	assert_false(fakes[0].broken_off);
	assert_false(fakes[2].broken_off);
}

/* If nothing is given back while reading is stopped, one is broken off. */
static void test_stopped_reading_has_an_end(void **state)
{
	(void)state;
	mem_set(&fakes[0].held, 400000, 400000);
	mem_set(&fakes[1].held, 450000, 450000);
	run_loop(300);
	assert_false(fakes[0].reading);
	assert_false(fakes[1].reading);
	assert_false(fakes[1].broken_off);
	run_loop(400);
	assert_true(fakes[1].broken_off);
	assert_false(fakes[0].broken_off);
	run_loop(100);
	assert_true(fakes[0].reading);
}

/* Requests that can't be broken off may pass the maximum; then it is full. */
static void test_full(void **state)
{
	(void)state;
	mem_set(&fakes[0].held, MAX_BYTES + 1, 0);
	run_loop(10);
	assert_true(mem_is_full(budget));
	assert_false(fakes[0].broken_off);
	mem_set(&fakes[0].held, 10, 0);
	assert_false(mem_is_full(budget));
}

static int set_up_gateways(void **state)
{
	if (fixture_set_up(state) != 0)
		return 1;
	for (int i = 0; i < GATEWAY_COUNT; i++)
		fx.settings[i].memory_mb = SMALL_MEMORY_MB;
	fixture_kill_all();
	return 0;
}

/* Returns what instance 0 holds, by its metrics. */
static uint64_t get_held(void)
{
	struct fixture_response response;
	const char *at;
	uint64_t bytes;

	fixture_get(&response, 0, 4, "/metrics");
	at = strstr(response.body->str, "apricotshift_memory_held_bytes ");
	assert_non_null(at);
	bytes = strtoull(strchr(at, ' '), NULL, 10);
	fixture_response_clear(&response);
	return bytes;
}

static void check_served(int n)
{
	for (int i = 0; i < n; i++) {
		struct fixture_response response;
		char *headers = g_strdup_printf(
			AUTH_HEADER "Request-Id: sound%d\r\n", i);

		fixture_request(&response, 0, "/order/1", headers, "x");
		g_free(headers);
		assert_int_equal(response.status, 200);
		fixture_response_clear(&response);
	}
}

/* Guards against a process that is ended for its memory by signed responses
 * without end: they are bounded together, and calls to a sound server beside
 * them are served. */
static void test_endless_signed_responses(void **state)
{
	struct fixture_response responses[CALLS];
	uint64_t max = 0;

	(void)state;
	backend_set_mode(fx.engines[0], BACKEND_ENDLESS_SIGNED);
	for (int i = 0; i < CALLS; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER TURN_HEADERS "Request-Id: e%d\r\n", i);

		fixture_send(&responses[i], 0, "POST", "/kept/turn", headers,
			     "x");
		g_free(headers);
	}
	for (int done = 0; done < CALLS;) {
		check_served(1);
		max = MAX(max, get_held());
		fixture_run_until(NULL, 20);
		while (done < CALLS && responses[done].done)
			done++;
	}
	for (int i = 0; i < CALLS; i++) {
		assert_int_not_equal(responses[i].status, 200);
		fixture_response_clear(&responses[i]);
	}
	print_message("at most %" G_GUINT64_FORMAT " bytes held\n", max);
	assert_true(max > SMALL_BUDGET_BYTES / 2);
	/* Each connection may be read once more before it is stopped. */
	assert_true(max <= SMALL_BUDGET_BYTES + CALLS * READ_BYTES);
	assert_true(stats_get(STATS_MEMORY_PAUSED) > 0);
	assert_true(stats_get(STATS_MEMORY_BROKEN_OFF) > 0);
	backend_set_mode(fx.engines[0], BACKEND_OK);
	assert_true(get_held() < SMALL_BUDGET_BYTES / 16);
}

/* Begins a request with a body that does not end. */
static int open_upload(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(18410),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	static const char head[] =
		"POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: "
		"u\r\n" AUTH_HEADER "Transfer-Encoding: chunked\r\n\r\n";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	assert_int_equal(send(fd, head, strlen(head), MSG_NOSIGNAL),
			 strlen(head));
	return fd;
}

/* The same with bodies of requests from many callers. */
static void test_endless_request_bodies(void **state)
{
	char *chunk = g_strdup_printf("%x\r\n%0*d\r\n", UPLOAD_BYTES,
				      UPLOAD_BYTES, 0);
	int fds[UPLOADS];
	uint64_t max = 0;

	(void)state;
	for (int i = 0; i < UPLOADS; i++)
		fds[i] = open_upload();
	for (int round = 0; round < SOUND_CALLS; round++) {
		for (int i = 0; i < UPLOADS; i++)
			(void)send(fds[i], chunk, strlen(chunk),
				   MSG_NOSIGNAL | MSG_DONTWAIT);
		fixture_run_until(NULL, 30);
		max = MAX(max, get_held());
		check_served(1);
	}
	for (int i = 0; i < UPLOADS; i++)
		close(fds[i]);
	g_free(chunk);
	print_message("at most %" G_GUINT64_FORMAT " bytes held\n", max);
	assert_true(max > SMALL_BUDGET_BYTES / 2);
	assert_true(max <= SMALL_BUDGET_BYTES + UPLOADS * READ_BYTES);
	/* While reading is stopped, a caller that has left is not noticed. */
	fixture_run_until(NULL, GIVEN_BACK_MS);
	assert_true(get_held() < SMALL_BUDGET_BYTES / 16);
}

#define FAKE_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)
#define GATEWAY_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up_gateways,                 \
					fixture_tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FAKE_TEST(test_reading_stops_first),
		FAKE_TEST(test_largest_is_broken_off_at_the_maximum),
		FAKE_TEST(test_stopped_reading_has_an_end),
		FAKE_TEST(test_full),
		GATEWAY_TEST(test_endless_signed_responses),
		GATEWAY_TEST(test_endless_request_bodies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
