/** @file crashes.c @brief Knowledge of requests that crash backend servers. */
#include "crashes.h"
#include "clock.h"
#include "crash_rows.h"
#include "slog.h"
#include "stats.h"

enum {
	ALIVE_MARGIN_MS = 100,	/* bytes of a server that ended may come late */
	LIST_AGE_MAX_MS = 3000, /* an older list does not tell who is gone */
	FINGERPRINT_LEN = 17,
};

struct crashes {
	struct fleet *fleet;
	const struct watcher *watcher;
	struct members *members;
	struct suspects *suspects;
	struct crash_rows *rows;
};

static const char *evidence_name(enum suspect_evidence evidence)
{
	switch (evidence) {
	case SUSPECT_SILENT:
		return "silent";
	case SUSPECT_BROKEN:
		return "broken";
	case SUSPECT_CRASHED:
		break;
	}
	return "crashed";
}

static void log_mark(const char *id, const struct suspect_mark *mark,
		     const char *source, const char *cause)
{
	slog("suspected", id,
	     "\"fingerprint\":\"%016" G_GINT64_MODIFIER
	     "x\",\"server\":%s,\"started_ms\":%" G_GINT64_FORMAT
	     ",\"evidence\":\"%s\",\"age_ms\":%" G_GINT64_FORMAT
	     ",\"source\":\"%s\",\"cause\":\"%s\"",
	     mark->fingerprint, slog_quote(mark->server), mark->started_ms,
	     evidence_name(mark->evidence), clock_boot_ms() - mark->ended_ms,
	     source, cause);
}

static enum suspect_server server_of_mark(void *arg,
					  const struct suspect_mark *mark)
{
	const struct crashes *crashes = arg;
	const struct fleet_server *server =
		fleet_find(crashes->fleet, mark->server);
	bool listed = server != NULL && server->started_ms == mark->started_ms;

	if (listed && server->replaced)
		return SUSPECT_SERVER_GONE;
	/* A server that announces its end has not crashed. */
	if (listed && (server->draining || server->going_away ||
		       server->heard_ms > mark->ended_ms + ALIVE_MARGIN_MS))
		return SUSPECT_SERVER_ALIVE;
	if (watcher_servers_age_ms(crashes->watcher) > LIST_AGE_MAX_MS)
		return SUSPECT_SERVER_UNKNOWN;
	return listed ? SUSPECT_SERVER_LISTED : SUSPECT_SERVER_GONE;
}

/* Tells the other instances, and those to come. */
static void publish(const struct crashes *crashes,
		    const struct suspect_mark *mark)
{
	if (crashes->members != NULL)
		members_report_suspect(crashes->members, mark);
	crash_rows_put(crashes->rows, mark);
}

/* A server has ended; @is_news: nobody was told of the mark before. */
static void on_confirmed(const struct crashes *crashes,
			 const struct suspect_mark *mark, bool is_news)
{
	if (is_news) {
		stats_count(STATS_SUSPECTED);
		publish(crashes, mark);
	} else if (crashes->members != NULL &&
		   members_is_responsible(crashes->members, mark->server)) {
		/* Whoever saw it may have ended before it was written. */
		crash_rows_put(crashes->rows, mark);
	}
}

static void on_changed(void *arg, const struct suspect_mark *mark,
		       enum suspect_change change)
{
	static const char *const names[] = {
		[SUSPECT_CONFIRMED] = "server ended",
		[SUSPECT_DISPROVED] = "server lives",
		[SUSPECT_CLEARED] = "request completed",
		[SUSPECT_EXPIRED] = "expired",
	};
	const struct crashes *crashes = arg;
	struct suspect_mark news = *mark;

	log_mark(NULL, mark, "settled", names[change]);
	switch (change) {
	case SUSPECT_CONFIRMED:
		news.evidence = SUSPECT_CRASHED;
		on_confirmed(crashes, &news, mark->evidence == SUSPECT_SILENT);
		return;
	case SUSPECT_DISPROVED:
		crash_rows_withdraw(crashes->rows, mark);
		return;
	case SUSPECT_CLEARED:
		crash_rows_remove(crashes->rows, mark);
		return;
	case SUSPECT_EXPIRED: /* its row is removed by its age */
		return;
	}
}

