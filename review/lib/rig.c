/** @file rig.c @brief Test rig of the review. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/listener.h>

#include "rig.h"
#include "serve/clock.h"
#include "serve/hdr.h"

enum {
	READY_TIMEOUT_MS = 15000,
	SETTLE_MS = 3500,
};

struct rig rig;
GPtrArray *rig_runs;

int64_t rig_now_ms(void)
{
	return clock_boot_ms() - rig.started_ms;
}

void rig_log(const char *format, ...)
{
	va_list ap;

	fprintf(rig.record, "%8.3f ", (double)rig_now_ms() / 1000.0);
	va_start(ap, format);
	vfprintf(rig.record, format, ap);
	va_end(ap);
	fputc('\n', rig.record);
}

void rig_cannot_run(const char *why)
{
	rig_log("the case could not run: %s", why);
	fprintf(stderr, "the case could not run: %s\n", why);
	exit(rig_finish(RIG_NOT_RUN));
}

void rig_create(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	char *path;
	char *address;

	if (argc < 3)
		exit(RIG_NOT_RUN);
	signal(SIGPIPE, SIG_IGN);
	rig.record = fopen(argv[1], "w");
	if (rig.record == NULL)
		exit(RIG_NOT_RUN);
	setvbuf(rig.record, NULL, _IOLBF, 0);
	rig.dir = g_strdup(argv[2]);
	rig.zone = "nbo-a";
	rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig.started_ms = clock_boot_ms();
	rig.base = event_base_new();
	rig.upstream = upstream_create(rig.base);
	rig_runs = g_ptr_array_new();
	address = rig_free_address();
	rig.store = rowstore_create(rig.base, address);
	if (rig.store == NULL)
		rig_cannot_run("the store could not listen");
	path = g_strdup_printf("%s/store", rig.dir);
	g_file_set_contents(path, address, -1, NULL);
	g_free(path);
	g_free(address);
	rig_log("trouble: %s", rig.trouble ? "yes" : "no");
}

int rig_finish(int status)
{
	static const char *const words[] = {"the rule held",
					    "the rule was broken",
					    "the case could not run"};

	for (int i = 0; i < RIG_GATEWAYS_MAX; i++)
		rig_kill_gateway(i);
	rig_log("result: %s (exit status %d)", words[status], status);
	fclose(rig.record);
	printf("%s\n", words[status]);
	return status;
}

static void on_loop_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

static void run_step(int64_t ms)
{
	struct timeval tv = clock_timeval(ms);
	struct event *timer = evtimer_new(rig.base, on_loop_timer, rig.base);

	event_add(timer, &tv);
	event_base_loop(rig.base, EVLOOP_ONCE);
	event_free(timer);
}

bool rig_run_until(const bool *flag, int64_t ms)
{
	int64_t until_ms = clock_boot_ms() + ms;
	int64_t left_ms;

	while (!*flag && (left_ms = until_ms - clock_boot_ms()) > 0)
		run_step(left_ms);
	return *flag;
}

void rig_run(int64_t ms)
{
	static const bool never;

	(void)rig_run_until(&never, ms);
}

static int bound_port(int type, int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, type, 0);
	int found = -1;

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    getsockname(fd, (struct sockaddr *)&addr, &len) == 0)
		found = ntohs(addr.sin_port);
	close(fd);
	return found;
}

/* The port is free for TCP and UDP, as the peers' port needs both. */
char *rig_free_address(void)
{
	static GHashTable *given;
	int port;

	if (given == NULL)
		given = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (int i = 0; i < 1000; i++) {
		port = bound_port(SOCK_STREAM, 0);
		if (port < 0 || bound_port(SOCK_DGRAM, port) != port ||
		    !g_hash_table_add(given, GINT_TO_POINTER(port)))
			continue;
		return g_strdup_printf("127.0.0.1:%d", port);
	}
	rig_cannot_run("no free port");
}

void rig_put_config(const char *json)
{
	rowstore_put(rig.store, "op", "", "config", json);
	rig_log("op/config %s", json);
}

