/** @file settings.c @brief Settings of a process. */
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "settings.h"

enum {
	SETTINGS_FILE_MAX_BYTES = 65536,
};

#define FIELD(name, type, required, default_value, min, max)                   \
	{                                                                      \
#name, offsetof(struct settings, name), type, required,        \
			default_value, min, max                                \
	}

static const struct settings_field fields[] = {
	FIELD(id, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(zone, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(http, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(peer, SETTINGS_ADDRESS, true, 0, 0, 0),
	FIELD(platform, SETTINGS_STRING, true, 0, 0, 0),
	FIELD(rules, SETTINGS_STRING, false, 0, 0, 0),
	FIELD(threads, SETTINGS_INTEGER, false, 64, 1, 4096),
	FIELD(commit_gap_ms, SETTINGS_INTEGER, false, 40, 1, 1000),
	FIELD(max_body, SETTINGS_INTEGER, false, 1048576, 1024, 4194304),
};

struct field_list {
	const struct settings_field *fields;
	size_t count;
};

static bool is_known(const struct field_list *known, const char *name)
{
	for (size_t i = 0; i < known->count; i++) {
		if (strcmp(known->fields[i].name, name) == 0)
			return true;
	}
	return false;
}

/*
 * Counts how often @p name is given. json-c silently keeps the last of equal
 * names, so the text is searched for the name as a string before a colon,
 * outside other strings and comments.
 */
static int count_name(const char *text, const char *name)
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

static bool has_number_type(const struct settings_field *field,
			    json_object *value)
{
	return json_object_is_type(value, json_type_int) ||
	       (field->type == SETTINGS_TRUNCATED &&
		json_object_is_type(value, json_type_double));
}

static bool store_number(void *target, const struct settings_field *field,
			 json_object *value, const char *name, GString *errors)
{
	int64_t number = field->default_value;

	if (value != NULL) {
		number = json_object_get_int64(value);
		if (!has_number_type(field, value) || number < field->min ||
		    number > field->max) {
			g_string_append_printf(
				errors, "%s: %s: not a number from %u to %u\n",
				name, field->name, field->min, field->max);
			return false;
		}
	}
	*(uint32_t *)((char *)target + field->offset) = (uint32_t)number;
	return true;
}

static bool store_fraction(void *target, const struct settings_field *field,
			   json_object *value, const char *name,
			   GString *errors)
{
	double low = field->min / 1000.0;
	double high = field->max / 1000.0;
	double number = field->default_value / 1000.0;

	if (value != NULL) {
		number = json_object_get_double(value);
		if ((!json_object_is_type(value, json_type_int) &&
		     !json_object_is_type(value, json_type_double)) ||
		    !(number >= low && number <= high)) {
			g_string_append_printf(
				errors,
				"%s: %s: not a fraction from %g to %g\n", name,
				field->name, low, high);
			return false;
		}
	}
	memcpy((char *)target + field->offset, &number, sizeof(number));
	return true;
}

static bool store_string(void *target, const struct settings_field *field,
			 json_object *value, const char *name, GString *errors)
{
	char **slot = (char **)((char *)target + field->offset);

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
	if (field->type == SETTINGS_ADDRESS && strchr(*slot, ':') == NULL) {
		g_string_append_printf(errors, "%s: %s: not HOST:PORT\n", name,
				       field->name);
		return false;
	}
	return true;
}

static bool check_names(const struct field_list *known, json_object *root,
			const char *text, const char *name, GString *errors)
{
	bool ok = true;

	json_object_object_foreach(root, key, value)
	{
		(void)value;
		if (!is_known(known, key)) {
			g_string_append_printf(
				errors, "%s: %s: unknown setting\n", name, key);
			ok = false;
		}
		if (count_name(text, key) > 1) {
			g_string_append_printf(errors, "%s: %s: given twice\n",
					       name, key);
			ok = false;
		}
	}
	return ok;
}

bool settings_load_text(const char *text, const char *name,
			const struct settings_field *list, size_t count,
			void *target, GString *errors)
{
	struct field_list known = {list, count};
	enum json_tokener_error error;
	json_object *root = json_tokener_parse_verbose(text, &error);
	bool ok;

	if (!json_object_is_type(root, json_type_object)) {
		g_string_append_printf(errors, "%s: not a JSON object: %s\n",
				       name, json_tokener_error_desc(error));
		json_object_put(root);
		return false;
	}
	ok = check_names(&known, root, text, name, errors);
	for (size_t i = 0; i < count; i++) {
		json_object *value = NULL;

		json_object_object_get_ex(root, list[i].name, &value);
		if (list[i].type == SETTINGS_FRACTION)
			ok &= store_fraction(target, &list[i], value, name,
					     errors);
		else if (list[i].type >= SETTINGS_INTEGER)
			ok &= store_number(target, &list[i], value, name,
					   errors);
		else
			ok &= store_string(target, &list[i], value, name,
					   errors);
	}
	json_object_put(root);
	return ok;
}

void settings_clear(const struct settings_field *list, size_t count,
		    void *target)
{
	for (size_t i = 0; i < count; i++) {
		if (list[i].type < SETTINGS_INTEGER)
			g_free(*(char **)((char *)target + list[i].offset));
	}
}

struct settings *settings_parse(const char *text, const char *name,
				GString *errors)
{
	struct settings *settings = g_new0(struct settings, 1);

	if (settings_load_text(text, name, fields, G_N_ELEMENTS(fields),
			       settings, errors))
		return settings;
	settings_destroy(settings);
	return NULL;
}

/* Returns the text of a file; NULL if it is unreadable or too long. */
static char *read_text(const char *path, GString *errors)
{
	GError *error = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_string_append_printf(errors, "%s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	if (len > SETTINGS_FILE_MAX_BYTES) {
		g_string_append_printf(errors, "%s: longer than %d bytes\n",
				       path, SETTINGS_FILE_MAX_BYTES);
		g_free(text);
		return NULL;
	}
	return text;
}

bool settings_load(const char *path, const struct settings_field *list,
		   size_t count, void *target, GString *errors)
{
	char *text = read_text(path, errors);
	bool ok;

	if (text == NULL)
		return false;
	ok = settings_load_text(text, path, list, count, target, errors);
	g_free(text);
	return ok;
}

struct settings *settings_read(const char *path, GString *errors)
{
	char *text = read_text(path, errors);
	struct settings *settings;

	if (text == NULL)
		return NULL;
	settings = settings_parse(text, path, errors);
	g_free(text);
	return settings;
}

void settings_destroy(struct settings *settings)
{
	if (settings == NULL)
		return;
	settings_clear(fields, G_N_ELEMENTS(fields), settings);
	g_free(settings);
}
