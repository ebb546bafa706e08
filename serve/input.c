/** @file input.c @brief Bytes that have been received, and their responses. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "hdr.h"
#include "input.h"

enum {
	HEAD_MAX_BYTES = 81920,	     /* of status line, fields and trailers */
	CHUNK_LINE_MAX_BYTES = 4096, /* a chunk's length and extensions */
	LENGTH_DIGITS_MAX = 18,	     /* of a body, decimal */
	CHUNK_DIGITS_MAX = 15,	     /* hexadecimal */
	STATUS_DIGITS = 3,
};

/* Where the reader is. */
enum state {
	STATE_VERSION, /* in "HTTP/1.1 " */
	STATE_STATUS,
	STATE_REASON,
	STATE_REASON_LF,
	STATE_LINE, /* at the start of a field, or at the end of the header */
	STATE_NAME,
	STATE_BLANK, /* before a value */
	STATE_VALUE,
	STATE_VALUE_LF,
	STATE_HEAD_LF, /* the end of the header, or of the trailers */
	STATE_BODY,    /* of known length, or a chunk */
	STATE_BODY_TO_END,
	STATE_CHUNK_LEN,
	STATE_CHUNK_BLANK, /* after the length, before an extension */
	STATE_CHUNK_EXTENSION,
	STATE_CHUNK_LEN_LF,
	STATE_CHUNK_CR, /* behind a chunk */
	STATE_CHUNK_LF,
	STATE_ENDED,
};

struct input_reader {
	const struct input_handler *handler;
	void *arg;
	enum state state;
	bool is_head; /* the response is to HEAD */
	GArray *headers;
	size_t head_bytes; /* also of interim responses before */
	guint at;	   /* digits, or bytes of a line, that have been read */
	char minor;	   /* of the version */
	int status;
	bool chunked;
	bool in_trailers;
	uint64_t left; /* bytes of the body, or of the chunk */
	bool stopped;  /* by a callback */
};

