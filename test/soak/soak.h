/**
 * @file soak.h
 * @brief What the parts of the soak share.
 */
#ifndef APS_SOAK_H
#define APS_SOAK_H

#include <stdbool.h>

#include <glib.h>

#include "serve/upstream.h"

enum {
	SOAK_GATEWAYS_MAX = 60,
	SOAK_ADDRESS_STEP = 10, /* ports of each gateway */
};

/** One request and its outcome. */
struct soak_request {
	char *id;
	char *input;
	char *expected_body; /**< body that a server has to receive */
	int status;	     /**< 0: no complete response */
	bool resumable;	     /**< it may run more than once */
	int gateway;	     /**< index, to which it was sent */
	bool to_earlier;     /**< that gateway runs the earlier build */
	guint sent_epoch;    /**< of the gateway, see gateways_epoch() */
	int64_t sent_ms;
	char *server; /**< that the response came from, or NULL */
	guint answered_epoch;
	int64_t answered_ms; /**< when its head was received */
};

/** Returns how many gateways there are. */
int soak_gateway_count(void);
/** Records that the request is sent to @p gateway. */
void soak_on_sent(struct soak_request *request, int gateway);
/** Records the head of the response. */
void soak_on_head(struct soak_request *request,
		  const struct upstream_head *head);
/** Reports that a check failed. */
void soak_fail(const char *format, ...) G_GNUC_PRINTF(1, 2);

#endif
