/**
 * @file cost_speed.h
 * @brief Filters the relative service time that a server reports.
 *
 * A server's speed changes many times a second, so that a single report says
 * little about the time a request will take.
 */
#ifndef APS_COST_SPEED_H
#define APS_COST_SPEED_H

#include <stdint.h>

/** State of the filter of one server; all zero: nothing was reported. */
struct cost_speed {
	float mean;
	float var;
	float spread; /**< sum of the squares of the reports' weights */
	int64_t updated_ms;
};

/** Records a report: 1 is as usual, 2 takes twice as long. */
void cost_speed_add(struct cost_speed *speed, double slowness, int64_t now_ms);
/** Returns the slowness that the reports prove; 1 if they prove none. */
double cost_speed_get(const struct cost_speed *speed);

#endif
