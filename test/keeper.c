/* Granting the slots of one server: order, limits, hosts that disconnect. */
#include <check.h>
#include <string.h>
#include "keeper/fns.h"

enum {
	LOG_MAX = 64,
};

/* Requests that got a slot, in order. */
typedef struct log {
	uint64_t seq[LOG_MAX];
	unsigned int n;
} log_t;

static void on_grant(void *ctx, uint64_t host, rid_t rid)
{
	log_t *l = ctx;

	ck_assert_uint_eq(host, rid.inc);
	ck_assert_uint_lt(l->n, LOG_MAX);
	l->seq[l->n++] = rid.seq;
}

static const keeper_ops_t ops = { on_grant };

static void request(keeper_t *k, uint64_t seq, unsigned int priority,
		    ms_t in_time, ms_t now)
{
	keeper_request_t a = { .rid = { 1, seq },
			       .priority = priority,
			       .slots = 1,
			       .target = in_time,
			       .deadline = 2000 };

	keeper_request(k, 1, &a, now);
}

/* A step at a point in time: request or release a slot, or let time pass. */
typedef enum action {
	END,
	REQUEST,
	RELEASE,
	TICK,
	HOST_GONE,
	UNREACHABLE, /* the host could not reach the server */
} action_t;

typedef struct step {
	action_t action;
	ms_t at;
	uint64_t seq;
	unsigned int priority;
	ms_t in_time;
} step_t;

typedef struct order_case {
	const char *name;
	step_t steps[18];
	const char *granted; /* one digit a request */
	unsigned int overlap;
} order_case_t;

static const order_case_t orders[] = {
	{ "one slot",
	  { { REQUEST, 0, 1, 0, 100 }, { REQUEST, 0, 2, 0, 100 } },
	  "1",
	  0 },
	{ "one more than the slots",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 0, 2, 0, 100 },
	    { REQUEST, 0, 3, 0, 100 } },
	  "12",
	  1 },
	{ "in order",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 1, 2, 0, 100 },
	    { REQUEST, 2, 3, 0, 100 },
	    { RELEASE, 9, 1, 0, 0 },
	    { RELEASE, 9, 2, 0, 0 } },
	  "123",
	  0 },
	{ "high priority first",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 1, 2, 5, 100 },
	    { REQUEST, 2, 3, 0, 100 },
	    { RELEASE, 9, 1, 0, 0 } },
	  "13",
	  0 },
	{ "late after in time",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 1, 2, 0, 5 },
	    { REQUEST, 2, 3, 0, 100 },
	    { TICK, 20, 0, 0, 0 },
	    { RELEASE, 21, 1, 0, 0 } },
	  "13",
	  0 },
	{ "late after in time of the next priority",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 1, 2, 0, 5 },
	    { REQUEST, 2, 3, 1, 100 },
	    { TICK, 20, 0, 0, 0 },
	    { RELEASE, 21, 1, 0, 0 },
	    { RELEASE, 22, 3, 0, 0 } },
	  "132",
	  0 },
	{ "late before in time of a low priority",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 1, 2, 2, 100 },
	    { REQUEST, 2, 3, 0, 5 },
	    { TICK, 20, 0, 0, 0 },
	    { RELEASE, 21, 1, 0, 0 },
	    { RELEASE, 22, 3, 0, 0 } },
	  "132",
	  0 },
	{ "every eighth grant to a priority without one",
	  { { REQUEST, 0, 1, 0, 500 },
	    { REQUEST, 1, 2, 5, 500 },
	    { REQUEST, 2, 3, 0, 500 },
	    { REQUEST, 3, 4, 0, 500 },
	    { REQUEST, 4, 5, 0, 500 },
	    { REQUEST, 4, 6, 0, 500 },
	    { REQUEST, 4, 7, 0, 500 },
	    { REQUEST, 4, 8, 0, 500 },
	    { REQUEST, 4, 9, 0, 500 },
	    { RELEASE, 5, 1, 0, 0 },
	    { RELEASE, 6, 3, 0, 0 },
	    { RELEASE, 7, 4, 0, 0 },
	    { RELEASE, 8, 5, 0, 0 },
	    { RELEASE, 9, 6, 0, 0 },
	    { RELEASE, 10, 7, 0, 0 },
	    { RELEASE, 11, 8, 0, 0 } },
	  "13456782",
	  0 },
	{ "withdrawn",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 0, 2, 0, 100 },
	    { RELEASE, 1, 2, 0, 0 },
	    { RELEASE, 2, 1, 0, 0 } },
	  "1",
	  0 },
	{ "expired",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 0, 2, 0, 100 },
	    { TICK, 2500, 0, 0, 0 },
	    { RELEASE, 2600, 1, 0, 0 } },
	  "1",
	  0 },
	{ "a server that cannot be reached grants nothing, then one",
	  { { REQUEST, 0, 1, 0, 900 },
	    { REQUEST, 0, 2, 0, 900 },
	    { REQUEST, 0, 3, 0, 900 },
	    { REQUEST, 0, 4, 0, 900 },
	    { UNREACHABLE, 2, 1, 0, 0 },
	    { RELEASE, 3, 2, 0, 0 },
	    { TICK, 100, 0, 0, 0 },
	    { TICK, 300, 0, 0, 0 },
	    { TICK, 320, 0, 0, 0 } },
	  "13",
	  0 },
	{ "granting continues while others reach the server",
	  { { REQUEST, 0, 1, 0, 900 },
	    { REQUEST, 0, 2, 0, 900 },
	    { REQUEST, 0, 3, 0, 900 },
	    { REQUEST, 0, 4, 0, 900 },
	    { RELEASE, 50, 1, 0, 0 },
	    { UNREACHABLE, 60, 2, 0, 0 },
	    { RELEASE, 300, 3, 0, 0 } },
	  "1234",
	  0 },
	{ "a host that disconnects frees its slots",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 0, 2, 0, 100 },
	    { HOST_GONE, 1, 1, 0, 0 },
	    { REQUEST, 2, 3, 0, 100 } },
	  "13",
	  0 },
	{ "requested twice",
	  { { REQUEST, 0, 1, 0, 100 },
	    { REQUEST, 0, 1, 0, 100 },
	    { RELEASE, 1, 1, 0, 0 },
	    { REQUEST, 2, 2, 0, 100 } },
	  "12",
	  0 },
};

