/**
 * @file header_flood.c
 * @brief Sends header floods to real processes and checks their memory.
 *
 * header_flood BINARY [CASE]: for each case (or the one named), starts a
 * gateway (or `serve`) with a stand-in store and server, sends the flood over
 * FLOOD_CLIENTS connections that stay open, and then checks that
 *  - the process is alive
 *  - its peak resident memory stayed below its setting memory_mb (gateway), or
 *    SERVE_MAX_KB (serve)
 *  - its open descriptors stayed below FLOOD_CLIENTS * FDS_PER_CLIENT +
 *    FDS_BASE
 *  - an ordinary request is answered with 200 once the clients have left
 *  - what the gateway counts as held is given back afterwards
 *
 * Guards against a process that is ended for its memory by requests or
 * responses whose header is of legal size, but has very many fields. Nothing
 * that depends on speed is checked.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "floods.h"
#include "serve/inbound.h"
#include "test/gateway/target.h"

enum {
	FLOOD_CLIENTS = 200,
	MEMORY_MB = 44,	      /* 4.5 MB of it for connections and requests */
	SERVE_MAX_KB = 65536, /* of `serve` with SERVE_THREADS threads */
	SERVE_THREADS = 16,
	FDS_PER_CLIENT = 2, /* its connection, and one to a server */
	FDS_BASE = 100,
	HELD_MAX_BYTES = 524288, /* of a gateway without requests */
	START_TIMEOUT_MS = 15000,
	ANSWER_TIMEOUT_MS = 15000,
	SEND_STEPS = 400, /* rounds over all clients, at most */
	SEND_STEP_MS = 5, /* between two rounds without progress */
	QUIET_STEPS = 40, /* without progress: the process reads no more */
	SETTLE_MS = 500,  /* for the process to read what was sent */
	PORT = 22400,	  /* of the store; the others follow */
	CALLERS_PORT = PORT + TARGET_CALLERS,
	RELAY_PORT = PORT + TARGET_RELAY,
	METRICS_PORT = PORT + TARGET_METRICS,
	SERVE_PORT = PORT + 7,
	SERVE_PEER_PORT = PORT + 8,
};

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"order\",\"hostname\":\"h\","
	"\"prefix\":\"/\",\"route_type\":\"unsafe\",\"timeout_ms\":30000,"
	"\"slo_ms\":1000,\"service\":\"shop\",\"attempts\":1,"
	"\"public\":true}],\"services\":[{\"name\":\"shop\"}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100000,"
	"\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000},"
	"\"tenants\":[]}";

/* The process under test. */
struct target {
	const char *name;
	const char *command; /* of the binary */
	int port;	     /* that the flood goes to */
	int ordinary_port;
	const char *ordinary; /* request that is answered with 200 */
	uint64_t max_kb;
};

static const char order[] = "POST /order HTTP/1.1\r\nHost: h\r\n"
			    "Request-Id: ordinary\r\nContent-Length: 0\r\n"
			    "Connection: close\r\n\r\n";

