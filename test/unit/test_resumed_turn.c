/**
 * @file test_resumed_turn.c
 * @brief Turns that are kept and whose streams are resumed.
 *
 * The route of these tests retains turns and may be resumed, and the data of
 * each event name its run. What a caller has is of one run, or of one that was
 * asked to go on after the caller's last event; and the next turn's server gets
 * just that. See fixture.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "test/gateway/fixture.h"

#define LOG_PATH "build/test_resumed_turn.log"
#define PATH "/free/slow/turn"

enum {
	LISTED_MS = 100,
	KNOWN_MS = 600, /* until the instances know each other's addresses */
	EVENTS = 8,
	GAP_MS = 30,
	SLOW_GAP_MS = 300,
	STEP_MS = 2,
	TEXT_MAX = 32,
	ATTEMPTS_MAX = 4,
	ENGINES = 2,
};

/* A caller of one turn, and what it has. */
struct caller {
	char events[EVENTS + 1][TEXT_MAX]; /* data, by id */
	int last;			   /* id of the last one; 0: none */
	bool whole;
	struct fixture_response response;
	char id[16]; /* of the present attempt */
	int after;   /* the last event before it */
};

/* Of all callers and tests. */
static int attempts;

/* Makes the turns of the route /free/ kept, and the second account unlimited.
 */
static int set_up(void **state)
{
	static const char from[] = "\"retain\":false,\"resumable\":true";
	static const char to[] =
		"\"retain\":true,\"retention_s\":60,\"resumable\":true";
	static const char limited[] = "\"rate_per_s\":2,\"burst\":2}";
	static const char unlimited[] = "\"rate_per_s\":0,\"burst\":0}";
	int rc = fixture_set_up(state);
	char *limit;
	char *old = rowstore_get(fx.store, "op", "", "config");
	const char *at = strstr(old, from);
	const char *routes = strchr(old, ',');
	char *text =
		g_strdup_printf("{\"version\":2%.*s%s%s", (int)(at - routes),
				routes, to, at + strlen(from));

	limit = strstr(text, limited);
	assert_non_null(limit);
	memcpy(limit, unlimited, strlen(unlimited));
	rowstore_put(fx.store, "op", "", "config", text);
	g_free(text);
	g_free(old);
	for (int i = 0; i < ENGINES; i++) {
		backend_set_long_streams(fx.engines[i], "/free/slow", EVENTS,
					 GAP_MS);
		backend_number_runs(fx.engines[i]);
	}
	fixture_run_until(NULL, KNOWN_MS);
	return rc;
}

#define RESUMED_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up, fixture_tear_down)

/* Takes the events of the present attempt, which follow the caller's without a
 * gap. */
static void take_events(struct caller *caller)
{
	const char *at = caller->response.body->str;
	int id;
	char data[TEXT_MAX];
	int taken = 0;

	while (sscanf(at, "id: %d\ndata: %31[^\n]\n\n%n", &id, data, &taken) ==
		       2 &&
	       taken > 0) {
		assert_int_equal(id, caller->last + 1);
		assert_in_range(id, 1, EVENTS);
		g_strlcpy(caller->events[id], data, TEXT_MAX);
		caller->last = id;
		at += taken;
		taken = 0;
	}
	caller->whole = caller->response.done &&
			caller->response.status == 200 &&
			caller->response.end == UPSTREAM_COMPLETE;
	fixture_response_clear(&caller->response);
}

/* Sends the turn, or takes it up if the caller has events; @p fields are
 * further lines of the header. */
static void send_turn(struct caller *caller, int gateway, const char *fields)
{
	char *resume = g_strdup_printf("Last-Event-Id: %d\r\n", caller->last);
	char *headers;

	caller->after = caller->last;
	g_snprintf(caller->id, sizeof(caller->id), "r%d", ++attempts);
	headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "%sRequest-Id: %s\r\n%s", fields,
		caller->id, caller->last > 0 ? resume : "");
	fixture_send(&caller->response, gateway, "POST", PATH, headers,
		     "one\n");
	g_free(headers);
	g_free(resume);
}

