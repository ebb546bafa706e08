/**
 * @file fleet.h
 * @brief Estimated state of the backend servers, and selection of a server for
 * each request.
 *
 * The estimates come from the platform's list, from the servers' responses and
 * from what this instance has sent. Times are milliseconds of one clock.
 */
#ifndef APS_FLEET_H
#define APS_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** An entry of the platform's list of backend servers. */
struct fleet_entry {
	const char *id;
	const char *service;
	const char *address; /**< HOST:PORT */
	const char *zone;
	const char *version; /**< of its software; NULL: unknown */
	uint32_t slots;	     /**< requests that it runs concurrently */
	bool draining;	     /**< accepts no new requests */
	int64_t cold_ms;     /**< remaining warm-up time */
	int64_t started_ms;  /**< start time by its own clock */
};

struct fleet_server;
struct lview;
/** Closes the idle connections that the caller keeps in fleet_server.idle. */
typedef void fleet_close_idle(struct fleet_server *server);

/** A backend server; counted references keep it after its removal. */
struct fleet_server {
	int refs;
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version; /**< of its software; "": unknown */
	uint32_t slots;
	bool draining;
	bool listed;	 /**< on the platform's list */
	bool evacuated;	 /**< its availability zone is out of service */
	bool going_away; /**< it has announced its shutdown in a response */
	int64_t started_ms;
	int64_t cold_until_ms;
	uint32_t running;	   /**< requests of this instance in progress */
	uint32_t reported_running; /**< by its last load report */
	uint32_t reported_waiting;
	int64_t reported_at_ms; /**< time of that report; 0: none */
	uint32_t running_then;	/**< @ref running at that time */
	int64_t heard_ms;	/**< last byte of a response; 0: none */
	bool replaced;		/**< another server has its address */
	int64_t avoid_until_ms; /**< end of the backoff after a failure */
	uint32_t failures;	/**< consecutive */
	GQueue *send_times;	/**< of the sends of the last second */
	GQueue *idle;		/**< idle connections; owned by the caller */
	double event_gap_ms;	/**< smoothed, of streams; 0: unknown */
	uint32_t load_key;	/**< see lview_key() */
	double fault_rate;	/**< smoothed share of failed requests */
	int64_t fault_rate_ms;	/**< time of the last update */
	fleet_close_idle *close_idle;
};

/** Predicted work of a request at one server, in ms; see decide/cost.h. */
struct fleet_work {
	double prefill_ms;     /**< of what the server has not cached */
	double mean_ms;	       /**< with the prefill */
	double high_ms;	       /**< 90th percentile */
	double outstanding_ms; /**< of this instance's requests there */
};

struct fleet_query;

/** Compares servers by what all instances know of them. */
struct fleet_view_ops {
	/** Returns the speed of a server; 1: as usual. */
	double (*speed)(const struct fleet_query *query,
			const struct fleet_server *server);
	/** Returns the cost of a server; @p wait_ms receives how much of it is
	 * a wait for a slot. */
	double (*cost_ms)(const struct fleet_query *query,
			  const struct fleet_server *server, int64_t now,
			  double *wait_ms);
};

/** Requirements and costs of placing a request; costs are in ms of latency. */
struct fleet_query {
	const char *service;
	const char *zone;	  /**< of this instance */
	const char *version;	  /**< that the server must have, or NULL */
	const char *preferred_id; /**< server that has its state, or NULL */
	uint64_t affinity; /**< equal for requests that share state; or 0 */
	/** Servers are ranked by this, equally on all instances; or 0. */
	uint64_t placement_key;
	/** See fleet_cost.h; NULL: only what this instance has seen itself
	 * counts, and load_view and predict are not used. */
	const struct fleet_view_ops *view_ops;
	const struct lview *load_view;
	/** Predicts the work of the request at a server. */
	void (*predict)(void *arg, const struct fleet_server *server,
			struct fleet_work *work);
	void *predict_arg;
	double affinity_miss_ms; /**< cost of another server than preferred */
	double cross_zone_ms;	 /**< cost of a server in another zone */
	double request_cost_ms;	 /**< cost of each request at the server */
	double events;		 /**< expected stream events; 0: no stream */
	double cold_per_s; /**< requests a second that a cold server can take */
	/** This instance's part of @p units a second of a cold server. */
	uint32_t (*cold_share)(void *arg, const char *server, uint32_t units);
	void *cold_share_arg;
	/** For how long no request may be sent to a server that names a rate
	 * limit, in ms; 0: one may. */
	int64_t (*limit_wait_ms)(void *arg, const char *server);
	void *limit_wait_arg;
	/** For how long a server that refuses requests gets none from here, in
	 * ms; 0: it may get one. NULL: any may. */
	int64_t (*refusal_wait_ms)(void *arg, const char *server);
	void *refusal_wait_arg;
	/** Whether a server may get the request; NULL: each one may. */
	bool (*is_allowed)(void *arg, const struct fleet_server *server);
	void *allowed_arg;
	uint32_t max_conns; /**< connections that a server accepts; 0: any */
	uint32_t instances; /**< that share these limits */
	const GPtrArray *tried; /**< ids of servers to leave out */
};

