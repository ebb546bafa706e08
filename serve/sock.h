/** @file sock.h @brief TCP sockets: connecting, and options. */
#ifndef APS_SOCK_H
#define APS_SOCK_H

#include <stdbool.h>

#include <event2/bufferevent.h>

/** Sends small messages at once, and ends the connection if the peer does not
 * acknowledge data for some seconds. */
void sock_set_options(evutil_socket_t fd);
/** Starts to connect to @p address, HOST:PORT; returns false if that fails at
 * once. */
bool sock_connect(struct bufferevent *bev, const char *address);
/** Whether the peer has closed its side in order, after an event @p what (see
 * bufferevent_event_cb) that ended the connection: it was not reset, also if an
 * earlier call has taken that error from the socket. */
bool sock_ended_in_order(struct bufferevent *bev, short what);
/** Makes the close of the socket a reset: what it carried may be incomplete. */
void sock_reset_on_close(evutil_socket_t fd);

#endif
