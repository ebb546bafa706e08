/**
 * @file exchange_send.c
 * @brief Finds a backend server for a request and passes the answer on.
 */
#include <string.h>

#include "clock.h"
#include "exchange_int.h"
#include "platform/wire.h"
#include "slog.h"

enum {
	CONNECT_MS = 250,	/* the way and the handshake take 1 to 5 ms */
	ANSWER_MOST = 16777216, /* bytes of an answer that is held whole */
	PLACE_AGAIN_MS = 8,	/* between two looks for a place */
	TURN_MS = 1,		/* by which a turn slows another one down */
	CALL_MS = 10,		/* a call that waits for another one */
	AWAY_MS = 4,		/* a request to another zone, and its bytes */
	STICKY_MS = 12,		/* the history of a line, read again */
	LEAST_URGENT = 9,
};

/* Passes on what the caller may have by now. */
static void pass_on(struct exch *x)
{
	if (!x->granted || x->headers == NULL)
		return;
	if (!x->state.begun && (x->held->len > 0 || x->ended)) {
		in_begin(x->request, x->status, x->headers->str);
		x->state.begun = true;
	}
	if (x->held->len > 0) {
		in_chunk(x->request, x->held->data, x->held->len);
		g_byte_array_set_size(x->held, 0);
	}
}

static void finish_stream(struct exch *x)
{
	struct in_request *request = x->request;

	pass_on(x);
	sts_time(STS_STREAM, clock_boot_ms() - x->began);
	exch_log_end(x, "whole", x->status);
	exch_free(x);
	in_finish(request);
}

/* The server's stream is whole: the turn is kept before its end is told. */
static void end_stream(struct exch *x)
{
	GByteArray *text;
	GBytes *bytes;

	if (!x->granted)
		return;
	pass_on(x);
	if (!x->route->retain) {
		finish_stream(x);
		return;
	}
	text = g_byte_array_new();
	g_byte_array_append(text, x->request->body->data,
			    x->request->body->len);
	g_byte_array_append(text, (const guint8 *)x->output->str,
			    (guint)x->output->len);
	bytes = g_byte_array_free_to_bytes(text);
	turns_commit(x->turn, bytes, x->used);
	g_bytes_unref(bytes);
}

void exch_on_turn_committed(void *arg)
{
	finish_stream(arg);
}

void exch_on_tokens_granted(void *arg)
{
	struct exch *x = arg;

	x->granted = true;
	if (x->ended && x->streaming)
		end_stream(x);
	else if (x->streaming)
		pass_on(x);
}

static void reply_whole(struct exch *x)
{
	struct in_request *request = x->request;
	GByteArray *body = g_byte_array_ref(x->held);
	GString *headers = g_string_new(x->headers->str);
	int status = x->status;

	sts_time(STS_CALL, clock_boot_ms() - x->began);
	exch_log_end(x, "whole", status);
	exch_free(x);
	in_reply(request, status, headers->str, body->data, body->len);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
}

static void remember_at(struct exch *x, const char *line)
{
	struct exch_session *session =
		g_hash_table_lookup(x->shared->sessions, line);

	if (session == NULL) {
		session = g_new0(struct exch_session, 1);
		g_hash_table_insert(x->shared->sessions, g_strdup(line),
				    session);
	}
	g_strlcpy(session->server, x->server->id, sizeof(session->server));
	session->at = clock_boot_ms();
}

/* Sub-agents begin with the history of their program, on a line of theirs. */
static void remember_session(struct exch *x)
{
	if (!x->service->engine)
		return;
	if (x->call.session != NULL)
		remember_at(x, x->call.session);
	if (x->call.program != NULL)
		remember_at(x, x->call.program);
}

