/** @file test_stream_copy.c @brief What copies of streams tell. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "decide/rng.h"
#include "decide/stream_copy.h"

enum {
	MAX_BYTES = 100000,
	KEEP_MS = 5000,
	PEERS = 12,
	ZONES = 3,
	STREAMS = 200,
};

static struct scopy_id id_of(int n)
{
	struct scopy_id id = {{0}};
	uint64_t hash = rng_mix((uint64_t)n + 1);

	memcpy(id.bytes, &hash, sizeof(hash));
	return id;
}

/* The attempt @p attempt of stream 1, which follows @p generation others since
 * @p first. */
static struct scopy_name name_of(int attempt, int first, uint32_t generation)
{
	return (struct scopy_name){.stream = id_of(1),
				   .attempt = id_of(100 + attempt),
				   .first = id_of(100 + first),
				   .generation = generation};
}

static void add(struct scopy_stream *stream, int64_t id, const char *data)
{
	struct scopy_event event = {.id = id,
				    .has_data = data != NULL,
				    .data = (const uint8_t *)data,
				    .len = data ? strlen(data) : 0};

	scopy_add(stream, &event, 0);
}

/* Begins a copy with the events up to @p last, whose data are @p text and the
 * id. */
static struct scopy_stream *begin(struct scopy *scopy, struct scopy_name name,
				  int64_t last, const char *text)
{
	struct scopy_stream *stream =
		scopy_begin(scopy, &name, "v1", KEEP_MS, 0);

	for (int64_t id = 1; id <= last; id++) {
		char *data = g_strdup_printf("%s%d", text, (int)id);

		add(stream, id, data);
		g_free(data);
	}
	return stream;
}

static void assert_found(struct scopy *scopy, int attempt, int64_t after_event,
			 enum scopy_result result, const char *text)
{
	struct scopy_id stream = id_of(1);
	struct scopy_id id = id_of(100 + attempt);
	struct scopy_found found;

	scopy_find(scopy, &stream, attempt > 0 ? &id : NULL, after_event, 0,
		   &found);
	assert_int_equal(found.result, result);
	if (text != NULL) {
		assert_int_equal(found.text->len, strlen(text));
		assert_memory_equal(found.text->data, text, strlen(text));
		assert_string_equal(found.version, "v1");
	}
	scopy_found_clear(&found);
}

static void test_events_up_to_the_callers(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	struct scopy_stream *stream;

	(void)state;
	begin(scopy, name_of(1, 1, 0), 4, "a");
	assert_found(scopy, 0, 5, SCOPY_BEHIND, NULL);
	assert_found(scopy, 2, 2, SCOPY_UNKNOWN, NULL);
	assert_found(scopy, 1, 4, SCOPY_FOUND, "a1\na2\na3\na4\n");
	assert_found(scopy, 0, 2, SCOPY_FOUND, "a1\na2\n");
	scopy_destroy(scopy);
	/* Events without data or without an id. */
	scopy = scopy_create(MAX_BYTES);
	stream = begin(scopy, name_of(1, 1, 0), 4, "a");
	add(stream, 5, NULL);
	add(stream, -1, "x");
	add(stream, 6, "");
	assert_found(scopy, 0, 6, SCOPY_FOUND, "a1\na2\na3\na4\nx\n\n");
	assert_found(scopy, 0, 5, SCOPY_FOUND, "a1\na2\na3\na4\n");
	scopy_destroy(scopy);
}

/* What an attempt begins with is known up to the event that it follows only. */
static void test_attempt_that_takes_up(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	struct scopy_name name = name_of(2, 1, 1);
	struct scopy_stream *stream =
		scopy_begin(scopy, &name, "v1", KEEP_MS, 0);

	(void)state;
	add(stream, 3, "a1\na2\na3");
	assert_found(scopy, 0, 2, SCOPY_BEHIND, NULL);
	add(stream, 4, "b4");
	assert_found(scopy, 1, 4, SCOPY_FOUND, "a1\na2\na3\nb4\n");
	assert_found(scopy, 2, 4, SCOPY_FOUND, "a1\na2\na3\nb4\n");
	assert_found(scopy, 2, 3, SCOPY_FOUND, "a1\na2\na3\n");
	scopy_destroy(scopy);
}

/* Guards against an event that no message can hold: what an attempt takes up is
 * added in parts. */
static void test_long_text(void **state)
{
	struct scopy *scopy = scopy_create(8 * SCOPY_PART_BYTES);
	struct scopy_name name = name_of(2, 1, 1);
	struct scopy_stream *stream =
		scopy_begin(scopy, &name, "v1", KEEP_MS, 0);
	GString *text = g_string_new(NULL);
	struct scopy_event event;

	(void)state;
	while (text->len < 7 * SCOPY_PART_BYTES / 2)
		g_string_append(text, "a line of the text\n");
	g_string_append(text, "\n");
	scopy_add_text(stream, 9, text->str, text->len, 0);
	assert_int_equal(scopy_events(stream), 4);
	for (guint i = 0; i < scopy_events(stream); i++) {
		scopy_get(stream, i, &event);
		assert_in_range(event.len, 0, SCOPY_PART_BYTES + 100);
	}
	assert_found(scopy, 0, 9, SCOPY_FOUND, text->str);
	scopy_add_text(stream, 10, "", 0, 0);
	scopy_get(stream, 4, &event);
	assert_false(event.has_data);
	assert_found(scopy, 0, 10, SCOPY_BEHIND, NULL);
	scopy_destroy(scopy);
	g_string_free(text, TRUE);
}

