/** @file rig2.c @brief A small deployment for the review's trials. */
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "rig2.h"
#include "serve/clock.h"
#include "serve/hdr.h"
#include "serve/upstream.h"

enum {
	EXIT_CANNOT_RUN = 2,
	PORTS = 8, /* in a row */
	READY_MS = 15000,
	STEP_MS = 10,
	HOST_MAX = 250,
	STORE_HOST = 9,
	GATEWAY_HOST = 11, /* of the first gateway */
};

/* As a platform of the small site fills in platform/settings.template. */
static const char settings_format[] =
	"{\n\t\"id\": \"front-%d\",\n\t\"zone\": \"z\",\n"
	"\t\"callers\": \"%s\",\n\t\"ready\": \"%s\",\n"
	"\t\"peers\": \"%s\",\n\t\"relay\": \"%s\",\n\t\"tunnel\": \"%s\",\n"
	"\t\"metrics\": \"%s\",\n\t\"grace_s\": 8,\n\t\"revoke_ms\": 5000,\n"
	"\t\"quota_slack\": 20,\n\t\"contact_ms\": 3000,\n"
	"\t\"memory_mb\": %d,\n"
	"\t\"contracts\": \"base,drain,config,cost,recover,agent,stream,engine,"
	"tenants,quota,places,platform\",\n\t\"store\": \"%s\"\n}\n";

static void cannot_run(const char *what)
{
	fprintf(stderr, "can't run: %s\n", what);
	exit(EXIT_CANNOT_RUN);
}

int64_t rig_now_ms(const struct rig *rig)
{
	return clock_boot_ms() - rig->started_ms;
}

void rig_note(struct rig *rig, const char *format, ...)
{
	va_list ap;

	fprintf(rig->record, "%8.3f ", (double)rig_now_ms(rig) / 1000.0);
	va_start(ap, format);
	vfprintf(rig->record, format, ap);
	va_end(ap);
	fputc('\n', rig->record);
	fflush(rig->record);
}

char *rig_address(const struct rig *rig, int host, int offset)
{
	return g_strdup_printf("127.0.%d.1:%d", host, rig->port + offset);
}

/* Whether a port can be bound on the loopback addresses. */
static bool is_port_free(int port, int type)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, type, 0);
	bool ok;

	addr.sin_addr.s_addr = htonl(INADDR_ANY);
	ok = fd >= 0 && bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	if (fd >= 0)
		close(fd);
	return ok;
}

/* Finds ports in a row that are free. */
static int find_ports(void)
{
	for (int port = 21000 + getpid() % 500 * PORTS; port < 32000;
	     port += PORTS) {
		bool ok = true;

		for (int i = 0; i < PORTS; i++)
			ok &= is_port_free(port + i, SOCK_STREAM) &&
			      is_port_free(port + i, SOCK_DGRAM);
		if (ok)
			return port;
	}
	cannot_run("no free ports");
	return 0;
}

void rig_open(struct rig *rig, const char *record)
{
	const char *trouble = getenv("TROUBLE");
	char name[] = "/tmp/review-XXXXXX";

	signal(SIGPIPE, SIG_IGN);
	memset(rig, 0, sizeof(*rig));
	rig->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig->memory_mb = RIG_MEMORY_MB;
	rig->started_ms = clock_boot_ms();
	rig->record = fopen(record, "w");
	if (rig->record == NULL || mkdtemp(name) == NULL)
		cannot_run("no files");
	rig->dir = g_strdup(name);
	rig->port = find_ports();
	rig->base = event_base_new();
	rig->upstream = upstream_create(rig->base);
	rig->store_address = rig_address(rig, STORE_HOST, 0);
	rig->store = rowstore_create(rig->base, rig->store_address);
	if (rig->store == NULL)
		cannot_run("no store");
}

static void remove_dir(const char *dir)
{
	GDir *list = g_dir_open(dir, 0, NULL);
	const char *name;

	while (list != NULL && (name = g_dir_read_name(list)) != NULL) {
		char *path = g_build_filename(dir, name, NULL);

		(void)unlink(path);
		g_free(path);
	}
	if (list != NULL)
		g_dir_close(list);
	(void)rmdir(dir);
}

void rig_close(struct rig *rig)
{
	for (int i = 0; i < rig->gateways_len; i++) {
		struct rig_gateway *gw = &rig->gateways[i];

		if (gw->pid > 0) {
			kill(gw->pid, SIGKILL);
			waitpid(gw->pid, NULL, 0);
		}
		upstream_close_idle(&gw->idle);
		g_free(gw->settings);
		g_free(gw->callers);
		g_free(gw->ready);
	}
	rowstore_destroy(rig->store);
	upstream_destroy(rig->upstream);
	event_base_free(rig->base);
	if (getenv("KEEP") == NULL)
		remove_dir(rig->dir);
	g_free(rig->dir);
	g_free(rig->store_address);
	fclose(rig->record);
}

