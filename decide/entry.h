/**
 * @file entry.h
 * @brief Calls received by this instance: forwards them to the program's owner
 * and returns the responses.
 */
#ifndef APS_ENTRY_H
#define APS_ENTRY_H

#include "node_int.h"

/** Creates an entry with no calls. */
struct entry *entry_create(struct node *node);

/** Frees it without answering its calls; NULL is allowed. */
void entry_destroy(struct entry *entry);

/** Starts a call. @return its id */
uint64_t entry_start_call(struct entry *entry, const struct node_call *call);

/** The caller has disconnected: cancels its call. */
void entry_cancel_call(struct entry *entry, uint64_t call_id);

/** Handles a part of a response from an owner. */
void entry_on_chunk(struct entry *entry, const Aps__CallChunk *chunk);

/** Handles a result, or a "not the owner" reply, from that incarnation. */
void entry_on_done(struct entry *entry, uint64_t incarnation,
		   const Aps__CallDone *done);

/** Resends calls, and fails those whose deadline has passed. */
void entry_tick(struct entry *entry);

/** Fails the calls whose key the new rules no longer allow. */
void entry_on_rules(struct entry *entry);

/** Returns the number of calls in progress. */
size_t entry_call_count(const struct entry *entry);

#endif
