/**
 * @file suspect.h
 * @brief Detection of requests that crash the backend servers running them.
 *
 * The load it must handle: a request that crashes every server that starts to
 * run it, retried by its caller through any instance. A request whose
 * connections broke at several servers within a short time is refused for a
 * while. Requests are identified by a fingerprint.
 */
#ifndef APS_SUSPECT_H
#define APS_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

struct suspects;

struct suspects *suspect_create(void);
void suspect_destroy(struct suspects *suspects);
/** Records that a connection broke while @p server had the request; returns
 * false if that was already known or the table is full. */
bool suspect_add(struct suspects *suspects, uint64_t fingerprint,
		 const char *server, int64_t now);
/** Whether the request is refused; @p wait_ms receives for how much longer. */
bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms);
/** Returns the fingerprint of a request. */
uint64_t suspect_fingerprint(const char *account, const char *path,
			     const void *body, uint64_t len);

#endif
