/**
 * @file suspect.h
 * @brief Requests that may crash the backend servers that run them.
 *
 * Load that it answers: one request that crashes each server which begins to
 * run it, sent again by its caller through any instance. A fingerprint that
 * broke off at several servers within a short time is refused for a while.
 */
#ifndef APS_SUSPECT_H
#define APS_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

struct suspects;

struct suspects *suspect_create(void);
void suspect_destroy(struct suspects *suspects);
/** A request broke off at @p server; returns false if that was known. */
bool suspect_add(struct suspects *suspects, uint64_t fingerprint,
		 const char *server, int64_t now);
/** Whether the request is refused, and for how long yet. */
bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms);
/** The fingerprint of a request. */
uint64_t suspect_fingerprint(const char *account, const char *path,
			     const void *body, uint64_t len);

#endif
