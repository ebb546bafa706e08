/**
 * @file entry.h
 * @brief Calls of this instance's callers: finds the owner, passes answers on.
 */
#ifndef APS_ENTRY_H
#define APS_ENTRY_H

#include "node_int.h"

/** Creates an entry without calls. */
struct entry *entry_create(struct node *node);

/** Frees it without answering; NULL is allowed. */
void entry_destroy(struct entry *entry);

/** Starts a call. @return its id */
uint64_t entry_start_call(struct entry *entry, const struct node_call *call);

/** The caller has gone. */
void entry_cancel_call(struct entry *entry, uint64_t call_id);

/** A part of an answer came from an owner. */
void entry_on_chunk(struct entry *entry, const Aps__CallChunk *chunk);

/** An owner, in @p incarnation, ends a call or does not hold the program. */
void entry_on_done(struct entry *entry, uint64_t incarnation,
		   const Aps__CallDone *done);

/** Sends again, and ends what is past its deadline. */
void entry_tick(struct entry *entry);

/** Ends calls whose key is no longer valid. */
void entry_on_rules(struct entry *entry);

/** Returns the number of calls under way. */
size_t entry_call_count(const struct entry *entry);

#endif
