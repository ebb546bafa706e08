/** @file fair.c @brief Fair queue and token grants of one pool. */
#include <math.h>

#include "fair.h"
#include "member.h"

enum {
	/* Unused tokens are returned this long before they expire. */
	FAIR_RETURN_MARGIN_MS = 100,
	FAIR_SHARE_DEFAULT = 1,
	MS_PER_S = 1000,
};

static void account_free(void *p)
{
	struct fair_account *account = p;

	g_array_unref(account->grants);
	g_free(account->name);
	g_free(account);
}

struct fair *fair_create(struct node *node, const char *pool)
{
	struct fair *fair = g_new0(struct fair, 1);

	fair->node = node;
	fair->pool = g_strdup(pool);
	fair->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       account_free);
	return fair;
}

void fair_destroy(struct fair *fair)
{
	if (fair == NULL)
		return;
	g_hash_table_unref(fair->accounts);
	g_free(fair->pool);
	g_free(fair);
}

static struct fair_account *account_get(struct fair *fair, const char *name)
{
	struct fair_account *account =
		g_hash_table_lookup(fair->accounts, name);

	if (account != NULL)
		return account;
	account = g_new0(struct fair_account, 1);
	account->name = g_strdup(name);
	account->grants = g_array_new(FALSE, TRUE, sizeof(struct fair_grant));
	CDS_INIT_LIST_HEAD(&account->jobs);
	g_hash_table_insert(fair->accounts, account->name, account);
	return account;
}

void fair_push(struct fair *fair, struct job *job)
{
	struct fair_account *account =
		account_get(fair, job->msg->request->account);

	/* An account gains no credit while it has nothing queued. */
	if (account->queued == 0)
		account->vtime = fmax(account->vtime, fair->vnow);
	job->account = account;
	account->queued++;
	cds_list_add_tail(&job->link, &account->jobs);
}

void fair_remove(struct job *job)
{
	cds_list_del(&job->link);
	job->account->queued--;
}

static uint32_t count_tokens(const struct fair_account *account, int64_t now)
{
	uint32_t count = 0;

	for (guint i = 0; i < account->grants->len; i++) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);

		if (g->expires_ms > now)
			count += g->left;
	}
	return count;
}

static int compare_vtime(const void *a, const void *b)
{
	const struct fair_account *x = *(struct fair_account *const *)a;
	const struct fair_account *y = *(struct fair_account *const *)b;

	return (x->vtime > y->vtime) - (x->vtime < y->vtime);
}

GPtrArray *fair_eligible_accounts(struct fair *fair)
{
	GPtrArray *order = g_ptr_array_new();
	int64_t now = node_now_ms(fair->node);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fair_account *account = value;

		if (account->queued > 0 && count_tokens(account, now) > 0)
			g_ptr_array_add(order, value);
	}
	g_ptr_array_sort(order, compare_vtime);
	return order;
}

static double account_share(const struct fair *fair,
			    const struct fair_account *account)
{
	const struct rules_account *rule =
		fair->node->rules == NULL
			? NULL
			: rules_account(fair->node->rules, account->name);

	return rule != NULL ? rule->share : FAIR_SHARE_DEFAULT;
}

void fair_charge(struct fair *fair, struct fair_account *account, double cost)
{
	int64_t now = node_now_ms(fair->node);

	for (guint i = 0; i < account->grants->len; i++) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);

		if (g->left == 0 || g->expires_ms <= now)
			continue;
		g->left--;
		g->used++;
		account->report_due = true;
		break;
	}
	fair->vnow = fmax(fair->vnow, account->vtime);
	account->vtime += cost / account_share(fair, account);
}

/* The backlog of a ledger outage does not count as over the rate. */
static void note_outage(struct fair_account *account, int64_t now)
{
	int64_t gap = now - account->unanswered_since_ms;

	if (account->unanswered_since_ms > 0 && gap > 2 * FAIR_ASK_TIMEOUT_MS) {
		account->outage_ms = MIN(gap, FAIR_OUTAGE_MAX_MS);
		account->outage_end_ms = now;
	}
	account->unanswered_since_ms = 0;
}

/* Longest queueing time over the rate, with the allowance after an outage. */
static double max_queue_wait_ms(const struct fair_account *account, int64_t now)
{
	double left = 1 - (double)(now - account->outage_end_ms) /
				  FAIR_OUTAGE_DECAY_MS;

	return FAIR_RATE_WAIT_MS + (double)account->outage_ms * fmax(left, 0);
}

