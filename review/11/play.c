/**
 * @file play.c
 * @brief A turn that was answered whole is not in the store.
 *
 * Four sub-agents of a program run a turn each, three at gateway 1 and one at
 * gateway 2, while servers of two versions are listed and the store is slow.
 * When all is calm the program goes on from two of them, at gateway 2.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig3.h"

enum {
	SLOW_MS = 240,	       /* 60 times the usual 4 ms */
	SLOW_BEFORE_MS = 2600, /* the gateways have learned it */
	SLOW_FOR_MS = 1800,
	CALM_MS = 6000, /* twice contact_ms */
	LIMIT_MS = 3000,
};

static const char config[] =
	"{\"version\":3,\"routes\":[{\"name\":\"coach\",\"hostname\":"
	"\"shop.example\",\"prefix\":\"/coach/\",\"route_type\":\"stream\","
	"\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":0,"
	"\"service\":\"fit\",\"attempts\":2,\"retain\":true,"
	"\"retention_s\":60.0,\"public\":false,\"session_affinity\":true,"
	"\"resumable\":true,\"gap_target_ms\":300}],"
	"\"services\":[{\"name\":\"fit\",\"health_path\":\"/healthz\","
	"\"max_conns\":300,\"cold_start_s\":3.0,\"cold_per_s\":44.0,"
	"\"engine\":{\"slots\":48,\"kv_capacity\":841052,\"stride\":26}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"key-one\"],"
	"\"rate_per_s\":209,\"burst\":209}]}";

/* A turn: its events come first_ms after it, and pause_ms apart. */
struct turn {
	const char *id;
	const char *previous; /* or NULL */
	int first_ms;
	int pause_ms;
	int gateway;
	int at_ms; /* of sub-agents: when the turn is sent */
	struct rig_answer answer;
	pthread_t thread;
};

enum { EVENTS = 4 };

enum { FIRST, SLOW, QUICK, THIRD, FOURTH, AFTER_SLOW, AFTER_QUICK, TURNS };

static struct turn turns[TURNS] = {
	[FIRST] = {.id = "first", .first_ms = 30, .pause_ms = 10},
	[SLOW] = {.id = "slow",
		  .previous = "first",
		  .first_ms = 540,
		  .pause_ms = 10},
	[QUICK] = {.id = "quick",
		   .previous = "first",
		   .first_ms = 30,
		   .pause_ms = 200,
		   .at_ms = 10},
	[THIRD] = {.id = "third",
		   .previous = "first",
		   .first_ms = 30,
		   .pause_ms = 100,
		   .at_ms = 700},
	[FOURTH] = {.id = "fourth",
		    .previous = "first",
		    .first_ms = 30,
		    .pause_ms = 100,
		    .at_ms = 400,
		    .gateway = 1},
	[AFTER_SLOW] = {.id = "after-slow",
			.previous = "slow",
			.first_ms = 30,
			.pause_ms = 10,
			.gateway = 1},
	[AFTER_QUICK] = {.id = "after-quick",
			 .previous = "quick",
			 .first_ms = 30,
			 .pause_ms = 10,
			 .gateway = 1},
};

static bool serve(struct rig_server *server, const struct rig_request *request,
		  int fd)
{
	const struct turn *turn = &turns[0];
	char data[128];

	for (size_t i = 0; i < TURNS; i++) {
		if (strcmp(turns[i].id, request->id) == 0)
			turn = &turns[i];
	}
	rig_record("server %s (%s) runs %s", server->id, server->version,
		   request->id);
	rig_sleep_ms(turn->first_ms);
	if (!rig_stream_begin(fd, request))
		return false;
	for (int i = 0; i < EVENTS; i++) {
		snprintf(data, sizeof(data), "%s piece %d", request->id, i);
		if (!rig_stream_event(fd, i, data))
			return false;
		if (i + 1 < EVENTS)
			rig_sleep_ms(turn->pause_ms);
	}
	rig_record("server %s has ended %s", server->id, request->id);
	return rig_stream_end(fd);
}