void rig_put_server(const struct rig_server *server, int64_t cold_ms)
{
	char *json = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		"\"cold_left_ms\":%" G_GINT64_FORMAT
		",\"sequence\":1,\"born\":%" G_GINT64_FORMAT "}",
		server->service, server->address, server->zone, server->slots,
		cold_ms, server->born_ms);

	rowstore_put(rig.store, "servers", "", server->id, json);
	rig_log("servers/%s %s", server->id, json);
	g_free(json);
}

void rig_remove_entry(const struct rig_server *server)
{
	rowstore_put(rig.store, "servers", "", server->id, NULL);
	rig_log("servers/%s is removed", server->id);
}

static const char *zone_of(int gateway)
{
	return gateway % 2 != 0 && rig.other_zone != NULL ? rig.other_zone
							  : rig.zone;
}

static void write_settings(struct rig_gateway *gw, int i)
{
	char *store_path = g_strdup_printf("%s/store", rig.dir);
	char *peers = rig_free_address();
	char *relay = rig_free_address();
	char *metrics = rig_free_address();
	char *store = NULL;
	char *text;

	g_file_get_contents(store_path, &store, NULL, NULL);
	gw->callers = rig_free_address();
	gw->ready = rig_free_address();
	gw->settings_path = g_strdup_printf("%s/g%d.json", rig.dir, i);
	text = g_strdup_printf(
		"// The settings of a machine.\n"
		"{\n\t\"id\": \"front-%s-%d\",\n\t\"zone\": \"%s\",\n"
		"\t\"callers\": \"%s\",\n\t\"ready\": \"%s\",\n"
		"\t\"peers\": \"%s\",\n\t\"relay\": \"%s\",\n"
		"\t\"tunnel\": \"%s\",\n\t\"metrics\": \"%s\",\n"
		"\t\"grace_s\": 8,\n\t\"revoke_ms\": 5000,\n"
		"\t\"quota_slack\": 20,\n\t\"store\": \"%s\"\n}\n",
		zone_of(i), i + 1, zone_of(i), gw->callers, gw->ready, peers,
		relay, peers, metrics, store);
	g_file_set_contents(gw->settings_path, text, -1, NULL);
	g_free(text);
	g_free(store);
	g_free(store_path);
	g_free(peers);
	g_free(relay);
	g_free(metrics);
}

void rig_start_gateway(int i)
{
	struct rig_gateway *gw = &rig.gateways[i];
	char *const argv[] = {(char *)"target/apricotshift", (char *)"gateway",
			      (char *)"-c", NULL, NULL};
	char *args[5];
	char *log_path;

	if (gw->settings_path == NULL)
		write_settings(gw, i);
	memcpy(args, argv, sizeof(args));
	args[3] = gw->settings_path;
	log_path = g_strdup_printf("%s.log", gw->settings_path);
	gw->pid = fork();
	if (gw->pid == 0) {
		int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (fd >= 0) {
			dup2(fd, STDOUT_FILENO);
			dup2(fd, STDERR_FILENO);
		}
		closefrom(STDERR_FILENO + 1);
		execv(args[0], args);
		_exit(127);
	}
	g_free(log_path);
	rig_log("gateway %d started, process %d", i, (int)gw->pid);
}

void rig_kill_gateway(int i)
{
	struct rig_gateway *gw = &rig.gateways[i];

	if (gw->pid <= 0)
		return;
	kill(gw->pid, SIGKILL);
	waitpid(gw->pid, NULL, 0);
	rig_log("gateway %d killed, process %d", i, (int)gw->pid);
	gw->pid = 0;
}

/* A GET to an address, for readiness. */
struct probe {
	bool done;
	int status;
};

static void on_probe_head(void *arg, const struct upstream_head *head)
{
	((struct probe *)arg)->status = head->status;
}

static void on_probe_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_probe_end(void *arg, enum upstream_result end, const char *cause)
{
	(void)end;
	(void)cause;
	((struct probe *)arg)->done = true;
}

