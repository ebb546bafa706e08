/** @file suspect.c @brief Detection of requests that crash backend servers. */
#include <string.h>

#include <glib.h>

#include "suspect.h"

enum {
	REFUSAL_SERVERS = 3, /* servers that ended under a request */
	/* By then the entry of a server that ended is gone from the list. */
	OPEN_MAX_MS = 15000,
	REQUESTS_MAX = 4096, /* with marks */
	MARKS_MAX = 8,	     /* of a request; the oldest goes first */
	DOUBT_SERVERS = 2, /* those of one may have ended for another reason */
	COMPLETED_MS = 30000, /* a request that ran to the end is sound */
	COMPLETED_SLOTS = 4096,
	TRIALS = 2,	       /* of a refused request; users allow three */
	TRIAL_RETRY_MS = 1000, /* by then another instance may have tried it */
};

/* Time from the last crash, or the last trial, to the next one. */
static const int64_t trial_delays_ms[TRIALS] = {3000, 10000};

struct mark {
	struct suspect_mark data;
	char *server;
};

struct request {
	GPtrArray *marks; /* of struct mark, oldest first */
	int64_t tried_ms; /* the last trial; 0: none */
};

/* A request that a server ran to the end. */
struct completed {
	uint64_t fingerprint;
	int64_t at_ms;
};

struct suspects {
	struct suspect_handler handler;
	GHashTable *requests; /* fingerprint -> struct request */
	struct completed completed[COMPLETED_SLOTS]; /* by fingerprint */
};

static void mark_free(gpointer p)
{
	struct mark *mark = p;

	g_free(mark->server);
	g_free(mark);
}

static void request_free(gpointer p)
{
	struct request *request = p;

	g_ptr_array_free(request->marks, TRUE);
	g_free(request);
}

struct suspects *suspect_create(const struct suspect_handler *handler)
{
	struct suspects *suspects = g_new0(struct suspects, 1);

	suspects->handler = *handler;
	suspects->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, request_free);
	return suspects;
}

void suspect_destroy(struct suspects *suspects)
{
	if (suspects == NULL)
		return;
	g_hash_table_destroy(suspects->requests);
	g_free(suspects);
}

static struct request *find_request(const struct suspects *suspects,
				    uint64_t fingerprint)
{
	gint64 key = (gint64)fingerprint;

	return g_hash_table_lookup(suspects->requests, &key);
}

bool suspect_has_completed(const struct suspects *suspects,
			   uint64_t fingerprint, int64_t now)
{
	const struct completed *slot =
		&suspects->completed[fingerprint % COMPLETED_SLOTS];

	return slot->fingerprint == fingerprint && slot->at_ms > 0 &&
	       now - slot->at_ms <= COMPLETED_MS;
}

static bool counts(const struct mark *mark)
{
	return mark->data.evidence != SUSPECT_SILENT;
}

static guint count_marks(const struct request *request)
{
	guint count = 0;

	for (guint i = 0; i < request->marks->len; i++)
		count += counts(g_ptr_array_index(request->marks, i));
	return count;
}

static int64_t last_ended_ms(const struct request *request)
{
	const struct mark *last =
		g_ptr_array_index(request->marks, request->marks->len - 1);

	return last->data.ended_ms;
}

/* Makes room by the request that was suspected longest ago, but not by one that
 * is refused; returns false if there is none. */
static bool evict_request(struct suspects *suspects)
{
	struct request *oldest = NULL;
	gpointer oldest_key = NULL;
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, suspects->requests);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct request *request = value;

		if (count_marks(request) >= REFUSAL_SERVERS ||
		    (oldest != NULL &&
		     last_ended_ms(request) >= last_ended_ms(oldest)))
			continue;
		oldest = request;
		oldest_key = key;
	}
	return oldest_key != NULL &&
	       g_hash_table_remove(suspects->requests, oldest_key);
}

static struct request *create_request(struct suspects *suspects,
				      uint64_t fingerprint)
{
	gint64 key = (gint64)fingerprint;
	struct request *request;

	if (g_hash_table_size(suspects->requests) >= REQUESTS_MAX &&
	    !evict_request(suspects))
		return NULL;
	request = g_new0(struct request, 1);
	request->marks = g_ptr_array_new_with_free_func(mark_free);
	g_hash_table_insert(suspects->requests, g_memdup2(&key, sizeof(key)),
			    request);
	return request;
}

static bool is_same_start(const struct mark *mark,
			  const struct suspect_mark *other)
{
	return mark->data.started_ms == other->started_ms &&
	       strcmp(mark->server, other->server) == 0;
}

