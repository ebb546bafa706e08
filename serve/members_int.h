/**
 * @file members_int.h
 * @brief Internal interface between members.c and members_net.c.
 *
 * members.c keeps the list of instances by rows and by the failure detector;
 * members_net.c sends and receives the datagrams.
 */
#ifndef APS_MEMBERS_INT_H
#define APS_MEMBERS_INT_H

#include <netinet/in.h>

#include "decide/live.h"
#include "members.h"
#include "proto/rows.pb-c.h"

/** Another instance. */
struct member {
	char *id;
	char *relay; /**< HOST:PORT for calls to the store, or NULL */
	struct sockaddr_in addr;
	uint64_t hash; /**< of the id */
	int64_t row_version;
	int64_t row_changed_ms; /**< when that version was first seen */
	int64_t heard_ms;	/**< last datagram; 0: none */
	uint32_t config_age_ms;
	bool gone; /**< sends no more requests */
};

/** A request suspected of crashing a server, to be reported. */
struct suspect_report {
	uint64_t fingerprint;
	char *server;
	int sends_left;
};

struct members {
	struct members_config config;
	struct live *live;
	int fd;
	struct event *read_event;
	struct event *period_timer;
	struct event *renew_timer;
	struct store_call *read_call;
	struct store_call *write_call;
	GHashTable *by_id; /**< id -> struct member */
	GQueue *suspects;  /**< of struct suspect_report, to be sent */
	uint64_t hash;	   /**< of this instance's id */
	uint32_t heartbeat;
	uint32_t count;	 /**< instances that may send requests */
	int64_t read_ms; /**< when the rows were last read */
	uint32_t reads;	 /**< complete reads of the rows */
	bool leaving;
};

/** Returns the member of that id, which it adds if there is room; else NULL. */
struct member *members_get(struct members *members, const char *id);
/** Sets where to send datagrams for @p member; returns false if @p address is
 * no address. */
bool members_set_address(struct member *member, const char *address);

/** Renews what needs contact with the others, if there is contact. */
void members_confirm_contact(struct members *members, int64_t now_ms);

/** Binds the socket; returns false and sets errno on failure. */
bool members_net_open(struct members *members);
void members_net_close(struct members *members);
/** Sends a probe to @p member. */
void members_net_probe(struct members *members, const struct member *member,
		       bool wants_answer);

#endif
