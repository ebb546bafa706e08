/** @file config.c @brief Fetches and applies revisions of the rules. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "config.h"

enum {
	CFG_RETRY_MS = 200,
};

struct config {
	struct node *node;
	uint64_t newest;   /* revision named by the row n/c/head */
	uint64_t rejected; /* newest revision that was invalid */
	bool fetching;
	int64_t sent_ms;     /* of the last fetch */
	int64_t polled_ms;   /* send time of the last successful poll */
	int64_t verified_ms; /* of the last poll that found nothing newer */
};

struct config *cfg_create(struct node *node)
{
	struct config *config = g_new0(struct config, 1);

	config->node = node;
	config->sent_ms = INT64_MIN / 2;
	config->verified_ms = INT64_MIN / 2;
	return config;
}

void cfg_destroy(struct config *config)
{
	g_free(config);
}

static uint64_t revision_in_force(const struct config *config)
{
	return config->node->rules != NULL ? config->node->rules->revision : 0;
}

/* Returns whether the newest known revision is in force or invalid. */
static bool is_up_to_date(const struct config *config)
{
	return config->newest <= revision_in_force(config) ||
	       config->newest <= config->rejected;
}

bool cfg_is_current(const struct config *config)
{
	return node_now_ms(config->node) - config->verified_ms < CFG_STALE_MS;
}

void cfg_on_poll(struct config *config, int64_t sent_ms)
{
	config->polled_ms = sent_ms;
	if (is_up_to_date(config))
		config->verified_ms = sent_ms;
}

void cfg_on_head_row(struct config *config, const Aps__Row *row)
{
	Aps__ConfigRow *head =
		aps__config_row__unpack(NULL, row->value.len, row->value.data);

	if (head == NULL)
		return;
	if (head->revision > config->newest)
		config->newest = head->revision;
	aps__config_row__free_unpacked(head, NULL);
	cfg_tick(config);
}

static void apply(struct config *config, const Aps__ConfigRow *row)
{
	struct node *node = config->node;
	GString *errors = g_string_new(NULL);
	struct rules *old = node->rules;
	struct rules *rules;

	rules = rules_parse(row->text, row->revision, "rules", errors);
	if (rules == NULL) {
		node_log(node, "config: revision %" PRIu64 " rejected: %s",
			 row->revision, errors->str);
		config->rejected = row->revision;
	} else {
		node->rules = rules;
		node->io.rules(node->io.arg, rules);
		rules_destroy(old);
		node_counter_add(node, NODE_RULES_APPLIED, 1);
		node_log(node, "config: revision %" PRIu64 " in force",
			 row->revision);
	}
	g_string_free(errors, TRUE);
}

static void on_fetched(void *arg, const Aps__TableReply *reply)
{
	struct config *config = arg;
	Aps__ConfigRow *row = NULL;

	config->fetching = false;
	if (reply == NULL || reply->n_rows == 0)
		return;
	row = aps__config_row__unpack(NULL, reply->rows[0]->value.len,
				      reply->rows[0]->value.data);
	if (row == NULL)
		return;
	if (row->revision > revision_in_force(config))
		apply(config, row);
	if (is_up_to_date(config))
		config->verified_ms = config->polled_ms;
	aps__config_row__free_unpacked(row, NULL);
}

void cfg_tick(struct config *config)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	int64_t now = node_now_ms(config->node);
	char key[64];
	char *keys = key;

	if (config->fetching || is_up_to_date(config) ||
	    now - config->sent_ms < CFG_RETRY_MS)
		return;
	snprintf(key, sizeof(key), "c/%010" PRIu64, config->newest);
	request.op = APS__TABLE_REQUEST__OP__GET;
	request.n_keys = 1;
	request.keys = &keys;
	config->fetching = true;
	config->sent_ms = now;
	node_counter_add(config->node, NODE_TABLE_READS, 1);
	node_table_request(config->node, &request, on_fetched, config);
}

const struct rules_account *cfg_authorize(const struct rules *rules,
					  const Aps__Request *request)
{
	const struct rules_target *target =
		rules_target(rules, request->target);
	const struct rules_key *key;

	if (request->key_hash.len == 0) {
		if (target == NULL || !target->open ||
		    strcmp(request->account, RULES_OPEN_ACCOUNT) != 0)
			return NULL;
		return rules_account(rules, RULES_OPEN_ACCOUNT);
	}
	if (request->key_hash.len != RULES_HASH_BYTES)
		return NULL;
	key = rules_key(rules, request->key_hash.data);
	if (key == NULL || strcmp(key->account, request->account) != 0)
		return NULL;
	return rules_account(rules, key->account);
}
