/** @file copies_find.c @brief Asks other instances what they know of a stream.
 */
#include <string.h>

#include <event2/event.h>

#include "clock.h"
#include "copies_int.h"
#include "slog.h"
#include "stats.h"

enum {
	POLL_MS = 30, /* what was sent last may still be on its way */
	FIND_MAX_MS = 400,
	/* For further answers once a copy has been found. */
	SETTLE_MS = 60,
	TRIES_MAX = 3, /* to reach an instance */
};

static void asked_free(gpointer p)
{
	struct copies_asked *asked = p;

	g_byte_array_unref(asked->text);
	g_free(asked->id);
	g_free(asked);
}

static void search_free(struct copies_search *search)
{
	cds_list_del(&search->node);
	event_free(search->timer);
	g_ptr_array_unref(search->asked);
	scopy_found_clear(&search->found);
	g_free(search->holder);
	g_free(search);
}

void copies_cancel(struct copies_search *search)
{
	search_free(search);
}

static void finish(struct copies_search *search)
{
	copies_found_fn *fn = search->fn;
	void *arg = search->arg;
	struct scopy_found found = search->found;
	char *holder = g_strdup(search->holder ? search->holder : "");

	memset(&search->found, 0, sizeof(search->found));
	search_free(search);
	stats_count(found.result == SCOPY_FOUND ? STATS_COPIES_FOUND
						: STATS_COPIES_MISSED);
	fn(arg, &found, holder);
	scopy_found_clear(&found);
	g_free(holder);
}

/* Adds what an instance knows; @p found is cleared. */
static void add_found(struct copies_search *search, struct scopy_found *found,
		      const char *holder)
{
	enum scopy_result before = search->found.result;

	if (found->result == SCOPY_FOUND && search->found_ms == 0)
		search->found_ms = clock_boot_ms();
	scopy_combine(&search->found, found);
	if (search->found.result == before)
		return;
	g_free(search->holder);
	search->holder = g_strdup(holder);
}

static void look_here(struct copies_search *search)
{
	struct scopy_found found;

	scopy_find(search->copies->scopy, &search->stream,
		   search->has_attempt ? &search->attempt : NULL,
		   search->after_event, clock_boot_ms(), &found);
	add_found(search, &found, "self");
}

static struct copies_asked *find_asked(const struct copies_search *search,
				       const char *id)
{
	for (guint i = 0; i < search->asked->len; i++) {
		struct copies_asked *asked =
			g_ptr_array_index(search->asked, i);

		if (strcmp(asked->id, id) == 0)
			return asked;
	}
	return NULL;
}

static void ask(struct copies_search *search, const char *id,
		const char *address)
{
	struct copies_asked *asked = find_asked(search, id);
	struct copies_peer *peer;
	Rows__CopyFrame frame = ROWS__COPY_FRAME__INIT;
	Rows__CopyQuery query = ROWS__COPY_QUERY__INIT;

	if (asked != NULL && (asked->waits || asked->tries == TRIES_MAX))
		return;
	peer = copies_connect(search->copies, id, address);
	if (peer == NULL)
		return;
	if (asked == NULL) {
		asked = g_new0(struct copies_asked, 1);
		asked->id = g_strdup(id);
		asked->text = g_byte_array_new();
		g_ptr_array_add(search->asked, asked);
	}
	asked->waits = true;
	asked->tries++;
	g_byte_array_set_size(asked->text, 0);
	query.serial = search->serial;
	copies_write_id(&query.stream, &search->stream);
	query.has_attempt = search->has_attempt;
	copies_write_id(&query.attempt, &search->attempt);
	query.after_event = search->after_event;
	frame.query = &query;
	stats_add(STATS_COPY_BYTES, clink_send(peer->link, &frame));
}

/* Asks the instances that may have a copy. */
static void ask_peers(struct copies_search *search)
{
	struct copies_peers peers;
	guint picked[SCOPY_ASKED_MAX];
	guint count;

	copies_list_peers(search->copies, &peers);
	count = scopy_pick_asked(&search->stream,
				 (struct scopy_peer *)peers.peers->data,
				 peers.peers->len, picked);
	for (guint i = 0; i < count; i++)
		ask(search, g_ptr_array_index(peers.ids, picked[i]),
		    g_ptr_array_index(peers.addresses, picked[i]));
	copies_free_peers(&peers);
}

static bool waits_for_answers(const struct copies_search *search)
{
	for (guint i = 0; i < search->asked->len; i++) {
		const struct copies_asked *asked =
			g_ptr_array_index(search->asked, i);

		if (asked->waits)
			return true;
	}
	return false;
}

/* Whether no further answer can change the result, or none is awaited. */
static bool is_decided(const struct copies_search *search)
{
	int64_t now_ms = clock_boot_ms();

	if (now_ms - search->started_ms >= FIND_MAX_MS ||
	    search->found.result == SCOPY_AMBIGUOUS)
		return true;
	if (search->found.result == SCOPY_FOUND)
		return !waits_for_answers(search) ||
		       now_ms - search->found_ms >= SETTLE_MS;
	return search->found.result == SCOPY_UNKNOWN &&
	       !waits_for_answers(search) &&
	       members_are_known(search->copies->config.members);
}

