/** @file test_inbound.c @brief HTTP requests of callers: framing and limits. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/inbound.h"
#include "serve/memory.h"
#include "test/gateway/conn.h"

enum {
	STALLED_COUNT = 2000,
	HEADER_TIMEOUT_MS = 400,
	IDLE_TIMEOUT_MS = 300,
	/* More than each timeout, and than the period of its check. */
	BUSY_MS = 500,
	BODY_BYTES_MAX = 1000,
	HEADER_BYTES_MAX = 2000,
	/* More than the sockets of both ends hold. */
	LONG_BODY_BYTES = 8 << 20,
	LONG_IDLE_TIMEOUT_MS = 600,
	SWEEP_EXTRA_MS = 300, /* more than the period of the check */
	READ_TIMEOUT_MS = 5000,
};

struct fixture {
	struct event_base *base;
	struct inbound *inbound;
	int requests;
	char body[2 * BODY_BYTES_MAX];
};

static struct fixture fx;

static void send_long_response(struct inbound_request *request)
{
	char *data = g_strnfill(LONG_BODY_BYTES, 'x');

	inbound_begin_reply(request, 200, "");
	inbound_send_chunk(request, data, LONG_BODY_BYTES);
	inbound_end_reply(request);
	g_free(data);
}

static void on_request(void *arg, struct inbound_request *request)
{
	(void)arg;
	fx.requests++;
	if (strcmp(request->target, "/long") == 0) {
		send_long_response(request);
		return;
	}
	if (request->body->len > 0)
		memcpy(fx.body, request->body->data, request->body->len);
	fx.body[request->body->len] = '\0';
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
	struct inbound_limits limits = {HEADER_BYTES_MAX, BODY_BYTES_MAX,
					HEADER_TIMEOUT_MS, 60000, 0};

	(void)state;
	memset(&fx, 0, sizeof(fx));
	fx.base = event_base_new();
	fx.inbound = inbound_create(fx.base, CONN_ADDRESS, &handler, NULL);
	if (fx.inbound == NULL)
		return 1;
	inbound_set_limits(fx.inbound, &limits);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	inbound_destroy(fx.inbound);
	event_base_free(fx.base);
	return 0;
}

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

#define SMUGGLED "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

/* Guards against request smuggling: a request with ambiguous or bad framing
 * gets one 400, and what follows it must not be read as a request. */
static void test_malformed_request_closes_connection(void **state)
{
	static const char *const requests[] = {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 5\r\n\r\n0\r\n\r\n" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Content-Length: 50\r\n\r\nabcde" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
		"5x\r\n\r\nabcde" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : "
		"5\r\n\r\nabcde" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
		"-1\r\n\r\n" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		"gzip\r\n\r\n" SMUGGLED,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\nzz\r\n" SMUGGLED,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" SMUGGLED,
		"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED,
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED,
		"nonsense\r\n\r\n" SMUGGLED,
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		bool closed;
		char *response =
			conn_exchange(fx.base, CONN_PORT, requests[i], &closed);

		if (!closed || fx.requests != 0 ||
		    !g_str_has_prefix(response, "HTTP/1.1 400 "))
			print_error("case %zu: %s\n", i, response);
		assert_true(g_str_has_prefix(response, "HTTP/1.1 400 "));
		assert_true(closed);
		assert_int_equal(fx.requests, 0);
		assert_null(strstr(response + 1, "HTTP/1.1"));
	}
}

static void test_size_limits(void **state)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nX: ");
	bool closed;

	(void)state;
	for (int i = 0; i < HEADER_BYTES_MAX; i++)
		g_string_append_c(text, 'x');
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 431 "));
	g_string_printf(text,
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
			"\r\n",
			BODY_BYTES_MAX + 1);
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 413 "));
	g_string_assign(text, "POST / HTTP/1.1\r\nHost: h\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < BODY_BYTES_MAX; i++)
		g_string_append(text, "2\r\nab\r\n");
	assert_true(g_str_has_prefix(
		conn_exchange(fx.base, CONN_PORT, text->str, &closed),
		"HTTP/1.1 413 "));
	assert_int_equal(fx.requests, 0);
	g_string_free(text, TRUE);
}

