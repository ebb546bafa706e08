/** @file admission.c @brief Admits requests by the quota of their account. */
#include <string.h>

#include <urcu/list.h>

#include "admission.h"
#include "clock.h"

enum {
	LEND_TIMEOUT_MS = 12,	  /* a round trip takes 1 to 5 ms */
	LENDERS_MAX = 3,	  /* asked per shortage; a grant ends it */
	NO_CONTACT_RETRY_MS = 50, /* the caller reaches another instance */
};

struct queue {
	struct adm *adm;
	char *account;
	struct cds_list_head waiters;
	guint waiter_count;
	struct event *timer;
	GPtrArray *asked_lenders; /* ids of instances */
	uint32_t serial;	  /* of the current lend request */
	int64_t asked_ms;	  /* when it was sent; 0: there is none */
	bool asked_twice;	  /* a lend request was repeated */
	int64_t ask_again_ms; /* when the account's home may lend again; 0 */
};

struct adm {
	struct event_base *base;
	struct quota *quota;
	struct members *members;
	GHashTable *queues; /* account -> struct queue */
	uint32_t serial;
};

struct adm_waiter {
	struct cds_list_head node;
	struct queue *queue;
	struct quota_limit limit;
	bool begins;
	int64_t expires_ms;
	adm_callback *callback;
	void *arg;
	enum adm_result refusal; /* once it has been decided on */
	int64_t refusal_wait_ms;
};

static void serve_queue(struct queue *queue);

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	serve_queue(arg);
}

static void queue_free(gpointer p)
{
	struct queue *queue = p;

	event_free(queue->timer);
	g_ptr_array_free(queue->asked_lenders, TRUE);
	g_free(queue->account);
	g_free(queue);
}

struct adm *adm_create(struct event_base *base, struct quota *quota)
{
	struct adm *adm = g_new0(struct adm, 1);

	adm->base = base;
	adm->quota = quota;
	adm->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    queue_free);
	return adm;
}

void adm_destroy(struct adm *adm)
{
	if (adm == NULL)
		return;
	g_hash_table_destroy(adm->queues);
	g_free(adm);
}

void adm_set_members(struct adm *adm, struct members *members)
{
	adm->members = members;
}

static struct queue *get_queue(struct adm *adm, const char *account)
{
	struct queue *queue = g_hash_table_lookup(adm->queues, account);

	if (queue != NULL)
		return queue;
	queue = g_new0(struct queue, 1);
	queue->adm = adm;
	queue->account = g_strdup(account);
	queue->asked_lenders = g_ptr_array_new_with_free_func(g_free);
	queue->timer = evtimer_new(adm->base, on_timer, queue);
	CDS_INIT_LIST_HEAD(&queue->waiters);
	g_hash_table_insert(adm->queues, queue->account, queue);
	return queue;
}

static void finish_wait(struct adm_waiter *waiter, enum adm_result result,
			int64_t wait_ms)
{
	adm_callback *callback = waiter->callback;
	void *arg = waiter->arg;

	cds_list_del(&waiter->node);
	waiter->queue->waiter_count--;
	g_free(waiter);
	callback(arg, result, wait_ms);
}

/* Ends the waits of a list that is no part of the queue: a callback may cancel
 * any other wait. */
static void finish_all(struct cds_list_head *waiters)
{
	while (!cds_list_empty(waiters)) {
		struct adm_waiter *waiter =
			cds_list_first_entry(waiters, struct adm_waiter, node);

		finish_wait(waiter, waiter->refusal, waiter->refusal_wait_ms);
	}
}

static void mark_refused(struct adm_waiter *waiter, enum adm_result result,
			 int64_t wait_ms, struct cds_list_head *refused)
{
	waiter->refusal = result;
	waiter->refusal_wait_ms = wait_ms;
	cds_list_del(&waiter->node);
	cds_list_add_tail(&waiter->node, refused);
}

/* What becomes of a request that no instance lent a token for. If the tokens
 * are at an instance that did not answer, another one may reach it at once. */
static enum adm_result refusal_of(const struct adm_waiter *waiter,
				  int64_t *wait_ms)
{
	const struct queue *queue = waiter->queue;

	if (!quota_is_elsewhere(queue->adm->quota, queue->account,
				&waiter->limit))
		return ADM_OVER_LIMIT;
	*wait_ms = NO_CONTACT_RETRY_MS;
	return ADM_NO_CONTACT;
}

