/**
 * @file test_goaway.c
 * @brief Servers that announce their shutdown in a response.
 *
 * See fixture.h. The platform's list says that they are ready all the while.
 * Users state that no request may reach such a server that its caller sent
 * later than DRAIN_MS after the instance had passed the announcement on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "decide/goaway.h"
#include "serve/clock.h"
#include "serve/stats.h"
#include "test/gateway/fixture.h"
#include "test/gateway/links.h"

#define GOAWAY_TEST(test)                                                      \
	cmocka_unit_test_setup_teardown(test, set_up, fixture_tear_down)
#define LEAVING "Server-Leaving: 1\r\n"

enum {
	DRAIN_MS = 2000,
	CALLS = 20,	   /* that must not reach the server */
	CARRIED_MS = 3000, /* until connections are carried */
	AT_ONCE_MS = 100,
	LIST_MS = 200, /* until the instances know a change of the list */
	ONE_VERSION_MS = 5200, /* the route's timeout and 2 s */
	WAITING = 6,
	NAMES = 5000,
};

/* The server that goes away, and requests that it may get. */
struct subject {
	struct backend *const *backends; /* of the service */
	struct backend *backend;	 /* the one that callers get to */
	const char *path;
	const char *body;
	const char *headers; /* more of them, or NULL */
	int gateway;	     /* that its callers use */
};

static struct subject plain_subject(void)
{
	return (struct subject){
		.backends = fx.services, .path = "/order/1", .body = "x"};
}

/* A second server of each service. */
static int set_up(void **state)
{
	int status = fixture_set_up(state);

	fixture_put_server("e2", "engines", ENGINE_2_ADDRESS, "ready");
	fixture_put_server("s2", "shop", SERVICE_2_ADDRESS, "ready");
	fixture_run_until(NULL, LIST_MS);
	return status;
}

static const char *server_id(const struct subject *subject)
{
	return subject->backend == fx.services[0] ? "s1" : "s2";
}

static const char *server_address(const struct subject *subject)
{
	return subject->backend == fx.services[0] ? SERVICE_1_ADDRESS
						  : SERVICE_2_ADDRESS;
}

static int call(const struct subject *subject)
{
	struct fixture_response response;
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: r%u\r\n%s", fx.next_id++,
		subject->headers ? subject->headers : "");
	int status;

	fixture_request(&response, subject->gateway, subject->path, headers,
			subject->body);
	status = response.status;
	fixture_response_clear(&response);
	g_free(headers);
	return status;
}

/* Finds the server that callers get to while nothing else decides. */
static void find_server(struct subject *subject)
{
	guint before = backend_received(subject->backends[0]);

	(void)call(subject);
	subject->backend =
		subject->backends[backend_received(subject->backends[0]) ==
				  before];
}

/* Calls later than DRAIN_MS; returns how many reached the server. */
static guint count_late(const struct subject *subject)
{
	guint before;

	fixture_run_until(NULL, DRAIN_MS);
	before = backend_received(subject->backend);
	for (int i = 0; i < CALLS; i++)
		assert_int_equal(call(subject), 200);
	return backend_received(subject->backend) - before;
}

/* The server announces its shutdown, in responses as by @p mode. */
static void go_away(struct subject *subject, enum backend_mode mode)
{
	guint before;

	find_server(subject);
	before = backend_received(subject->backend);
	backend_set_fields(subject->backend, LEAVING);
	backend_set_mode(subject->backend, mode);
	(void)call(subject);
	backend_set_mode(subject->backend, BACKEND_OK);
	assert_int_not_equal(backend_received(subject->backend), before);
}

static void check_mode(enum backend_mode mode)
{
	struct subject subject = plain_subject();

	go_away(&subject, mode);
	assert_int_equal(count_late(&subject), 0);
}

static void test_announced_in_a_response(void **state)
{
	(void)state;
	check_mode(BACKEND_OK);
}

static void test_announced_in_an_error(void **state)
{
	(void)state;
	check_mode(BACKEND_ERROR);
}

static void test_announced_in_a_refusal(void **state)
{
	(void)state;
	check_mode(BACKEND_REFUSE);
}

static void test_announced_in_the_head_of_a_stream(void **state)
{
	struct subject subject = {
		.backends = fx.engines, .path = "/free/turn", .body = "x"};

	(void)state;
	go_away(&subject, BACKEND_OK);
	assert_int_equal(count_late(&subject), 0);
}

/* A program goes on where its memory is, unless that server goes away. */
static void test_program_leaves_its_server(void **state)
{
	struct subject subject = {
		.backends = fx.engines, .path = "/free/turn", .body = "x"};
	guint before;

	(void)state;
	find_server(&subject);
	before = backend_received(subject.backend);
	assert_int_equal(call(&subject), 200);
	assert_int_equal(backend_received(subject.backend), before + 1);
	go_away(&subject, BACKEND_OK);
	assert_int_equal(count_late(&subject), 0);
}

