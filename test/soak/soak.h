/**
 * @file soak.h
 * @brief What the parts of the soak share.
 */
#ifndef APS_SOAK_H
#define APS_SOAK_H

#include <stdbool.h>

#include <glib.h>

enum {
	SOAK_GATEWAYS = 3,
};

/** One request and its outcome. */
struct soak_request {
	char *id;
	char *input;
	char *expected_body; /**< body that a server has to receive */
	int status;	     /**< 0: no complete response */
	bool resumable;	     /**< it may run more than once */
};

/** Reports that a check failed. */
void soak_fail(const char *format, ...) G_GNUC_PRINTF(1, 2);

#endif
