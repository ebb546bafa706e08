/** @file members.c @brief Membership: the other instances. */
#include <string.h>

#include "clock.h"
#include "decide/share.h"
#include "members_int.h"
#include "proto/message.h"
#include "slog.h"

#define MEMBERS_TABLE "aps-members"
#define MEMBERS_PART ""

enum {
	RENEW_PERIOD_MIN_MS = 2000, /* of writing our row */
	RENEW_PERIOD_MAX_MS = 8000,
	READ_PERIOD_MAX_MS = 60000, /* of reading all rows */
	PERIOD_MEMBERS = 16, /* up to which the periods are the minimum */
	/* A member is gone if it is quiet and its row is not renewed. */
	GONE_MISSED_RENEWALS = 3,
	DEAD_ROW_TTL_MS = 60000, /* rows of members that are gone */
	FRESH_CONFIG_MAX_AGE_MS = 3000,
	TUNNEL_RETRY_MS = 1000,	   /* after an instance carried nothing */
	RELAY_SILENT_MAX_MS = 800, /* three of its datagrams may get lost */
	/* The configuration is 1 to 2 s old on an instance that reaches the
	 * store. */
	RELAY_CONFIG_MAX_AGE_MS = 2600,
	/* In a fleet that starts, rows appear for some seconds. */
	EARLY_READS = 3,
	/* More than twice the window over which limits are judged. */
	RESTART_CREDIT_AFTER_MS = 12000,
	/* A fleet that starts at once does not write all rows at once. */
	FIRST_RENEWAL_SPACING_MS = 5,
	FIRST_READ_RETRY_MS = 250,
	/* The store may fail a little later for another instance. */
	OUTAGE_MARGIN_MS = 300,
	MEMBERS_MAX = 4096, /* datagrams with forged ids add no more */
	/* Rows are read often while more than 1 in 8 members are silent. */
	MANY_SILENT_PART = 8,
};

static void member_free(gpointer p)
{
	struct member *member = p;

	g_free(member->id);
	g_free(member->relay);
	g_free(member->zone);
	g_free(member->copies);
	g_free(member);
}

struct member *members_get(struct members *members, const char *id)
{
	struct member *member = g_hash_table_lookup(members->by_id, id);

	if (member != NULL)
		return member;
	if (g_hash_table_size(members->by_id) >= MEMBERS_MAX ||
	    strlen(id) >= LIVE_ID_MAX_BYTES)
		return NULL;
	member = g_new0(struct member, 1);
	member->id = g_strdup(id);
	member->hash = rng_hash(id);
	member->row_changed_ms = clock_boot_ms();
	member->tunnel_failed_ms = G_MININT32;
	g_hash_table_insert(members->by_id, member->id, member);
	live_add(members->live, id);
	quota_add_instance(members->config.quota, id);
	return member;
}

bool members_set_address(struct member *member, const char *address)
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

/* The periods grow with the members, which bounds the load on the store. */
static int64_t scaled_period_ms(const struct members *members, int64_t max_ms)
{
	return MIN(RENEW_PERIOD_MIN_MS *
			   (int64_t)MAX(members->count, PERIOD_MEMBERS) /
			   PERIOD_MEMBERS,
		   max_ms);
}

static int64_t renew_period_ms(const struct members *members)
{
	return scaled_period_ms(members, RENEW_PERIOD_MAX_MS);
}

/* Rows are read less often than they are renewed in a large fleet, since the
 * failure detector tells of most changes; but as often while many are silent,
 * as only the rows tell whether they are gone. */
static int64_t read_period_ms(const struct members *members)
{
	uint32_t responding = live_count(members->live) + 1;

	return scaled_period_ms(
		members, members->count - MIN(responding, members->count) >
					 members->count / MANY_SILENT_PART
				 ? RENEW_PERIOD_MAX_MS
				 : READ_PERIOD_MAX_MS);
}

/* Whether a member sends no more requests. */
static bool is_gone(const struct members *members, const struct member *member,
		    int64_t now_ms)
{
	/* Compared with the last read and not with the clock: while the store
	 * can't be read, no row counts as lapsed. */
	bool lapsed = members->read_ms - member->row_changed_ms >
		      GONE_MISSED_RENEWALS * renew_period_ms(members);

	return live_is_quiet(members->live, member->id, now_ms) &&
	       (lapsed || live_is_leaving(members->live, member->id));
}

