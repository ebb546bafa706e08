/** @file rollouts.c @brief Rows of roll-outs, and which version may be used. */
#include <string.h>

#include "clock.h"
#include "decide/rng.h"
#include "platform/wire.h"
#include "rollouts_int.h"
#include "slog.h"
#include "stats.h"

enum {
	POLL_MS = 400, /* the view of an instance is no older than twice this */
	POLL_RETRY_MS = 100,   /* after a failed call */
	TICK_MS = 200,	       /* between two decisions */
	REPORT_TICKS = 2,      /* between two reports in a small fleet */
	REPORT_INSTANCES = 60, /* per tick between two reports in a large one */
	SERVICES_MAX = 256,
	ROUTES_MAX = 64, /* of a service */
	/* A new request can't have led to a cutover within this time. */
	NEW_REQUEST_MS = 1000,
};

bool rollouts_is_new(const struct rollouts_service *service,
		     const struct fleet_server *server)
{
	return strcmp(server->version, service->to) == 0;
}

const struct rollout_state *
rollouts_state(const struct rollouts_service *service)
{
	if (!service->has_state || strcmp(service->state_to, service->to) != 0)
		return NULL;
	/* The request was made anew after its roll-out had ended. */
	if (rollout_is_final(service->state.stage) && service->requested &&
	    service->request > service->state_request)
		return NULL;
	return &service->state;
}

bool rollouts_is_active(const struct rollouts_service *service)
{
	const struct rollout_state *state = rollouts_state(service);

	if (state == NULL)
		return service->requested;
	return !rollout_is_final(state->stage);
}

static int64_t view_age_ms(const struct rollouts *rollouts)
{
	return rollouts->follow != NULL ? follow_age_ms(rollouts->follow)
					: G_MAXINT32;
}

struct rollout_permit rollouts_permit(const struct rollouts_service *service)
{
	const struct rollouts *rollouts = service->rollouts;
	const struct rollout_state *state = rollouts_state(service);
	struct rollout_view view = {
		.state = state,
		.known = state != NULL || (rollouts->follow != NULL &&
					   follow_has_read(rollouts->follow)),
		.age_ms = view_age_ms(rollouts),
		.store_now_ms = store_clock_ms(rollouts->config.store),
	};
	struct rollout_permit permit =
		rollout_permit(&view, &rollouts->config.bounds);

	if (state == NULL && service->is_change &&
	    clock_boot_ms() - service->noticed_ms < NEW_REQUEST_MS)
		permit.old_version = true;
	if (!service->requested && rollouts_is_active(service))
		permit.new_version = false; /* withdrawn */
	return permit;
}

/* The first servers by hash: the same on all instances. */
struct ranking {
	const struct rollouts_service *service;
	GPtrArray *servers;
};

static void add_new_server(struct fleet_server *server, void *arg)
{
	struct ranking *ranking = arg;

	if (strcmp(server->service, ranking->service->name) == 0 &&
	    fleet_is_in_service(server) &&
	    rollouts_is_new(ranking->service, server))
		g_ptr_array_add(ranking->servers, server);
}

static gint compare_servers(gconstpointer a, gconstpointer b)
{
	uint64_t x = rng_hash((*(struct fleet_server *const *)a)->id);
	uint64_t y = rng_hash((*(struct fleet_server *const *)b)->id);

	return (x > y) - (x < y);
}

/* Chooses the new servers that get requests. */
static void choose_servers(struct rollouts_service *service)
{
	struct ranking ranking = {service, g_ptr_array_new()};
	const struct rollout_state *state = rollouts_state(service);
	double spread = state != NULL ? state->spread : 1;
	guint count;

	fleet_foreach(service->rollouts->config.fleet, add_new_server,
		      &ranking);
	g_ptr_array_sort(ranking.servers, compare_servers);
	count = (guint)(spread * ranking.servers->len + 0.999);
	g_hash_table_remove_all(service->selected_servers);
	for (guint i = 0; i < ranking.servers->len && i < MAX(count, 1); i++) {
		const struct fleet_server *server =
			g_ptr_array_index(ranking.servers, i);

		g_hash_table_add(service->selected_servers,
				 g_strdup(server->id));
	}
	g_ptr_array_free(ranking.servers, TRUE);
}

