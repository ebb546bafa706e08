/** @file quota.c @brief Rate and burst of an account over all instances. */
#include <math.h>
#include <string.h>

#include "quota.h"
#include "rng.h"

/* Demand fades with this time, so that shares follow moving callers. */
#define DEMAND_FADE_MS 1500.0
/* Part of the rate that is dealt evenly, for demand that is new somewhere. */
#define EVEN_PART 0.05
/* Part of the burst that new programs leave to those under way. */
#define NEW_PROGRAM_PART 0.5
/* The part of a small limit that lies at its home; the rest is for instances
 * that can't ask it. */
#define HOME_PART 0.95
/* What a lender keeps for its own callers, in seconds of their demand. */
#define KEEP_S 0.1
/* Demand below this is taken as none, in requests a second. */
#define DEMAND_LEAST 0.05

enum {
	INSTANCES_UNKNOWN = 16, /* before the first list of instances */
	WAIT_MOST_MS = 1000,
	WORD_FRESH_MS = 600, /* two words of an instance may get lost */
	FLOORS_MOST = 16,    /* instances that may hold a token more than due */
	LENT_MS = 400, /* what was lent for a request that left is dropped */
};

struct bucket {
	double tokens;
	double lent; /* by other instances; it fades unless it is used */
	int64_t lent_at;
	double queued; /* requests that were told to ask again */
	double share;  /* the part of rate and burst that is ours */
	int64_t at;    /* when tokens were last added */
	double demand; /* requests a second */
	int64_t demand_at;
	GHashTable *others; /* instance -> struct word */
	bool home;	    /* this instance is the account's home */
	uint32_t home_for;  /* value of qta.changes that this holds for */
};

/* The last word of another instance on one account. */
struct word {
	double demand;
	double tokens;
	int64_t at;
	double own; /* our demand at that time */
};

struct quota {
	char *id;
	int64_t started;
	uint32_t changes; /* of the set of instances */
	uint32_t instances;
	GHashTable *alive;   /* instances that are heard now */
	GHashTable *heard;   /* instances whose demand is known */
	GHashTable *buckets; /* account -> struct bucket */
};

static void bucket_free(gpointer p)
{
	struct bucket *bucket = p;

	g_hash_table_destroy(bucket->others);
	g_free(bucket);
}

struct quota *quota_create(const char *id, int64_t now)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->id = g_strdup(id);
	quota->started = now;
	quota->changes = 1;
	quota->instances = INSTANCES_UNKNOWN;
	quota->heard =
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
	g_hash_table_destroy(quota->heard);
	g_hash_table_destroy(quota->buckets);
	g_free(quota->id);
	g_free(quota);
}

static struct bucket *bucket_of(struct quota *quota, const char *account)
{
	struct bucket *bucket = g_hash_table_lookup(quota->buckets, account);

	if (bucket != NULL)
		return bucket;
	bucket = g_new0(struct bucket, 1);
	bucket->tokens = 1.0;
	bucket->at = quota->started;
	bucket->demand_at = quota->started;
	bucket->others =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(quota->buckets, g_strdup(account), bucket);
	return bucket;
}

static void fade(struct bucket *bucket, int64_t now)
{
	double age = (double)(now - bucket->demand_at);

	bucket->demand *= exp(-age / DEMAND_FADE_MS);
	bucket->demand_at = now;
}

void quota_report_demand(struct quota *quota, const char *instance,
			 const char *account, double per_s, double tokens,
			 int64_t now)
{
	struct bucket *bucket = bucket_of(quota, account);
	struct word *word = g_new(struct word, 1);

	fade(bucket, now);
	word->demand = isfinite(per_s) ? MAX(per_s, 0) : 0;
	word->tokens = isfinite(tokens) ? tokens : 0;
	word->at = now;
	word->own = bucket->demand;
	g_hash_table_replace(bucket->others, g_strdup(instance), word);
}

static void drop_demands(struct quota *quota, const char *instance)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, quota->buckets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct bucket *bucket = p;

		g_hash_table_remove(bucket->others, instance);
	}
}

void quota_report_begin(struct quota *quota, const char *instance)
{
	drop_demands(quota, instance);
	g_hash_table_add(quota->heard, g_strdup(instance));
	if (g_hash_table_add(quota->alive, g_strdup(instance)))
		quota->changes++;
}

void quota_mark_silent(struct quota *quota, const char *instance)
{
	if (g_hash_table_remove(quota->alive, instance))
		quota->changes++;
}

