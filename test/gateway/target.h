/**
 * @file target.h
 * @brief Processes that a test starts and measures.
 */
#ifndef APS_TEST_TARGET_H
#define APS_TEST_TARGET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "serve/inbound.h"

/** Ports of a gateway and its platform, from the first one on. */
enum target_port {
	TARGET_STORE,
	TARGET_SERVER,
	TARGET_CALLERS,
	TARGET_READY,
	TARGET_PEERS,
	TARGET_RELAY,
	TARGET_METRICS,
};

/** A store with one backend server. */
struct target_platform {
	int port;	    /**< the first one */
	const char *config; /**< of the operators */
	const char *service;
	uint32_t max_body_bytes; /**< of the server */
	void (*on_request)(void *arg, struct inbound_request *request);
};

/** Runs the store and the server in a process of their own, which ends with the
 * test. */
pid_t target_start_platform(const struct target_platform *platform);
/** Returns the settings of a gateway at that platform; g_free() them. */
char *target_settings(const struct target_platform *platform, int memory_mb);

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