static void refuse(struct adm_waiter *waiter, int64_t wait_ms)
{
	enum adm_result result = refusal_of(waiter, &wait_ms);

	finish_wait(waiter, result, wait_ms);
}

/* The first waiter that begins a program, or the first that does not; NULL if
 * there is none. */
static struct adm_waiter *first_waiter(struct queue *queue, bool begins)
{
	struct adm_waiter *waiter = NULL;

	cds_list_for_each_entry(waiter, &queue->waiters, node) {
		if (waiter->begins == begins)
			return waiter;
	}
	return NULL;
}

/*
 * Admits waiters in order, as far as there are tokens. Returns the time until
 * the first of the remaining ones gets its token, in ms.
 */
static int64_t admit_waiters(struct queue *queue, bool begins, int64_t now_ms)
{
	struct adm_waiter *waiter;

	while ((waiter = first_waiter(queue, begins)) != NULL) {
		int64_t wait_ms;

		if (quota_take(queue->adm->quota, queue->account,
			       &waiter->limit, waiter->begins, now_ms,
			       &wait_ms))
			finish_wait(waiter, ADM_ADMITTED, 0);
		else if (now_ms >= waiter->expires_ms)
			refuse(waiter, wait_ms);
		else
			return wait_ms;
	}
	return G_MAXINT32;
}

static uint32_t count_waiters(struct queue *queue, bool begins)
{
	const struct adm_waiter *waiter = NULL;
	uint32_t n = 0;

	cds_list_for_each_entry(waiter, &queue->waiters, node)
		n += waiter->begins == begins;
	return n;
}

/* Asks another instance for tokens, unless a lend request is pending. */
static void ask_lender(struct queue *queue, int64_t now_ms)
{
	struct adm *adm = queue->adm;
	const struct adm_waiter *first =
		cds_list_first_entry(&queue->waiters, struct adm_waiter, node);
	const char *lender;
	bool begins = first_waiter(queue, false) == NULL;

	if (queue->asked_ms != 0 && now_ms - queue->asked_ms < LEND_TIMEOUT_MS)
		return;
	if (queue->asked_ms != 0 && !queue->asked_twice &&
	    queue->asked_lenders->len > 0) {
		/* The datagram may be lost: the same lender is asked again. */
		queue->asked_twice = true;
		g_ptr_array_set_size(queue->asked_lenders,
				     (gint)queue->asked_lenders->len - 1);
	} else if (queue->asked_ms != 0 && queue->asked_lenders->len > 0) {
		members_report_unanswered(
			adm->members,
			g_ptr_array_index(queue->asked_lenders,
					  queue->asked_lenders->len - 1));
	}
	queue->asked_ms = 0;
	if (queue->ask_again_ms > now_ms)
		return;
	if (queue->ask_again_ms != 0)
		g_ptr_array_set_size(queue->asked_lenders, 0);
	queue->ask_again_ms = 0;
	if (queue->asked_lenders->len >= LENDERS_MAX ||
	    !quota_has_contact(adm->quota, now_ms))
		return;
	lender = quota_pick_lender(adm->quota, queue->account, &first->limit,
				   queue->asked_lenders);
	if (lender == NULL)
		return;
	queue->serial = ++adm->serial;
	queue->asked_ms = now_ms;
	g_ptr_array_add(queue->asked_lenders, g_strdup(lender));
	members_send_borrow(adm->members, lender, queue->account,
			    count_waiters(queue, begins), begins,
			    queue->serial);
}

/* The account's home lends nothing before ask_again_ms: refuses at once the
 * waiters that expire earlier. */
static void refuse_early_expiring(struct queue *queue, int64_t now_ms)
{
	struct adm_waiter *waiter = NULL;
	struct adm_waiter *next = NULL;
	CDS_LIST_HEAD(refused);

	cds_list_for_each_entry_safe(waiter, next, &queue->waiters, node) {
		if (waiter->expires_ms < queue->ask_again_ms)
			mark_refused(waiter, ADM_OVER_LIMIT,
				     queue->ask_again_ms - now_ms, &refused);
	}
	finish_all(&refused);
}

/*
 * No instance lends: refuses at once the waiters that would get no token before
 * they expire. @p first_ms is the time until the first of them gets its token.
 */
