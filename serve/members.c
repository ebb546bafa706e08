/** @file members.c @brief The other instances. */
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
	GOSSIP_MS = 250, /* a share of an account's rate follows demand
			  * within about two of these */
	RENEW_MS = 2000, /* rows of members, and the reading of them */
	RENEW_MOST_MS = 8000,
	FEW = 16,	   /* members up to which a row is renewed that often */
	SILENT_MS = 1500,  /* not heard for so long */
	GONE_RENEWALS = 3, /* and its row not renewed for so many */
	FORGET_MS = 60000, /* rows of instances that are gone */
	FRESH_MS = 3000,   /* a configuration younger than that is in use */
	RELAY_HEARD_MS = 800,  /* three words of it may get lost */
	RELAY_FRESH_MS = 2600, /* a configuration is one to two seconds old
				* where the store answers */
	DATAGRAM_MOST = 8192,
	MARKS_MOST = 16,  /* in one datagram */
	MARK_REPEATS = 4, /* datagrams get lost */
};

struct member {
	char *id;
	char *relay;
	struct sockaddr_in addr;
	int64_t version;    /* of its row */
	int64_t changed_at; /* when we saw that version first */
	int64_t heard_at;
	uint32_t config_age_ms;
	bool leaving;
	bool counted;
};

struct mark {
	uint64_t fingerprint;
	char *server;
	int repeats;
};

struct members {
	struct members_config config;
	int fd;
	struct event *readable;
	struct event *gossip_timer;
	struct event *renew_timer;
	struct rst_call *read;
	struct rst_call *write;
	GHashTable *by_id; /* id -> struct member */
	GQueue *marks;	   /* to tell the others */
	int64_t row_version;
	uint32_t beat;
	uint32_t count;
	int64_t read_at; /* when the rows were last read */
	bool listed;	 /* the rows have been read once */
	bool leaving;
};

static void member_free(gpointer p)
{
	struct member *member = p;

	g_free(member->id);
	g_free(member->relay);
	g_free(member);
}

static struct member *member_of(struct members *members, const char *id)
{
	struct member *member = g_hash_table_lookup(members->by_id, id);

	if (member != NULL)
		return member;
	member = g_new0(struct member, 1);
	member->id = g_strdup(id);
	member->changed_at = clock_boot_ms();
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

/* The store bears so many renewals, so the more members, the fewer of each. */
static int64_t renew_ms(const struct members *members)
{
	return MIN(RENEW_MS * (int64_t)MAX(members->count, FEW) / FEW,
		   RENEW_MOST_MS);
}

/* Counts who may send requests, and forgets the demand of who may not. */
static void recount(struct members *members)
{
	int64_t now = clock_boot_ms();
	uint32_t count = 1;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;
		bool silent = now - member->heard_at > SILENT_MS;
		/* Only reading can show that a row is not renewed. */
		bool lapsed = members->read_at - member->changed_at >
			      GONE_RENEWALS * renew_ms(members);
		bool gone = silent && (member->leaving || lapsed);

		if (member->counted == gone)
			slog("member", NULL,
			     "\"peer\":%s,\"state\":\"%s\",\"heard_ms\":"
			     "%" G_GINT64_FORMAT,
			     slog_quote(member->id), gone ? "gone" : "there",
			     member->heard_at > 0 ? now - member->heard_at
						  : -1);
		member->counted = !gone;
		if (gone)
			qta_forget(members->config.quota, member->id);
		else if (silent)
			qta_silent(members->config.quota, member->id);
		count += !gone;
	}
	members->count = count;
	if (members->listed)
		qta_instances(members->config.quota, count);
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

static GPtrArray *marks_to_tell(struct members *members)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (GList *l = members->marks->head; l && list->len < MARKS_MOST;
	     l = l->next) {
		struct mark *mark = l->data;
		Rows__Mark *row = g_new(Rows__Mark, 1);

		rows__mark__init(row);
		row->fingerprint = mark->fingerprint;
		row->server = mark->server;
		mark->repeats--;
		g_ptr_array_add(list, row);
	}
	return list;
}

static void drop_told_marks(struct members *members)
{
	for (GList *l = members->marks->head, *next; l != NULL; l = next) {
		struct mark *mark = l->data;

		next = l->next;
		if (mark->repeats > 0)
			continue;
		g_queue_delete_link(members->marks, l);
		g_free(mark->server);
		g_free(mark);
	}
}

