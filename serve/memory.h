/**
 * @file memory.h
 * @brief Budget of the memory that an instance holds for connections and
 * requests.
 *
 * What grows with the bytes that others send is counted where it is kept: each
 * holder says how much it holds, and how much of that grows as it reads on.
 * Near the maximum, reading stops for those that have grown; if that does not
 * help for a while, or at the maximum, the one that has grown most is broken
 * off.
 */
#ifndef APS_MEMORY_H
#define APS_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <urcu/list.h>

struct mem_holder;

/** What can be done to a holder; a NULL function: nothing. */
struct mem_ops {
	/** Stops reading, or goes on. */
	void (*set_reading)(struct mem_holder *holder, bool reading);
	/** Ends what the holder does, and gives back what has grown; it may be
	 * freed. */
	void (*break_off)(struct mem_holder *holder);
	const char *name; /**< for the log */
};

/** The budget. */
struct mem_budget {
	uint64_t bytes;	      /**< that all holders hold */
	uint64_t max_bytes;   /**< from here on, holders are broken off */
	uint64_t pause_bytes; /**< from here on, reading stops */
	struct cds_list_head holders;
	void (*on_pressure)(struct mem_budget *budget);
};

/** A connection or a request; it is a member of its owner. */
struct mem_holder {
	struct cds_list_head node;
	struct mem_budget *budget; /**< NULL: nothing is counted */
	const struct mem_ops *ops;
	uint64_t bytes;
	uint64_t growing; /**< of these */
	bool paused;
};

/** @param max_bytes see struct mem_budget */
struct mem_budget *mem_create(struct event_base *base, uint64_t max_bytes);
void mem_destroy(struct mem_budget *budget);

/** Adds a holder, which holds nothing yet; @p budget may be NULL. */
static inline void mem_join(struct mem_holder *holder,
			    struct mem_budget *budget,
			    const struct mem_ops *ops)
{
	holder->budget = budget;
	holder->ops = ops;
	if (budget != NULL)
		cds_list_add_tail(&holder->node, &budget->holders);
}

/** Sets how much a holder holds, and how much of that grows as it reads. */
static inline void mem_set(struct mem_holder *holder, uint64_t bytes,
			   uint64_t growing)
{
	struct mem_budget *budget = holder->budget;
	bool grows = bytes > holder->bytes;

	if (budget == NULL)
		return;
	budget->bytes += bytes - holder->bytes;
	holder->bytes = bytes;
	holder->growing = growing;
	if (grows && budget->bytes > budget->pause_bytes)
		budget->on_pressure(budget);
}

/** Removes a holder, which holds nothing any more. */
static inline void mem_leave(struct mem_holder *holder)
{
	if (holder->budget == NULL)
		return;
	mem_set(holder, 0, 0);
	cds_list_del(&holder->node);
	holder->budget = NULL;
}

/** Whether there is no memory for another request. */
static inline bool mem_is_full(const struct mem_budget *budget)
{
	return budget->bytes > budget->max_bytes;
}

/** How much more may be held; @p budget may be NULL. */
static inline uint64_t mem_room(const struct mem_budget *budget)
{
	if (budget == NULL)
		return UINT64_MAX;
	return budget->max_bytes > budget->bytes
		       ? budget->max_bytes - budget->bytes
		       : 0;
}

#endif
