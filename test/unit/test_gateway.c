/**
 * @file test_gateway.c
 * @brief Two instances between stand-ins, over loopback, by the published
 * protocol.
 *
 * Everything runs on one event loop: the store, two engines, a service, the
 * instances and their callers. Time is real and short. Each test starts the
 * whole anew.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <event2/event.h>
#include <sodium.h>

#include "serve/clock.h"
#include "serve/gateway.h"
#include "serve/hdr.h"
#include "serve/slog.h"
#include "serve/upstream.h"
#include "test/standins/backend.h"
#include "test/standins/rowstore.h"

#define LOG "build/test_gateway.log"
#define STORE "127.0.0.1:18400"
#define DOOR "127.0.0.1:18405"
#define ENGINE_1 "127.0.0.1:18401"
#define ENGINE_2 "127.0.0.1:18402"
#define SERVICE_1 "127.0.0.1:18403"
#define SERVICE_2 "127.0.0.1:18404"

enum {
	GATEWAYS = 2,
	EVENTS = 4,
	GAP_MS = 5,
	READY_MS = 5000,
	ANSWER_MS = 5000,
};

static const char config[] =
	"{\"version\":%d,\"routes\":["
	"{\"name\":\"kept\",\"hostname\":\"h\",\"prefix\":\"/kept/\","
	"\"route_type\":\"stream\",\"timeout_ms\":3000,\"slo_ms\":200,"
	"\"service\":\"engines\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":60,\"resumable\":false,\"gap_target_ms\":300},"
	"{\"name\":\"free\",\"hostname\":\"h\",\"prefix\":\"/free/\","
	"\"route_type\":\"stream\",\"timeout_ms\":3000,\"slo_ms\":200,"
	"\"service\":\"engines\",\"attempts\":2,\"retain\":false,"
	"\"resumable\":true,\"gap_target_ms\":300},"
	"{\"name\":\"get\",\"hostname\":\"h\",\"prefix\":\"/get/\","
	"\"route_type\":\"safe\",\"timeout_ms\":1000,\"slo_ms\":60,"
	"\"service\":\"shop\",\"attempts\":2},"
	"{\"name\":\"order\",\"hostname\":\"h\",\"prefix\":\"/order/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1000,\"slo_ms\":100,"
	"\"service\":\"shop\",\"attempts\":1}],"
	"\"services\":[{\"name\":\"engines\",\"engine\":{\"stride\":10}},"
	"{\"name\":\"shop\"}],\"limits\":{\"max_header_bytes\":8192,"
	"\"max_body_bytes\":100000,\"header_timeout_ms\":300,"
	"\"idle_timeout_ms\":60000},\"tenants\":["
	"{\"name\":\"t1\",\"api_keys\":[%s],\"rate_per_s\":0,\"burst\":0},"
	"{\"name\":\"t2\",\"api_keys\":[\"key-2\"],\"rate_per_s\":2,"
	"\"burst\":2}]}";

struct world {
	struct event_base *base;
	struct up *up;
	struct srs *store;
	struct sbe *engines[2];
	struct sbe *services[2];
	struct gw_settings settings[GATEWAYS];
	struct gw *gateways[GATEWAYS];
	GQueue idle[GATEWAYS];
	uint32_t next_id;
};

/* What a caller got. */
struct got {
	bool done;
	enum up_end end;
	int status;
	GString *body;
	char *signature;
	char *retry_after;
	struct up_call *call;
};

static struct world w;

static void got_head(void *arg, const struct up_head *head)
{
	struct got *got = arg;

	got->status = head->status;
	got->signature = g_strdup(hdr_get(head->headers, "Response-Signature"));
	got->retry_after = g_strdup(hdr_get(head->headers, "Retry-After"));
}

static void got_body(void *arg, const char *data, size_t len)
{
	struct got *got = arg;

	g_string_append_len(got->body, data, (gssize)len);
}