static uint8_t *pack_gossip(struct members *members, size_t *len)
{
	Rows__Gossip gossip = ROWS__GOSSIP__INIT;
	Rows__Member self = ROWS__MEMBER__INIT;
	GPtrArray *demands = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *marks = marks_to_tell(members);
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	uint8_t *packed;

	qta_foreach(members->config.quota, clock_boot_ms(), add_demand,
		    demands);
	self.address = (char *)members->config.address;
	self.zone = (char *)members->config.zone;
	self.incarnation = members->config.incarnation;
	self.beat = members->beat;
	self.relay = (char *)members->config.relay;
	gossip.id = (char *)members->config.id;
	gossip.member = &self;
	gossip.n_demands = demands->len;
	gossip.demands = (Rows__Demand **)demands->pdata;
	gossip.n_marks = marks->len;
	gossip.marks = (Rows__Mark **)marks->pdata;
	gossip.config_age_ms = (uint32_t)CLAMP(
		members->config.config_age(members->config.arg), 0, G_MAXINT32);
	gossip.leaving = members->leaving;
	datagram.gossip = &gossip;
	packed = msg_pack(&datagram.base, len);
	g_ptr_array_free(demands, TRUE);
	g_ptr_array_free(marks, TRUE);
	drop_told_marks(members);
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

		if (!member->counted || member->addr.sin_port == 0)
			continue;
		/* A datagram that is not sent is as good as a lost one. */
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
	recount(arg);
	send_gossip(arg);
}

static void take_gossip(struct members *members, const Rows__Gossip *gossip)
{
	struct member *member;

	if (strcmp(gossip->id, members->config.id) == 0)
		return;
	member = member_of(members, gossip->id);
	if (!set_address(member, gossip->member->address))
		return;
	g_free(member->relay);
	member->relay = g_strdup(gossip->member->relay);
	member->heard_at = clock_boot_ms();
	member->config_age_ms = gossip->config_age_ms;
	member->leaving = gossip->leaving;
	qta_heard(members->config.quota, gossip->id);
	for (size_t i = 0; i < gossip->n_demands; i++)
		qta_told(members->config.quota, gossip->id,
			 gossip->demands[i]->account, gossip->demands[i]->per_s,
			 gossip->demands[i]->has_tokens
				 ? gossip->demands[i]->tokens
				 : 0,
			 member->heard_at);
	for (size_t i = 0; i < gossip->n_marks; i++)
		members->config.marked(members->config.arg,
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
	/* A datagram that is not sent is as good as a lost one. */
	(void)sendto(members->fd, packed, len, MSG_DONTWAIT,
		     (struct sockaddr *)&member->addr, sizeof(member->addr));
	g_free(packed);
}

static void take_borrow(struct members *members, const Rows__Borrow *borrow)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Lend lend = ROWS__LEND__INIT;
	struct qta_limit limit;
	int64_t wait_ms = 0;

	lend.account = borrow->account;
	lend.serial = borrow->serial;
	if (members->config.limit(members->config.arg, borrow->account, &limit))
		lend.granted = qta_lend(members->config.quota, borrow->account,
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

static void take_datagram(struct members *members,
			  const Rows__Datagram *datagram)
{
	if (datagram->gossip != NULL)
		take_gossip(members, datagram->gossip);
	if (datagram->borrow != NULL)
		take_borrow(members, datagram->borrow);
	if (datagram->lend != NULL)
		members->config.lent(
			members->config.arg, datagram->lend->account,
			datagram->lend->granted, datagram->lend->wait_ms,
			datagram->lend->serial);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	uint8_t data[DATAGRAM_MOST];
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
		take_datagram(members, datagram);
		rows__datagram__free_unpacked(datagram, NULL);
	}
}

static void take_row(struct members *members, const struct rst_row *row,
		     int64_t now)
{
	Rows__Member *rowed;
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
	rowed = rows__member__unpack(NULL, len, data);
	if (rowed == NULL) {
		slog("peer_fault", NULL, "\"step\":\"row\",\"peer\":%s",
		     slog_quote(row->key));
		return;
	}
	member = member_of(members, row->key);
	if (member->version != row->version) {
		/* A row of unknown age counts as renewed just now. */
		member->version = row->version;
		member->changed_at = now;
	}
	set_address(member, rowed->address);
	rows__member__free_unpacked(rowed, NULL);
}

/* A row that stays is removed another time. */
static void on_forgotten(void *arg, const struct rst_answer *answer)
{
	(void)arg;
	(void)answer;
}

/* Removes rows of instances that have been gone for long. */
static void forget_members(struct members *members,
			   const struct rst_answer *answer, int64_t now)
{
	for (guint i = 0; i < answer->rows->len; i++) {
		struct rst_row *row =
			&g_array_index(answer->rows, struct rst_row, i);
		struct member *member =
			g_hash_table_lookup(members->by_id, row->key);
		struct rst_tx *tx;

		if (member == NULL || member->counted ||
		    members->write != NULL ||
		    now - member->changed_at < FORGET_MS)
			continue;
		tx = rst_tx_create(MEMBERS_PART);
		rst_tx_expect(tx, MEMBERS_TABLE, row->key, row->version);
		rst_tx_remove(tx, MEMBERS_TABLE, row->key);
		g_hash_table_remove(members->by_id, row->key);
		rst_tx_send(members->config.store, tx, on_forgotten, NULL);
		return;
	}
}

static void on_rows(void *arg, const struct rst_answer *answer)
{
	struct members *members = arg;
	int64_t now = clock_boot_ms();

	members->read = NULL;
	if (answer->result != RST_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++)
		take_row(members,
			 &g_array_index(answer->rows, struct rst_row, i), now);
	members->listed = true;
	members->read_at = now;
	recount(members);
	forget_members(members, answer, now);
}

static void on_renewed(void *arg, const struct rst_answer *answer)
{
	struct members *members = arg;

	(void)answer; /* the next renewal is due anyway */
	members->write = NULL;
	if (members->read == NULL && !members->leaving)
		members->read =
			rst_get(members->config.store, MEMBERS_TABLE,
				MEMBERS_PART, NULL, NULL, on_rows, members);
}

static void renew(struct members *members)
{
	Rows__Member self = ROWS__MEMBER__INIT;
	struct rst_tx *tx;
	uint8_t *packed;
	size_t len;

	if (members->write != NULL)
		return;
	self.address = (char *)members->config.address;
	self.zone = (char *)members->config.zone;
	self.incarnation = members->config.incarnation;
	self.beat = ++members->beat;
	packed = msg_pack(&self.base, &len);
	tx = rst_tx_create(MEMBERS_PART);
	rst_tx_put(tx, MEMBERS_TABLE, members->config.id, packed, len);
	g_free(packed);
	members->write =
		rst_tx_send(members->config.store, tx, on_renewed, members);
}

static void on_renew_timer(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	int64_t ms = renew_ms(members);
	struct timeval tv = clock_timeval(ms);

	(void)fd;
	(void)what;
	renew(members);
	event_add(members->renew_timer, &tv);
}

static int bind_datagrams(const char *address)
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

static struct event *repeat(struct members *members, int ms,
			    event_callback_fn fn)
{
	struct timeval tv = clock_timeval(ms);
	struct event *timer =
		event_new(members->config.base, -1, EV_PERSIST, fn, members);

	event_add(timer, &tv);
	return timer;
}

struct members *members_create(const struct members_config *config)
{
	int fd = bind_datagrams(config->address);
	struct members *members;

	if (fd < 0)
		return NULL;
	members = g_new0(struct members, 1);
	members->config = *config;
	members->fd = fd;
	members->count = 1;
	members->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       member_free);
	members->marks = g_queue_new();
	members->readable = event_new(config->base, fd, EV_READ | EV_PERSIST,
				      on_readable, members);
	event_add(members->readable, NULL);
	members->gossip_timer = repeat(members, GOSSIP_MS, on_gossip_timer);
	members->renew_timer =
		evtimer_new(config->base, on_renew_timer, members);
	on_renew_timer(-1, 0, members);
	return members;
}

