/** @file input.c @brief Bytes that have been received and not been parsed. */
#include <errno.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "input.h"

static bool has_buffered_input(struct bufferevent *bev)
{
	return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

/* Returns what recv() would, without taking anything from the socket. */
static ssize_t peek_socket(struct bufferevent *bev)
{
	char byte;

	return recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool input_is_pending(struct bufferevent *bev)
{
	return has_buffered_input(bev) || peek_socket(bev) > 0;
}

bool input_is_quiet(struct bufferevent *bev)
{
	return !has_buffered_input(bev) && peek_socket(bev) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}
