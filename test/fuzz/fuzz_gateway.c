/**
 * @file fuzz_gateway.c
 * @brief Fuzz target for the gateway's parsers.
 *
 * The first byte of the input selects the parser, the rest is its input: 'h'
 * the header of a request or response, in parts, whose memory must stay in
 * bounds; 'r' a response, which must be the same however it is split. `make
 * fuzz` builds this with -fsanitize=fuzzer. Built with -DREPLAY, it runs the
 * corpus files named on the command line; CI does that.
 */
#include <stdio.h>
#include <string.h>

#include <http_parser.h>
#include <json-c/json.h>

#include "decide/header_limit.h"
#include "platform/wire.h"
#include "proto/rows.pb-c.h"
#include "serve/hdr.h"
#include "serve/input.h"
#include "serve/sse_splitter.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_catalog(const char *text, size_t len)
{
	char *fault = NULL;
	struct catalog *catalog = wire_parse_catalog(text, len, &fault);

	if (catalog != NULL) {
		const struct cat_route *route =
			cat_find_route(catalog, "h.example", "/p/x");

		if (route != NULL)
			cat_choose_service(catalog, route, 7);
		cat_find_key(catalog, "k1");
	}
	cat_unref(catalog);
	g_free(fault);
}

static void fuzz_server(const char *text, size_t len)
{
	struct fleet_entry entry;
	json_object *root = NULL;

	wire_parse_server("i", text, len, &entry, &root);
	json_object_put(root);
}

static void count_bytes(void *arg, const struct splitter_event *event)
{
	size_t *bytes = arg;

	*bytes += event->raw_len;
}

/* No byte of a stream may be lost, however it is split. */
static void fuzz_events(const char *text, size_t len)
{
	struct splitter *splitter = splitter_create();
	size_t bytes = 0;

	for (size_t i = 0; i < len; i += 3)
		splitter_feed(splitter, text + i, MIN(3, len - i), count_bytes,
			      &bytes);
	if (bytes + splitter_pending(splitter) != len)
		__builtin_trap();
	splitter_destroy(splitter);
}

/* The input is the header of a request, a line "name:value" for each field. */
static void fuzz_call(const char *text, size_t len)
{
	struct inbound_request request = {
		.method = "POST", .target = "/p/x", .headers = hdr_create()};
	struct forward forward = {.server = "i", .last_event_id = -1};
	GArray *headers = (GArray *)request.headers;
	char **lines = g_strsplit(text, "\n", 64);
	struct call call;

	(void)len;
	for (char **line = lines; *line != NULL; line++) {
		size_t name_len = strcspn(*line, ":");

		hdr_append_name(headers, *line, name_len);
		hdr_append_value(headers, *line + name_len,
				 strlen(*line + name_len));
	}
	if (wire_parse_request(&request, &call))
		g_string_free(wire_build_request(&request, &forward, 1), TRUE);
	g_strfreev(lines);
	g_array_unref(headers);
}

enum {
	HEADER_MAX_BYTES = 16384,
	/* Bytes of memory for each byte that was parsed, at most. */
	HEADER_RATIO_MAX = 4,
};

struct fuzz_header {
	GArray *headers;
	size_t parsed; /* bytes handed to the parser so far */
	size_t counted;
	bool in_name;
};

/* A header never takes more memory than its bytes allow, and is never counted
 * as more bytes than were parsed. */
static void check_header(const struct fuzz_header *header)
{
	if (hdr_memory(header->headers, 0) >
		    header->parsed * HEADER_RATIO_MAX +
			    HEADER_LIMIT_MEMORY_BASE_BYTES ||
	    header->counted > header->parsed)
		__builtin_trap();
}

static int on_fuzz_name(http_parser *parser, const char *at, size_t len)
{
	struct fuzz_header *header = parser->data;

	if (!header->in_name)
		header->counted += HEADER_LIMIT_LINE_BYTES;
	header->in_name = true;
	header->counted += len;
	hdr_append_name(header->headers, at, len);
	return 0;
}

