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
static void pass_on(struct xch *x)
{
	if (!x->granted || x->headers == NULL)
		return;
	if (!x->state.begun && (x->held->len > 0 || x->ended)) {
		inbound_begin_reply(x->request, x->status, x->headers->str);
		x->state.begun = true;
	}
	if (x->held->len > 0) {
		inbound_send_chunk(x->request, x->held->data, x->held->len);
		g_byte_array_set_size(x->held, 0);
	}
}

static void finish_stream(struct xch *x)
{
	struct inbound_request *request = x->request;

	pass_on(x);
	stats_observe(STATS_STREAM, clock_boot_ms() - x->began);
	xch_log_end(x, "whole", x->status);
	xch_free(x);
	inbound_end_reply(request);
}

/* The server's stream is whole: the turn is kept before its end is told. */
static void end_stream(struct xch *x)
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
	trn_keep(x->turn, bytes, x->used);
	g_bytes_unref(bytes);
}

void xch_kept(void *arg)
{
	finish_stream(arg);
}

void xch_granted(void *arg)
{
	struct xch *x = arg;

	x->granted = true;
	if (x->ended && x->streaming)
		end_stream(x);
	else if (x->streaming)
		pass_on(x);
}

static void reply_whole(struct xch *x)
{
	struct inbound_request *request = x->request;
	GByteArray *body = g_byte_array_ref(x->held);
	GString *headers = g_string_new(x->headers->str);
	int status = x->status;

	stats_observe(STATS_CALL, clock_boot_ms() - x->began);
	xch_log_end(x, "whole", status);
	xch_free(x);
	inbound_reply(request, status, headers->str, body->data, body->len);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
}

static void remember_at(struct xch *x, const char *line)
{
	struct xch_session *session =
		g_hash_table_lookup(x->shared->sessions, line);

	if (session == NULL) {
		session = g_new0(struct xch_session, 1);
		g_hash_table_insert(x->shared->sessions, g_strdup(line),
				    session);
	}
	g_strlcpy(session->server, x->server->id, sizeof(session->server));
	session->at = clock_boot_ms();
}

/* Sub-agents begin with the history of their program, on a line of theirs. */
static void remember_session(struct xch *x)
{
	if (!x->service->engine)
		return;
	if (x->call.session != NULL)
		remember_at(x, x->call.session);
	if (x->call.program != NULL)
		remember_at(x, x->call.program);
}

/* A send ended without a whole answer. */
void xch_no_answer(struct xch *x, enum rty_end end, const char *cause)
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
	if (end == RTY_BROKEN && !x->response.encoded && !x->reading &&
	    sus_add(x->shared->suspects, x->fingerprint, x->server->id, now))
		mbr_mark(x->shared->members, x->fingerprint, x->server->id);
	g_ptr_array_add(x->tried, g_strdup(x->server->id));
	xch_drop_upstream(x);
	x->reading = false;
	x->state.left_ms = x->deadline_at - now;
	next = rty_after(&x->state, end);
	if (next == RTY_AGAIN) {
		if (end == RTY_BROKEN)
			stats_count(x->state.begun ? STATS_RESUMED
						   : STATS_SENT_AGAIN);
		xch_place(x);
	} else if (next == RTY_REFUSE) {
		xch_refuse(x, STATS_REFUSED_FULL, 503, cause,
			   rty_come_back_ms(x->route->target_ms));
	} else {
		xch_fail(x, cause, 502);
	}
}

static void on_event(void *arg, const struct evt *event)
{
	struct xch *x = arg;

	if (event->id >= 0 && event->id <= x->last_event_id)
		return;
	if (event->id >= 0)
		x->last_event_id = event->id;
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
		stats_observe(STATS_FIRST_EVENT, clock_boot_ms() - x->began);
	x->first_seen = true;
}

static void watch_silence(struct xch *x)
{
	int64_t ms;

	x->state.left_ms = x->deadline_at - clock_boot_ms();
	/* The send under way counts as a run. */
	x->state.runs++;
	ms = rty_silence_ms(&x->state, x->route->target_ms, x->route->pause_ms);
	x->state.runs--;
	if (ms > 0)
		xch_set_timer(x->pause, ms);
	else
		event_del(x->pause);
}

static void on_head(void *arg, const struct up_head *head)
{
	struct xch *x = arg;

	wire_read_answer(head, &x->response);
	x->reading = true;
	if (x->response.has_load)
		flt_told(x->server, x->response.running, x->response.waiting,
			 clock_boot_ms());
	if (x->response.not_executed || x->response.misdirected ||
	    x->response.encoded ||
	    (head->status < 300 && !x->response.is_signed))
		return;
	if (x->headers != NULL) {
		x->misfit = head->status != 200 || !x->response.event_stream;
		return;
	}
	x->status = head->status;
	x->headers = wire_write_answer(head);
	x->streaming = x->response.event_stream && head->status == 200 &&
		       x->route->kind == CAT_STREAM;
}

