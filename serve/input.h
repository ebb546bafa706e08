/**
 * @file input.h
 * @brief Bytes that a connection has received and nobody has parsed yet.
 *
 * The event loop runs timers before deferred callbacks. If it was busy, a timer
 * and the bytes that it waits for may be due in the same turn; a timeout must
 * not count then.
 */
#ifndef APS_INPUT_H
#define APS_INPUT_H

#include <stdbool.h>

struct bufferevent;

/** Whether bytes wait in the buffer or in the socket of a connection. */
bool input_is_pending(struct bufferevent *bev);
/** Whether a connection is open, as far as is known, and nothing waits on it.
 */
bool input_is_quiet(struct bufferevent *bev);

#endif
