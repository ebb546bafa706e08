/**
 * @file clk.h
 * @brief The clock as an interface.
 *
 * Every decision takes its time from here, so that the same code runs under
 * a virtual clock. Time is CLOCK_BOOTTIME in production: a pause counts.
 */
#ifndef APS_CLK_H
#define APS_CLK_H

#include <stdint.h>

/** A source of monotonic time. */
struct clk {
	/** Returns milliseconds since an arbitrary fixed point. */
	int64_t (*now_ms)(void *arg);
	/** Passed to @ref now_ms. */
	void *arg;
};

/** Returns the time of @p clk in milliseconds. */
static inline int64_t clk_now_ms(const struct clk *clk)
{
	return clk->now_ms(clk->arg);
}

#endif
