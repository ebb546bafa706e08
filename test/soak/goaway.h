/**
 * @file goaway.h
 * @brief Check of the soak: servers that announce their shutdown.
 */
#ifndef APS_SOAK_GOAWAY_H
#define APS_SOAK_GOAWAY_H

#include <glib.h>

struct goaway_result {
	guint announced; /**< by a server through a gateway, to a caller */
	guint late;
};

/**
 * Checks that no request reached a server that its caller sent too long after
 * the same gateway had passed on an announcement of that server, unless the
 * gateway was stopped or started again since.
 *
 * @param requests of struct soak_request
 * @param runs     request ids to GPtrArray of struct backend_run
 */
void goaway_check(const GPtrArray *requests, GHashTable *runs,
		  struct goaway_result *result);

#endif
