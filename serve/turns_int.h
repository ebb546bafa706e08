/**
 * @file turns_int.h
 * @brief Internal interface between the turns*.c files and the sweeper.
 *
 * turns.c decides about turns, turns_write.c sends the transactions that store
 * them and takes over their results, turns_load.c finds the history of a turn,
 * turns_keep.c keeps the programs that hold it from being removed, turns_read.c
 * reads it in order, turns_page.c bounds how much is read at a time,
 * turns_version.c the versions of streams, and turns_stall.c keeps turns that
 * wait until the store responds.
 */
#ifndef APS_TURNS_INT_H
#define APS_TURNS_INT_H

#include <urcu/list.h>

#include "decide/budget.h"
#include "decide/history.h"
#include "proto/rows.pb-c.h"
#include "turns.h"

/** Budget rows, and the rows of turns. */
#define PROGRAMS_TABLE "aps-programs"
/** Index from a turn to its program. */
#define TURNS_TABLE "aps-turns"
/** Expiry time of the rows of a program. */
#define EXPIRY_TABLE "aps-expiry"

enum {
	/** Parts that hold an account's programs, by one hex digit. A part
	 * commits one transaction after another, so a single part would not
	 * carry all accounts while the store is tens of times slower. */
	ACCOUNT_PARTS = 16,
	ACCOUNT_DIGITS = 4, /**< prefix of a program's key: its account */
	PART_LEN = 1 + ACCOUNT_DIGITS + 1 + 1,
	HASH_BYTES = 16,
	KEY_LEN = 2 * HASH_BYTES + 1,
	HEAD_KEY_LEN = 2 * (KEY_LEN - 1) + 1, /**< "PROGRAM/TURN" */
	/** "PROGRAM/vTURN", the turn abbreviated: shorter than any other row
	 * of a turn, so it is never taken for one. */
	VERSION_TURN_DIGITS = 24,
	VERSION_KEY_LEN = KEY_LEN - 1 + 2 + VERSION_TURN_DIGITS + 1,
	/** Minimum lifetime of a program's rows, also on routes that retain
	 * nothing: a program without history may still send another turn. */
	RETENTION_MIN_MS = 600000,
};

/** What a transaction contains of one turn. */
struct turns_written {
	struct turns_turn *turn; /**< NULL: it has ended since */
	uint32_t pieces; /**< rows of its text in the store with it, in all */
	bool has_head;
	bool has_version;
};

/** A transaction under way. Its result concerns just what it contains, whatever
 * has happened since it was sent. */
struct turns_tx {
	uint64_t serial; /**< in the log */
	struct store_call *call;
	GArray *turns; /**< of struct turns_written */
	bool has_budget;
	uint64_t cap;	    /**< in the budget row */
	int64_t expires_ms; /**< of the program's rows; 0: not written */
	int64_t sent_ms;
};

/** The rows of one program, as known to this instance. */
struct program {
	struct turns *turns;
	char key[KEY_LEN];
	char part[PART_LEN];
	/* Names its cap in the row. Each time that a program comes into memory
	 * it gets a new one: how much of the earlier cap was delivered has been
	 * forgotten, so the whole cap counts as spent. */
	uint64_t incarnation;
	struct budget budget;
	int64_t budget_version; /* of the budget row; 0: no row */
	int64_t budget_read_ms; /* when the row was last known to be current */
	Rows__Program *budget_row; /* as last read, or NULL */
	struct cds_list_head active_turns;
	struct turns_tx *tx; /* under way, or NULL */
	bool settling;	     /* a result is being handled; what is to be written
			      * next is sent after that */
	struct store_call *read_call;
	int64_t expires_ms; /* by the store's clock; 0: unknown */
	struct event *retry_timer;
	int64_t retry_delay_ms;
	int64_t last_used_ms;
};

