/** @file sim_store.c @brief Simulated table and object store, with faults. */
#include "proto/message.h"
#include "test/sim/sim.h"

enum {
	REQUEST_TIMEOUT_MS = 1000,
};

/* A request in transit, then its reply. */
struct sim_request {
	struct sim_node_ref origin;
	uint64_t cookie;
	Aps__TableRequest *request;
	Aps__TableReply *reply;
	char *key;
	GBytes *object;
	bool is_object;
	bool succeeded;
	int64_t sent_ms;
};

static void request_free(struct sim_request *req)
{
	if (req->request != NULL)
		aps__table_request__free_unpacked(req->request, NULL);
	if (req->reply != NULL)
		aps__table_reply__free_unpacked(req->reply, NULL);
	if (req->object != NULL)
		g_bytes_unref(req->object);
	g_free(req->key);
	g_free(req);
}

static void on_reply(struct sim *sim, void *arg)
{
	struct sim_request *req = arg;
	struct sim_node *n = sim_find_running_node(sim, req->origin);
	const uint8_t *buf = NULL;
	gsize len = 0;

	if (n != NULL && sim_defer_if_frozen(n, on_reply, req))
		return;
	if (req->object != NULL)
		buf = g_bytes_get_data(req->object, &len);
	if (n != NULL && req->is_object)
		node_on_object(n->node, req->cookie, req->succeeded, buf, len);
	else if (n != NULL)
		node_on_table(n->node, req->cookie, req->reply);
	request_free(req);
}

static double pick_latency(struct sim *sim)
{
	double delay_ms =
		sim->table_delay_max_ms > 0
			? (double)rng_below(&sim->rng,
					    (uint64_t)sim->table_delay_max_ms)
			: 0;

	return sim->params.latency_ms * (1 + rng_unit(&sim->rng)) + delay_ms;
}

/* Drops the reply; the request fails at its timeout. */
static void lose_reply(struct sim *sim, struct sim_request *req)
{
	double remaining_ms =
		(double)(req->sent_ms + REQUEST_TIMEOUT_MS - sim->now_ms);

	if (req->reply != NULL)
		aps__table_reply__free_unpacked(req->reply, NULL);
	req->reply = NULL;
	req->succeeded = false;
	sim_schedule(sim, remaining_ms, on_reply, req);
}

static void return_reply(struct sim *sim, struct sim_request *req)
{
	double return_ms = pick_latency(sim);
	int64_t deadline_ms = req->sent_ms + REQUEST_TIMEOUT_MS;
	bool is_unreachable = sim->nodes[req->origin.node].table_unreachable;

	if (is_unreachable ||
	    (double)sim->now_ms + return_ms > (double)deadline_ms ||
	    (int)rng_below(&sim->rng, 100) < sim->reply_loss_percent)
		lose_reply(sim, req);
	else
		sim_schedule(sim, return_ms, on_reply, req);
}

static void on_table_request(struct sim *sim, void *arg)
{
	struct sim_request *req = arg;

	if (sim->table_out) {
		lose_reply(sim, req);
		return;
	}
	if (req->request->op == APS__TABLE_REQUEST__OP__TXN)
		sim->table_writes++;
	else
		sim->table_reads++;
	req->reply = memtable_request(sim->table, req->request);
	if (req->request->op != APS__TABLE_REQUEST__OP__TXN)
		sim->read_reply_bytes +=
			aps__table_reply__get_packed_size(req->reply);
	return_reply(sim, req);
}

static void on_object_request(struct sim *sim, void *arg)
{
	struct sim_request *req = arg;
	GBytes *found;

	if (sim->objects_out) {
		lose_reply(sim, req);
		return;
	}
	req->succeeded = true;
	if (req->object != NULL) {
		g_hash_table_replace(sim->objects, req->key, req->object);
		req->key = NULL;
		req->object = NULL;
	} else {
		found = g_hash_table_lookup(sim->objects, req->key);
		req->object = found != NULL ? g_bytes_ref(found) : NULL;
		req->succeeded = found != NULL;
	}
	return_reply(sim, req);
}

static struct sim_request *request_create(struct sim_node *n, uint64_t cookie)
{
	struct sim_request *req = g_new0(struct sim_request, 1);

	req->origin.node = n->index;
	req->origin.generation = n->generation;
	req->cookie = cookie;
	req->sent_ms = n->sim->now_ms;
	return req;
}

static void send_request(struct sim_node *n, struct sim_request *req,
			 sim_event_fn fn)
{
	if (n->table_unreachable)
		lose_reply(n->sim, req);
	else
		sim_schedule(n->sim, pick_latency(n->sim), fn, req);
}

void sim_store_table(struct sim_node *n, uint64_t cookie,
		     const Aps__TableRequest *request)
{
	struct sim_request *req = request_create(n, cookie);

	req->request = msg_dup(&request->base);
	send_request(n, req, on_table_request);
}

void sim_store_put_object(struct sim_node *n, uint64_t cookie, const char *key,
			  const uint8_t *buf, size_t len)
{
	struct sim_request *req = request_create(n, cookie);

	req->is_object = true;
	req->key = g_strdup(key);
	req->object = g_bytes_new(buf, len);
	send_request(n, req, on_object_request);
}

void sim_store_get_object(struct sim_node *n, uint64_t cookie, const char *key)
{
	struct sim_request *req = request_create(n, cookie);

	req->is_object = true;
	req->key = g_strdup(key);
	send_request(n, req, on_object_request);
}
