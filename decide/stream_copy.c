/** @file stream_copy.c @brief Copies of streams under way. */
#include <string.h>

#include <urcu/list.h>

#include "share.h"
#include "stream_copy.h"

enum {
	STREAM_BYTES = 256, /* of a copy without its events */
	/* Instances that are asked: the first ones, and the first ones outside
	 * each of the zones of these. */
	ASKED_EACH = 3,
};

struct kept_event {
	int64_t id;
	size_t offset; /* of its data */
	size_t len;
	bool has_data;
};

struct scopy_stream {
	struct cds_list_head node;	/* by the time of the last change */
	struct cds_list_head same_node; /* of streams of that name */
	struct scopy *scopy;
	struct scopy_name name;
	char *version;
	GArray *events; /* of struct kept_event */
	GByteArray *data;
	uint64_t bytes;
	int64_t keep_ms;
	int64_t changed_ms;
	bool released;
	bool ended;
	bool given_up; /* there was no room */
	guint counted; /* events that count, the first ones; G_MAXUINT: all */
};

struct scopy {
	uint64_t max_bytes;
	uint64_t bytes;
	guint count;
	struct cds_list_head streams;
	GHashTable *by_name; /* scopy_id -> struct same_name */
};

/* The copies of one stream, each of another attempt. */
struct same_name {
	struct scopy_id stream;
	struct cds_list_head copies;
};

static guint id_hash(gconstpointer p)
{
	guint hash;

	memcpy(&hash, ((const struct scopy_id *)p)->bytes, sizeof(hash));
	return hash;
}

static gboolean id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct scopy_id)) == 0;
}

struct scopy *scopy_create(uint64_t max_bytes)
{
	struct scopy *scopy = g_new0(struct scopy, 1);

	scopy->max_bytes = max_bytes;
	CDS_INIT_LIST_HEAD(&scopy->streams);
	scopy->by_name = g_hash_table_new_full(id_hash, id_equal, NULL, g_free);
	return scopy;
}

static void set_bytes(struct scopy_stream *stream, uint64_t bytes)
{
	stream->scopy->bytes += bytes - stream->bytes;
	stream->bytes = bytes;
}

static void stream_free(struct scopy_stream *stream)
{
	struct scopy *scopy = stream->scopy;
	struct same_name *same =
		g_hash_table_lookup(scopy->by_name, &stream->name.stream);

	set_bytes(stream, 0);
	scopy->count--;
	cds_list_del(&stream->node);
	cds_list_del(&stream->same_node);
	if (cds_list_empty(&same->copies))
		g_hash_table_remove(scopy->by_name, &stream->name.stream);
	g_array_unref(stream->events);
	g_byte_array_unref(stream->data);
	g_free(stream->version);
	g_free(stream);
}

void scopy_destroy(struct scopy *scopy)
{
	if (scopy == NULL)
		return;
	while (!cds_list_empty(&scopy->streams))
		stream_free(cds_list_first_entry(&scopy->streams,
						 struct scopy_stream, node));
	g_hash_table_destroy(scopy->by_name);
	g_free(scopy);
}

uint64_t scopy_bytes(const struct scopy *scopy)
{
	return scopy->bytes;
}

guint scopy_count(const struct scopy *scopy)
{
	return scopy->count;
}

static struct same_name *get_same(struct scopy *scopy,
				  const struct scopy_id *stream)
{
	struct same_name *same = g_hash_table_lookup(scopy->by_name, stream);

	if (same != NULL)
		return same;
	same = g_new0(struct same_name, 1);
	same->stream = *stream;
	CDS_INIT_LIST_HEAD(&same->copies);
	g_hash_table_insert(scopy->by_name, &same->stream, same);
	return same;
}

/* The copy has changed, and is the newest one now. */
static void touch(struct scopy_stream *stream, int64_t now_ms)
{
	stream->changed_ms = now_ms;
	cds_list_del(&stream->node);
	cds_list_add_tail(&stream->node, &stream->scopy->streams);
}

