/**
 * @file test_crashing_request.c
 * @brief A request that crashes each backend server that begins to run it.
 *
 * See fixture.h. The caller sends the request again and again, to the two
 * instances in turn, and each server that crashed is started again. Users state
 * that once three servers have crashed, at most three retries reach a server
 * later than CONTACT_MS after that.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/stats.h"
#include "test/gateway/fixture.h"
#include "test/gateway/links.h"

#define BODY "crashes servers"
#define SOUND_BODY "sound"
#define CLOSED_ADDRESS "127.0.0.1:18409"
#define CRASHES_TABLE "aps-crashes"

enum {
	SERVERS = 2,
	CRASHES_MAX = 3, /* until the request is known */
	RETRIES_MAX = 3, /* that may reach a server after that */
	CONTACT_MS = 3000,
	TRIES = 8,
	SOUND_TRIES = 4,
	CONCURRENT = 10,
	DOWN_MS = 300,		  /* of a server whose connections are closed */
	SILENT_DOWN_MS = 1800,	  /* of a server that falls silent */
	UNLISTED_AFTER_MS = 1500, /* the entry of a silent server is removed */
	RETRY_GAP_MS = 100,
	LEAVE_MS = 200, /* a caller waits */
	FORGOTTEN_MS = 3700000,
	TRIAL_MS = 5000, /* by then a refused request is tried again */
};

/* A server and its starts. */
struct server {
	struct backend **backend;
	const char *name;
	const char *service;
	const char *address;
	int starts;
	char id[32];
	char old_id[32];    /* of the last start, while it is listed; or "" */
	int64_t crashed_ms; /* of the present start; 0: it runs */
	int64_t ended_ms;   /* of the last start */
	bool listed;
};

/* The servers of one service, and how they crash. */
struct crashes {
	struct server servers[SERVERS];
	const char *body;
	enum backend_crash how;
	bool is_silent;	  /* connections stay open */
	bool keeps_id;	  /* a server starts again under its id */
	bool is_left;	  /* the caller disconnects before the response */
	bool is_listed;	  /* for a while after the server has ended */
	guint count;	  /* servers that have crashed */
	int64_t third_ms; /* when the third one did */
};

static void start_server(struct crashes *crashes, struct server *server)
{
	server->starts++;
	if (crashes->keeps_id)
		g_strlcpy(server->id, server->name, sizeof(server->id));
	else
		g_snprintf(server->id, sizeof(server->id), "%s-%d",
			   server->name, server->starts);
	server->crashed_ms = 0;
	server->listed = true;
	*server->backend = backend_create(fx.base, server->address, server->id,
					  STREAM_EVENTS, EVENT_GAP_MS);
	assert_non_null(*server->backend);
	backend_set_crash(*server->backend, crashes->body, crashes->how);
	backend_check_target(*server->backend);
	fixture_put_started(server->id, server->service, server->address,
			    server->starts);
}

static void stop_server(struct server *server)
{
	backend_destroy(*server->backend);
	*server->backend = NULL;
}

static void unlist_server(struct server *server)
{
	rowstore_put(fx.store, "servers", "", server->id, NULL);
	server->listed = false;
}

static void on_crash(struct crashes *crashes, struct server *server)
{
	server->crashed_ms = clock_boot_ms();
	if (++crashes->count == CRASHES_MAX)
		crashes->third_ms = server->crashed_ms;
	if (!crashes->is_silent)
		stop_server(server);
}

static void step_server(struct crashes *crashes, struct server *server)
{
	int64_t down_ms = crashes->is_silent ? SILENT_DOWN_MS : DOWN_MS;
	int64_t since_ms;

	if (server->crashed_ms == 0 && *server->backend != NULL &&
	    backend_has_crashed(*server->backend))
		on_crash(crashes, server);
	if (server->crashed_ms == 0)
		return;
	since_ms = clock_boot_ms() - server->crashed_ms;
	if (crashes->is_silent && server->listed &&
	    since_ms > UNLISTED_AFTER_MS)
		unlist_server(server);
	if (since_ms <= down_ms)
		return;
	if (*server->backend != NULL)
		stop_server(server);
	if (crashes->is_listed)
		g_strlcpy(server->old_id, server->id, sizeof(server->old_id));
	else if (server->listed && !crashes->keeps_id)
		unlist_server(server);
	server->ended_ms = server->crashed_ms;
	start_server(crashes, server);
}