static void got_end(void *arg, enum up_end end, const char *step)
{
	struct got *got = arg;

	(void)step;
	got->call = NULL;
	got->end = end;
	got->done = true;
}

static const struct up_handler caller = {got_head, got_body, got_end};

static void got_clear(struct got *got)
{
	if (got->call != NULL)
		up_cancel(got->call);
	g_string_free(got->body, TRUE);
	g_free(got->signature);
	g_free(got->retry_after);
}

/* Runs the loop until @p flag is set, or for @p ms. */
static void run_until(const bool *flag, int64_t ms)
{
	int64_t until = clock_boot_ms() + ms;

	while ((flag == NULL || !*flag) && clock_boot_ms() < until) {
		struct timeval tv = {.tv_usec = 2000};

		event_base_loopexit(w.base, &tv);
		event_base_dispatch(w.base);
	}
}

static char *gateway_address(int i, int port)
{
	return g_strdup_printf("127.0.0.1:%d", 18410 + i * 10 + port);
}

static void put_config(int version, const char *keys)
{
	char *text = g_strdup_printf(config, version, keys);

	srs_put(w.store, "op", "", "config", text);
	g_free(text);
}

static void put_server(const char *id, const char *service, const char *address,
		       const char *state)
{
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,"
		"\"born\":1}",
		service, address, state);

	srs_put(w.store, "servers", "", id, text);
	g_free(text);
}

/* Sends a request; the result is filled in later. */
static void ask(struct got *got, int gateway, const char *method,
		const char *path, const char *headers, const char *body)
{
	char *address = gateway_address(gateway, 0);
	struct up_request request = {.address = address,
				     .idle = &w.idle[gateway],
				     .head = g_string_new(NULL),
				     .connect_ms = 1000};

	memset(got, 0, sizeof(*got));
	got->body = g_string_new(NULL);
	g_string_printf(request.head,
			"%s %s HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 2000\r\n"
			"%sContent-Length: %zu\r\n\r\n",
			method, path, headers, strlen(body));
	request.body = g_bytes_new(body, strlen(body));
	got->call = up_start(w.up, &request, &caller, got);
	g_bytes_unref(request.body);
	g_free(address);
}

static void call(struct got *got, int gateway, const char *path,
		 const char *headers, const char *body)
{
	ask(got, gateway, strstr(path, "/get/") ? "GET" : "POST", path, headers,
	    body);
	run_until(&got->done, ANSWER_MS);
	assert_true(got->done);
}

/* Asks one of an instance's own addresses. */
static void fetch(struct got *got, int gateway, int port, const char *path)
{
	char *address = gateway_address(gateway, port);
	GQueue idle = G_QUEUE_INIT;
	struct up_request request = {.address = address,
				     .idle = &idle,
				     .head = g_string_new(NULL),
				     .connect_ms = 200};

	memset(got, 0, sizeof(*got));
	got->body = g_string_new(NULL);
	g_string_printf(request.head,
			"GET %s HTTP/1.1\r\nHost: x\r\n"
			"Connection: close\r\n\r\n",
			path);
	got->call = up_start(w.up, &request, &caller, got);
	run_until(&got->done, 1000);
	up_close_idle(&idle);
	g_free(address);
}

static bool is_ready(int gateway)
{
	struct got got;
	bool ready;

	fetch(&got, gateway, 1, "/v1/readyz");
	ready = got.status == 200;
	got_clear(&got);
	return ready;
}

static void start_gateway(int i)
{
	w.gateways[i] = gw_create(w.base, &w.settings[i], "none");
	assert_non_null(w.gateways[i]);
}

