/** @file sweeper.c @brief Removes the rows of programs that have expired. */
#include <string.h>

#include "clock.h"
#include "decide/retention.h"
#include "proto/rows.pb-c.h"
#include "slog.h"
#include "stats.h"
#include "sweeper.h"
#include "turns_int.h"

enum {
	TICKS = 600,	    /* in a cycle; a part is swept in each */
	PARTS_PAGE = 1000,  /* parts in one answer of the store */
	REMOVALS_MOST = 45, /* rows; a transaction takes 100 entries */
};

/* An expired program. */
struct expired {
	char key[KEY_LEN];
	int64_t version; /* of its expiry row */
};

struct swp {
	struct rst *store;
	struct mbr *members;
	struct event *timer;
	int64_t cycle_ms;
	int64_t listed_at; /* when the parts were last listed */
	GQueue parts;	   /* of char *, still to be swept */
	char *after;	   /* where the list of parts goes on */
	char part[PART_LEN];
	char *from; /* where the list of the part goes on */
	struct rst_call *call;
	GQueue expired; /* of struct expired, still to be removed */
	bool whole;	/* the transaction under way removes the last rows */
	guint removed;	/* programs of this part */
};

static void read_rows(struct swp *swp);
static void read_list(struct swp *swp);

static void drop_first(struct swp *swp)
{
	g_free(g_queue_pop_head(&swp->expired));
}

/* Goes on with the next program, or with the rest of the list. */
static void next_program(struct swp *swp)
{
	if (!g_queue_is_empty(&swp->expired)) {
		read_rows(swp);
		return;
	}
	if (swp->from != NULL) {
		read_list(swp);
		return;
	}
	if (swp->removed > 0)
		slog("swept", NULL, "\"part\":\"%s\",\"programs\":%u",
		     swp->part, swp->removed);
}

/* The store is away or the way to it is: the next tick begins anew. */
static void give_up(struct swp *swp)
{
	g_queue_clear_full(&swp->expired, g_free);
	g_clear_pointer(&swp->from, g_free);
}

static void on_removed(void *arg, const struct rst_answer *answer)
{
	struct swp *swp = arg;

	swp->call = NULL;
	if (answer->result >= RST_REFUSED) {
		give_up(swp);
		return;
	}
	if (answer->result == RST_OK && !swp->whole) {
		read_rows(swp);
		return;
	}
	if (answer->result == RST_OK) {
		swp->removed++;
		stats_count(STATS_PROGRAMS_SWEPT);
	}
	/* After a conflict the program goes on: its rows stay. */
	drop_first(swp);
	next_program(swp);
}

/* Removes a row, and the index row of the turn if it is the head of one. */
static void remove_row(struct rst_tx *tx, const struct rst_row *row)
{
	rst_tx_remove(tx, PROGRAMS_TABLE, row->key);
	if (strlen(row->key) == HEAD_KEY_LEN)
		rst_tx_remove(tx, TURNS_TABLE, row->key + KEY_LEN);
}

static void on_rows(void *arg, const struct rst_answer *answer)
{
	struct swp *swp = arg;
	const struct expired *first = g_queue_peek_head(&swp->expired);
	struct rst_tx *tx;
	guint n;

	swp->call = NULL;
	if (answer->result != RST_OK) {
		give_up(swp);
		return;
	}
	tx = rst_tx_create(swp->part);
	n = MIN(answer->rows->len, REMOVALS_MOST);
	rst_tx_expect(tx, EXPIRY_TABLE, first->key, first->version);
	/* The last rows first: what is left of a chain is its beginning. */
	for (guint i = answer->rows->len - n; i < answer->rows->len; i++)
		remove_row(tx, &g_array_index(answer->rows, struct rst_row, i));
	swp->whole = n == answer->rows->len && !answer->more;
	if (swp->whole)
		rst_tx_remove(tx, EXPIRY_TABLE, first->key);
	swp->call = rst_tx_send(swp->store, tx, on_removed, swp);
}

static void read_rows(struct swp *swp)
{
	const struct expired *first = g_queue_peek_head(&swp->expired);
	char to[KEY_LEN + 2];

	g_snprintf(to, sizeof(to), "%s0", first->key);
	swp->call = rst_get(swp->store, PROGRAMS_TABLE, swp->part, first->key,
			    to, on_rows, swp);
}