/* A mark is in the store. */
static void on_stored(void *arg, const struct suspect_mark *mark)
{
	struct crashes *crashes = arg;
	int64_t now_ms = clock_boot_ms();

	if (suspect_add(crashes->suspects, mark, now_ms))
		log_mark(NULL, mark, "store", "");
	else if (suspect_has_completed(crashes->suspects, mark->fingerprint,
				       now_ms))
		crash_rows_remove(crashes->rows, mark);
}

static void on_removed(void *arg, const struct suspect_mark *mark)
{
	struct crashes *crashes = arg;

	suspect_remove(crashes->suspects, mark);
}

struct crashes *crash_create(struct event_base *base, struct store *store,
			     struct fleet *fleet, const struct watcher *watcher)
{
	struct crashes *crashes = g_new0(struct crashes, 1);
	struct suspect_handler handler = {server_of_mark, on_changed, crashes};
	struct crash_rows_handler rows_handler = {on_stored, on_removed,
						  crashes};

	crashes->fleet = fleet;
	crashes->watcher = watcher;
	crashes->suspects = suspect_create(&handler);
	crashes->rows = crash_rows_create(base, store, &rows_handler);
	return crashes;
}

void crash_destroy(struct crashes *crashes)
{
	if (crashes == NULL)
		return;
	crash_rows_destroy(crashes->rows);
	suspect_destroy(crashes->suspects);
	g_free(crashes);
}

void crash_set_members(struct crashes *crashes, struct members *members)
{
	crashes->members = members;
}

void crash_on_attempt(struct crashes *crashes,
		      const struct crash_attempt *attempt)
{
	int64_t now_ms = clock_boot_ms();
	struct suspect_mark mark = {
		.fingerprint = attempt->fingerprint,
		.server = attempt->server->id,
		.started_ms = attempt->server->started_ms,
		.ended_ms = now_ms,
		.evidence = attempt->evidence,
	};

	if (attempt->server->draining || attempt->server->going_away ||
	    !suspect_add(crashes->suspects, &mark, now_ms))
		return;
	log_mark(attempt->id, &mark, "own", attempt->cause);
	if (mark.evidence == SUSPECT_SILENT)
		return;
	stats_count(STATS_SUSPECTED);
	publish(crashes, &mark);
}

void crash_on_completed(struct crashes *crashes, const char *id,
			uint64_t fingerprint)
{
	if (!suspect_on_completed(crashes->suspects, fingerprint,
				  clock_boot_ms()))
		return;
	slog("cleared", id, "\"fingerprint\":\"%016" G_GINT64_MODIFIER "x\"",
	     fingerprint);
	/* The others refuse it until the rows are gone. */
	crash_rows_tick(crashes->rows, crashes->members);
}

bool crash_on_report(struct crashes *crashes, const struct suspect_mark *mark)
{
	if (!suspect_add(crashes->suspects, mark, clock_boot_ms()))
		return false;
	log_mark(NULL, mark, "instance", "");
	return true;
}

bool crash_is_refused(struct crashes *crashes, uint64_t fingerprint,
		      int64_t *wait_ms)
{
	return suspect_is_refused(crashes->suspects, fingerprint,
				  clock_boot_ms(), wait_ms);
}

bool crash_take_trial(struct crashes *crashes, const char *id,
		      uint64_t fingerprint)
{
	char task[FINGERPRINT_LEN];

	g_snprintf(task, sizeof(task), "%016" G_GINT64_MODIFIER "x",
		   fingerprint);
	if (crashes->members == NULL ||
	    !members_is_responsible(crashes->members, task) ||
	    !suspect_take_trial(crashes->suspects, fingerprint,
				clock_boot_ms()))
		return false;
	slog("trial", id, "\"fingerprint\":\"%s\"", task);
	return true;
}

void crash_tick(struct crashes *crashes)
{
	suspect_settle(crashes->suspects, clock_boot_ms());
	crash_rows_tick(crashes->rows, crashes->members);
}
