/**
 * @file tableserver.h
 * @brief Serves an in-memory table and objects over HTTP.
 *
 * Used by instances with an embedded platform and by the stand-in. POST /table
 * takes an Aps__TableRequest and returns an Aps__TableReply; /objects/NAME
 * accepts PUT and GET.
 */
#ifndef APS_TABLESERVER_H
#define APS_TABLESERVER_H

#include <civetweb.h>

struct tableserver;

/** Creates an empty table and registers its handlers with @p ctx. */
struct tableserver *tableserver_create(struct mg_context *ctx);

/** Frees the server; call after mg_stop(). NULL is allowed. */
void tableserver_destroy(struct tableserver *server);

#endif
