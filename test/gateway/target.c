/** @file target.c @brief Processes that a test starts and measures. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "target.h"
#include "test/standins/rowstore.h"

enum {
	HEADER_MAX_BYTES = 1 << 20,
	TIMEOUT_MS = 60000,
};

static void on_disconnect(void *arg, struct inbound_request *request)
{
	(void)arg;
	(void)request;
}

static void run_platform(const struct target_platform *platform)
{
	static const char row[] =
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":400,\"state\":\"ready\","
		"\"cold_left_ms\":0,\"born\":1}";
	const struct inbound_handler handler = {.on_request =
							platform->on_request,
						.on_disconnect = on_disconnect};
	const struct inbound_limits limits = {HEADER_MAX_BYTES,
					      platform->max_body_bytes,
					      TIMEOUT_MS, TIMEOUT_MS, 0};
	struct event_base *base = event_base_new();
	char *store_address =
		g_strdup_printf("127.0.0.1:%d", platform->port + TARGET_STORE);
	char *address =
		g_strdup_printf("127.0.0.1:%d", platform->port + TARGET_SERVER);
	struct rowstore *store = rowstore_create(base, store_address);
	struct inbound *server = inbound_create(base, address, &handler, NULL);

	if (store == NULL || server == NULL) {
		fprintf(stderr, "platform: can't listen: %s\n",
			strerror(errno));
		_exit(2);
	}
	inbound_set_limits(server, &limits);
	rowstore_put(store, "servers", "", "s1",
		     g_strdup_printf(row, platform->service, address));
	rowstore_put(store, "op", "", "config", platform->config);
	event_base_dispatch(base);
	_exit(0);
}

pid_t target_start_platform(const struct target_platform *platform)
{
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	run_platform(platform);
	_exit(2);
}

char *target_settings(const struct target_platform *platform, int memory_mb)
{
	int port = platform->port;

	return g_strdup_printf(
		"{\"id\":\"g\",\"zone\":\"z\",\"callers\":\"127.0.0.1:%d\","
		"\"ready\":\"127.0.0.1:%d\",\"peers\":\"127.0.0.1:%d\","
		"\"relay\":\"127.0.0.1:%d\",\"metrics\":\"127.0.0.1:%d\","
		"\"store\":\"127.0.0.1:%d\",\"memory_mb\":%d}",
		port + TARGET_CALLERS, port + TARGET_READY, port + TARGET_PEERS,
		port + TARGET_RELAY, port + TARGET_METRICS, port + TARGET_STORE,
		memory_mb);
}

pid_t target_start(const char *binary, const char *command, const char *path,
		   const char *log, bool quiet)
{
	pid_t pid = fork();
	int null;
	int out;

	if (pid != 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	null = open("/dev/null", O_WRONLY);
	out = log ? open(log, O_WRONLY | O_CREAT | O_TRUNC, 0644) : null;
	dup2(out, STDOUT_FILENO);
	if (quiet)
		dup2(null, STDERR_FILENO);
	execl(binary, binary, command, "-c", path, (char *)NULL);
	_exit(127);
}

void target_stop(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

uint64_t target_status_kb(pid_t pid, const char *name)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *at;
	uint64_t kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (at = strstr(text, name)) != NULL)
		kb = strtoull(at + strlen(name), NULL, 10);
	g_free(path);
	g_free(text);
	return kb;
}
