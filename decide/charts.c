/** @file charts.c @brief Embeds the chart files into the binary. */
#include "charts.h"

/* The build turns each chart into a string literal. */
static const char turn_chart[] =
#include "turn.chart.h"
	;
static const char server_chart[] =
#include "server.chart.h"
	;

const char *charts_turn(void)
{
	return turn_chart;
}

const char *charts_server(void)
{
	return server_chart;
}
