/**
 * @file fixture.h
 * @brief Two instances between stand-ins, over loopback, by the published
 * protocol.
 *
 * Everything runs on one event loop: the store, two engines, a service, the
 * instances and their callers. Time is real and short. Each test starts the
 * whole anew.
 */
#ifndef APS_TEST_FIXTURE_H
#define APS_TEST_FIXTURE_H

#include <event2/event.h>

#include "serve/gateway.h"
#include "serve/upstream.h"
#include "test/standins/backend.h"
#include "test/standins/rowstore.h"

#define STORE_ADDRESS "127.0.0.1:18400"
#define STORE_ALT_ADDRESS "127.0.0.1:18405"
#define ENGINE_1_ADDRESS "127.0.0.1:18401"
#define ENGINE_2_ADDRESS "127.0.0.1:18402"
#define SERVICE_1_ADDRESS "127.0.0.1:18403"
#define SERVICE_2_ADDRESS "127.0.0.1:18404"

enum {
	GATEWAY_COUNT = 2,
	STREAM_EVENTS = 4,
	EVENT_GAP_MS = 5,
	RESPONSE_TIMEOUT_MS = 5000,
};

struct fixture {
	struct event_base *base;
	struct up *up;
	struct rowstore *store;
	struct backend *engines[2];
	struct backend *services[2];
	struct gw_settings settings[GATEWAY_COUNT];
	struct gw *gateways[GATEWAY_COUNT];
	GQueue idle[GATEWAY_COUNT];
	uint32_t next_id;
};

/** What a caller got. */
struct response {
	bool done;
	enum up_end end;
	int status;
	GString *body;
	char *signature;
	char *retry_after;
	struct up_call *call;
};

extern struct fixture fx;

#define AUTH_HEADER "Authorization: Bearer key-1\r\n"
#define TURN_HEADERS "Program-Id: p\r\nSession-Id: s\r\nToken-Usage: 10,60\r\n"

#define FIXTURE_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, fixture_set_up, fixture_tear_down)

/** Runs the loop until @p flag is set, or for @p ms. */
void fixture_run_until(const bool *flag, int64_t ms);
/** The address of an instance: 0 callers, 1 ready, 2 peers, 3 relay, 4
 * metrics; to be freed. */
char *fixture_gateway_address(int i, int port);
/** Writes a configuration in which @p keys stand for account t1. */
void fixture_put_config(int version, const char *keys);
void fixture_put_server(const char *id, const char *service,
			const char *address, const char *state);
/** Sends a request; the result is filled in later. */
void fixture_send(struct response *response, int gateway, const char *method,
		  const char *path, const char *headers, const char *body);
/** Sends a request and waits for its end. */
void fixture_request(struct response *response, int gateway, const char *path,
		     const char *headers, const char *body);
/** Asks one of an instance's own addresses. */
void fixture_get(struct response *response, int gateway, int port,
		 const char *path);
bool fixture_is_ready(int gateway);
void fixture_start_gateway(int i);
void fixture_response_clear(struct response *response);
int fixture_set_up(void **state);
int fixture_tear_down(void **state);

#endif
