/* Test fixture: runs one test over a table of cases. */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>
#include "base/fns.h"

enum {
	SUITE_LIMIT_S = 60, /* for a case, where check forks */
};

/* Runs the test for each of n cases. Returns the exit code of the program. */
static inline int suite_run(const char *name, const TTest *test, int n)
{
	Suite *s = suite_create(name);
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(STDERR_FILENO, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, SUITE_LIMIT_S);
	tcase_add_loop_test(t, test, 0, n);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
