/** @file streams.c @brief Callers that take up streams that broke off. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/clock.h"
#include "soak.h"
#include "streams.h"

enum {
	CALLER_COUNT = 6,
	ATTEMPTS_MAX = 6,	/* of one stream */
	STREAM_LIMIT_MS = 3000, /* over all attempts, as the route's timeout */
	MIN_LEFT_MS = 200,	/* less time is not worth an attempt */
	/* Without a byte for so long, a caller goes to another gateway. */
	SHORT_SILENCE_MS = 300,
	LONG_SILENCE_MS = 1200, /* time for a gateway to change servers */
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
	/* The stream. */
	guint program;
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
	guint begun;
	guint resumed; /* attempts that brought more of a begun stream */
	guint refused; /* attempts to go on with a stream that got 503 */
	guint completed_total;
	guint completed;
	guint two_versions;
	guint wrong_order;
};

static void set_timer(struct stream_caller *caller, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_add(caller->timer, &tv);
}

static void begin_stream(struct stream_caller *caller)
{
	struct rng *rng = &caller->streams->rng;

	caller->program = caller->streams->next_id++;
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
	sent->input = g_strdup_printf("in-f%u\n", caller->program);
	sent->expected_body = g_strdup(sent->input);
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
			"POST /free/turn HTTP/1.1\r\nHost: h\r\n"
			"Request-Id: %s\r\nAuthorization: Bearer secret-key\r\n"
			"Deadline-Ms: %d\r\nContent-Length: %zu\r\n"
			"Program-Id: f%u\r\nSession-Id: f%u\r\n"
			"Token-Usage: 10,80\r\n",
			caller->attempt->id, (int)time_left_ms(caller),
			strlen(caller->attempt->input), caller->program,
			caller->program);
	if (caller->begun_as != NULL)
		g_string_append_printf(
			head, "Last-Event-Id: %d\r\nResumes: %s\r\n",
			(int)caller->last_event_id, caller->begun_as);
	g_string_append(head, "\r\n");
	return head;
}

/* Ends the check of a stream at its first wrong event. */
static void report(struct stream_caller *caller, const char *what)
{
	caller->wrong = true;
	soak_fail("stream f%u: %s:%s", caller->program, what,
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

static void on_event(struct stream_caller *caller, const char *event)
{
	static const char format[] = "id: %d\ndata: %7[a-z0-9]-%d";
	int id = 0;
	int number = 0;
	char engine[8] = "";
	int fields = sscanf(event, format, &id, engine, &number);

	g_string_append_printf(
		caller->trace, " %d:%s(v%u)", id, engine,
		servers_version(caller->streams->config.servers, engine));
	if (caller->wrong)
		return;
	if (fields != 3 || id != number || id != caller->last_event_id + 1) {
		caller->streams->wrong_order++;
		report(caller, "wrong order");
		return;
	}
	check_version(caller, engine);
	if (caller->begun_as == NULL)
		caller->begun_as = g_strdup(caller->attempt->id);
	else if (strcmp(caller->begun_as, caller->attempt->id) != 0 &&
		 !caller->brought_event)
		caller->streams->resumed++;
	caller->brought_event = true;
	caller->last_event_id = id;
}

/* Goes on through another gateway, or with another stream, after a pause. */
static void end_attempt(struct stream_caller *caller, const char *how)
{
	struct streams *streams = caller->streams;
	bool refused = caller->attempt->status == 503;

	g_string_append_printf(caller->trace, " %s", how);
	streams->refused += refused && caller->begun_as != NULL;
	caller->gateway =
		(caller->gateway + 1 + (int)rng_below(&streams->rng, 2)) %
		soak_gateway_count();
	/* Some callers insist after a refusal: another gateway may know. */
	if (caller->begun_as == NULL || caller->attempts >= ATTEMPTS_MAX ||
	    time_left_ms(caller) < MIN_LEFT_MS ||
	    (refused && rng_below(&streams->rng, 2) == 0))
		caller->program = 0;
	set_timer(caller, 5 + (int64_t)rng_below(&streams->rng, 60));
}

static void end_stream(struct stream_caller *caller)
{
	if (caller->last_event_id != SERVERS_STREAM_EVENTS && !caller->wrong) {
		caller->streams->wrong_order++;
		report(caller, "complete without its last event");
	}
	caller->streams->completed++;
	caller->streams->completed_total++;
	caller->program = 0;
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
	if (caller->program == 0) {
		begin_stream(caller);
		caller->streams->begun++;
	}
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
	printf("streams: %u begun, %u complete, %u resumed, %u refused, "
	       "%u of two versions, %u out of order\n",
	       streams->begun, streams->completed_total, streams->resumed,
	       streams->refused, streams->two_versions, streams->wrong_order);
}