static struct rollouts_service *find_service(const struct rollouts *rollouts,
					     const char *name)
{
	return rollouts != NULL ? g_hash_table_lookup(rollouts->services, name)
				: NULL;
}

/* Returns the service if its versions are restricted; else NULL. */
static struct rollouts_service *find_restricted(const struct rollouts *rollouts,
						const char *name)
{
	struct rollouts_service *service = find_service(rollouts, name);

	return service != NULL && (service->requested ||
				   rollouts_state(service) != NULL)
		       ? service
		       : NULL;
}

void rollouts_choose(struct rollouts *rollouts, const char *name,
		     const char *route, uint64_t key, const char *begun,
		     struct rollouts_choice *choice)
{
	const struct rollouts_service *service =
		find_restricted(rollouts, name);
	const struct rollout_state *state;
	struct rollout_permit permit;
	bool prefers_new;

	memset(choice, 0, sizeof(*choice));
	if (service == NULL)
		return;
	/* A later version may have replaced the one that was rolled out. */
	state = rollouts_state(service);
	if (state != NULL && state->stage == ROLLOUT_SUCCEEDED &&
	    g_hash_table_size(service->selected_servers) == 0)
		return;
	permit = rollouts_permit(service);
	prefers_new = rollout_prefers_new(&permit, state, route, key);
	choice->rollouts = rollouts;
	choice->service = service->name;
	choice->to = service->to;
	choice->new_version = permit.new_version && (prefers_new || begun);
	choice->old_version = permit.old_version && (!prefers_new || begun);
	choice->fell_back = !permit.old_version || choice->old_version;
	choice->only_selected = permit.spread < 1;
	if (!permit.old_version && !permit.new_version)
		stats_count(STATS_ROLLOUT_UNKNOWN);
}

bool rollouts_fall_back(struct rollouts_choice *choice)
{
	if (choice->to == NULL || choice->fell_back)
		return false;
	choice->fell_back = true;
	choice->new_version = false;
	choice->old_version = true;
	return true;
}

bool rollouts_is_allowed(void *arg, const struct fleet_server *server)
{
	const struct rollouts_choice *choice = arg;
	const struct rollouts_service *service;

	if (choice->to == NULL)
		return true;
	if (strcmp(server->version, choice->to) != 0)
		return choice->old_version;
	if (!choice->new_version || !choice->only_selected)
		return choice->new_version;
	service = find_service(choice->rollouts, choice->service);
	return service != NULL &&
	       g_hash_table_contains(service->selected_servers, server->id);
}

bool rollouts_may_send(struct rollouts *rollouts,
		       const struct fleet_server *server)
{
	const struct rollouts_service *service =
		find_restricted(rollouts, server->service);
	struct rollout_permit permit;

	if (service == NULL)
		return true;
	permit = rollouts_permit(service);
	return rollouts_is_new(service, server) ? permit.new_version
						: permit.old_version;
}

void rollouts_on_sent(struct rollouts *rollouts,
		      struct rollouts_attempt *attempt)
{
	struct rollouts_service *service;

	if (rollouts == NULL)
		return;
	attempt->rollouts = rollouts;
	attempt->link = (GList){.data = attempt};
	g_queue_push_tail_link(&rollouts->attempts, &attempt->link);
	service = find_service(rollouts, attempt->server->service);
	if (service != NULL && service->requested)
		service->sent[rollouts_is_new(service, attempt->server)]++;
}

bool rollouts_on_response(struct rollouts_attempt *attempt, int status,
			  double ms)
{
	struct rollouts_service *service;
	struct rollouts_counts *counts;
	bool is_new;

	if (attempt->rollouts == NULL)
		return false;
	service = find_service(attempt->rollouts, attempt->server->service);
	if (service == NULL || !rollouts_is_active(service))
		return false;
	/* A cold server is slow whatever its version is. */
	if (status > 0 && status < 500 &&
	    clock_boot_ms() < attempt->server->cold_until_ms)
		return false;
	counts = g_hash_table_lookup(service->counts, attempt->route);
	if (counts == NULL) {
		if (g_hash_table_size(service->counts) >= ROUTES_MAX)
			return false;
		counts = g_new0(struct rollouts_counts, 1);
		g_hash_table_insert(service->counts, g_strdup(attempt->route),
				    counts);
	}
	is_new = rollouts_is_new(service, attempt->server);
	counts->by_version[is_new].errors += status >= 500;
	if (!attempt->was_counted)
		counts->by_version[is_new]
			.latency[status > 0 ? rollout_bucket(ms)
					    : ROLLOUT_BUCKETS - 1]++;
	counts->changed[is_new] = true;
	return true;
}

