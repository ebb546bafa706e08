/** @file stats.c @brief Counters and latency histograms. */
#include "stats.h"

/* Upper bounds of the buckets. */
static const int64_t bounds_ms[] = {1,	 2,   5,    10,	  20,	50,   100,
				    200, 500, 1000, 2000, 5000, 10000};

enum {
	BUCKET_COUNT = G_N_ELEMENTS(bounds_ms) + 1,
};

static const char *const counter_names[STATS_COUNTERS] = {
	[STATS_REQUESTS] = "requests_total",
	[STATS_UNREADABLE] = "unreadable_requests_total",
	[STATS_REFUSED_NO_CONFIG] = "refused_total{cause=\"no configuration\"}",
	[STATS_REFUSED_STALE_CONFIG] =
		"refused_total{cause=\"old configuration\"}",
	[STATS_REFUSED_KEY] = "refused_total{cause=\"key\"}",
	[STATS_REFUSED_ROUTE] = "refused_total{cause=\"route\"}",
	[STATS_REFUSED_QUOTA] = "refused_total{cause=\"quota\"}",
	[STATS_REFUSED_NO_CONTACT] = "refused_total{cause=\"no_contact\"}",
	[STATS_REFUSED_BUDGET] = "refused_total{cause=\"budget\"}",
	[STATS_REFUSED_NO_TURN] = "refused_total{cause=\"no such turn\"}",
	[STATS_REFUSED_STORE] = "refused_total{cause=\"store\"}",
	[STATS_REFUSED_FULL] = "refused_total{cause=\"servers full\"}",
	[STATS_REFUSED_VERSION] = "refused_total{cause=\"version unknown\"}",
	[STATS_REFUSED_MARKED] = "refused_total{cause=\"marked\"}",
	[STATS_REFUSED_MEMORY] = "refused_total{cause=\"memory\"}",
	[STATS_REFUSED_STREAM] = "refused_total{cause=\"stream unknown\"}",
	[STATS_REFUSED_STOPPING] = "refused_total{cause=\"stopping\"}",
	[STATS_SENT] = "sent_total",
	[STATS_SENT_AGAIN] = "sent_again_total",
	[STATS_RESUMED] = "resumed_total",
	[STATS_NOT_EXECUTED] = "not_executed_total",
	[STATS_SERVER_LIMITED] = "server_limited_total",
	[STATS_SERVER_REFUSING] = "servers_refusing_total",
	[STATS_RETRY_DENIED] = "retries_denied_total",
	[STATS_REFUSED_OVERLOAD] = "refused_total{cause=\"overload\"}",
	[STATS_REFUSED_TOO_LATE] = "refused_total{cause=\"too late\"}",
	[STATS_ADMISSION_WAITED] = "admission_waited_total",
	[STATS_SUSPECTED] = "suspected_total",
	[STATS_GOING_AWAY] = "servers_going_away_total",
	[STATS_GOAWAY_UNREADABLE] = "goaway_unreadable_total",
	[STATS_STRAY_RESPONSES] = "stray_responses_total",
	[STATS_LINKS_LOST] = "links_lost_total",
	[STATS_SENT_BY_TUNNEL] = "sent_by_tunnel_total",
	[STATS_TUNNELS] = "tunnels_total",
	[STATS_FAILED] = "failed_total",
	[STATS_TIMED_OUT] = "timed_out_total",
	[STATS_CALLER_LEFT] = "caller_left_total",
	[STATS_BROKEN_OFF] = "broken_off_total",
	[STATS_IDLE_CLOSED] = "idle_connections_closed_total",
	[STATS_MEMORY_PAUSED] = "memory_paused_total",
	[STATS_MEMORY_BROKEN_OFF] = "memory_broken_off_total",
	[STATS_TURNS_KEPT] = "turns_kept_total",
	[STATS_COPY_EVENTS] = "copies_events_total",
	[STATS_COPY_BYTES] = "copies_sent_bytes_total",
	[STATS_COPIES_FOUND] = "copies_found_total",
	[STATS_COPIES_MISSED] = "copies_missed_total",
	[STATS_TURNS_STALLED] = "turns_waited_for_store_total",
	[STATS_CONFIG_AWAITED] = "configuration_waits_total",
	[STATS_CONTACT_AWAITED] = "quota_contact_waits_total",
	[STATS_PROGRAMS_SWEPT] = "programs_swept_total",
	[STATS_STORE_READS] = "store_reads_total",
	[STATS_STORE_FEEDS] = "store_feeds_total",
	[STATS_STORE_WRITES] = "store_writes_total",
	[STATS_STORE_FAILED] = "store_failed_total",
	[STATS_STORE_CONFLICTS] = "store_conflicts_total",
	[STATS_CONFIGS] = "configurations_total",
	[STATS_DATAGRAMS_DROPPED] = "datagrams_dropped_total",
	[STATS_LOAD_REPORTS] = "load_reports_total",
	[STATS_HEADER_BYTES] = "header_rejected_total{cause=\"bytes\"}",
	[STATS_HEADER_LINES] = "header_rejected_total{cause=\"lines\"}",
	[STATS_HEADER_MEMORY] = "header_rejected_total{cause=\"memory\"}",
	[STATS_HEADER_FULL] = "header_rejected_total{cause=\"full\"}",
	[STATS_HEADER_MALFORMED] = "header_rejected_total{cause=\"malformed\"}",
	[STATS_ROLLOUT_STEPS] = "rollout_steps_total",
	[STATS_ROLLOUT_UNREADABLE] = "rollout_unreadable_total",
	[STATS_ROLLOUT_WRITES_FAILED] = "rollout_writes_failed_total",
	[STATS_ROLLOUT_UNKNOWN] = "rollout_unknown_total",
	[STATS_ROLLOUT_ABANDONED] = "rollout_abandoned_total",
};

