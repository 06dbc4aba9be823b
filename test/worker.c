/* Jobs in a thread: the loop goes on, results come in order, none after a
 * close. */
#include <check.h>
#include "net/fns.h"

enum {
	JOBS = 5,
	JOBS_BEFORE_CLOSE = 2,
};

/* One run: a job waits for the loop, which must not wait for the job. */
typedef struct run {
	uv_loop_t loop;
	uv_timer_t timer;
	worker_t *w;
	unsigned int ended;
	bool close_early;
} run_t;

/* Posted by the loop once for each job, waited for by the job. */
static uv_sem_t turn;
/* Inputs and results that were made and not freed. */
static gint living;

static void *make(unsigned int n)
{
	unsigned int *p = g_new(unsigned int, 1);

	g_atomic_int_inc(&living);
	*p = n;
	return p;
}

static void unmake(void *p)
{
	g_atomic_int_add(&living, -1);
	g_free(p);
}

static void *on_run(void *input)
{
	uv_sem_wait(&turn);
	return make(*(unsigned int *)input);
}

static void on_done(void *ctx, const void *input, void *output)
{
	run_t *r = ctx;

	ck_assert_uint_eq(*(const unsigned int *)input, r->ended);
	ck_assert_uint_eq(*(unsigned int *)output, r->ended);
	unmake(output);
	r->ended++;
	if (r->close_early && r->ended == JOBS_BEFORE_CLOSE)
		worker_close(r->w);
}

static const worker_ops_t ops = { on_run, on_done, unmake, unmake };

static void on_timer(uv_timer_t *t)
{
	run_t *r = t->data;

	for (int i = 0; i < JOBS; i++)
		uv_sem_post(&turn);
	if (!r->close_early)
		ck_assert_uint_eq(r->ended, 0);
	uv_close((uv_handle_t *)t, NULL);
}

/* Whether the worker is closed before all jobs have ended, and how many end. */
typedef struct worker_case {
	bool close_early;
	unsigned int ended;
} worker_case_t;

static const worker_case_t cases[] = {
	{ false, JOBS },
	{ true, JOBS_BEFORE_CLOSE },
};

START_TEST(test_jobs)
{
	run_t r = { .close_early = cases[_i].close_early };

	uv_sem_init(&turn, 0);
	uv_loop_init(&r.loop);
	uv_timer_init(&r.loop, &r.timer);
	r.timer.data = &r;
	uv_timer_start(&r.timer, on_timer, 1, 0);
	r.w = worker_new(&r.loop, &ops, &r);
	for (unsigned int i = 0; i < JOBS; i++)
		worker_put(r.w, make(i));
	ck_assert(worker_busy(r.w));
	uv_run(&r.loop, UV_RUN_DEFAULT);
	ck_assert_uint_eq(r.ended, cases[_i].ended);
	if (!r.close_early) {
		ck_assert(!worker_busy(r.w));
		worker_close(r.w);
	}
	ck_assert_int_eq(uv_loop_close(&r.loop), 0);
	ck_assert_int_eq(g_atomic_int_get(&living), 0);
	uv_sem_destroy(&turn);
}
END_TEST

START_TEST(test_close_while_running)
{
	run_t r = { 0 };

	uv_sem_init(&turn, 0);
	uv_loop_init(&r.loop);
	r.w = worker_new(&r.loop, &ops, &r);
	worker_put(r.w, make(0));
	worker_put(r.w, make(1));
	worker_close(r.w);
	uv_sem_post(&turn);
	uv_run(&r.loop, UV_RUN_DEFAULT);
	ck_assert_uint_eq(r.ended, 0);
	ck_assert_int_eq(uv_loop_close(&r.loop), 0);
	ck_assert_int_eq(g_atomic_int_get(&living), 0);
	uv_sem_destroy(&turn);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("worker");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_jobs, 0, G_N_ELEMENTS(cases));
	tcase_add_test(t, test_close_while_running);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