bool rig_is_ready(int i)
{
	static const struct upstream_handler handler = {.head = on_probe_head,
							.body = on_probe_body,
							.end = on_probe_end};
	struct probe probe = {0};
	GQueue idle = G_QUEUE_INIT;
	struct upstream_request request = {
		.address = rig.gateways[i].ready,
		.idle = &idle,
		.connect_timeout_ms = 500,
	};
	struct upstream_call *call;

	request.head = g_string_new("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
				    "Connection: close\r\n\r\n");
	call = upstream_send(rig.upstream, &request, &handler, &probe);
	if (!rig_run_until(&probe.done, 1000))
		upstream_cancel(call);
	upstream_close_idle(&idle);
	return probe.status == 200;
}

void rig_wait_until_ready(int i)
{
	int64_t until_ms = rig_now_ms() + READY_TIMEOUT_MS;

	while (!rig_is_ready(i)) {
		if (rig_now_ms() > until_ms)
			rig_cannot_run("a gateway is not ready");
		rig_run(50);
	}
	rig_log("gateway %d is ready", i);
}

void rig_start_gateways(int n)
{
	rig.n_gateways = n;
	for (int i = 0; i < n; i++)
		rig_start_gateway(i);
	for (int i = 0; i < n; i++)
		rig_wait_until_ready(i);
	rig_run(SETTLE_MS);
}

/* Clients. */

static void end_call(struct rig_call *call)
{
	call->done = true;
	call->done_ms = rig_now_ms();
	if (call->timer != NULL)
		event_del(call->timer);
	if (call->on_done != NULL)
		call->on_done(call);
}

static void on_call_head(void *arg, const struct upstream_head *head)
{
	struct rig_call *call = arg;

	call->status = head->status;
	call->is_signed = hdr_get(head->headers, "Response-Signature") != NULL;
}

static void on_call_body(void *arg, const char *data, size_t len)
{
	struct rig_call *call = arg;

	g_string_append_len(call->body, data, (gssize)len);
}

static void on_call_end(void *arg, enum upstream_result end, const char *cause)
{
	struct rig_call *call = arg;

	(void)cause;
	call->call = NULL;
	call->whole = end == UPSTREAM_COMPLETE;
	if (!call->whole && call->body->len == 0)
		call->status = 0;
	end_call(call);
}

static void on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct rig_call *call = arg;

	(void)fd;
	(void)what;
	if (call->done)
		return;
	upstream_cancel(call->call);
	call->call = NULL;
	end_call(call);
}

void rig_send(struct rig_call *call, int gateway, GQueue *idle,
	      const char *method, const char *path, const char *header,
	      const void *body, size_t len, int64_t deadline_ms)
{
	static const struct upstream_handler handler = {
		.head = on_call_head, .body = on_call_body, .end = on_call_end};
	struct upstream_request request = {
		.address = rig.gateways[gateway].callers,
		.connect_timeout_ms = 1000,
		.id_name = "Request-Id",
	};
	struct timeval tv = clock_timeval(deadline_ms + 50);

	g_snprintf(call->id, sizeof(call->id), "%08x%08x",
		   (unsigned int)getpid(), (unsigned int)++rig.next_id);
	call->gateway = gateway;
	call->body = g_string_new(NULL);
	call->sent_ms = rig_now_ms();
	g_queue_init(&call->idle);
	request.idle = idle != NULL ? idle : &call->idle;
	request.id = call->id;
	request.head = g_string_new(NULL);
	g_string_printf(request.head,
			"%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
			"Request-Id: %s\r\nDeadline-Ms: %d\r\n%s",
			method, path, call->id, (int)deadline_ms, header);
	if (body != NULL)
		g_string_append_printf(request.head, "Content-Length: %zu\r\n",
				       len);
	g_string_append(request.head, "\r\n");
	request.body = body != NULL ? g_bytes_new(body, len) : NULL;
	call->timer = evtimer_new(rig.base, on_call_timeout, call);
	event_add(call->timer, &tv);
	call->call = upstream_send(rig.upstream, &request, &handler, call);
	if (request.body != NULL)
		g_bytes_unref(request.body);
}

