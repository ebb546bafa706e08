/**
 * @file trial.c
 * @brief A client account that was idle sends a batch through all gateways.
 *
 * Each gateway then knows only of its own demand and admits up to the whole
 * burst, until the gateways have told each other of theirs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "rig2.h"
#include "serve/clock.h"

enum {
	GATEWAYS = 4,
	ENGINES = 4,
	RATE_PER_S = 30,
	BURST = 150,
	WINDOW_MS = 5000, /* quota_window_s */
	SLACK = 20,	  /* quota_slack */
	BATCH = 140,	  /* requests at each gateway */
	IDLE_MS = 10000,
	END_MS = 4500,
	STEP_MS = 5,
};

/* quota_overage, with what the limit itself counts as. */
#define OVERAGE 1.1

static const char route[] =
	"{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/t/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":150,"
	"\"priority\":2,\"service\":\"m\",\"attempts\":1,\"retain\":false,"
	"\"public\":false,\"session_affinity\":false,\"resumable\":false}";
static const char service[] =
	"{\"name\":\"m\",\"health_path\":\"/healthz\",\"max_conns\":1000,"
	"\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
	"\"cold_per_s\":0.0}";

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The most requests that ran in any window. */
static guint count_window(struct engine *const engines[ENGINES])
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint first = 0;
	guint most = 0;

	for (int i = 0; i < ENGINES; i++) {
		const GPtrArray *runs = engine_runs(engines[i]);

		for (guint k = 0; k < runs->len; k++) {
			const struct engine_run *run =
				g_ptr_array_index(runs, k);

			g_array_append_val(times, run->at_ms);
		}
	}
	g_array_sort(times, compare_times);
	for (guint last = 0; last < times->len; last++) {
		while (g_array_index(times, int64_t, last) -
			       g_array_index(times, int64_t, first) >=
		       WINDOW_MS)
			first++;
		most = MAX(most, last - first + 1);
	}
	g_array_free(times, TRUE);
	return most;
}

/* Sends the batch, at once or at the account's rate. */
static void send_batch(struct rig *rig, GPtrArray *calls)
{
	static const char headers[] = "Authorization: Bearer k1\r\n"
				      "Deadline-Ms: 1500\r\n";
	int64_t started_ms = clock_boot_ms();

	for (int i = 0; i < BATCH * GATEWAYS; i++) {
		int64_t due_ms = started_ms + (int64_t)i * 1000 / RATE_PER_S;

		while (!rig->trouble && clock_boot_ms() < due_ms)
			rig_run(rig, STEP_MS);
		g_ptr_array_add(calls,
				rig_send(rig, i % GATEWAYS, "POST", "/t/order",
					 headers, "order", 5));
	}
}

int main(int argc, char **argv)
{
	static const struct engine_work work = {1, 10, 0, 0};
	struct engine *engines[ENGINES];
	GPtrArray *calls = g_ptr_array_new();
	double limit =
		(RATE_PER_S * WINDOW_MS / 1000.0 + BURST) * OVERAGE + SLACK;
	int whole = 0;
	struct rig rig;
	char *tenant;
	guint most;

	if (argc < 2)
		return 2;
	rig_open(&rig, argv[1]);
	tenant = g_strdup_printf("{\"name\":\"t1\",\"api_keys\":[\"k1\"],"
				 "\"priority\":1,\"rate_per_s\":%d,"
				 "\"burst\":%d}",
				 RATE_PER_S, BURST);
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
	rig_run(&rig, IDLE_MS);
	send_batch(&rig, calls);
	rig_run(&rig, END_MS);
	for (guint i = 0; i < calls->len; i++) {
		struct rig_call *call = g_ptr_array_index(calls, i);

		whole += call->status == 200 && call->whole;
		rig_call_free(call);
	}
	g_ptr_array_free(calls, TRUE);
	most = count_window(engines);
	rig_note(&rig,
		 "%d requests, %d answered 200; at most %u ran in %d ms; the "
		 "rule allows %.0f",
		 BATCH * GATEWAYS, whole, most, WINDOW_MS, limit);
	rig_note(&rig, "rule %s", most > limit ? "broken" : "held");
	for (int i = 0; i < ENGINES; i++)
		engine_destroy(engines[i]);
	rig_close(&rig);
	g_free(tenant);
	return most > limit ? 1 : 0;
}
