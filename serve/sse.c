/** @file sse.c @brief Parser for chat completion streams. */
#include <string.h>

#include <json-c/json.h>

#include "sse.h"

enum {
	SSE_LINE_MAX_BYTES = 1 << 20,
};

void sse_init(struct sse *sse)
{
	memset(sse, 0, sizeof(*sse));
	sse->line = g_string_new(NULL);
}

void sse_clear(struct sse *sse)
{
	g_string_free(sse->line, TRUE);
	g_free(sse->id);
}

static uint32_t get_number(json_object *obj, const char *name)
{
	json_object *value = NULL;
	int64_t n;

	if (!json_object_is_type(obj, json_type_object) ||
	    !json_object_object_get_ex(obj, name, &value))
		return 0;
	n = json_object_get_int64(value);
	return n < 0 || n > UINT32_MAX ? 0 : (uint32_t)n;
}

static void parse_usage(struct sse *sse, json_object *event)
{
	json_object *usage = NULL;

	if (!json_object_object_get_ex(event, "usage", &usage))
		return;
	sse->prompt_tokens = get_number(usage, "prompt_tokens");
	sse->out_tokens = get_number(usage, "completion_tokens");
	sse->cached_tokens = get_number(usage, "cached_tokens");
}

static void parse_id(struct sse *sse, json_object *event)
{
	json_object *id = NULL;

	if (!json_object_object_get_ex(event, "id", &id) ||
	    !json_object_is_type(id, json_type_string))
		return;
	g_free(sse->id);
	sse->id = g_strdup(json_object_get_string(id));
}

static void parse_content(json_object *event, sse_fn fn, void *arg)
{
	json_object *choices = NULL;
	json_object *choice;
	json_object *delta = NULL;
	json_object *content = NULL;

	if (!json_object_object_get_ex(event, "choices", &choices) ||
	    !json_object_is_type(choices, json_type_array) ||
	    json_object_array_length(choices) == 0)
		return;
	choice = json_object_array_get_idx(choices, 0);
	if (!json_object_is_type(choice, json_type_object) ||
	    !json_object_object_get_ex(choice, "delta", &delta) ||
	    !json_object_is_type(delta, json_type_object) ||
	    !json_object_object_get_ex(delta, "content", &content) ||
	    !json_object_is_type(content, json_type_string))
		return;
	fn(arg, json_object_get_string(content),
	   (size_t)json_object_get_string_len(content));
}

static void parse_line(struct sse *sse, const char *line, sse_fn fn, void *arg)
{
	json_object *event;

	if (!g_str_has_prefix(line, "data:"))
		return;
	line += strlen("data:");
	line += strspn(line, " ");
	if (strcmp(line, "[DONE]") == 0) {
		sse->done = true;
		return;
	}
	event = json_tokener_parse(line);
	if (!json_object_is_type(event, json_type_object)) {
		sse->malformed = true;
	} else {
		parse_id(sse, event);
		parse_usage(sse, event);
		parse_content(event, fn, arg);
	}
	json_object_put(event);
}

void sse_feed(struct sse *sse, const char *buf, size_t len, sse_fn fn,
	      void *arg)
{
	for (size_t i = 0; i < len; i++) {
		if (buf[i] == '\n') {
			parse_line(sse, sse->line->str, fn, arg);
			g_string_truncate(sse->line, 0);
		} else if (sse->line->len >= SSE_LINE_MAX_BYTES) {
			sse->malformed = true;
		} else if (buf[i] != '\r') {
			g_string_append_c(sse->line, buf[i]);
		}
	}
}
