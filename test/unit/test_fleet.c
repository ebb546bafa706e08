/** @file test_fleet.c @brief Choice of the backend server for a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "decide/fleet.h"

enum {
	SLOTS = 6,
	COLD_REQUESTS_PER_S = 44,
	COLD_MS = 3000,
	INSTANCE_COUNT = 11,
};

static void ignore_idle(struct flt_server *server)
{
	(void)server;
}

static void put_server(struct flt *flt, const char *id, const char *zone,
		       bool draining, int64_t cold_ms, int64_t now)
{
	char address[64];
	struct flt_entry entry = {
		.id = id,
		.service = "s",
		.address = address,
		.zone = zone,
		.slots = SLOTS,
		.draining = draining,
		.cold_ms = cold_ms,
		.born_ms = 1,
	};

	g_snprintf(address, sizeof(address), "10.0.0.1:%s", id);
	flt_put(flt, &entry, now);
}

static struct flt_query make_query(void)
{
	return (struct flt_query){.service = "s",
				  .zone = "a",
				  .away_ms = 4,
				  .affinity_ms = 12,
				  .work_ms = 1,
				  .cold_per_s = COLD_REQUESTS_PER_S,
				  .instances = INSTANCE_COUNT};
}

static const char *pick_id(struct flt *flt, const struct flt_query *query,
			   int64_t now)
{
	enum flt_none reason;
	struct flt_server *server = flt_pick(flt, query, now, &reason);

	return server ? server->id : "";
}

static void pace_server_2(struct flt_server *server, void *arg)
{
	(void)arg;
	flt_paced(server, strcmp(server->id, "2") == 0 ? 2 : 1);
}

static void fail_server_3(struct flt_server *server, void *arg)
{
	(void)arg;
	if (strcmp(server->id, "3") != 0)
		return;
	for (int i = 0; i < 20; i++)
		flt_answered(server, i % 2 == 0, 0);
}

static void test_draining_and_removed_get_no_requests(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	enum flt_none reason;

	(void)state;
	put_server(flt, "1", "a", false, 0, 0);
	assert_string_equal(pick_id(flt, &query, 0), "1");
	put_server(flt, "1", "a", true, 0, 0);
	assert_null(flt_pick(flt, &query, 0, &reason));
	assert_int_equal(reason, FLT_NO_SERVER);
	put_server(flt, "1", "a", false, 0, 0);
	flt_remove(flt, "1");
	assert_null(flt_pick(flt, &query, 0, &reason));
	flt_destroy(flt);
}

/* An evacuated zone gets no requests; when it returns, its servers are cold. */
static void test_evacuated_zone_returns_cold(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	GHashTable *evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	struct flt_query query = make_query();
	enum flt_none reason;
	int sent = 0;

	(void)state;
	put_server(flt, "1", "a", false, 0, 0);
	g_hash_table_add(evacuated, (gpointer) "a");
	flt_evacuate(flt, evacuated, 0, COLD_MS);
	assert_null(flt_pick(flt, &query, 0, &reason));
	/* Nor may a server that is added while its zone is evacuated. */
	put_server(flt, "2", "a", false, 0, 0);
	assert_null(flt_pick(flt, &query, 0, &reason));
	g_hash_table_remove_all(evacuated);
	flt_evacuate(flt, evacuated, 100, COLD_MS);
	for (struct flt_server *s; (s = flt_pick(flt, &query, 100, &reason));
	     sent++)
		flt_sent(s, 100);
	assert_int_equal(reason, FLT_ALL_COLD);
	assert_int_equal(sent, 2 * (COLD_REQUESTS_PER_S / INSTANCE_COUNT));
	g_hash_table_destroy(evacuated);
	flt_destroy(flt);
}

/* Guards against overloading a cold server: all instances send it as many
 * requests as each of them may, without knowing of each other. Allowed
 * are 1.5 times the rate and 5 more in any second. */
static void test_cold_rate_across_instances(void **state)
{
	struct flt_query query = make_query();
	static int64_t sent_ms[10000];
	int n_sent = 0;
	int busiest = 0;

	(void)state;
	for (int i = 0; i < INSTANCE_COUNT; i++) {
		struct flt *flt = flt_create(ignore_idle);
		enum flt_none reason;

		put_server(flt, "1", "a", false, COLD_MS, 0);
		for (int64_t now = i * 7; now < COLD_MS; now++) {
			struct flt_server *s =
				flt_pick(flt, &query, now, &reason);

			if (s == NULL)
				continue;
			flt_sent(s, now);
			flt_ended(s);
			sent_ms[n_sent++] = now;
		}
		flt_destroy(flt);
	}
	/* Find the busiest window of one second. */
	for (int64_t from_ms = 0; from_ms < COLD_MS; from_ms++) {
		int count = 0;

		for (int i = 0; i < n_sent; i++)
			count += sent_ms[i] >= from_ms &&
				 sent_ms[i] < from_ms + 1000;
		busiest = MAX(busiest, count);
	}
	assert_true(busiest <= COLD_REQUESTS_PER_S * 3 / 2 + 5);
}

