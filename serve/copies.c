/** @file copies.c @brief Copies of streams, here and at one other instance. */
#include <string.h>

#include <event2/event.h>

#include "clock.h"
#include "copies_int.h"
#include "slog.h"
#include "stats.h"

enum {
	TICK_MS = 200,	     /* between checks of holders */
	IDLE_MS = 30000,     /* until a connection that is not used is closed */
	AVOID_MS = 3000,     /* an instance whose connection ended */
	FRAME_BYTES = 65536, /* of events, but for the last one */
	KEEP_MAX_MS = 600000, /* of a copy for another instance */
};

static const struct mem_ops copies_memory = {NULL, NULL, "copies"};

static void note_memory(struct copies *copies)
{
	mem_set(&copies->held, scopy_bytes(copies->scopy), 0);
}

static void release_held(gpointer p)
{
	scopy_release(p, clock_boot_ms());
}

static void peer_free(gpointer p)
{
	struct copies_peer *peer = p;

	if (peer->link != NULL)
		clink_destroy(peer->link);
	if (peer->id == NULL)
		cds_list_del(&peer->node);
	g_hash_table_destroy(peer->held);
	g_free(peer->id);
	g_free(peer->address);
	g_free(peer);
}

static struct copies_peer *peer_create(struct copies *copies)
{
	struct copies_peer *peer = g_new0(struct copies_peer, 1);

	peer->copies = copies;
	peer->held = g_hash_table_new_full(NULL, NULL, NULL, release_held);
	peer->used_ms = clock_boot_ms();
	return peer;
}

/* The connection is gone: what it carried goes elsewhere. */
static void lose_link(struct copies_peer *peer)
{
	struct copies_stream *stream = NULL;

	g_clear_pointer(&peer->link, clink_destroy);
	g_hash_table_remove_all(peer->held);
	cds_list_for_each_entry(stream, &peer->copies->streams, node) {
		if (stream->holder == peer)
			stream->holder = NULL;
	}
}

bool copies_read_id(struct scopy_id *id, const ProtobufCBinaryData *data)
{
	if (data->len != sizeof(id->bytes))
		return false;
	memcpy(id->bytes, data->data, sizeof(id->bytes));
	return true;
}

void copies_write_id(ProtobufCBinaryData *data, const struct scopy_id *id)
{
	data->data = (uint8_t *)id->bytes;
	data->len = sizeof(id->bytes);
}

/* Begins a copy for another instance; NULL if the message is invalid. */
static struct scopy_stream *begin_held(struct copies_peer *peer,
				       const Rows__CopyStream *message)
{
	struct scopy_name name;

	if (!copies_read_id(&name.stream, &message->stream) ||
	    !copies_read_id(&name.attempt, &message->attempt) ||
	    !copies_read_id(&name.first, &message->first))
		return NULL;
	name.generation = message->generation;
	return scopy_begin(peer->copies->scopy, &name, message->version,
			   MIN(message->keep_ms, KEEP_MAX_MS), clock_boot_ms());
}

static void add_events(struct scopy_stream *held, const Rows__Copy *message)
{
	int64_t now_ms = clock_boot_ms();

	for (size_t i = 0; i < message->n_events; i++) {
		const Rows__CopyEvent *event = message->events[i];
		struct scopy_event added = {.id = event->id,
					    .has_data = event->has_data,
					    .data = event->data.data,
					    .len = event->data.len};

		scopy_add(held, &added, now_ms);
	}
	if (message->ended)
		scopy_end(held, now_ms);
}

/* Takes what another instance has passed on. */
static void take_copy(struct copies_peer *peer, const Rows__Copy *message)
{
	gpointer number = GUINT_TO_POINTER(message->number);
	struct scopy_stream *held = g_hash_table_lookup(peer->held, number);

	if (held == NULL && message->stream != NULL) {
		held = begin_held(peer, message->stream);
		if (held != NULL)
			g_hash_table_insert(peer->held, number, held);
	}
	if (held == NULL) {
		slog("peer_fault", NULL, "\"step\":\"copy\"");
		return;
	}
	add_events(held, message);
	if (message->released)
		g_hash_table_remove(peer->held, number);
	note_memory(peer->copies);
}

