/**
 * @file rules.h
 * @brief The operators' rules: one revision, parsed, checked and immutable.
 *
 * Source text: one rule a line, `KEYWORD NAME [FIELD VALUE]... # WHO: why`.
 */
#ifndef APS_RULES_H
#define APS_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

enum {
	RULES_HASH_BYTES = 32,	  /**< length of a SHA-256 digest */
	RULES_TEXT_MAX = 1 << 20, /**< longest rules text, in bytes */
	RULES_NAME_MAX = 64,	  /**< longest name, in bytes */
};

/** The account under which routes open to all run. */
#define RULES_OPEN_ACCOUNT "open"

/** A client account. */
struct rules_account {
	char *name;
	int line;
	double rate;  /**< requests a second, across all instances */
	double burst; /**< requests */
	double share; /**< weight in fair queueing */
};

/** A key of a client account. */
struct rules_key {
	uint8_t hash[RULES_HASH_BYTES];
	char *account;
	int line;
};

/** A model or plain service that callers can name. */
struct rules_target {
	char *name;
	char *pool;
	int line;
	bool is_model;
	bool repeatable; /**< a second run does no harm */
	bool open;	 /**< needs no key */
};

/** A backend server. */
struct rules_server {
	char *name;
	char *pool;
	char *zone;
	char *addr; /**< HOST:PORT */
	int line;
	uint32_t max; /**< most requests it can run at once when warm */
	bool fencing; /**< refuses orders with an old fencing token */
	bool out;     /**< takes no new work */
	int out_line; /**< line of the rule that took it out */
};

/** One revision of the rules. */
struct rules {
	uint64_t revision;
	char *text;
	GPtrArray *accounts; /**< struct rules_account */
	GPtrArray *keys;     /**< struct rules_key */
	GPtrArray *targets;  /**< struct rules_target */
	GPtrArray *servers;  /**< struct rules_server */
	int limit_line;	     /**< line of the limits, 0 if they are preset */
	uint32_t turns_max;  /**< most turns of a program */
	uint32_t idle_s; /**< seconds without a call before a program ends */
	uint64_t budget; /**< tokens of a program that names no budget */
};

/**
 * Parses and checks rules.
 *
 * @param text     the rules, at most RULES_TEXT_MAX bytes
 * @param revision number of this revision
 * @param name     file name for messages
 * @param errors   receives one "file:line: fault" line for each fault
 * @return the rules, or NULL if there is any fault
 */
struct rules *rules_parse(const char *text, uint64_t revision, const char *name,
			  GString *errors);

/** Frees rules; NULL is allowed. */
void rules_destroy(struct rules *rules);

/** Returns whether @p name is letters, digits and -_. within its length. */
bool rules_name_is_valid(const char *name);

/** Returns the account @p name, or NULL. */
const struct rules_account *rules_account(const struct rules *rules,
					  const char *name);

/** Returns the key with the digest @p hash, or NULL; time is constant. */
const struct rules_key *rules_key(const struct rules *rules,
				  const uint8_t *hash);

/** Returns the model or service @p name, or NULL. */
const struct rules_target *rules_target(const struct rules *rules,
					const char *name);

/** Returns the server @p name, or NULL. */
const struct rules_server *rules_server(const struct rules *rules,
					const char *name);

/** Returns line @p line (from 1) of the source; free with g_free(). */
char *rules_line_text(const struct rules *rules, int line);

#endif
