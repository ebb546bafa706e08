/**
 * @file links.h
 * @brief Which backend servers an instance can connect to itself.
 *
 * The load it must handle: instances, single ones or most of a zone, that lose
 * their links to all servers or to some, while the servers run and the other
 * instances reach them. New connections hang or are refused; kept ones hang,
 * break or live on.
 *
 * Only attempts to connect count: a server that is slow to respond is no broken
 * link. If several servers in a row can't be connected to, all links count as
 * lost until one works again. Links that are lost, or silent while requests
 * wait for a response, are checked by connections without a request.
 */
#ifndef APS_LINKS_H
#define APS_LINKS_H

#include <stdbool.h>
#include <stdint.h>

struct links;

struct links *links_create(void);
void links_destroy(struct links *links);

/** A connection to @p server was established; returns whether that ends a
 * loss of all links. */
bool links_on_connected(struct links *links, const char *server, int64_t now);
/** A connection to @p server was refused, or not established in time; returns
 * whether all links count as lost from now on. */
bool links_on_failed(struct links *links, const char *server, int64_t now);
/** A request was sent over a link of this instance. */
void links_on_sent(struct links *links, int64_t now);
/** Bytes of a response were received over a link of this instance. */
void links_on_received(struct links *links, int64_t now);
/** A request that was sent over a link of this instance has ended. */
void links_on_ended(struct links *links);

/** Whether this instance can't connect to @p server, as far as it knows. */
bool links_is_lost(const struct links *links, const char *server);
/** Whether this instance can connect to none of the servers. */
bool links_all_lost(const struct links *links);
/** For how long requests have waited without a byte from any server, in ms; 0:
 * none waits. */
int64_t links_silent_ms(const struct links *links, int64_t now);
/** Whether requests have waited for so long that links may hang. */
bool links_is_silent(const struct links *links, int64_t now);
/** Whether links should be checked now; the next time is some time later. */
bool links_take_check(struct links *links, int64_t now);
/** Returns a server whose link is lost, a different one each time, or NULL. */
const char *links_next_lost(struct links *links);
/** Forgets a server that has left the list. */
void links_forget(struct links *links, const char *server);

#endif
