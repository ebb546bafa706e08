/** @file cost_speed.c @brief Filters the speed that a server reports. */
#include <math.h>

#include <glib.h>

#include "cost_speed.h"

/* A report's weight has decayed after this time; turns take some seconds. */
#define DECAY_MS 2000.0
/* Reports that are closer together say the same. */
#define STEP_MIN_MS 10
/* Assumed variance before there are reports to tell it. */
#define VAR_DEFAULT 0.25
/* Standard errors by which the mean must differ from 1: moves of turns after
 * chance differences cost more, in prompts read again, than they gain. */
#define PROOF_SIGMAS 3.0
#define SLOWNESS_MIN 0.05
#define SLOWNESS_MAX 50.0

void cost_speed_add(struct cost_speed *speed, double slowness, int64_t now_ms)
{
	int64_t step_ms = now_ms - speed->updated_ms;
	double spread = speed->spread;
	double share = 1;
	double dev;

	if (!isfinite(slowness) || slowness <= 0)
		return;
	if (spread > 0 && step_ms >= 0 && step_ms < STEP_MIN_MS)
		return;
	slowness = CLAMP(slowness, SLOWNESS_MIN, SLOWNESS_MAX);
	if (spread > 0)
		/* The first reports are averaged with equal weights. */
		share = MAX(
			1 - exp(-(double)MAX(step_ms, STEP_MIN_MS) / DECAY_MS),
			spread / (1 + spread));
	else
		speed->var = VAR_DEFAULT;
	dev = slowness - speed->mean;
	if (share < 1)
		speed->var += (float)(share * (dev * dev - speed->var));
	speed->mean += (float)(share * dev);
	speed->spread =
		(float)((1 - share) * (1 - share) * spread + share * share);
	speed->updated_ms = now_ms;
}

double cost_speed_get(const struct cost_speed *speed)
{
	double error = PROOF_SIGMAS * sqrt(speed->var * speed->spread);
	double dev = speed->mean - 1;

	if (speed->spread <= 0 || fabs(dev) <= error)
		return 1;
	return 1 + (dev > 0 ? dev - error : dev + error);
}
