/**
 * @file proxy.h
 * @brief A loopback proxy that harms the connections through it.
 */
#ifndef APS_SOAK_PROXY_H
#define APS_SOAK_PROXY_H

#include <event2/event.h>

/** What becomes of bytes and connections. */
enum prx_mode {
	PRX_PASS,
	PRX_DELAY,   /**< bytes wait, both ways */
	PRX_SILENT,  /**< nothing passes, nothing is closed */
	PRX_ONE_WAY, /**< what comes back is lost */
	PRX_RESET,   /**< connections are closed at once */
	PRX_MODES,
};

struct prx;

/** Carries connections to @p address on to @p target, both HOST:PORT. */
struct prx *prx_create(struct event_base *base, const char *address,
		       const char *target);
void prx_destroy(struct prx *prx);
/** Changes the mode for all connections; those that were harmed stay silent
 * for good, as with a path that is lost. */
void prx_set_mode(struct prx *prx, enum prx_mode mode);

#endif
