/**
 * @file turns.h
 * @brief History and budget of programs, in rows of the store.
 *
 * A program's rows lie in one part of the store: its budget row and a row for
 * each turn that was answered whole, so one transaction settles both and one
 * range read loads all. Any instance takes any turn; versions decide.
 */
#ifndef APS_TURNS_H
#define APS_TURNS_H

#include <event2/event.h>
#include <glib.h>

#include "platform/rowstore.h"

struct turns;
struct turns_turn;

/** What becomes of a turn. */
enum turns_verdict {
	TURNS_ALLOWED,	   /**< it may be sent to a backend server */
	TURNS_OVER_BUDGET, /**< the budget does not hold it */
	TURNS_NOT_FOUND,   /**< there is no turn that it could continue */
	TURNS_UNAVAILABLE, /**< the store can't say */
};

/** A turn, as its caller describes it. */
struct turns_request {
	const char *account;
	const char *program; /**< NULL: the turn belongs to none */
	const char *id;
	const char *previous; /**< or NULL */
	uint64_t budget;      /**< tokens; 0: no limit */
	uint64_t most;	      /**< tokens that the turn may generate */
	bool retain;	      /**< the turn is kept, and continues kept ones */
	int64_t retention_ms; /**< for so long */
};

/** Who is told; may be called before turns_begin() returns. */
struct turns_handler {
	/** The verdict; @p history goes before the input (TURNS_ALLOWED only).
	 * After any other verdict than TURNS_ALLOWED the turn waits for
	 * turns_end(). */
	void (*decided)(void *arg, enum turns_verdict verdict,
			const GByteArray *history);
	/** Its tokens may be handed out; may come before the verdict. */
	void (*granted)(void *arg);
	/** It is durable. */
	void (*kept)(void *arg);
};

struct turns *turns_create(struct event_base *base, struct rst *store,
			   uint64_t incarnation, uint64_t cache_bytes);
void turns_destroy(struct turns *turns);

/** Begins a turn; @p slot is set before the handler is called. */
void turns_begin(struct turns *turns, const struct turns_request *request,
		 const struct turns_handler *handler, void *arg,
		 struct turns_turn **slot);
/** Makes a turn durable: @p text is its input and its output. */
void turns_commit(struct turns_turn *turn, GBytes *text, uint64_t used);
/** Ends a turn that has handed out @p used tokens; it is gone afterwards. */
void turns_end(struct turns_turn *turn, uint64_t used);
/** Programs at hand, and bytes of history. */
void turns_cache_size(const struct turns *turns, guint *programs,
		      uint64_t *bytes);

#endif
