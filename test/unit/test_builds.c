/**
 * @file test_builds.c
 * @brief What earlier and later builds make of each other's messages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/util.h>
#include <netinet/in.h>

#include "decide/suspect.h"
#include "proto/message.h"
#include "serve/turns_int.h"
#include "test/gateway/fixture.h"

enum {
	OWN = 7, /* incarnations */
	FORMER = 8,
	OWN_TOKENS = 100,
	FORMER_TOKENS = 40,
	PEER_PORT = 2, /* see fixture_gateway_address() */
	LATER_KIND = 99,
	RECEIVED_MS = 100,
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
	struct program program = {.incarnation = OWN};
	GBytes *later = later_budget_row();
	Rows__Program *row;
	uint8_t *packed;
	size_t len;

	(void)state;
	turns_apply_budget_row(&program, later, 1, 0);
	assert_int_equal(program.budget.others, FORMER_TOKENS);
	packed = turns_pack_budget(&program, OWN_TOKENS, &len);
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

/* Sends a probe to an instance as a later build may: a rumor of a kind that
 * this one does not know, and a report with a field that it does not know. */
static void send_later_probe(uint64_t fingerprint, char *server)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	char *address = fixture_gateway_address(0, PEER_PORT);
	ProtobufCMessageUnknownField unknown;
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Probe probe = ROWS__PROBE__INIT;
	Rows__Rumor rumor = ROWS__RUMOR__INIT;
	Rows__Mark mark = ROWS__MARK__INIT;
	Rows__Rumor *rumors = &rumor;
	Rows__Mark *marks = &mark;
	int len = sizeof(to);
	uint8_t *packed;
	size_t size;
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	assert_int_equal(evutil_parse_sockaddr_port(
				 address, (struct sockaddr *)&to, &len),
			 0);
	set_unknown(&unknown, later_field);
	rumor.id = "later";
	rumor.kind = (Rows__Rumor__Kind)LATER_KIND;
	mark.fingerprint = fingerprint;
	mark.server = server;
	mark.has_started_ms = true;
	mark.started_ms = 1;
	mark.has_crashed = true;
	mark.crashed = true;
	mark.base.n_unknown_fields = 1;
	mark.base.unknown_fields = &unknown;
	probe.id = "later";
	probe.n_rumors = 1;
	probe.rumors = &rumors;
	probe.n_marks = 1;
	probe.marks = &marks;
	probe.base.n_unknown_fields = 1;
	probe.base.unknown_fields = &unknown;
	datagram.probe = &probe;
	packed = msg_pack(&datagram.base, &size);
	assert_int_equal(
		sendto(fd, packed, size, 0, (struct sockaddr *)&to, sizeof(to)),
		size);
	close(fd);
	g_free(packed);
	g_free(address);
}

static int call(void)
{
	struct fixture_response response;
	char *headers = g_strdup_printf(AUTH_HEADER "Request-Id: r%u\r\n",
					fx.next_id++);
	int status;

	fixture_request(&response, 0, "/order/x", headers, "b");
	status = response.status;
	fixture_response_clear(&response);
	g_free(headers);
	return status;
}

/* What can be read of a datagram counts, whatever else is in it. */
static void test_datagram_of_a_later_build(void **state)
{
	uint64_t fingerprint =
		suspect_fingerprint("t1", "POST", "/order/x", "b", 1);
	char *servers[] = {"gone1", "gone2", "gone3"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		send_later_probe(fingerprint, servers[i]);
	fixture_run_until(NULL, RECEIVED_MS);
	assert_true(fixture_is_ready(0));
	assert_int_equal(call(), 503);
	assert_int_equal(backend_received(fx.services[0]), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIXTURE_TEST(test_datagram_of_a_later_build),
		cmocka_unit_test(
			test_fields_of_a_later_build_stay_in_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
