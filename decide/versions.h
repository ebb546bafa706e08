/**
 * @file versions.h
 * @brief Which software versions the servers of a service have had lately.
 *
 * Streams of several versions do not fit together, so a stream may go on only
 * at the version that began it. Instances store the version of a stream only
 * while they see several, or have not watched the list for long enough to know.
 * So the absence of such a record has a meaning: see versions_unrecorded().
 * Times are milliseconds of one clock.
 */
#ifndef APS_VERSIONS_H
#define APS_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/** Between the times at which two instances see a change of the list.
	 */
	VERSIONS_SKEW_MS = 2000,
};

/** The versions of one service. */
struct versions;

struct versions *versions_create(void);
void versions_destroy(struct versions *versions);

/**
 * Records what is listed now; nothing if no server is.
 *
 * @param version the version of one server
 * @param several whether another server has another version
 */
void versions_observe(struct versions *versions, const char *version,
		      bool several, int64_t now);

/** Whether several versions may have been listed within the last
 * @p window_ms. */
bool versions_are_mixed(const struct versions *versions, int64_t window_ms,
			int64_t now);

/** Whether others may still take an unrecorded stream for one from before the
 * versions were mixed: its record has to be stored. */
bool versions_need_record(const struct versions *versions, int64_t window_ms,
			  int64_t now);

/**
 * Returns the version of a stream that was begun within the last @p window_ms
 * and of which there is no record, or NULL if it can't be known.
 *
 * Its instance saw one version only. An instance that has watched the list all
 * the time knows it: the one listed now if there have been no others, or the
 * one before the others came if that was in the window.
 */
const char *versions_unrecorded(const struct versions *versions,
				int64_t window_ms, int64_t now);

#endif