static void write_settings(struct rig *rig, int i)
{
	struct rig_gateway *gw = &rig->gateways[i];
	char *peers = rig_address(rig, GATEWAY_HOST + i, 2);
	char *relay = rig_address(rig, GATEWAY_HOST + i, 3);
	char *metrics = rig_address(rig, GATEWAY_HOST + i, 4);
	char *text;

	gw->callers = rig_address(rig, GATEWAY_HOST + i, 0);
	gw->ready = rig_address(rig, GATEWAY_HOST + i, 1);
	gw->settings = g_strdup_printf("%s/settings-%d.json", rig->dir, i);
	text = g_strdup_printf(settings_format, i, gw->callers, gw->ready,
			       peers, relay, peers, metrics, rig->memory_mb,
			       rig->store_address);
	if (!g_file_set_contents(gw->settings, text, -1, NULL))
		cannot_run("no settings");
	g_free(text);
	g_free(peers);
	g_free(relay);
	g_free(metrics);
}

void rig_start_gateway(struct rig *rig, int i)
{
	struct rig_gateway *gw = &rig->gateways[i];
	char *log = g_strdup_printf("%s/log-%d.txt", rig->dir, i);

	if (i >= rig->gateways_len) {
		rig->gateways_len = i + 1;
		write_settings(rig, i);
		g_queue_init(&gw->idle);
	}
	gw->starts++;
	gw->pid = fork();
	if (gw->pid < 0)
		cannot_run("no process");
	if (gw->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
		closefrom(STDERR_FILENO + 1);
		(void)setenv("APRICOTSHIFT_BOOT", gw->settings, 1);
		execl("target/apricotshift", "target/apricotshift", "gateway",
		      "-c", gw->settings, (char *)NULL);
		_exit(127);
	}
	rig_note(rig, "gateway %d: start", i);
	g_free(log);
}

void rig_signal(struct rig *rig, int i, int signal)
{
	struct rig_gateway *gw = &rig->gateways[i];

	if (gw->pid <= 0)
		return;
	rig_note(rig, "gateway %d: %s", i, strsignal(signal));
	kill(gw->pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(gw->pid, NULL, 0);
	gw->pid = 0;
	upstream_close_idle(&gw->idle);
}

void rig_check(struct rig *rig)
{
	for (int i = 0; i < rig->gateways_len; i++) {
		struct rig_gateway *gw = &rig->gateways[i];
		int status;

		if (gw->pid <= 0 || waitpid(gw->pid, &status, WNOHANG) == 0)
			continue;
		gw->pid = 0;
		gw->ends++;
		upstream_close_idle(&gw->idle);
		rig_note(rig, "gateway %d: ended, %s %d", i,
			 WIFSIGNALED(status) ? "signal" : "status",
			 WIFSIGNALED(status) ? WTERMSIG(status)
					     : WEXITSTATUS(status));
	}
}

bool rig_wait_end(struct rig *rig, int i, int64_t ms)
{
	int64_t until_ms = clock_boot_ms() + ms;

	while (rig->gateways[i].pid > 0 && clock_boot_ms() < until_ms) {
		rig_run(rig, STEP_MS);
		rig_check(rig);
	}
	return rig->gateways[i].pid == 0;
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

void rig_run(struct rig *rig, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);
	struct event *timer = evtimer_new(rig->base, on_step, rig->base);

	event_add(timer, &tv);
	event_base_dispatch(rig->base);
	event_free(timer);
}

void rig_put_config(struct rig *rig, int version, const char *routes,
		    const char *services, const char *tenants)
{
	char *row = g_strdup_printf(
		"{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
		"\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
		version, routes, services, tenants);

	rowstore_put(rig->store, "op", "", "config", row);
	rig_note(rig, "config %d, tenants [%s]", version, tenants);
	g_free(row);
}

void rig_put_server(struct rig *rig, const char *id, const char *service,
		    const char *address, const char *state)
{
	static int64_t sequence;
	char *row = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":48,\"state\":\"%s\","
		"\"cold_left_ms\":0,\"sequence\":%" G_GINT64_FORMAT "}",
		service, address, state, ++sequence);

	rowstore_put(rig->store, "servers", "", id, row);
	rig_note(rig, "server %s: %s", id, state);
	g_free(row);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct rig_call *call = arg;

	call->status = head->status;
	call->is_signed = hdr_get(head->headers, "Response-Signature") != NULL;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct rig_call *call = arg;

	g_string_append_len(call->body, data, (gssize)len);
}

