/** @file events.c @brief Splits a stream of events as it comes. */
#include <string.h>

#include "events.h"

struct evt_splitter {
	GString *held;
	size_t scanned; /* no event ends before this */
	GString *data;
};

struct evt_splitter *evt_create(void)
{
	struct evt_splitter *splitter = g_new0(struct evt_splitter, 1);

	splitter->held = g_string_new(NULL);
	splitter->data = g_string_new(NULL);
	return splitter;
}

void evt_destroy(struct evt_splitter *splitter)
{
	if (splitter == NULL)
		return;
	g_string_free(splitter->held, TRUE);
	g_string_free(splitter->data, TRUE);
	g_free(splitter);
}

/* Takes one line without its end. */
static void take_line(struct evt *event, const char *line, size_t len)
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

static void take_event(struct evt_splitter *splitter, size_t len, evt_fn *fn,
		       void *arg)
{
	struct evt event = {.raw = splitter->held->str,
			    .raw_len = len,
			    .id = -1,
			    .data = splitter->data};
	const char *at = event.raw;
	const char *end = at + len;

	g_string_truncate(splitter->data, 0);
	while (at < end) {
		const char *eol = memchr(at, '\n', (size_t)(end - at));
		size_t n = (size_t)((eol ? eol : end) - at);

		take_line(&event, at, n);
		at += n + 1;
	}
	fn(arg, &event);
	g_string_erase(splitter->held, 0, (gssize)len);
	splitter->scanned = 0;
}

/* The length of the first whole event, or 0. */
static size_t first_event(struct evt_splitter *splitter)
{
	const char *text = splitter->held->str;
	size_t len = splitter->held->len;

	for (size_t i = splitter->scanned; i < len; i++) {
		size_t next = i + 1;

		if (text[i] != '\n')
			continue;
		if (next < len && text[next] == '\r')
			next++;
		if (next < len && text[next] == '\n')
			return next + 1;
	}
	splitter->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

void evt_feed(struct evt_splitter *splitter, const char *data, size_t len,
	      evt_fn *fn, void *arg)
{
	size_t n;

	g_string_append_len(splitter->held, data, (gssize)len);
	while ((n = first_event(splitter)) > 0)
		take_event(splitter, n, fn, arg);
}

size_t evt_left(const struct evt_splitter *splitter)
{
	return splitter->held->len;
}

void evt_reset(struct evt_splitter *splitter)
{
	g_string_truncate(splitter->held, 0);
	splitter->scanned = 0;
}