/* Guards against events that an instance went on to pass on, after its caller
 * had gone on with another attempt of which nothing is known here. */
static void test_events_behind_a_resumption(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	struct scopy_stream *stream = begin(scopy, name_of(1, 1, 0), 6, "a");

	(void)state;
	assert_found(scopy, 1, 4, SCOPY_FOUND, "a1\na2\na3\na4\n");
	add(stream, 7, "a7");
	assert_found(scopy, 1, 6, SCOPY_BEHIND, NULL);
	assert_found(scopy, 0, 7, SCOPY_BEHIND, NULL);
	assert_found(scopy, 0, 4, SCOPY_FOUND, "a1\na2\na3\na4\n");
	scopy_destroy(scopy);
}

/* Guards against the events of an attempt that its caller has given up. */
static void test_later_attempt_replaces_earlier(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	struct scopy_name name = name_of(2, 1, 1);
	struct scopy_stream *later;

	(void)state;
	begin(scopy, name_of(1, 1, 0), 6, "a");
	later = scopy_begin(scopy, &name, "v1", KEEP_MS, 0);
	add(later, 3, "a1\na2\na3");
	/* The caller has event 5 of the later one, whose copy is behind. */
	assert_found(scopy, 0, 5, SCOPY_BEHIND, NULL);
	assert_found(scopy, 1, 5, SCOPY_BEHIND, NULL);
	add(later, 4, "b4");
	add(later, 5, "b5");
	assert_found(scopy, 0, 5, SCOPY_FOUND, "a1\na2\na3\nb4\nb5\n");
	scopy_destroy(scopy);
}

/* Attempts that began the stream anew: only what all of them brought alike is
 * known, unless the caller says which one it means. */
static void test_attempts_that_began_anew(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);

	(void)state;
	begin(scopy, name_of(1, 1, 0), 4, "a");
	begin(scopy, name_of(2, 2, 0), 4, "b");
	assert_found(scopy, 0, 2, SCOPY_AMBIGUOUS, NULL);
	assert_found(scopy, 1, 2, SCOPY_FOUND, "a1\na2\n");
	assert_found(scopy, 2, 2, SCOPY_FOUND, "b1\nb2\n");
	scopy_destroy(scopy);
	scopy = scopy_create(MAX_BYTES);
	begin(scopy, name_of(1, 1, 0), 4, "a");
	begin(scopy, name_of(2, 2, 0), 3, "a");
	/* The second one may have brought another event 4. */
	assert_found(scopy, 0, 4, SCOPY_AMBIGUOUS, NULL);
	assert_found(scopy, 0, 3, SCOPY_FOUND, "a1\na2\na3\n");
	assert_found(scopy, 0, 5, SCOPY_BEHIND, NULL);
	scopy_destroy(scopy);
}

/* The same copy, as it was sent to this instance twice. */
static void test_same_attempt_twice(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);

	(void)state;
	begin(scopy, name_of(1, 1, 0), 2, "a");
	begin(scopy, name_of(1, 1, 0), 5, "a");
	assert_found(scopy, 0, 4, SCOPY_FOUND, "a1\na2\na3\na4\n");
	scopy_destroy(scopy);
}

static void test_copies_are_kept_for_a_while(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	struct scopy_stream *stream = begin(scopy, name_of(1, 1, 0), 4, "a");

	(void)state;
	scopy_expire(scopy, 100 * KEEP_MS);
	assert_int_equal(scopy_count(scopy), 1);
	scopy_end(stream, 1000);
	scopy_release(stream, 1000);
	scopy_expire(scopy, 1000 + KEEP_MS);
	assert_found(scopy, 0, 4, SCOPY_FOUND, "a1\na2\na3\na4\n");
	scopy_expire(scopy, 1001 + KEEP_MS);
	assert_int_equal(scopy_count(scopy), 0);
	assert_int_equal(scopy_bytes(scopy), 0);
	assert_found(scopy, 0, 4, SCOPY_UNKNOWN, NULL);
	scopy_destroy(scopy);
}

/* Guards against more memory than there may be, and against a copy with a
 * gap. */
static void test_memory(void **state)
{
	struct scopy *scopy = scopy_create(MAX_BYTES);
	char *text = g_strnfill(MAX_BYTES / 3, 'x');
	struct scopy_stream *first = begin(scopy, name_of(1, 1, 0), 0, "a");
	struct scopy_name other = {.stream = id_of(2)};
	struct scopy_stream *second =
		scopy_begin(scopy, &other, "v1", KEEP_MS, 0);

	(void)state;
	add(first, 1, text);
	add(second, 1, text);
	scopy_release(second, 0);
	/* The one that is released gives way. */
	add(first, 2, text);
	assert_int_equal(scopy_count(scopy), 1);
	assert_found(scopy, 0, 2, SCOPY_FOUND, NULL);
	add(first, 3, text);
	add(first, 4, "small");
	assert_in_range(scopy_bytes(scopy), 1, MAX_BYTES);
	assert_found(scopy, 0, 2, SCOPY_BEHIND, NULL);
	assert_found(scopy, 0, 4, SCOPY_BEHIND, NULL);
	scopy_destroy(scopy);
	g_free(text);
}

