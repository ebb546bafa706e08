#define _GNU_SOURCE
/** @file rig3.c @brief Gateways, a store, servers and clients on loopback. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <event2/event.h>

#include "rig3.h"
#include "test/standins/rowstore.h"

enum {
	PORT_FRONT = 8368,
	PORT_READY = 8369,
	PORT_PEERS = 7780,
	PORT_RELAY = 7795,
	PORT_METRICS = 9464,
	PORT_STORE = 8362,
	PORT_SERVER = 8080,
	HEARTBEAT_MS = 1200,
	READY_MS = 15000,
	SERVERS_MAX = 8,
	WATCHDOG_S = 115,
};

/* Work for the thread of the store. */
struct job {
	enum { JOB_PUT, JOB_DELAY, JOB_REFUSE, JOB_COUNT } kind;
	const char *table;
	const char *key;
	const char *value;
	int64_t number;
	sem_t done;
};

static struct {
	FILE *record;
	pthread_mutex_t record_lock;
	int64_t started_ms;
	char temp[64];
	int net; /* second byte of all addresses: 127.NET.x.y */
	pid_t gateways[RIG_GATEWAYS_MAX];
	int job_pipe[2];
	struct rowstore *store;
	struct rig_server *servers[SERVERS_MAX];
	int server_count;
	int memory_mb;
	pthread_mutex_t server_lock;
} rig = {.memory_mb = 290,
	 .record_lock = PTHREAD_MUTEX_INITIALIZER,
	 .server_lock = PTHREAD_MUTEX_INITIALIZER};

int64_t rig_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void rig_sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	while (nanosleep(&ts, &ts) != 0)
		;
}

bool rig_is_calm(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble != NULL && strcmp(trouble, "0") == 0;
}

void rig_record(const char *format, ...)
{
	va_list ap;

	pthread_mutex_lock(&rig.record_lock);
	fprintf(rig.record, "%7.3f ",
		(double)(rig_now_ms() - rig.started_ms) / 1000);
	va_start(ap, format);
	vfprintf(rig.record, format, ap);
	va_end(ap);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&rig.record_lock);
}

void rig_finish(int status, const char *why)
{
	static const char *const names[] = {"rule held", "rule broken",
					    "not run"};
	char command[128];

	for (int i = 0; i < RIG_GATEWAYS_MAX; i++) {
		if (rig.gateways[i] <= 0)
			continue;
		kill(rig.gateways[i], SIGCONT);
		kill(rig.gateways[i], SIGKILL);
		waitpid(rig.gateways[i], NULL, 0);
	}
	if (rig.record != NULL)
		rig_record("%s: %s", names[status], why);
	printf("%s: %s\n", names[status], why);
	fflush(stdout);
	if (*rig.temp != '\0') {
		snprintf(command, sizeof(command), "rm -rf '%s'", rig.temp);
		if (system(command) != 0)
			perror("rm");
	}
	_exit(status);
}

/* Ends a case that hangs. */
static void *watch(void *arg)
{
	(void)arg;
	rig_sleep_ms(WATCHDOG_S * 1000);
	rig_finish(RIG_NOT_RUN, "took too long");
}

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, arg) != 0)
		rig_finish(RIG_NOT_RUN, "no thread");
	pthread_detach(thread);
}

static int try_listen(const char *host, int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, host, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    listen(fd, 128) == 0)
		return fd;
	close(fd);
	return -1;
}

static void gateway_host(int i, char *host, size_t size)
{
	snprintf(host, size, "127.%d.1.%d", rig.net, i + 1);
}

/* Chooses addresses on which all ports are free. */
static void choose_net(void)
{
	static const int ports[] = {PORT_FRONT, PORT_READY,   PORT_PEERS,
				    PORT_RELAY, PORT_METRICS, PORT_STORE,
				    PORT_SERVER};
	size_t count = sizeof(ports) / sizeof(ports[0]);
	int first = 1 + (int)(getpid() % 200);

	for (int n = 0; n < 200; n++) {
		size_t free_ports = 0;
		char host[32];
		int fd;

		rig.net = 1 + (first + n) % 250;
		snprintf(host, sizeof(host), "127.%d.1.1", rig.net);
		for (size_t i = 0; i < count; i++) {
			fd = try_listen(host, ports[i]);
			if (fd < 0)
				break;
			close(fd);
			free_ports++;
		}
		if (free_ports == count)
			return;
	}
	rig_finish(RIG_NOT_RUN, "no free ports");
}

