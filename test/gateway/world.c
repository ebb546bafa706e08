/** @file world.c @brief Two instances between stand-ins. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/slog.h"
#include "world.h"

enum {
	READY_MS = 5000,
};

struct world w;

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
	"\"max_body_bytes\":4194304,\"header_timeout_ms\":300,"
	"\"idle_timeout_ms\":60000},\"tenants\":["
	"{\"name\":\"t1\",\"api_keys\":[%s],\"rate_per_s\":0,\"burst\":0},"
	"{\"name\":\"t2\",\"api_keys\":[\"key-2\"],\"rate_per_s\":2,"
	"\"burst\":2}]}";

static void got_head(void *arg, const struct upstream_head *head)
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

static void got_end(void *arg, enum upstream_result end, const char *step)
{
	struct got *got = arg;

	(void)step;
	got->call = NULL;
	got->end = end;
	got->done = true;
}

static const struct upstream_handler caller = {got_head, got_body, got_end};

void wld_got_clear(struct got *got)
{
	if (got->call != NULL)
		upstream_cancel(got->call);
	g_string_free(got->body, TRUE);
	g_free(got->signature);
	g_free(got->retry_after);
}

void wld_run_until(const bool *flag, int64_t ms)
{
	int64_t until = clock_boot_ms() + ms;

	while ((flag == NULL || !*flag) && clock_boot_ms() < until) {
		struct timeval tv = {.tv_usec = 2000};

		event_base_loopexit(w.base, &tv);
		event_base_dispatch(w.base);
	}
}

char *wld_gateway_address(int i, int port)
{
	return g_strdup_printf("127.0.0.1:%d", 18410 + i * 10 + port);
}

void wld_put_config(int version, const char *keys)
{
	char *text = g_strdup_printf(config, version, keys);

	srs_put(w.store, "op", "", "config", text);
	g_free(text);
}

void wld_put_server(const char *id, const char *service, const char *address,
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

void wld_ask(struct got *got, int gateway, const char *method, const char *path,
	     const char *headers, const char *body)
{
	char *address = wld_gateway_address(gateway, 0);
	struct upstream_request request = {.address = address,
					   .idle = &w.idle[gateway],
					   .head = g_string_new(NULL),
					   .connect_timeout_ms = 1000};

	memset(got, 0, sizeof(*got));
	got->body = g_string_new(NULL);
	g_string_printf(request.head,
			"%s %s HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 2000\r\n"
			"%sContent-Length: %zu\r\n\r\n",
			method, path, headers, strlen(body));
	request.body = g_bytes_new(body, strlen(body));
	got->call = upstream_send(w.upstream, &request, &caller, got);
	g_bytes_unref(request.body);
	g_free(address);
}

void wld_call(struct got *got, int gateway, const char *path,
	      const char *headers, const char *body)
{
	wld_ask(got, gateway, strstr(path, "/get/") ? "GET" : "POST", path,
		headers, body);
	wld_run_until(&got->done, ANSWER_MS);
	assert_true(got->done);
}

void wld_fetch(struct got *got, int gateway, int port, const char *path)
{
	char *address = wld_gateway_address(gateway, port);
	GQueue idle = G_QUEUE_INIT;
	struct upstream_request request = {.address = address,
					   .idle = &idle,
					   .head = g_string_new(NULL),
					   .connect_timeout_ms = 200};

	memset(got, 0, sizeof(*got));
	got->body = g_string_new(NULL);
	g_string_printf(request.head,
			"GET %s HTTP/1.1\r\nHost: x\r\n"
			"Connection: close\r\n\r\n",
			path);
	got->call = upstream_send(w.upstream, &request, &caller, got);
	wld_run_until(&got->done, 1000);
	upstream_close_idle(&idle);
	g_free(address);
}

bool wld_is_ready(int gateway)
{
	struct got got;
	bool ready;

	wld_fetch(&got, gateway, 1, "/v1/readyz");
	ready = got.status == 200;
	wld_got_clear(&got);
	return ready;
}

void wld_start_gateway(int i)
{
	w.gateways[i] = gw_create(w.base, &w.settings[i], "none");
	assert_non_null(w.gateways[i]);
}

int wld_set_up(void **state)
{
	(void)state;
	memset(&w, 0, sizeof(w));
	w.base = event_base_new();
	w.upstream = upstream_create(w.base);
	w.store = srs_create(w.base, STORE);
	srs_open_door(w.store, DOOR);
	w.engines[0] = sbe_create(w.base, ENGINE_1, "e1", EVENTS, GAP_MS);
	w.engines[1] = sbe_create(w.base, ENGINE_2, "e2", EVENTS, GAP_MS);
	w.services[0] = sbe_create(w.base, SERVICE_1, "s1", 0, 0);
	w.services[1] = sbe_create(w.base, SERVICE_2, "s2", 0, 0);
	wld_put_config(1, "\"key-1\"");
	wld_put_server("e1", "engines", ENGINE_1, "ready");
	wld_put_server("s1", "shop", SERVICE_1, "ready");
	for (int i = 0; i < GATEWAYS; i++) {
		w.settings[i] = (struct gw_settings){
			.id = g_strdup_printf("g%d", i),
			.zone = g_strdup("z"),
			.callers = wld_gateway_address(i, 0),
			.ready = wld_gateway_address(i, 1),
			.peers = wld_gateway_address(i, 2),
			.relay = wld_gateway_address(i, 3),
			.metrics = wld_gateway_address(i, 4),
			.store = g_strdup(i == 0 ? DOOR : STORE),
			.grace_s = 4,
			.revoke_ms = 5000,
			.quota_slack = 0,
			.cache_kb = 4096,
			.sweep_ms = 50,
		};
		wld_start_gateway(i);
	}
	for (int64_t until = clock_boot_ms() + READY_MS;
	     !(wld_is_ready(0) && wld_is_ready(1)) && clock_boot_ms() < until;)
		wld_run_until(NULL, 20);
	wld_run_until(NULL, 50);
	return 0;
}

int wld_tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < GATEWAYS; i++) {
		if (w.gateways[i] != NULL)
			gw_destroy(w.gateways[i]);
		upstream_close_idle(&w.idle[i]);
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
	upstream_destroy(w.upstream);
	event_base_free(w.base);
	slog_flush();
	return 0;
}
