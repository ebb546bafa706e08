/** @file test_trace.c @brief Log lines, and the story that they tell. */
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
	MANY = 100000,
	LINES_PER_S = 200, /* of one kind, in slog.c */
};

/* Standard output goes into a file while a test writes its log. */
static int saved = -1;
static char path[] = "build/log-XXXXXX";

static void begin_log(void)
{
	int fd;

	strcpy(path, "build/log-XXXXXX");
	fflush(stdout);
	saved = dup(STDOUT_FILENO);
	fd = mkstemp(path);
	assert_true(fd >= 0);
	dup2(fd, STDOUT_FILENO);
	close(fd);
	slog_open("i\"1");
}

static FILE *end_log(void)
{
	FILE *log;

	slog_flush();
	dup2(saved, STDOUT_FILENO);
	close(saved);
	log = fopen(path, "r");
	assert_non_null(log);
	unlink(path);
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

static void test_volume_is_bounded(void **state)
{
	struct stat st;
	FILE *log;

	(void)state;
	begin_log();
	for (int i = 0; i < MANY; i++)
		slog("sent", "r", "\"n\":%d", i);
	log = end_log();
	assert_int_equal(fstat(fileno(log), &st), 0);
	/* The loop takes well under two seconds. */
	assert_true(st.st_size < 3 * LINES_PER_S * 120);
	assert_true(slog_dropped() > MANY / 2);
	fclose(log);
}

/* A reader that does not read costs lines, not time. */
static void test_blocked_reader(void **state)
{
	int pipes[2];
	int keep;

	(void)state;
	fflush(stdout);
	keep = dup(STDOUT_FILENO);
	assert_int_equal(pipe(pipes), 0);
	dup2(pipes[1], STDOUT_FILENO);
	slog_open("i");
	for (int k = 0; k < 2000; k++) {
		char kind[8];

		snprintf(kind, sizeof(kind), "k%d", k % 50);
		slog(g_intern_string(kind), "r", "\"n\":%d", k);
		slog_flush();
	}
	dup2(keep, STDOUT_FILENO);
	close(keep);
	close(pipes[0]);
	close(pipes[1]);
	assert_true(slog_dropped() > 0);
}

static void test_story_in_order(void **state)
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
	FILE *to = open_memstream(&out, &len);

	(void)state;
	assert_int_equal(trace_print(log, "r1", to), 2);
	fclose(to);
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
		cmocka_unit_test(test_volume_is_bounded),
		cmocka_unit_test(test_blocked_reader),
		cmocka_unit_test(test_story_in_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
