/**
 * @file config.h
 * @brief Follows the revisions of the rules; never steps back.
 */
#ifndef APS_CONFIG_H
#define APS_CONFIG_H

#include "node_int.h"

enum {
	/** Time after which rules not known to be the newest are stale, in ms.
	 */
	CFG_STALE_MS = 4000,
};

/** Creates a follower; no rules are in force yet. */
struct config *cfg_create(struct node *node);

/** Frees it; NULL is allowed. */
void cfg_destroy(struct config *config);

/** Takes note of the row that names the newest revision. */
void cfg_on_head_row(struct config *config, const Aps__Row *row);

/** A poll that was sent at @p sent_ms has told of all revisions until then. */
void cfg_on_poll(struct config *config, int64_t sent_ms);

/** Returns whether the rules in force were the newest a short while ago. */
bool cfg_is_current(const struct config *config);

/** Fetches a revision that is not in force yet. */
void cfg_tick(struct config *config);

/** Returns the account that may use @p key_hash, or NULL. */
const struct rules_account *cfg_authorize(const struct rules *rules,
					  const Aps__Request *request);

#endif
