/** @file settings.c @brief Settings of one process. */
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "settings.h"

enum {
	SET_TEXT_MAX = 65536,
};

/* One setting: a string, or a number with its bounds. */
struct field {
	const char *name;
	size_t offset;
	bool number;
	bool required;
	uint32_t preset;
	uint32_t min;
	uint32_t max;
};

static const struct field fields[] = {
	{"id", offsetof(struct settings, id), false, true, 0, 0, 0},
	{"zone", offsetof(struct settings, zone), false, true, 0, 0, 0},
	{"http", offsetof(struct settings, http), false, true, 0, 0, 0},
	{"peer", offsetof(struct settings, peer), false, true, 0, 0, 0},
	{"platform", offsetof(struct settings, platform), false, true, 0, 0, 0},
	{"rules", offsetof(struct settings, rules), false, false, 0, 0, 0},
	{"threads", offsetof(struct settings, threads), true, false, 64, 1,
	 4096},
	{"commit_gap_ms", offsetof(struct settings, commit_gap_ms), true, false,
	 40, 1, 1000},
	{"max_body", offsetof(struct settings, max_body), true, false, 1048576,
	 1024, 4194304},
};

static const struct field *field_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

/*
 * json-c takes the later of two equal names in silence, so they are counted
 * in the text: as a string before a colon, outside strings and comments.
 */
static int name_count(const char *text, const char *name)
{
	int count = 0;

	for (const char *p = text; *p != '\0'; p++) {
		const char *end;

		if (p[0] == '/' && p[1] == '/') {
			p += strcspn(p, "\n");
			if (*p == '\0')
				break;
			continue;
		}
		if (p[0] == '/' && p[1] == '*') {
			p = strstr(p + 2, "*/");
			if (p == NULL)
				break;
			p++;
			continue;
		}
		if (*p != '"')
			continue;
		for (end = p + 1; *end != '\0' && *end != '"'; end++) {
			if (*end == '\\' && end[1] != '\0')
				end++;
		}
		if (*end == '\0')
			break;
		if ((size_t)(end - p - 1) == strlen(name) &&
		    strncmp(p + 1, name, strlen(name)) == 0 &&
		    end[1 + strspn(end + 1, " \t\r\n")] == ':')
			count++;
		p = end;
	}
	return count;
}

static bool set_number(struct settings *settings, const struct field *field,
		       json_object *value, const char *name, GString *errors)
{
	int64_t number = field->preset;

	if (value != NULL) {
		number = json_object_get_int64(value);
		if (!json_object_is_type(value, json_type_int) ||
		    number < field->min || number > field->max) {
			g_string_append_printf(
				errors, "%s: %s: not a number from %u to %u\n",
				name, field->name, field->min, field->max);
			return false;
		}
	}
	*(uint32_t *)((char *)settings + field->offset) = (uint32_t)number;
	return true;
}

static bool set_string(struct settings *settings, const struct field *field,
		       json_object *value, const char *name, GString *errors)
{
	char **slot = (char **)((char *)settings + field->offset);

	if (value == NULL && !field->required)
		return true;
	if (value == NULL) {
		g_string_append_printf(errors, "%s: %s: missing\n", name,
				       field->name);
		return false;
	}
	if (!json_object_is_type(value, json_type_string) ||
	    json_object_get_string_len(value) == 0) {
		g_string_append_printf(errors, "%s: %s: not a string\n", name,
				       field->name);
		return false;
	}
	*slot = g_strdup(json_object_get_string(value));
	return true;
}

static bool check_names(json_object *root, const char *text, const char *name,
			GString *errors)
{
	bool ok = true;

	json_object_object_foreach(root, key, value)
	{
		(void)value;
		if (field_find(key) == NULL) {
			g_string_append_printf(
				errors, "%s: %s: unknown setting\n", name, key);
			ok = false;
		}
		if (name_count(text, key) > 1) {
			g_string_append_printf(errors, "%s: %s: given twice\n",
					       name, key);
			ok = false;
		}
	}
	return ok;
}

static bool check_addr(const char *addr, const char *field, const char *name,
		       GString *errors)
{
	if (addr == NULL || strchr(addr, ':') != NULL)
		return true;
	g_string_append_printf(errors, "%s: %s: not HOST:PORT\n", name, field);
	return false;
}

struct settings *set_parse(const char *text, const char *name, GString *errors)
{
	struct settings *settings = g_new0(struct settings, 1);
	enum json_tokener_error fault;
	json_object *root = json_tokener_parse_verbose(text, &fault);
	bool ok = true;

	if (!json_object_is_type(root, json_type_object)) {
		g_string_append_printf(errors, "%s: not a JSON object: %s\n",
				       name, json_tokener_error_desc(fault));
		ok = false;
		goto out;
	}
	ok = check_names(root, text, name, errors);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		json_object *value = NULL;

		json_object_object_get_ex(root, fields[i].name, &value);
		if (fields[i].number)
			ok &= set_number(settings, &fields[i], value, name,
					 errors);
		else
			ok &= set_string(settings, &fields[i], value, name,
					 errors);
	}
	ok &= check_addr(settings->http, "http", name, errors);
	ok &= check_addr(settings->peer, "peer", name, errors);
out:
	json_object_put(root);
	if (ok)
		return settings;
	set_destroy(settings);
	return NULL;
}

struct settings *set_read(const char *path, GString *errors)
{
	struct settings *settings;
	GError *error = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_string_append_printf(errors, "%s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	if (len > SET_TEXT_MAX) {
		g_string_append_printf(errors, "%s: longer than %d bytes\n",
				       path, SET_TEXT_MAX);
		g_free(text);
		return NULL;
	}
	settings = set_parse(text, path, errors);
	g_free(text);
	return settings;
}

void set_destroy(struct settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->id);
	g_free(settings->zone);
	g_free(settings->http);
	g_free(settings->peer);
	g_free(settings->platform);
	g_free(settings->rules);
	g_free(settings);
}
