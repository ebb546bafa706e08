/**
 * @file caller.h
 * @brief HTTP caller that runs one agent program.
 */
#ifndef APS_CALLER_H
#define APS_CALLER_H

/**
 * Runs a program of @p turns turns, alternately through the instances at
 * @p urls, then deletes it. The turn before the last is an order, a service
 * call that is not idempotent. A turn that failed is sent again under the same
 * number. Prints a line for each attempt.
 *
 * @return 0 if every turn was answered in full
 */
int caller_run_program(const char *key, const char *name, int turns,
		       char **urls, int nurls);

/**
 * Sends one POST and prints the status and the body of the response.
 *
 * @param headers further header lines
 * @return 0 if a response arrived, whatever its status
 */
int caller_post(const char *url, const char *body, char **headers,
		int nheaders);

#endif
