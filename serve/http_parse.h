/**
 * @file http_parse.h
 * @brief Turns a caller's request into a message; no I/O.
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
	HTTP_PARSE_DEFAULT_TIMEOUT_MS =
		120000, /**< of a call that states none */
	HTTP_PARSE_DEFAULT_MAX_TOKENS =
		1024, /**< output limit of a call without one */
	HTTP_PARSE_MAX_TOKENS_LIMIT = 65536,
};

/** The parts of a caller's request; absent headers are NULL. */
struct http_parse_input {
	const char *authorization;
	const char *program; /**< X-Program, or from the path */
	const char *turn;
	const char *budget;
	const char *parent;
	const char *timeout_ms;
	const char *idempotency_key;
	const char *service; /**< name of a plain service, or NULL */
	bool end;	     /**< ends the program */
	const char *body;
	size_t body_len;
};

/** The message made of it. Owns its strings. */
struct http_parse_result {
	Aps__Request request;
	uint32_t deadline_ms;
	bool stream;
	char *account;
	char *program;
	char *parent;
	char *target;
	GByteArray *body;
	uint8_t key_hash[RUL_HASH_BYTES];
	uint8_t body_hash[RUL_HASH_BYTES];
};

/**
 * Parses a call.
 *
 * @param input  what came
 * @param rules  rules in force
 * @param unique name for a call that keeps no record
 * @param status receives the HTTP status of a refusal
 * @param reason receives the reason of a refusal, a constant
 * @return the call, or NULL if it is refused
 */
struct http_parse_result *
http_parse_request(const struct http_parse_input *input,
		   const struct rules *rules, const char *unique,
		   uint32_t *status, const char **reason);

/** Frees a call; NULL is allowed. */
void http_parse_free(struct http_parse_result *call);

#endif
