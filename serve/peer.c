/** @file peer.c @brief Connections between instances. */
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "peer.h"

enum {
	PEER_READ_BYTES = 65536,
	PEER_BACKLOG = 64,
};

/* A connection; only connections to a peer are used for sending. */
struct conn {
	int fd;
	char *addr; /* peer address, or NULL if the connection was accepted */
	GByteArray *in;
	GByteArray *out;
};

struct peers {
	int listener;
	GPtrArray *conns; /* struct conn */
	peer_frame_fn fn;
	void *arg;
};

static void conn_free(void *p)
{
	struct conn *conn = p;

	(void)close(conn->fd);
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_free(conn->addr);
	g_free(conn);
}

static struct conn *conn_add(struct peers *peers, int fd, const char *addr)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->fd = fd;
	conn->addr = g_strdup(addr);
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	g_ptr_array_add(peers->conns, conn);
	return conn;
}

static struct addrinfo *resolve(const char *addr, bool passive)
{
	struct addrinfo hints = {.ai_socktype = SOCK_STREAM,
				 .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV |
					     (passive ? AI_PASSIVE : 0)};
	const char *colon = strrchr(addr, ':');
	struct addrinfo *found = NULL;
	char *host;

	if (colon == NULL)
		return NULL;
	host = g_strndup(addr, (gsize)(colon - addr));
	if (getaddrinfo(host, colon + 1, &hints, &found) != 0)
		found = NULL;
	g_free(host);
	return found;
}

static bool set_nonblocking(int fd)
{
	int flags = fcntl(fd, F_GETFL);
	int one = 1;

	if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0 ||
	    fcntl(fd, F_SETFD, FD_CLOEXEC) < 0)
		return false;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return true;
}

static int listen_on(const char *addr, GString *errors)
{
	struct addrinfo *ai = resolve(addr, true);
	int one = 1;
	int fd = -1;

	if (ai == NULL) {
		g_string_append_printf(
			errors, "peer %s: not a numeric HOST:PORT address\n",
			addr);
		return -1;
	}
	fd = socket(ai->ai_family, ai->ai_socktype, ai->ai_protocol);
	if (fd < 0)
		goto fail;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) < 0 ||
	    bind(fd, ai->ai_addr, ai->ai_addrlen) < 0 ||
	    listen(fd, PEER_BACKLOG) < 0 || !set_nonblocking(fd))
		goto fail;
	freeaddrinfo(ai);
	return fd;
fail:
	g_string_append_printf(errors, "peer %s: %s\n", addr, strerror(errno));
	if (fd >= 0)
		(void)close(fd);
	freeaddrinfo(ai);
	return -1;
}

struct peers *peer_create(const char *addr, peer_frame_fn fn, void *arg,
			  GString *errors)
{
	int listener = listen_on(addr, errors);
	struct peers *peers;

	if (listener < 0)
		return NULL;
	peers = g_new0(struct peers, 1);
	peers->listener = listener;
	peers->conns = g_ptr_array_new_with_free_func(conn_free);
	peers->fn = fn;
	peers->arg = arg;
	return peers;
}

void peer_destroy(struct peers *peers)
{
	if (peers == NULL)
		return;
	(void)close(peers->listener);
	g_ptr_array_unref(peers->conns);
	g_free(peers);
}

static struct conn *connect_to(struct peers *peers, const char *addr)
{
	struct addrinfo *ai = resolve(addr, false);
	int fd;

	if (ai == NULL)
		return NULL;
	fd = socket(ai->ai_family, ai->ai_socktype, ai->ai_protocol);
	if (fd < 0 || !set_nonblocking(fd) ||
	    (connect(fd, ai->ai_addr, ai->ai_addrlen) < 0 &&
	     errno != EINPROGRESS)) {
		if (fd >= 0)
			(void)close(fd);
		freeaddrinfo(ai);
		return NULL;
	}
	freeaddrinfo(ai);
	return conn_add(peers, fd, addr);
}

static struct conn *find_or_connect(struct peers *peers, const char *addr)
{
	for (guint i = 0; i < peers->conns->len; i++) {
		struct conn *conn = peers->conns->pdata[i];

		if (conn->addr != NULL && strcmp(conn->addr, addr) == 0)
			return conn;
	}
	return connect_to(peers, addr);
}

