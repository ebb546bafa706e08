/**
 * @file case.c
 * @brief A program's turns are more than a gateway's cache holds; the next turn
 * comes through a gateway of another zone.
 */
#include <stdio.h>
#include <string.h>

#include "rig.h"

enum {
	BODY_BYTES = 100000, /* the most in the site file (req_bytes) */
	PARENT_TURNS = 12,   /* of 14 at most */
	SUB_AGENTS = 4,	     /* after each turn, the most; one turn each */
	THINK_MS = 150,	     /* before a turn: the mean of fit-coach */
	TRIES = 6, /* a client has two, and sends a turn again twice */
	TRY_GAP_MS = 300,
	PROGRAM_AIM_MS = 20000,
	SLOTS = 48,
};

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"coach\",\"hostname\":"
	"\"ficu95.example\",\"prefix\":\"/coach/\",\"route_type\":\"stream\","
	"\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":0,\"service\":"
	"\"fit-models\",\"attempts\":2,\"retain\":true,\"retention_s\":60.0,"
	"\"public\":false,\"session_affinity\":true,\"resumable\":false,"
	"\"gap_target_ms\":300}],\"services\":[{\"name\":\"fit-models\","
	"\"health_path\":\"/healthz\",\"max_conns\":300,\"cold_start_s\":3.0,"
	"\"cold_per_s\":44.0,\"engine\":{\"slots\":48,\"kv_capacity\":841052,"
	"\"stride\":26}}],\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
	"\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":209,"
	"\"burst\":209}]}";

static int64_t program_started_ms;
static int most_running;

static void on_request(struct rig_conn *conn)
{
	rig_note_run(conn);
	rig_log("%s runs %s %s, body of %u bytes", conn->server->id,
		rig_header(conn, "Request-Id"), conn->target->str,
		conn->body->len);
	most_running = MAX(most_running, conn->server->running + 1);
	rig_stream(conn, 10, 3);
}

/* Sends a turn and waits for its answer. */
static void turn(struct rig_call *call, int gateway, const char *program,
		 const char *session, const char *previous, size_t bytes)
{
	char *body = g_malloc(bytes);
	GString *header = g_string_new(NULL);

	memset(body, 'x', bytes);
	g_string_printf(
		header,
		"Authorization: Bearer key-1\r\nModel: m\r\n"
		"Program-Id: %s\r\nSession-Id: %s\r\n"
		"Program-Deadline-Ms: %d\r\nToken-Budget: 100000\r\n"
		"Token-Usage: 1840,572\r\n",
		program, session,
		(int)(PROGRAM_AIM_MS - (rig_now_ms() - program_started_ms)));
	if (previous != NULL)
		g_string_append_printf(header, "Previous-Turn: %s\r\n",
				       previous);
	rig_send(call, gateway, NULL, "POST", "/coach/4b", header->str, body,
		 bytes, 3000);
	rig_run_until(&call->done, 3200);
	rig_log("gateway %d, program %s, session %s, turn %s after %s: "
		"status %d, %s, ran %u times",
		gateway, program, session, call->id,
		previous != NULL ? previous : "none", call->status,
		call->whole ? "whole" : "not whole", rig_count_runs(call->id));
	g_string_free(header, TRUE);
	g_free(body);
}

/* A turn through gateway 0, which has to be served. */
static void served_turn(const char *session, const char *previous, char *id)
{
	struct rig_call call = {0};

	turn(&call, 0, "p1", session, previous, BODY_BYTES);
	if (call.status != 200 || !call.whole)
		rig_cannot_run("a turn was not served");
	g_strlcpy(id, call.id, sizeof(call.id));
	rig_call_clear(&call);
}

int main(int argc, char **argv)
{
	static const char *const zones[] = {"nbo-a", "nbo-b", "nbo-c"};
	char last[20] = "";
	int reached = 0;
	int first_reached = 0;
	int firsts = 0;

	rig_create(argc, argv);
	rig.other_zone = "nbo-b";
	rig_put_config(config);
	for (int i = 0; i < 3; i++) {
		char *id = g_strdup_printf("i-%d", i + 1);
		struct rig_server *server =
			rig_server_create(id, "fit-models", zones[i], SLOTS, 0);

		server->on_request = on_request;
		server->on_close = rig_stream_close;
		g_free(id);
	}
	rig_start_gateways(2);
	program_started_ms = rig_now_ms();
	for (int i = 0; i < PARENT_TURNS; i++) {
		served_turn("s0", i > 0 ? last : NULL, last);
		for (int j = 0; j < SUB_AGENTS; j++) {
			char session[16];
			char id[20];

			g_snprintf(session, sizeof(session), "s%d.%d", i, j);
			served_turn(session, last, id);
		}
		rig_run(THINK_MS);
	}
	rig_log("the program's next turn comes through gateway %d",
		rig.trouble ? 1 : 0);
	most_running = 0;
	for (int i = 0; i < TRIES; i++) {
		struct rig_call first = {0};
		struct rig_call next = {0};
		char program[16];

		g_snprintf(program, sizeof(program), "other%d", i);
		turn(&first, rig.trouble ? 1 : 0, program, "s", NULL, 2000);
		firsts++;
		first_reached += rig_count_runs(first.id) > 0;
		turn(&next, rig.trouble ? 1 : 0, "p1", "s0", last, 2000);
		reached += rig_count_runs(next.id) > 0;
		rig_call_clear(&first);
		rig_call_clear(&next);
		rig_run(TRY_GAP_MS);
	}
	rig_log("of %d tries of the turn %d reached a server; of %d first "
		"turns "
		"%d did; at most %d of %d places of a server were taken; "
		"%.1f s of the program's aim of %.1f s had passed",
		TRIES, reached, firsts, first_reached, most_running, SLOTS,
		(double)(rig_now_ms() - program_started_ms) / 1000.0,
		PROGRAM_AIM_MS / 1000.0);
	if (first_reached * 10 < firsts * 9 || most_running * 2 >= SLOTS ||
	    rig_now_ms() - program_started_ms > PROGRAM_AIM_MS)
		rig_cannot_run("the rule does not apply");
	return rig_finish(reached == 0 ? RIG_BROKEN : RIG_HELD);
}