/* Runs until the caller has got @p id in the present attempt. */
static void run_until_event(struct caller *caller, int id)
{
	char *text = g_strdup_printf("id: %d\n", id);
	int ms;

	for (ms = 0; ms < RESPONSE_TIMEOUT_MS &&
		     strstr(caller->response.body->str, text) == NULL;
	     ms += STEP_MS)
		fixture_run_until(NULL, STEP_MS);
	assert_true(ms < RESPONSE_TIMEOUT_MS);
	g_free(text);
}

/* The gateway is lost; the caller has what it got until then. */
static void lose_gateway(struct caller *caller, int gateway)
{
	fixture_kill_gateway(gateway);
	fixture_run_until(&caller->response.done, RESPONSE_TIMEOUT_MS);
	take_events(caller);
	assert_false(caller->whole);
}

static void restart_gateway(int gateway)
{
	fixture_start_gateway(gateway);
	fixture_wait_until_ready();
	fixture_run_until(NULL, KNOWN_MS);
}

/* Begins the turn at gateway 0 and loses that after an event. */
static void begin_and_lose(struct caller *caller, int id)
{
	send_turn(caller, 0, "");
	run_until_event(caller, id);
	lose_gateway(caller, 0);
	assert_int_equal(caller->last, id);
}

static void resume_whole(struct caller *caller, int gateway, const char *fields)
{
	send_turn(caller, gateway, fields);
	fixture_run_until(&caller->response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(caller->response.status, 200);
	take_events(caller);
	assert_true(caller->whole);
	assert_int_equal(caller->last, EVENTS);
}

static void assert_refused(struct caller *caller, int gateway,
			   const char *fields)
{
	send_turn(caller, gateway, fields);
	fixture_run_until(&caller->response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(caller->response.status, 503);
	assert_non_null(caller->response.retry_after);
	fixture_response_clear(&caller->response);
}

/* Returns the run that an event is of. */
static const struct backend_run *run_of(const char *data)
{
	unsigned int engine;
	unsigned int run;
	int id;

	assert_int_equal(sscanf(data, "e%u.%u-%d", &engine, &run, &id), 3);
	assert_in_range(engine, 1, ENGINES);
	assert_in_range(run, 1, backend_runs(fx.engines[engine - 1])->len);
	return g_ptr_array_index(backend_runs(fx.engines[engine - 1]), run - 1);
}

/* Each event is of the run of the one before, or of a run that was asked to go
 * on after that one. */
static void check_runs(const struct caller *caller)
{
	for (int i = 1; i <= caller->last; i++) {
		const struct backend_run *run = run_of(caller->events[i]);

		if (i == 1)
			assert_int_equal(run->last_event_id, -1);
		else if (run != run_of(caller->events[i - 1]))
			assert_int_equal(run->last_event_id, i - 1);
	}
}

static const struct backend_run *find_run(const char *id)
{
	for (int i = 0; i < ENGINES; i++) {
		const GPtrArray *runs = backend_runs(fx.engines[i]);

		for (guint n = 0; n < runs->len; n++) {
			const struct backend_run *run =
				g_ptr_array_index(runs, n);

			if (strcmp(run->id, id) == 0)
				return run;
		}
	}
	return NULL;
}

/* Continues the turn: its server gets what the caller has, and nothing else. */
static void check_next_turn(const struct caller *caller, int gateway)
{
	struct fixture_response response;
	GString *expected = g_string_new("one\n");
	char *id = g_strdup_printf("next-%s", caller->id);
	char *headers =
		g_strdup_printf(AUTH_HEADER TURN_HEADERS
				"Request-Id: %s\r\nPrevious-Turn: %s\r\n",
				id, caller->id);

	check_runs(caller);
	for (int i = 1; i <= caller->last; i++)
		g_string_append_printf(expected, "%s\n", caller->events[i]);
	g_string_append(expected, "two\n");
	fixture_request(&response, gateway, "/free/turn", headers, "two\n");
	assert_int_equal(response.status, 200);
	assert_non_null(find_run(id));
	assert_string_equal(find_run(id)->body, expected->str);
	fixture_response_clear(&response);
	g_string_free(expected, TRUE);
	g_free(headers);
	g_free(id);
}

/* Streams last long enough for an instance to be restarted. */
static void slow_down(void)
{
	for (int i = 0; i < ENGINES; i++)
		backend_set_long_streams(fx.engines[i], "/free/slow", EVENTS,
					 SLOW_GAP_MS);
}

/* Guards against pieces of a run that was not asked to go on after the caller's
 * last event, and against a history that its caller does not have. */
static void test_resumed_after_a_kill(void **state)
{
	struct caller caller = {0};

	(void)state;
	begin_and_lose(&caller, 3);
	resume_whole(&caller, 1, "");
	check_next_turn(&caller, 1);
}

/* The same if the caller names the attempt that it takes up. */
static void test_resumed_by_name(void **state)
{
	struct caller caller = {0};
	char *resumes;

	(void)state;
	begin_and_lose(&caller, 3);
	resumes = g_strdup_printf("Resumes: %s\r\n", caller.id);
	resume_whole(&caller, 1, resumes);
	check_next_turn(&caller, 1);
	g_free(resumes);
}

/* The same if the caller has all events but not the end: the turn waits for the
 * store when its gateway is lost. */
static void test_all_events_but_the_end(void **state)
{
	struct caller caller = {0};

	(void)state;
	send_turn(&caller, 0, "");
	run_until_event(&caller, EVENTS - 1);
	rowstore_set_delay(fx.store, 300);
	run_until_event(&caller, EVENTS);
	fixture_run_until(NULL, 2 * GAP_MS);
	lose_gateway(&caller, 0);
	rowstore_set_delay(fx.store, 0);
	assert_int_equal(caller.last, EVENTS);
	resume_whole(&caller, 1, "");
	check_next_turn(&caller, 1);
}

/* The same twice in a row: the gateway that goes on is lost too. */
static void test_resumed_twice(void **state)
{
	struct caller caller = {0};

	(void)state;
	slow_down();
	begin_and_lose(&caller, 2);
	send_turn(&caller, 1, "");
	run_until_event(&caller, 4);
	restart_gateway(0);
	/* The copy goes to the new instance from its beginning. */
	lose_gateway(&caller, 1);
	assert_in_range(caller.last, 4, EVENTS - 1);
	restart_gateway(1);
	resume_whole(&caller, 0, "");
	check_next_turn(&caller, 1);
}

/* Guards against a copy that is lost with the instance that keeps it, while the
 * stream goes on. */
static void test_holder_is_replaced(void **state)
{
	struct caller caller = {0};

	(void)state;
	slow_down();
	send_turn(&caller, 0, "");
	run_until_event(&caller, 2);
	fixture_kill_gateway(1);
	restart_gateway(1);
	run_until_event(&caller, 6);
	lose_gateway(&caller, 0);
	resume_whole(&caller, 1, "");
	check_next_turn(&caller, 1);
}

/* The connection broke, and the gateway lives: it is taken up there, or at the
 * other one. */
static void test_broken_connection(void **state)
{
	(void)state;
	for (int gateway = 0; gateway < GATEWAY_COUNT; gateway++) {
		struct caller caller = {0};

		send_turn(&caller, 0, "");
		run_until_event(&caller, 3);
		take_events(&caller);
		fixture_run_until(NULL, GAP_MS);
		resume_whole(&caller, gateway, "");
		check_next_turn(&caller, 1 - gateway);
		/* The same turn again, by another caller. */
		fixture_run_until(NULL, LISTED_MS);
		fixture_kill_all();
		fixture_run_until(NULL, KNOWN_MS);
	}
}

/* Guards against events of the first attempt that its caller did not get, at
 * the instance that passed them on: the caller has others, of a later attempt.
 */
static void test_back_at_the_first_instance(void **state)
{
	(void)state;
	for (int named = 0; named < 2; named++) {
		struct caller caller = {0};
		char *resumes;

		send_turn(&caller, 0, "");
		resumes = g_strdup_printf("Resumes: %s\r\n", caller.id);
		run_until_event(&caller, 5);
		take_events(&caller);
		/* The others got lost on the way. */
		caller.last = 2;
		send_turn(&caller, 1, named ? resumes : "");
		run_until_event(&caller, 4);
		take_events(&caller);
		assert_in_range(caller.last, 4, 5);
		fixture_run_until(NULL, GAP_MS);
		resume_whole(&caller, 0, named ? resumes : "");
		check_next_turn(&caller, 1);
		g_free(resumes);
		fixture_kill_all();
		fixture_run_until(NULL, KNOWN_MS);
	}
}

/* Servers break off too: a gateway goes on within a response, before and after
 * its caller takes the stream up. */
static void test_resumed_here_and_by_the_caller(void **state)
{
	struct caller caller = {0};

	(void)state;
	fixture_put_engine("e2", ENGINE_2_ADDRESS, FIXTURE_VERSION);
	fixture_run_until(NULL, LISTED_MS);
	backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
	backend_set_mode(fx.engines[1], BACKEND_TRUNCATE);
	send_turn(&caller, 0, "");
	run_until_event(&caller, 1);
	backend_set_mode(fx.engines[0], BACKEND_OK);
	backend_set_mode(fx.engines[1], BACKEND_OK);
	run_until_event(&caller, 4);
	lose_gateway(&caller, 0);
	resume_whole(&caller, 1, "");
	check_next_turn(&caller, 1);
}

/* Guards against a run that is made up for a stream which nobody knows. */
static void test_unknown_stream(void **state)
{
	struct caller caller = {.last = 2};
	guint runs = backend_runs(fx.engines[0])->len;

	(void)state;
	assert_refused(&caller, 1, "");
	assert_refused(&caller, 1, "Resumes: nobody\r\n");
	assert_int_equal(backend_runs(fx.engines[0])->len, runs);
}

/* The same once all that knew it are lost, and for events that they have not
 * passed on; the caller begins the turn anew. */
static void test_all_are_lost(void **state)
{
	struct caller caller = {0};
	struct caller anew = {0};

	(void)state;
	begin_and_lose(&caller, 3);
	caller.last = EVENTS - 1;
	assert_refused(&caller, 1, "");
	caller.last = 3;
	fixture_kill_gateway(1);
	restart_gateway(0);
	restart_gateway(1);
	assert_refused(&caller, 1, "");
	resume_whole(&anew, 1, "");
	check_next_turn(&anew, 0);
}

/* Guards against the text of one attempt in the history of another one: callers
 * that say which one they mean are served, others refused. */
static void test_two_attempts(void **state)
{
	struct caller first = {0};
	struct caller second = {0};
	char *resumes;

	(void)state;
	send_turn(&first, 0, "");
	run_until_event(&first, 3);
	take_events(&first);
	send_turn(&second, 1, "");
	run_until_event(&second, 3);
	take_events(&second);
	fixture_run_until(NULL, GAP_MS);
	resumes = g_strdup_printf("Resumes: %s\r\n", second.id);
	assert_refused(&second, 0, "");
	resume_whole(&second, 0, resumes);
	check_next_turn(&second, 1);
	g_free(resumes);
	resumes = g_strdup_printf("Resumes: %s\r\n", first.id);
	/* The present id of the first caller is that of its first attempt. */
	resume_whole(&first, 1, resumes);
	check_next_turn(&first, 0);
	g_free(resumes);
}

/* Guards against another account, program or input that gets the copy. */
static void test_other_turns_do_not_match(void **state)
{
	struct caller caller = {0};
	struct fixture_response response;

	(void)state;
	begin_and_lose(&caller, 3);
	fixture_request(&response, 1, PATH,
			AUTH_HEADER "Program-Id: q\r\nSession-Id: s\r\n"
				    "Token-Usage: 10,60\r\nRequest-Id: o1\r\n"
				    "Last-Event-Id: 3\r\n",
			"one\n");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	fixture_request(&response, 1, PATH,
			AUTH_HEADER TURN_HEADERS "Request-Id: o2\r\n"
						 "Last-Event-Id: 3\r\n",
			"other\n");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	fixture_request(&response, 1, PATH,
			"Authorization: Bearer key-2\r\n" TURN_HEADERS
			"Request-Id: o3\r\nLast-Event-Id: 3\r\n",
			"one\n");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	/* It is still there. */
	resume_whole(&caller, 1, "");
	assert_null(find_run("o3"));
}

/* The tokens of each event count once: 80 for the turn and its resumption, and
 * 60 for the most of another turn. */
static void test_budget_of_a_resumed_turn(void **state)
{
	static const char budget[] = "Token-Budget: 140\r\n";
	struct caller caller = {0};
	struct caller next = {0};

	(void)state;
	send_turn(&caller, 0, budget);
	run_until_event(&caller, 4);
	take_events(&caller);
	fixture_run_until(NULL, GAP_MS);
	resume_whole(&caller, 0, budget);
	fixture_run_until(NULL, LISTED_MS);
	send_turn(&next, 0, budget);
	run_until_event(&next, 1);
	take_events(&next);
}

/* A route that retains turns and may not be resumed. */
static void test_route_that_may_not_be_resumed(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: k1\r\n", "one\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: k2\r\nLast-Event-Id: 2\r\n",
			"one\n");
	assert_int_equal(response.status, 503);
	fixture_response_clear(&response);
	assert_null(find_run("k2"));
}

/* Returns a counter of the process. */
static long read_metric(const char *name)
{
	struct fixture_response response;
	const char *at;
	long value = -1;

	fixture_get(&response, 0, 4, "/metrics");
	at = strstr(response.body->str, name);
	if (at != NULL)
		value = strtol(at + strlen(name), NULL, 10);
	fixture_response_clear(&response);
	return value;
}

/* Guards against copies of what needs none. */
static void test_other_routes_are_not_copied(void **state)
{
	static const char name[] = "apricotshift_copies_events_total ";
	struct fixture_response response;
	struct caller caller = {0};
	long before = read_metric(name);

	(void)state;
	assert_true(before >= 0);
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: c1\r\n", "one\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	assert_int_equal(read_metric(name), before);
	resume_whole(&caller, 0, "");
	assert_int_equal(read_metric(name), before + EVENTS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		RESUMED_TEST(test_resumed_after_a_kill),
		RESUMED_TEST(test_resumed_by_name),
		RESUMED_TEST(test_all_events_but_the_end),
		RESUMED_TEST(test_resumed_twice),
		RESUMED_TEST(test_holder_is_replaced),
		RESUMED_TEST(test_broken_connection),
		RESUMED_TEST(test_back_at_the_first_instance),
		RESUMED_TEST(test_resumed_here_and_by_the_caller),
		RESUMED_TEST(test_unknown_stream),
		RESUMED_TEST(test_all_are_lost),
		RESUMED_TEST(test_two_attempts),
		RESUMED_TEST(test_other_turns_do_not_match),
		RESUMED_TEST(test_budget_of_a_resumed_turn),
		RESUMED_TEST(test_route_that_may_not_be_resumed),
		RESUMED_TEST(test_other_routes_are_not_copied),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
