/**
 * @file test_inbound_header.c
 * @brief Headers of callers' requests: limits and memory.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "serve/hdr.h"
#include "serve/inbound.h"
#include "serve/memory.h"
#include "serve/stats.h"
#include "test/gateway/conn.h"

enum {
	HEADER_BYTES_MAX = 2000,
	BODY_BYTES_MAX = 1000,
	/* For some of the headers, not for all. */
	HEADERS_CONNECTIONS = 20,
	HEADERS_BUDGET_BYTES = 400000,
	GIVEN_BACK_MS = 2000,
	IDLE_BYTES = 4096, /* of a connection that does nothing */
};

static struct {
	struct event_base *base;
	struct inbound *inbound;
	int requests;
	bool has_secret; /* a request had a field of that name */
} fx;

static void on_request(void *arg, struct inbound_request *request)
{
	(void)arg;
	fx.requests++;
	fx.has_secret |= hdr_get(request->headers, "Secret") != NULL;
	inbound_reply(request, 200, "", "ok", 2);
}

static void on_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	(void)request;
}

static int set_up(void **state)
{
	static const struct inbound_handler handler = {
		.on_request = on_request, .on_disconnect = on_disconnect};

	(void)state;
	memset(&fx, 0, sizeof(fx));
	fx.base = event_base_new();
	fx.inbound = inbound_create(fx.base, CONN_ADDRESS, &handler, NULL);
	return fx.inbound == NULL;
}

static int tear_down(void **state)
{
	(void)state;
	inbound_destroy(fx.inbound);
	event_base_free(fx.base);
	return 0;
}

/* Sets the limits of headers; no time runs out. */
static void set_limits(uint32_t max_bytes, uint32_t max_lines)
{
	struct inbound_limits limits = {max_bytes, BODY_BYTES_MAX, 60000, 60000,
					max_lines};

	inbound_set_limits(fx.inbound, &limits);
}

/* Returns a request of lines of three bytes, the shortest there are, whose
 * target and lines have @p bytes. */
static GString *build_short_lines(size_t bytes)
{
	static const char first[] = "GET / HTTP/1.1\nHost:h\n";
	GString *text = g_string_new(first);

	/* Counted so far: target and Host line. */
	for (size_t n = 1 + 7; n + 3 <= bytes; n += 3)
		g_string_append(text, "a:\n");
	return text;
}

/* Guards against a request inside the byte limit that is rejected for the
 * number of its lines, or for coming a byte at a time: each part of a name was
 * once counted as a line. */
static void test_short_lines_inside_the_limit(void **state)
{
	GString *text = build_short_lines(HEADER_BYTES_MAX);
	bool closed;
	int fd;

	(void)state;
	set_limits(HEADER_BYTES_MAX, 0);
	g_string_append(text, "\n");
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 200 "));
	g_string_insert(text, (gssize)strlen("GET / HTTP/1.1\n"),
			"Long-name: and its value\n");
	g_string_erase(text, (gssize)text->len - 1 - 30, 30);
	fd = conn_open(CONN_PORT);
	for (size_t i = 0; i < text->len; i++) {
		assert_int_equal(send(fd, text->str + i, 1, MSG_NOSIGNAL), 1);
		for (int turn = 0; turn < 3; turn++)
			event_base_loop(fx.base, EVLOOP_NONBLOCK);
	}
	conn_assert_served(fx.base, fd);
	close(fd);
	g_string_free(text, TRUE);
	text = build_short_lines(HEADER_BYTES_MAX + 6);
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 431 "));
	assert_true(closed);
	assert_int_equal(fx.requests, 2);
	g_string_free(text, TRUE);
}

static void test_line_limit(void **state)
{
	uint64_t rejected = stats_get(STATS_HEADER_LINES);
	bool closed;

	(void)state;
	set_limits(HEADER_BYTES_MAX, 3);
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT,
			      "GET / HTTP/1.1\r\nHost: h\r\na:\r\nb:\r\n\r\n",
			      &closed),
		"HTTP/1.1 200 "));
	assert_true(g_str_has_prefix(
		conn_exchange(
			fx.base, CONN_PORT,
			"GET / HTTP/1.1\r\nHost: h\r\na:\r\nb:\r\nc:\r\n\r\n",
			&closed),
		"HTTP/1.1 431 "));
	assert_true(closed);
	assert_int_equal(stats_get(STATS_HEADER_LINES), rejected + 1);
	assert_int_equal(fx.requests, 1);
}

/* Guards against trailers that are taken for fields of the header, and against
 * ones that are not limited. */
static void test_trailers(void **state)
{
	static const char head[] = "POST /trailer HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "1\r\nx\r\n0\r\n";
	GString *text = g_string_new(head);
	bool closed;

	(void)state;
	set_limits(HEADER_BYTES_MAX, 0);
	g_string_append(text, "Secret: a\r\n\r\n");
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 200 "));
	assert_false(fx.has_secret);
	g_string_assign(text, head);
	for (int i = 0; i < HEADER_BYTES_MAX / 3; i++)
		g_string_append(text, "a:\r\n");
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 431 "));
	assert_int_equal(fx.requests, 1);
	g_string_free(text, TRUE);
}

/* Guards against headers that together take more than the budget: what does not
 * fit is rejected as not executed, ordinary requests are served beside, and all
 * is given back, also by connections that are kept. */
static void test_headers_of_many_connections(void **state)
{
	struct mem_budget *memory = mem_create(fx.base, HEADERS_BUDGET_BYTES);
	GString *text = build_short_lines(20000);
	uint64_t rejected = stats_get(STATS_HEADER_FULL);
	int fds[HEADERS_CONNECTIONS];
	char response[256];
	int refused = 0;
	guint conns;
	guint requests;

	(void)state;
	set_limits(65536, 0);
	inbound_set_memory(fx.inbound, memory);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = conn_open(CONN_PORT);
		conn_send(fds[i], text->str);
		for (int turn = 0; turn < 4; turn++) {
			event_base_loop(fx.base, EVLOOP_NONBLOCK);
			assert_true(memory->bytes <= HEADERS_BUDGET_BYTES);
		}
	}
	conn_run(fx.base, 50);
	assert_true(stats_get(STATS_HEADER_FULL) > rejected);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		ssize_t n = recv(fds[i], response, sizeof(response) - 1,
				 MSG_DONTWAIT);

		response[MAX(n, 0)] = '\0';
		close(fds[i]);
		if (n <= 0)
			continue;
		refused++;
		assert_true(g_str_has_prefix(response, "HTTP/1.1 503 "));
		assert_non_null(strstr(response, "Retry-After: "));
	}
	assert_true(refused > 0);
	/* While reading is stopped, a caller that has left is not noticed. */
	conn_run(fx.base, GIVEN_BACK_MS);
	inbound_count(fx.inbound, &conns, &requests);
	assert_int_equal(conns, 0);
	assert_int_equal(memory->bytes, 0);
	g_string_append(text, "\n");
	fds[0] = conn_open(CONN_PORT);
	conn_send(fds[0], text->str);
	conn_assert_served(fx.base, fds[0]);
	/* The connection is kept, but not its header. */
	assert_int_equal(memory->bytes, IDLE_BYTES);
	close(fds[0]);
	inbound_destroy(fx.inbound);
	fx.inbound = NULL;
	assert_int_equal(memory->bytes, 0);
	mem_destroy(memory);
	g_string_free(text, TRUE);
}

#define FIXTURE_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_short_lines_inside_the_limit),
		FIXTURE_TEST(test_line_limit),
		FIXTURE_TEST(test_trailers),
		FIXTURE_TEST(test_headers_of_many_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