/* Removes the entry of the last start, some time after its end. */
static void step_old_entry(struct server *server)
{
	if (*server->old_id == '\0' ||
	    clock_boot_ms() - server->ended_ms <= UNLISTED_AFTER_MS)
		return;
	rowstore_put(fx.store, "servers", "", server->old_id, NULL);
	*server->old_id = '\0';
}

/* Runs the event loop and the servers until @p flag, if any, is set. */
static void run_until(struct crashes *crashes, const bool *flag, int64_t ms)
{
	int64_t deadline_ms = clock_boot_ms() + ms;

	while ((flag == NULL || !*flag) && clock_boot_ms() < deadline_ms) {
		fixture_run_until(NULL, 2);
		for (int i = 0; i < SERVERS; i++) {
			step_server(crashes, &crashes->servers[i]);
			step_old_entry(&crashes->servers[i]);
		}
	}
}

/* Waits until all servers run again and the instances know. */
static void wait_for_servers(struct crashes *crashes)
{
	for (int i = 0; i < SERVERS; i++) {
		while (crashes->servers[i].crashed_ms != 0)
			run_until(crashes, NULL, RETRY_GAP_MS);
	}
	run_until(crashes, NULL, RETRY_GAP_MS);
}

static void set_up_servers(struct crashes *crashes, bool engines)
{
	static const char *const names[2][SERVERS] = {{"s1", "s2"},
						      {"e1", "e2"}};
	static const char *const addresses[2][SERVERS] = {
		{SERVICE_1_ADDRESS, SERVICE_2_ADDRESS},
		{ENGINE_1_ADDRESS, ENGINE_2_ADDRESS}};

	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &crashes->servers[i];

		server->backend = engines ? &fx.engines[i] : &fx.services[i];
		server->name = names[engines][i];
		server->service = engines ? "engines" : "shop";
		server->address = addresses[engines][i];
		stop_server(server);
		rowstore_put(fx.store, "servers", "", server->name, NULL);
		start_server(crashes, server);
	}
	run_until(crashes, NULL, RETRY_GAP_MS);
}

/* Sends the request once more, to one of the instances. */
static int try_once(struct crashes *crashes, int gateway, const char *method,
		    const char *path)
{
	struct fixture_response response;
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: r%u\r\n", fx.next_id++);
	int status;

	fixture_send(&response, gateway, method, path, headers,
		     crashes->body ? crashes->body : "");
	run_until(crashes, &response.done,
		  crashes->is_left ? LEAVE_MS : RESPONSE_TIMEOUT_MS);
	status = response.status;
	fixture_response_clear(&response);
	g_free(headers);
	wait_for_servers(crashes);
	return status;
}

/* Sends the request again and again; it must be refused in the end, and have
 * crashed no more servers than it takes to know it. */
static void try_often(struct crashes *crashes, int tries, const char *method,
		      const char *path)
{
	int status = 0;

	for (int i = 0; i < tries; i++)
		status = try_once(crashes, i % GATEWAY_COUNT, method, path);
	assert_int_equal(crashes->count, CRASHES_MAX);
	assert_int_equal(status, 503);
}

static void restart(struct crashes *crashes, int gateway)
{
	fixture_kill_gateway(gateway);
	fixture_start_gateway(gateway);
	fixture_wait_until_ready();
	run_until(crashes, NULL, RETRY_GAP_MS);
}

/* Starts the servers, and tries often. */
static void check_tries(struct crashes *crashes, bool engines,
			const char *method, const char *path)
{
	set_up_servers(crashes, engines);
	try_often(crashes, TRIES, method, path);
}

static void test_crashing_post(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	check_tries(&crashes, false, "POST", "/order/x");
}

static void test_crashing_request_without_body(void **state)
{
	struct crashes crashes = {.body = NULL};

	(void)state;
	check_tries(&crashes, false, "GET", "/get/x");
}

