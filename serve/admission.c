/** @file admission.c @brief Lets requests in by the quota of their account. */
#include <string.h>

#include <urcu/list.h>

#include "admission.h"
#include "clock.h"

enum {
	LEND_MS = 12,	  /* a question and its answer take 1 to 5 ms */
	LENDERS_MOST = 3, /* asked for one shortage */
};

struct queue {
	struct adm *adm;
	char *account;
	struct cds_list_head waits;
	guint waiting;
	struct event *timer;
	GPtrArray *asked; /* instances asked for this shortage */
	uint32_t serial;  /* of the question under way */
	int64_t asked_at; /* 0: none is */
	int64_t again_at; /* when the account's home is worth asking; 0 */
};

struct adm {
	struct event_base *base;
	struct qta *quota;
	struct members *members;
	GHashTable *queues; /* account -> struct queue */
	uint32_t serial;
};

struct adm_waiter {
	struct cds_list_head node;
	struct queue *queue;
	struct qta_limit limit;
	bool begins;
	int64_t expires_at;
	adm_callback *decided;
	void *arg;
};

static void serve(struct queue *queue);

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	serve(arg);
}

static void queue_free(gpointer p)
{
	struct queue *queue = p;

	event_free(queue->timer);
	g_ptr_array_free(queue->asked, TRUE);
	g_free(queue->account);
	g_free(queue);
}

struct adm *adm_create(struct event_base *base, struct qta *quota)
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

static struct queue *queue_of(struct adm *adm, const char *account)
{
	struct queue *queue = g_hash_table_lookup(adm->queues, account);

	if (queue != NULL)
		return queue;
	queue = g_new0(struct queue, 1);
	queue->adm = adm;
	queue->account = g_strdup(account);
	queue->asked = g_ptr_array_new_with_free_func(g_free);
	queue->timer = evtimer_new(adm->base, on_timer, queue);
	CDS_INIT_LIST_HEAD(&queue->waits);
	g_hash_table_insert(adm->queues, queue->account, queue);
	return queue;
}

static void decide(struct adm_waiter *wait, bool admitted, int64_t wait_ms)
{
	adm_callback *decided = wait->decided;
	void *arg = wait->arg;

	cds_list_del(&wait->node);
	wait->queue->waiting--;
	g_free(wait);
	decided(arg, admitted, wait_ms);
}

/* The first wait of one kind, or NULL. */
static struct adm_waiter *first_wait(struct queue *queue, bool begins)
{
	struct adm_waiter *wait = NULL;

	cds_list_for_each_entry(wait, &queue->waits, node) {
		if (wait->begins == begins)
			return wait;
	}
	return NULL;
}

/*
 * Lets in whom it can, in order. Returns when the first of those that are
 * left will have its token, in ms from now.
 */
static int64_t admit(struct queue *queue, bool begins, int64_t now)
{
	struct adm_waiter *wait;

	while ((wait = first_wait(queue, begins)) != NULL) {
		int64_t wait_ms;

		if (qta_take(queue->adm->quota, queue->account, &wait->limit,
			     wait->begins, now, &wait_ms))
			decide(wait, true, 0);
		else if (now >= wait->expires_at)
			decide(wait, false, wait_ms);
		else
			return wait_ms;
	}
	return G_MAXINT32;
}

static uint32_t count_waits(struct queue *queue, bool begins)
{
	const struct adm_waiter *wait = NULL;
	uint32_t n = 0;

	cds_list_for_each_entry(wait, &queue->waits, node)
		n += wait->begins == begins;
	return n;
}

static void ask_lender(struct queue *queue, int64_t now)
{
	struct adm *adm = queue->adm;
	const struct adm_waiter *first =
		cds_list_first_entry(&queue->waits, struct adm_waiter, node);
	const char *lender;
	bool begins = first_wait(queue, false) == NULL;

	if (queue->asked_at != 0 && now - queue->asked_at < LEND_MS)
		return;
	queue->asked_at = 0;
	if (queue->again_at > now)
		return;
	if (queue->again_at != 0)
		g_ptr_array_set_size(queue->asked, 0);
	queue->again_at = 0;
	if (queue->asked->len >= LENDERS_MOST)
		return;
	lender = qta_lender(adm->quota, queue->account, &first->limit,
			    queue->asked);
	if (lender == NULL)
		return;
	queue->serial = ++adm->serial;
	queue->asked_at = now;
	g_ptr_array_add(queue->asked, g_strdup(lender));
	members_send_borrow(adm->members, lender, queue->account,
			    count_waits(queue, begins), begins, queue->serial);
}

