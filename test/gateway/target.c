/** @file target.c @brief Processes that a test starts and measures. */
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "target.h"

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
