/** @file rollouts_decide.c @brief Counts of all instances, and decisions. */
#include <string.h>

#include "clock.h"
#include "decide/rng.h"
#include "platform/wire.h"
#include "proto/message.h"
#include "rollouts_int.h"
#include "slog.h"
#include "stats.h"

enum {
	COUNTS_MAX = 16,    /* in one report */
	FULL_REPORTS = 5,   /* each fifth has all counts, for lost ones */
	SETTLE_MS = 1000,   /* until all instances have reported to a new one */
	IDLE_MS = 3000,	    /* after which a former receiver forgets */
	VIEW_MAX_MS = 1500, /* age of the view that decisions are based on */
	CUTOVER_OLD_MS = 1000, /* after which the old version gets nothing */
	SOURCES_MAX = 1024,
};

/* What another instance, or this one, has reported. */
struct rollouts_source {
	uint64_t incarnation;
	uint64_t state_epoch;
	bool running_old;
	uint64_t sent[2];
	int64_t longest_ms;
	GHashTable *counts; /* route -> struct rollouts_counts */
};

static void source_free(gpointer p)
{
	struct rollouts_source *source = p;

	g_hash_table_destroy(source->counts);
	g_free(source);
}

void rollouts_clear_deciding(struct rollouts_service *service)
{
	if (service->deciding == NULL)
		return;
	rollout_test_destroy(service->deciding->test);
	g_hash_table_destroy(service->deciding->sources);
	g_clear_pointer(&service->deciding, g_free);
}

static struct rollouts_deciding *get_deciding(struct rollouts_service *service)
{
	struct rollouts_deciding *deciding = service->deciding;

	if (deciding != NULL)
		return deciding;
	deciding = g_new0(struct rollouts_deciding, 1);
	deciding->test = rollout_test_create(NULL);
	deciding->sources = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, source_free);
	deciding->since_ms = clock_boot_ms();
	service->deciding = deciding;
	return deciding;
}

static struct rollouts_source *get_source(struct rollouts_deciding *deciding,
					  const Rows__RolloutReport *report)
{
	struct rollouts_source *source =
		g_hash_table_lookup(deciding->sources, report->id);

	if (source != NULL && source->incarnation == report->epoch)
		return source;
	if (source == NULL &&
	    g_hash_table_size(deciding->sources) >= SOURCES_MAX)
		return NULL;
	source = g_new0(struct rollouts_source, 1);
	source->incarnation = report->epoch;
	source->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_replace(deciding->sources, g_strdup(report->id), source);
	return source;
}

/* Adds what has been counted since the last report. */
static void apply_counts(struct rollouts_deciding *deciding,
			 struct rollouts_source *source,
			 const Rows__RolloutCounts *message)
{
	struct rollouts_counts *known =
		g_hash_table_lookup(source->counts, message->route);
	struct rollout_counts delta = {0};
	struct rollout_counts *last;
	size_t first;

	if (known == NULL) {
		if (g_hash_table_size(source->counts) >= ROLLOUT_ROUTES_MAX)
			return;
		known = g_new0(struct rollouts_counts, 1);
		g_hash_table_insert(source->counts, g_strdup(message->route),
				    known);
	}
	last = &known->by_version[message->is_new];
	/* Datagrams may arrive out of order: counts only grow. */
	if (message->errors > last->errors) {
		delta.errors = message->errors - last->errors;
		last->errors = message->errors;
	}
	first = message->has_first ? message->first : 0;
	for (size_t i = 0; i < message->n_latency && first < ROLLOUT_BUCKETS;
	     i++, first++) {
		if (message->latency[i] <= last->latency[first])
			continue;
		delta.latency[first] =
			message->latency[i] - last->latency[first];
		last->latency[first] = message->latency[i];
	}
	rollout_test_add(deciding->test, message->route, message->is_new,
			 &delta);
}

static void apply_report(struct rollouts_service *service,
			 const Rows__RolloutReport *report)
{
	struct rollouts_deciding *deciding = get_deciding(service);
	struct rollouts_source *source = get_source(deciding, report);
	const struct rollout_state *state = rollouts_state(service);
	int64_t seen_ms = clock_boot_ms() - report->state_age_ms;

	if (source == NULL)
		return;
	/* An older report does not undo what a newer one has shown. */
	if (report->state_epoch >= source->state_epoch)
		source->running_old = report->running_old > 0;
	source->state_epoch = MAX(source->state_epoch, report->state_epoch);
	source->sent[0] =
		MAX(source->sent[0], report->sent_all - report->sent_new);
	source->sent[1] = MAX(source->sent[1], report->sent_new);
	source->longest_ms = report->longest_ms;
	for (size_t i = 0; i < report->n_counts; i++)
		apply_counts(deciding, source, report->counts[i]);
	if (state != NULL && state->stage == ROLLOUT_CUTOVER &&
	    report->state_epoch == state->epoch &&
	    (deciding->cutover_seen_ms == 0 ||
	     seen_ms < deciding->cutover_seen_ms))
		deciding->cutover_seen_ms = seen_ms;
}

