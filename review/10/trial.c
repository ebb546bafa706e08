/**
 * @file trial.c
 * @brief A chain of long turns that were all answered whole, and the next one.
 *
 * A program sends turns of a size that the configuration allows. Once the chain
 * is longer than a gateway loads, each try of the next turn is refused, at both
 * gateways and for good, while first turns of other programs are served.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "rig2.h"

enum {
	GATEWAYS = 2,
	ENGINES = 2,
	TURNS = 7,	      /* of the program, as the sheet says */
	LONG_BYTES = 4000000, /* below max_body_bytes */
	USUAL_BYTES = 17000,
	TRIES = 8, /* of a turn; the rule needs five */
	TRIES_MIN = 5,
	RETRY_MS = 400, /* longer than clients wait between tries */
	ANSWER_MS = 4500,
	SETTLE_MS = 4000, /* longer than contact_ms */
};

static const char route[] =
	"{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/t/\","
	"\"route_type\":\"stream\",\"timeout_ms\":4000,\"slo_ms\":250,"
	"\"priority\":0,\"service\":\"m\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":60.0,\"public\":false,\"session_affinity\":true,"
	"\"resumable\":false,\"gap_target_ms\":300}";
static const char service[] =
	"{\"name\":\"m\",\"health_path\":\"/healthz\",\"max_conns\":300,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
	"\"cold_per_s\":0.0,\"engine\":{\"slots\":48,\"kv_capacity\":841052,"
	"\"stride\":20}}";
static const char tenant[] =
	"{\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1,"
	"\"rate_per_s\":289,\"burst\":289}";

static char body[LONG_BYTES];

/* Sends one try of a turn; returns whether it was answered whole. */
static bool try_turn(struct rig *rig, int gateway, const char *program,
		     const char *previous, size_t len, char **id)
{
	char *headers = g_strdup_printf(
		"Authorization: Bearer k1\r\nProgram-Id: %s\r\n"
		"Session-Id: %s\r\nProgram-Deadline-Ms: 60000\r\n"
		"Token-Budget: 4000\r\nToken-Usage: 1000,80\r\n"
		"Deadline-Ms: 4000\r\n%s%s%s",
		program, program, previous ? "Previous-Turn: " : "",
		previous ? previous : "", previous ? "\r\n" : "");
	struct rig_call *call = rig_request(rig, gateway, "POST", "/t/turn",
					    headers, body, len, ANSWER_MS);
	bool ok = call->done && call->whole && call->status == 200;

	if (id != NULL)
		*id = g_strdup(call->id);
	rig_call_free(call);
	g_free(headers);
	return ok;
}

static guint count_runs(struct engine *const engines[ENGINES])
{
	guint runs = 0;

	for (int i = 0; i < ENGINES; i++)
		runs += engine_runs(engines[i])->len;
	return runs;
}

/* Sends a turn up to TRIES times, and between them first turns of other
 * programs. Returns whether it reached a server. */
static bool send_turn(struct rig *rig, struct engine *const engines[ENGINES],
		      char **previous, size_t len, int turn, int *others)
{
	for (int i = 0; i < TRIES; i++) {
		guint runs = count_runs(engines);
		char *other = g_strdup_printf("other-%d-%d", turn, i);
		char *id;
		bool ok = try_turn(rig, (turn + i) % GATEWAYS, "program",
				   *previous, len, &id);
		bool reached = count_runs(engines) > runs;

		if (ok) {
			g_free(*previous);
			*previous = id;
			g_free(other);
			return true;
		}
		g_free(id);
		if (!reached)
			*others += try_turn(rig, (turn + i) % GATEWAYS, other,
					    NULL, USUAL_BYTES, NULL);
		g_free(other);
		if (reached)
			return true;
		rig_run(rig, RETRY_MS);
	}
	return false;
}

int main(int argc, char **argv)
{
	struct engine *engines[ENGINES];
	char *previous = NULL;
	bool broken = false;
	struct rig rig;
	size_t len;

	if (argc < 2)
		return 2;
	rig_open(&rig, argv[1]);
	len = rig.trouble ? LONG_BYTES : USUAL_BYTES;
	memset(body, 'a', sizeof(body));
	rig_put_config(&rig, 1, route, service, tenant);
	for (int i = 0; i < ENGINES; i++) {
		char *id = g_strdup_printf("e%d", i);
		char *address = rig_address(&rig, 51 + i, 0);

		engines[i] = engine_create(rig.base, address, id);
		rig_put_server(&rig, id, "m", address, "ready");
		g_free(address);
		g_free(id);
	}
	for (int i = 0; i < GATEWAYS; i++)
		rig_start_gateway(&rig, i);
	rig_wait_ready(&rig);
	rig_run(&rig, SETTLE_MS);
	for (int turn = 1; turn <= TURNS && !broken; turn++) {
		int others = 0;

		if (send_turn(&rig, engines, &previous, len, turn, &others))
			continue;
		rig_note(&rig,
			 "turn %d reached no server in %d tries; %d of %d "
			 "first turns did",
			 turn, TRIES, others, TRIES);
		broken = TRIES >= TRIES_MIN && others * 10 >= TRIES * 9;
	}
	rig_note(&rig, "rule %s", broken ? "broken" : "held");
	g_free(previous);
	for (int i = 0; i < ENGINES; i++)
		engine_destroy(engines[i]);
	rig_close(&rig);
	return broken ? 1 : 0;
}
