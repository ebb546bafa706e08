/**
 * @file chart.h
 * @brief State machines that are read from text and interpreted.
 *
 * A chart consists of lines `state NAME [final]` and `FROM EVENT -> TO`; `#`
 * starts a comment. The module that uses a chart supplies tables of the state
 * and event names, whose order gives their numbers, to match its enums.
 */
#ifndef APS_CHART_H
#define APS_CHART_H

#include <stddef.h>

struct chart;

/** Name tables of a chart, each terminated by NULL. */
struct chart_names {
	const char *const *states; /**< state names, the initial state first */
	const char *const *events; /**< event names */
};

/**
 * Parses and validates a chart: all names must be known, a state must have at
 * most one transition per event, every state must be reachable, all states
 * except final ones must have a transition, and every event must be used.
 *
 * @param text   the chart
 * @param names  name tables; must outlive the chart
 * @param err    receives "line N: message", line 0 for the whole chart
 * @param errlen size of @p err in bytes
 * @return the chart, or NULL with @p err set
 */
struct chart *chart_create(const char *text, const struct chart_names *names,
			   char *err, size_t errlen);

/** Frees a chart; NULL is allowed. */
void chart_destroy(struct chart *chart);

/** Returns the state that follows @p event in @p state, -1 if not allowed. */
int chart_step(const struct chart *chart, int state, int event);

/** Returns the name of @p state. */
const char *chart_state_name(const struct chart *chart, int state);

#endif
