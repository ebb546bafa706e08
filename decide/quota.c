/** @file quota.c @brief Distributed rate limits. */
#include <math.h>
#include <string.h>

#include "quota.h"
#include "rng.h"

/* Time constant of the demand, so that shares follow callers that move. */
#define DEMAND_DECAY_MS 1500.0
/* Part of the limit that is divided evenly, for new demand at any instance. */
#define EVEN_SHARE 0.05
/* Part of the burst that is reserved for programs in progress. */
#define RESERVE_SHARE 0.5
/* Part of a small limit that is at the account's home in a small fleet; the
 * rest is for instances that can't reach it. In a large one that would be less
 * than a token for each. */
#define HOME_SHARE 0.95
/* Tokens of an account after a restart, beside half of the slack, in seconds of
 * its rate; within the excess that is allowed in a window. */
#define RESTART_CREDIT_S 0.25
/* Tokens that a lender keeps for its own callers, in seconds of demand. */
#define LENDER_RESERVE_S 0.1
/* Total demand below this counts as none, in requests a second. */
#define DEMAND_MIN 0.05

enum {
	INSTANCES_INITIAL = 16, /* until the number is known */
	WAIT_MAX_MS = 1000,
	REPORT_FRESH_MS = 600,	/* allows for two lost reports */
	FEW_INSTANCES_MAX = 16, /* up to here limits are divided by demand */
	RESTART_MS = 5000,	/* after that no restart credit is given */
	HOME_LEASE_MS = 1000,	/* after the last contact with the others */
	BORROWED_LIFETIME_MS = 400, /* for requests whose caller has left */
};

struct bucket {
	double tokens;
	double borrowed; /* from other instances; expires unless used */
	int64_t borrowed_ms;
	double backlog;	   /* requests refused with a time to ask again */
	double share;	   /* of rate and burst, at this instance */
	int64_t filled_ms; /* time of the last refill */
	double demand;	   /* requests a second */
	int64_t demand_at_ms;
	GHashTable *reports; /* instance -> struct report */
	char *home;	     /* id of the account's home */
	bool is_home;	     /* this instance is, by majority */
	bool acts_as_home;   /* and was in contact at the last refill */
	bool refilled;	     /* at least once */
	bool credited;	     /* has had its restart credit */
	bool divided;	     /* the limit is divided by demand */
	bool undivided;	     /* see struct quota_limit */
	uint32_t home_epoch; /* membership epoch for which home was computed */
};

/* The last report of another instance on one account. */
struct report {
	double demand;
	double tokens;
	int64_t received_ms;
	double own_demand; /* demand here at that time */
};

struct quota {
	char *id;
	int64_t started_ms;
	uint32_t members_epoch; /* counts changes of the set of instances */
	uint32_t instances;
	bool restart_credit;	  /* for accounts at home here */
	int64_t contact_since_ms; /* contact without a break since then */
	int64_t changed_ms; /* last change of the set of instances, at most one
			     * period later */
	int64_t contact_ms; /* last confirmed contact; may be far in the past */
	GHashTable *alive;  /* instances that respond */
	GHashTable *known;  /* instances whose demand is known */
	GHashTable *buckets; /* account -> struct bucket */
};

static void bucket_free(gpointer p)
{
	struct bucket *bucket = p;

	g_hash_table_destroy(bucket->reports);
	g_free(bucket->home);
	g_free(bucket);
}

struct quota *quota_create(const char *id, int64_t now)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->id = g_strdup(id);
	quota->started_ms = now;
	quota->members_epoch = 1;
	quota->instances = INSTANCES_INITIAL;
	quota->contact_ms = G_MININT32;
	quota->contact_since_ms = now;
	quota->changed_ms = now;
	quota->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	quota->alive =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	quota->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       bucket_free);
	return quota;
}

void quota_destroy(struct quota *quota)
{
	if (quota == NULL)
		return;
	g_hash_table_destroy(quota->alive);
	g_hash_table_destroy(quota->known);
	g_hash_table_destroy(quota->buckets);
	g_free(quota->id);
	g_free(quota);
}

static struct bucket *get_bucket(struct quota *quota, const char *account)
{
	struct bucket *bucket = g_hash_table_lookup(quota->buckets, account);

	if (bucket != NULL)
		return bucket;
	bucket = g_new0(struct bucket, 1);
	bucket->tokens = 1.0;
	bucket->filled_ms = quota->started_ms;
	bucket->demand_at_ms = quota->started_ms;
	bucket->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(quota->buckets, g_strdup(account), bucket);
	return bucket;
}

static void decay_demand(struct bucket *bucket, int64_t now)
{
	double age = (double)(now - bucket->demand_at_ms);

	bucket->demand *= exp(-age / DEMAND_DECAY_MS);
	bucket->demand_at_ms = now;
}

