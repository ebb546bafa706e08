/** @file history.c @brief Cache of the turns of programs, and their chains. */
#include <string.h>

#include "history.h"

struct turn {
	char *key;
	char *previous;
	char *owner;
	GBytes *text;
	int64_t used_ms;
	guint chains; /* that keep it */
	GList link;   /* in hist.lru, most recently used first, if none does */
};

struct hist {
	uint64_t max_bytes;
	uint64_t bytes; /* of the turns in lru */
	uint64_t max_chain_bytes;
	uint64_t chain_bytes; /* of the texts that chains keep, and reserved */
	GHashTable *turns;
	GQueue lru;
};

/* A turn that has been seen, and may belong to the chain. */
struct link {
	char *key;
	char *previous;
	char *owner;
	uint64_t len;
	struct turn *kept; /* or NULL */
	bool in_chain;
};

struct hist_chain {
	struct hist *hist;
	char *next; /* turn before the oldest known one; "": none, it is whole
		     */
	GHashTable *links; /* by key */
	GPtrArray *order;  /* of those in the chain, newest first */
	uint64_t size;	   /* of their texts */
};

static uint64_t turn_bytes(const struct turn *turn)
{
	return g_bytes_get_size(turn->text) + sizeof(*turn) +
	       strlen(turn->key) + strlen(turn->previous) + strlen(turn->owner);
}

static void lru_add(struct hist *hist, struct turn *turn)
{
	g_queue_push_head_link(&hist->lru, &turn->link);
	hist->bytes += turn_bytes(turn);
}

static void lru_remove(struct hist *hist, struct turn *turn)
{
	g_queue_unlink(&hist->lru, &turn->link);
	hist->bytes -= turn_bytes(turn);
}

static void evict_turn(struct hist *hist, struct turn *turn)
{
	lru_remove(hist, turn);
	g_hash_table_remove(hist->turns, turn->key);
	g_bytes_unref(turn->text);
	g_free(turn->key);
	g_free(turn->previous);
	g_free(turn->owner);
	g_free(turn);
}

/* Evicts what is beyond the size of the cache. */
static void trim(struct hist *hist)
{
	while (hist->bytes > hist->max_bytes && hist->lru.tail != NULL)
		evict_turn(hist, hist->lru.tail->data);
}

struct hist *hist_create(uint64_t max_bytes, uint64_t max_chain_bytes)
{
	struct hist *hist = g_new0(struct hist, 1);

	hist->max_bytes = max_bytes;
	hist->max_chain_bytes = max_chain_bytes;
	hist->turns = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&hist->lru);
	return hist;
}

void hist_destroy(struct hist *hist)
{
	if (hist == NULL)
		return;
	while (hist->lru.head != NULL)
		evict_turn(hist, hist->lru.head->data);
	g_hash_table_destroy(hist->turns);
	g_free(hist);
}

/* Adds a turn, also beyond the size of the cache. */
static void add_turn(struct hist *hist, const char *key, const char *previous,
		     const char *owner, GBytes *text, int64_t now)
{
	struct turn *turn;

	if (g_hash_table_contains(hist->turns, key))
		return;
	turn = g_new0(struct turn, 1);
	turn->key = g_strdup(key);
	turn->previous = g_strdup(previous);
	turn->owner = g_strdup(owner);
	turn->used_ms = now;
	turn->text = g_bytes_ref(text);
	turn->link.data = turn;
	g_hash_table_insert(hist->turns, turn->key, turn);
	lru_add(hist, turn);
}

void hist_put(struct hist *hist, const char *key, const char *previous,
	      const char *owner, GBytes *text, int64_t now)
{
	add_turn(hist, key, previous, owner, text, now);
	trim(hist);
}

bool hist_reserve(struct hist *hist, uint64_t bytes)
{
	if (hist->chain_bytes + bytes > hist->max_chain_bytes)
		return false;
	hist->chain_bytes += bytes;
	return true;
}

void hist_release(struct hist *hist, uint64_t bytes)
{
	hist->chain_bytes -= bytes;
}

/* Returns a turn that is in memory and counts as used now, or NULL. */
static struct turn *find_turn(struct hist *hist, const char *key, int64_t now)
{
	struct turn *turn = g_hash_table_lookup(hist->turns, key);

	if (turn == NULL)
		return NULL;
	turn->used_ms = now;
	if (turn->chains == 0) {
		g_queue_unlink(&hist->lru, &turn->link);
		g_queue_push_head_link(&hist->lru, &turn->link);
	}
	return turn;
}

/* Keeps a turn for a chain, if there is room. */
static void keep_turn(struct hist *hist, struct link *link, struct turn *turn)
{
	if (link->kept != NULL)
		return;
	if (turn->chains == 0) {
		if (!hist_reserve(hist, g_bytes_get_size(turn->text)))
			return;
		lru_remove(hist, turn);
	}
	turn->chains++;
	link->kept = turn;
}

static void stop_keeping(struct hist *hist, struct link *link)
{
	struct turn *turn = link->kept;

	link->kept = NULL;
	if (turn == NULL || --turn->chains > 0)
		return;
	hist_release(hist, g_bytes_get_size(turn->text));
	lru_add(hist, turn);
}

