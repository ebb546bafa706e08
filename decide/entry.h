/**
 * @file entry.h
 * @brief Calls of this instance's callers: finds the owner, passes answers on.
 */
#ifndef APS_ENTRY_H
#define APS_ENTRY_H

#include "node_int.h"

/** Creates an entry without calls. */
struct entry *ent_create(struct node *node);

/** Frees it without answering; NULL is allowed. */
void ent_destroy(struct entry *entry);

/** Starts a call. @return its id */
uint64_t ent_start(struct entry *entry, const struct nod_call *call);

/** The caller has gone. */
void ent_cancel(struct entry *entry, uint64_t call_id);

/** A part of an answer came from an owner. */
void ent_on_chunk(struct entry *entry, const Aps__CallChunk *chunk);

/** An owner, in @p incarnation, ends a call or does not hold the program. */
void ent_on_done(struct entry *entry, uint64_t incarnation,
		 const Aps__CallDone *done);

/** Sends again, and ends what is past its deadline. */
void ent_tick(struct entry *entry);

/** Ends calls whose key is no longer valid. */
void ent_on_rules(struct entry *entry);

/** Returns the number of calls under way. */
size_t ent_calls(const struct entry *entry);

#endif