/* The set of instances changed, and with it the homes of some accounts. */
static void note_change(struct quota *quota)
{
	quota->members_epoch++;
	quota->changed_ms = MAX(quota->contact_ms, quota->started_ms);
}

void quota_report_demand(struct quota *quota, const char *instance,
			 const char *account, double per_s, double tokens,
			 int64_t now)
{
	struct bucket *bucket = get_bucket(quota, account);
	struct report *report = g_new(struct report, 1);

	decay_demand(bucket, now);
	report->demand = isfinite(per_s) ? MAX(per_s, 0) : 0;
	report->tokens = isfinite(tokens) ? tokens : 0;
	report->received_ms = now;
	report->own_demand = bucket->demand;
	g_hash_table_replace(bucket->reports, g_strdup(instance), report);
}

static void drop_reports(struct quota *quota, const char *instance)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, quota->buckets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct bucket *bucket = p;

		g_hash_table_remove(bucket->reports, instance);
	}
}

void quota_report_begin(struct quota *quota, const char *instance)
{
	drop_reports(quota, instance);
	g_hash_table_add(quota->known, g_strdup(instance));
	quota_add_instance(quota, instance);
}

void quota_add_instance(struct quota *quota, const char *instance)
{
	if (g_hash_table_add(quota->alive, g_strdup(instance)))
		note_change(quota);
}

void quota_confirm_contact(struct quota *quota, int64_t now)
{
	if (!quota_has_contact(quota, now))
		quota->contact_since_ms = now;
	quota->contact_ms = now;
}

void quota_allow_restart_credit(struct quota *quota)
{
	quota->restart_credit = true;
}

bool quota_has_contact(const struct quota *quota, int64_t now)
{
	return now - quota->contact_ms <= HOME_LEASE_MS;
}

bool quota_divides_limits(const struct quota *quota)
{
	return quota->instances <= FEW_INSTANCES_MAX;
}

void quota_mark_silent(struct quota *quota, const char *instance)
{
	if (g_hash_table_remove(quota->alive, instance))
		note_change(quota);
}

void quota_remove_instance(struct quota *quota, const char *instance)
{
	drop_reports(quota, instance);
	g_hash_table_remove(quota->known, instance);
	quota_mark_silent(quota, instance);
}

void quota_set_instances(struct quota *quota, uint32_t count)
{
	if (quota->instances != MAX(count, 1))
		note_change(quota);
	quota->instances = MAX(count, 1);
}

/*
 * Estimates the demand at another instance. Once its report is old, its demand
 * is assumed to grow as ours does: each side of a network partition then keeps
 * its share, whatever its own demand.
 */
static double estimate_demand(const struct report *report,
			      const struct bucket *bucket, int64_t now)
{
	double own = MAX(report->own_demand, 1000.0 / DEMAND_DECAY_MS);

	if (now - report->received_ms < REPORT_FRESH_MS ||
	    bucket->demand <= own)
		return report->demand;
	return report->demand * bucket->demand / own;
}

static bool was_asked(const GPtrArray *asked, const char *instance)
{
	return asked != NULL &&
	       g_ptr_array_find_with_equal_func((GPtrArray *)asked, instance,
						g_str_equal, NULL);
}

/* The home of an account, by rendezvous hashing over the live instances without
 * those in @p asked, which may be NULL. */
static const char *find_home(const struct quota *quota, const char *account,
			     const GPtrArray *asked)
{
	const char *home = quota->id;
	uint64_t home_rank = rng_rank(account, home);
	GHashTableIter it;
	gpointer other;

	g_hash_table_iter_init(&it, quota->alive);
	while (g_hash_table_iter_next(&it, &other, NULL)) {
		uint64_t rank = rng_rank(account, other);

		if (rank <= home_rank || was_asked(asked, other))
			continue;
		home = other;
		home_rank = rank;
	}
	return home;
}

/*
 * A missing instance may still act as home for its own callers. Among few
 * instances that is a large part of the limit, so there is no home until all
 * are present; among many, or if the limit is never divided, it takes a
 * majority to be home.
 */
static void update_home(struct quota *quota, const char *account,
			struct bucket *bucket)
{
	guint alive = g_hash_table_size(quota->alive) + 1;
	guint needed = quota_divides_limits(quota) && !bucket->undivided
			       ? quota->instances
			       : quota->instances / 2 + 1;

	if (bucket->home_epoch == quota->members_epoch)
		return;
	g_free(bucket->home);
	bucket->home = g_strdup(find_home(quota, account, NULL));
	bucket->is_home =
		alive >= needed && strcmp(bucket->home, quota->id) == 0;
	bucket->home_epoch = quota->members_epoch;
}

