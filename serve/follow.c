/** @file follow.c @brief Follows a table of the store. */
#include "follow.h"
#include "clock.h"
#include "slog.h"

enum {
	PROBE_POLL_MS = 20, /* while the store seems to be unreachable */
};

struct follow {
	struct follow_config config;
	struct store_call *call;
	struct event *timer; /* of the next call */
	bool has_read;
	int64_t version;
	int64_t confirmed_ms;
	bool failed;	/* the last call */
	char *next_key; /* of a read of several pages; NULL: the first page */
};

static void send_call(struct follow *follow);

static void schedule_call(struct follow *follow, int64_t delay_ms)
{
	struct timeval tv = clock_timeval(delay_ms);

	event_add(follow->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_call(arg);
}

/* Handles a page of a complete read. */
static void on_page(struct follow *follow, const struct store_response *reply)
{
	g_clear_pointer(&follow->next_key, g_free);
	if (reply->more && reply->rows->len > 0) {
		const struct store_row *last = &g_array_index(
			reply->rows, struct store_row, reply->rows->len - 1);

		follow->next_key = store_key_after(last->key);
		return;
	}
	follow->config.on_read(follow->config.arg);
	follow->has_read = true;
}

static void on_rows(struct follow *follow, const struct store_response *reply)
{
	bool first_page = follow->next_key == NULL;

	for (guint i = 0; i < reply->rows->len; i++)
		follow->config.on_row(
			follow->config.arg,
			&g_array_index(reply->rows, struct store_row, i));
	if (!follow->has_read) {
		/* Changes after the first page come with the feed. */
		if (first_page)
			follow->version = reply->version;
		on_page(follow, reply);
	} else {
		follow->version = MAX(follow->version, reply->version);
	}
	if (!follow->has_read)
		return;
	follow->confirmed_ms = reply->sent_ms;
	if (follow->config.on_current != NULL)
		follow->config.on_current(follow->config.arg);
}

static void on_reply(void *arg, const struct store_response *reply)
{
	struct follow *follow = arg;

	follow->call = NULL;
	if (reply->result == STORE_FEED_GAP) {
		slog("history_lost", NULL, "\"table\":\"%s\"",
		     follow->config.table);
		follow->has_read = false;
		follow->config.on_begin(follow->config.arg);
	} else if (reply->result != STORE_OK) {
		follow->failed = true;
		schedule_call(follow, follow->config.retry_ms);
		return;
	} else {
		follow->failed = false;
		on_rows(follow, reply);
	}
	if (follow->has_read && reply->rows->len > 0 &&
	    follow->config.pause_ms > 0)
		schedule_call(follow, follow->config.pause_ms);
	else
		send_call(follow);
}

static void send_call(struct follow *follow)
{
	const struct follow_config *config = &follow->config;
	/* A short poll shows at once that the store is reachable again. */
	int64_t poll_ms = follow->failed ? PROBE_POLL_MS : config->poll_ms;

	if (follow->has_read)
		follow->call =
			store_feed(config->store, config->table,
				   follow->version, poll_ms, on_reply, follow);
	else
		follow->call =
			store_read(config->store, config->table, "",
				   follow->next_key, NULL, on_reply, follow);
}

struct follow *follow_create(const struct follow_config *config)
{
	struct follow *follow = g_new0(struct follow, 1);

	follow->config = *config;
	follow->confirmed_ms = G_MININT32;
	follow->timer = evtimer_new(config->base, on_timer, follow);
	config->on_begin(config->arg);
	send_call(follow);
	return follow;
}

void follow_destroy(struct follow *follow)
{
	if (follow == NULL)
		return;
	if (follow->call != NULL)
		store_cancel(follow->call);
	event_free(follow->timer);
	g_free(follow->next_key);
	g_free(follow);
}

bool follow_has_read(const struct follow *follow)
{
	return follow->has_read;
}

int64_t follow_age_ms(const struct follow *follow)
{
	return clock_boot_ms() - follow->confirmed_ms;
}

void follow_renew(struct follow *follow)
{
	if (follow->call == NULL || !follow->has_read)
		return;
	store_cancel(follow->call);
	send_call(follow);
}
