/** @file load_view.c @brief The load of the servers, as reported by all. */
#include <math.h>

#include <glib.h>

#include "load_view.h"

enum {
	SERVERS_MAX = 4096,
	REQUESTS_MAX = 1000,	  /* more is no load of one server */
	SLOWNESS_MAX = 10000,	  /* percent */
	REPORT_MAX_AGE_MS = 5000, /* older ones are not applied */
	/* Older ones are hardly worth their bytes; see REPORT_DECAY_MS. */
	PASS_ON_MAX_AGE_MS = 1500,
	MEAN_REPORTS = 30, /* of a server, that its mean slowness spans */
};

/* Time constant with which a report loses its value: about the time of a turn,
 * after which other requests run at the server. */
#define REPORT_DECAY_MS 400.0
/* Weight of a new report in the slowness of its server. */
#define SLOWNESS_WEIGHT 0.3
/* Weight of a new report in the mean load; it spans about one report of each
 * server. */
#define MEAN_WEIGHT 0.02

struct entry {
	struct lview_report report;
	double slowness;
	double mean_slowness;
	uint32_t count; /* reports in the mean */
};

struct lview {
	GHashTable *entries; /* key of the server -> struct entry */
	double mean_requests;
};

struct lview *lview_create(void)
{
	struct lview *view = g_new0(struct lview, 1);

	view->entries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
	return view;
}

void lview_destroy(struct lview *view)
{
	if (view == NULL)
		return;
	g_hash_table_destroy(view->entries);
	g_free(view);
}

static struct entry *find_entry(const struct lview *view, uint32_t server)
{
	return g_hash_table_lookup(view->entries, GUINT_TO_POINTER(server));
}

static gboolean is_outdated(gpointer key, gpointer value, gpointer now_ms)
{
	const struct entry *entry = value;

	(void)key;
	return *(int64_t *)now_ms - entry->report.as_of_ms > REPORT_MAX_AGE_MS;
}

/* Returns the entry of a server, which it adds if there is room; else NULL. */
static struct entry *get_entry(struct lview *view, uint32_t server,
			       int64_t now_ms)
{
	struct entry *entry = find_entry(view, server);

	if (entry != NULL)
		return entry;
	if (g_hash_table_size(view->entries) >= SERVERS_MAX)
		g_hash_table_foreach_remove(view->entries, is_outdated,
					    &now_ms);
	if (g_hash_table_size(view->entries) >= SERVERS_MAX)
		return NULL;
	entry = g_new0(struct entry, 1);
	entry->slowness = 1.0;
	entry->mean_slowness = 1.0;
	g_hash_table_insert(view->entries, GUINT_TO_POINTER(server), entry);
	return entry;
}

static void apply_slowness(struct entry *entry, uint32_t percent)
{
	double slowness = percent / 100.0;

	if (percent == 0)
		return;
	entry->count = MIN(entry->count + 1, MEAN_REPORTS);
	entry->mean_slowness +=
		(slowness - entry->mean_slowness) / entry->count;
	entry->slowness += SLOWNESS_WEIGHT * (slowness - entry->slowness);
}

void lview_apply(struct lview *view, const struct lview_report *report,
		 int64_t now_ms)
{
	struct entry *entry;

	if (report->as_of_ms > now_ms ||
	    now_ms - report->as_of_ms > REPORT_MAX_AGE_MS ||
	    report->requests > REQUESTS_MAX || report->slowness > SLOWNESS_MAX)
		return;
	entry = get_entry(view, report->server, now_ms);
	if (entry == NULL || (entry->report.as_of_ms != 0 &&
			      entry->report.as_of_ms >= report->as_of_ms))
		return;
	entry->report = *report;
	apply_slowness(entry, report->slowness);
	view->mean_requests +=
		MEAN_WEIGHT * (report->requests - view->mean_requests);
}

/* Inserts @p report into the @p count newest ones, newest first. */
static size_t insert_newest(struct lview_report *reports, size_t count,
			    size_t max, const struct lview_report *report)
{
	size_t i;

	if (count == max) {
		if (max == 0 || reports[max - 1].as_of_ms >= report->as_of_ms)
			return count;
		count--;
	}
	for (i = count; i > 0 && reports[i - 1].as_of_ms < report->as_of_ms;
	     i--)
		reports[i] = reports[i - 1];
	reports[i] = *report;
	return count + 1;
}

size_t lview_newest(const struct lview *view, struct lview_report *reports,
		    size_t max, int64_t now_ms)
{
	size_t count = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, view->entries);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *entry = p;

		if (now_ms - entry->report.as_of_ms <= PASS_ON_MAX_AGE_MS)
			count = insert_newest(reports, count, max,
					      &entry->report);
	}
	return count;
}

int64_t lview_reported_ms(const struct lview *view, uint32_t server)
{
	const struct entry *entry = find_entry(view, server);

	return entry != NULL ? entry->report.as_of_ms : 0;
}

double lview_requests(const struct lview *view, uint32_t server, int64_t now_ms)
{
	const struct entry *entry = find_entry(view, server);
	double weight;

	if (entry == NULL)
		return view->mean_requests;
	weight = exp((double)(entry->report.as_of_ms - now_ms) /
		     REPORT_DECAY_MS);
	return entry->report.requests * weight +
	       view->mean_requests * (1.0 - weight);
}

double lview_slowness(const struct lview *view, uint32_t server)
{
	const struct entry *entry = find_entry(view, server);

	return entry != NULL ? entry->slowness : 1.0;
}

double lview_mean_slowness(const struct lview *view, uint32_t server)
{
	const struct entry *entry = find_entry(view, server);

	return entry != NULL ? entry->mean_slowness : 1.0;
}