/*
 * The part of a limit that is at the account's home. An instance needs a whole
 * token to send a request; where shares are smaller than that, or where the
 * fleet is too large for reports of demand, nearly all is in one place.
 */
static double home_share(const struct quota *quota,
			 const struct quota_limit *limit)
{
	if (limit->undivided || !quota_divides_limits(quota))
		return 1;
	return limit->burst / quota->instances < 1.0 ? HOME_SHARE : 0;
}

static double compute_share(const struct quota *quota, struct bucket *bucket,
			    int64_t now)
{
	double even = 1.0 / quota->instances;
	double all = bucket->demand;
	guint known = 1 + g_hash_table_size(quota->known);
	GHashTableIter it;
	gpointer report;

	/* The demand at an instance without any report may equal our own. */
	if (known < quota->instances)
		all += bucket->demand * (quota->instances - known);
	g_hash_table_iter_init(&it, bucket->reports);
	while (g_hash_table_iter_next(&it, NULL, &report))
		all += estimate_demand(report, bucket, now);
	if (all < DEMAND_MIN)
		return even;
	return EVEN_SHARE * even + (1 - EVEN_SHARE) * bucket->demand / all;
}

/* Tokens that an account has at once after its home has restarted. */
static double restart_credit(const struct quota *quota, struct bucket *bucket,
			     const struct quota_limit *limit, int64_t now)
{
	if (bucket->credited || !quota->restart_credit ||
	    now - quota->started_ms > RESTART_MS)
		return 0;
	bucket->credited = true;
	return RESTART_CREDIT_S * limit->rate + limit->slack / 2;
}

/*
 * Updates whether this instance acts as the account's home. Tokens accrue only
 * from when it surely did: not over a pause, nor over the time in which another
 * one was home.
 */
static void set_acting(const struct quota *quota, struct bucket *bucket,
		       bool acting, int64_t now)
{
	int64_t since_ms = quota->contact_since_ms;

	if (acting && !bucket->acts_as_home)
		since_ms = bucket->refilled ? now
					    : MAX(since_ms, quota->changed_ms);
	if (acting)
		bucket->filled_ms = MAX(bucket->filled_ms, since_ms);
	bucket->acts_as_home = acting;
	bucket->refilled = true;
}

/* Adds the tokens since the last refill, at the present share. */
static void refill(struct quota *quota, const char *account,
		   struct bucket *bucket, const struct quota_limit *limit,
		   int64_t now)
{
	double at_home = home_share(quota, limit);
	double share = (1 - at_home) * compute_share(quota, bucket, now);
	double capacity;

	bucket->undivided = limit->undivided;
	update_home(quota, account, bucket);
	bucket->divided = at_home == 0;
	set_acting(quota, bucket,
		   bucket->is_home && quota_has_contact(quota, now), now);
	if (bucket->acts_as_home)
		share += at_home;
	capacity = MAX(limit->burst * share, at_home > 0 ? 0 : 1.0) +
		   limit->slack * ((1 - at_home) / quota->instances +
				   (bucket->acts_as_home ? at_home : 0));

	if (share < bucket->share && bucket->tokens > 0)
		bucket->tokens *= share / bucket->share;
	bucket->share = share;
	bucket->tokens += limit->rate * share *
			  (double)(now - bucket->filled_ms) / 1000.0;
	if (bucket->acts_as_home)
		bucket->tokens += restart_credit(quota, bucket, limit, now);
	bucket->tokens = MIN(bucket->tokens, capacity);
	bucket->backlog -= limit->rate * share *
			   (double)(now - bucket->filled_ms) / 1000.0;
	bucket->backlog = MAX(bucket->backlog, 0);
	bucket->filled_ms = now;
	if (now - bucket->borrowed_ms > BORROWED_LIFETIME_MS)
		bucket->borrowed = 0;
}

void quota_add_demand(struct quota *quota, const char *account, int64_t now)
{
	struct bucket *bucket = get_bucket(quota, account);

	decay_demand(bucket, now);
	bucket->demand += 1000.0 / DEMAND_DECAY_MS;
}

/* Tokens that a new program must leave for programs in progress. */
static double reserve_for(const struct bucket *bucket,
			  const struct quota_limit *limit, bool new_program)
{
	return new_program ? RESERVE_SHARE * limit->burst * bucket->share : 0;
}

