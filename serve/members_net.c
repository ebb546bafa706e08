/** @file members_net.c @brief Datagrams between instances. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "members_int.h"
#include "proto/message.h"
#include "slog.h"
#include "stats.h"

enum {
	DATAGRAM_MAX_BYTES = 8192,
	CONFIG_AGE_MAX_MS = 3600000,
	/* In a probe; 24 probes a second bring each server's load to an
	 * instance about twice a second. */
	LOADS_MAX = 2,
	/* So that a report does not come back as a newer one. */
	LOAD_TRANSIT_MS = 1,
};

/* Demands below this are not reported, in requests a second. */
#define DEMAND_MIN 0.05

/* The messages that rumors of a probe are packed from. */
struct packed_rumors {
	struct live_rumor rumors[LIVE_RUMORS_MAX];
	char addresses[LIVE_RUMORS_MAX][32];
	Rows__Rumor messages[LIVE_RUMORS_MAX];
	Rows__Rumor *pointers[LIVE_RUMORS_MAX];
	size_t count;
};

/* The messages that load reports of a probe are packed from. */
struct packed_loads {
	Rows__ServerLoad messages[LOADS_MAX];
	Rows__ServerLoad *pointers[LOADS_MAX];
	size_t count;
};

static const Rows__Rumor__Kind wire_kinds[] = {
	[LIVE_SUSPECTED] = ROWS__RUMOR__KIND__SUSPECTED,
	[LIVE_SILENT] = ROWS__RUMOR__KIND__SILENT,
	[LIVE_ALIVE] = ROWS__RUMOR__KIND__ALIVE,
	[LIVE_LEFT] = ROWS__RUMOR__KIND__LEFT,
};

static void drop(const char *why, ssize_t len)
{
	stats_count(STATS_DATAGRAMS_DROPPED);
	slog("peer_fault", NULL,
	     "\"step\":\"datagram\",\"cause\":\"%s\",\"bytes\":%zd", why, len);
}

static void send_packed(struct members *members, const struct sockaddr_in *addr,
			const Rows__Datagram *datagram)
{
	size_t len;
	uint8_t *packed = msg_pack(&datagram->base, &len);

	/* A send error counts as a lost datagram. */
	(void)sendto(members->fd, packed, len, MSG_DONTWAIT,
		     (const struct sockaddr *)addr, sizeof(*addr));
	g_free(packed);
}

static void add_demand(const char *account, double per_s, double tokens,
		       void *arg)
{
	GPtrArray *list = arg;
	Rows__Demand *demand;

	if (per_s < DEMAND_MIN)
		return;
	demand = g_new(Rows__Demand, 1);
	rows__demand__init(demand);
	demand->account = (char *)account;
	demand->per_s = (float)per_s;
	demand->has_tokens = tokens >= 1.0;
	demand->tokens = (float)tokens;
	g_ptr_array_add(list, demand);
}

/* Adds the address of an instance that runs, for those that do not know it. */
static void add_address(struct members *members, struct packed_rumors *packed,
			size_t i)
{
	const struct member *member =
		g_hash_table_lookup(members->by_id, packed->rumors[i].id);
	char host[INET_ADDRSTRLEN];

	if (packed->rumors[i].kind != LIVE_ALIVE || member == NULL ||
	    member->addr.sin_port == 0 ||
	    evutil_inet_ntop(AF_INET, &member->addr.sin_addr, host,
			     sizeof(host)) == NULL)
		return;
	g_snprintf(packed->addresses[i], sizeof(packed->addresses[i]), "%s:%u",
		   host, ntohs(member->addr.sin_port));
	packed->messages[i].address = packed->addresses[i];
}

static void pack_rumors(struct members *members, struct packed_rumors *packed)
{
	packed->count = live_take_rumors(members->live, packed->rumors,
					 LIVE_RUMORS_MAX);
	for (size_t i = 0; i < packed->count; i++) {
		struct live_rumor *rumor = &packed->rumors[i];
		Rows__Rumor *message = &packed->messages[i];

		rows__rumor__init(message);
		message->id = rumor->id;
		message->epoch = rumor->epoch;
		message->kind = wire_kinds[rumor->kind];
		message->has_witness = rumor->kind == LIVE_SUSPECTED;
		message->witness = rumor->witness;
		packed->pointers[i] = message;
		add_address(members, packed, i);
	}
}

static void pack_loads(struct members *members, struct packed_loads *packed)
{
	struct lview_report reports[LOADS_MAX];
	int64_t now_ms = clock_boot_ms();

	packed->count = lview_newest(members->config.load_view, reports,
				     LOADS_MAX, now_ms);
	for (size_t i = 0; i < packed->count; i++) {
		Rows__ServerLoad *message = &packed->messages[i];

		rows__server_load__init(message);
		message->server = reports[i].server;
		message->requests = reports[i].requests;
		message->slowness = reports[i].slowness;
		message->age_ms = (uint32_t)(now_ms - reports[i].as_of_ms);
		packed->pointers[i] = message;
	}
}

