/** @file retry_budget.c @brief Servers that refuse, and the retry budget. */
#include <math.h>

#include <glib.h>

#include "load_view.h"
#include "retry_budget.h"
#include "rng.h"

enum {
	BACKOFF_FIRST_MS = 100, /* a full engine frees a slot about so often
				 */
	BACKOFF_MAX_MS = 2000,
	PROBE_TIMEOUT_MS = 250, /* a refusal takes a round trip */
	/* Shortest gap for each instance of the fleet: an instance sends the
	 * less the more there are, and sees the fewer refusals. */
	GAP_MIN_MS = 2,
	GAP_MIN_INSTANCES = 12, /* smaller fleets count as so many */
	GAP_MAX_MS = 2000,	/* within which a recovery is noticed */
	LEVEL_MAX = 16,
	REPORT_AGE_MAX_MS = RBUD_KEPT_MS,
	/* A server that goes on refusing is reported again so often, before the
	 * others forget it. */
	REFRESH_MS = 5000,
	REPORT_SENDS = 4, /* of each report by each instance */
	/* A report takes 13 bytes: at most 520 bytes a second. */
	REPORTS_PER_S = 40,
	REPORTS_BURST = 10,
	RETRY_AFTER_GAP_MAX_MS = 2000,
};

/* Changes of the gap by a refusal and by an accepted request: ten of these make
 * up for one refusal, so that about one send in eleven is refused. */
#define GAP_REFUSAL_FACTOR 1.5
#define GAP_ACCEPT_FACTOR 0.96
/* By a request that was accepted by a server with room. */
#define GAP_ROOM_FACTOR 0.5
/* Retries for each execution. */
#define RETRY_SHARE 0.1
/* The bucket starts full, so that single failures are always retried. */
#define RETRY_BURST 2.0
/* Fills the bucket up to one token without executions, tokens a second. */
#define RETRY_TRICKLE_PER_S 0.05

/* A server that has refused. */
struct refusal {
	uint32_t hash;
	uint32_t level;	     /* consecutive refusals; 0: none */
	int64_t as_of_ms;    /* last statement */
	int64_t until_ms;    /* end of the backoff */
	int64_t probe_ms;    /* a probe was sent; 0: none is out */
	int64_t reported_ms; /* as_of_ms of the last report sent or received */
	int sends_left;	     /* of its report */
	bool has_room;	     /* at the last response */
	bool other_limit;    /* it refuses with slots free */
};

/* Spacing of the sends to refusing servers of a service. */
struct pace {
	double gap_ms; /* 0: none */
	int64_t last_send_ms;
};

struct rbud {
	struct rng rng;
	uint32_t instances;
	GHashTable *refusals; /* hash of the id -> struct refusal */
	GHashTable *paces;    /* service -> struct pace */
	double tokens;
	int64_t trickled_ms;
	double report_tokens;
	int64_t report_ms;
};

struct rbud *rbud_create(uint64_t seed)
{
	struct rbud *rbud = g_new0(struct rbud, 1);

	rbud->rng.state = seed;
	rbud->refusals = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
	rbud->paces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rbud->tokens = RETRY_BURST;
	rbud->report_tokens = REPORTS_BURST;
	return rbud;
}

void rbud_destroy(struct rbud *rbud)
{
	if (rbud == NULL)
		return;
	g_hash_table_destroy(rbud->refusals);
	g_hash_table_destroy(rbud->paces);
	g_free(rbud);
}

void rbud_set_instances(struct rbud *rbud, uint32_t count)
{
	rbud->instances = count;
}

/* Below it, sends are not spaced, in ms. */
static double gap_min(const struct rbud *rbud)
{
	return GAP_MIN_MS * (double)MAX(rbud->instances, GAP_MIN_INSTANCES);
}

static struct refusal *find_hash(const struct rbud *rbud, uint32_t hash)
{
	return g_hash_table_lookup(rbud->refusals, GUINT_TO_POINTER(hash));
}

/* Returns what is known of a server that refuses, or NULL. */
static struct refusal *find_refusal(const struct rbud *rbud, const char *server,
				    int64_t now)
{
	struct refusal *refusal;

	if (g_hash_table_size(rbud->refusals) == 0)
		return NULL;
	refusal = find_hash(rbud, lview_key(server));
	return refusal != NULL && refusal->level > 0 &&
			       now - refusal->as_of_ms < RBUD_KEPT_MS
		       ? refusal
		       : NULL;
}

static struct refusal *add_refusal(struct rbud *rbud, uint32_t hash)
{
	struct refusal *refusal = find_hash(rbud, hash);

