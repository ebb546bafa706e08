/** @file streams.c @brief Callers that take up streams that broke off. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/clock.h"
#include "soak.h"
#include "streams.h"
#include "test/standins/backend.h"

enum {
	CALLER_COUNT = 8,
	TURNS_MAX = 3,		/* of a program */
	ATTEMPTS_MAX = 6,	/* of one stream */
	STREAM_LIMIT_MS = 3000, /* over all attempts, as the route's timeout */
	MIN_LEFT_MS = 200,	/* less time is not worth an attempt */
	/* Without a byte for so long, a caller goes to another gateway. */
	SHORT_SILENCE_MS = 300,
	LONG_SILENCE_MS = 1200, /* time for a gateway to change servers */
};

/* What callers have done on the routes that retain turns, or the others. */
struct tally {
	guint begun;
	guint resumed; /* attempts that brought more of a begun stream */
	guint refused; /* attempts to go on with a stream that got 503 */
	guint completed;
};

/* One stream after another, each over several attempts. */
struct stream_caller {
	struct streams *streams;
	struct upstream_call *call;
	struct event *timer; /* silence, or pause before the next attempt */
	struct soak_request *attempt;
	int gateway;
	int status;
	GString *received; /* not yet a complete event */
	bool brought_event;
	bool keeps_turns; /* its streams are turns of a program */
	GString *history; /* input and events of its complete turns */
	char *previous;	  /* the last one, or NULL */
	guint turns;
	/* The stream. */
	guint program;
	guint number;
	bool names_attempt; /* that it takes up */
	GString *text;	    /* data of its events, a line feed after each */
	const struct backend_run *run; /* that its last event is of */
	bool is_begun;		       /* and not given up */
	int64_t begun_ms;
	int64_t silence_ms;
	bool has_budget; /* without one it can begin while the store is away */
	guint attempts;
	char *begun_as; /* the attempt that brought the first event, or NULL */
	int64_t last_event_id;
	int64_t leave_after; /* event after which its connection breaks; 0 */
	guint version;
	bool wrong;	/* a check has failed */
	GString *trace; /* attempts and events */
};

struct streams {
	struct streams_config config;
	struct rng rng;
	GQueue idle[SOAK_GATEWAYS_MAX];
	struct stream_caller callers[CALLER_COUNT];
	int64_t until_ms;
	guint next_id;
	struct tally tallies[2]; /* the second one: of turns that are kept */
	guint completed;
	guint two_versions;
	guint wrong_order;
	guint joined; /* streams with events of runs that don't fit */
};

static void set_timer(struct stream_caller *caller, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(caller->timer, &tv);
}

static struct tally *tally_of(const struct stream_caller *caller)
{
	return &caller->streams->tallies[caller->keeps_turns ? 1 : 0];
}

static void begin_program(struct stream_caller *caller)
{
	caller->program = caller->streams->next_id++;
	caller->turns = 0;
	g_string_truncate(caller->history, 0);
	g_clear_pointer(&caller->previous, g_free);
}

static void begin_stream(struct stream_caller *caller)
{
	struct rng *rng = &caller->streams->rng;

	if (caller->previous == NULL || caller->turns >= TURNS_MAX)
		begin_program(caller);
	caller->number = caller->streams->next_id++;
	caller->names_attempt = !caller->keeps_turns || rng_below(rng, 2) == 0;
	g_string_truncate(caller->text, 0);
	caller->run = NULL;
	caller->is_begun = true;
	tally_of(caller)->begun++;
	caller->begun_ms = clock_boot_ms();
	caller->silence_ms =
		rng_below(rng, 2) == 0 ? SHORT_SILENCE_MS : LONG_SILENCE_MS;
	caller->has_budget = rng_below(rng, 4) != 0;
	caller->attempts = 0;
	g_clear_pointer(&caller->begun_as, g_free);
	caller->last_event_id = 0;
	caller->leave_after =
		rng_below(rng, 4) == 0
			? 1 + (int64_t)rng_below(rng, SERVERS_STREAM_EVENTS)
			: 0;
	caller->version = 0;
	caller->wrong = false;
	g_string_truncate(caller->trace, 0);
}

static struct soak_request *new_attempt(const struct stream_caller *caller)
{
	struct soak_request *sent = g_new0(struct soak_request, 1);

	sent->id = g_strdup_printf("f%u", caller->streams->next_id++);
	sent->input = g_strdup_printf("in-f%u\n", caller->number);
	sent->expected_body =
		g_strconcat(caller->history->str, sent->input, NULL);
	sent->resumable = true;
	g_ptr_array_add(caller->streams->config.requests, sent);
	return sent;
}

static int64_t time_left_ms(const struct stream_caller *caller)
{
	return caller->begun_ms + STREAM_LIMIT_MS - clock_boot_ms();
}