/* A send ended without a whole answer. */
void exch_attempt_failed(struct exch *x, enum rty_end end, const char *cause)
{
	int64_t now = clock_boot_ms();
	bool idle = end == RTY_NOT_EXECUTED;
	enum rty_next next;

	slog("no_answer", x->call.id,
	     "\"server\":%s,\"cause\":\"%s\",\"ran\":\"%s\",\"ms\":"
	     "%" G_GINT64_FORMAT,
	     slog_quote(x->server->id), cause,
	     end == RTY_BROKEN ? "unknown" : "no", now - x->sent_at);
	if (end == RTY_BROKEN)
		x->state.runs++;
	if (!idle)
		flt_failed(x->server, now);
	if (end == RTY_BROKEN && !x->answer.encoded && !x->reading &&
	    sus_add(x->shared->suspects, x->fingerprint, x->server->id, now))
		members_broadcast_mark(x->shared->members, x->fingerprint,
				       x->server->id);
	g_ptr_array_add(x->tried, g_strdup(x->server->id));
	exch_cancel_upstream(x);
	x->reading = false;
	x->state.left_ms = x->deadline_at - now;
	next = rty_after(&x->state, end);
	if (next == RTY_AGAIN) {
		if (end == RTY_BROKEN)
			sts_count(x->state.begun ? STS_RESUMED
						 : STS_SENT_AGAIN);
		exch_send(x);
	} else if (next == RTY_REFUSE) {
		exch_refuse(x, STS_REFUSED_FULL, 503, cause,
			    rty_come_back_ms(x->route->target_ms));
	} else {
		exch_fail(x, cause, 502);
	}
}

static void on_event(void *arg, const struct splitter_event *event)
{
	struct exch *x = arg;

	if (event->id >= 0 && event->id <= x->last_event)
		return;
	if (event->id >= 0)
		x->last_event = event->id;
	if (event->has_data) {
		x->used += MAX(x->service->stride, 1);
		g_string_append_len(x->output, event->data->str,
				    (gssize)event->data->len);
		g_string_append_c(x->output, '\n');
	}
	g_byte_array_append(x->held, (const guint8 *)event->raw,
			    (guint)event->raw_len);
	if (x->paced_from == 0)
		x->paced_from = clock_boot_ms();
	else
		x->paced_events++;
	if (!x->first_seen)
		sts_time(STS_FIRST_EVENT, clock_boot_ms() - x->began);
	x->first_seen = true;
}

static void watch_silence(struct exch *x)
{
	int64_t ms;

	x->state.left_ms = x->deadline_at - clock_boot_ms();
	/* The send under way counts as a run. */
	x->state.runs++;
	ms = rty_silence_ms(&x->state, x->route->target_ms, x->route->pause_ms);
	x->state.runs--;
	if (ms > 0)
		exch_set_timer(x->pause, ms);
	else
		event_del(x->pause);
}

static void on_head(void *arg, const struct upstream_head *head)
{
	struct exch *x = arg;

	wire_read_answer(head, &x->answer);
	x->reading = true;
	if (x->answer.load_told)
		flt_told(x->server, x->answer.running, x->answer.waiting,
			 clock_boot_ms());
	if (x->answer.not_executed || x->answer.other_server ||
	    x->answer.encoded || (head->status < 300 && !x->answer.is_signed))
		return;
	if (x->headers != NULL) {
		x->misfit = head->status != 200 || !x->answer.event_stream;
		return;
	}
	x->status = head->status;
	x->headers = wire_write_answer(head);
	x->streaming = x->answer.event_stream && head->status == 200 &&
		       x->route->kind == CAT_STREAM;
}

/* Whether the answer under way is of no use. */
static bool useless(const struct exch *x)
{
	return x->answer.not_executed || x->answer.other_server ||
	       x->answer.encoded || x->misfit || x->headers == NULL;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct exch *x = arg;

	if (useless(x))
		return;
	if (x->streaming) {
		splitter_feed(x->events, data, len, on_event, x);
		pass_on(x);
		watch_silence(x);
		return;
	}
	if (x->held->len + len > ANSWER_MOST) {
		exch_attempt_failed(x, RTY_BROKEN, "answer too long");
		return;
	}
	g_byte_array_append(x->held, (const guint8 *)data, (guint)len);
}

/* The whole answer has come. */
static void answered(struct exch *x)
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
	if (useless(x)) {
		exch_attempt_failed(x, RTY_BROKEN,
				    "answer not the server's own");
		return;
	}
	flt_answered(x->server, x->status >= 500, clock_boot_ms());
	if (x->paced_events > 1)
		flt_paced(x->server, (double)(clock_boot_ms() - x->paced_from) /
					     x->paced_events);
	remember_session(x);
	x->ended = true;
	event_del(x->pause);
	if (!x->streaming) {
		reply_whole(x);
		return;
	}
	end_stream(x);
}

static void on_end(void *arg, enum upstream_result end, const char *step)
{
	struct exch *x = arg;

	x->upstream = NULL;
	event_del(x->pause);
	if (end == UPSTREAM_COMPLETE && x->streaming &&
	    splitter_pending(x->events) > 0)
		exch_attempt_failed(x, RTY_BROKEN, "event cut off");
	else if (end == UPSTREAM_COMPLETE)
		answered(x);
	else if (end == UPSTREAM_NOT_SENT)
		exch_attempt_failed(x, RTY_NOT_SENT, step);
	else
		exch_attempt_failed(x, RTY_BROKEN, step);
}

