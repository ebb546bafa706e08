/**
 * @file tableclient.h
 * @brief Blocking client for the table, for the command line.
 */
#ifndef APS_TABLECLIENT_H
#define APS_TABLECLIENT_H

#include <glib.h>

#include "proto/apricot.pb-c.h"

/**
 * Sends @p request to the table at @p platform and waits for the reply.
 *
 * @param errors receives the URL and the reason of a failure
 * @return the reply, or NULL; aps__table_reply__free_unpacked() it
 */
Aps__TableReply *tableclient_request(const char *platform,
				     const Aps__TableRequest *request,
				     GString *errors);

/** Reads one row. @return a reply with one row or none, NULL on failure */
Aps__TableReply *tableclient_get(const char *platform, const char *key,
				 GString *errors);

/** Returns the text at a URL, NULL on failure; g_free() it. */
char *tableclient_fetch(const char *url, GString *errors);

#endif
