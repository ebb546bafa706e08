/** @file test_admission.c @brief Requests that wait for their quota. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "serve/admission.h"
#include "serve/clock.h"

struct world {
	struct event_base *base;
	struct qta *quota;
	struct adm *adm;
};

struct verdict {
	int calls;
	bool admitted;
	int64_t wait_ms;
};

static void on_decided(void *arg, bool admitted, int64_t wait_ms)
{
	struct verdict *verdict = arg;

	verdict->calls++;
	verdict->admitted = admitted;
	verdict->wait_ms = wait_ms;
}

static struct world set_up(void)
{
	struct world w;

	w.base = event_base_new();
	w.quota = qta_create("i", clock_boot_ms() - 10000);
	qta_instances(w.quota, 1);
	w.adm = adm_create(w.base, w.quota);
	return w;
}

static void tear_down(struct world *w)
{
	adm_destroy(w->adm);
	qta_destroy(w->quota);
	event_base_free(w->base);
}

static void run(struct world *w, int ms)
{
	struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

/* A caller either gets its verdict before adm_acquire() returns, and no wait,
 * or a wait, and its verdict later: never both. */
static void test_verdict_or_wait(void **state)
{
	struct world w = set_up();
	struct qta_limit limit = {1, 2, 0};
	struct verdict verdicts[8] = {0};
	struct adm_waiter *waits[8];

	(void)state;
	for (int i = 0; i < 8; i++) {
		waits[i] = adm_acquire(w.adm, "a", &limit, i % 2, 30,
				       on_decided, &verdicts[i]);
		assert_int_equal(verdicts[i].calls, waits[i] == NULL);
	}
	assert_null(waits[0]);
	assert_non_null(waits[7]);
	run(&w, 100);
	for (int i = 0; i < 8; i++)
		assert_int_equal(verdicts[i].calls, 1);
	assert_false(verdicts[7].admitted);
	assert_true(verdicts[7].wait_ms > 0);
	tear_down(&w);
}

static void test_early_request_waits_for_its_token(void **state)
{
	struct world w = set_up();
	struct qta_limit limit = {50, 1, 0};
	struct verdict first = {0};
	struct verdict second = {0};

	(void)state;
	assert_null(adm_acquire(w.adm, "a", &limit, false, 100, on_decided,
				&first));
	assert_non_null(adm_acquire(w.adm, "a", &limit, false, 100, on_decided,
				    &second));
	run(&w, 80);
	assert_true(first.admitted);
	assert_int_equal(second.calls, 1);
	assert_true(second.admitted);
	tear_down(&w);
}

/* Who can't have a token in time is told at once, not when its time is over. */
static void test_hopeless_request_is_refused_at_once(void **state)
{
	struct world w = set_up();
	struct qta_limit limit = {1, 1, 0};
	struct verdict first = {0};
	struct verdict second = {0};
	struct verdict third = {0};

	(void)state;
	adm_acquire(w.adm, "a", &limit, false, 500, on_decided, &first);
	adm_acquire(w.adm, "a", &limit, false, 500, on_decided, &second);
	adm_acquire(w.adm, "a", &limit, true, 500, on_decided, &third);
	run(&w, 50);
	assert_true(first.admitted);
	assert_int_equal(second.calls, 1);
	assert_false(second.admitted);
	assert_in_range(second.wait_ms, 900, 1100);
	assert_int_equal(third.calls, 1);
	assert_false(third.admitted);
	tear_down(&w);
}

static void test_cancelled_wait_gets_no_verdict(void **state)
{
	struct world w = set_up();
	struct qta_limit limit = {1, 1, 0};
	struct verdict first = {0};
	struct verdict second = {0};

	(void)state;
	assert_null(
		adm_acquire(w.adm, "a", &limit, false, 50, on_decided, &first));
	adm_cancel(adm_acquire(w.adm, "a", &limit, false, 50, on_decided,
			       &second));
	run(&w, 80);
	assert_int_equal(second.calls, 0);
	tear_down(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_verdict_or_wait),
		cmocka_unit_test(test_early_request_waits_for_its_token),
		cmocka_unit_test(test_hopeless_request_is_refused_at_once),
		cmocka_unit_test(test_cancelled_wait_gets_no_verdict),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
