/**
 * @file stats.h
 * @brief Counters and latency histograms of the gateway.
 */
#ifndef APS_STATS_H
#define APS_STATS_H

#include <stdint.h>

#include <glib.h>

/** Counters; their metric names are in stats.c. */
enum stats_counter {
	STATS_REQUESTS,
	STATS_UNREADABLE,
	STATS_REFUSED_NO_CONFIG,
	STATS_REFUSED_STALE_CONFIG,
	STATS_REFUSED_KEY,
	STATS_REFUSED_ROUTE,
	STATS_REFUSED_QUOTA,
	STATS_REFUSED_NO_CONTACT,
	STATS_REFUSED_BUDGET,
	STATS_REFUSED_NO_TURN,
	STATS_REFUSED_STORE,
	STATS_REFUSED_FULL,
	STATS_REFUSED_VERSION,
	STATS_REFUSED_MARKED,
	STATS_REFUSED_MEMORY,
	STATS_SENT,
	STATS_SENT_AGAIN,
	STATS_RESUMED,
	STATS_NOT_EXECUTED,
	STATS_SERVER_LIMITED,
	STATS_SUSPECTED,
	STATS_GOING_AWAY,
	STATS_GOAWAY_UNREADABLE,
	STATS_STRAY_RESPONSES,
	STATS_LINKS_LOST,
	STATS_SENT_BY_TUNNEL,
	STATS_TUNNELS,
	STATS_FAILED,
	STATS_TIMED_OUT,
	STATS_CALLER_LEFT,
	STATS_BROKEN_OFF,
	STATS_IDLE_CLOSED,
	STATS_MEMORY_PAUSED,
	STATS_MEMORY_BROKEN_OFF,
	STATS_TURNS_KEPT,
	STATS_TURNS_STALLED,
	STATS_CONFIG_AWAITED,
	STATS_CONTACT_AWAITED,
	STATS_PROGRAMS_SWEPT,
	STATS_STORE_READS,
	STATS_STORE_FEEDS,
	STATS_STORE_WRITES,
	STATS_STORE_FAILED,
	STATS_STORE_CONFLICTS,
	STATS_CONFIGS,
	STATS_DATAGRAMS_DROPPED,
	STATS_COUNTERS,
};

/** Latency histograms. */
enum stats_latency {
	STATS_FIRST_EVENT,
	STATS_STREAM,
	STATS_CALL,
	STATS_COMMIT,
	STATS_STORE,
	STATS_REFUSAL,
	STATS_LATENCIES,
};

/** Adds one to a counter. */
void stats_count(enum stats_counter counter);
/** Returns the value of a counter since the start. */
uint64_t stats_get(enum stats_counter counter);
/** Adds one time to a histogram. */
void stats_observe(enum stats_latency latency, int64_t ms);
/** Appends all metrics in the Prometheus text format. */
void stats_print(GString *out);

#endif
