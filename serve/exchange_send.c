/**
 * @file exchange_send.c
 * @brief Selects a backend server for a request and relays its response.
 */
#include <string.h>

#include "clock.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	CONNECT_TIMEOUT_MS = 250,      /* the handshake takes 1 to 5 ms */
	RESPONSE_MAX_BYTES = 16777216, /* of a response that is buffered */
	SELECT_RETRY_MS = 8,	       /* while no server has a free slot */
	/* Costs weighed when a server is selected. */
	TURN_COST_MS = 1,	/* slowdown by another running turn */
	CALL_COST_MS = 10,	/* a call that waits for another one */
	CROSS_ZONE_COST_MS = 4, /* round trip and transfer to another zone */
	AFFINITY_MISS_COST_MS = 12, /* the session's history is read again */
	PRIORITY_MAX = 9,	    /* the least urgent */
};

/* Sends the buffered output once the turn's tokens are granted. */
static void flush_output(struct exch *x)
{
	if (!x->tokens_granted || x->headers == NULL)
		return;
	if (!x->retry.begun && (x->buffered->len > 0 || x->upstream_complete)) {
		in_begin(x->request, x->status, x->headers->str);
		x->retry.begun = true;
	}
	if (x->buffered->len > 0) {
		in_chunk(x->request, x->buffered->data, x->buffered->len);
		g_byte_array_set_size(x->buffered, 0);
	}
}

static void finish_stream(struct exch *x)
{
	struct in_request *request = x->request;

	flush_output(x);
	sts_time(STS_STREAM, clock_boot_ms() - x->started_ms);
	exch_log_end(x, "whole", x->status);
	exch_free(x);
	in_finish(request);
}

/* The server's stream is complete: commits a retained turn before the caller
 * gets the end of the stream. */
static void complete_stream(struct exch *x)
{
	GByteArray *text;
	GBytes *bytes;

	if (!x->tokens_granted)
		return;
	flush_output(x);
	if (!x->route->retain) {
		finish_stream(x);
		return;
	}
	text = g_byte_array_new();
	g_byte_array_append(text, x->request->body->data,
			    x->request->body->len);
	g_byte_array_append(text, (const guint8 *)x->turn_output->str,
			    (guint)x->turn_output->len);
	bytes = g_byte_array_free_to_bytes(text);
	turns_commit(x->turn, bytes, x->tokens_used);
	g_bytes_unref(bytes);
}

void exch_on_turn_committed(void *arg)
{
	finish_stream(arg);
}

void exch_on_tokens_granted(void *arg)
{
	struct exch *x = arg;

	x->tokens_granted = true;
	if (x->upstream_complete && x->streaming)
		complete_stream(x);
	else if (x->streaming)
		flush_output(x);
}