static void test_stream_is_taken_up_at_another_server(void **state)
{
	struct subject subject = {
		.backends = fx.engines, .path = "/free/turn", .body = "x"};

	(void)state;
	/* By then instances know that there is one version only. */
	fixture_run_until(NULL, ONE_VERSION_MS);
	go_away(&subject, BACKEND_OK);
	subject.headers = "Last-Event-Id: 2\r\nResumes: r0\r\n";
	assert_int_equal(count_late(&subject), 0);
}

/* The server at the address is another one than the list says, and goes away:
 * it must not get requests once it is listed either. */
static void test_announced_by_another_server_at_the_address(void **state)
{
	struct subject subject = plain_subject();
	int64_t started_ms = clock_time_ms();

	(void)state;
	fixture_run_until(NULL, LIST_MS);
	go_away(&subject, BACKEND_MISDIRECTED);
	rowstore_put(fx.store, "servers", "", server_id(&subject), NULL);
	fixture_put_started("s9", "shop", server_address(&subject), started_ms);
	assert_int_equal(count_late(&subject), 0);
}

static void test_list_says_ready_again(void **state)
{
	struct subject subject = plain_subject();

	(void)state;
	go_away(&subject, BACKEND_OK);
	rowstore_put(fx.store, "servers", "", server_id(&subject), NULL);
	fixture_run_until(NULL, LIST_MS);
	fixture_put_server(server_id(&subject), "shop",
			   server_address(&subject), "ready");
	assert_int_equal(count_late(&subject), 0);
}

static void test_server_starts_again(void **state)
{
	struct subject subject = plain_subject();

	(void)state;
	go_away(&subject, BACKEND_OK);
	backend_set_fields(subject.backend, NULL);
	fixture_put_started(server_id(&subject), "shop",
			    server_address(&subject), clock_time_ms() + 1);
	fixture_run_until(NULL, LIST_MS);
	assert_int_not_equal(count_late(&subject), 0);
}

/* An old list names an earlier start than the one that goes away. */
static void test_list_is_older_than_the_server(void **state)
{
	struct subject subject = plain_subject();
	int64_t started_ms = clock_time_ms();

	(void)state;
	fixture_run_until(NULL, LIST_MS);
	go_away(&subject, BACKEND_OK);
	fixture_put_started(server_id(&subject), "shop",
			    server_address(&subject), started_ms);
	assert_int_equal(count_late(&subject), 0);
}

static void test_all_servers_go_away(void **state)
{
	struct subject subject = plain_subject();
	struct fixture_response response;
	int64_t sent_ms;

	(void)state;
	go_away(&subject, BACKEND_OK);
	go_away(&subject, BACKEND_OK);
	sent_ms = clock_boot_ms();
	fixture_request(&response, 0, "/order/1",
			AUTH_HEADER "Request-Id: last\r\n", "x");
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	assert_in_range(clock_boot_ms() - sent_ms, 0, AT_ONCE_MS);
	fixture_response_clear(&response);
}

/* Requests that wait for a token of the server must not get to it then. */
static void test_request_waits_for_a_server_that_goes_away(void **state)
{
	struct subject subject = plain_subject();
	struct fixture_response responses[WAITING];
	guint before;

	(void)state;
	rowstore_put(fx.store, "servers", "", "s2", NULL);
	fixture_run_until(NULL, LIST_MS);
	backend_set_limit(fx.services[0], "4");
	find_server(&subject);
	backend_set_fields(subject.backend, LEAVING);
	before = backend_received(subject.backend);
	for (int i = 0; i < WAITING; i++) {
		char *headers =
			g_strdup_printf(AUTH_HEADER "Request-Id: w%d\r\n", i);

		fixture_send(&responses[i], 0, "POST", "/order/1", headers,
			     "x");
		g_free(headers);
	}
	for (int i = 0; i < WAITING; i++) {
		fixture_run_until(&responses[i].done, RESPONSE_TIMEOUT_MS);
		assert_true(responses[i].done);
		fixture_response_clear(&responses[i]);
	}
	/* What had its token before the first response came. */
	assert_in_range(backend_received(subject.backend) - before, 1,
			WAITING - 1);
	before = backend_received(subject.backend);
	fixture_run_until(NULL, DRAIN_MS);
	for (int i = 0; i < CALLS; i++)
		assert_int_equal(call(&subject), 503);
	assert_int_equal(backend_received(subject.backend), before);
}

/* Whether a call is carried at once: no connection of instance 0 was tried. */
static bool is_carried(const struct subject *subject)
{
	uint64_t sent = stats_get(STATS_SENT);
	uint64_t carried = stats_get(STATS_SENT_BY_TUNNEL);

	return call(subject) == 200 && stats_get(STATS_SENT) == sent + 1 &&
	       stats_get(STATS_SENT_BY_TUNNEL) == carried + 1;
}