static void on_frame(void *arg, const Rows__CopyFrame *frame)
{
	struct copies_peer *peer = arg;

	peer->used_ms = clock_boot_ms();
	if (frame->copy != NULL)
		take_copy(peer, frame->copy);
	if (frame->query != NULL)
		copies_answer(peer, frame->query);
	if (frame->reply != NULL)
		copies_on_reply(peer, frame->reply);
}

static void on_ended(void *arg, bool refused)
{
	struct copies_peer *peer = arg;
	struct copies *copies = peer->copies;

	lose_link(peer);
	if (peer->id == NULL) {
		peer_free(peer);
		return;
	}
	slog("copies_link", NULL, "\"peer\":%s,\"refused\":%s",
	     slog_quote(peer->id), refused ? "true" : "false");
	peer->failed_ms = clock_boot_ms();
	copies_on_peer_lost(copies, peer->id);
}

static const struct clink_handler link_handler = {on_frame, on_ended};

void copies_accept(void *arg, struct bufferevent *bev)
{
	struct copies *copies = arg;
	struct copies_peer *peer = peer_create(copies);

	cds_list_add_tail(&peer->node, &copies->accepted);
	peer->link = clink_accept(bev, &link_handler, peer);
}

struct copies_peer *copies_connect(struct copies *copies, const char *id,
				   const char *address)
{
	struct copies_peer *peer = g_hash_table_lookup(copies->peers, id);
	int64_t now_ms = clock_boot_ms();

	if (peer == NULL) {
		peer = peer_create(copies);
		peer->id = g_strdup(id);
		g_hash_table_insert(copies->peers, peer->id, peer);
	}
	if (peer->link != NULL && strcmp(peer->address, address) != 0)
		lose_link(peer);
	if (peer->link == NULL) {
		g_free(peer->address);
		peer->address = g_strdup(address);
		peer->link = clink_connect(copies->config.base, address,
					   &link_handler, peer);
	}
	peer->used_ms = now_ms;
	return peer->link != NULL ? peer : NULL;
}

static void add_peer(void *arg, const struct members_peer *member)
{
	struct copies_peers *peers = arg;
	struct scopy_peer peer = {.zone = member->zone,
				  .hash = member->hash,
				  .responds = member->responds};

	g_array_append_val(peers->peers, peer);
	g_ptr_array_add(peers->ids, (gpointer)member->id);
	g_ptr_array_add(peers->addresses, (gpointer)member->copies);
}

void copies_list_peers(const struct copies *copies, struct copies_peers *peers)
{
	peers->peers = g_array_new(FALSE, FALSE, sizeof(struct scopy_peer));
	peers->ids = g_ptr_array_new();
	peers->addresses = g_ptr_array_new();
	members_foreach_peer(copies->config.members, add_peer, peers);
}

void copies_free_peers(struct copies_peers *peers)
{
	g_array_unref(peers->peers);
	g_ptr_array_unref(peers->ids);
	g_ptr_array_unref(peers->addresses);
}

/* Marks those whose connection has ended lately as not responding. */
static void avoid_failed(const struct copies *copies,
			 struct copies_peers *peers)
{
	int64_t now_ms = clock_boot_ms();

	for (guint i = 0; i < peers->peers->len; i++) {
		const struct copies_peer *peer = g_hash_table_lookup(
			copies->peers, g_ptr_array_index(peers->ids, i));

		if (peer != NULL && peer->failed_ms > 0 &&
		    now_ms - peer->failed_ms < AVOID_MS)
			g_array_index(peers->peers, struct scopy_peer, i)
				.responds = false;
	}
}

static int pick_holder(const struct copies_stream *stream,
		       const struct copies_peers *peers)
{
	return scopy_pick_holder(&scopy_name(stream->copy)->stream,
				 stream->copies->config.zone,
				 (const struct scopy_peer *)peers->peers->data,
				 peers->peers->len);
}

