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
	CYCLE_TICKS = 600,     /* one part is swept per tick */
	PARTS_PAGE_MAX = 1000, /* parts in one reply of the store */
	REMOVED_ROWS_MAX = 45, /* a transaction may have 100 entries */
};

/* An expired program. */
struct expired {
	char key[KEY_LEN];
	int64_t version; /* of its expiry row */
};

struct sweeper {
	struct store *store;
	struct members *members;
	struct event *timer;
	int64_t cycle_ms;
	int64_t listed_ms; /* when the parts were last listed */
	GQueue parts;	   /* of char *, still to be swept */
	char *last_part; /* of a list of several pages; NULL: it is complete */
	char part[PART_LEN];
	char *next_key; /* of the part's expiry rows; NULL: all were read */
	struct store_call *call;
	GQueue expired; /* of struct expired, still to be removed */
	bool last_rows; /* the transaction removes the program's last rows */
	guint removed_programs; /* of this part */
};

static void read_program_rows(struct sweeper *sweeper);
static void read_expiry_rows(struct sweeper *sweeper);

static void pop_expired(struct sweeper *sweeper)
{
	g_free(g_queue_pop_head(&sweeper->expired));
}

/* Continues with the next expired program, or with further expiry rows. */
static void sweep_next(struct sweeper *sweeper)
{
	if (!g_queue_is_empty(&sweeper->expired)) {
		read_program_rows(sweeper);
		return;
	}
	if (sweeper->next_key != NULL) {
		read_expiry_rows(sweeper);
		return;
	}
	if (sweeper->removed_programs > 0)
		slog("swept", NULL, "\"part\":\"%s\",\"programs\":%u",
		     sweeper->part, sweeper->removed_programs);
}

/* The store is unreachable: leaves the rest of the part to the next cycle. */
static void abort_part(struct sweeper *sweeper)
{
	g_queue_clear_full(&sweeper->expired, g_free);
	g_clear_pointer(&sweeper->next_key, g_free);
}

static void on_removed(void *arg, const struct store_response *reply)
{
	struct sweeper *sweeper = arg;

	sweeper->call = NULL;
	if (reply->result >= STORE_REFUSED) {
		abort_part(sweeper);
		return;
	}
	if (reply->result == STORE_OK && !sweeper->last_rows) {
		read_program_rows(sweeper);
		return;
	}
	if (reply->result == STORE_OK) {
		sweeper->removed_programs++;
		stats_count(STATS_PROGRAMS_SWEPT);
	}
	/* A conflict means that the program is in use again: its rows stay. */
	pop_expired(sweeper);
	sweep_next(sweeper);
}

/* Removes a row, and the index row of the turn if it is a head row. */
static void remove_row(struct store_tx *tx, const struct store_row *row)
{
	store_tx_remove(tx, PROGRAMS_TABLE, row->key);
	if (strlen(row->key) == HEAD_KEY_LEN)
		store_tx_remove(tx, TURNS_TABLE, row->key + KEY_LEN);
}

static void on_program_rows(void *arg, const struct store_response *reply)
{
	struct sweeper *sweeper = arg;
	const struct expired *first = g_queue_peek_head(&sweeper->expired);
	struct store_tx *tx;
	guint n;

	sweeper->call = NULL;
	if (reply->result != STORE_OK) {
		abort_part(sweeper);
		return;
	}
	tx = store_tx_create(sweeper->part);
	n = MIN(reply->rows->len, REMOVED_ROWS_MAX);
	store_tx_expect(tx, EXPIRY_TABLE, first->key, first->version);
	/* The last rows first: what remains is the beginning of the program. */
	for (guint i = reply->rows->len - n; i < reply->rows->len; i++)
		remove_row(tx,
			   &g_array_index(reply->rows, struct store_row, i));
	sweeper->last_rows = n == reply->rows->len && !reply->more;
	if (sweeper->last_rows)
		store_tx_remove(tx, EXPIRY_TABLE, first->key);
	sweeper->call = store_tx_send(sweeper->store, tx, on_removed, sweeper);
}

