/**
 * @file clock.h
 * @brief The clock of a running instance.
 */
#ifndef APS_CLOCK_H
#define APS_CLOCK_H

#include <stdint.h>
#include <time.h>

/** CLOCK_BOOTTIME in milliseconds: time during a suspend counts. */
static inline int64_t clock_boot_ms(void)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0)
		return 0;
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

#endif
