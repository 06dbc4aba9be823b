/* Servers that fall silent in the middle of requests and go on. */
#include <check.h>
#include <string.h>
#include "world.h"

enum {
	SILENCE_MS = 1200,
	TICK_MS = 10,
};

/* A server that falls silent in the middle of a request and goes on. */
typedef struct silence_case {
	const char *name;
	retry_policy_t retry;
	bool begun; /* silent between events, else before the first one */
	bool resumable;
	unsigned int attempts;
	double ratio;	     /* of retries; 0: no budget */
	unsigned int others; /* further servers */
	bool others_full;    /* they have no free slot */
	unsigned int sent;   /* attempts */
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ "plain, may be repeated", RETRY_SAFE, false, false, 2, 1, 1, false,
	  2 },
	{ "plain, no budget", RETRY_SAFE, false, false, 2, 0, 1, false, 1 },
	{ "plain, no other server", RETRY_SAFE, false, false, 2, 1, 0, false,
	  1 },
	{ "plain, others full", RETRY_SAFE, false, false, 2, 1, 1, true, 1 },
	{ "plain, last attempt", RETRY_SAFE, false, false, 1, 1, 1, false, 1 },
	{ "plain, once", RETRY_NEVER, false, false, 2, 1, 1, false, 1 },
	{ "stream, before its first event", RETRY_RESUME, false, true, 2, 1, 1,
	  false, 2 },
	{ "stream, before its first event, no budget", RETRY_RESUME, false,
	  true, 2, 0, 1, false, 1 },
	{ "stream, in the middle", RETRY_RESUME, true, true, 2, 1, 1, false,
	  2 },
	{ "stream, in the middle, no budget", RETRY_RESUME, true, true, 2, 0, 1,
	  false, 1 },
	{ "stream, in the middle, no other server", RETRY_RESUME, true, true, 2,
	  1, 0, false, 1 },
	{ "stream, in the middle, others full", RETRY_RESUME, true, true, 2, 1,
	  1, true, 1 },
	{ "stream, not resumable", RETRY_RESUME, true, false, 2, 1, 1, false,
	  1 },
};

/* Ends a stalled attempt; false: the caller gets no answer. */
static bool tick_silent(world_t *w, request_t *r, bool resumable, ms_t now)
{
	edge_tick(w->edge, now);
	return r->state != REQUEST_RUNNING || !edge_stalled(r, now) ||
	       !edge_give_up_silent(w->edge, r, resumable, now) ||
	       edge_attempt_ended(w->edge, r, ATTEMPT_SILENT, resumable, now) ==
		       NEXT_RETRY;
}

static void fill_others(world_t *w, request_t *fill, unsigned int n)
{
	for (unsigned int i = 0; i < n; i++) {
		request_init(&fill[i], &route, 0);
		fill[i].deadline = 4 * MS;
		edge_submit(w->edge, &fill[i], 0);
		ck_assert_int_eq(fill[i].state, REQUEST_RUNNING);
	}
}

START_TEST(test_silent_server_keeps_request)
{
	const silence_case_t *c = &silence_cases[_i];
	edge_route_t rt = route;
	request_t fill[1];
	request_t r;
	world_t w;
	ms_t now = 1;

	world_init(&w, c->ratio);
	rt.retry = c->retry;
	rt.attempts = c->attempts;
	rt.stream = c->retry == RETRY_RESUME;
	rt.gap_target = rt.stream ? 50 : 0;
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	request_init(&r, &rt, now);
	edge_submit(w.edge, &r, now);
	for (unsigned int i = 0; i < c->others; i++)
		put_server(&w, "t", "10.0.0.2", 1, false, 1, now);
	if (c->others_full)
		fill_others(&w, fill, c->others);
	if (c->begun)
		edge_first_event(w.edge, &r, ++now);
	w.sent = 1;
	for (ms_t end = now + SILENCE_MS; now < end; now += TICK_MS) {
		ck_assert_msg(tick_silent(&w, &r, c->resumable, now),
			      "%s: given up after %lld ms", c->name,
			      (long long)(now - r.arrived));
		if (c->others_full)
			edge_first_event(w.edge, &fill[0], now);
		if (w.sent == 2)
			edge_first_event(w.edge, &r, now);
	}
	ck_assert_int_eq(r.state, REQUEST_RUNNING);
	ck_assert_msg(w.sent == c->sent, "%s: %u attempts", c->name, w.sent);
	edge_first_event(w.edge, &r, now);
	ck_assert_int_eq(
		edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, true, now),
		NEXT_ANSWER);
	if (c->others_full)
		edge_abandon(w.edge, &fill[0], now);
	world_clear(&w);
}
END_TEST

