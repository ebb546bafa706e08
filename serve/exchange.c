/** @file exchange.c @brief One request, from its reading to its answer. */
#include <string.h>

#include "call.h"
#include "clock.h"
#include "decide/retry.h"
#include "events.h"
#include "exchange.h"
#include "hdr.h"
#include "platform/wire.h"
#include "slog.h"
#include "stats.h"

enum {
	CONNECT_MS = 250,	/* the way and the handshake take 1 to 5 ms */
	NO_DEADLINE_MS = 30000, /* where neither caller nor route says */
	ANSWER_MOST = 16777216, /* bytes of an answer that is held whole */
	PLACE_AGAIN_MS = 8,	/* between two looks for a place */
	TURN_MS = 1,		/* by which a turn slows another one down */
	CALL_MS = 10,		/* a call that waits for another one */
	AWAY_MS = 4,		/* a request to another zone, and its bytes */
	STICKY_MS = 12,		/* the history of a line, read again */
	SESSION_MS = 65000,
	STORE_BACK_MS = 900, /* the store is mostly back after seconds */
	ELSEWHERE_MS = 50,   /* another instance may serve it at once */
	EVEN_PRIORITY = 9,
	QUOTA_PATIENCE_MS = 120, /* a refusal may end a program under way */
	NEW_PATIENCE_MS = 40,	 /* a refusal loses nothing but its way */
};

struct xch {
	struct xch_shared *shared;
	struct in_request *request;
	struct call call;
	struct cat *cat;
	const struct cat_route *route;
	const struct cat_account *account; /* NULL on open routes */
	const struct cat_service *service;
	int64_t began;
	int64_t deadline_at;
	struct adm_wait *admission; /* it waits for its quota */
	bool admitted;		    /* it has taken from its quota */
	uint64_t fingerprint;
	GBytes *body; /* as it goes to the server */

	struct trn_turn *turn;
	bool granted;

	struct rty_state state;
	GPtrArray *tried; /* ids of servers */
	struct flt_server *server;
	struct up_call *up;
	struct answer answer;
	int64_t sent_at;
	int64_t paced_from;    /* its first event */
	uint32_t paced_events; /* and how many came after it */
	bool reading;	       /* the head of the present answer has come */
	bool misfit; /* it does not go on where the one before broke off */

	int status;
	GString *headers;
	GByteArray *held; /* body, or events that are not granted yet */
	bool streaming;
	struct evt_splitter *events;
	GString *output; /* data of all events, for turns that are kept */
	int64_t last_event;
	uint64_t used;
	bool ended; /* the server's answer is whole */
	bool first_seen;

	struct event *deadline;
	struct event *pause; /* a look for a place, or a silent server */
};

static void place(struct xch *x);
static void proceed(struct xch *x);
static void begin_turn(struct xch *x);

static const char *account_name(const struct xch *x)
{
	return x->account ? x->account->name : "";
}

static void drop_upstream(struct xch *x)
{
	if (x->up != NULL)
		up_cancel(x->up);
	x->up = NULL;
	if (x->server != NULL) {
		flt_ended(x->server);
		flt_unref(x->server);
	}
	x->server = NULL;
}

static void xch_free(struct xch *x)
{
	drop_upstream(x);
	if (x->admission != NULL)
		adm_cancel(x->admission);
	if (x->turn != NULL)
		trn_end(x->turn, x->used);
	if (x->deadline != NULL)
		event_free(x->deadline);
	if (x->pause != NULL)
		event_free(x->pause);
	if (x->body != NULL)
		g_bytes_unref(x->body);
	if (x->tried != NULL)
		g_ptr_array_free(x->tried, TRUE);
	if (x->headers != NULL)
		g_string_free(x->headers, TRUE);
	if (x->held != NULL)
		g_byte_array_unref(x->held);
	if (x->output != NULL)
		g_string_free(x->output, TRUE);
	evt_destroy(x->events);
	cat_unref(x->cat);
	g_free(x);
}

