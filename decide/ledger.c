/** @file ledger.c @brief Token buckets of client accounts. */
#include <math.h>

#include <glib.h>

#include "ledger.h"

enum {
	MS_PER_S = 1000,
	LEDGER_WAIT_MAX_MS = 5000,
};

struct grant {
	uint64_t ask_id;
	uint32_t count;
	int64_t expires_ms;
};

struct bucket {
	double tokens;
	int64_t filled_ms; /* last refill; if in the future, the first one */
	uint32_t outstanding;
	GArray *grants; /* struct grant */
};

struct ledger {
	const struct clk *clk;
	GHashTable *buckets;
	int64_t acquired_ms[SHARD_COUNT]; /* when each shard was taken over */
};

static void bucket_free(void *p)
{
	struct bucket *b = p;

	g_array_unref(b->grants);
	g_free(b);
}

struct ledger *ledger_create(const struct clk *clk)
{
	struct ledger *ledger = g_new0(struct ledger, 1);

	ledger->clk = clk;
	ledger->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						bucket_free);
	return ledger;
}

void ledger_destroy(struct ledger *ledger)
{
	if (ledger == NULL)
		return;
	g_hash_table_unref(ledger->buckets);
	g_free(ledger);
}

static gboolean account_is_in_shard(void *key, void *value, void *arg)
{
	(void)value;
	return shard_for_name(SHARD_KIND_LEDGER, key) == *(int *)arg;
}

void ledger_acquire_shard(struct ledger *ledger, int shard)
{
	ledger->acquired_ms[shard] = clk_now_ms(ledger->clk);
	g_hash_table_foreach_remove(ledger->buckets, account_is_in_shard,
				    &shard);
}

static struct bucket *bucket_get(struct ledger *ledger, const char *account)
{
	struct bucket *b = g_hash_table_lookup(ledger->buckets, account);

	if (b != NULL)
		return b;
	b = g_new0(struct bucket, 1);
	b->filled_ms = ledger->acquired_ms[shard_for_name(SHARD_KIND_LEDGER,
							  account)] +
		       LEDGER_GRANT_LIFETIME_MS;
	b->grants = g_array_new(FALSE, TRUE, sizeof(struct grant));
	g_hash_table_insert(ledger->buckets, g_strdup(account), b);
	return b;
}

static void bucket_expire(struct bucket *b, int64_t now)
{
	for (guint i = b->grants->len; i-- > 0;) {
		struct grant *g = &g_array_index(b->grants, struct grant, i);

		if (g->expires_ms > now)
			continue;
		b->outstanding -= g->count;
		g_array_remove_index(b->grants, i);
	}
}

static void bucket_report(struct bucket *b, const Aps__GrantReport *report)
{
	for (guint i = 0; i < b->grants->len; i++) {
		struct grant *g = &g_array_index(b->grants, struct grant, i);
		uint32_t used;
		uint32_t unused;

		if (g->ask_id != report->ask_id)
			continue;
		used = MIN(report->used, g->count);
		unused = MIN(report->unused, g->count - used);
		g->count -= used + unused;
		b->outstanding -= used + unused;
		b->tokens += unused;
		if (g->count == 0)
			g_array_remove_index(b->grants, i);
		return;
	}
}

static void bucket_fill(struct bucket *b, const struct rules_account *account,
			int64_t now)
{
	double capacity = fmax(0, account->burst - b->outstanding);

	if (now > b->filled_ms) {
		b->tokens +=
			account->rate * (double)(now - b->filled_ms) / MS_PER_S;
		b->filled_ms = now;
	}
	b->tokens = fmin(b->tokens, capacity);
}

static uint32_t token_wait_ms(const struct bucket *b,
			      const struct rules_account *account, int64_t now)
{
	double ms = (1 - b->tokens) / account->rate * MS_PER_S;

	if (b->filled_ms > now)
		ms += (double)(b->filled_ms - now);
	return (uint32_t)fmin(fmax(ceil(ms), 1), LEDGER_WAIT_MAX_MS);
}

uint32_t ledger_grant(struct ledger *ledger,
		      const struct rules_account *account,
		      const Aps__GrantAsk *ask, uint32_t *wait_ms)
{
	int64_t now = clk_now_ms(ledger->clk);
	struct bucket *b = bucket_get(ledger, account->name);
	struct grant grant = {.ask_id = ask->ask_id};

	/* Refill before the reports: until now their tokens were outstanding
	 * and took up room in the burst. */
	bucket_expire(b, now);
	bucket_fill(b, account, now);
	for (size_t i = 0; i < ask->n_reports; i++)
		bucket_report(b, ask->reports[i]);
	*wait_ms = 0;
	if (ask->want == 0)
		return 0;
	grant.count = (uint32_t)fmin(fmin(floor(b->tokens), ask->want),
				     LEDGER_GRANT_MAX);
	if (grant.count == 0) {
		*wait_ms = token_wait_ms(b, account, now);
		return 0;
	}
	grant.expires_ms = now + LEDGER_GRANT_LIFETIME_MS;
	b->tokens -= grant.count;
	b->outstanding += grant.count;
	g_array_append_val(b->grants, grant);
	return grant.count;
}
