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

struct mbr {
	struct mbr_config config;
	int fd;
	struct event *readable;
	struct event *gossip_timer;
	struct event *renew_timer;
	struct store_call *read;
	struct store_call *write;
	GHashTable *members; /* id -> struct member */
	GQueue *marks;	     /* to tell the others */
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

static struct member *member_of(struct mbr *mbr, const char *id)
{
	struct member *member = g_hash_table_lookup(mbr->members, id);

	if (member != NULL)
		return member;
	member = g_new0(struct member, 1);
	member->id = g_strdup(id);
	member->changed_at = clock_boot_ms();
	g_hash_table_insert(mbr->members, member->id, member);
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
static int64_t renew_ms(const struct mbr *mbr)
{
	return MIN(RENEW_MS * (int64_t)MAX(mbr->count, FEW) / FEW,
		   RENEW_MOST_MS);
}

/* Counts who may send requests, and forgets the demand of who may not. */
static void recount(struct mbr *mbr)
{
	int64_t now = clock_boot_ms();
	uint32_t count = 1;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, mbr->members);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;
		bool silent = now - member->heard_at > SILENT_MS;
		/* Only reading can show that a row is not renewed. */
		bool lapsed = mbr->read_at - member->changed_at >
			      GONE_RENEWALS * renew_ms(mbr);
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
			quota_remove_instance(mbr->config.quota, member->id);
		else if (silent)
			quota_mark_silent(mbr->config.quota, member->id);
		count += !gone;
	}
	mbr->count = count;
	if (mbr->listed)
		quota_set_instances(mbr->config.quota, count);
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

static GPtrArray *marks_to_tell(struct mbr *mbr)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (GList *l = mbr->marks->head; l && list->len < MARKS_MOST;
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

static void drop_told_marks(struct mbr *mbr)
{
	for (GList *l = mbr->marks->head, *next; l != NULL; l = next) {
		struct mark *mark = l->data;

		next = l->next;
		if (mark->repeats > 0)
			continue;
		g_queue_delete_link(mbr->marks, l);
		g_free(mark->server);
		g_free(mark);
	}
}

static uint8_t *pack_gossip(struct mbr *mbr, size_t *len)
{
	Rows__Gossip gossip = ROWS__GOSSIP__INIT;
	Rows__Member self = ROWS__MEMBER__INIT;
	GPtrArray *demands = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *marks = marks_to_tell(mbr);
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	uint8_t *packed;

	quota_foreach(mbr->config.quota, clock_boot_ms(), add_demand, demands);
	self.address = (char *)mbr->config.address;
	self.zone = (char *)mbr->config.zone;
	self.incarnation = mbr->config.incarnation;
	self.beat = mbr->beat;
	self.relay = (char *)mbr->config.relay;
	gossip.id = (char *)mbr->config.id;
	gossip.member = &self;
	gossip.n_demands = demands->len;
	gossip.demands = (Rows__Demand **)demands->pdata;
	gossip.n_marks = marks->len;
	gossip.marks = (Rows__Mark **)marks->pdata;
	gossip.config_age_ms = (uint32_t)CLAMP(
		mbr->config.config_age(mbr->config.arg), 0, G_MAXINT32);
	gossip.leaving = mbr->leaving;
	datagram.gossip = &gossip;
	packed = msg_pack(&datagram.base, len);
	g_ptr_array_free(demands, TRUE);
	g_ptr_array_free(marks, TRUE);
	drop_told_marks(mbr);
	return packed;
}

static void send_gossip(struct mbr *mbr)
{
	size_t len;
	uint8_t *packed = pack_gossip(mbr, &len);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, mbr->members);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;

		if (!member->counted || member->addr.sin_port == 0)
			continue;
		/* A datagram that is not sent is as good as a lost one. */
		(void)sendto(mbr->fd, packed, len, MSG_DONTWAIT,
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

static void take_gossip(struct mbr *mbr, const Rows__Gossip *gossip)
{
	struct member *member;

	if (strcmp(gossip->id, mbr->config.id) == 0)
		return;
	member = member_of(mbr, gossip->id);
	if (!set_address(member, gossip->member->address))
		return;
	g_free(member->relay);
	member->relay = g_strdup(gossip->member->relay);
	member->heard_at = clock_boot_ms();
	member->config_age_ms = gossip->config_age_ms;
	member->leaving = gossip->leaving;
	quota_report_begin(mbr->config.quota, gossip->id);
	for (size_t i = 0; i < gossip->n_demands; i++)
		quota_report_demand(mbr->config.quota, gossip->id,
				    gossip->demands[i]->account,
				    gossip->demands[i]->per_s,
				    gossip->demands[i]->has_tokens
					    ? gossip->demands[i]->tokens
					    : 0,
				    member->heard_at);
	for (size_t i = 0; i < gossip->n_marks; i++)
		mbr->config.marked(mbr->config.arg,
				   gossip->marks[i]->fingerprint,
				   gossip->marks[i]->server);
}

static void send_datagram(struct mbr *mbr, const char *id,
			  const Rows__Datagram *datagram)
{
	struct member *member = g_hash_table_lookup(mbr->members, id);
	uint8_t *packed;
	size_t len;

	if (member == NULL || member->addr.sin_port == 0)
		return;
	packed = msg_pack(&datagram->base, &len);
	/* A datagram that is not sent is as good as a lost one. */
	(void)sendto(mbr->fd, packed, len, MSG_DONTWAIT,
		     (struct sockaddr *)&member->addr, sizeof(member->addr));
	g_free(packed);
}

static void take_borrow(struct mbr *mbr, const Rows__Borrow *borrow)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Lend lend = ROWS__LEND__INIT;
	struct quota_limit limit;
	int64_t wait_ms = 0;

	lend.account = borrow->account;
	lend.serial = borrow->serial;
	if (mbr->config.limit(mbr->config.arg, borrow->account, &limit))
		lend.granted =
			quota_lend(mbr->config.quota, borrow->account, &limit,
				   borrow->wanted, borrow->begins,
				   clock_boot_ms(), &wait_ms);
	lend.has_wait_ms = wait_ms > 0;
	lend.wait_ms = (uint32_t)wait_ms;
	datagram.lend = &lend;
	send_datagram(mbr, borrow->id, &datagram);
}

void mbr_borrow(struct mbr *mbr, const char *instance, const char *account,
		uint32_t wanted, bool begins, uint32_t serial)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Borrow borrow = ROWS__BORROW__INIT;

	borrow.id = (char *)mbr->config.id;
	borrow.account = (char *)account;
	borrow.wanted = wanted;
	borrow.serial = serial;
	borrow.has_begins = begins;
	borrow.begins = begins;
	datagram.borrow = &borrow;
	send_datagram(mbr, instance, &datagram);
}

static void take_datagram(struct mbr *mbr, const Rows__Datagram *datagram)
{
	if (datagram->gossip != NULL)
		take_gossip(mbr, datagram->gossip);
	if (datagram->borrow != NULL)
		take_borrow(mbr, datagram->borrow);
	if (datagram->lend != NULL)
		mbr->config.lent(mbr->config.arg, datagram->lend->account,
				 datagram->lend->granted,
				 datagram->lend->wait_ms,
				 datagram->lend->serial);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct mbr *mbr = arg;
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
		take_datagram(mbr, datagram);
		rows__datagram__free_unpacked(datagram, NULL);
	}
}

