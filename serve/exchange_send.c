/**
 * @file exchange_send.c
 * @brief Sends a request to a backend server and relays its response.
 */
#include <string.h>

#include "clock.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	CONNECT_TIMEOUT_MS = 250,      /* the handshake takes 1 to 5 ms */
	TUNNEL_TIMEOUT_MS = 350,       /* longer than the other instance's */
	RESPONSE_MAX_BYTES = 16777216, /* of a response that is buffered */
	EVENT_MAX_BYTES = 1048576,     /* of one event of a stream */
	UNUSABLE_MAX_BYTES = 65536,    /* read of a response that is not used */
	PRIORITY_MAX = 9,	       /* the least urgent */
};

/* Whether the output may be passed to the caller. */
static bool is_output_allowed(const struct exch *x)
{
	return x->tokens_granted && !x->storing_version;
}

static void flush_output(struct exch *x)
{
	if (!is_output_allowed(x) || x->headers == NULL)
		return;
	if (!x->retry.response_started &&
	    (x->buffered->len > 0 || x->upstream_complete)) {
		inbound_begin_reply(x->request, x->status, x->headers->str);
		x->retry.response_started = true;
	}
	if (x->buffered->len > 0) {
		inbound_send_chunk(x->request, x->buffered->data,
				   x->buffered->len);
		g_byte_array_set_size(x->buffered, 0);
	}
}

static void finish_stream(struct exch *x)
{
	struct inbound_request *request = x->request;

	flush_output(x);
	stats_observe(STATS_STREAM, clock_boot_ms() - x->started_ms);
	exch_log_end(x, "whole", x->status);
	exch_free(x);
	inbound_end_reply(request);
}

/* The server's stream is complete: commits a retained turn before the caller
 * gets the end of the stream. */
static void complete_stream(struct exch *x)
{
	if (!is_output_allowed(x))
		return;
	flush_output(x);
	if (!x->route->retain) {
		finish_stream(x);
		return;
	}
	g_string_prepend_len(x->turn_output,
			     (const char *)x->request->body->data,
			     x->request->body->len);
	x->turn_text = g_string_free_to_bytes(x->turn_output);
	x->turn_output = g_string_new(NULL);
	g_bytes_unref(x->body);
	x->body = g_bytes_new(NULL, 0);
	inbound_drop_body(x->request);
	exch_note_memory(x);
	turns_commit(x->turn, x->turn_text, x->tokens_used);
}

void exch_on_turn_committed(void *arg)
{
	finish_stream(arg);
}

/* Passes on what was held back. */
static void release_output(struct exch *x)
{
	if (x->upstream_complete && x->streaming)
		complete_stream(x);
	else if (x->streaming)
		flush_output(x);
}

void exch_on_tokens_granted(void *arg)
{
	struct exch *x = arg;

	x->tokens_granted = true;
	release_output(x);
}

void exch_on_version_stored(void *arg)
{
	struct exch *x = arg;

	x->storing_version = false;
	release_output(x);
}

static void reply_buffered(struct exch *x)
{
	struct inbound_request *request = x->request;
	GByteArray *body = g_byte_array_ref(x->buffered);
	GString *headers = g_string_new(x->headers->str);
	int status = x->status;

	stats_observe(STATS_CALL, clock_boot_ms() - x->started_ms);
	exch_log_end(x, "whole", status);
	exch_free(x);
	inbound_reply(request, status, headers->str, body->data, body->len);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
}

void exch_drop_response(struct exch *x)
{
	if (!x->streaming) {
		g_byte_array_unref(x->buffered);
		x->buffered = g_byte_array_new();
	}
	/* Events that were held back go to the caller, and with them the head
	 * of their response. */
	if (!x->retry.response_started && x->headers != NULL &&
	    x->buffered->len == 0) {
		g_string_free(x->headers, TRUE);
		x->headers = NULL;
	}
	exch_note_memory(x);
}

static void set_affinity(struct exch *x, const char *name)
{
	struct exch_session *session =
		g_hash_table_lookup(x->shared->sessions, name);

	if (session == NULL) {
		session = g_new0(struct exch_session, 1);
		g_hash_table_insert(x->shared->sessions, g_strdup(name),
				    session);
	}
	g_strlcpy(session->server, x->server->id, sizeof(session->server));
	session->used_ms = clock_boot_ms();
}

