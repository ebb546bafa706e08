/**
 * @file clock.h
 * @brief The system clock of a running instance.
 */
#ifndef APS_CLOCK_H
#define APS_CLOCK_H

#include <stdint.h>
#include <sys/time.h>
#include <time.h>

/** Returns CLOCK_BOOTTIME in milliseconds; includes time in suspend. */
static inline int64_t clock_boot_ms(void)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0)
		return 0;
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/** Returns the time of day in milliseconds since 1970; it may step. */
static inline int64_t clock_time_ms(void)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_REALTIME, &ts) != 0)
		return 0;
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/** Converts @p ms to a timeval for libevent timers. */
static inline struct timeval clock_timeval(int64_t ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (ms % 1000) * 1000};

	return tv;
}

#endif