static bool has_buffered_input(struct bufferevent *bev)
{
	return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

/* Returns what recv() would, without taking anything from the socket. */
static ssize_t peek_socket(struct bufferevent *bev)
{
	char byte;

	return recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool input_is_pending(struct bufferevent *bev)
{
	return has_buffered_input(bev) || peek_socket(bev) > 0;
}

bool input_is_quiet(struct bufferevent *bev)
{
	return !has_buffered_input(bev) && peek_socket(bev) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct input_reader *input_reader_create(const struct input_handler *handler,
					 void *arg)
{
	struct input_reader *reader = g_new0(struct input_reader, 1);

	reader->handler = handler;
	reader->arg = arg;
	reader->headers = hdr_create();
	return reader;
}

void input_reader_destroy(struct input_reader *reader)
{
	g_array_unref(reader->headers);
	g_free(reader);
}

GArray *input_headers(struct input_reader *reader)
{
	return reader->headers;
}

void input_drop_headers(struct input_reader *reader)
{
	g_array_unref(reader->headers);
	reader->headers = hdr_create();
}

/* Begins the next response. */
static void begin_message(struct input_reader *reader)
{
	input_drop_headers(reader);
	reader->state = STATE_VERSION;
	reader->at = 0;
	reader->status = 0;
	reader->chunked = false;
	reader->in_trailers = false;
	reader->left = 0;
}

void input_start(struct input_reader *reader, bool is_head)
{
	begin_message(reader);
	reader->is_head = is_head;
	reader->head_bytes = 0;
}

/* Whether a byte may stand in the name of a field (RFC 9110, "tchar"). */
static bool is_token(char byte)
{
	return g_ascii_isalnum(byte) ||
	       (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Whether a byte may stand in a value, in a reason or in an extension. */
static bool is_text(char byte)
{
	unsigned char value = (unsigned char)byte;

	return byte == '\t' || (value >= ' ' && value != 0x7f);
}

static size_t count_text(const char *data, size_t len)
{
	size_t count = 0;

	while (count < len && is_text(data[count]))
		count++;
	return count;
}

static size_t count_token(const char *data, size_t len)
{
	size_t count = 0;

	while (count < len && is_token(data[count]))
		count++;
	return count;
}

/* Whether the Connection fields list an option. */
static bool has_option(const GArray *headers, const char *option)
{
	struct hdr_field field = {NULL, NULL};
	size_t len = strlen(option);

	while (hdr_next(headers, &field)) {
		const char *at = field.value;

		if (g_ascii_strcasecmp(field.name, "Connection") != 0)
			continue;
		while (*(at += strspn(at, ", \t")) != '\0') {
			size_t part = strcspn(at, ", \t");

			if (part == len &&
			    g_ascii_strncasecmp(at, option, len) == 0)
				return true;
			at += part;
		}
	}
	return false;
}

/* Parses the length of the body, if it is given; returns false if it can't be
 * read. */
static bool parse_length(struct input_reader *reader, bool *given)
{
	const char *value = hdr_get(reader->headers, "Content-Length");
	size_t digits;

	*given = value != NULL;
	if (value == NULL)
		return true;
	digits = strspn(value, "0123456789");
	if (hdr_count(reader->headers, "Content-Length") != 1 || digits == 0 ||
	    digits > LENGTH_DIGITS_MAX || value[digits] != '\0')
		return false;
	reader->left = g_ascii_strtoull(value, NULL, 10);
	return true;
}

/* Finds how the body is framed (RFC 9112, section 6.3); returns false if that
 * is not certain. No coding but chunks was asked for. */
static bool parse_framing(struct input_reader *reader, struct input_head *head)
{
	const char *coding = hdr_get(reader->headers, "Transfer-Encoding");
	bool has_body = !reader->is_head && reader->status != 204 &&
			reader->status != 304;
	bool has_length;

	if (!parse_length(reader, &has_length))
		return false;
	if (coding != NULL &&
	    (hdr_count(reader->headers, "Transfer-Encoding") != 1 ||
	     g_ascii_strcasecmp(coding, "chunked") != 0 || has_length ||
	     reader->minor == '0' || reader->status == 204))
		return false;
	reader->chunked = coding != NULL;
	head->framed = !has_body || reader->chunked || has_length;
	if (!has_body) {
		reader->chunked = false;
		reader->left = 0;
	}
	reader->state = reader->chunked	   ? STATE_CHUNK_LEN
			: !head->framed	   ? STATE_BODY_TO_END
			: reader->left > 0 ? STATE_BODY
					   : STATE_ENDED;
	reader->at = 0;
	return true;
}

/* An interim response has neither body nor meaning here; a switch of protocols
 * was never asked for. */
static bool skip_interim(struct input_reader *reader)
{
	if (reader->status == 101 ||
	    hdr_get(reader->headers, "Transfer-Encoding") != NULL ||
	    hdr_get(reader->headers, "Content-Length") != NULL)
		return false;
	begin_message(reader);
	return true;
}

/* The header has been read; returns false if it is invalid. */
static bool end_head(struct input_reader *reader)
{
	struct input_head head = {.status = reader->status};

	if (reader->status < 200)
		return skip_interim(reader);
	if (!parse_framing(reader, &head))
		return false;
	head.keep_alive = head.framed &&
			  !has_option(reader->headers, "close") &&
			  (reader->minor != '0' ||
			   has_option(reader->headers, "keep-alive"));
	reader->stopped = !reader->handler->head(reader->arg, &head);
	return true;
}

/* The functions below take bytes in one state. They return how many they took,
 * or -1 if the bytes are invalid. */

static gssize take_version(struct input_reader *reader, char byte)
{
	static const char version[] = "HTTP/1.# ";

	if (version[reader->at] == '#') {
		if (!g_ascii_isdigit(byte))
			return -1;
		reader->minor = byte;
	} else if (byte != version[reader->at]) {
		return -1;
	}
	if (version[++reader->at] == '\0') {
		reader->at = 0;
		reader->state = STATE_STATUS;
	}
	return 1;
}

static gssize take_status(struct input_reader *reader, char byte)
{
	if (reader->at < STATUS_DIGITS) {
		if (!g_ascii_isdigit(byte))
			return -1;
		reader->status = reader->status * 10 + (byte - '0');
		reader->at++;
		return 1;
	}
	if (byte != ' ' || reader->status < 100 || reader->status > 599)
		return -1;
	reader->state = STATE_REASON;
	return 1;
}

/* Takes text up to the end of a line. */
static gssize take_line(struct input_reader *reader, const char *data,
			size_t len, enum state next)
{
	size_t count = count_text(data, len);

	if (count > 0)
		return (gssize)count;
	if (*data != '\r')
		return -1;
	reader->state = next;
	return 1;
}

static gssize take_lf(struct input_reader *reader, char byte, enum state next)
{
	if (byte != '\n')
		return -1;
	reader->state = next;
	return 1;
}

/* A field, or the end of the header. A line that begins with a blank, which
 * would continue the one before, is obsolete and invalid here. */
static gssize take_line_start(struct input_reader *reader, char byte)
{
	if (byte == '\r') {
		reader->state = STATE_HEAD_LF;
		return 1;
	}
	if (!is_token(byte))
		return -1;
	reader->state = STATE_NAME;
	return 0;
}

static gssize take_name(struct input_reader *reader, const char *data,
			size_t len)
{
	size_t count = count_token(data, len);

	if (count > 0) {
		if (!reader->in_trailers) {
			reader->handler->grow(reader->arg, count);
			hdr_append_name(reader->headers, data, count);
		}
		return (gssize)count;
	}
	if (*data != ':')
		return -1;
	if (!reader->in_trailers)
		hdr_append_value(reader->headers, "", 0);
	reader->state = STATE_BLANK;
	return 1;
}

static gssize take_blank(struct input_reader *reader, char byte)
{
	if (byte == ' ' || byte == '\t')
		return 1;
	reader->state = STATE_VALUE;
	return 0;
}

static gssize take_value(struct input_reader *reader, const char *data,
			 size_t len)
{
	size_t count = count_text(data, len);

	if (count > 0) {
		if (!reader->in_trailers) {
			reader->handler->grow(reader->arg, count);
			hdr_append_value(reader->headers, data, count);
		}
		return (gssize)count;
	}
	if (*data != '\r')
		return -1;
	if (!reader->in_trailers)
		hdr_trim_value(reader->headers);
	reader->state = STATE_VALUE_LF;
	return 1;
}

static gssize take_head_end(struct input_reader *reader, char byte)
{
	if (byte != '\n')
		return -1;
	if (reader->in_trailers)
		reader->state = STATE_ENDED;
	else if (!end_head(reader))
		return -1;
	return 1;
}

static gssize take_body(struct input_reader *reader, const char *data,
			size_t len)
{
	if (reader->state == STATE_BODY) {
		len = (size_t)MIN(len, reader->left);
		reader->left -= len;
		if (reader->left == 0)
			reader->state =
				reader->chunked ? STATE_CHUNK_CR : STATE_ENDED;
	}
	reader->stopped = !reader->handler->body(reader->arg, data, len);
	return (gssize)len;
}

static gssize take_chunk_length(struct input_reader *reader, char byte)
{
	int digit = g_ascii_xdigit_value(byte);

	if (digit >= 0) {
		reader->left = reader->left * 16 + (uint64_t)digit;
		return ++reader->at <= CHUNK_DIGITS_MAX ? 1 : -1;
	}
	if (reader->at == 0)
		return -1;
	reader->state = STATE_CHUNK_BLANK;
	return 0;
}

/* Blanks may stand before an extension only. */
static gssize take_chunk_blank(struct input_reader *reader, char byte)
{
	bool blank_before = reader->at > CHUNK_DIGITS_MAX;

	if (byte == ' ' || byte == '\t') {
		reader->at = MAX(reader->at, CHUNK_DIGITS_MAX) + 1;
		return reader->at <= CHUNK_LINE_MAX_BYTES ? 1 : -1;
	}
	if (byte == ';')
		reader->state = STATE_CHUNK_EXTENSION;
	else if (byte == '\r' && !blank_before)
		reader->state = STATE_CHUNK_LEN_LF;
	else
		return -1;
	return 1;
}

static gssize take_extension(struct input_reader *reader, const char *data,
			     size_t len)
{
	gssize taken = take_line(reader, data, len, STATE_CHUNK_LEN_LF);

	reader->at += (guint)MAX(taken, 0);
	return reader->at <= CHUNK_LINE_MAX_BYTES ? taken : -1;
}

static gssize take_chunk_start(struct input_reader *reader, char byte)
{
	if (byte != '\n')
		return -1;
	reader->in_trailers = reader->left == 0;
	reader->state = reader->in_trailers ? STATE_LINE : STATE_BODY;
	return 1;
}

static gssize take_chunk_end(struct input_reader *reader, char byte)
{
	if (reader->state == STATE_CHUNK_CR) {
		reader->state = STATE_CHUNK_LF;
		return byte == '\r' ? 1 : -1;
	}
	reader->at = 0;
	reader->left = 0;
	return take_lf(reader, byte, STATE_CHUNK_LEN);
}

static gssize take(struct input_reader *reader, const char *data, size_t len)
{
	switch (reader->state) {
	case STATE_VERSION:
		return take_version(reader, *data);
	case STATE_STATUS:
		return take_status(reader, *data);
	case STATE_REASON:
		return take_line(reader, data, len, STATE_REASON_LF);
	case STATE_REASON_LF:
	case STATE_VALUE_LF:
		return take_lf(reader, *data, STATE_LINE);
	case STATE_LINE:
		return take_line_start(reader, *data);
	case STATE_NAME:
		return take_name(reader, data, len);
	case STATE_BLANK:
		return take_blank(reader, *data);
	case STATE_VALUE:
		return take_value(reader, data, len);
	case STATE_HEAD_LF:
		return take_head_end(reader, *data);
	case STATE_BODY:
	case STATE_BODY_TO_END:
		return take_body(reader, data, len);
	case STATE_CHUNK_LEN:
		return take_chunk_length(reader, *data);
	case STATE_CHUNK_BLANK:
		return take_chunk_blank(reader, *data);
	case STATE_CHUNK_EXTENSION:
		return take_extension(reader, data, len);
	case STATE_CHUNK_LEN_LF:
		return take_chunk_start(reader, *data);
	case STATE_CHUNK_CR:
	case STATE_CHUNK_LF:
		return take_chunk_end(reader, *data);
	case STATE_ENDED:
		break;
	}
	return -1;
}

/* Whether what is read now counts towards the size of the header. */
static bool is_in_head(const struct input_reader *reader)
{
	return reader->state <= STATE_HEAD_LF;
}

/* Reports the end of a response; returns whether to go on with another one. */
static bool end_message(struct input_reader *reader)
{
	if (!reader->handler->end(reader->arg))
		return false;
	begin_message(reader);
	reader->head_bytes = 0;
	return true;
}

enum input_result input_read(struct input_reader *reader, const char *data,
			     size_t len, size_t *used)
{
	*used = 0;
	reader->stopped = false;
	while (*used < len) {
		bool in_head = is_in_head(reader);
		gssize taken = take(reader, data + *used, len - *used);

		if (taken < 0)
			return INPUT_INVALID;
		*used += (size_t)taken;
		if (in_head)
			reader->head_bytes += (size_t)taken;
		if (reader->head_bytes > HEAD_MAX_BYTES)
			return INPUT_INVALID;
		if (reader->stopped)
			return INPUT_STOPPED;
		if (reader->state == STATE_ENDED && !end_message(reader))
			return INPUT_STOPPED;
	}
	return INPUT_MORE;
}

enum input_result input_end(struct input_reader *reader)
{
	if (reader->state != STATE_BODY_TO_END)
		return INPUT_INVALID;
	reader->state = STATE_ENDED;
	end_message(reader);
	return INPUT_STOPPED;
}
