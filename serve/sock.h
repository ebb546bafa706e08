/** @file sock.h @brief Options of connected TCP sockets. */
#ifndef APS_SOCK_H
#define APS_SOCK_H

#include <event2/util.h>

/** Sends small messages at once, and ends the connection if the peer does not
 * acknowledge data for some seconds. */
void sock_set_options(evutil_socket_t fd);
/** Makes the close of the socket a reset: what it carried may be incomplete. */
void sock_reset_on_close(evutil_socket_t fd);

#endif
