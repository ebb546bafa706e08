/**
 * @file test_responses.c
 * @brief The reader of HTTP/1.1 responses, and what it takes for none.
 *
 * Each case is read in two parts, split at every place, and byte by byte.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "serve/hdr.h"
#include "serve/input.h"

/* What came of a response. */
struct seen {
	struct input_reader *reader;
	int status; /* 0: no header came */
	bool framed;
	bool keep_alive;
	bool ended;
	GString *fields; /* "name=value;" each */
	GString *body;
};

static void on_grow(void *arg, size_t len)
{
	(void)arg;
	(void)len;
}

static bool on_head(void *arg, const struct input_head *head)
{
	struct seen *seen = arg;
	struct hdr_field field = {NULL, NULL};

	seen->status = head->status;
	seen->framed = head->framed;
	seen->keep_alive = head->keep_alive;
	while (hdr_next(input_headers(seen->reader), &field))
		g_string_append_printf(seen->fields, "%s=%s;", field.name,
				       field.value);
	return true;
}

static bool on_body(void *arg, const char *data, size_t len)
{
	struct seen *seen = arg;

	g_string_append_len(seen->body, data, (gssize)len);
	return true;
}

static bool on_end(void *arg)
{
	struct seen *seen = arg;

	seen->ended = true;
	return false;
}

static const struct input_handler handler = {on_grow, on_head, on_body, on_end};

static void seen_open(struct seen *seen, bool is_head)
{
	memset(seen, 0, sizeof(*seen));
	seen->reader = input_reader_create(&handler, seen);
	seen->fields = g_string_new(NULL);
	seen->body = g_string_new(NULL);
	input_start(seen->reader, is_head);
}

static void seen_close(struct seen *seen)
{
	input_reader_destroy(seen->reader);
	g_string_free(seen->fields, TRUE);
	g_string_free(seen->body, TRUE);
}

/* Reads @p text in parts that end at @p split, or of one byte each if it is 0,
 * and then the end of the connection. Returns whether it was a response. */
static bool read_text(struct seen *seen, const char *text, size_t split,
		      size_t *used)
{
	size_t len = strlen(text);
	size_t at = 0;

	*used = 0;
	while (at < len) {
		size_t part = split == 0   ? 1
			      : at < split ? split - at
					   : len - at;
		size_t taken;
		enum input_result result =
			input_read(seen->reader, text + at, part, &taken);

		*used += taken;
		if (result == INPUT_INVALID)
			return false;
		if (seen->ended)
			return true;
		assert_int_equal(taken, part);
		at += part;
	}
	return input_end(seen->reader) != INPUT_INVALID && seen->ended;
}

#define OK "HTTP/1.1 200 OK\r\n"

/* What RFC 9112 allows, and how it is understood. */
static void test_valid_responses(void **state)
{
	static const struct {
		const char *text;
		int status;
		bool framed;
		bool keep_alive;
		const char *fields;
		const char *body;
		size_t rest; /* bytes that belong to no response */
	} cases[] = {
		{OK "Content-Length: 2\r\n\r\nok", 200, true, true,
		 "Content-Length=2;", "ok", 0},
		{OK "Content-Length: 2\r\n\r\nokHTTP", 200, true, true,
		 "Content-Length=2;", "ok", 4},
		{OK "content-length:0\r\n\r\n", 200, true, true,
		 "content-length=0;", "", 0},
		{OK "\r\nto the end", 200, false, false, "", "to the end", 0},
		{"HTTP/1.0 200 OK\r\n\r\nold", 200, false, false, "", "old", 0},
		{"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n"
		 "Content-Length: 1\r\n\r\nx",
		 200, true, true, "Connection=Keep-Alive;Content-Length=1;",
		 "x", 0},
		{OK "Connection: a, close\r\nContent-Length: 0\r\n\r\n", 200,
		 true, false, "Connection=a, close;Content-Length=0;", "", 0},
		{OK "Transfer-Encoding: chunked\r\n\r\n"
		    "2\r\nab\r\n00A;x=\"y\"\r\n0123456789\r\n0\r\n\r\n",
		 200, true, true, "Transfer-Encoding=chunked;", "ab0123456789",
		 0},
		{OK "Transfer-Encoding: CHUNKED\r\n\r\n"
		    "1 ;e\r\na\r\n0\r\nTrailer: x\r\n\r\nrest",
		 200, true, true, "Transfer-Encoding=CHUNKED;", "a", 4},
		{"HTTP/1.1 204 No Content\r\n\r\n", 204, true, true, "", "", 0},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304,
		 true, true, "Content-Length=9;", "", 0},
		{"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
		 "HTTP/1.1 103 \r\n\r\n" OK "Content-Length: 1\r\n\r\nx",
		 200, true, true, "Content-Length=1;", "x", 0},
		{"HTTP/1.1 599 \t\x80!\r\nContent-Length: 0\r\n\r\n", 599, true,
		 true, "Content-Length=0;", "", 0},
		{OK "A:\r\nB: \t \r\nC:c\t d\xff \t\r\n!#$%&'*+-.^_`|~9z: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		 200, true, true,
		 "A=;B=;C=c\t d\xff;!#$%&'*+-.^_`|~9z=1;Content-Length=0;", "",
		 0},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len = strlen(cases[i].text);

		for (size_t split = 0; split <= len; split++) {
			struct seen seen;
			size_t used;

			seen_open(&seen, false);
			assert_true(
				read_text(&seen, cases[i].text, split, &used));
			assert_int_equal(seen.status, cases[i].status);
			assert_int_equal(seen.framed, cases[i].framed);
			assert_int_equal(seen.keep_alive, cases[i].keep_alive);
			assert_string_equal(seen.fields->str, cases[i].fields);
			assert_string_equal(seen.body->str, cases[i].body);
			assert_int_equal(used, len - cases[i].rest);
			seen_close(&seen);
		}
	}
}

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/* Guards against a response that is passed on though it is none, or whose body
 * is not certain: each must be invalid wherever it is split, and none of it
 * may pass for a whole one. */
