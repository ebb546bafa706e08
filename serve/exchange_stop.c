/**
 * @file exchange_stop.c
 * @brief What is still served while the instance shuts down.
 *
 * The process ends at a known time. A request that has been sent to a server
 * goes on until then; one that has not been is only sent if its time limit ends
 * earlier, and is otherwise refused at once, so that its caller can go to
 * another instance.
 */
#include "clock.h"
#include "exchange_int.h"
#include "slog.h"

/* Returns when the request runs out of time, also before it has a timer. */
static int64_t deadline_ms(const struct exch *x)
{
	if (x->deadline_at_ms > 0)
		return x->deadline_at_ms;
	return x->request->received_at_ms + exch_timeout_ms(x, x->route);
}

/* Whether no server has got the request, or each has said not to run it. */
static bool is_unsent(const struct exch *x)
{
	return x->upstream == NULL && !x->upstream_complete &&
	       x->retry.possible_runs == 0 && !x->retry.response_started;
}

bool exch_may_send(const struct exch *x)
{
	return x->shared->stop_at_ms == 0 || !is_unsent(x) ||
	       deadline_ms(x) <= x->shared->stop_at_ms;
}

void exch_refuse_stopping(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();

	slog("stopping", x->call.id,
	     "\"left_ms\":%" G_GINT64_FORMAT ",\"limit_ms\":%" G_GINT64_FORMAT
	     ",\"sends\":%u",
	     x->shared->stop_at_ms - now_ms, deadline_ms(x) - now_ms,
	     x->retry.sends);
	exch_refuse(x, STATS_REFUSED_STOPPING, 503, "stopping",
		    EXCH_PEER_RETRY_AFTER_MS);
}

static struct exch *find_unfit(const struct exch_shared *shared)
{
	struct exch *x = NULL;

	cds_list_for_each_entry(x, &shared->all, node) {
		if (!exch_may_send(x))
			return x;
	}
	return NULL;
}

void exch_stop_at(struct exch_shared *shared, int64_t ms)
{
	struct exch *x;

	shared->stop_at_ms = ms;
	/* A refusal may end others: the list is read again after each. */
	while ((x = find_unfit(shared)) != NULL)
		exch_refuse_stopping(x);
}
