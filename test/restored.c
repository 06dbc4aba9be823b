/*
 * A store that comes back from a copy: its era rises, offsets are given out
 * again, and the last records are gone. A reader lists its topic anew,
 * whichever client has seen the era first; answers of an older era change
 * nothing; and positions of records only rise.
 */
#include <signal.h>
#include "adapter.h"
#include "script.h"

enum {
	STEPS_MAX = 4,
	WAIT_MAX_MS = 5000, /* for one case */
};

/* What a reader of a topic was told: keys, and marks of its listings. */
typedef struct told {
	GString *text;
	uint64_t last; /* position */
	bool rising;   /* in each listing and all reads after it */
	follow_t *follow;
} told_t;

static void on_record(void *ctx, str_t key, str_t value, uint64_t position)
{
	told_t *t = ctx;

	t->rising = t->rising && position > t->last;
	t->last = position;
	g_string_append_len(t->text, key.p, (gssize)key.n);
	g_string_append_c(t->text, ' ');
}

static void on_listing_begin(void *ctx)
{
	told_t *t = ctx;

	g_string_append(t->text,
			follow_restored(t->follow) ? "restored( " : "( ");
}

static void on_listing_end(void *ctx)
{
	g_string_append(((told_t *)ctx)->text, ") ");
}

static void on_reachable(void *ctx, bool yes)
{
}

static void on_range(void *ctx, uint64_t from, uint64_t to)
{
}

static const follow_ops_t follow_ops = { on_record, on_listing_begin,
					 on_listing_end, on_reachable,
					 on_range };

#define HEAD(era) "HTTP/1.1 200 OK\r\nStore-Era: " #era "\r\nContent-Length: "
#define GONE(era)                                                              \
	"HTTP/1.1 410 Gone\r\nStore-Era: " #era "\r\nContent-Length: "         \
	"0\r\n\r\n"
/* A page with one key, and one with two of which the second is newer. */
#define LIST_A(era)                                                            \
	HEAD(era)                                                              \
	"81\r\n\r\n{\"items\":[{\"key\":\"a\",\"value\":\"e30=\","             \
	"\"offset\":10}],\"has_more\":false,\"end\":11}     "
#define LIST_B(era)                                                            \
	HEAD(era)                                                              \
	"81\r\n\r\n{\"items\":[{\"key\":\"b\",\"value\":\"e30=\","             \
	"\"offset\":4}],\"has_more\":false,\"end\":5}       "

typedef struct restored_case {
	const char *name;
	const char *answers[STEPS_MAX]; /* NULL: none, the call waits */
	size_t calls;
	uint64_t seen; /* era that another client sees after all these */
	const char *told;
} restored_case_t;

static const restored_case_t cases[] = {
	{ "no era", { LIST_A(0) }, 2, 0, "( a ) " },
	{ "the first listing names one", { LIST_A(7) }, 2, 0, "( a ) " },
	{ "it rises at a read",
	  { LIST_A(1), GONE(2), LIST_B(2) },
	  4,
	  0,
	  "( a ) restored( b ) " },
	{ "the read would fit in the new one",
	  { LIST_A(1), HEAD(2) "16\r\n\r\n0123456789abcdef", LIST_B(2) },
	  4,
	  0,
	  "( a ) restored( b ) " },
	{ "another client has seen it", { LIST_A(1) }, 2, 2, "( a ) " },
	{ "an older answer changes nothing",
	  { LIST_A(1), GONE(2), LIST_A(1), LIST_B(2) },
	  5,
	  0,
	  "( a ) restored( b ) " },
};

typedef struct reader {
	uv_loop_t loop;
	script_t server;
	store_link_t store;
	counters_t *counters;
	told_t told;
} reader_t;

