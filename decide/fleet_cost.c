/** @file fleet_cost.c @brief Compares servers by what all instances know. */
#include <string.h>

#include "cost.h"
#include "fleet_cost.h"
#include "fleet_int.h"
#include "load_view.h"

/* Cost of a failed request: the round trip and the next attempt. */
#define FAULT_COST_MS 400.0
/* By the shared view of the load: the slowdown of, and by, each other request
 * at the server, whose prompts are prefilled in turns. */
#define SLOWDOWN_MS 10.0
/* Part of the time of the output that counts as cost, so that of idle servers
 * the fastest is taken. All of it would crowd programs onto the fastest ones.
 */
#define OUTPUT_WEIGHT 0.2
/* Part of the distance from the mean to the 90th percentile that counts. */
#define SPREAD_WEIGHT 0.1

/* Requests that this instance has sent since @p then, and that no report of
 * then counts. */
static double count_sent_since(const struct fleet_server *server, int64_t then)
{
	double count = 0;

	for (GList *l = server->send_times->tail;
	     l != NULL && *(int64_t *)l->data >= then; l = l->prev)
		count++;
	return count;
}

/* Time until a slot is free: the work of all requests there, of which those of
 * other instances are taken to be like this one. */
static double queue_wait_ms(const struct fleet_server *server,
			    const struct fleet_work *work, double load)
{
	double others = MAX(load - (double)server->running, 0);
	double work_ms = work->outstanding_ms +
			 others * (work->mean_ms - work->prefill_ms);

	return cost_wait_ms(work_ms, load, server->slots);
}

static double cost_ms(const struct fleet_query *query,
		      const struct fleet_server *server, int64_t now,
		      double *wait_ms)
{
	const struct lview *view = query->load_view;
	double slowness = lview_slowness(view, server->load_key);
	double load =
		lview_requests(view, server->load_key, now) +
		count_sent_since(server,
				 lview_reported_ms(view, server->load_key));
	bool preferred = query->preferred_id != NULL &&
			 strcmp(server->id, query->preferred_id) == 0;
	struct fleet_work work;
	double cost;

	load = MAX(load, (double)server->running);
	query->predict(query->predict_arg, server, &work);
	*wait_ms = queue_wait_ms(server, &work, load);
	cost = *wait_ms + load * SLOWDOWN_MS * slowness +
	       (work.mean_ms - work.prefill_ms) * OUTPUT_WEIGHT +
	       (work.high_ms - work.mean_ms) * SPREAD_WEIGHT +
	       fleet_decayed_faults(server, now) * FAULT_COST_MS;
	/* The running requests wait while a prompt is prefilled. */
	if (!preferred)
		cost += work.prefill_ms * (1.0 + load);
	if (strcmp(server->zone, query->zone) != 0)
		cost += query->cross_zone_ms;
	if (now < server->avoid_until_ms)
		cost += FLEET_AVOID_MS;
	return cost;
}

static double speed(const struct fleet_query *query,
		    const struct fleet_server *server)
{
	return 1.0 / lview_mean_slowness(query->load_view, server->load_key);
}

const struct fleet_view_ops fleet_shared_view = {speed, cost_ms};
