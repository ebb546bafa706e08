/**
 * @file server_limits.h
 * @brief Rate limits that backend servers name in their responses.
 *
 * A server in need names the requests a second that it takes from all instances
 * together, in each response for as long as the limit holds. A response without
 * it ends the limit only if its request was sent after the limit was last
 * named: responses on several connections may overtake each other.
 */
#ifndef APS_SERVER_LIMITS_H
#define APS_SERVER_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

/** The limits of all servers, as far as this instance knows them. */
struct slim;

/** What is known of a server's limit. */
struct slim_limit {
	bool named;	  /**< false: the server names none any more */
	double per_s;	  /**< requests a second, of all instances */
	int64_t as_of_ms; /**< when the server said so */
};

struct slim *slim_create(void);
void slim_destroy(struct slim *slim);

/**
 * Handles a response that names @p per_s requests a second.
 *
 * @return whether that is news
 */
bool slim_on_named(struct slim *slim, const char *server, double per_s,
		   int64_t now);
/**
 * Handles a response that names no limit.
 *
 * @param sent_ms when its request was sent
 * @return whether that is news
 */
bool slim_on_unnamed(struct slim *slim, const char *server, int64_t sent_ms);
/** Returns false if the server has never named a limit. */
bool slim_get(const struct slim *slim, const char *server,
	      struct slim_limit *limit);

#endif
