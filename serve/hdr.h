/**
 * @file hdr.h
 * @brief Header fields of one HTTP message, in the order received.
 *
 * All fields are in one buffer, a GArray of bytes: a field takes the length of
 * its name and value and two bytes more, so that a message of very many short
 * lines takes little more memory than its text.
 */
#ifndef APS_HDR_H
#define APS_HDR_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/** One header field; the strings belong to the list. */
struct hdr_field {
	const char *name;  /**< NULL: before the first one, for hdr_next() */
	const char *value; /**< "" if there is none */
};

/** Returns an empty list of fields; g_array_unref() it. */
GArray *hdr_create(void);
/**
 * Appends part of a field name; the first part after a value starts a new
 * field. A NUL, which no HTTP message has here, is stored as a space.
 */
void hdr_append_name(GArray *headers, const char *buf, size_t len);
/** Appends part of a field value. */
void hdr_append_value(GArray *headers, const char *buf, size_t len);
/** Removes blanks from the end of the last value. */
void hdr_trim_value(GArray *headers);
/** Returns the first value of @p name, ignoring case, or NULL. */
const char *hdr_get(const GArray *headers, const char *name);
/** Returns the number of fields called @p name, ignoring case. */
guint hdr_count(const GArray *headers, const char *name);
/**
 * Sets @p field to the one after it, or to the first one if its name is NULL.
 *
 * @return false if there is none
 */
bool hdr_next(const GArray *headers, struct hdr_field *field);
/** Returns the bytes that the list will have allocated once @p more bytes of a
 * name or value have been appended to it. */
size_t hdr_memory(const GArray *headers, size_t more);

/** Which fields of a message must not be forwarded: hop-by-hop fields (RFC
 * 9110, section 7.6.1) and those that are written anew for each message. */
struct hdr_filter;

/** Creates the filter of a message, which must not be changed meanwhile. */
struct hdr_filter *hdr_filter_create(const GArray *headers);
/** Returns whether the field called @p name must not be forwarded. */
bool hdr_filter_drops(const struct hdr_filter *filter, const char *name);
void hdr_filter_free(struct hdr_filter *filter);

#endif
