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
int cal_program(const char *key, const char *name, int turns, char **urls,
		int nurls);

#endif
