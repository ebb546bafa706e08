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
#include "serve/clock.h"
#include "test/gateway/conn.h"
#include "test/gateway/fixture.h"

#define PEER_ADDRESS "127.0.0.1:18406"

enum {
	PEER_PORT = 18406,
	CALLERS_PORT = 18410, /* of the first instance */
	ACCEPT_MS = 1000,
	RESULT_MS = 1000,
	ORDER_TIMEOUT_MS = 1000, /* of the route order */
	STREAM_SILENCE_MS = 600, /* three times the objective of the route */
	STORE_TIMEOUT_MS = 1500, /* the longest timeout of a store call */
	BUSY_EXTRA_MS = 100,
	STALL_MS = 70, /* about what applying a configuration can take */
};

static int peer_listener = -1; /* a failed test leaves it open */

static void stop_listening(void)
{
	if (peer_listener >= 0)
		close(peer_listener);
	peer_listener = -1;
}

static int listen_as_peer(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(PEER_PORT),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int one = 1;

	stop_listening();
	peer_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_true(peer_listener >= 0);
	setsockopt(peer_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(
		bind(peer_listener, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(listen(peer_listener, 8), 0);
	return peer_listener;
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
	stop_listening();
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
	stop_listening();
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
	stop_listening();
	store_destroy(store);
	assert_int_equal(result, STORE_OK);
}

struct store_result {
	int result;
	int64_t version;
};

static void on_store_result(void *arg, const struct store_response *reply)
{
	struct store_result *result = arg;

	result->result = (int)reply->result;
	result->version = reply->version;
}

static void send_store_reply(int fd, int version)
{
	char *body = g_strdup_printf("{\"rows\":[],\"has_more\":false,"
				     "\"ver\":%d,\"now_ms\":1}",
				     version);
	char *reply = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				      "Content-Type: application/json\r\n"
				      "Content-Length: %zu\r\n\r\n%s",
				      strlen(body), body);

	assert_int_equal(send(fd, reply, strlen(reply), MSG_NOSIGNAL),
			 strlen(reply));
	g_free(reply);
	g_free(body);
}

static void run_until_result(const struct store_result *result)
{
	for (int ms = 0; ms < RESULT_MS && result->result < 0; ms += 2)
		fixture_run_until(NULL, 2);
}

/* Guards against taking bytes that no request asked for as the reply to the
 * next one, since the loop has not seen them yet. */
static void test_stale_bytes_on_pooled_connection(void **state)
{
	int listener = listen_as_peer();
	struct store *store = store_create(fx.base, fx.upstream, PEER_ADDRESS);
	struct store_result first = {.result = -1};
	struct store_result second = {.result = -1};
	int fds[2];

	(void)state;
	store_read(store, "t", "p", NULL, NULL, on_store_result, &first);
	fds[0] = accept_request(listener);
	send_store_reply(fds[0], 1);
	run_until_result(&first);
	assert_int_equal(first.result, STORE_OK);
	send_store_reply(fds[0], 2);
	store_read(store, "t", "p", NULL, NULL, on_store_result, &second);
	fixture_run_until(NULL, 20);
	assert_int_equal(second.result, -1);
	fds[1] = accept_request(listener);
	send_store_reply(fds[1], 3);
	run_until_result(&second);
	close(fds[0]);
	close(fds[1]);
	stop_listening();
	store_destroy(store);
	assert_int_equal(second.result, STORE_OK);
	assert_int_equal(second.version, 3);
}

static void send_order(int fd, const char *id)
{
	char *request = g_strdup_printf("POST /order/1 HTTP/1.1\r\nHost: h\r\n"
					"Deadline-Ms: 2000\r\n" AUTH_HEADER
					"Request-Id: %s\r\n"
					"Content-Length: 1\r\n\r\nx",
					id);

	assert_int_equal(send(fd, request, strlen(request), MSG_NOSIGNAL),
			 strlen(request));
	g_free(request);
}

static void send_order_answer(int fd, const char *id)
{
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				       "Response-Signature: sig\r\n"
				       "Content-Length: 2\r\n\r\nok",
				       id);

	assert_int_equal(send(fd, answer, strlen(answer), MSG_NOSIGNAL),
			 strlen(answer));
	g_free(answer);
}

/* Runs the loop until the caller has received a response with this start. */
static void assert_received(int fd, const char *start)
{
	char response[4096] = "";
	ssize_t n = -1;

	for (int ms = 0; ms < RESULT_MS && n <= 0; ms += 2) {
		fixture_run_until(NULL, 2);
		n = recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT);
	}
	if (!g_str_has_prefix(response, start))
		print_error("received: %s\n", response);
	assert_true(g_str_has_prefix(response, start));
}

