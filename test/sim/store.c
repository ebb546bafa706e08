/** @file store.c @brief The platform's table and object store, with faults. */
#include "proto/message.h"
#include "test/sim/world.h"

enum {
	STORE_TIMEOUT_MS = 1000,
};

/* A request on its way, and its reply on the way back. */
struct ask {
	struct wld_target from;
	uint64_t cookie;
	Aps__TableRequest *request;
	Aps__TableReply *reply;
	char *key;
	GBytes *bytes;
	bool is_object;
	bool ok;
	int64_t sent_ms;
};

static void ask_free(struct ask *ask)
{
	if (ask->request != NULL)
		aps__table_request__free_unpacked(ask->request, NULL);
	if (ask->reply != NULL)
		aps__table_reply__free_unpacked(ask->reply, NULL);
	if (ask->bytes != NULL)
		g_bytes_unref(ask->bytes);
	g_free(ask->key);
	g_free(ask);
}

static void on_reply(struct world *w, void *arg)
{
	struct ask *ask = arg;
	struct wld_node *n = wld_same(w, ask->from);
	const uint8_t *buf = NULL;
	gsize len = 0;

	if (n != NULL && wld_hold(n, on_reply, ask))
		return;
	if (ask->bytes != NULL)
		buf = g_bytes_get_data(ask->bytes, &len);
	if (n != NULL && ask->is_object)
		node_on_object(n->node, ask->cookie, ask->ok, buf, len);
	else if (n != NULL)
		node_on_table(n->node, ask->cookie, ask->reply);
	ask_free(ask);
}

static double latency(struct world *w)
{
	double slow = w->slow_ms > 0
			      ? (double)rng_below(&w->rng, (uint64_t)w->slow_ms)
			      : 0;

	return w->params.latency_ms * (1 + rng_unit(&w->rng)) + slow;
}

/* No reply comes: the caller's time limit ends the request. */
static void lose(struct world *w, struct ask *ask)
{
	double left = (double)(ask->sent_ms + STORE_TIMEOUT_MS - w->now_ms);

	if (ask->reply != NULL)
		aps__table_reply__free_unpacked(ask->reply, NULL);
	ask->reply = NULL;
	ask->ok = false;
	wld_after(w, left, on_reply, ask);
}

static void return_reply(struct world *w, struct ask *ask)
{
	double back = latency(w);
	int64_t limit = ask->sent_ms + STORE_TIMEOUT_MS;
	bool cut = w->nodes[ask->from.node].cut_table;

	if (cut || (double)w->now_ms + back > (double)limit ||
	    (int)rng_below(&w->rng, 100) < w->lose_replies)
		lose(w, ask);
	else
		wld_after(w, back, on_reply, ask);
}

static void on_request(struct world *w, void *arg)
{
	struct ask *ask = arg;

	if (w->outage) {
		lose(w, ask);
		return;
	}
	if (ask->request->op == APS__TABLE_REQUEST__OP__TXN)
		w->table_writes++;
	else
		w->table_reads++;
	ask->reply = memtable_request(w->table, ask->request);
	if (ask->request->op != APS__TABLE_REQUEST__OP__TXN)
		w->poll_bytes += aps__table_reply__get_packed_size(ask->reply);
	return_reply(w, ask);
}

static void on_object(struct world *w, void *arg)
{
	struct ask *ask = arg;
	GBytes *found;

	if (w->objects_out) {
		lose(w, ask);
		return;
	}
	ask->ok = true;
	if (ask->bytes != NULL) {
		g_hash_table_replace(w->objects, ask->key, ask->bytes);
		ask->key = NULL;
		ask->bytes = NULL;
	} else {
		found = g_hash_table_lookup(w->objects, ask->key);
		ask->bytes = found != NULL ? g_bytes_ref(found) : NULL;
		ask->ok = found != NULL;
	}
	return_reply(w, ask);
}

static struct ask *ask_create(struct wld_node *n, uint64_t cookie)
{
	struct ask *ask = g_new0(struct ask, 1);

	ask->from.node = n->index;
	ask->from.generation = n->generation;
	ask->cookie = cookie;
	ask->sent_ms = n->world->now_ms;
	return ask;
}

static void send(struct wld_node *n, struct ask *ask, wld_fn fn)
{
	if (n->cut_table)
		lose(n->world, ask);
	else
		wld_after(n->world, latency(n->world), fn, ask);
}

void sto_table(struct wld_node *n, uint64_t cookie,
	       const Aps__TableRequest *request)
{
	struct ask *ask = ask_create(n, cookie);

	ask->request = msg_dup(&request->base);
	send(n, ask, on_request);
}

void sto_put(struct wld_node *n, uint64_t cookie, const char *key,
	     const uint8_t *buf, size_t len)
{
	struct ask *ask = ask_create(n, cookie);

	ask->is_object = true;
	ask->key = g_strdup(key);
	ask->bytes = g_bytes_new(buf, len);
	send(n, ask, on_object);
}

void sto_get(struct wld_node *n, uint64_t cookie, const char *key)
{
	struct ask *ask = ask_create(n, cookie);

	ask->is_object = true;
	ask->key = g_strdup(key);
	send(n, ask, on_object);
}
