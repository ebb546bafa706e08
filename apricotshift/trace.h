/**
 * @file trace.h
 * @brief Trace of one request, from the logs of all instances.
 */
#ifndef APS_TRACE_H
#define APS_TRACE_H

#include <stdio.h>

/**
 * Prints the log lines of a request, sorted by time.
 *
 * Reads lines of the structured log, from any number of instances and in any
 * order; other lines are skipped.
 *
 * @param log     the logs
 * @param request request id
 * @param out     receives the trace
 * @return the number of lines found
 */
unsigned int trace_print(FILE *log, const char *request, FILE *out);

#endif
