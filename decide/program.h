/**
 * @file program.h
 * @brief State of a program, its row in the table and its history.
 */
#ifndef APS_PROGRAM_H
#define APS_PROGRAM_H

#include <urcu/list.h>

#include "node_int.h"

enum {
	/** Maximum number of turns in the row; older ones go to segments. */
	PROGRAM_TAIL_TURNS_MAX = 8,
	/** Number of turns in a segment, stored as one object. */
	PROGRAM_SEGMENT_TURNS = 6,
};

/** A backend server that may hold memory for a program. */
struct program_server {
	char *name;
	uint64_t incarnation;	/**< 0 if unknown */
	bool releasing;		/**< a release request is in flight */
	int64_t release_due_ms; /**< time of the next release request */
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
	uint64_t used;	 /**< tokens used or given to children */
	bool ended;
	char *end_reason;
	bool transient;
	bool stored;		    /**< its row is written or queued to be */
	GPtrArray *records;	    /**< Aps__TurnRecord, oldest first */
	GPtrArray *segments;	    /**< object names of older turns */
	uint32_t unread_segments;   /**< number of segments not read yet */
	GPtrArray *servers;	    /**< struct program_server */
	GPtrArray *children;	    /**< Aps__Child */
	Aps__Started *started;	    /**< run without a recorded outcome */
	struct cds_list_head turns; /**< struct turn, by number */
	int64_t budget_due_ms;	    /**< time of the next budget request */
	bool prestarted;       /**< started is for a turn not yet received */
	bool has_budget;       /**< no grant of a parent is awaited */
	uint32_t pending_io;   /**< I/O in flight that refers to the program */
	bool reading_segment;  /**< a segment is being read */
	char *storing_segment; /**< name of the segment being stored */
	int64_t last_used_ms;
	int64_t ended_ms;
	uint64_t history_tokens; /**< tokens, per the model engine */
};

/** Creates a program with no turns. */
struct program *program_create(const char *id, const char *account);

/** Frees a program that has no turns left; NULL is allowed. */
void program_destroy(struct program *program);

/** Creates a program from its row. @return NULL if the row is malformed */
struct program *program_unpack_row(const uint8_t *buf, size_t len);

/** Returns the serialized row; g_free() it. */
uint8_t *program_pack_row(const struct program *program, size_t *len);

/** Returns the key of the row; g_free() it. */
char *program_row_key(const struct program *program);

/** Returns the record of @p turn if it is in memory, or NULL. */
const Aps__TurnRecord *program_find_record(const struct program *program,
					   uint32_t turn);

/** Appends the record of the next turn. */
void program_append_record(struct program *program, const Aps__Request *request,
			   const Aps__Outcome *outcome);

/** Returns the prompt: the history, for a model, and the request's body. */
GByteArray *program_build_prompt(const struct program *program,
				 const Aps__Request *request);

/** Records that @p server may hold memory for the program. */
void program_add_server(struct program *program, const char *server,
			uint64_t incarnation);

/** Returns whether a segment should be stored now. */
bool program_has_segment_due(const struct program *program);

/** Returns the oldest turns of the row as a segment; g_free() both. */
uint8_t *program_pack_segment(const struct program *program, char **name,
			      size_t *len);

/** Records that a segment is stored: its turns are removed from the row. */
void program_segment_stored(struct program *program, const char *name);

/** Adds the newest unread segment. @return false if it is malformed */
bool program_load_segment(struct program *program, const uint8_t *buf,
			  size_t len);

#endif
