/** @file members_news.c @brief What instances tell each other of servers. */
#include <math.h>
#include <string.h>

#include "clock.h"
#include "members_int.h"
#include "slog.h"

enum {
	NEWS_MAX = 16, /* of each kind, in one datagram */
	/* Each instance passes a report on so often; some datagrams get lost.
	 */
	NEWS_SENDS = 12,
	MARKS_QUEUED_MAX = 256, /* the store has them too */
	NEWS_AGE_MAX_MS = 3600000,
	REFUSALS_MAX = 2, /* in one datagram; 13 bytes each */
};

static void news_free(struct news *news)
{
	g_free(news->server);
	g_free(news);
}

static struct news *add_news(struct members *members, enum news_kind kind,
			     const char *server)
{
	struct news *news = g_new0(struct news, 1);

	news->kind = kind;
	news->server = g_strdup(server);
	news->sends_left = NEWS_SENDS;
	g_queue_push_tail(members->news, news);
	return news;
}

/* Makes room for a mark. Limits stay: there is one for each server. */
static void drop_old_marks(struct members *members)
{
	guint marks = 0;

	for (GList *l = members->news->tail, *before; l != NULL; l = before) {
		struct news *news = l->data;

		before = l->prev;
		if (news->kind != NEWS_SUSPECT || ++marks < MARKS_QUEUED_MAX)
			continue;
		g_queue_delete_link(members->news, l);
		news_free(news);
	}
}

void members_report_suspect(struct members *members,
			    const struct suspect_mark *mark)
{
	struct news *news;

	drop_old_marks(members);
	news = add_news(members, NEWS_SUSPECT, mark->server);
	news->mark = *mark;
	news->mark.server = news->server;
}

void members_report_limit(struct members *members, const char *server)
{
	for (GList *l = members->news->head; l != NULL; l = l->next) {
		struct news *news = l->data;

		if (news->kind == NEWS_SERVER_LIMIT &&
		    strcmp(news->server, server) == 0) {
			news->sends_left = NEWS_SENDS;
			return;
		}
	}
	add_news(members, NEWS_SERVER_LIMIT, server);
}

bool members_news_fill_limit(const struct members *members, const char *server,
			     Rows__ServerLimit *message)
{
	struct slim_limit limit;
	int64_t age_ms;

	if (!slim_get(members->config.server_limits, server, &limit))
		return false;
	age_ms = clock_boot_ms() - limit.as_of_ms;
	message->server = (char *)server;
	message->per_s = limit.named ? (float)limit.per_s : 0;
	message->age_ms = (uint32_t)CLAMP(age_ms, 0, NEWS_AGE_MAX_MS);
	return true;
}

static void pack_suspect(const struct news *news, GPtrArray *marks)
{
	Rows__Mark *mark = g_new(Rows__Mark, 1);
	int64_t age_ms = clock_boot_ms() - news->mark.ended_ms;

	rows__mark__init(mark);
	mark->fingerprint = news->mark.fingerprint;
	mark->server = news->server;
	mark->has_started_ms = true;
	mark->started_ms = (uint64_t)news->mark.started_ms;
	mark->has_age_ms = true;
	mark->age_ms = (uint32_t)CLAMP(age_ms, 0, NEWS_AGE_MAX_MS);
	mark->has_crashed = true;
	mark->crashed = news->mark.evidence == SUSPECT_CRASHED;
	g_ptr_array_add(marks, mark);
}

static void pack_limit(const struct members *members, const struct news *news,
		       GPtrArray *limits)
{
	Rows__ServerLimit *limit = g_new(Rows__ServerLimit, 1);

	rows__server_limit__init(limit);
	if (members_news_fill_limit(members, news->server, limit))
		g_ptr_array_add(limits, limit);
	else
		g_free(limit);
}

static void pack_refusals(struct members *members, Rows__Probe *probe)
{
	struct rbud_report reports[REFUSALS_MAX];

	if (members->config.retry_budget == NULL)
		return;
	probe->n_refusals =
		rbud_take_reports(members->config.retry_budget, reports,
				  REFUSALS_MAX, clock_boot_ms());
	probe->refusals = g_new(Rows__Refusal *, probe->n_refusals);
	for (size_t i = 0; i < probe->n_refusals; i++) {
		Rows__Refusal *refusal = g_new(Rows__Refusal, 1);

		rows__refusal__init(refusal);
		refusal->server = reports[i].server;
		refusal->level = reports[i].level;
		refusal->age_ms =
			(uint32_t)CLAMP(reports[i].age_ms, 0, NEWS_AGE_MAX_MS);
		probe->refusals[i] = refusal;
	}
}