void quota_remove_instance(struct quota *quota, const char *instance)
{
	drop_demands(quota, instance);
	g_hash_table_remove(quota->heard, instance);
	quota_mark_silent(quota, instance);
}

void quota_set_instances(struct quota *quota, uint32_t count)
{
	if (quota->instances != MAX(count, 1))
		quota->changes++;
	quota->instances = MAX(count, 1);
}

/*
 * What another instance is taken to be asked for. One that has been silent for
 * a while is taken to see demand grow as we do: each side of a cut then keeps
 * the share that it had, whatever is asked of it.
 */
static double demand_of(const struct word *word, const struct bucket *bucket,
			int64_t now)
{
	double own = MAX(word->own, 1000.0 / DEMAND_FADE_MS);

	if (now - word->at < WORD_FRESH_MS || bucket->demand <= own)
		return word->demand;
	return word->demand * bucket->demand / own;
}

/* The home of an account among the instances that are known. */
static const char *home_of(const struct quota *quota, const char *account)
{
	const char *home = quota->id;
	uint64_t most = rng_rank(account, home);
	GHashTableIter it;
	gpointer other;

	g_hash_table_iter_init(&it, quota->alive);
	while (g_hash_table_iter_next(&it, &other, NULL)) {
		uint64_t order = rng_rank(account, other);

		if (order <= most)
			continue;
		home = other;
		most = order;
	}
	return home;
}

/*
 * An instance that is missing may still be the home, for its own callers: in a
 * small fleet that is a large part, so there is no home meanwhile; in a wide
 * one the most that can be known there is that more than half are heard.
 */
static bool is_home(const struct quota *quota, const char *account)
{
	guint alive = g_hash_table_size(quota->alive) + 1;
	guint least = quota->instances > FLOORS_MOST ? quota->instances / 2 + 1
						     : quota->instances;

	return alive >= least &&
	       strcmp(home_of(quota, account), quota->id) == 0;
}

/*
 * The part of a limit that lies at its home. An instance needs a whole token
 * to send anything; where shares are smaller than that, or where a token for
 * each would be much beside the limit, nearly all of it lies in one place.
 */
static double home_part(const struct quota *quota, double burst)
{
	double each = burst / quota->instances;

	if (each < 1.0 || (quota->instances > FLOORS_MOST && each < 4.0))
		return HOME_PART;
	return 0;
}

static double share_of(const struct quota *quota, struct bucket *bucket,
		       int64_t now)
{
	double even = 1.0 / quota->instances;
	double all = bucket->demand;
	guint known = 1 + g_hash_table_size(quota->heard);
	GHashTableIter it;
	gpointer word;

	/* One that was never heard of may be asked for as much as we are. */
	if (known < quota->instances)
		all += bucket->demand * (quota->instances - known);
	g_hash_table_iter_init(&it, bucket->others);
	while (g_hash_table_iter_next(&it, NULL, &word))
		all += demand_of(word, bucket, now);
	if (all < DEMAND_LEAST)
		return even;
	return EVEN_PART * even + (1 - EVEN_PART) * bucket->demand / all;
}

/* Adds what has come in since the last time, at the share there is now. */
static void refill(struct quota *quota, const char *account,
		   struct bucket *bucket, const struct quota_limit *limit,
		   int64_t now)
{
	double at_home = home_part(quota, limit->burst);
	double share = (1 - at_home) * share_of(quota, bucket, now);
	double most;

	if (bucket->home_for != quota->changes) {
		bucket->home = is_home(quota, account);
		bucket->home_for = quota->changes;
	}
	if (bucket->home)
		share += at_home;
	most = MAX(limit->burst * share, at_home > 0 ? 0 : 1.0) +
	       limit->slack * ((1 - at_home) / quota->instances +
			       (bucket->home ? at_home : 0));

	if (share < bucket->share && bucket->tokens > 0)
		bucket->tokens *= share / bucket->share;
	bucket->share = share;
	bucket->tokens +=
		limit->rate * share * (double)(now - bucket->at) / 1000.0;
	bucket->tokens = MIN(bucket->tokens, most);
	bucket->queued -=
		limit->rate * share * (double)(now - bucket->at) / 1000.0;
	bucket->queued = MAX(bucket->queued, 0);
	bucket->at = now;
	if (now - bucket->lent_at > LENT_MS)
		bucket->lent = 0;
}

