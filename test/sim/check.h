/**
 * @file check.h
 * @brief The points that must always hold, from what the servers saw.
 */
#ifndef APS_CHECK_H
#define APS_CHECK_H

#include "test/sim/world.h"

enum {
	/** "A few seconds" and "within seconds" in the checks, in ms. */
	CHK_SECONDS_MS = 5000,
};

/** Runs every check; faults are noted in the world. */
void chk_all(struct world *w);

#endif