static int set_up(void **state)
{
	(void)state;
	memset(&w, 0, sizeof(w));
	w.base = event_base_new();
	w.up = up_create(w.base);
	w.store = srs_create(w.base, STORE);
	srs_open_door(w.store, DOOR);
	w.engines[0] = sbe_create(w.base, ENGINE_1, "e1", EVENTS, GAP_MS);
	w.engines[1] = sbe_create(w.base, ENGINE_2, "e2", EVENTS, GAP_MS);
	w.services[0] = sbe_create(w.base, SERVICE_1, "s1", 0, 0);
	w.services[1] = sbe_create(w.base, SERVICE_2, "s2", 0, 0);
	put_config(1, "\"key-1\"");
	put_server("e1", "engines", ENGINE_1, "ready");
	put_server("s1", "shop", SERVICE_1, "ready");
	for (int i = 0; i < GATEWAYS; i++) {
		w.settings[i] = (struct gw_settings){
			.id = g_strdup_printf("g%d", i),
			.zone = g_strdup("z"),
			.callers = gateway_address(i, 0),
			.ready = gateway_address(i, 1),
			.peers = gateway_address(i, 2),
			.relay = gateway_address(i, 3),
			.metrics = gateway_address(i, 4),
			.store = g_strdup(i == 0 ? DOOR : STORE),
			.grace_s = 4,
			.revoke_ms = 5000,
			.quota_slack = 0,
			.cache_kb = 1024,
		};
		start_gateway(i);
	}
	for (int64_t until = clock_boot_ms() + READY_MS;
	     !(is_ready(0) && is_ready(1)) && clock_boot_ms() < until;)
		run_until(NULL, 20);
	run_until(NULL, 50);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < GATEWAYS; i++) {
		if (w.gateways[i] != NULL)
			gw_destroy(w.gateways[i]);
		up_close_idle(&w.idle[i]);
		g_free(w.settings[i].id);
		g_free(w.settings[i].zone);
		g_free(w.settings[i].callers);
		g_free(w.settings[i].ready);
		g_free(w.settings[i].peers);
		g_free(w.settings[i].relay);
		g_free(w.settings[i].metrics);
		g_free(w.settings[i].store);
	}
	for (int i = 0; i < 2; i++) {
		sbe_destroy(w.engines[i]);
		sbe_destroy(w.services[i]);
	}
	srs_destroy(w.store);
	up_destroy(w.up);
	event_base_free(w.base);
	slog_flush();
	return 0;
}

#define KEY "Authorization: Bearer key-1\r\n"
#define TURN "Program-Id: p\r\nSession-Id: s\r\nToken-Usage: 10,60\r\n"

static void test_plain_call(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	call(&got, 0, "/order/1", KEY "Request-Id: r1\r\nTenant: x\r\n",
	     "body");
	assert_int_equal(got.status, 200);
	assert_string_equal(got.body->str, "answer of s1");
	assert_string_equal(got.signature, "sig-s1");
	run = g_ptr_array_index(sbe_runs(w.services[0]), 0);
	assert_string_equal(run->account, "t1");
	assert_string_equal(run->body, "body");
	assert_null(strstr(run->head, "key-1"));
	got_clear(&got);
}

static void test_refusals(void **state)
{
	struct got got;

	(void)state;
	call(&got, 0, "/order/1", "Request-Id: r1\r\n", "");
	assert_int_equal(got.status, 401);
	got_clear(&got);
	call(&got, 0, "/order/1",
	     "Authorization: Bearer wrong\r\nRequest-Id: r2\r\n", "");
	assert_int_equal(got.status, 401);
	got_clear(&got);
	call(&got, 0, "/nowhere/1", KEY "Request-Id: r3\r\n", "");
	assert_int_equal(got.status, 404);
	got_clear(&got);
	assert_int_equal(sbe_runs(w.services[0])->len, 0);
}