/* Chooses the instance that keeps the other copy. */
static void choose_holder(struct copies_stream *stream)
{
	struct copies *copies = stream->copies;
	struct copies_peers peers;
	int holder;
	int any;

	copies_list_peers(copies, &peers);
	any = pick_holder(stream, &peers);
	avoid_failed(copies, &peers);
	holder = pick_holder(stream, &peers);
	if (holder < 0)
		holder = any;
	stream->holder = NULL;
	stream->sent = 0;
	stream->end_sent = false;
	if (holder >= 0)
		stream->holder = copies_connect(
			copies, g_ptr_array_index(peers.ids, holder),
			g_ptr_array_index(peers.addresses, holder));
	if (stream->holder != NULL)
		stream->number = ++stream->holder->last_number;
	copies_free_peers(&peers);
}

static void send_copy(struct copies_stream *stream, Rows__Copy *message)
{
	Rows__CopyFrame frame = ROWS__COPY_FRAME__INIT;
	Rows__CopyStream head = ROWS__COPY_STREAM__INIT;
	const struct scopy_name *name = scopy_name(stream->copy);

	message->number = stream->number;
	if (stream->sent == 0) {
		copies_write_id(&head.stream, &name->stream);
		copies_write_id(&head.attempt, &name->attempt);
		copies_write_id(&head.first, &name->first);
		head.generation = name->generation;
		head.version = (char *)scopy_version(stream->copy);
		head.keep_ms = (uint32_t)scopy_keep_ms(stream->copy);
		message->stream = &head;
	}
	frame.copy = message;
	stats_add(STATS_COPY_BYTES, clink_send(stream->holder->link, &frame));
	stream->holder->used_ms = clock_boot_ms();
}

/* Sends the next events, as many as one frame takes. */
static void send_events(struct copies_stream *stream)
{
	guint count = scopy_events(stream->copy) - stream->sent;
	Rows__CopyEvent *events = g_new(Rows__CopyEvent, count);
	Rows__CopyEvent **pointers = g_new(Rows__CopyEvent *, count);
	Rows__Copy message = ROWS__COPY__INIT;
	size_t bytes = 0;

	message.events = pointers;
	while (message.n_events < count && bytes < FRAME_BYTES) {
		Rows__CopyEvent *event = &events[message.n_events];
		struct scopy_event kept;

		scopy_get(stream->copy, stream->sent + message.n_events, &kept);
		rows__copy_event__init(event);
		event->id = kept.id;
		event->has_data = kept.has_data;
		event->data.data = (uint8_t *)kept.data;
		event->data.len = kept.len;
		bytes += kept.len;
		pointers[message.n_events++] = event;
	}
	send_copy(stream, &message);
	stream->sent += message.n_events;
	g_free(pointers);
	g_free(events);
}

void copies_send(struct copies_stream *stream)
{
	Rows__Copy message = ROWS__COPY__INIT;

	if (stream->holder == NULL)
		choose_holder(stream);
	if (stream->holder == NULL)
		return;
	while (stream->sent < scopy_events(stream->copy))
		send_events(stream);
	if (!scopy_has_ended(stream->copy) || stream->end_sent ||
	    stream->sent == 0)
		return;
	message.has_ended = true;
	message.ended = true;
	stream->end_sent = true;
	send_copy(stream, &message);
}

struct copies_stream *copies_begin(struct copies *copies,
				   const struct scopy_name *name,
				   const char *version, int64_t keep_ms)
{
	struct copies_stream *stream = g_new0(struct copies_stream, 1);

	stream->copies = copies;
	stream->copy = scopy_begin(copies->scopy, name, version, keep_ms,
				   clock_boot_ms());
	cds_list_add_tail(&stream->node, &copies->streams);
	return stream;
}

void copies_add(struct copies_stream *stream, const struct scopy_event *event)
{
	stats_count(STATS_COPY_EVENTS);
	scopy_add(stream->copy, event, clock_boot_ms());
	note_memory(stream->copies);
}