void members_net_send(struct members *members, const struct sockaddr_in *addr,
		      const Rows__Datagram *datagram)
{
	send_packed(members, addr, datagram);
}

void members_net_probe(struct members *members, const struct member *member,
		       bool wants_answer)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Probe probe = ROWS__PROBE__INIT;
	GPtrArray *demands = g_ptr_array_new_with_free_func(g_free);
	struct packed_rumors rumors;
	struct packed_loads loads;

	pack_rumors(members, &rumors);
	/* Answers carry none, which halves the bytes. */
	if (wants_answer) {
		pack_loads(members, &loads);
		probe.n_loads = loads.count;
		probe.loads = loads.pointers;
	}
	probe.id = (char *)members->config.id;
	probe.epoch = live_epoch(members->live);
	probe.config_age_ms = (uint32_t)CLAMP(
		members->config.config_age_ms(members->config.arg), 0,
		CONFIG_AGE_MAX_MS);
	probe.wants_answer = wants_answer;
	probe.tunnel_port = members->tunnel_port;
	probe.has_tunnel_port =
		members->tunnel_port != 0 && !members->leaving &&
		members->config.reaches_servers(members->config.arg);
	probe.n_rumors = rumors.count;
	probe.rumors = rumors.pointers;
	members_news_pack(members, &probe);
	if (quota_divides_limits(members->config.quota)) {
		quota_foreach(members->config.quota, clock_boot_ms(),
			      add_demand, demands);
		probe.has_reports = true;
		probe.reports = true;
		probe.n_demands = demands->len;
		probe.demands = (Rows__Demand **)demands->pdata;
	}
	datagram.probe = &probe;
	send_packed(members, &member->addr, &datagram);
	g_ptr_array_free(demands, TRUE);
	members_news_free_packed(members, &probe);
}

static void handle_loads(struct members *members, const Rows__Probe *probe,
			 int64_t now_ms)
{
	for (size_t i = 0; i < probe->n_loads; i++) {
		const Rows__ServerLoad *message = probe->loads[i];
		struct lview_report report = {
			.server = message->server,
			.requests = message->requests,
			.slowness = message->slowness,
			.as_of_ms = now_ms - message->age_ms - LOAD_TRANSIT_MS,
		};

		stats_count(STATS_LOAD_REPORTS);
		lview_apply(members->config.load_view, &report, now_ms);
	}
}

/* Learns of an instance from a rumor that has its address. */
static void add_rumored(struct members *members, const Rows__Rumor *message)
{
	struct member *member;

	if (message->kind != ROWS__RUMOR__KIND__ALIVE ||
	    message->address == NULL)
		return;
	member = members_get(members, message->id);
	if (member != NULL && member->addr.sin_port == 0)
		(void)members_set_address(member, message->address);
}

static void handle_rumor(struct members *members, const Rows__Rumor *message,
			 int64_t now_ms)
{
	struct live_rumor rumor = {
		.epoch = message->epoch,
		.witness = message->witness,
	};
	size_t kind = 0;

	if (strlen(message->id) >= sizeof(rumor.id)) {
		drop("id too long", 0);
		return;
	}
	while (kind < G_N_ELEMENTS(wire_kinds) &&
	       wire_kinds[kind] != message->kind)
		kind++;
	if (kind == G_N_ELEMENTS(wire_kinds))
		return; /* of a later version */
	rumor.kind = (enum live_rumor_kind)kind;
	g_strlcpy(rumor.id, message->id, sizeof(rumor.id));
	if (strcmp(message->id, members->config.id) != 0)
		add_rumored(members, message);
	(void)live_on_rumor(members->live, &rumor, now_ms);
}

static void handle_demands(struct members *members, const Rows__Probe *probe,
			   int64_t now_ms)
{
	struct quota *quota = members->config.quota;

	quota_report_begin(quota, probe->id);
	for (size_t i = 0; i < probe->n_demands; i++) {
		const Rows__Demand *demand = probe->demands[i];

		quota_report_demand(
			quota, probe->id, demand->account, demand->per_s,
			demand->has_tokens ? demand->tokens : 0, now_ms);
	}
}

/* Tells the others of an instance that this one did not know. */
static void introduce(struct members *members, const Rows__Probe *probe,
		      int64_t now_ms)
{
	struct live_rumor rumor = {.kind = LIVE_ALIVE, .epoch = probe->epoch};

	g_strlcpy(rumor.id, probe->id, sizeof(rumor.id));
	(void)live_on_rumor(members->live, &rumor, now_ms);
}