static void refuse_expiring(struct queue *queue, bool begins, int64_t first_ms,
			    int64_t now_ms)
{
	struct adm_waiter *waiter = NULL;
	struct adm_waiter *next = NULL;
	CDS_LIST_HEAD(refused);
	double token_ms = (double)first_ms;

	cds_list_for_each_entry_safe(waiter, next, &queue->waiters, node) {
		if (waiter->begins != begins)
			continue;
		if (token_ms > (double)(waiter->expires_ms - now_ms)) {
			int64_t wait_ms = (int64_t)token_ms;
			enum adm_result result = refusal_of(waiter, &wait_ms);

			mark_refused(waiter, result, wait_ms, &refused);
		} else {
			token_ms += quota_interval_ms(queue->adm->quota,
						      queue->account,
						      &waiter->limit);
		}
	}
	finish_all(&refused);
}

static void schedule_next(struct queue *queue, int64_t delay_ms)
{
	struct timeval tv;

	if (queue->asked_ms != 0)
		delay_ms = MIN(delay_ms, LEND_TIMEOUT_MS);
	else if (queue->ask_again_ms != 0)
		delay_ms = MIN(delay_ms, queue->ask_again_ms - clock_boot_ms());
	delay_ms = MAX(delay_ms, 1);
	tv = clock_timeval(delay_ms);
	event_add(queue->timer, &tv);
}

static void serve_queue(struct queue *queue)
{
	int64_t now_ms = clock_boot_ms();
	int64_t ongoing_ms = admit_waiters(queue, false, now_ms);
	int64_t begins_ms = admit_waiters(queue, true, now_ms);

	if (!cds_list_empty(&queue->waiters)) {
		ask_lender(queue, now_ms);
		if (queue->ask_again_ms > now_ms) {
			refuse_early_expiring(queue, now_ms);
		} else if (queue->asked_ms == 0) {
			refuse_expiring(queue, false, ongoing_ms, now_ms);
			refuse_expiring(queue, true, begins_ms, now_ms);
		}
	}
	if (cds_list_empty(&queue->waiters)) {
		g_ptr_array_set_size(queue->asked_lenders, 0);
		queue->asked_twice = false;
		queue->ask_again_ms = 0;
		event_del(queue->timer);
		return;
	}
	schedule_next(queue, MIN(ongoing_ms, begins_ms));
}

struct adm_waiter *adm_acquire(struct adm *adm, const char *account,
			       const struct quota_limit *limit, bool begins,
			       int64_t max_wait_ms, adm_callback *callback,
			       void *arg)
{
	struct queue *queue = get_queue(adm, account);
	struct adm_waiter *waiter;
	int64_t now_ms = clock_boot_ms();
	int64_t wait_ms = 1;

	quota_add_demand(adm->quota, account, now_ms);
	if ((cds_list_empty(&queue->waiters) ||
	     (!begins && first_waiter(queue, false) == NULL)) &&
	    quota_take(adm->quota, account, limit, begins, now_ms, &wait_ms)) {
		callback(arg, ADM_ADMITTED, 0);
		return NULL;
	}
	waiter = g_new0(struct adm_waiter, 1);
	waiter->queue = queue;
	waiter->limit = *limit;
	waiter->begins = begins;
	waiter->expires_ms = now_ms + max_wait_ms;
	waiter->callback = callback;
	waiter->arg = arg;
	cds_list_add_tail(&waiter->node, &queue->waiters);
	queue->waiter_count++;
	/* The callback must not come before the caller has the waiter. */
	ask_lender(queue, now_ms);
	schedule_next(queue, queue->asked_ms != 0 ? wait_ms : 1);
	return waiter;
}

void adm_cancel(struct adm_waiter *waiter)
{
	cds_list_del(&waiter->node);
	waiter->queue->waiter_count--;
	g_free(waiter);
}

void adm_forget(struct adm *adm, const char *account)
{
	struct queue *queue = g_hash_table_lookup(adm->queues, account);

	if (queue != NULL && cds_list_empty(&queue->waiters))
		g_hash_table_remove(adm->queues, account);
}

void adm_on_lend(struct adm *adm, const char *account, uint32_t granted,
		 int64_t wait_ms, uint32_t serial)
{
	struct queue *queue = g_hash_table_lookup(adm->queues, account);

	if (queue == NULL)
		return;
	if (granted > 0)
		quota_add_borrowed(adm->quota, account, granted,
				   clock_boot_ms());
	if (queue->serial != serial)
		return;
	queue->asked_ms = 0;
	if (granted > 0)
		g_ptr_array_set_size(queue->asked_lenders, 0);
	else if (wait_ms > 0)
		queue->ask_again_ms = clock_boot_ms() + wait_ms;
	serve_queue(queue);
}
