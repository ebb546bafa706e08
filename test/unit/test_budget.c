/**
 * @file test_budget.c
 * @brief A program's budget over instances that die, pause and lose answers.
 *
 * Each run plays a looping program through several incarnations against one
 * row with versions. Writes may be lost before or after they took effect, or
 * take effect late. What callers get is summed up beside the row.
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
	INSTANCES = 4,
	BUDGET = 4576,
	MOST = 572,
	STEPS = 400,
	SEEDS = 3000,
	CAPS_MOST = 64, /* incarnations in one run */
};

/* The row: a cap for each incarnation, under a version. */
struct row {
	int64_t version;
	uint64_t caps[CAPS_MOST];
};

/* A write that was sent and has not taken effect. */
struct late {
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
	struct late late[INSTANCES];
	struct instance at[INSTANCES];
	int incarnations;
	uint64_t handed;
	int refused;
	int served;
};

static bool apply(struct run *run, int64_t version, int incarnation,
		  uint64_t cap)
{
	if (run->row.version != version)
		return false;
	run->row.version++;
	run->row.caps[incarnation] = cap;
	return true;
}

static void read_row(struct run *run, struct instance *at)
{
	at->budget.others = 0;
	for (int i = 0; i < CAPS_MOST; i++) {
		if (i != at->incarnation)
			at->budget.others += run->row.caps[i];
	}
	at->budget.cap = run->row.caps[at->incarnation];
	at->budget.known = true;
	at->version = run->row.version;
}

/* One write, which may be refused, lost either way, or late. */
static void write_cap(struct run *run, int i)
{
	struct instance *at = &run->at[i];
	uint64_t cap = budget_target_cap(&at->budget, BUDGET, MOST, MOST);
	uint64_t fate = rng_below(&run->rng, 10);

	if (cap <= at->budget.cap)
		return;
	if (fate == 0)
		return;
	if (fate == 1) {
		run->late[i] =
			(struct late){true, at->version, cap, at->incarnation};
		return;
	}
	if (!apply(run, at->version, at->incarnation, cap)) {
		read_row(run, at);
		return;
	}
	if (fate == 2)
		return;
	at->budget.cap = cap;
	at->budget.known = true;
	at->version = run->row.version;
}

static void turn(struct run *run, int i)
{
	struct instance *at = &run->at[i];
	uint64_t used = rng_below(&run->rng, MOST + 1);

	for (int tries = 0; tries < 6; tries++) {
		enum budget_decision verdict =
			budget_decide(&at->budget, BUDGET, MOST);

		if (verdict == BUDGET_ALLOW) {
			budget_reserve(&at->budget, MOST);
			budget_settle(&at->budget, MOST, used);
			run->handed += used;
			run->served++;
			return;
		}
		if (verdict == BUDGET_RAISE_CAP) {
			write_cap(run, i);
			continue;
		}
		read_row(run, at);
		if (budget_decide(&at->budget, BUDGET, MOST) ==
		    BUDGET_EXHAUSTED) {
			run->refused++;
			return;
		}
	}
}

static void restart(struct run *run, int i)
{
	if (run->incarnations == CAPS_MOST)
		return;
	memset(&run->at[i], 0, sizeof(run->at[i]));
	run->at[i].incarnation = run->incarnations++;
}

static void land(struct run *run, int i)
{
	struct late *late = &run->late[i];

	if (late->pending)
		apply(run, late->version, late->incarnation, late->cap);
	late->pending = false;
}

static void play(struct run *run, uint64_t seed)
{
	memset(run, 0, sizeof(*run));
	run->rng.state = seed;
	for (int i = 0; i < INSTANCES; i++)
		restart(run, i);
	for (int step = 0; step < STEPS; step++) {
		int i = (int)rng_below(&run->rng, INSTANCES);
		uint64_t what = rng_below(&run->rng, 12);

		if (what == 0)
			restart(run, i);
		else if (what <= 2)
			land(run, i);
		else
			turn(run, i);
	}
}

static void test_sum_stays_in_the_budget(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct run run;

		play(&run, seed);
		if (run.handed > BUDGET + MOST)
			print_error("seed %d\n", (int)seed);
		assert_true(run.handed <= BUDGET + MOST);
		assert_true(run.refused > 0);
	}
}

static void test_one_instance_uses_the_whole_budget(void **state)
{
	struct run run;
	int turns = 0;

	(void)state;
	memset(&run, 0, sizeof(run));
	run.incarnations = 1;
	for (;; turns++) {
		struct budget *budget = &run.at[0].budget;
		uint64_t cap;

		if (budget_decide(budget, BUDGET, MOST) == BUDGET_RAISE_CAP) {
			cap = budget_target_cap(budget, BUDGET, MOST, MOST);
			assert_true(apply(&run, run.at[0].version, 0, cap));
			budget->cap = cap;
			budget->known = true;
			run.at[0].version = run.row.version;
		}
		if (budget_decide(budget, BUDGET, MOST) != BUDGET_ALLOW)
			break;
		budget_reserve(budget, MOST);
		budget_settle(budget, MOST, MOST);
	}
	assert_int_equal(turns, BUDGET / MOST);
}

static void test_unread_row_is_not_trusted(void **state)
{
	struct budget budget = {0};

	(void)state;
	assert_int_equal(budget_decide(&budget, BUDGET, MOST),
			 BUDGET_RAISE_CAP);
	assert_false(budget_has_headroom(&budget, BUDGET, MOST));
	/* A turn that no budget holds needs no row to be refused. */
	assert_int_equal(budget_decide(&budget, MOST - 1, MOST),
			 BUDGET_EXHAUSTED);
	budget.known = true;
	assert_true(budget_has_headroom(&budget, BUDGET, MOST));
	budget.others = BUDGET - 2 * MOST;
	assert_false(budget_has_headroom(&budget, BUDGET, MOST));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_stays_in_the_budget),
		cmocka_unit_test(test_one_instance_uses_the_whole_budget),
		cmocka_unit_test(test_unread_row_is_not_trusted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
