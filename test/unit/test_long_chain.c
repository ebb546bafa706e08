/**
 * @file test_long_chain.c
 * @brief Gateway instances and chains of turns larger than their memory.
 *
 * See fixture.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "test/gateway/fixture.h"

#define LOG_PATH "build/test_long_chain.log"

/* A history that takes several transactions to write and pages to read. */
static void test_long_history(void **state)
{
	enum { HISTORY_BYTES = 1500000 };
	char *body = g_strnfill(HISTORY_BYTES, 'x');
	const struct backend_run *run;
	struct fixture_response response;

	(void)state;
	body[HISTORY_BYTES - 1] = '\n';
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER TURN_HEADERS "Request-Id: t1\r\n", body);
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	fixture_request(&response, 1, "/kept/turn",
			AUTH_HEADER TURN_HEADERS
			"Request-Id: t2\r\nPrevious-Turn: t1\r\n",
			"two\n");
	assert_int_equal(response.status, 200);
	run = g_ptr_array_index(backend_runs(fx.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, body));
	assert_true(g_str_has_suffix(run->body, "two\n"));
	fixture_response_clear(&response);
	g_free(body);
}

enum {
	LINE_TURNS = 6,
	BRANCHES = 2, /* turns beside each of them that nothing continues */
	SMALL_CACHE_KB = 1024,
	TURN_BYTES = 100000,
	LONG_TURN_BYTES = 300000,
	OUTPUT_BYTES = 20, /* of each turn */
	LITTLE_MEMORY_KB = 64,
};

/* Starts both instances again, with a cache that is smaller than the programs
 * here. */
static void restart_with_small_cache(void)
{
	for (int i = 0; i < GATEWAY_COUNT; i++)
		fx.settings[i].cache_kb = SMALL_CACHE_KB;
	fixture_kill_all();
}

/* Sends a turn with an input of @p bytes, which begins with its own id. */
static void send_turn(int gateway, const char *id, const char *previous,
		      size_t bytes)
{
	struct fixture_response response;
	char *body = g_strnfill(bytes, 'x');
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: %s\r\n%s%s%s", id,
		previous ? "Previous-Turn: " : "", previous ? previous : "",
		previous ? "\r\n" : "");

	memcpy(body, id, strlen(id));
	body[bytes - 1] = '\n';
	fixture_request(&response, gateway, "/kept/turn", headers, body);
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	g_free(headers);
	g_free(body);
}

/* Sends turns l1 to l6, each of which continues the one before. */
static void send_line(int gateway, int branches, size_t bytes)
{
	for (int i = 1; i <= LINE_TURNS; i++) {
		char id[8];
		char previous[8];

		g_snprintf(previous, sizeof(previous), "l%d", i - 1);
		g_snprintf(id, sizeof(id), "l%d", i);
		send_turn(gateway, id, i > 1 ? previous : NULL, bytes);
		for (int j = 0; j < branches; j++) {
			char branch[8];

			g_snprintf(branch, sizeof(branch), "b%d-%d", i, j);
			send_turn(gateway, branch, id, bytes);
		}
	}
}

/* Checks that the last run got the inputs and outputs of turns l1 to l6, each
 * input of @p bytes, and then its own input "last\n". */
static void assert_line_received(size_t bytes)
{
	const GPtrArray *runs = backend_runs(fx.engines[0]);
	const struct backend_run *run = g_ptr_array_index(runs, runs->len - 1);
	const char *at = run->body;

	for (int i = 1; i <= LINE_TURNS; i++) {
		static const char output[] = "e1-1\ne1-2\ne1-3\ne1-4\n";
		char id[8];

		g_snprintf(id, sizeof(id), "l%dx", i);
		assert_true(strlen(at) > bytes + strlen(output));
		assert_memory_equal(at, id, strlen(id));
		at += bytes;
		assert_memory_equal(at, output, strlen(output));
		at += strlen(output);
	}
	assert_string_equal(at, "last\n");
}

/* Continues turn l6 in a program, and checks what its server gets. */
static void check_program_continues(int gateway, const char *program,
				    size_t bytes)
{
	struct fixture_response response;
	char *headers = g_strdup_printf(
		AUTH_HEADER "Program-Id: %s\r\nSession-Id: s\r\n"
			    "Token-Usage: 10,60\r\n"
			    "Request-Id: last\r\nPrevious-Turn: l6\r\n",
		program);

	fixture_request(&response, gateway, "/kept/turn", headers, "last\n");
	assert_int_equal(response.status, 200);
	assert_int_equal(response.end, UPSTREAM_COMPLETE);
	fixture_response_clear(&response);
	g_free(headers);
	assert_line_received(bytes);
}

static void check_line_continues(int gateway, size_t bytes)
{
	check_program_continues(gateway, "p", bytes);
}