/* Counts the members that may send requests; drops the demand of the others. */
static void update_gone(struct members *members)
{
	int64_t now_ms = clock_boot_ms();
	uint32_t count = 1;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct member *member = p;
		bool gone = is_gone(members, member, now_ms);

		if (member->gone != gone)
			slog("member", NULL,
			     "\"peer\":%s,\"state\":\"%s\",\"heard_ms\":"
			     "%" G_GINT64_FORMAT,
			     slog_quote(member->id), gone ? "gone" : "there",
			     member->heard_ms > 0 ? now_ms - member->heard_ms
						  : -1);
		if (!member->gone && gone)
			quota_remove_instance(members->config.quota,
					      member->id);
		if (member->gone && !gone)
			quota_add_instance(members->config.quota, member->id);
		member->gone = gone;
		count += !gone;
	}
	members->count = count;
	if (members->reads > 0)
		quota_set_instances(members->config.quota, count);
}

static void on_probe(void *arg, const char *id)
{
	struct members *members = arg;
	const struct member *member = g_hash_table_lookup(members->by_id, id);

	if (member != NULL && member->addr.sin_port != 0)
		members_net_probe(members, member, true);
}

static void on_silence_changed(void *arg, const char *id, bool silent)
{
	struct members *members = arg;
	const struct member *member = g_hash_table_lookup(members->by_id, id);

	slog("member", NULL,
	     "\"peer\":%s,\"state\":\"%s\",\"heard_ms\":%" G_GINT64_FORMAT,
	     slog_quote(id), silent ? "silent" : "responds",
	     member != NULL && member->heard_ms > 0
		     ? clock_boot_ms() - member->heard_ms
		     : -1);
	if (silent)
		quota_mark_silent(members->config.quota, id);
	else if (member != NULL && !member->gone)
		quota_add_instance(members->config.quota, id);
}

static void on_period(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	int64_t now_ms = clock_boot_ms();

	(void)fd;
	(void)what;
	live_tick(members->live, now_ms);
	update_gone(members);
	members_confirm_contact(members, now_ms);
}

void members_confirm_contact(struct members *members, int64_t now_ms)
{
	if (live_is_isolated(members->live, now_ms))
		return;
	members->contacted |= live_count(members->live) > 0;
	quota_confirm_contact(members->config.quota, now_ms);
}

/* Whether another instance has a configuration that is younger than
 * @p max_age_ms. */
static bool have_config(const struct members *members, int64_t max_age_ms)
{
	int64_t now_ms = clock_boot_ms();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		if (member->heard_ms > 0 &&
		    now_ms - member->heard_ms + member->config_age_ms <
			    max_age_ms)
			return true;
	}
	return false;
}

bool members_have_newer_config(const struct members *members, int64_t outage_ms)
{
	return have_config(members, outage_ms - OUTAGE_MARGIN_MS);
}

bool members_is_cut_off(const struct members *members, int64_t outage_ms)
{
	uint32_t responding = live_count(members->live) + 1;

	return members->contacted &&
	       (responding < members->count / 2 ||
		live_is_isolated(members->live, clock_boot_ms()) ||
		members_have_newer_config(members, outage_ms));
}

/* The row of this instance's last start. One that is long ago has not left a
 * burst of requests behind. */
static void apply_own_row(struct members *members, const Rows__Member *message)
{
	if (members->reads == 0 &&
	    members->config.epoch >
		    message->incarnation + RESTART_CREDIT_AFTER_MS)
		quota_allow_restart_credit(members->config.quota);
}

static void apply_member_row(struct members *members,
			     const struct store_row *row, int64_t now_ms)
{
	Rows__Member *message;
	struct member *member;
	gsize len;
	const uint8_t *data;

	if (row->value == NULL)
		return;
	data = g_bytes_get_data(row->value, &len);
	message = rows__member__unpack(NULL, len, data);
	if (message != NULL && strcmp(row->key, members->config.id) == 0) {
		apply_own_row(members, message);
		rows__member__free_unpacked(message, NULL);
		return;
	}
	member = message != NULL ? members_get(members, row->key) : NULL;
	if (member == NULL) {
		slog("peer_fault", NULL, "\"step\":\"row\",\"peer\":%s",
		     slog_quote(row->key));
		rows__member__free_unpacked(message, NULL);
		return;
	}
	if (member->row_version != row->version) {
		/* A new version counts as renewed now; its age is unknown. */
		member->row_version = row->version;
		member->row_changed_ms = now_ms;
	}
	(void)members_set_address(member, message->address);
	g_free(member->relay);
	member->relay = g_strdup(message->relay);
	g_free(member->zone);
	member->zone = g_strdup(message->zone);
	g_free(member->copies);
	member->copies = g_strdup(message->copies);
	rows__member__free_unpacked(message, NULL);
}