/* The account's home has nothing before some time: who can't wait for that is
 * refused at once. */
static void refuse_until_again(struct queue *queue, int64_t now)
{
	struct adm_waiter *wait = NULL;
	struct adm_waiter *next = NULL;

	cds_list_for_each_entry_safe(wait, next, &queue->waits, node) {
		if (wait->expires_at < queue->again_at)
			decide(wait, false, queue->again_at - now);
	}
}

/*
 * Nobody lends: who can't be let in before its time is refused at once.
 * @p first_ms is when the first of its kind has its token.
 */
static void refuse_hopeless(struct queue *queue, bool begins, int64_t first_ms,
			    int64_t now)
{
	struct adm_waiter *wait = NULL;
	struct adm_waiter *next = NULL;
	double at = (double)first_ms;

	cds_list_for_each_entry_safe(wait, next, &queue->waits, node) {
		if (wait->begins != begins)
			continue;
		if (at > (double)(wait->expires_at - now))
			decide(wait, false, (int64_t)at);
		else
			at += qta_interval_ms(queue->adm->quota, queue->account,
					      &wait->limit);
	}
}

static void look_again_in(struct queue *queue, int64_t ms)
{
	struct timeval tv;

	if (queue->asked_at != 0)
		ms = MIN(ms, LEND_MS);
	else if (queue->again_at != 0)
		ms = MIN(ms, queue->again_at - clock_boot_ms());
	ms = MAX(ms, 1);
	tv = clock_timeval(ms);
	event_add(queue->timer, &tv);
}

static void serve(struct queue *queue)
{
	int64_t now = clock_boot_ms();
	int64_t ongoing_ms = admit(queue, false, now);
	int64_t begins_ms = admit(queue, true, now);

	if (!cds_list_empty(&queue->waits)) {
		ask_lender(queue, now);
		if (queue->again_at > now) {
			refuse_until_again(queue, now);
		} else if (queue->asked_at == 0) {
			refuse_hopeless(queue, false, ongoing_ms, now);
			refuse_hopeless(queue, true, begins_ms, now);
		}
	}
	if (cds_list_empty(&queue->waits)) {
		g_ptr_array_set_size(queue->asked, 0);
		queue->again_at = 0;
		event_del(queue->timer);
		return;
	}
	look_again_in(queue, MIN(ongoing_ms, begins_ms));
}

struct adm_waiter *adm_acquire(struct adm *adm, const char *account,
			       const struct qta_limit *limit, bool begins,
			       int64_t patience_ms, adm_callback *decided,
			       void *arg)
{
	struct queue *queue = queue_of(adm, account);
	struct adm_waiter *wait;
	int64_t now = clock_boot_ms();
	int64_t wait_ms = 1;

	qta_asked(adm->quota, account, now);
	if ((cds_list_empty(&queue->waits) ||
	     (!begins && first_wait(queue, false) == NULL)) &&
	    qta_take(adm->quota, account, limit, begins, now, &wait_ms)) {
		decided(arg, true, 0);
		return NULL;
	}
	wait = g_new0(struct adm_waiter, 1);
	wait->queue = queue;
	wait->limit = *limit;
	wait->begins = begins;
	wait->expires_at = now + patience_ms;
	wait->decided = decided;
	wait->arg = arg;
	cds_list_add_tail(&wait->node, &queue->waits);
	queue->waiting++;
	/* No verdict comes before the caller knows of the wait. */
	ask_lender(queue, now);
	look_again_in(queue, queue->asked_at != 0 ? wait_ms : 1);
	return wait;
}

void adm_cancel(struct adm_waiter *wait)
{
	cds_list_del(&wait->node);
	wait->queue->waiting--;
	g_free(wait);
}

void adm_loan_received(struct adm *adm, const char *account, uint32_t granted,
		       int64_t wait_ms, uint32_t serial)
{
	struct queue *queue = g_hash_table_lookup(adm->queues, account);

	if (queue == NULL)
		return;
	if (granted > 0)
		qta_borrowed(adm->quota, account, granted, clock_boot_ms());
	if (queue->serial != serial)
		return;
	queue->asked_at = 0;
	if (granted > 0)
		g_ptr_array_set_size(queue->asked, 0);
	else if (wait_ms > 0)
		queue->again_at = clock_boot_ms() + wait_ms;
	serve(queue);
}
