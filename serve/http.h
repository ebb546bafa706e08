/**
 * @file http.h
 * @brief HTTP server for callers and operators.
 */
#ifndef APS_HTTP_H
#define APS_HTTP_H

#include <civetweb.h>

#include "loop.h"
#include "settings.h"

struct http;

/** Starts to listen; calls are refused until http_serve(). */
struct http *http_create(const struct settings *settings, GString *errors);

/** Returns the server, so that further handlers can be added. */
struct mg_context *http_context(struct http *http);

/** Serves calls through @p loop. */
void http_serve(struct http *http, struct loop *loop);

/** Publishes a copy of new rules to the threads that serve callers. */
void http_set_rules(void *arg, const struct rules *rules);

/** Ends the threads; call when the loop is drained. */
void http_stop(struct http *http);

/** Frees the server; NULL is allowed. */
void http_destroy(struct http *http);

#endif
