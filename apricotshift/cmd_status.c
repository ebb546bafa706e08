/** @file cmd_status.c @brief Prints the state of an instance. */
#include <stdio.h>

#include "cmd.h"
#include "options.h"
#include "table/tableclient.h"

int cmd_status(int argc, char **argv)
{
	GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	GString *errors;
	char *text;
	char *url;

	if (!opt_parse(&argc, &argv, entries, 1, "status URL"))
		return CMD_USAGE;
	errors = g_string_new(NULL);
	url = g_strdup_printf("%s/status", argv[1]);
	text = tableclient_fetch(url, errors);
	if (text != NULL)
		printf("%s\n", text);
	else
		fprintf(stderr, "apricotshift: %s", errors->str);
	g_string_free(errors, TRUE);
	g_free(url);
	if (text == NULL)
		return CMD_FAILED;
	g_free(text);
	return CMD_OK;
}
