/**
 * @file memtable.h
 * @brief In-memory table with versioned rows and conditional transactions.
 */
#ifndef APS_MEMTABLE_H
#define APS_MEMTABLE_H

#include "proto/apricot.pb-c.h"

struct memtable;

/** Creates an empty table. */
struct memtable *memtable_create(void);

/** Frees a table; NULL is allowed. */
void memtable_destroy(struct memtable *table);

/**
 * Executes a request.
 *
 * @return the reply; aps__table_reply__free_unpacked() it
 */
Aps__TableReply *memtable_request(struct memtable *table,
				  const Aps__TableRequest *request);

#endif
