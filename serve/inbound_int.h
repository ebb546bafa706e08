/**
 * @file inbound_int.h
 * @brief Internal types of inbound.c.
 */
#ifndef APS_INBOUND_INT_H
#define APS_INBOUND_INT_H

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <urcu/list.h>

#include "header_meter.h"
#include "inbound.h"
#include "memory.h"

enum conn_state {
	CONN_IDLE, /* between requests */
	CONN_HEADER,
	CONN_BODY,
	CONN_RESPONSE, /* the handler has the request */
	CONN_FLUSH,    /* the last response is being written */
	CONN_LINGER,   /* waiting for the caller to close */
};

struct inbound {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct inbound_handler *handler;
	void *arg;
	struct inbound_limits limits;
	struct header_limit header_limit; /* of these */
	struct mem_budget *memory;	  /* or NULL */
	struct cds_list_head conns;
	struct event *sweep;
	uint64_t last_serial;
	guint count;
	guint requests;
	struct header_rejections rejections;
	bool draining;
};

struct inbound_conn {
	struct cds_list_head node;
	struct mem_holder held;
	struct inbound *inbound;
	uint64_t serial;
	struct bufferevent *bev;
	http_parser parser;
	enum conn_state state;
	int64_t state_since_ms;
	int64_t idle_timeout_ms; /* the limit when it became idle */
	GString *target;
	GArray *headers;
	GByteArray *body;
	bool body_shared; /* see inbound_share_body() */
	struct header_meter header;
	bool in_name;	  /* the last part of the header was of a name */
	int error_status; /* HTTP status for an invalid request, or 0 */
	bool chunked_response;
	bool close_after; /* the response carries "Connection: close" */
	struct inbound_request request;
};

#endif
