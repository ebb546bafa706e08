/** @file stats.c @brief Counters and latency histograms. */
#include "stats.h"

/* Upper bounds of the buckets, in ms. */
static const int64_t bounds[] = {1,   2,   5,	 10,   20,   50,   100,
				 200, 500, 1000, 2000, 5000, 10000};

enum {
	BUCKETS = G_N_ELEMENTS(bounds) + 1,
};

static const char *const counter_names[STS_COUNTERS] = {
	[STS_REQUESTS] = "requests_total",
	[STS_REFUSED_NO_CONFIG] = "refused_total{cause=\"no configuration\"}",
	[STS_REFUSED_STALE_CONFIG] =
		"refused_total{cause=\"old configuration\"}",
	[STS_REFUSED_KEY] = "refused_total{cause=\"key\"}",
	[STS_REFUSED_ROUTE] = "refused_total{cause=\"route\"}",
	[STS_REFUSED_QUOTA] = "refused_total{cause=\"quota\"}",
	[STS_REFUSED_BUDGET] = "refused_total{cause=\"budget\"}",
	[STS_REFUSED_NO_TURN] = "refused_total{cause=\"no such turn\"}",
	[STS_REFUSED_STORE] = "refused_total{cause=\"store\"}",
	[STS_REFUSED_FULL] = "refused_total{cause=\"servers full\"}",
	[STS_REFUSED_MARKED] = "refused_total{cause=\"marked\"}",
	[STS_SENT] = "sent_total",
	[STS_SENT_AGAIN] = "sent_again_total",
	[STS_RESUMED] = "resumed_total",
	[STS_NOT_EXECUTED] = "not_executed_total",
	[STS_FAILED] = "failed_total",
	[STS_TIMED_OUT] = "timed_out_total",
	[STS_LEFT] = "caller_left_total",
	[STS_BROKEN_OFF] = "broken_off_total",
	[STS_TURNS_KEPT] = "turns_kept_total",
	[STS_PROGRAMS_SWEPT] = "programs_swept_total",
	[STS_STORE_READS] = "store_reads_total",
	[STS_STORE_FEEDS] = "store_feeds_total",
	[STS_STORE_WRITES] = "store_writes_total",
	[STS_STORE_FAILED] = "store_failed_total",
	[STS_STORE_CONFLICTS] = "store_conflicts_total",
	[STS_CONFIGS] = "configurations_total",
};

static const char *const latency_names[STS_LATENCIES] = {
	[STS_FIRST_EVENT] = "first_event",
	[STS_STREAM] = "stream",
	[STS_CALL] = "call",
	[STS_COMMIT] = "commit",
	[STS_STORE] = "store_call",
	[STS_REFUSAL] = "refusal",
};

static uint64_t counters[STS_COUNTERS];
static uint64_t buckets[STS_LATENCIES][BUCKETS];
static uint64_t sums[STS_LATENCIES];

void sts_count(enum sts_counter counter)
{
	counters[counter]++;
}

uint64_t sts_get(enum sts_counter counter)
{
	return counters[counter];
}

void sts_time(enum sts_latency latency, int64_t ms)
{
	guint i = 0;

	while (i < G_N_ELEMENTS(bounds) && ms > bounds[i])
		i++;
	buckets[latency][i]++;
	sums[latency] += (uint64_t)MAX(ms, 0);
}

static void print_latency(GString *out, guint latency)
{
	const char *name = latency_names[latency];
	uint64_t count = 0;

	for (guint i = 0; i < BUCKETS; i++) {
		char bound[24] = "+Inf";

		count += buckets[latency][i];
		if (i < G_N_ELEMENTS(bounds))
			g_snprintf(bound, sizeof(bound), "%" G_GINT64_FORMAT,
				   bounds[i]);
		g_string_append_printf(out,
				       "apricotshift_%s_ms_bucket{le=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       name, bound, count);
	}
	g_string_append_printf(out,
			       "apricotshift_%s_ms_sum %" G_GUINT64_FORMAT
			       "\napricotshift_%s_ms_count %" G_GUINT64_FORMAT
			       "\n",
			       name, sums[latency], name, count);
}

void sts_print(GString *out)
{
	for (guint i = 0; i < STS_COUNTERS; i++)
		g_string_append_printf(
			out, "apricotshift_%s %" G_GUINT64_FORMAT "\n",
			counter_names[i], counters[i]);
	for (guint i = 0; i < STS_LATENCIES; i++)
		print_latency(out, i);
}