static void test_faulty_answers_are_never_passed_on(void **state)
{
	static const struct {
		enum sbe_mode mode;
		int status; /* of what must not run twice */
		guint runs;
	} cases[] = {
		{SBE_RESETS, 502, 1},	{SBE_GARBLES, 502, 1},
		{SBE_UNSIGNED, 502, 1}, {SBE_ENCODED, 502, 1},
		{SBE_SILENT, 504, 1},	{SBE_REFUSES, 503, 0},
		{SBE_OTHER, 503, 0},	{SBE_FOREIGN, 200, 1},
		{SBE_EXTRA, 200, 1},	{SBE_FAILS, 500, 1},
	};
	guint runs = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct got got;
		char *headers = g_strdup_printf(KEY "Request-Id: o%zu\r\n", i);

		sbe_set_mode(w.services[0], cases[i].mode);
		call(&got, 0, "/order/1", headers, "x");
		g_free(headers);
		if (got.status != cases[i].status)
			print_error("case %zu\n", i);
		assert_int_equal(got.status, cases[i].status);
		runs += cases[i].runs;
		assert_int_equal(sbe_runs(w.services[0])->len, runs);
		if (got.status == 200)
			assert_string_equal(got.body->str, "answer of s1");
		if (got.status == 503)
			assert_non_null(got.retry_after);
		if (got.status >= 502)
			assert_null(got.signature);
		got_clear(&got);
		/* A server that failed is avoided for a while. */
		run_until(NULL, 20);
	}
}

static void test_idempotent_call_goes_elsewhere(void **state)
{
	struct got got;

	(void)state;
	sbe_set_mode(w.services[0], SBE_RESETS);
	sbe_set_mode(w.services[1], SBE_OK);
	put_server("s2", "shop", SERVICE_2, "ready");
	run_until(NULL, 100);
	for (int i = 0; i < 4; i++) {
		char *headers = g_strdup_printf(KEY "Request-Id: g%d\r\n", i);

		call(&got, 0, "/get/1", headers, "");
		g_free(headers);
		assert_int_equal(got.status, 200);
		assert_string_equal(got.body->str, "answer of s2");
		got_clear(&got);
	}
}

static void test_stream_with_history(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	call(&got, 0, "/kept/turn",
	     KEY TURN "Request-Id: t1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UP_WHOLE);
	assert_non_null(strstr(got.body->str, "id: 4\ndata: e1-4\n\n"));
	got_clear(&got);
	/* The other instance has never seen the program. */
	call(&got, 1, "/kept/turn",
	     KEY TURN "Request-Id: t2\r\nToken-Budget: 600\r\n"
		      "Previous-Turn: t1\r\n",
	     "two\n");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 1);
	assert_string_equal(run->body, "one\ne1-1\ne1-2\ne1-3\ne1-4\ntwo\n");
	/* A new program goes on from a turn of another one. */
	call(&got, 0, "/kept/turn",
	     KEY "Program-Id: q\r\nRequest-Id: t3\r\nToken-Usage: 1,60\r\n"
		 "Token-Budget: 600\r\nPrevious-Turn: t2\r\n",
	     "three\n");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 2);
	assert_non_null(strstr(run->body, "two\ne1-1\n"));
	assert_true(g_str_has_suffix(run->body, "three\n"));
	/* No such turn; and a turn of another account. */
	call(&got, 0, "/kept/turn",
	     KEY TURN "Request-Id: t4\r\nPrevious-Turn: t9\r\n", "x");
	assert_int_equal(got.status, 404);
	got_clear(&got);
	call(&got, 0, "/kept/turn",
	     "Authorization: Bearer key-2\r\nRequest-Id: t5\r\n" TURN
	     "Previous-Turn: t1\r\n",
	     "x");
	assert_int_equal(got.status, 404);
	got_clear(&got);
	assert_int_equal(sbe_runs(w.engines[0])->len, 3);
}

/* All instances are replaced: what was answered whole is still there. */
static void test_history_outlives_the_instances(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	call(&got, 0, "/kept/turn",
	     KEY TURN "Request-Id: t1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	for (int i = 0; i < GATEWAYS; i++) {
		gw_destroy(w.gateways[i]);
		up_close_idle(&w.idle[i]);
		start_gateway(i);
	}
	run_until(NULL, 300);
	call(&got, 1, "/kept/turn",
	     KEY TURN "Request-Id: t2\r\nToken-Budget: 600\r\n"
		      "Previous-Turn: t1\r\n",
	     "two\n");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	run = g_ptr_array_index(sbe_runs(w.engines[0]), 1);
	assert_true(g_str_has_prefix(run->body, "one\ne1-1\n"));
}