static void take_row(struct mbr *mbr, const struct store_row *row, int64_t now)
{
	Rows__Member *rowed;
	struct member *member;
	gsize len;
	const uint8_t *data;

	if (row->value == NULL)
		return;
	if (strcmp(row->key, mbr->config.id) == 0) {
		mbr->row_version = row->version;
		return;
	}
	data = g_bytes_get_data(row->value, &len);
	rowed = rows__member__unpack(NULL, len, data);
	if (rowed == NULL) {
		slog("peer_fault", NULL, "\"step\":\"row\",\"peer\":%s",
		     slog_quote(row->key));
		return;
	}
	member = member_of(mbr, row->key);
	if (member->version != row->version) {
		/* A row of unknown age counts as renewed just now. */
		member->version = row->version;
		member->changed_at = now;
	}
	set_address(member, rowed->address);
	rows__member__free_unpacked(rowed, NULL);
}

/* A row that stays is removed another time. */
static void on_forgotten(void *arg, const struct store_response *answer)
{
	(void)arg;
	(void)answer;
}

/* Removes rows of instances that have been gone for long. */
static void forget_members(struct mbr *mbr, const struct store_response *answer,
			   int64_t now)
{
	for (guint i = 0; i < answer->rows->len; i++) {
		struct store_row *row =
			&g_array_index(answer->rows, struct store_row, i);
		struct member *member =
			g_hash_table_lookup(mbr->members, row->key);
		struct store_tx *tx;

		if (member == NULL || member->counted || mbr->write != NULL ||
		    now - member->changed_at < FORGET_MS)
			continue;
		tx = store_tx_create(MEMBERS_PART);
		store_tx_expect(tx, MEMBERS_TABLE, row->key, row->version);
		store_tx_remove(tx, MEMBERS_TABLE, row->key);
		g_hash_table_remove(mbr->members, row->key);
		store_tx_send(mbr->config.store, tx, on_forgotten, NULL);
		return;
	}
}

static void on_rows(void *arg, const struct store_response *answer)
{
	struct mbr *mbr = arg;
	int64_t now = clock_boot_ms();

	mbr->read = NULL;
	if (answer->result != STORE_OK)
		return;
	for (guint i = 0; i < answer->rows->len; i++)
		take_row(mbr, &g_array_index(answer->rows, struct store_row, i),
			 now);
	mbr->listed = true;
	mbr->read_at = now;
	recount(mbr);
	forget_members(mbr, answer, now);
}