static void test_invalid_responses(void **state)
{
	static const char *const cases[] = {
		/* status line */
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 099 OK\r\n\r\n",
		"HTTP/1.1 600 OK\r\n\r\n",
		"HTTP/1.1 999 OK\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n",
		"HTTP/1.1 0200 OK\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1  200 OK\r\n\r\n",
		"HTTP/1.1\t200 OK\r\n\r\n",
		"HTTP/1.1 200 O\x01K\r\n\r\n",
		"HTTP/1.1 200 O\x7fK\r\n\r\n",
		"HTTP/1.1 200 O\rK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.x 200 OK\r\n\r\n",
		"HTTP/1.11 200 OK\r\n\r\n",
		"http/1.1 200 OK\r\n\r\n",
		" HTTP/1.1 200 OK\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
		"ICY 200 OK\r\n\r\n",
		"bytes that are not an answer",
		"",
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" OK "\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" OK "\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		/* names */
		OK "A B: c\r\n\r\n",
		OK "A : c\r\n\r\n",
		OK " A: c\r\n\r\n",
		OK "A\t: c\r\n\r\n",
		OK "A\x01: c\r\n\r\n",
		OK "A\x7f: c\r\n\r\n",
		OK "A\x80: c\r\n\r\n",
		OK "A(b): c\r\n\r\n",
		OK "A\"b: c\r\n\r\n",
		OK "A/b: c\r\n\r\n",
		OK "A@b: c\r\n\r\n",
		OK ": c\r\n\r\n",
		OK "A\r\n\r\n",
		OK "A",
		/* values and lines */
		OK "A: b\x01\r\n\r\n",
		OK "A: b\x7f\r\n\r\n",
		OK "A: b\rc\r\n\r\n",
		OK "A: b\nC: d\r\n\r\n",
		OK "A: b\r\n c\r\n\r\n",
		OK "A: b\r\n\tc\r\n\r\n",
		OK "A: b\r\n\n",
		OK "A: b\r\n\rx",
		/* framing */
		OK "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		OK "Content-Length: 1\r\ncontent-length: 2\r\n\r\nxy",
		OK "Content-Length: 1, 1\r\n\r\nx",
		OK "Content-Length: +1\r\n\r\nx",
		OK "Content-Length: -1\r\n\r\nx",
		OK "Content-Length: 1x\r\n\r\nx",
		OK "Content-Length: 0x1\r\n\r\nx",
		OK "Content-Length: 1 1\r\n\r\nx",
		OK "Content-Length:\r\n\r\nx",
		OK "Content-Length: 18446744073709551617\r\n\r\nx",
		OK "Content-Length: 2\r\n\r\nx",
		OK "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		   "1\r\nx\r\n0\r\n\r\n",
		OK "Transfer-Encoding: gzip\r\n\r\nx",
		OK "Transfer-Encoding: identity\r\n\r\nx",
		OK "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		OK "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		OK "Transfer-Encoding: chunked\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		OK "Transfer-Encoding:\r\n\r\nx",
		OK "Transfer-Encoding: \x0b"
		   "chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		/* chunks */
		CHUNKED "1\r\nxYZ0\r\n\r\n",
		CHUNKED "1\r\nx\n0\r\n\r\n",
		CHUNKED "1\r\nx\r0\r\n\r\n",
		CHUNKED "1\nx\r\n0\r\n\r\n",
		CHUNKED "1\rxx\r\n0\r\n\r\n",
		CHUNKED " 1\r\nx\r\n0\r\n\r\n",
		CHUNKED "1 \r\nx\r\n0\r\n\r\n",
		CHUNKED "1 2\r\nx\r\n0\r\n\r\n",
		CHUNKED "0x1\r\nx\r\n0\r\n\r\n",
		CHUNKED "-1\r\nx\r\n0\r\n\r\n",
		CHUNKED "+1\r\nx\r\n0\r\n\r\n",
		CHUNKED "g\r\nx\r\n0\r\n\r\n",
		CHUNKED "\r\n0\r\n\r\n",
		CHUNKED ";a\r\n0\r\n\r\n",
		CHUNKED "10000000000000001\r\nx\r\n0\r\n\r\n",
		CHUNKED "1;a\x01\r\nx\r\n0\r\n\r\n",
		CHUNKED "1;a\nx\r\n0\r\n\r\n",
		CHUNKED "1\r\nx\r\n",
		CHUNKED "1\r\nx\r\n0\r\n",
		CHUNKED "1\r\nx\r\n0\r\n\n",
		/* trailers */
		CHUNKED "0\r\nA B: c\r\n\r\n",
		CHUNKED "0\r\nA\x01: c\r\n\r\n",
		CHUNKED "0\r\nA: b\x01\r\n\r\n",
		CHUNKED "0\r\nA: b\r\n c\r\n\r\n",
		CHUNKED "0\r\nA: b\nC: d\r\n\r\n",
		CHUNKED "0\r\nA: b\r\n",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t split = 0; split <= strlen(cases[i]); split++) {
			struct seen seen;
			size_t used;

			seen_open(&seen, false);
			if (read_text(&seen, cases[i], split, &used))
				fail_msg("taken for a response: %s", cases[i]);
			assert_false(seen.ended);
			seen_close(&seen);
		}
	}
}