/** All programs in memory. */
struct turns {
	struct event_base *base;
	struct store *store;
	GHashTable *programs;
	uint64_t last_turn; /* serial */
	uint64_t last_tx;   /* serial */
	struct hist *history;
	struct event *eviction_timer;
	struct cds_list_head stalled_turns;
	struct event *stall_timer;  /* while there are any */
	struct cds_list_head pages; /* being read, or waiting for that */
	/* Program -> struct load that reads its rows for another program. */
	GHashTable *owner_loads;
	struct cds_list_head ready_loads; /* that need not wait any longer */
	struct event *ready_event;	  /* handles them */
	bool (*is_cut_off)(void *arg, int64_t outage_ms); /* or NULL */
	void *cut_off_arg;
};

/** Progress of loading the history of a turn. */
enum load_state {
	LOAD_NONE,
	LOAD_PROGRAM, /* reading the rows of its own program */
	LOAD_SEARCH,  /* reading the index in each part of the account */
	LOAD_OWNER,   /* reading the rows of another program */
	LOAD_TEXTS,   /* reading rows of a program again */
	LOAD_KEEP,    /* extending the expiry of other programs */
	LOAD_DONE,
};

/** A page of rows that is read, or waits for that. */
struct turns_page;

/** A turn of which some rows have been read. */
struct partial_turn;

/** One read in progress. */
struct load {
	struct turns_turn *turn;
	struct store_call *call;
	struct turns_page *page;
	struct partial_turn *partial;
	char owner[KEY_LEN]; /* program being read; "" for the index */
	guint tries;	     /* to extend its expiry */
	/* Loads that wait for this one, as they need the rows of the same
	 * program; or this one in such a list, or in ready_loads. */
	struct cds_list_head waiting;
	struct cds_list_head waiting_node;
	bool waits;
	bool failed; /* the store could not be read */
};

/** One turn in progress. */
struct turns_turn {
	struct cds_list_head node; /* in active_turns, by serial */
	uint64_t serial;
	struct program *program;
	char key[KEY_LEN];
	char previous[KEY_LEN];
	uint64_t budget;
	uint64_t max_tokens;
	int64_t retention_ms;
	int64_t started_ms;
	const struct turns_handler *handler;
	void *arg;
	enum load_state load_state;
	struct hist_chain *chain; /* its history, once it continues a turn */
	bool texts_read;	  /* LOAD_TEXTS has been reached */
	bool copies_history; /* another program's, to be stored with the turn */
	bool owner_expired;  /* a program that holds the history is removed */
	GPtrArray *loads;    /* of struct load */
	bool load_failed;
	char found_owner[KEY_LEN];   /* as named by the index */
	char searched_turn[KEY_LEN]; /* in the index */
	bool decided;
	bool waiting; /* for the budget row or a higher cap */
	bool stalled; /* waits for the store to respond; in stalled_turns */
	bool has_stalled;
	struct cds_list_head stalled_node;
	int64_t wait_until_ms; /* for the store to respond; 0: not at all */
	bool reserved;	       /* its maximum is reserved in the budget */
	bool granted;
	bool settled;		   /* the reservation is released */
	GBytes *text;		   /* to be committed */
	uint32_t pieces_committed; /* rows of the text in the store */
	uint64_t stored_by;	   /* transaction; 0: not stored yet */
	bool report_stored;	   /* to the handler, as soon as possible */
	char *version; /* that began the stream; NULL: not to be stored */
	bool version_stored;
	bool version_needed;
	bool version_reported; /* to the handler */
	bool report_version;   /* to the handler, as soon as possible */
};

/** Hashes a name to a row key of KEY_LEN bytes: fixed length, nothing to
 * escape, and equal names of two accounts have different keys. */
void turns_make_key(char *out, char kind, const char *account,
		    const char *name);
/** The key of a program begins with digits of its account, which name the parts
 * that hold all turns of the account. */
void turns_program_key(char *out, const char *account, const char *name);
/** The key of the row with the version of a stream, from the keys of its
 * program and its turn: VERSION_KEY_LEN bytes. */