/* A restarted server has none of the requests of its previous run. */
static void test_restarted_server_is_a_new_server(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	struct flt_entry entry = {.id = "1",
				  .service = "s",
				  .address = "10.0.0.1:1",
				  .zone = "a",
				  .slots = SLOTS,
				  .born_ms = 1};
	enum flt_none reason;
	struct flt_server *first_run;

	(void)state;
	flt_put(flt, &entry, 0);
	first_run = flt_ref(flt_pick(flt, &query, 0, &reason));
	for (int i = 0; i < SLOTS; i++)
		flt_sent(first_run, 0);
	entry.born_ms = 2;
	flt_put(flt, &entry, 0);
	assert_false(first_run->listed);
	assert_int_equal(flt_pick(flt, &query, 0, &reason)->running, 0);
	flt_unref(first_run);
	flt_destroy(flt);
}

/* A session prefers its server until that is busy. */
static void test_affinity_until_server_is_busy(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	enum flt_none reason;

	(void)state;
	put_server(flt, "1", "a", false, 0, 0);
	put_server(flt, "2", "b", false, 0, 0);
	query.sticky = "2";
	assert_string_equal(pick_id(flt, &query, 0), "2");
	query.sticky = "1";
	for (int i = 0; i < SLOTS; i++)
		flt_sent(flt_pick(flt, &query, 0, &reason), 0);
	assert_string_equal(pick_id(flt, &query, 0), "2");
	flt_destroy(flt);
}

static void test_failed_server_is_avoided_temporarily(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	enum flt_none reason;
	struct flt_server *server;

	(void)state;
	put_server(flt, "1", "a", false, 0, 0);
	put_server(flt, "2", "b", false, 0, 0);
	server = flt_pick(flt, &query, 0, &reason);
	assert_string_equal(server->id, "1");
	flt_failed(server, 0);
	assert_string_equal(pick_id(flt, &query, 0), "2");
	assert_string_equal(pick_id(flt, &query, 5000), "1");
	flt_destroy(flt);
}

static void test_tried_servers_are_excluded(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	GPtrArray *tried = g_ptr_array_new();
	enum flt_none reason;

	(void)state;
	put_server(flt, "1", "a", false, 0, 0);
	put_server(flt, "2", "a", false, 0, 0);
	query.tried = tried;
	g_ptr_array_add(tried, (gpointer) "1");
	assert_string_equal(pick_id(flt, &query, 0), "2");
	g_ptr_array_add(tried, (gpointer) "2");
	assert_null(flt_pick(flt, &query, 0, &reason));
	assert_int_equal(reason, FLT_ALL_TRIED);
	g_ptr_array_free(tried, TRUE);
	flt_destroy(flt);
}

/* A slow server gets requests once the fast ones are busy; a failing server
 * comes after the slow one. */
static void test_slow_and_failing_servers_come_last(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	struct flt_server *fast;
	enum flt_none reason;

	(void)state;
	query.events = 10;
	query.work_ms = 3;
	put_server(flt, "1", "a", false, 0, 0);
	put_server(flt, "2", "a", false, 0, 0);
	for (int i = 0; i < 50; i++)
		flt_foreach(flt, pace_server_2, NULL);
	fast = flt_pick(flt, &query, 0, &reason);
	assert_string_equal(fast->id, "1");
	for (int i = 0; i < SLOTS; i++)
		flt_sent(fast, 0);
	assert_string_equal(pick_id(flt, &query, 0), "2");
	put_server(flt, "3", "a", false, 0, 0);
	flt_foreach(flt, fail_server_3, NULL);
	assert_string_not_equal(pick_id(flt, &query, 0), "3");
	flt_destroy(flt);
}

/* The connection limit of a server holds even if all instances open as many
 * connections as each of them may. */
static void test_connection_limit_across_instances(void **state)
{
	struct flt *flt = flt_create(ignore_idle);
	struct flt_query query = make_query();
	enum flt_none reason;
	uint32_t connections = 0;

	(void)state;
	query.max_conns = 110;
	put_server(flt, "1", "a", false, 0, 0);
	for (struct flt_server *s; (s = flt_pick(flt, &query, 0, &reason));
	     connections++)
		flt_sent(s, 0);
	assert_int_equal(reason, FLT_ALL_FULL);
	assert_true(connections > 0 &&
		    connections * INSTANCE_COUNT <= query.max_conns);
	flt_destroy(flt);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_draining_and_removed_get_no_requests),
		cmocka_unit_test(test_evacuated_zone_returns_cold),
		cmocka_unit_test(test_cold_rate_across_instances),
		cmocka_unit_test(test_restarted_server_is_a_new_server),
		cmocka_unit_test(test_affinity_until_server_is_busy),
		cmocka_unit_test(test_failed_server_is_avoided_temporarily),
		cmocka_unit_test(test_tried_servers_are_excluded),
		cmocka_unit_test(test_connection_limit_across_instances),
		cmocka_unit_test(test_slow_and_failing_servers_come_last),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
