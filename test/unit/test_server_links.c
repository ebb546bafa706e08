/**
 * @file test_server_links.c
 * @brief An instance that loses its links to the backend servers.
 *
 * See fixture.h. Instance 0 reaches the servers through proxies on other
 * addresses, which can fail; instance 1 reaches them directly. Users state that
 * the callers of an instance without links are served at least two thirds as
 * often as those of the others, from some seconds after the links were lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "test/gateway/fixture.h"
#include "test/gateway/links.h"

#define LOG_PATH "build/test_server_links.log"

enum {
	LEARN_MS = 3000, /* until callers must be served again */
	CALL_GAP_MS = 100,
	CALLS = 30, /* counted, of each kind */
};

/* Lists the servers, which instance 0 reaches over its links. */
static struct links *open_links(void)
{
	static const struct {
		const char *id;
		const char *service;
		const char *address;
	} servers[] = {
		{"e1", "engines", ENGINE_1_ADDRESS},
		{"e2", "engines", ENGINE_2_ADDRESS},
		{"s1", "shop", SERVICE_1_ADDRESS},
		{"s2", "shop", SERVICE_2_ADDRESS},
	};
	struct links *links = links_open();

	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		fixture_put_server(servers[i].id, servers[i].service,
				   servers[i].address, "ready");
	fixture_run_until(NULL, 300);
	return links;
}

/* Sends a request to instance 0; returns whether it was served. */
static bool call(const char *path, const char *id)
{
	struct fixture_response response;
	char *headers = g_strdup_printf(
		AUTH_HEADER TURN_HEADERS "Request-Id: %s\r\n", id);
	bool served;

	fixture_request(&response, 0, path, headers, "x");
	served = response.status == 200;
	fixture_response_clear(&response);
	g_free(headers);
	return served;
}

/* Calls now and then while the loss is noticed. */
static void call_for(int64_t ms, const char *name)
{
	int64_t end_ms = clock_boot_ms() + ms;

	for (int i = 0; clock_boot_ms() < end_ms; i++) {
		char *id = g_strdup_printf("%s%d", name, i);

		(void)call("/get/1", id);
		g_free(id);
		fixture_run_until(NULL, CALL_GAP_MS);
	}
}

/* Returns how many calls of a kind were served. */
static int count_served(const char *path, const char *name)
{
	int served = 0;

	for (int i = 0; i < CALLS; i++) {
		char *id = g_strdup_printf("%s%d", name, i);

		served += call(path, id);
		g_free(id);
	}
	return served;
}

static void check_link_fault(enum link_fault fault)
{
	struct links *links = open_links();

	assert_int_equal(count_served("/get/1", "a"), CALLS);
	links_cut(links, fault);
	call_for(LEARN_MS, "b");
	/* Instance 1 serves all, so at least two thirds of these. */
	assert_in_range(count_served("/get/1", "c"), CALLS * 2 / 3, CALLS);
	assert_in_range(count_served("/order/1", "d"), CALLS * 2 / 3, CALLS);
	assert_in_range(count_served("/free/turn", "e"), CALLS * 2 / 3, CALLS);
	links_restore(links);
	call_for(LEARN_MS, "f");
	assert_in_range(count_served("/order/1", "g"), CALLS * 2 / 3, CALLS);
	links_close(links);
}

static void test_callers_fail_while_links_refuse(void **state)
{
	(void)state;
	check_link_fault(LINK_REFUSES);
}

static void test_callers_fail_while_links_hang(void **state)
{
	(void)state;
	check_link_fault(LINK_HANGS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_callers_fail_while_links_refuse),
		FIXTURE_TEST(test_callers_fail_while_links_hang),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
