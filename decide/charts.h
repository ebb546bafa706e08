/**
 * @file charts.h
 * @brief The chart files, embedded into the binary.
 */
#ifndef APS_CHARTS_H
#define APS_CHARTS_H

/** Returns the text of charts/turn.chart. */
const char *charts_turn(void);

/** Returns the text of charts/server.chart. */
const char *charts_server(void);

#endif
