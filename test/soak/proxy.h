/**
 * @file proxy.h
 * @brief A loopback proxy that harms the connections through it.
 */
#ifndef APS_SOAK_PROXY_H
#define APS_SOAK_PROXY_H

#include <event2/event.h>

/** What becomes of bytes and connections. */
enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,	    /**< bytes wait, both ways */
	PROXY_BLACKHOLE,    /**< nothing passes, nothing is closed */
	PROXY_DROP_REPLIES, /**< what comes back is lost */
	PROXY_RESET,	    /**< connections are closed at once */
	PROXY_MODE_COUNT,
};

struct proxy;

/** Carries connections to @p address on to @p target, both HOST:PORT. */
struct proxy *proxy_create(struct event_base *base, const char *address,
			   const char *target);
void proxy_destroy(struct proxy *proxy);
/** Changes the mode for all connections; those that were harmed stay silent
 * for good, as with a path that is lost. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

#endif
