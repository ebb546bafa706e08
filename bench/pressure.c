/**
 * @file pressure.c
 * @brief Loads two gateway processes with bytes that have no end, beside sound
 * requests, and prints what memory they took and how the sound ones fared.
 *
 * Usage: pressure BINARY MEMORY_MB LOAD [SECONDS [FAULTY [PORT]]]
 *
 * LOAD is none; bodies (FAULTY of seven servers, one by default, send 40 in 100
 * of their responses without end, signed, at 56 Mbit/s); heads (the same with
 * header fields); or uploads (200 callers at each gateway send request bodies
 * without end). Beside it each gateway gets 120 streams a second over kept
 * connections, at random times. MEMORY_MB is the setting memory_mb; a large one
 * shows what happens without a budget. Prints one JSON object.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>

#include "decide/rng.h"
#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/inbound.h"
#include "serve/sock.h"
#include "serve/upstream.h"
#include "test/standins/rowstore.h"

enum {
	GATEWAYS = 2,
	SERVERS = 7,
	FAULTY_PERCENT = 40, /* of the responses of a faulty server */
	ENDLESS_BYTES_PER_MS = 7000,
	STREAMS_PER_S = 120,
	EVENTS = 10,
	EVENT_GAP_MS = 5,
	DEADLINE_MS = 3000,
	UPLOADS = 200,
	UPLOAD_STEP_BYTES = 65536,
	UPLOAD_GAP_MS = 10,
	START_MS = 2000,
	DEFAULT_PORT = 21000,
	STORE_PORT = 0,
	SERVER_PORT = 10,
	GATEWAY_PORT = 30,
	GATEWAY_PORTS = 10,
	DEFAULT_SECONDS = 60,
};

enum load { LOAD_NONE, LOAD_BODIES, LOAD_HEADS, LOAD_UPLOADS };

static const char *const load_names[] = {"none", "bodies", "heads", "uploads"};

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"turn\",\"hostname\":\"h\","
	"\"prefix\":\"/\",\"route_type\":\"stream\",\"timeout_ms\":3000,"
	"\"slo_ms\":200,\"service\":\"engines\",\"attempts\":2,"
	"\"retain\":false,\"resumable\":false,\"gap_target_ms\":300}],"
	"\"services\":[{\"name\":\"engines\",\"engine\":{\"stride\":10}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

/* A response that a server sends. */
struct response {
	struct inbound_request *request;
	struct event *timer;
	bool endless;
	int64_t sent_ms; /* until then an endless one has been sent */
	int events;
};

/* A request of a caller. */
struct stream {
	int64_t sent_ms;
	char id[16];
};

struct gateway {
	pid_t pid;
	uint64_t peak_kb;
	GQueue idle;
	bool ended; /* by itself */
};

static struct {
	struct event_base *base;
	struct upstream *upstream;
	enum load load;
	int faulty_servers;
	int port;
	struct rng rng;
	struct gateway gateways[GATEWAYS];
	GHashTable *endless; /* set of ids whose response has no end */
	GArray *latencies_ms;
	guint sent;
	guint next_id;
	guint served;
	guint refused;
	guint lost; /* at a sound server, without a whole answer */
	guint spoiled;
} state;

static void run_for(int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	event_base_loopexit(state.base, &tv);
	event_base_dispatch(state.base);
}

static void response_free(struct response *response)
{
	response->request->user_data = NULL;
	event_free(response->timer);
	g_free(response);
}

static void send_endless(struct response *response)
{
	static const char line[] = "X-More: 0123456789abcdef0123456789abcd\r\n";
	struct timeval tv = clock_timeval(1);

	int64_t now_ms = clock_boot_ms();
	int64_t due = (now_ms - response->sent_ms) * ENDLESS_BYTES_PER_MS;

	/* What the gateway does not read is not made up for later. */
	if (inbound_unsent(response->request) > ENDLESS_BYTES_PER_MS)
		due = 0;
	for (int64_t n = 0; n < due; n += (int64_t)strlen(line))
		inbound_write_raw(response->request, line);
	response->sent_ms = now_ms;
	event_add(response->timer, &tv);
}