static void run_job(struct job *job)
{
	switch (job->kind) {
	case JOB_PUT:
		rowstore_put(rig.store, job->table, "", job->key, job->value);
		break;
	case JOB_DELAY:
		rowstore_set_delay(rig.store, job->number);
		break;
	case JOB_REFUSE:
		rowstore_set_mode(rig.store, job->number ? ROWSTORE_UNAVAILABLE
							 : ROWSTORE_OK);
		break;
	case JOB_COUNT:
		job->number = rowstore_count_rows(rig.store, job->table);
		break;
	}
	sem_post(&job->done);
}

static void on_job(evutil_socket_t fd, short what, void *arg)
{
	struct job *job;

	(void)what;
	(void)arg;
	if (read(fd, &job, sizeof(job)) == sizeof(job))
		run_job(job);
}

static int64_t do_job(struct job *job)
{
	sem_init(&job->done, 0, 0);
	if (write(rig.job_pipe[1], &job, sizeof(job)) != sizeof(job))
		rig_finish(RIG_NOT_RUN, "no store");
	while (sem_wait(&job->done) != 0)
		;
	sem_destroy(&job->done);
	return job->number;
}

void rig_store_put(const char *table, const char *key, const char *value)
{
	struct job job = {
		.kind = JOB_PUT, .table = table, .key = key, .value = value};

	do_job(&job);
}

void rig_store_delay(int64_t ms)
{
	struct job job = {.kind = JOB_DELAY, .number = ms};

	do_job(&job);
}

void rig_store_refuse(bool refuse)
{
	struct job job = {.kind = JOB_REFUSE, .number = refuse};

	do_job(&job);
}

unsigned int rig_store_rows(const char *table)
{
	struct job job = {.kind = JOB_COUNT, .table = table};

	return (unsigned int)do_job(&job);
}

static void *run_store(void *arg)
{
	struct event_base *base = event_base_new();
	char address[32];

	snprintf(address, sizeof(address), "127.%d.2.1:%d", rig.net,
		 PORT_STORE);
	rig.store = rowstore_create(base, address);
	if (rig.store == NULL)
		rig_finish(RIG_NOT_RUN, "no store");
	event_add(event_new(base, rig.job_pipe[0], EV_READ | EV_PERSIST, on_job,
			    NULL),
		  NULL);
	sem_post(arg);
	event_base_dispatch(base);
	return NULL;
}

static void put_entry(struct rig_server *server)
{
	char key[RIG_ID_MAX];
	char value[512];

	snprintf(key, sizeof(key), "%s", server->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"za\","
		 "\"version\":\"%s\",\"slots\":32,\"state\":\"ready\","
		 "\"cold_left_ms\":0,\"sequence\":%d,\"born\":%lld}",
		 server->service, server->address, server->version,
		 server->sequence++, (long long)server->born_ms);
	rig_store_put("servers", key, value);
}

static void *run_heartbeats(void *arg)
{
	(void)arg;
	for (;;) {
		rig_sleep_ms(HEARTBEAT_MS);
		pthread_mutex_lock(&rig.server_lock);
		for (int i = 0; i < rig.server_count; i++)
			put_entry(rig.servers[i]);
		pthread_mutex_unlock(&rig.server_lock);
	}
	return NULL;
}

void rig_start(const char *record)
{
	sem_t ready;

	signal(SIGPIPE, SIG_IGN);
	rig.record = fopen(record, "w");
	rig.started_ms = rig_now_ms();
	if (rig.record == NULL)
		rig_finish(RIG_NOT_RUN, "no record.txt");
	snprintf(rig.temp, sizeof(rig.temp), "/tmp/review-3.XXXXXX");
	if (mkdtemp(rig.temp) == NULL || pipe(rig.job_pipe) != 0)
		rig_finish(RIG_NOT_RUN, "no temporary folder");
	fcntl(rig.job_pipe[0], F_SETFD, FD_CLOEXEC);
	fcntl(rig.job_pipe[1], F_SETFD, FD_CLOEXEC);
	choose_net();
	start_thread(watch, NULL);
	sem_init(&ready, 0, 0);
	start_thread(run_store, &ready);
	while (sem_wait(&ready) != 0)
		;
	start_thread(run_heartbeats, NULL);
}