static void test_keep_alive(void **state)
{
	bool closed;
	char *response;

	(void)state;
	response = conn_exchange(fx.base, CONN_PORT,
				 "POST /a HTTP/1.1\r\nHost: h\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
				 "POST /b HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 3\r\n\r\nxyz",
				 &closed);
	assert_int_equal(fx.requests, 2);
	assert_string_equal(fx.body, "xyz");
	assert_false(closed);
	assert_non_null(strstr(response + 1, "HTTP/1.1 200 "));
}

#define ORDER "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nan order"

/* Bytes that can't begin a request. */
static const char *const no_request[] = {
	"}", "0\r\n\r\n" SMUGGLED, "\x16\x03\x01", "\r\n0", "Z", " " SMUGGLED,
};

/* Guards against ending the process, and all requests under way in it, when
 * bytes that can't begin a request follow one on its connection. */
static void test_bytes_behind_a_request(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(no_request); i++) {
		char *bytes = g_strconcat(ORDER, no_request[i], NULL);
		bool closed;
		char *response =
			conn_exchange(fx.base, CONN_PORT, bytes, &closed);
		const char *rest = strstr(response + 1, "HTTP/1.1 ");

		assert_int_equal(fx.requests, i + 1);
		assert_string_equal(fx.body, "an order");
		assert_true(g_str_has_prefix(response, "HTTP/1.1 200 "));
		assert_non_null(rest);
		assert_true(g_str_has_prefix(rest, "HTTP/1.1 400 "));
		assert_null(strstr(rest + 1, "HTTP/1.1 "));
		assert_true(closed);
		g_free(bytes);
	}
}

/* The same with bytes that follow the response; callers of other connections
 * are served on. */
static void test_bytes_behind_a_response(void **state)
{
	int other = conn_open(CONN_PORT);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(no_request); i++) {
		int fd = conn_open(CONN_PORT);

		conn_send(fd, ORDER);
		conn_assert_served(fx.base, fd);
		conn_send(fd, no_request[i]);
		conn_run(fx.base, 5);
		assert_int_equal(fx.requests, 2 * i + 1);
		conn_send(other, REQUEST);
		conn_assert_served(fx.base, other);
		close(fd);
	}
	close(other);
}

/* Guards against callers that send half a header and stall: others are served
 * without delay meanwhile, and the connections are closed at the header
 * timeout. */
static void test_stalled_headers(void **state)
{
	static const char partial_header[] = "GET / HTTP/1.1\r\nHo";
	struct rlimit files;
	static int fds[STALLED_COUNT];
	int count = STALLED_COUNT;
	guint conns;
	guint requests;
	int64_t start_ms;
	bool closed;

	(void)state;
	/* This process holds both ends of each connection. */
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &files), 0);
	if (files.rlim_cur < 2 * STALLED_COUNT + 100)
		count = ((int)files.rlim_cur - 100) / 2;
	for (int i = 0; i < count; i++) {
		fds[i] = conn_open(CONN_PORT);
		send(fds[i], partial_header, strlen(partial_header),
		     MSG_NOSIGNAL);
		if (i % 100 == 0)
			conn_run(fx.base, 1);
	}
	conn_run(fx.base, 50);
	start_ms = clock_boot_ms();
	assert_true(
		g_str_has_prefix(conn_exchange(fx.base, CONN_PORT,
					       "GET / HTTP/1.1\r\nHost: h\r\n"
					       "Connection: close\r\n\r\n",
					       &closed),
				 "HTTP/1.1 200 "));
	assert_in_range(clock_boot_ms() - start_ms, 0, 50);
	/* Closing lingers for at most 1 s, so that callers can read their
	 * response. */
	conn_run(fx.base, HEADER_TIMEOUT_MS + 2000);
	inbound_count(fx.inbound, &conns, &requests);
	assert_int_equal(conns, 0);
	for (int i = 0; i < count; i++)
		close(fds[i]);
}