static void reader_open(reader_t *r, const script_step_t *steps, size_t nsteps)
{
	follow_conf_t conf = { .store = &r->store,
			       .topic = "keyed.t",
			       .retry_max = WAIT_MAX_MS };

	memset(r, 0, sizeof(*r));
	uv_loop_init(&r->loop);
	script_open(&r->server, &r->loop, steps, nsteps);
	r->store.addr = r->server.at;
	reach_init(&r->store.reach);
	r->counters = counters_new();
	r->told.text = g_string_new(NULL);
	r->told.rising = true;
	r->told.follow =
		follow_new(&r->loop, &conf, &follow_ops, &r->told, r->counters);
}

/* Runs the reader until it has begun so many calls. */
static void reader_run(reader_t *r, size_t calls)
{
	ms_t until = clock_now() + WAIT_MAX_MS;

	while (r->server.nrequests < calls && clock_now() < until) {
		follow_tick(r->told.follow, clock_now());
		uv_run(&r->loop, UV_RUN_NOWAIT);
	}
	ck_assert_uint_ge(r->server.nrequests, calls);
}

static void reader_close(reader_t *r)
{
	follow_free(r->told.follow);
	script_close(&r->server);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	script_free(&r->server);
	counters_free(r->counters);
	g_string_free(r->told.text, TRUE);
}

START_TEST(test_reader)
{
	const restored_case_t *c = &cases[_i];
	script_step_t steps[STEPS_MAX + 1] = { 0 };
	reader_t r;

	for (size_t i = 0; i < STEPS_MAX; i++)
		steps[i].answer = c->answers[i];
	reader_open(&r, steps, G_N_ELEMENTS(steps));
	reader_run(&r, c->calls);
	if (c->seen) {
		r.store.era = c->seen;
		reader_run(&r, c->calls + 1);
		ck_assert(g_strrstr(r.server.requests->str, "log-newest") >
			  g_strrstr(r.server.requests->str, "log-read"));
	}
	ck_assert_msg(strcmp(r.told.text->str, c->told) == 0, "%s: told %s",
		      c->name, r.told.text->str);
	ck_assert_msg(r.told.rising, "%s: a position fell", c->name);
	reader_close(&r);
}
END_TEST

/* A record that is written where the topic ends, in an era that is over. */
static append_result_t written_as;
static bool written;

static void on_done(void *ctx, const char *topic, const char *key,
		    append_result_t result)
{
	written = true;
	written_as = result;
}

typedef struct append_case {
	const char *name;
	uint64_t era; /* of the condition */
	append_result_t result;
	size_t calls;
} append_case_t;

static const append_case_t append_cases[] = {
	{ "this era", 2, APPEND_WRITTEN, 1 },
	{ "an older era", 1, APPEND_END_MOVED, 0 },
};

START_TEST(test_append)
{
	static const append_ops_t ops = { on_done };
	static const script_step_t steps[] = { { HEAD(2) "2\r\n\r\n{}", NULL,
						 SCRIPT_KEEP } };
	const append_case_t *c = &append_cases[_i];
	append_cond_t cond = { .end = era_position(c->era, 11) };
	counters_t *counters = counters_new();
	ms_t until = clock_now() + WAIT_MAX_MS;
	store_link_t store = { .era = 2 };
	script_t server;
	uv_loop_t loop;
	append_t *a;

	uv_loop_init(&loop);
	script_open(&server, &loop, steps, G_N_ELEMENTS(steps));
	store.addr = server.at;
	reach_init(&store.reach);
	a = append_new(&loop, &store, &ops, NULL, counters);
	written = false;
	append_put(a, "t", "k", "v", &cond);
	while (!written && clock_now() < until) {
		append_tick(a, clock_now());
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	ck_assert_msg(written && written_as == c->result, "%s: result %d",
		      c->name, written_as);
	ck_assert_uint_eq(server.nrequests, c->calls);
	if (c->calls > 0)
		ck_assert(strstr(server.requests->str, "&at=11 "));
	append_free(a);
	script_close(&server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	script_free(&server);
	counters_free(counters);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("restored");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, test_reader, 0, G_N_ELEMENTS(cases));
	tcase_add_loop_test(t, test_append, 0, G_N_ELEMENTS(append_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