/* A NUL ends C strings, so it has a test of its own. */
static void test_nul_is_invalid(void **state)
{
	static const char texts[][40] = {
		"HTTP/1.1 200 O\0K\r\n\r\n",
		OK "A\0: b\r\n\r\n",
		OK "A: b\0\r\n\r\n",
	};
	static const size_t places[] = {14, 18, 21};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct seen seen;
		size_t used;

		seen_open(&seen, false);
		assert_int_equal(input_read(seen.reader, texts[i],
					    sizeof(texts[i]), &used),
				 INPUT_INVALID);
		assert_int_equal(used, places[i]);
		seen_close(&seen);
	}
}

/* Guards against a response to HEAD whose body is awaited. */
static void test_response_to_head(void **state)
{
	static const char *const cases[] = {
		OK "Content-Length: 9\r\n\r\n",
		OK "Transfer-Encoding: chunked\r\n\r\n",
		OK "\r\n",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct seen seen;
		size_t used;

		seen_open(&seen, true);
		assert_int_equal(input_read(seen.reader, cases[i],
					    strlen(cases[i]), &used),
				 INPUT_STOPPED);
		assert_true(seen.ended);
		assert_true(seen.framed && seen.keep_alive);
		seen_close(&seen);
	}
}

/* Reads @p text again and again; returns whether that became invalid. */
static bool is_bounded(const char *start, const char *text)
{
	enum { REPEATS = 100000 };
	struct seen seen;
	size_t used;
	bool invalid = false;

	seen_open(&seen, false);
	assert_int_equal(input_read(seen.reader, start, strlen(start), &used),
			 INPUT_MORE);
	for (int i = 0; i < REPEATS && !invalid; i++)
		invalid = input_read(seen.reader, text, strlen(text), &used) ==
			  INPUT_INVALID;
	seen_close(&seen);
	return invalid;
}

/* Guards against memory, or time, that a response without an end takes. */
static void test_endless_parts(void **state)
{
	(void)state;
	assert_true(is_bounded("HTTP/1.1 200 ", "reason"));
	assert_true(is_bounded(OK, "A: b\r\n"));
	assert_true(is_bounded(OK, "a"));
	assert_true(is_bounded(OK "A: ", "b"));
	assert_true(is_bounded(OK "A:", " "));
	assert_true(is_bounded("HTTP/1.1 100 ", "\r\n\r\nHTTP/1.1 100 "));
	assert_true(is_bounded(CHUNKED "1;", "x"));
	assert_true(is_bounded(CHUNKED "1", " "));
	assert_true(is_bounded(CHUNKED, "0"));
	assert_true(is_bounded(CHUNKED "0\r\n", "A: b\r\n"));
	assert_false(is_bounded(CHUNKED, "1;a=b\r\nx\r\n"));
	assert_false(is_bounded(OK "\r\n", "body"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_responses),
		cmocka_unit_test(test_invalid_responses),
		cmocka_unit_test(test_nul_is_invalid),
		cmocka_unit_test(test_response_to_head),
		cmocka_unit_test(test_endless_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