static void test_crash_in_a_stream(void **state)
{
	struct crashes crashes = {.body = BODY, .how = BACKEND_CRASH_IN_STREAM};

	(void)state;
	check_tries(&crashes, true, "POST", "/free/turn");
}

static void test_crash_of_servers_that_fall_silent(void **state)
{
	struct crashes crashes = {.body = BODY, .is_silent = true};

	(void)state;
	check_tries(&crashes, false, "POST", "/order/x");
}

/* The new start refuses what is meant for the last one, whose entry is still in
 * the list: that is no sign of life. */
static void test_crash_of_servers_that_stay_listed(void **state)
{
	struct crashes crashes = {.body = BODY, .is_listed = true};

	(void)state;
	set_up_servers(&crashes, false);
	for (int i = 0; i < TRIES; i++) {
		(void)try_once(&crashes, i % GATEWAY_COUNT, "POST", "/order/x");
		crashes.body = SOUND_BODY;
		for (int sound = 0; sound < SOUND_TRIES; sound++)
			(void)try_once(&crashes, sound % GATEWAY_COUNT, "POST",
				       "/order/x");
		crashes.body = BODY;
	}
	assert_int_equal(crashes.count, CRASHES_MAX);
}

static void test_crash_after_the_caller_left(void **state)
{
	struct crashes crashes = {
		.body = BODY, .is_silent = true, .is_left = true};

	(void)state;
	check_tries(&crashes, false, "POST", "/order/x");
}

static void test_crash_of_a_server_that_keeps_its_id(void **state)
{
	struct crashes crashes = {.body = BODY, .keeps_id = true};

	(void)state;
	check_tries(&crashes, false, "POST", "/order/x");
}

/* Sends sound requests until instance 0 has its connections carried. */
static void wait_until_carried(struct crashes *crashes)
{
	int64_t deadline_ms = clock_boot_ms() + CONTACT_MS;
	int status = 0;

	crashes->body = SOUND_BODY;
	while (status != 200 && clock_boot_ms() < deadline_ms)
		status = try_once(crashes, 0, "POST", "/order/x");
	assert_int_equal(status, 200);
	crashes->body = BODY;
}

/* The instance can't tell a server that crashed from one that lives but could
 * not be reached. */
static void test_crash_over_carried_connections(void **state)
{
	struct crashes crashes = {.body = BODY};
	struct links *links = links_open();
	uint64_t carried;

	(void)state;
	set_up_servers(&crashes, false);
	links_cut(links, LINK_REFUSES);
	wait_until_carried(&crashes);
	carried = stats_get(STATS_SENT_BY_TUNNEL);
	for (int i = 0; i < TRIES; i++)
		(void)try_once(&crashes, 0, "POST", "/order/x");
	assert_int_equal(crashes.count, CRASHES_MAX);
	assert_in_range(stats_get(STATS_SENT_BY_TUNNEL) - carried, CRASHES_MAX,
			TRIES);
	links_restore(links);
	run_until(&crashes, NULL, CONTACT_MS);
	try_often(&crashes, TRIES, "POST", "/order/x");
	links_close(links);
}

static void test_crashes_are_known_after_restarts(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	try_often(&crashes, TRIES, "POST", "/order/x");
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < GATEWAY_COUNT; i++)
			restart(&crashes, i);
		try_often(&crashes, TRIES, "POST", "/order/x");
	}
}

static void test_crashes_are_known_to_a_late_instance(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	try_often(&crashes, TRIES, "POST", "/order/x");
	run_until(&crashes, NULL, CONTACT_MS + 1000);
	restart(&crashes, 1);
	for (int i = 0; i < TRIES; i++)
		(void)try_once(&crashes, 1, "POST", "/order/x");
	assert_int_equal(crashes.count, CRASHES_MAX);
}

static void kill_all(struct crashes *crashes)
{
	fixture_kill_all();
	run_until(crashes, NULL, RETRY_GAP_MS);
}