static void set_idle_timeout(int64_t ms)
{
	struct inbound_limits limits = {HEADER_BYTES_MAX, BODY_BYTES_MAX,
					HEADER_TIMEOUT_MS, ms, 0};

	inbound_set_limits(fx.inbound, &limits);
}

/* Guards against a request that is received, and dropped because the check of
 * the timeouts is due before the request is parsed. */
static void test_request_received_at_idle_timeout(void **state)
{
	int fd = conn_open(CONN_PORT);

	(void)state;
	set_idle_timeout(IDLE_TIMEOUT_MS);
	conn_run(fx.base, 5);
	usleep(BUSY_MS * 1000);
	conn_send(fd, REQUEST);
	conn_assert_served(fx.base, fd);
	assert_int_equal(fx.requests, 1);
	close(fd);
}

static void on_send_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	conn_send(*(int *)arg, REQUEST);
}

/* The same with a request that arrives between the poll and the check. */
static void test_request_arriving_at_idle_timeout(void **state)
{
	struct timeval tv = {.tv_usec = 10000};
	int fd = conn_open(CONN_PORT);

	(void)state;
	set_idle_timeout(IDLE_TIMEOUT_MS);
	conn_run(fx.base, 5);
	event_base_once(fx.base, -1, EV_TIMEOUT, on_send_timer, &fd, &tv);
	usleep(BUSY_MS * 1000);
	conn_assert_served(fx.base, fd);
	assert_int_equal(fx.requests, 1);
	close(fd);
}

static void test_header_received_at_timeout(void **state)
{
	int fd = conn_open(CONN_PORT);

	(void)state;
	conn_send(fd, "GET / HTTP/1.1\r\nHo");
	conn_run(fx.base, 5);
	usleep(BUSY_MS * 1000);
	conn_send(fd, "st: h\r\n\r\n");
	conn_assert_served(fx.base, fd);
	close(fd);
}

/* Guards against closing a connection on a timeout that its caller has not been
 * told yet: a limit that is lowered applies from the next request on. */
static void test_lowered_idle_timeout(void **state)
{
	int fd = conn_open(CONN_PORT);
	guint conns;
	guint requests;

	(void)state;
	conn_run(fx.base, IDLE_TIMEOUT_MS + 50);
	set_idle_timeout(IDLE_TIMEOUT_MS);
	conn_run(fx.base, BUSY_MS);
	conn_send(fd, REQUEST);
	conn_assert_served(fx.base, fd);
	conn_run(fx.base, IDLE_TIMEOUT_MS + BUSY_MS);
	inbound_count(fx.inbound, &conns, &requests);
	assert_int_equal(conns, 0);
	close(fd);
}

/* A limit that is raised applies at once. */
static void test_raised_idle_timeout(void **state)
{
	int fd;

	(void)state;
	set_idle_timeout(IDLE_TIMEOUT_MS);
	fd = conn_open(CONN_PORT);
	conn_run(fx.base, 5);
	set_idle_timeout(60000);
	conn_run(fx.base, IDLE_TIMEOUT_MS + BUSY_MS);
	conn_send(fd, REQUEST);
	conn_assert_served(fx.base, fd);
	close(fd);
}

#define LONG_REQUEST "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"

/* Opens a connection, and runs the loop until its long response has ended for
 * the handler. The caller has read nothing yet. */
static int request_long_response(void)
{
	int fd = conn_open(CONN_PORT);

	conn_send(fd, LONG_REQUEST);
	for (int ms = 0; ms < READ_TIMEOUT_MS && fx.requests == 0; ms += 2)
		conn_run(fx.base, 2);
	assert_int_equal(fx.requests, 1);
	return fd;
}

