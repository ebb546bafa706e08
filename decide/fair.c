/** @file fair.c @brief Fair queue and grants of one pool. */
#include <math.h>

#include "fair.h"
#include "member.h"

enum {
	FAIR_RETURN_MS = 100, /* rest of a grant's life at which it returns */
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

	/* Idle time earns nothing. */
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

static uint32_t tokens(const struct fair_account *account, int64_t now)
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

static int by_vtime(const void *a, const void *b)
{
	const struct fair_account *x = *(struct fair_account *const *)a;
	const struct fair_account *y = *(struct fair_account *const *)b;

	return (x->vtime > y->vtime) - (x->vtime < y->vtime);
}

GPtrArray *fair_eligible_accounts(struct fair *fair)
{
	GPtrArray *order = g_ptr_array_new();
	int64_t now = nod_now(fair->node);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fair_account *account = value;

		if (account->queued > 0 && tokens(account, now) > 0)
			g_ptr_array_add(order, value);
	}
	g_ptr_array_sort(order, by_vtime);
	return order;
}

static double share(const struct fair *fair, const struct fair_account *account)
{
	const struct rul_account *rule =
		fair->node->rules == NULL
			? NULL
			: rul_account(fair->node->rules, account->name);

	return rule != NULL ? rule->share : FAIR_SHARE_DEFAULT;
}

void fair_charge(struct fair *fair, struct fair_account *account, double cost)
{
	int64_t now = nod_now(fair->node);

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
	account->vtime += cost / share(fair, account);
}

/* What queued up while the ledger was silent is not over the rate. */
static void note_gap(struct fair_account *account, int64_t now)
{
	int64_t gap = now - account->unanswered_ms;

	if (account->unanswered_ms > 0 && gap > 2 * FAIR_ASK_TIMEOUT_MS) {
		account->gap_ms = MIN(gap, FAIR_GAP_MAX_MS);
		account->gap_end_ms = now;
	}
	account->unanswered_ms = 0;
}

/* How long calls over the rate may wait, in ms. */
static double longest_wait(const struct fair_account *account, int64_t now)
{
	double left =
		1 - (double)(now - account->gap_end_ms) / FAIR_GAP_DECAY_MS;

	return FAIR_RATE_WAIT_MS + (double)account->gap_ms * fmax(left, 0);
}

void fair_on_grant(struct fair *fair, const Aps__Grant *msg)
{
	struct fair_account *account =
		g_hash_table_lookup(fair->accounts, msg->account);
	int64_t now = nod_now(fair->node);
	struct fair_grant grant = {.ask_id = msg->ask_id, .left = msg->count};

	if (account == NULL || account->ask_id != msg->ask_id)
		return;
	note_gap(account, now);
	account->ask_id = 0;
	account->starved = msg->count == 0;
	account->ask_due_ms = now + msg->wait_ms;
	grant.expires_ms = account->ask_ms + LEDGER_GRANT_LIFETIME_MS;
	if (msg->count > 0 && grant.expires_ms > now)
		g_array_append_val(account->grants, grant);
}

/* Moves what the ledger has to know into @reports. */
static void collect(struct fair_account *account, int64_t now, bool give_back,
		    GPtrArray *reports)
{
	for (guint i = account->grants->len; i-- > 0;) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);
		Aps__GrantReport *report = g_new(Aps__GrantReport, 1);

		aps__grant_report__init(report);
		report->ask_id = g->ask_id;
		report->used = g->used;
		g->used = 0;
		if (give_back || g->expires_ms <= now + FAIR_RETURN_MS) {
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

static void ask(struct fair *fair, struct fair_account *account, uint32_t want)
{
	struct node *node = fair->node;
	int64_t now = nod_now(node);
	GPtrArray *reports = g_ptr_array_new_with_free_func(g_free);
	Aps__Peer peer = APS__PEER__INIT;
	Aps__GrantAsk msg = APS__GRANT_ASK__INIT;

	collect(account, now, account->queued == 0, reports);
	if (want > 0) {
		account->ask_id = rng_next(&node->rng);
		account->ask_ms = now;
		if (account->unanswered_ms == 0)
			account->unanswered_ms = now;
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
		nod_send_shard(node, shd_of(SHD_LEDGER, account->name), &peer);
	g_ptr_array_unref(reports);
}

static bool return_due(const struct fair_account *account, int64_t now)
{
	if (account->grants->len == 0)
		return false;
	if (account->report_due || account->queued == 0)
		return true;
	for (guint i = 0; i < account->grants->len; i++) {
		struct fair_grant *g =
			&g_array_index(account->grants, struct fair_grant, i);

		if (g->expires_ms <= now + FAIR_RETURN_MS)
			return true;
	}
	return false;
}

static void account_tick(struct fair *fair, struct fair_account *account,
			 uint32_t slots)
{
	int64_t now = nod_now(fair->node);
	uint32_t held = tokens(account, now);
	uint32_t want = MIN(account->queued, slots);

	want = want > held ? want - held : 0;
	if (account->ask_id != 0 && now - account->ask_ms > FAIR_ASK_TIMEOUT_MS)
		account->ask_id = 0;
	if (account->ask_id != 0 || now < account->ask_due_ms)
		want = 0;
	if (want > 0 || return_due(account, now))
		ask(fair, account, want);
}

void fair_tick(struct fair *fair, uint32_t slots)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		account_tick(fair, value, slots);
}

static bool over_rate(const struct fair *fair,
		      const struct fair_account *account)
{
	const struct rul_account *rule =
		rul_account(fair->node->rules, account->name);
	int64_t now = nod_now(fair->node);
	double rate = rule != NULL ? rule->rate : 0;

	return account->starved &&
	       now < account->ask_due_ms + FAIR_ASK_TIMEOUT_MS &&
	       account->queued >
		       ceil(rate * longest_wait(account, now) / MS_PER_S);
}

struct job *fair_next_over_rate(struct fair *fair)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fair_account *account = value;

		if (over_rate(fair, account))
			return cds_list_entry(account->jobs.prev, struct job,
					      link);
	}
	return NULL;
}
