/**
 * @file clk.h
 * @brief Interface to a monotonic clock.
 *
 * All decisions take the time from here, so that simulations can run the same
 * code on a virtual clock. In production it is CLOCK_BOOTTIME, which includes
 * the time that the machine is suspended.
 */
#ifndef APS_CLK_H
#define APS_CLK_H

#include <stdint.h>

/** A source of monotonic time. */
struct clk {
	/** Returns milliseconds since an arbitrary fixed point. */
	int64_t (*now_ms)(void *arg);
	/** Argument of @ref now_ms. */
	void *arg;
};

/** Returns the time of @p clk in milliseconds. */
static inline int64_t clk_now_ms(const struct clk *clk)
{
	return clk->now_ms(clk->arg);
}

#endif