void quota_add_demand(struct quota *quota, const char *account, int64_t now)
{
	struct bucket *bucket = bucket_of(quota, account);

	fade(bucket, now);
	bucket->demand += 1000.0 / DEMAND_FADE_MS;
}

/* What a new program leaves to those under way. */
static double reserve_of(const struct bucket *bucket,
			 const struct quota_limit *limit, bool begins)
{
	return begins ? NEW_PROGRAM_PART * limit->burst * bucket->share : 0;
}

bool quota_take(struct quota *quota, const char *account,
		const struct quota_limit *limit, bool begins, int64_t now,
		int64_t *wait_ms)
{
	struct bucket *bucket = bucket_of(quota, account);
	double least;
	double missing_ms;

	fade(bucket, now);
	*wait_ms = 0;
	if (limit->rate <= 0)
		return true;
	refill(quota, account, bucket, limit, now);
	least = 1.0 + reserve_of(bucket, limit, begins);
	if (bucket->lent >= 1.0) {
		bucket->lent -= 1.0;
		return true;
	}
	if (bucket->tokens >= least) {
		bucket->tokens -= 1.0;
		return true;
	}
	missing_ms = (least - bucket->tokens) * 1000.0 /
		     (limit->rate * bucket->share);
	*wait_ms = (int64_t)MIN(missing_ms, (double)WAIT_MOST_MS) + 1;
	return false;
}

double quota_interval_ms(struct quota *quota, const char *account,
			 const struct quota_limit *limit)
{
	const struct bucket *bucket = bucket_of(quota, account);

	return bucket->share > 0 && limit->rate > 0
		       ? 1000.0 / (limit->rate * bucket->share)
		       : (double)WAIT_MOST_MS;
}

static bool was_asked(const GPtrArray *asked, const char *instance)
{
	return g_ptr_array_find_with_equal_func((GPtrArray *)asked, instance,
						g_str_equal, NULL);
}

const char *quota_pick_lender(struct quota *quota, const char *account,
			      const struct quota_limit *limit,
			      const GPtrArray *asked)
{
	struct bucket *bucket = bucket_of(quota, account);
	const char *best = NULL;
	struct word *most = NULL;
	GHashTableIter it;
	gpointer instance;
	gpointer p;

	if (home_part(quota, limit->burst) > 0) {
		best = home_of(quota, account);
		if (strcmp(best, quota->id) != 0 && !was_asked(asked, best))
			return best;
		best = NULL;
	}
	g_hash_table_iter_init(&it, bucket->others);
	while (g_hash_table_iter_next(&it, &instance, &p)) {
		struct word *word = p;

		if (word->tokens < 1.0 ||
		    (most != NULL && word->tokens <= most->tokens) ||
		    was_asked(asked, instance))
			continue;
		best = instance;
		most = word;
	}
	if (most != NULL)
		most->tokens -= 1.0;
	return best;
}

uint32_t quota_lend(struct quota *quota, const char *account,
		    const struct quota_limit *limit, uint32_t wanted,
		    bool begins, int64_t now, int64_t *wait_ms)
{
	struct bucket *bucket = bucket_of(quota, account);
	double spare;
	uint32_t granted;

	*wait_ms = 0;
	if (limit->rate <= 0)
		return 0;
	fade(bucket, now);
	refill(quota, account, bucket, limit, now);
	spare = bucket->tokens - bucket->demand * KEEP_S;
	if (bucket->home)
		spare -= reserve_of(bucket, limit, begins);
	granted = spare >= 1.0 ? (uint32_t)MIN(spare, (double)wanted) : 0;
	bucket->tokens -= granted;
	if (granted == 0 && bucket->home) {
		double ms = (1.0 - spare + bucket->queued) * 1000.0 /
			    (limit->rate * bucket->share);

		*wait_ms = (int64_t)MIN(ms, (double)WAIT_MOST_MS) + 1;
		bucket->queued += wanted;
	}
	return granted;
}

void quota_add_borrowed(struct quota *quota, const char *account,
			uint32_t count, int64_t now)
{
	struct bucket *bucket = bucket_of(quota, account);

	bucket->lent += count;
	bucket->lent_at = now;
}

void quota_refund(struct quota *quota, const char *account)
{
	bucket_of(quota, account)->tokens += 1.0;
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
	view->home = bucket->home;
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

		fade(bucket, now);
		fn(account, bucket->demand,
		   bucket->tokens - bucket->demand * KEEP_S, arg);
	}
}
