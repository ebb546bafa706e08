/**
 * @file tableclient.h
 * @brief One request to the table at a time, for the command line.
 */
#ifndef APS_TABLECLIENT_H
#define APS_TABLECLIENT_H

#include <glib.h>

#include "proto/apricot.pb-c.h"

/**
 * Sends @p request to the table at @p platform and waits.
 *
 * @param errors receives the step and the peer at which it failed
 * @return the reply, or NULL; aps__table_reply__free_unpacked() it
 */
Aps__TableReply *tableclient_request(const char *platform,
				     const Aps__TableRequest *request,
				     GString *errors);

/** Reads one row. @return the reply, with one row or none, or NULL */
Aps__TableReply *tableclient_get(const char *platform, const char *key,
				 GString *errors);

/** Fetches a URL as text; g_free() it. @return NULL on failure */
char *tableclient_fetch(const char *url, GString *errors);

#endif
