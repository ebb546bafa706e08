/** @file main.c @brief Selects and runs a subcommand. */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>

#include "cmd.h"

static void usage(void) __attribute__((noreturn));

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
	bool daemon; /* runs until it is stopped; reloads on SIGHUP */
};

static const struct command commands[] = {
	{"serve", cmd_serve, "-c SETTINGS [-n]     run one instance", true},
	{"gateway", cmd_gateway,
	 "-c SETTINGS [-n]     run one gateway instance", true},
	{"check", cmd_check, "RULES                check a rules file", false},
	{"apply", cmd_apply,
	 "-p URL -r REV -w WHO [-y WHY] RULES  apply a rules file", false},
	{"show", cmd_show, "-p URL [-r REV]      print the rules of a revision",
	 false},
	{"audit", cmd_audit,
	 "-p URL               print the audit log of the rules", false},
	{"explain", cmd_explain,
	 "-p URL REV:LINE      print the rule behind an outcome", false},
	{"status", cmd_status,
	 "URL                  print the state of an instance", false},
	{"key", cmd_key,
	 "                     print the hash of a key read from stdin", false},
};

static void usage(void)
{
	fprintf(stderr, "usage: apricotshift COMMAND [OPTION...]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  %-8s %s\n", commands[i].name,
			commands[i].help);
	exit(CMD_USAGE);
}

static const struct command *find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

int main(int argc, char **argv)
{
	const struct command *command;
	int status;

	command = argc < 2 ? NULL : find_command(argv[1]);
	if (command == NULL)
		usage();
	/* A reload may be asked for before the handlers are installed; the
	 * settings are read after this in any case. */
	if (command->daemon)
		signal(SIGHUP, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fprintf(stderr, "apricotshift: cannot initialize libsodium or "
				"libcurl\n");
		return CMD_FAILED;
	}
	status = command->run(argc - 1, argv + 1);
	curl_global_cleanup();
	return status;
}
