/** @file sse_splitter.c @brief Incremental parser for server-sent events. */
#include <string.h>

#include "sse_splitter.h"

struct splitter {
	GString *buf;
	size_t scanned; /* no event ends before this offset */
	GString *data;
};

struct splitter *splitter_create(void)
{
	struct splitter *splitter = g_new0(struct splitter, 1);

	splitter->buf = g_string_new(NULL);
	splitter->data = g_string_new(NULL);
	return splitter;
}

void splitter_destroy(struct splitter *splitter)
{
	if (splitter == NULL)
		return;
	g_string_free(splitter->buf, TRUE);
	g_string_free(splitter->data, TRUE);
	g_free(splitter);
}

/* Parses one line, without its line feed. */
static void parse_line(struct splitter_event *event, const char *line,
		       size_t len)
{
	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len >= 5 && memcmp(line, "data:", 5) == 0) {
		size_t skip = len > 5 && line[5] == ' ' ? 6 : 5;

		if (event->has_data)
			g_string_append_c(event->data, '\n');
		g_string_append_len(event->data, line + skip,
				    (gssize)(len - skip));
		event->has_data = TRUE;
	} else if (len > 3 && memcmp(line, "id:", 3) == 0) {
		event->id = g_ascii_strtoll(line + 3, NULL, 10);
	}
}

static void emit_event(struct splitter *splitter, size_t len,
		       splitter_event_fn *fn, void *arg)
{
	struct splitter_event event = {.raw = splitter->buf->str,
				       .raw_len = len,
				       .id = -1,
				       .data = splitter->data};
	const char *line = event.raw;
	const char *end = line + len;

	g_string_truncate(splitter->data, 0);
	while (line < end) {
		const char *eol = memchr(line, '\n', (size_t)(end - line));
		size_t n = (size_t)((eol ? eol : end) - line);

		parse_line(&event, line, n);
		line += n + 1;
	}
	fn(arg, &event);
	g_string_erase(splitter->buf, 0, (gssize)len);
	splitter->scanned = 0;
}

/* The length of the first complete event, or 0. */
static size_t first_event_len(struct splitter *splitter)
{
	const char *text = splitter->buf->str;
	size_t len = splitter->buf->len;

	for (size_t i = splitter->scanned; i < len; i++) {
		size_t pos = i + 1;

		if (text[i] != '\n')
			continue;
		if (pos < len && text[pos] == '\r')
			pos++;
		if (pos < len && text[pos] == '\n')
			return pos + 1;
	}
	splitter->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

void splitter_feed(struct splitter *splitter, const char *data, size_t len,
		   splitter_event_fn *fn, void *arg)
{
	size_t n;

	g_string_append_len(splitter->buf, data, (gssize)len);
	while ((n = first_event_len(splitter)) > 0)
		emit_event(splitter, n, fn, arg);
}

size_t splitter_pending(const struct splitter *splitter)
{
	return splitter->buf->len;
}

void splitter_reset(struct splitter *splitter)
{
	g_string_truncate(splitter->buf, 0);
	splitter->scanned = 0;
}
