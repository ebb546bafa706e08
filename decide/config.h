/**
 * @file config.h
 * @brief Fetches new revisions of the rules; never applies an older one.
 */
#ifndef APS_CONFIG_H
#define APS_CONFIG_H

#include "node_int.h"

enum {
	/** Rules not verified to be the newest for this long are stale, in ms.
	 */
	CFG_STALE_MS = 4000,
};

/** Creates it; no rules are in force yet. */
struct config *cfg_create(struct node *node);

/** Frees it; NULL is allowed. */
void cfg_destroy(struct config *config);

/** Handles the row that names the newest revision. */
void cfg_on_head_row(struct config *config, const Aps__Row *row);

/** A poll sent at @p sent_ms has returned all revisions up to then. */
void cfg_on_poll(struct config *config, int64_t sent_ms);

/** Returns whether the rules were verified to be the newest recently. */
bool cfg_is_current(const struct config *config);

/** Fetches the newest revision if it is not in force yet. */
void cfg_tick(struct config *config);

/** Returns the account that @p request is authorized for, or NULL. */
const struct rules_account *cfg_authorize(const struct rules *rules,
					  const Aps__Request *request);

#endif
