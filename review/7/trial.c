/**
 * @file trial.c
 * @brief A turn whose stream is resumed after its gateway was killed.
 *
 * The client has received some events of a turn when its gateway is killed. It
 * goes on at the other gateway with Last-Event-Id, gets the rest, and sends the
 * next turn. The server of that turn has to get all events of the first one.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "rig2.h"

enum {
	GATEWAYS = 2,
	ENGINES = 2,
	PROGRAMS = 4,
	EVENTS = 10,
	EVENTS_BEFORE = 4, /* received before the gateway is killed */
	ANSWER_MS = 4500,
	STEP_MS = 5,
	RETRY_MS = 300,
	TRIES = 4,	   /* of a client */
	SETTLE_MS = 10000, /* as before traffic starts on the site */
	TURN_MS = 4000,	   /* time limit of a turn */
};

static const char route[] =
	"{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/t/\","
	"\"route_type\":\"stream\",\"timeout_ms\":4000,\"slo_ms\":250,"
	"\"priority\":0,\"service\":\"m\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":60.0,\"public\":false,\"session_affinity\":true,"
	"\"resumable\":true,\"gap_target_ms\":300}";
static const char service[] =
	"{\"name\":\"m\",\"health_path\":\"/healthz\",\"max_conns\":300,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
	"\"cold_per_s\":0.0,\"engine\":{\"slots\":48,\"kv_capacity\":841052,"
	"\"stride\":20}}";
static const char tenant[] =
	"{\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1,"
	"\"rate_per_s\":289,\"burst\":289}";

/* One program. */
struct program {
	char *name;
	struct rig_call *call; /* of its first turn */
	int64_t started_ms;    /* the present turn */
	int received;	       /* events in the first attempt */
};

static struct rig_call *send_turn(struct rig *rig, int gateway,
				  const struct program *program,
				  const char *field, const char *value,
				  const char *input)
{
	char *headers = g_strdup_printf(
		"Authorization: Bearer k1\r\nProgram-Id: %s\r\n"
		"Session-Id: %s\r\nToken-Budget: 4000\r\n"
		"Token-Usage: 1000,%d\r\nDeadline-Ms: %d\r\n%s%s%s%s",
		program->name, program->name, 20 * EVENTS,
		(int)(program->started_ms + TURN_MS - rig_now_ms(rig)), field,
		*field != '\0' ? ": " : "", value,
		*field != '\0' ? "\r\n" : "");
	struct rig_call *call = rig_send(rig, gateway, "POST", "/t/turn",
					 headers, input, strlen(input));

	g_free(headers);
	return call;
}

/* Whole events that the client has received. */
static int count_events(const struct rig_call *call)
{
	const char *at = call->body->str;
	int count = 0;

	while ((at = strstr(at, "\n\n")) != NULL) {
		at += 2;
		count++;
	}
	return count;
}

/* The body that the server of the second turn has to get. */
static char *expected_body(const char *first, const char *second)
{
	GString *body = g_string_new(first);

	for (int i = 1; i <= EVENTS; i++)
		g_string_append_printf(body, ENGINE_DATA "\n", i);
	g_string_append(body, second);
	return g_string_free(body, FALSE);
}

static const char *find_body(struct engine *const engines[ENGINES],
			     const char *id)
{
	for (int i = 0; i < ENGINES; i++) {
		const GPtrArray *runs = engine_runs(engines[i]);

		for (guint k = 0; k < runs->len; k++) {
			const struct engine_run *run =
				g_ptr_array_index(runs, k);

			if (strcmp(run->id, id) == 0)
				return run->body;
		}
	}
	return NULL;
}

static void wait_for(struct rig *rig, struct rig_call *call)
{
	int64_t started_ms = rig_now_ms(rig);

	while (!call->done && rig_now_ms(rig) - started_ms < ANSWER_MS)
		rig_run(rig, STEP_MS);
}

/* Takes up a stream that was broken off, at the other gateway; a client that is
 * refused tries again. */
