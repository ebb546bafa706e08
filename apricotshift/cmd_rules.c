/** @file cmd_rules.c @brief Subcommands for the rules of the operators. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "cmd.h"
#include "decide/rules.h"
#include "options.h"
#include "table/revision.h"
#include "table/tableclient.h"
#include "trace.h"

enum {
	APPLY_ATTEMPTS = 5,
	APPLY_RETRY_US = 500000,
	KEY_LINE_MAX_BYTES = 512,
	MS_PER_S = 1000,
	US_PER_MS = 1000,
};

/* Reads and checks a file. @return its text; NULL after printing errors */
static char *read_rules(const char *path)
{
	GString *errors = g_string_new(NULL);
	GError *error = NULL;
	struct rules *rules;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "apricotshift: %s\n", error->message);
		g_error_free(error);
		goto out;
	}
	rules = rules_parse(text, 1, path, errors);
	if (rules == NULL) {
		fputs(errors->str, stderr);
		g_free(text);
		text = NULL;
	}
	rules_destroy(rules);
out:
	g_string_free(errors, TRUE);
	return text;
}

int cmd_check(int argc, char **argv)
{
	GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	char *text;

	if (!opt_parse(&argc, &argv, entries, 1, "check RULES"))
		return CMD_USAGE;
	text = read_rules(argv[1]);
	if (text == NULL)
		return CMD_REJECTED;
	g_free(text);
	return CMD_OK;
}

/* Result of reading a configuration row. */
struct row_result {
	bool ok; /* the table replied */
	uint64_t version;
	Aps__ConfigRow *row; /* NULL if there is none */
};

static struct row_result read_row(const char *platform, const char *key)
{
	GString *errors = g_string_new(NULL);
	Aps__TableReply *reply = tableclient_get(platform, key, errors);
	struct row_result result = {.ok = reply != NULL};

	if (reply == NULL)
		fprintf(stderr, "apricotshift: %s", errors->str);
	if (reply != NULL && reply->n_rows > 0) {
		result.version = reply->rows[0]->version;
		result.row =
			aps__config_row__unpack(NULL, reply->rows[0]->value.len,
						reply->rows[0]->value.data);
	}
	if (reply != NULL)
		aps__table_reply__free_unpacked(reply, NULL);
	g_string_free(errors, TRUE);
	return result;
}

static void free_row(struct row_result *result)
{
	if (result->row != NULL)
		aps__config_row__free_unpacked(result->row, NULL);
	result->row = NULL;
}

static void print_time(uint64_t when_ms)
{
	time_t seconds = (time_t)(when_ms / MS_PER_S);
	char text[32] = "";
	struct tm tm;

	if (gmtime_r(&seconds, &tm) != NULL)
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
	printf("%s", text);
}

static bool has_line(char **lines, const char *line)
{
	for (int i = 0; lines[i] != NULL; i++) {
		if (strcmp(lines[i], line) == 0)
			return true;
	}
	return false;
}

/* Prints the lines that are in only one of two texts. */
static void print_difference(FILE *out, const char *old, const char *new)
{
	char **old_lines = g_strsplit(old, "\n", -1);
	char **new_lines = g_strsplit(new, "\n", -1);

	for (int i = 0; old_lines[i] != NULL; i++) {
		if (!has_line(new_lines, old_lines[i]))
			fprintf(out, "-%s\n", old_lines[i]);
	}
	for (int i = 0; new_lines[i] != NULL; i++) {
		if (!has_line(old_lines, new_lines[i]))
			fprintf(out, "+%s\n", new_lines[i]);
	}
	g_strfreev(old_lines);
	g_strfreev(new_lines);
}

static struct row_result read_revision(const char *platform, uint64_t revision)
{
	char *key = rev_key(revision);
	struct row_result result = read_row(platform, key);

	g_free(key);
	return result;
}

static void print_conflict(const char *platform, const struct row_result *head,
			   uint64_t base, const char *text)
{
	struct row_result winner = read_revision(platform, head->row->revision);

	fprintf(stderr,
		"apricotshift: refused: based on revision %" PRIu64
		", but %s has applied revision %" PRIu64 "\n"
		"changes your file would make to it:\n",
		base, head->row->who, head->row->revision);
	if (winner.row != NULL)
		print_difference(stderr, winner.row->text, text);
	free_row(&winner);
}