static void on_server_timer(evutil_socket_t fd, short what, void *arg)
{
	struct response *response = arg;
	struct inbound_request *request = response->request;
	struct timeval tv = clock_timeval(EVENT_GAP_MS);
	char event[64];
	int len;

	(void)fd;
	(void)what;
	if (response->endless) {
		send_endless(response);
		return;
	}
	if (response->events == EVENTS) {
		response_free(response);
		inbound_end_reply(request);
		return;
	}
	len = g_snprintf(event, sizeof(event), "id: %d\ndata: x\n\n",
			 ++response->events);
	inbound_send_chunk(request, event, (size_t)len);
	event_add(response->timer, &tv);
}

static void begin_endless(struct inbound_request *request, const char *id)
{
	char *head =
		g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				"Response-Signature: sig\r\n%s",
				id, state.load == LOAD_HEADS ? "" : "\r\n");

	g_hash_table_add(state.endless, g_strdup(id));
	inbound_write_raw(request, head);
	g_free(head);
}

static void on_request(void *arg, struct inbound_request *request)
{
	const char *id = hdr_get(request->headers, "Request-Id");
	struct response *response = g_new0(struct response, 1);
	struct timeval tv = clock_timeval(EVENT_GAP_MS);

	response->request = request;
	response->sent_ms = clock_boot_ms();
	response->endless =
		arg != NULL &&
		(state.load == LOAD_BODIES || state.load == LOAD_HEADS) &&
		rng_below(&state.rng, 100) < FAULTY_PERCENT;
	response->timer = evtimer_new(state.base, on_server_timer, response);
	request->user_data = response;
	if (response->endless) {
		begin_endless(request, id);
	} else {
		char *headers = g_strdup_printf(
			"Request-Id: %s\r\nResponse-Signature: sig\r\n"
			"Content-Type: text/event-stream\r\n",
			id);

		inbound_begin_reply(request, 200, headers);
		g_free(headers);
	}
	event_add(response->timer, &tv);
}

static void on_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	if (request->user_data != NULL)
		response_free(request->user_data);
}

static bool start_servers(struct rowstore *store)
{
	static const struct inbound_handler handler = {
		.on_request = on_request, .on_disconnect = on_disconnect};

	for (int i = 0; i < SERVERS; i++) {
		char address[32];
		char row[256];
		char id[8];

		g_snprintf(id, sizeof(id), "e%d", i);
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   state.port + SERVER_PORT + i);
		g_snprintf(row, sizeof(row),
			   "{\"service\":\"engines\",\"address\":\"%s\","
			   "\"zone\":\"z\",\"version\":\"v1\",\"slots\":48,"
			   "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1}",
			   address);
		rowstore_put(store, "servers", "", id, row);
		if (inbound_create(state.base, address, &handler,
				   i < state.faulty_servers ? &state : NULL) ==
		    NULL)
			return false;
	}
	return true;
}

static void start_gateway(int i, const char *binary, const char *memory_mb,
			  const char *dir)
{
	int port = state.port + GATEWAY_PORT + i * GATEWAY_PORTS;
	char *path = g_strdup_printf("%s/g%d.json", dir, i);
	char *text = g_strdup_printf(
		"{\"id\":\"g%d\",\"zone\":\"z\",\"callers\":\"127.0.0.1:%d\","
		"\"ready\":\"127.0.0.1:%d\",\"peers\":\"127.0.0.1:%d\","
		"\"store\":\"127.0.0.1:%d\",\"memory_mb\":%s}",
		i, port, port + 1, port + 2, state.port + STORE_PORT,
		memory_mb);

	g_file_set_contents(path, text, -1, NULL);
	state.gateways[i].pid = fork();
	if (state.gateways[i].pid == 0) {
		if (freopen("/dev/null", "w", stdout) == NULL)
			_exit(126);
		execl(binary, binary, "gateway", "-c", path, (char *)NULL);
		_exit(127);
	}
	g_free(path);
	g_free(text);
}