/* A removal that failed is tried again after a later read. */
static void on_row_removed(void *arg, const struct store_response *reply)
{
	(void)arg;
	(void)reply;
}

static void remove_member(struct members *members, const struct store_row *row)
{
	struct store_tx *tx = store_tx_create(MEMBERS_PART);

	store_tx_expect(tx, MEMBERS_TABLE, row->key, row->version);
	store_tx_remove(tx, MEMBERS_TABLE, row->key);
	live_remove(members->live, row->key);
	g_hash_table_remove(members->by_id, row->key);
	store_tx_send(members->config.store, tx, on_row_removed, NULL);
}

/* Removes the row of one member that has been gone for DEAD_ROW_TTL_MS. */
static void remove_dead_rows(struct members *members,
			     const struct store_response *reply, int64_t now_ms)
{
	for (guint i = 0; i < reply->rows->len; i++) {
		const struct store_row *row =
			&g_array_index(reply->rows, struct store_row, i);
		const struct member *member =
			g_hash_table_lookup(members->by_id, row->key);

		if (member == NULL || !member->gone ||
		    members->write_call != NULL ||
		    now_ms - member->row_changed_ms < DEAD_ROW_TTL_MS ||
		    !members_is_responsible(members, row->key))
			continue;
		remove_member(members, row);
		return;
	}
}

static void schedule_renewal(struct members *members, int64_t delay_ms)
{
	struct timeval tv = clock_timeval(delay_ms);

	event_add(members->renew_timer, &tv);
}

/* The instances are known: nothing that needs contact with them has to wait for
 * the next period. Only now is the row of the last start overwritten. */
static void start_contact(struct members *members, int64_t now_ms)
{
	live_tick(members->live, now_ms);
	schedule_renewal(members, (int64_t)(members->hash % members->count) *
					  FIRST_RENEWAL_SPACING_MS);
}

static void on_rows(void *arg, const struct store_response *reply)
{
	struct members *members = arg;
	int64_t now_ms = clock_boot_ms();

	members->read_call = NULL;
	if (reply->result != STORE_OK) {
		if (members->reads == 0)
			schedule_renewal(members, FIRST_READ_RETRY_MS);
		return;
	}
	for (guint i = 0; i < reply->rows->len; i++)
		apply_member_row(
			members,
			&g_array_index(reply->rows, struct store_row, i),
			now_ms);
	members->reads++;
	members->read_ms = now_ms;
	update_gone(members);
	if (members->reads == 1)
		start_contact(members, now_ms);
	remove_dead_rows(members, reply, now_ms);
}

static void read_rows(struct members *members)
{
	if (members->read_call == NULL)
		members->read_call =
			store_read(members->config.store, MEMBERS_TABLE,
				   MEMBERS_PART, NULL, NULL, on_rows, members);
}

/* Whether the rows should be read after this renewal: half a renewal early, so
 * that jitter does not skip one. */
static bool is_read_due(const struct members *members)
{
	int64_t age_ms = clock_boot_ms() - members->read_ms;

	return members->reads < EARLY_READS ||
	       age_ms + renew_period_ms(members) / 2 >= read_period_ms(members);
}

static void on_renewed(void *arg, const struct store_response *reply)
{
	struct members *members = arg;

	(void)reply; /* a failed renewal is not retried before the next one */
	members->write_call = NULL;
	if (!members->leaving && is_read_due(members))
		read_rows(members);
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
	self.incarnation = live_epoch(members->live);
	self.beat = ++members->heartbeat;
	self.relay = (char *)members->config.relay;
	self.copies = (char *)members->config.copies;
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

	(void)fd;
	(void)what;
	if (members->reads > 0)
		renew_row(members);
	else
		read_rows(members);
	schedule_renewal(members, renew_period_ms(members));
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

/* Returns the port of HOST:PORT, or 0. */
static uint16_t parse_port(const char *address)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len) != 0 ||
	    addr.ss_family != AF_INET)
		return 0;
	return ntohs(((struct sockaddr_in *)&addr)->sin_port);
}

struct members *members_create(const struct members_config *config)
{
	struct members *members = g_new0(struct members, 1);
	struct live_io io = {on_probe, on_silence_changed, members};