static void on_renewed(void *arg, const struct store_response *answer)
{
	struct mbr *mbr = arg;

	(void)answer; /* the next renewal is due anyway */
	mbr->write = NULL;
	if (mbr->read == NULL && !mbr->leaving)
		mbr->read = store_read(mbr->config.store, MEMBERS_TABLE,
				       MEMBERS_PART, NULL, NULL, on_rows, mbr);
}

static void renew(struct mbr *mbr)
{
	Rows__Member self = ROWS__MEMBER__INIT;
	struct store_tx *tx;
	uint8_t *packed;
	size_t len;

	if (mbr->write != NULL)
		return;
	self.address = (char *)mbr->config.address;
	self.zone = (char *)mbr->config.zone;
	self.incarnation = mbr->config.incarnation;
	self.beat = ++mbr->beat;
	packed = msg_pack(&self.base, &len);
	tx = store_tx_create(MEMBERS_PART);
	store_tx_put(tx, MEMBERS_TABLE, mbr->config.id, packed, len);
	g_free(packed);
	mbr->write = store_tx_send(mbr->config.store, tx, on_renewed, mbr);
}

static void on_renew_timer(evutil_socket_t fd, short what, void *arg)
{
	struct mbr *mbr = arg;
	int64_t ms = renew_ms(mbr);
	struct timeval tv = clock_timeval(ms);

	(void)fd;
	(void)what;
	renew(mbr);
	event_add(mbr->renew_timer, &tv);
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

static struct event *repeat(struct mbr *mbr, int ms, event_callback_fn fn)
{
	struct timeval tv = clock_timeval(ms);
	struct event *timer =
		event_new(mbr->config.base, -1, EV_PERSIST, fn, mbr);

	event_add(timer, &tv);
	return timer;
}

struct mbr *mbr_create(const struct mbr_config *config)
{
	int fd = bind_datagrams(config->address);
	struct mbr *mbr;

	if (fd < 0)
		return NULL;
	mbr = g_new0(struct mbr, 1);
	mbr->config = *config;
	mbr->fd = fd;
	mbr->count = 1;
	mbr->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     member_free);
	mbr->marks = g_queue_new();
	mbr->readable = event_new(config->base, fd, EV_READ | EV_PERSIST,
				  on_readable, mbr);
	event_add(mbr->readable, NULL);
	mbr->gossip_timer = repeat(mbr, GOSSIP_MS, on_gossip_timer);
	mbr->renew_timer = evtimer_new(config->base, on_renew_timer, mbr);
	on_renew_timer(-1, 0, mbr);
	return mbr;
}

void mbr_destroy(struct mbr *mbr)
{
	if (mbr == NULL)
		return;
	if (mbr->read != NULL)
		store_cancel(mbr->read);
	if (mbr->write != NULL)
		store_cancel(mbr->write);
	event_free(mbr->readable);
	event_free(mbr->gossip_timer);
	event_free(mbr->renew_timer);
	close(mbr->fd);
	g_hash_table_destroy(mbr->members);
	for (GList *l = mbr->marks->head; l != NULL; l = l->next) {
		struct mark *mark = l->data;

		g_free(mark->server);
		g_free(mark);
	}
	g_queue_free(mbr->marks);
	g_free(mbr);
}

uint32_t mbr_count(const struct mbr *mbr)
{
	return mbr->count;
}

bool mbr_others_fresh(const struct mbr *mbr)
{
	int64_t now = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, mbr->members);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->heard_at > 0 &&
		    now - member->heard_at + member->config_age_ms < FRESH_MS)
			return true;
	}
	return false;
}

bool mbr_is_first(const struct mbr *mbr, const char *task)
{
	uint64_t ours = rng_rank(task, mbr->config.id);
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, mbr->members);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->counted && !member->leaving &&
		    rng_rank(task, member->id) > ours)
			return false;
	}
	return true;
}

const char *mbr_relay(const struct mbr *mbr)
{
	int64_t now = clock_boot_ms();
	const struct member *best = NULL;
	uint32_t best_order = 0;
	GHashTableIter it;
	gpointer p;

	/* Each instance has an order of its own, so that relays share the load.
	 */
	g_hash_table_iter_init(&it, mbr->members);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;
		uint32_t order = g_str_hash(member->id) * 2654435761U ^
				 (uint32_t)mbr->config.incarnation;
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

void mbr_mark(struct mbr *mbr, uint64_t fingerprint, const char *server)
{
	struct mark *mark = g_new(struct mark, 1);

	mark->fingerprint = fingerprint;
	mark->server = g_strdup(server);
	mark->repeats = MARK_REPEATS;
	g_queue_push_tail(mbr->marks, mark);
}

void mbr_leave(struct mbr *mbr)
{
	mbr->leaving = true;
	event_del(mbr->renew_timer);
	send_gossip(mbr);
}