/* Sends a change until its outcome is known. @return the exit code */
static int apply_change(const char *platform, struct rev_change *change)
{
	GString *errors = g_string_new(NULL);
	int status = CMD_FAILED;

	for (int i = 0; i < APPLY_ATTEMPTS && status == CMD_FAILED; i++) {
		struct row_result head = read_row(platform, REV_HEAD_KEY);
		uint64_t revision = head.row != NULL ? head.row->revision : 0;
		Aps__TableRequest *request;
		Aps__TableReply *reply = NULL;

		if (head.row != NULL && head.row->txn == change->txn) {
			/* An earlier attempt succeeded; its reply was lost. */
			printf("revision %" PRIu64 "\n", revision);
			status = CMD_OK;
		} else if (head.ok && revision != change->base_revision) {
			if (head.row != NULL)
				print_conflict(platform, &head,
					       change->base_revision,
					       change->text);
			else
				fprintf(stderr,
					"apricotshift: refused: there "
					"is no revision yet; use -r 0\n");
			status = CMD_REJECTED;
		} else if (head.ok) {
			change->base_version = head.version;
			request = rev_build_request(change);
			reply = tableclient_request(platform, request, errors);
			aps__table_request__free_unpacked(request, NULL);
		}
		if (reply != NULL && !reply->refused) {
			printf("revision %" PRIu64 "\n", revision + 1);
			status = CMD_OK;
		}
		if (reply != NULL)
			aps__table_reply__free_unpacked(reply, NULL);
		else if (status == CMD_FAILED)
			g_usleep(APPLY_RETRY_US);
		free_row(&head);
	}
	if (status == CMD_FAILED)
		fprintf(stderr, "apricotshift: outcome unknown: %s\n",
			errors->str);
	g_string_free(errors, TRUE);
	return status;
}

int cmd_apply(int argc, char **argv)
{
	char *platform = NULL;
	char *who = NULL;
	char *why = NULL;
	gint64 base = -1;
	GOptionEntry entries[] = {
		{"platform", 'p', 0, G_OPTION_ARG_STRING, &platform,
		 "base URL of the platform", "URL"},
		{"revision", 'r', 0, G_OPTION_ARG_INT64, &base,
		 "revision that the file is based on; 0 if none", "REV"},
		{"who", 'w', 0, G_OPTION_ARG_STRING, &who,
		 "author of the change", "WHO"},
		{"why", 'y', 0, G_OPTION_ARG_STRING, &why,
		 "reason for the change", "WHY"},
		G_OPTION_ENTRY_NULL};
	struct rev_change change = {0};
	int status = CMD_USAGE;
	char *text = NULL;

	if (!opt_parse(&argc, &argv, entries, 1,
		       "apply -p URL -r REV -w WHO [-y WHY] RULES"))
		goto out;
	if (platform == NULL || who == NULL || base < 0) {
		fprintf(stderr, "apricotshift: apply requires -p, -r and -w\n");
		goto out;
	}
	text = read_rules(argv[1]);
	status = CMD_REJECTED;
	if (text == NULL)
		goto out;
	randombytes_buf(&change.txn, sizeof(change.txn));
	change.base_revision = (uint64_t)base;
	change.when_ms = (uint64_t)(g_get_real_time() / US_PER_MS);
	change.who = who;
	change.why = why != NULL ? why : "";
	change.text = text;
	status = apply_change(platform, &change);
out:
	g_free(text);
	g_free(platform);
	g_free(who);
	g_free(why);
	return status;
}

int cmd_show(int argc, char **argv)
{
	char *platform = NULL;
	gint64 revision = 0;
	GOptionEntry entries[] = {
		{"platform", 'p', 0, G_OPTION_ARG_STRING, &platform,
		 "base URL of the platform", "URL"},
		{"revision", 'r', 0, G_OPTION_ARG_INT64, &revision,
		 "revision; default: the newest", "REV"},
		G_OPTION_ENTRY_NULL};
	struct row_result result;
	int status = CMD_FAILED;

	if (!opt_parse(&argc, &argv, entries, 0, "show -p URL [-r REV]") ||
	    platform == NULL)
		return CMD_USAGE;
	if (revision == 0) {
		result = read_row(platform, REV_HEAD_KEY);
		if (result.row != NULL)
			revision = (gint64)result.row->revision;
		free_row(&result);
	}
	result = read_revision(platform, (uint64_t)revision);
	if (result.row != NULL) {
		fprintf(stderr, "revision %" PRIu64 " by %s\n",
			result.row->revision, result.row->who);
		fputs(result.row->text, stdout);
		status = CMD_OK;
	} else if (result.ok) {
		fprintf(stderr, "apricotshift: no such revision\n");
		status = CMD_REJECTED;
	}
	free_row(&result);
	g_free(platform);
	return status;
}