void rollouts_on_report(struct rollouts *rollouts,
			const struct Rows__RolloutReport *report)
{
	struct rollouts_service *service =
		g_hash_table_lookup(rollouts->services, report->service);

	if (service != NULL && rollouts_is_active(service) &&
	    strcmp(report->to, service->to) == 0 &&
	    report->sent_new <= report->sent_all)
		apply_report(service, report);
}

/* Leaves out zeros at both ends. */
static void trim_latency(Rows__RolloutCounts *message, uint32_t *latency)
{
	uint32_t first = 0;
	uint32_t end = ROLLOUT_BUCKETS;

	while (end > 0 && latency[end - 1] == 0)
		end--;
	while (first < end && latency[first] == 0)
		first++;
	message->latency = latency + first;
	message->n_latency = end - first;
	message->has_first = first > 0;
	message->first = first;
}

static void pack_count(Rows__RolloutCounts *message, char *route,
		       struct rollouts_counts *counts, int version)
{
	struct rollout_counts *own = &counts->by_version[version];

	counts->changed[version] = false;
	rows__rollout_counts__init(message);
	message->route = route;
	message->is_new = version == 1;
	message->errors = own->errors;
	trim_latency(message, own->latency);
}

/* Fills in counts that have changed, or all, and goes on in the next report
 * where there was no room for more; returns their number. */
static size_t pack_counts(struct rollouts_service *service,
			  Rows__RolloutCounts *messages,
			  Rows__RolloutCounts **pointers, bool all)
{
	guint routes = 0;
	gpointer *names =
		g_hash_table_get_keys_as_array(service->counts, &routes);
	size_t count = 0;
	guint i;

	for (i = 0; i < routes && count + 2 <= COUNTS_MAX; i++) {
		char *route = names[(service->next_route + i) % routes];
		struct rollouts_counts *counts =
			g_hash_table_lookup(service->counts, route);

		for (int v = 0; v < 2; v++) {
			if (!counts->changed[v] && !all)
				continue;
			pack_count(&messages[count], route, counts, v);
			pointers[count] = &messages[count];
			count++;
		}
	}
	if (routes > 0)
		service->next_route = (service->next_route + i) % routes;
	g_free(names);
	return count;
}

static void fill_running(const struct rollouts_service *service,
			 Rows__RolloutReport *report)
{
	int64_t now_ms = clock_boot_ms();
	int64_t longest_ms = service->longest_ms;

	for (GList *l = service->rollouts->attempts.head; l; l = l->next) {
		const struct rollouts_attempt *attempt = l->data;

		if (strcmp(attempt->server->service, service->name) != 0 ||
		    rollouts_is_new(service, attempt->server))
			continue;
		report->running_old++;
		longest_ms = MAX(longest_ms, now_ms - attempt->sent_ms);
	}
	report->longest_ms = (uint32_t)CLAMP(longest_ms, 0, G_MAXINT32);
}

/* Whether a report says anything that the last one did not. */
static bool has_changed(struct rollouts_service *service,
			const Rows__RolloutReport *report)
{
	uint64_t digest = report->sent_all;

	digest = rng_mix(digest + 1) ^ report->sent_new;
	digest = rng_mix(digest + 1) ^ report->state_epoch;
	digest = rng_mix(digest + 1) ^ report->running_old;
	if (digest == service->reported)
		return false;
	service->reported = digest;
	return true;
}

void rollouts_report(struct rollouts_service *service)
{
	struct members *members = service->rollouts->config.members;
	const struct rollout_state *state = rollouts_state(service);
	Rows__RolloutCounts messages[COUNTS_MAX];
	Rows__RolloutCounts *pointers[COUNTS_MAX];
	Rows__RolloutReport report = ROWS__ROLLOUT_REPORT__INIT;
	int64_t now_ms = clock_boot_ms();
	bool all = service->reports++ % FULL_REPORTS == 0;

	report.service = service->name;
	report.to = service->to;
	report.state_epoch = state != NULL ? state->epoch : 0;
	report.state_age_ms =
		state != NULL ? (uint32_t)(now_ms - service->state_since_ms)
			      : 0;
	report.sent_new = service->sent[1];
	report.sent_all = service->sent[0] + service->sent[1];
	report.n_counts = pack_counts(service, messages, pointers, all);
	report.counts = pointers;
	fill_running(service, &report);
	if (!all && report.n_counts == 0 && !has_changed(service, &report))
		return;
	if (members_send_rollout(members, service->name, &report)) {
		apply_report(service, &report);
		service->deciding->used_ms = now_ms;
	} else if (service->deciding != NULL &&
		   now_ms - service->deciding->used_ms > IDLE_MS) {
		rollouts_clear_deciding(service);
	}
}