static void on_end(void *arg, enum upstream_result result, const char *cause)
{
	struct rig_call *call = arg;

	call->upstream = NULL;
	call->done = true;
	call->whole = result == UPSTREAM_COMPLETE;
	call->ended_ms = clock_boot_ms();
	if (call->id != NULL)
		rig_note(call->rig,
			 "call %s: %d, %s%s, %zu bytes, %" G_GINT64_FORMAT
			 " ms",
			 call->id, call->status,
			 call->whole ? "whole" : "broken off: ", cause,
			 call->body->len, call->ended_ms - call->sent_ms);
}

static const struct upstream_handler handler = {
	.head = on_head, .body = on_body, .end = on_end};

static struct rig_call *send_to(struct rig *rig, const char *address,
				GQueue *idle, char *id, GString *head,
				const void *body, size_t len)
{
	struct rig_call *call = g_new0(struct rig_call, 1);
	GBytes *bytes = g_bytes_new(body, len);
	struct upstream_request request = {
		.address = address,
		.idle = idle,
		.head = head,
		.body = bytes,
		.connect_timeout_ms = 1000,
	};

	call->rig = rig;
	call->id = id;
	call->body = g_string_new(NULL);
	call->sent_ms = clock_boot_ms();
	call->upstream = upstream_send(rig->upstream, &request, &handler, call);
	g_bytes_unref(bytes);
	return call;
}

struct rig_call *rig_send(struct rig *rig, int gateway, const char *method,
			  const char *path, const char *headers,
			  const void *body, size_t len)
{
	static guint64 serial;
	char *id = g_strdup_printf("r%" G_GUINT64_FORMAT, ++serial);
	GString *head = g_string_new(NULL);
	struct rig_call *call;

	g_string_printf(head,
			"%s %s HTTP/1.1\r\nHost: h.example\r\n"
			"Request-Id: %s\r\n%s",
			method, path, id, headers);
	if (len > 0 || strcmp(method, "POST") == 0)
		g_string_append_printf(head, "Content-Length: %zu\r\n", len);
	g_string_append(head, "\r\n");
	rig_note(rig, "call %s: %s %s to gateway %d, %zu bytes", id, method,
		 path, gateway, len);
	call = send_to(rig, rig->gateways[gateway].callers,
		       &rig->gateways[gateway].idle, id, head, body, len);
	call->gateway = gateway;
	return call;
}

struct rig_call *rig_request(struct rig *rig, int gateway, const char *method,
			     const char *path, const char *headers,
			     const void *body, size_t len, int64_t ms)
{
	struct rig_call *call =
		rig_send(rig, gateway, method, path, headers, body, len);

	while (!call->done && clock_boot_ms() - call->sent_ms < ms)
		rig_run(rig, STEP_MS / 2);
	if (!call->done)
		rig_note(rig, "call %s: no answer in %" G_GINT64_FORMAT " ms",
			 call->id, ms);
	return call;
}

void rig_call_free(struct rig_call *call)
{
	if (call->upstream != NULL)
		upstream_cancel(call->upstream);
	g_string_free(call->body, TRUE);
	g_free(call->id);
	g_free(call);
}

static bool is_ready(struct rig *rig, int i)
{
	GString *head = g_string_new("GET /v1/readyz HTTP/1.1\r\nHost: h\r\n"
				     "Connection: close\r\n\r\n");
	GQueue idle = G_QUEUE_INIT;
	struct rig_call *call = send_to(rig, rig->gateways[i].ready, &idle,
					NULL, head, NULL, 0);
	bool ready;

	while (!call->done && clock_boot_ms() - call->sent_ms < 1000)
		rig_run(rig, STEP_MS);
	ready = call->done && call->status == 200;
	rig_call_free(call);
	upstream_close_idle(&idle);
	return ready;
}

void rig_wait_ready(struct rig *rig)
{
	int64_t until_ms = clock_boot_ms() + READY_MS;

	for (int i = 0; i < rig->gateways_len; i++) {
		while (rig->gateways[i].pid > 0 && !is_ready(rig, i)) {
			if (clock_boot_ms() > until_ms)
				cannot_run("a gateway is not ready");
			rig_run(rig, STEP_MS);
		}
	}
	rig_note(rig, "gateways are ready");
}

long rig_memory_kb(const struct rig *rig, int i)
{
	char *path =
		g_strdup_printf("/proc/%d/status", (int)rig->gateways[i].pid);
	char *text = NULL;
	const char *line;
	long kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (line = strstr(text, "RssAnon:")) != NULL)
		kb = strtol(line + strlen("RssAnon:"), NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}
