/**
 * @file members_int.h
 * @brief Internal interface between the members*.c files.
 *
 * members.c keeps the list of instances by rows and by the failure detector;
 * members_net.c sends and receives the datagrams; members_news.c passes on what
 * instances have seen of backend servers.
 */
#ifndef APS_MEMBERS_INT_H
#define APS_MEMBERS_INT_H

#include <netinet/in.h>

#include "decide/live.h"
#include "decide/rng.h"
#include "members.h"
#include "proto/rows.pb-c.h"

/** Another instance. */
struct member {
	char *id;
	char *relay;  /**< HOST:PORT for calls to the store, or NULL */
	char *zone;   /**< NULL until its row has been read */
	char *copies; /**< HOST:PORT for copies of streams, or NULL */
	struct sockaddr_in addr;
	uint64_t hash; /**< of the id */
	int64_t row_version;
	int64_t row_changed_ms; /**< when that version was first seen */
	int64_t heard_ms;	/**< last datagram; 0: none */
	uint32_t config_age_ms;
	uint16_t tunnel_port;	  /**< 0: it does not reach the servers */
	int64_t tunnel_failed_ms; /**< when it last did not answer there */
	bool gone;		  /**< sends no more requests */
};

/** What a report to the other instances is about. */
enum news_kind {
	NEWS_SUSPECT,	   /**< a request suspected of crashing a server */
	NEWS_SERVER_LIMIT, /**< what a server has said about its rate limit */
};

/** A report that is sent with the next datagrams. */
struct news {
	enum news_kind kind;
	char *server;
	struct suspect_mark mark; /**< for NEWS_SUSPECT, but its server */
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
	GQueue *news;	   /**< of struct news, to be sent */
	uint64_t hash;	   /**< of this instance's id */
	uint32_t heartbeat;
	uint32_t count;	 /**< instances that may send requests */
	int64_t read_ms; /**< when the rows were last read */
	uint32_t reads;	 /**< complete reads of the rows */
	bool leaving;
	bool contacted;	      /* it has had contact with the others */
	uint16_t tunnel_port; /**< of this instance; 0: none */
	struct rng rng;	      /**< for the choice of a tunnel */
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

/** Sends a datagram. */
void members_net_send(struct members *members, const struct sockaddr_in *addr,
		      const Rows__Datagram *datagram);
/** Adds the reports that are due to @p probe; free them after it is sent. */
void members_news_pack(struct members *members, Rows__Probe *probe);
void members_news_free_packed(struct members *members, Rows__Probe *probe);
/** Handles the reports of another instance. */
void members_news_handle(struct members *members, const Rows__Probe *probe);
/** Fills in what is known of a server's limit; returns false if nothing is. */
bool members_news_fill_limit(const struct members *members, const char *server,
			     Rows__ServerLimit *message);
/** Handles what another instance knows of a server's limit. */
void members_news_handle_limit(struct members *members,
			       const Rows__ServerLimit *message);
/** Frees the reports. */
void members_news_clear(struct members *members);

#endif
