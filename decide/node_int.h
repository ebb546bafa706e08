/**
 * @file node_int.h
 * @brief Declarations shared by the modules of a node.
 */
#ifndef APS_NODE_INT_H
#define APS_NODE_INT_H

#include <glib.h>

#include "chart.h"
#include "ledger.h"
#include "node.h"
#include "proto/message.h"
#include "rng.h"
#include "shard.h"

struct commit;
struct config;
struct entry;
struct membership;
struct owner;
struct pools;
struct quarantine;

/** Completion of a table request; @p reply is NULL if it timed out. */
typedef void (*node_table_fn)(void *arg, const Aps__TableReply *reply);

/** Completion of an object request. */
typedef void (*node_object_fn)(void *arg, bool ok, const uint8_t *buf,
			       size_t len);

/** Completion of a release request. */
typedef void (*node_release_fn)(void *arg, bool acknowledged,
				uint64_t incarnation);

/** Receives a load report, or NULL if the probe failed. */
typedef void (*node_probe_fn)(void *arg, const struct node_load *load);

enum {
	/** How long a draining instance accepts new calls, in ms. */
	NODE_DRAIN_GRACE_MS = 5000,
	/** How long after its last message a peer counts as live, in ms. */
	NODE_PEER_SEEN_MS = 200,
	/** Size of a buffer for the name of a rule, in bytes. */
	NODE_RULE_NAME_MAX = 40,
};

/** A node and its modules. */
struct node {
	char *id;
	char *addr;
	char *zone;
	uint64_t incarnation;
	uint32_t commit_gap_ms;
	int policy;
	const struct clk *clk;
	struct node_io io;
	struct rng rng;
	uint64_t counters[NODE_COUNTER_COUNT];
	uint64_t last_id;
	GHashTable *pending; /* cookie to struct pending */
	GHashTable *peers;   /* instance id to struct peer */
	GQueue *loopback;    /* frames that this node sent to itself */
	struct chart *turn_chart;
	struct chart *server_chart;
	bool draining;
	int64_t drain_ms; /* when the shutdown began */
	bool fenced;	  /* the lease was lost; restart is due */
	struct rules *rules;
	struct commit *commit;
	struct membership *member;
	struct config *config;
	struct entry *entry;
	struct owner *owner;
	struct ledger *ledger;
	struct pools *pools;
	struct quarantine *quarantine;
};

/** Returns the time in ms. */
static inline int64_t node_now_ms(const struct node *node)
{
	return clk_now_ms(node->clk);
}

static inline void node_counter_add(struct node *node,
				    enum node_counter counter, uint64_t n)
{
	node->counters[counter] += n;
}

/** Returns an id that this incarnation has not used. */
static inline uint64_t node_next_id(struct node *node)
{
	return ++node->last_id;
}

/**
 * Returns whether new calls are refused. A draining instance accepts them for
 * NODE_DRAIN_GRACE_MS, since load balancers notice late.
 */
static inline bool node_refuses_calls(const struct node *node)
{
	return node->draining &&
	       node_now_ms(node) - node->drain_ms > NODE_DRAIN_GRACE_MS;
}

/** Logs a line. */
void node_log(struct node *node, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** Sends a table request. */
void node_table_request(struct node *node, const Aps__TableRequest *request,
			node_table_fn fn, void *arg);

/** Stores an object under @p key. */
void node_object_put(struct node *node, const char *key, const uint8_t *buf,
		     size_t len, node_object_fn fn, void *arg);

/** Reads the object under @p key. */
void node_object_get(struct node *node, const char *key, node_object_fn fn,
		     void *arg);

/** Asks a server to release a program's memory. */
void node_send_release(struct node *node, const char *addr, const char *program,
		       uint64_t fence, node_release_fn fn, void *arg);

/** Asks a server for its load. */
void node_send_probe(struct node *node, const char *addr, node_probe_fn fn,
		     void *arg);

/** Returns whether a message of that incarnation of @p id came recently. */
bool node_peer_seen_recently(const struct node *node, const char *id,
			     uint64_t incarnation);

/** Sends a liveness check, or its reply, to instance @p to. */
void node_send_hello(struct node *node, const char *to, bool reply);

/** Sends @p msg to instance @p to; sets its version and sender. */
void node_send(struct node *node, const char *to, Aps__Peer *msg);

/** Sends @p msg to the holder of @p shard. @return false if none is known */
bool node_send_to_shard(struct node *node, int shard, Aps__Peer *msg);

/** Formats "REVISION:LINE" into @p buf, or "" if @p line is 0. */
void node_format_rule_name(const struct node *node, int line, char *buf);

/** Wraps a buffer for a message without copying it. */
static inline ProtobufCBinaryData node_wrap_bytes(const void *buf, size_t len)
{
	ProtobufCBinaryData data = {.len = len, .data = (uint8_t *)buf};

	return data;
}

#endif