void rollouts_on_ended(struct rollouts_attempt *attempt)
{
	struct rollouts_service *service;

	if (attempt->rollouts == NULL)
		return;
	g_queue_unlink(&attempt->rollouts->attempts, &attempt->link);
	service = find_service(attempt->rollouts, attempt->server->service);
	if (service != NULL && !rollouts_is_new(service, attempt->server))
		service->longest_ms = MAX(service->longest_ms,
					  clock_boot_ms() - attempt->sent_ms);
	attempt->rollouts = NULL;
}

static void service_free(gpointer p)
{
	struct rollouts_service *service = p;

	if (service->call != NULL)
		store_cancel(service->call);
	rollouts_clear_deciding(service);
	g_hash_table_destroy(service->counts);
	g_hash_table_destroy(service->selected_servers);
	g_free(service->name);
	g_free(service);
}

static struct rollouts_service *get_service(struct rollouts *rollouts,
					    const char *name)
{
	struct rollouts_service *service = find_service(rollouts, name);

	if (service != NULL ||
	    g_hash_table_size(rollouts->services) >= SERVICES_MAX)
		return service;
	service = g_new0(struct rollouts_service, 1);
	service->rollouts = rollouts;
	service->name = g_strdup(name);
	service->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	service->selected_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(rollouts->services, service->name, service);
	return service;
}

static void apply_state(struct rollouts_service *service,
			const Rows__Rollout *message)
{
	struct rollout_state *state = &service->state;
	bool is_news = !service->has_state || state->epoch != message->epoch ||
		       strcmp(service->state_to, message->to) != 0;

	service->has_state = true;
	service->state_seen = true;
	service->state_request = (int64_t)message->request;
	g_strlcpy(service->state_to, message->to, sizeof(service->state_to));
	if (!service->requested)
		g_strlcpy(service->to, message->to, sizeof(service->to));
	*state = (struct rollout_state){
		.stage = (enum rollout_stage)message->stage,
		.share = message->share,
		.spread = message->spread,
		.epoch = message->epoch,
		.started_ms = (int64_t)message->started_ms,
		.ready_ms = (int64_t)message->ready_ms,
		.hold_ms = (int64_t)message->hold_ms,
		.entered_ms = (int64_t)message->entered_ms,
		.sent_new = message->sent_new,
		.sent_all = message->sent_all,
	};
	for (size_t i = 0; i < message->n_factors && i < ROLLOUT_FACTORS_MAX;
	     i++) {
		struct rollout_factor *factor =
			&state->factors[state->factors_count++];

		g_strlcpy(factor->route, message->factors[i]->route,
			  sizeof(factor->route));
		factor->factor = message->factors[i]->factor;
		factor->slow_ms = message->factors[i]->has_slow_ms
					  ? message->factors[i]->slow_ms
					  : 0;
	}
	if (!is_news)
		return;
	service->state_since_ms = clock_boot_ms();
	choose_servers(service);
	slog("rollout_state", NULL,
	     "\"service\":%s,\"to\":%s,\"stage\":\"%s\",\"share\":%.4f,"
	     "\"spread\":%.4f,\"epoch\":%" G_GUINT64_FORMAT
	     ",\"sent_new\":%" G_GUINT64_FORMAT ",\"sent\":%" G_GUINT64_FORMAT,
	     slog_quote(service->name), slog_quote(service->state_to),
	     rollout_stage_name(state->stage), state->share, state->spread,
	     state->epoch, state->sent_new, state->sent_all);
}