void turns_version_key(char *out, const char *program_key,
		       const char *turn_key);
/** Whether the turn has a version that is not stored yet. */
bool turns_has_version_to_store(const struct turns_turn *turn);
/** The part that holds the rows of a program: PART_LEN bytes. */
void turns_program_part(const char *key, char *part);
/** Part number @p i, below ACCOUNT_PARTS, of the account of a program. */
void turns_account_part(const char *key, int i, char *part);
/** Reads the budget row of a program, and then goes on with its turns. */
void turns_read_budget(struct program *program);
/** Prepares for reads of other programs, and ends that. */
void turns_init_loads(struct turns *turns);
void turns_fini_loads(struct turns *turns);
/** Prepares for turns that wait until the store responds. */
void turns_init_stalls(struct turns *turns);
/** Begins a turn that may wait for the store. Returns whether it goes on at
 * once; otherwise it waits, or its handler has been called. */
bool turns_begin_or_wait(struct turns_turn *turn,
			 const struct turns_request *request);
/** Lets a turn wait until the store responds; returns false if it may not wait
 * (any longer). */
bool turns_stall(struct turns_turn *turn);
/** Ends the wait of a turn, if it waits for the store to respond. */
void turns_leave_stalled(struct turns_turn *turn);
/** Whether the history that a turn continues is in memory. */
bool turns_has_history(struct turns_turn *turn);
/** Decides about a turn, as far as possible without further reads. */
void turns_advance(struct turns_turn *turn);
/** Reports the verdict to the caller, who may free the turn. */
void turns_report_verdict(struct turns_turn *turn, enum turns_verdict verdict);
/** Updates the budget from its row; @p value is NULL if there is none. */
void turns_apply_budget_row(struct program *program, GBytes *value,
			    int64_t version, int64_t sent_ms);

/** Packs the budget row as it was read, with @p cap for this incarnation:
 * fields of a later build stay. g_free() the result. */
uint8_t *turns_pack_budget(const struct program *program, uint64_t cap,
			   size_t *len);
/** Adds the row with the expiry of a program's rows, by the store's clock. */
void turns_put_expiry(struct store_tx *tx, const char *program_key,
		      int64_t expires_ms);
/** Sends a transaction with all pending rows of a program and its cap; its
 * result goes to @p done. */
struct turns_tx *turns_tx_send(struct program *program, uint64_t cap,
			       store_done_fn *done);
/** Takes the result of a transaction over into the program and its turns, and
 * frees it; no handler is called before turns_report_written(). */
void turns_tx_settle(struct program *program,
		     const struct store_response *reply);
/** Cancels the transaction under way, if any. */
void turns_tx_cancel(struct program *program);
/** A turn has ended: the result of a transaction does not concern it. */
void turns_tx_forget(struct turns_turn *turn);

/** Finds a turn's history; returns true once that is done. */
bool turns_load_history(struct turns_turn *turn);
/** Keeps other programs that hold a turn's history from being removed; returns
 * true if it has begun to, and the turn goes on later. */
bool turns_keep_owners(struct turns_turn *turn);
/** Adds a read of the rows of program @p owner, or of the index: "". */
struct load *turns_add_load(struct turns_turn *turn, const char *owner);
/** Ends a read; @p ok is false if the store can't be read. */
void turns_finish_load(struct load *load, bool ok);
/** Reads the rows of program @p owner in a range of keys, as soon as few others
 * are being read; a read that fails is repeated while the store responds. */
struct turns_page *turns_read_page(struct turns *turns, const char *owner,
				   const char *from, const char *to,
				   store_done_fn *done, void *arg);
void turns_cancel_page(struct turns_page *page);
/** Frees a struct load. */
void turns_load_free(gpointer p);
/** Writes the end of the key range of a turn's rows, HEAD_KEY_LEN + 2 bytes;
 * its head row is at the start, "PROGRAM/TURN". */
void turns_rows_end(const char *owner, const char *turn_key, char *end);

#endif
