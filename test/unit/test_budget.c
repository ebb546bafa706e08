/**
 * @file test_budget.c
 * @brief A program's token budget across instances that crash and restart.
 *
 * Simulates a program that loops through several instances, which share one
 * versioned row. Instances restart as new incarnations. A write of the row may
 * be lost before or after it took effect, or take effect later. The tokens that
 * callers got are counted separately.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "decide/budget.h"
#include "decide/rng.h"

enum {
	INSTANCE_COUNT = 4,
	BUDGET_TOKENS = 4576,
	TURN_TOKENS_MAX = 572,
	STEPS_PER_RUN = 400,
	SEED_COUNT = 3000,
	INCARNATIONS_MAX = 64, /* in one run */
};

/* The program's row: a cap for each incarnation. */
struct row {
	int64_t version;
	uint64_t caps[INCARNATIONS_MAX];
};

/* A write that will take effect later. */
struct delayed_write {
	bool pending;
	int64_t version;
	uint64_t cap;
	int incarnation;
};

struct instance {
	int incarnation;
	struct budget budget;
	int64_t version;
};

struct run {
	struct rng rng;
	struct row row;
	struct delayed_write delayed[INSTANCE_COUNT];
	struct instance instances[INSTANCE_COUNT];
	int incarnations;
	uint64_t tokens_used; /* by all instances */
	int refused;
	int served;
};

static bool write_row(struct run *run, int64_t version, int incarnation,
		      uint64_t cap)
{
	if (run->row.version != version)
		return false;
	run->row.version++;
	run->row.caps[incarnation] = cap;
	return true;
}

static void read_row(struct run *run, struct instance *instance)
{
	instance->budget.others = 0;
	for (int i = 0; i < INCARNATIONS_MAX; i++) {
		if (i != instance->incarnation)
			instance->budget.others += run->row.caps[i];
	}
	instance->budget.cap = run->row.caps[instance->incarnation];
	instance->budget.known = true;
	instance->version = run->row.version;
}

/* Raises an instance's cap. The write conflicts if the row has changed; it may
 * also get lost (0), be delayed (1), or lose its response (2). */
static void write_cap(struct run *run, int i)
{
	struct instance *instance = &run->instances[i];
	uint64_t cap = budget_target_cap(&instance->budget, BUDGET_TOKENS,
					 TURN_TOKENS_MAX, TURN_TOKENS_MAX);
	uint64_t outcome = rng_below(&run->rng, 10);

	if (cap <= instance->budget.cap)
		return;
	if (outcome == 0)
		return;
	if (outcome == 1) {
		run->delayed[i] = (struct delayed_write){
			true, instance->version, cap, instance->incarnation};
		return;
	}
	if (!write_row(run, instance->version, instance->incarnation, cap)) {
		read_row(run, instance);
		return;
	}
	if (outcome == 2)
		return;
	instance->budget.cap = cap;
	instance->budget.known = true;
	instance->version = run->row.version;
}

static void run_turn(struct run *run, int i)
{
	struct instance *instance = &run->instances[i];
	uint64_t used = rng_below(&run->rng, TURN_TOKENS_MAX + 1);

	for (int attempt = 0; attempt < 6; attempt++) {
		enum budget_decision verdict = budget_decide(
			&instance->budget, BUDGET_TOKENS, TURN_TOKENS_MAX);

		if (verdict == BUDGET_ALLOW) {
			budget_reserve(&instance->budget, TURN_TOKENS_MAX);
			budget_settle(&instance->budget, TURN_TOKENS_MAX, used);
			run->tokens_used += used;
			run->served++;
			return;
		}
		if (verdict == BUDGET_RAISE_CAP) {
			write_cap(run, i);
			continue;
		}
		read_row(run, instance);
		if (budget_decide(&instance->budget, BUDGET_TOKENS,
				  TURN_TOKENS_MAX) == BUDGET_EXHAUSTED) {
			run->refused++;
			return;
		}
	}
}

