/**
 * @file raw.h
 * @brief A server and a caller that write and read raw bytes.
 *
 * What a parser would hide is seen: which bytes a caller gets, and how its
 * connection ends.
 */
#ifndef APS_TEST_RAW_H
#define APS_TEST_RAW_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/event.h>
#include <glib.h>

/** How a server's connection ends once the answer is written. */
enum raw_end {
	RAW_KEEP,  /**< not at all */
	RAW_CLOSE, /**< in order */
	RAW_RESET,
};

/** What a server sends on each connection, once it has got a request's header.
 * "%ID%" stands for the Request-Id of that request. */
struct raw_answer {
	const char *bytes;
	enum raw_end end;
	bool reads; /**< the whole request, before it answers */
	int end_ms; /**< from the answer to the end */
};

/** A server; it answers what is set last. */
struct raw_server;
/** @return NULL if it can't listen on @p address, HOST:PORT */
struct raw_server *raw_server_create(struct event_base *base,
				     const char *address);
void raw_server_destroy(struct raw_server *server);
void raw_server_set(struct raw_server *server, const struct raw_answer *answer);
/** Returns the number of requests whose header was received. */
guint raw_server_received(const struct raw_server *server);

/** Returns the number of connections that their peers have reset, or closed. */
guint raw_server_ended(const struct raw_server *server, bool reset);

/** What a caller got. */
struct raw_response {
	GString *bytes;
	bool ended; /**< its connection */
	bool reset;
};

/** Sends @p request to @p address over a new connection, and reads until it
 * ends or @p ms are over; raw_response_clear() the response. */
void raw_request(struct event_base *base, const char *address,
		 const GString *request, int ms, struct raw_response *response);
void raw_response_clear(struct raw_response *response);
/**
 * Whether a caller would take what it got for a complete answer.
 *
 * @param body receives the body without its framing; or NULL
 */
bool raw_is_complete(const struct raw_response *response, GString *body);

#endif
