/**
 * @file rig3.h
 * @brief Runs gateway processes between a store, servers and clients.
 *
 * The gateways are the program of the deploy file, one process each, on a
 * loopback address of its own. The store is the project's stand-in, in a thread
 * of this process. Servers and clients are blocking sockets: a thread for each
 * channel of a server, and the callers' threads for clients.
 */
#ifndef APS_REVIEW_RIG3_H
#define APS_REVIEW_RIG3_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	RIG_GATEWAYS_MAX = 4,
	RIG_TEXT_MAX = 65536,
	RIG_ID_MAX = 64,
	/* Exit status of a case. */
	RIG_HELD = 0,
	RIG_BROKEN = 1,
	RIG_NOT_RUN = 2,
};

/** A request as a server has received it. */
struct rig_request {
	char method[16];
	char path[256];
	char head[16384]; /**< the header, with its field names */
	char body[RIG_TEXT_MAX];
	size_t body_len;
	char id[RIG_ID_MAX]; /**< Request-Id */
};

struct rig_server;

/** Answers a request on @p fd; returns false to close the channel. */
typedef bool rig_handler(struct rig_server *server,
			 const struct rig_request *request, int fd);

/** A backend server. */
struct rig_server {
	char id[RIG_ID_MAX];
	const char *service;
	const char *version;
	char address[32];
	rig_handler *handler;
	int listener;
	int64_t born_ms;
	int sequence;
};

/** What a client has got. */
struct rig_answer {
	int status; /**< 0: no answer */
	bool whole; /**< it ended as the protocol says */
	char head[8192];
	char body[RIG_TEXT_MAX]; /**< without chunks */
	size_t body_len;
};

/** Starts the store, and the record of the case in the file @p record. */
void rig_start(const char *record);
/** Writes a line to record.txt. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends all processes and exits with @p status. */
void rig_finish(int status, const char *why) __attribute__((noreturn));
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);

void rig_store_put(const char *table, const char *key, const char *value);
/** Lets each call take @p ms longer. */
void rig_store_delay(int64_t ms);
/** Lets the store answer 503 to every call, or no longer. */
void rig_store_refuse(bool refuse);
/** Returns how many rows a table has. */
unsigned int rig_store_rows(const char *table);

/** Starts a server, and its entry in the store's list. */
void rig_server_start(struct rig_server *server, const char *id,
		      const char *service, const char *version,
		      rig_handler *handler);
/** Copies a field of a header; returns false if there is none. */
bool rig_field(const char *head, const char *name, char *out, size_t size);
/** Writes text to a channel; returns false if that is closed. */
bool rig_write(int fd, const char *text, size_t len);
/** Begins a stream, sends an event of it, and ends it. */
bool rig_stream_begin(int fd, const struct rig_request *request);
bool rig_stream_event(int fd, int id, const char *data);
bool rig_stream_end(int fd);

/** Sets the memory of the machines; 290 MB otherwise. */
void rig_set_memory_mb(int mb);
/** Returns the resident memory of gateway @p i, in KB. */
long rig_gateway_memory_kb(int i);
/** Starts gateway @p i and waits until it is ready. */
void rig_gateway_start(int i);
void rig_gateway_signal(int i, int signal);
/** Waits until gateway @p i has ended. */
void rig_gateway_wait(int i);

/** Opens a channel to a gateway; returns -1 if that fails. */
int rig_open(int gateway);
/** Sends a POST with further header fields, each ended by CR LF. */
bool rig_post(int fd, const char *path, const char *id, const char *fields,
	      const char *body);
/** Reads an answer, for @p ms at most. */
void rig_read(int fd, struct rig_answer *answer, int64_t ms);
/** Reads an answer until @p text is in its body. Returns false if that does not
 * come. The rest of the answer can be read by rig_read(). */
bool rig_read_until(int fd, struct rig_answer *answer, const char *text,
		    int64_t ms);
/** Closes a channel with a reset. */
void rig_reset(int fd);

/** Whether the disruption is left out: TROUBLE=0. */
bool rig_is_calm(void);

#endif