static void on_state_row(void *arg, const struct store_row *row)
{
	struct rollouts *rollouts = arg;
	struct rollouts_service *service = get_service(rollouts, row->key);
	Rows__Rollout *message;
	const void *bytes;
	gsize len;

	if (service == NULL)
		return;
	service->state_unreadable = false;
	if (row->value == NULL) {
		service->has_state = false;
		service->state_version = 0;
		return;
	}
	bytes = g_bytes_get_data(row->value, &len);
	message = rows__rollout__unpack(NULL, len, bytes);
	/* A later build may know more stages: this one does not write over
	 * its state. */
	if (message == NULL || message->stage > ROLLOUT_ROLLED_BACK ||
	    strlen(message->to) >= sizeof(service->state_to)) {
		service->state_seen = true;
		service->has_state = false;
		service->state_unreadable = true;
		stats_count(STATS_ROLLOUT_UNREADABLE);
		slog("rollout_unreadable", NULL,
		     "\"service\":%s,\"cause\":\"state\"",
		     slog_quote(row->key));
	} else {
		service->state_version = row->version;
		apply_state(service, message);
	}
	if (message != NULL)
		rows__rollout__free_unpacked(message, NULL);
}

static void on_states_begin(void *arg)
{
	struct rollouts *rollouts = arg;
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		((struct rollouts_service *)service)->state_seen = false;
}

static void on_states_read(void *arg)
{
	struct rollouts *rollouts = arg;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct rollouts_service *service = p;

		if (service->state_seen)
			continue;
		service->has_state = false;
		service->state_version = 0;
	}
}

/* Follows the states while a roll-out is going on. */
static void update_follow(struct rollouts *rollouts)
{
	struct follow_config config = {
		.base = rollouts->config.base,
		.store = rollouts->config.store,
		.table = ROLLOUTS_TABLE,
		.poll_ms = POLL_MS,
		.retry_ms = POLL_RETRY_MS,
		.on_begin = on_states_begin,
		.on_row = on_state_row,
		.on_read = on_states_read,
		.arg = rollouts,
	};
	bool active = false;
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		active |= rollouts_is_active(service);
	if (active && rollouts->follow == NULL) {
		rollouts->follow = follow_create(&config);
	} else if (!active && rollouts->follow != NULL &&
		   follow_has_read(rollouts->follow)) {
		follow_destroy(rollouts->follow);
		rollouts->follow = NULL;
	}
}

static void withdraw(struct rollouts_service *service)
{
	if (!service->requested)
		return;
	service->requested = false;
	service->row_version = 0;
	slog("rollout", NULL, "\"service\":%s,\"to\":%s,\"request\":\"%s\"",
	     slog_quote(service->name), slog_quote(service->to), "withdrawn");
}

/* Whether the row asks for another roll-out than the one that is known: for
 * another version, or for the same one after its roll-out has ended. */
static bool is_new_request(const struct rollouts_service *service,
			   const char *to, int64_t row_version)
{
	if (!service->requested || strcmp(to, service->to) != 0)
		return true;
	return service->has_state && rollout_is_final(service->state.stage) &&
	       row_version > service->state_request &&
	       row_version > service->request;
}

static void reset_request(struct rollouts_service *service, bool is_change)
{
	g_hash_table_remove_all(service->counts);
	memset(service->sent, 0, sizeof(service->sent));
	service->longest_ms = 0;
	service->noticed_ms = clock_boot_ms();
	service->noticed_store_ms =
		store_clock_ms(service->rollouts->config.store);
	service->is_change = is_change;
	rollouts_clear_deciding(service);
}

static void on_request_row(void *arg, const char *name,
			   const struct store_row *row, bool is_change)
{
	struct rollouts *rollouts = arg;
	struct rollouts_service *service = get_service(rollouts, name);
	struct wire_rollout wanted;
	const char *fault;
	const char *text;
	gsize len;

	if (service == NULL)
		return;
	service->seen = true;
	if (row->value == NULL) {
		withdraw(service);
		return;
	}
	text = g_bytes_get_data(row->value, &len);
	service->row_version = row->version;
	if (!wire_parse_rollout(name, text, len, &wanted, &fault)) {
		stats_count(STATS_ROLLOUT_UNREADABLE);
		slog("rollout_unreadable", NULL,
		     "\"service\":%s,\"cause\":\"%s\"", slog_quote(name),
		     fault);
		return;
	}
	if (is_new_request(service, wanted.to, row->version))
		reset_request(service, is_change && !service->requested);
	service->requested = true;
	service->request = row->version;
	service->duration_ms = wanted.duration_ms;
	g_strlcpy(service->to, wanted.to, sizeof(service->to));
	choose_servers(service);
	slog("rollout", NULL,
	     "\"service\":%s,\"to\":%s,\"request\":\"%s\","
	     "\"duration_ms\":%" G_GINT64_FORMAT
	     ",\"row_version\":%" G_GINT64_FORMAT,
	     slog_quote(name), slog_quote(service->to), "made",
	     service->duration_ms, row->version);
	update_follow(rollouts);
}

