/** @file test_fleet.c @brief Which backend server takes a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "decide/fleet.h"

enum {
	SLOTS = 6,
	COLD_PER_S = 44,
	COLD_MS = 3000,
	INSTANCES = 11,
};

static void no_idle(struct fleet_server *server)
{
	(void)server;
}

static void put(struct fleet *fleet, const char *id, const char *zone,
		bool draining, int64_t cold_ms, int64_t now)
{
	char address[64];
	struct fleet_entry entry = {
		.id = id,
		.service = "s",
		.address = address,
		.zone = zone,
		.slots = SLOTS,
		.draining = draining,
		.cold_ms = cold_ms,
		.started_ms = 1,
	};

	g_snprintf(address, sizeof(address), "10.0.0.1:%s", id);
	fleet_update(fleet, &entry, now);
}

static struct fleet_query query(void)
{
	return (struct fleet_query){.service = "s",
				    .zone = "a",
				    .cross_zone_ms = 4,
				    .affinity_miss_ms = 12,
				    .request_cost_ms = 1,
				    .cold_per_s = COLD_PER_S,
				    .instances = INSTANCES};
}

static const char *picked(struct fleet *fleet, const struct fleet_query *q,
			  int64_t now)
{
	enum fleet_pick_status why;
	struct fleet_server *server = fleet_pick(fleet, q, now, &why);

	return server ? server->id : "";
}

static void pace_second(struct fleet_server *server, void *arg)
{
	(void)arg;
	fleet_update_event_gap(server, strcmp(server->id, "2") == 0 ? 2 : 1);
}

static void spoil_third(struct fleet_server *server, void *arg)
{
	(void)arg;
	if (strcmp(server->id, "3") != 0)
		return;
	for (int i = 0; i < 20; i++)
		fleet_on_response(server, i % 2 == 0, 0);
}

static void test_draining_and_gone_get_nothing(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	enum fleet_pick_status why;

	(void)state;
	put(fleet, "1", "a", false, 0, 0);
	assert_string_equal(picked(fleet, &q, 0), "1");
	put(fleet, "1", "a", true, 0, 0);
	assert_null(fleet_pick(fleet, &q, 0, &why));
	assert_int_equal(why, FLEET_NO_SERVER);
	put(fleet, "1", "a", false, 0, 0);
	fleet_remove(fleet, "1");
	assert_null(fleet_pick(fleet, &q, 0, &why));
	fleet_destroy(fleet);
}

static void test_zone_out_and_back_is_cold(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
	struct fleet_query q = query();
	enum fleet_pick_status why;
	int sent = 0;

	(void)state;
	put(fleet, "1", "a", false, 0, 0);
	g_hash_table_add(out, (gpointer) "a");
	fleet_set_evacuated(fleet, out, 0, COLD_MS);
	assert_null(fleet_pick(fleet, &q, 0, &why));
	/* A server that appears in a zone that is out gets nothing either. */
	put(fleet, "2", "a", false, 0, 0);
	assert_null(fleet_pick(fleet, &q, 0, &why));
	g_hash_table_remove_all(out);
	fleet_set_evacuated(fleet, out, 100, COLD_MS);
	for (struct fleet_server *s; (s = fleet_pick(fleet, &q, 100, &why));
	     sent++)
		fleet_on_send(s, 100);
	assert_int_equal(why, FLEET_ALL_COLD);
	assert_int_equal(sent, 2 * (COLD_PER_S / INSTANCES));
	g_hash_table_destroy(out);
	fleet_destroy(fleet);
}

/* Instances that know nothing of each other, all at their worst: the users
 * allow 1.5 times the rate and 5 more in any second. */
static void test_cold_server_bears_all_instances(void **state)
{
	struct fleet_query q = query();
	static int64_t at[10000];
	int n = 0;
	int most = 0;

	(void)state;
	for (int i = 0; i < INSTANCES; i++) {
		struct fleet *fleet = fleet_create(no_idle);
		enum fleet_pick_status why;

		put(fleet, "1", "a", false, COLD_MS, 0);
		for (int64_t now = i * 7; now < COLD_MS; now++) {
			struct fleet_server *s =
				fleet_pick(fleet, &q, now, &why);

			if (s == NULL)
				continue;
			fleet_on_send(s, now);
			fleet_on_end(s);
			at[n++] = now;
		}
		fleet_destroy(fleet);
	}
	for (int64_t from = 0; from < COLD_MS; from++) {
		int count = 0;

		for (int i = 0; i < n; i++)
			count += at[i] >= from && at[i] < from + 1000;
		most = MAX(most, count);
	}
	assert_true(most <= COLD_PER_S * 3 / 2 + 5);
}

