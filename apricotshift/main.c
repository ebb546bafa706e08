/** @file main.c @brief Selects and runs a subcommand. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>

#include "cmd.h"

static void usage(void) __attribute__((noreturn));

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} commands[] = {
	{"serve", cmd_serve, "-c SETTINGS [-n]     run one instance"},
	{"gateway", cmd_gateway,
	 "-c SETTINGS [-n]     run one gateway instance"},
	{"check", cmd_check, "RULES                check a rules file"},
	{"apply", cmd_apply,
	 "-p URL -r REV -w WHO [-y WHY] RULES  apply a rules file"},
	{"show", cmd_show,
	 "-p URL [-r REV]      print the rules of a revision"},
	{"audit", cmd_audit,
	 "-p URL               print the audit log of the rules"},
	{"explain", cmd_explain,
	 "-p URL REV:LINE      print the rule behind an outcome"},
	{"status", cmd_status,
	 "URL                  print the state of an instance"},
	{"key", cmd_key,
	 "                     print the hash of a key read from stdin"},
};

static void usage(void)
{
	fprintf(stderr, "usage: apricotshift COMMAND [OPTION...]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  %-8s %s\n", commands[i].name,
			commands[i].help);
	exit(CMD_USAGE);
}

int main(int argc, char **argv)
{
	int status = CMD_USAGE;

	if (argc < 2)
		usage();
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fprintf(stderr, "apricotshift: cannot initialize libsodium or "
				"libcurl\n");
		return CMD_FAILED;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[1]) != 0)
			continue;
		status = commands[i].run(argc - 1, argv + 1);
		curl_global_cleanup();
		return status;
	}
	usage();
}
