/**
 * @file rules.h
 * @brief The operators' rules: one parsed, validated and immutable revision.
 *
 * Syntax: one rule per line, `KEYWORD NAME [FIELD VALUE]... # WHO: why`.
 */
#ifndef APS_RULES_H
#define APS_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum {
	RULES_HASH_BYTES = 32,	  /**< size of a SHA-256 digest */
	RULES_TEXT_MAX = 1 << 20, /**< maximum length of the rules, in bytes */
	RULES_NAME_MAX = 64,	  /**< maximum length of a name, in bytes */
};

/** The account for requests to targets that need no key. */
#define RULES_OPEN_ACCOUNT "open"

/** A client account. */
struct rules_account {
	char *name;
	int line;
	double rate;  /**< requests per second, over all instances */
	double burst; /**< requests */
	double share; /**< weight in fair queueing */
};

/** An API key of a client account. */
struct rules_key {
	uint8_t hash[RULES_HASH_BYTES];
	char *account;
	int line;
};

/** A model or plain service that callers can request. */
struct rules_target {
	char *name;
	char *pool;
	int line;
	bool is_model;
	bool repeatable; /**< idempotent: may run more than once */
	bool open;	 /**< requires no API key */
};

/** A backend server. */
struct rules_server {
	char *name;
	char *pool;
	char *zone;
	char *addr; /**< HOST:PORT */
	int line;
	uint32_t max; /**< maximum concurrent requests when warm */
	bool fencing; /**< rejects requests with an old fencing token */
	bool out;     /**< out of service: gets no new requests */
	int out_line; /**< line of the rule that took it out of service */
};

/** One revision of the rules. */
struct rules {
	uint64_t revision;
	char *text;
	GPtrArray *accounts; /**< struct rules_account */
	GPtrArray *keys;     /**< struct rules_key */
	GPtrArray *targets;  /**< struct rules_target */
	GPtrArray *servers;  /**< struct rules_server */
	int limit_line;	     /**< line of the limits, 0 for the defaults */
	uint32_t turns_max;  /**< maximum number of turns of a program */
	uint32_t idle_s;     /**< seconds without a call until a program ends */
	uint64_t budget;     /**< default token budget of a program */
};

/**
 * Parses and validates rules.
 *
 * @param text     the rules, at most RULES_TEXT_MAX bytes
 * @param revision number of this revision
 * @param name     file name for messages
 * @param errors   receives one "file:line: message" line per error
 * @return the rules, or NULL if there is any error
 */
struct rules *rules_parse(const char *text, uint64_t revision, const char *name,
			  GString *errors);

/** Frees rules; NULL is allowed. */
void rules_destroy(struct rules *rules);

/** Returns whether @p name is 1 to RULES_NAME_MAX letters, digits and -_. */
bool rules_name_is_valid(const char *name);

/** Returns the account @p name, or NULL. */
const struct rules_account *rules_account(const struct rules *rules,
					  const char *name);

/** Returns the key with the digest @p hash, or NULL; runs in constant time. */
const struct rules_key *rules_key(const struct rules *rules,
				  const uint8_t *hash);

/** Returns the model or service @p name, or NULL. */
const struct rules_target *rules_target(const struct rules *rules,
					const char *name);

/** Returns the server @p name, or NULL. */
const struct rules_server *rules_server(const struct rules *rules,
					const char *name);

/** Returns line @p line (from 1) of the text, or NULL; g_free() it. */
char *rules_line_text(const struct rules *rules, int line);

#endif
