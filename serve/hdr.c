/** @file hdr.c @brief Header fields of one HTTP message. */
#include <string.h>

#include "hdr.h"

static void field_clear(gpointer p)
{
	struct hdr_field *field = p;

	g_string_free(field->name, TRUE);
	if (field->value != NULL)
		g_string_free(field->value, TRUE);
}

GArray *hdr_create(void)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct hdr_field));

	g_array_set_clear_func(headers, field_clear);
	return headers;
}

static struct hdr_field *last_field(GArray *headers)
{
	if (headers->len == 0)
		return NULL;
	return &g_array_index(headers, struct hdr_field, headers->len - 1);
}

void hdr_append_name(GArray *headers, const char *buf, size_t len)
{
	struct hdr_field *field = last_field(headers);

	if (field == NULL || field->value != NULL) {
		struct hdr_field empty = {g_string_new(NULL), NULL};

		g_array_append_val(headers, empty);
		field = last_field(headers);
	}
	g_string_append_len(field->name, buf, (gssize)len);
}

void hdr_append_value(GArray *headers, const char *buf, size_t len)
{
	struct hdr_field *field = last_field(headers);

	if (field == NULL)
		return;
	if (field->value == NULL)
		field->value = g_string_new(NULL);
	g_string_append_len(field->value, buf, (gssize)len);
}

const struct hdr_field *hdr_at(const GArray *headers, guint i)
{
	return &g_array_index(headers, struct hdr_field, i);
}

const char *hdr_get(const GArray *headers, const char *name)
{
	for (guint i = 0; i < headers->len; i++) {
		const struct hdr_field *field = hdr_at(headers, i);

		if (g_ascii_strcasecmp(field->name->str, name) == 0)
			return field->value ? field->value->str : "";
	}
	return NULL;
}

guint hdr_count(const GArray *headers, const char *name)
{
	guint count = 0;

	for (guint i = 0; i < headers->len; i++)
		count += g_ascii_strcasecmp(hdr_at(headers, i)->name->str,
					    name) == 0;
	return count;
}

/* Returns whether the Connection field lists @p name. */
static gboolean is_connection_option(const GArray *headers, const char *name)
{
	const char *list = hdr_get(headers, "Connection");
	char **names;
	gboolean found = FALSE;

	if (list == NULL)
		return FALSE;
	names = g_strsplit(list, ",", -1);
	for (char **p = names; *p != NULL && !found; p++)
		found = g_ascii_strcasecmp(g_strstrip(*p), name) == 0;
	g_strfreev(names);
	return found;
}

gboolean hdr_is_hop_by_hop(const GArray *headers, const char *name)
{
	static const char *const names[] = {
		"Connection",	    "Keep-Alive",
		"Proxy-Connection", "TE",
		"Trailer",	    "Transfer-Encoding",
		"Upgrade",	    "Content-Length",
		"Expect",	    "Proxy-Authorization",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_ascii_strcasecmp(names[i], name) == 0)
			return TRUE;
	}
	return is_connection_option(headers, name);
}
