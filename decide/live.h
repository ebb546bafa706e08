/**
 * @file live.h
 * @brief Failure detector: which of the other instances respond.
 *
 * The load it must handle: hundreds of instances, of which any number may be
 * killed, paused, restarted or cut off at once, over a network that loses
 * datagrams.
 *
 * Each period an instance probes a constant number of others, in turn, and
 * probes again those that have not answered. Small fleets are covered in each
 * period. An instance that stays silent is suspected; it counts as silent once
 * several instances suspect it. Suspicions, refutations and departures spread
 * as rumors that travel with the probes (as in SWIM, with incarnation numbers:
 * an instance refutes a suspicion by a higher epoch). An instance that hears
 * too few others, or that was paused, regards itself as isolated.
 */
#ifndef APS_LIVE_H
#define APS_LIVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	LIVE_PERIOD_MS = 250,	/* between two calls of live_tick() */
	LIVE_RUMORS_MAX = 12,	/* in one datagram */
	LIVE_ID_MAX_BYTES = 64, /* length of an instance's id */
};

/** What a rumor says about an instance. */
enum live_rumor_kind {
	LIVE_SUSPECTED, /**< it does not answer the witness */
	LIVE_SILENT,	/**< it does not answer several witnesses */
	LIVE_ALIVE,	/**< it runs with that epoch */
	LIVE_LEFT,	/**< it shuts down */
};

/** News about an instance. */
struct live_rumor {
	enum live_rumor_kind kind;
	char id[LIVE_ID_MAX_BYTES];
	uint64_t epoch;	  /**< incarnation of that instance */
	uint32_t witness; /**< which instance suspects it */
};

/** Failure detector of one instance. */
struct live;

/** Effects of the failure detector. */
struct live_io {
	/** Sends a probe that asks for an answer. */
	void (*probe)(void *arg, const char *id);
	/** An instance became silent, or responds again. */
	void (*changed)(void *arg, const char *id, bool silent);
	void *arg;
};

/**
 * @param epoch incarnation; higher than that of any earlier process of this id
 */
struct live *live_create(const char *id, uint64_t epoch,
			 const struct live_io *io);
void live_destroy(struct live *live);
/** Returns the incarnation of this instance; it grows with each refutation. */
uint64_t live_epoch(const struct live *live);

/** Adds an instance; it counts as responding until it is found silent. */
void live_add(struct live *live, const char *id);
/** Removes an instance that is known to be gone. */
void live_remove(struct live *live, const char *id);

/** Starts a period: sends probes and suspects instances without an answer. */
void live_tick(struct live *live, int64_t now);
/** An instance did not answer a request in time: probes it at once, and
 * suspects it sooner than usual if it does not answer that either. */
void live_doubt(struct live *live, const char *id, int64_t now);
/** Handles any datagram of another instance; ignores unknown ones. */
void live_on_heard(struct live *live, const char *id, uint64_t epoch,
		   int64_t now);
/** Handles a rumor; returns false if the instance is unknown. */
bool live_on_rumor(struct live *live, const struct live_rumor *rumor,
		   int64_t now);
/** Copies up to @p max rumors to send with the next datagram; returns their
 * number. */
size_t live_take_rumors(struct live *live, struct live_rumor *rumors,
			size_t max);
/** Spreads the news that this instance runs or, if @p leaving, shuts down. */
void live_announce(struct live *live, bool leaving, int64_t now);

/** Whether an instance counts as silent; unknown ones do. */
bool live_is_silent(const struct live *live, const char *id);
/** Whether an instance is silent or was not heard for two rounds of probes,
 * even if this instance is isolated. */
bool live_is_quiet(const struct live *live, const char *id, int64_t now);
/** Whether an instance has announced that it shuts down. */
bool live_is_leaving(const struct live *live, const char *id);
/** Returns the number of other instances that do not count as silent. */
uint32_t live_count(const struct live *live);
/**
 * Whether this instance may be cut off from the others, or was paused and has
 * not heard from them since. Rights that only one instance may hold are then
 * void.
 */
bool live_is_isolated(const struct live *live, int64_t now);

#endif
