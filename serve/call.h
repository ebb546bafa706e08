/**
 * @file call.h
 * @brief Requests and responses without their wire format.
 *
 * The platform layer translates between these structures and HTTP headers.
 */
#ifndef APS_CALL_H
#define APS_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/cost.h"

/** Contents of a caller's request; strings belong to the request. */
struct call {
	const char *id; /**< request id of this attempt; never NULL */
	const char *host;
	const char *path;	 /**< path and query */
	const char *key;	 /**< API key, or NULL */
	int64_t deadline_ms;	 /**< time the caller waits; -1: unspecified */
	const char *program;	 /**< program id, or NULL */
	int64_t program_left_ms; /**< until the program is due; 0: unknown */
	const char *session;	 /**< id of a chain of turns, or NULL */
	const char *previous;	 /**< id of the turn it continues, or NULL */
	bool has_budget;	 /**< the program has a token budget */
	uint64_t budget;	 /**< which is this */
	uint64_t prompt_tokens;
	uint64_t max_tokens;  /**< output limit of this turn */
	uint64_t length_hint; /**< output that the client expects, in tokens;
			       * 0: none, or unusable */
	/** Parts that the prompt begins with; the first has hash @ref shared.
	 */
	struct cost_part parts[COST_PARTS_MAX];
	uint32_t parts_count;
	uint64_t shared;       /**< hash of the shared prompt prefix; 0: none */
	uint64_t affinity;     /**< hash of the affinity key; 0: none */
	int64_t last_event_id; /**< last event the caller received; -1: none */
	const char *resumes;   /**< id of the attempt that brought the stream's
				* first event, or NULL */
};

/** Whether a response names the rate limit of its server. */
enum response_limit {
	RESPONSE_NO_LIMIT,
	RESPONSE_LIMIT,
	RESPONSE_LIMIT_UNREADABLE, /**< says nothing about the limit */
};

/** Whether a response announces the shutdown of its server. */
enum response_goaway {
	RESPONSE_NO_GOAWAY,
	RESPONSE_GOAWAY,
	RESPONSE_GOAWAY_UNREADABLE, /**< announces nothing */
};

/** Contents of a backend server's response, without status and body. */
struct response {
	bool not_executed; /**< the server did not execute the request */
	bool misdirected;  /**< the address now belongs to another server */
	bool encoded;	   /**< the body has a content encoding */
	bool has_load;	   /**< running and waiting are set */
	uint32_t running;
	uint32_t waiting;
	uint32_t slowness; /**< time of its work, in percent; 0: unknown */
	enum response_limit limit;
	double limit_per_s; /**< requests a second, of all instances */
	enum response_goaway goaway;
	bool is_signed; /**< carries the server's signature of the body */
	bool event_stream;
};

/** Fields that are added to a request sent to a backend server. */
struct forward {
	const char *server;    /**< id of the intended server */
	const char *account;   /**< name of the caller's account, or NULL */
	int64_t deadline_ms;   /**< time left; 0: no limit */
	int64_t last_event_id; /**< resume after this event; -1: from start */
	int priority;	       /**< 0 (highest) to 9; -1: server's default */
};

#endif