static const char *const latency_names[STATS_LATENCIES] = {
	[STATS_FIRST_EVENT] = "first_event",
	[STATS_STREAM] = "stream",
	[STATS_CALL] = "call",
	[STATS_COMMIT] = "commit",
	[STATS_STORE] = "store_call",
	[STATS_REFUSAL] = "refusal",
};

static uint64_t counters[STATS_COUNTERS];
static uint64_t buckets[STATS_LATENCIES][BUCKET_COUNT];
static uint64_t sums_ms[STATS_LATENCIES];

void stats_count(enum stats_counter counter)
{
	counters[counter]++;
}

void stats_add(enum stats_counter counter, uint64_t n)
{
	counters[counter] += n;
}

uint64_t stats_get(enum stats_counter counter)
{
	return counters[counter];
}

void stats_observe(enum stats_latency latency, int64_t ms)
{
	guint i = 0;

	while (i < G_N_ELEMENTS(bounds_ms) && ms > bounds_ms[i])
		i++;
	buckets[latency][i]++;
	sums_ms[latency] += (uint64_t)MAX(ms, 0);
}

static void print_latency(GString *out, guint latency)
{
	const char *name = latency_names[latency];
	uint64_t count = 0;

	for (guint i = 0; i < BUCKET_COUNT; i++) {
		char bound[24] = "+Inf";

		count += buckets[latency][i];
		if (i < G_N_ELEMENTS(bounds_ms))
			g_snprintf(bound, sizeof(bound), "%" G_GINT64_FORMAT,
				   bounds_ms[i]);
		g_string_append_printf(out,
				       "apricotshift_%s_ms_bucket{le=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       name, bound, count);
	}
	g_string_append_printf(out,
			       "apricotshift_%s_ms_sum %" G_GUINT64_FORMAT
			       "\napricotshift_%s_ms_count %" G_GUINT64_FORMAT
			       "\n",
			       name, sums_ms[latency], name, count);
}

void stats_print(GString *out)
{
	for (guint i = 0; i < STATS_COUNTERS; i++)
		g_string_append_printf(
			out, "apricotshift_%s %" G_GUINT64_FORMAT "\n",
			counter_names[i], counters[i]);
	for (guint i = 0; i < STATS_LATENCIES; i++)
		print_latency(out, i);
}
