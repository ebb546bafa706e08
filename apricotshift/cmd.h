/**
 * @file cmd.h
 * @brief The subcommands.
 */
#ifndef APS_CMD_H
#define APS_CMD_H

/** Exit codes of the program. */
enum cmd_exit {
	CMD_OK = 0,
	CMD_REJECTED = 1, /**< invalid input, or the change was refused */
	CMD_USAGE = 2,
	CMD_FAILED = 3, /**< system or network error */
};

/** Runs one instance. */
int cmd_serve(int argc, char **argv);
/** Runs one instance on a platform that provides store and load balancer. */
int cmd_gateway(int argc, char **argv);
/** Checks a rules file. */
int cmd_check(int argc, char **argv);
/** Applies a rules file as the next revision. */
int cmd_apply(int argc, char **argv);
/** Prints the rules of a revision. */
int cmd_show(int argc, char **argv);
/** Prints the audit log of the rules. */
int cmd_audit(int argc, char **argv);
/** Prints the rule behind an outcome, or the log lines of a request. */
int cmd_explain(int argc, char **argv);
/** Prints the state of an instance. */
int cmd_status(int argc, char **argv);
/** Prints the hash of a key read from standard input. */
int cmd_key(int argc, char **argv);

#endif
