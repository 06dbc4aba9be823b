/*
 * Answers of the store to a record that is written. Only a whole answer with a
 * status that means something ends the write; after any other the record is
 * written again.
 */
#include <signal.h>
#include "adapter.h"
#include "script.h"

enum {
	WAIT_MAX_MS = 5000, /* for one case */
	TURNS = 20,	    /* of the event loop, in which nothing happens */
};

#define OK200	"HTTP/1.1 200 OK\r\n"
#define LENGTH5 "Content-Length: 5\r\n\r\nhello"

typedef struct stored_case {
	const char *name;
	const char *answer;
	script_then_t then;
	bool final;
} stored_case_t;

static const stored_case_t cases[] = {
	{ "whole by its length", OK200 LENGTH5, SCRIPT_KEEP, true },
	{ "whole, then reset", OK200 LENGTH5, SCRIPT_RESET, true },
	{ "no length, closed in order", OK200 "\r\nhello", SCRIPT_CLOSE, true },
	{ "no length, reset", OK200 "\r\nhel", SCRIPT_RESET, false },
	{ "head alone, reset", OK200 "\r\n", SCRIPT_RESET, false },
	{ "shorter than its length", OK200 "Content-Length: 9\r\n\r\nhello",
	  SCRIPT_CLOSE, false },
	{ "last chunk missing",
	  OK200 "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	  SCRIPT_CLOSE, false },
	{ "status 000", "HTTP/1.1 000 OK\r\n" LENGTH5, SCRIPT_KEEP, false },
	{ "status 099", "HTTP/1.1 099 OK\r\n" LENGTH5, SCRIPT_KEEP, false },
	{ "status 0200", "HTTP/1.1 0200 OK\r\n" LENGTH5, SCRIPT_KEEP, false },
	{ "status 600", "HTTP/1.1 600 OK\r\n" LENGTH5, SCRIPT_KEEP, false },
};

typedef struct result {
	unsigned int done;
	append_result_t how;
} result_t;

static void on_done(void *ctx, const char *topic, const char *key,
		    append_result_t how)
{
	result_t *r = ctx;

	(void)topic;
	(void)key;
	r->done++;
	r->how = how;
}

static const append_ops_t ops = { on_done };

/* Runs the loop until the record is written, and some turns more. */
static void run(uv_loop_t *loop, append_t *a, const result_t *r)
{
	ms_t until = clock_now() + WAIT_MAX_MS;

	for (int left = TURNS; left > 0 && clock_now() < until;) {
		append_tick(a, clock_now());
		uv_run(loop, UV_RUN_NOWAIT);
		g_usleep(1000);
		left -= r->done > 0;
	}
}

START_TEST(test_answer)
{
	const stored_case_t *c = &cases[_i];
	const script_step_t steps[] = {
		{ c->answer, NULL, c->then },
		{ OK200 LENGTH5, NULL, SCRIPT_KEEP },
	};
	counters_t *counters = counters_new();
	store_link_t store = { 0 };
	result_t r = { 0 };
	append_t *a;
	uv_loop_t loop;
	script_t s;

	uv_loop_init(&loop);
	script_open(&s, &loop, steps, G_N_ELEMENTS(steps));
	store.addr = s.at;
	reach_init(&store.reach);
	a = append_new(&loop, &store, &ops, &r, counters);
	append_put(a, "topic", "key", "value", NULL);
	run(&loop, a, &r);
	ck_assert_msg(r.done == 1, "%s: ended %u times", c->name, r.done);
	ck_assert_int_eq(r.how, APPEND_WRITTEN);
	ck_assert_msg(s.nrequests == (c->final ? 1 : 2),
		      "%s: written %zu times", c->name, s.nrequests);
	append_free(a);
	script_close(&s);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	script_free(&s);
	counters_free(counters);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("stored");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_answer, 0, G_N_ELEMENTS(cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
