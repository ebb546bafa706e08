/**
 * @file test_accounts.c
 * @brief Gateway instances while client accounts come and go.
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

#define LOG_PATH "build/test_accounts.log"
#define TENANTS_MEMBER ",\"tenants\":"
#define KEY_HEADER(key) "Authorization: Bearer " key "\r\n"

enum { CONFIG_WAIT_MS = 200 };

static const char account[] =
	"[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],\"rate_per_s\":0}]";
static const char limited_account[] =
	"[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],\"rate_per_s\":1,"
	"\"burst\":1}]";

/* Stores the configuration of the fixture with other accounts; NULL: without a
 * list of them. The route /get/ becomes public. */
static void put_accounts(int version, const char *accounts)
{
	static const char get[] = "{\"name\":\"get\",";
	char *old = rowstore_get(fx.store, "op", "", "config");
	const char *routes = strchr(old, ',');
	char *tail = strstr(old, TENANTS_MEMBER);
	const char *route = strstr(old, get);
	GString *text = g_string_new(NULL);

	if (tail != NULL)
		*tail = '\0';
	else
		old[strlen(old) - 1] = '\0';
	g_string_printf(text, "{\"version\":%d%.*s%s%s%s%s}", version,
			(int)(route + strlen(get) - routes), routes,
			strncmp(route + strlen(get), "\"public\"", 8) == 0
				? ""
				: "\"public\":true,",
			route + strlen(get), accounts ? TENANTS_MEMBER : "",
			accounts ? accounts : "");
	rowstore_put(fx.store, "op", "", "config", text->str);
	fixture_run_until(NULL, CONFIG_WAIT_MS);
	g_string_free(text, TRUE);
	g_free(old);
}

/* Sends a request with a header; returns the status of its response. */
static int request(int gateway, const char *path, const char *header)
{
	static int number;
	struct fixture_response response;
	char *headers =
		g_strdup_printf("%sRequest-Id: a%d\r\n", header, ++number);
	int status;

	fixture_request(&response, gateway, path, headers, "x");
	status = response.status;
	fixture_response_clear(&response);
	g_free(headers);
	return status;
}

/* Checks the status of requests with the account's key, with a key that never
 * was, and without any, at both instances; and that public routes are served.
 */
static void check_keys(int own, int unknown, int none)
{
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		assert_int_equal(request(i, "/order/1", KEY_HEADER("key-1")),
				 own);
		assert_int_equal(request(i, "/order/1", KEY_HEADER("never")),
				 unknown);
		assert_int_equal(request(i, "/order/1", ""), none);
		assert_int_equal(request(i, "/get/1", ""), 200);
	}
}

/* Guards against a configuration whose last account was removed, and which let
 * everyone in: an empty list of accounts was taken for none. */
static void test_last_account_is_removed(void **state)
{
	(void)state;
	put_accounts(2, account);
	check_keys(200, 401, 401);
	put_accounts(3, "[]");
	check_keys(401, 401, 401);
	fixture_kill_all();
	check_keys(401, 401, 401);
}

/* The same after accounts have come and gone, and with their rate limits. */
static void test_accounts_come_and_go(void **state)
{
	(void)state;
	for (int round = 0; round < 2; round++) {
		put_accounts(2 + 3 * round, "[]");
		check_keys(401, 401, 401);
		put_accounts(3 + 3 * round, account);
		check_keys(200, 401, 401);
		put_accounts(4 + 3 * round, limited_account);
		for (int i = 0; i < 5; i++)
			(void)request(0, "/order/1", KEY_HEADER("key-1"));
		assert_int_equal(request(0, "/order/1", KEY_HEADER("key-1")),
				 429);
		assert_int_equal(request(0, "/order/1", KEY_HEADER("never")),
				 401);
	}
}

/* Without a list of accounts no key is needed, as before. */
static void test_no_list_of_accounts(void **state)
{
	(void)state;
	put_accounts(2, NULL);
	check_keys(200, 200, 200);
	fixture_kill_all();
	check_keys(200, 200, 200);
	put_accounts(3, "[]");
	check_keys(401, 401, 401);
	put_accounts(4, NULL);
	check_keys(200, 200, 200);
}

/* What is no list, and a limit that is no number, must not lift a limit: the
 * configuration before it stays in force. */
static void test_unreadable_accounts(void **state)
{
	static const char *const unreadable[] = {
		"null",
		"{}",
		"\"\"",
		"[{\"name\":\"t1\",\"api_keys\":[\"never\"],"
		"\"rate_per_s\":\"1\"}]",
		"[{\"name\":\"t1\",\"api_keys\":[\"never\"],"
		"\"rate_per_s\":null}]",
		"[{\"name\":\"t1\",\"api_keys\":[\"never\"],\"rate_per_s\":-1}"
		"]",
		"[{\"name\":\"t1\",\"api_keys\":[\"never\"],\"rate_per_s\":1,"
		"\"burst\":[]}]",
	};

	(void)state;
	put_accounts(2, account);
	for (size_t i = 0; i < G_N_ELEMENTS(unreadable); i++) {
		put_accounts((int)i + 3, unreadable[i]);
		assert_int_equal(request(0, "/order/1", KEY_HEADER("key-1")),
				 200);
		assert_int_equal(request(0, "/order/1", KEY_HEADER("never")),
				 401);
		put_accounts((int)i + 3, account);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_last_account_is_removed),
		FIXTURE_TEST(test_accounts_come_and_go),
		FIXTURE_TEST(test_no_list_of_accounts),
		FIXTURE_TEST(test_unreadable_accounts),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