static void test_budget_over_instances(void **state)
{
	struct got got;
	int64_t began;
	int served = 0;

	(void)state;
	/* 40 tokens a turn, at most 60; the budget holds 240. */
	for (int i = 0; i < 12; i++) {
		char *headers = g_strdup_printf(
			KEY TURN "Request-Id: b%d\r\nToken-Budget: 240\r\n", i);

		call(&got, i % 2, "/free/turn", headers, "x");
		g_free(headers);
		assert_true(got.status == 200 || got.status == 402);
		served += got.status == 200;
		if (i == 11)
			assert_int_equal(got.status, 402);
		got_clear(&got);
	}
	assert_int_equal(sbe_runs(w.engines[0])->len, served);
	assert_in_range(served, 3, 7);
	/* A budget that holds no turn at all is said at once. */
	began = clock_boot_ms();
	call(&got, 0, "/free/turn",
	     KEY "Program-Id: z\r\nToken-Usage: 1,60\r\n"
		 "Request-Id: c1\r\nToken-Budget: 10\r\n",
	     "x");
	assert_int_equal(got.status, 402);
	assert_in_range(clock_boot_ms() - began, 0, 300);
	got_clear(&got);
}

static void test_stream_goes_on_elsewhere(void **state)
{
	struct got got;
	const struct sbe_run *run;

	(void)state;
	sbe_set_mode(w.engines[0], SBE_CUTS);
	ask(&got, 0, "POST", "/free/turn",
	    KEY "Request-Id: f1\r\nToken-Usage: 10,60\r\n", "x");
	run_until(NULL, 3);
	put_server("e2", "engines", ENGINE_2, "ready");
	run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UP_WHOLE);
	assert_string_equal(got.body->str,
			    "id: 1\ndata: e1-1\n\nid: 2\ndata: e2-2\n\n"
			    "id: 3\ndata: e2-3\n\nid: 4\ndata: e2-4\n\n");
	assert_string_equal(got.signature, "sig-e1");
	run = g_ptr_array_index(sbe_runs(w.engines[1]), 0);
	assert_int_equal(run->last_event, 1);
	got_clear(&got);
}

static void test_kept_stream_is_never_joined(void **state)
{
	struct got got;

	(void)state;
	put_server("e2", "engines", ENGINE_2, "ready");
	run_until(NULL, 100);
	sbe_set_mode(w.engines[0], SBE_CUTS);
	sbe_set_mode(w.engines[1], SBE_CUTS);
	call(&got, 0, "/kept/turn", KEY TURN "Request-Id: k1\r\n", "x");
	assert_int_equal(got.end, UP_BROKEN);
	assert_null(strstr(got.body->str, "id: 2"));
	assert_int_equal(
		sbe_runs(w.engines[0])->len + sbe_runs(w.engines[1])->len, 1);
	got_clear(&got);
}

/* What is not durable is not ended: a turn that was told whole can always be
 * continued. */
static void test_end_waits_for_the_store(void **state)
{
	struct got got;

	(void)state;
	ask(&got, 0, "POST", "/kept/turn", KEY TURN "Request-Id: w1\r\n", "x");
	run_until(NULL, 10);
	srs_set_mode(w.store, SRS_SILENT);
	run_until(&got.done, 400);
	assert_false(got.done);
	assert_non_null(strstr(got.body->str, "id: 4"));
	srs_set_mode(w.store, SRS_OK);
	run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.end, UP_WHOLE);
	got_clear(&got);
	call(&got, 1, "/kept/turn",
	     KEY TURN "Request-Id: w2\r\nPrevious-Turn: w1\r\n", "y");
	assert_int_equal(got.status, 200);
	got_clear(&got);
}

