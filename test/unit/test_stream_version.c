/**
 * @file test_stream_version.c
 * @brief A stream goes on only at the software version that began it.
 *
 * The engines are e1, which begins the streams, and e2 and e3 at one address.
 * One of these has the version of e1. See fixture.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "test/gateway/fixture.h"

enum {
	LISTED_MS = 100, /* until all instances know of a server */
	/* The timeout of the route and the skew between two lists, and more. */
	WATCHED_MS = 5500,
	STREAM_LIMIT_MS = 3000, /* over all attempts, as the route's timeout */
	RESUME_GAP_MS = 100,
	AT_ONCE_MS = 300,
	AWAY_MS = 50, /* less than any timeout of the store */
};

#define HEADERS AUTH_HEADER TURN_HEADERS "Token-Budget: 100000\r\n"

/* The engine of another version than e1, in turn: whichever one a gateway would
 * choose by itself, it is wrong in one case. */
static const char *const others[] = {"e2", "e3"};

static void put_other(const char *other)
{
	fixture_put_engine(other, ENGINE_2_ADDRESS, "v2");
	fixture_run_until(NULL, LISTED_MS);
}

static void put_all_engines(const char *other)
{
	const char *same = strcmp(other, "e2") == 0 ? "e3" : "e2";

	fixture_put_engine(same, ENGINE_2_ADDRESS, FIXTURE_VERSION);
	put_other(other);
}

static void restart_gateway(int i)
{
	fixture_kill_gateway(i);
	fixture_start_gateway(i);
	for (int ms = 0; ms < RESPONSE_TIMEOUT_MS && !fixture_is_ready(i);
	     ms += 20)
		fixture_run_until(NULL, 20);
	fixture_run_until(NULL, LISTED_MS);
}

/* Returns the id of the server that a run was meant for. */
static const char *target_of(const struct backend_run *run)
{
	static const char name[] = "Target-Instance: ";
	static char id[8];

	g_strlcpy(id, strstr(run->headers, name) + strlen(name), sizeof(id));
	*strchr(id, '\n') = '\0';
	return id;
}

/* Returns the last run of a request, which has to exist. */
static const struct backend_run *last_run(const char *id)
{
	/* Streams begin at the first engine. */
	for (int i = 1; i >= 0; i--) {
		const GPtrArray *runs = backend_runs(fx.engines[i]);

		for (guint n = runs->len; n > 0; n--) {
			const struct backend_run *run =
				g_ptr_array_index(runs, n - 1);

			if (strcmp(run->id, id) == 0)
				return run;
		}
	}
	fail_msg("%s has not run", id);
	return NULL;
}

/* Begins a stream at e1, and runs the loop until its caller has the first
 * event.
 */
static void begin_stream(struct fixture_response *response, int gateway,
			 const char *id)
{
	char *headers = g_strdup_printf(HEADERS "Request-Id: %s\r\n", id);

	backend_set_mode(fx.engines[1], BACKEND_REFUSE);
	fixture_send(response, gateway, "POST", "/free/turn", headers, "x");
	for (int ms = 0; ms < RESPONSE_TIMEOUT_MS &&
			 strstr(response->body->str, "id: 1\n") == NULL;
	     ms++)
		fixture_run_until(&response->done, 1);
	assert_non_null(strstr(response->body->str, "id: 1\n"));
	assert_string_equal(target_of(last_run(id)), "e1");
	backend_set_mode(fx.engines[1], BACKEND_OK);
	g_free(headers);
}

/* Takes a stream up after its first event, as a caller does whose connection
 * broke. */
static void resume_stream(struct fixture_response *response, int gateway,
			  const char *id, const char *begun_as)
{
	char *headers = g_strdup_printf(HEADERS "Request-Id: %s\r\n"
						"Last-Event-Id: 1\r\n"
						"Resumes: %s\r\n",
					id, begun_as);

	fixture_send(response, gateway, "POST", "/free/turn", headers, "x");
	fixture_run_until(&response->done, RESPONSE_TIMEOUT_MS);
	assert_true(response->done);
	g_free(headers);
}

