/**
 * @file options.h
 * @brief Parsing of command line options.
 */
#ifndef APS_OPTIONS_H
#define APS_OPTIONS_H

#include <stdbool.h>

#include <glib.h>

/**
 * Parses options and removes them from @p argv; prints errors and usage.
 *
 * @param argc     arguments of the subcommand, updated
 * @param argv     arguments of the subcommand, updated
 * @param entries  options
 * @param operands required number of arguments after the name
 * @param synopsis usage, without the program name
 * @return whether the command line is valid
 */
bool opt_parse(int *argc, char ***argv, const GOptionEntry *entries,
	       int operands, const char *synopsis);

#endif