/* Guards against a turn that no other instance can continue, as the turns of
 * its program are more than the cache holds and evict each other while they are
 * read. */
static void test_program_larger_than_the_cache(void **state)
{
	(void)state;
	restart_with_small_cache();
	send_line(0, BRANCHES, TURN_BYTES);
	check_line_continues(1, TURN_BYTES);
}

/* The same with a line of turns that is larger by itself, at both instances. */
static void test_line_larger_than_the_cache(void **state)
{
	(void)state;
	restart_with_small_cache();
	send_line(0, 0, LONG_TURN_BYTES);
	check_line_continues(0, LONG_TURN_BYTES);
	fixture_kill_all();
	check_line_continues(1, LONG_TURN_BYTES);
}

/* The same with a turn of another program, which the index has to name. */
static void test_large_program_of_another(void **state)
{
	(void)state;
	restart_with_small_cache();
	send_line(0, 1, LONG_TURN_BYTES);
	check_program_continues(1, "q", LONG_TURN_BYTES);
}

/* Starts both instances again with memory for less than one turn of a chain. */
static void restart_with_little_memory(void)
{
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		fx.settings[i].cache_kb = LITTLE_MEMORY_KB;
		fx.settings[i].load_kb = LITTLE_MEMORY_KB;
	}
	fixture_kill_all();
}

/* Guards against a chain that was answered whole and can't be continued, as it
 * is longer than the memory for histories: the turn is refused for good. */
static void test_chain_larger_than_the_memory(void **state)
{
	(void)state;
	restart_with_little_memory();
	send_line(0, 1, LONG_TURN_BYTES);
	check_line_continues(0, LONG_TURN_BYTES);
	check_line_continues(1, LONG_TURN_BYTES);
	fixture_kill_all();
	check_line_continues(1, LONG_TURN_BYTES);
}

/* The same while another chain takes up all of that memory. */
static void test_two_chains_share_the_memory(void **state)
{
	struct fixture_response responses[2];

	(void)state;
	send_line(0, 0, LONG_TURN_BYTES);
	fx.settings[1].cache_kb = SMALL_CACHE_KB;
	fx.settings[1].load_kb = SMALL_CACHE_KB * 2;
	fixture_kill_gateway(1);
	fixture_start_gateway(1);
	fixture_wait_until_ready();
	for (int i = 0; i < 2; i++)
		fixture_send(&responses[i], 1, "POST", "/kept/turn",
			     i ? AUTH_HEADER TURN_HEADERS
				     "Request-Id: m1\r\nPrevious-Turn: l5\r\n"
			       : AUTH_HEADER TURN_HEADERS
				     "Request-Id: m0\r\nPrevious-Turn: l6\r\n",
			     "last\n");
	for (int i = 0; i < 2; i++) {
		fixture_run_until(&responses[i].done, RESPONSE_TIMEOUT_MS);
		assert_int_equal(responses[i].status, 200);
		fixture_response_clear(&responses[i]);
	}
	check_line_continues(1, LONG_TURN_BYTES);
}

/* The same with a turn that a server refuses: the next one gets all of it. */
static void test_long_chain_is_sent_again(void **state)
{
	const struct backend_run *run;

	(void)state;
	restart_with_little_memory();
	send_line(0, 0, LONG_TURN_BYTES);
	fixture_put_engine("e2", ENGINE_2_ADDRESS, FIXTURE_VERSION);
	fixture_run_until(NULL, 100);
	backend_set_mode(fx.engines[0], BACKEND_REFUSE);
	send_turn(1, "m1", "l6", TURN_BYTES);
	assert_int_equal(backend_runs(fx.engines[1])->len, 1);
	run = g_ptr_array_index(backend_runs(fx.engines[1]), 0);
	assert_int_equal(strlen(run->body),
			 LINE_TURNS * (LONG_TURN_BYTES + OUTPUT_BYTES) +
				 TURN_BYTES);
	backend_set_mode(fx.engines[0], BACKEND_OK);
	backend_set_mode(fx.engines[1], BACKEND_REFUSE);
	check_line_continues(1, LONG_TURN_BYTES);
}

/* The store fails while a history is read from it: the server has not got the
 * whole request, so it has not run and may be sent again. */
