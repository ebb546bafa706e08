/**
 * @file world.h
 * @brief Two instances between stand-ins, over loopback, by the published
 * protocol.
 *
 * Everything runs on one event loop: the store, two engines, a service, the
 * instances and their callers. Time is real and short. Each test starts the
 * whole anew.
 */
#ifndef APS_TEST_WORLD_H
#define APS_TEST_WORLD_H

#include <event2/event.h>

#include "serve/gateway.h"
#include "serve/upstream.h"
#include "test/standins/backend.h"
#include "test/standins/rowstore.h"

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
	ANSWER_MS = 5000,
};

struct world {
	struct event_base *base;
	struct upstream *upstream;
	struct srs *store;
	struct sbe *engines[2];
	struct sbe *services[2];
	struct gw_settings settings[GATEWAYS];
	struct gw *gateways[GATEWAYS];
	GQueue idle[GATEWAYS];
	uint32_t next_id;
};

/** What a caller got. */
struct got {
	bool done;
	enum upstream_result end;
	int status;
	GString *body;
	char *signature;
	char *retry_after;
	struct upstream_call *call;
};

extern struct world w;

#define KEY "Authorization: Bearer key-1\r\n"
#define TURN "Program-Id: p\r\nSession-Id: s\r\nToken-Usage: 10,60\r\n"

#define CASE(test)                                                             \
	cmocka_unit_test_setup_teardown(test, wld_set_up, wld_tear_down)

/** Runs the loop until @p flag is set, or for @p ms. */
void wld_run_until(const bool *flag, int64_t ms);
/** The address of an instance: 0 callers, 1 ready, 2 peers, 3 relay, 4
 * metrics; to be freed. */
char *wld_gateway_address(int i, int port);
/** Writes a configuration in which @p keys stand for account t1. */
void wld_put_config(int version, const char *keys);
void wld_put_server(const char *id, const char *service, const char *address,
		    const char *state);
/** Sends a request; the result is filled in later. */
void wld_ask(struct got *got, int gateway, const char *method, const char *path,
	     const char *headers, const char *body);
/** Sends a request and waits for its end. */
void wld_call(struct got *got, int gateway, const char *path,
	      const char *headers, const char *body);
/** Asks one of an instance's own addresses. */
void wld_fetch(struct got *got, int gateway, int port, const char *path);
bool wld_is_ready(int gateway);
void wld_start_gateway(int i);
void wld_got_clear(struct got *got);
int wld_set_up(void **state);
int wld_tear_down(void **state);

#endif
