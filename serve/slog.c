/** @file slog.c @brief Structured log on standard output. */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "slog.h"

enum {
	SLOG_LINES_PER_S = 200,		/* of one event */
	SLOG_BUFFER_MAX_BYTES = 262144, /* buffered for a slow reader */
	SLOG_FLUSH_BYTES = 8192,
	SLOG_QUOTE_MAX_BYTES = 200,
	SLOG_QUOTE_BUFFERS = 8,
};

/* Rate limit of one event. */
struct event_rate {
	gint64 second; /* Unix time in which lines were counted */
	guint lines;
	guint64 dropped;
};

static char slog_instance[256];
static GString *slog_buffer;
static GHashTable *slog_rates; /* event name to struct event_rate */
static guint64 slog_dropped_total;

void slog_open(const char *instance)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	g_strlcpy(slog_instance, slog_quote(instance), sizeof(slog_instance));
	slog_buffer = g_string_sized_new(SLOG_FLUSH_BYTES);
	slog_rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

const char *slog_quote(const char *text)
{
	static char ring[SLOG_QUOTE_BUFFERS][SLOG_QUOTE_MAX_BYTES + 16];
	static guint next;
	char *out = ring[next++ % SLOG_QUOTE_BUFFERS];
	size_t n = 0;

	out[n++] = '"';
	for (; text != NULL && *text != '\0' && n < SLOG_QUOTE_MAX_BYTES;
	     text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\') {
			out[n++] = '\\';
			out[n++] = (char)c;
		} else if (c < 0x20 || c >= 0x7f) {
			n += (size_t)g_snprintf(out + n, 7, "\\u%04x", c);
		} else {
			out[n++] = (char)c;
		}
	}
	out[n++] = '"';
	out[n] = '\0';
	return out;
}

/*
 * Returns whether a line may be logged now. @p dropped receives the number
 * of lines of this event to report as dropped.
 */
static gboolean may_log(const char *event, gint64 now_ms, guint64 *dropped)
{
	struct event_rate *rate = g_hash_table_lookup(slog_rates, event);

	if (rate == NULL) {
		rate = g_new0(struct event_rate, 1);
		g_hash_table_insert(slog_rates, (gpointer)event, rate);
	}
	*dropped = 0;
	if (rate->second != now_ms / 1000) {
		rate->second = now_ms / 1000;
		rate->lines = 0;
		*dropped = rate->dropped;
		rate->dropped = 0;
	}
	if (rate->lines++ < SLOG_LINES_PER_S &&
	    slog_buffer->len < SLOG_BUFFER_MAX_BYTES)
		return TRUE;
	rate->dropped++;
	slog_dropped_total++;
	return FALSE;
}

void slog(const char *event, const char *id, const char *fields, ...)
{
	gint64 now_ms = g_get_real_time() / 1000;
	guint64 dropped;
	va_list ap;

	if (slog_buffer == NULL || !may_log(event, now_ms, &dropped))
		return;
	g_string_append_printf(slog_buffer,
			       "{\"t\":%" G_GINT64_FORMAT
			       ",\"instance\":%s,\"event\":\"%s\"",
			       now_ms, slog_instance, event);
	if (id != NULL)
		g_string_append_printf(slog_buffer, ",\"request\":%s",
				       slog_quote(id));
	if (dropped > 0)
		g_string_append_printf(slog_buffer,
				       ",\"left_out\":%" G_GUINT64_FORMAT,
				       dropped);
	if (*fields != '\0') {
		g_string_append_c(slog_buffer, ',');
		va_start(ap, fields);
		g_string_append_vprintf(slog_buffer, fields, ap);
		va_end(ap);
	}
	g_string_append(slog_buffer, "}\n");
	if (slog_buffer->len >= SLOG_FLUSH_BYTES)
		slog_flush();
}

void slog_flush(void)
{
	ssize_t n;

	if (slog_buffer == NULL || slog_buffer->len == 0)
		return;
	n = write(STDOUT_FILENO, slog_buffer->str, slog_buffer->len);
	if (n > 0)
		g_string_erase(slog_buffer, 0, n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(slog_buffer, 0);
}

guint64 slog_dropped(void)
{
	return slog_dropped_total;
}
