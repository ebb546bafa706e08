/** @file charts.c @brief Embeds the chart files into the binary. */
#include "charts.h"

/* Paths are relative to the root of the tree, where make runs. */
__asm__(".section .rodata\n"
	"chart_turn_text:\n"
	".incbin \"charts/turn.chart\"\n"
	".byte 0\n"
	"chart_server_text:\n"
	".incbin \"charts/server.chart\"\n"
	".byte 0\n"
	".previous\n");

extern const char chart_turn_text[];
extern const char chart_server_text[];

const char *charts_turn(void)
{
	return chart_turn_text;
}

const char *charts_server(void)
{
	return chart_server_text;
}
