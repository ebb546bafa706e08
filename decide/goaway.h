/**
 * @file goaway.h
 * @brief Backend servers that have announced their shutdown in a response.
 *
 * The platform's list may show that later, or never. An announcement holds for
 * the start of the server that made it, whatever the list says, and not for
 * later ones. Since the list may be old, it is not known which start made it:
 * any that was started by then may have.
 */
#ifndef APS_GOAWAY_H
#define APS_GOAWAY_H

#include <stdbool.h>
#include <stdint.h>

/** Announcements by name: the id, or the address, of a server. */
struct goaway;

struct goaway *goaway_create(void);
void goaway_destroy(struct goaway *goaway);
/** A server of that name, started at @p started_ms or before, has announced its
 * shutdown. */
void goaway_note(struct goaway *goaway, const char *name, int64_t started_ms);
/** Whether the server that was started at @p started_ms may have done so. */
bool goaway_has(const struct goaway *goaway, const char *name,
		int64_t started_ms);

#endif