/* Remembers the server by program too: a sub-agent has a session of its own,
 * but starts with the history of its program. */
static void remember_server(struct exch *x)
{
	if (!x->service->engine)
		return;
	if (x->call.session != NULL)
		set_affinity(x, x->call.session);
	if (x->call.program != NULL)
		set_affinity(x, x->call.program);
}

/* Ties the stream to the version of the server that sent its first event. While
 * there are others, no caller gets an event before every instance can learn the
 * version, or at least none can mistake it. */
static void bind_version(struct exch *x)
{
	struct fleet *fleet = x->shared->fleet;
	const char *service = x->service->name;
	int64_t window_ms = exch_version_window_ms(x);
	int64_t now_ms = clock_boot_ms();

	x->version = g_strdup(x->server->version);
	if (x->route->resumable && x->turn != NULL &&
	    fleet_has_mixed_versions(fleet, service, window_ms, now_ms))
		x->storing_version = turns_store_version(
			x->turn, x->version,
			fleet_needs_version_record(fleet, service, window_ms,
						   now_ms));
}

static void copy_event(const struct exch *x, const struct splitter_event *event)
{
	struct scopy_event copied = {
		.id = event->id,
		.has_data = event->has_data,
		.data = (const uint8_t *)event->data->str,
		.len = event->has_data ? event->data->len : 0,
	};

	copies_add(x->copy, &copied);
}

/* Adds an event to the history and to the measurements. */
static void note_event(struct exch *x, const struct splitter_event *event)
{
	if (event->id >= 0)
		x->received_event_id = event->id;
	if (event->has_data) {
		x->tokens_used += MAX(x->service->stride, 1);
		x->attempt_tokens += MAX(x->service->stride, 1);
		exch_cost_progress(x);
	}
	if (event->has_data && x->route->retain) {
		g_string_append_len(x->turn_output, event->data->str,
				    (gssize)event->data->len);
		g_string_append_c(x->turn_output, '\n');
	}
	if (x->copy != NULL)
		copy_event(x, event);
	x->events_received++;
	if (x->first_event_ms == 0)
		x->first_event_ms = clock_boot_ms();
	else
		x->later_events++;
}

static void on_event(void *arg, const struct splitter_event *event)
{
	struct exch *x = arg;

	if (event->id >= 0 && event->id <= x->received_event_id)
		return;
	if (x->version == NULL)
		bind_version(x);
	if (!x->first_event_seen)
		exch_begin_copy(x);
	note_event(x, event);
	g_byte_array_append(x->buffered, (const guint8 *)event->raw,
			    (guint)event->raw_len);
	if (!x->first_event_seen)
		stats_observe(STATS_FIRST_EVENT,
			      clock_boot_ms() - x->started_ms);
	x->first_event_seen = true;
}

void exch_arm_silence_timer(struct exch *x)
{
	int64_t ms;

	x->silence_until_ms = 0;
	x->retry.remaining_ms = x->deadline_at_ms - clock_boot_ms();
	/* The attempt in progress counts as a run. */
	x->retry.possible_runs++;
	ms = retry_silence_timeout_ms(&x->retry, x->route->slo_ms,
				      x->route->event_gap_ms);
	x->retry.possible_runs--;
	if (ms > 0)
		exch_set_timer(x->timer, ms);
	else
		event_del(x->timer);
}

static void note_received(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();

	if (!x->response.misdirected)
		fleet_on_heard(x->server, now_ms);
	if (x->tunnel == NULL)
		links_on_received(x->shared->links, now_ms);
}

static void on_connected(void *arg)
{
	struct exch *x = arg;

	if (x->tunnel == NULL)
		lchk_on_connected(x->shared->link_check, x->server->id);
}

/* Acts on an announcement of the server's shutdown. */
static void note_going_away(const struct exch *x, int status)
{
	const struct fleet_server *server = x->server;

	if (x->response.goaway == RESPONSE_GOAWAY_UNREADABLE)
		stats_count(STATS_GOAWAY_UNREADABLE);
	if (x->response.goaway != RESPONSE_GOAWAY ||
	    !fleet_on_going_away(x->shared->fleet, server,
				 x->response.misdirected, clock_time_ms()))
		return;
	stats_count(STATS_GOING_AWAY);
	slog("going_away", x->call.id,
	     "\"server\":%s,\"peer\":%s,\"started_ms\":%" G_GINT64_FORMAT
	     ",\"status\":%d,\"draining\":%s,\"list_age_ms\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), slog_quote(server->address),
	     server->started_ms, status, server->draining ? "true" : "false",
	     watcher_servers_age_ms(x->shared->watcher));
}

