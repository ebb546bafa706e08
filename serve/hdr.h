/**
 * @file hdr.h
 * @brief Header fields of one HTTP message, in the order received.
 */
#ifndef APS_HDR_H
#define APS_HDR_H

#include <stddef.h>

#include <glib.h>

/** One header field. */
struct hdr_field {
	GString *name;
	GString *value; /**< NULL if there is none */
};

/** Returns an empty list of struct hdr_field; g_array_unref() it. */
GArray *hdr_create(void);
/**
 * Appends part of a field name; the first part after a value starts a new
 * field.
 */
void hdr_append_name(GArray *headers, const char *buf, size_t len);
/** Appends part of a field value. */
void hdr_append_value(GArray *headers, const char *buf, size_t len);
/** Returns the first value of @p name, ignoring case, or NULL. */
const char *hdr_get(const GArray *headers, const char *name);
/** Returns the number of fields called @p name, ignoring case. */
guint hdr_count(const GArray *headers, const char *name);
/** Returns the field at index @p i. */
const struct hdr_field *hdr_at(const GArray *headers, guint i);
/**
 * Returns whether a field must not be forwarded: hop-by-hop fields (RFC 9110,
 * section 7.6.1) and those that are written anew for each message.
 */
gboolean hdr_is_hop_by_hop(const GArray *headers, const char *name);

#endif
