/** @file members.c @brief Membership: the other instances. */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "decide/rng.h"
#include "members.h"
#include "proto/message.h"
#include "proto/rows.pb-c.h"
#include "slog.h"

#define MEMBERS_TABLE "aps-members"
#define MEMBERS_PART ""

enum {
	/* An account's quota shares follow demand within about two periods. */
	GOSSIP_PERIOD_MS = 250,
	RENEW_PERIOD_MIN_MS = 2000, /* of writing our row and reading all */
	RENEW_PERIOD_MAX_MS = 8000,
	RENEW_MIN_MEMBERS = 16, /* up to which the period is the minimum */
	/* A member is gone if it is not heard and its row is not renewed. */
	SILENT_AFTER_MS = 1500,
	GONE_MISSED_RENEWALS = 3,
	DEAD_ROW_TTL_MS = 60000, /* rows of members that are gone */
	FRESH_CONFIG_MAX_AGE_MS = 3000,
	RELAY_SILENT_MAX_MS = 800, /* three of its datagrams may get lost */
	/* The configuration is 1 to 2 s old on an instance that reaches the
	 * store. */
	RELAY_CONFIG_MAX_AGE_MS = 2600,
	DATAGRAM_MAX_BYTES = 8192,
	DATAGRAM_SUSPECTS_MAX = 16,
	SUSPECT_SENDS = 4, /* datagrams get lost */
};

struct member {
	char *id;
	char *relay;
	struct sockaddr_in addr;
	int64_t row_version;
	int64_t row_changed_ms; /* when that version was first seen */
	int64_t heard_ms;
	uint32_t config_age_ms;
	bool leaving;
	bool live;
};

struct suspect_report {
	uint64_t fingerprint;
	char *server;
	int sends_left;
};

struct members {
	struct members_config config;
	int fd;
	struct event *read_event;
	struct event *gossip_timer;
	struct event *renew_timer;
	struct store_call *read_call;
	struct store_call *write_call;
	GHashTable *by_id; /* id -> struct member */
	GQueue *suspects;  /* of struct suspect_report, to be sent */
	int64_t row_version;
	uint32_t heartbeat;
	uint32_t count;
	int64_t read_ms; /* when the rows were last read */
	bool rows_read;	 /* at least once */
	bool leaving;
};

static void member_free(gpointer p)
{
	struct member *member = p;

	g_free(member->id);
	g_free(member->relay);
	g_free(member);
}

static struct member *get_member(struct members *members, const char *id)
{
	struct member *member = g_hash_table_lookup(members->by_id, id);

	if (member != NULL)
		return member;
	member = g_new0(struct member, 1);
	member->id = g_strdup(id);
	member->row_changed_ms = clock_boot_ms();
	g_hash_table_insert(members->by_id, member->id, member);
	return member;
}

static bool set_address(struct member *member, const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) != 0 ||
	    addr.ss_family != AF_INET)
		return false;
	memcpy(&member->addr, &addr, sizeof(member->addr));
	return true;
}

/* The period grows with the members, which bounds the load on the store. */
static int64_t renew_period_ms(const struct members *members)
{
	return MIN(RENEW_PERIOD_MIN_MS *
			   (int64_t)MAX(members->count, RENEW_MIN_MEMBERS) /
			   RENEW_MIN_MEMBERS,
		   RENEW_PERIOD_MAX_MS);
}

