/** @file history.c @brief Turns of programs that are at hand. */
#include <string.h>

#include "history.h"

enum {
	CHAIN_MOST = 1000, /* turns in one chain; a longer one is a loop */
};

struct turn {
	char *key;
	char *previous;
	char *owner;
	GBytes *text;
	int64_t used_at;
	GList link; /* in hst.used, the most recent first */
};

struct hst {
	uint64_t most_bytes;
	uint64_t bytes;
	GHashTable *turns;
	GQueue used;
};

static uint64_t turn_bytes(const struct turn *turn)
{
	return g_bytes_get_size(turn->text) + sizeof(*turn) +
	       strlen(turn->key) + strlen(turn->previous) + strlen(turn->owner);
}

static void turn_drop(struct hst *hst, struct turn *turn)
{
	hst->bytes -= turn_bytes(turn);
	g_hash_table_remove(hst->turns, turn->key);
	g_queue_unlink(&hst->used, &turn->link);
	g_bytes_unref(turn->text);
	g_free(turn->key);
	g_free(turn->previous);
	g_free(turn->owner);
	g_free(turn);
}

struct hst *hst_create(uint64_t most_bytes)
{
	struct hst *hst = g_new0(struct hst, 1);

	hst->most_bytes = most_bytes;
	hst->turns = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&hst->used);
	return hst;
}

void hst_destroy(struct hst *hst)
{
	if (hst == NULL)
		return;
	while (hst->used.head != NULL)
		turn_drop(hst, hst->used.head->data);
	g_hash_table_destroy(hst->turns);
	g_free(hst);
}

void hst_put(struct hst *hst, const char *key, const char *previous,
	     const char *owner, GBytes *text, int64_t now)
{
	struct turn *turn;

	if (g_hash_table_contains(hst->turns, key))
		return;
	turn = g_new0(struct turn, 1);
	turn->key = g_strdup(key);
	turn->previous = g_strdup(previous);
	turn->owner = g_strdup(owner);
	turn->used_at = now;
	turn->text = g_bytes_ref(text);
	turn->link.data = turn;
	g_hash_table_insert(hst->turns, turn->key, turn);
	g_queue_push_head_link(&hst->used, &turn->link);
	hst->bytes += turn_bytes(turn);
	while (hst->bytes > hst->most_bytes && hst->used.length > 1)
		turn_drop(hst, hst->used.tail->data);
}

char *hst_join(struct hst *hst, const char *key, const char *owner, int64_t now,
	       GByteArray *text, bool *foreign)
{
	GPtrArray *chain = g_ptr_array_new();
	char *missing = NULL;

	*foreign = false;
	while (*key != '\0') {
		struct turn *turn = g_hash_table_lookup(hst->turns, key);

		if (turn == NULL || chain->len >= CHAIN_MOST) {
			missing = g_strdup(key);
			break;
		}
		g_queue_unlink(&hst->used, &turn->link);
		g_queue_push_head_link(&hst->used, &turn->link);
		turn->used_at = now;
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

void hst_forget(struct hst *hst, int64_t since)
{
	struct turn *turn;

	while (hst->used.tail != NULL) {
		turn = hst->used.tail->data;
		if (turn->used_at >= since)
			return;
		turn_drop(hst, turn);
	}
}

uint64_t hst_bytes(const struct hst *hst)
{
	return hst->bytes;
}
