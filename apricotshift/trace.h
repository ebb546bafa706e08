/**
 * @file trace.h
 * @brief The story of one request, from the logs of all instances.
 */
#ifndef APS_TRACE_H
#define APS_TRACE_H

#include <stdio.h>

/**
 * Prints the lines about a request, in order of time.
 *
 * Takes whole lines of the structured log, from any number of instances in
 * any order; other lines are passed over.
 *
 * @return how many lines were found
 */
unsigned int trace_print(FILE *log, const char *request, FILE *out);

#endif
