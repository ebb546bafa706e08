/**
 * @file target.h
 * @brief Processes that a test starts and measures.
 */
#ifndef APS_TEST_TARGET_H
#define APS_TEST_TARGET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * Starts `binary command -c path`. It ends with the test.
 *
 * @param log   file for its standard output; NULL: none
 * @param quiet drops its standard error
 */
pid_t target_start(const char *binary, const char *command, const char *path,
		   const char *log, bool quiet);
/** Kills a process, if it runs, and sets @p pid to 0. */
void target_stop(pid_t *pid);
/** Returns the figure of @p name in the status of a process, in KB: "VmHWM:" is
 * its peak resident memory. */
uint64_t target_status_kb(pid_t pid, const char *name);

#endif
