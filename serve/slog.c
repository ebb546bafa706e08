/** @file slog.c @brief Structured log on standard output. */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "slog.h"

enum {
	LINES_PER_S = 200,  /* of one kind */
	HELD_MOST = 262144, /* bytes that wait for a slow reader */
	FLUSH_AT = 8192,    /* bytes written at once */
	QUOTE_MOST = 200,
	QUOTES = 8,
};

struct kind {
	gint64 second;
	guint lines;
	guint64 dropped;
};

static char slog_instance[256];
static GString *slog_held;
static GHashTable *slog_kinds; /* literal kind -> struct kind */
static guint64 slog_lost;

void slog_open(const char *instance)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	g_strlcpy(slog_instance, slog_quote(instance), sizeof(slog_instance));
	slog_held = g_string_sized_new(FLUSH_AT);
	slog_kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

const char *slog_quote(const char *text)
{
	static char ring[QUOTES][QUOTE_MOST + 16];
	static guint next;
	char *out = ring[next++ % QUOTES];
	size_t n = 0;

	out[n++] = '"';
	for (; text != NULL && *text != '\0' && n < QUOTE_MOST; text++) {
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

/* Whether a line of this kind fits into this second. */
static gboolean admit(const char *name, gint64 now, guint64 *dropped)
{
	struct kind *kind = g_hash_table_lookup(slog_kinds, name);

	if (kind == NULL) {
		kind = g_new0(struct kind, 1);
		g_hash_table_insert(slog_kinds, (gpointer)name, kind);
	}
	*dropped = 0;
	if (kind->second != now / 1000) {
		kind->second = now / 1000;
		kind->lines = 0;
		*dropped = kind->dropped;
		kind->dropped = 0;
	}
	if (kind->lines++ < LINES_PER_S && slog_held->len < HELD_MOST)
		return TRUE;
	kind->dropped++;
	slog_lost++;
	return FALSE;
}

void slog(const char *kind, const char *id, const char *fields, ...)
{
	gint64 now = g_get_real_time() / 1000;
	guint64 dropped;
	va_list ap;

	if (slog_held == NULL || !admit(kind, now, &dropped))
		return;
	g_string_append_printf(slog_held,
			       "{\"t\":%" G_GINT64_FORMAT
			       ",\"instance\":%s,\"event\":\"%s\"",
			       now, slog_instance, kind);
	if (id != NULL)
		g_string_append_printf(slog_held, ",\"request\":%s",
				       slog_quote(id));
	if (dropped > 0)
		g_string_append_printf(
			slog_held, ",\"left_out\":%" G_GUINT64_FORMAT, dropped);
	if (*fields != '\0') {
		g_string_append_c(slog_held, ',');
		va_start(ap, fields);
		g_string_append_vprintf(slog_held, fields, ap);
		va_end(ap);
	}
	g_string_append(slog_held, "}\n");
	if (slog_held->len >= FLUSH_AT)
		slog_flush();
}

void slog_flush(void)
{
	ssize_t n;

	if (slog_held == NULL || slog_held->len == 0)
		return;
	n = write(STDOUT_FILENO, slog_held->str, slog_held->len);
	if (n > 0)
		g_string_erase(slog_held, 0, n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(slog_held, 0);
}

guint64 slog_dropped(void)
{
	return slog_lost;
}