static GString *request_head(const struct stream_caller *caller)
{
	GString *head = g_string_new(NULL);

	g_string_printf(head,
			"POST /free/%sturn HTTP/1.1\r\nHost: h\r\n"
			"Request-Id: %s\r\nAuthorization: Bearer secret-key\r\n"
			"Deadline-Ms: %d\r\nContent-Length: %zu\r\n"
			"Program-Id: f%u\r\nSession-Id: f%u\r\n"
			"Token-Usage: 10,80\r\n",
			caller->keeps_turns ? "kept/" : "", caller->attempt->id,
			(int)time_left_ms(caller),
			strlen(caller->attempt->input), caller->program,
			caller->program);
	if (caller->previous != NULL)
		g_string_append_printf(head, "Previous-Turn: %s\r\n",
				       caller->previous);
	if (caller->begun_as != NULL)
		g_string_append_printf(head, "Last-Event-Id: %d\r\n",
				       (int)caller->last_event_id);
	if (caller->begun_as != NULL && caller->names_attempt)
		g_string_append_printf(head, "Resumes: %s\r\n",
				       caller->begun_as);
	g_string_append(head, "\r\n");
	return head;
}

/* Ends the check of a stream at its first wrong event. */
static void report(struct stream_caller *caller, const char *what)
{
	caller->wrong = true;
	soak_fail("stream f%u: %s:%s", caller->number, what,
		  caller->trace->str);
}

static void check_version(struct stream_caller *caller, const char *engine)
{
	guint version =
		servers_version(caller->streams->config.servers, engine);

	if (version == 0) {
		report(caller, "event of an unknown engine");
	} else if (caller->version == 0) {
		caller->version = version;
	} else if (version != caller->version) {
		caller->streams->two_versions++;
		report(caller, "two versions");
	}
}

/* An event is of the run of the one before, or of a run that was asked to go on
 * after that. */
static void check_run(struct stream_caller *caller, const char *engine,
		      guint number)
{
	const struct backend_run *run = servers_find_run(
		caller->streams->config.servers, engine, number);
	int64_t after = caller->last_event_id > 0 ? caller->last_event_id : -1;

	if (run == NULL ||
	    (run != caller->run && run->last_event_id != after)) {
		caller->streams->joined++;
		report(caller, "pieces of two runs");
	}
	caller->run = run;
}

static void on_event(struct stream_caller *caller, const char *event)
{
	static const char format[] = "id: %d\ndata: %7[a-z0-9].%u-%d";
	int id = 0;
	int number = 0;
	guint run = 0;
	char engine[8] = "";
	int fields = sscanf(event, format, &id, engine, &run, &number);

	g_string_append_printf(
		caller->trace, " %d:%s.%u(v%u)", id, engine, run,
		servers_version(caller->streams->config.servers, engine));
	if (caller->wrong)
		return;
	if (fields != 4 || id != number || id != caller->last_event_id + 1) {
		caller->streams->wrong_order++;
		report(caller, "wrong order");
		return;
	}
	check_version(caller, engine);
	if (!caller->wrong)
		check_run(caller, engine, run);
	if (caller->begun_as == NULL)
		caller->begun_as = g_strdup(caller->attempt->id);
	else if (strcmp(caller->begun_as, caller->attempt->id) != 0 &&
		 !caller->brought_event)
		tally_of(caller)->resumed++;
	g_string_append_printf(caller->text, "%s\n",
			       strstr(event, "data: ") + strlen("data: "));
	caller->brought_event = true;
	caller->last_event_id = id;
}

/* Goes on through another gateway, or with another stream, after a pause. */
static void end_attempt(struct stream_caller *caller, const char *how)
{
	struct streams *streams = caller->streams;
	bool refused = caller->attempt->status == 503;

	g_string_append_printf(caller->trace, " %s", how);
	tally_of(caller)->refused += refused && caller->begun_as != NULL;
	caller->gateway =
		(caller->gateway + 1 + (int)rng_below(&streams->rng, 2)) %
		soak_gateway_count();
	/* Some callers insist after a refusal: another gateway may know. */
	if (caller->begun_as == NULL || caller->attempts >= ATTEMPTS_MAX ||
	    time_left_ms(caller) < MIN_LEFT_MS ||
	    (refused && rng_below(&streams->rng, 2) == 0))
		caller->is_begun = false;
	set_timer(caller, 5 + (int64_t)rng_below(&streams->rng, 60));
}

