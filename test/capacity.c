/* The capacity limit: how it follows the time between tokens. */
#include <check.h>
#include "side/priv.h"

typedef struct limit_case {
	const char *name;
	bool model;
	uint64_t used;	  /* of the capacity, all the time */
	uint64_t queued;  /* inside the engine */
	ms_t gap;	  /* between tokens; plain: response time */
	ms_t stall_after; /* no tokens after this time; 0 never */
	ms_t span;	  /* of the run */
	uint64_t min;	  /* of the limit, at the end */
	uint64_t max;
} limit_case_t;

static const limit_case_t cases[] = {
	{ "grows while gaps are short", true, 1000, 0, 20, 0, 5000, 1300,
	  10000 },
	{ "not beyond its maximum", true, 10000, 0, 20, 0, 60000, 10000,
	  10000 },
	{ "not when it is not in use", true, 500, 0, 20, 0, 5000, 1000, 1000 },
	{ "not while the engine itself queues", true, 1000, 3, 20, 0, 5000,
	  1000, 1000 },
	{ "stays between the bounds", true, 1000, 0, 60, 0, 5000, 1000, 1000 },
	{ "shrinks when gaps are long", true, 1000, 0, 140, 0, 8000, 50, 400 },
	{ "shrinks when no token comes at all", true, 1000, 0, 20, 1000, 9000,
	  100, 1000 },
	{ "plain: grows while answers are as fast", false, 4, 0, 10, 0, 5000, 6,
	  1024 },
};

static void nothing_sent(void *ctx, uint64_t inc, const msg_t *m)
{
	(void)ctx;
	(void)inc;
	(void)m;
}

static void nothing_dispatched(void *ctx, const side_dispatch_t *d)
{
	(void)ctx;
	(void)d;
}

static void nothing_cancelled(void *ctx, rid_t rid)
{
	(void)ctx;
	(void)rid;
}

static const side_ops_t ops = { .send = nothing_sent,
				.dispatch = nothing_dispatched,
				.cancel = nothing_cancelled };

/* Reports a token of each of ten streams every gap, as answer.c does. */
static void run_streams(side_t *s, const limit_case_t *c, job_t *j, ms_t now)
{
	if (c->stall_after && now > c->stall_after)
		return;
	j->a.last_at = now;
	if (c->model && now % c->gap == 0)
		capacity_add_tokens(&s->capacity, 10, 10 * c->gap);
	if (!c->model && now % c->gap == 0)
		capacity_add_answer(&s->capacity, c->gap);
}

START_TEST(limit)
{
	const limit_case_t *c = &cases[_i];
	side_conf_t conf = { .model = c->model,
			     .token_gap_target = 70,
			     .entry_timeout = 1000000,
			     .capacity_start = 1000,
			     .capacity_max = 10000 };
	counters_t *counters = counters_new();
	side_t *s = side_new(&conf, &ops, NULL, counters);
	job_t *j = g_new0(job_t, 1);

	j->state = JOB_RUNNING;
	j->work = c->used;
	j->deadline = 1000000;
	j->a.first_delay = 1;
	list_add_tail(&s->running, &j->link);
	list_init(&j->by_age);
	g_hash_table_insert(s->jobs, &j->rid, j);
	capacity_use(&s->capacity, c->used);
	side_set_load(s, 1, c->queued, 0);
	for (ms_t now = 1; now <= c->span; now++) {
		run_streams(s, c, j, now);
		if (now % 50 == 0)
			capacity_tick(s, now);
	}
	ck_assert_msg(s->capacity.limit >= c->min &&
			      s->capacity.limit <= c->max,
		      "%s: %lu", c->name, s->capacity.limit);
	side_free(s);
	counters_free(counters);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("capacity");
	TCase *t = tcase_create("capacity");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(t, limit, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(suite, t);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