static struct mark *find_mark(const struct request *request,
			      const struct suspect_mark *wanted, guint *index)
{
	for (guint i = 0; i < request->marks->len; i++) {
		struct mark *mark = g_ptr_array_index(request->marks, i);

		if (is_same_start(mark, wanted)) {
			*index = i;
			return mark;
		}
	}
	return NULL;
}

static enum suspect_server server_of(const struct suspects *suspects,
				     const struct suspect_mark *mark)
{
	return suspects->handler.server(suspects->handler.arg, mark);
}

static bool is_expired(const struct suspect_mark *mark, int64_t now)
{
	return now - mark->ended_ms > SUSPECT_MARK_MAX_MS;
}

/* Whether the server of a mark has not ended, as far as is known of it. */
static bool is_disproved(const struct suspect_mark *mark,
			 enum suspect_server server, int64_t now)
{
	return server == SUSPECT_SERVER_ALIVE ||
	       (server == SUSPECT_SERVER_LISTED &&
		now - mark->ended_ms > OPEN_MAX_MS);
}

static void report(const struct suspects *suspects, const struct mark *mark,
		   enum suspect_change change)
{
	suspects->handler.changed(suspects->handler.arg, &mark->data, change);
}

bool suspect_add(struct suspects *suspects, const struct suspect_mark *mark,
		 int64_t now)
{
	struct request *request = find_request(suspects, mark->fingerprint);
	struct mark *known;
	guint index;

	/* A mark that has been forgotten may come again from others. */
	if (suspect_has_completed(suspects, mark->fingerprint, now) ||
	    is_expired(mark, now) ||
	    is_disproved(mark, server_of(suspects, mark), now))
		return false;
	if (request == NULL)
		request = create_request(suspects, mark->fingerprint);
	if (request == NULL)
		return false;
	known = find_mark(request, mark, &index);
	if (known != NULL) {
		bool counted = counts(known);

		known->data.evidence =
			MAX(known->data.evidence, mark->evidence);
		return counts(known) && !counted;
	}
	if (request->marks->len >= MARKS_MAX)
		g_ptr_array_remove_index(request->marks, 0);
	known = g_new0(struct mark, 1);
	known->data = *mark;
	known->server = g_strdup(mark->server);
	known->data.server = known->server;
	g_ptr_array_add(request->marks, known);
	return true;
}

void suspect_remove(struct suspects *suspects, const struct suspect_mark *mark)
{
	gint64 key = (gint64)mark->fingerprint;
	struct request *request = find_request(suspects, mark->fingerprint);
	guint index;

	if (request == NULL || find_mark(request, mark, &index) == NULL)
		return;
	g_ptr_array_remove_index(request->marks, index);
	if (request->marks->len == 0)
		g_hash_table_remove(suspects->requests, &key);
}

bool suspect_on_completed(struct suspects *suspects, uint64_t fingerprint,
			  int64_t now)
{
	gint64 key = (gint64)fingerprint;
	struct request *request = find_request(suspects, fingerprint);

	suspects->completed[fingerprint % COMPLETED_SLOTS] =
		(struct completed){fingerprint, now};
	if (request == NULL)
		return false;
	for (guint i = 0; i < request->marks->len; i++)
		report(suspects, g_ptr_array_index(request->marks, i),
		       SUSPECT_CLEARED);
	g_hash_table_remove(suspects->requests, &key);
	return true;
}

/* Decides an open mark; returns false if it is to be forgotten. */
static bool settle_mark(struct suspects *suspects, struct mark *mark,
			int64_t now)
{
	enum suspect_server server;

	if (is_expired(&mark->data, now)) {
		report(suspects, mark, SUSPECT_EXPIRED);
		return false;
	}
	if (mark->data.evidence == SUSPECT_CRASHED)
		return true;
	server = server_of(suspects, &mark->data);
	if (is_disproved(&mark->data, server, now)) {
		report(suspects, mark, SUSPECT_DISPROVED);
		return false;
	}
	if (server == SUSPECT_SERVER_GONE) {
		report(suspects, mark, SUSPECT_CONFIRMED);
		mark->data.evidence = SUSPECT_CRASHED;
	}
	return true;
}

/* Returns whether the request has marks left; without any it must go. */
static bool settle_request(struct suspects *suspects, struct request *request,
			   int64_t now)
{
	for (guint i = 0; i < request->marks->len;) {
		if (settle_mark(suspects, g_ptr_array_index(request->marks, i),
				now))
			i++;
		else
			g_ptr_array_remove_index(request->marks, i);
	}
	return request->marks->len > 0;
}