static void on_requests_begin(void *arg)
{
	struct rollouts *rollouts = arg;
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		((struct rollouts_service *)service)->seen = false;
}

static void on_requests_read(void *arg)
{
	struct rollouts *rollouts = arg;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct rollouts_service *service = p;

		if (!service->seen)
			withdraw(service);
	}
}

/* Abandons requests at old servers, which may stop: other instances may hold
 * that this one's lease has expired. */
static void abandon_old(struct rollouts_service *service)
{
	struct rollouts *rollouts = service->rollouts;
	GList *next;

	for (GList *l = rollouts->attempts.head; l != NULL; l = next) {
		struct rollouts_attempt *attempt = l->data;

		next = l->next;
		if (strcmp(attempt->server->service, service->name) != 0 ||
		    rollouts_is_new(service, attempt->server))
			continue;
		stats_count(STATS_ROLLOUT_ABANDONED);
		attempt->abandon(attempt->arg);
		/* It may have ended others too. */
		next = rollouts->attempts.head;
	}
}

/* Counts requests as slow before they end. */
static void count_slow(struct rollouts_service *service)
{
	const struct rollout_state *state = rollouts_state(service);
	int64_t now_ms = clock_boot_ms();

	for (GList *l = service->rollouts->attempts.head; l; l = l->next) {
		struct rollouts_attempt *attempt = l->data;
		double slow_ms = rollout_slow_ms(state, attempt->route);

		if (attempt->is_stream || attempt->was_counted || slow_ms < 1 ||
		    (double)(now_ms - attempt->sent_ms) < slow_ms ||
		    strcmp(attempt->server->service, service->name) != 0)
			continue;
		attempt->was_counted =
			rollouts_on_response(attempt, 200, slow_ms);
	}
}

static void tick_service(struct rollouts_service *service)
{
	struct rollouts *rollouts = service->rollouts;
	uint32_t period =
		MAX(REPORT_TICKS,
		    members_count(rollouts->config.members) / REPORT_INSTANCES);

	choose_servers(service);
	if (!rollouts_is_active(service)) {
		rollouts_clear_deciding(service);
		return;
	}
	if (rollouts_permit(service).abandon_old)
		abandon_old(service);
	count_slow(service);
	if (rollouts->ticks % period == 0)
		rollouts_report(service);
	rollouts_decide(service);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct rollouts *rollouts = arg;
	GHashTableIter it;
	gpointer service;

	(void)fd;
	(void)what;
	rollouts->ticks++;
	update_follow(rollouts);
	g_hash_table_iter_init(&it, rollouts->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		tick_service(service);
}

struct rollouts *rollouts_create(const struct rollouts_config *config,
				 struct watcher *watcher)
{
	struct rollouts *rollouts = g_new0(struct rollouts, 1);
	struct watcher_rollouts requests = {on_requests_begin, on_request_row,
					    on_requests_read, rollouts};
	struct timeval tv = clock_timeval(TICK_MS);

	rollouts->config = *config;
	rollouts->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, service_free);
	rollouts->timer =
		event_new(config->base, -1, EV_PERSIST, on_tick, rollouts);
	event_add(rollouts->timer, &tv);
	watcher_set_rollouts(watcher, &requests);
	return rollouts;
}

void rollouts_destroy(struct rollouts *rollouts)
{
	if (rollouts == NULL)
		return;
	follow_destroy(rollouts->follow);
	event_free(rollouts->timer);
	g_hash_table_destroy(rollouts->services);
	g_free(rollouts);
}
