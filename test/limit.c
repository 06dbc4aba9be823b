/* Rate limits of customers over several entries. */
#include <check.h>
#include "entry/fns.h"

/* Each entry gets a request every millisecond for 10 s. */
typedef struct limit_case {
	const char *name;
	unsigned int entries;
	uint64_t requests_per_s;
	uint64_t tokens_per_s;
	uint64_t tokens;  /* of each request */
	unsigned int min; /* requests that pass */
	unsigned int max;
} limit_case_t;

static const limit_case_t cases[] = {
	{ "no limit", 1, 0, 0, 100, 10000, 10000 },
	{ "requests", 1, 50, 0, 100, 545, 551 },
	{ "requests over three entries", 3, 50, 0, 100, 540, 551 },
	{ "tokens", 1, 0, 2000, 100, 215, 221 },
	{ "tokens over three entries", 3, 0, 2000, 100, 215, 223 },
	{ "a request larger than the burst", 1, 0, 100, 500, 2, 4 },
	{ "fewer requests a second than entries", 4, 2, 0, 1, 20, 24 },
};

START_TEST(rate_is_kept)
{
	const limit_case_t *c = &cases[_i];
	unsigned int taken = 0;

	for (unsigned int e = 0; e < c->entries; e++) {
		limits_t *l = limits_new();
		ms_t retry;

		limits_set(l, "school", c->requests_per_s, c->tokens_per_s);
		limits_set_entries(l, c->entries);
		for (ms_t now = 0; now < 10000; now++)
			taken += limits_take(l, "school", c->tokens, now,
					     &retry) == CODE_OK;
		limits_free(l);
	}
	ck_assert_msg(taken >= c->min && taken <= c->max, "%s: %u", c->name,
		      taken);
}
END_TEST

START_TEST(retry_is_the_time_until_it_passes)
{
	limits_t *l = limits_new();
	ms_t now = 5;
	ms_t retry;

	limits_set(l, "school", 10, 0);
	for (int i = 0; i < 10; i++)
		ck_assert_int_eq(limits_take(l, "school", 1, now, &retry), 0);
	ck_assert_int_eq(limits_take(l, "school", 1, now, &retry),
			 CODE_OVER_LIMIT);
	ck_assert_int_eq(retry, 100);
	ck_assert_int_eq(limits_take(l, "other", 1, now, &retry), CODE_OK);
	ck_assert_int_eq(limits_take(l, "school", 1, now + 99, &retry),
			 CODE_OVER_LIMIT);
	ck_assert_int_eq(limits_take(l, "school", 1, now + 100, &retry),
			 CODE_OK);
	limits_free(l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("limit");
	TCase *t = tcase_create("limit");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, rate_is_kept, 0, G_N_ELEMENTS(cases));
	tcase_add_test(t, retry_is_the_time_until_it_passes);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
