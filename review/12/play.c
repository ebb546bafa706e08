/**
 * @file play.c
 * @brief A request on a kept channel, read late in a shutdown, is cut off.
 *
 * Clients hold channels to gateway 1, on which a stream runs when the gateway
 * gets SIGTERM. As soon as that stream ends, each sends its next turn on the
 * channel, which is still open.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig3.h"

enum {
	CLIENTS = 3,
	EVENTS = 14, /* a pause of 300 ms between them is on time */
	FIRST_MS = 20,
	PAUSE_MS = 300,
	TERM_AFTER_MS = 60, /* the first events have been passed on */
	LIMIT_MS = 4000,    /* of a turn */
};

static const char config[] =
	"{\"version\":3,\"routes\":[{\"name\":\"review\",\"hostname\":"
	"\"shop.example\",\"prefix\":\"/review/\",\"route_type\":\"stream\","
	"\"timeout_ms\":4000,\"slo_ms\":250,\"priority\":1,"
	"\"service\":\"kitchen\",\"attempts\":1,\"retain\":true,"
	"\"retention_s\":60.0,\"public\":false,\"session_affinity\":true,"
	"\"resumable\":false,\"gap_target_ms\":300}],"
	"\"services\":[{\"name\":\"kitchen\",\"health_path\":\"/healthz\","
	"\"max_conns\":240,\"cold_start_s\":3.0,\"cold_per_s\":44.0,"
	"\"engine\":{\"slots\":32,\"kv_capacity\":983462,\"stride\":26}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"key-one\"],"
	"\"rate_per_s\":209,\"burst\":209}]}";

struct client {
	int number;
	bool kept;    /* the channel was open, and its end was not announced */
	bool sent;    /* the second turn */
	bool is_lost; /* that has no whole answer */
	bool failed;  /* the first turn has none */
	int64_t cut_after_ms;
	pthread_t thread;
};

static int64_t term_ms;

/* Whether a server has begun to work on a request. */
static bool has_run[CLIENTS][2];

static bool serve(struct rig_server *server, const struct rig_request *request,
		  int fd)
{
	int client = 0;
	int turn = 0;
	char data[128];

	if (sscanf(request->id, "c%d-t%d", &client, &turn) == 2)
		has_run[client][turn] = true;
	rig_record("server %s runs %s", server->id, request->id);
	rig_sleep_ms(FIRST_MS);
	if (!rig_stream_begin(fd, request))
		return false;
	for (int i = 0; i < EVENTS; i++) {
		snprintf(data, sizeof(data), "%s piece %d", request->id, i);
		if (!rig_stream_event(fd, i, data)) {
			rig_record("server: the channel of %s is closed",
				   request->id);
			return false;
		}
		if (i + 1 < EVENTS)
			rig_sleep_ms(PAUSE_MS);
	}
	rig_record("server %s has ended %s", server->id, request->id);
	return rig_stream_end(fd);
}

static bool send_turn(int fd, int client, int turn)
{
	char id[RIG_ID_MAX];
	char fields[256];

	snprintf(id, sizeof(id), "c%d-t%d", client, turn);
	snprintf(fields, sizeof(fields),
		 "Program-Id: p%d\r\nSession-Id: s%d\r\n"
		 "Program-Deadline-Ms: 20000\r\nToken-Budget: 4000\r\n"
		 "Token-Usage: 40,364\r\nModel: m\r\nDeadline-Ms: %d\r\n",
		 client, client, LIMIT_MS);
	rig_record("client %d sends %s", client, id);
	return rig_post(fd, "/review/1", id, fields, "the input of a turn");
}

static void *run_client(void *arg)
{
	struct client *client = arg;
	struct rig_answer first = {0};
	struct rig_answer second = {0};
	char value[32];
	int64_t sent_ms;
	int fd = rig_open(0);

	if (fd < 0 || !send_turn(fd, client->number, 0)) {
		client->failed = true;
		return NULL;
	}
	rig_read(fd, &first, LIMIT_MS + 500);
	rig_record("client %d: first turn: %d, %s", client->number,
		   first.status, first.whole ? "whole" : "not whole");
	client->failed = first.status != 200 || !first.whole;
	client->kept = !client->failed && !(rig_field(first.head, "Connection",
						      value, sizeof(value)) &&
					    strcmp(value, "close") == 0);
	if (!client->kept)
		return NULL;
	sent_ms = rig_now_ms();
	client->sent = send_turn(fd, client->number, 1);
	rig_read(fd, &second, LIMIT_MS + 500);
	client->cut_after_ms = rig_now_ms() - sent_ms;
	client->is_lost = !second.whole;
	rig_record("client %d: second turn: %d, %s after %lld ms, sent %lld ms "
		   "after SIGTERM",
		   client->number, second.status,
		   second.whole ? "whole" : "not whole",
		   (long long)client->cut_after_ms,
		   (long long)(sent_ms - term_ms));
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct rig_server server;
	struct client clients[CLIENTS];
	char why[200];
	int lost = 0;
	int second = 0;

	if (argc != 2)
		return RIG_NOT_RUN;
	rig_start(argv[1]);
	rig_store_put("op", "config", config);
	rig_server_start(&server, "i-1", "kitchen", "v1", serve);
	rig_gateway_start(0);
	rig_gateway_start(1);
	rig_sleep_ms(7000);
	memset(clients, 0, sizeof(clients));
	for (int i = 0; i < CLIENTS; i++) {
		clients[i].number = i;
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	}
	rig_sleep_ms(TERM_AFTER_MS);
	term_ms = rig_now_ms();
	if (!rig_is_calm())
		rig_gateway_signal(0, SIGTERM);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	for (int i = 0; i < CLIENTS; i++) {
		if (clients[i].failed)
			rig_finish(RIG_NOT_RUN, "a first turn is not whole");
		second += has_run[i][1];
		lost += clients[i].sent && has_run[i][1] && clients[i].is_lost;
	}
	if (!rig_is_calm())
		rig_gateway_wait(0);
	else if (second < CLIENTS)
		rig_finish(RIG_NOT_RUN, "a second turn did not run");
	snprintf(why, sizeof(why),
		 "%d of %d second turns were passed on, %d of them have no "
		 "complete answer",
		 second, CLIENTS, lost);
	rig_finish(lost > 0 ? RIG_BROKEN : RIG_HELD, why);
}
