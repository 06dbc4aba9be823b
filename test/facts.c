/* Grow-only registers merged by maximum. */
#include <check.h>
#include <string.h>
#include "move/fns.h"

typedef struct raise_case {
	const char *name;
	const char *key;
	uint64_t value;
	bool changed;
	uint64_t after;
} raise_case_t;

/* Applied in order to one set of registers. */
static const raise_case_t raises[] = {
	{ "zero is no change", "a", 0, false, 0 },
	{ "a new register", "a", 5, true, 5 },
	{ "the same value", "a", 5, false, 5 },
	{ "a smaller value", "a", 4, false, 5 },
	{ "a larger value", "a", 6, true, 6 },
	{ "another register", "ab", 1, true, 1 },
	{ "the largest value", "a", UINT64_MAX, true, UINT64_MAX },
};

START_TEST(raise_keeps_the_maximum)
{
	facts_t *f = facts_new();

	for (size_t i = 0; i < G_N_ELEMENTS(raises); i++) {
		const raise_case_t *c = &raises[i];

		ck_assert_msg(facts_raise(f, c->key, c->value) == c->changed,
			      "%s", c->name);
		ck_assert_msg(facts_get(f, c->key) == c->after, "%s", c->name);
	}
	facts_free(f);
}
END_TEST

START_TEST(merge_ignores_bad_keys)
{
	facts_t *f = facts_new();
	char longer[600];

	memset(longer, 'x', sizeof(longer));
	ck_assert(!facts_merge(f, (str_t){ "", 0 }, 1));
	ck_assert(!facts_merge(f, (str_t){ "a\0b", 3 }, 1));
	ck_assert(!facts_merge(f, (str_t){ longer, sizeof(longer) }, 1));
	ck_assert(facts_merge(f, (str_t){ "abc", 2 }, 1));
	ck_assert_uint_eq(facts_get(f, "ab"), 1);
	facts_free(f);
}
END_TEST

START_TEST(sum_and_drop_by_prefix)
{
	facts_t *f = facts_new();

	facts_raise(f, "ev/1/a", 2);
	facts_raise(f, "ev/1/b", 3);
	facts_raise(f, "ev/12/a", 5);
	ck_assert_uint_eq(facts_sum(f, "ev/1/"), 5);
	ck_assert_uint_eq(facts_sum(f, "ev/"), 10);
	ck_assert_uint_eq(facts_drop(f, "ev/1/"), 2);
	ck_assert_uint_eq(facts_len(f), 1);
	ck_assert_uint_eq(facts_get(f, "ev/1/a"), 0);
	facts_free(f);
}
END_TEST

START_TEST(since_returns_each_change_once)
{
	facts_t *f = facts_new();
	fact_kv_t kv[2];
	uint64_t next;

	facts_raise(f, "a", 1);
	facts_raise(f, "b", 1);
	facts_raise(f, "c", 1);
	ck_assert_uint_eq(facts_since(f, 0, kv, 2, &next), 2);
	ck_assert(str_eq(kv[0].key, str_of("a")));
	ck_assert_uint_eq(facts_since(f, next, kv, 2, &next), 1);
	ck_assert(str_eq(kv[0].key, str_of("c")));
	facts_raise(f, "a", 2);
	facts_raise(f, "b", 1);
	ck_assert_uint_eq(facts_since(f, next, kv, 2, &next), 1);
	ck_assert(str_eq(kv[0].key, str_of("a")));
	ck_assert_uint_eq(kv[0].value, 2);
	ck_assert_uint_eq(facts_since(f, next, kv, 2, &next), 0);
	facts_free(f);
}
END_TEST

START_TEST(number_of_registers_is_bounded)
{
	facts_t *f = facts_new();
	char key[32];

	for (int i = 0; i < 70000; i++) {
		g_snprintf(key, sizeof(key), "%d", i);
		facts_raise(f, key, 1);
	}
	ck_assert_uint_eq(facts_len(f), 65536);
	ck_assert(facts_raise(f, "0", 2));
	facts_free(f);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("facts");
	TCase *t = tcase_create("facts");
	SRunner *sr;
	int failed;

	tcase_add_test(t, raise_keeps_the_maximum);
	tcase_add_test(t, merge_ignores_bad_keys);
	tcase_add_test(t, sum_and_drop_by_prefix);
	tcase_add_test(t, since_returns_each_change_once);
	tcase_add_test(t, number_of_registers_is_bounded);
	suite_add_tcase(suite, t);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
