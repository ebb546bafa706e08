/** @file catalog.c @brief Configuration: routes, services, accounts, keys. */
#include <string.h>

#include "catalog.h"

struct catalog {
	int refs;
	int64_t version;
	struct cat_limits limits;
	GHashTable *services; /* name -> struct cat_service */
	GHashTable *hosts;    /* host -> GPtrArray of routes, longest first */
	GHashTable *accounts; /* name -> struct cat_account */
	GHashTable *keys;     /* key -> struct cat_account, borrowed */
	bool requires_keys;
	bool warm_engines;
};

static void service_free(gpointer p)
{
	struct cat_service *service = p;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void route_free(gpointer p)
{
	struct cat_route *route = p;

	for (guint i = 0; i < route->targets->len; i++)
		g_free(g_array_index(route->targets, struct cat_target, i)
			       .service);
	g_array_free(route->targets, TRUE);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void account_free(gpointer p)
{
	struct cat_account *account = p;

	g_free(account->name);
	g_free(account);
}

static void routes_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

struct catalog *cat_create(int64_t version, const struct cat_limits *limits)
{
	struct catalog *catalog = g_new0(struct catalog, 1);

	catalog->refs = 1;
	catalog->version = version;
	catalog->limits = *limits;
	catalog->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  service_free);
	catalog->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       routes_free);
	catalog->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  account_free);
	catalog->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return catalog;
}

struct catalog *cat_ref(struct catalog *catalog)
{
	catalog->refs++;
	return catalog;
}

void cat_unref(struct catalog *catalog)
{
	if (catalog == NULL || --catalog->refs > 0)
		return;
	g_hash_table_destroy(catalog->keys);
	g_hash_table_destroy(catalog->accounts);
	g_hash_table_destroy(catalog->hosts);
	g_hash_table_destroy(catalog->services);
	g_free(catalog);
}

void cat_add_service(struct catalog *catalog, const struct cat_service *service)
{
	struct cat_service *copy = g_new(struct cat_service, 1);

	*copy = *service;
	g_hash_table_replace(catalog->services, copy->name, copy);
}

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct cat_route *const *x = a;
	const struct cat_route *const *y = b;

	return (gint)strlen((*y)->prefix) - (gint)strlen((*x)->prefix);
}

void cat_add_route(struct catalog *catalog, const struct cat_route *route)
{
	struct cat_route *copy = g_new(struct cat_route, 1);
	char *host = g_ascii_strdown(route->host, -1);
	GPtrArray *routes = g_hash_table_lookup(catalog->hosts, host);

	*copy = *route;
	if (routes == NULL) {
		routes = g_ptr_array_new_with_free_func(route_free);
		g_hash_table_insert(catalog->hosts, g_strdup(host), routes);
	}
	g_ptr_array_add(routes, copy);
	g_free(host);
}

static bool has_warm_engines(struct catalog *catalog)
{
	GHashTableIter it;
	gpointer p;
	guint engines = 0;

	g_hash_table_iter_init(&it, catalog->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cat_service *service = p;

		if (!service->engine)
			continue;
		if (service->kv_tokens == 0 || service->cold_per_s > 0)
			return false;
		engines++;
	}
	return engines > 0;
}

void cat_seal(struct catalog *catalog)
{
	GHashTableIter it;
	gpointer routes;

	catalog->warm_engines = has_warm_engines(catalog);
	g_hash_table_iter_init(&it, catalog->hosts);
	while (g_hash_table_iter_next(&it, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_length);
}

struct cat_account *cat_add_account(struct catalog *catalog,
				    const struct cat_account *account)
{
	struct cat_account *copy = g_new(struct cat_account, 1);

	*copy = *account;
	g_hash_table_replace(catalog->accounts, copy->name, copy);
	return copy;
}

void cat_add_key(struct catalog *catalog, const char *key,
		 struct cat_account *account)
{
	g_hash_table_replace(catalog->keys, g_strdup(key), account);
}

bool cat_has_warm_engines(const struct catalog *catalog)
{
	return catalog->warm_engines;
}

int64_t cat_version(const struct catalog *catalog)
{
	return catalog->version;
}

const struct cat_limits *cat_limits(const struct catalog *catalog)
{
	return &catalog->limits;
}

void cat_require_keys(struct catalog *catalog)
{
	catalog->requires_keys = true;
}

bool cat_requires_keys(const struct catalog *catalog)
{
	return catalog->requires_keys;
}

const struct cat_route *cat_find_route(const struct catalog *catalog,
				       const char *host, const char *path)
{
	const char *port = strchr(host, ':');
	char *name = g_ascii_strdown(host, port ? port - host : -1);
	GPtrArray *routes = g_hash_table_lookup(catalog->hosts, name);
	size_t len = strcspn(path, "?");

	g_free(name);
	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const struct cat_route *route = g_ptr_array_index(routes, i);
		size_t prefix = strlen(route->prefix);

		if (prefix <= len && memcmp(route->prefix, path, prefix) == 0)
			return route;
	}
	return NULL;
}

const struct cat_account *cat_find_key(const struct catalog *catalog,
				       const char *key)
{
	return g_hash_table_lookup(catalog->keys, key);
}

const struct cat_account *cat_find_account(const struct catalog *catalog,
					   const char *name)
{
	return g_hash_table_lookup(catalog->accounts, name);
}

const struct cat_service *cat_find_service(const struct catalog *catalog,
					   const char *name)
{
	return g_hash_table_lookup(catalog->services, name);
}

const struct cat_service *cat_choose_service(const struct catalog *catalog,
					     const struct cat_route *route,
					     uint64_t hash)
{
	uint64_t total = 0;
	uint64_t offset;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct cat_target, i)
				 .weight;
	if (total == 0)
		return NULL;
	offset = hash % total;
	for (guint i = 0; i < route->targets->len; i++) {
		const struct cat_target *target =
			&g_array_index(route->targets, struct cat_target, i);

		if (offset < target->weight)
			return cat_find_service(catalog, target->service);
		offset -= target->weight;
	}
	return NULL;
}

void cat_foreach_account(const struct catalog *catalog,
			 void (*fn)(const struct cat_account *, void *),
			 void *arg)
{
	GHashTableIter it;
	gpointer account;

	g_hash_table_iter_init(&it, catalog->accounts);
	while (g_hash_table_iter_next(&it, NULL, &account))
		fn(account, arg);
}

void cat_foreach_route(const struct catalog *catalog,
		       void (*fn)(const struct cat_route *, void *), void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, catalog->hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const GPtrArray *routes = p;

		for (guint i = 0; i < routes->len; i++)
			fn(g_ptr_array_index(routes, i), arg);
	}
}

guint cat_count_missing_keys(const struct catalog *catalog,
			     const struct catalog *other,
			     const struct cat_account *account)
{
	GHashTableIter it;
	gpointer key;
	gpointer holder;
	guint missing = 0;

	g_hash_table_iter_init(&it, catalog->keys);
	while (g_hash_table_iter_next(&it, &key, &holder)) {
		const struct cat_account *other_holder =
			other ? cat_find_key(other, key) : NULL;

		if (holder != account)
			continue;
		missing += other_holder == NULL ||
			   strcmp(other_holder->name, account->name) != 0;
	}
	return missing;
}
