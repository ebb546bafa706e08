/**
 * @file node_int.h
 * @brief What the modules of one node share.
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
struct member;
struct owner;
struct pools;
struct quarantine;

/** Receives the end of a table request; @p reply is NULL if none came. */
typedef void (*node_table_fn)(void *arg, const Aps__TableReply *reply);

/** Receives the end of an object request. */
typedef void (*node_object_fn)(void *arg, bool ok, const uint8_t *buf,
			       size_t len);

/** Receives the end of a release order. */
typedef void (*node_release_fn)(void *arg, bool acknowledged,
				uint64_t incarnation);

/** Receives a load report, or NULL if the server gave none. */
typedef void (*node_probe_fn)(void *arg, const struct node_load *load);

enum {
	/** Time for which a leaving instance takes new calls, in ms. */
	NODE_DRAIN_GRACE_MS = 5000,
	/** Time for which a peer's message shows that it is there, in ms. */
	NODE_PEER_SEEN_MAX_AGE_MS = 200,
	/** Room for the name of a rule, in bytes. */
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
	uint64_t counters[NODE_COUNTERS];
	uint64_t last_id;
	GHashTable *waits; /* cookie to struct wait */
	GHashTable *heard; /* instance id to struct heard */
	GQueue *local;	   /* frames to this node itself */
	struct chart *turn_chart;
	struct chart *server_chart;
	bool draining;
	int64_t drain_ms; /* when the shutdown began */
	bool fenced;
	struct rules *rules;
	struct commit *commit;
	struct member *member;
	struct config *config;
	struct entry *entry;
	struct owner *owner;
	struct ledger *ledger;
	struct pools *pools;
	struct marks *quarantine;
};

/** Returns the time in ms. */
static inline int64_t node_now_ms(const struct node *node)
{
	return clk_now_ms(node->clk);
}

/** Adds @p n to a counter. */
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
 * Returns whether no more calls are taken: a leaving instance takes them for
 * a while, since balancers learn of it late.
 */
static inline bool node_refuses_calls(const struct node *node)
{
	return node->draining &&
	       node_now_ms(node) - node->drain_ms > NODE_DRAIN_GRACE_MS;
}

/** Logs a change of state. */
void node_log(struct node *node, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** Sends a table request. */
void node_table_request(struct node *node, const Aps__TableRequest *request,
			node_table_fn fn, void *arg);

/** Stores an object. */
void node_object_put(struct node *node, const char *key, const uint8_t *buf,
		     size_t len, node_object_fn fn, void *arg);

/** Reads an object. */
void node_object_get(struct node *node, const char *key, node_object_fn fn,
		     void *arg);

/** Orders a server to release a program's memory. */
void node_send_release(struct node *node, const char *addr, const char *program,
		       uint64_t fence, node_release_fn fn, void *arg);

/** Asks a server for its load. */
void node_send_probe(struct node *node, const char *addr, node_probe_fn fn,
		     void *arg);

/** Returns whether that incarnation of @p id was heard of lately. */
bool node_peer_seen_recently(const struct node *node, const char *id,
			     uint64_t incarnation);

/** Asks instance @p to whether it is there; owner_on_hello() follows. */
void node_send_hello(struct node *node, const char *to, bool reply);

/** Sends @p msg to instance @p to; sets its version and origin. */
void node_send(struct node *node, const char *to, Aps__Peer *msg);

/** Sends @p msg to the holder of @p shard. @return false if none is known */
bool node_send_to_shard(struct node *node, int shard, Aps__Peer *msg);

/** Writes "REVISION:LINE" into @p buf, or nothing if @p line is 0. */
void node_format_rule_name(const struct node *node, int line, char *buf);

/** Wraps a string for a message; it is not copied. */
static inline ProtobufCBinaryData node_wrap_bytes(const void *buf, size_t len)
{
	ProtobufCBinaryData data = {.len = len, .data = (uint8_t *)buf};

	return data;
}

#endif