struct scopy_stream *scopy_begin(struct scopy *scopy,
				 const struct scopy_name *name,
				 const char *version, int64_t keep_ms,
				 int64_t now_ms)
{
	struct scopy_stream *stream = g_new0(struct scopy_stream, 1);

	stream->scopy = scopy;
	stream->name = *name;
	stream->version = g_strdup(version);
	stream->keep_ms = keep_ms;
	stream->changed_ms = now_ms;
	stream->counted = G_MAXUINT;
	stream->events = g_array_new(FALSE, FALSE, sizeof(struct kept_event));
	stream->data = g_byte_array_new();
	cds_list_add_tail(&stream->node, &scopy->streams);
	cds_list_add_tail(&stream->same_node,
			  &get_same(scopy, &name->stream)->copies);
	scopy->count++;
	set_bytes(stream, STREAM_BYTES);
	return stream;
}

static void give_up(struct scopy_stream *stream)
{
	stream->given_up = true;
	g_array_set_size(stream->events, 0);
	g_byte_array_unref(stream->data);
	stream->data = g_byte_array_new();
	set_bytes(stream, STREAM_BYTES);
}

/* Makes room: the oldest copies that are released give way. */
static bool make_room(struct scopy *scopy, uint64_t bytes)
{
	struct scopy_stream *stream = NULL;
	struct scopy_stream *next = NULL;

	cds_list_for_each_entry_safe(stream, next, &scopy->streams, node) {
		if (scopy->bytes + bytes <= scopy->max_bytes)
			break;
		if (stream->released)
			stream_free(stream);
	}
	return scopy->bytes + bytes <= scopy->max_bytes;
}

void scopy_add(struct scopy_stream *stream, const struct scopy_event *event,
	       int64_t now_ms)
{
	struct kept_event kept = {.id = event->id,
				  .offset = stream->data->len,
				  .len = event->len,
				  .has_data = event->has_data};
	uint64_t bytes = sizeof(kept) + event->len;

	touch(stream, now_ms);
	if (stream->given_up)
		return;
	if (!make_room(stream->scopy, bytes)) {
		give_up(stream);
		return;
	}
	g_array_append_val(stream->events, kept);
	if (event->len > 0)
		g_byte_array_append(stream->data, event->data,
				    (guint)event->len);
	set_bytes(stream, stream->bytes + bytes);
}

void scopy_add_text(struct scopy_stream *stream, int64_t id, const char *text,
		    size_t len, int64_t now_ms)
{
	/* Each event is kept without the line feed after it. */
	const char *end = text + (len > 0 ? len - 1 : 0);
	struct scopy_event event = {.id = -1, .has_data = len > 0};

	while (end - text > SCOPY_PART_BYTES) {
		const char *line =
			memchr(text + SCOPY_PART_BYTES, '\n',
			       (size_t)(end - text) - SCOPY_PART_BYTES);

		if (line == NULL)
			break;
		event.data = (const uint8_t *)text;
		event.len = (size_t)(line - text);
		scopy_add(stream, &event, now_ms);
		text = line + 1;
	}
	event.id = id;
	event.data = (const uint8_t *)text;
	event.len = (size_t)(end - text);
	scopy_add(stream, &event, now_ms);
}

void scopy_end(struct scopy_stream *stream, int64_t now_ms)
{
	touch(stream, now_ms);
	stream->ended = true;
}

void scopy_release(struct scopy_stream *stream, int64_t now_ms)
{
	touch(stream, now_ms);
	stream->released = true;
}

void scopy_expire(struct scopy *scopy, int64_t now_ms)
{
	struct scopy_stream *stream = NULL;
	struct scopy_stream *next = NULL;

	cds_list_for_each_entry_safe(stream, next, &scopy->streams, node) {
		if (stream->released &&
		    now_ms - stream->changed_ms > stream->keep_ms)
			stream_free(stream);
	}
}

