/**
 * @file test_turn_writes.c
 * @brief The result of a transaction concerns what that contains, and is told
 * once all of it has been taken over.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "serve/clock.h"
#include "serve/slog.h"
#include "serve/turns_int.h"
#include "test/standins/rowstore.h"

#define LOG_PATH "build/test_turn_writes.log"
#define STORE_ADDRESS "127.0.0.1:18400"

enum {
	STORE_DELAY_MS = 60,
	BEFORE_RESULT_MS = 20,
	RESULT_MS = 3000,
	STEP_MS = 2,
	TURNS_MAX = 4,
	LONG_TEXT_BYTES = 1500000, /* in three transactions */
	LONG_TEXT_ROWS = 34,	   /* 45,000 bytes each */
	CACHE_BYTES = 8388608,
};

/* A turn, and what its handler has been told. */
struct caller {
	struct turns_turn *turn; /* NULL: ended */
	const char *text;	 /* committed when its version is stored */
	struct caller *ends;	 /* another turn, ended at the same time */
	bool version_stored;
	bool committed;
	bool was_stored; /* its rows were, when it was told so */
};

static struct {
	struct event_base *base;
	struct upstream *upstream;
	struct rowstore *rowstore;
	struct store *store;
	struct turns *turns;
	struct caller callers[TURNS_MAX];
	int count;
} test;

static bool is_stored(const struct turns_turn *turn)
{
	char *value = rowstore_get(test.rowstore, TURNS_TABLE,
				   turn->program->part, turn->key);
	bool found = value != NULL;

	g_free(value);
	return found;
}

static void end_turn(struct caller *caller)
{
	if (caller->turn != NULL)
		turns_end(caller->turn, 0);
	caller->turn = NULL;
}

static void on_decided(void *arg, enum turns_verdict verdict)
{
	(void)arg;
	assert_int_equal(verdict, TURNS_ALLOWED);
}

static void on_granted(void *arg)
{
	(void)arg;
}

static void on_committed(void *arg)
{
	struct caller *caller = arg;

	assert_false(caller->committed);
	caller->committed = true;
	caller->was_stored = is_stored(caller->turn);
	end_turn(caller);
}

static void commit(struct caller *caller, const char *text)
{
	GBytes *bytes = g_bytes_new(text, strlen(text));

	turns_commit(caller->turn, bytes, 1);
	g_bytes_unref(bytes);
}

/* As a stream that has ended meanwhile. */
static void on_version_stored(void *arg)
{
	struct caller *caller = arg;

	assert_false(caller->version_stored);
	caller->version_stored = true;
	if (caller->ends != NULL) {
		end_turn(caller->ends);
		end_turn(caller);
		return;
	}
	if (caller->text != NULL)
		commit(caller, caller->text);
}

static const struct turns_handler handler = {on_decided, on_granted,
					     on_committed, on_version_stored};

/* Begins a turn of the program. */
static struct caller *begin(void)
{
	struct caller *caller = &test.callers[test.count++];
	char id[16];
	struct turns_request request = {
		.account = "t1",
		.program = "p",
		.id = id,
		.retain = true,
		.retention_ms = 60000,
	};

	g_snprintf(id, sizeof(id), "turn%d", test.count);
	turns_begin(test.turns, &request, &handler, caller, &caller->turn);
	return caller;
}

static void run(const bool *flag, int64_t ms)
{
	int64_t until_ms = clock_boot_ms() + ms;

	while ((flag == NULL || !*flag) && clock_boot_ms() < until_ms) {
		struct timeval tv = {.tv_usec = STEP_MS * 1000};

		event_base_loopexit(test.base, &tv);
		event_base_dispatch(test.base);
	}
}

static int set_up(void **state)
{
	(void)state;
	memset(&test, 0, sizeof(test));
	test.base = event_base_new();
	test.upstream = upstream_create(test.base);
	test.rowstore = rowstore_create(test.base, STORE_ADDRESS);
	assert_non_null(test.rowstore);
	test.store = store_create(test.base, test.upstream, STORE_ADDRESS);
	test.turns =
		turns_create(test.base, test.store, CACHE_BYTES, CACHE_BYTES);
	rowstore_set_delay(test.rowstore, STORE_DELAY_MS);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < test.count; i++)
		end_turn(&test.callers[i]);
	turns_destroy(test.turns);
	store_destroy(test.store);
	rowstore_destroy(test.rowstore);
	upstream_destroy(test.upstream);
	event_base_free(test.base);
	slog_flush();
	return 0;
}

#define WRITE_TEST(test)                                                       \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

/* Begins two turns: a transaction with the version of the first one's stream is
 * under way when the second one is committed. */
static void begin_beside_version(struct caller **stream, struct caller **other,
				 const char *text)
{
	*stream = begin();
	*other = begin();
	(*stream)->text = "stream";
	assert_true(turns_store_version((*stream)->turn, "v1", true));
	run(NULL, BEFORE_RESULT_MS);
	commit(*other, text);
}