	if (refusal != NULL)
		return refusal;
	if (g_hash_table_size(rbud->refusals) >= RBUD_SERVERS_MAX)
		return NULL;
	refusal = g_new0(struct refusal, 1);
	refusal->hash = hash;
	g_hash_table_insert(rbud->refusals, GUINT_TO_POINTER(hash), refusal);
	return refusal;
}

static struct pace *get_pace(const struct rbud *rbud, const char *service)
{
	return g_hash_table_lookup(rbud->paces, service);
}

static struct pace *add_pace(struct rbud *rbud, const char *service)
{
	struct pace *pace = get_pace(rbud, service);

	if (pace == NULL) {
		pace = g_new0(struct pace, 1);
		g_hash_table_insert(rbud->paces, g_strdup(service), pace);
	}
	return pace;
}

/* Starts the backoff, at a random length so that instances do not probe
 * together. */
static void back_off(struct rbud *rbud, struct refusal *refusal)
{
	int64_t ms = BACKOFF_FIRST_MS;

	for (uint32_t i = 1; i < refusal->level && ms < BACKOFF_MAX_MS; i++)
		ms *= 2;
	ms = MIN(ms, BACKOFF_MAX_MS);
	refusal->until_ms = refusal->as_of_ms + ms / 2 +
			    (int64_t)rng_below(&rbud->rng, (uint64_t)ms + 1);
	refusal->probe_ms = 0;
}

static void report(struct refusal *refusal)
{
	refusal->reported_ms = refusal->as_of_ms;
	refusal->sends_left = REPORT_SENDS;
}

bool rbud_on_refused(struct rbud *rbud, const char *service, const char *server,
		     bool has_room, int64_t sent_ms, int64_t now)
{
	struct refusal *refusal = add_refusal(rbud, lview_key(server));
	struct pace *pace = add_pace(rbud, service);
	bool is_news;

	pace->gap_ms =
		MIN(MAX(pace->gap_ms, gap_min(rbud)) * GAP_REFUSAL_FACTOR,
		    (double)GAP_MAX_MS);
	if (refusal == NULL)
		return false;
	is_news =
		refusal->level == 0 || now - refusal->as_of_ms >= RBUD_KEPT_MS;
	if (is_news)
		refusal->level = 0;
	/* Requests that were sent together are refused together. */
	if (is_news || sent_ms >= refusal->as_of_ms)
		refusal->level = MIN(refusal->level + 1, LEVEL_MAX);
	refusal->has_room = false;
	refusal->other_limit = has_room;
	refusal->as_of_ms = now;
	back_off(rbud, refusal);
	if (is_news || now - refusal->reported_ms >= REFRESH_MS)
		report(refusal);
	return is_news;
}

static void shorten_gap(struct rbud *rbud, const char *service, bool has_room)
{
	struct pace *pace = get_pace(rbud, service);

	if (pace == NULL)
		return;
	pace->gap_ms *= has_room ? GAP_ROOM_FACTOR : GAP_ACCEPT_FACTOR;
	if (pace->gap_ms < gap_min(rbud))
		pace->gap_ms = 0;
}

void rbud_on_accepted(struct rbud *rbud, const char *service,
		      const char *server, bool has_room, int64_t sent_ms,
		      int64_t now)
{
	struct refusal *refusal = find_refusal(rbud, server, now);

	rbud->tokens = MIN(rbud->tokens + RETRY_SHARE, RETRY_BURST);
	has_room = has_room && !(refusal != NULL && refusal->other_limit);
	shorten_gap(rbud, service, has_room);
	/* A request that was sent before the refusal says nothing new. */
	if (refusal == NULL || sent_ms < refusal->as_of_ms)
		return;
	refusal->probe_ms = 0;
	refusal->until_ms = now;
	refusal->level = 1;
	refusal->has_room = has_room;
}

void rbud_on_send(struct rbud *rbud, const char *service, const char *server,
		  int64_t now)
{
	struct refusal *refusal = find_refusal(rbud, server, now);
	struct pace *pace = get_pace(rbud, service);

	if (refusal == NULL)
		return;
	if (!refusal->has_room)
		refusal->probe_ms = now;
	if (pace != NULL)
		pace->last_send_ms = now;
}

int64_t rbud_wait_ms(const struct rbud *rbud, const char *service,
		     const char *server, int64_t now)
{
	const struct refusal *refusal = find_refusal(rbud, server, now);
	const struct pace *pace;
	int64_t wait_ms;

	if (refusal == NULL)
		return 0;
	wait_ms = refusal->until_ms - now;
	if (refusal->probe_ms > 0)
		wait_ms = MAX(wait_ms,
			      refusal->probe_ms + PROBE_TIMEOUT_MS - now);
	pace = get_pace(rbud, service);
	if (pace != NULL && pace->last_send_ms > 0)
		wait_ms = MAX(wait_ms,
			      pace->last_send_ms + (int64_t)pace->gap_ms - now);
	return MAX(wait_ms, 0);
}

