/**
 * @file fuzz.c
 * @brief Fuzz target for the parsers of the multi-instance server.
 *
 * The first byte of the input selects the parser, the rest is its input. `make
 * fuzz` builds this with -fsanitize=fuzzer. Built with -DREPLAY, it runs the
 * corpus files named on the command line; CI does that.
 */
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "decide/rules.h"
#include "proto/apricot.pb-c.h"
#include "serve/http_parse.h"
#include "serve/peer.h"
#include "serve/settings.h"
#include "serve/sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_rules(const char *text)
{
	GString *errors = g_string_new(NULL);

	rules_destroy(rules_parse(text, 1, "f", errors));
	g_string_free(errors, TRUE);
}

static void fuzz_settings(const char *text)
{
	GString *errors = g_string_new(NULL);

	settings_destroy(settings_parse(text, "f", errors));
	g_string_free(errors, TRUE);
}

static struct rules *get_rules(void)
{
	static struct rules *rules;
	GString *errors;

	if (rules != NULL)
		return rules;
	errors = g_string_new(NULL);
	rules = rules_parse("account open rate 1 burst 1 # a: b\n"
			    "model m pool p # a: b\n"
			    "service s pool p open yes # a: b\n"
			    "server k pool p zone z addr h:1 # a: b\n",
			    1, "r", errors);
	g_string_free(errors, TRUE);
	return rules;
}

/* The input is a line each for the program, turn and budget header, then the
 * body. */
static void fuzz_call(char *text)
{
	struct http_parse_input input = {.service = "s"};
	char *save = NULL;
	const char *reason;
	uint32_t status;

	input.program = strtok_r(text, "\n", &save);
	input.turn = strtok_r(NULL, "\n", &save);
	input.budget = strtok_r(NULL, "\n", &save);
	input.body = strtok_r(NULL, "", &save);
	if (input.body == NULL)
		return;
	input.body_len = strlen(input.body);
	http_parse_free(
		http_parse_request(&input, get_rules(), "u", &status, &reason));
	input.service = NULL;
	http_parse_free(
		http_parse_request(&input, get_rules(), "u", &status, &reason));
}

static void unpack_peer_message(void *arg, const uint8_t *buf, size_t len)
{
	Aps__Peer *peer = aps__peer__unpack(NULL, len, buf);

	(void)arg;
	if (peer != NULL)
		aps__peer__free_unpacked(peer, NULL);
}

static void fuzz_frames(const uint8_t *data, size_t size)
{
	GByteArray *frames = g_byte_array_new();

	g_byte_array_append(frames, data, (guint)size);
	(void)peer_parse_frames(frames, unpack_peer_message, NULL);
	g_byte_array_unref(frames);
}

static void ignore_text(void *arg, const char *text, size_t len)
{
	(void)arg;
	(void)text;
	(void)len;
}

static void fuzz_stream(const char *data, size_t size)
{
	struct sse sse;

	sse_init(&sse);
	sse_feed(&sse, data, size, ignore_text, NULL);
	sse_clear(&sse);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (size < 1 || sodium_init() < 0)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % 5) {
	case 0:
		fuzz_rules(text);
		break;
	case 1:
		fuzz_settings(text);
		break;
	case 2:
		fuzz_call(text);
		break;
	case 3:
		fuzz_frames(data + 1, size - 1);
		break;
	default:
		fuzz_stream(text, strlen(text));
	}
	g_free(text);
	return 0;
}

#ifdef REPLAY
int main(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		char *data = NULL;
		gsize size = 0;

		if (!g_file_get_contents(argv[i], &data, &size, NULL))
			return 1;
		LLVMFuzzerTestOneInput((const uint8_t *)data, size);
		g_free(data);
	}
	printf("fuzz: %d passed, 0 failed\n", argc - 1);
	return 0;
}
#endif
