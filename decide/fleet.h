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
struct fleet_entry {
	const char *id;
	const char *service;
	const char *address; /**< HOST:PORT */
	const char *zone;
	uint32_t slots;	    /**< requests that it runs at once */
	bool draining;	    /**< takes nothing new */
	int64_t cold_ms;    /**< how much longer it stays cold */
	int64_t started_ms; /**< time of its start, by its own clock */
};

struct fleet_server;
/** Frees what the caller keeps in fleet_server.idle. */
typedef void fleet_close_idle(struct fleet_server *server);

/** A backend server; references keep it past its removal from the list. */
struct fleet_server {
	int refs;
	char *id;
	char *service;
	char *address;
	char *zone;
	uint32_t slots;
	bool draining;
	bool listed;	/**< still on the platform's list */
	bool evacuated; /**< its zone takes nothing new */
	int64_t started_ms;
	int64_t cold_until;
	uint32_t running;	   /**< sent by this instance, not yet ended */
	uint32_t reported_running; /**< its own last word on its load */
	uint32_t reported_waiting;
	int64_t reported_at_ms; /**< when it said so */
	uint32_t told_own;	/**< @ref running at that moment */
	int64_t avoid_until;	/**< after a failure: not before this time */
	uint32_t failures;	/**< in a row */
	GQueue *sends;		/**< times of the sends of the last second */
	GQueue *idle;		/**< kept connections; owned by the caller */
	double gap_ms;	   /**< between two events of a stream, smoothed; 0:
			      none has been seen */
	double faults;	   /**< share of requests that failed, smoothed */
	int64_t faults_at; /**< it fades from this time on */
	fleet_close_idle *drop;
};

/** What a request needs of a backend server. */
struct fleet_query {
	const char *service;
	const char *zone;	  /**< of this instance */
	const char *preferred_id; /**< id of the server to prefer, or NULL */
	uint64_t affinity;	  /**< equal for requests that share state; 0 */
	double affinity_miss_ms;  /**< what missing that state costs */
	double cross_zone_ms;	  /**< what leaving the zone costs */
	double request_cost_ms;	  /**< what one request ahead of it costs */
	double events;	    /**< that its stream will have; 0: no stream */
	double cold_per_s;  /**< requests a second that a cold server bears */
	uint32_t max_conns; /**< connections that a server accepts */
	uint32_t instances; /**< that share these limits */
	const GPtrArray *tried; /**< ids of servers to leave out */
};

/** Why no server was found. */
enum fleet_pick_status {
	FLEET_FOUND,
	FLEET_NO_SERVER, /**< none is listed, ready and in service */
	FLEET_ALL_TRIED, /**< those there are have been tried */
	FLEET_ALL_COLD,	 /**< those there are can't bear more this second */
	FLEET_ALL_FULL,	 /**< those there are have no place left */
};

/** The backend servers of all services. */
struct fleet;

struct fleet *fleet_create(fleet_close_idle *drop);
void fleet_destroy(struct fleet *fleet);

/** Takes an entry of the list in; returns true if it changed a belief. */
bool fleet_update(struct fleet *fleet, const struct fleet_entry *entry,
		  int64_t now);
/** Takes the server of that id off the list. */
bool fleet_remove(struct fleet *fleet, const char *id);
/** Takes all servers off the list whose ids are not in @p ids. */
void fleet_remove_unlisted(struct fleet *fleet, GHashTable *ids);
/**
 * Says which zones are taken out; @p zones holds their names as keys. Servers
 * of a zone that comes back count as cold for @p cold_ms.
 */
void fleet_set_evacuated(struct fleet *fleet, GHashTable *zones, int64_t now,
			 int64_t cold_ms);

/** How many servers are listed. */
guint fleet_count(const struct fleet *fleet);
/** Calls @p fn for each listed server. */
void fleet_foreach(struct fleet *fleet,
		   void (*fn)(struct fleet_server *, void *), void *arg);

/** Chooses the server for a request, or NULL; @p why says why not. */
struct fleet_server *fleet_pick(struct fleet *fleet,
				const struct fleet_query *query, int64_t now,
				enum fleet_pick_status *why);

struct fleet_server *fleet_ref(struct fleet_server *server);
void fleet_unref(struct fleet_server *server);
/** A request goes to @p server now. */
void fleet_on_send(struct fleet_server *server, int64_t now);
/** A request at @p server has ended. */
void fleet_on_end(struct fleet_server *server);
/** The server's own word on its load. */
void fleet_on_load_report(struct fleet_server *server, uint32_t running,
			  uint32_t waiting, int64_t now);
/** A connection to @p server failed or broke. */
void fleet_on_failure(struct fleet_server *server, int64_t now);
/** The server answered; @p fault: with a failure of its own. */
void fleet_on_response(struct fleet_server *server, bool fault, int64_t now);
/** A stream of the server came with this time between two events. */
void fleet_on_stream_end(struct fleet_server *server, double gap_ms);
/** The server at that address has another id. */
void fleet_on_replaced(struct fleet_server *server, int64_t now);

#endif