const struct scopy_name *scopy_name(const struct scopy_stream *stream)
{
	return &stream->name;
}

const char *scopy_version(const struct scopy_stream *stream)
{
	return stream->version;
}

int64_t scopy_keep_ms(const struct scopy_stream *stream)
{
	return stream->keep_ms;
}

bool scopy_has_ended(const struct scopy_stream *stream)
{
	return stream->ended;
}

guint scopy_events(const struct scopy_stream *stream)
{
	return stream->events->len;
}

void scopy_get(const struct scopy_stream *stream, guint i,
	       struct scopy_event *event)
{
	const struct kept_event *kept =
		&g_array_index(stream->events, struct kept_event, i);

	*event = (struct scopy_event){.id = kept->id,
				      .has_data = kept->has_data,
				      .data = stream->data->data + kept->offset,
				      .len = kept->len};
}

/* Fills in what a copy knows of the events up to @p after_event. */
static void read_copy(const struct scopy_stream *stream, int64_t after_event,
		      int64_t now_ms, struct scopy_found *found)
{
	memset(found, 0, sizeof(*found));
	found->last_event = -1;
	found->name = stream->name;
	found->version = g_strdup(stream->version);
	found->ended = stream->ended;
	found->age_ms = now_ms - stream->changed_ms;
	/* What was given up counts as less than the caller has. */
	found->result = SCOPY_BEHIND;
	if (stream->given_up)
		return;
	found->text = g_byte_array_new();
	for (guint i = 0; i < MIN(stream->events->len, stream->counted); i++) {
		struct scopy_event event;

		scopy_get(stream, i, &event);
		found->last_event = MAX(found->last_event, event.id);
		if (found->result == SCOPY_FOUND)
			continue;
		if (event.has_data) {
			g_byte_array_append(found->text, event.data,
					    (guint)event.len);
			g_byte_array_append(found->text, (const guint8 *)"\n",
					    1);
		}
		if (event.id == after_event)
			found->result = SCOPY_FOUND;
	}
}

/* Events behind @p after_event do not count any more. */
static void cut(struct scopy_stream *stream, int64_t after_event)
{
	for (guint i = 0; i < MIN(stream->events->len, stream->counted); i++) {
		struct scopy_event event;

		scopy_get(stream, i, &event);
		if (event.id == after_event)
			stream->counted = i + 1;
	}
}

static bool is_meant(const struct scopy_stream *copy,
		     const struct scopy_id *attempt)
{
	return attempt == NULL || id_equal(attempt, &copy->name.attempt) ||
	       id_equal(attempt, &copy->name.first);
}

void scopy_find(struct scopy *scopy, const struct scopy_id *stream,
		const struct scopy_id *attempt, int64_t after_event,
		int64_t now_ms, struct scopy_found *found)
{
	struct same_name *same = g_hash_table_lookup(scopy->by_name, stream);
	struct scopy_stream *copy = NULL;

	memset(found, 0, sizeof(*found));
	found->last_event = -1;
	if (same == NULL)
		return;
	cds_list_for_each_entry(copy, &same->copies, same_node) {
		struct scopy_found other;

		if (!is_meant(copy, attempt))
			continue;
		read_copy(copy, after_event, now_ms, &other);
		scopy_combine(found, &other);
	}
	if (found->result != SCOPY_FOUND)
		return;
	cds_list_for_each_entry(copy, &same->copies, same_node) {
		if (is_meant(copy, attempt))
			cut(copy, after_event);
	}
}

static bool is_same(const struct scopy_found *a, const struct scopy_found *b)
{
	return strcmp(a->version, b->version) == 0 &&
	       a->text->len == b->text->len &&
	       (a->text->len == 0 ||
		memcmp(a->text->data, b->text->data, a->text->len) == 0);
}