static void take_expiry(struct swp *swp, const struct rst_row *row)
{
	struct expired *expired;
	Rows__Expiry *expiry;
	gsize len;
	const uint8_t *data;

	if (row->value == NULL || strlen(row->key) != KEY_LEN - 1)
		return;
	data = g_bytes_get_data(row->value, &len);
	expiry = rows__expiry__unpack(NULL, len, data);
	if (expiry == NULL) {
		slog("row_unreadable", NULL, "\"table\":\"%s\",\"key\":%s",
		     EXPIRY_TABLE, slog_quote(row->key));
		return;
	}
	if (ret_expired((int64_t)expiry->at_ms, rst_now(swp->store))) {
		expired = g_new(struct expired, 1);
		g_strlcpy(expired->key, row->key, KEY_LEN);
		expired->version = row->version;
		g_queue_push_tail(&swp->expired, expired);
	}
	rows__expiry__free_unpacked(expiry, NULL);
}

static void on_list(void *arg, const struct rst_answer *answer)
{
	struct swp *swp = arg;

	swp->call = NULL;
	g_clear_pointer(&swp->from, g_free);
	if (answer->result != RST_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++)
		take_expiry(swp,
			    &g_array_index(answer->rows, struct rst_row, i));
	if (answer->more && answer->rows->len > 0) {
		const struct rst_row *last = &g_array_index(
			answer->rows, struct rst_row, answer->rows->len - 1);

		swp->from = rst_key_after(last->key);
	}
	next_program(swp);
}

static void read_list(struct swp *swp)
{
	swp->call = rst_get(swp->store, EXPIRY_TABLE, swp->part, swp->from,
			    NULL, on_list, swp);
}

static void on_parts(void *arg, const struct rst_answer *answer)
{
	struct swp *swp = arg;
	const struct rst_row *last = NULL;

	swp->call = NULL;
	g_clear_pointer(&swp->after, g_free);
	if (answer->result != RST_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++) {
		last = &g_array_index(answer->rows, struct rst_row, i);
		if (strlen(last->part) < PART_LEN &&
		    mbr_is_first(swp->members, last->part))
			g_queue_push_tail(&swp->parts, g_strdup(last->part));
	}
	if ((answer->more || answer->rows->len >= PARTS_PAGE) && last != NULL)
		swp->after = g_strdup(last->part);
}

static void list_parts(struct swp *swp)
{
	swp->listed_at = clock_boot_ms();
	swp->call =
		rst_parts(swp->store, EXPIRY_TABLE, swp->after, on_parts, swp);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct swp *swp = arg;
	char *part;

	(void)fd;
	(void)what;
	if (swp->call != NULL)
		return;
	part = g_queue_pop_head(&swp->parts);
	if (part == NULL) {
		if (swp->after != NULL ||
		    clock_boot_ms() - swp->listed_at >= swp->cycle_ms)
			list_parts(swp);
		return;
	}
	g_strlcpy(swp->part, part, sizeof(swp->part));
	g_free(part);
	swp->removed = 0;
	read_list(swp);
}

struct swp *swp_create(struct event_base *base, struct rst *store,
		       struct mbr *members, int64_t cycle_ms)
{
	struct timeval tv = clock_timeval(MAX(cycle_ms / TICKS, 1));
	struct swp *swp = g_new0(struct swp, 1);

	swp->store = store;
	swp->members = members;
	swp->cycle_ms = cycle_ms;
	swp->listed_at = clock_boot_ms();
	g_queue_init(&swp->parts);
	g_queue_init(&swp->expired);
	swp->timer = event_new(base, -1, EV_PERSIST, on_timer, swp);
	event_add(swp->timer, &tv);
	return swp;
}

void swp_destroy(struct swp *swp)
{
	if (swp == NULL)
		return;
	if (swp->call != NULL)
		rst_cancel(swp->call);
	give_up(swp);
	g_queue_clear_full(&swp->parts, g_free);
	g_free(swp->after);
	event_free(swp->timer);
	g_free(swp);
}