/* Counts the members that may send requests; drops the demand of the others. */
static void update_liveness(struct members *members)
{
	int64_t now_ms = clock_boot_ms();
	uint32_t count = 1;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;
		bool silent = now_ms - member->heard_ms > SILENT_AFTER_MS;
		/* Compared with the last read and not with the clock: while
		 * the store can't be read, no row counts as lapsed. */
		bool lapsed = members->read_ms - member->row_changed_ms >
			      GONE_MISSED_RENEWALS * renew_period_ms(members);
		bool gone = silent && (member->leaving || lapsed);

		if (member->live == gone)
			slog("member", NULL,
			     "\"peer\":%s,\"state\":\"%s\",\"heard_ms\":"
			     "%" G_GINT64_FORMAT,
			     slog_quote(member->id), gone ? "gone" : "there",
			     member->heard_ms > 0 ? now_ms - member->heard_ms
						  : -1);
		member->live = !gone;
		if (gone)
			quota_remove_instance(members->config.quota,
					      member->id);
		else if (silent)
			quota_mark_silent(members->config.quota, member->id);
		count += !gone;
	}
	members->count = count;
	if (members->rows_read)
		quota_set_instances(members->config.quota, count);
}

static void add_demand(const char *account, double per_s, double tokens,
		       void *arg)
{
	GPtrArray *list = arg;
	Rows__Demand *demand;

	if (per_s < 0.05)
		return;
	demand = g_new(Rows__Demand, 1);
	rows__demand__init(demand);
	demand->account = (char *)account;
	demand->per_s = (float)per_s;
	demand->has_tokens = tokens >= 1.0;
	demand->tokens = (float)tokens;
	g_ptr_array_add(list, demand);
}

/* Packs the reports for one datagram; each is sent SUSPECT_SENDS times. */
static GPtrArray *pack_suspects(struct members *members)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (GList *l = members->suspects->head;
	     l && list->len < DATAGRAM_SUSPECTS_MAX; l = l->next) {
		struct suspect_report *report = l->data;
		Rows__Mark *row = g_new(Rows__Mark, 1);

		rows__mark__init(row);
		row->fingerprint = report->fingerprint;
		row->server = report->server;
		report->sends_left--;
		g_ptr_array_add(list, row);
	}
	return list;
}

static void drop_sent_suspects(struct members *members)
{
	for (GList *l = members->suspects->head, *next; l != NULL; l = next) {
		struct suspect_report *report = l->data;

		next = l->next;
		if (report->sends_left > 0)
			continue;
		g_queue_delete_link(members->suspects, l);
		g_free(report->server);
		g_free(report);
	}
}

static uint8_t *pack_gossip(struct members *members, size_t *len)
{
	Rows__Gossip gossip = ROWS__GOSSIP__INIT;
	Rows__Member self = ROWS__MEMBER__INIT;
	GPtrArray *demands = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *suspects = pack_suspects(members);
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	uint8_t *packed;

	quota_foreach(members->config.quota, clock_boot_ms(), add_demand,
		      demands);
	self.address = (char *)members->config.address;
	self.zone = (char *)members->config.zone;
	self.incarnation = members->config.incarnation;
	self.beat = members->heartbeat;
	self.relay = (char *)members->config.relay;
	gossip.id = (char *)members->config.id;
	gossip.member = &self;
	gossip.n_demands = demands->len;
	gossip.demands = (Rows__Demand **)demands->pdata;
	gossip.n_marks = suspects->len;
	gossip.marks = (Rows__Mark **)suspects->pdata;
	gossip.config_age_ms = (uint32_t)CLAMP(
		members->config.config_age_ms(members->config.arg), 0,
		G_MAXINT32);
	gossip.leaving = members->leaving;
	datagram.gossip = &gossip;
	packed = msg_pack(&datagram.base, len);
	g_ptr_array_free(demands, TRUE);
	g_ptr_array_free(suspects, TRUE);
	drop_sent_suspects(members);
	return packed;
}

static void send_gossip(struct members *members)
{
	size_t len;
	uint8_t *packed = pack_gossip(members, &len);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;

		if (!member->live || member->addr.sin_port == 0)
			continue;
		/* A send error counts as a lost datagram. */
		(void)sendto(members->fd, packed, len, MSG_DONTWAIT,
			     (struct sockaddr *)&member->addr,
			     sizeof(member->addr));
	}
	g_free(packed);
}

