/**
 * @file stats.h
 * @brief Counters and latency histograms, served as text.
 */
#ifndef APS_STATS_H
#define APS_STATS_H

#include <stdint.h>

#include <glib.h>

/** What is counted; the names stand in stats.c. */
enum sts_counter {
	STS_REQUESTS,
	STS_REFUSED_NO_CONFIG,
	STS_REFUSED_STALE_CONFIG,
	STS_REFUSED_KEY,
	STS_REFUSED_ROUTE,
	STS_REFUSED_QUOTA,
	STS_REFUSED_BUDGET,
	STS_REFUSED_NO_TURN,
	STS_REFUSED_STORE,
	STS_REFUSED_FULL,
	STS_REFUSED_MARKED,
	STS_SENT,
	STS_SENT_AGAIN,
	STS_RESUMED,
	STS_NOT_EXECUTED,
	STS_FAILED,
	STS_TIMED_OUT,
	STS_LEFT,
	STS_BROKEN_OFF,
	STS_TURNS_KEPT,
	STS_PROGRAMS_SWEPT,
	STS_STORE_READS,
	STS_STORE_FEEDS,
	STS_STORE_WRITES,
	STS_STORE_FAILED,
	STS_STORE_CONFLICTS,
	STS_CONFIGS,
	STS_COUNTERS,
};

/** Which latencies are collected. */
enum sts_latency {
	STS_FIRST_EVENT,
	STS_STREAM,
	STS_CALL,
	STS_COMMIT,
	STS_STORE,
	STS_REFUSAL,
	STS_LATENCIES,
};

void sts_count(enum sts_counter counter);
/** What was counted since the start. */
uint64_t sts_get(enum sts_counter counter);
/** Adds one measured time. */
void sts_time(enum sts_latency latency, int64_t ms);
/** Appends everything in the text exposition format. */
void sts_print(GString *out);

#endif
