/**
 * @file case.c
 * @brief Servers are full now and then, and faulty ones send a second copy of
 * an answer, late, where the next one on the channel is expected.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "decide/rng.h"
#include "rig.h"
#include "serve/clock.h"

enum {
	SERVERS = 3,
	FAULTY = 2, /* share = 0.6 of them */
	SLOTS = 6,
	QUEUE = 2, /* a server queues a few more */
	GATEWAYS = 8,
	COPY_PERCENT = 3, /* x = 0.03 of the answers */
	WORK_MIN_MS = 10,
	WORK_MAX_MS = 90,
	/* The servers bear 3 x 6 / 0.05 s = 360 requests a second. */
	SENDS_PER_S = 420,
	TRAFFIC_MS = 13000,
	FAULT_FROM_MS = 4000, /* of the traffic */
	FAULT_FOR_MS = 5000,
	CALLS_MAX = 10000,
	DEADLINE_MS = 1500,
};

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"lab-order\",\"hostname\":"
	"\"ficu95.example\",\"prefix\":\"/lab/\",\"route_type\":\"unsafe\","
	"\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":2,\"service\":"
	"\"shop-app\",\"attempts\":1,\"public\":false,\"session_affinity\":"
	"false}],\"services\":[{\"name\":\"shop-app\",\"health_path\":"
	"\"/healthz\",\"max_conns\":110,\"cold_start_s\":0.0,"
	"\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
	"\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":2000,"
	"\"burst\":2000}]}";

/* A server. */
struct shop {
	bool faulty;
	GQueue waiting; /* of struct rig_conn */
};

/* A channel. */
struct channel {
	char *copy; /* of the last answer, to be sent again; or NULL */
	bool running;
	bool waiting;
};

static bool copies_now;
static struct rng rng;
static int copies_of_refusals;
static int copies_sent;
static int refusals;
static struct rig_call calls[CALLS_MAX];
static int n_calls;
static GQueue idle[GATEWAYS];

static void start_work(struct rig_conn *conn);

static struct channel *channel_of(struct rig_conn *conn)
{
	if (conn->state == NULL)
		conn->state = g_new0(struct channel, 1);
	return conn->state;
}

/* Answers; a faulty server keeps some answers to send them once more. */
static void answer(struct rig_conn *conn, int status, const char *header,
		   const char *body)
{
	struct rig_server *server = conn->server;
	struct shop *shop = server->arg;
	struct channel *channel = channel_of(conn);
	char *fields = g_strdup_printf(
		"%sServer-Load: %d,%u,%d\r\n", header, server->running,
		g_queue_get_length(&shop->waiting), server->slots);

	rig_answer(conn, status, fields, body, strlen(body));
	if (shop->faulty && copies_now && rng_below(&rng, 100) < COPY_PERCENT) {
		channel->copy = g_strdup_printf(
			"HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n%s"
			"Content-Length: %zu\r\n\r\n%s",
			status, rig_header(conn, "Request-Id"), fields,
			strlen(body), body);
		copies_of_refusals += status == 503;
	}
	g_free(fields);
	rig_conn_next(conn);
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct rig_conn *conn = arg;
	struct shop *shop = conn->server->arg;
	struct rig_conn *next;

	(void)fd;
	(void)what;
	conn->server->running--;
	channel_of(conn)->running = false;
	answer(conn, 200, "Response-Signature: sig\r\n", "placed");
	next = g_queue_pop_head(&shop->waiting);
	if (next != NULL) {
		channel_of(next)->waiting = false;
		start_work(next);
	}
}

static void start_work(struct rig_conn *conn)
{
	struct timeval tv = clock_timeval(
		WORK_MIN_MS +
		(int64_t)rng_below(&rng, WORK_MAX_MS - WORK_MIN_MS));

	rig_note_run(conn);
	rig_log("%s runs %s", conn->server->id, rig_header(conn, "Request-Id"));
	conn->server->running++;
	channel_of(conn)->running = true;
	event_assign(conn->timer, rig.base, -1, 0, on_work_done, conn);
	event_add(conn->timer, &tv);
}

