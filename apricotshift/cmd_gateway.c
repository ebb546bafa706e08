/** @file cmd_gateway.c @brief Runs one gateway instance. */
#include <stdio.h>

#include "cmd.h"
#include "options.h"
#include "serve/gateway.h"

int cmd_gateway(int argc, char **argv)
{
	char *path = NULL;
	gboolean check = FALSE;
	GOptionEntry options[] = {
		{"config", 'c', 0, G_OPTION_ARG_FILENAME, &path, "settings",
		 "FILE"},
		{"check", 'n', 0, G_OPTION_ARG_NONE, &check,
		 "check the settings and exit", NULL},
		G_OPTION_ENTRY_NULL,
	};
	GString *errors = g_string_new(NULL);
	struct gw_settings *settings = NULL;
	struct event_base *base = NULL;
	struct gw *gw;
	int status = CMD_USAGE;

	if (!opt_parse(&argc, &argv, options, 0, "gateway -c SETTINGS [-n]") ||
	    path == NULL)
		goto out;
	settings = gw_read_settings(path, errors);
	fputs(errors->str, stderr);
	status = settings != NULL ? CMD_OK : CMD_REJECTED;
	if (settings == NULL || check)
		goto out;
	base = event_base_new();
	gw = base ? gw_create(base, settings, path) : NULL;
	if (gw == NULL) {
		status = CMD_FAILED;
		goto out;
	}
	gw_run(gw);
	gw_destroy(gw);
out:
	if (base != NULL)
		event_base_free(base);
	gw_free_settings(settings);
	g_string_free(errors, TRUE);
	g_free(path);
	return status;
}