static void log_end(struct xch *x, const char *outcome, int status)
{
	int64_t ms = clock_boot_ms() - x->began;

	slog("ended", x->call.id,
	     "\"outcome\":\"%s\",\"status\":%d,\"ms\":%" G_GINT64_FORMAT
	     ",\"server\":%s,\"sends\":%u,\"tokens\":%" G_GUINT64_FORMAT,
	     outcome, status, ms, slog_quote(x->server ? x->server->id : ""),
	     x->state.sends, x->used);
}

/* Answers without a server's answer; @p x is gone afterwards. */
static void reply_own(struct xch *x, int status, const char *cause,
		      int64_t wait_ms)
{
	struct in_request *request = x->request;
	GString *headers = g_string_new(NULL);

	g_string_append_printf(headers, WIRE_ID_NAME ": %s\r\n", x->call.id);
	wire_write_refusal(headers, wait_ms);
	slog("refused", x->call.id,
	     "\"status\":%d,\"cause\":\"%s\",\"wait_ms\":%" G_GINT64_FORMAT
	     ",\"account\":%s,\"previous\":%s,\"config\":%" G_GINT64_FORMAT
	     ",\"config_age_ms\":%" G_GINT64_FORMAT
	     ",\"sends\":%u,\"ms\":%" G_GINT64_FORMAT,
	     status, cause, wait_ms, slog_quote(account_name(x)),
	     slog_quote(x->call.previous ? x->call.previous : ""),
	     x->cat ? cat_version(x->cat) : 0, blf_age_ms(x->shared->beliefs),
	     x->state.sends, clock_boot_ms() - x->began);
	sts_time(STS_REFUSAL, clock_boot_ms() - x->began);
	xch_free(x);
	in_reply(request, status, headers->str, NULL, 0);
	g_string_free(headers, TRUE);
}

/* Refuses a request that has not run, and gives its quota back. */
static void refuse(struct xch *x, enum sts_counter counter, int status,
		   const char *cause, int64_t wait_ms)
{
	sts_count(counter);
	if (x->admitted)
		qta_give_back(x->shared->quota, x->account->name);
	reply_own(x, status, cause, wait_ms);
}

/* The answer breaks off, or there will be none. */
static void fail(struct xch *x, const char *cause, int status)
{
	struct in_request *request = x->request;

	if (!x->state.begun) {
		sts_count(STS_FAILED);
		reply_own(x, status, cause, 0);
		return;
	}
	sts_count(STS_BROKEN_OFF);
	log_end(x, cause, 0);
	xch_free(x);
	in_abort(request);
}

static void set_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (ms % 1000) * 1000};

	event_add(timer, &tv);
}

/* Passes on what the caller may have by now. */
static void pass_on(struct xch *x)
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

static void finish_stream(struct xch *x)
{
	struct in_request *request = x->request;

	pass_on(x);
	sts_time(STS_STREAM, clock_boot_ms() - x->began);
	log_end(x, "whole", x->status);
	xch_free(x);
	in_finish(request);
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

static void on_kept(void *arg)
{
	finish_stream(arg);
}

static void on_granted(void *arg)
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
	struct in_request *request = x->request;
	GByteArray *body = g_byte_array_ref(x->held);
	GString *headers = g_string_new(x->headers->str);
	int status = x->status;

	sts_time(STS_CALL, clock_boot_ms() - x->began);
	log_end(x, "whole", status);
	xch_free(x);
	in_reply(request, status, headers->str, body->data, body->len);
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
static void no_answer(struct xch *x, enum rty_end end, const char *cause)
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
		mbr_mark(x->shared->members, x->fingerprint, x->server->id);
	g_ptr_array_add(x->tried, g_strdup(x->server->id));
	drop_upstream(x);
	x->reading = false;
	x->state.left_ms = x->deadline_at - now;
	next = rty_after(&x->state, end);
	if (next == RTY_AGAIN) {
		if (end == RTY_BROKEN)
			sts_count(x->state.begun ? STS_RESUMED
						 : STS_SENT_AGAIN);
		place(x);
	} else if (next == RTY_REFUSE) {
		refuse(x, STS_REFUSED_FULL, 503, cause,
		       rty_come_back_ms(x->route->target_ms));
	} else {
		fail(x, cause, 502);
	}
}