static void reply_buffered(struct exch *x)
{
	struct in_request *request = x->request;
	GByteArray *body = g_byte_array_ref(x->buffered);
	GString *headers = g_string_new(x->headers->str);
	int status = x->status;

	sts_time(STS_CALL, clock_boot_ms() - x->started_ms);
	exch_log_end(x, "whole", status);
	exch_free(x);
	in_reply(request, status, headers->str, body->data, body->len);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
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

void exch_attempt_failed(struct exch *x, enum rty_end failure,
			 const char *cause)
{
	int64_t now_ms = clock_boot_ms();
	bool refused = failure == RTY_NOT_EXECUTED;
	enum rty_next action;

	slog("no_answer", x->call.id,
	     "\"server\":%s,\"cause\":\"%s\",\"ran\":\"%s\",\"ms\":"
	     "%" G_GINT64_FORMAT,
	     slog_quote(x->server->id), cause,
	     failure == RTY_BROKEN ? "unknown" : "no", now_ms - x->sent_ms);
	if (failure == RTY_BROKEN)
		x->retry.runs++;
	if (!refused)
		flt_failed(x->server, now_ms);
	if (failure == RTY_BROKEN && !x->answer.encoded && !x->head_received &&
	    sus_add(x->shared->suspects, x->fingerprint, x->server->id, now_ms))
		members_report_suspect(x->shared->members, x->fingerprint,
				       x->server->id);
	g_ptr_array_add(x->tried_servers, g_strdup(x->server->id));
	exch_cancel_upstream(x);
	x->head_received = false;
	x->retry.left_ms = x->deadline_at_ms - now_ms;
	action = rty_after(&x->retry, failure);
	if (action == RTY_AGAIN) {
		if (failure == RTY_BROKEN)
			sts_count(x->retry.begun ? STS_RESUMED
						 : STS_SENT_AGAIN);
		exch_send(x);
	} else if (action == RTY_REFUSE) {
		exch_refuse(x, STS_REFUSED_FULL, 503, cause,
			    rty_come_back_ms(x->route->target_ms));
	} else {
		exch_fail(x, cause, 502);
	}
}

static void on_event(void *arg, const struct splitter_event *event)
{
	struct exch *x = arg;

	if (event->id >= 0 && event->id <= x->last_event_id)
		return;
	if (event->id >= 0)
		x->last_event_id = event->id;
	if (event->has_data) {
		x->tokens_used += MAX(x->service->stride, 1);
		g_string_append_len(x->turn_output, event->data->str,
				    (gssize)event->data->len);
		g_string_append_c(x->turn_output, '\n');
	}
	g_byte_array_append(x->buffered, (const guint8 *)event->raw,
			    (guint)event->raw_len);
	if (x->first_event_ms == 0)
		x->first_event_ms = clock_boot_ms();
	else
		x->later_events++;
	if (!x->first_event_seen)
		sts_time(STS_FIRST_EVENT, clock_boot_ms() - x->started_ms);
	x->first_event_seen = true;
}

/* (Re)arms the timer that ends an attempt whose server sends nothing. */
static void arm_silence_timer(struct exch *x)
{
	int64_t ms;

	x->retry.left_ms = x->deadline_at_ms - clock_boot_ms();
	/* The attempt in progress counts as a run. */
	x->retry.runs++;
	ms = rty_silence_ms(&x->retry, x->route->target_ms, x->route->pause_ms);
	x->retry.runs--;
	if (ms > 0)
		exch_set_timer(x->timer, ms);
	else
		event_del(x->timer);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct exch *x = arg;

	wire_read_answer(head, &x->answer);
	x->head_received = true;
	if (x->answer.load_told)
		flt_told(x->server, x->answer.running, x->answer.waiting,
			 clock_boot_ms());
	if (x->answer.not_executed || x->answer.other_server ||
	    x->answer.encoded || (head->status < 300 && !x->answer.is_signed))
		return;
	if (x->headers != NULL) {
		x->resume_mismatch =
			head->status != 200 || !x->answer.event_stream;
		return;
	}
	x->status = head->status;
	x->headers = wire_write_answer(head);
	x->streaming = x->answer.event_stream && head->status == 200 &&
		       x->route->kind == CAT_STREAM;
}

/* Whether the response being received must not reach the caller. */
static bool is_unusable(const struct exch *x)
{
	return x->answer.not_executed || x->answer.other_server ||
	       x->answer.encoded || x->resume_mismatch || x->headers == NULL;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct exch *x = arg;

	if (is_unusable(x))
		return;
	if (x->streaming) {
		splitter_feed(x->splitter, data, len, on_event, x);
		flush_output(x);
		arm_silence_timer(x);
		return;
	}
	if (x->buffered->len + len > RESPONSE_MAX_BYTES) {
		exch_attempt_failed(x, RTY_BROKEN, "answer too long");
		return;
	}
	g_byte_array_append(x->buffered, (const guint8 *)data, (guint)len);
}

/* Handles a completely received response. */
static void on_complete_response(struct exch *x)
{
	if (x->answer.other_server) {
		flt_replaced(x->server, clock_boot_ms());
		sts_count(STS_NOT_EXECUTED);
		exch_attempt_failed(x, RTY_NOT_EXECUTED,
				    "another server there");
		return;
	}
	if (x->answer.not_executed) {
		sts_count(STS_NOT_EXECUTED);
		exch_attempt_failed(x, RTY_NOT_EXECUTED, "server refused");
		return;
	}
	if (is_unusable(x)) {
		exch_attempt_failed(x, RTY_BROKEN,
				    "answer not the server's own");
		return;
	}
	flt_answered(x->server, x->status >= 500, clock_boot_ms());
	if (x->later_events > 1)
		flt_paced(x->server,
			  (double)(clock_boot_ms() - x->first_event_ms) /
				  x->later_events);
	remember_server(x);
	x->upstream_complete = true;
	event_del(x->timer);
	if (!x->streaming) {
		reply_buffered(x);
		return;
	}
	complete_stream(x);
}

static void on_end(void *arg, enum upstream_result result, const char *step)
{
	struct exch *x = arg;

	x->upstream = NULL;
	event_del(x->timer);
	if (result == UPSTREAM_COMPLETE && x->streaming &&
	    splitter_pending(x->splitter) > 0)
		exch_attempt_failed(x, RTY_BROKEN, "event cut off");
	else if (result == UPSTREAM_COMPLETE)
		on_complete_response(x);
	else if (result == UPSTREAM_NOT_SENT)
		exch_attempt_failed(x, RTY_NOT_SENT, step);
	else
		exch_attempt_failed(x, RTY_BROKEN, step);
}

static const struct upstream_handler server_handler = {on_head, on_body,
						       on_end};

/* The priority to request from the server; -1 for plain services. */
static int server_priority(const struct exch *x)
{
	int priority = (int)x->route->priority;

	if (x->account != NULL && x->account->priority >= 0)
		priority = x->account->priority;
	return x->service->engine ? MIN(priority, PRIORITY_MAX) : -1;
}

static void send_to_server(struct exch *x, struct flt_server *server,
			   int64_t now_ms)
{
	struct forward forward = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = x->deadline_at_ms - now_ms,
		.last_event = x->last_event_id,
		.priority = server_priority(x),
	};
	struct upstream_request request = {
		.address = server->address,
		.idle = server->idle,
		.body = x->body,
		.id_name = WIRE_ID_NAME,
		.id = x->call.id,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};

	x->server = flt_ref(server);
	x->sent_ms = now_ms;
	x->retry.sends++;
	x->head_received = false;
	x->resume_mismatch = false;
	x->first_event_ms = 0;
	x->later_events = 0;
	memset(&x->answer, 0, sizeof(x->answer));
	splitter_reset(x->splitter);
	if (!x->retry.begun && x->headers != NULL && x->buffered->len == 0) {
		g_string_free(x->headers, TRUE);
		x->headers = NULL;
	}
	if (!x->streaming)
		g_byte_array_set_size(x->buffered, 0);
	flt_sent(server, now_ms);
	sts_count(STS_SENT);
	slog("sent", x->call.id,
	     "\"server\":%s,\"account\":%s,\"running\":%u,\"told\":%u,"
	     "\"told_ms\":%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"config\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), slog_quote(exch_account_name(x)),
	     server->running, server->told_running + server->told_waiting,
	     server->told_at > 0 ? now_ms - server->told_at : -1,
	     forward.deadline_ms, slog_quote(x->route->name),
	     cat_version(x->catalog));
	request.head = wire_write_call(x->request, &forward,
				       g_bytes_get_size(x->body));
	x->upstream = upstream_send(x->shared->upstream, &request,
				    &server_handler, x);
	arm_silence_timer(x);
}

