/** @file test_admission.c @brief Requests that wait for a quota token. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "serve/admission.h"
#include "serve/clock.h"

struct fixture {
	struct event_base *base;
	struct quota *quota;
	struct adm *adm;
};

struct decision {
	int calls;
	bool admitted;
	enum adm_result result;
	int64_t wait_ms;
};

static void on_decided(void *arg, enum adm_result result, int64_t wait_ms)
{
	struct decision *decision = arg;

	decision->calls++;
	decision->admitted = result == ADM_ADMITTED;
	decision->result = result;
	decision->wait_ms = wait_ms;
}

static struct fixture set_up(void)
{
	struct fixture fx;

	fx.base = event_base_new();
	fx.quota = quota_create("i", clock_boot_ms() - 10000);
	quota_set_instances(fx.quota, 1);
	fx.adm = adm_create(fx.base, fx.quota);
	return fx;
}

static void tear_down(struct fixture *fx)
{
	adm_destroy(fx->adm);
	quota_destroy(fx->quota);
	event_base_free(fx->base);
}

static void run_loop(struct fixture *fx, int ms)
{
	struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(fx->base, &tv);
	event_base_dispatch(fx->base);
}

/* A request that does not wait is decided before adm_acquire() returns, one
 * that waits later; never both. */
static void test_decided_exactly_once(void **state)
{
	struct fixture fx = set_up();
	struct quota_limit limit = {.rate = 1, .burst = 2};
	struct decision decisions[8] = {0};
	struct adm_waiter *waits[8];

	(void)state;
	for (int i = 0; i < 8; i++) {
		waits[i] = adm_acquire(fx.adm, "a", &limit, i % 2, 30,
				       on_decided, &decisions[i]);
		assert_int_equal(decisions[i].calls, waits[i] == NULL);
	}
	assert_null(waits[0]);
	assert_non_null(waits[7]);
	run_loop(&fx, 100);
	for (int i = 0; i < 8; i++)
		assert_int_equal(decisions[i].calls, 1);
	assert_false(decisions[7].admitted);
	assert_true(decisions[7].wait_ms > 0);
	tear_down(&fx);
}

/* A request is admitted if a token becomes available within its time limit. */
static void test_request_waits_for_token(void **state)
{
	struct fixture fx = set_up();
	struct quota_limit limit = {.rate = 50, .burst = 1};
	struct decision first = {0};
	struct decision second = {0};

	(void)state;
	assert_null(adm_acquire(fx.adm, "a", &limit, false, 100, on_decided,
				&first));
	assert_non_null(adm_acquire(fx.adm, "a", &limit, false, 100, on_decided,
				    &second));
	run_loop(&fx, 80);
	assert_true(first.admitted);
	assert_int_equal(second.calls, 1);
	assert_true(second.admitted);
	tear_down(&fx);
}

/* A request that can't get a token within its time limit is refused
 * immediately, not when the time is over. */
static void test_refused_early_without_token_in_time(void **state)
{
	struct fixture fx = set_up();
	struct quota_limit limit = {.rate = 1, .burst = 1};
	struct decision first = {0};
	struct decision second = {0};
	struct decision third = {0};

	(void)state;
	adm_acquire(fx.adm, "a", &limit, false, 500, on_decided, &first);
	adm_acquire(fx.adm, "a", &limit, false, 500, on_decided, &second);
	adm_acquire(fx.adm, "a", &limit, true, 500, on_decided, &third);
	run_loop(&fx, 50);
	assert_true(first.admitted);
	assert_int_equal(second.calls, 1);
	assert_false(second.admitted);
	assert_in_range(second.wait_ms, 900, 1100);
	assert_int_equal(third.calls, 1);
	assert_false(third.admitted);
	tear_down(&fx);
}

/* In a large fleet the tokens are at the account's home. An instance without
 * contact refuses at once, and does not say that the limit is used up. */
static void test_no_contact_is_not_over_limit(void **state)
{
	struct fixture fx = set_up();
	struct quota_limit limit = {.rate = 1000, .burst = 1000};
	struct decision decision = {0};
	bool elsewhere = false;

	(void)state;
	quota_set_instances(fx.quota, 300);
	for (int i = 0; i < 299; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "j%d", i);
		quota_add_instance(fx.quota, id);
	}
	for (int i = 0; i < 100 && !elsewhere; i++) {
		char account[16];

		g_snprintf(account, sizeof(account), "a%d", i);
		elsewhere = quota_is_elsewhere(fx.quota, account, &limit);
		/* The share of this instance is used up first. */
		while (elsewhere &&
		       quota_take(fx.quota, account, &limit, false,
				  clock_boot_ms(), &decision.wait_ms)) {
		}
		if (elsewhere)
			adm_acquire(fx.adm, account, &limit, false, 100,
				    on_decided, &decision);
	}
	assert_true(elsewhere);
	run_loop(&fx, 10);
	assert_int_equal(decision.calls, 1);
	assert_int_equal(decision.result, ADM_NO_CONTACT);
	assert_in_range(decision.wait_ms, 1, 100);
	tear_down(&fx);
}

static void test_cancelled_wait_is_not_decided(void **state)
{
	struct fixture fx = set_up();
	struct quota_limit limit = {.rate = 1, .burst = 1};
	struct decision first = {0};
	struct decision second = {0};

	(void)state;
	assert_null(adm_acquire(fx.adm, "a", &limit, false, 50, on_decided,
				&first));
	adm_cancel(adm_acquire(fx.adm, "a", &limit, false, 50, on_decided,
			       &second));
	run_loop(&fx, 80);
	assert_int_equal(second.calls, 0);
	tear_down(&fx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decided_exactly_once),
		cmocka_unit_test(test_request_waits_for_token),
		cmocka_unit_test(test_refused_early_without_token_in_time),
		cmocka_unit_test(test_no_contact_is_not_over_limit),
		cmocka_unit_test(test_cancelled_wait_is_not_decided),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
