/**
 * @file catalog.h
 * @brief Configuration: routes, services, client accounts and API keys.
 *
 * A catalog is one version of the operators' configuration. It is built once
 * and immutable from then on; a user that keeps a pointer into it holds a
 * reference.
 */
#ifndef APS_CATALOG_H
#define APS_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** How often a request may be executed. */
enum cat_kind {
	CAT_IDEMPOTENT, /**< any number of times */
	CAT_ONCE,	/**< at most once */
	CAT_STREAM,	/**< a stream of events; see cat_route.resumable */
};

/** A group of backend servers that serve the same requests. */
struct cat_service {
	char *name;
	char *health_path;
	int64_t cold_start_ms; /**< warm-up time of a new server */
	double cold_per_s;     /**< rate limit of a cold server, requests/s */
	uint32_t max_conns;    /**< to one server, from all instances */
	uint32_t stride;    /**< tokens in each event; 0 for plain services */
	uint64_t kv_tokens; /**< memory of a server, in tokens; 0: unknown */
	bool engine;	    /**< a model engine */
};

/** A target of a route, with its weight in the traffic split. */
struct cat_target {
	char *service;
	uint32_t weight;
};

/** A route: matches requests by host and path prefix. */
struct cat_route {
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	enum cat_kind kind;
	int64_t timeout_ms;   /**< to the end of the response */
	int64_t slo_ms;	      /**< latency objective */
	int64_t event_gap_ms; /**< objective for streams; 0: none */
	int64_t retention_ms; /**< of turns in the store */
	uint32_t attempts;    /**< servers that may execute one request */
	uint32_t priority;    /**< 0 is the most urgent */
	bool is_public;	      /**< needs no key */
	bool resumable;	      /**< another server may continue a stream */
	bool retain;	      /**< turns are stored and may be continued */
	GArray *targets;      /**< of struct cat_target */
};

/** A client account. */
struct cat_account {
	char *name;
	double rate;  /**< requests a second; 0: no limit */
	double burst; /**< requests beyond the rate */
	int priority; /**< overrides the route's; -1: not set */
};

/** Size limits and timeouts for callers. */
struct cat_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms; /**< timeout until the end of the header */
	int64_t idle_timeout_ms;   /**< timeout between requests on a connection
				    */
};

/** One version of the configuration. */
struct catalog;

/** Returns an empty catalog with one reference. */
struct catalog *cat_create(int64_t version, const struct cat_limits *limits);
/** Takes another reference. */
struct catalog *cat_ref(struct catalog *catalog);
/** Drops a reference; NULL is allowed. */
void cat_unref(struct catalog *catalog);

/** Adds a service; the catalog owns the strings of @p service. */
void cat_add_service(struct catalog *catalog,
		     const struct cat_service *service);
/** Adds a route; the catalog owns its strings and targets. */
void cat_add_route(struct catalog *catalog, const struct cat_route *route);
/** Sets that requests need the key of an account: the configuration has a list
 * of accounts, which may be empty. */
void cat_require_keys(struct catalog *catalog);
/** Adds an account; the catalog owns its name. Returns the stored account, for
 * @ref cat_add_key. */
struct cat_account *cat_add_account(struct catalog *catalog,
				    const struct cat_account *account);
/** Adds an API key of @p account. */
void cat_add_key(struct catalog *catalog, const char *key,
		 struct cat_account *account);
/** Sorts the routes after the last one was added; immutable from here on. */
void cat_seal(struct catalog *catalog);

/** Returns the version of the configuration. */
int64_t cat_version(const struct catalog *catalog);
/**
 * Whether the memory of all engines is known, and none limits the rate of
 * servers that are cold: work may then be concentrated on some of the servers
 * and moved to others at any time.
 */
bool cat_has_warm_engines(const struct catalog *catalog);
/** Returns the limits for callers. */
const struct cat_limits *cat_limits(const struct catalog *catalog);
/** Whether requests need the key of an account, but on public routes. */
bool cat_requires_keys(const struct catalog *catalog);
/** Returns the route of @p host with the longest prefix of @p path, or NULL.
 * The query in @p path and the port in @p host are ignored. */
const struct cat_route *cat_find_route(const struct catalog *catalog,
				       const char *host, const char *path);
/** Returns the account of @p key, or NULL. */
const struct cat_account *cat_find_key(const struct catalog *catalog,
				       const char *key);
/** Returns the account of that name, or NULL. */
const struct cat_account *cat_find_account(const struct catalog *catalog,
					   const char *name);
/** Returns the service of that name, or NULL. */
const struct cat_service *cat_find_service(const struct catalog *catalog,
					   const char *name);
/** Returns the service for a request; @p hash is split by weight. */
const struct cat_service *cat_choose_service(const struct catalog *catalog,
					     const struct cat_route *route,
					     uint64_t hash);

/** Calls @p fn for each account. */
void cat_foreach_account(const struct catalog *catalog,
			 void (*fn)(const struct cat_account *, void *),
			 void *arg);
/** Calls @p fn for each route. */
void cat_foreach_route(const struct catalog *catalog,
		       void (*fn)(const struct cat_route *, void *), void *arg);
/** Returns the number of keys that @p account has in @p catalog, but not in
 * @p other, which may be NULL. */
guint cat_count_missing_keys(const struct catalog *catalog,
			     const struct catalog *other,
			     const struct cat_account *account);

#endif
