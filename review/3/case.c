/**
 * @file case.c
 * @brief One faulty server breaks off some of its streams, another one sends
 * some bytes that are no answer; streams are resumed there.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "decide/rng.h"
#include "rig.h"
#include "serve/clock.h"

enum {
	GATEWAYS = 3,
	SERVERS = 3,
	BREAKS_OFF = 0,	     /* a server that truncates answers */
	NO_ANSWERS = 1,	     /* a server that sends bytes that are no answer */
	SPOILED_PERCENT = 3, /* x = 0.03 of their answers */
	EVENTS = 10,
	GAP_MS = 4,
	SENDS_PER_S = 990,
	TRAFFIC_MS = 90000,
	CALLS_MAX = 100000,
	CALLS_KEPT = 4096, /* more than are ever under way */
	DEADLINE_MS = 3000,
	SLOTS = 48,
};

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"bench-tip\",\"hostname\":"
	"\"ficu95.example\",\"prefix\":\"/tip/\",\"route_type\":\"stream\","
	"\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":1,\"service\":"
	"\"fit-models\",\"attempts\":2,\"retain\":false,\"retention_s\":60.0,"
	"\"public\":false,\"session_affinity\":true,\"resumable\":true,"
	"\"gap_target_ms\":300}],\"services\":[{\"name\":\"fit-models\","
	"\"health_path\":\"/healthz\",\"max_conns\":300,\"cold_start_s\":3.0,"
	"\"cold_per_s\":44.0,\"engine\":{\"slots\":48,\"kv_capacity\":841052,"
	"\"stride\":26}}],\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
	"\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":4000,"
	"\"burst\":4000}]}";

static struct rng rng;
static struct rig_server *servers[SERVERS];
static struct rig_call calls[CALLS_KEPT];
static GQueue idle[GATEWAYS];
static int sent;
static int whole;
static int broken_off;
static int spoiled;
static int wrong;

static void on_cut(evutil_socket_t fd, short what, void *arg)
{
	struct rig_conn *conn = arg;

	(void)fd;
	(void)what;
	bufferevent_trigger_event(conn->bev, BEV_EVENT_EOF,
				  BEV_TRIG_DEFER_CALLBACKS);
}

/* Breaks off a stream in its fifth event. */
static void break_off(struct rig_conn *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	struct timeval tv = clock_timeval(GAP_MS);
	GString *part = g_string_new(NULL);

	for (int i = 1; i <= 4; i++)
		g_string_append_printf(part, "id: %d\ndata: %s-%d\n\n", i,
				       conn->server->id, i);
	g_string_append(part, "id: 5\nda");
	evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			    "Response-Signature: sig.%s\r\n"
			    "Content-Type: text/event-stream\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n",
			    rig_header(conn, "Request-Id"), conn->server->id,
			    part->len, part->str);
	rig_log("%s breaks off %s after event 4", conn->server->id,
		rig_header(conn, "Request-Id"));
	g_string_free(part, TRUE);
	broken_off++;
	event_assign(conn->timer, rig.base, -1, 0, on_cut, conn);
	event_add(conn->timer, &tv);
}

/* Sends a success without a Response-Signature. */
static void send_no_answer(struct rig_conn *conn)
{
	rig_log("%s sends bytes that are no answer to %s, Last-Event-Id \"%s\"",
		conn->server->id, rig_header(conn, "Request-Id"),
		rig_header(conn, "Last-Event-Id"));
	spoiled++;
	rig_answer(conn, 200, "", "no answer\n\n", 11);
	rig_conn_next(conn);
}

static void on_request(struct rig_conn *conn)
{
	bool spoils = rig.trouble && rng_below(&rng, 100) < SPOILED_PERCENT;

	rig_note_run(conn);
	if (spoils && conn->server == servers[BREAKS_OFF] &&
	    *rig_header(conn, "Last-Event-Id") == '\0')
		break_off(conn);
	else if (spoils && conn->server == servers[NO_ANSWERS])
		send_no_answer(conn);
	else
		rig_stream(conn, EVENTS, GAP_MS);
}

/* Whether a client has all events of a stream, in order and nothing else. */
static bool is_right(const char *body)
{
	const char *p = body;

	for (int i = 1; i <= EVENTS; i++) {
		char id[16];
		const char *end = strstr(p, "\n\n");

		g_snprintf(id, sizeof(id), "id: %d\n", i);
		if (end == NULL || !g_str_has_prefix(p, id))
			return false;
		p = end + 2;
	}
	return *p == '\0';
}

static void on_done(struct rig_call *call)
{
	if (!call->whole || call->status != 200)
		return;
	whole++;
	if (call->is_signed && is_right(call->body->str))
		return;
	wrong++;
	rig_log("MIXED: client has for %s a whole answer with status 200, %s:\n"
		"%s",
		call->id, call->is_signed ? "signed" : "not signed",
		call->body->str);
}

static void send_next(void)
{
	struct rig_call *call = &calls[sent % CALLS_KEPT];
	int gateway = sent % GATEWAYS;
	char header[256];

	if (sent >= CALLS_MAX)
		return;
	rig_call_clear(call);
	call->on_done = on_done;
	g_snprintf(header, sizeof(header),
		   "Authorization: Bearer key-1\r\nModel: m\r\n"
		   "Program-Id: p%d\r\nSession-Id: s%d\r\n"
		   "Program-Deadline-Ms: 6000\r\nToken-Usage: 1840,572\r\n",
		   sent, sent);
	sent++;
	rig_send(call, gateway, &idle[gateway], "POST", "/tip/2f", header,
		 "tip", 3, DEADLINE_MS);
}

int main(int argc, char **argv)
{
	int64_t began_ms;
	int64_t at_ms;

	rig_create(argc, argv);
	rng.state = (uint64_t)g_get_real_time();
	rig_put_config(config);
	for (int i = 0; i < SERVERS; i++) {
		char *id = g_strdup_printf("i-%d", i + 1);

		servers[i] =
			rig_server_create(id, "fit-models", "nbo-a", SLOTS, 0);
		servers[i]->on_request = on_request;
		servers[i]->on_close = rig_stream_close;
		g_free(id);
	}
	rig_start_gateways(GATEWAYS);
	began_ms = rig_now_ms();
	for (at_ms = began_ms; rig_now_ms() - began_ms < TRAFFIC_MS;) {
		for (; at_ms < rig_now_ms(); at_ms++) {
			if (rng_below(&rng, 1000) < SENDS_PER_S)
				send_next();
		}
		rig_run(2);
	}
	rig_run(DEADLINE_MS + 200);
	rig_log("%d streams, %d with a whole answer; %d were broken off by %s, "
		"%d times %s sent bytes that are no answer",
		sent, whole, broken_off, servers[BREAKS_OFF]->id, spoiled,
		servers[NO_ANSWERS]->id);
	rig_log("%d whole answers with status 200 are not a server's stream",
		wrong);
	return rig_finish(wrong > 0 ? RIG_BROKEN : RIG_HELD);
}
