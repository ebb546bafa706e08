/** @file chart.c @brief Parses, validates and interprets state charts. */
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "chart.h"

enum {
	CHART_STATES_MAX = 16,
	CHART_EVENTS_MAX = 16,
	CHART_NO_TRANSITION = -1,
};

struct chart {
	const struct chart_names *names;
	int nstates;
	int nevents;
	bool declared[CHART_STATES_MAX];
	bool final[CHART_STATES_MAX];
	signed char next[CHART_STATES_MAX][CHART_EVENTS_MAX];
};

static int count_names(const char *const *names)
{
	int n = 0;

	while (names[n] != NULL)
		n++;
	return n;
}

static int find_name(const char *const *names, const char *name)
{
	for (int i = 0; names[i] != NULL; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

static bool parse_state(struct chart *chart, char **words, int n, char *err,
			size_t errlen)
{
	int state = find_name(chart->names->states, words[1]);

	if (state < 0 || chart->declared[state]) {
		snprintf(err, errlen, "state %s is unknown or declared twice",
			 words[1]);
		return false;
	}
	chart->declared[state] = true;
	chart->final[state] = n == 3 && strcmp(words[2], "final") == 0;
	return n == 2 || chart->final[state];
}

static bool parse_transition(struct chart *chart, char **words, char *err,
			     size_t errlen)
{
	int from = find_name(chart->names->states, words[0]);
	int event = find_name(chart->names->events, words[1]);
	int to = find_name(chart->names->states, words[3]);

	if (from < 0 || event < 0 || to < 0 || strcmp(words[2], "->") != 0) {
		snprintf(err, errlen, "unknown state or event in %s %s -> %s",
			 words[0], words[1], words[3]);
		return false;
	}
	if (chart->next[from][event] != CHART_NO_TRANSITION) {
		snprintf(err, errlen, "duplicate transition %s %s", words[0],
			 words[1]);
		return false;
	}
	chart->next[from][event] = (signed char)to;
	return true;
}

static bool parse_line(struct chart *chart, const char *line, char *err,
		       size_t errlen)
{
	char *text = g_strndup(line, strcspn(line, "#"));
	char **words;
	bool ok = false;
	int n;

	for (char *p = text; *p != '\0'; p++) {
		if (*p == '\t')
			*p = ' ';
	}
	g_strstrip(text);
	while (strstr(text, "  ") != NULL)
		memmove(strstr(text, "  "), strstr(text, "  ") + 1,
			strlen(strstr(text, "  ")));
	words = g_strsplit(text, " ", -1);
	n = (int)g_strv_length(words);
	snprintf(err, errlen, "expected a state or a transition");
	if (n == 0 || (n == 1 && words[0][0] == '\0'))
		ok = true;
	else if (n >= 2 && n <= 3 && strcmp(words[0], "state") == 0)
		ok = parse_state(chart, words, n, err, errlen);
	else if (n == 4)
		ok = parse_transition(chart, words, err, errlen);
	g_strfreev(words);
	g_free(text);
	return ok;
}

static void mark_reachable(const struct chart *chart, int state,
			   bool *reachable)
{
	if (reachable[state])
		return;
	reachable[state] = true;
	for (int e = 0; e < chart->nevents; e++) {
		if (chart->next[state][e] != CHART_NO_TRANSITION)
			mark_reachable(chart, chart->next[state][e], reachable);
	}
}

static bool check_states(const struct chart *chart, char *err, size_t errlen)
{
	bool reachable[CHART_STATES_MAX] = {false};

	mark_reachable(chart, 0, reachable);
	for (int s = 0; s < chart->nstates; s++) {
		bool has_exit = false;

		for (int e = 0; e < chart->nevents; e++)
			has_exit |= chart->next[s][e] != CHART_NO_TRANSITION;
		if (chart->declared[s] && reachable[s] &&
		    has_exit != chart->final[s])
			continue;
		snprintf(err, errlen,
			 "state %s is undeclared, unreachable or a dead end",
			 chart->names->states[s]);
		return false;
	}
	return true;
}

static bool check_events(const struct chart *chart, char *err, size_t errlen)
{
	for (int e = 0; e < chart->nevents; e++) {
		bool used = false;

		for (int s = 0; s < chart->nstates; s++)
			used |= chart->next[s][e] != CHART_NO_TRANSITION;
		if (used)
			continue;
		snprintf(err, errlen, "event %s is never used",
			 chart->names->events[e]);
		return false;
	}
	return true;
}

struct chart *chart_create(const char *text, const struct chart_names *names,
			   char *err, size_t errlen)
{
	struct chart *chart = g_new0(struct chart, 1);
	char **lines = g_strsplit(text, "\n", -1);
	char message[128];

	chart->names = names;
	chart->nstates = count_names(names->states);
	chart->nevents = count_names(names->events);
	memset(chart->next, CHART_NO_TRANSITION, sizeof(chart->next));
	if (chart->nstates > CHART_STATES_MAX ||
	    chart->nevents > CHART_EVENTS_MAX) {
		snprintf(err, errlen, "line 0: too many states or events");
		goto fail;
	}
	for (int i = 0; lines[i] != NULL; i++) {
		if (!parse_line(chart, lines[i], message, sizeof(message))) {
			snprintf(err, errlen, "line %d: %s", i + 1, message);
			goto fail;
		}
	}
	if (!check_states(chart, message, sizeof(message)) ||
	    !check_events(chart, message, sizeof(message))) {
		snprintf(err, errlen, "line 0: %s", message);
		goto fail;
	}
	g_strfreev(lines);
	return chart;
fail:
	g_strfreev(lines);
	chart_destroy(chart);
	return NULL;
}

void chart_destroy(struct chart *chart)
{
	g_free(chart);
}

int chart_step(const struct chart *chart, int state, int event)
{
	return chart->next[state][event];
}

const char *chart_state_name(const struct chart *chart, int state)
{
	return chart->names->states[state];
}
