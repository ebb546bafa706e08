/**
 * @file program.h
 * @brief One program's state, its row in the table and its history.
 */
#ifndef APS_PROGRAM_H
#define APS_PROGRAM_H

#include <urcu/list.h>

#include "node_int.h"

enum {
	/** Turns kept in the row; older ones move to an object. */
	PROGRAM_TAIL_TURNS_MAX = 8,
	/** Turns that move to an object at once. */
	PROGRAM_SEGMENT_TURNS = 6,
};

/** A server that may hold memory for a program. */
struct program_server {
	char *name;
	uint64_t incarnation; /**< 0 if unknown */
	bool ordered;	      /**< a release is under way */
	int64_t due_ms;	      /**< of the next release order */
	struct program *program;
};

/** A program at its owner. */
struct program {
	char *id; /**< account and name: unique across accounts */
	struct owner *owner;
	int shard;
	char *account;
	char *parent;
	uint32_t next_turn;
	uint64_t budget; /**< tokens */
	uint64_t used;	 /**< tokens, settled */
	bool ended;
	char *end_reason;
	bool transient;
	bool stored;		    /**< its row is durable, or about to be */
	GPtrArray *records;	    /**< Aps__TurnRecord, oldest first */
	GPtrArray *segments;	    /**< names of objects with older turns */
	uint32_t missing;	    /**< segments not read yet */
	GPtrArray *servers;	    /**< struct program_server */
	GPtrArray *children;	    /**< Aps__Child */
	Aps__Started *started;	    /**< a run without a recorded outcome */
	struct cds_list_head turns; /**< struct turn, by number */
	int64_t move_due_ms; /**< of the next ask for a parent's budget */
	bool escrow;	     /**< started is for a turn that has not come yet */
	bool budgeted;	     /**< its budget is its own */
	uint32_t pending;    /**< writes and reads that refer to it */
	bool reading;	     /**< a segment is being read */
	char *moving;	     /**< name of a segment being stored, or NULL */
	int64_t last_used_ms;
	int64_t ended_ms;
	uint64_t history_tokens; /**< tokens of the history, as the engine said
				  */
};

/** Creates a program that has had no turn. */
struct program *program_create(const char *id, const char *account);

/** Frees a program without turns; NULL is allowed. */
void program_destroy(struct program *program);

/** Reads a program from its row. @return NULL if the row is malformed */
struct program *program_unpack_row(const uint8_t *buf, size_t len);

/** Returns the row as bytes; g_free() it. */
uint8_t *program_pack_row(const struct program *program, size_t *len);

/** Returns the key of the row; g_free() it. */
char *program_row_key(const struct program *program);

/** Returns the record of @p turn if it is in memory, or NULL. */
const Aps__TurnRecord *program_find_record(const struct program *program,
					   uint32_t turn);

/** Appends the record of the next turn. */
void program_append_record(struct program *program, const Aps__Request *request,
			   const Aps__Outcome *outcome);

/** Returns the prompt for @p body after the whole history. */
GByteArray *program_build_prompt(const struct program *program,
				 const Aps__Request *request);

/** Notes that @p server may hold memory for the program. */
void program_add_server(struct program *program, const char *server,
			uint64_t incarnation);

/** Returns whether there are turns to move into an object. */
bool program_has_segment_due(const struct program *program);

/** Returns the oldest turns of the row as an object; g_free() both. */
uint8_t *program_pack_segment(const struct program *program, char **name,
			      size_t *len);

/** The object is stored: its turns leave the row. */
void program_segment_stored(struct program *program, const char *name);

/** Takes up the newest segment that was missing. */
bool program_load_segment(struct program *program, const uint8_t *buf,
			  size_t len);

#endif
