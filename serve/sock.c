/** @file sock.c @brief TCP sockets: connecting, and options. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "sock.h"

enum {
	USER_TIMEOUT_MS = 5000, /* limit for unacknowledged data */
};

/* Both options only speed things up, so errors are ignored. */
void sock_set_options(evutil_socket_t fd)
{
	unsigned int ms = USER_TIMEOUT_MS;
	int one = 1;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

bool sock_connect(struct bufferevent *bev, const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	return evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
					  &len) == 0 &&
	       bufferevent_socket_connect(bev, (struct sockaddr *)&addr, len) ==
		       0;
}

bool sock_ended_in_order(struct bufferevent *bev, short what)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	/* An error of a write stands beside the end that a read has seen. */
	if (!(what & BEV_EVENT_EOF) || !(what & BEV_EVENT_READING) ||
	    (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return false;
	return getsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_INFO, &info,
			  &len) != 0 ||
	       info.tcpi_state != TCP_CLOSE;
}

void sock_reset_on_close(evutil_socket_t fd)
{
	struct linger linger = {.l_onoff = 1};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}
