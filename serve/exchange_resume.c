/**
 * @file exchange_resume.c
 * @brief Streams that their callers take up after a broken connection.
 *
 * The stream goes on with a run that is asked to go on after the caller's last
 * event. It has to be of the software version that began the stream. Where
 * turns are retained, all of the stream's output is stored with the turn, so
 * what the caller has must be known; this instance may never have seen it.
 * Attempts with the same input in the same place are of one stream, as a caller
 * need not name the attempt that it takes up.
 */
#include <sodium.h>
#include <string.h>

#include "clock.h"
#include "decide/versions.h"
#include "exchange_int.h"
#include "slog.h"

int64_t exch_version_window_ms(const struct exch *x)
{
	return x->route->timeout_ms + VERSIONS_SKEW_MS;
}

static void hash_text(crypto_generichash_state *state, const char *text)
{
	/* With its end, so that no two lists of texts are alike. */
	crypto_generichash_update(state,
				  (const unsigned char *)(text ? text : ""),
				  text != NULL ? strlen(text) + 1 : 0);
	crypto_generichash_update(state, (const unsigned char *)"", 1);
}

static void hash_attempt(const struct exch *x, const char *id,
			 struct scopy_id *hash)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(hash->bytes));
	hash_text(&state, exch_account_name(x));
	hash_text(&state, id);
	crypto_generichash_final(&state, hash->bytes, sizeof(hash->bytes));
}

static void hash_stream(const struct exch *x, struct scopy_id *hash)
{
	crypto_generichash_state state;
	gsize len;
	const unsigned char *body = g_bytes_get_data(x->body, &len);

	crypto_generichash_init(&state, NULL, 0, sizeof(hash->bytes));
	hash_text(&state, exch_account_name(x));
	hash_text(&state, x->request->method);
	hash_text(&state, x->call.host);
	hash_text(&state, x->call.path);
	hash_text(&state, x->call.program);
	hash_text(&state, x->call.session);
	hash_text(&state, x->call.previous);
	crypto_generichash_update(&state, body, len);
	crypto_generichash_final(&state, hash->bytes, sizeof(hash->bytes));
}

/* Whether the stream may be taken up, and its output has to be known then. */
static bool is_copied(const struct exch *x)
{
	return x->shared->copies != NULL && x->route->kind == CAT_STREAM &&
	       x->route->retain && x->route->resumable;
}

void exch_begin_copy(struct exch *x)
{
	struct scopy_name name;

	if (!is_copied(x))
		return;
	hash_stream(x, &name.stream);
	hash_attempt(x, x->call.id, &name.attempt);
	name.first = x->call.last_event_id < 0 ? name.attempt : x->copy_first;
	name.generation = x->copy_generation;
	x->copy = copies_begin(x->shared->copies, &name, x->version,
			       exch_version_window_ms(x));
	if (x->call.last_event_id >= 0)
		copies_add_text(x->copy, x->call.last_event_id,
				x->turn_output->str, x->turn_output->len);
}

static void log_resumption(const struct exch *x, const char *version,
			   const char *known_by)
{
	slog("resumes", x->call.id,
	     "\"attempt\":%s,\"after_event\":%" G_GINT64_FORMAT
	     ",\"version\":%s,\"known_by\":%s",
	     slog_quote(x->call.resumes ? x->call.resumes : ""),
	     x->call.last_event_id, slog_quote(version ? version : ""),
	     slog_quote(known_by));
}

static void on_version_found(void *arg, enum turns_found found,
			     const char *version)
{
	struct exch *x = arg;

	x->search = NULL;
	if (found == TURNS_UNREADABLE) {
		exch_refuse(x, STATS_REFUSED_STORE, 503, "store away",
			    exch_store_retry_after_ms(x));
		return;
	}
	if (found == TURNS_NO_RECORD)
		version = fleet_unrecorded_version(
			x->shared->fleet, x->service->name,
			exch_version_window_ms(x), clock_boot_ms());
	log_resumption(x, version, found == TURNS_FOUND ? "store" : "list");
	if (version == NULL) {
		exch_refuse(x, STATS_REFUSED_VERSION, 503, "version unknown",
			    EXCH_PEER_RETRY_AFTER_MS);
		return;
	}
	x->version = g_strdup(version);
	exch_start_turn(x);
}

static void find_version(struct exch *x)
{
	if (x->call.resumes == NULL) {
		on_version_found(x, TURNS_NO_RECORD, NULL);
		return;
	}
	x->search = turns_find_version(x->shared->turns, exch_account_name(x),
				       x->call.program, x->call.resumes,
				       on_version_found, x);
	if (x->search == NULL)
		on_version_found(x, TURNS_UNREADABLE, NULL);
}

static const char *result_name(enum scopy_result result)
{
	switch (result) {
	case SCOPY_UNKNOWN:
		return "unknown";
	case SCOPY_BEHIND:
		return "behind";
	case SCOPY_FOUND:
		return "found";
	case SCOPY_AMBIGUOUS:
		break;
	}
	return "ambiguous";
}

/* Refuses a stream whose events are not known: what its caller has can't become
 * part of a turn, which its caller has to begin anew. */
static void refuse_unknown(struct exch *x)
{
	exch_refuse(x, STATS_REFUSED_STREAM, 503, "stream unknown",
		    EXCH_PEER_RETRY_AFTER_MS);
}

static void on_copy_found(void *arg, const struct scopy_found *found,
			  const char *holder)
{
	struct exch *x = arg;

	x->copy_search = NULL;
	slog("copy", x->call.id,
	     "\"result\":\"%s\",\"known_by\":%s"
	     ",\"after_event\":%" G_GINT64_FORMAT
	     ",\"last_event\":%" G_GINT64_FORMAT
	     ",\"ended\":%s,\"age_ms\":%" G_GINT64_FORMAT,
	     result_name(found->result), slog_quote(holder),
	     x->call.last_event_id, found->last_event,
	     found->ended ? "true" : "false", found->age_ms);
	if (found->result != SCOPY_FOUND) {
		refuse_unknown(x);
		return;
	}
	log_resumption(x, found->version, holder);
	x->version = g_strdup(found->version);
	x->copy_first = found->name.first;
	x->copy_generation = found->name.generation + 1;
	g_string_append_len(x->turn_output, (const char *)found->text->data,
			    found->text->len);
	exch_note_memory(x);
	exch_start_turn(x);
}

static void find_copy(struct exch *x)
{
	struct scopy_id stream;
	struct scopy_id attempt;

	hash_stream(x, &stream);
	if (x->call.resumes != NULL)
		hash_attempt(x, x->call.resumes, &attempt);
	x->copy_search = copies_find(x->shared->copies, &stream,
				     x->call.resumes ? &attempt : NULL,
				     x->call.last_event_id, on_copy_found, x);
}

void exch_start_admitted(struct exch *x)
{
	if (x->route->kind != CAT_STREAM || x->call.last_event_id < 0)
		exch_start_turn(x);
	else if (is_copied(x))
		find_copy(x);
	else if (x->route->retain)
		refuse_unknown(x);
	else
		find_version(x);
}

void exch_cancel_resume(struct exch *x)
{
	if (x->search != NULL)
		turns_cancel_search(x->search);
	if (x->copy_search != NULL)
		copies_cancel(x->copy_search);
	if (x->copy != NULL)
		copies_release(x->copy);
}
