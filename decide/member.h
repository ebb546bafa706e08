/**
 * @file member.h
 * @brief Membership: which instances are live and which shards they hold.
 */
#ifndef APS_MEMBER_H
#define APS_MEMBER_H

#include "node_int.h"

enum {
	/** Interval between polls of the table for changes, in ms. */
	MEMBER_POLL_MS = 500,
};

/** Creates the membership view; it holds no shard. */
struct membership *member_create(struct node *node);

/** Frees the view; NULL is allowed. */
void member_destroy(struct membership *member);

/** Polls the table, claims shards and hands them over. */
void member_tick(struct membership *member);

/** Polls as soon as the minimum poll interval allows. */
void member_poll_soon(struct membership *member);

/** Returns whether this node serves @p shard under a valid lease. */
bool member_holds_shard(const struct membership *member, int shard);

/** Returns whether @p shard is to be handed over and takes no new turns. */
bool member_is_draining_shard(const struct membership *member, int shard);

/** Returns the last known epoch of @p shard, 0 if it was never held. */
uint64_t member_epoch(const struct membership *member, int shard);

/** Returns the id of the holder of @p shard, or NULL. */
const char *member_holder(const struct membership *member, int shard);

/** Returns the address of instance @p id, or NULL. */
const char *member_addr(const struct membership *member, const char *id);

/** Returns the incarnation of the holder of @p shard, 0 if there is none. */
uint64_t member_holder_incarnation(const struct membership *member, int shard);

/** Returns whether that incarnation of @p id may still hold its lease. */
bool member_is_alive(const struct membership *member, const char *id,
		     uint64_t incarnation);

/** Returns the number of shards that this node holds or is claiming. */
int member_shards_held(const struct membership *member);

/** Returns whether the rules in force are known to be up to date. */
bool member_has_current_rules(const struct membership *member);

#endif