static void on_request(struct rig_conn *conn)
{
	struct rig_server *server = conn->server;
	struct shop *shop = server->arg;
	struct channel *channel = channel_of(conn);

	if (channel->copy != NULL) {
		evbuffer_add_printf(bufferevent_get_output(conn->bev), "%s",
				    channel->copy);
		rig_log("%s got %s and sends a second copy of the answer "
			"before: %.60s",
			server->id, rig_header(conn, "Request-Id"),
			channel->copy);
		copies_sent++;
		g_clear_pointer(&channel->copy, g_free);
	}
	if (server->running < server->slots) {
		start_work(conn);
	} else if (g_queue_get_length(&shop->waiting) < QUEUE) {
		channel->waiting = true;
		g_queue_push_tail(&shop->waiting, conn);
	} else {
		refusals++;
		rig_log("%s is full and refuses %s", server->id,
			rig_header(conn, "Request-Id"));
		answer(conn, 503, "Not-Executed: 1\r\n", "");
	}
}

static void on_close(struct rig_conn *conn)
{
	struct shop *shop = conn->server->arg;
	struct channel *channel = channel_of(conn);
	struct rig_conn *next;

	if (channel->waiting)
		g_queue_remove(&shop->waiting, conn);
	if (channel->running) {
		conn->server->running--;
		rig_log("%s stops work on %s, its channel was closed",
			conn->server->id, rig_header(conn, "Request-Id"));
		next = g_queue_pop_head(&shop->waiting);
		if (next != NULL) {
			channel_of(next)->waiting = false;
			start_work(next);
		}
	}
	g_free(channel->copy);
	g_free(channel);
	conn->state = NULL;
}

static void on_answered(struct rig_call *call)
{
	rig_log("client has for %s: status %d, %s", call->id, call->status,
		call->whole ? "whole" : "not whole");
}

static void send_next(void)
{
	struct rig_call *call = &calls[n_calls];
	int gateway = n_calls % GATEWAYS;

	if (n_calls >= CALLS_MAX)
		return;
	n_calls++;
	call->on_done = on_answered;
	rig_send(call, gateway, &idle[gateway], "POST", "/lab/2f",
		 "Authorization: Bearer key-1\r\n", "an order", 8, DEADLINE_MS);
	rig_log("client sends %s to gateway %d", call->id, gateway);
}

/* Sends orders at random times, SENDS_PER_S on average. */
static void send_orders(void)
{
	int64_t from_ms = rig_now_ms();
	int64_t now_ms = from_ms;
	int64_t at_ms;

	for (at_ms = from_ms; now_ms - from_ms < TRAFFIC_MS;
	     now_ms = rig_now_ms()) {
		copies_now = rig.trouble && now_ms - from_ms >= FAULT_FROM_MS &&
			     now_ms - from_ms < FAULT_FROM_MS + FAULT_FOR_MS;
		for (; at_ms < now_ms; at_ms++) {
			for (int i = 0; i < 2; i++) {
				if (rng_below(&rng, 2000) < SENDS_PER_S)
					send_next();
			}
		}
		rig_run(2);
	}
}

int main(int argc, char **argv)
{
	static struct shop shops[SERVERS];
	int twice = 0;
	int untrue = 0;
	int answered[600] = {0};

	rig_create(argc, argv);
	rng.state = (uint64_t)g_get_real_time();
	rig_put_config(config);
	for (int i = 0; i < SERVERS; i++) {
		char *id = g_strdup_printf("i-%d", i + 1);
		struct rig_server *server =
			rig_server_create(id, "shop-app", "nbo-a", SLOTS, 0);

		shops[i].faulty = i < FAULTY;
		server->arg = &shops[i];
		server->on_request = on_request;
		server->on_close = on_close;
		g_free(id);
	}
	rig_start_gateways(GATEWAYS);
	send_orders();
	rig_run(DEADLINE_MS + 500);
	for (int i = 0; i < n_calls; i++) {
		const struct rig_call *call = &calls[i];
		guint runs = rig_count_runs(call->id);

		answered[call->whole ? call->status : 0]++;
		if (runs > 1) {
			twice++;
			rig_log("TWICE: %s ran %u times, the client has %d",
				call->id, runs, call->status);
		}
		if (runs > 0 && call->whole &&
		    (call->status == 503 || call->status == 429)) {
			untrue++;
			rig_log("REFUSED: %s ran, the client has %d", call->id,
				call->status);
		}
	}
	rig_log("%d orders: %d have 200, %d have 503, %d have 502, %d have "
		"504, "
		"%d have no answer; %d refusals of servers; %d second copies "
		"sent; %d of refusals were kept to be sent again",
		n_calls, answered[200], answered[503], answered[502],
		answered[504], answered[0], refusals, copies_sent,
		copies_of_refusals);
	rig_log("%d orders ran twice, %d ran though the client was told that "
		"they did not",
		twice, untrue);
	return rig_finish(twice > 0 || untrue > 0 ? RIG_BROKEN : RIG_HELD);
}