static int on_fuzz_value(http_parser *parser, const char *at, size_t len)
{
	struct fuzz_header *header = parser->data;

	header->in_name = false;
	header->counted += len;
	hdr_append_value(header->headers, at, len);
	return header->counted > HEADER_MAX_BYTES;
}

/* The first byte is the length of the parts that the rest is parsed in. */
static void fuzz_header(const uint8_t *data, size_t size)
{
	static const http_parser_settings settings = {
		.on_header_field = on_fuzz_name,
		.on_header_value = on_fuzz_value};
	struct fuzz_header header = {.headers = hdr_create()};
	struct inbound_request request = {
		.method = "POST", .target = "/p/x", .headers = header.headers};
	struct forward forward = {.server = "i", .last_event_id = -1};
	size_t step = size > 0 ? data[0] + 1u : 1;
	http_parser parser = {.data = &header};
	GString *head;

	http_parser_init(&parser, HTTP_BOTH);
	for (size_t at = 1; at < size && parser.http_errno == HPE_OK;
	     at += step) {
		size_t len = MIN(step, size - at);

		header.parsed += len;
		http_parser_execute(&parser, &settings, (const char *)data + at,
				    len);
		check_header(&header);
	}
	head = wire_build_request(&request, &forward, 0);
	/* "a:" LF is forwarded as "a: " CR LF. */
	if (head->len > 2 * header.parsed + HEADER_LIMIT_MEMORY_BASE_BYTES)
		__builtin_trap();
	g_string_free(head, TRUE);
	g_array_unref(header.headers);
}

/* What the reader of responses made of its input. */
struct response_seen {
	int status;
	uint64_t body; /* hash */
	bool ended;
};

static void on_response_grow(void *arg, size_t len)
{
	(void)arg;
	(void)len;
}

static bool on_response_head(void *arg, const struct input_head *head)
{
	struct response_seen *seen = arg;

	seen->status = head->status;
	return true;
}

static bool on_response_body(void *arg, const char *data, size_t len)
{
	struct response_seen *seen = arg;

	for (size_t i = 0; i < len; i++)
		seen->body = seen->body * 31 + (unsigned char)data[i] + 1;
	return true;
}

static bool on_response_end(void *arg)
{
	struct response_seen *seen = arg;

	seen->ended = true;
	return false;
}

static void read_response(const char *data, size_t size, size_t step,
			  struct response_seen *seen)
{
	static const struct input_handler handler = {
		on_response_grow, on_response_head, on_response_body,
		on_response_end};
	struct input_reader *reader = input_reader_create(&handler, seen);
	enum input_result result = INPUT_MORE;
	size_t used;

	input_start(reader, false);
	for (size_t at = 0; at < size && result == INPUT_MORE; at += step)
		result = input_read(reader, data + at, MIN(step, size - at),
				    &used);
	if (result == INPUT_MORE)
		(void)input_end(reader);
	input_reader_destroy(reader);
}

static void fuzz_response(const char *data, size_t size)
{
	struct response_seen whole = {0};
	struct response_seen split = {0};

	read_response(data, size, MAX(size, 1), &whole);
	read_response(data, size, 1, &split);
	if (whole.status != split.status || whole.body != split.body ||
	    whole.ended != split.ended)
		__builtin_trap();
}

static void fuzz_datagram(const uint8_t *data, size_t size)
{
	Rows__Datagram *datagram = rows__datagram__unpack(NULL, size, data);
	Rows__Turn *turn = rows__turn__unpack(NULL, size, data);

	if (datagram != NULL)
		rows__datagram__free_unpacked(datagram, NULL);
	if (turn != NULL)
		rows__turn__free_unpacked(turn, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (size < 1)
		return 0;
	if (data[0] == 'h') {
		fuzz_header(data + 1, size - 1);
		return 0;
	}
	if (data[0] == 'r') {
		fuzz_response((const char *)data + 1, size - 1);
		return 0;
	}
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % 5) {
	case 0:
		fuzz_catalog(text, strlen(text));
		break;
	case 1:
		fuzz_server(text, strlen(text));
		break;
	case 2:
		fuzz_events(text, strlen(text));
		break;
	case 3:
		fuzz_call(text, strlen(text));
		break;
	default:
		fuzz_datagram(data + 1, size - 1);
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