static void play(keeper_t *k, const step_t *s)
{
	switch (s->action) {
	case REQUEST:
		request(k, s->seq, s->priority, s->in_time, s->at);
		break;
	case RELEASE:
		keeper_release(k, (rid_t){ 1, s->seq }, s->at);
		break;
	case TICK:
		keeper_tick(k, s->at);
		break;
	case UNREACHABLE:
		keeper_unreachable(k, (rid_t){ 1, s->seq }, s->at);
		break;
	case HOST_GONE:
		keeper_host_gone(k, 1, s->at);
		break;
	case END:
		break;
	}
}

START_TEST(test_order)
{
	const order_case_t *c = &orders[_i];
	counters_t *counters = counters_new();
	log_t l = { 0 };
	keeper_t *k = keeper_new(&ops, &l, c->overlap, counters);
	char got[LOG_MAX + 1] = "";

	for (const step_t *s = c->steps; s->action != END; s++)
		play(k, s);
	for (unsigned int i = 0; i < l.n; i++)
		got[i] = (char)('0' + l.seq[i]);
	ck_assert_msg(strcmp(got, c->granted) == 0, "%s: %s, expected %s",
		      c->name, got, c->granted);
	keeper_free(k);
	counters_free(counters);
}
END_TEST

/* How many requests a server has at once, by how long they hold a slot. */
typedef struct hold_case {
	const char *name;
	ms_t hold_ms;
	unsigned int ended; /* requests that have ended before */
	unsigned int at_once;
} hold_case_t;

static const hold_case_t holds[] = {
	{ "short requests", 20, 30, 2 },
	{ "too few of them", 20, 10, 1 },
	{ "long requests", 300, 30, 1 },
};

START_TEST(test_short_holds)
{
	const hold_case_t *c = &holds[_i];
	counters_t *counters = counters_new();
	log_t l = { .n = 0 };
	keeper_t *k = keeper_new(&ops, &l, 0, counters);
	ms_t now = 0;

	for (uint64_t i = 0; i < c->ended; i++) {
		request(k, i, 0, 1000, now);
		now += c->hold_ms;
		keeper_release(k, (rid_t){ 1, i }, now);
	}
	l.n = 0;
	for (uint64_t i = 0; i < 4; i++)
		request(k, 100 + i, 0, 1000, now);
	ck_assert_msg(l.n == c->at_once, "%s: %u", c->name, l.n);
	keeper_free(k);
	counters_free(counters);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("keeper");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_order, 0, G_N_ELEMENTS(orders));
	tcase_add_loop_test(t, test_short_holds, 0, G_N_ELEMENTS(holds));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