void copies_add_text(struct copies_stream *stream, int64_t id, const char *text,
		     size_t len)
{
	scopy_add_text(stream->copy, id, text, len, clock_boot_ms());
	note_memory(stream->copies);
}

void copies_end(struct copies_stream *stream)
{
	scopy_end(stream->copy, clock_boot_ms());
}

/* Tells the holder that no more events come from here. */
static void send_release(struct copies_stream *stream)
{
	Rows__Copy message = ROWS__COPY__INIT;

	if (stream->sent == 0)
		return;
	message.has_released = true;
	message.released = true;
	send_copy(stream, &message);
}

void copies_release(struct copies_stream *stream)
{
	if (stream->holder != NULL)
		send_release(stream);
	scopy_release(stream->copy, clock_boot_ms());
	cds_list_del(&stream->node);
	g_free(stream);
}

/* The holder of a stream is one that responds, also after this time. */
static bool has_sound_holder(const struct copies_stream *stream,
			     const struct copies_peers *peers)
{
	if (stream->holder == NULL || clink_is_stuck(stream->holder->link))
		return false;
	for (guint i = 0; i < peers->ids->len; i++) {
		if (strcmp(g_ptr_array_index(peers->ids, i),
			   stream->holder->id) == 0)
			return g_array_index(peers->peers, struct scopy_peer, i)
				.responds;
	}
	return false;
}

static void drop_holder(struct copies_stream *stream)
{
	struct copies_peer *holder = stream->holder;

	holder->failed_ms = clock_boot_ms();
	if (clink_is_stuck(holder->link))
		lose_link(holder);
	else
		send_release(stream);
	stream->holder = NULL;
}

/* Gives streams whose holder does not respond any more another one. */
static void check_holders(struct copies *copies)
{
	struct copies_stream *stream = NULL;
	struct copies_peers peers;

	if (cds_list_empty(&copies->streams))
		return;
	copies_list_peers(copies, &peers);
	cds_list_for_each_entry(stream, &copies->streams, node) {
		if (has_sound_holder(stream, &peers))
			continue;
		if (stream->holder != NULL)
			drop_holder(stream);
		copies_send(stream);
	}
	copies_free_peers(&peers);
}

static gboolean close_if_idle(gpointer id, gpointer p, gpointer now_ms)
{
	struct copies_peer *peer = p;

	(void)id;
	return *(int64_t *)now_ms - peer->used_ms > IDLE_MS;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct copies *copies = arg;
	int64_t now_ms = clock_boot_ms();

	(void)fd;
	(void)what;
	check_holders(copies);
	scopy_expire(copies->scopy, now_ms);
	note_memory(copies);
	if (cds_list_empty(&copies->streams) &&
	    cds_list_empty(&copies->searches))
		g_hash_table_foreach_remove(copies->peers, close_if_idle,
					    &now_ms);
}

struct copies *copies_create(const struct copies_config *config)
{
	struct timeval tv = {.tv_usec = TICK_MS * 1000};
	struct copies *copies = g_new0(struct copies, 1);

	copies->config = *config;
	copies->scopy = scopy_create(config->max_bytes);
	copies->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	CDS_INIT_LIST_HEAD(&copies->accepted);
	CDS_INIT_LIST_HEAD(&copies->streams);
	CDS_INIT_LIST_HEAD(&copies->searches);
	mem_join(&copies->held, config->memory, &copies_memory);
	copies->timer =
		event_new(config->base, -1, EV_PERSIST, on_tick, copies);
	event_add(copies->timer, &tv);
	return copies;
}

void copies_destroy(struct copies *copies)
{
	if (copies == NULL)
		return;
	event_free(copies->timer);
	g_hash_table_destroy(copies->peers);
	while (!cds_list_empty(&copies->accepted))
		peer_free(cds_list_first_entry(&copies->accepted,
					       struct copies_peer, node));
	mem_leave(&copies->held);
	scopy_destroy(copies->scopy);
	g_free(copies);
}

void copies_size(const struct copies *copies, guint *count, uint64_t *bytes)
{
	*count = scopy_count(copies->scopy);
	*bytes = scopy_bytes(copies->scopy);
}