static void *play(void *arg)
{
	struct turn *turn = arg;
	char fields[512];
	int fd;

	rig_sleep_ms(turn->at_ms);
	fd = rig_open(turn->gateway);
	snprintf(fields, sizeof(fields),
		 "Program-Id: p1\r\nSession-Id: s-%s\r\n"
		 "Program-Deadline-Ms: 30000\r\nToken-Budget: 4576\r\n"
		 "Token-Usage: 40,104\r\nModel: m\r\nDeadline-Ms: %d\r\n"
		 "%s%s%s",
		 turn->id, LIMIT_MS, turn->previous ? "Previous-Turn: " : "",
		 turn->previous ? turn->previous : "",
		 turn->previous ? "\r\n" : "");
	rig_record("client sends %s to gateway %d, after %s", turn->id,
		   turn->gateway + 1, turn->previous ? turn->previous : "none");
	memset(&turn->answer, 0, sizeof(turn->answer));
	if (fd >= 0 && rig_post(fd, "/coach/1", turn->id, fields, turn->id))
		rig_read(fd, &turn->answer, LIMIT_MS + 500);
	rig_record("client has %s: %d, %s", turn->id, turn->answer.status,
		   turn->answer.whole ? "whole" : "not whole");
	if (fd >= 0)
		close(fd);
	return NULL;
}

static bool is_whole(const struct turn *turn)
{
	return turn->answer.status == 200 && turn->answer.whole;
}

/* Continues a turn that was answered whole; returns false if it is lost. */
static bool can_go_on(const struct turn *turn, struct turn *next)
{
	if (!is_whole(turn))
		return true;
	play(next);
	return next->answer.status != 404 && next->answer.status != 410;
}

static void play_sub_agents(void)
{
	if (!rig_is_calm()) {
		rig_record("the store is slow");
		rig_store_delay(SLOW_MS);
	}
	rig_sleep_ms(SLOW_BEFORE_MS);
	for (int i = SLOW; i <= FOURTH; i++)
		pthread_create(&turns[i].thread, NULL, play, &turns[i]);
	rig_sleep_ms(SLOW_FOR_MS);
	if (!rig_is_calm()) {
		rig_store_delay(0);
		rig_record("the store is as usual");
	}
	for (int i = SLOW; i <= FOURTH; i++)
		pthread_join(turns[i].thread, NULL);
}

int main(int argc, char **argv)
{
	static struct rig_server servers[2];
	char why[200];
	int lost;

	if (argc != 2)
		return RIG_NOT_RUN;
	rig_start(argv[1]);
	rig_store_put("op", "config", config);
	rig_server_start(&servers[0], "i-1", "fit", "v1", serve);
	rig_server_start(&servers[1], "i-2", "fit", "v2", serve);
	rig_gateway_start(0);
	rig_gateway_start(1);
	rig_sleep_ms(8000);
	play(&turns[FIRST]);
	if (!is_whole(&turns[FIRST]))
		rig_finish(RIG_NOT_RUN, "the first turn is not whole");
	rig_sleep_ms(200);
	play_sub_agents();
	rig_sleep_ms(CALM_MS);
	lost = !can_go_on(&turns[SLOW], &turns[AFTER_SLOW]);
	lost += !can_go_on(&turns[QUICK], &turns[AFTER_QUICK]);
	if (rig_is_calm() &&
	    !(is_whole(&turns[AFTER_SLOW]) && is_whole(&turns[AFTER_QUICK])))
		rig_finish(RIG_NOT_RUN, "not all turns are whole");
	snprintf(why, sizeof(why),
		 "%d of %d turns that were answered whole are answered 404",
		 lost, is_whole(&turns[SLOW]) + is_whole(&turns[QUICK]));
	rig_finish(lost > 0 ? RIG_BROKEN : RIG_HELD, why);
}