/* Guards against a turn that is answered whole by the result of the transaction
 * before, although its own has only been sent. */
static void test_result_of_the_transaction_before(void **state)
{
	struct caller *stream;
	struct caller *other;

	(void)state;
	begin_beside_version(&stream, &other, "other");
	run(&other->committed, RESULT_MS);
	assert_true(other->committed);
	assert_true(other->was_stored);
	run(&stream->committed, RESULT_MS);
	assert_true(stream->committed);
	assert_true(stream->was_stored);
}

/* The same if that transaction fails: the turn is written again. */
static void test_refused_transaction_is_repeated(void **state)
{
	struct caller *stream;
	struct caller *other;

	(void)state;
	begin_beside_version(&stream, &other, "other");
	run(&stream->version_stored, RESULT_MS);
	rowstore_set_mode(test.rowstore, ROWSTORE_UNAVAILABLE);
	run(NULL, 3 * STORE_DELAY_MS);
	assert_false(other->committed);
	assert_false(stream->committed);
	rowstore_set_mode(test.rowstore, ROWSTORE_OK);
	run(&other->committed, RESULT_MS);
	run(&stream->committed, RESULT_MS);
	assert_true(other->committed && other->was_stored);
	assert_true(stream->committed && stream->was_stored);
}

/* The same if its response is lost: the turn is stored, and that is found out
 * before the caller is told. */
static void test_lost_response(void **state)
{
	struct caller *stream;
	struct caller *other;

	(void)state;
	begin_beside_version(&stream, &other, "other");
	run(&stream->version_stored, RESULT_MS);
	rowstore_set_mode(test.rowstore, ROWSTORE_LOSE_RESPONSE);
	run(NULL, 2 * STORE_DELAY_MS);
	assert_false(other->committed);
	rowstore_set_mode(test.rowstore, ROWSTORE_OK);
	run(&other->committed, RESULT_MS);
	run(&stream->committed, RESULT_MS);
	assert_true(other->committed && other->was_stored);
	assert_true(stream->committed && stream->was_stored);
}

/* Guards against rows of a long text that count as stored by the result of the
 * transaction before: the turn would be kept with a gap. */
static void test_long_text_beside_a_version(void **state)
{
	char *text = g_strnfill(LONG_TEXT_BYTES, 'x');
	struct caller *stream;
	struct caller *other;
	guint rows;

	(void)state;
	begin_beside_version(&stream, &other, text);
	run(&stream->version_stored, RESULT_MS);
	rowstore_set_mode(test.rowstore, ROWSTORE_UNAVAILABLE);
	run(NULL, 2 * STORE_DELAY_MS);
	rowstore_set_mode(test.rowstore, ROWSTORE_OK);
	run(&other->committed, RESULT_MS);
	run(&stream->committed, RESULT_MS);
	assert_true(other->was_stored && stream->was_stored);
	/* Besides: the stream's version and its only row. */
	rows = rowstore_count_rows(test.rowstore, PROGRAMS_TABLE);
	assert_int_equal(rows, LONG_TEXT_ROWS + 2);
	g_free(text);
}

/* Guards against the use of a turn that a handler has ended while the others of
 * the transaction are still to be told. */
static void test_handler_ends_another_turn(void **state)
{
	struct caller *first = begin();
	struct caller *second = begin();
	struct caller *third = begin();

	(void)state;
	assert_true(turns_store_version(first->turn, "v1", true));
	run(NULL, BEFORE_RESULT_MS);
	first->ends = NULL;
	/* These two are in one transaction, after the first. */
	second->ends = third;
	third->ends = second;
	assert_true(turns_store_version(second->turn, "v1", true));
	assert_true(turns_store_version(third->turn, "v1", true));
	run(&second->version_stored, RESULT_MS);
	run(NULL, 2 * STORE_DELAY_MS);
	assert_true(second->version_stored);
	assert_false(third->version_stored);
	assert_null(third->turn);
}

/* A turn that ends while its transaction is under way is told nothing. */
static void test_turn_ends_before_the_result(void **state)
{
	struct caller *gone = begin();
	struct caller *other = begin();

	(void)state;
	commit(gone, "gone");
	run(NULL, BEFORE_RESULT_MS);
	end_turn(gone);
	commit(other, "other");
	run(&other->committed, RESULT_MS);
	assert_true(other->committed && other->was_stored);
	assert_false(gone->committed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		WRITE_TEST(test_result_of_the_transaction_before),
		WRITE_TEST(test_refused_transaction_is_repeated),
		WRITE_TEST(test_lost_response),
		WRITE_TEST(test_long_text_beside_a_version),
		WRITE_TEST(test_handler_ends_another_turn),
		WRITE_TEST(test_turn_ends_before_the_result),
	};

	if (sodium_init() < 0 || freopen(LOG_PATH, "w", stdout) == NULL)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
