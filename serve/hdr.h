/**
 * @file hdr.h
 * @brief Header fields of one HTTP message, in the order they came.
 */
#ifndef APS_HDR_H
#define APS_HDR_H

#include <stddef.h>

#include <glib.h>

/** One header field. */
struct hdr_field {
	GString *name;
	GString *value;
};

/** Returns an empty list of struct hdr_field; g_array_unref() it. */
GArray *hdr_create(void);
/** Takes a piece of a field's name; a piece after a value begins a field. */
void hdr_append_name(GArray *headers, const char *at, size_t len);
/** Takes a piece of a field's value. */
void hdr_append_value(GArray *headers, const char *at, size_t len);
/** The first value of that name, in any case, or NULL. */
const char *hdr_get(const GArray *headers, const char *name);
/** How many fields have that name. */
guint hdr_count(const GArray *headers, const char *name);
/** The field at @p i. */
const struct hdr_field *hdr_at(const GArray *headers, guint i);
/** Whether a field concerns one connection only. */
gboolean hdr_is_hop_by_hop(const GArray *headers, const char *name);

#endif
