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

struct sweeper {
	struct rst *store;
	struct members *members;
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

static void read_rows(struct sweeper *sweeper);
static void read_list(struct sweeper *sweeper);

static void drop_first(struct sweeper *sweeper)
{
	g_free(g_queue_pop_head(&sweeper->expired));
}

/* Goes on with the next program, or with the rest of the list. */
static void next_program(struct sweeper *sweeper)
{
	if (!g_queue_is_empty(&sweeper->expired)) {
		read_rows(sweeper);
		return;
	}
	if (sweeper->from != NULL) {
		read_list(sweeper);
		return;
	}
	if (sweeper->removed > 0)
		slog("swept", NULL, "\"part\":\"%s\",\"programs\":%u",
		     sweeper->part, sweeper->removed);
}

/* The store is away or the way to it is: the next tick begins anew. */
static void give_up(struct sweeper *sweeper)
{
	g_queue_clear_full(&sweeper->expired, g_free);
	g_clear_pointer(&sweeper->from, g_free);
}

static void on_removed(void *arg, const struct rst_answer *answer)
{
	struct sweeper *sweeper = arg;

	sweeper->call = NULL;
	if (answer->result >= RST_REFUSED) {
		give_up(sweeper);
		return;
	}
	if (answer->result == RST_OK && !sweeper->whole) {
		read_rows(sweeper);
		return;
	}
	if (answer->result == RST_OK) {
		sweeper->removed++;
		sts_count(STS_PROGRAMS_SWEPT);
	}
	/* After a conflict the program goes on: its rows stay. */
	drop_first(sweeper);
	next_program(sweeper);
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
	struct sweeper *sweeper = arg;
	const struct expired *first = g_queue_peek_head(&sweeper->expired);
	struct rst_tx *tx;
	guint n;

	sweeper->call = NULL;
	if (answer->result != RST_OK) {
		give_up(sweeper);
		return;
	}
	tx = rst_tx_create(sweeper->part);
	n = MIN(answer->rows->len, REMOVALS_MOST);
	rst_tx_expect(tx, EXPIRY_TABLE, first->key, first->version);
	/* The last rows first: what is left of a chain is its beginning. */
	for (guint i = answer->rows->len - n; i < answer->rows->len; i++)
		remove_row(tx, &g_array_index(answer->rows, struct rst_row, i));
	sweeper->whole = n == answer->rows->len && !answer->more;
	if (sweeper->whole)
		rst_tx_remove(tx, EXPIRY_TABLE, first->key);
	sweeper->call = rst_tx_send(sweeper->store, tx, on_removed, sweeper);
}

static void read_rows(struct sweeper *sweeper)
{
	const struct expired *first = g_queue_peek_head(&sweeper->expired);
	char to[KEY_LEN + 2];

	g_snprintf(to, sizeof(to), "%s0", first->key);
	sweeper->call = rst_get(sweeper->store, PROGRAMS_TABLE, sweeper->part,
				first->key, to, on_rows, sweeper);
}

static void take_expiry(struct sweeper *sweeper, const struct rst_row *row)
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
	if (ret_expired((int64_t)expiry->at_ms, rst_now(sweeper->store))) {
		expired = g_new(struct expired, 1);
		g_strlcpy(expired->key, row->key, KEY_LEN);
		expired->version = row->version;
		g_queue_push_tail(&sweeper->expired, expired);
	}
	rows__expiry__free_unpacked(expiry, NULL);
}

static void on_list(void *arg, const struct rst_answer *answer)
{
	struct sweeper *sweeper = arg;

	sweeper->call = NULL;
	g_clear_pointer(&sweeper->from, g_free);
	if (answer->result != RST_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++)
		take_expiry(sweeper,
			    &g_array_index(answer->rows, struct rst_row, i));
	if (answer->more && answer->rows->len > 0) {
		const struct rst_row *last = &g_array_index(
			answer->rows, struct rst_row, answer->rows->len - 1);

		sweeper->from = rst_key_after(last->key);
	}
	next_program(sweeper);
}

static void read_list(struct sweeper *sweeper)
{
	sweeper->call = rst_get(sweeper->store, EXPIRY_TABLE, sweeper->part,
				sweeper->from, NULL, on_list, sweeper);
}

static void on_parts(void *arg, const struct rst_answer *answer)
{
	struct sweeper *sweeper = arg;
	const struct rst_row *last = NULL;

	sweeper->call = NULL;
	g_clear_pointer(&sweeper->after, g_free);
	if (answer->result != RST_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++) {
		last = &g_array_index(answer->rows, struct rst_row, i);
		if (strlen(last->part) < PART_LEN &&
		    members_is_responsible(sweeper->members, last->part))
			g_queue_push_tail(&sweeper->parts,
					  g_strdup(last->part));
	}
	if ((answer->more || answer->rows->len >= PARTS_PAGE) && last != NULL)
		sweeper->after = g_strdup(last->part);
}

static void list_parts(struct sweeper *sweeper)
{
	sweeper->listed_at = clock_boot_ms();
	sweeper->call = rst_parts(sweeper->store, EXPIRY_TABLE, sweeper->after,
				  on_parts, sweeper);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct sweeper *sweeper = arg;
	char *part;

	(void)fd;
	(void)what;
	if (sweeper->call != NULL)
		return;
	part = g_queue_pop_head(&sweeper->parts);
	if (part == NULL) {
		if (sweeper->after != NULL ||
		    clock_boot_ms() - sweeper->listed_at >= sweeper->cycle_ms)
			list_parts(sweeper);
		return;
	}
	g_strlcpy(sweeper->part, part, sizeof(sweeper->part));
	g_free(part);
	sweeper->removed = 0;
	read_list(sweeper);
}

struct sweeper *sweeper_create(struct event_base *base, struct rst *store,
			       struct members *members, int64_t cycle_ms)
{
	struct timeval tv = clock_timeval(MAX(cycle_ms / TICKS, 1));
	struct sweeper *sweeper = g_new0(struct sweeper, 1);

	sweeper->store = store;
	sweeper->members = members;
	sweeper->cycle_ms = cycle_ms;
	sweeper->listed_at = clock_boot_ms();
	g_queue_init(&sweeper->parts);
	g_queue_init(&sweeper->expired);
	sweeper->timer = event_new(base, -1, EV_PERSIST, on_timer, sweeper);
	event_add(sweeper->timer, &tv);
	return sweeper;
}

void sweeper_destroy(struct sweeper *sweeper)
{
	if (sweeper == NULL)
		return;
	if (sweeper->call != NULL)
		rst_cancel(sweeper->call);
	give_up(sweeper);
	g_queue_clear_full(&sweeper->parts, g_free);
	g_free(sweeper->after);
	event_free(sweeper->timer);
	g_free(sweeper);
}