/* What the servers and the reports say. */
struct gathered {
	struct rollouts_service *service;
	struct rollout_input *input;
};

static void add_slots(struct fleet_server *server, void *arg)
{
	struct gathered *gathered = arg;

	if (strcmp(server->service, gathered->service->name) != 0 ||
	    !fleet_is_in_service(server))
		return;
	if (rollouts_is_new(gathered->service, server))
		gathered->input->slots_new += server->slots;
	else
		gathered->input->slots_old += server->slots;
}

static void check_ended(void *arg, const char *id, bool responds)
{
	struct gathered *gathered = arg;
	const struct rollouts_source *source =
		g_hash_table_lookup(gathered->service->deciding->sources, id);
	bool ended = source != NULL &&
		     source->state_epoch >= gathered->input->state->epoch &&
		     !source->running_old;

	gathered->input->all_ended &= ended;
	gathered->input->responding_ended &= ended || !responds;
}

static void gather_reports(const struct rollouts_deciding *deciding,
			   struct rollout_input *input)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, deciding->sources);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct rollouts_source *source = p;

		input->sent_new += source->sent[1];
		input->sent_all += source->sent[0] + source->sent[1];
		input->longest_ms = MAX(input->longest_ms, source->longest_ms);
	}
}

static bool runs_old_here(const struct rollouts_service *service)
{
	Rows__RolloutReport report = ROWS__ROLLOUT_REPORT__INIT;

	fill_running(service, &report);
	return report.running_old > 0;
}

static void gather(struct rollouts_service *service,
		   struct rollout_input *input)
{
	struct rollouts *rollouts = service->rollouts;
	struct rollouts_deciding *deciding = service->deciding;
	struct gathered gathered = {service, input};
	int64_t now_ms = clock_boot_ms();

	input->state = rollouts_state(service);
	input->now_ms = store_clock_ms(rollouts->config.store);
	input->requested_ms = service->noticed_store_ms > 0
				      ? service->noticed_store_ms
				      : input->now_ms;
	input->duration_ms = service->duration_ms;
	if (service->has_state && input->state == NULL)
		input->min_hold_ms = service->state.hold_ms;
	input->withdrawn = !service->requested;
	input->settled = now_ms - deciding->since_ms >= SETTLE_MS;
	fleet_foreach(rollouts->config.fleet, add_slots, &gathered);
	gather_reports(deciding, input);
	if (input->state == NULL || input->state->stage != ROLLOUT_CUTOVER)
		return;
	if (deciding->cutover_seen_ms > 0)
		input->cutover_age_ms = now_ms - deciding->cutover_seen_ms;
	input->all_ended = input->responding_ended = !runs_old_here(service);
	members_foreach(rollouts->config.members, check_ended, &gathered);
}

static void on_written(void *arg, const struct store_response *response)
{
	struct rollouts_service *service = arg;

	service->call = NULL;
	if (response->result == STORE_OK)
		return;
	stats_count(STATS_ROLLOUT_WRITES_FAILED);
	slog("rollout_write", NULL, "\"service\":%s,\"result\":\"%s\"",
	     slog_quote(service->name),
	     response->result == STORE_CONFLICT	 ? "conflict"
	     : response->result == STORE_UNKNOWN ? "unknown"
						 : "refused");
}

