/**
 * @file member.h
 * @brief Membership: who is live, and who holds which shard.
 */
#ifndef APS_MEMBER_H
#define APS_MEMBER_H

#include "node_int.h"

enum {
	/** Time between polls of the table for changes, in ms. */
	MEMBER_POLL_MS = 500,
};

/** Creates the view; it holds no shard. */
struct member *member_create(struct node *node);

/** Frees the view; NULL is allowed. */
void member_destroy(struct member *member);

/** Polls, claims, hands over. */
void member_tick(struct member *member);

/** Polls at the next tick. */
void member_poll_soon(struct member *member);

/** Returns whether this node decides for @p shard now. */
bool member_holds_shard(const struct member *member, int shard);

/** Returns whether the holder of @p shard is about to pass it on. */
bool member_is_draining_shard(const struct member *member, int shard);

/** Returns the epoch of @p shard as last seen, 0 if nobody held it. */
uint64_t member_shard_epoch(const struct member *member, int shard);

/** Returns the id of the holder of @p shard, or NULL. */
const char *member_shard_holder(const struct member *member, int shard);

/** Returns the address of instance @p id, or NULL. */
const char *member_addr(const struct member *member, const char *id);

/** Returns the incarnation of the holder of @p shard, 0 if nobody holds it. */
uint64_t member_holder_incarnation(const struct member *member, int shard);

/** Returns whether that incarnation of instance @p id may still act. */
bool member_is_alive(const struct member *member, const char *id,
		     uint64_t incarnation);

/** Returns the number of shards held. */
int member_shards_held(const struct member *member);

/** Returns whether the rules in force can be trusted to be the newest. */
bool member_has_current_rules(const struct member *member);

#endif
