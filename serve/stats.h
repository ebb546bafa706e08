/**
 * @file stats.h
 * @brief Counters and latency histograms, served as text.
 */
#ifndef APS_STATS_H
#define APS_STATS_H

#include <stdint.h>

#include <glib.h>

/** What is counted; the names stand in stats.c. */
enum stats_counter {
	STATS_REQUESTS,
	STATS_REFUSED_NO_CONFIG,
	STATS_REFUSED_STALE_CONFIG,
	STATS_REFUSED_KEY,
	STATS_REFUSED_ROUTE,
	STATS_REFUSED_QUOTA,
	STATS_REFUSED_BUDGET,
	STATS_REFUSED_NO_TURN,
	STATS_REFUSED_STORE,
	STATS_REFUSED_FULL,
	STATS_REFUSED_MARKED,
	STATS_SENT,
	STATS_SENT_AGAIN,
	STATS_RESUMED,
	STATS_NOT_EXECUTED,
	STATS_FAILED,
	STATS_TIMED_OUT,
	STATS_CALLER_LEFT,
	STATS_BROKEN_OFF,
	STATS_TURNS_KEPT,
	STATS_PROGRAMS_SWEPT,
	STATS_STORE_READS,
	STATS_STORE_FEEDS,
	STATS_STORE_WRITES,
	STATS_STORE_FAILED,
	STATS_STORE_CONFLICTS,
	STATS_CONFIGS,
	STATS_COUNTERS,
};

/** Which latencies are collected. */
enum stats_latency {
	STATS_FIRST_EVENT,
	STATS_STREAM,
	STATS_CALL,
	STATS_COMMIT,
	STATS_STORE,
	STATS_REFUSAL,
	STATS_LATENCIES,
};

void stats_count(enum stats_counter counter);
/** What was counted since the start. */
uint64_t stats_get(enum stats_counter counter);
/** Adds one measured time. */
void stats_observe(enum stats_latency latency, int64_t ms);
/** Appends everything in the text exposition format. */
void stats_print(GString *out);

#endif
