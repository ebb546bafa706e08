/** @file test_fleet.c @brief Choice of the backend server for a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "decide/fleet.h"
#include "decide/share.h"

enum {
	SLOTS = 6,
	COLD_REQUESTS_PER_S = 44,
	COLD_MS = 3000,
	INSTANCE_COUNT = 11,
	LARGE_FLEET = 295,
};

/* An instance of a fleet, for its share of a server. */
struct instance {
	uint32_t count; /* instances in the fleet, named 0, 1 ... */
	uint32_t index;
};

static uint64_t instance_hash(uint32_t index)
{
	static uint64_t hashes[LARGE_FLEET];
	char name[16];

	if (hashes[index] == 0) {
		g_snprintf(name, sizeof(name), "%u", index);
		hashes[index] = rng_hash(name);
	}
	return hashes[index];
}

static uint32_t share_of_instance(void *arg, const char *server, uint32_t units)
{
	const struct instance *instance = arg;
	uint64_t resource = rng_hash(server);
	uint64_t own = share_order(resource, instance_hash(instance->index));
	uint32_t rank = 0;

	for (uint32_t i = 0; i < instance->count; i++)
		rank += share_order(resource, instance_hash(i)) > own;
	return share_units(units, instance->count, rank);
}

static void ignore_idle(struct fleet_server *server)
{
	(void)server;
}

static void put_server(struct fleet *fleet, const char *id, const char *zone,
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

static struct fleet_query make_query(void)
{
	static struct instance only = {INSTANCE_COUNT, 0};

	return (struct fleet_query){.service = "s",
				    .zone = "a",
				    .cross_zone_ms = 4,
				    .affinity_miss_ms = 12,
				    .request_cost_ms = 1,
				    .cold_per_s = COLD_REQUESTS_PER_S,
				    .cold_share = share_of_instance,
				    .cold_share_arg = &only,
				    .instances = INSTANCE_COUNT};
}

static const char *pick_id(struct fleet *fleet, const struct fleet_query *query,
			   int64_t now)
{
	enum fleet_pick_status reason;
	struct fleet_server *server = fleet_pick(fleet, query, now, &reason);

	return server ? server->id : "";
}

static void pace_server_2(struct fleet_server *server, void *arg)
{
	(void)arg;
	fleet_update_event_gap(server, strcmp(server->id, "2") == 0 ? 2 : 1);
}

static void fail_server_3(struct fleet_server *server, void *arg)
{
	(void)arg;
	if (strcmp(server->id, "3") != 0)
		return;
	for (int i = 0; i < 20; i++)
		fleet_on_response(server, i % 2 == 0, 0);
}

static void test_draining_and_removed_get_no_requests(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;

	(void)state;
	put_server(fleet, "1", "a", false, 0, 0);
	assert_string_equal(pick_id(fleet, &query, 0), "1");
	put_server(fleet, "1", "a", true, 0, 0);
	assert_null(fleet_pick(fleet, &query, 0, &reason));
	assert_int_equal(reason, FLEET_NO_SERVER);
	put_server(fleet, "1", "a", false, 0, 0);
	fleet_remove(fleet, "1");
	assert_null(fleet_pick(fleet, &query, 0, &reason));
	fleet_destroy(fleet);
}

/* An evacuated zone gets no requests; when it returns, its servers are cold. */
static void test_evacuated_zone_returns_cold(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	GHashTable *evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;
	int sent = 0;

	(void)state;
	put_server(fleet, "1", "a", false, 0, 0);
	g_hash_table_add(evacuated, (gpointer) "a");
	fleet_set_evacuated(fleet, evacuated, 0, COLD_MS);
	assert_null(fleet_pick(fleet, &query, 0, &reason));
	/* Nor may a server that is added while its zone is evacuated. */
	put_server(fleet, "2", "a", false, 0, 0);
	assert_null(fleet_pick(fleet, &query, 0, &reason));
	g_hash_table_remove_all(evacuated);
	fleet_set_evacuated(fleet, evacuated, 100, COLD_MS);
	for (struct fleet_server *s;
	     (s = fleet_pick(fleet, &query, 100, &reason)); sent++)
		fleet_on_send(s, 100);
	assert_int_equal(reason, FLEET_ALL_COLD);
	assert_int_equal(sent, 2 * (COLD_REQUESTS_PER_S / INSTANCE_COUNT));
	g_hash_table_destroy(evacuated);
	fleet_destroy(fleet);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Sends a cold server all that each instance may; appends the times. */
static void load_cold_server(uint32_t instances, double cold_per_s,
			     GArray *sent_ms)
{
	for (uint32_t i = 0; i < instances; i++) {
		struct fleet *fleet = fleet_create(ignore_idle);
		struct fleet_query query = make_query();
		struct instance instance = {instances, i};
		enum fleet_pick_status reason;

		query.instances = instances;
		query.cold_per_s = cold_per_s;
		query.cold_share_arg = &instance;
		put_server(fleet, "1", "a", false, COLD_MS, 0);
		for (int64_t now = i * 7 % 1000; now < COLD_MS; now += 10) {
			struct fleet_server *s =
				fleet_pick(fleet, &query, now, &reason);

			if (s == NULL)
				continue;
			fleet_on_send(s, now);
			fleet_on_end(s);
			g_array_append_val(sent_ms, now);
		}
		fleet_destroy(fleet);
	}
	g_array_sort(sent_ms, compare_times);
}

static guint busiest_second(const GArray *sent_ms)
{
	guint busiest = 0;
	guint first = 0;

	for (guint i = 0; i < sent_ms->len; i++) {
		while (g_array_index(sent_ms, int64_t, first) + 1000 <=
		       g_array_index(sent_ms, int64_t, i))
			first++;
		busiest = MAX(busiest, i - first + 1);
	}
	return busiest;
}

/* Guards against overloading a cold server: all instances send it as many
 * requests as each of them may, without knowing of each other. Allowed
 * are 1.5 times the rate and 5 more in any second, whatever the fleet's size;
 * and what the server bears is used. */
static void test_cold_rate_across_instances(void **state)
{
	static const uint32_t fleets[] = {1, INSTANCE_COUNT, 90, LARGE_FLEET};
	static const double rates[] = {20, COLD_REQUESTS_PER_S};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(rates); j++) {
			GArray *sent_ms =
				g_array_new(FALSE, FALSE, sizeof(int64_t));

			load_cold_server(fleets[i], rates[j], sent_ms);
			assert_true(busiest_second(sent_ms) <=
				    rates[j] * 3 / 2 + 5);
			assert_true(busiest_second(sent_ms) >= rates[j] * 0.8);
			g_array_free(sent_ms, TRUE);
		}
	}
}