/* Checks that the caller receives a long response to its end. */
static void assert_long_response(int fd)
{
	GString *response = g_string_new(NULL);
	int64_t until_ms = clock_boot_ms() + READ_TIMEOUT_MS;
	static char buf[65536];
	ssize_t n = -1;

	while (n != 0 && clock_boot_ms() < until_ms &&
	       !g_str_has_suffix(response->str, LAST_CHUNK)) {
		conn_run(fx.base, 1);
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			g_string_append_len(response, buf, n);
	}
	if (!g_str_has_suffix(response->str, LAST_CHUNK))
		print_error("%zu bytes, then %s\n", response->len,
			    n == 0 ? "closed" : "silence");
	assert_true(response->len > LONG_BODY_BYTES);
	assert_true(g_str_has_suffix(response->str, LAST_CHUNK));
	g_string_free(response, TRUE);
}

/* Guards against a response that is cut off at a stop, because its connection
 * waits for the next request while it is still being written. */
static void test_close_idle_spares_unwritten_response(void **state)
{
	int fd = request_long_response();
	guint conns;
	guint requests;

	(void)state;
	inbound_close_idle(fx.inbound);
	assert_long_response(fd);
	inbound_close_idle(fx.inbound);
	inbound_count(fx.inbound, &conns, &requests);
	assert_int_equal(conns, 0);
	close(fd);
}

/* The same with the idle timeout, which starts when the response is written. */
static void test_idle_timeout_spares_unwritten_response(void **state)
{
	int fd;

	(void)state;
	set_idle_timeout(LONG_IDLE_TIMEOUT_MS);
	fd = request_long_response();
	conn_run(fx.base, LONG_IDLE_TIMEOUT_MS + SWEEP_EXTRA_MS);
	assert_long_response(fd);
	conn_run(fx.base, SWEEP_EXTRA_MS);
	conn_send(fd, REQUEST);
	conn_assert_served(fx.base, fd);
	close(fd);
}

/* Responses that callers do not read are given up for lack of memory, the
 * longest first, and others are served. */
static void test_unread_responses_without_memory(void **state)
{
	struct mem_budget *memory =
		mem_create(fx.base, 2 * (uint64_t)LONG_BODY_BYTES);
	int fds[4];
	guint conns;
	guint requests;

	(void)state;
	inbound_set_memory(fx.inbound, memory);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = conn_open(CONN_PORT);
		conn_send(fds[i], LONG_REQUEST);
		conn_run(fx.base, 20);
	}
	conn_run(fx.base, 1000);
	assert_int_equal(fx.requests, G_N_ELEMENTS(fds));
	assert_true(memory->bytes < 2 * (uint64_t)LONG_BODY_BYTES);
	inbound_count(fx.inbound, &conns, &requests);
	assert_in_range(conns, 1, G_N_ELEMENTS(fds) - 1);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fds[0] = conn_open(CONN_PORT);
	conn_send(fds[0], REQUEST);
	conn_assert_served(fx.base, fds[0]);
	close(fds[0]);
	inbound_destroy(fx.inbound);
	fx.inbound = NULL;
	assert_int_equal(memory->bytes, 0);
	mem_destroy(memory);
}

#define FIXTURE_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_malformed_request_closes_connection),
		FIXTURE_TEST(test_size_limits),
		FIXTURE_TEST(test_keep_alive),
		FIXTURE_TEST(test_bytes_behind_a_request),
		FIXTURE_TEST(test_bytes_behind_a_response),
		FIXTURE_TEST(test_stalled_headers),
		FIXTURE_TEST(test_request_received_at_idle_timeout),
		FIXTURE_TEST(test_request_arriving_at_idle_timeout),
		FIXTURE_TEST(test_header_received_at_timeout),
		FIXTURE_TEST(test_lowered_idle_timeout),
		FIXTURE_TEST(test_raised_idle_timeout),
		FIXTURE_TEST(test_close_idle_spares_unwritten_response),
		FIXTURE_TEST(test_idle_timeout_spares_unwritten_response),
		FIXTURE_TEST(test_unread_responses_without_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
