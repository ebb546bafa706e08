/** @file rules.c @brief Parses and validates the operators' rules. */
#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "rules.h"

enum {
	RULES_WORDS_MAX = 32,
	RULES_ERRORS_MAX = 50,
	RULES_TURNS_DEFAULT = 1000,
	RULES_IDLE_DEFAULT_S = 3600,
	RULES_SERVER_MAX_DEFAULT = 16,
	RULES_NUMBER_MAX = 1000000000,
};

#define RULES_BUDGET_DEFAULT UINT64_C(1000000)

/* State of the parser: the current line, and the errors so far. */
struct line {
	struct rules *rules;
	const char *file;
	int number;
	char *word[RULES_WORDS_MAX];
	bool used[RULES_WORDS_MAX]; /* word is a known field */
	int word_count;
	GString *errors;
	bool failed; /* the current line; finally, any line */
};

typedef void (*line_parse_fn)(struct line *line);

G_GNUC_PRINTF(2, 3)
static void add_error(struct line *line, const char *fmt, ...)
{
	va_list ap;

	line->failed = true;
	if (line->errors->len > (gsize)RULES_ERRORS_MAX * 100)
		return;
	g_string_append_printf(line->errors, "%s:%d: ", line->file,
			       line->number);
	va_start(ap, fmt);
	g_string_append_vprintf(line->errors, fmt, ap);
	va_end(ap);
	g_string_append_c(line->errors, '\n');
}

bool rules_name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len > RULES_NAME_MAX)
		return false;
	for (; *name != '\0'; name++) {
		if (!isalnum((unsigned char)*name) &&
		    strchr("-_.", *name) == NULL)
			return false;
	}
	return true;
}

static const char *field_value(struct line *line, const char *name)
{
	const char *value = NULL;

	for (int i = 2; i + 1 < line->word_count; i += 2) {
		if (strcmp(line->word[i], name) != 0)
			continue;
		if (value != NULL)
			add_error(line, "field %s given twice", name);
		line->used[i] = true;
		value = line->word[i + 1];
	}
	return value;
}

static char *field_name(struct line *line, const char *name)
{
	const char *value = field_value(line, name);

	if (value == NULL)
		add_error(line, "field %s is missing", name);
	else if (!rules_name_is_valid(value))
		add_error(line, "field %s: '%s' is not a name", name, value);
	return g_strdup(value != NULL ? value : "");
}

static double field_number(struct line *line, const char *name, double min,
			   double default_value)
{
	const char *value = field_value(line, name);
	char *end;
	double number;

	if (value == NULL) {
		if (default_value < 0)
			add_error(line, "field %s is missing", name);
		return default_value;
	}
	number = strtod(value, &end);
	if (!isdigit((unsigned char)value[0]) || *end != '\0' ||
	    !isfinite(number) || number < min || number > RULES_NUMBER_MAX) {
		add_error(line, "field %s: '%s' is not a number from %g to %d",
			  name, value, min, RULES_NUMBER_MAX);
		return default_value;
	}
	return number;
}

static bool field_bool(struct line *line, const char *name, bool default_value)
{
	const char *value = field_value(line, name);

	if (value == NULL)
		return default_value;
	if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0)
		add_error(line, "field %s: '%s' is neither yes nor no", name,
			  value);
	return strcmp(value, "yes") == 0;
}

static void parse_account(struct line *line)
{
	struct rules_account *account = g_new0(struct rules_account, 1);

	account->name = g_strdup(line->word[1]);
	account->line = line->number;
	account->rate = field_number(line, "rate", 0.001, -1);
	account->burst = field_number(line, "burst", 1, -1);
	account->share = field_number(line, "share", 0.001, 1);
	if (rules_account(line->rules, account->name) != NULL)
		add_error(line, "account %s given twice", account->name);
	g_ptr_array_add(line->rules->accounts, account);
}

static void parse_key(struct line *line)
{
	struct rules_key *key = g_new0(struct rules_key, 1);
	size_t len = 0;

	key->line = line->number;
	key->account = field_name(line, "account");
	if (sodium_hex2bin(key->hash, sizeof(key->hash), line->word[1],
			   strlen(line->word[1]), NULL, &len, NULL) != 0 ||
	    len != sizeof(key->hash))
		add_error(line, "a key must be 64 hexadecimal digits");
	else if (rules_key(line->rules, key->hash) != NULL)
		add_error(line, "key given twice");
	g_ptr_array_add(line->rules->keys, key);
}

static void parse_target(struct line *line, bool is_model)
{
	struct rules_target *target = g_new0(struct rules_target, 1);

	target->name = g_strdup(line->word[1]);
	target->line = line->number;
	target->pool = field_name(line, "pool");
	target->is_model = is_model;
	target->repeatable = is_model || field_bool(line, "repeat", false);
	target->open = !is_model && field_bool(line, "open", false);
	if (rules_target(line->rules, target->name) != NULL)
		add_error(line, "%s given twice", target->name);
	g_ptr_array_add(line->rules->targets, target);
}

static void parse_model(struct line *line)
{
	parse_target(line, true);
}

static void parse_service(struct line *line)
{
	parse_target(line, false);
}

