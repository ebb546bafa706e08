/**
 * @file catalog.h
 * @brief What the operators declared: routes, services, accounts and keys.
 *
 * A catalog is one version of the configuration. It is built once, then only
 * read; whoever keeps a pointer into it holds a reference.
 */
#ifndef APS_CATALOG_H
#define APS_CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** How often a request may run. */
enum cat_kind {
	CAT_IDEMPOTENT, /**< any number of times */
	CAT_ONCE,	/**< at most once */
	CAT_STREAM,	/**< a stream of events; see cat_route.resumable */
};

/** A group of backend servers that serve the same requests. */
struct cat_service {
	char *name;
	char *health_path;
	int64_t cold_start_ms; /**< how long a new server stays cold */
	double cold_per_s;     /**< requests a second that a cold one bears */
	uint32_t max_conns;    /**< connections of all callers to one server */
	uint32_t stride; /**< tokens in each event; 0 for plain services */
	bool engine;	 /**< a model engine */
};

/** A share of a route's requests. */
struct cat_target {
	char *service;
	uint32_t weight;
};

/** Which requests go where, and what may be done with them. */
struct cat_route {
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	enum cat_kind kind;
	int64_t timeout_ms;   /**< longest time to the end of an answer */
	int64_t target_ms;    /**< latency objective */
	int64_t pause_ms;     /**< longest pause between events; 0: none */
	int64_t retention_ms; /**< how long turns are kept */
	uint32_t attempts;    /**< backend servers that may run one request */
	uint32_t priority;    /**< 0 is the most urgent */
	bool open;	      /**< needs no key */
	bool resumable;	      /**< a stream that may go on elsewhere */
	bool retain;	      /**< turns are kept and continued */
	GArray *targets;      /**< of struct cat_target */
};

/** A client account. */
struct cat_account {
	char *name;
	double rate;  /**< requests a second; 0: no limit */
	double burst; /**< requests beyond the rate */
	int priority; /**< goes before the route's; -1: not set */
};

/** What callers may send. */
struct cat_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms; /**< to the end of the head */
	int64_t idle_timeout_ms;   /**< between two requests on a connection */
};

/** One version of the configuration. */
struct cat;

/** Returns an empty catalog with one reference. */
struct cat *cat_create(int64_t version, const struct cat_limits *limits);
/** Takes another reference. */
struct cat *cat_ref(struct cat *cat);
/** Drops a reference; NULL is allowed. */
void cat_unref(struct cat *cat);

/** Adds a service; the catalog owns the strings of @p service. */
void cat_add_service(struct cat *cat, const struct cat_service *service);
/** Adds a route; the catalog owns its strings and targets. */
void cat_add_route(struct cat *cat, const struct cat_route *route);
/** Adds an account; the catalog owns its name. Returns what @ref cat_add_key
 * wants. */
struct cat_account *cat_add_account(struct cat *cat,
				    const struct cat_account *account);
/** Lets @p key stand for @p account. */
void cat_add_key(struct cat *cat, const char *key, struct cat_account *account);
/** Ends the building: from here on the catalog is only read. */
void cat_seal(struct cat *cat);

/** The version of the configuration. */
int64_t cat_version(const struct cat *cat);
/** What callers may send. */
const struct cat_limits *cat_limits(const struct cat *cat);
/** How many routes, services and accounts there are. */
void cat_sizes(const struct cat *cat, guint *routes, guint *services,
	       guint *accounts);
/** The route with the longest prefix of @p path on @p host, or NULL. A query
 * does not count as part of the path; a port does not count as part of the
 * host. */
const struct cat_route *cat_find_route(const struct cat *cat, const char *host,
				       const char *path);
/** The account that holds @p key, or NULL. */
const struct cat_account *cat_find_key(const struct cat *cat, const char *key);
/** The account of that name, or NULL. */
const struct cat_account *cat_find_account(const struct cat *cat,
					   const char *name);
/** The service of that name, or NULL. */
const struct cat_service *cat_find_service(const struct cat *cat,
					   const char *name);
/** The service that takes a request; @p hash spreads requests by weight. */
const struct cat_service *
cat_choose(const struct cat *cat, const struct cat_route *route, uint64_t hash);

/** Calls @p fn for each account. */
void cat_foreach_account(const struct cat *cat,
			 void (*fn)(const struct cat_account *, void *),
			 void *arg);
/** Calls @p fn for each route. */
void cat_foreach_route(const struct cat *cat,
		       void (*fn)(const struct cat_route *, void *), void *arg);
/** How many keys of @p account in @p cat do not stand for it in @p other, which
 * may be NULL. */
guint cat_keys_missing(const struct cat *cat, const struct cat *other,
		       const struct cat_account *account);

#endif