void members_destroy(struct members *members)
{
	if (members == NULL)
		return;
	if (members->read != NULL)
		rst_cancel(members->read);
	if (members->write != NULL)
		rst_cancel(members->write);
	event_free(members->readable);
	event_free(members->gossip_timer);
	event_free(members->renew_timer);
	close(members->fd);
	g_hash_table_destroy(members->by_id);
	for (GList *l = members->marks->head; l != NULL; l = l->next) {
		struct mark *mark = l->data;

		g_free(mark->server);
		g_free(mark);
	}
	g_queue_free(members->marks);
	g_free(members);
}

uint32_t members_count(const struct members *members)
{
	return members->count;
}

bool members_have_fresh_config(const struct members *members)
{
	int64_t now = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->heard_at > 0 &&
		    now - member->heard_at + member->config_age_ms < FRESH_MS)
			return true;
	}
	return false;
}

bool members_is_responsible(const struct members *members, const char *task)
{
	uint64_t ours = rng_rank(task, members->config.id);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->counted && !member->leaving &&
		    rng_rank(task, member->id) > ours)
			return false;
	}
	return true;
}

const char *members_find_relay(const struct members *members)
{
	int64_t now = clock_boot_ms();
	const struct member *best = NULL;
	uint32_t best_order = 0;
	GHashTableIter it;
	gpointer p;

	/* Each instance has an order of its own, so that relays share the load.
	 */
	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;
		uint32_t order = g_str_hash(member->id) * 2654435761U ^
				 (uint32_t)members->config.incarnation;
		int64_t silent = now - member->heard_at;

		if (member->relay == NULL || member->leaving ||
		    silent > RELAY_HEARD_MS ||
		    silent + member->config_age_ms > RELAY_FRESH_MS)
			continue;
		if (best == NULL || order > best_order) {
			best = member;
			best_order = order;
		}
	}
	return best ? best->relay : NULL;
}

void members_broadcast_mark(struct members *members, uint64_t fingerprint,
			    const char *server)
{
	struct mark *mark = g_new(struct mark, 1);

	mark->fingerprint = fingerprint;
	mark->server = g_strdup(server);
	mark->repeats = MARK_REPEATS;
	g_queue_push_tail(members->marks, mark);
}

void members_leave(struct members *members)
{
	members->leaving = true;
	event_del(members->renew_timer);
	send_gossip(members);
}
