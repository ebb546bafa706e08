/**
 * @file tableserver.h
 * @brief Serves a memory table, objects and an instance list over HTTP.
 *
 * Used by a process that runs with an embedded platform, and by the stand-in.
 * POST /table takes and returns protobuf; /objects/NAME takes PUT and GET.
 */
#ifndef APS_TABLESERVER_H
#define APS_TABLESERVER_H

#include <civetweb.h>

struct tableserver;

/** Adds the handlers to @p ctx under an empty table. */
struct tableserver *tableserver_create(struct mg_context *ctx);

/** Frees the table; call after mg_stop(). NULL is allowed. */
void tableserver_destroy(struct tableserver *server);

#endif
