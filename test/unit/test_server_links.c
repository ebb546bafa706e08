/**
 * @file test_server_links.c
 * @brief An instance that loses its links to the backend servers.
 *
 * See fixture.h. Instance 0 reaches the servers through proxies on other
 * addresses, which can fail; instance 1 reaches them directly. Users state that
 * the callers of an instance without links are served at least two thirds as
 * often as those of the others, from some seconds after the links were lost.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "test/gateway/fixture.h"
#include "test/soak/proxy.h"

#define LOG_PATH "build/test_server_links.log"
#define DIRECT_PREFIX "127.0.0.1:1840"
#define LINK_PREFIX "127.0.0.2:1840"

enum {
	LINK_COUNT = 4,
	FIRST_PORT = 18401,
	LEARN_MS = 3000, /* until callers must be served again */
	CALL_GAP_MS = 100,
	CALLS = 30, /* counted, of each kind */
	TARPIT_CONNS = 4,
};

static const char *const server_ids[LINK_COUNT] = {"e1", "e2", "s1", "s2"};

/* How the links of instance 0 fail. */
enum link_fault {
	LINK_REFUSES, /* new connections are refused, and kept ones closed */
	LINK_HANGS,   /* new connections are never established */
};

struct links {
	struct proxy *proxies[LINK_COUNT];
	int tarpits[LINK_COUNT];
	int tarpit_conns[LINK_COUNT][TARPIT_CONNS];
};

static char *server_address(const char *prefix, int i)
{
	return g_strdup_printf("%s%d", prefix, FIRST_PORT % 10 + i);
}

static struct links *links_open(void)
{
	struct links *links = g_new0(struct links, 1);

	rowstore_set_alternate_host(fx.store, DIRECT_PREFIX, LINK_PREFIX);
	for (int i = 0; i < LINK_COUNT; i++) {
		char *address = server_address(LINK_PREFIX, i);
		char *target = server_address(DIRECT_PREFIX, i);

		links->proxies[i] = proxy_create(fx.base, address, target);
		assert_non_null(links->proxies[i]);
		links->tarpits[i] = -1;
		fixture_put_server(server_ids[i], i < 2 ? "engines" : "shop",
				   target, "ready");
		g_free(address);
		g_free(target);
	}
	fixture_run_until(NULL, 300);
	return links;
}

/* Listens on the address of a link, with a queue that is full. */
static void open_tarpit(struct links *links, int i)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port =
					   htons((uint16_t)(FIRST_PORT + i))};
	int one = 1;

	inet_pton(AF_INET, "127.0.0.2", &addr.sin_addr);
	links->tarpits[i] = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(links->tarpits[i], SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	assert_int_equal(
		bind(links->tarpits[i], (struct sockaddr *)&addr, sizeof(addr)),
		0);
	assert_int_equal(listen(links->tarpits[i], 0), 0);
	for (int n = 0; n < TARPIT_CONNS; n++) {
		links->tarpit_conns[i][n] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(links->tarpit_conns[i][n],
			      (struct sockaddr *)&addr, sizeof(addr));
	}
}

static void close_tarpit(struct links *links, int i)
{
	if (links->tarpits[i] < 0)
		return;
	close(links->tarpits[i]);
	for (int n = 0; n < TARPIT_CONNS; n++)
		close(links->tarpit_conns[i][n]);
	links->tarpits[i] = -1;
}

static void links_cut(struct links *links, enum link_fault fault)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		proxy_destroy(links->proxies[i]);
		links->proxies[i] = NULL;
		if (fault == LINK_HANGS)
			open_tarpit(links, i);
	}
}

static void links_restore(struct links *links)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		char *address = server_address(LINK_PREFIX, i);
		char *target = server_address(DIRECT_PREFIX, i);

		close_tarpit(links, i);
		links->proxies[i] = proxy_create(fx.base, address, target);
		assert_non_null(links->proxies[i]);
		g_free(address);
		g_free(target);
	}
}

static void links_close(struct links *links)
{
	for (int i = 0; i < LINK_COUNT; i++) {
		proxy_destroy(links->proxies[i]);
		close_tarpit(links, i);
	}
	g_free(links);
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
	struct links *links = links_open();

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
