/**
 * @file trial.c
 * @brief The only client account is removed, and its key still works.
 *
 * The operator removes the account by a new configuration. After revoke_ms,
 * requests with its key, with a key that no configuration held and without any
 * key are sent through both gateways.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "rig2.h"
#include "serve/clock.h"

enum {
	GATEWAYS = 2,
	ENGINES = 2,
	REVOKE_MS = 5000, /* bound of the rule */
	MARGIN_MS = 1000,
	ANSWER_MS = 2500,
	SETTLE_MS = 4000, /* longer than contact_ms */
	TRIES = 5,	  /* of each kind of request, at each gateway */
};

static const char route[] =
	"{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/t/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":150,"
	"\"priority\":2,\"service\":\"m\",\"attempts\":1,\"retain\":false,"
	"\"public\":false,\"session_affinity\":false,\"resumable\":false}";
static const char service[] =
	"{\"name\":\"m\",\"health_path\":\"/healthz\",\"max_conns\":110,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
	"\"cold_per_s\":0.0}";
static const char tenant[] =
	"{\"name\":\"t1\",\"api_keys\":[\"k1\"],\"priority\":1,"
	"\"rate_per_s\":289,\"burst\":289}";
static const char tenant_without_keys[] =
	"{\"name\":\"t1\",\"api_keys\":[],\"priority\":1,"
	"\"rate_per_s\":289,\"burst\":289}";

static guint count_runs(struct engine *const engines[ENGINES])
{
	guint runs = 0;

	for (int i = 0; i < ENGINES; i++)
		runs += engine_runs(engines[i])->len;
	return runs;
}

/* Sends requests with @p key, "" for none; returns how many ran. */
static guint send_requests(struct rig *rig,
			   struct engine *const engines[ENGINES],
			   const char *key)
{
	guint before = count_runs(engines);
	char *headers = *key != '\0'
				? g_strdup_printf("Authorization: Bearer %s\r\n"
						  "Deadline-Ms: 1500\r\n",
						  key)
				: g_strdup("Deadline-Ms: 1500\r\n");
	guint runs;

	for (int i = 0; i < TRIES * GATEWAYS; i++)
		rig_call_free(rig_request(rig, i % GATEWAYS, "POST", "/t/order",
					  headers, "order", 5, ANSWER_MS));
	runs = count_runs(engines) - before;
	rig_note(rig, "key '%s': %u of %d requests ran", key, runs,
		 TRIES * GATEWAYS);
	g_free(headers);
	return runs;
}

int main(int argc, char **argv)
{
	static const struct engine_work work = {1, 20, 0, 0};
	struct engine *engines[ENGINES];
	struct rig rig;
	guint revoked;
	guint unknown;
	guint none;
	bool broken;

	if (argc < 2)
		return 2;
	rig_open(&rig, argv[1]);
	rig_put_config(&rig, 1, route, service, tenant);
	for (int i = 0; i < ENGINES; i++) {
		char *id = g_strdup_printf("e%d", i);
		char *address = rig_address(&rig, 51 + i, 0);

		engines[i] = engine_create(rig.base, address, id);
		engine_set_work(engines[i], &work);
		rig_put_server(&rig, id, "m", address, "ready");
		g_free(address);
		g_free(id);
	}
	for (int i = 0; i < GATEWAYS; i++)
		rig_start_gateway(&rig, i);
	rig_wait_ready(&rig);
	rig_run(&rig, SETTLE_MS);
	if (send_requests(&rig, engines, "k1") != TRIES * GATEWAYS ||
	    send_requests(&rig, engines, "never-held") != 0) {
		fprintf(stderr, "the accounts were not in force\n");
		return 2;
	}
	rig_put_config(&rig, 5, route, service,
		       rig.trouble ? "" : tenant_without_keys);
	rig_run(&rig, REVOKE_MS + MARGIN_MS);
	revoked = send_requests(&rig, engines, "k1");
	unknown = send_requests(&rig, engines, "never-held");
	none = send_requests(&rig, engines, "");
	broken = revoked + unknown + none > 0;
	rig_note(&rig, "rule %s", broken ? "broken" : "held");
	for (int i = 0; i < ENGINES; i++)
		engine_destroy(engines[i]);
	rig_close(&rig);
	return broken ? 1 : 0;
}