static void end_stream(struct stream_caller *caller)
{
	if (caller->last_event_id != SERVERS_STREAM_EVENTS && !caller->wrong) {
		caller->streams->wrong_order++;
		report(caller, "complete without its last event");
	}
	caller->streams->completed++;
	tally_of(caller)->completed++;
	caller->is_begun = false;
	if (caller->keeps_turns) {
		g_string_append(caller->history, caller->attempt->input);
		g_string_append(caller->history, caller->text->str);
		g_free(caller->previous);
		caller->previous = g_strdup(caller->attempt->id);
		caller->turns++;
	}
	set_timer(caller, 5 + (int64_t)rng_below(&caller->streams->rng, 60));
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct stream_caller *caller = arg;

	caller->status = head->status;
	soak_on_head(caller->attempt, head);
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct stream_caller *caller = arg;
	char *end;

	set_timer(caller, caller->silence_ms);
	if (caller->status != 200)
		return;
	g_string_append_len(caller->received, data, (gssize)len);
	while ((end = strstr(caller->received->str, "\n\n")) != NULL) {
		*end = '\0';
		on_event(caller, caller->received->str);
		g_string_erase(caller->received, 0,
			       end + 2 - caller->received->str);
	}
	if (caller->leave_after == 0 ||
	    caller->last_event_id < caller->leave_after)
		return;
	caller->leave_after = 0;
	upstream_cancel(caller->call);
	caller->call = NULL;
	end_attempt(caller, "left");
}

static void on_end(void *arg, enum upstream_result end, const char *step)
{
	struct stream_caller *caller = arg;
	struct soak_request *attempt = caller->attempt;
	char how[32];

	(void)step;
	caller->call = NULL;
	event_del(caller->timer);
	attempt->status = end == UPSTREAM_COMPLETE ? caller->status : 0;
	if (attempt->status >= 400 && attempt->status < 500)
		soak_fail("%s: status %d", attempt->id, attempt->status);
	if (attempt->status == 200) {
		end_stream(caller);
		return;
	}
	g_snprintf(how, sizeof(how), "status-%d", attempt->status);
	end_attempt(caller, how);
}

static const struct upstream_handler handler = {
	.head = on_head, .body = on_body, .end = on_end};

static void send_attempt(struct stream_caller *caller)
{
	struct streams *streams = caller->streams;
	struct upstream_request request = {.connect_timeout_ms = 500};
	char address[32];

	caller->attempt = new_attempt(caller);
	caller->attempts++;
	caller->status = 0;
	caller->brought_event = false;
	g_string_truncate(caller->received, 0);
	g_string_append_printf(caller->trace, " [%s g%d", caller->attempt->id,
			       caller->gateway);
	g_string_append_printf(caller->trace, " at %" G_GINT64_FORMAT "]",
			       g_get_real_time() / 1000);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   streams->config.port + caller->gateway * SOAK_ADDRESS_STEP);
	request.address = address;
	request.idle = &streams->idle[caller->gateway];
	request.head = request_head(caller);
	request.body = g_bytes_new(caller->attempt->input,
				   strlen(caller->attempt->input));
	soak_on_sent(caller->attempt, caller->gateway);
	set_timer(caller, caller->silence_ms);
	caller->call = upstream_send(streams->config.upstream, &request,
				     &handler, caller);
	g_bytes_unref(request.body);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream_caller *caller = arg;

	(void)fd;
	(void)what;
	if (caller->call != NULL) {
		upstream_cancel(caller->call);
		caller->call = NULL;
		end_attempt(caller, "silence");
		return;
	}
	if (clock_boot_ms() >= caller->streams->until_ms)
		return;
	if (!caller->is_begun)
		begin_stream(caller);
	send_attempt(caller);
}

struct streams *streams_create(const struct streams_config *config)
{
	struct streams *streams = g_new0(struct streams, 1);

	streams->config = *config;
	streams->rng.state = config->seed;
	streams->next_id = 1;
	for (int i = 0; i < SOAK_GATEWAYS_MAX; i++)
		g_queue_init(&streams->idle[i]);
	for (int i = 0; i < CALLER_COUNT; i++) {
		struct stream_caller *caller = &streams->callers[i];

		caller->streams = streams;
		caller->gateway = i % soak_gateway_count();
		caller->received = g_string_new(NULL);
		caller->trace = g_string_new(NULL);
		caller->history = g_string_new(NULL);
		caller->text = g_string_new(NULL);
		caller->keeps_turns = config->keeps_turns && i % 2 == 1;
		caller->timer = evtimer_new(config->base, on_timer, caller);
	}
	return streams;
}

void streams_start(struct streams *streams, int64_t until_ms)
{
	streams->until_ms = until_ms;
	for (int i = 0; i < CALLER_COUNT; i++)
		set_timer(&streams->callers[i], 1 + i);
}

void streams_reset_completed(struct streams *streams)
{
	streams->completed = 0;
}

guint streams_completed(const struct streams *streams)
{
	return streams->completed;
}

void streams_print(const struct streams *streams)
{
	for (int i = 0; i < 2; i++) {
		const struct tally *tally = &streams->tallies[i];

		printf("streams%s: %u begun, %u complete, %u resumed, "
		       "%u refused\n",
		       i == 1 ? " of kept turns" : "", tally->begun,
		       tally->completed, tally->resumed, tally->refused);
	}
	printf("streams: %u of two versions, %u out of order, %u of runs that "
	       "don't fit\n",
	       streams->two_versions, streams->wrong_order, streams->joined);
}