static void assert_resumed(const struct fixture_response *response)
{
	assert_int_equal(response->status, 200);
	assert_int_equal(response->end, UPSTREAM_COMPLETE);
	assert_true(g_str_has_prefix(response->body->str, "id: 2\n"));
	assert_non_null(strstr(response->body->str, "id: 4\n"));
}

/* The server breaks off, and the gateway goes on within the same response. */
static void test_one_version_within_a_response(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct fixture_response response;

		put_all_engines(others[i]);
		backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
		begin_stream(&response, 0, others[i]);
		fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
		assert_int_equal(response.end, UPSTREAM_COMPLETE);
		assert_int_equal(last_run(others[i])->last_event_id, 1);
		assert_string_not_equal(target_of(last_run(others[i])),
					others[i]);
		fixture_response_clear(&response);
	}
}

/* No server of the version is left: the stream is not joined from two. */
static void test_broken_stream_without_its_version(void **state)
{
	struct fixture_response response;

	(void)state;
	put_other("e2");
	backend_set_mode(fx.engines[0], BACKEND_TRUNCATE);
	begin_stream(&response, 0, "b");
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.end, UPSTREAM_INTERRUPTED);
	assert_int_equal(backend_runs(fx.engines[1])->len, 0);
	fixture_response_clear(&response);
}

/* A caller's connection breaks, and it goes on through another instance. */
static void test_one_version_over_two_attempts(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct fixture_response response;
		char *resumed = g_strdup_printf("r-%s", others[i]);

		put_all_engines(others[i]);
		begin_stream(&response, 0, others[i]);
		fixture_response_clear(&response);
		resume_stream(&response, 1, resumed, others[i]);
		assert_resumed(&response);
		assert_string_not_equal(target_of(last_run(resumed)),
					others[i]);
		fixture_response_clear(&response);
		g_free(resumed);
	}
}

/* The instance that began the stream dies with its caller's first event, and
 * the one that takes it up has not seen the versions come. */
static void test_version_outlives_the_instance(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct fixture_response response;
		char *resumed = g_strdup_printf("r-%s", others[i]);

		put_all_engines(others[i]);
		restart_gateway(1);
		begin_stream(&response, 0, others[i]);
		fixture_response_clear(&response);
		restart_gateway(0);
		resume_stream(&response, 1, resumed, others[i]);
		assert_resumed(&response);
		assert_string_not_equal(target_of(last_run(resumed)),
					others[i]);
		fixture_response_clear(&response);
		g_free(resumed);
	}
}

/* Guards against streams joined from two versions after a kill of all. */
static void test_two_versions_and_a_kill_of_all(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct fixture_response response;
		char *resumed = g_strdup_printf("r-%s", others[i]);

		put_all_engines(others[i]);
		begin_stream(&response, 0, others[i]);
		fixture_response_clear(&response);
		fixture_kill_all();
		resume_stream(&response, (int)i, resumed, others[i]);
		assert_resumed(&response);
		assert_string_not_equal(target_of(last_run(resumed)),
					others[i]);
		fixture_response_clear(&response);
		g_free(resumed);
	}
}

/* Takes a stream up until its time is over; it must never go on at e2. */
static void assert_not_resumed_at_e2(const char *begun_as, int64_t until_ms)
{
	struct fixture_response response;
	guint before = backend_runs(fx.engines[1])->len;
	int tries = 0;

	while (clock_boot_ms() < until_ms) {
		char *id = g_strdup_printf("r%d", tries);

		resume_stream(&response, tries++ % GATEWAY_COUNT, id, begun_as);
		assert_int_equal(backend_runs(fx.engines[1])->len, before);
		assert_int_equal(response.status, 503);
		fixture_response_clear(&response);
		fixture_run_until(NULL, RESUME_GAP_MS);
		g_free(id);
	}
	assert_in_range(tries, 2, G_MAXINT);
}

