/** @file input.c @brief Bytes that have been received and not been parsed. */
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "input.h"

bool input_is_pending(struct bufferevent *bev)
{
	char byte;

	return evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
	       recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
		       0;
}
