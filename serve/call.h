/**
 * @file call.h
 * @brief What a request and an answer say, in the project's own words.
 */
#ifndef APS_CALL_H
#define APS_CALL_H

#include <stdbool.h>
#include <stdint.h>

/** What a caller's request says; texts belong to the request. */
struct call {
	const char *id; /**< of this attempt; never NULL */
	const char *host;
	const char *path;     /**< path and query */
	const char *key;      /**< the caller's key, or NULL */
	int64_t deadline_ms;  /**< how long the caller waits; 0: not said */
	const char *program;  /**< or NULL */
	const char *session;  /**< one line of turns in a program, or NULL */
	const char *previous; /**< turn that this one continues, or NULL */
	uint64_t budget; /**< tokens of all turns of the program; 0: none */
	uint64_t prompt_tokens;
	uint64_t max_tokens;   /**< that this turn may generate */
	uint64_t shared;       /**< hash of the prompt's first part; 0: none */
	uint64_t affinity;     /**< hash of the object it concerns; 0: none */
	int64_t last_event_id; /**< events that the caller has; -1: none */
};

/** What a backend server's answer says beside status and body. */
struct response {
	bool not_executed; /**< the request has not run there */
	bool misdirected;  /**< the address belongs to another server */
	bool encoded;	   /**< the body is not in the server's own bytes */
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	bool is_signed; /**< the server vouches for the body */
	bool event_stream;
};

/** What the system adds to a request on its way to a backend server. */
struct forward {
	const char *server;    /**< id of the server that is meant */
	const char *account;   /**< name of the caller's account, or NULL */
	int64_t deadline_ms;   /**< time left; 0: no limit */
	int64_t last_event_id; /**< go on after this event; -1: from the start
				*/
	int priority;	       /**< 0 to 9, 0 first; -1: as the server likes */
};

#endif
