/**
 * @file config.h
 * @brief Follows the revisions of the rules; never steps back.
 */
#ifndef APS_CONFIG_H
#define APS_CONFIG_H

#include "node_int.h"

/** Creates a follower; no rules are in force yet. */
struct config *cfg_create(struct node *node);

/** Frees it; NULL is allowed. */
void cfg_destroy(struct config *config);

/** Takes note of the row that names the newest revision. */
void cfg_see_head(struct config *config, const Aps__Row *row);

/** Returns whether no newer revision has been known for long. */
bool cfg_current(const struct config *config);

/** Fetches a revision that is not in force yet. */
void cfg_tick(struct config *config);

/** Returns the account that may use @p key_hash, or NULL. */
const struct rul_account *cfg_authorize(const struct rules *rules,
					const Aps__Request *request);

#endif
