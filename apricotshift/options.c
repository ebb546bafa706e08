/** @file options.c @brief Parsing of command line options. */
#include <stdio.h>

#include "options.h"

bool opt_parse(int *argc, char ***argv, const GOptionEntry *entries,
	       int operands, const char *synopsis)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "apricotshift: %s\n", error->message);
		g_error_free(error);
	} else if (*argc != operands + 1) {
		ok = false;
	}
	if (!ok)
		fprintf(stderr, "usage: apricotshift %s\n", synopsis);
	g_option_context_free(context);
	return ok;
}