/* Begins a stream while there is one version, and returns when. */
static int64_t begin_unrecorded(const char *id)
{
	struct fixture_response response;
	int64_t begun_ms;

	fixture_run_until(NULL, WATCHED_MS);
	begun_ms = clock_boot_ms();
	begin_stream(&response, 0, id);
	fixture_response_clear(&response);
	return begun_ms;
}

/* The servers of the version that began the stream left before the kill: to the
 * instances that come back, the other version is the only one. */
static void test_version_that_left_before_a_kill_of_all(void **state)
{
	int64_t begun_ms = begin_unrecorded("b");

	(void)state;
	put_other("e2");
	rowstore_put(fx.store, "servers", "", "e1", NULL);
	fixture_run_until(NULL, LISTED_MS);
	fixture_kill_all();
	assert_not_resumed_at_e2("b", begun_ms + STREAM_LIMIT_MS);
}

/* The same, but both versions are there, and the stream has no record. */
static void test_unrecorded_stream_and_a_kill_of_all(void **state)
{
	int64_t begun_ms = begin_unrecorded("b");

	(void)state;
	put_other("e2");
	fixture_kill_all();
	assert_not_resumed_at_e2("b", begun_ms + STREAM_LIMIT_MS);
}

/* Begun while there was one version only, resumed when there are two. */
static void test_stream_from_before_the_second_version(void **state)
{
	struct fixture_response response;

	(void)state;
	fixture_run_until(NULL, WATCHED_MS);
	begin_stream(&response, 0, "b");
	fixture_response_clear(&response);
	/* Only its budget: the version is not stored. */
	assert_int_equal(rowstore_count_rows(fx.store, "aps-programs"), 1);
	put_other("e2");
	put_other("e3");
	resume_stream(&response, 1, "r", "b");
	assert_resumed(&response);
	assert_string_equal(target_of(last_run("r")), "e1");
	fixture_response_clear(&response);
}

/* With one version for as long as the stream may be old, it goes on without a
 * record. An instance that has just started can't tell. */
static void test_unknown_stream_with_one_version(void **state)
{
	struct fixture_response response;

	(void)state;
	resume_stream(&response, 1, "r1", "unknown");
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	fixture_response_clear(&response);
	fixture_run_until(NULL, WATCHED_MS);
	resume_stream(&response, 1, "r2", "unknown");
	assert_resumed(&response);
	fixture_response_clear(&response);
}

/* A stream that an instance has begun soon after its own start has a record. */
static void test_stream_of_a_new_instance(void **state)
{
	struct fixture_response response;

	(void)state;
	begin_stream(&response, 0, "b");
	fixture_response_clear(&response);
	resume_stream(&response, 1, "r", "b");
	assert_resumed(&response);
	fixture_response_clear(&response);
}

/* With two of them it is refused, at once and without a run. */
static void test_unknown_stream_with_two_versions(void **state)
{
	struct fixture_response response;
	int64_t start_ms;

	(void)state;
	put_all_engines("e2");
	restart_gateway(1);
	start_ms = clock_boot_ms();
	resume_stream(&response, 1, "r", "unknown");
	assert_in_range(clock_boot_ms() - start_ms, 0, AT_ONCE_MS);
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	assert_int_equal(backend_runs(fx.engines[0])->len +
				 backend_runs(fx.engines[1])->len,
			 0);
	fixture_response_clear(&response);
}

/* A version that can't be read is not guessed; while the store is known to be
 * away, no caller waits for it. */
