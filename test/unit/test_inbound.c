/** @file test_inbound.c @brief What callers may send, and what it costs others.
 */
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

enum {
	PORT = 18490,
	HALF_OPEN = 2000,
	HEADER_MS = 400,
	BODY_MOST = 1000,
	HEADER_MOST = 2000,
};

struct world {
	struct event_base *base;
	struct in *in;
	int requests;
	char body[2 * BODY_MOST];
};

static struct world w;

static void on_request(void *arg, struct in_request *request)
{
	(void)arg;
	w.requests++;
	if (request->body->len > 0)
		memcpy(w.body, request->body->data, request->body->len);
	w.body[request->body->len] = '\0';
	in_reply(request, 200, "", "ok", 2);
}

static void on_gone(void *arg, struct in_request *request)
{
	(void)arg;
	(void)request;
}

static int set_up(void **state)
{
	static const struct in_handler handler = {on_request, on_gone};
	struct in_limits limits = {HEADER_MOST, BODY_MOST, HEADER_MS, 60000};

	(void)state;
	memset(&w, 0, sizeof(w));
	w.base = event_base_new();
	w.in = in_create(w.base, "127.0.0.1:18490", &handler, NULL);
	if (w.in == NULL)
		return 1;
	in_set_limits(w.in, &limits);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	in_destroy(w.in);
	event_base_free(w.base);
	return 0;
}

static void pump(int ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (ms % 1000) * 1000};

	event_base_loopexit(w.base, &tv);
	event_base_dispatch(w.base);
}

static int connect_to(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(PORT),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

/* Sends bytes and returns what came back; @p closed: the connection ended. */
static char *exchange(const char *bytes, bool *closed)
{
	static char answer[8192];
	int fd = connect_to();
	size_t n = 0;
	ssize_t got = -1;

	assert_int_equal(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL),
			 strlen(bytes));
	*closed = false;
	for (int i = 0; i < 20 && !*closed; i++) {
		pump(3);
		while (n < sizeof(answer) - 1 &&
		       (got = recv(fd, answer + n, sizeof(answer) - 1 - n,
				   MSG_DONTWAIT)) > 0)
			n += (size_t)got;
		*closed = got == 0;
	}
	answer[n] = '\0';
	close(fd);
	pump(3);
	return answer;
}

#define SMUGGLED "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

static void test_faulty_requests_end_their_connection(void **state)
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
		char *answer = exchange(requests[i], &closed);

		if (!closed || w.requests != 0 ||
		    !g_str_has_prefix(answer, "HTTP/1.1 400 "))
			print_error("case %zu: %s\n", i, answer);
		assert_true(g_str_has_prefix(answer, "HTTP/1.1 400 "));
		assert_true(closed);
		assert_int_equal(w.requests, 0);
		assert_null(strstr(answer + 1, "HTTP/1.1"));
	}
}

static void test_limits(void **state)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nX: ");
	bool closed;

	(void)state;
	for (int i = 0; i < HEADER_MOST; i++)
		g_string_append_c(text, 'x');
	assert_true(g_str_has_prefix(exchange(text->str, &closed),
				     "HTTP/1.1 431 "));
	g_string_printf(text,
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
			"\r\n",
			BODY_MOST + 1);
	assert_true(g_str_has_prefix(exchange(text->str, &closed),
				     "HTTP/1.1 413 "));
	g_string_assign(text, "POST / HTTP/1.1\r\nHost: h\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < BODY_MOST; i++)
		g_string_append(text, "2\r\nab\r\n");
	assert_true(g_str_has_prefix(exchange(text->str, &closed),
				     "HTTP/1.1 413 "));
	assert_int_equal(w.requests, 0);
	g_string_free(text, TRUE);
}

static void test_sound_requests_share_a_connection(void **state)
{
	bool closed;
	char *answer;

	(void)state;
	answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
			  "POST /b HTTP/1.1\r\nHost: h\r\n"
			  "Content-Length: 3\r\n\r\nxyz",
			  &closed);
	assert_int_equal(w.requests, 2);
	assert_string_equal(w.body, "xyz");
	assert_false(closed);
	assert_non_null(strstr(answer + 1, "HTTP/1.1 200 "));
}

/* Callers that send half a head and stop cost others nothing, and are ended
 * at the time limit of a head. */
static void test_half_open_requests(void **state)
{
	static const char part[] = "GET / HTTP/1.1\r\nHo";
	struct rlimit files;
	static int fds[HALF_OPEN];
	int count = HALF_OPEN;
	guint conns;
	guint requests;
	int64_t began;
	bool closed;

	(void)state;
	/* Both ends are in this process. */
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &files), 0);
	if (files.rlim_cur < 2 * HALF_OPEN + 100)
		count = ((int)files.rlim_cur - 100) / 2;
	for (int i = 0; i < count; i++) {
		fds[i] = connect_to();
		send(fds[i], part, strlen(part), MSG_NOSIGNAL);
		if (i % 100 == 0)
			pump(1);
	}
	pump(50);
	began = clock_boot_ms();
	assert_true(g_str_has_prefix(exchange("GET / HTTP/1.1\r\nHost: h\r\n"
					      "Connection: close\r\n\r\n",
					      &closed),
				     "HTTP/1.1 200 "));
	assert_in_range(clock_boot_ms() - began, 0, 50);
	/* Callers read their answer, and the lingering is over after 1 s. */
	pump(HEADER_MS + 2000);
	in_count(w.in, &conns, &requests);
	assert_int_equal(conns, 0);
	for (int i = 0; i < count; i++)
		close(fds[i]);
}

#define CASE(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_faulty_requests_end_their_connection),
		CASE(test_limits),
		CASE(test_sound_requests_share_a_connection),
		CASE(test_half_open_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
