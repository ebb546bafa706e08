/**
 * @file options.h
 * @brief Command line options, by GLib.
 */
#ifndef APS_OPTIONS_H
#define APS_OPTIONS_H

#include <stdbool.h>

#include <glib.h>

/**
 * Parses options; what is left stays in @p argv.
 *
 * @param argc     of the subcommand, changed
 * @param argv     of the subcommand, changed
 * @param entries  the options
 * @param operands how many arguments must be left after the name
 * @param synopsis for the message
 * @return whether the command line is right; if not, it was said why
 */
bool opt_parse(int *argc, char ***argv, const GOptionEntry *entries,
	       int operands, const char *synopsis);

#endif
