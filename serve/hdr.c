/** @file hdr.c @brief Header fields of one HTTP message. */
#include <string.h>

#include "hdr.h"

/*
 * The buffer is one byte with the state, and then for each field its name, NUL,
 * its value and NUL. An empty array, as after g_array_set_size(), is an empty
 * list. GArray is kept as the type of a list since callers release and reset it
 * with GArray's own functions.
 */
enum state { STATE_NAME = 'n', STATE_VALUE = 'v' };

enum {
	NAME_END_BYTES = 2, /* NUL of the name and of the empty value */
	VALUE_END_BYTES = 1,
	/* State byte and ends, at most, of what one append adds. */
	APPEND_EXTRA_BYTES = 1 + NAME_END_BYTES,
	ARRAY_MIN_BYTES = 16, /* that a GArray allocates */
	ARRAY_HEAD_BYTES = 40,
};

static const char ends[NAME_END_BYTES];

GArray *hdr_create(void)
{
	return g_array_new(FALSE, FALSE, 1);
}

/* Appends text, and replaces each NUL in it, which would end the field. */
static void append_text(GArray *headers, const char *buf, size_t len)
{
	guint from = headers->len;
	char *nul;

	if (len == 0)
		return;
	g_array_append_vals(headers, buf, (guint)len);
	while ((nul = memchr(headers->data + from, '\0',
			     headers->len - from)) != NULL)
		*nul = ' ';
}

void hdr_append_name(GArray *headers, const char *buf, size_t len)
{
	static const char no_field = STATE_VALUE;

	if (headers->len == 0)
		g_array_append_vals(headers, &no_field, 1);
	if (headers->data[0] == STATE_NAME)
		g_array_set_size(headers, headers->len - NAME_END_BYTES);
	append_text(headers, buf, len);
	g_array_append_vals(headers, ends, NAME_END_BYTES);
	headers->data[0] = STATE_NAME;
}

void hdr_append_value(GArray *headers, const char *buf, size_t len)
{
	if (headers->len == 0)
		return;
	g_array_set_size(headers, headers->len - VALUE_END_BYTES);
	append_text(headers, buf, len);
	g_array_append_vals(headers, ends, VALUE_END_BYTES);
	headers->data[0] = STATE_VALUE;
}

void hdr_trim_value(GArray *headers)
{
	guint len = headers->len;

	if (len == 0)
		return;
	len -= VALUE_END_BYTES;
	/* A value's start is behind a NUL, which is no blank. */
	while (headers->data[len - 1] == ' ' || headers->data[len - 1] == '\t')
		len--;
	g_array_set_size(headers, len);
	g_array_append_vals(headers, ends, VALUE_END_BYTES);
}

bool hdr_next(const GArray *headers, struct hdr_field *field)
{
	const char *at;

	if (headers->len == 0)
		return false;
	at = field->name == NULL ? headers->data + 1
				 : field->value + strlen(field->value) + 1;
	if (at >= headers->data + headers->len)
		return false;
	field->name = at;
	field->value = at + strlen(at) + 1;
	return true;
}

const char *hdr_get(const GArray *headers, const char *name)
{
	struct hdr_field field = {NULL, NULL};

	while (hdr_next(headers, &field)) {
		if (g_ascii_strcasecmp(field.name, name) == 0)
			return field.value;
	}
	return NULL;
}

guint hdr_count(const GArray *headers, const char *name)
{
	struct hdr_field field = {NULL, NULL};
	guint count = 0;

	while (hdr_next(headers, &field))
		count += g_ascii_strcasecmp(field.name, name) == 0;
	return count;
}

size_t hdr_memory(const GArray *headers, size_t more)
{
	size_t needed =
		headers->len + (more > 0 ? more + APPEND_EXTRA_BYTES : 0);
	size_t bytes = ARRAY_MIN_BYTES;

	/* GArray grows to the next power of two. */
	while (bytes < needed)
		bytes *= 2;
	return ARRAY_HEAD_BYTES + bytes;
}

struct hdr_filter {
	const GArray *headers;
	/* Options that the Connection fields list, sorted; offsets, as a list
	 * may have an option for every two bytes of a header. */
	guint32 *options;
	guint count;
};

static size_t option_length(const char *option)
{
	return strcspn(option, ", \t");
}

static int compare_option(const char *option, const char *name, size_t len)
{
	size_t option_len = option_length(option);
	int order = g_ascii_strncasecmp(option, name, MIN(option_len, len));

	if (order != 0)
		return order;
	return (option_len > len) - (option_len < len);
}

static gint compare_options(gconstpointer a, gconstpointer b, gpointer data)
{
	const char *text = data;
	const char *other = text + *(const guint32 *)b;

	return compare_option(text + *(const guint32 *)a, other,
			      option_length(other));
}

/* Returns the number of options that the Connection fields list, and stores
 * their offsets if @p options is not NULL. */
static guint list_options(const GArray *headers, guint32 *options)
{
	struct hdr_field field = {NULL, NULL};
	guint count = 0;

	while (hdr_next(headers, &field)) {
		const char *at = field.value;

		if (g_ascii_strcasecmp(field.name, "Connection") != 0)
			continue;
		while (*(at += strspn(at, ", \t")) != '\0') {
			if (options != NULL)
				options[count] = (guint32)(at - headers->data);
			count++;
			at += option_length(at);
		}
	}
	return count;
}

struct hdr_filter *hdr_filter_create(const GArray *headers)
{
	struct hdr_filter *filter = g_new0(struct hdr_filter, 1);

	filter->headers = headers;
	filter->count = list_options(headers, NULL);
	if (filter->count == 0)
		return filter;
	filter->options = g_new(guint32, filter->count);
	list_options(headers, filter->options);
	g_qsort_with_data(filter->options, (gint)filter->count,
			  sizeof(*filter->options), compare_options,
			  headers->data);
	return filter;
}

static bool is_connection_option(const struct hdr_filter *filter,
				 const char *name)
{
	size_t len = strlen(name);
	guint from = 0;
	guint to = filter->count;

	while (from < to) {
		guint middle = from + (to - from) / 2;
		int order = compare_option(filter->headers->data +
						   filter->options[middle],
					   name, len);

		if (order == 0)
			return true;
		if (order < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return false;
}

bool hdr_filter_drops(const struct hdr_filter *filter, const char *name)
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
			return true;
	}
	return is_connection_option(filter, name);
}

void hdr_filter_free(struct hdr_filter *filter)
{
	g_free(filter->options);
	g_free(filter);
}