void rig_call_clear(struct rig_call *call)
{
	if (call->call != NULL)
		upstream_cancel(call->call);
	if (call->timer != NULL)
		event_free(call->timer);
	upstream_close_idle(&call->idle);
	if (call->body != NULL)
		g_string_free(call->body, TRUE);
	memset(call, 0, sizeof(*call));
}

/* Servers. */

static void conn_free(struct rig_conn *conn)
{
	if (conn->server->on_close != NULL)
		conn->server->on_close(conn);
	g_ptr_array_remove_fast(conn->server->conns, conn);
	event_free(conn->timer);
	bufferevent_free(conn->bev);
	g_array_unref(conn->headers);
	g_string_free(conn->target, TRUE);
	g_byte_array_unref(conn->body);
	g_free(conn);
}

static int on_begin(http_parser *parser)
{
	struct rig_conn *conn = parser->data;

	g_array_set_size(conn->headers, 0);
	g_string_truncate(conn->target, 0);
	g_byte_array_set_size(conn->body, 0);
	conn->complete = false;
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct rig_conn *conn = parser->data;

	g_string_append_len(conn->target, at, (gssize)len);
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t len)
{
	struct rig_conn *conn = parser->data;

	hdr_append_name(conn->headers, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct rig_conn *conn = parser->data;

	hdr_append_value(conn->headers, at, len);
	return 0;
}

static int on_data(http_parser *parser, const char *at, size_t len)
{
	struct rig_conn *conn = parser->data;

	g_byte_array_append(conn->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct rig_conn *conn = parser->data;

	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings request_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_body = on_data,
	.on_message_complete = on_complete,
};

static void read_conn(struct rig_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	while (!conn->busy && evbuffer_get_length(in) > 0) {
		struct evbuffer_iovec chunk;
		size_t parsed;

		evbuffer_peek(in, -1, NULL, &chunk, 1);
		parsed = http_parser_execute(&conn->parser, &request_settings,
					     chunk.iov_base, chunk.iov_len);
		evbuffer_drain(in, parsed);
		if (conn->complete) {
			http_parser_pause(&conn->parser, 0);
			conn->complete = false;
			conn->busy = true;
			conn->server->on_request(conn);
			return;
		}
		if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			rig_log("%s got bytes that are no request",
				conn->server->id);
			conn_free(conn);
			return;
		}
	}
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_conn(arg);
}

static void on_conn_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	conn_free(arg);
}

void rig_conn_next(struct rig_conn *conn)
{
	conn->busy = false;
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(conn->bev, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS |
					    BEV_TRIG_DEFER_CALLBACKS);
}