static void restart_instance(struct run *run, int i)
{
	if (run->incarnations == INCARNATIONS_MAX)
		return;
	memset(&run->instances[i], 0, sizeof(run->instances[i]));
	run->instances[i].incarnation = run->incarnations++;
}

static void apply_delayed(struct run *run, int i)
{
	struct delayed_write *write = &run->delayed[i];

	if (write->pending)
		write_row(run, write->version, write->incarnation, write->cap);
	write->pending = false;
}

static void simulate(struct run *run, uint64_t seed)
{
	memset(run, 0, sizeof(*run));
	run->rng.state = seed;
	for (int i = 0; i < INSTANCE_COUNT; i++)
		restart_instance(run, i);
	for (int step = 0; step < STEPS_PER_RUN; step++) {
		int i = (int)rng_below(&run->rng, INSTANCE_COUNT);
		uint64_t action = rng_below(&run->rng, 12);

		if (action == 0)
			restart_instance(run, i);
		else if (action <= 2)
			apply_delayed(run, i);
		else
			run_turn(run, i);
	}
}

/* Guards against crashes, delayed writes and lost responses that let a program
 * exceed its budget by more than a turn, or that keep the end of the budget
 * from being noticed. */
static void test_tokens_stay_within_budget(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct run run;

		simulate(&run, seed);
		if (run.tokens_used > BUDGET_TOKENS + TURN_TOKENS_MAX)
			print_error("seed %d\n", (int)seed);
		assert_true(run.tokens_used <= BUDGET_TOKENS + TURN_TOKENS_MAX);
		assert_true(run.refused > 0);
	}
}

static void test_single_instance_can_use_full_budget(void **state)
{
	struct run run;
	int turns = 0;

	(void)state;
	memset(&run, 0, sizeof(run));
	run.incarnations = 1;
	for (;; turns++) {
		struct budget *budget = &run.instances[0].budget;
		uint64_t cap;

		if (budget_decide(budget, BUDGET_TOKENS, TURN_TOKENS_MAX) ==
		    BUDGET_RAISE_CAP) {
			cap = budget_target_cap(budget, BUDGET_TOKENS,
						TURN_TOKENS_MAX,
						TURN_TOKENS_MAX);
			assert_true(write_row(&run, run.instances[0].version, 0,
					      cap));
			budget->cap = cap;
			budget->known = true;
			run.instances[0].version = run.row.version;
		}
		if (budget_decide(budget, BUDGET_TOKENS, TURN_TOKENS_MAX) !=
		    BUDGET_ALLOW)
			break;
		budget_reserve(budget, TURN_TOKENS_MAX);
		budget_settle(budget, TURN_TOKENS_MAX, TURN_TOKENS_MAX);
	}
	assert_int_equal(turns, BUDGET_TOKENS / TURN_TOKENS_MAX);
}

/* An instance that has not read the row must not assume that it is empty. */
static void test_unread_row_allows_no_turn(void **state)
{
	struct budget budget = {0};

	(void)state;
	assert_int_equal(budget_decide(&budget, BUDGET_TOKENS, TURN_TOKENS_MAX),
			 BUDGET_RAISE_CAP);
	assert_false(
		budget_has_headroom(&budget, BUDGET_TOKENS, TURN_TOKENS_MAX));
	/* A turn larger than the budget is refused without reading the row. */
	assert_int_equal(
		budget_decide(&budget, TURN_TOKENS_MAX - 1, TURN_TOKENS_MAX),
		BUDGET_EXHAUSTED);
	budget.known = true;
	assert_true(
		budget_has_headroom(&budget, BUDGET_TOKENS, TURN_TOKENS_MAX));
	budget.others = BUDGET_TOKENS - 2 * TURN_TOKENS_MAX;
	assert_false(
		budget_has_headroom(&budget, BUDGET_TOKENS, TURN_TOKENS_MAX));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_tokens_stay_within_budget),
		cmocka_unit_test(test_single_instance_can_use_full_budget),
		cmocka_unit_test(test_unread_row_allows_no_turn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
