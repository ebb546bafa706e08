/**
 * @file invariants.h
 * @brief Invariants of the system, checked against the recorded server runs.
 */
#ifndef APS_INVARIANTS_H
#define APS_INVARIANTS_H

#include "test/sim/sim.h"

enum {
	/** Longest delay, in ms, until a configuration change takes effect. */
	INVARIANTS_REACTION_MAX_MS = 5000,
};

/** Checks all invariants; violations are recorded in the simulation. */
void invariants_check(struct sim *sim);

#endif