static const struct target targets[] = {
	{"gateway", "gateway", CALLERS_PORT, CALLERS_PORT, order,
	 MEMORY_MB * 1024},
	{"relay", "gateway", RELAY_PORT, CALLERS_PORT, order, MEMORY_MB * 1024},
	{"serve", "serve", SERVE_PORT, SERVE_PORT,
	 "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	 SERVE_MAX_KB},
};

struct client {
	int fd; /* -1: closed */
	size_t sent;
};

static pid_t platform_pid;
static pid_t target_pid;
static char dir[] = "/tmp/aps-flood-XXXXXX";

/* The server answers /flood/N with the header of flood N, left unfinished, and
 * anything else with 200. */
static void on_server_request(void *arg, struct inbound_request *request)
{
	const char *id = flood_request_id(request->headers);
	char *headers = g_strdup_printf("Request-Id: %s\r\n"
					"Response-Signature: sig\r\n",
					id);
	GString *response;

	(void)arg;
	if (g_str_has_prefix(request->target, "/flood/")) {
		response = flood_build_response(
			atoi(request->target + strlen("/flood/")), headers);
		inbound_write_raw(request, response->str);
		g_string_free(response, TRUE);
	} else {
		inbound_reply(request, 200, headers, "ok", 2);
	}
	g_free(headers);
}

static const struct target_platform platform = {
	.port = PORT,
	.config = config,
	.service = "shop",
	.max_body_bytes = 1 << 20,
	.on_request = on_server_request,
};

static char *build_settings(const struct target *target)
{
	if (strcmp(target->command, "serve") == 0)
		return g_strdup_printf(
			"{\"id\":\"n\",\"zone\":\"a\","
			"\"http\":\"127.0.0.1:%d\",\"peer\":\"127.0.0.1:%d\","
			"\"platform\":\"embedded\","
			"\"rules\":\"examples/rules.txt\",\"threads\":%d}",
			SERVE_PORT, SERVE_PEER_PORT, SERVE_THREADS);
	return target_settings(&platform, MEMORY_MB);
}

static void start_target(const struct target *target, const char *binary)
{
	char *path = g_strdup_printf("%s/settings.json", dir);
	char *text = build_settings(target);

	g_file_set_contents(path, text, -1, NULL);
	/* The log of `serve` goes to its standard error. */
	target_pid = target_start(binary, target->command, path, NULL,
				  strcmp(target->command, "serve") == 0);
	g_free(path);
	g_free(text);
}

static int open_client(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 && connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Sends a request and returns the response, or "" after @p timeout_ms. */
static GString *exchange(int port, const char *request, int timeout_ms)
{
	GString *response = g_string_new(NULL);
	int fd = open_client(port);
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char buf[4096];
	ssize_t n;

	if (fd < 0)
		return response;
	(void)send(fd, request, strlen(request), MSG_NOSIGNAL);
	while (poll(&p, 1, timeout_ms) == 1 &&
	       (n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(response, buf, n);
	close(fd);
	return response;
}

/* Whether the ordinary request is answered with 200 within @p timeout_ms; a
 * rejection may be tried again. */
static bool is_served(const struct target *target, int timeout_ms)
{
	int64_t until_us = g_get_monotonic_time() + timeout_ms * 1000LL;
	bool ok = false;

	while (!ok && g_get_monotonic_time() < until_us) {
		GString *response = exchange(target->ordinary_port,
					     target->ordinary, timeout_ms);

		ok = g_str_has_prefix(response->str, "HTTP/1.1 200");
		g_string_free(response, TRUE);
		if (!ok)
			g_usleep(100000);
	}
	return ok;
}

static int count_fds(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	DIR *fds = opendir(path);
	int count = 0;

	while (fds != NULL && readdir(fds) != NULL)
		count++;
	if (fds != NULL)
		closedir(fds);
	g_free(path);
	return count;
}

static bool is_alive(void)
{
	if (waitpid(target_pid, NULL, WNOHANG) == 0)
		return true;
	target_pid = 0;
	return false;
}

/* Drops what the process has answered; returns false if it has closed. */
static bool drain(int fd)
{
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		;
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Sends more of the flood; returns whether any byte was taken. */
static bool feed(struct client *client, const struct flood *flood)
{
	size_t len = flood->bytes->len - client->sent;
	ssize_t n;

	if (client->fd < 0 || len == 0)
		return false;
	if (!drain(client->fd)) {
		close(client->fd);
		client->fd = -1;
		return false;
	}
	if (flood->step > 0)
		len = MIN(len, flood->step);
	n = send(client->fd, flood->bytes->str + client->sent, len,
		 MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n <= 0)
		return false;
	client->sent += (size_t)n;
	return true;
}

/* Sends the flood over all clients until it is sent or taken no more. Returns
 * the largest number of descriptors of the process. */
static int send_flood(struct client *clients, const struct flood *flood)
{
	int max_fds = 0;
	int quiet = 0;

	for (int step = 0; step < SEND_STEPS && quiet < QUIET_STEPS; step++) {
		bool progress = false;

		for (int i = 0; i < FLOOD_CLIENTS; i++)
			progress |= feed(&clients[i], flood);
		max_fds = MAX(max_fds, count_fds(target_pid));
		quiet = progress ? 0 : quiet + 1;
		if (!progress)
			g_usleep(SEND_STEP_MS * 1000);
	}
	g_usleep(SETTLE_MS * 1000);
	for (int i = 0; i < FLOOD_CLIENTS; i++) {
		if (clients[i].fd >= 0)
			(void)drain(clients[i].fd);
	}
	return max_fds;
}

/* Returns what the gateway counts as held, by its metrics. */
static uint64_t read_held(void)
{
	static const char name[] = "apricotshift_memory_held_bytes ";
	GString *text = exchange(METRICS_PORT,
				 "GET /metrics HTTP/1.1\r\nHost: h\r\n"
				 "Connection: close\r\n\r\n",
				 ANSWER_TIMEOUT_MS);
	const char *at = strstr(text->str, name);
	uint64_t bytes =
		at ? strtoull(at + strlen(name), NULL, 10) : UINT64_MAX;

	g_string_free(text, TRUE);
	return bytes;
}

static bool is_released(const struct target *target)
{
	int64_t until_us = g_get_monotonic_time() + ANSWER_TIMEOUT_MS * 1000LL;

	if (strcmp(target->command, "gateway") != 0)
		return true;
	while (read_held() > HELD_MAX_BYTES) {
		if (g_get_monotonic_time() > until_us)
			return false;
		g_usleep(100000);
	}
	return true;
}

/* Returns whether the process holds its bounds under the flood. */
static bool play(const struct target *target, const struct flood *flood,
		 const char *binary)
{
	struct client clients[FLOOD_CLIENTS];
	uint64_t start_kb;
	uint64_t peak_kb;
	bool alive;
	bool served;
	bool released;
	int fds;

	start_target(target, binary);
	if (!is_served(target, START_TIMEOUT_MS)) {
		printf("header_flood: %s does not start\n", target->name);
		exit(2);
	}
	start_kb = target_status_kb(target_pid, "VmHWM:");
	for (int i = 0; i < FLOOD_CLIENTS; i++)
		clients[i] = (struct client){.fd = open_client(target->port)};
	fds = send_flood(clients, flood);
	peak_kb = target_status_kb(target_pid, "VmHWM:");
	for (int i = 0; i < FLOOD_CLIENTS; i++) {
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	}
	alive = is_alive();
	served = alive && is_served(target, ANSWER_TIMEOUT_MS);
	released = alive && is_released(target);
	peak_kb = MAX(peak_kb, target_status_kb(target_pid, "VmHWM:"));
	target_stop(&target_pid);
	if (alive && served && released && peak_kb <= target->max_kb &&
	    fds <= FLOOD_CLIENTS * FDS_PER_CLIENT + FDS_BASE) {
		printf("ok      ");
	} else {
		printf("FAILED  ");
		alive = false;
	}
	printf("%-8s %-28s start %5.1f MB, peak %6.1f MB (bound %.0f), %d "
	       "descriptors, served %d, released %d\n",
	       target->name, flood->name, (double)start_kb / 1024,
	       (double)peak_kb / 1024, (double)target->max_kb / 1024, fds,
	       served, released);
	fflush(stdout);
	return alive;
}

int main(int argc, char **argv)
{
	int passed = 0;
	int failed = 0;

	if (argc < 2 || mkdtemp(dir) == NULL) {
		fprintf(stderr, "usage: header_flood BINARY [CASE]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	platform_pid = target_start_platform(&platform);
	for (size_t t = 0; t < G_N_ELEMENTS(targets); t++) {
		for (int i = 0; i < flood_count(); i++) {
			struct flood flood;

			/* Only the client port leads to a server. */
			if (flood_is_response(i) && t > 0)
				continue;
			flood_build(i, &flood);
			if (argc < 3 || strcmp(argv[2], flood.name) == 0) {
				if (play(&targets[t], &flood, argv[1]))
					passed++;
				else
					failed++;
			}
			flood_clear(&flood);
		}
	}
	target_stop(&platform_pid);
	printf("header_flood: %d passed, %d failed\n", passed, failed);
	return failed > 0;
}