/* A restarted server has none of the requests of its previous run. */
static void test_restarted_server_is_a_new_server(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	struct fleet_entry entry = {.id = "1",
				    .service = "s",
				    .address = "10.0.0.1:1",
				    .zone = "a",
				    .slots = SLOTS,
				    .started_ms = 1};
	enum fleet_pick_status reason;
	struct fleet_server *first_run;

	(void)state;
	fleet_update(fleet, &entry, 0);
	first_run = fleet_ref(fleet_pick(fleet, &query, 0, &reason));
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(first_run, 0);
	entry.started_ms = 2;
	fleet_update(fleet, &entry, 0);
	assert_false(first_run->listed);
	assert_int_equal(fleet_pick(fleet, &query, 0, &reason)->running, 0);
	fleet_unref(first_run);
	fleet_destroy(fleet);
}

/* A session prefers its server until that is busy. */
static void test_affinity_until_server_is_busy(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;

	(void)state;
	put_server(fleet, "1", "a", false, 0, 0);
	put_server(fleet, "2", "b", false, 0, 0);
	query.preferred_id = "2";
	assert_string_equal(pick_id(fleet, &query, 0), "2");
	query.preferred_id = "1";
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(fleet_pick(fleet, &query, 0, &reason), 0);
	assert_string_equal(pick_id(fleet, &query, 0), "2");
	fleet_destroy(fleet);
}