bool quota_take(struct quota *quota, const char *account,
		const struct quota_limit *limit, bool new_program, int64_t now,
		int64_t *wait_ms)
{
	struct bucket *bucket = get_bucket(quota, account);
	double needed;
	double missing_ms;

	decay_demand(bucket, now);
	*wait_ms = 0;
	if (limit->rate <= 0)
		return true;
	refill(quota, account, bucket, limit, now);
	needed = 1.0 + reserve_for(bucket, limit, new_program);
	if (bucket->borrowed >= 1.0) {
		bucket->borrowed -= 1.0;
		return true;
	}
	if (bucket->tokens >= needed) {
		bucket->tokens -= 1.0;
		return true;
	}
	missing_ms = (needed - bucket->tokens) * 1000.0 /
		     (limit->rate * bucket->share);
	*wait_ms = (int64_t)MIN(missing_ms, (double)WAIT_MAX_MS) + 1;
	return false;
}

double quota_interval_ms(struct quota *quota, const char *account,
			 const struct quota_limit *limit)
{
	const struct bucket *bucket = get_bucket(quota, account);

	return bucket->share > 0 && limit->rate > 0
		       ? 1000.0 / (limit->rate * bucket->share)
		       : (double)WAIT_MAX_MS;
}

const char *quota_pick_lender(struct quota *quota, const char *account,
			      const struct quota_limit *limit,
			      const GPtrArray *asked)
{
	struct bucket *bucket = get_bucket(quota, account);
	const char *best = NULL;
	struct report *richest = NULL;
	GHashTableIter it;
	gpointer instance;
	gpointer p;

	if (home_share(quota, limit) > 0) {
		best = find_home(quota, account, asked);
		if (strcmp(best, quota->id) != 0)
			return best;
		best = NULL;
	}
	g_hash_table_iter_init(&it, bucket->reports);
	while (g_hash_table_iter_next(&it, &instance, &p)) {
		struct report *report = p;

		if (report->tokens < 1.0 ||
		    (richest != NULL && report->tokens <= richest->tokens) ||
		    was_asked(asked, instance))
			continue;
		best = instance;
		richest = report;
	}
	if (richest != NULL)
		richest->tokens -= 1.0;
	return best;
}

bool quota_is_elsewhere(struct quota *quota, const char *account,
			const struct quota_limit *limit)
{
	struct bucket *bucket = get_bucket(quota, account);

	bucket->undivided = limit->undivided;
	update_home(quota, account, bucket);
	return home_share(quota, limit) > 0 && !bucket->is_home;
}

uint32_t quota_lend(struct quota *quota, const char *account,
		    const struct quota_limit *limit, uint32_t wanted,
		    bool new_program, int64_t now, int64_t *wait_ms)
{
	struct bucket *bucket = get_bucket(quota, account);
	double spare;
	uint32_t granted;

	*wait_ms = 0;
	if (limit->rate <= 0)
		return 0;
	decay_demand(bucket, now);
	refill(quota, account, bucket, limit, now);
	spare = bucket->tokens - bucket->demand * LENDER_RESERVE_S;
	if (bucket->acts_as_home)
		spare -= reserve_for(bucket, limit, new_program);
	granted = spare >= 1.0 ? (uint32_t)MIN(spare, (double)wanted) : 0;
	bucket->tokens -= granted;
	if (granted == 0 && bucket->acts_as_home) {
		double ms = (1.0 - spare + bucket->backlog) * 1000.0 /
			    (limit->rate * bucket->share);

		*wait_ms = (int64_t)MIN(ms, (double)WAIT_MAX_MS) + 1;
		bucket->backlog += wanted;
	}
	return granted;
}

void quota_add_borrowed(struct quota *quota, const char *account,
			uint32_t count, int64_t now)
{
	struct bucket *bucket = get_bucket(quota, account);

	bucket->borrowed += count;
	bucket->borrowed_ms = now;
}

void quota_refund(struct quota *quota, const char *account)
{
	get_bucket(quota, account)->tokens += 1.0;
}

void quota_forget(struct quota *quota, const char *account)
{
	g_hash_table_remove(quota->buckets, account);
}

void quota_inspect(const struct quota *quota, const char *account,
		   struct quota_view *view)
{
	const struct bucket *bucket =
		g_hash_table_lookup(quota->buckets, account);

	memset(view, 0, sizeof(*view));
	view->instances = quota->instances;
	if (bucket == NULL)
		return;
	view->tokens = bucket->tokens;
	view->share = bucket->share;
	view->demand = bucket->demand;
	view->home = bucket->acts_as_home;
}

void quota_foreach(struct quota *quota, int64_t now, quota_demand_fn *fn,
		   void *arg)
{
	GHashTableIter it;
	gpointer account;
	gpointer p;

	g_hash_table_iter_init(&it, quota->buckets);
	while (g_hash_table_iter_next(&it, &account, &p)) {
		struct bucket *bucket = p;

		if (!bucket->divided)
			continue;
		decay_demand(bucket, now);
		fn(account, bucket->demand,
		   bucket->tokens - bucket->demand * LENDER_RESERVE_S, arg);
	}
}