/* Whether the answer under way is of no use. */
static bool useless(const struct xch *x)
{
	return x->response.not_executed || x->response.misdirected ||
	       x->response.encoded || x->misfit || x->headers == NULL;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct xch *x = arg;

	if (useless(x))
		return;
	if (x->streaming) {
		evt_feed(x->events, data, len, on_event, x);
		pass_on(x);
		watch_silence(x);
		return;
	}
	if (x->held->len + len > ANSWER_MOST) {
		xch_no_answer(x, RTY_BROKEN, "answer too long");
		return;
	}
	g_byte_array_append(x->held, (const guint8 *)data, (guint)len);
}

/* The whole answer has come. */
static void answered(struct xch *x)
{
	if (x->response.misdirected) {
		flt_replaced(x->server, clock_boot_ms());
		stats_count(STATS_NOT_EXECUTED);
		xch_no_answer(x, RTY_NOT_EXECUTED, "another server there");
		return;
	}
	if (x->response.not_executed) {
		stats_count(STATS_NOT_EXECUTED);
		xch_no_answer(x, RTY_NOT_EXECUTED, "server refused");
		return;
	}
	if (useless(x)) {
		xch_no_answer(x, RTY_BROKEN, "answer not the server's own");
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

static void on_end(void *arg, enum up_end end, const char *step)
{
	struct xch *x = arg;

	x->up = NULL;
	event_del(x->pause);
	if (end == UP_WHOLE && x->streaming && evt_left(x->events) > 0)
		xch_no_answer(x, RTY_BROKEN, "event cut off");
	else if (end == UP_WHOLE)
		answered(x);
	else if (end == UP_NOT_SENT)
		xch_no_answer(x, RTY_NOT_SENT, step);
	else
		xch_no_answer(x, RTY_BROKEN, step);
}

static const struct up_handler server_handler = {on_head, on_body, on_end};

static int priority_of(const struct xch *x)
{
	int priority = (int)x->route->priority;

	if (x->account != NULL && x->account->priority >= 0)
		priority = x->account->priority;
	return x->service->engine ? MIN(priority, LEAST_URGENT) : -1;
}

static void send_to(struct xch *x, struct flt_server *server, int64_t now)
{
	struct forward forward = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = x->deadline_at - now,
		.last_event_id = x->last_event_id,
		.priority = priority_of(x),
	};
	struct up_request request = {
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
	memset(&x->response, 0, sizeof(x->response));
	evt_reset(x->events);
	if (!x->state.begun && x->headers != NULL && x->held->len == 0) {
		g_string_free(x->headers, TRUE);
		x->headers = NULL;
	}
	if (!x->streaming)
		g_byte_array_set_size(x->held, 0);
	flt_sent(server, now);
	stats_count(STATS_SENT);
	slog("sent", x->call.id,
	     "\"server\":%s,\"account\":%s,\"running\":%u,\"told\":%u,"
	     "\"told_ms\":%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"config\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), slog_quote(xch_account_name(x)),
	     server->running, server->told_running + server->told_waiting,
	     server->told_at > 0 ? now - server->told_at : -1,
	     forward.deadline_ms, slog_quote(x->route->name),
	     cat_version(x->cat));
	request.head = wire_write_call(x->request, &forward,
				       g_bytes_get_size(x->body));
	x->up = up_start(x->shared->up, &request, &server_handler, x);
	watch_silence(x);
}

/* No server can take it now: look again soon, or refuse it. */
static void no_place(struct xch *x, enum flt_none why, int64_t now)
{
	int64_t patience =
		rty_patience_ms(x->route->target_ms, x->deadline_at - x->began);
	int64_t wait = rty_come_back_ms(x->route->target_ms);

	if (x->state.begun) {
		xch_fail(x, "no server to go on", 502);
		return;
	}
	if (why != FLT_NO_SERVER && now - x->began < patience) {
		if (why == FLT_ALL_TRIED)
			g_ptr_array_set_size(x->tried, 0);
		xch_set_timer(x->pause, PLACE_AGAIN_MS);
		return;
	}
	if (x->state.runs > 0)
		xch_fail(x, "no other server", 502);
	else
		xch_refuse(x, STATS_REFUSED_FULL, 503,
			   why == FLT_NO_SERVER	 ? "no server in service"
			   : why == FLT_ALL_COLD ? "servers cold"
						 : "servers full",
			   wait);
}

static const char *sticky_server(const struct xch *x)
{
	const struct xch_session *session = NULL;

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
static double events_of(const struct xch *x)
{
	return (double)x->call.max_tokens / MAX(x->service->stride, 1) / 2;
}

void xch_place(struct xch *x)
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
		.instances = mbr_count(x->shared->members),
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