/* No server can take the request now: retries shortly, or ends it. */
static void on_no_server(struct exch *x, enum flt_none why, int64_t now_ms)
{
	int64_t max_wait_ms = rty_patience_ms(
		x->route->target_ms, x->deadline_at_ms - x->started_ms);
	int64_t retry_after_ms = rty_come_back_ms(x->route->target_ms);

	if (x->retry.begun) {
		exch_fail(x, "no server to go on", 502);
		return;
	}
	if (why != FLT_NO_SERVER && now_ms - x->started_ms < max_wait_ms) {
		if (why == FLT_ALL_TRIED)
			g_ptr_array_set_size(x->tried_servers, 0);
		exch_set_timer(x->timer, SELECT_RETRY_MS);
		return;
	}
	if (x->retry.runs > 0)
		exch_fail(x, "no other server", 502);
	else
		exch_refuse(x, STS_REFUSED_FULL, 503,
			    why == FLT_NO_SERVER  ? "no server in service"
			    : why == FLT_ALL_COLD ? "servers cold"
						  : "servers full",
			    retry_after_ms);
}

/* The server that ran the last turn of the session, or else of the program. */
static const char *preferred_server(const struct exch *x)
{
	const struct exch_session *session = NULL;

	if (!x->service->engine)
		return NULL;
	if (x->call.session != NULL)
		session = g_hash_table_lookup(x->shared->sessions,
					      x->call.session);
	if (session == NULL && x->call.program != NULL)
		session = g_hash_table_lookup(x->shared->sessions,
					      x->call.program);
	return session ? session->server : NULL;
}

/* Expected events of the stream: a turn usually generates half of its maximum.
 */
static double expected_events(const struct exch *x)
{
	return (double)x->call.most_tokens / MAX(x->service->stride, 1) / 2;
}

void exch_send(struct exch *x)
{
	int64_t now_ms = clock_boot_ms();
	struct flt_query query = {
		.service = x->service->name,
		.zone = x->shared->zone,
		.sticky = preferred_server(x),
		.affinity = x->call.shared ^ x->call.affinity,
		.affinity_ms = AFFINITY_MISS_COST_MS,
		.away_ms = CROSS_ZONE_COST_MS,
		.work_ms = x->service->engine ? TURN_COST_MS : CALL_COST_MS,
		.events = x->service->engine && preferred_server(x) == NULL
				  ? expected_events(x)
				  : 0,
		.cold_per_s = x->service->cold_per_s,
		.max_conns = x->service->max_conns,
		.instances = members_count(x->shared->members),
		.tried = x->tried_servers,
	};
	enum flt_none why;
	struct flt_server *server;

	server = flt_pick(x->shared->fleet, &query, now_ms, &why);
	if (server != NULL)
		send_to_server(x, server, now_ms);
	else
		on_no_server(x, why, now_ms);
}
