/**
 * @file fleet.h
 * @brief What this instance believes of the backend servers, and which of them
 * takes a request.
 *
 * Beliefs come from the platform's list, from the servers' own answers and
 * from what this instance has sent. Times are milliseconds of one clock.
 */
#ifndef APS_FLEET_H
#define APS_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** One entry of the platform's list of backend servers. */
struct flt_entry {
	const char *id;
	const char *service;
	const char *address; /**< HOST:PORT */
	const char *zone;
	uint32_t slots;	 /**< requests that it runs at once */
	bool draining;	 /**< takes nothing new */
	int64_t cold_ms; /**< how much longer it stays cold */
	int64_t born_ms; /**< time of its start, by its own clock */
};

struct flt_server;
/** Frees what the caller keeps in flt_server.idle. */
typedef void flt_drop_idle(struct flt_server *server);

/** A backend server; references keep it past its removal from the list. */
struct flt_server {
	int refs;
	char *id;
	char *service;
	char *address;
	char *zone;
	uint32_t slots;
	bool draining;
	bool listed;	/**< still on the platform's list */
	bool evacuated; /**< its zone takes nothing new */
	int64_t born_ms;
	int64_t cold_until;
	uint32_t running;      /**< sent by this instance, not yet ended */
	uint32_t told_running; /**< its own last word on its load */
	uint32_t told_waiting;
	int64_t told_at;     /**< when it said so */
	uint32_t told_own;   /**< @ref running at that moment */
	int64_t avoid_until; /**< after a failure: not before this time */
	uint32_t failures;   /**< in a row */
	GQueue *sends;	     /**< times of the sends of the last second */
	GQueue *idle;	     /**< kept connections; owned by the caller */
	double gap_ms;	     /**< between two events of a stream, smoothed; 0:
				none has been seen */
	double faults;	     /**< share of requests that failed, smoothed */
	int64_t faults_at;   /**< it fades from this time on */
	flt_drop_idle *drop;
};

/** What a request needs of a backend server. */
struct flt_query {
	const char *service;
	const char *zone;   /**< of this instance */
	const char *sticky; /**< id of the server to prefer, or NULL */
	uint64_t affinity;  /**< equal for requests that share state; 0 */
	double affinity_ms; /**< what missing that state costs */
	double away_ms;	    /**< what leaving the zone costs */
	double work_ms;	    /**< what one request ahead of it costs */
	double events;	    /**< that its stream will have; 0: no stream */
	double cold_per_s;  /**< requests a second that a cold server bears */
	uint32_t max_conns; /**< connections that a server accepts */
	uint32_t instances; /**< that share these limits */
	const GPtrArray *tried; /**< ids of servers to leave out */
};

/** Why no server was found. */
enum flt_none {
	FLT_FOUND,
	FLT_NO_SERVER, /**< none is listed, ready and in service */
	FLT_ALL_TRIED, /**< those there are have been tried */
	FLT_ALL_COLD,  /**< those there are can't bear more this second */
	FLT_ALL_FULL,  /**< those there are have no place left */
};

/** The backend servers of all services. */
struct flt;

struct flt *flt_create(flt_drop_idle *drop);
void flt_destroy(struct flt *flt);

/** Takes an entry of the list in; returns true if it changed a belief. */
bool flt_put(struct flt *flt, const struct flt_entry *entry, int64_t now);
/** Takes the server of that id off the list. */
bool flt_remove(struct flt *flt, const char *id);
/** Takes all servers off the list whose ids are not in @p ids. */
void flt_keep_only(struct flt *flt, GHashTable *ids);
/**
 * Says which zones are taken out; @p zones holds their names as keys. Servers
 * of a zone that comes back count as cold for @p cold_ms.
 */
void flt_evacuate(struct flt *flt, GHashTable *zones, int64_t now,
		  int64_t cold_ms);

/** How many servers are listed. */
guint flt_count(const struct flt *flt);
/** Calls @p fn for each listed server. */
void flt_foreach(struct flt *flt, void (*fn)(struct flt_server *, void *),
		 void *arg);

/** Chooses the server for a request, or NULL; @p why says why not. */
struct flt_server *flt_pick(struct flt *flt, const struct flt_query *query,
			    int64_t now, enum flt_none *why);

struct flt_server *flt_ref(struct flt_server *server);
void flt_unref(struct flt_server *server);
/** A request goes to @p server now. */
void flt_sent(struct flt_server *server, int64_t now);
/** A request at @p server has ended. */
void flt_ended(struct flt_server *server);
/** The server's own word on its load. */
void flt_told(struct flt_server *server, uint32_t running, uint32_t waiting,
	      int64_t now);
/** A connection to @p server failed or broke. */
void flt_failed(struct flt_server *server, int64_t now);
/** The server answered; @p fault: with a failure of its own. */
void flt_answered(struct flt_server *server, bool fault, int64_t now);
/** A stream of the server came with this time between two events. */
void flt_paced(struct flt_server *server, double gap_ms);
/** The server at that address has another id. */
void flt_replaced(struct flt_server *server, int64_t now);

#endif