bool rig_field(const char *head, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	*out = '\0';
	while (line != NULL && line[2] != '\0' && line[2] != '\r') {
		const char *end = strstr(line + 2, "\r\n");
		const char *value = line + 2 + len + 1;

		if (strncasecmp(line + 2, name, len) == 0 &&
		    line[2 + len] == ':' && end != NULL) {
			value += strspn(value, " ");
			snprintf(out, size, "%.*s", (int)(end - value), value);
			return true;
		}
		line = end;
	}
	return false;
}

bool rig_write(int fd, const char *text, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

static bool write_text(int fd, const char *text)
{
	return rig_write(fd, text, strlen(text));
}

/* Reads bytes until @p until_ms; returns 0 if there are none. */
static size_t read_some(int fd, char *out, size_t size, int64_t until_ms)
{
	struct pollfd poll_fd = {fd, POLLIN, 0};
	int64_t left_ms = until_ms - rig_now_ms();
	ssize_t n;

	if (left_ms < 0 || poll(&poll_fd, 1, (int)left_ms) <= 0)
		return 0;
	n = recv(fd, out, size, 0);
	return n > 0 ? (size_t)n : 0;
}

/* Reads the header of a message, byte by byte. */
static bool read_head(int fd, char *head, size_t size, int64_t until_ms)
{
	size_t len = 0;

	while (len + 1 < size) {
		if (read_some(fd, head + len, 1, until_ms) == 0)
			return false;
		head[++len] = '\0';
		if (len >= 4 && strcmp(head + len - 4, "\r\n\r\n") == 0)
			return true;
	}
	return false;
}

static bool read_bytes(int fd, char *out, size_t len, int64_t until_ms)
{
	while (len > 0) {
		size_t n = read_some(fd, out, len, until_ms);

		if (n == 0)
			return false;
		out += n;
		len -= n;
	}
	return true;
}

static bool read_request(int fd, struct rig_request *request)
{
	int64_t until_ms = rig_now_ms() + 100000;
	char length[32];

	if (!read_head(fd, request->head, sizeof(request->head), until_ms) ||
	    sscanf(request->head, "%15s %255s", request->method,
		   request->path) != 2)
		return false;
	rig_field(request->head, "Request-Id", request->id,
		  sizeof(request->id));
	rig_field(request->head, "Content-Length", length, sizeof(length));
	request->body_len = (size_t)atol(length);
	if (request->body_len >= sizeof(request->body) ||
	    !read_bytes(fd, request->body, request->body_len, until_ms))
		return false;
	request->body[request->body_len] = '\0';
	return true;
}

struct channel {
	struct rig_server *server;
	int fd;
};

static bool answer_health(const struct rig_server *server, int fd)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
		 "Content-Length: 0\r\n\r\n",
		 server->id);
	return write_text(fd, text);
}

static bool answer_other_server(const struct rig_server *server,
				const struct rig_request *request, int fd)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
		 "Instance-Id: %s\r\nNot-Executed: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 request->id, server->id);
	return write_text(fd, text);
}

static void *run_channel(void *arg)
{
	struct channel *channel = arg;
	struct rig_request *request = calloc(1, sizeof(*request));
	struct rig_server *server = channel->server;
	char target[RIG_ID_MAX];
	bool open = true;

	while (open && read_request(channel->fd, request)) {
		if (rig_field(request->head, "Target-Instance", target,
			      sizeof(target)) &&
		    strcmp(target, server->id) != 0)
			open = answer_other_server(server, request,
						   channel->fd);
		else if (strcmp(request->method, "GET") == 0 &&
			 strcmp(request->path, "/healthz") == 0)
			open = answer_health(server, channel->fd);
		else
			open = server->handler(server, request, channel->fd);
	}
	close(channel->fd);
	free(request);
	free(channel);
	return NULL;
}

