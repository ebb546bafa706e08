/** @file test_trace.c @brief Structured log, and the trace of one request. */
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "apricotshift/trace.h"
#include "serve/slog.h"

enum {
	LINE_COUNT = 100000,
	LINES_MAX_PER_S = 200, /* of one event, as in slog.c */
};

/* Redirects standard output to a file while a test logs. */
static int saved_stdout = -1;
static char log_path[] = "build/log-XXXXXX";

static void begin_log(void)
{
	int fd;

	strcpy(log_path, "build/log-XXXXXX");
	fflush(stdout);
	saved_stdout = dup(STDOUT_FILENO);
	fd = mkstemp(log_path);
	assert_true(fd >= 0);
	dup2(fd, STDOUT_FILENO);
	close(fd);
	slog_open("i\"1");
}

static FILE *end_log(void)
{
	FILE *log;

	slog_flush();
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	log = fopen(log_path, "r");
	assert_non_null(log);
	unlink(log_path);
	return log;
}

static void test_lines_are_json(void **state)
{
	char *line = NULL;
	size_t size = 0;
	unsigned int lines = 0;
	FILE *log;

	(void)state;
	begin_log();
	slog("start", NULL, "\"n\":%d", 1);
	slog("sent", "r\"\\\n1", "\"server\":%s,\"n\":%d",
	     slog_quote("\x01\xff"), 7);
	log = end_log();
	while (getline(&line, &size, log) > 0) {
		json_object *object = json_tokener_parse(line);

		assert_non_null(object);
		json_object_put(object);
		lines++;
	}
	assert_int_equal(lines, 2);
	free(line);
	fclose(log);
}

/* Guards against a fault that floods the log. */
static void test_log_rate_limit(void **state)
{
	struct stat st;
	FILE *log;

	(void)state;
	begin_log();
	for (int i = 0; i < LINE_COUNT; i++)
		slog("sent", "r", "\"n\":%d", i);
	log = end_log();
	assert_int_equal(fstat(fileno(log), &st), 0);
	/* The loop takes less than two seconds, so it spans at most three of
	 * the seconds in which lines are counted. */
	assert_true(st.st_size < 3 * LINES_MAX_PER_S * 120);
	assert_true(slog_dropped() > LINE_COUNT / 2);
	fclose(log);
}

/* A blocked reader of standard output costs log lines, but never blocks. */
static void test_blocked_reader(void **state)
{
	int pipe_fds[2];
	int saved_fd;

	(void)state;
	fflush(stdout);
	saved_fd = dup(STDOUT_FILENO);
	assert_int_equal(pipe(pipe_fds), 0);
	dup2(pipe_fds[1], STDOUT_FILENO);
	slog_open("i");
	for (int i = 0; i < 2000; i++) {
		char event[8];

		snprintf(event, sizeof(event), "k%d", i % 50);
		slog(g_intern_string(event), "r", "\"n\":%d", i);
		slog_flush();
	}
	dup2(saved_fd, STDOUT_FILENO);
	close(saved_fd);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	assert_true(slog_dropped() > 0);
}

static void test_trace_in_order(void **state)
{
	static const char log_text[] =
		"host-1 {\"t\":2000,\"instance\":\"b\",\"event\":\"refused\","
		"\"request\":\"r1\",\"cause\":\"over quota\"}\n"
		"not a line of ours\n"
		"{\"t\":1000,\"instance\":\"a\",\"event\":\"sent\","
		"\"request\":\"r1\",\"server\":\"s\"}\n"
		"{\"t\":1500,\"instance\":\"a\",\"event\":\"sent\","
		"\"request\":\"r10\"}\n"
		"{\"t\":1600,\"request\":\"r1\n";
	FILE *log = fmemopen((void *)log_text, strlen(log_text), "r");
	char *out = NULL;
	size_t len = 0;
	FILE *output = open_memstream(&out, &len);

	(void)state;
	assert_int_equal(trace_print(log, "r1", output), 2);
	fclose(output);
	fclose(log);
	assert_string_equal(out,
			    "    +0 ms  sent         a server=s\n"
			    " +1000 ms  refused      b cause=over quota\n");
	free(out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lines_are_json),
		cmocka_unit_test(test_log_rate_limit),
		cmocka_unit_test(test_blocked_reader),
		cmocka_unit_test(test_trace_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