static void test_version_in_an_unreachable_store(void **state)
{
	int64_t shortest_ms = RESPONSE_TIMEOUT_MS;

	(void)state;
	put_all_engines("e2");
	rowstore_set_mode(fx.store, ROWSTORE_NO_RESPONSE);
	for (int i = 0; i < 6; i++) {
		struct fixture_response response;
		int64_t start_ms = clock_boot_ms();

		resume_stream(&response, 1, "r", "unknown");
		shortest_ms = MIN(shortest_ms, clock_boot_ms() - start_ms);
		assert_int_equal(response.status, 503);
		assert_non_null(response.retry_after);
		fixture_response_clear(&response);
	}
	assert_in_range(shortest_ms, 0, AWAY_MS);
	assert_int_equal(backend_runs(fx.engines[0])->len +
				 backend_runs(fx.engines[1])->len,
			 0);
}

/* The rows of versions go with their program. */
static void test_version_rows_expire(void **state)
{
	struct fixture_response response;

	(void)state;
	put_all_engines("e2");
	begin_stream(&response, 0, "b");
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	fixture_response_clear(&response);
	/* The budget of the program, and the version. */
	assert_int_equal(rowstore_count_rows(fx.store, "aps-programs"), 2);
	rowstore_advance_clock(fx.store, 2000000);
	fixture_run_until(NULL, 1500);
	assert_int_equal(rowstore_count_rows(fx.store, "aps-programs"), 0);
}

/* None of the version's servers is left: refused rather than sent elsewhere. */
static void test_version_that_is_gone(void **state)
{
	struct fixture_response response;

	(void)state;
	put_other("e2");
	begin_stream(&response, 0, "b");
	fixture_response_clear(&response);
	rowstore_put(fx.store, "servers", "", "e1", NULL);
	fixture_run_until(NULL, LISTED_MS);
	resume_stream(&response, 1, "r", "b");
	assert_int_equal(response.status, 503);
	assert_int_equal(backend_runs(fx.engines[1])->len, 0);
	fixture_response_clear(&response);
}

/* No caller has an event of a stream whose version others can't learn. */
static void test_first_event_waits_for_the_version(void **state)
{
	struct fixture_response response;

	(void)state;
	put_all_engines("e2");
	/* The budget of the program is known and large from here on. */
	begin_stream(&response, 0, "a");
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	fixture_response_clear(&response);
	rowstore_set_delay(fx.store, 60);
	fixture_send(&response, 0, "POST", "/free/turn",
		     HEADERS "Request-Id: b\r\n", "x");
	fixture_run_until(&response.done, 50);
	assert_int_equal(response.body->len, 0);
	assert_non_null(last_run("b"));
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
}

/* Guards against an event of the second version that others would take for one
 * of the first: it is held back while its record can't be stored. */
static void test_young_mix_needs_the_record(void **state)
{
	struct fixture_response response;

	(void)state;
	put_all_engines("e2");
	begin_stream(&response, 0, "a");
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	fixture_response_clear(&response);
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	fixture_send(&response, 0, "POST", "/free/turn",
		     HEADERS "Request-Id: b\r\n", "x");
	fixture_run_until(&response.done, 500);
	assert_non_null(last_run("b"));
	assert_int_equal(response.body->len, 0);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_one_version_within_a_response),
		FIXTURE_TEST(test_broken_stream_without_its_version),
		FIXTURE_TEST(test_one_version_over_two_attempts),
		FIXTURE_TEST(test_version_outlives_the_instance),
		FIXTURE_TEST(test_two_versions_and_a_kill_of_all),
		FIXTURE_TEST(test_version_that_left_before_a_kill_of_all),
		FIXTURE_TEST(test_unrecorded_stream_and_a_kill_of_all),
		FIXTURE_TEST(test_stream_from_before_the_second_version),
		FIXTURE_TEST(test_unknown_stream_with_one_version),
		FIXTURE_TEST(test_stream_of_a_new_instance),
		FIXTURE_TEST(test_unknown_stream_with_two_versions),
		FIXTURE_TEST(test_young_mix_needs_the_record),
		FIXTURE_TEST(test_version_in_an_unreachable_store),
		FIXTURE_TEST(test_version_rows_expire),
		FIXTURE_TEST(test_version_that_is_gone),
		FIXTURE_TEST(test_first_event_waits_for_the_version),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