void fair_on_grant(struct fair *fair, const Aps__Grant *msg)
{
	struct fair_account *account =
		g_hash_table_lookup(fair->accounts, msg->account);
	int64_t now = node_now_ms(fair->node);
	struct fair_grant grant = {.ask_id = msg->ask_id, .left = msg->count};

	if (account == NULL || account->ask_id != msg->ask_id)
		return;
	note_outage(account, now);
	account->ask_id = 0;
	account->last_grant_empty = msg->count == 0;
	account->next_ask_ms = now + msg->wait_ms;
	grant.expires_ms = account->ask_sent_ms + LEDGER_GRANT_LIFETIME_MS;
	if (msg->count > 0 && grant.expires_ms > now)
		g_array_append_val(account->grants, grant);
}

/* Collects unreported use and returned tokens into @p reports. */
static void collect_reports(struct fair_account *account, int64_t now,
			    bool give_back, GPtrArray *reports)
{
	for (guint i = account->grants->len; i-- > 0;) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);
		Aps__GrantReport *report = g_new(Aps__GrantReport, 1);

		aps__grant_report__init(report);
		report->ask_id = g->ask_id;
		report->used = g->used;
		g->used = 0;
		if (give_back || g->expires_ms <= now + FAIR_RETURN_MARGIN_MS) {
			report->unused = g->left;
			g->left = 0;
		}
		if (report->used + report->unused > 0)
			g_ptr_array_add(reports, report);
		else
			g_free(report);
		if (g->left == 0)
			g_array_remove_index(account->grants, i);
	}
	account->report_due = false;
}

static void send_ask(struct fair *fair, struct fair_account *account,
		     uint32_t want)
{
	struct node *node = fair->node;
	int64_t now = node_now_ms(node);
	GPtrArray *reports = g_ptr_array_new_with_free_func(g_free);
	Aps__Peer peer = APS__PEER__INIT;
	Aps__GrantAsk msg = APS__GRANT_ASK__INIT;

	collect_reports(account, now, account->queued == 0, reports);
	if (want > 0) {
		account->ask_id = rng_next(&node->rng);
		account->ask_sent_ms = now;
		if (account->unanswered_since_ms == 0)
			account->unanswered_since_ms = now;
	}
	msg.account = account->name;
	msg.pool = fair->pool;
	msg.ask_id = account->ask_id;
	msg.want = want;
	msg.n_reports = reports->len;
	msg.reports = (Aps__GrantReport **)reports->pdata;
	peer.body_case = APS__PEER__BODY_GRANT_ASK;
	peer.grant_ask = &msg;
	if (want > 0 || reports->len > 0)
		node_send_to_shard(
			node, shard_for_name(SHARD_KIND_LEDGER, account->name),
			&peer);
	g_ptr_array_unref(reports);
}

static bool is_report_due(const struct fair_account *account, int64_t now)
{
	if (account->grants->len == 0)
		return false;
	if (account->report_due || account->queued == 0)
		return true;
	for (guint i = 0; i < account->grants->len; i++) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);

		if (g->expires_ms <= now + FAIR_RETURN_MARGIN_MS)
			return true;
	}
	return false;
}

static void tick_account(struct fair *fair, struct fair_account *account,
			 uint32_t slots)
{
	int64_t now = node_now_ms(fair->node);
	uint32_t held = count_tokens(account, now);
	uint32_t want = MIN(account->queued, slots);

	want = want > held ? want - held : 0;
	if (account->ask_id != 0 &&
	    now - account->ask_sent_ms > FAIR_ASK_TIMEOUT_MS)
		account->ask_id = 0;
	if (account->ask_id != 0 || now < account->next_ask_ms)
		want = 0;
	if (want > 0 || is_report_due(account, now))
		send_ask(fair, account, want);
}

void fair_tick(struct fair *fair, uint32_t slots)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_account(fair, value, slots);
}

static bool is_over_rate(const struct fair *fair,
			 const struct fair_account *account)
{
	const struct rules_account *rule =
		rules_account(fair->node->rules, account->name);
	int64_t now = node_now_ms(fair->node);
	double rate = rule != NULL ? rule->rate : 0;

	return account->last_grant_empty &&
	       now < account->next_ask_ms + FAIR_ASK_TIMEOUT_MS &&
	       account->queued >
		       ceil(rate * max_queue_wait_ms(account, now) / MS_PER_S);
}

struct job *fair_next_over_rate(struct fair *fair)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fair_account *account = value;

		if (is_over_rate(fair, account))
			return cds_list_entry(account->jobs.prev, struct job,
					      link);
	}
	return NULL;
}