static void on_gossip_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	update_liveness(arg);
	send_gossip(arg);
}

static void handle_gossip(struct members *members, const Rows__Gossip *gossip)
{
	struct member *member;

	if (strcmp(gossip->id, members->config.id) == 0)
		return;
	member = get_member(members, gossip->id);
	if (!set_address(member, gossip->member->address))
		return;
	g_free(member->relay);
	member->relay = g_strdup(gossip->member->relay);
	member->heard_ms = clock_boot_ms();
	member->config_age_ms = gossip->config_age_ms;
	member->leaving = gossip->leaving;
	quota_report_begin(members->config.quota, gossip->id);
	for (size_t i = 0; i < gossip->n_demands; i++)
		quota_report_demand(members->config.quota, gossip->id,
				    gossip->demands[i]->account,
				    gossip->demands[i]->per_s,
				    gossip->demands[i]->has_tokens
					    ? gossip->demands[i]->tokens
					    : 0,
				    member->heard_ms);
	for (size_t i = 0; i < gossip->n_marks; i++)
		members->config.on_suspect(members->config.arg,
					   gossip->marks[i]->fingerprint,
					   gossip->marks[i]->server);
}

static void send_datagram(struct members *members, const char *id,
			  const Rows__Datagram *datagram)
{
	struct member *member = g_hash_table_lookup(members->by_id, id);
	uint8_t *packed;
	size_t len;

	if (member == NULL || member->addr.sin_port == 0)
		return;
	packed = msg_pack(&datagram->base, &len);
	/* A send error counts as a lost datagram. */
	(void)sendto(members->fd, packed, len, MSG_DONTWAIT,
		     (struct sockaddr *)&member->addr, sizeof(member->addr));
	g_free(packed);
}

static void handle_borrow(struct members *members, const Rows__Borrow *borrow)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Lend lend = ROWS__LEND__INIT;
	struct quota_limit limit;
	int64_t wait_ms = 0;

	lend.account = borrow->account;
	lend.serial = borrow->serial;
	if (members->config.account_limit(members->config.arg, borrow->account,
					  &limit))
		lend.granted =
			quota_lend(members->config.quota, borrow->account,
				   &limit, borrow->wanted, borrow->begins,
				   clock_boot_ms(), &wait_ms);
	lend.has_wait_ms = wait_ms > 0;
	lend.wait_ms = (uint32_t)wait_ms;
	datagram.lend = &lend;
	send_datagram(members, borrow->id, &datagram);
}

void members_send_borrow(struct members *members, const char *instance,
			 const char *account, uint32_t wanted, bool begins,
			 uint32_t serial)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Borrow borrow = ROWS__BORROW__INIT;

	borrow.id = (char *)members->config.id;
	borrow.account = (char *)account;
	borrow.wanted = wanted;
	borrow.serial = serial;
	borrow.has_begins = begins;
	borrow.begins = begins;
	datagram.borrow = &borrow;
	send_datagram(members, instance, &datagram);
}

static void handle_datagram(struct members *members,
			    const Rows__Datagram *datagram)
{
	if (datagram->gossip != NULL)
		handle_gossip(members, datagram->gossip);
	if (datagram->borrow != NULL)
		handle_borrow(members, datagram->borrow);
	if (datagram->lend != NULL)
		members->config.on_lend(
			members->config.arg, datagram->lend->account,
			datagram->lend->granted, datagram->lend->wait_ms,
			datagram->lend->serial);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	uint8_t data[DATAGRAM_MAX_BYTES];
	ssize_t len;

	(void)what;
	while ((len = recv(fd, data, sizeof(data), MSG_DONTWAIT)) > 0) {
		Rows__Datagram *datagram =
			rows__datagram__unpack(NULL, (size_t)len, data);

		if (datagram == NULL) {
			slog("peer_fault", NULL,
			     "\"step\":\"datagram\",\"bytes\":%zd", len);
			continue;
		}
		handle_datagram(members, datagram);
		rows__datagram__free_unpacked(datagram, NULL);
	}
}