static void test_failed_server_is_avoided_temporarily(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;
	struct fleet_server *server;

	(void)state;
	put_server(fleet, "1", "a", false, 0, 0);
	put_server(fleet, "2", "b", false, 0, 0);
	server = fleet_pick(fleet, &query, 0, &reason);
	assert_string_equal(server->id, "1");
	fleet_on_failure(server, 0);
	assert_string_equal(pick_id(fleet, &query, 0), "2");
	assert_string_equal(pick_id(fleet, &query, 5000), "1");
	fleet_destroy(fleet);
}

static void test_tried_servers_are_excluded(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	GPtrArray *tried = g_ptr_array_new();
	enum fleet_pick_status reason;

	(void)state;
	put_server(fleet, "1", "a", false, 0, 0);
	put_server(fleet, "2", "a", false, 0, 0);
	query.tried = tried;
	g_ptr_array_add(tried, (gpointer) "1");
	assert_string_equal(pick_id(fleet, &query, 0), "2");
	g_ptr_array_add(tried, (gpointer) "2");
	assert_null(fleet_pick(fleet, &query, 0, &reason));
	assert_int_equal(reason, FLEET_ALL_TRIED);
	g_ptr_array_free(tried, TRUE);
	fleet_destroy(fleet);
}

enum {
	ENGINES = 70,
	ENGINE_SLOTS = 16,
	FLEET_INSTANCES = 90,
	PROGRAMS = 2400,
	CONCURRENT_PROGRAMS = 300,
	TURNS = 8,
	TURN_MS = 250,
};

/* A turn that runs at an engine. */
struct run {
	struct fleet_server *server;
	int64_t ends_ms;
	uint32_t engine;
};

/* A fleet whose instances see only their own requests and responses. */
struct blind_fleet {
	struct fleet *instances[FLEET_INSTANCES];
	GArray *runs; /* of struct run */
	uint32_t running[ENGINES];
	uint32_t turns[ENGINES];
	struct rng rng;
};

/* Streams of some servers looked slower than others', for a while. */
static void pace_by_id(struct fleet_server *server, void *arg)
{
	(void)arg;
	fleet_update_event_gap(server,
			       4.0 + (double)(rng_hash(server->id) % 8));
}

static void blind_fleet_init(struct blind_fleet *blind)
{
	memset(blind, 0, sizeof(*blind));
	blind->rng.state = 1;
	blind->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	for (int i = 0; i < FLEET_INSTANCES; i++) {
		blind->instances[i] = fleet_create(ignore_idle);
		for (int j = 0; j < ENGINES; j++) {
			char id[16];

			g_snprintf(id, sizeof(id), "%d", j);
			put_server(blind->instances[i], id,
				   j % 3 == 0 ? "a" : "b", false, 0, 0);
		}
		fleet_foreach(blind->instances[i], pace_by_id, NULL);
	}
}

static void blind_fleet_clear(struct blind_fleet *blind)
{
	for (int i = 0; i < FLEET_INSTANCES; i++)
		fleet_destroy(blind->instances[i]);
	g_array_free(blind->runs, TRUE);
}

/* Runs that end tell their instance the engine's load. */
static void end_runs(struct blind_fleet *blind, int64_t now)
{
	for (guint i = blind->runs->len; i > 0; i--) {
		struct run *run =
			&g_array_index(blind->runs, struct run, i - 1);

		if (run->ends_ms > now)
			continue;
		blind->running[run->engine]--;
		fleet_on_end(run->server);
		fleet_on_load_report(run->server, blind->running[run->engine],
				     0, now);
		g_array_remove_index_fast(blind->runs, i - 1);
	}
}

/* Sends a turn of @p program through a random instance; returns its engine. */
static uint32_t send_turn(struct blind_fleet *blind, uint32_t program,
			  bool ranked, int64_t now)
{
	int instance = (int)rng_below(&blind->rng, FLEET_INSTANCES);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;
	struct run run;

	query.zone = instance % 3 == 0 ? "a" : "b";
	query.instances = FLEET_INSTANCES;
	query.affinity = program % 16 + 1;
	query.events = 8;
	query.placement_key = ranked ? rng_mix(program + 1) : 0;
	run.server =
		fleet_pick(blind->instances[instance], &query, now, &reason);
	run.engine = (uint32_t)g_ascii_strtoull(run.server->id, NULL, 10);
	run.ends_ms =
		now + TURN_MS / 2 + (int64_t)rng_below(&blind->rng, TURN_MS);
	fleet_on_send(run.server, now);
	g_array_append_val(blind->runs, run);
	blind->running[run.engine]++;
	blind->turns[run.engine]++;
	return run.engine;
}

