/** @file goaway.c @brief Check of servers that announce their shutdown. */
#include <string.h>

#include "goaway.h"
#include "soak.h"
#include "test/standins/backend.h"

enum {
	DRAIN_MS = 2000, /* as users allow */
};

/* g_free() it. */
static char *make_key(const char *server, int gateway, guint epoch)
{
	return g_strdup_printf("%s/%d/%u", server, gateway, epoch);
}

/* Notes when the request's caller got an announcement, if its run had one. */
static void note_announcement(GHashTable *first_ms,
			      const struct soak_request *request,
			      const struct backend_run *run)
{
	int64_t *known;
	char *key;

	if (request->server == NULL || !run->had_fields ||
	    strcmp(request->server, run->server) != 0)
		return;
	key = make_key(run->server, request->gateway, request->answered_epoch);
	known = g_hash_table_lookup(first_ms, key);
	if (known != NULL) {
		*known = MIN(*known, request->answered_ms);
		g_free(key);
		return;
	}
	known = g_new(int64_t, 1);
	*known = request->answered_ms;
	g_hash_table_insert(first_ms, key, known);
}

static void check_run(GHashTable *first_ms, const struct soak_request *request,
		      const struct backend_run *run,
		      struct goaway_result *result)
{
	char *key =
		make_key(run->server, request->gateway, request->sent_epoch);
	const int64_t *announced_ms = g_hash_table_lookup(first_ms, key);

	/* The earlier build may not know announcements. */
	if (announced_ms != NULL && !request->to_earlier &&
	    request->sent_ms > *announced_ms + DRAIN_MS) {
		result->late++;
		soak_fail("%s reached %s from gateway %d, %d ms after its "
			  "shutdown was announced there",
			  request->id, run->server, request->gateway,
			  (int)(request->sent_ms - *announced_ms));
	}
	g_free(key);
}

void goaway_check(const GPtrArray *requests, GHashTable *runs,
		  struct goaway_result *result)
{
	GHashTable *first_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	memset(result, 0, sizeof(*result));
	for (guint i = 0; i < requests->len; i++) {
		const struct soak_request *request =
			g_ptr_array_index(requests, i);
		const GPtrArray *own = g_hash_table_lookup(runs, request->id);

		for (guint k = 0; own != NULL && k < own->len; k++)
			note_announcement(first_ms, request,
					  g_ptr_array_index(own, k));
	}
	for (guint i = 0; i < requests->len; i++) {
		const struct soak_request *request =
			g_ptr_array_index(requests, i);
		const GPtrArray *own = g_hash_table_lookup(runs, request->id);

		for (guint k = 0; own != NULL && k < own->len; k++)
			check_run(first_ms, request, g_ptr_array_index(own, k),
				  result);
	}
	result->announced = g_hash_table_size(first_ms);
	g_hash_table_destroy(first_ms);
}