static void *run_server(void *arg)
{
	struct rig_server *server = arg;

	for (;;) {
		struct channel *channel = calloc(1, sizeof(*channel));
		int one = 1;

		channel->server = server;
		channel->fd =
			accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
		if (channel->fd < 0)
			rig_finish(RIG_NOT_RUN, "a server can't accept");
		setsockopt(channel->fd, IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
		start_thread(run_channel, channel);
	}
	return NULL;
}

void rig_server_start(struct rig_server *server, const char *id,
		      const char *service, const char *version,
		      rig_handler *handler)
{
	char host[24];

	memset(server, 0, sizeof(*server));
	snprintf(server->id, sizeof(server->id), "%s", id);
	server->service = service;
	server->version = version;
	server->handler = handler;
	server->born_ms = (int64_t)time(NULL) * 1000;
	snprintf(host, sizeof(host), "127.%d.3.%d", rig.net,
		 rig.server_count + 1);
	snprintf(server->address, sizeof(server->address), "%s:%d", host,
		 PORT_SERVER);
	server->listener = try_listen(host, PORT_SERVER);
	if (server->listener < 0)
		rig_finish(RIG_NOT_RUN, "a server can't listen");
	start_thread(run_server, server);
	pthread_mutex_lock(&rig.server_lock);
	rig.servers[rig.server_count++] = server;
	put_entry(server);
	pthread_mutex_unlock(&rig.server_lock);
}

bool rig_stream_begin(int fd, const struct rig_request *request)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Response-Signature: sig-%s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 request->id, request->id);
	return write_text(fd, text);
}

bool rig_stream_event(int fd, int id, const char *data)
{
	char event[600];
	char text[700];

	snprintf(event, sizeof(event), "id: %d\ndata: %s\n\n", id, data);
	snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event), event);
	return write_text(fd, text);
}

bool rig_stream_end(int fd)
{
	return write_text(fd, "0\r\n\r\n");
}

/* Writes the settings as the template renders them for a small deployment. */
static void write_settings(int i, const char *path)
{
	char host[24];
	FILE *file = fopen(path, "w");

	if (file == NULL)
		rig_finish(RIG_NOT_RUN, "no settings");
	gateway_host(i, host, sizeof(host));
	fprintf(file,
		"{\n\"id\": \"front-za-%d\",\n\"zone\": \"za\",\n"
		"\"callers\": \"%s:%d\",\n\"ready\": \"%s:%d\",\n"
		"\"peers\": \"%s:%d\",\n\"relay\": \"%s:%d\",\n"
		"\"tunnel\": \"%s:%d\",\n\"metrics\": \"%s:%d\",\n"
		"\"grace_s\": 8,\n\"revoke_ms\": 5000,\n"
		"\"quota_slack\": 20,\n\"contact_ms\": 3000,\n"
		"\"memory_mb\": %d,\n"
		"\"contracts\": \"base,drain,config,cost,recover,agent,stream,"
		"engine,tenants,quota,places,platform\",\n"
		"\"store\": \"127.%d.2.1:%d\"\n}\n",
		i + 1, host, PORT_FRONT, host, PORT_READY, host, PORT_PEERS,
		host, PORT_RELAY, host, PORT_PEERS, host, PORT_METRICS,
		rig.memory_mb, rig.net, PORT_STORE);
	fclose(file);
}

