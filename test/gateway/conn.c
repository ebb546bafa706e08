/** @file conn.c @brief Connections of callers. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "conn.h"

void conn_run(struct event_base *base, int ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (ms % 1000) * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

int conn_open(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

void conn_send(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

char *conn_exchange(struct event_base *base, int port, const char *text,
		    bool *closed)
{
	static char response[8192];
	int fd = conn_open(port);
	size_t n = 0;
	ssize_t received = -1;

	conn_send(fd, text);
	*closed = false;
	for (int i = 0; i < 20 && !*closed; i++) {
		conn_run(base, 3);
		while (n < sizeof(response) - 1 &&
		       (received =
				recv(fd, response + n, sizeof(response) - 1 - n,
				     MSG_DONTWAIT)) > 0)
			n += (size_t)received;
		*closed = received == 0;
	}
	response[n] = '\0';
	close(fd);
	conn_run(base, 3);
	return response;
}

void conn_assert_served(struct event_base *base, int fd)
{
	char response[256];
	ssize_t n;

	conn_run(base, 50);
	n = recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT);
	response[MAX(n, 0)] = '\0';
	assert_true(g_str_has_prefix(response, "HTTP/1.1 200 "));
}
