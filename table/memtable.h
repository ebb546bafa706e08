/**
 * @file memtable.h
 * @brief A transactional table in memory: conditions, puts, versions.
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
 * Carries out a request.
 *
 * @return the reply; aps__table_reply__free_unpacked() it
 */
Aps__TableReply *memtable_request(struct memtable *table,
				  const Aps__TableRequest *request);

#endif