static void apply_member_row(struct members *members,
			     const struct store_row *row, int64_t now_ms)
{
	Rows__Member *row_msg;
	struct member *member;
	gsize len;
	const uint8_t *data;

	if (row->value == NULL)
		return;
	if (strcmp(row->key, members->config.id) == 0) {
		members->row_version = row->version;
		return;
	}
	data = g_bytes_get_data(row->value, &len);
	row_msg = rows__member__unpack(NULL, len, data);
	if (row_msg == NULL) {
		slog("peer_fault", NULL, "\"step\":\"row\",\"peer\":%s",
		     slog_quote(row->key));
		return;
	}
	member = get_member(members, row->key);
	if (member->row_version != row->version) {
		/* A new version counts as renewed now; its age is unknown. */
		member->row_version = row->version;
		member->row_changed_ms = now_ms;
	}
	set_address(member, row_msg->address);
	rows__member__free_unpacked(row_msg, NULL);
}

/* A removal that failed is tried again after a later read. */
static void on_row_removed(void *arg, const struct store_response *reply)
{
	(void)arg;
	(void)reply;
}

/* Removes the row of one member that has been gone for DEAD_ROW_TTL_MS. */
static void remove_dead_rows(struct members *members,
			     const struct store_response *reply, int64_t now_ms)
{
	for (guint i = 0; i < reply->rows->len; i++) {
		struct store_row *row =
			&g_array_index(reply->rows, struct store_row, i);
		struct member *member =
			g_hash_table_lookup(members->by_id, row->key);
		struct store_tx *tx;

		if (member == NULL || member->live ||
		    members->write_call != NULL ||
		    now_ms - member->row_changed_ms < DEAD_ROW_TTL_MS)
			continue;
		tx = store_tx_create(MEMBERS_PART);
		store_tx_expect(tx, MEMBERS_TABLE, row->key, row->version);
		store_tx_remove(tx, MEMBERS_TABLE, row->key);
		g_hash_table_remove(members->by_id, row->key);
		store_tx_send(members->config.store, tx, on_row_removed, NULL);
		return;
	}
}

static void on_rows(void *arg, const struct store_response *reply)
{
	struct members *members = arg;
	int64_t now_ms = clock_boot_ms();

	members->read_call = NULL;
	if (reply->result != STORE_OK)
		return;
	for (guint i = 0; i < reply->rows->len; i++)
		apply_member_row(
			members,
			&g_array_index(reply->rows, struct store_row, i),
			now_ms);
	members->rows_read = true;
	members->read_ms = now_ms;
	update_liveness(members);
	remove_dead_rows(members, reply, now_ms);
}

static void on_renewed(void *arg, const struct store_response *reply)
{
	struct members *members = arg;

	(void)reply; /* a failed renewal is not retried before the next one */
	members->write_call = NULL;
	if (members->read_call == NULL && !members->leaving)
		members->read_call =
			store_read(members->config.store, MEMBERS_TABLE,
				   MEMBERS_PART, NULL, NULL, on_rows, members);
}

static void renew_row(struct members *members)
{
	Rows__Member self = ROWS__MEMBER__INIT;
	struct store_tx *tx;
	uint8_t *packed;
	size_t len;

	if (members->write_call != NULL)
		return;
	self.address = (char *)members->config.address;
	self.zone = (char *)members->config.zone;
	self.incarnation = members->config.incarnation;
	self.beat = ++members->heartbeat;
	packed = msg_pack(&self.base, &len);
	tx = store_tx_create(MEMBERS_PART);
	store_tx_put(tx, MEMBERS_TABLE, members->config.id, packed, len);
	g_free(packed);
	members->write_call =
		store_tx_send(members->config.store, tx, on_renewed, members);
}

