/**
 * @file turns_page.c
 * @brief Reads large pages of rows, a few at a time.
 *
 * A page takes several times its size while it is parsed, and the store's time:
 * many at once would take more memory than there is, and time out.
 */
#include "clock.h"
#include "turns_int.h"

enum {
	PAGES_MAX = 3,
	TRIES_MAX = 6, /* of a page, while the store responds to others */
	RETRY_MS = 30,
};

struct turns_page {
	struct cds_list_head node; /* in turns.pages */
	struct turns *turns;
	char owner[KEY_LEN];
	char *from;
	char *to;
	store_done_fn *done;
	void *arg;
	struct store_call *call; /* NULL: it waits */
	struct event *timer;	 /* of the next try */
	guint tries;
};

static void send_next(struct turns *turns);

static void page_free(struct turns_page *page)
{
	struct turns *turns = page->turns;

	if (page->call != NULL)
		store_cancel(page->call);
	cds_list_del(&page->node);
	event_free(page->timer);
	g_free(page->from);
	g_free(page->to);
	g_free(page);
	send_next(turns);
}

static bool may_retry(const struct turns_page *page)
{
	char part[PART_LEN];

	turns_program_part(page->owner, part);
	return page->tries < TRIES_MAX &&
	       store_is_healthy(page->turns->store, part);
}

static void on_page(void *arg, const struct store_response *reply)
{
	struct turns_page *page = arg;
	struct timeval tv = clock_timeval(RETRY_MS);
	store_done_fn *done = page->done;
	void *done_arg = page->arg;

	page->call = NULL;
	if (reply->result != STORE_OK && may_retry(page)) {
		event_add(page->timer, &tv);
		return;
	}
	page_free(page);
	done(done_arg, reply);
}

static void send_page(struct turns_page *page)
{
	char part[PART_LEN];

	turns_program_part(page->owner, part);
	page->tries++;
	page->call = store_read(page->turns->store, PROGRAMS_TABLE, part,
				page->from, page->to, on_page, page);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_page(arg);
}

/* Sends the oldest pages that wait, as far as they may be. */
static void send_next(struct turns *turns)
{
	struct turns_page *page;
	int sent = 0;

	cds_list_for_each_entry(page, &turns->pages, node) {
		if (sent++ == PAGES_MAX)
			return;
		if (page->tries == 0)
			send_page(page);
	}
}

struct turns_page *turns_read_page(struct turns *turns, const char *owner,
				   const char *from, const char *to,
				   store_done_fn *done, void *arg)
{
	struct turns_page *page = g_new0(struct turns_page, 1);

	page->turns = turns;
	g_strlcpy(page->owner, owner, KEY_LEN);
	page->from = g_strdup(from);
	page->to = g_strdup(to);
	page->done = done;
	page->arg = arg;
	page->timer = evtimer_new(turns->base, on_retry, page);
	cds_list_add_tail(&page->node, &turns->pages);
	send_next(turns);
	return page;
}

void turns_cancel_page(struct turns_page *page)
{
	page_free(page);
}