	members->config = *config;
	if (!members_net_open(members)) {
		g_free(members);
		return NULL;
	}
	members->live = live_create(config->id, config->epoch, &io);
	members->hash = rng_hash(config->id);
	members->rng.state = members->hash ^ config->epoch;
	if (config->tunnel != NULL)
		members->tunnel_port = parse_port(config->tunnel);
	members->count = 1;
	members->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       member_free);
	members->news = g_queue_new();
	members->period_timer =
		add_periodic_timer(members, LIVE_PERIOD_MS, on_period);
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
	event_free(members->period_timer);
	event_free(members->renew_timer);
	members_net_close(members);
	live_destroy(members->live);
	g_hash_table_destroy(members->by_id);
	members_news_clear(members);
	g_free(members);
}

uint32_t members_count(const struct members *members)
{
	return members->count;
}

bool members_have_fresh_config(const struct members *members)
{
	return have_config(members, FRESH_CONFIG_MAX_AGE_MS);
}

/* Number of instances that come before this one for @p task in rendezvous
 * hashing; with @p leaving, those that shut down count as well. */
static uint32_t rank_for(const struct members *members, const char *task,
			 bool leaving)
{
	uint64_t task_hash = rng_hash(task);
	uint64_t own_rank = share_order(task_hash, members->hash);
	uint32_t rank = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;

		rank += !member->gone &&
			share_order(task_hash, member->hash) > own_rank &&
			(leaving ||
			 !live_is_leaving(members->live, member->id));
	}
	return rank;
}

bool members_is_responsible(const struct members *members, const char *task)
{
	return rank_for(members, task, false) == 0;
}

uint32_t members_share_of(const struct members *members, const char *resource,
			  uint32_t units)
{
	if (members->reads == 0)
		return 0;
	return share_units(units, members->count,
			   rank_for(members, resource, true));
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
				 (uint32_t)members->hash;
		int64_t silent_ms = now_ms - member->heard_ms;

		if (member->relay == NULL ||
		    live_is_leaving(members->live, member->id) ||
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

static bool may_carry(const struct members *members,
		      const struct member *member, int64_t now_ms)
{
	return member->tunnel_port != 0 &&
	       !live_is_leaving(members->live, member->id) &&
	       now_ms - member->heard_ms <= RELAY_SILENT_MAX_MS &&
	       now_ms - member->tunnel_failed_ms > TUNNEL_RETRY_MS;
}

bool members_find_tunnel(struct members *members, struct members_tunnel *tunnel)
{
	int64_t now_ms = clock_boot_ms();
	const struct member *chosen = NULL;
	char host[INET_ADDRSTRLEN];
	uint64_t seen = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (may_carry(members, p, now_ms) &&
		    rng_below(&members->rng, ++seen) == 0)
			chosen = p;
	}
	if (chosen == NULL || evutil_inet_ntop(AF_INET, &chosen->addr.sin_addr,
					       host, sizeof(host)) == NULL)
		return false;
	g_strlcpy(tunnel->id, chosen->id, sizeof(tunnel->id));
	g_snprintf(tunnel->address, sizeof(tunnel->address), "%s:%u", host,
		   chosen->tunnel_port);
	return true;
}

void members_report_no_tunnel(struct members *members, const char *id)
{
	struct member *member = g_hash_table_lookup(members->by_id, id);

	if (member != NULL)
		member->tunnel_failed_ms = clock_boot_ms();
	live_doubt(members->live, id, clock_boot_ms());
}

void members_report_unanswered(struct members *members, const char *instance)
{
	live_doubt(members->live, instance, clock_boot_ms());
}

bool members_are_known(const struct members *members)
{
	return members->reads > 0;
}

void members_foreach_peer(const struct members *members,
			  void (*fn)(void *arg,
				     const struct members_peer *peer),
			  void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, members->by_id);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct member *member = p;
		struct members_peer peer = {
			.id = member->id,
			.zone = member->zone,
			.copies = member->copies,
			.hash = member->hash,
			.responds =
				!live_is_silent(members->live, member->id) &&
				!live_is_leaving(members->live, member->id),
		};

		if (member->copies != NULL && !member->gone)
			fn(arg, &peer);
	}
}

void members_leave(struct members *members)
{
	members->leaving = true;
	event_del(members->renew_timer);
	live_announce(members->live, true, clock_boot_ms());
	live_tick(members->live, clock_boot_ms());
}