static void test_lost_answers_of_the_store(void **state)
{
	struct got got;

	(void)state;
	ask(&got, 0, "POST", "/kept/turn",
	    KEY TURN "Request-Id: l1\r\nToken-Budget: 600\r\n", "x");
	run_until(NULL, 18);
	srs_set_mode(w.store, SRS_LOST);
	run_until(&got.done, 100);
	srs_set_mode(w.store, SRS_OK);
	run_until(&got.done, ANSWER_MS);
	assert_int_equal(got.end, UP_WHOLE);
	got_clear(&got);
	/* One turn, in one row and one index row. */
	assert_int_equal(srs_rows(w.store, "aps-turns"), 1);
	assert_int_equal(srs_rows(w.store, "aps-programs"), 2);
}

static void test_store_away_is_said_at_once(void **state)
{
	struct got got;
	int64_t began;

	(void)state;
	srs_set_mode(w.store, SRS_BUSY);
	run_until(NULL, 1800);
	began = clock_boot_ms();
	call(&got, 0, "/kept/turn", KEY TURN "Request-Id: a1\r\n", "x");
	assert_int_equal(got.status, 503);
	assert_non_null(got.retry_after);
	assert_in_range(clock_boot_ms() - began, 0, 300);
	got_clear(&got);
	/* Calls that need no store go on while keys are young enough. */
	call(&got, 0, "/order/1", KEY "Request-Id: a2\r\n", "x");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	/* And no key is let in by an old configuration. */
	run_until(NULL, 3000);
	call(&got, 0, "/order/1", KEY "Request-Id: a3\r\n", "x");
	assert_int_equal(got.status, 503);
	assert_false(is_ready(0));
	got_clear(&got);
	srs_set_mode(w.store, SRS_OK);
	run_until(NULL, 500);
	call(&got, 0, "/kept/turn", KEY TURN "Request-Id: a4\r\n", "x");
	assert_int_equal(got.status, 200);
	got_clear(&got);
}

static void test_withdrawn_key_and_lost_history(void **state)
{
	struct got got;

	(void)state;
	srs_compact(w.store);
	put_config(5, "");
	run_until(NULL, 300);
	call(&got, 0, "/order/1", KEY "Request-Id: h1\r\n", "x");
	assert_int_equal(got.status, 401);
	got_clear(&got);
	/* A configuration never goes back. */
	put_config(3, "\"key-1\"");
	run_until(NULL, 200);
	call(&got, 0, "/order/1", KEY "Request-Id: h2\r\n", "x");
	assert_int_equal(got.status, 401);
	got_clear(&got);
	/* One that can't be read changes nothing. */
	srs_put(w.store, "op", "", "config", "{\"version\":9,");
	run_until(NULL, 200);
	call(&got, 0, "/order/1",
	     "Authorization: Bearer key-2\r\nRequest-Id: h3\r\n", "x");
	assert_int_equal(got.status, 200);
	got_clear(&got);
}

static void test_leaving_servers_and_zones(void **state)
{
	struct got got;

	(void)state;
	put_server("s1", "shop", SERVICE_1, "draining");
	run_until(NULL, 100);
	call(&got, 0, "/order/1", KEY "Request-Id: d1\r\n", "x");
	assert_int_equal(got.status, 503);
	got_clear(&got);
	put_server("s1", "shop", SERVICE_1, "ready");
	srs_put(w.store, "op", "", "evacuate/z", "{}");
	run_until(NULL, 100);
	call(&got, 0, "/order/1", KEY "Request-Id: d2\r\n", "x");
	assert_int_equal(got.status, 503);
	got_clear(&got);
	assert_int_equal(sbe_runs(w.services[0])->len, 0);
	srs_put(w.store, "op", "", "evacuate/z", NULL);
	run_until(NULL, 100);
	call(&got, 0, "/order/1", KEY "Request-Id: d3\r\n", "x");
	assert_int_equal(got.status, 200);
	got_clear(&got);
}