/* The same with keepers: what becomes of a slot that is asked elsewhere. */
typedef struct kept_case {
	const char *name;
	double ratio;	    /* of retries; 0: no budget */
	ms_t granted_after; /* a slot elsewhere; 0: never */
	ms_t goes_on_after; /* the server; 0: at the end of the silence */
	bool taken;	    /* the slot */
} kept_case_t;

static const kept_case_t kept_cases[] = {
	{ "granted", 1, 900, 0, true },
	{ "granted late", 1, 1190, 0, true },
	{ "never granted", 1, 0, 0, false },
	{ "no budget left", 0, 900, 0, false },
	{ "granted after the server has gone on", 1, 900, 850, false },
};

enum {
	KEEPER_S = 11, /* incarnations */
	KEEPER_T = 12,
};

START_TEST(test_silent_server_keeps_request_until_grant)
{
	const kept_case_t *c = &kept_cases[_i];
	bool taken = false;
	request_t r;
	world_t w;

	world_init(&w, c->ratio);
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	edge_keeper_state(w.edge, "10.0.0.1", KEEPER_S);
	request_init(&r, &route, 1);
	edge_submit(w.edge, &r, 1);
	ck_assert(edge_slot_granted(w.edge, KEEPER_S, r.rid, 1));
	put_server(&w, "t", "10.0.0.2", 1, false, 1, 1);
	edge_keeper_state(w.edge, "10.0.0.2", KEEPER_T);
	for (w.now = 1; w.now <= SILENCE_MS; w.now += TICK_MS) {
		ck_assert_msg(tick_silent(&w, &r, false, w.now), "%s", c->name);
		if (c->goes_on_after && w.now >= c->goes_on_after &&
		    w.now < c->goes_on_after + TICK_MS)
			edge_first_event(w.edge, &r, w.now);
		if (c->granted_after && w.now >= c->granted_after &&
		    w.now < c->granted_after + TICK_MS)
			taken = edge_slot_granted(w.edge, KEEPER_T, r.rid,
						  w.now);
		ck_assert_msg(r.state == REQUEST_RUNNING, "%s: given up",
			      c->name);
	}
	ck_assert_msg(taken == c->taken, "%s", c->name);
	ck_assert_uint_eq(w.sent, taken ? 2 : 1);
	ck_assert_str_eq(r.server->id, taken ? "t" : "s");
	edge_first_event(w.edge, &r, w.now);
	ck_assert_int_eq(
		edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, true, w.now),
		NEXT_ANSWER);
	ck_assert_uint_eq(r.nasked, 0);
	world_clear(&w);
}
END_TEST

/* Requests given up on a silent server don't eject it once it goes on. */
START_TEST(test_silent_server_not_ejected)
{
	edge_route_t once = route;
	request_t r[3];
	request_t next;
	world_t w;
	ms_t now = 1;

	world_init(&w, 1);
	once.retry = RETRY_NEVER;
	put_server(&w, "s", "10.0.0.1", 3, false, 1, 0);
	for (int i = 0; i < 3; i++) {
		request_init(&r[i], i == 0 ? &once : &route, now);
		edge_submit(w.edge, &r[i], now);
	}
	put_server(&w, "t", "10.0.0.2", 2, false, 1, now);
	put_server(&w, "u", "10.0.0.3", 2, false, 1, now);
	for (ms_t end = now + SILENCE_MS; now < end; now += TICK_MS) {
		for (int i = 0; i < 3; i++) {
			ck_assert(tick_silent(&w, &r[i], false, now));
			if (strcmp(r[i].server->id, "s") != 0)
				edge_first_event(w.edge, &r[i], now);
		}
	}
	ck_assert_str_ne(r[1].server->id, "s");
	ck_assert_str_ne(r[2].server->id, "s");
	edge_first_event(w.edge, &r[0], now);
	edge_server_gone(w.edge, "t", now);
	edge_server_gone(w.edge, "u", now);
	request_init(&next, &route, now);
	edge_submit(w.edge, &next, now);
	ck_assert_int_eq(next.state, REQUEST_RUNNING);
	ck_assert_str_eq(next.server->id, "s");
	edge_abandon(w.edge, &next, now);
	for (int i = 0; i < 3; i++)
		edge_abandon(w.edge, &r[i], now);
	world_clear(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("silence");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_silent_server_keeps_request, 0,
			    G_N_ELEMENTS(silence_cases));
	tcase_add_loop_test(t, test_silent_server_keeps_request_until_grant, 0,
			    G_N_ELEMENTS(kept_cases));
	tcase_add_test(t, test_silent_server_not_ejected);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