bool rbud_take_retry(struct rbud *rbud, int64_t now)
{
	double trickled = (double)(now - rbud->trickled_ms) / 1000.0 *
			  RETRY_TRICKLE_PER_S;

	if (rbud->trickled_ms > 0 && rbud->tokens < 1.0)
		rbud->tokens = MIN(rbud->tokens + trickled, 1.0);
	rbud->trickled_ms = now;
	/* Tenths do not add up to one exactly. */
	if (rbud->tokens < 1.0 - 1e-6)
		return false;
	rbud->tokens -= 1.0;
	return true;
}

int64_t rbud_retry_after_ms(struct rbud *rbud, const char *service,
			    int64_t min_ms)
{
	const struct pace *pace = get_pace(rbud, service);
	int64_t ms = min_ms;

	if (pace != NULL)
		ms = MAX(ms,
			 MIN((int64_t)pace->gap_ms, RETRY_AFTER_GAP_MAX_MS));
	return ms + (int64_t)rng_below(&rbud->rng, (uint64_t)MAX(ms, 0) + 1);
}

void rbud_inspect(const struct rbud *rbud, const char *service,
		  const char *server, int64_t now, struct rbud_view *view)
{
	const struct refusal *refusal = find_refusal(rbud, server, now);
	const struct pace *pace = get_pace(rbud, service);

	view->level = refusal ? refusal->level : 0;
	view->backoff_ms = refusal ? MAX(refusal->until_ms - now, 0) : 0;
	view->gap_ms = pace ? (int64_t)pace->gap_ms : 0;
	view->tokens = rbud->tokens;
}

/* The order of reports: latest first. */
static bool comes_before(const struct refusal *a, const struct refusal *b)
{
	return a->as_of_ms > b->as_of_ms ||
	       (a->as_of_ms == b->as_of_ms && a->hash > b->hash);
}

/* Returns the first refusal after @p last that is to be reported, or NULL. */
static struct refusal *next_report(const struct rbud *rbud,
				   const struct refusal *last)
{
	struct refusal *latest = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, rbud->refusals);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct refusal *refusal = p;

		if (refusal->sends_left > 0 &&
		    (last == NULL || comes_before(last, refusal)) &&
		    (latest == NULL || comes_before(refusal, latest)))
			latest = refusal;
	}
	return latest;
}

size_t rbud_take_reports(struct rbud *rbud, struct rbud_report *reports,
			 size_t max, int64_t now)
{
	const struct refusal *last = NULL;
	size_t count = 0;

	if (rbud->report_ms > 0)
		rbud->report_tokens += (double)(now - rbud->report_ms) /
				       1000.0 * REPORTS_PER_S;
	rbud->report_tokens = MIN(rbud->report_tokens, REPORTS_BURST);
	rbud->report_ms = now;
	while (count < max && rbud->report_tokens >= 1.0) {
		struct refusal *refusal = next_report(rbud, last);

		if (refusal == NULL)
			break;
		last = refusal;
		refusal->sends_left--;
		rbud->report_tokens -= 1.0;
		reports[count++] = (struct rbud_report){
			.server = refusal->hash,
			.level = refusal->level,
			.age_ms = MAX(now - refusal->as_of_ms, 0),
		};
	}
	return count;
}

bool rbud_on_report(struct rbud *rbud, const struct rbud_report *news,
		    int64_t now)
{
	struct refusal *refusal;
	int64_t as_of_ms = now - news->age_ms;
	bool is_news;

	if (news->age_ms < 0 || news->age_ms >= REPORT_AGE_MAX_MS)
		return false;
	refusal = find_hash(rbud, news->server);
	if (refusal == NULL && news->level > 0)
		refusal = add_refusal(rbud, news->server);
	if (refusal == NULL || as_of_ms <= refusal->as_of_ms)
		return false;
	is_news = (refusal->level > 0) != (news->level > 0) ||
		  as_of_ms - refusal->reported_ms >= REFRESH_MS;
	/* Only the instance that was refused backs off: a single refusal must
	 * not stop all sends to a server. */
	refusal->level = MIN(news->level, LEVEL_MAX);
	refusal->as_of_ms = as_of_ms;
	if (is_news)
		report(refusal);
	return is_news;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now)
{
	const struct refusal *refusal = value;

	(void)key;
	return *(int64_t *)now - refusal->as_of_ms >= RBUD_KEPT_MS;
}

void rbud_expire(struct rbud *rbud, int64_t now)
{
	g_hash_table_foreach_remove(rbud->refusals, is_expired, &now);
}
