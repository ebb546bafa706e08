/**
 * @file play.c
 * @brief A stream that is resumed goes on with the pieces of another run.
 *
 * The gateway that passes on a stream is killed. The client takes the stream up
 * at the other gateway, after the last event that it has.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig3.h"

enum {
	EVENTS = 10,
	PAUSE_MS = 40,
	KILL_AFTER = 4, /* the client has this event */
	LIMIT_MS = 3000,
	RUNS_MAX = 16,
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

/* Runs by number: the event after which each was asked to go on; -1: none. */
static int runs[RUNS_MAX];
static int run_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

static int begin_run(const struct rig_request *request)
{
	char last[16];
	bool resumes =
		rig_field(request->head, "Last-Event-Id", last, sizeof(last));
	int run;

	pthread_mutex_lock(&runs_lock);
	run = run_count < RUNS_MAX ? run_count++ : RUNS_MAX - 1;
	runs[run] = resumes ? atoi(last) : -1;
	pthread_mutex_unlock(&runs_lock);
	return run;
}

/* Each piece tells its run. */
static bool serve(struct rig_server *server, const struct rig_request *request,
		  int fd)
{
	int run = begin_run(request);
	char data[64];

	rig_record("server %s runs %s as run %d, Last-Event-Id: %d", server->id,
		   request->id, run, runs[run]);
	if (!rig_stream_begin(fd, request))
		return false;
	for (int i = runs[run] + 1; i < EVENTS; i++) {
		snprintf(data, sizeof(data), "run %d piece %d", run, i);
		if (!rig_stream_event(fd, i, data))
			return false;
		rig_sleep_ms(PAUSE_MS);
	}
	return rig_stream_end(fd);
}

static int send_turn(int gateway, const char *id, int last_event)
{
	char fields[512];
	char resume[80] = "";
	int fd = rig_open(gateway);

	if (last_event >= 0)
		snprintf(resume, sizeof(resume),
			 "Last-Event-Id: %d\r\nResumes: attempt-1\r\n",
			 last_event);
	snprintf(fields, sizeof(fields),
		 "Program-Id: p1\r\nSession-Id: s1\r\n"
		 "Program-Deadline-Ms: 30000\r\nToken-Budget: 4576\r\n"
		 "Token-Usage: 40,260\r\nModel: m\r\nDeadline-Ms: %d\r\n%s",
		 LIMIT_MS, resume);
	rig_record("client sends %s to gateway %d, after event %d", id,
		   gateway + 1, last_event);
	if (fd < 0 || !rig_post(fd, "/coach/1", id, fields, "the input"))
		rig_finish(RIG_NOT_RUN, "a gateway takes no request");
	return fd;
}

/* Returns the run of the piece with a number; -1 if there is none. */
static int run_of_piece(const struct rig_answer *answer, int piece)
{
	char text[32];
	const char *at = answer->body;
	int run;
	int found;

	snprintf(text, sizeof(text), "id: %d\n", piece);
	at = strstr(at, text);
	if (at == NULL ||
	    sscanf(at + strlen(text), "data: run %d piece %d", &run, &found) !=
		    2 ||
	    found != piece)
		return -1;
	return run;
}

/* Checks the pieces that follow after a break. */
static void check(const struct rig_answer *rest, int last, int first_run)
{
	char why[200];
	int run;

	for (int i = last + 1; i < EVENTS; i++) {
		run = run_of_piece(rest, i);
		if (run < 0)
			rig_finish(RIG_BROKEN, "a piece is missing");
		if (run == first_run || runs[run] == last)
			continue;
		snprintf(why, sizeof(why),
			 "piece %d is of run %d, which did not go on at "
			 "Last-Event-Id %d; the pieces before are of run %d",
			 i, run, last, first_run);
		rig_finish(RIG_BROKEN, why);
	}
	rig_finish(RIG_HELD, "the pieces are those of one run, or of one that "
			     "goes on at Last-Event-Id");
}

int main(int argc, char **argv)
{
	static struct rig_server servers[2];
	static struct rig_answer begin;
	static struct rig_answer rest;
	int last = KILL_AFTER;
	int fd;

	if (argc != 2)
		return RIG_NOT_RUN;
	rig_start(argv[1]);
	rig_store_put("op", "config", config);
	rig_server_start(&servers[0], "i-1", "fit", "v1", serve);
	rig_server_start(&servers[1], "i-2", "fit", "v1", serve);
	rig_gateway_start(0);
	rig_gateway_start(1);
	rig_sleep_ms(8000);
	fd = send_turn(0, "attempt-1", -1);
	if (!rig_read_until(fd, &begin, "piece 4", LIMIT_MS))
		rig_finish(RIG_NOT_RUN, "the stream does not begin");
	if (rig_is_calm()) {
		rig_read(fd, &begin, LIMIT_MS);
		check(&begin, last, run_of_piece(&begin, 0));
	}
	rig_gateway_signal(0, SIGKILL);
	rig_gateway_wait(0);
	rig_read(fd, &begin, LIMIT_MS);
	while (last + 1 < EVENTS && run_of_piece(&begin, last + 1) >= 0)
		last++;
	rig_record("the channel is closed; the client has events up to %d",
		   last);
	close(fd);
	rig_sleep_ms(100);
	fd = send_turn(1, "attempt-2", last);
	rig_read(fd, &rest, LIMIT_MS);
	rig_record("client has attempt-2: %d, %s", rest.status,
		   rest.whole ? "whole" : "not whole");
	if (rest.status != 200 || !rest.whole)
		rig_finish(RIG_HELD, "the stream does not go on");
	rig_record("the client's pieces:\n%s%s", begin.body, rest.body);
	check(&rest, last, run_of_piece(&begin, 0));
}
