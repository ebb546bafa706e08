/**
 * @file rig.h
 * @brief Test rig of the review: stand-ins for the platform, the servers and
 * the clients in one process; the gateways are separate processes.
 *
 * All addresses are on 127.0.0.1, on ports that were free at the start. Times
 * are milliseconds of CLOCK_BOOTTIME since the rig was created.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <http_parser.h>

#include "serve/upstream.h"
#include "test/standins/rowstore.h"

enum {
	RIG_GATEWAYS_MAX = 12,
	RIG_HELD = 0,	 /**< exit status: the rule held */
	RIG_BROKEN = 1,	 /**< the rule was broken */
	RIG_NOT_RUN = 2, /**< the case could not run */
};

/** A gateway process. */
struct rig_gateway {
	pid_t pid; /**< 0: not running */
	char *settings_path;
	char *callers;
	char *ready;
};

/** The platform and the process that plays it. */
struct rig {
	struct event_base *base;
	struct upstream *upstream; /**< HTTP client of the clients */
	struct rowstore *store;
	char *dir; /**< temporary folder */
	FILE *record;
	int64_t started_ms;
	bool trouble;
	const char *zone;	/**< of the gateways */
	const char *other_zone; /**< of those with odd numbers, or NULL */
	int n_gateways;
	struct rig_gateway gateways[RIG_GATEWAYS_MAX];
	int next_id;
};

extern struct rig rig;

/** Starts the store. @p argv: the path of record.txt, a temporary folder. */
void rig_create(int argc, char **argv);
/** Ends all processes, closes the record; returns @p status. */
int rig_finish(int status);
/** Writes a line to the record, with the time. */
void rig_log(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Ends the case with RIG_NOT_RUN. */
void rig_cannot_run(const char *why) G_GNUC_NORETURN;
int64_t rig_now_ms(void);
/** Runs the event loop for @p ms. */
void rig_run(int64_t ms);
/** Runs the event loop until @p flag is set, @p ms at most; returns *flag. */
bool rig_run_until(const bool *flag, int64_t ms);
/** A free address, HOST:PORT. */
char *rig_free_address(void);

/** Writes op/config. */
void rig_put_config(const char *json);
struct rig_server;
/** Writes a ready server's entry; @p cold_ms is its cold_left_ms. */
void rig_put_server(const struct rig_server *server, int64_t cold_ms);

/** Starts gateway @p i. */
void rig_start_gateway(int i);
void rig_kill_gateway(int i);
/** Starts @p n gateways and waits until they are ready for 3.5 s, which is
 * more than contact_ms. */
void rig_start_gateways(int n);
bool rig_is_ready(int i);
void rig_wait_until_ready(int i);

/** A request of a client, or its answer. */
struct rig_call {
	char id[20];
	int gateway;
	bool done;
	bool whole; /**< a complete answer was received */
	int status; /**< 0: no answer */
	GString *body;
	bool is_signed;
	int64_t sent_ms;
	int64_t done_ms;
	struct upstream_call *call;
	struct event *timer;
	GQueue idle; /**< this call's channel, unless it has another pool */
	void (*on_done)(struct rig_call *call);
	void *arg;
};

/**
 * Sends a request with a new Request-Id.
 *
 * @param idle   pool of kept channels, or NULL: a new channel
 * @param header header lines, without Host, Request-Id and Deadline-Ms
 */
void rig_send(struct rig_call *call, int gateway, GQueue *idle,
	      const char *method, const char *path, const char *header,
	      const void *body, size_t len, int64_t deadline_ms);
/** Cancels the call, if need be, and frees its parts. */
void rig_call_clear(struct rig_call *call);

/** One channel to a server. */
struct rig_conn {
	struct rig_server *server;
	struct bufferevent *bev;
	http_parser parser;
	GArray *headers;
	GString *target;
	GByteArray *body;
	bool complete;
	bool busy;   /**< a request is at work or waits */
	void *state; /**< of the case */
	struct event *timer;
};

struct rig_server {
	char *id;
	char *service;
	char *zone;
	char *address;
	int64_t born_ms;  /**< time of day */
	GPtrArray *conns; /**< open channels */
	struct evconnlistener *listener;
	int slots;
	int running;
	/** A request was read; the case answers it on conn->bev and then calls
	 * rig_conn_next(). */
	void (*on_request)(struct rig_conn *conn);
	/** The channel was closed by the gateway. */
	void (*on_close)(struct rig_conn *conn);
	void *arg;
};

/** Starts a server in the zone @p zone, and writes its entry. */
struct rig_server *rig_server_create(const char *id, const char *service,
				     const char *zone, int slots,
				     int64_t cold_ms);
/** The server crashes: its channels are reset, its entry stays. */
void rig_server_crash(struct rig_server *server);
/** The entry of a server expires. */
void rig_remove_entry(const struct rig_server *server);
/** Goes on to the next request of the channel. */
void rig_conn_next(struct rig_conn *conn);
const char *rig_header(const struct rig_conn *conn, const char *name);
/** Writes an answer with a length. */
void rig_answer(struct rig_conn *conn, int status, const char *header,
		const void *body, size_t len);

/** A request that a server began to work on. */
struct rig_run_record {
	char *id;
	const char *server;
	char *target;
	GByteArray *body;
	int64_t at_ms;
};
/** Records that the request of @p conn has begun to run. */
void rig_note_run(const struct rig_conn *conn);
/** All of these, oldest first: of struct rig_run_record. */
extern GPtrArray *rig_runs;
/** How often the request @p id has run. */
guint rig_count_runs(const char *id);

/** For rig_server.on_close of servers that use rig_stream(). */
void rig_stream_close(struct rig_conn *conn);
/** Answers a turn with a stream of @p events events, one each @p gap_ms. */
void rig_stream(struct rig_conn *conn, int events, int gap_ms);

#endif
