/** @file live.c @brief Failure detector with probes and rumors. */
#include <string.h>

#include <glib.h>

#include "live.h"
#include "rng.h"

enum {
	PROBES_PER_PERIOD = 6,
	/* A probe is repeated each period; this covers several losses and a
	 * short pause of the other instance. */
	SUSPECT_AFTER_MS = 1000,
	/* For an instance that did not answer a request either. */
	DOUBTED_AFTER_MS = 300,
	WITNESSES_NEEDED = 3,	 /* fewer in a fleet that has fewer */
	SUSPICION_TTL_MS = 4000, /* of one witness, unless it repeats it */
	MISSED_ROUNDS_MAX = 2, /* so many are enough without other witnesses */
	RUMOR_SENDS = 12,      /* of each rumor by each instance */
	RUMOR_KEPT_MS = 10000, /* so that it is not taken for a new one */
	RUMORS_KEPT_MAX = 512,
	PAUSE_MIN_MS = 1000, /* a longer gap between two periods is a pause */
	ANSWER_WINDOW_MS = 1000, /* for the share of probes that are answered */
};

/* Another instance. */
struct peer {
	char id[LIVE_ID_MAX_BYTES];
	uint64_t rank; /* order in the ring */
	uint64_t epoch;
	int64_t heard_ms;	 /* last datagram from it; 0: none */
	int64_t probed_since_ms; /* first unanswered probe; 0: none */
	int64_t answered_ms;	 /* when a probe was last answered; 0: never */
	uint32_t missed_rounds;	 /* in a row, that ended without an answer */
	uint32_t witnesses[WITNESSES_NEEDED];
	int64_t witnessed_ms[WITNESSES_NEEDED];
	bool silent;
	bool leaving;
	bool doubted; /* did not answer a request */
};

struct queued_rumor {
	struct live_rumor rumor;
	int64_t queued_ms;
	uint32_t sends;
};

struct live {
	struct live_io io;
	char id[LIVE_ID_MAX_BYTES];
	uint64_t epoch;
	uint64_t rank;
	uint32_t witness; /* name of this instance in rumors */
	GHashTable *by_id;
	GPtrArray *ring;    /* of struct peer, by rank */
	GArray *offsets;    /* of guint, in the order of probing */
	guint next_offset;  /* index into offsets */
	bool ring_changed;  /* offsets no longer fit the ring */
	GPtrArray *rumors;  /* of struct queued_rumor */
	int64_t ticked_ms;  /* last period; 0: none */
	int64_t resumed_ms; /* end of the last pause; 0: none */
	bool leaving;	    /* this instance shuts down */
	struct rng rng;
};

struct live *live_create(const char *id, uint64_t epoch,
			 const struct live_io *io)
{
	struct live *live = g_new0(struct live, 1);

	live->io = *io;
	g_strlcpy(live->id, id, sizeof(live->id));
	live->epoch = epoch;
	live->rank = rng_hash(live->id);
	live->witness = (uint32_t)live->rank;
	live->rng.state = live->rank ^ epoch;
	live->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	live->ring = g_ptr_array_new();
	live->offsets = g_array_new(FALSE, FALSE, sizeof(guint));
	live->rumors = g_ptr_array_new_with_free_func(g_free);
	return live;
}

void live_destroy(struct live *live)
{
	if (live == NULL)
		return;
	g_ptr_array_free(live->rumors, TRUE);
	g_array_free(live->offsets, TRUE);
	g_ptr_array_free(live->ring, TRUE);
	g_hash_table_destroy(live->by_id);
	g_free(live);
}

uint64_t live_epoch(const struct live *live)
{
	return live->epoch;
}

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct peer *x = *(struct peer *const *)a;
	const struct peer *y = *(struct peer *const *)b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

void live_add(struct live *live, const char *id)
{
	struct peer *peer;

	if (strlen(id) >= LIVE_ID_MAX_BYTES || strcmp(id, live->id) == 0 ||
	    g_hash_table_contains(live->by_id, id))
		return;
	peer = g_new0(struct peer, 1);
	g_strlcpy(peer->id, id, sizeof(peer->id));
	peer->rank = rng_hash(peer->id);
	g_hash_table_insert(live->by_id, peer->id, peer);
	g_ptr_array_add(live->ring, peer);
	g_ptr_array_sort(live->ring, compare_ranks);
	live->ring_changed = true;
}

