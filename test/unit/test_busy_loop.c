/**
 * @file test_busy_loop.c
 * @brief What was received while the event loop was busy counts as received.
 *
 * The peers here are plain sockets of the test: they answer while the loop does
 * not run, past a timeout, so that the answer and the timer are due in the same
 * turn of the loop.
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
#include <sodium.h>

#include "platform/rowstore.h"
#include "test/gateway/fixture.h"

#define PEER_ADDRESS "127.0.0.1:18406"

enum {
	PEER_PORT = 18406,
	ACCEPT_MS = 1000,
	ORDER_TIMEOUT_MS = 1000, /* of the route order */
	STREAM_SILENCE_MS = 600, /* three times the objective of the route */
	STORE_TIMEOUT_MS = 1500, /* the longest timeout of a store call */
	BUSY_EXTRA_MS = 100,
};

static int listen_as_peer(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(PEER_PORT),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	assert_true(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(fd, 8), 0);
	return fd;
}

/* Runs the loop until the peer has a connection with a request. */
static int accept_request(int listener)
{
	char request[4096];
	ssize_t n = -1;
	int fd = -1;

	for (int ms = 0; ms < ACCEPT_MS && n <= 0; ms += 2) {
		fixture_run_until(NULL, 2);
		if (fd < 0)
			fd = accept(listener, NULL, NULL);
		if (fd >= 0)
			n = recv(fd, request, sizeof(request), MSG_DONTWAIT);
	}
	assert_true(n > 0);
	return fd;
}

/* The peer answers while the loop is busy for @p ms. */
static void answer_while_busy(int fd, const char *answer, int ms)
{
	assert_int_equal(send(fd, answer, strlen(answer), MSG_NOSIGNAL),
			 strlen(answer));
	usleep((useconds_t)ms * 1000);
}

/* The peer is the only server of a service. */
static void put_peer(const char *service, const char *replaced)
{
	rowstore_put(fx.store, "servers", "", replaced, NULL);
	fixture_put_server("p", service, PEER_ADDRESS, "ready");
	fixture_run_until(NULL, 100);
}

/* Guards against 504 for a request whose response was there in time. */
static void test_response_received_at_deadline(void **state)
{
	int listener = listen_as_peer();
	struct fixture_response response;
	int fd;

	(void)state;
	put_peer("shop", "s1");
	fixture_send(&response, 0, "POST", "/order/1",
		     AUTH_HEADER "Request-Id: r1\r\n", "x");
	fd = accept_request(listener);
	answer_while_busy(fd,
			  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
			  "Response-Signature: sig\r\nContent-Length: 2\r\n"
			  "\r\nok",
			  ORDER_TIMEOUT_MS + BUSY_EXTRA_MS);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	close(fd);
	close(listener);
	assert_int_equal(response.status, 200);
	assert_string_equal(response.body->str, "ok");
	fixture_response_clear(&response);
}

/* Guards against a stream that is taken from a server as silent although its
 * events were there. */
static void test_events_received_at_silence_timeout(void **state)
{
	int listener = listen_as_peer();
	struct fixture_response response;
	int fd;

	(void)state;
	put_peer("engines", "e1");
	fixture_send(&response, 0, "POST", "/free/turn",
		     AUTH_HEADER "Request-Id: r1\r\nToken-Usage: 10,60\r\n",
		     "x");
	fd = accept_request(listener);
	answer_while_busy(fd,
			  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
			  "Response-Signature: sig\r\n"
			  "Content-Type: text/event-stream\r\n"
			  "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
			  STREAM_SILENCE_MS + BUSY_EXTRA_MS);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	close(fd);
	close(listener);
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	assert_string_equal(response.body->str, "id: 1\ndata: a\n\n");
	fixture_response_clear(&response);
}

static void on_store_reply(void *arg, const struct store_response *reply)
{
	*(int *)arg = (int)reply->result;
}

/* Guards against a store that is taken for unreachable although it has
 * answered. */
static void test_store_reply_received_at_timeout(void **state)
{
	int listener = listen_as_peer();
	struct store *store = store_create(fx.base, fx.upstream, PEER_ADDRESS);
	int result = -1;
	int fd;

	(void)state;
	store_read(store, "t", "p", NULL, NULL, on_store_reply, &result);
	fd = accept_request(listener);
	answer_while_busy(fd,
			  "HTTP/1.1 200 OK\r\n"
			  "Content-Type: application/json\r\n"
			  "Content-Length: 47\r\n\r\n"
			  "{\"rows\":[],\"has_more\":false,\"ver\":1,"
			  "\"now_ms\":1}",
			  STORE_TIMEOUT_MS + BUSY_EXTRA_MS);
	fixture_run_until(NULL, 50);
	close(fd);
	close(listener);
	store_destroy(store);
	assert_int_equal(result, STORE_OK);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_response_received_at_deadline),
		FIXTURE_TEST(test_events_received_at_silence_timeout),
		FIXTURE_TEST(test_store_reply_received_at_timeout),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
