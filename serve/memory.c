/** @file memory.c @brief Acts when the memory of the instance is nearly used.
 */
#include <glib.h>

#include "clock.h"
#include "memory.h"
#include "slog.h"
#include "stats.h"

enum {
	TICK_MS = 50,
	/* Reading stops for this long before holders are broken off for it, as
	 * what is not read may never end. */
	PATIENCE_MS = 500,
	PAUSE_MIN_BYTES = 16384, /* less is an ordinary request or response */
	/* Reading stops at the first part of the maximum, and goes on below the
	 * second one. */
	PAUSE_PERCENT = 75,
	RESUME_PERCENT = 65,
};

struct memory {
	struct mem_budget budget;
	struct event *timer;
	bool scheduled;
	int64_t pressed_ms; /* since when reading was stopped again and again */
	int64_t resumed_ms;
	bool paused; /* some holders */
};

static struct memory *get_memory(struct mem_budget *budget)
{
	return caa_container_of(budget, struct memory, budget);
}

static struct mem_holder *get_holder(struct cds_list_head *node)
{
	return caa_container_of(node, struct mem_holder, node);
}

static void schedule(struct memory *memory, int64_t ms)
{
	struct timeval tv = clock_timeval(ms);

	memory->scheduled = true;
	event_add(memory->timer, &tv);
}

/* The callers of mem_set() are in the middle of something. */
static void on_pressure(struct mem_budget *budget)
{
	struct memory *memory = get_memory(budget);

	if (!memory->scheduled || budget->bytes > budget->max_bytes)
		schedule(memory, 0);
}

static void log_step(const struct memory *memory, const char *step,
		     const struct mem_holder *holder)
{
	slog("memory", NULL,
	     "\"step\":\"%s\",\"holder\":\"%s\",\"holds\":%" G_GUINT64_FORMAT
	     ",\"held\":%" G_GUINT64_FORMAT ",\"max\":%" G_GUINT64_FORMAT,
	     step, holder ? holder->ops->name : "", holder ? holder->bytes : 0,
	     memory->budget.bytes, memory->budget.max_bytes);
}

/* Stops reading for holders that have grown, or goes on. */
static void set_reading(struct memory *memory, bool reading)
{
	int64_t now_ms = clock_boot_ms();
	struct cds_list_head *at;

	cds_list_for_each(at, &memory->budget.holders)
	{
		struct mem_holder *holder = get_holder(at);

		if (holder->ops->set_reading == NULL ||
		    holder->paused != reading ||
		    (!reading && holder->growing < PAUSE_MIN_BYTES))
			continue;
		holder->paused = !reading;
		holder->ops->set_reading(holder, reading);
		if (!reading)
			stats_count(STATS_MEMORY_PAUSED);
	}
	if (memory->paused == !reading)
		return;
	memory->paused = !reading;
	if (reading)
		memory->resumed_ms = now_ms;
	else if (now_ms - memory->resumed_ms > PATIENCE_MS)
		memory->pressed_ms = now_ms;
	log_step(memory, reading ? "resumed" : "paused", NULL);
}

/* Breaks off the holder that has grown most; returns false if there is none. */
static bool break_off_largest(struct memory *memory)
{
	struct mem_holder *largest = NULL;
	struct cds_list_head *at;

	cds_list_for_each(at, &memory->budget.holders)
	{
		struct mem_holder *holder = get_holder(at);

		if (holder->ops->break_off != NULL && holder->growing > 0 &&
		    (largest == NULL || holder->growing > largest->growing))
			largest = holder;
	}
	if (largest == NULL)
		return false;
	stats_count(STATS_MEMORY_BROKEN_OFF);
	log_step(memory, "broken_off", largest);
	/* Not twice, if it does not give back all of it. */
	largest->growing = 0;
	largest->ops->break_off(largest);
	return true;
}

/* Breaks off the largest holders until no more than @p bytes are held. */
static void shrink(struct memory *memory, uint64_t bytes)
{
	while (memory->budget.bytes > bytes && break_off_largest(memory))
		;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct memory *memory = arg;
	struct mem_budget *budget = &memory->budget;
	uint64_t resume_bytes = budget->max_bytes / 100 * RESUME_PERCENT;

	(void)fd;
	(void)what;
	memory->scheduled = false;
	shrink(memory, budget->max_bytes);
	if (memory->paused &&
	    clock_boot_ms() - memory->pressed_ms >= PATIENCE_MS)
		shrink(memory, resume_bytes);
	if (budget->bytes > budget->pause_bytes)
		set_reading(memory, false);
	else if (budget->bytes <= resume_bytes && memory->paused)
		set_reading(memory, true);
	if (memory->paused)
		schedule(memory, TICK_MS);
}

struct mem_budget *mem_create(struct event_base *base, uint64_t max_bytes)
{
	struct memory *memory = g_new0(struct memory, 1);

	memory->budget.max_bytes = max_bytes;
	memory->budget.pause_bytes = max_bytes / 100 * PAUSE_PERCENT;
	memory->budget.on_pressure = on_pressure;
	CDS_INIT_LIST_HEAD(&memory->budget.holders);
	memory->timer = evtimer_new(base, on_timer, memory);
	return &memory->budget;
}

void mem_destroy(struct mem_budget *budget)
{
	if (budget == NULL)
		return;
	event_free(get_memory(budget)->timer);
	g_free(get_memory(budget));
}