static const struct upstream_handler server_handler = {on_head, on_body,
						       on_end};

static int priority_of(const struct exch *x)
{
	int priority = (int)x->route->priority;

	if (x->account != NULL && x->account->priority >= 0)
		priority = x->account->priority;
	return x->service->engine ? MIN(priority, LEAST_URGENT) : -1;
}

static void send_to(struct exch *x, struct flt_server *server, int64_t now)
{
	struct forward forward = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = x->deadline_at - now,
		.last_event = x->last_event,
		.priority = priority_of(x),
	};
	struct upstream_request request = {
		.address = server->address,
		.idle = server->idle,
		.body = x->body,
		.id_name = WIRE_ID_NAME,
		.id = x->call.id,
		.connect_ms = CONNECT_MS,
	};

	x->server = flt_ref(server);
	x->sent_at = now;
	x->state.sends++;
	x->reading = false;
	x->misfit = false;
	x->paced_from = 0;
	x->paced_events = 0;
	memset(&x->answer, 0, sizeof(x->answer));
	splitter_reset(x->events);
	if (!x->state.begun && x->headers != NULL && x->held->len == 0) {
		g_string_free(x->headers, TRUE);
		x->headers = NULL;
	}
	if (!x->streaming)
		g_byte_array_set_size(x->held, 0);
	flt_sent(server, now);
	sts_count(STS_SENT);
	slog("sent", x->call.id,
	     "\"server\":%s,\"account\":%s,\"running\":%u,\"told\":%u,"
	     "\"told_ms\":%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"config\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), slog_quote(exch_account_name(x)),
	     server->running, server->told_running + server->told_waiting,
	     server->told_at > 0 ? now - server->told_at : -1,
	     forward.deadline_ms, slog_quote(x->route->name),
	     cat_version(x->cat));
	request.head = wire_write_call(x->request, &forward,
				       g_bytes_get_size(x->body));
	x->upstream = upstream_send(x->shared->upstream, &request,
				    &server_handler, x);
	watch_silence(x);
}

/* No server can take it now: look again soon, or refuse it. */
static void no_place(struct exch *x, enum flt_none why, int64_t now)
{
	int64_t patience =
		rty_patience_ms(x->route->target_ms, x->deadline_at - x->began);
	int64_t wait = rty_come_back_ms(x->route->target_ms);

	if (x->state.begun) {
		exch_fail(x, "no server to go on", 502);
		return;
	}
	if (why != FLT_NO_SERVER && now - x->began < patience) {
		if (why == FLT_ALL_TRIED)
			g_ptr_array_set_size(x->tried, 0);
		exch_set_timer(x->pause, PLACE_AGAIN_MS);
		return;
	}
	if (x->state.runs > 0)
		exch_fail(x, "no other server", 502);
	else
		exch_refuse(x, STS_REFUSED_FULL, 503,
			    why == FLT_NO_SERVER  ? "no server in service"
			    : why == FLT_ALL_COLD ? "servers cold"
						  : "servers full",
			    wait);
}

static const char *sticky_server(const struct exch *x)
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

/* How many events a turn will have: half of the most is usual. */
static double events_of(const struct exch *x)
{
	return (double)x->call.most_tokens / MAX(x->service->stride, 1) / 2;
}

void exch_send(struct exch *x)
{
	int64_t now = clock_boot_ms();
	struct flt_query query = {
		.service = x->service->name,
		.zone = x->shared->zone,
		.sticky = sticky_server(x),
		.affinity = x->call.shared ^ x->call.affinity,
		.affinity_ms = STICKY_MS,
		.away_ms = AWAY_MS,
		.work_ms = x->service->engine ? TURN_MS : CALL_MS,
		.events = x->service->engine && sticky_server(x) == NULL
				  ? events_of(x)
				  : 0,
		.cold_per_s = x->service->cold_per_s,
		.max_conns = x->service->max_conns,
		.instances = members_count(x->shared->members),
		.tried = x->tried,
	};
	enum flt_none why;
	struct flt_server *server;

	server = flt_pick(x->shared->fleet, &query, now, &why);
	if (server != NULL)
		send_to(x, server, now);
	else
		no_place(x, why, now);
}