/* Runs the loop; the caller must not receive anything. */
static void assert_nothing_received(int fd)
{
	char response[4096] = "";

	fixture_run_until(NULL, 20);
	(void)recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT);
	if (response[0] != '\0')
		print_error("received: %s\n", response);
	assert_string_equal(response, "");
}

static void on_close_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	close(*(int *)arg);
}

/* Guards against 502 for a request that may run once at most and that went out
 * on a connection which its server had closed. */
static void test_closed_pooled_connection(void **state)
{
	struct timeval tv = {.tv_usec = 1000};
	int listener = listen_as_peer();
	int caller;
	int fds[2];

	(void)state;
	put_peer("shop", "s1");
	caller = conn_open(CALLERS_PORT);
	send_order(caller, "r1");
	fds[0] = accept_request(listener);
	send_order_answer(fds[0], "r1");
	assert_received(caller, "HTTP/1.1 200 ");
	/* The request is read and the connection closed in the same turn. */
	event_base_once(fx.base, -1, EV_TIMEOUT, on_close_timer, &fds[0], &tv);
	send_order(caller, "r2");
	usleep(10 * 1000);
	assert_nothing_received(caller);
	fds[1] = accept_request(listener);
	send_order_answer(fds[1], "r2");
	assert_received(caller, "HTTP/1.1 200 ");
	close(caller);
	close(fds[1]);
	stop_listening();
}

/* What a timer of the test sends; it is due before the request's deadline. */
struct late_answer {
	int fd;
	const char *bytes;
};

static void on_answer_timer(evutil_socket_t fd, short what, void *arg)
{
	const struct late_answer *answer = arg;

	(void)fd;
	(void)what;
	assert_int_equal(send(answer->fd, answer->bytes, strlen(answer->bytes),
			      MSG_NOSIGNAL),
			 strlen(answer->bytes));
}

static void on_stall_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	usleep(STALL_MS * 1000);
}

/* In one turn of the loop, after it has polled: the answer comes, a deadline
 * @p ms from now passes, and the loop stalls. */
static void stall_in_turn_of_deadline(struct late_answer *answer, int ms)
{
	struct timeval before = clock_timeval(ms / 2);
	struct timeval after = clock_timeval(ms + BUSY_EXTRA_MS);

	event_base_once(fx.base, -1, EV_TIMEOUT, on_answer_timer, answer,
			&before);
	event_base_once(fx.base, -1, EV_TIMEOUT, on_stall_timer, NULL, &after);
	usleep((useconds_t)(ms + 2 * BUSY_EXTRA_MS) * 1000);
}

#define ORDER_HEAD                                                             \
	"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: sig\r\n"

/* Guards against 504 for a request whose response was there in time, if the
 * turn of the loop takes longer than a timeout is put off. */
static void test_response_at_deadline_in_long_turn(void **state)
{
	struct late_answer answer = {.bytes = ORDER_HEAD
				     "Content-Length: 2\r\n\r\nok"};
	int listener = listen_as_peer();
	struct fixture_response response;

	(void)state;
	put_peer("shop", "s1");
	fixture_send(&response, 0, "POST", "/order/1",
		     AUTH_HEADER "Request-Id: r1\r\n", "x");
	answer.fd = accept_request(listener);
	stall_in_turn_of_deadline(&answer, ORDER_TIMEOUT_MS);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	close(answer.fd);
	stop_listening();
	assert_int_equal(response.status, 200);
	assert_string_equal(response.body->str, "ok");
	fixture_response_clear(&response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_response_received_at_deadline),
		FIXTURE_TEST(test_events_received_at_silence_timeout),
		FIXTURE_TEST(test_store_reply_received_at_timeout),
		FIXTURE_TEST(test_stale_bytes_on_pooled_connection),
		FIXTURE_TEST(test_closed_pooled_connection),
		FIXTURE_TEST(test_response_at_deadline_in_long_turn),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