/* Looks here, and asks the others again what they may have got meanwhile. */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct copies_search *search = arg;
	struct timeval tv = {.tv_usec = POLL_MS * 1000};

	(void)fd;
	(void)what;
	look_here(search);
	/* A later attempt may be known elsewhere. */
	if (search->found.result < SCOPY_FOUND || search->asked->len == 0)
		ask_peers(search);
	if (is_decided(search))
		finish(search);
	else
		event_add(search->timer, &tv);
}

struct copies_search *copies_find(struct copies *copies,
				  const struct scopy_id *stream,
				  const struct scopy_id *attempt,
				  int64_t after_event, copies_found_fn *found,
				  void *arg)
{
	struct copies_search *search = g_new0(struct copies_search, 1);
	struct timeval tv = {0};

	search->copies = copies;
	search->serial = ++copies->last_serial;
	search->stream = *stream;
	search->has_attempt = attempt != NULL;
	if (attempt != NULL)
		search->attempt = *attempt;
	search->after_event = after_event;
	search->fn = found;
	search->arg = arg;
	search->started_ms = clock_boot_ms();
	search->found.last_event = -1;
	search->asked = g_ptr_array_new_with_free_func(asked_free);
	cds_list_add_tail(&search->node, &copies->searches);
	search->timer = evtimer_new(copies->config.base, on_timer, search);
	event_add(search->timer, &tv);
	return search;
}

static void send_reply(struct copies_peer *peer, const Rows__CopyReply *reply)
{
	Rows__CopyFrame frame = ROWS__COPY_FRAME__INIT;

	frame.reply = (Rows__CopyReply *)reply;
	stats_add(STATS_COPY_BYTES, clink_send(peer->link, &frame));
}

void copies_answer(struct copies_peer *peer, const Rows__CopyQuery *query)
{
	Rows__CopyReply reply = ROWS__COPY_REPLY__INIT;
	struct scopy_id stream;
	struct scopy_id attempt;
	struct scopy_found found;
	gsize sent = 0;

	if (!copies_read_id(&stream, &query->stream) ||
	    (query->has_attempt && !copies_read_id(&attempt, &query->attempt)))
		return;
	scopy_find(peer->copies->scopy, &stream,
		   query->has_attempt ? &attempt : NULL, query->after_event,
		   clock_boot_ms(), &found);
	reply.serial = query->serial;
	reply.result = (uint32_t)found.result;
	reply.version = found.version;
	reply.has_last_event = true;
	reply.last_event = found.last_event;
	reply.has_ended = true;
	reply.ended = found.ended;
	reply.has_age_ms = true;
	reply.age_ms = (uint32_t)found.age_ms;
	reply.has_text = reply.has_more = found.result == SCOPY_FOUND;
	reply.has_attempt = reply.has_first = reply.has_generation =
		found.result != SCOPY_UNKNOWN;
	copies_write_id(&reply.attempt, &found.name.attempt);
	copies_write_id(&reply.first, &found.name.first);
	reply.generation = found.name.generation;
	do {
		gsize left = reply.has_text ? found.text->len - sent : 0;

		reply.text.data =
			reply.has_text ? found.text->data + sent : NULL;
		reply.text.len = MIN(left, COPIES_TEXT_BYTES);
		sent += reply.text.len;
		reply.more = left > reply.text.len;
		send_reply(peer, &reply);
	} while (reply.more);
	scopy_found_clear(&found);
}

static struct copies_search *find_search(const struct copies *copies,
					 uint32_t serial)
{
	struct copies_search *search = NULL;

	cds_list_for_each_entry(search, &copies->searches, node) {
		if (search->serial == serial)
			return search;
	}
	return NULL;
}

void copies_on_reply(struct copies_peer *peer, const Rows__CopyReply *reply)
{
	struct copies_search *search = find_search(peer->copies, reply->serial);
	struct copies_asked *asked = search != NULL && peer->id != NULL
					     ? find_asked(search, peer->id)
					     : NULL;
	struct scopy_found found = {
		.result = reply->result <= SCOPY_AMBIGUOUS
				  ? (enum scopy_result)reply->result
				  : SCOPY_UNKNOWN,
		.last_event = reply->last_event,
		.ended = reply->ended,
		.age_ms = reply->age_ms,
	};

	/* An answer to an earlier search, or that came too late. */
	if (asked == NULL || !asked->waits)
		return;
	g_byte_array_append(asked->text, reply->text.data,
			    (guint)reply->text.len);
	if (reply->more)
		return;
	asked->waits = false;
	asked->tries = 0;
	found.name.stream = search->stream;
	found.name.generation = reply->generation;
	if (!copies_read_id(&found.name.attempt, &reply->attempt) ||
	    !copies_read_id(&found.name.first, &reply->first) ||
	    reply->version == NULL)
		found.result = SCOPY_UNKNOWN;
	found.version = g_strdup(reply->version);
	found.text = asked->text;
	asked->text = g_byte_array_new();
	add_found(search, &found, peer->id);
	if (is_decided(search))
		finish(search);
}

void copies_on_peer_lost(struct copies *copies, const char *id)
{
	struct copies_search *search = NULL;

	/* The searches notice it with their next look. */
	cds_list_for_each_entry(search, &copies->searches, node) {
		struct copies_asked *asked = find_asked(search, id);

		if (asked != NULL)
			asked->waits = false;
	}
}
