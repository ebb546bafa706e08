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

static void no_idle(struct flt_server *server)
{
	(void)server;
}

static void put(struct flt *flt, const char *id, const char *zone,
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

static struct flt_query query(void)
{
	return (struct flt_query){.service = "s",
				  .zone = "a",
				  .away_ms = 4,
				  .affinity_ms = 12,
				  .work_ms = 1,
				  .cold_per_s = COLD_PER_S,
				  .instances = INSTANCES};
}

static const char *picked(struct flt *flt, const struct flt_query *q,
			  int64_t now)
{
	enum flt_none why;
	struct flt_server *server = flt_pick(flt, q, now, &why);

	return server ? server->id : "";
}

static void pace_second(struct flt_server *server, void *arg)
{
	(void)arg;
	flt_paced(server, strcmp(server->id, "2") == 0 ? 2 : 1);
}

static void spoil_third(struct flt_server *server, void *arg)
{
	(void)arg;
	if (strcmp(server->id, "3") != 0)
		return;
	for (int i = 0; i < 20; i++)
		flt_answered(server, i % 2 == 0, 0);
}

static void test_draining_and_gone_get_nothing(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	enum flt_none why;

	(void)state;
	put(flt, "1", "a", false, 0, 0);
	assert_string_equal(picked(flt, &q, 0), "1");
	put(flt, "1", "a", true, 0, 0);
	assert_null(flt_pick(flt, &q, 0, &why));
	assert_int_equal(why, FLT_NO_SERVER);
	put(flt, "1", "a", false, 0, 0);
	flt_remove(flt, "1");
	assert_null(flt_pick(flt, &q, 0, &why));
	flt_destroy(flt);
}

static void test_zone_out_and_back_is_cold(void **state)
{
	struct flt *flt = flt_create(no_idle);
	GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
	struct flt_query q = query();
	enum flt_none why;
	int sent = 0;

	(void)state;
	put(flt, "1", "a", false, 0, 0);
	g_hash_table_add(out, (gpointer) "a");
	flt_evacuate(flt, out, 0, COLD_MS);
	assert_null(flt_pick(flt, &q, 0, &why));
	/* A server that appears in a zone that is out gets nothing either. */
	put(flt, "2", "a", false, 0, 0);
	assert_null(flt_pick(flt, &q, 0, &why));
	g_hash_table_remove_all(out);
	flt_evacuate(flt, out, 100, COLD_MS);
	for (struct flt_server *s; (s = flt_pick(flt, &q, 100, &why)); sent++)
		flt_sent(s, 100);
	assert_int_equal(why, FLT_ALL_COLD);
	assert_int_equal(sent, 2 * (COLD_PER_S / INSTANCES));
	g_hash_table_destroy(out);
	flt_destroy(flt);
}

/* Instances that know nothing of each other, all at their worst: the users
 * allow 1.5 times the rate and 5 more in any second. */
static void test_cold_server_bears_all_instances(void **state)
{
	struct flt_query q = query();
	static int64_t at[10000];
	int n = 0;
	int most = 0;

	(void)state;
	for (int i = 0; i < INSTANCES; i++) {
		struct flt *flt = flt_create(no_idle);
		enum flt_none why;

		put(flt, "1", "a", false, COLD_MS, 0);
		for (int64_t now = i * 7; now < COLD_MS; now++) {
			struct flt_server *s = flt_pick(flt, &q, now, &why);

			if (s == NULL)
				continue;
			flt_sent(s, now);
			flt_ended(s);
			at[n++] = now;
		}
		flt_destroy(flt);
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
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	struct flt_entry entry = {.id = "1",
				  .service = "s",
				  .address = "10.0.0.1:1",
				  .zone = "a",
				  .slots = SLOTS,
				  .born_ms = 1};
	enum flt_none why;
	struct flt_server *before;

	(void)state;
	flt_put(flt, &entry, 0);
	before = flt_ref(flt_pick(flt, &q, 0, &why));
	for (int i = 0; i < SLOTS; i++)
		flt_sent(before, 0);
	entry.born_ms = 2;
	flt_put(flt, &entry, 0);
	assert_false(before->listed);
	assert_int_equal(flt_pick(flt, &q, 0, &why)->running, 0);
	flt_unref(before);
	flt_destroy(flt);
}

static void test_same_line_same_server_until_it_is_busy(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	enum flt_none why;

	(void)state;
	put(flt, "1", "a", false, 0, 0);
	put(flt, "2", "b", false, 0, 0);
	q.sticky = "2";
	assert_string_equal(picked(flt, &q, 0), "2");
	q.sticky = "1";
	for (int i = 0; i < SLOTS; i++)
		flt_sent(flt_pick(flt, &q, 0, &why), 0);
	assert_string_equal(picked(flt, &q, 0), "2");
	flt_destroy(flt);
}

static void test_failed_server_is_avoided_for_a_while(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	enum flt_none why;
	struct flt_server *server;

	(void)state;
	put(flt, "1", "a", false, 0, 0);
	put(flt, "2", "b", false, 0, 0);
	server = flt_pick(flt, &q, 0, &why);
	assert_string_equal(server->id, "1");
	flt_failed(server, 0);
	assert_string_equal(picked(flt, &q, 0), "2");
	assert_string_equal(picked(flt, &q, 5000), "1");
	flt_destroy(flt);
}

static void test_tried_servers_are_left_out(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	GPtrArray *tried = g_ptr_array_new();
	enum flt_none why;

	(void)state;
	put(flt, "1", "a", false, 0, 0);
	put(flt, "2", "a", false, 0, 0);
	q.tried = tried;
	g_ptr_array_add(tried, (gpointer) "1");
	assert_string_equal(picked(flt, &q, 0), "2");
	g_ptr_array_add(tried, (gpointer) "2");
	assert_null(flt_pick(flt, &q, 0, &why));
	assert_int_equal(why, FLT_ALL_TRIED);
	g_ptr_array_free(tried, TRUE);
	flt_destroy(flt);
}

/* Slow servers get work once the fast ones are busy, faulty ones less. */
static void test_slow_and_faulty_servers_get_less(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	struct flt_server *fast;
	enum flt_none why;

	(void)state;
	q.events = 10;
	q.work_ms = 3;
	put(flt, "1", "a", false, 0, 0);
	put(flt, "2", "a", false, 0, 0);
	for (int i = 0; i < 50; i++)
		flt_foreach(flt, pace_second, NULL);
	fast = flt_pick(flt, &q, 0, &why);
	assert_string_equal(fast->id, "1");
	for (int i = 0; i < SLOTS; i++)
		flt_sent(fast, 0);
	assert_string_equal(picked(flt, &q, 0), "2");
	put(flt, "3", "a", false, 0, 0);
	flt_foreach(flt, spoil_third, NULL);
	assert_string_not_equal(picked(flt, &q, 0), "3");
	flt_destroy(flt);
}

/* All instances at their worst stay under what a server accepts. */
static void test_connections_are_shared(void **state)
{
	struct flt *flt = flt_create(no_idle);
	struct flt_query q = query();
	enum flt_none why;
	uint32_t open = 0;

	(void)state;
	q.max_conns = 110;
	put(flt, "1", "a", false, 0, 0);
	for (struct flt_server *s; (s = flt_pick(flt, &q, 0, &why)); open++)
		flt_sent(s, 0);
	assert_int_equal(why, FLT_ALL_FULL);
	assert_true(open > 0 && open * INSTANCES <= q.max_conns);
	flt_destroy(flt);
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