/* Reads the most memory that a process has had so far. */
static void note_peak(struct gateway *gateway)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)gateway->pid);
	char *text = NULL;
	const char *at;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (at = strstr(text, "VmHWM:")) != NULL)
		gateway->peak_kb = strtoull(at + strlen("VmHWM:"), NULL, 10);
	g_free(path);
	g_free(text);
	if (waitpid(gateway->pid, NULL, WNOHANG) == gateway->pid)
		gateway->ended = true;
}

static void on_stream_head(void *arg, const struct upstream_head *head)
{
	struct stream *stream = arg;

	if (head->status == 503 || head->status == 429) {
		state.refused++;
		stream->sent_ms = 0;
	}
}

static void on_stream_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_stream_end(void *arg, enum upstream_result end,
			  const char *cause)
{
	struct stream *stream = arg;
	int64_t ms = clock_boot_ms() - stream->sent_ms;

	(void)cause;
	if (g_hash_table_contains(state.endless, stream->id)) {
		state.spoiled++;
	} else if (end != UPSTREAM_COMPLETE) {
		state.lost++;
	} else if (stream->sent_ms > 0) {
		state.served++;
		g_array_append_val(state.latencies_ms, ms);
	}
	g_free(stream);
}

static void send_stream(int i)
{
	static const struct upstream_handler handler = {.head = on_stream_head,
							.body = on_stream_body,
							.end = on_stream_end};
	struct stream *stream = g_new0(struct stream, 1);
	struct upstream_request request = {.idle = &state.gateways[i].idle,
					   .head = g_string_new(NULL),
					   .connect_timeout_ms = 1000};
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   state.port + GATEWAY_PORT + i * GATEWAY_PORTS);
	g_snprintf(stream->id, sizeof(stream->id), "t%u", state.next_id++);
	stream->sent_ms = clock_boot_ms();
	request.address = address;
	g_string_printf(request.head,
			"POST /turn HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
			"Deadline-Ms: %d\r\nToken-Usage: 10,100\r\n"
			"Content-Length: 0\r\n\r\n",
			stream->id, DEADLINE_MS);
	state.sent++;
	upstream_send(state.upstream, &request, &handler, stream);
}

/* A caller whose request body has no end; it begins anew when it is cut off. */
struct upload {
	int gateway;
	struct bufferevent *bev;
	struct event *timer;
};

static void open_upload(struct upload *upload);

static void on_upload_event(struct bufferevent *bev, short what, void *arg)
{
	struct upload *upload = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	bufferevent_free(upload->bev);
	open_upload(upload);
}

static void on_upload_timer(evutil_socket_t fd, short what, void *arg)
{
	static const char bytes[UPLOAD_STEP_BYTES];
	struct upload *upload = arg;
	struct evbuffer *out = bufferevent_get_output(upload->bev);
	struct timeval tv = clock_timeval(UPLOAD_GAP_MS);

	(void)fd;
	(void)what;
	if (evbuffer_get_length(out) < UPLOAD_STEP_BYTES) {
		evbuffer_add_printf(out, "%x\r\n", UPLOAD_STEP_BYTES);
		evbuffer_add(out, bytes, sizeof(bytes));
		evbuffer_add(out, "\r\n", 2);
	}
	event_add(upload->timer, &tv);
}

static void on_upload_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);

	(void)arg;
	evbuffer_drain(in, evbuffer_get_length(in));
}

static void open_upload(struct upload *upload)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   state.port + GATEWAY_PORT + upload->gateway * GATEWAY_PORTS);
	upload->bev = bufferevent_socket_new(state.base, -1,
					     BEV_OPT_CLOSE_ON_FREE |
						     BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(upload->bev, on_upload_read, NULL, on_upload_event,
			  upload);
	bufferevent_enable(upload->bev, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(upload->bev),
			    "POST /turn HTTP/1.1\r\nHost: h\r\n"
			    "Request-Id: u\r\nTransfer-Encoding: chunked\r\n"
			    "\r\n");
	(void)sock_connect(upload->bev, address);
}

