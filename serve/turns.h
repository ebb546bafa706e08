/**
 * @file turns.h
 * @brief History and token budget of programs, as rows of the store.
 *
 * All rows of a program lie in one part of the store: its budget row and rows
 * for each turn that was answered completely. One transaction therefore settles
 * both, and one range read loads all. Any instance serves any turn; row
 * versions decide between concurrent writers.
 */
#ifndef APS_TURNS_H
#define APS_TURNS_H

#include <event2/event.h>
#include <glib.h>

#include "platform/rowstore.h"

struct turns;
struct turns_turn;

/** Whether a turn may run. */
enum turns_verdict {
	TURNS_ALLOWED,	   /**< it may be sent to a backend server */
	TURNS_OVER_BUDGET, /**< the remaining budget is too small */
	TURNS_NOT_FOUND,   /**< the previous turn does not exist */
	TURNS_UNAVAILABLE, /**< the store can't be read or written, and the
			    * turn waited for it as long as it may */
};

/** A turn, as its caller describes it. */
struct turns_request {
	const char *account;
	const char *program; /**< or NULL: a program of this turn only */
	const char *id;
	const char *previous; /**< or NULL */
	uint64_t budget;      /**< tokens; 0: no limit */
	uint64_t max_tokens;  /**< that the turn may generate */
	bool retain;	      /**< stored, and continues stored turns */
	int64_t retention_ms; /**< minimum time that its rows are kept */
	/** Time left to its caller, of which it may wait for a store that does
	 * not respond; 0: it is refused at once. */
	int64_t left_ms;
};

/** Callbacks of a turn; may be called before turns_begin() returns. */
struct turns_handler {
	/** The verdict. After any other one than TURNS_ALLOWED the turn only
	 * waits for turns_end(). */
	void (*decided)(void *arg, enum turns_verdict verdict);
	/** Its tokens may be passed to the caller; may precede the verdict. */
	void (*granted)(void *arg);
	/** It is committed to the store. */
	void (*committed)(void *arg);
	/** Its version is stored; or can't be for now and need not. */
	void (*version_stored)(void *arg);
};

/** Result of a search for the version that began a stream. */
enum turns_found {
	TURNS_FOUND,
	TURNS_NO_RECORD,  /**< none was stored */
	TURNS_UNREADABLE, /**< the store can't be read */
};

/** A search in progress. */
struct turns_search;
/** Receives the result of a search, which is freed when this returns;
 * @p version is NULL unless it was found. */
typedef void turns_found_fn(void *arg, enum turns_found found,
			    const char *version);

/**
 * @param cache_bytes maximum size of the cache of turns
 * @param load_bytes  maximum size of the histories of all turns in memory
 */
struct turns *turns_create(struct event_base *base, struct store *store,
			   uint64_t cache_bytes, uint64_t load_bytes);
void turns_destroy(struct turns *turns);

/** Begins a turn; @p slot is set before the handler is called. */
void turns_begin(struct turns *turns, const struct turns_request *request,
		 const struct turns_handler *handler, void *arg,
		 struct turns_turn **slot);
/** Sets the function that tells whether this instance alone has lost contact,
 * so that no turn waits here for the store. */
void turns_set_cut_off(struct turns *turns,
		       bool (*is_cut_off)(void *arg, int64_t outage_ms),
		       void *arg);
/** Returns the number, in the log, of the transaction that has stored a turn;
 * 0: it is not stored. */
uint64_t turns_stored_by(const struct turns_turn *turn);
/** Whether a turn waited because the store did not respond. */
bool turns_has_stalled(const struct turns_turn *turn);
/** Returns for how long the store has not responded to a turn's calls; 0: it
 * responds. */
int64_t turns_outage_ms(const struct turns_turn *turn);
/** Returns the length of the history that goes before the input of a turn that
 * is allowed. */
uint64_t turns_history_size(const struct turns_turn *turn);
/** Frees the history in memory if it is not needed to commit the turn; it can
 * still be read. */
void turns_release_history(struct turns_turn *turn);

/** Reads the history of a turn that is allowed, in order, in pieces: from
 * memory, or from the store what there was no room for. */
struct turns_reader;
/** Says that turns_reader_next() may be called again; @p ok is false if the
 * history can't be read on. */
typedef void turns_ready_fn(void *arg, bool ok);
/** What there is to be read. */
enum turns_read {
	TURNS_READ_PIECE, /**< a piece; g_bytes_unref() it */
	TURNS_READ_WAIT,  /**< the store is being read */
	TURNS_READ_END,
};
/** The turn must not be ended before the reader is destroyed. */
struct turns_reader *turns_reader_create(struct turns_turn *turn,
					 turns_ready_fn *ready, void *arg);
void turns_reader_destroy(struct turns_reader *reader);
enum turns_read turns_reader_next(struct turns_reader *reader, GBytes **piece);
/** Whether the store is being read. */
bool turns_reader_is_waiting(const struct turns_reader *reader);

/** Commits a turn that used @p used tokens; @p text is its input and output. */
void turns_commit(struct turns_turn *turn, GBytes *text, uint64_t used);
/**
 * Stores the software version that began the turn's stream, so that any
 * instance can go on with it.
 *
 * @param needed the handler is called only when it is stored
 * @return false if the store is unreachable; the handler is not called then
 */
bool turns_store_version(struct turns_turn *turn, const char *version,
			 bool needed);
/**
 * Searches for the version that began a stream.
 *
 * @param program of the stream, or NULL
 * @param id      of the request that brought the stream's first event
 * @return NULL if the store is unreachable; @p found is not called then
 */
struct turns_search *turns_find_version(struct turns *turns,
					const char *account,
					const char *program, const char *id,
					turns_found_fn *found, void *arg);
void turns_cancel_search(struct turns_search *search);
/** Ends and frees a turn that has used @p used tokens. */
void turns_end(struct turns_turn *turn, uint64_t used);
/** Programs in memory, and bytes of cached history. */
void turns_cache_size(const struct turns *turns, guint *programs,
		      uint64_t *bytes);

#endif
