/** @file chart.c @brief Parser, checker and interpreter of state charts. */
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "chart.h"

enum {
	CHART_STATES_MAX = 16,
	CHART_EVENTS_MAX = 16,
	CHART_NO_ARROW = -1,
};

struct chart {
	const struct chart_names *names;
	int nstates;
	int nevents;
	bool declared[CHART_STATES_MAX];
	bool final[CHART_STATES_MAX];
	signed char next[CHART_STATES_MAX][CHART_EVENTS_MAX];
};

static int name_count(const char *const *names)
{
	int n = 0;

	while (names[n] != NULL)
		n++;
	return n;
}

static int name_find(const char *const *names, const char *name)
{
	for (int i = 0; names[i] != NULL; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

static bool parse_state(struct chart *chart, char **word, int n, char *err,
			size_t errlen)
{
	int state = name_find(chart->names->states, word[1]);

	if (state < 0 || chart->declared[state]) {
		snprintf(err, errlen, "state %s unknown or given twice",
			 word[1]);
		return false;
	}
	chart->declared[state] = true;
	chart->final[state] = n == 3 && strcmp(word[2], "final") == 0;
	return n == 2 || chart->final[state];
}

static bool parse_arrow(struct chart *chart, char **word, char *err,
			size_t errlen)
{
	int from = name_find(chart->names->states, word[0]);
	int event = name_find(chart->names->events, word[1]);
	int to = name_find(chart->names->states, word[3]);

	if (from < 0 || event < 0 || to < 0 || strcmp(word[2], "->") != 0) {
		snprintf(err, errlen, "unknown name in %s %s -> %s", word[0],
			 word[1], word[3]);
		return false;
	}
	if (chart->next[from][event] != CHART_NO_ARROW) {
		snprintf(err, errlen, "two arrows for %s %s", word[0], word[1]);
		return false;
	}
	chart->next[from][event] = (signed char)to;
	return true;
}

static bool parse_line(struct chart *chart, const char *line, char *err,
		       size_t errlen)
{
	char *text = g_strndup(line, strcspn(line, "#"));
	char **word;
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
	word = g_strsplit(text, " ", -1);
	n = (int)g_strv_length(word);
	snprintf(err, errlen, "neither a state nor an arrow");
	if (n == 0 || (n == 1 && word[0][0] == '\0'))
		ok = true;
	else if (n >= 2 && n <= 3 && strcmp(word[0], "state") == 0)
		ok = parse_state(chart, word, n, err, errlen);
	else if (n == 4)
		ok = parse_arrow(chart, word, err, errlen);
	g_strfreev(word);
	g_free(text);
	return ok;
}

static void mark_reachable(const struct chart *chart, int state, bool *seen)
{
	if (seen[state])
		return;
	seen[state] = true;
	for (int e = 0; e < chart->nevents; e++) {
		if (chart->next[state][e] != CHART_NO_ARROW)
			mark_reachable(chart, chart->next[state][e], seen);
	}
}

static bool check_states(const struct chart *chart, char *err, size_t errlen)
{
	bool seen[CHART_STATES_MAX] = {false};

	mark_reachable(chart, 0, seen);
	for (int s = 0; s < chart->nstates; s++) {
		bool left = false;

		for (int e = 0; e < chart->nevents; e++)
			left |= chart->next[s][e] != CHART_NO_ARROW;
		if (chart->declared[s] && seen[s] && left != chart->final[s])
			continue;
		snprintf(err, errlen,
			 "state %s undeclared, unreachable, or a dead end",
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
			used |= chart->next[s][e] != CHART_NO_ARROW;
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
	char **line = g_strsplit(text, "\n", -1);
	char fault[128];

	chart->names = names;
	chart->nstates = name_count(names->states);
	chart->nevents = name_count(names->events);
	memset(chart->next, CHART_NO_ARROW, sizeof(chart->next));
	if (chart->nstates > CHART_STATES_MAX ||
	    chart->nevents > CHART_EVENTS_MAX) {
		snprintf(err, errlen, "line 0: too many states or events");
		goto fail;
	}
	for (int i = 0; line[i] != NULL; i++) {
		if (!parse_line(chart, line[i], fault, sizeof(fault))) {
			snprintf(err, errlen, "line %d: %s", i + 1, fault);
			goto fail;
		}
	}
	if (!check_states(chart, fault, sizeof(fault)) ||
	    !check_events(chart, fault, sizeof(fault))) {
		snprintf(err, errlen, "line 0: %s", fault);
		goto fail;
	}
	g_strfreev(line);
	return chart;
fail:
	g_strfreev(line);
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