static void print_audit_row(const Aps__ConfigRow *row)
{
	printf("%" PRIu64 " ", row->revision);
	print_time(row->when_ms);
	printf(" %s %s\n", row->who, row->why);
}

int cmd_audit(int argc, char **argv)
{
	char *platform = NULL;
	GOptionEntry entries[] = {{"platform", 'p', 0, G_OPTION_ARG_STRING,
				   &platform, "base URL of the platform",
				   "URL"},
				  G_OPTION_ENTRY_NULL};
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	GString *errors = g_string_new(NULL);
	Aps__TableReply *reply = NULL;
	int status = CMD_USAGE;

	if (!opt_parse(&argc, &argv, entries, 0, "audit -p URL") ||
	    platform == NULL)
		goto out;
	request.op = APS__TABLE_REQUEST__OP__RANGE;
	request.prefix = (char *)"a/";
	reply = tableclient_request(platform, &request, errors);
	status = CMD_FAILED;
	if (reply == NULL) {
		fprintf(stderr, "apricotshift: %s", errors->str);
		goto out;
	}
	for (size_t i = 0; i < reply->n_rows; i++) {
		Aps__ConfigRow *row =
			aps__config_row__unpack(NULL, reply->rows[i]->value.len,
						reply->rows[i]->value.data);

		if (row == NULL)
			continue;
		print_audit_row(row);
		aps__config_row__free_unpacked(row, NULL);
	}
	aps__table_reply__free_unpacked(reply, NULL);
	status = CMD_OK;
out:
	g_string_free(errors, TRUE);
	g_free(platform);
	return status;
}

static int explain_line(const struct row_result *result, int line)
{
	GString *errors = g_string_new(NULL);
	struct rules *rules = rules_parse(
		result->row->text, result->row->revision, "rules", errors);
	char *text = rules != NULL ? rules_line_text(rules, line) : NULL;
	int status = CMD_REJECTED;

	if (text != NULL) {
		printf("%s\n", text);
		printf("revision %" PRIu64 " applied by %s at ",
		       result->row->revision, result->row->who);
		print_time(result->row->when_ms);
		printf(" %s\n", result->row->why);
		status = CMD_OK;
	} else {
		fprintf(stderr,
			"apricotshift: no such line in that revision\n");
	}
	g_free(text);
	rules_destroy(rules);
	g_string_free(errors, TRUE);
	return status;
}

int cmd_explain(int argc, char **argv)
{
	char *platform = NULL;
	GOptionEntry entries[] = {{"platform", 'p', 0, G_OPTION_ARG_STRING,
				   &platform, "base URL of the platform",
				   "URL"},
				  G_OPTION_ENTRY_NULL};
	uint64_t revision = 0;
	struct row_result result;
	int status = CMD_FAILED;
	int line = 0;

	if (!opt_parse(&argc, &argv, entries, 1,
		       "explain -p URL REV:LINE | explain REQUEST <LOG"))
		return CMD_USAGE;
	if (platform == NULL)
		return trace_print(stdin, argv[1], stdout) > 0 ? CMD_OK
							       : CMD_REJECTED;
	if (sscanf(argv[1], "%" SCNu64 ":%d", &revision, &line) != 2)
		return CMD_USAGE;
	result = read_revision(platform, revision);
	if (result.row != NULL)
		status = explain_line(&result, line);
	else if (result.ok)
		fprintf(stderr, "apricotshift: no such revision\n");
	free_row(&result);
	g_free(platform);
	return status;
}

int cmd_key(int argc, char **argv)
{
	GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	uint8_t hash[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(hash) + 1];
	char key[KEY_LINE_MAX_BYTES];

	if (!opt_parse(&argc, &argv, entries, 0, "key"))
		return CMD_USAGE;
	if (fgets(key, sizeof(key), stdin) == NULL) {
		fprintf(stderr, "apricotshift: no key on standard input\n");
		return CMD_FAILED;
	}
	key[strcspn(key, "\r\n")] = '\0';
	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	sodium_memzero(key, sizeof(key));
	printf("%s\n", sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
	return CMD_OK;
}