static int connect_to(const char *host, int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, host, &addr.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool is_ready(const char *host)
{
	static const char ask[] = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n"
				  "Connection: close\r\n\r\n";
	int fd = connect_to(host, PORT_READY);
	char head[1024] = "";

	if (fd < 0)
		return false;
	write_text(fd, ask);
	read_head(fd, head, sizeof(head), rig_now_ms() + 1000);
	close(fd);
	return strncmp(head, "HTTP/1.1 200", 12) == 0;
}

static void run_gateway(const char *settings, const char *log)
{
	int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	/* A case that is killed leaves no gateway behind. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(out, STDOUT_FILENO);
	dup2(out, STDERR_FILENO);
	execl("target/apricotshift", "target/apricotshift", "gateway", "-c",
	      settings, (char *)NULL);
	_exit(127);
}

void rig_gateway_start(int i)
{
	char settings[128];
	char log[128];
	char host[24];
	int64_t until_ms = rig_now_ms() + READY_MS;

	snprintf(settings, sizeof(settings), "%s/settings-%d", rig.temp, i + 1);
	snprintf(log, sizeof(log), "%s/log-%d", rig.temp, i + 1);
	write_settings(i, settings);
	gateway_host(i, host, sizeof(host));
	rig.gateways[i] = fork();
	if (rig.gateways[i] == 0)
		run_gateway(settings, log);
	while (!is_ready(host)) {
		if (rig_now_ms() > until_ms ||
		    waitpid(rig.gateways[i], NULL, WNOHANG) != 0)
			rig_finish(RIG_NOT_RUN, "a gateway does not start");
		rig_sleep_ms(50);
	}
	rig_record("gateway %d is ready", i + 1);
}

void rig_set_memory_mb(int mb)
{
	rig.memory_mb = mb;
}

long rig_gateway_memory_kb(int i)
{
	char path[64];
	char line[128];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)rig.gateways[i]);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		sscanf(line, "VmRSS: %ld", &kb);
	if (file != NULL)
		fclose(file);
	return kb;
}

void rig_gateway_signal(int i, int signal)
{
	rig_record("gateway %d: %s", i + 1, strsignal(signal));
	kill(rig.gateways[i], signal);
}

void rig_gateway_wait(int i)
{
	waitpid(rig.gateways[i], NULL, 0);
	rig.gateways[i] = 0;
	rig_record("gateway %d has ended", i + 1);
}

int rig_open(int gateway)
{
	char host[24];

	gateway_host(gateway, host, sizeof(host));
	return connect_to(host, PORT_FRONT);
}

bool rig_post(int fd, const char *path, const char *id, const char *fields,
	      const char *body)
{
	char head[4096];

	snprintf(head, sizeof(head),
		 "POST %s HTTP/1.1\r\nHost: shop.example\r\n"
		 "Request-Id: %s\r\nAuthorization: Bearer key-one\r\n"
		 "%sContent-Length: %zu\r\n\r\n",
		 path, id, fields, strlen(body));
	return write_text(fd, head) && write_text(fd, body);
}

/* Reads one chunk; returns its length, or -1. */
static long read_chunk(int fd, struct rig_answer *answer, int64_t until_ms)
{
	char line[32] = "";
	size_t at = 0;
	long len;

	while (at < sizeof(line) - 1 && (at == 0 || line[at - 1] != '\n')) {
		if (read_some(fd, line + at, 1, until_ms) == 0)
			return -1;
		at++;
	}
	len = strtol(line, NULL, 16);
	if (answer->body_len + (size_t)len + 3 > sizeof(answer->body) ||
	    !read_bytes(fd, answer->body + answer->body_len, (size_t)len + 2,
			until_ms))
		return -1;
	answer->body_len += (size_t)len;
	answer->body[answer->body_len] = '\0';
	return len;
}

/* Reads the header unless it has been read. */
static bool read_answer_head(int fd, struct rig_answer *answer,
			     int64_t until_ms)
{
	return answer->status != 0 ||
	       (read_head(fd, answer->head, sizeof(answer->head), until_ms) &&
		sscanf(answer->head, "HTTP/1.1 %d", &answer->status) == 1);
}

static bool is_chunked(const struct rig_answer *answer)
{
	char value[32];

	return rig_field(answer->head, "Transfer-Encoding", value,
			 sizeof(value)) &&
	       strcmp(value, "chunked") == 0;
}

bool rig_read_until(int fd, struct rig_answer *answer, const char *text,
		    int64_t ms)
{
	int64_t until_ms = rig_now_ms() + ms;

	memset(answer, 0, sizeof(*answer));
	if (!read_answer_head(fd, answer, until_ms) || !is_chunked(answer))
		return false;
	while (strstr(answer->body, text) == NULL) {
		if (read_chunk(fd, answer, until_ms) <= 0)
			return false;
	}
	return true;
}

void rig_read(int fd, struct rig_answer *answer, int64_t ms)
{
	int64_t until_ms = rig_now_ms() + ms;
	char value[32];
	long len;

	if (!read_answer_head(fd, answer, until_ms))
		return;
	if (is_chunked(answer)) {
		while ((len = read_chunk(fd, answer, until_ms)) > 0)
			;
		answer->whole = len == 0;
		return;
	}
	rig_field(answer->head, "Content-Length", value, sizeof(value));
	answer->body_len = (size_t)atol(value);
	answer->whole =
		answer->body_len < sizeof(answer->body) &&
		read_bytes(fd, answer->body, answer->body_len, until_ms);
}

void rig_reset(int fd)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}