static void parse_server(struct line *line)
{
	struct rules_server *server = g_new0(struct rules_server, 1);
	const char *addr = field_value(line, "addr");

	server->name = g_strdup(line->word[1]);
	server->line = line->number;
	server->pool = field_name(line, "pool");
	server->zone = field_name(line, "zone");
	server->addr = g_strdup(addr != NULL ? addr : "");
	server->max = (uint32_t)field_number(line, "max", 1,
					     RULES_SERVER_MAX_DEFAULT);
	server->fencing = field_bool(line, "fencing", false);
	server->out = field_bool(line, "out", false);
	server->out_line = server->out ? line->number : 0;
	if (strchr(server->addr, ':') == NULL)
		add_error(line, "field addr: '%s' is not HOST:PORT",
			  server->addr);
	if (rules_server(line->rules, server->name) != NULL)
		add_error(line, "server %s given twice", server->name);
	g_ptr_array_add(line->rules->servers, server);
}

/*
 * Only checked here: a zone rule also applies to servers on later lines, so
 * apply_zones() handles it after all lines are parsed.
 */
static void parse_zone(struct line *line)
{
	const char *state = field_value(line, "state");

	if (state == NULL ||
	    (strcmp(state, "in") != 0 && strcmp(state, "out") != 0))
		add_error(line, "field state must be in or out");
}

static void parse_limit(struct line *line)
{
	struct rules *rules = line->rules;

	if (strcmp(line->word[1], "programs") != 0)
		add_error(line, "unknown limit %s", line->word[1]);
	rules->limit_line = line->number;
	rules->turns_max =
		(uint32_t)field_number(line, "turns", 1, RULES_TURNS_DEFAULT);
	rules->idle_s =
		(uint32_t)field_number(line, "idle", 1, RULES_IDLE_DEFAULT_S);
	rules->budget =
		(uint64_t)field_number(line, "budget", 1, RULES_BUDGET_DEFAULT);
}

static const struct {
	const char *keyword;
	line_parse_fn parse;
} keyword_table[] = {
	{"account", parse_account}, {"key", parse_key},
	{"limit", parse_limit},	    {"model", parse_model},
	{"server", parse_server},   {"service", parse_service},
	{"zone", parse_zone},
};

static line_parse_fn find_keyword(const char *keyword)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keyword_table); i++) {
		if (strcmp(keyword_table[i].keyword, keyword) == 0)
			return keyword_table[i].parse;
	}
	return NULL;
}

static void split_words(struct line *line, char *text)
{
	char *save = NULL;
	char *word = strtok_r(text, " \t\r", &save);

	for (; word != NULL; word = strtok_r(NULL, " \t\r", &save)) {
		if (line->word_count == RULES_WORDS_MAX) {
			add_error(line, "more than %d words", RULES_WORDS_MAX);
			return;
		}
		line->word[line->word_count++] = word;
	}
}

static void check_comment(struct line *line, const char *comment)
{
	const char *colon;

	if (comment == NULL) {
		add_error(line, "no comment naming who asked (# WHO: why)");
		return;
	}
	while (*comment == '#' || isspace((unsigned char)*comment))
		comment++;
	colon = strchr(comment, ':');
	if (colon == NULL || colon == comment)
		add_error(line, "the comment names nobody (# WHO: why)");
}

static void check_unknown_fields(struct line *line)
{
	for (int i = 2; i < line->word_count; i += 2) {
		if (!line->used[i])
			add_error(line, "unknown field %s", line->word[i]);
	}
}

static void parse_line(struct line *line, char *text)
{
	char *comment = strchr(text, '#');
	line_parse_fn parse;

	if (comment != NULL)
		*comment++ = '\0';
	split_words(line, text);
	if (line->word_count == 0 || line->failed)
		return;
	parse = find_keyword(line->word[0]);
	if (parse == NULL) {
		add_error(line, "unknown rule %s", line->word[0]);
		return;
	}
	if (line->word_count < 2 || line->word_count % 2 != 0 ||
	    (!rules_name_is_valid(line->word[1]) && parse != parse_key)) {
		add_error(line, "expected KEYWORD NAME [FIELD VALUE]...");
		return;
	}
	check_comment(line, comment);
	parse(line);
	check_unknown_fields(line);
}

static bool pool_exists(const struct rules *rules, const char *pool)
{
	for (guint i = 0; i < rules->servers->len; i++) {
		const struct rules_server *s = rules->servers->pdata[i];

		if (strcmp(s->pool, pool) == 0)
			return true;
	}
	return false;
}

static void check_references(struct line *line)
{
	struct rules *rules = line->rules;

	for (guint i = 0; i < rules->keys->len; i++) {
		const struct rules_key *key = rules->keys->pdata[i];

		line->number = key->line;
		if (rules_account(rules, key->account) == NULL)
			add_error(line, "account %s is not declared",
				  key->account);
	}
	for (guint i = 0; i < rules->targets->len; i++) {
		const struct rules_target *target = rules->targets->pdata[i];

		line->number = target->line;
		if (!pool_exists(rules, target->pool))
			add_error(line, "pool %s has no server", target->pool);
		if (target->open &&
		    rules_account(rules, RULES_OPEN_ACCOUNT) == NULL)
			add_error(line, "an open route needs account %s",
				  RULES_OPEN_ACCOUNT);
	}
}

