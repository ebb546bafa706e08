/**
 * @file case.c
 * @brief A client hides a request behind the body of its own; the process ends
 * and with it the requests of all others.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <event2/buffer.h>

#include "rig.h"
#include "serve/clock.h"

enum {
	GATEWAYS = 2,
	CLIENTS = 8,   /* on kept channels, at each gateway */
	WORK_MS = 200, /* the most of a lab-order */
	STRIKE_AFTER_MS = 100,
	DEADLINE_MS = 1500,
	LOST_MAX = 3, /* in the rule */
	SLOTS = 6,
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
	"\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":209,"
	"\"burst\":209},{\"name\":\"puxa403\",\"api_keys\":[\"key-2\"],"
	"\"priority\":1,\"rate_per_s\":209,\"burst\":209}]}";

static GQueue channels[GATEWAYS][CLIENTS];
static bool ended[GATEWAYS];

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct rig_conn *conn = arg;

	(void)fd;
	(void)what;
	rig_answer(conn, 200, "Response-Signature: sig\r\n", "placed", 6);
	rig_conn_next(conn);
}

static void on_request(struct rig_conn *conn)
{
	struct timeval tv = clock_timeval(WORK_MS);

	rig_note_run(conn);
	rig_log("%s runs %s of %s, body \"%.*s\"", conn->server->id,
		rig_header(conn, "Request-Id"), rig_header(conn, "Tenant"),
		(int)conn->body->len, (const char *)conn->body->data);
	event_assign(conn->timer, rig.base, -1, 0, on_work_done, conn);
	event_add(conn->timer, &tv);
}

static void send_order(struct rig_call *call, int gateway, int client)
{
	rig_send(call, gateway, &channels[gateway][client], "POST", "/lab/2f",
		 "Authorization: Bearer key-1\r\n", "an order", 8, DEADLINE_MS);
}

static void on_raw_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	char *text = g_strndup((const char *)evbuffer_pullup(in, -1),
			       evbuffer_get_length(in));

	(void)arg;
	rig_log("the other client got: %.120s",
		g_strdelimit(text, "\r\n", ' '));
	g_free(text);
	evbuffer_drain(in, evbuffer_get_length(in));
}

static void on_raw_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)arg;
	if (!(what & BEV_EVENT_CONNECTED))
		rig_log("the other client's channel has ended");
}

/* Another tenant's client sends an order and, behind its body, bytes that look
 * like the end of a chunked body and a further request. */
static struct bufferevent *strike(int gateway)
{
	static const char hidden[] =
		"0\r\n\r\nPOST /lab/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		"Request-Id: hidden\r\nContent-Length: 0\r\n\r\n";
	struct bufferevent *bev = bufferevent_socket_new(
		rig.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	evutil_parse_sockaddr_port(rig.gateways[gateway].callers,
				   (struct sockaddr *)&addr, &len);
	bufferevent_setcb(bev, on_raw_read, NULL, on_raw_event, NULL);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(bev, (struct sockaddr *)&addr, len);
	evbuffer_add_printf(bufferevent_get_output(bev),
			    "POST /lab/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			    "Request-Id: other%d\r\nDeadline-Ms: 1500\r\n"
			    "Authorization: Bearer key-2\r\n"
			    "Content-Length: 8\r\n\r\nan order%s",
			    gateway, rig.trouble ? hidden : "");
	rig_log("the other client sends request other%d to gateway %d, %s",
		gateway, gateway,
		rig.trouble ? "and hides a request behind its body"
			    : "and nothing behind its body");
	return bev;
}

/* Reaps a gateway that has ended by itself. */
static void check_process(int gateway)
{
	struct rig_gateway *gw = &rig.gateways[gateway];
	int status;

	if (waitpid(gw->pid, &status, WNOHANG) != gw->pid)
		return;
	ended[gateway] = true;
	rig_log("gateway %d, process %d, has ended by itself: %s %d", gateway,
		(int)gw->pid, WIFSIGNALED(status) ? "signal" : "exit status",
		WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	gw->pid = 0;
}

/* Returns how many requests were passed on and have no answer. */
static int play(int gateway)
{
	struct rig_call first[CLIENTS] = {0};
	struct rig_call second[CLIENTS] = {0};
	struct bufferevent *bev;
	int lost = 0;

	for (int i = 0; i < CLIENTS; i++)
		send_order(&first[i], gateway, i);
	for (int i = 0; i < CLIENTS; i++) {
		rig_run_until(&first[i].done, DEADLINE_MS);
		if (first[i].status != 200)
			rig_cannot_run("a first order was not served");
	}
	bev = strike(gateway);
	rig_run(STRIKE_AFTER_MS);
	for (int i = 0; i < CLIENTS; i++)
		send_order(&second[i], gateway, i);
	for (int i = 0; i < CLIENTS; i++) {
		rig_run_until(&second[i].done, DEADLINE_MS + 100);
		check_process(gateway);
		rig_log("client %d of gateway %d, order %s on its kept "
			"channel: %s, ran %u times",
			i, gateway, second[i].id,
			second[i].whole ? "answered" : "no answer",
			rig_count_runs(second[i].id));
		lost += !second[i].whole && rig_count_runs(second[i].id) > 0;
	}
	rig_run(500);
	check_process(gateway);
	for (int i = 0; i < CLIENTS; i++) {
		rig_call_clear(&first[i]);
		rig_call_clear(&second[i]);
		upstream_close_idle(&channels[gateway][i]);
	}
	bufferevent_free(bev);
	return lost;
}

int main(int argc, char **argv)
{
	int lost[GATEWAYS];
	bool broken = false;

	rig_create(argc, argv);
	rig_put_config(config);
	for (int i = 0; i < 3; i++) {
		char *id = g_strdup_printf("i-%d", i + 1);
		struct rig_server *server =
			rig_server_create(id, "shop-app", "nbo-a", SLOTS, 0);

		server->on_request = on_request;
		g_free(id);
	}
	rig_start_gateways(GATEWAYS);
	for (int i = 0; i < GATEWAYS; i++)
		lost[i] = play(i);
	for (int i = 0; i < GATEWAYS; i++) {
		rig_log("gateway %d: %d orders of kept channels were passed on "
			"and their channels closed without an answer; the "
			"process %s",
			i, lost[i], ended[i] ? "ended by itself" : "runs");
		broken |= lost[i] > LOST_MAX;
	}
	return rig_finish(broken ? RIG_BROKEN : RIG_HELD);
}