void suspect_settle(struct suspects *suspects, int64_t now)
{
	GHashTableIter it;
	gpointer request;

	g_hash_table_iter_init(&it, suspects->requests);
	while (g_hash_table_iter_next(&it, NULL, &request)) {
		if (!settle_request(suspects, request, now))
			g_hash_table_iter_remove(&it);
	}
}

/* For how long the request has the marks that it takes to refuse it: until the
 * last of these may be forgotten. */
static int64_t refusal_ms(const struct request *request, int64_t now)
{
	guint left = REFUSAL_SERVERS;
	int64_t wait_ms = SUSPECT_MARK_MAX_MS;

	for (guint i = request->marks->len; i > 0 && left > 0; i--) {
		const struct mark *mark =
			g_ptr_array_index(request->marks, i - 1);
		int64_t age_ms = now - mark->data.ended_ms;

		if (!counts(mark))
			continue;
		left--;
		wait_ms = MIN(wait_ms, mark->data.evidence == SUSPECT_CRASHED
					       ? SUSPECT_MARK_MAX_MS - age_ms
					       : MAX(OPEN_MAX_MS - age_ms, 1));
	}
	return wait_ms;
}

/* Time until the request may be tried once more; -1: it may not. */
static int64_t trial_wait_ms(const struct request *request, int64_t now)
{
	guint trials = count_marks(request) - REFUSAL_SERVERS;
	int64_t from_ms = MAX(last_ended_ms(request), request->tried_ms);

	if (trials >= TRIALS)
		return -1;
	return MAX(from_ms + trial_delays_ms[trials] - now, 0);
}

/* Whether another request that is suspected had the server of @mark too. */
static bool is_shared(const struct suspects *suspects,
		      const struct request *request,
		      const struct suspect_mark *mark)
{
	GHashTableIter it;
	gpointer other;
	guint index;

	g_hash_table_iter_init(&it, suspects->requests);
	while (g_hash_table_iter_next(&it, NULL, &other)) {
		if (other != request && count_marks(other) >= DOUBT_SERVERS &&
		    find_mark(other, mark, &index) != NULL)
			return true;
	}
	return false;
}

static bool is_in_doubt(const struct suspects *suspects,
			const struct request *request)
{
	for (guint i = 0; i < request->marks->len; i++) {
		const struct mark *mark = g_ptr_array_index(request->marks, i);

		if (is_shared(suspects, request, &mark->data))
			return true;
	}
	return false;
}

bool suspect_take_trial(struct suspects *suspects, uint64_t fingerprint,
			int64_t now)
{
	struct request *request = find_request(suspects, fingerprint);

	if (request == NULL || count_marks(request) < REFUSAL_SERVERS ||
	    trial_wait_ms(request, now) != 0 || !is_in_doubt(suspects, request))
		return false;
	request->tried_ms = now;
	return true;
}

bool suspect_is_refused(struct suspects *suspects, uint64_t fingerprint,
			int64_t now, int64_t *wait_ms)
{
	gint64 key = (gint64)fingerprint;
	struct request *request = find_request(suspects, fingerprint);
	int64_t trial_ms;

	if (request == NULL || count_marks(request) < REFUSAL_SERVERS)
		return false;
	if (!settle_request(suspects, request, now)) {
		g_hash_table_remove(suspects->requests, &key);
		return false;
	}
	if (count_marks(request) < REFUSAL_SERVERS)
		return false;
	*wait_ms = refusal_ms(request, now);
	trial_ms = trial_wait_ms(request, now);
	if (trial_ms >= 0 && is_in_doubt(suspects, request))
		*wait_ms = MIN(*wait_ms, MAX(trial_ms, TRIAL_RETRY_MS));
	return true;
}

static uint64_t hash_bytes(uint64_t hash, const void *data, uint64_t len)
{
	const unsigned char *bytes = data;

	for (uint64_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * 0x100000001b3ULL;
	return (hash ^ 0xff) * 0x100000001b3ULL;
}

uint64_t suspect_fingerprint(const char *account, const char *method,
			     const char *path, const void *body, uint64_t len)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	hash = hash_bytes(hash, account, strlen(account));
	hash = hash_bytes(hash, method, strlen(method));
	hash = hash_bytes(hash, path, strlen(path));
	return hash_bytes(hash, body, len);
}