void scopy_found_clear(struct scopy_found *found)
{
	g_clear_pointer(&found->version, g_free);
	g_clear_pointer(&found->text, g_byte_array_unref);
}

/* Which of two copies counts: above 0, the second one; below 0, the first one;
 * 0: it can't be told which of them the caller has. */
static int choose(const struct scopy_found *a, const struct scopy_found *b)
{
	bool same_first = id_equal(&a->name.first, &b->name.first);

	if (a->result == SCOPY_UNKNOWN || b->result == SCOPY_UNKNOWN ||
	    a->result == SCOPY_AMBIGUOUS || b->result == SCOPY_AMBIGUOUS)
		return a->result < b->result ? 1 : -1;
	/* A later attempt has replaced the earlier ones. */
	if (same_first && a->name.generation != b->name.generation)
		return a->name.generation < b->name.generation ? 1 : -1;
	if (a->result == SCOPY_FOUND && b->result == SCOPY_FOUND)
		return is_same(a, b) ? -1 : 0;
	/* The same attempt, once with less: that copy is an old one. */
	if (id_equal(&a->name.attempt, &b->name.attempt))
		return a->result < b->result ? 1 : -1;
	return a->result == SCOPY_FOUND || b->result == SCOPY_FOUND ? 0 : -1;
}

void scopy_combine(struct scopy_found *found, struct scopy_found *other)
{
	int chosen = choose(found, other);

	if (chosen > 0) {
		scopy_found_clear(found);
		*found = *other;
		return;
	}
	if (chosen == 0)
		found->result = SCOPY_AMBIGUOUS;
	scopy_found_clear(other);
}

static uint64_t order_of(const struct scopy_id *stream,
			 const struct scopy_peer *peer)
{
	uint64_t hash;

	memcpy(&hash, stream->bytes, sizeof(hash));
	return share_order(hash, peer->hash);
}

/* The first instance below @p below in the order, outside @p zone unless that
 * is NULL; -1: there is none. */
static int first_below(const struct scopy_id *stream,
		       const struct scopy_peer *peers, guint n,
		       const char *zone, uint64_t below, bool responds)
{
	int first = -1;
	uint64_t first_order = 0;

	for (guint i = 0; i < n; i++) {
		uint64_t order = order_of(stream, &peers[i]);

		if ((responds && !peers[i].responds) || order >= below ||
		    (zone != NULL && strcmp(zone, peers[i].zone) == 0) ||
		    (first >= 0 && order <= first_order))
			continue;
		first = (int)i;
		first_order = order;
	}
	return first;
}

int scopy_pick_holder(const struct scopy_id *stream, const char *zone,
		      const struct scopy_peer *peers, guint n)
{
	int holder = first_below(stream, peers, n, zone, UINT64_MAX, true);

	return holder >= 0
		       ? holder
		       : first_below(stream, peers, n, NULL, UINT64_MAX, true);
}

static guint add_first(const struct scopy_id *stream,
		       const struct scopy_peer *peers, guint n,
		       const char *zone, guint *picked, guint count)
{
	uint64_t below = UINT64_MAX;

	for (int i = 0; i < ASKED_EACH; i++) {
		int next = first_below(stream, peers, n, zone, below, false);
		bool known = false;

		if (next < 0)
			break;
		below = order_of(stream, &peers[next]);
		for (guint k = 0; k < count; k++)
			known |= picked[k] == (guint)next;
		if (!known)
			picked[count++] = (guint)next;
	}
	return count;
}

guint scopy_pick_asked(const struct scopy_id *stream,
		       const struct scopy_peer *peers, guint n,
		       guint picked[SCOPY_ASKED_MAX])
{
	guint first = add_first(stream, peers, n, NULL, picked, 0);
	guint count = first;

	for (guint i = 0; i < first; i++)
		count = add_first(stream, peers, n, peers[picked[i]].zone,
				  picked, count);
	return count;
}