static void wait_until_carried(const struct subject *subject)
{
	int64_t deadline_ms = clock_boot_ms() + CARRIED_MS;
	bool carried = false;

	while (!carried && clock_boot_ms() < deadline_ms) {
		fixture_run_until(NULL, LIST_MS);
		carried = is_carried(subject);
	}
	assert_true(carried);
}

/* Lists the servers anew, which instance 0 then reaches over its links: all, or
 * a check of one that it still reaches tells it that no link is lost. */
static struct links *lose_links(void)
{
	struct links *links = links_open();

	fixture_put_started("e1", "engines", ENGINE_1_ADDRESS, 2);
	fixture_put_started("e2", "engines", ENGINE_2_ADDRESS, 2);
	fixture_put_started("s1", "shop", SERVICE_1_ADDRESS, 2);
	fixture_put_started("s2", "shop", SERVICE_2_ADDRESS, 2);
	fixture_run_until(NULL, LIST_MS);
	links_cut(links, LINK_REFUSES);
	return links;
}

static void test_announced_over_a_carried_connection(void **state)
{
	struct subject subject = plain_subject();
	struct links *links = lose_links();

	(void)state;
	wait_until_carried(&subject);
	go_away(&subject, BACKEND_OK);
	assert_int_equal(count_late(&subject), 0);
	links_close(links);
}

/* The instance that carries connections knows, the one that asks does not. */
static void test_no_connection_is_carried_to_it(void **state)
{
	struct subject subject = plain_subject();
	struct links *links = lose_links();

	(void)state;
	wait_until_carried(&subject);
	subject.gateway = 1;
	go_away(&subject, BACKEND_OK);
	subject.gateway = 0;
	assert_int_equal(count_late(&subject), 0);
	links_close(links);
}

static void check_ignored(const char *fields, enum backend_mode mode,
			  enum stats_counter counter)
{
	struct subject subject = plain_subject();
	uint64_t counted = stats_get(counter);

	find_server(&subject);
	backend_set_fields(subject.backend, fields);
	backend_set_mode(subject.backend, mode);
	(void)call(&subject);
	backend_set_mode(subject.backend, BACKEND_OK);
	backend_set_fields(subject.backend, NULL);
	assert_int_not_equal(stats_get(counter), counted);
	assert_int_not_equal(count_late(&subject), 0);
}

static void test_another_value_is_ignored(void **state)
{
	(void)state;
	check_ignored("Server-Leaving: yes\r\n", BACKEND_OK,
		      STATS_GOAWAY_UNREADABLE);
}

static void test_two_fields_are_ignored(void **state)
{
	(void)state;
	check_ignored(LEAVING LEAVING, BACKEND_OK, STATS_GOAWAY_UNREADABLE);
}

static void test_response_to_another_request_is_ignored(void **state)
{
	(void)state;
	check_ignored(LEAVING, BACKEND_WRONG_ID, STATS_STRAY_RESPONSES);
}

static void test_announcements_are_bounded(void **state)
{
	struct goaway *goaway = goaway_create();
	char name[16];

	(void)state;
	for (int i = 1; i <= NAMES; i++) {
		g_snprintf(name, sizeof(name), "s%d", i);
		goaway_note(goaway, name, i);
	}
	assert_true(goaway_has(goaway, name, NAMES));
	assert_false(goaway_has(goaway, name, NAMES + 1));
	assert_false(goaway_has(goaway, "s1", 1));
	goaway_destroy(goaway);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		GOAWAY_TEST(test_announced_in_a_response),
		GOAWAY_TEST(test_announced_in_an_error),
		GOAWAY_TEST(test_announced_in_a_refusal),
		GOAWAY_TEST(test_announced_in_the_head_of_a_stream),
		GOAWAY_TEST(test_program_leaves_its_server),
		GOAWAY_TEST(test_stream_is_taken_up_at_another_server),
		GOAWAY_TEST(test_announced_by_another_server_at_the_address),
		GOAWAY_TEST(test_list_says_ready_again),
		GOAWAY_TEST(test_server_starts_again),
		GOAWAY_TEST(test_list_is_older_than_the_server),
		GOAWAY_TEST(test_all_servers_go_away),
		GOAWAY_TEST(test_request_waits_for_a_server_that_goes_away),
		GOAWAY_TEST(test_announced_over_a_carried_connection),
		GOAWAY_TEST(test_no_connection_is_carried_to_it),
		GOAWAY_TEST(test_another_value_is_ignored),
		GOAWAY_TEST(test_two_fields_are_ignored),
		GOAWAY_TEST(test_response_to_another_request_is_ignored),
		cmocka_unit_test(test_announcements_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
