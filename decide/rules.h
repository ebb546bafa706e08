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
	RUL_HASH_BYTES = 32,	/**< length of a SHA-256 digest */
	RUL_TEXT_MAX = 1 << 20, /**< longest rules text, in bytes */
	RUL_NAME_MAX = 64,	/**< longest name, in bytes */
};

/** The account under which routes open to all run. */
#define RUL_OPEN_ACCOUNT "open"

/** A client account. */
struct rul_account {
	char *name;
	int line;
	double rate;  /**< requests a second, across all instances */
	double burst; /**< requests */
	double share; /**< weight in fair queueing */
};

/** A key of a client account. */
struct rul_key {
	uint8_t hash[RUL_HASH_BYTES];
	char *account;
	int line;
};

/** A model or plain service that callers can name. */
struct rul_target {
	char *name;
	char *pool;
	int line;
	bool is_model;
	bool repeatable; /**< a second run does no harm */
	bool open;	 /**< needs no key */
};

/** A backend server. */
struct rul_server {
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
	GPtrArray *accounts; /**< struct rul_account */
	GPtrArray *keys;     /**< struct rul_key */
	GPtrArray *targets;  /**< struct rul_target */
	GPtrArray *servers;  /**< struct rul_server */
	int limit_line;	     /**< line of the limits, 0 if they are preset */
	uint32_t turns_max;  /**< most turns of a program */
	uint32_t idle_s; /**< seconds without a call before a program ends */
	uint64_t budget; /**< tokens of a program that names no budget */
};

/**
 * Parses and checks rules.
 *
 * @param text     the rules, at most RUL_TEXT_MAX bytes
 * @param revision number of this revision
 * @param name     file name for messages
 * @param errors   receives one "file:line: fault" line for each fault
 * @return the rules, or NULL if there is any fault
 */
struct rules *rul_parse(const char *text, uint64_t revision, const char *name,
			GString *errors);

/** Frees rules; NULL is allowed. */
void rul_destroy(struct rules *rules);

/** Returns whether @p name is letters, digits and -_. within its length. */
bool rul_name_ok(const char *name);

/** Returns the account @p name, or NULL. */
const struct rul_account *rul_account(const struct rules *rules,
				      const char *name);

/** Returns the key with the digest @p hash, or NULL; time is constant. */
const struct rul_key *rul_key(const struct rules *rules, const uint8_t *hash);

/** Returns the model or service @p name, or NULL. */
const struct rul_target *rul_target(const struct rules *rules,
				    const char *name);

/** Returns the server @p name, or NULL. */
const struct rul_server *rul_server(const struct rules *rules,
				    const char *name);

/** Returns line @p line (from 1) of the source; free with g_free(). */
char *rul_line(const struct rules *rules, int line);

#endif
