/** @file quota.c @brief Rate and burst of an account over all instances. */
#include <math.h>

#include "quota.h"

/* Demand fades with this time, so that shares follow moving callers. */
#define DEMAND_FADE_MS 1500.0
/* Part of the rate that is dealt evenly, for demand that is new somewhere. */
#define EVEN_PART 0.05
/* Part of the burst that new programs leave to those under way. */
#define NEW_PROGRAM_PART 0.5
/* Demand below this is taken as none, in requests a second. */
#define DEMAND_LEAST 0.05

enum {
	INSTANCES_UNKNOWN = 16, /* before the first list of instances */
	WAIT_MOST_MS = 1000,
};

struct bucket {
	double tokens;
	double share;  /* the part of rate and burst that is ours */
	int64_t at;    /* when tokens were last added */
	double demand; /* requests a second */
	int64_t demand_at;
	GHashTable *others; /* instance -> double * of its demand */
};

struct qta {
	int64_t started;
	uint32_t instances;
	GHashTable *heard;   /* instances whose demand is known */
	GHashTable *buckets; /* account -> struct bucket */
};

static void bucket_free(gpointer p)
{
	struct bucket *bucket = p;

	g_hash_table_destroy(bucket->others);
	g_free(bucket);
}

struct qta *qta_create(int64_t now)
{
	struct qta *qta = g_new0(struct qta, 1);

	qta->started = now;
	qta->instances = INSTANCES_UNKNOWN;
	qta->heard =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	qta->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     bucket_free);
	return qta;
}

void qta_destroy(struct qta *qta)
{
	if (qta == NULL)
		return;
	g_hash_table_destroy(qta->heard);
	g_hash_table_destroy(qta->buckets);
	g_free(qta);
}

static struct bucket *bucket_of(struct qta *qta, const char *account)
{
	struct bucket *bucket = g_hash_table_lookup(qta->buckets, account);

	if (bucket != NULL)
		return bucket;
	bucket = g_new0(struct bucket, 1);
	bucket->tokens = 1.0;
	bucket->at = qta->started;
	bucket->demand_at = qta->started;
	bucket->others =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(qta->buckets, g_strdup(account), bucket);
	return bucket;
}

void qta_told(struct qta *qta, const char *instance, const char *account,
	      double per_s)
{
	double *demand = g_new(double, 1);

	*demand = isfinite(per_s) ? MAX(per_s, 0) : 0;
	g_hash_table_replace(bucket_of(qta, account)->others,
			     g_strdup(instance), demand);
}

static void drop_demands(struct qta *qta, const char *instance)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, qta->buckets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct bucket *bucket = p;

		g_hash_table_remove(bucket->others, instance);
	}
}

void qta_heard(struct qta *qta, const char *instance)
{
	drop_demands(qta, instance);
	g_hash_table_add(qta->heard, g_strdup(instance));
}

void qta_forget(struct qta *qta, const char *instance)
{
	drop_demands(qta, instance);
	g_hash_table_remove(qta->heard, instance);
}

void qta_instances(struct qta *qta, uint32_t count)
{
	qta->instances = MAX(count, 1);
}

static void fade(struct bucket *bucket, int64_t now)
{
	double age = (double)(now - bucket->demand_at);

	bucket->demand *= exp(-age / DEMAND_FADE_MS);
	bucket->demand_at = now;
}

static double share_of(const struct qta *qta, struct bucket *bucket)
{
	double even = 1.0 / qta->instances;
	double all = bucket->demand;
	guint known = 1 + g_hash_table_size(qta->heard);
	GHashTableIter it;
	gpointer demand;

	/* One that was never heard of may be asked for as much as we are. */
	if (known < qta->instances)
		all += bucket->demand * (qta->instances - known);
	g_hash_table_iter_init(&it, bucket->others);
	while (g_hash_table_iter_next(&it, NULL, &demand))
		all += *(double *)demand;
	if (all < DEMAND_LEAST)
		return even;
	return EVEN_PART * even + (1 - EVEN_PART) * bucket->demand / all;
}

/* Adds what has come in since the last time, at the share there is now. */
static void refill(struct qta *qta, struct bucket *bucket,
		   const struct qta_limit *limit, int64_t now)
{
	double share = share_of(qta, bucket);
	double most =
		MAX(limit->burst * share, 1.0) + limit->slack / qta->instances;

	if (share < bucket->share && bucket->tokens > 0)
		bucket->tokens *= share / bucket->share;
	bucket->share = share;
	bucket->tokens +=
		limit->rate * share * (double)(now - bucket->at) / 1000.0;
	bucket->tokens = MIN(bucket->tokens, most);
	bucket->at = now;
}

bool qta_take(struct qta *qta, const char *account,
	      const struct qta_limit *limit, bool begins, int64_t now,
	      int64_t patience_ms, int64_t *wait_ms)
{
	struct bucket *bucket = bucket_of(qta, account);
	double least = 1.0;
	double missing_ms;

	fade(bucket, now);
	bucket->demand += 1000.0 / DEMAND_FADE_MS;
	*wait_ms = 0;
	if (limit->rate <= 0)
		return true;
	refill(qta, bucket, limit, now);
	if (begins)
		least += NEW_PROGRAM_PART * limit->burst * bucket->share;
	if (bucket->tokens >= least) {
		bucket->tokens -= 1.0;
		return true;
	}
	missing_ms = (least - bucket->tokens) * 1000.0 /
		     (limit->rate * bucket->share);
	*wait_ms = (int64_t)MIN(missing_ms, (double)WAIT_MOST_MS) + 1;
	if (*wait_ms > patience_ms)
		return false;
	bucket->tokens -= 1.0;
	return true;
}

void qta_give_back(struct qta *qta, const char *account)
{
	bucket_of(qta, account)->tokens += 1.0;
}

void qta_foreach(struct qta *qta, int64_t now,
		 void (*fn)(const char *account, double per_s, void *arg),
		 void *arg)
{
	GHashTableIter it;
	gpointer account;
	gpointer p;

	g_hash_table_iter_init(&it, qta->buckets);
	while (g_hash_table_iter_next(&it, &account, &p)) {
		struct bucket *bucket = p;

		fade(bucket, now);
		fn(account, bucket->demand, arg);
	}
}