/* Whether a response may answer the request, or go on with the stream that the
 * response of another attempt has begun. */
static bool is_usable(const struct exch *x, const struct upstream_head *head)
{
	const struct response *response = &x->response;

	if (response->not_executed || response->misdirected ||
	    response->encoded || (head->status < 300 && !response->is_signed))
		return false;
	return x->headers == NULL ||
	       (head->status == 200 && response->event_stream);
}

static void note_load(struct exch *x)
{
	const struct response *response = &x->response;
	int64_t now_ms = clock_boot_ms();
	struct lview_report report = {
		.server = x->server->load_key,
		.requests = response->running + response->waiting,
		.slowness = response->slowness,
		.as_of_ms = now_ms,
	};

	fleet_on_load_report(x->server, response->running, response->waiting,
			     now_ms);
	if (exch_manages_overload(x) && !response->misdirected)
		lview_apply(x->shared->load_view, &report, now_ms);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct exch *x = arg;

	wire_parse_response(head, &x->response);
	note_received(x);
	x->head_received = true;
	if (x->response.has_load)
		note_load(x);
	exch_note_server_limit(x);
	note_going_away(x, head->status);
	if (!x->response.not_executed && !x->response.misdirected)
		exch_note_accepted(x);
	x->usable = is_usable(x, head);
	if (!x->usable || x->headers != NULL)
		return;
	x->status = head->status;
	x->headers = wire_build_response(head);
	if (x->turn != NULL && x->reader == NULL)
		turns_release_history(x->turn);
	exch_note_memory(x);
	x->streaming = x->response.event_stream && head->status == 200 &&
		       x->route->kind == CAT_STREAM;
}

/* Ends an attempt whose response must not reach the caller. */
static void end_unusable(struct exch *x)
{
	if (x->response.misdirected) {
		fleet_on_replaced(x->server, clock_boot_ms());
		stats_count(STATS_NOT_EXECUTED);
		exch_attempt_failed(x, RETRY_NOT_EXECUTED,
				    "another server there");
	} else if (x->response.not_executed) {
		stats_count(STATS_NOT_EXECUTED);
		exch_note_refused(x);
		exch_attempt_failed(x, RETRY_NOT_EXECUTED, "server refused");
	} else {
		exch_attempt_failed(x, RETRY_INTERRUPTED,
				    "answer not the server's own");
	}
}

static void on_stream_body(struct exch *x, const char *data, size_t len)
{
	int64_t events = x->events_received;

	splitter_feed(x->splitter, data, len, on_event, x);
	if (splitter_pending(x->splitter) > EVENT_MAX_BYTES) {
		exch_attempt_failed(x, RETRY_INTERRUPTED, "event too long");
		return;
	}
	/* First, so that the copy is not behind the caller. */
	if (x->copy != NULL)
		copies_send(x->copy);
	flush_output(x);
	exch_note_memory(x);
	/* A part of an event is no progress that the caller would see. */
	if (x->events_received > events)
		exch_arm_silence_timer(x);
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct exch *x = arg;

	note_received(x);
	if (!x->usable) {
		x->unusable_bytes += len;
		if (x->unusable_bytes > UNUSABLE_MAX_BYTES)
			end_unusable(x);
		return;
	}
	if (x->streaming) {
		on_stream_body(x, data, len);
		return;
	}
	if (x->buffered->len + len > RESPONSE_MAX_BYTES) {
		exch_attempt_failed(x, RETRY_INTERRUPTED, "answer too long");
		return;
	}
	g_byte_array_append(x->buffered, (const guint8 *)data, (guint)len);
	exch_note_memory(x);
}