static void start_uploads(void)
{
	struct timeval tv = clock_timeval(UPLOAD_GAP_MS);

	for (int i = 0; i < UPLOADS * GATEWAYS; i++) {
		struct upload *upload = g_new0(struct upload, 1);

		upload->gateway = i % GATEWAYS;
		upload->timer =
			evtimer_new(state.base, on_upload_timer, upload);
		open_upload(upload);
		event_add(upload->timer, &tv);
	}
}

static void send_load(int64_t ms)
{
	int64_t from_ms = clock_boot_ms();
	int64_t at_ms = from_ms;

	while (at_ms - from_ms < ms) {
		for (; at_ms < clock_boot_ms(); at_ms++) {
			for (int i = 0; i < GATEWAYS; i++) {
				if (rng_below(&state.rng, 1000) < STREAMS_PER_S)
					send_stream(i);
			}
		}
		run_for(1);
		for (int i = 0; i < GATEWAYS; i++) {
			if (!state.gateways[i].ended)
				note_peak(&state.gateways[i]);
		}
	}
	run_for(DEADLINE_MS + 500);
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile_ms(guint percent)
{
	GArray *ms = state.latencies_ms;

	return ms->len == 0 ? -1
			    : g_array_index(ms, int64_t,
					    (ms->len - 1) * percent / 100);
}

static void print_result(const char *memory_mb, int64_t seconds)
{
	uint64_t peak_kb = 0;
	guint ended = 0;

	g_array_sort(state.latencies_ms, compare_ms);
	for (int i = 0; i < GATEWAYS; i++) {
		peak_kb = MAX(peak_kb, state.gateways[i].peak_kb);
		ended += state.gateways[i].ended;
	}
	printf("{\"load\":\"%s\",\"memory_mb\":%s,\"seconds\":%d,"
	       "\"peak_mb\":%.1f,\"ended\":%u,\"sent\":%u,\"served\":%u,"
	       "\"refused\":%u,\"lost\":%u,\"spoiled\":%u,\"p50_ms\":%d,"
	       "\"p99_ms\":%d}\n",
	       load_names[state.load], memory_mb, (int)seconds,
	       (double)peak_kb / 1024, ended, state.sent, state.served,
	       state.refused, state.lost, state.spoiled, (int)percentile_ms(50),
	       (int)percentile_ms(99));
}

static bool parse_load(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(load_names); i++) {
		state.load = (enum load)i;
		if (strcmp(name, load_names[i]) == 0)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	char dir[] = "/tmp/aps-pressure-XXXXXX";
	struct rowstore *store;
	char address[32];
	int64_t seconds;

	if (argc < 4 || !parse_load(argv[3]) || mkdtemp(dir) == NULL) {
		fprintf(stderr, "usage: pressure BINARY MEMORY_MB "
				"none|bodies|heads|uploads "
				"[SECONDS [FAULTY [PORT]]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	seconds = argc > 4 ? atoi(argv[4]) : DEFAULT_SECONDS;
	state.faulty_servers = argc > 5 ? atoi(argv[5]) : 1;
	state.port = argc > 6 ? atoi(argv[6]) : DEFAULT_PORT;
	state.rng.state = 1;
	state.base = event_base_new();
	state.upstream = upstream_create(state.base);
	state.endless =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state.latencies_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   state.port + STORE_PORT);
	store = rowstore_create(state.base, address);
	if (store == NULL || !start_servers(store)) {
		fprintf(stderr, "pressure: can't listen: %s\n",
			strerror(errno));
		return 2;
	}
	rowstore_put(store, "op", "", "config", config);
	for (int i = 0; i < GATEWAYS; i++)
		start_gateway(i, argv[1], argv[2], dir);
	run_for(START_MS);
	if (state.load == LOAD_UPLOADS)
		start_uploads();
	send_load(seconds * 1000);
	print_result(argv[2], seconds);
	for (int i = 0; i < GATEWAYS; i++) {
		if (state.gateways[i].ended)
			continue;
		/* They hold the ports of this process until they have ended. */
		kill(state.gateways[i].pid, SIGKILL);
		waitpid(state.gateways[i].pid, NULL, 0);
	}
	return 0;
}
