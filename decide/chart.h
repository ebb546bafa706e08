/**
 * @file chart.h
 * @brief State charts read from text and interpreted.
 *
 * A chart is a text of lines `state NAME [final]` and `FROM EVENT -> TO`;
 * `#` starts a comment. States and events are numbered by the name tables of
 * the module that owns the chart, so that code uses enumerations.
 */
#ifndef APS_CHART_H
#define APS_CHART_H

#include <stddef.h>

struct chart;

/** The name tables of a chart; each ends with NULL. */
struct chart_names {
	const char *const *states; /**< state names; the first is initial */
	const char *const *events; /**< event names */
};

/**
 * Parses and checks a chart: all names known, no two arrows for one state
 * and event, every state reachable, every state that is not final left by
 * some event, every event used.
 *
 * @param text   the chart
 * @param names  name tables, kept by reference
 * @param err    receives "line N: fault"
 * @param errlen size of @p err in bytes
 * @return the chart, or NULL with @p err set
 */
struct chart *chart_create(const char *text, const struct chart_names *names,
			   char *err, size_t errlen);

/** Frees a chart; NULL is allowed. */
void chart_destroy(struct chart *chart);

/** Returns the state after @p event in @p state, or -1 if not allowed. */
int chart_step(const struct chart *chart, int state, int event);

/** Returns the name of @p state. */
const char *chart_state_name(const struct chart *chart, int state);

#endif
