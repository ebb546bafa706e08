/**
 * @file exchange_body.c
 * @brief Writes the body of a turn: its history, and then its input.
 *
 * A history can be larger than the memory there is. It is read while it is
 * written, no further ahead than the connection to the server takes it.
 */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

enum {
	UNSENT_MAX_BYTES = 262144, /* before further pieces are read */
};

uint64_t exch_body_size(const struct exch *x)
{
	uint64_t history = x->turn != NULL ? turns_history_size(x->turn) : 0;

	return history + g_bytes_get_size(x->body);
}

/* The history can't be read on. The server has not got the whole request, which
 * it can't have run. */
static void on_unreadable(struct exch *x)
{
	slog("body_unread", x->call.id,
	     "\"server\":%s,\"runs\":%u,\"ms\":%" G_GINT64_FORMAT,
	     slog_quote(x->server->id), x->retry.possible_runs,
	     clock_boot_ms() - x->sent_ms);
	exch_cancel_upstream(x);
	if (x->retry.response_started || x->retry.possible_runs > 0)
		exch_fail(x, "history unreadable", 502);
	else
		exch_refuse(x, STATS_REFUSED_STORE, 503, "history unreadable",
			    exch_store_retry_after_ms(x));
}

static void on_ready(void *arg, bool ok)
{
	struct exch *x = arg;

	if (ok)
		exch_continue_body(x);
	else
		on_unreadable(x);
}

void exch_write_body(struct exch *x)
{
	x->reader = turns_reader_create(x->turn, on_ready, x);
	exch_continue_body(x);
}

void exch_continue_body(void *arg)
{
	struct exch *x = arg;
	GBytes *piece;

	if (x->reader == NULL)
		return;
	while (upstream_unsent(x->upstream) <= UNSENT_MAX_BYTES) {
		switch (turns_reader_next(x->reader, &piece)) {
		case TURNS_READ_PIECE:
			upstream_write(x->upstream, piece, false);
			g_bytes_unref(piece);
			break;
		case TURNS_READ_WAIT:
			return;
		case TURNS_READ_END:
			g_clear_pointer(&x->reader, turns_reader_destroy);
			upstream_write(x->upstream, x->body, true);
			exch_arm_silence_timer(x);
			return;
		}
	}
	exch_arm_silence_timer(x);
}
