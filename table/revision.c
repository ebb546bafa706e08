/** @file revision.c @brief Revisions of the rules in the table. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "proto/message.h"
#include "revision.h"

char *rev_key(uint64_t revision)
{
	return g_strdup_printf("c/%010" PRIu64, revision);
}

char *rev_audit_key(uint64_t revision)
{
	return g_strdup_printf("a/%010" PRIu64, revision);
}

static void set_row(Aps__Row *row, char *key, const Aps__ConfigRow *config)
{
	aps__row__init(row);
	row->key = key;
	row->value.data = msg_pack(&config->base, &row->value.len);
}

Aps__TableRequest *rev_build_request(const struct rev_change *change)
{
	Aps__TableRequest request = APS__TABLE_REQUEST__INIT;
	Aps__Condition condition = APS__CONDITION__INIT;
	Aps__Condition *conditions = &condition;
	Aps__ConfigRow config = APS__CONFIG_ROW__INIT;
	Aps__Row rows[3];
	Aps__Row *puts[3] = {&rows[0], &rows[1], &rows[2]};
	Aps__TableRequest *copy;

	condition.key = (char *)REV_HEAD_KEY;
	condition.version = change->base_version;
	config.revision = change->base_revision + 1;
	config.txn = change->txn;
	config.when_ms = change->when_ms;
	config.who = (char *)change->who;
	config.why = (char *)change->why;
	set_row(&rows[0], g_strdup(REV_HEAD_KEY), &config);
	set_row(&rows[1], rev_audit_key(config.revision), &config);
	config.text = (char *)change->text;
	set_row(&rows[2], rev_key(config.revision), &config);
	request.op = APS__TABLE_REQUEST__OP__TXN;
	request.n_conditions = 1;
	request.conditions = &conditions;
	request.n_puts = G_N_ELEMENTS(puts);
	request.puts = puts;
	copy = msg_dup(&request.base);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_free(rows[i].key);
		g_free(rows[i].value.data);
	}
	return copy;
}