static const char *const zones[ZONES] = {"z1", "z2", "z3"};

static void make_peers(struct scopy_peer peers[PEERS], int count)
{
	for (int i = 0; i < count; i++)
		peers[i] = (struct scopy_peer){.zone = zones[i % ZONES],
					       .hash = rng_mix((uint64_t)i),
					       .responds = true};
}

/* Removes the instance at @p own from the list, as each leaves itself out. */
static guint without(const struct scopy_peer *peers, int own,
		     struct scopy_peer *others, int *indices)
{
	guint n = 0;

	for (int i = 0; i < PEERS; i++) {
		if (i == own)
			continue;
		indices[n] = i;
		others[n++] = peers[i];
	}
	return n;
}

static bool is_asked(const struct scopy_id *stream,
		     const struct scopy_peer *peers, int own, int holder)
{
	struct scopy_peer others[PEERS];
	int indices[PEERS];
	guint picked[SCOPY_ASKED_MAX];
	guint n = without(peers, own, others, indices);
	guint count = scopy_pick_asked(stream, others, n, picked);

	for (guint i = 0; i < count; i++) {
		if (indices[picked[i]] == holder)
			return true;
	}
	return false;
}

/* The holder is in another zone than the stream's instance, and is asked by
 * whichever instance the stream comes to. */
static void test_holder_is_found(void **state)
{
	struct scopy_peer peers[PEERS];
	struct scopy_peer others[PEERS];
	int indices[PEERS];

	(void)state;
	make_peers(peers, PEERS);
	for (int s = 0; s < STREAMS; s++) {
		struct scopy_id stream = id_of(s);
		int origin = s % PEERS;
		guint n = without(peers, origin, others, indices);
		int holder = scopy_pick_holder(&stream, peers[origin].zone,
					       others, n);

		assert_true(holder >= 0);
		assert_string_not_equal(others[holder].zone,
					peers[origin].zone);
		for (int i = 0; i < PEERS; i++)
			assert_true(
				i == indices[holder] ||
				is_asked(&stream, peers, i, indices[holder]));
	}
}

/* The same where up to two of the instances that come first do not respond. */
static void test_holder_is_found_beside_silent_ones(void **state)
{
	struct scopy_peer peers[PEERS];
	struct scopy_peer others[PEERS];
	int indices[PEERS];

	(void)state;
	for (int s = 0; s < STREAMS; s++) {
		struct scopy_id stream = id_of(s);
		int origin = s % PEERS;
		guint n;
		int holder = -1;

		make_peers(peers, PEERS);
		for (int lost = 0; lost < 2; lost++) {
			n = without(peers, origin, others, indices);
			holder = scopy_pick_holder(&stream, peers[origin].zone,
						   others, n);
			peers[indices[holder]].responds = false;
		}
		n = without(peers, origin, others, indices);
		holder = scopy_pick_holder(&stream, peers[origin].zone, others,
					   n);
		assert_true(holder >= 0);
		for (int i = 0; i < PEERS; i++)
			assert_true(
				i == indices[holder] ||
				is_asked(&stream, peers, i, indices[holder]));
	}
}

static void test_few_instances(void **state)
{
	struct scopy_peer peer = {.zone = "z1", .hash = 7, .responds = true};
	struct scopy_id stream = id_of(1);
	guint picked[SCOPY_ASKED_MAX];

	(void)state;
	assert_int_equal(scopy_pick_holder(&stream, "z1", NULL, 0), -1);
	assert_int_equal(scopy_pick_asked(&stream, NULL, 0, picked), 0);
	/* Better in the same zone than not at all. */
	assert_int_equal(scopy_pick_holder(&stream, "z1", &peer, 1), 0);
	assert_int_equal(scopy_pick_asked(&stream, &peer, 1, picked), 1);
	peer.responds = false;
	assert_int_equal(scopy_pick_holder(&stream, "z1", &peer, 1), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_events_up_to_the_callers),
		cmocka_unit_test(test_attempt_that_takes_up),
		cmocka_unit_test(test_long_text),
		cmocka_unit_test(test_events_behind_a_resumption),
		cmocka_unit_test(test_later_attempt_replaces_earlier),
		cmocka_unit_test(test_attempts_that_began_anew),
		cmocka_unit_test(test_same_attempt_twice),
		cmocka_unit_test(test_copies_are_kept_for_a_while),
		cmocka_unit_test(test_memory),
		cmocka_unit_test(test_holder_is_found),
		cmocka_unit_test(test_holder_is_found_beside_silent_ones),
		cmocka_unit_test(test_few_instances),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