/* Handles a completely received response. */
static void on_complete_response(struct exch *x)
{
	if (!x->usable) {
		end_unusable(x);
		return;
	}
	exch_cost_end(x, x->status < 300);
	fleet_on_response(x->server, x->status >= 500, clock_boot_ms());
	rollouts_on_response(&x->attempt, x->status,
			     (double)(clock_boot_ms() - x->sent_ms) /
				     (x->later_events + 1));
	crash_on_completed(x->shared->crashes, x->call.id, x->fingerprint);
	if (x->later_events > 1)
		fleet_update_event_gap(x->server, (double)(clock_boot_ms() -
							   x->first_event_ms) /
							  x->later_events);
	remember_server(x);
	exch_note_turn(x);
	x->upstream_complete = true;
	if (x->copy != NULL) {
		copies_end(x->copy);
		copies_send(x->copy);
	}
	event_del(x->timer);
	if (!x->streaming) {
		reply_buffered(x);
		return;
	}
	complete_stream(x);
}

/* Handles a response that broke off. */
static void on_broken(struct exch *x, const char *cause)
{
	exch_suspect(x, SUSPECT_BROKEN, cause);
	exch_attempt_failed(x, RETRY_INTERRUPTED, cause);
}

static void on_end(void *arg, enum upstream_result result, const char *step)
{
	struct exch *x = arg;

	x->upstream = NULL;
	g_clear_pointer(&x->reader, turns_reader_destroy);
	event_del(x->timer);
	if (result == UPSTREAM_COMPLETE && x->streaming &&
	    splitter_pending(x->splitter) > 0)
		on_broken(x, "event cut off");
	else if (result == UPSTREAM_COMPLETE)
		on_complete_response(x);
	else if (result == UPSTREAM_NO_TUNNEL)
		exch_tunnel_failed(x, step);
	else if (result == UPSTREAM_NOT_SENT && x->tunnel == NULL)
		exch_link_failed(x, step);
	else if (result == UPSTREAM_NOT_SENT)
		exch_attempt_failed(x, RETRY_NOT_SENT, step);
	else
		on_broken(x, step);
}

