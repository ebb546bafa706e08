/**
 * @file badbytes.h
 * @brief Bytes in the soak that are no request, from callers, or no response,
 * from servers.
 */
#ifndef APS_SOAK_BADBYTES_H
#define APS_SOAK_BADBYTES_H

#include <event2/event.h>

#include "decide/rng.h"
#include "servers.h"

struct bad_bytes;

struct badbytes_config {
	struct event_base *base;
	struct servers *servers;
	int port; /**< of the first gateway; see SOAK_ADDRESS_STEP */
	uint64_t seed;
};

struct bad_bytes *badbytes_create(const struct badbytes_config *config);
/** Closes all connections. */
void badbytes_destroy(struct bad_bytes *bad);
/** Perhaps sends bytes to a gateway that can't begin a request, behind one, or
 * makes a server send bytes that are no response, or a response twice. */
void badbytes_inject(struct bad_bytes *bad);
/** Prints how much was injected. */
void badbytes_print(const struct bad_bytes *bad);

#endif