static void take_zone_out(struct rules *rules, const char *zone, int number)
{
	for (guint i = 0; i < rules->servers->len; i++) {
		struct rules_server *s = rules->servers->pdata[i];

		if (strcmp(s->zone, zone) != 0)
			continue;
		s->out = true;
		s->out_line = number;
	}
}

static void parse_lines(struct line *line, char **lines)
{
	for (int i = 0; lines[i] != NULL; i++) {
		bool failed = line->failed;

		memset(line->used, 0, sizeof(line->used));
		line->word_count = 0;
		line->number = i + 1;
		line->failed = false;
		parse_line(line, lines[i]);
		line->failed |= failed;
	}
}

static void apply_zones(struct line *line)
{
	char **lines = g_strsplit(line->rules->text, "\n", -1);
	char zone[RULES_NAME_MAX + 1];
	char state[4];

	for (int i = 0; lines[i] != NULL; i++) {
		if (sscanf(lines[i], " zone %64s state %3s", zone, state) ==
			    2 &&
		    strcmp(state, "out") == 0)
			take_zone_out(line->rules, zone, i + 1);
	}
	g_strfreev(lines);
}

static void account_free(void *p)
{
	struct rules_account *account = p;

	g_free(account->name);
	g_free(account);
}

static void key_free(void *p)
{
	struct rules_key *key = p;

	g_free(key->account);
	g_free(key);
}

static void target_free(void *p)
{
	struct rules_target *target = p;

	g_free(target->name);
	g_free(target->pool);
	g_free(target);
}

static void server_free(void *p)
{
	struct rules_server *server = p;

	g_free(server->name);
	g_free(server->pool);
	g_free(server->zone);
	g_free(server->addr);
	g_free(server);
}

struct rules *rules_parse(const char *text, uint64_t revision, const char *name,
			  GString *errors)
{
	struct rules *rules = g_new0(struct rules, 1);
	struct line line = {.rules = rules, .file = name, .errors = errors};
	char **lines;

	rules->revision = revision;
	rules->text = g_strdup(text);
	rules->accounts = g_ptr_array_new_with_free_func(account_free);
	rules->keys = g_ptr_array_new_with_free_func(key_free);
	rules->targets = g_ptr_array_new_with_free_func(target_free);
	rules->servers = g_ptr_array_new_with_free_func(server_free);
	rules->turns_max = RULES_TURNS_DEFAULT;
	rules->idle_s = RULES_IDLE_DEFAULT_S;
	rules->budget = RULES_BUDGET_DEFAULT;
	if (strlen(text) > RULES_TEXT_MAX) {
		add_error(&line, "rules are longer than %d bytes",
			  RULES_TEXT_MAX);
		goto fail;
	}
	lines = g_strsplit(text, "\n", -1);
	parse_lines(&line, lines);
	g_strfreev(lines);
	check_references(&line);
	apply_zones(&line);
	if (!line.failed)
		return rules;
fail:
	rules_destroy(rules);
	return NULL;
}

void rules_destroy(struct rules *rules)
{
	if (rules == NULL)
		return;
	g_ptr_array_unref(rules->accounts);
	g_ptr_array_unref(rules->keys);
	g_ptr_array_unref(rules->targets);
	g_ptr_array_unref(rules->servers);
	g_free(rules->text);
	g_free(rules);
}

const struct rules_account *rules_account(const struct rules *rules,
					  const char *name)
{
	for (guint i = 0; i < rules->accounts->len; i++) {
		struct rules_account *account = rules->accounts->pdata[i];

		if (strcmp(account->name, name) == 0)
			return account;
	}
	return NULL;
}

const struct rules_key *rules_key(const struct rules *rules,
				  const uint8_t *hash)
{
	const struct rules_key *match = NULL;

	for (guint i = 0; i < rules->keys->len; i++) {
		const struct rules_key *key = rules->keys->pdata[i];

		if (sodium_memcmp(key->hash, hash, RULES_HASH_BYTES) == 0)
			match = key;
	}
	return match;
}

const struct rules_target *rules_target(const struct rules *rules,
					const char *name)
{
	for (guint i = 0; i < rules->targets->len; i++) {
		struct rules_target *target = rules->targets->pdata[i];

		if (strcmp(target->name, name) == 0)
			return target;
	}
	return NULL;
}

const struct rules_server *rules_server(const struct rules *rules,
					const char *name)
{
	for (guint i = 0; i < rules->servers->len; i++) {
		struct rules_server *server = rules->servers->pdata[i];

		if (strcmp(server->name, name) == 0)
			return server;
	}
	return NULL;
}

char *rules_line_text(const struct rules *rules, int line)
{
	char **lines = g_strsplit(rules->text, "\n", -1);
	char *text = NULL;

	if (line >= 1 && line <= (int)g_strv_length(lines))
		text = g_strdup(lines[line - 1]);
	g_strfreev(lines);
	return text;
}