static const struct upstream_handler server_handler = {
	.connected = on_connected,
	.writable = exch_continue_body,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

int exch_priority(const struct exch *x)
{
	int priority = (int)x->route->priority;

	if (x->account != NULL && x->account->priority >= 0)
		priority = x->account->priority;
	return MIN(priority, PRIORITY_MAX);
}

/* The priority to request from the server; -1 for plain services. */
static int server_priority(const struct exch *x)
{
	return x->service->engine ? exch_priority(x) : -1;
}

/* Logs what the shared view of the load says about the server. */
static void log_load(const struct exch *x, int64_t now_ms)
{
	const struct lview *view = x->shared->load_view;
	uint32_t key = x->server->load_key;
	int64_t reported_ms = lview_reported_ms(view, key);
	struct fleet_work work;

	if (!x->service->engine || !exch_manages_overload(x))
		return;
	exch_predict_work((void *)x, x->server, &work);
	slog("load", x->call.id,
	     "\"server\":%s,\"requests\":%.1f,\"slowness\":%.2f,"
	     "\"mean_slowness\":%.2f,\"age_ms\":%" G_GINT64_FORMAT
	     ",\"prefill_ms\":%.0f,\"work_ms\":%.0f,\"high_ms\":%.0f"
	     ",\"outstanding_ms\":%.0f",
	     slog_quote(x->server->id), lview_requests(view, key, now_ms),
	     lview_slowness(view, key), lview_mean_slowness(view, key),
	     reported_ms > 0 ? now_ms - reported_ms : -1, work.prefill_ms,
	     work.mean_ms, work.high_ms, work.outstanding_ms);
}

/* Logs what is known of the server to which the request is sent. */
static void log_send(const struct exch *x, int64_t now_ms, int64_t left_ms)
{
	const struct fleet_server *server = x->server;
	struct slim_limit limit = {0};

	(void)slim_get(x->shared->server_limits, server->id, &limit);
	slog("sent", x->call.id,
	     "\"server\":%s,\"account\":%s,\"running\":%u,\"told\":%u,"
	     "\"told_ms\":%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"config\":%" G_GINT64_FORMAT
	     ",\"version\":%s,\"after_event\":%" G_GINT64_FORMAT
	     ",\"resumes\":%s,\"limit\":%.2f,\"limit_ms\":%" G_GINT64_FORMAT
	     ",\"tunnel\":%s,\"link_lost\":%s,\"silent_ms\":%" G_GINT64_FORMAT
	     ",\"fingerprint\":\"%016" G_GINT64_MODIFIER "x\""
	     ",\"stop_ms\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), slog_quote(exch_account_name(x)),
	     server->running,
	     server->reported_running + server->reported_waiting,
	     server->reported_at_ms > 0 ? now_ms - server->reported_at_ms : -1,
	     left_ms, slog_quote(x->route->name), cat_version(x->catalog),
	     slog_quote(server->version), x->received_event_id,
	     slog_quote(x->call.resumes ? x->call.resumes : ""),
	     limit.named ? limit.per_s : -1.0,
	     limit.named ? now_ms - limit.as_of_ms : -1,
	     slog_quote(x->tunnel ? x->tunnel : ""),
	     links_is_lost(x->shared->links, server->id) ? "true" : "false",
	     links_silent_ms(x->shared->links, now_ms), x->fingerprint,
	     x->shared->stop_at_ms > 0 ? x->shared->stop_at_ms - now_ms : -1);
}

/* Sends the request through another instance if the link to its server is lost;
 * @p tunnel keeps the strings that @p request refers to. */
static void choose_path(struct exch *x, struct upstream_request *request,
			struct members_tunnel *tunnel, int64_t now_ms)
{
	if ((x->link_failed ||
	     links_is_lost(x->shared->links, x->server->id)) &&
	    members_find_tunnel(x->shared->members, tunnel)) {
		x->tunnel = g_strdup(tunnel->id);
		request->tunnel = tunnel->address;
		request->server = x->server->id;
		request->limit_ms = x->deadline_at_ms - now_ms;
		request->connect_timeout_ms = TUNNEL_TIMEOUT_MS;
		stats_count(STATS_SENT_BY_TUNNEL);
		return;
	}
	links_on_sent(x->shared->links, now_ms);
}

static void on_abandon(void *arg)
{
	struct exch *x = arg;

	exch_attempt_failed(x, RETRY_INTERRUPTED, "lease of version over");
}

static void register_attempt(struct exch *x, int64_t now_ms)
{
	x->attempt.server = x->server;
	x->attempt.route = x->route->name;
	x->attempt.sent_ms = now_ms;
	x->attempt.is_stream = x->route->kind == CAT_STREAM;
	x->attempt.was_counted = false;
	x->attempt.abandon = on_abandon;
	x->attempt.arg = x;
	rollouts_on_sent(x->shared->rollouts, &x->attempt);
}

void exch_send_to_server(struct exch *x, struct fleet_server *server)
{
	int64_t now_ms = clock_boot_ms();
	struct forward forward = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = x->deadline_at_ms - now_ms,
		.last_event_id = x->received_event_id,
		.priority = server_priority(x),
	};
	uint64_t body_len = exch_body_size(x);
	bool has_history = body_len > g_bytes_get_size(x->body);
	struct upstream_request request = {
		.address = server->address,
		.idle = server->idle,
		.body = has_history ? NULL : x->body,
		.more_body = has_history,
		.id_name = WIRE_REQUEST_ID_HEADER,
		.id = x->call.id,
		.used_conns = x->used_conns,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	struct members_tunnel tunnel;

	x->server = fleet_ref(server);
	x->sent_ms = now_ms;
	x->retry.sends++;
	x->head_received = false;
	x->usable = false;
	x->held.paused = false;
	x->first_event_ms = 0;
	x->later_events = 0;
	x->unusable_bytes = 0;
	memset(&x->response, 0, sizeof(x->response));
	splitter_reset(x->splitter);
	exch_note_memory(x);
	fleet_on_send(server, now_ms);
	x->attempt_tokens = 0;
	exch_cost_begin(x);
	exch_note_sent(x);
	register_attempt(x, now_ms);
	choose_path(x, &request, &tunnel, now_ms);
	stats_count(STATS_SENT);
	log_send(x, now_ms, forward.deadline_ms);
	log_load(x, now_ms);
	request.head = wire_build_request(x->request, &forward, body_len);
	x->upstream = upstream_send(x->shared->upstream, &request,
				    &server_handler, x);
	if (has_history)
		exch_write_body(x);
	exch_arm_silence_timer(x);
}