static void test_store_fails_within_a_history(void **state)
{
	enum { READ_MS = 60, PASS_READS = 2, TURN_READS = 2 };
	struct fixture_response response;
	guint runs;

	(void)state;
	restart_with_little_memory();
	send_line(0, 0, LONG_TURN_BYTES);
	runs = backend_runs(fx.engines[0])->len;
	rowstore_set_delay(fx.store, READ_MS);
	fixture_send(&response, 1, "POST", "/kept/turn",
		     AUTH_HEADER TURN_HEADERS
		     "Request-Id: last\r\nPrevious-Turn: l6\r\n",
		     "last\n");
	fixture_run_until(NULL, READ_MS * (PASS_READS + TURN_READS));
	rowstore_set_mode(fx.store, ROWSTORE_UNAVAILABLE);
	fixture_run_until(&response.done, RESPONSE_TIMEOUT_MS);
	assert_int_equal(response.status, 503);
	assert_non_null(response.retry_after);
	fixture_response_clear(&response);
	rowstore_set_mode(fx.store, ROWSTORE_OK);
	rowstore_set_delay(fx.store, 0);
	fixture_run_until(NULL, 500);
	assert_int_equal(backend_runs(fx.engines[0])->len, runs);
	check_line_continues(1, LONG_TURN_BYTES);
}

/* A program that continues a long line of another one refers to it: the rows of
 * the other program stay for as long, and a third program may go on. */
static void test_long_history_of_another_program_stays(void **state)
{
	enum {
		EXPIRY_MS = 1230000, /* of a program after its first turn */
		LATER_MS = 600000,   /* beyond it, and its margin */
		SWEEP_MS = 1500,
	};
	static const char end[] = "last\ne1-1\ne1-2\ne1-3\ne1-4\nthird\n";
	const struct backend_run *run;
	struct fixture_response response;

	(void)state;
	restart_with_little_memory();
	send_line(0, 0, LONG_TURN_BYTES);
	rowstore_advance_clock(fx.store, EXPIRY_MS - 30000);
	fixture_run_until(NULL, SWEEP_MS);
	check_program_continues(1, "q", LONG_TURN_BYTES);
	rowstore_advance_clock(fx.store, LATER_MS);
	fixture_run_until(NULL, SWEEP_MS);
	fixture_kill_all();
	fixture_request(&response, 0, "/kept/turn",
			AUTH_HEADER "Program-Id: r\r\nSession-Id: r\r\n"
				    "Token-Usage: 10,60\r\n"
				    "Request-Id: third\r\n"
				    "Previous-Turn: last\r\n",
			"third\n");
	assert_int_equal(response.status, 200);
	fixture_response_clear(&response);
	run = g_ptr_array_index(backend_runs(fx.engines[0]),
				backend_runs(fx.engines[0])->len - 1);
	assert_true(g_str_has_prefix(run->body, "l1"));
	assert_true(g_str_has_suffix(run->body, end));
	assert_int_equal(strlen(run->body),
			 LINE_TURNS * (LONG_TURN_BYTES + OUTPUT_BYTES) +
				 strlen(end));
}

/* Several programs continue one turn at once: its rows are read for one of
 * them. If that one's caller leaves, the others must not wait for it. */
static void test_reader_of_a_shared_history_leaves(void **state)
{
	enum { READ_MS = 100, CALLERS = 4 };
	struct fixture_response responses[CALLERS];

	(void)state;
	send_line(0, 0, LONG_TURN_BYTES);
	fixture_kill_gateway(1);
	fixture_start_gateway(1);
	fixture_wait_until_ready();
	rowstore_set_delay(fx.store, READ_MS);
	for (int i = 0; i < CALLERS; i++) {
		char *headers = g_strdup_printf(
			AUTH_HEADER "Program-Id: m%d\r\nSession-Id: m%d\r\n"
				    "Token-Usage: 10,60\r\n"
				    "Request-Id: m%d\r\nPrevious-Turn: l6\r\n",
			i, i, i);

		fixture_send(&responses[i], 1, "POST", "/kept/turn", headers,
			     "last\n");
		g_free(headers);
	}
	/* Own rows and the index have been read, the other program's not. */
	fixture_run_until(NULL, 2 * READ_MS + READ_MS / 2);
	fixture_response_clear(&responses[0]);
	rowstore_set_delay(fx.store, 0);
	for (int i = 1; i < CALLERS; i++) {
		fixture_run_until(&responses[i].done, RESPONSE_TIMEOUT_MS);
		assert_int_equal(responses[i].status, 200);
		fixture_response_clear(&responses[i]);
	}
	assert_line_received(LONG_TURN_BYTES);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_long_history),
		FIXTURE_TEST(test_program_larger_than_the_cache),
		FIXTURE_TEST(test_line_larger_than_the_cache),
		FIXTURE_TEST(test_large_program_of_another),
		FIXTURE_TEST(test_chain_larger_than_the_memory),
		FIXTURE_TEST(test_two_chains_share_the_memory),
		FIXTURE_TEST(test_long_chain_is_sent_again),
		FIXTURE_TEST(test_store_fails_within_a_history),
		FIXTURE_TEST(test_long_history_of_another_program_stays),
		FIXTURE_TEST(test_reader_of_a_shared_history_leaves),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