static void test_crashes_are_known_after_a_kill_of_all(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	for (guint seen = 1; seen <= CRASHES_MAX; seen++) {
		while (crashes.count < seen)
			(void)try_once(&crashes, (int)seen % GATEWAY_COUNT,
				       "POST", "/order/x");
		kill_all(&crashes);
	}
	try_often(&crashes, TRIES, "POST", "/order/x");
}

static void test_crash_during_an_outage_of_the_store(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	while (crashes.count < CRASHES_MAX - 1)
		(void)try_once(&crashes, 0, "POST", "/order/x");
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	(void)try_once(&crashes, 1, "POST", "/order/x");
	assert_int_equal(crashes.count, CRASHES_MAX);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	run_until(&crashes, NULL, CONTACT_MS);
	kill_all(&crashes);
	try_often(&crashes, TRIES, "POST", "/order/x");
}

static void test_completed_request_is_cleared_everywhere(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	while (crashes.count < CRASHES_MAX - 1)
		(void)try_once(&crashes, 0, "POST", "/order/x");
	run_until(&crashes, NULL, CONTACT_MS);
	assert_int_equal(rowstore_count_rows(fx.store, CRASHES_TABLE),
			 CRASHES_MAX - 1);
	for (int i = 0; i < SERVERS; i++)
		backend_set_crash(*crashes.servers[i].backend, "another",
				  BACKEND_CRASH_AT_ONCE);
	assert_int_equal(try_once(&crashes, 1, "POST", "/order/x"), 200);
	run_until(&crashes, NULL, CONTACT_MS);
	assert_int_equal(rowstore_count_rows(fx.store, CRASHES_TABLE), 0);
}

/* Guards against marks that are kept since nobody saw their rows go. */
static void test_cleared_request_after_lost_history(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	while (crashes.count < CRASHES_MAX - 1)
		(void)try_once(&crashes, 0, "POST", "/order/x");
	run_until(&crashes, NULL, CONTACT_MS);
	assert_int_equal(rowstore_count_rows(fx.store, CRASHES_TABLE),
			 CRASHES_MAX - 1);
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	run_until(&crashes, NULL, RETRY_GAP_MS);
	rowstore_remove_up_to(fx.store, rowstore_version(fx.store));
	rowstore_compact(fx.store);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	run_until(&crashes, NULL, CONTACT_MS);
	for (int i = 1; i < CRASHES_MAX; i++)
		assert_int_equal(try_once(&crashes, 1, "POST", "/order/x"),
				 502);
}

static void test_crashes_are_forgotten_in_the_end(void **state)
{
	struct crashes crashes = {.body = BODY};

	(void)state;
	set_up_servers(&crashes, false);
	try_often(&crashes, TRIES, "POST", "/order/x");
	run_until(&crashes, NULL, CONTACT_MS);
	rowstore_advance_clock(fx.store, FORGOTTEN_MS);
	kill_all(&crashes);
	run_until(&crashes, NULL, CONTACT_MS);
	assert_int_equal(rowstore_count_rows(fx.store, CRASHES_TABLE), 0);
	(void)try_once(&crashes, 0, "POST", "/order/x");
	assert_int_equal(crashes.count, CRASHES_MAX + 1);
}

static void leave_one_server(struct crashes *crashes)
{
	stop_server(&crashes->servers[1]);
	unlist_server(&crashes->servers[1]);
	run_until(crashes, NULL, RETRY_GAP_MS);
}

/* Lists servers that can't be connected to. */
static void add_closed_servers(struct crashes *crashes)
{
	static const char *const ids[] = {"a1", "a2", "a3", "a4"};

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		fixture_put_server(ids[i], "shop", CLOSED_ADDRESS, "ready");
	run_until(crashes, NULL, RETRY_GAP_MS);
}

/* A sound request waits at the server when the other one crashes it. */
static void crash_beside(struct crashes *crashes, const char *sound)
{
	struct fixture_response beside;

	backend_set_mode(*crashes->servers[0].backend, BACKEND_NO_RESPONSE);
	fixture_send(&beside, 0, "POST", "/order/x",
		     AUTH_HEADER "Request-Id: beside\r\n", sound);
	while (backend_runs(*crashes->servers[0].backend)->len == 0)
		run_until(crashes, NULL, 10);
	(void)try_once(crashes, 1, "POST", "/order/x");
	run_until(crashes, &beside.done, RESPONSE_TIMEOUT_MS);
	fixture_response_clear(&beside);
}