void live_remove(struct live *live, const char *id)
{
	struct peer *peer = g_hash_table_lookup(live->by_id, id);

	if (peer == NULL)
		return;
	g_ptr_array_remove(live->ring, peer);
	g_hash_table_remove(live->by_id, id);
	live->ring_changed = true;
}

/*
 * Instances probe at the same set of distances along the ring, so the probe of
 * one and the answer of the other cover a pair in both directions: half of the
 * distances are enough. Each instance has them in an order of its own, which
 * spreads rumors evenly.
 */
static void shuffle_offsets(struct live *live)
{
	guint half = (live->ring->len + 1) / 2;

	g_array_set_size(live->offsets, 0);
	for (guint offset = 0; offset < half; offset++)
		g_array_append_val(live->offsets, offset);
	for (guint i = half; i > 1; i--) {
		guint j = (guint)rng_below(&live->rng, i);
		guint *a = &g_array_index(live->offsets, guint, i - 1);
		guint *b = &g_array_index(live->offsets, guint, j);
		guint swap = *a;

		*a = *b;
		*b = swap;
	}
	live->next_offset = 0;
	live->ring_changed = false;
}

/* Index of the first instance after this one in the ring. */
static guint ring_position(const struct live *live)
{
	guint low = 0;
	guint high = live->ring->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const struct peer *peer = g_ptr_array_index(live->ring, middle);

		if (peer->rank < live->rank)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool same_news(const struct live_rumor *a, const struct live_rumor *b)
{
	return a->kind == b->kind && a->epoch == b->epoch &&
	       a->witness == b->witness && strcmp(a->id, b->id) == 0;
}

/* Whether @p newer makes @p old pointless. */
static bool overrides(const struct live_rumor *newer,
		      const struct live_rumor *old)
{
	if (strcmp(newer->id, old->id) != 0)
		return false;
	if (newer->epoch != old->epoch)
		return newer->epoch > old->epoch;
	return newer->kind == LIVE_LEFT ||
	       (newer->kind == LIVE_SILENT && old->kind == LIVE_SUSPECTED);
}

/* Queues a rumor; returns false if it is known already. */
static bool queue_rumor(struct live *live, const struct live_rumor *rumor,
			int64_t now)
{
	struct queued_rumor *queued;

	for (guint i = live->rumors->len; i > 0; i--) {
		queued = g_ptr_array_index(live->rumors, i - 1);
		if (same_news(rumor, &queued->rumor))
			return false;
		if (overrides(rumor, &queued->rumor))
			g_ptr_array_remove_index_fast(live->rumors, i - 1);
	}
	if (live->rumors->len >= RUMORS_KEPT_MAX)
		g_ptr_array_remove_index_fast(live->rumors, 0);
	queued = g_new0(struct queued_rumor, 1);
	queued->rumor = *rumor;
	queued->queued_ms = now;
	g_ptr_array_add(live->rumors, queued);
	return true;
}

static void drop_old_rumors(struct live *live, int64_t now)
{
	for (guint i = live->rumors->len; i > 0; i--) {
		const struct queued_rumor *queued =
			g_ptr_array_index(live->rumors, i - 1);

		if (now - queued->queued_ms > RUMOR_KEPT_MS)
			g_ptr_array_remove_index_fast(live->rumors, i - 1);
	}
}

static void spread(struct live *live, enum live_rumor_kind kind, const char *id,
		   uint64_t epoch, int64_t now)
{
	struct live_rumor rumor = {.kind = kind, .epoch = epoch};

	g_strlcpy(rumor.id, id, sizeof(rumor.id));
	if (kind == LIVE_SUSPECTED)
		rumor.witness = live->witness;
	queue_rumor(live, &rumor, now);
}

size_t live_take_rumors(struct live *live, struct live_rumor *rumors,
			size_t max)
{
	size_t n = 0;

	for (guint i = 0; i < live->rumors->len && n < max; i++) {
		struct queued_rumor *queued =
			g_ptr_array_index(live->rumors, i);

		if (queued->sends >= RUMOR_SENDS)
			continue;
		queued->sends++;
		rumors[n++] = queued->rumor;
	}
	return n;
}

static void set_silent(struct live *live, struct peer *peer, bool silent)
{
	if (peer->silent == silent)
		return;
	peer->silent = silent;
	live->io.changed(live->io.arg, peer->id, silent);
}

/* Several witnesses do not hear @p peer: all others need not ask as well. */
static void declare_silent(struct live *live, struct peer *peer, int64_t now)
{
	if (peer->silent)
		return;
	spread(live, LIVE_SILENT, peer->id, peer->epoch, now);
	set_silent(live, peer, true);
}

/* The instance runs: drops all suspicions. */
static void clear_suspicions(struct live *live, struct peer *peer)
{
	memset(peer->witnessed_ms, 0, sizeof(peer->witnessed_ms));
	peer->missed_rounds = 0;
	set_silent(live, peer, false);
}

/* Counts a witness that does not hear @p peer. */
static void add_witness(struct live *live, struct peer *peer, uint32_t witness,
			int64_t now)
{
	guint needed = MIN(WITNESSES_NEEDED, live->ring->len);
	guint count = 0;
	guint slot = 0;

	for (guint i = 0; i < WITNESSES_NEEDED; i++) {
		if (peer->witnesses[i] == witness) {
			slot = i;
			break;
		}
		if (peer->witnessed_ms[i] < peer->witnessed_ms[slot])
			slot = i;
	}
	peer->witnesses[slot] = witness;
	peer->witnessed_ms[slot] = now;
	for (guint i = 0; i < WITNESSES_NEEDED; i++)
		count += peer->witnessed_ms[i] > now - SUSPICION_TTL_MS &&
			 peer->witnessed_ms[i] != 0;
	if (count >= needed)
		declare_silent(live, peer, now);
}

/* Ends probes that got no answer in time; repeats the others. */
static void check_probe(struct live *live, struct peer *peer, int64_t now)
{
	if (peer->probed_since_ms == 0)
		return;
	if (now - peer->probed_since_ms <
	    (peer->doubted ? DOUBTED_AFTER_MS : SUSPECT_AFTER_MS)) {
		live->io.probe(live->io.arg, peer->id);
		return;
	}
	peer->probed_since_ms = 0;
	peer->doubted = false;
	if (peer->silent || live_is_isolated(live, now))
		return;
	spread(live, LIVE_SUSPECTED, peer->id, peer->epoch, now);
	add_witness(live, peer, live->witness, now);
	if (++peer->missed_rounds >= MISSED_ROUNDS_MAX)
		declare_silent(live, peer, now);
}

static void probe_next(struct live *live, guint position, int64_t now)
{
	guint offset;
	struct peer *peer;

	if (live->next_offset >= live->offsets->len)
		live->next_offset = 0;
	offset = g_array_index(live->offsets, guint, live->next_offset++);
	peer = g_ptr_array_index(live->ring,
				 (position + offset) % live->ring->len);
	if (peer->probed_since_ms != 0)
		return;
	peer->probed_since_ms = now;
	live->io.probe(live->io.arg, peer->id);
}

/* Notices a pause of this process: what was asked before it is void. */
static void check_pause(struct live *live, int64_t now)
{
	if (live->ticked_ms == 0 || now - live->ticked_ms <= PAUSE_MIN_MS)
		return;
	live->resumed_ms = now;
	live->ticked_ms = now;
	for (guint i = 0; i < live->ring->len; i++) {
		struct peer *peer = g_ptr_array_index(live->ring, i);

		peer->probed_since_ms = 0;
	}
}

void live_tick(struct live *live, int64_t now)
{
	guint position;
	guint count;

	check_pause(live, now);
	live->ticked_ms = now;
	drop_old_rumors(live, now);
	if (live->ring_changed)
		shuffle_offsets(live);
	for (guint i = 0; i < live->ring->len; i++)
		check_probe(live, g_ptr_array_index(live->ring, i), now);
	position = ring_position(live);
	count = MIN(PROBES_PER_PERIOD, live->offsets->len);
	for (guint i = 0; i < count; i++)
		probe_next(live, position, now);
}

/*
 * An instance that counted as silent responds. If it restarted, the others are
 * told; else it is told, so that it refutes the suspicion by a higher epoch.
 */
static void on_return(struct live *live, struct peer *peer, uint64_t epoch,
		      int64_t now)
{
	enum live_rumor_kind kind =
		epoch > peer->epoch ? LIVE_ALIVE : LIVE_SUSPECTED;

	spread(live, kind, peer->id, epoch, now);
}

void live_on_heard(struct live *live, const char *id, uint64_t epoch,
		   int64_t now)
{
	struct peer *peer = g_hash_table_lookup(live->by_id, id);

	check_pause(live, now);
	if (peer == NULL || epoch < peer->epoch)
		return;
	if (peer->silent)
		on_return(live, peer, epoch, now);
	if (epoch > peer->epoch)
		peer->leaving = false;
	peer->epoch = epoch;
	peer->heard_ms = now;
	if (peer->probed_since_ms != 0)
		peer->answered_ms = now;
	peer->probed_since_ms = 0;
	peer->doubted = false;
	clear_suspicions(live, peer);
}

void live_doubt(struct live *live, const char *id, int64_t now)
{
	struct peer *peer = g_hash_table_lookup(live->by_id, id);

	if (peer == NULL || peer->silent || peer->doubted)
		return;
	peer->doubted = true;
	peer->probed_since_ms = now;
	live->io.probe(live->io.arg, peer->id);
}

/* Refutes a rumor that this instance is silent or has left. */
static void refute(struct live *live, const struct live_rumor *rumor,
		   int64_t now)
{
	if (rumor->epoch < live->epoch || rumor->kind == LIVE_ALIVE ||
	    (rumor->kind == LIVE_LEFT && live->leaving))
		return;
	live->epoch = rumor->epoch + 1;
	live_announce(live, live->leaving, now);
}

static void apply_rumor(struct live *live, struct peer *peer,
			const struct live_rumor *rumor, int64_t now)
{
	if (rumor->epoch > peer->epoch) {
		peer->epoch = rumor->epoch;
		peer->leaving = false;
		if (rumor->kind == LIVE_ALIVE || rumor->kind == LIVE_LEFT)
			clear_suspicions(live, peer);
	}
	if (rumor->kind == LIVE_LEFT)
		peer->leaving = true;
	if (rumor->kind == LIVE_SILENT)
		set_silent(live, peer, true);
	if (rumor->kind == LIVE_SUSPECTED)
		add_witness(live, peer, rumor->witness, now);
}

bool live_on_rumor(struct live *live, const struct live_rumor *rumor,
		   int64_t now)
{
	struct peer *peer;

	check_pause(live, now);
	if (strcmp(rumor->id, live->id) == 0) {
		refute(live, rumor, now);
		return true;
	}
	peer = g_hash_table_lookup(live->by_id, rumor->id);
	if (peer == NULL)
		return false;
	if (rumor->epoch < peer->epoch ||
	    (rumor->kind == LIVE_SUSPECTED && peer->silent &&
	     rumor->epoch == peer->epoch) ||
	    !queue_rumor(live, rumor, now))
		return true;
	apply_rumor(live, peer, rumor, now);
	return true;
}

void live_announce(struct live *live, bool leaving, int64_t now)
{
	live->leaving = leaving;
	spread(live, leaving ? LIVE_LEFT : LIVE_ALIVE, live->id, live->epoch,
	       now);
}

bool live_is_silent(const struct live *live, const char *id)
{
	const struct peer *peer = g_hash_table_lookup(live->by_id, id);

	return peer == NULL || peer->silent;
}

bool live_is_leaving(const struct live *live, const char *id)
{
	const struct peer *peer = g_hash_table_lookup(live->by_id, id);

	return peer != NULL && peer->leaving;
}

bool live_is_quiet(const struct live *live, const char *id, int64_t now)
{
	const struct peer *peer = g_hash_table_lookup(live->by_id, id);
	int64_t round_ms = (int64_t)live->offsets->len * LIVE_PERIOD_MS /
			   PROBES_PER_PERIOD;

	return peer == NULL || peer->silent ||
	       now - peer->heard_ms > 2 * round_ms + SUSPECT_AFTER_MS;
}

uint32_t live_count(const struct live *live)
{
	uint32_t count = 0;

	for (guint i = 0; i < live->ring->len; i++) {
		const struct peer *peer = g_ptr_array_index(live->ring, i);

		count += !peer->silent;
	}
	return count;
}

bool live_is_isolated(const struct live *live, int64_t now)
{
	int64_t since_ms = MAX(now - ANSWER_WINDOW_MS, live->resumed_ms);
	guint answered = 0;
	guint unanswered = 0;

	if (live->ring->len == 0)
		return false;
	if (live->ticked_ms == 0 || now - live->ticked_ms > PAUSE_MIN_MS)
		return true;
	for (guint i = 0; i < live->ring->len; i++) {
		const struct peer *peer = g_ptr_array_index(live->ring, i);

		answered += peer->answered_ms > since_ms;
		unanswered += !peer->silent && peer->probed_since_ms != 0 &&
			      now - peer->probed_since_ms > LIVE_PERIOD_MS;
	}
	return answered == 0 || answered < unanswered;
}