static void handle_probe(struct members *members, const Rows__Probe *probe,
			 const struct sockaddr_in *from)
{
	int64_t now_ms = clock_boot_ms();
	bool known = g_hash_table_contains(members->by_id, probe->id);
	struct member *member;

	if (strcmp(probe->id, members->config.id) == 0) {
		drop("own id", 0);
		return;
	}
	member = members_get(members, probe->id);
	if (member == NULL) {
		drop("too many instances", 0);
		return;
	}
	member->addr = *from;
	member->heard_ms = now_ms;
	member->config_age_ms = probe->config_age_ms;
	member->tunnel_port =
		probe->has_tunnel_port ? (uint16_t)probe->tunnel_port : 0;
	if (!known)
		introduce(members, probe, now_ms);
	live_on_heard(members->live, probe->id, probe->epoch, now_ms);
	members_confirm_contact(members, now_ms);
	for (size_t i = 0; i < probe->n_rumors; i++)
		handle_rumor(members, probe->rumors[i], now_ms);
	if (probe->has_reports && probe->reports)
		handle_demands(members, probe, now_ms);
	members_news_handle(members, probe);
	handle_loads(members, probe, now_ms);
	if (probe->wants_answer)
		members_net_probe(members, member, false);
}

static void handle_borrow(struct members *members, const Rows__Borrow *borrow,
			  const struct sockaddr_in *from)
{
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Lend lend = ROWS__LEND__INIT;
	Rows__ServerLimit known = ROWS__SERVER_LIMIT__INIT;
	const char *server = slim_quota_server(borrow->account);
	struct quota_limit limit;
	int64_t wait_ms = 0;

	if (borrow->limit != NULL)
		members_news_handle_limit(members, borrow->limit);
	if (server != NULL && members_news_fill_limit(members, server, &known))
		lend.limit = &known;
	lend.account = borrow->account;
	lend.serial = borrow->serial;
	if (members->config.find_limit(members->config.arg, borrow->account,
				       &limit))
		lend.granted =
			quota_lend(members->config.quota, borrow->account,
				   &limit, borrow->wanted, borrow->begins,
				   clock_boot_ms(), &wait_ms);
	lend.has_wait_ms = wait_ms > 0;
	lend.wait_ms = (uint32_t)wait_ms;
	datagram.lend = &lend;
	send_packed(members, from, &datagram);
}

void members_send_borrow(struct members *members, const char *instance,
			 const char *account, uint32_t wanted, bool begins,
			 uint32_t serial)
{
	const struct member *member =
		g_hash_table_lookup(members->by_id, instance);
	Rows__Datagram datagram = ROWS__DATAGRAM__INIT;
	Rows__Borrow borrow = ROWS__BORROW__INIT;
	Rows__ServerLimit known = ROWS__SERVER_LIMIT__INIT;
	const char *server = slim_quota_server(account);

	if (member == NULL || member->addr.sin_port == 0)
		return;
	borrow.id = (char *)members->config.id;
	borrow.account = (char *)account;
	borrow.wanted = wanted;
	borrow.serial = serial;
	borrow.has_begins = begins;
	borrow.begins = begins;
	if (server != NULL && members_news_fill_limit(members, server, &known))
		borrow.limit = &known;
	datagram.borrow = &borrow;
	send_packed(members, &member->addr, &datagram);
}

static void handle_datagram(struct members *members,
			    const Rows__Datagram *datagram,
			    const struct sockaddr_in *from)
{
	if (datagram->probe != NULL)
		handle_probe(members, datagram->probe, from);
	for (size_t i = 0; i < datagram->n_rollouts; i++) {
		if (members->config.on_rollout != NULL)
			members->config.on_rollout(members->config.arg,
						   datagram->rollouts[i]);
	}
	if (datagram->borrow != NULL)
		handle_borrow(members, datagram->borrow, from);
	if (datagram->lend != NULL && datagram->lend->limit != NULL)
		members_news_handle_limit(members, datagram->lend->limit);
	if (datagram->lend != NULL)
		members->config.on_lend(
			members->config.arg, datagram->lend->account,
			datagram->lend->granted, datagram->lend->wait_ms,
			datagram->lend->serial);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct members *members = arg;
	uint8_t data[DATAGRAM_MAX_BYTES + 1];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	ssize_t len;

	(void)what;
	while ((len = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
			       (struct sockaddr *)&from, &from_len)) >= 0) {
		Rows__Datagram *datagram = NULL;

		if (len <= DATAGRAM_MAX_BYTES && from.sin_family == AF_INET)
			datagram =
				rows__datagram__unpack(NULL, (size_t)len, data);
		if (datagram == NULL) {
			drop("unreadable", len);
		} else {
			handle_datagram(members, datagram, &from);
			rows__datagram__free_unpacked(datagram, NULL);
		}
		from_len = sizeof(from);
	}
}

bool members_net_open(struct members *members)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	members->fd = -1;
	if (evutil_parse_sockaddr_port(members->config.address,
				       (struct sockaddr *)&addr, &len) != 0) {
		errno = EINVAL;
		return false;
	}
	members->fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (members->fd < 0)
		return false;
	if (bind(members->fd, (struct sockaddr *)&addr, (socklen_t)len) != 0) {
		close(members->fd);
		return false;
	}
	members->read_event =
		event_new(members->config.base, members->fd,
			  EV_READ | EV_PERSIST, on_readable, members);
	event_add(members->read_event, NULL);
	return true;
}

void members_net_close(struct members *members)
{
	event_free(members->read_event);
	close(members->fd);
}