/* The store turns one instance away for longer than its keys may be old. */
static void test_store_through_another_instance(void **state)
{
	struct got got;

	(void)state;
	run_until(NULL, 500);
	srs_close_door(w.store, true);
	run_until(NULL, 5500);
	assert_true(is_ready(0));
	call(&got, 0, "/kept/turn",
	     KEY TURN "Request-Id: y1\r\nToken-Budget: 600\r\n", "one\n");
	assert_int_equal(got.status, 200);
	assert_int_equal(got.end, UP_WHOLE);
	got_clear(&got);
	/* And a key that is withdrawn ends there too. */
	put_config(4, "");
	run_until(NULL, 1500);
	call(&got, 0, "/order/1", KEY "Request-Id: y2\r\n", "x");
	assert_int_equal(got.status, 401);
	got_clear(&got);
}

/* Entries that lapse in an outage come back within two seconds of its end. One
 * that is still missing then is gone, however late it was removed. */
static void test_removal_after_an_outage(void **state)
{
	struct got got;

	(void)state;
	srs_set_mode(w.store, SRS_BUSY);
	run_until(NULL, 600);
	srs_set_mode(w.store, SRS_OK);
	run_until(NULL, 1000);
	srs_put(w.store, "servers", "", "s1", NULL);
	run_until(NULL, 100);
	call(&got, 0, "/order/1", KEY "Request-Id: v1\r\n", "x");
	assert_int_equal(got.status, 200);
	got_clear(&got);
	run_until(NULL, 1200);
	call(&got, 0, "/order/1", KEY "Request-Id: v2\r\n", "x");
	assert_int_equal(got.status, 503);
	got_clear(&got);
}

/* How many instances one of them believes that there are. */
static int instances_seen_by(int gateway)
{
	static const char name[] = "apricotshift_instances ";
	struct got got;
	const char *at;
	int count;

	fetch(&got, gateway, 4, "/metrics");
	at = strstr(got.body->str, name);
	count = at ? (int)g_ascii_strtoll(at + strlen(name), NULL, 10) : -1;
	got_clear(&got);
	return count;
}

/* An instance that hears nobody and can't read does not believe that it is
 * alone: it would take the whole of every account's rate. */
static void test_cut_off_instance_does_not_feel_alone(void **state)
{
	(void)state;
	run_until(NULL, 400);
	assert_int_equal(instances_seen_by(0), 2);
	srs_set_mode(w.store, SRS_BUSY);
	gw_destroy(w.gateways[1]);
	w.gateways[1] = NULL;
	run_until(NULL, 7000);
	assert_int_equal(instances_seen_by(0), 2);
	srs_set_mode(w.store, SRS_OK);
	run_until(NULL, 4500);
	assert_int_equal(instances_seen_by(0), 1);
}

static void test_caller_that_leaves_ends_the_run(void **state)
{
	struct got got;

	(void)state;
	ask(&got, 0, "POST", "/free/turn", KEY "Request-Id: c1\r\n", "x");
	run_until(NULL, 12);
	assert_int_equal(sbe_runs(w.engines[0])->len, 1);
	up_cancel(got.call);
	got.call = NULL;
	run_until(NULL, 200);
	assert_int_equal(sbe_cancelled(w.engines[0]), 1);
	got_clear(&got);
}

static void test_quota_over_instances(void **state)
{
	int served = 0;

	(void)state;
	/* 2 a second and a burst of 2, at two instances, for two seconds. */
	for (int i = 0; i < 40; i++) {
		struct got got;
		char *headers = g_strdup_printf(
			"Authorization: Bearer key-2\r\nRequest-Id: q%d\r\n",
			i);

		call(&got, i % 2, "/order/1", headers, "x");
		g_free(headers);
		assert_true(got.status == 200 || got.status == 429);
		if (got.status == 429)
			assert_non_null(got.retry_after);
		served += got.status == 200;
		got_clear(&got);
		run_until(NULL, 30);
	}
	assert_in_range(served, 2, 14);
}

