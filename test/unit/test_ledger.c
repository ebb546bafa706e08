/** @file test_ledger.c @brief The ledger, and the table's conditions. */
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
static const struct rul_account account = {
	.name = (char *)"a", .rate = 10, .burst = 5};

static uint32_t ask(struct ledger *led, uint64_t id, uint32_t want)
{
	Aps__GrantAsk msg = APS__GRANT_ASK__INIT;
	uint32_t wait;

	msg.ask_id = id;
	msg.want = want;
	return led_grant(led, &account, &msg, &wait);
}

static void test_starts_empty(void **state)
{
	struct ledger *led = led_create(&clk);

	(void)state;
	for (int shard = 0; shard < SHD_COUNT; shard++)
		led_take_shard(led, shard);
	assert_int_equal(ask(led, 1, 10), 0);
	now += LED_GRANT_LIFE_MS;
	assert_int_equal(ask(led, 2, 10), 0);
	now += 1000;
	assert_int_equal(ask(led, 3, 10), 5);
	led_destroy(led);
}

/* All grants that are alive could be spent in one instant. */
static void test_hoarded_grants(void **state)
{
	enum { ASKS = 20000 };
	static struct {
		int64_t at;
		uint32_t count;
	} grants[ASKS];
	struct ledger *led = led_create(&clk);
	struct rng rng = {.state = 3};

	(void)state;
	for (int i = 0; i < ASKS; i++) {
		uint32_t alive = 0;

		now += (int64_t)rng_below(&rng, 50);
		grants[i].at = now;
		grants[i].count =
			ask(led, (uint64_t)i + 1, (uint32_t)rng_below(&rng, 4));
		for (int j = i;
		     j >= 0 && grants[j].at + LED_GRANT_LIFE_MS > now; j--)
			alive += grants[j].count;
		assert_true(alive <= account.burst);
	}
	led_destroy(led);
}

static Aps__TableReply *put(struct memtable *table, uint64_t version)
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

static void test_table(void **state)
{
	struct memtable *table = memtable_create();
	Aps__TableReply *first = put(table, 0);
	Aps__TableReply *again = put(table, 0);
	Aps__TableReply *next = put(table, first->version);

	(void)state;
	assert_false(first->refused);
	assert_true(again->refused);
	assert_string_equal(again->rows[0]->key, "k");
	assert_int_equal(again->rows[0]->version, first->version);
	assert_false(next->refused);
	aps__table_reply__free_unpacked(first, NULL);
	aps__table_reply__free_unpacked(again, NULL);
	aps__table_reply__free_unpacked(next, NULL);
	memtable_destroy(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starts_empty),
		cmocka_unit_test(test_hoarded_grants),
		cmocka_unit_test(test_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
