/**
 * @file http_parse.h
 * @brief Parses a caller's HTTP request into a request message; no I/O.
 */
#ifndef APS_HTTP_PARSE_H
#define APS_HTTP_PARSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "decide/rules.h"
#include "proto/apricot.pb-c.h"

enum {
	/** Timeout of a call without X-Timeout-Ms. */
	HTTP_PARSE_DEFAULT_TIMEOUT_MS = 120000,
	/** Output limit, in tokens, of a call without max_tokens. */
	HTTP_PARSE_DEFAULT_MAX_TOKENS = 1024,
	/** Largest accepted max_tokens. */
	HTTP_PARSE_MAX_TOKENS_LIMIT = 65536,
};

/** Parts of a caller's HTTP request; absent headers are NULL. */
struct http_parse_input {
	const char *authorization;
	const char *program; /**< X-Program, or taken from the path */
	const char *turn;
	const char *budget;
	const char *parent;
	const char *timeout_ms;
	const char *idempotency_key;
	const char *service; /**< name of a plain service, or NULL */
	bool end;	     /**< the request ends the program */
	const char *body;
	size_t body_len;
};

/** A parsed request. Owns its strings, which @ref request points to. */
struct http_parse_result {
	Aps__Request request;
	uint32_t deadline_ms; /**< time allowed for the call */
	bool stream;	      /**< the caller wants server-sent events */
	char *account;
	char *program;
	char *parent;
	char *target;
	GByteArray *body;
	uint8_t key_hash[RULES_HASH_BYTES];
	uint8_t body_hash[RULES_HASH_BYTES];
};

/**
 * Parses and authenticates a call.
 *
 * @param input     the HTTP request
 * @param rules     current rules
 * @param call_name unique name for a call without program or idempotency key
 * @param status    receives the HTTP status if the call is refused
 * @param reason    receives the reason if the call is refused, a constant
 * @return the call, or NULL if it is refused
 */
struct http_parse_result *
http_parse_request(const struct http_parse_input *input,
		   const struct rules *rules, const char *call_name,
		   uint32_t *status, const char **reason);

/** Frees a parsed request; NULL is allowed. */
void http_parse_free(struct http_parse_result *call);

#endif