static void resume(struct rig *rig, struct program *program)
{
	char last[16];

	program->received = count_events(program->call);
	g_snprintf(last, sizeof(last), "%d", program->received);
	rig_note(rig, "%s: has %d events, goes on at gateway 1", program->name,
		 program->received);
	for (int i = 0; i < TRIES; i++) {
		rig_call_free(program->call);
		program->call = send_turn(rig, 1, program, "Last-Event-Id",
					  last, "first input\n");
		wait_for(rig, program->call);
		if (program->call->status == 200)
			return;
		rig_run(rig, RETRY_MS);
	}
}

/* Sends the second turn; returns whether its server got a wrong body. */
static bool is_broken(struct rig *rig, struct engine *const engines[ENGINES],
		      struct program *program)
{
	struct rig_call *next;
	char *expected = expected_body("first input\n", "second input\n");
	const char *body;
	bool broken;

	if (program->call->status != 200 || !program->call->whole) {
		rig_note(rig, "%s: the first turn was not answered whole",
			 program->name);
		g_free(expected);
		return false;
	}
	program->started_ms = rig_now_ms(rig);
	next = send_turn(rig, 1, program, "Previous-Turn", program->call->id,
			 "second input\n");
	wait_for(rig, next);
	body = find_body(engines, next->id);
	broken = body != NULL && strcmp(body, expected) != 0;
	if (broken) {
		char *quoted = g_strescape(body, NULL);

		rig_note(rig, "%s: call %s ran with the body \"%s\"",
			 program->name, next->id, quoted);
		g_free(quoted);
	}
	rig_call_free(next);
	g_free(expected);
	return broken;
}

/* Waits until all clients have some events of their first turns. */
static void wait_for_events(struct rig *rig, const struct program *programs)
{
	bool waits = true;

	while (waits) {
		rig_run(rig, STEP_MS);
		waits = false;
		for (int i = 0; i < PROGRAMS; i++)
			waits |= !programs[i].call->done &&
				 count_events(programs[i].call) < EVENTS_BEFORE;
	}
}

int main(int argc, char **argv)
{
	static const struct engine_work work = {EVENTS, 50, 100, 0};
	struct program programs[PROGRAMS] = {0};
	struct engine *engines[ENGINES];
	struct rig rig;
	int broken = 0;

	if (argc < 2)
		return 2;
	rig_open(&rig, argv[1]);
	rig_put_config(&rig, 1, route, service, tenant);
	for (int i = 0; i < ENGINES; i++) {
		char *id = g_strdup_printf("e%d", i);
		char *address = rig_address(&rig, 51 + i, 0);

		engines[i] = engine_create(rig.base, address, id);
		engine_set_work(engines[i], &work);
		rig_put_server(&rig, id, "m", address, "ready");
		g_free(address);
		g_free(id);
	}
	for (int i = 0; i < GATEWAYS; i++)
		rig_start_gateway(&rig, i);
	rig_wait_ready(&rig);
	rig_run(&rig, SETTLE_MS);
	for (int i = 0; i < PROGRAMS; i++) {
		programs[i].name = g_strdup_printf("p%d", i);
		programs[i].started_ms = rig_now_ms(&rig);
		programs[i].call = send_turn(&rig, 0, &programs[i], "", "",
					     "first input\n");
	}
	if (rig.trouble) {
		wait_for_events(&rig, programs);
		rig_signal(&rig, 0, SIGKILL);
		rig_run(&rig, RETRY_MS);
		for (int i = 0; i < PROGRAMS; i++)
			resume(&rig, &programs[i]);
	}
	for (int i = 0; i < PROGRAMS; i++)
		wait_for(&rig, programs[i].call);
	for (int i = 0; i < PROGRAMS; i++) {
		broken += is_broken(&rig, engines, &programs[i]);
		rig_call_free(programs[i].call);
		g_free(programs[i].name);
	}
	rig_note(&rig, "%d of %d second turns ran with a wrong body", broken,
		 PROGRAMS);
	rig_note(&rig, "rule %s", broken > 0 ? "broken" : "held");
	for (int i = 0; i < ENGINES; i++)
		engine_destroy(engines[i]);
	rig_close(&rig);
	return broken > 0 ? 1 : 0;
}