static void read_program_rows(struct sweeper *sweeper)
{
	const struct expired *first = g_queue_peek_head(&sweeper->expired);
	char to[KEY_LEN + 2];

	g_snprintf(to, sizeof(to), "%s0", first->key);
	sweeper->call =
		store_read(sweeper->store, PROGRAMS_TABLE, sweeper->part,
			   first->key, to, on_program_rows, sweeper);
}

static void check_expiry_row(struct sweeper *sweeper,
			     const struct store_row *row)
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
	if (retention_is_expired((int64_t)expiry->at_ms,
				 store_clock_ms(sweeper->store))) {
		expired = g_new(struct expired, 1);
		g_strlcpy(expired->key, row->key, KEY_LEN);
		expired->version = row->version;
		g_queue_push_tail(&sweeper->expired, expired);
	}
	rows__expiry__free_unpacked(expiry, NULL);
}

static void on_expiry_rows(void *arg, const struct store_response *reply)
{
	struct sweeper *sweeper = arg;

	sweeper->call = NULL;
	g_clear_pointer(&sweeper->next_key, g_free);
	if (reply->result != STORE_OK)
		return;
	for (guint i = 0; i < reply->rows->len; i++)
		check_expiry_row(sweeper, &g_array_index(reply->rows,
							 struct store_row, i));
	if (reply->more && reply->rows->len > 0) {
		const struct store_row *last = &g_array_index(
			reply->rows, struct store_row, reply->rows->len - 1);

		sweeper->next_key = store_key_after(last->key);
	}
	sweep_next(sweeper);
}

static void read_expiry_rows(struct sweeper *sweeper)
{
	sweeper->call =
		store_read(sweeper->store, EXPIRY_TABLE, sweeper->part,
			   sweeper->next_key, NULL, on_expiry_rows, sweeper);
}

static void on_parts(void *arg, const struct store_response *reply)
{
	struct sweeper *sweeper = arg;
	const struct store_row *last = NULL;

	sweeper->call = NULL;
	g_clear_pointer(&sweeper->last_part, g_free);
	if (reply->result != STORE_OK)
		return;
	for (guint i = 0; i < reply->rows->len; i++) {
		last = &g_array_index(reply->rows, struct store_row, i);
		if (strlen(last->part) < PART_LEN &&
		    members_is_responsible(sweeper->members, last->part))
			g_queue_push_tail(&sweeper->parts,
					  g_strdup(last->part));
	}
	if ((reply->more || reply->rows->len >= PARTS_PAGE_MAX) && last != NULL)
		sweeper->last_part = g_strdup(last->part);
}

static void list_parts(struct sweeper *sweeper)
{
	sweeper->listed_ms = clock_boot_ms();
	sweeper->call = store_list_parts(sweeper->store, EXPIRY_TABLE,
					 sweeper->last_part, on_parts, sweeper);
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
		if (sweeper->last_part != NULL ||
		    clock_boot_ms() - sweeper->listed_ms >= sweeper->cycle_ms)
			list_parts(sweeper);
		return;
	}
	g_strlcpy(sweeper->part, part, sizeof(sweeper->part));
	g_free(part);
	sweeper->removed_programs = 0;
	read_expiry_rows(sweeper);
}

struct sweeper *sweeper_create(struct event_base *base, struct store *store,
			       struct members *members, int64_t cycle_ms)
{
	struct timeval tv = clock_timeval(MAX(cycle_ms / CYCLE_TICKS, 1));
	struct sweeper *sweeper = g_new0(struct sweeper, 1);

	sweeper->store = store;
	sweeper->members = members;
	sweeper->cycle_ms = cycle_ms;
	sweeper->listed_ms = clock_boot_ms();
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
		store_cancel(sweeper->call);
	abort_part(sweeper);
	g_queue_clear_full(&sweeper->parts, g_free);
	g_free(sweeper->last_part);
	event_free(sweeper->timer);
	g_free(sweeper);
}