static void test_new_start_is_another_server(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	struct fleet_entry entry = {.id = "1",
				    .service = "s",
				    .address = "10.0.0.1:1",
				    .zone = "a",
				    .slots = SLOTS,
				    .started_ms = 1};
	enum fleet_pick_status why;
	struct fleet_server *before;

	(void)state;
	fleet_update(fleet, &entry, 0);
	before = fleet_ref(fleet_pick(fleet, &q, 0, &why));
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(before, 0);
	entry.started_ms = 2;
	fleet_update(fleet, &entry, 0);
	assert_false(before->listed);
	assert_int_equal(fleet_pick(fleet, &q, 0, &why)->running, 0);
	fleet_unref(before);
	fleet_destroy(fleet);
}

static void test_same_line_same_server_until_it_is_busy(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	enum fleet_pick_status why;

	(void)state;
	put(fleet, "1", "a", false, 0, 0);
	put(fleet, "2", "b", false, 0, 0);
	q.preferred_id = "2";
	assert_string_equal(picked(fleet, &q, 0), "2");
	q.preferred_id = "1";
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(fleet_pick(fleet, &q, 0, &why), 0);
	assert_string_equal(picked(fleet, &q, 0), "2");
	fleet_destroy(fleet);
}

static void test_failed_server_is_avoided_for_a_while(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	enum fleet_pick_status why;
	struct fleet_server *server;

	(void)state;
	put(fleet, "1", "a", false, 0, 0);
	put(fleet, "2", "b", false, 0, 0);
	server = fleet_pick(fleet, &q, 0, &why);
	assert_string_equal(server->id, "1");
	fleet_on_failure(server, 0);
	assert_string_equal(picked(fleet, &q, 0), "2");
	assert_string_equal(picked(fleet, &q, 5000), "1");
	fleet_destroy(fleet);
}

static void test_tried_servers_are_left_out(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	GPtrArray *tried = g_ptr_array_new();
	enum fleet_pick_status why;

	(void)state;
	put(fleet, "1", "a", false, 0, 0);
	put(fleet, "2", "a", false, 0, 0);
	q.tried = tried;
	g_ptr_array_add(tried, (gpointer) "1");
	assert_string_equal(picked(fleet, &q, 0), "2");
	g_ptr_array_add(tried, (gpointer) "2");
	assert_null(fleet_pick(fleet, &q, 0, &why));
	assert_int_equal(why, FLEET_ALL_TRIED);
	g_ptr_array_free(tried, TRUE);
	fleet_destroy(fleet);
}

/* Slow servers get work once the fast ones are busy, faulty ones less. */
static void test_slow_and_faulty_servers_get_less(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	struct fleet_server *fast;
	enum fleet_pick_status why;

	(void)state;
	q.events = 10;
	q.request_cost_ms = 3;
	put(fleet, "1", "a", false, 0, 0);
	put(fleet, "2", "a", false, 0, 0);
	for (int i = 0; i < 50; i++)
		fleet_foreach(fleet, pace_second, NULL);
	fast = fleet_pick(fleet, &q, 0, &why);
	assert_string_equal(fast->id, "1");
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(fast, 0);
	assert_string_equal(picked(fleet, &q, 0), "2");
	put(fleet, "3", "a", false, 0, 0);
	fleet_foreach(fleet, spoil_third, NULL);
	assert_string_not_equal(picked(fleet, &q, 0), "3");
	fleet_destroy(fleet);
}

/* All instances at their worst stay under what a server accepts. */
static void test_connections_are_shared(void **state)
{
	struct fleet *fleet = fleet_create(no_idle);
	struct fleet_query q = query();
	enum fleet_pick_status why;
	uint32_t open = 0;

	(void)state;
	q.max_conns = 110;
	put(fleet, "1", "a", false, 0, 0);
	for (struct fleet_server *s; (s = fleet_pick(fleet, &q, 0, &why));
	     open++)
		fleet_on_send(s, 0);
	assert_int_equal(why, FLEET_ALL_FULL);
	assert_true(open > 0 && open * INSTANCES <= q.max_conns);
	fleet_destroy(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_draining_and_gone_get_nothing),
		cmocka_unit_test(test_zone_out_and_back_is_cold),
		cmocka_unit_test(test_cold_server_bears_all_instances),
		cmocka_unit_test(test_new_start_is_another_server),
		cmocka_unit_test(test_same_line_same_server_until_it_is_busy),
		cmocka_unit_test(test_failed_server_is_avoided_for_a_while),
		cmocka_unit_test(test_tried_servers_are_left_out),
		cmocka_unit_test(test_connections_are_shared),
		cmocka_unit_test(test_slow_and_faulty_servers_get_less),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