static void on_renew_timer(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	int64_t period_ms = renew_period_ms(members);
	struct timeval tv = clock_timeval(period_ms);

	(void)fd;
	(void)what;
	renew_row(members);
	event_add(members->renew_timer, &tv);
}

static int bind_socket(const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	int fd;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) != 0) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&addr, (socklen_t)len) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct event *add_periodic_timer(struct members *members, int period_ms,
					event_callback_fn fn)
{
	struct timeval tv = clock_timeval(period_ms);
	struct event *timer =
		event_new(members->config.base, -1, EV_PERSIST, fn, members);

	event_add(timer, &tv);
	return timer;
}

struct members *members_create(const struct members_config *config)
{
	int fd = bind_socket(config->address);
	struct members *members;

	if (fd < 0)
		return NULL;
	members = g_new0(struct members, 1);
	members->config = *config;
	members->fd = fd;
	members->count = 1;
	members->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       member_free);
	members->suspects = g_queue_new();
	members->read_event = event_new(config->base, fd, EV_READ | EV_PERSIST,
					on_readable, members);
	event_add(members->read_event, NULL);
	members->gossip_timer =
		add_periodic_timer(members, GOSSIP_PERIOD_MS, on_gossip_timer);
	members->renew_timer =
		evtimer_new(config->base, on_renew_timer, members);
	on_renew_timer(-1, 0, members);
	return members;
}

void members_destroy(struct members *members)
{
	if (members == NULL)
		return;
	if (members->read_call != NULL)
		store_cancel(members->read_call);
	if (members->write_call != NULL)
		store_cancel(members->write_call);
	event_free(members->read_event);
	event_free(members->gossip_timer);
	event_free(members->renew_timer);
	close(members->fd);
	g_hash_table_destroy(members->by_id);
	for (GList *l = members->suspects->head; l != NULL; l = l->next) {
		struct suspect_report *report = l->data;

		g_free(report->server);
		g_free(report);
	}
	g_queue_free(members->suspects);
	g_free(members);
}

uint32_t members_count(const struct members *members)
{
	return members->count;
}

bool members_have_fresh_config(const struct members *members)
{
	int64_t now_ms = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->heard_ms > 0 &&
		    now_ms - member->heard_ms + member->config_age_ms <
			    FRESH_CONFIG_MAX_AGE_MS)
			return true;
	}
	return false;
}

bool members_is_responsible(const struct members *members, const char *task)
{
	uint64_t own_rank = rng_rank(task, members->config.id);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->live && !member->leaving &&
		    rng_rank(task, member->id) > own_rank)
			return false;
	}
	return true;
}

const char *members_find_relay(const struct members *members)
{
	int64_t now_ms = clock_boot_ms();
	const struct member *best = NULL;
	uint32_t best_order = 0;
	GHashTableIter it;
	gpointer p;

	/* The order differs by instance, which spreads the load on relays. */
	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;
		uint32_t order = g_str_hash(member->id) * 2654435761U ^
				 (uint32_t)members->config.incarnation;
		int64_t silent_ms = now_ms - member->heard_ms;

		if (member->relay == NULL || member->leaving ||
		    silent_ms > RELAY_SILENT_MAX_MS ||
		    silent_ms + member->config_age_ms > RELAY_CONFIG_MAX_AGE_MS)
			continue;
		if (best == NULL || order > best_order) {
			best = member;
			best_order = order;
		}
	}
	return best ? best->relay : NULL;
}

void members_report_suspect(struct members *members, uint64_t fingerprint,
			    const char *server)
{
	struct suspect_report *report = g_new(struct suspect_report, 1);

	report->fingerprint = fingerprint;
	report->server = g_strdup(server);
	report->sends_left = SUSPECT_SENDS;
	g_queue_push_tail(members->suspects, report);
}

void members_leave(struct members *members)
{
	members->leaving = true;
	event_del(members->renew_timer);
	send_gossip(members);
}
