/**
 * @file test_builds.c
 * @brief What earlier and later builds make of each other's messages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "proto/message.h"
#include "serve/turns_int.h"

enum {
	OWN = 7, /* incarnations */
	FORMER = 8,
	OWN_TOKENS = 100,
	FORMER_TOKENS = 40,
};

/* Fields 14 and 15, numbers, which this build does not know. */
static uint8_t later_field[] = {14 << 3, 42};
static uint8_t later_cap_field[] = {15 << 3, 43};

static void set_unknown(ProtobufCMessageUnknownField *field, uint8_t *bytes)
{
	*field = (ProtobufCMessageUnknownField){
		.tag = bytes[0] >> 3, .len = 1, .data = bytes + 1};
}

/* A budget row as a later build writes it. */
static GBytes *later_budget_row(void)
{
	ProtobufCMessageUnknownField unknown[2];
	Rows__Program row = ROWS__PROGRAM__INIT;
	Rows__Cap caps[2] = {ROWS__CAP__INIT, ROWS__CAP__INIT};
	Rows__Cap *list[2] = {&caps[0], &caps[1]};
	uint8_t *packed;
	size_t len;

	set_unknown(&unknown[0], later_field);
	set_unknown(&unknown[1], later_cap_field);
	caps[0].incarnation = OWN;
	caps[1].incarnation = FORMER;
	caps[1].tokens = FORMER_TOKENS;
	caps[1].base.n_unknown_fields = 1;
	caps[1].base.unknown_fields = &unknown[1];
	row.n_caps = 2;
	row.caps = list;
	row.base.n_unknown_fields = 1;
	row.base.unknown_fields = &unknown[0];
	packed = msg_pack(&row.base, &len);
	return g_bytes_new_take(packed, len);
}

static void assert_has(const ProtobufCMessage *message, const uint8_t *field)
{
	assert_int_equal(message->n_unknown_fields, 1);
	assert_int_equal(message->unknown_fields[0].tag, field[0] >> 3);
	assert_int_equal(message->unknown_fields[0].data[0], field[1]);
}

static void test_fields_of_a_later_build_stay_in_the_budget(void **state)
{
	struct turns turns = {.incarnation = OWN};
	struct program program = {.turns = &turns, .writing_cap = OWN_TOKENS};
	GBytes *later = later_budget_row();
	Rows__Program *row;
	uint8_t *packed;
	size_t len;

	(void)state;
	turns_apply_budget_row(&program, later, 1, 0);
	assert_int_equal(program.budget.others, FORMER_TOKENS);
	packed = turns_pack_budget(&program, &len);
	row = rows__program__unpack(NULL, len, packed);
	assert_non_null(row);
	assert_has(&row->base, later_field);
	assert_int_equal(row->n_caps, 2);
	assert_int_equal(row->caps[0]->incarnation, FORMER);
	assert_int_equal(row->caps[0]->tokens, FORMER_TOKENS);
	assert_has(&row->caps[0]->base, later_cap_field);
	assert_int_equal(row->caps[1]->incarnation, OWN);
	assert_int_equal(row->caps[1]->tokens, OWN_TOKENS);
	rows__program__free_unpacked(row, NULL);
	rows__program__free_unpacked(program.budget_row, NULL);
	g_bytes_unref(later);
	g_free(packed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_fields_of_a_later_build_stay_in_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