static void link_free(gpointer p)
{
	struct link *link = p;

	g_free(link->key);
	g_free(link->previous);
	g_free(link->owner);
	g_free(link);
}

static struct link *find_link(const struct hist_chain *chain, const char *key)
{
	return g_hash_table_lookup(chain->links, key);
}

static struct link *add_link(struct hist_chain *chain, const char *key,
			     const char *previous, const char *owner,
			     uint64_t len)
{
	struct link *link = g_new0(struct link, 1);

	link->key = g_strdup(key);
	link->previous = g_strdup(previous);
	link->owner = g_strdup(owner);
	link->len = len;
	g_hash_table_insert(chain->links, link->key, link);
	return link;
}

void hist_chain_extend(struct hist_chain *chain, int64_t now)
{
	while (*chain->next != '\0') {
		struct link *link = find_link(chain, chain->next);
		struct turn *turn = find_turn(chain->hist, chain->next, now);

		if (link == NULL && turn != NULL)
			link = add_link(chain, turn->key, turn->previous,
					turn->owner,
					g_bytes_get_size(turn->text));
		/* The rows of a cycle are invalid: its end is never found. */
		if (link == NULL || link->in_chain)
			return;
		link->in_chain = true;
		if (turn != NULL)
			keep_turn(chain->hist, link, turn);
		g_ptr_array_add(chain->order, link);
		chain->size += link->len;
		g_free(chain->next);
		chain->next = g_strdup(link->previous);
	}
}

struct hist_chain *hist_chain_create(struct hist *hist, const char *newest,
				     int64_t now)
{
	struct hist_chain *chain = g_new0(struct hist_chain, 1);

	chain->hist = hist;
	chain->next = g_strdup(newest);
	chain->order = g_ptr_array_new();
	chain->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	hist_chain_extend(chain, now);
	return chain;
}

void hist_chain_release(struct hist_chain *chain)
{
	for (guint i = chain->order->len; i > 0; i--)
		stop_keeping(chain->hist,
			     g_ptr_array_index(chain->order, i - 1));
	trim(chain->hist);
}

void hist_chain_destroy(struct hist_chain *chain)
{
	if (chain == NULL)
		return;
	hist_chain_release(chain);
	g_ptr_array_free(chain->order, TRUE);
	g_hash_table_destroy(chain->links);
	g_free(chain->next);
	g_free(chain);
}

void hist_chain_add(struct hist_chain *chain, const char *key,
		    const char *previous, const char *owner, GBytes *text,
		    uint64_t len, int64_t now)
{
	struct link *link = find_link(chain, key);
	struct turn *turn;

	if (text != NULL)
		add_turn(chain->hist, key, previous, owner, text, now);
	if (link == NULL) {
		add_link(chain, key, previous, owner,
			 text != NULL ? g_bytes_get_size(text) : len);
		hist_chain_extend(chain, now);
	} else if (link->in_chain) {
		turn = find_turn(chain->hist, key, now);
		if (turn != NULL)
			keep_turn(chain->hist, link, turn);
	}
	trim(chain->hist);
}

const char *hist_chain_missing(const struct hist_chain *chain)
{
	return *chain->next != '\0' ? chain->next : NULL;
}

bool hist_chain_has_seen(const struct hist_chain *chain, const char *key)
{
	return find_link(chain, key) != NULL;
}

bool hist_chain_is_kept(const struct hist_chain *chain)
{
	for (guint i = 0; i < chain->order->len; i++) {
		const struct link *link = g_ptr_array_index(chain->order, i);

		if (link->kept == NULL)
			return false;
	}
	return true;
}

const char *hist_chain_fits(const struct hist_chain *chain)
{
	const struct hist *hist = chain->hist;
	const struct link *absent = NULL;
	uint64_t len = 0;

	for (guint i = 0; i < chain->order->len; i++) {
		const struct link *link = g_ptr_array_index(chain->order, i);

		if (link->kept != NULL)
			continue;
		absent = link;
		len += link->len;
	}
	if (absent == NULL || hist->chain_bytes + len > hist->max_chain_bytes)
		return NULL;
	return absent->owner;
}

guint hist_chain_count(const struct hist_chain *chain)
{
	return chain->order->len;
}

void hist_chain_get(const struct hist_chain *chain, guint i,
		    struct hist_turn *turn)
{
	const struct link *link =
		g_ptr_array_index(chain->order, chain->order->len - 1 - i);
	const struct turn *in_memory =
		g_hash_table_lookup(chain->hist->turns, link->key);

	turn->key = link->key;
	turn->owner = link->owner;
	turn->len = link->len;
	turn->text = in_memory != NULL ? in_memory->text : NULL;
}

uint64_t hist_chain_size(const struct hist_chain *chain)
{
	return chain->size;
}

void hist_evict_unused(struct hist *hist, int64_t since)
{
	struct turn *turn;

	while (hist->lru.tail != NULL) {
		turn = hist->lru.tail->data;
		if (turn->used_ms >= since)
			return;
		evict_turn(hist, turn);
	}
}

uint64_t hist_bytes(const struct hist *hist)
{
	return hist->bytes;
}

uint64_t hist_chain_bytes(const struct hist *hist)
{
	return hist->chain_bytes;
}