/* Writes queued bytes. @return false if the connection is broken */
static bool flush_output(struct conn *conn)
{
	while (conn->out->len > 0) {
		ssize_t n = send(conn->fd, conn->out->data, conn->out->len,
				 MSG_NOSIGNAL);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR ||
			       errno == ENOTCONN;
		g_byte_array_remove_range(conn->out, 0, (guint)n);
	}
	return true;
}

void peer_send(struct peers *peers, const char *addr, const uint8_t *buf,
	       size_t len)
{
	struct conn *conn = find_or_connect(peers, addr);
	uint8_t prefix[PEER_PREFIX_BYTES] = {(uint8_t)(len >> 24),
					     (uint8_t)(len >> 16),
					     (uint8_t)(len >> 8), (uint8_t)len};

	if (conn == NULL || len > PEER_FRAME_MAX_BYTES ||
	    conn->out->len + len > PEER_QUEUE_MAX_BYTES)
		return;
	g_byte_array_append(conn->out, prefix, sizeof(prefix));
	g_byte_array_append(conn->out, buf, (guint)len);
	if (!flush_output(conn))
		g_ptr_array_remove_fast(peers->conns, conn);
}

bool peer_parse_frames(GByteArray *in, peer_frame_fn fn, void *arg)
{
	guint pos = 0;

	while (in->len - pos >= PEER_PREFIX_BYTES) {
		const uint8_t *p = in->data + pos;
		uint32_t len = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
			       (uint32_t)p[2] << 8 | p[3];

		if (len > PEER_FRAME_MAX_BYTES)
			return false;
		if (in->len - pos - PEER_PREFIX_BYTES < len)
			break;
		fn(arg, p + PEER_PREFIX_BYTES, len);
		pos += PEER_PREFIX_BYTES + len;
	}
	if (pos > 0)
		g_byte_array_remove_range(in, 0, pos);
	return true;
}

/* Reads once. @return false if the connection must be closed */
static bool receive_input(struct peers *peers, struct conn *conn)
{
	uint8_t buf[PEER_READ_BYTES];
	ssize_t n = recv(conn->fd, buf, sizeof(buf), 0);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	if (n == 0)
		return false;
	g_byte_array_append(conn->in, buf, (guint)n);
	if (peer_parse_frames(conn->in, peers->fn, peers->arg))
		return true;
	log_line(LOG_LEVEL_WARNING, "peer: %s: frame is too long",
		 conn->addr != NULL ? conn->addr : "accepted connection");
	return false;
}

static void accept_all(struct peers *peers)
{
	int fd;

	while ((fd = accept(peers->listener, NULL, NULL)) >= 0) {
		if (set_nonblocking(fd))
			(void)conn_add(peers, fd, NULL);
		else
			(void)close(fd);
	}
}

GArray *peer_fds(struct peers *peers)
{
	GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	struct pollfd fd = {.fd = peers->listener, .events = POLLIN};

	g_array_append_val(fds, fd);
	for (guint i = 0; i < peers->conns->len; i++) {
		const struct conn *conn = peers->conns->pdata[i];

		fd.fd = conn->fd;
		fd.events = POLLIN;
		if (conn->out->len > 0)
			fd.events |= POLLOUT;
		g_array_append_val(fds, fd);
	}
	return fds;
}

static struct conn *find_by_fd(struct peers *peers, int fd)
{
	for (guint i = 0; i < peers->conns->len; i++) {
		struct conn *conn = peers->conns->pdata[i];

		if (conn->fd == fd)
			return conn;
	}
	return NULL;
}

static void handle_conn(struct peers *peers, const struct pollfd *fd)
{
	struct conn *conn = find_by_fd(peers, fd->fd);
	bool ok = true;

	if (conn == NULL || fd->revents == 0)
		return;
	if (fd->revents & POLLOUT)
		ok = flush_output(conn);
	if (ok && fd->revents & (POLLIN | POLLHUP | POLLERR))
		ok = receive_input(peers, conn);
	/* The frame callback may have closed the connection. */
	if (!ok && find_by_fd(peers, fd->fd) == conn)
		g_ptr_array_remove_fast(peers->conns, conn);
}

void peer_process(struct peers *peers, const struct pollfd *fds, guint n)
{
	if (n == 0)
		return;
	for (guint i = 1; i < n; i++)
		handle_conn(peers, &fds[i]);
	if (fds[0].revents & POLLIN)
		accept_all(peers);
}