static void on_event(void *arg, const struct evt *event)
{
	struct xch *x = arg;

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

static void watch_silence(struct xch *x)
{
	int64_t ms;

	x->state.left_ms = x->deadline_at - clock_boot_ms();
	/* The send under way counts as a run. */
	x->state.runs++;
	ms = rty_silence_ms(&x->state, x->route->target_ms, x->route->pause_ms);
	x->state.runs--;
	if (ms > 0)
		set_timer(x->pause, ms);
	else
		event_del(x->pause);
}

static void on_head(void *arg, const struct up_head *head)
{
	struct xch *x = arg;

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
static bool useless(const struct xch *x)
{
	return x->answer.not_executed || x->answer.other_server ||
	       x->answer.encoded || x->misfit || x->headers == NULL;
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
		no_answer(x, RTY_BROKEN, "answer too long");
		return;
	}
	g_byte_array_append(x->held, (const guint8 *)data, (guint)len);
}

/* The whole answer has come. */
static void answered(struct xch *x)
{
	if (x->answer.other_server) {
		flt_replaced(x->server, clock_boot_ms());
		sts_count(STS_NOT_EXECUTED);
		no_answer(x, RTY_NOT_EXECUTED, "another server there");
		return;
	}
	if (x->answer.not_executed) {
		sts_count(STS_NOT_EXECUTED);
		no_answer(x, RTY_NOT_EXECUTED, "server refused");
		return;
	}
	if (useless(x)) {
		no_answer(x, RTY_BROKEN, "answer not the server's own");
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
		no_answer(x, RTY_BROKEN, "event cut off");
	else if (end == UP_WHOLE)
		answered(x);
	else if (end == UP_NOT_SENT)
		no_answer(x, RTY_NOT_SENT, step);
	else
		no_answer(x, RTY_BROKEN, step);
}

static const struct up_handler server_handler = {on_head, on_body, on_end};

static int priority_of(const struct xch *x)
{
	int priority = (int)x->route->priority;

	if (x->account != NULL && x->account->priority >= 0)
		priority = x->account->priority;
	return x->service->engine ? MIN(priority, EVEN_PRIORITY) : -1;
}

static void send_to(struct xch *x, struct flt_server *server, int64_t now)
{
	struct forward forward = {
		.server = server->id,
		.account = x->account ? x->account->name : NULL,
		.deadline_ms = x->deadline_at - now,
		.last_event = x->last_event,
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
	memset(&x->answer, 0, sizeof(x->answer));
	evt_reset(x->events);
	if (!x->state.begun && x->headers != NULL && x->held->len == 0) {
		g_string_free(x->headers, TRUE);
		x->headers = NULL;
	}
	if (!x->streaming)
		g_byte_array_set_size(x->held, 0);
	flt_sent(server, now);
	sts_count(STS_SENT);
	slog("sent", x->call.id,
	     "\"server\":%s,\"running\":%u,\"told\":%u,\"told_ms\":"
	     "%" G_GINT64_FORMAT ",\"left_ms\":%" G_GINT64_FORMAT
	     ",\"route\":%s,\"config\":%" G_GINT64_FORMAT,
	     slog_quote(server->id), server->running,
	     server->told_running + server->told_waiting, now - server->told_at,
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
		fail(x, "no server to go on", 502);
		return;
	}
	if (why != FLT_NO_SERVER && now - x->began < patience) {
		if (why == FLT_ALL_TRIED)
			g_ptr_array_set_size(x->tried, 0);
		set_timer(x->pause, PLACE_AGAIN_MS);
		return;
	}
	if (x->state.runs > 0)
		fail(x, "no other server", 502);
	else
		refuse(x, STS_REFUSED_FULL, 503,
		       why == FLT_NO_SERVER  ? "no server in service"
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
	return (double)x->call.most_tokens / MAX(x->service->stride, 1) / 2;
}

static void place(struct xch *x)
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

/* Goes on with a request that was let in. */
static void proceed(struct xch *x)
{
	if (x->route->kind == CAT_STREAM &&
	    (x->call.budget > 0 || x->route->retain)) {
		begin_turn(x);
		return;
	}
	x->granted = true;
	place(x);
}

static void on_pause(evutil_socket_t fd, short what, void *arg)
{
	struct xch *x = arg;

	(void)fd;
	(void)what;
	if (x->up == NULL) {
		place(x);
		return;
	}
	up_cancel(x->up);
	x->up = NULL;
	no_answer(x, RTY_BROKEN, "server silent");
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct xch *x = arg;

	(void)fd;
	(void)what;
	sts_count(STS_TIMED_OUT);
	if (!x->state.begun && x->state.runs == 0 && x->up == NULL &&
	    x->state.sends == 0)
		refuse(x, STS_REFUSED_FULL, 503, "out of time", 0);
	else
		fail(x, "out of time", 504);
}

/* How long the store's callers should stay away. */
static int64_t store_wait_ms(const struct xch *x)
{
	return mbr_others_fresh(x->shared->members) ? ELSEWHERE_MS
						    : STORE_BACK_MS;
}

static void on_decided(void *arg, enum trn_verdict verdict,
		       const GByteArray *history)
{
	struct xch *x = arg;
	GByteArray *body;

	switch (verdict) {
	case TRN_SPENT:
		refuse(x, STS_REFUSED_BUDGET, 402, "budget spent", 0);
		return;
	case TRN_NO_TURN:
		refuse(x, STS_REFUSED_NO_TURN, 404, "no such turn", 0);
		return;
	case TRN_UNAVAILABLE:
		refuse(x, STS_REFUSED_STORE, 503, "store away",
		       store_wait_ms(x));
		return;
	case TRN_GO:
		break;
	}
	if (history->len > 0) {
		body = g_byte_array_sized_new(history->len +
					      x->request->body->len);
		g_byte_array_append(body, history->data, history->len);
		g_byte_array_append(body, x->request->body->data,
				    x->request->body->len);
		g_bytes_unref(x->body);
		x->body = g_byte_array_free_to_bytes(body);
	}
	place(x);
}

static const struct trn_handler turn_handler = {on_decided, on_granted,
						on_kept};

static void begin_turn(struct xch *x)
{
	struct trn_request request = {
		.account = account_name(x),
		.program = x->call.program,
		.id = x->call.id,
		.previous = x->call.previous,
		.budget = x->call.budget,
		.most = x->call.most_tokens,
		.retain = x->route->retain,
	};

	x->granted = x->call.budget == 0;
	trn_begin(x->shared->programs, &request, &turn_handler, x, &x->turn);
}

/* Whether this is, as far as is known here, the first turn of a program. */
static bool begins_program(const struct xch *x)
{
	return x->route->kind == CAT_STREAM && x->call.program != NULL &&
	       x->call.previous == NULL &&
	       !g_hash_table_contains(x->shared->sessions, x->call.program);
}

static void on_admitted(void *arg, bool admitted, int64_t wait_ms)
{
	struct xch *x = arg;

	x->admission = NULL;
	if (admitted) {
		x->admitted = true;
		proceed(x);
		return;
	}
	sts_count(STS_REFUSED_QUOTA);
	reply_own(x, 429, "over quota", wait_ms);
}

static void ask_quota(struct xch *x)
{
	struct qta_limit limit = {x->account->rate, x->account->burst,
				  x->shared->quota_slack};
	bool begins = begins_program(x);
	int64_t patience = begins ? NEW_PATIENCE_MS : QUOTA_PATIENCE_MS;
	struct adm_wait *wait;

	wait = adm_ask(x->shared->admission, x->account->name, &limit, begins,
		       patience, on_admitted, x);
	if (wait != NULL)
		x->admission = wait;
}

/* Checks who is calling and what for; returns false if it was answered. */
static bool admit(struct xch *x)
{
	struct xch_shared *shared = x->shared;
	struct cat *cat = blf_catalog(shared->beliefs);
	guint routes;
	guint services;
	guint accounts;

	if (cat == NULL) {
		sts_count(STS_REFUSED_NO_CONFIG);
		reply_own(x, 503, "no configuration", ELSEWHERE_MS);
		return false;
	}
	x->cat = cat_ref(cat);
	x->route = cat_find_route(cat, x->call.host, x->call.path);
	cat_sizes(cat, &routes, &services, &accounts);
	if (blf_age_ms(shared->beliefs) > shared->stale_ms &&
	    (x->route == NULL || !x->route->open)) {
		sts_count(STS_REFUSED_STALE_CONFIG);
		reply_own(x, 503, "old configuration", store_wait_ms(x));
		return false;
	}
	if (x->route == NULL) {
		sts_count(STS_REFUSED_ROUTE);
		reply_own(x, 404, "no such route", 0);
		return false;
	}
	if (accounts == 0 || x->route->open)
		return true;
	x->account = x->call.key ? cat_find_key(cat, x->call.key) : NULL;
	if (x->account == NULL) {
		sts_count(STS_REFUSED_KEY);
		reply_own(x, 401, "unknown key", 0);
		return false;
	}
	return true;
}

static bool choose_service(struct xch *x)
{
	const char *name = x->call.program ? x->call.program : x->call.id;
	int64_t wait_ms;

	x->service = cat_choose(x->cat, x->route, g_str_hash(name) >> 3);
	if (x->service == NULL) {
		sts_count(STS_REFUSED_FULL);
		reply_own(x, 503, "no service", 0);
		return false;
	}
	x->fingerprint =
		sus_fingerprint(account_name(x), x->call.path,
				x->request->body->data, x->request->body->len);
	if (x->request->body->len > 0 &&
	    sus_refused(x->shared->suspects, x->fingerprint, x->began,
			&wait_ms)) {
		sts_count(STS_REFUSED_MARKED);
		reply_own(x, 503, "breaks servers", wait_ms);
		return false;
	}
	return true;
}

static void set_deadlines(struct xch *x)
{
	int64_t ms = x->route->timeout_ms;

	if (x->call.deadline_ms > 0 && (ms <= 0 || x->call.deadline_ms < ms))
		ms = x->call.deadline_ms;
	if (ms <= 0)
		ms = NO_DEADLINE_MS;
	x->deadline_at = x->request->read_at + ms;
	x->deadline = evtimer_new(x->shared->base, on_deadline, x);
	x->pause = evtimer_new(x->shared->base, on_pause, x);
	set_timer(x->deadline, ms);
}

void xch_start(struct xch_shared *shared, struct in_request *request)
{
	struct xch *x;
	struct call call;

	sts_count(STS_REQUESTS);
	if (!wire_read_call(request, &call)) {
		in_reply(request, 400, "", NULL, 0);
		return;
	}
	x = g_new0(struct xch, 1);
	x->shared = shared;
	x->request = request;
	x->call = call;
	x->began = clock_boot_ms();
	request->user = x;
	if (!admit(x) || !choose_service(x))
		return;
	x->body = g_bytes_new(request->body->data, request->body->len);
	x->tried = g_ptr_array_new_with_free_func(g_free);
	x->held = g_byte_array_new();
	x->output = g_string_new(NULL);
	x->events = evt_create();
	x->last_event = call.last_event;
	x->state.attempts = x->route->attempts;
	x->state.idempotent =
		x->route->kind == CAT_IDEMPOTENT ||
		(x->route->kind == CAT_STREAM && x->route->resumable);
	set_deadlines(x);
	if (x->account != NULL)
		ask_quota(x);
	else
		proceed(x);
}

void xch_gone(struct in_request *request)
{
	struct xch *x = request->user;

	if (x == NULL)
		return;
	sts_count(STS_LEFT);
	log_end(x, "caller left", 0);
	xch_free(x);
}

static gboolean session_is_over(gpointer name, gpointer value, gpointer now)
{
	const struct xch_session *session = value;

	(void)name;
	return *(int64_t *)now - session->at > SESSION_MS;
}

void xch_forget_sessions(struct xch_shared *shared)
{
	int64_t now = clock_boot_ms();

	g_hash_table_foreach_remove(shared->sessions, session_is_over, &now);
}
