/** @file test_ledger.c @brief Quota ledger and conditional table writes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "decide/ledger.h"
#include "decide/rng.h"
#include "table/memtable.h"

static int64_t now = 1000;

static int64_t get_now(void *arg)
{
	(void)arg;
	return now;
}

static const struct clk clk = {.now_ms = get_now};
static const struct rules_account account = {
	.name = (char *)"a", .rate = 10, .burst = 5};

static uint32_t request_grant(struct ledger *led, uint64_t id, uint32_t want)
{
	Aps__GrantAsk msg = APS__GRANT_ASK__INIT;
	uint32_t wait;

	msg.ask_id = id;
	msg.want = want;
	return ledger_grant(led, &account, &msg, &wait);
}

/* A new holder must wait until every grant of the previous holder has expired;
 * only then do the buckets fill. */
static void test_buckets_start_empty(void **state)
{
	struct ledger *led = ledger_create(&clk);

	(void)state;
	for (int shard = 0; shard < SHARD_COUNT; shard++)
		ledger_acquire_shard(led, shard);
	assert_int_equal(request_grant(led, 1, 10), 0);
	now += LEDGER_GRANT_LIFETIME_MS;
	assert_int_equal(request_grant(led, 2, 10), 0);
	now += 1000;
	assert_int_equal(request_grant(led, 3, 10), 5);
	ledger_destroy(led);
}

/* All unexpired grants could be spent at the same instant, so their sum must
 * not exceed the burst. */
static void test_outstanding_grants_within_burst(void **state)
{
	enum { REQUEST_COUNT = 20000 };
	static struct {
		int64_t asked_ms;
		uint32_t count;
	} grants[REQUEST_COUNT];
	struct ledger *led = ledger_create(&clk);
	struct rng rng = {.state = 3};

	(void)state;
	for (int i = 0; i < REQUEST_COUNT; i++) {
		uint32_t outstanding = 0;

		now += (int64_t)rng_below(&rng, 50);
		grants[i].asked_ms = now;
		grants[i].count = request_grant(led, (uint64_t)i + 1,
						(uint32_t)rng_below(&rng, 4));
		for (int j = i;
		     j >= 0 &&
		     grants[j].asked_ms + LEDGER_GRANT_LIFETIME_MS > now;
		     j--)
			outstanding += grants[j].count;
		assert_true(outstanding <= account.burst);
	}
	ledger_destroy(led);
}

static Aps__TableReply *put_row(struct memtable *table, uint64_t version)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	Aps__Condition condition = APS__CONDITION__INIT;
	Aps__Condition *conditions = &condition;
	Aps__Row row = APS__ROW__INIT;
	Aps__Row *rows = &row;

	condition.key = (char *)"k";
	condition.version = version;
	row.key = (char *)"k";
	row.value.data = (uint8_t *)"v";
	row.value.len = 1;
	request.op = APS__TABLE_REQUEST__OP__TXN;
	request.n_conditions = 1;
	request.conditions = &conditions;
	request.n_puts = 1;
	request.puts = &rows;
	return memtable_request(table, &request);
}

static void test_table_conditions(void **state)
{
	struct memtable *table = memtable_create();
	Aps__TableReply *first = put_row(table, 0);
	Aps__TableReply *stale = put_row(table, 0);
	Aps__TableReply *current = put_row(table, first->version);

	(void)state;
	assert_false(first->refused);
	assert_true(stale->refused);
	assert_string_equal(stale->rows[0]->key, "k");
	assert_int_equal(stale->rows[0]->version, first->version);
	assert_false(current->refused);
	aps__table_reply__free_unpacked(first, NULL);
	aps__table_reply__free_unpacked(stale, NULL);
	aps__table_reply__free_unpacked(current, NULL);
	memtable_destroy(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_buckets_start_empty),
		cmocka_unit_test(test_outstanding_grants_within_burst),
		cmocka_unit_test(test_table_conditions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