static void test_graceful_stop(void **state)
{
	struct got under_way;
	struct got later;

	(void)state;
	ask(&under_way, 0, "POST", "/kept/turn", KEY TURN "Request-Id: s1\r\n",
	    "x");
	run_until(NULL, 8);
	gw_stop(w.gateways[0]);
	assert_false(is_ready(0));
	run_until(&under_way.done, ANSWER_MS);
	assert_int_equal(under_way.end, UP_WHOLE);
	got_clear(&under_way);
	/* A caller that has not heard yet is served. */
	call(&later, 0, "/order/1", KEY "Request-Id: s2\r\n", "x");
	assert_int_equal(later.status, 200);
	got_clear(&later);
	for (int i = 0; i < 400 && !gw_stopped(w.gateways[0]); i++)
		run_until(NULL, 10);
	assert_true(gw_stopped(w.gateways[0]));
}

/* How many lines of the log name @p request as refused or ended. */
static int final_lines(const char *log, const char *request)
{
	char *name = g_strdup_printf("\"request\":\"%s\"", request);
	char **lines = g_strsplit(log, "\n", -1);
	int count = 0;

	for (char **line = lines; *line != NULL; line++)
		count += strstr(*line, name) != NULL &&
			 (strstr(*line, "\"event\":\"refused\"") != NULL ||
			  strstr(*line, "\"event\":\"ended\"") != NULL);
	g_strfreev(lines);
	g_free(name);
	return count;
}

/* Every request has exactly one line that says how it ended and why, and no
 * key stands in the log. */
static void test_every_request_has_its_last_line(void **state)
{
	static const struct {
		enum sbe_mode mode;
		const char *path;
		const char *headers;
	} cases[] = {
		{SBE_OK, "/order/1", KEY "Request-Id: z0\r\n"},
		{SBE_OK, "/order/1", "Request-Id: z1\r\n"},
		{SBE_OK, "/nowhere/1", KEY "Request-Id: z2\r\n"},
		{SBE_RESETS, "/order/1", KEY "Request-Id: z3\r\n"},
		{SBE_REFUSES, "/order/1", KEY "Request-Id: z4\r\n"},
		{SBE_SILENT, "/order/1", KEY "Request-Id: z5\r\n"},
		{SBE_OK, "/kept/turn",
		 KEY TURN "Request-Id: z6\r\nPrevious-Turn: none\r\n"},
		{SBE_OK, "/free/turn",
		 KEY TURN "Request-Id: z7\r\nToken-Budget: 10\r\n"},
	};
	char *log;
	gsize len;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct got got;

		sbe_set_mode(w.services[0], cases[i].mode);
		call(&got, 0, cases[i].path, cases[i].headers, "x");
		got_clear(&got);
	}
	slog_flush();
	assert_true(g_file_get_contents(LOG, &log, &len, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "z%zu", i);
		assert_int_equal(final_lines(log, id), 1);
	}
	assert_null(strstr(log, "key-1"));
	assert_null(strstr(log, "key-2"));
	g_free(log);
}

#define CASE(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_plain_call),
		CASE(test_refusals),
		CASE(test_faulty_answers_are_never_passed_on),
		CASE(test_idempotent_call_goes_elsewhere),
		CASE(test_stream_with_history),
		CASE(test_history_outlives_the_instances),
		CASE(test_budget_over_instances),
		CASE(test_stream_goes_on_elsewhere),
		CASE(test_kept_stream_is_never_joined),
		CASE(test_end_waits_for_the_store),
		CASE(test_lost_answers_of_the_store),
		CASE(test_store_away_is_said_at_once),
		CASE(test_withdrawn_key_and_lost_history),
		CASE(test_leaving_servers_and_zones),
		CASE(test_store_through_another_instance),
		CASE(test_cut_off_instance_does_not_feel_alone),
		CASE(test_removal_after_an_outage),
		CASE(test_caller_that_leaves_ends_the_run),
		CASE(test_quota_over_instances),
		CASE(test_graceful_stop),
		CASE(test_every_request_has_its_last_line),
	};

	if (sodium_init() < 0 || freopen(LOG, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
