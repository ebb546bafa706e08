/**
 * @file copies_int.h
 * @brief Internal interface between the copies*.c files.
 *
 * copies.c keeps copies and sends them to other instances; copies_find.c asks
 * other instances for theirs; copies_link.c is a connection between two.
 */
#ifndef APS_COPIES_INT_H
#define APS_COPIES_INT_H

#include <urcu/list.h>

#include "copies.h"
#include "copies_link.h"

enum {
	/** Bytes of text in one reply. */
	COPIES_TEXT_BYTES = 262144,
};

struct copies {
	struct copies_config config;
	struct mem_holder held;
	struct scopy *scopy;
	GHashTable *peers;	       /* id -> struct copies_peer */
	struct cds_list_head accepted; /* of struct copies_peer */
	struct cds_list_head streams;  /* passed on by this instance */
	struct cds_list_head searches;
	struct event *timer;
	uint32_t last_serial; /* of a search */
};

/** Another instance to which there is a connection. */
struct copies_peer {
	struct cds_list_head node; /* in copies.accepted */
	struct copies *copies;
	char *id;      /* NULL: it has connected to this instance */
	char *address; /* as the connection was made */
	struct clink *link;
	GHashTable *held;     /* number -> struct scopy_stream, kept for it */
	uint32_t last_number; /* of a stream that is sent to it */
	int64_t used_ms;
	int64_t failed_ms; /* when the connection last ended; 0: never */
};

struct copies_stream {
	struct cds_list_head node;
	struct copies *copies;
	struct scopy_stream *copy;
	struct copies_peer *holder; /* NULL: none */
	uint32_t number;	    /* on that connection */
	guint sent;		    /* events that the holder has been sent */
	bool end_sent;
};

/** An instance that is asked. */
struct copies_asked {
	char *id;
	bool waits;	  /* for its answer */
	guint tries;	  /* since the last one */
	GByteArray *text; /* of the parts that have come */
};

struct copies_search {
	struct cds_list_head node;
	struct copies *copies;
	uint32_t serial;
	struct scopy_id stream;
	struct scopy_id attempt;
	bool has_attempt;
	int64_t after_event;
	copies_found_fn *fn;
	void *arg;
	int64_t started_ms;
	int64_t found_ms; /* when the first copy was found; 0: not yet */
	GPtrArray *asked; /* of struct copies_asked */
	struct scopy_found found;
	char *holder; /* that knew most */
	struct event *timer;
};

/** The other instances, as the decisions need them. */
struct copies_peers {
	GArray *peers; /* of struct scopy_peer */
	GPtrArray *ids;
	GPtrArray *addresses;
};

/** Lists the other instances; the strings are valid until the next event. */
void copies_list_peers(const struct copies *copies, struct copies_peers *peers);
void copies_free_peers(struct copies_peers *peers);
/** Returns the connection to an instance, which it opens if need be; NULL if
 * that takes no copies. */
struct copies_peer *copies_connect(struct copies *copies, const char *id,
				   const char *address);
/** Answers what another instance asks. */
void copies_answer(struct copies_peer *peer, const Rows__CopyQuery *query);
/** Handles the answer of @p peer. */
void copies_on_reply(struct copies_peer *peer, const Rows__CopyReply *reply);
/** The connection to @p peer has ended. */
void copies_on_peer_lost(struct copies *copies, const char *id);
/** Reads a hash from a message; returns false if it is none. */
bool copies_read_id(struct scopy_id *id, const ProtobufCBinaryData *data);
/** Refers to a hash in a message. */
void copies_write_id(ProtobufCBinaryData *data, const struct scopy_id *id);

#endif
