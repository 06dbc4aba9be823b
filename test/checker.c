/* The checker must flag each kind of broken history, and no sound one. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include "standin/lib/fns.h"

typedef struct history_case {
	const char *name;
	const char *lines;
	const char *broken; /* the invariant, NULL for a sound history */
	size_t histories;   /* that this invariant looked at */
} history_case_t;

static const history_case_t cases[] = {
	{ "sound",
	  "dispatch t=10 id=a-1 version=v1 key=- server=s1\n"
	  "dispatch t=12 id=a-2 version=v1 key=k1 server=s1\n"
	  "request n=1 id=a-1 outcome=answered status=200 whole=1 valid=1\n"
	  "request n=2 id=a-2 outcome=unknown status=502 whole=1 server=s9\n"
	  "crash t=11 name=s9\n"
	  "request n=3 id=a-3 outcome=not-run status=503 code=206 tier=3\n"
	  "offset t=1 process=e1 value=3\noffset t=2 process=e1 value=4\n"
	  "offset t=3 process=e2 value=2\n",
	  NULL, 0 },
	{ "dispatched twice at two servers",
	  "dispatch t=10 id=a-1 server=s1\ndispatch t=90 id=a-1 server=s2\n",
	  "dispatch-once", 1 },
	{ "answer cut, nothing crashed",
	  "request n=1 id=a-1 outcome=answered status=200 whole=0 server=s1\n",
	  "cut-has-cause", 1 },
	{ "answer cut, another server crashed",
	  "crash t=5 name=s2\n"
	  "request n=1 id=a-1 outcome=answered status=200 whole=0 server=s1\n",
	  "cut-has-cause", 1 },
	{ "outcome unknown, nothing crashed",
	  "request n=1 id=a-1 outcome=unknown status=502 whole=1 server=s1\n",
	  "cut-has-cause", 1 },
	{ "no answer at all, another entry crashed",
	  "crash t=5 entry=8001\n"
	  "request n=1 id=- outcome=none status=0 whole=0 entry=8000\n",
	  "cut-has-cause", 1 },
	{ "answer that says unknown looks whole with status 200",
	  "crash t=5 name=s1\n"
	  "request n=1 id=a-1 outcome=unknown status=200 whole=1 server=s1\n",
	  "own-whole-answer", 1 },
	{ "answer of another request",
	  "request n=1 id=a-1 outcome=answered status=200 whole=1 valid=0\n",
	  "own-whole-answer", 1 },
	{ "cut answer of a crashed entry",
	  "crash t=5 entry=8000\n"
	  "request n=1 id=a-1 outcome=answered status=200 whole=0 entry=8000\n",
	  NULL, 0 },
	{ "not-run, yet dispatched",
	  "dispatch t=10 id=a-1\nrequest n=1 id=a-1 outcome=not-run\n",
	  "not-run-true", 1 },
	{ "key run twice under two ids",
	  "dispatch t=10 id=a-1 key=k1\ndispatch t=11 id=b-7 key=k1\n",
	  "key-once", 1 },
	{ "higher tier shed, lower waiting one runs",
	  "request n=1 id=a-1 service=m tier=0 outcome=not-run code=206 "
	  "start=0 end=100\n"
	  "request n=2 id=a-2 service=m tier=3 outcome=answered whole=1 "
	  "start=50 end=9000\n"
	  "dispatch t=5000 id=a-2\n",
	  "tier-order", 1 },
	{ "the lower one was granted before",
	  "request n=1 id=a-1 service=m tier=0 outcome=not-run code=206 "
	  "start=0 end=100\n"
	  "request n=2 id=a-2 service=m tier=3 outcome=answered whole=1 "
	  "start=50 end=9000\n"
	  "dispatch t=150 id=a-2\n",
	  NULL, 0 },
	{ "the lower one came after",
	  "request n=1 id=a-1 service=m tier=0 outcome=not-run code=206 "
	  "start=0 end=100\n"
	  "request n=2 id=a-2 service=m tier=3 outcome=answered whole=1 "
	  "start=200 end=9000\n"
	  "dispatch t=5000 id=a-2\n",
	  NULL, 0 },
	{ "another service's lower tier",
	  "request n=1 id=a-1 service=m tier=0 outcome=not-run code=206 "
	  "start=0 end=100\n"
	  "request n=2 id=a-2 service=p tier=3 outcome=answered whole=1 "
	  "start=50 end=9000\n"
	  "dispatch t=5000 id=a-2\n",
	  NULL, 0 },
	{ "version served after it was found bad",
	  "bad t=100 version=v2\ndispatch t=9000 id=a-1 version=v2\n",
	  "bad-version-stops", 1 },
	{ "offset goes back",
	  "offset t=2 process=e1 value=3\noffset t=1 process=e1 value=4\n",
	  "offset-forward", 2 },
	{ "leaving server gets work",
	  "leaving t=100 server=s1\ndispatch t=90000 id=a-1 server=s1\n",
	  "leaving-idle", 1 },
};

/* Checks one history: just the named invariant is violated. */
static void check_case(const history_case_t *c)
{
	verdict_t v[INVARIANT_COUNT];
	history_t *h = history_new();
	char **lines = g_strsplit(c->lines, "\n", -1);
	for (char **p = lines; *p != NULL; p++)
		history_add(h, *p);
	invariants_check(h, v);
	for (size_t i = 0; i < INVARIANT_COUNT; i++) {
		bool broken = g_strcmp0(v[i].name, c->broken) == 0;
		ck_assert_msg((v[i].violations > 0) == broken, "%s: %s: %zu",
			      c->name, v[i].name, v[i].violations);
		if (broken)
			ck_assert_uint_eq(v[i].histories, c->histories);
	}
	verdicts_clear(v);
	g_strfreev(lines);
	history_free(h);
}

START_TEST(test_histories)
{
	check_case(&cases[_i]);
}
END_TEST

typedef struct answer_case {
	const char *name;
	const char *replace; /* in the whole answer, NULL for nothing */
	const char *with;
	const char *marker;
	bool valid;
} answer_case_t;

static const answer_case_t answers[] = {
	{ "whole", NULL, NULL, "r-1", true },
	{ "another's", NULL, NULL, "r-2", false },
	{ "marker is only the start", NULL, NULL, "r-", false },
	{ "token lost", " 2", "", "r-1", false },
	{ "token twice", " 2", " 2 2", "r-1", false },
	{ "tokens swapped", " 1 2", " 2 1", "r-1", false },
	{ "end lost", " end=5:", "", "r-1", false },
	{ "count wrong", "end=5:", "end=6:", "r-1", false },
};

START_TEST(test_answers)
{
	const answer_case_t *c = &answers[_i];
	GString *text = g_string_new(NULL);
	for (unsigned int i = 0; i < 5; i++)
		g_string_free(answer_token("r-1", i, 5, text), TRUE);
	if (c->replace != NULL)
		ck_assert(g_string_replace(text, c->replace, c->with, 1) == 1);
	ck_assert_msg(answer_valid(text->str, c->marker) == c->valid, "%s: %s",
		      c->name, text->str);
	g_string_free(text, TRUE);
}
END_TEST

/* Runs all cases. */
int main(void)
{
	Suite *s = suite_create("checker");
	TCase *t = tcase_create("cases");
	tcase_add_loop_test(t, test_histories, 0, G_N_ELEMENTS(cases));
	tcase_add_loop_test(t, test_answers, 0, G_N_ELEMENTS(answers));
	suite_add_tcase(s, t);
	SRunner *r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	int failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
