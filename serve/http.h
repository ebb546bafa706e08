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

/**
 * Starts listening; calls are answered with 503 until http_serve().
 *
 * @param errors receives the reason of a failure
 * @return NULL on failure
 */
struct http *http_create(const struct settings *settings, GString *errors);

/** Returns the CivetWeb context, to register further handlers. */
struct mg_context *http_context(struct http *http);

/** Starts serving calls, which are passed to @p loop. */
void http_serve(struct http *http, struct loop *loop);

/** Publishes a copy of new rules to the worker threads; a loop_rules_fn. */
void http_set_rules(void *arg, const struct rules *rules);

/** Stops the worker threads; call after the loop is drained. */
void http_stop(struct http *http);

/** Frees the server; NULL is allowed. */
void http_destroy(struct http *http);

#endif