void members_news_pack(struct members *members, Rows__Probe *probe)
{
	GPtrArray *marks = g_ptr_array_new();
	GPtrArray *limits = g_ptr_array_new();

	for (GList *l = members->news->head; l != NULL; l = l->next) {
		struct news *news = l->data;
		bool is_limit = news->kind == NEWS_SERVER_LIMIT;

		if ((is_limit ? limits : marks)->len >= NEWS_MAX)
			continue;
		news->sends_left--;
		if (is_limit)
			pack_limit(members, news, limits);
		else
			pack_suspect(news, marks);
	}
	probe->n_marks = marks->len;
	probe->marks = (Rows__Mark **)g_ptr_array_free(marks, FALSE);
	pack_refusals(members, probe);
	probe->n_limits = limits->len;
	probe->limits = (Rows__ServerLimit **)g_ptr_array_free(limits, FALSE);
}

void members_news_free_packed(struct members *members, Rows__Probe *probe)
{
	for (size_t i = 0; i < probe->n_marks; i++)
		g_free(probe->marks[i]);
	for (size_t i = 0; i < probe->n_limits; i++)
		g_free(probe->limits[i]);
	for (size_t i = 0; i < probe->n_refusals; i++)
		g_free(probe->refusals[i]);
	g_free(probe->marks);
	g_free(probe->refusals);
	g_free(probe->limits);
	for (GList *l = members->news->head, *next; l != NULL; l = next) {
		struct news *news = l->data;

		next = l->next;
		if (news->sends_left > 0)
			continue;
		g_queue_delete_link(members->news, l);
		news_free(news);
	}
}

void members_news_handle_limit(struct members *members,
			       const Rows__ServerLimit *message)
{
	struct slim_limit limit = {
		.named = message->per_s > 0,
		.per_s = message->per_s,
		.as_of_ms = clock_boot_ms() - message->age_ms,
	};

	if (!isfinite(message->per_s) ||
	    !slim_on_report(members->config.server_limits, message->server,
			    &limit))
		return;
	slog("server_limit", NULL,
	     "\"server\":%s,\"named\":%s,\"per_s\":%.2f,\"age_ms\":%u,"
	     "\"source\":\"instance\"",
	     slog_quote(message->server), limit.named ? "true" : "false",
	     limit.per_s, message->age_ms);
	members_report_limit(members, message->server);
}

static void handle_mark(struct members *members, const Rows__Mark *message)
{
	struct suspect_mark mark = {
		.fingerprint = message->fingerprint,
		.server = message->server,
		.started_ms = (int64_t)message->started_ms,
		.ended_ms = clock_boot_ms() - message->age_ms,
		.evidence = message->crashed ? SUSPECT_CRASHED : SUSPECT_BROKEN,
	};

	/* An older version of the program does not say which start it was. */
	if (!message->has_started_ms)
		return;
	if (members->config.on_suspect(members->config.arg, &mark))
		members_report_suspect(members, &mark);
}

static void handle_refusal(struct members *members,
			   const Rows__Refusal *message)
{
	struct rbud_report report = {.server = message->server,
				     .level = message->level,
				     .age_ms = message->age_ms};

	if (members->config.retry_budget == NULL ||
	    !rbud_on_report(members->config.retry_budget, &report,
			    clock_boot_ms()))
		return;
	slog("server_refuses", NULL,
	     "\"hash\":\"%08x\",\"level\":%u,"
	     "\"age_ms\":%u,\"source\":\"instance\"",
	     message->server, message->level, message->age_ms);
}

void members_news_handle(struct members *members, const Rows__Probe *probe)
{
	for (size_t i = 0; i < probe->n_marks; i++)
		handle_mark(members, probe->marks[i]);
	for (size_t i = 0; i < probe->n_limits; i++)
		members_news_handle_limit(members, probe->limits[i]);
	for (size_t i = 0; i < probe->n_refusals; i++)
		handle_refusal(members, probe->refusals[i]);
}

void members_news_clear(struct members *members)
{
	for (GList *l = members->news->head; l != NULL; l = l->next)
		news_free(l->data);
	g_queue_free(members->news);
}