/** Result of fleet_pick(). */
enum fleet_pick_status {
	FLEET_FOUND,
	FLEET_NO_SERVER,    /**< none is in service */
	FLEET_ALL_TRIED,    /**< all in service have been tried */
	FLEET_ALL_COLD,	    /**< the rest are cold and at their rate limit */
	FLEET_ALL_FULL,	    /**< the rest have no connection left */
	FLEET_ALL_LIMITED,  /**< the rest are at the rate limit they name */
	FLEET_ALL_REFUSING, /**< the rest refuse requests */
};

/** The backend servers of all services. */
struct fleet;

struct fleet *fleet_create(fleet_close_idle *close_idle);
void fleet_destroy(struct fleet *fleet);

/** Applies an entry of the list; returns whether that added the server or
 * changed whether it drains. */
bool fleet_update(struct fleet *fleet, const struct fleet_entry *entry,
		  int64_t now);
/** Removes the server of that id; returns false if there is none. */
bool fleet_remove(struct fleet *fleet, const char *id);
/**
 * Sets the zones that are out of service, the keys of @p zones. Servers of a
 * zone that returns to service count as cold for @p cold_ms.
 */
void fleet_set_evacuated(struct fleet *fleet, GHashTable *zones, int64_t now,
			 int64_t cold_ms);

/** Records which versions are listed, once a change of the list is complete. */
void fleet_observe_versions(struct fleet *fleet, int64_t now);
/** See versions_are_mixed(). */
bool fleet_has_mixed_versions(struct fleet *fleet, const char *service,
			      int64_t window_ms, int64_t now);
/** See versions_need_record(). */
bool fleet_needs_version_record(struct fleet *fleet, const char *service,
				int64_t window_ms, int64_t now);
/** See versions_unrecorded(). */
const char *fleet_unrecorded_version(struct fleet *fleet, const char *service,
				     int64_t window_ms, int64_t now);

/** Returns the listed server of that id, or NULL. */
struct fleet_server *fleet_find(const struct fleet *fleet, const char *id);
/** Whether a server accepts new requests. */
bool fleet_is_in_service(const struct fleet_server *server);
/** Returns the number of listed servers. */
guint fleet_count(const struct fleet *fleet);
/** Calls @p fn for each listed server. */
void fleet_foreach(struct fleet *fleet,
		   void (*fn)(struct fleet_server *, void *), void *arg);

/** Returns the cheapest server for a request, or NULL; @p why: the reason. */
struct fleet_server *fleet_pick(struct fleet *fleet,
				const struct fleet_query *query, int64_t now,
				enum fleet_pick_status *why);

struct fleet_server *fleet_ref(struct fleet_server *server);
void fleet_unref(struct fleet_server *server);
/** Records that a request is sent to @p server. */
void fleet_on_send(struct fleet_server *server, int64_t now);
/** Records that a request at @p server has ended. */
void fleet_on_end(struct fleet_server *server);
/** Records a load report of the server. */
void fleet_on_load_report(struct fleet_server *server, uint32_t running,
			  uint32_t waiting, int64_t now);
/** Records that bytes of a response were received. */
void fleet_on_heard(struct fleet_server *server, int64_t now);
/** Starts or extends the backoff after a connection failed or broke. */
void fleet_on_failure(struct fleet_server *server, int64_t now);
/** Records a response; @p fault: the server itself failed. */
void fleet_on_response(struct fleet_server *server, bool fault, int64_t now);
/** Updates the smoothed time between events from a stream of the server. */
void fleet_update_event_gap(struct fleet_server *server, double gap_ms);
/**
 * Records that a response announced the shutdown of the server that sent it.
 *
 * @param server  to which the request was sent
 * @param is_other the response came from another server at its address
 * @param time_ms time of day, as in fleet_server.started_ms
 * @return whether a listed server was not known to go away
 */
bool fleet_on_going_away(struct fleet *fleet, const struct fleet_server *server,
			 bool is_other, int64_t time_ms);
/** Avoids the server for a while: another id answers at its address, so that
 * this start has ended. */
void fleet_on_replaced(struct fleet_server *server, int64_t now);

#endif