static void on_nothing(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct rig_conn *conn = g_new0(struct rig_conn, 1);

	(void)listener;
	(void)addr;
	(void)len;
	conn->server = arg;
	g_ptr_array_add(conn->server->conns, conn);
	conn->headers = hdr_create();
	conn->target = g_string_new(NULL);
	conn->body = g_byte_array_new();
	conn->timer = evtimer_new(rig.base, on_nothing, conn);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->bev = bufferevent_socket_new(
		rig.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_readable, NULL, on_conn_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

struct rig_server *rig_server_create(const char *id, const char *service,
				     const char *zone, int slots,
				     int64_t cold_ms)
{
	struct rig_server *server = g_new0(struct rig_server, 1);
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	server->id = g_strdup(id);
	server->service = g_strdup(service);
	server->zone = g_strdup(zone);
	server->address = rig_free_address();
	server->slots = slots;
	server->born_ms = g_get_real_time() / 1000;
	server->conns = g_ptr_array_new();
	evutil_parse_sockaddr_port(server->address, (struct sockaddr *)&addr,
				   &len);
	server->listener = evconnlistener_new_bind(
		rig.base, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&addr, len);
	if (server->listener == NULL)
		rig_cannot_run("a server could not listen");
	rig_put_server(server, cold_ms);
	return server;
}

void rig_server_crash(struct rig_server *server)
{
	struct linger linger = {.l_onoff = 1};

	rig_log("%s crashes", server->id);
	g_clear_pointer(&server->listener, evconnlistener_free);
	while (server->conns->len > 0) {
		struct rig_conn *conn = g_ptr_array_index(server->conns, 0);

		(void)setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET,
				 SO_LINGER, &linger, sizeof(linger));
		conn_free(conn);
	}
}

const char *rig_header(const struct rig_conn *conn, const char *name)
{
	const char *value = hdr_get(conn->headers, name);

	return value != NULL ? value : "";
}

void rig_answer(struct rig_conn *conn, int status, const char *header,
		const void *body, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	evbuffer_add_printf(out,
			    "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n"
			    "%sContent-Length: %zu\r\n\r\n",
			    status, rig_header(conn, "Request-Id"), header,
			    len);
	evbuffer_add(out, body, len);
}

void rig_note_run(const struct rig_conn *conn)
{
	struct rig_run_record *run = g_new0(struct rig_run_record, 1);

	run->id = g_strdup(rig_header(conn, "Request-Id"));
	run->server = conn->server->id;
	run->target = g_strdup(conn->target->str);
	run->body = g_byte_array_new();
	g_byte_array_append(run->body, conn->body->data, conn->body->len);
	run->at_ms = rig_now_ms();
	g_ptr_array_add(rig_runs, run);
}

guint rig_count_runs(const char *id)
{
	guint count = 0;

	for (guint i = 0; i < rig_runs->len; i++) {
		const struct rig_run_record *run =
			g_ptr_array_index(rig_runs, i);

		count += strcmp(run->id, id) == 0;
	}
	return count;
}

/* A stream that is being sent. */
struct stream {
	struct rig_conn *conn;
	int next;
	int events;
	int gap_ms;
};

static void on_stream_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream *stream = arg;
	struct rig_conn *conn = stream->conn;
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	struct timeval tv = clock_timeval(stream->gap_ms);
	char *event;

	(void)fd;
	(void)what;
	if (stream->next > stream->events) {
		evbuffer_add_printf(out, "0\r\n\r\n");
		conn->server->running--;
		g_clear_pointer(&conn->state, g_free);
		rig_conn_next(conn);
		return;
	}
	event = g_strdup_printf("id: %d\ndata: %s-%d\n\n", stream->next,
				conn->server->id, stream->next);
	evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(event), event);
	g_free(event);
	stream->next++;
	event_add(conn->timer, &tv);
}

void rig_stream_close(struct rig_conn *conn)
{
	if (conn->state == NULL)
		return;
	conn->server->running--;
	g_clear_pointer(&conn->state, g_free);
	rig_log("%s dropped request %s, its channel was closed",
		conn->server->id, rig_header(conn, "Request-Id"));
}

void rig_stream(struct rig_conn *conn, int events, int gap_ms)
{
	struct stream *stream = g_new0(struct stream, 1);
	struct timeval tv = clock_timeval(gap_ms);
	const char *last = rig_header(conn, "Last-Event-Id");

	stream->conn = conn;
	stream->next = *last != '\0' ? atoi(last) + 1 : 1;
	stream->events = events;
	stream->gap_ms = gap_ms;
	conn->state = stream;
	conn->server->running++;
	evbuffer_add_printf(bufferevent_get_output(conn->bev),
			    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			    "Response-Signature: sig.%s\r\n"
			    "Server-Load: %d,0,%d\r\n"
			    "Content-Type: text/event-stream\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n",
			    rig_header(conn, "Request-Id"), conn->server->id,
			    conn->server->running, conn->server->slots);
	event_assign(conn->timer, rig.base, -1, 0, on_stream_timer, stream);
	event_add(conn->timer, &tv);
}
