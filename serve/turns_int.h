/**
 * @file turns_int.h
 * @brief What the files of turns and the sweeper share; nobody else includes
 * it.
 *
 * turns.c decides about turns, turns_write.c puts their rows together and
 * turns_load.c reads history.
 */
#ifndef APS_TURNS_INT_H
#define APS_TURNS_INT_H

#include <urcu/list.h>

#include "decide/budget.h"
#include "decide/history.h"
#include "turns.h"

/** Budget rows, and the rows of turns. */
#define PROGRAMS_TABLE "aps-programs"
/** From a turn to its program. */
#define TURNS_TABLE "aps-turns"
/** Until when the rows of a program are kept. */
#define EXPIRY_TABLE "aps-expiry"

enum {
	/** Parts of one account's programs, a hex digit. Each commits one
	 * transaction after another: while the store is tens of times slower
	 * a part for all accounts would not carry them. */
	PARTS = 16,
	ACCOUNT_DIGITS = 4, /**< of a program's key, equal for its account */
	PART_LEN = 1 + ACCOUNT_DIGITS + 1 + 1,
	KEY_BYTES = 16, /**< of a hash */
	KEY_LEN = 2 * KEY_BYTES + 1,
	HEAD_KEY_LEN = 2 * (KEY_LEN - 1) + 1, /**< "PROGRAM/TURN" */
	/** Rows of a program stay at least so long, in ms: where a route says
	 * nothing, a program without history may still come back. */
	KEEP_LEAST_MS = 600000,
};

/** What another incarnation may hand out. */
struct cap {
	uint64_t incarnation;
	uint32_t tokens;
};

/** The rows of one program, as they are known here. */
struct program {
	struct turns *turns;
	char key[KEY_LEN];
	char part[PART_LEN];
	struct bgt bgt;
	int64_t version; /* of the budget row; 0: there is none */
	int64_t read_at; /* when the row was last known to be current */
	GArray *others;	 /* of struct cap */
	struct cds_list_head active_turns;
	struct rst_call *write;
	struct rst_call *read;
	uint64_t writing_cap;
	bool writing_row;
	int64_t writing_expiry;
	int64_t expires_at; /* by the store's clock; 0: not known here */
	int64_t write_began;
	struct event *retry;
	int64_t retry_ms;
	int64_t used_at;
};

/** All programs at hand. */
struct turns {
	struct event_base *base;
	struct rst *store;
	uint64_t incarnation;
	GHashTable *programs;
	struct hst *history;
	struct event *sweep;
};

/** How far the history of a turn has been looked for. */
enum load_state {
	LOAD_NONE,
	LOAD_PROGRAM, /* the rows of its own program are being read */
	LOAD_SEARCH,  /* the index of each part is being read */
	LOAD_OWNER,   /* the rows of another program are being read */
	LOAD_DONE,
};

/** A text whose rows are being read. */
struct partial;

/** One read under way. */
struct load {
	struct turns_turn *turn;
	struct rst_call *call;
	struct partial *partial;
	char owner[KEY_LEN]; /* whose rows are read; "" for the index */
};

/** One turn under way. */
struct turns_turn {
	struct cds_list_head node;
	struct program *program;
	char key[KEY_LEN];
	char previous[KEY_LEN];
	uint64_t budget;
	uint64_t most;
	int64_t retention_ms;
	int64_t began;
	const struct turns_handler *handler;
	void *arg;
	GByteArray *history;
	bool foreign; /* the history is another program's, or in part */
	enum load_state load;
	GPtrArray *loads; /* of struct load */
	bool load_failed;
	char found[KEY_LEN]; /* owner that the index named */
	char missing[KEY_LEN];
	int rounds;
	bool decided;
	bool waiting; /* for a raise of the cap */
	bool opened;
	bool granted;
	bool closed;
	GBytes *text;	      /* to be kept */
	uint32_t pieces_kept; /* rows of it that the store has */
	uint32_t pieces_sent; /* those, and what is under way */
	bool writing;	      /* in the transaction under way */
	bool kept;
};

/** The part that holds the rows of a program: PART_LEN bytes. */
void turns_program_part(const char *key, char *part);
/** The part of number @p i, below PARTS, of the account of a program. */
void turns_account_part(const char *key, int i, char *part);
/** Decides about a turn, as far as that is possible now. */
void turns_advance(struct turns_turn *turn);
/** Tells the caller; the turn may be gone afterwards. */
void turns_report_verdict(struct turns_turn *turn, enum turns_verdict what);
/** Takes the budget row in; NULL: there is none. */
void turns_apply_budget_row(struct program *program, GBytes *value,
			    int64_t version, int64_t sent_at);

/** Puts what a program has to write into one transaction, and the cap. */
struct rst_tx *turns_build_tx(struct program *program, uint64_t cap);

/** Looks for a turn's history; returns true once it is at hand. */
bool turns_load_history(struct turns_turn *turn);
/** Ends all reads of a turn. */
void turns_cancel_loads(struct turns_turn *turn);
/** Frees a struct load. */
void turns_load_free(gpointer p);

#endif
