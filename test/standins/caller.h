/**
 * @file caller.h
 * @brief A caller that drives one agent program over HTTP.
 */
#ifndef APS_CALLER_H
#define APS_CALLER_H

/**
 * Runs a program of @p turns turns, alternately through the instances at
 * @p urls; the turn before the last is an order that must not run twice.
 *
 * @return 0 if every turn was answered
 */
int caller_run_program(const char *key, const char *name, int turns,
		       char **urls, int nurls);

/**
 * Sends one POST and prints its status and answer.
 *
 * @param url     where to
 * @param body    what
 * @param headers further header lines
 * @return 0 if an answer came, whatever its status
 */
int caller_post(const char *url, const char *body, char **headers,
		int nheaders);

#endif
