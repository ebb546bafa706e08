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

struct trn;
struct trn_turn;

/** What becomes of a turn. */
enum trn_verdict {
	TRN_GO,		 /**< it may be sent to a backend server */
	TRN_SPENT,	 /**< the budget does not hold it */
	TRN_NO_TURN,	 /**< there is no turn that it could continue */
	TRN_UNAVAILABLE, /**< the store can't say */
};

/** A turn, as its caller describes it. */
struct trn_request {
	const char *account;
	const char *program; /**< NULL: the turn belongs to none */
	const char *id;
	const char *previous; /**< or NULL */
	uint64_t budget;      /**< tokens; 0: no limit */
	uint64_t most;	      /**< tokens that the turn may generate */
	bool retain;	      /**< the turn is kept, and continues kept ones */
	int64_t retention_ms; /**< for so long */
};

/** Who is told; may be called before trn_begin() returns. */
struct trn_handler {
	/** The verdict; @p history goes before the input (TRN_GO only). After
	 * any other verdict than TRN_GO the turn waits for trn_end(). */
	void (*decided)(void *arg, enum trn_verdict verdict,
			const GByteArray *history);
	/** Its tokens may be handed out; may come before the verdict. */
	void (*granted)(void *arg);
	/** It is durable. */
	void (*kept)(void *arg);
};

struct trn *trn_create(struct event_base *base, struct store *store,
		       uint64_t incarnation, uint64_t cache_bytes);
void trn_destroy(struct trn *trn);

/** Begins a turn; @p slot is set before the handler is called. */
void trn_begin(struct trn *trn, const struct trn_request *request,
	       const struct trn_handler *handler, void *arg,
	       struct trn_turn **slot);
/** Makes a turn durable: @p text is its input and its output. */
void trn_keep(struct trn_turn *turn, GBytes *text, uint64_t used);
/** Ends a turn that has handed out @p used tokens; it is gone afterwards. */
void trn_end(struct trn_turn *turn, uint64_t used);
/** Programs at hand, and bytes of history. */
void trn_sizes(const struct trn *trn, guint *programs, uint64_t *bytes);

#endif