/* Plays programs of several turns; returns how many turns met the engine of
 * the turn before. @p busiest receives the most turns of any engine. */
static uint32_t play_programs(bool ranked, uint32_t *busiest)
{
	static uint32_t last[PROGRAMS];
	struct blind_fleet blind;
	uint32_t met = 0;

	blind_fleet_init(&blind);
	for (int64_t now = 0; now < PROGRAMS * TURNS; now++) {
		uint32_t wave = (uint32_t)now / (CONCURRENT_PROGRAMS * TURNS);
		uint32_t program = wave * CONCURRENT_PROGRAMS +
				   (uint32_t)now % CONCURRENT_PROGRAMS;
		bool first = (uint32_t)now % (CONCURRENT_PROGRAMS * TURNS) <
			     CONCURRENT_PROGRAMS;
		uint32_t engine;

		end_runs(&blind, now);
		engine = send_turn(&blind, program, ranked, now);
		met += !first && engine == last[program];
		last[program] = engine;
	}
	*busiest = 0;
	for (int i = 0; i < ENGINES; i++)
		*busiest = MAX(*busiest, blind.turns[i]);
	blind_fleet_clear(&blind);
	return met;
}

/*
 * Guards against instances that, knowing little of the load, all choose the
 * same engines, while the turns of a program go to ever different ones. The
 * load: more than a turn a millisecond, through 90 instances to 70 engines.
 */
static void test_placement_with_little_knowledge(void **state)
{
	uint32_t mean = PROGRAMS * TURNS / ENGINES;
	uint32_t continued = PROGRAMS * (TURNS - 1);
	uint32_t busiest;
	uint32_t met;

	(void)state;
	met = play_programs(true, &busiest);
	assert_true(met >= continued * 3 / 4);
	assert_true(busiest <= mean * 2);
	/* Without the rank neither holds. */
	met = play_programs(false, &busiest);
	assert_true(met < continued / 4);
	assert_true(busiest > mean * 2);
}

/* A slow server gets requests once the fast ones are busy; a failing server
 * comes after the slow one. */
static void test_slow_and_failing_servers_come_last(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	struct fleet_server *fast;
	enum fleet_pick_status reason;

	(void)state;
	query.events = 10;
	query.request_cost_ms = 3;
	put_server(fleet, "1", "a", false, 0, 0);
	put_server(fleet, "2", "a", false, 0, 0);
	for (int i = 0; i < 50; i++)
		fleet_foreach(fleet, pace_server_2, NULL);
	fast = fleet_pick(fleet, &query, 0, &reason);
	assert_string_equal(fast->id, "1");
	for (int i = 0; i < SLOTS; i++)
		fleet_on_send(fast, 0);
	assert_string_equal(pick_id(fleet, &query, 0), "2");
	put_server(fleet, "3", "a", false, 0, 0);
	fleet_foreach(fleet, fail_server_3, NULL);
	assert_string_not_equal(pick_id(fleet, &query, 0), "3");
	fleet_destroy(fleet);
}

/* The connection limit of a server holds even if all instances open as many
 * connections as each of them may. */
static void test_connection_limit_across_instances(void **state)
{
	struct fleet *fleet = fleet_create(ignore_idle);
	struct fleet_query query = make_query();
	enum fleet_pick_status reason;
	uint32_t connections = 0;

	(void)state;
	query.max_conns = 110;
	put_server(fleet, "1", "a", false, 0, 0);
	for (struct fleet_server *s;
	     (s = fleet_pick(fleet, &query, 0, &reason)); connections++)
		fleet_on_send(s, 0);
	assert_int_equal(reason, FLEET_ALL_FULL);
	assert_true(connections > 0 &&
		    connections * INSTANCE_COUNT <= query.max_conns);
	fleet_destroy(fleet);
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
		cmocka_unit_test(test_placement_with_little_knowledge),
		cmocka_unit_test(test_slow_and_failing_servers_come_last),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