/* Guards against sound requests that are refused for good, since they were at
 * servers that others crashed. */
static void test_sound_request_is_tried_again(void **state)
{
	struct crashes crashes = {.body = BODY};
	int64_t deadline_ms;
	int status = 0;

	(void)state;
	set_up_servers(&crashes, false);
	leave_one_server(&crashes);
	while (crashes.count < CRASHES_MAX)
		crash_beside(&crashes, SOUND_BODY);
	crashes.body = SOUND_BODY;
	add_closed_servers(&crashes);
	assert_int_equal(try_once(&crashes, 0, "POST", "/order/x"), 503);
	deadline_ms = clock_boot_ms() + TRIAL_MS;
	for (int i = 0; status != 200 && clock_boot_ms() < deadline_ms; i++)
		status = try_once(&crashes, i % GATEWAY_COUNT, "POST",
				  "/order/x");
	assert_int_equal(status, 200);
	run_until(&crashes, NULL, CONTACT_MS);
	for (int i = 0; i < GATEWAY_COUNT; i++)
		assert_int_equal(try_once(&crashes, i, "POST", "/order/x"),
				 200);
	crashes.body = BODY;
	for (int i = 0; i < TRIES; i++)
		assert_int_equal(try_once(&crashes, i % GATEWAY_COUNT, "POST",
					  "/order/x"),
				 503);
	assert_int_equal(crashes.count, CRASHES_MAX);
}

/* Sends the request at once so often, and again when all have ended. */
static void try_concurrently(struct crashes *crashes, const char *method,
			     const char *path)
{
	struct fixture_response responses[CONCURRENT];

	for (int i = 0; i < CONCURRENT; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER "Request-Id: r%u\r\n", fx.next_id++);

		fixture_send(&responses[i], i % GATEWAY_COUNT, method, path,
			     headers, crashes->body ? crashes->body : "");
		g_free(headers);
	}
	for (int i = 0; i < CONCURRENT; i++) {
		run_until(crashes, &responses[i].done, RESPONSE_TIMEOUT_MS);
		fixture_response_clear(&responses[i]);
	}
	wait_for_servers(crashes);
}

static void test_many_tries_of_a_crashing_request(void **state)
{
	struct crashes crashes = {.body = NULL};
	guint before;

	(void)state;
	set_up_servers(&crashes, false);
	while (crashes.third_ms == 0)
		try_concurrently(&crashes, "GET", "/get/x");
	run_until(&crashes, NULL, CONTACT_MS);
	before = crashes.count;
	for (int i = 0; i < TRIES; i++)
		try_concurrently(&crashes, "GET", "/get/x");
	assert_in_range(crashes.count - before, 0, RETRIES_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_crashing_post),
		FIXTURE_TEST(test_crashing_request_without_body),
		FIXTURE_TEST(test_crash_in_a_stream),
		FIXTURE_TEST(test_crash_of_servers_that_fall_silent),
		FIXTURE_TEST(test_crash_of_servers_that_stay_listed),
		FIXTURE_TEST(test_crash_after_the_caller_left),
		FIXTURE_TEST(test_crash_of_a_server_that_keeps_its_id),
		FIXTURE_TEST(test_crash_over_carried_connections),
		FIXTURE_TEST(test_crashes_are_known_after_restarts),
		FIXTURE_TEST(test_crashes_are_known_after_a_kill_of_all),
		FIXTURE_TEST(test_crashes_are_known_to_a_late_instance),
		FIXTURE_TEST(test_crash_during_an_outage_of_the_store),
		FIXTURE_TEST(test_completed_request_is_cleared_everywhere),
		FIXTURE_TEST(test_cleared_request_after_lost_history),
		FIXTURE_TEST(test_crashes_are_forgotten_in_the_end),
		FIXTURE_TEST(test_sound_request_is_tried_again),
		FIXTURE_TEST(test_many_tries_of_a_crashing_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
