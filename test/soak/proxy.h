/**
 * @file proxy.h
 * @brief Fault-injecting TCP proxy on loopback.
 */
#ifndef APS_SOAK_PROXY_H
#define APS_SOAK_PROXY_H

#include <event2/event.h>

/** What the proxy does with bytes and connections. */
enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,	    /**< delays bytes in both directions */
	PROXY_BLACKHOLE,    /**< drops all bytes and closes nothing */
	PROXY_DROP_REPLIES, /**< drops the bytes from the target */
	PROXY_RESET,	    /**< closes all connections, and new ones at once */
	PROXY_MODE_COUNT,
};

struct proxy;

/** Forwards connections to @p address to @p target, both HOST:PORT. @return
 * NULL if it can't listen */
struct proxy *proxy_create(struct event_base *base, const char *address,
			   const char *target);
void proxy_destroy(struct proxy *proxy);
/** Changes the mode for all connections. A connection that has dropped bytes
 * forwards nothing more in any mode, since its stream would have a gap. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
/** Closes the present connections, whatever the mode. */
void proxy_cut(struct proxy *proxy);

#endif
