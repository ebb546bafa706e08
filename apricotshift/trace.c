/** @file trace.c @brief Trace of one request, from logs. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "trace.h"

struct line {
	int64_t t_ms;
	json_object *object;
};

static void line_clear(gpointer p)
{
	struct line *line = p;

	json_object_put(line->object);
}

static const char *get_string(json_object *object, const char *name)
{
	json_object *value;

	return json_object_object_get_ex(object, name, &value)
		       ? json_object_get_string(value)
		       : "";
}

/*
 * Adds a line if it concerns @p request. Anything before the first brace is
 * skipped, as log collectors often add a prefix.
 */
static void add_line(GArray *lines, const char *raw, const char *request)
{
	const char *start = strchr(raw, '{');
	json_object *object;
	json_object *t;
	struct line line;

	if (start == NULL || strstr(start, request) == NULL)
		return;
	object = json_tokener_parse(start);
	if (strcmp(get_string(object, "request"), request) != 0 ||
	    !json_object_object_get_ex(object, "t", &t)) {
		json_object_put(object);
		return;
	}
	line.t_ms = json_object_get_int64(t);
	line.object = object;
	g_array_append_val(lines, line);
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	return (x->t_ms > y->t_ms) - (x->t_ms < y->t_ms);
}

static void print_line(const struct line *line, int64_t start_ms, FILE *out)
{
	fprintf(out, "%+6" G_GINT64_FORMAT " ms  %-12s %s",
		line->t_ms - start_ms, get_string(line->object, "event"),
		get_string(line->object, "instance"));
	json_object_object_foreach(line->object, name, value)
	{
		if (strcmp(name, "t") == 0 || strcmp(name, "event") == 0 ||
		    strcmp(name, "instance") == 0 ||
		    strcmp(name, "request") == 0)
			continue;
		fprintf(out, " %s=%s", name, json_object_get_string(value));
	}
	fputc('\n', out);
}

unsigned int trace_print(FILE *log, const char *request, FILE *out)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	unsigned int found;
	char *raw = NULL;
	size_t size = 0;

	g_array_set_clear_func(lines, line_clear);
	while (getline(&raw, &size, log) > 0)
		add_line(lines, raw, request);
	free(raw);
	g_array_sort(lines, compare_time);
	found = lines->len;
	for (guint i = 0; i < found; i++)
		print_line(&g_array_index(lines, struct line, i),
			   g_array_index(lines, struct line, 0).t_ms, out);
	g_array_free(lines, TRUE);
	return found;
}
