/**
 * @file conn.h
 * @brief Connections of callers to a listener on the same event loop.
 */
#ifndef APS_TEST_CONN_H
#define APS_TEST_CONN_H

#include <stdbool.h>

#include <event2/event.h>

/** Where the listener of a test listens. */
#define CONN_ADDRESS "127.0.0.1:18490"
enum {
	CONN_PORT = 18490,
};

/** Runs the event loop for @p ms. */
void conn_run(struct event_base *base, int ms);
/** Returns a new connection to a port of the loopback address. */
int conn_open(int port);
/** Sends a text. */
void conn_send(int fd, const char *text);
/** Sends a text on a new connection and returns what that received, in a buffer
 * that the next call reuses; @p closed: the connection was closed. */
char *conn_exchange(struct event_base *base, int port, const char *text,
		    bool *closed);
/** Runs the loop, and checks that the connection gets a 200 response. */
void conn_assert_served(struct event_base *base, int fd);

#endif