static uint8_t *pack_state(const struct rollouts_service *service,
			   const struct rollout_state *state, size_t *len)
{
	Rows__RolloutFactor factors[ROLLOUT_FACTORS_MAX];
	Rows__RolloutFactor *pointers[ROLLOUT_FACTORS_MAX];
	Rows__Rollout message = ROWS__ROLLOUT__INIT;

	message.to = (char *)service->to;
	message.request = (uint64_t)service->request;
	message.stage = state->stage;
	message.share = state->share;
	message.spread = state->spread;
	message.epoch = state->epoch;
	message.started_ms = (uint64_t)state->started_ms;
	message.ready_ms = (uint64_t)state->ready_ms;
	message.hold_ms = (uint64_t)state->hold_ms;
	message.entered_ms = (uint64_t)state->entered_ms;
	message.sent_new = state->sent_new;
	message.sent_all = state->sent_all;
	for (uint32_t i = 0; i < state->factors_count; i++) {
		rows__rollout_factor__init(&factors[i]);
		factors[i].route = (char *)state->factors[i].route;
		factors[i].factor = (float)state->factors[i].factor;
		factors[i].has_slow_ms = state->factors[i].slow_ms >= 1;
		factors[i].slow_ms = (uint32_t)state->factors[i].slow_ms;
		pointers[i] = &factors[i];
	}
	message.factors = pointers;
	message.n_factors = state->factors_count;
	return msg_pack(&message.base, len);
}

/* Writes the state and what the operators see of it, unless the state or the
 * request has changed. */
static void write_state(struct rollouts_service *service,
			const struct rollout_state *next)
{
	struct store_tx *tx = store_tx_create("");
	char *key = g_strconcat(WIRE_KEY_ROLLOUT, service->name, NULL);
	enum wire_rollout_state shown =
		next->stage == ROLLOUT_SUCCEEDED     ? WIRE_ROLLOUT_SUCCEEDED
		: next->stage == ROLLOUT_ROLLED_BACK ? WIRE_ROLLOUT_ROLLED_BACK
						     : WIRE_ROLLOUT_RUNNING;
	char *text = wire_build_rollout_state(shown, service->to);
	size_t len;
	uint8_t *bytes = pack_state(service, next, &len);

	store_tx_expect(tx, WIRE_TABLE_OPERATORS, key, service->row_version);
	store_tx_expect(tx, ROLLOUTS_TABLE, service->name,
			service->state_version);
	store_tx_put(tx, ROLLOUTS_TABLE, service->name, bytes, len);
	store_tx_put(tx, WIRE_TABLE_STATUS, key, text, strlen(text));
	service->call = store_tx_send(service->rollouts->config.store, tx,
				      on_written, service);
	g_free(bytes);
	g_free(text);
	g_free(key);
}

static void log_decision(const struct rollouts_service *service,
			 const struct rollout_input *input,
			 const struct rollout_state *next, const char *cause)
{
	struct rollout_test_summary summary;

	rollout_test_summarize(service->deciding->test, &summary);
	slog("rollout_step", NULL,
	     "\"service\":%s,\"to\":%s,\"stage\":\"%s\",\"cause\":\"%s\","
	     "\"share\":%.4f,\"epoch\":%" G_GUINT64_FORMAT
	     ",\"ms\":%" G_GINT64_FORMAT ",\"slots_new\":%u,\"slots_old\":%u,"
	     "\"sent_new\":%" G_GUINT64_FORMAT ",\"sent\":%" G_GUINT64_FORMAT
	     ",\"longest_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"kind\":\"%s\",\"evidence\":%.2f,"
	     "\"threshold\":%.2f,\"faulty_new\":%u,\"seen_new\":%u,"
	     "\"faulty_old\":%u,\"seen_old\":%u",
	     slog_quote(service->name), slog_quote(service->to),
	     rollout_stage_name(next->stage), cause, next->share, next->epoch,
	     input->now_ms - next->started_ms, input->slots_new,
	     input->slots_old, next->sent_new, next->sent_all,
	     input->longest_ms, slog_quote(summary.route), summary.kind,
	     summary.log_evidence, summary.threshold, summary.faulty_new,
	     summary.seen_new, summary.faulty_old, summary.seen_old);
}

void rollouts_decide(struct rollouts_service *service)
{
	struct rollouts *rollouts = service->rollouts;
	struct rollout_input input = {0};
	struct rollout_state next;
	const char *cause;

	if (service->deciding == NULL || service->state_unreadable)
		return;
	gather(service, &input);
	rollout_test_update(service->deciding->test,
			    input.cutover_age_ms > CUTOVER_OLD_MS,
			    clock_boot_ms());
	/* No decision without the store. */
	if (service->call != NULL || input.now_ms <= 0 ||
	    rollouts->follow == NULL || !follow_has_read(rollouts->follow) ||
	    follow_age_ms(rollouts->follow) > VIEW_MAX_MS ||
	    !members_is_responsible(rollouts->config.members, service->name) ||
	    !rollout_decide(&input, service->deciding->test,
			    &rollouts->config.bounds, &next, &cause))
		return;
	stats_count(STATS_ROLLOUT_STEPS);
	log_decision(service, &input, &next, cause);
	write_state(service, &next);
}
