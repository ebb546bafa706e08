/** @file history.c @brief Cache of the turns of programs. */
#include <string.h>

#include "history.h"

enum {
	CHAIN_LENGTH_MAX = 1000, /* turns; a longer chain is a cycle */
};

struct turn {
	char *key;
	char *previous;
	char *owner;
	GBytes *text;
	int64_t used_ms;
	GList link; /* in hist.lru, most recently used first */
};

struct hist {
	uint64_t max_bytes;
	uint64_t bytes;
	GHashTable *turns;
	GQueue lru;
};

static uint64_t turn_bytes(const struct turn *turn)
{
	return g_bytes_get_size(turn->text) + sizeof(*turn) +
	       strlen(turn->key) + strlen(turn->previous) + strlen(turn->owner);
}

static void evict_turn(struct hist *hist, struct turn *turn)
{
	hist->bytes -= turn_bytes(turn);
	g_hash_table_remove(hist->turns, turn->key);
	g_queue_unlink(&hist->lru, &turn->link);
	g_bytes_unref(turn->text);
	g_free(turn->key);
	g_free(turn->previous);
	g_free(turn->owner);
	g_free(turn);
}

struct hist *hist_create(uint64_t max_bytes)
{
	struct hist *hist = g_new0(struct hist, 1);

	hist->max_bytes = max_bytes;
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

void hist_put(struct hist *hist, const char *key, const char *previous,
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
	g_queue_push_head_link(&hist->lru, &turn->link);
	hist->bytes += turn_bytes(turn);
	while (hist->bytes > hist->max_bytes && hist->lru.length > 1)
		evict_turn(hist, hist->lru.tail->data);
}

char *hist_join(struct hist *hist, const char *key, const char *owner,
		int64_t now, GByteArray *text, bool *foreign)
{
	GPtrArray *chain = g_ptr_array_new();
	char *missing = NULL;

	*foreign = false;
	while (*key != '\0') {
		struct turn *turn = g_hash_table_lookup(hist->turns, key);

		if (turn == NULL || chain->len >= CHAIN_LENGTH_MAX) {
			missing = g_strdup(key);
			break;
		}
		g_queue_unlink(&hist->lru, &turn->link);
		g_queue_push_head_link(&hist->lru, &turn->link);
		turn->used_ms = now;
		*foreign |= strcmp(turn->owner, owner) != 0;
		g_ptr_array_add(chain, turn);
		key = turn->previous;
	}
	for (guint i = chain->len; missing == NULL && i > 0; i--) {
		const struct turn *turn = g_ptr_array_index(chain, i - 1);
		gsize len;
		const void *data = g_bytes_get_data(turn->text, &len);

		g_byte_array_append(text, data, (guint)len);
	}
	g_ptr_array_free(chain, TRUE);
	return missing;
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
