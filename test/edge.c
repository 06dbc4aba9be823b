/* Scheduling on an edge host: queueing, server selection, retries, ejection. */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include "world.h"

enum {
	REQUESTS = 400,
	WARMUP = 20, /* requests, two of them complete: enough samples of a
			server */
};

/* After a start the rate is unknown: queued requests are not refused. */
START_TEST(test_no_rate)
{
	request_t r[20];
	world_t w;

	world_init(&w, 1);
	for (int i = 0; i < 20; i++) {
		request_init(&r[i], &route, i);
		edge_submit(w.edge, &r[i], i);
	}
	ck_assert_uint_eq(w.refused, 0);
	ck_assert(edge_servers_missing(w.edge, 20));
	put_server(&w, "s", "10.0.0.1", 20, false, 1, 30);
	edge_tick(w.edge, 31);
	ck_assert_uint_eq(w.sent, 20);
	for (int i = 0; i < 20; i++)
		edge_abandon(w.edge, &r[i], 40);
	world_clear(&w);
}
END_TEST

/*
 * Short requests at a server that many hosts use: an outdated report that it
 * was full must not keep requests waiting.
 */
START_TEST(test_old_load)
{
	unsigned int late = 0;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 6, false, 1, 0);
	for (int i = 0; i < REQUESTS; i++) {
		ms_t now = 1 + (ms_t)i * 200;
		request_t r;

		request_init(&r, &route, now);
		edge_submit(w.edge, &r, now);
		for (; r.state == REQUEST_WAITING; now += 10)
			edge_tick(w.edge, now);
		late += now - r.arrived > 100;
		edge_server_load(w.edge, r.server, 6, 4, now + 30);
		edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, true,
				   now + 30);
	}
	ck_assert_uint_le(late, REQUESTS / 10);
	world_clear(&w);
}
END_TEST

/* What follows an attempt, by its result and the route's retry policy. */
typedef struct sent_case {
	const char *name;
	retry_policy_t repeat;
	attempt_result_t how;
	bool resumable;
	unsigned int attempts;
	double ratio; /* of retries; 0: no budget */
	next_action_t next;
} sent_case_t;

static const sent_case_t sent_cases[] = {
	{ "whole", RETRY_SAFE, ATTEMPT_ANSWERED, true, 2, 1, NEXT_ANSWER },
	{ "safe, failed", RETRY_SAFE, ATTEMPT_FAILED, true, 2, 1, NEXT_RETRY },
	{ "safe, lost", RETRY_SAFE, ATTEMPT_LOST, true, 2, 1, NEXT_RETRY },
	{ "safe, one attempt", RETRY_SAFE, ATTEMPT_LOST, true, 1, 1,
	  NEXT_ANSWER },
	{ "safe, no budget", RETRY_SAFE, ATTEMPT_LOST, true, 2, 0,
	  NEXT_ANSWER },
	{ "once, lost", RETRY_NEVER, ATTEMPT_LOST, false, 2, 1, NEXT_ANSWER },
	{ "once, failed", RETRY_NEVER, ATTEMPT_FAILED, false, 2, 1,
	  NEXT_ANSWER },
	{ "once, bad answer", RETRY_NEVER, ATTEMPT_BAD_ANSWER, false, 2, 1,
	  NEXT_ANSWER },
	{ "once, rejected", RETRY_NEVER, ATTEMPT_REJECTED, false, 1, 1,
	  NEXT_RETRY },
	{ "once, not sent", RETRY_NEVER, ATTEMPT_NOT_SENT, false, 1, 0,
	  NEXT_RETRY },
	{ "once, wrong server", RETRY_NEVER, ATTEMPT_WRONG_SERVER, false, 1, 1,
	  NEXT_RETRY },
	{ "rejected, no budget", RETRY_SAFE, ATTEMPT_REJECTED, true, 2, 0,
	  NEXT_ANSWER },
	{ "stream lost", RETRY_RESUME, ATTEMPT_LOST, true, 2, 1, NEXT_RETRY },
	{ "stream lost, not resumable", RETRY_RESUME, ATTEMPT_LOST, false, 2, 1,
	  NEXT_ANSWER },
};

START_TEST(test_sent)
{
	const sent_case_t *c = &sent_cases[_i];
	edge_route_t rt = route;
	request_t r;
	world_t w;

	world_init(&w, c->ratio);
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	put_server(&w, "t", "10.0.0.2", 1, false, 1, 0);
	rt.retry = c->repeat;
	rt.attempts = c->attempts;
	request_init(&r, &rt, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_uint_eq(w.sent, 1);
	ck_assert_msg(edge_attempt_ended(w.edge, &r, c->how, c->resumable,
					 10) == c->next,
		      "%s", c->name);
	if (c->next == NEXT_RETRY) {
		ck_assert_uint_eq(w.sent, 2);
		ck_assert_uint_ne(r.tried[0], r.tried[1]);
		edge_abandon(w.edge, &r, 20);
	}
	world_clear(&w);
}
END_TEST

/*
 * The retry budget: of 100 requests that are all rejected, 15 to 20 are
 * retried.
 */
START_TEST(test_budget)
{
	world_t w;
	unsigned int retries = 0;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 4, false, 1, 0);
	for (int i = 0; i < 100; i++) {
		request_t r;

		request_init(&r, &route, i);
		edge_submit(w.edge, &r, i);
		if (edge_attempt_ended(w.edge, &r, ATTEMPT_REJECTED, true, i) ==
		    NEXT_RETRY)
			retries++;
		edge_abandon(w.edge, &r, i);
	}
	ck_assert_uint_ge(retries, 15);
	ck_assert_uint_le(retries, 20);
	world_clear(&w);
}
END_TEST

/* Which of two queued requests is sent when a slot is free. */
typedef struct order_case {
	const char *name;
	unsigned int priority[2];
	int customer[2]; /* priority; -1: none */
	ms_t target[2];
	ms_t free_at;
	int first;
} order_case_t;

static const order_case_t order_cases[] = {
	{ "in order", { 0, 0 }, { -1, -1 }, { 500, 500 }, 10, 0 },
	{ "by the route's priority",
	  { 1, 0 },
	  { -1, -1 },
	  { 500, 500 },
	  10,
	  1 },
	{ "by the customer's priority first",
	  { 0, 2 },
	  { 1, 0 },
	  { 500, 500 },
	  10,
	  1 },
	{ "late ones after those in time",
	  { 0, 0 },
	  { -1, -1 },
	  { 100, 900 },
	  300,
	  1 },
};

START_TEST(test_order)
{
	const order_case_t *c = &order_cases[_i];
	edge_customer_t cust[2] = { { .name = "c", .priority = c->customer[0] },
				    { .name = "d",
				      .priority = c->customer[1] } };
	edge_route_t rt[2] = { route, route };
	request_t first;
	request_t r[2];
	world_t w;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	request_init(&first, &route, 0);
	edge_submit(w.edge, &first, 0);
	for (int i = 0; i < 2; i++) {
		rt[i].priority = c->priority[i];
		rt[i].first_event_target = c->target[i];
		request_init(&r[i], &rt[i], i);
		r[i].priority = edge_priority(
			&rt[i], c->customer[i] < 0 ? NULL : &cust[i]);
		edge_submit(w.edge, &r[i], i);
	}
	ck_assert_uint_eq(w.sent, 1);
	for (ms_t now = 10; now < c->free_at; now += 10) {
		edge_first_event(w.edge, &first, now);
		edge_tick(w.edge, now);
	}
	edge_attempt_ended(w.edge, &first, ATTEMPT_ANSWERED, true, c->free_at);
	ck_assert_msg(w.last == &r[c->first], "%s", c->name);
	edge_abandon(w.edge, &r[0], c->free_at);
	edge_abandon(w.edge, &r[1], c->free_at);
	world_clear(&w);
}
END_TEST

/*
 * A request that no server can serve is refused before its deadline, as not
 * run.
 */
START_TEST(test_expired)
{
	request_t r;
	world_t w;

	world_init(&w, 0.2);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	for (ms_t now = 0; now < 2 * MS && w.refused == 0; now += 10)
		edge_tick(w.edge, now);
	ck_assert_uint_eq(w.refused, 1);
	ck_assert_int_eq(w.last_code, CODE_EXPIRED_WAITING);
	ck_assert_int_gt(w.last_after, 0);
	world_clear(&w);
}
END_TEST

/* A stream that lost its server waits for the next one up to its deadline. */
START_TEST(test_begun_stream_waits)
{
	static const ms_t returns[] = { 4 * MS, 0 }; /* of a server; 0: never */
	edge_route_t rt = route;
	ms_t now = 3 * MS;
	request_t r;
	world_t w;

	world_init(&w, 1);
	rt.stream = true;
	rt.retry = RETRY_RESUME;
	rt.timeout = 8 * MS;
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	request_init(&r, &rt, 1);
	r.give_up_at = 2 * MS;
	edge_submit(w.edge, &r, 1);
	edge_first_event(w.edge, &r, 2);
	edge_server_gone(w.edge, "s", now);
	ck_assert_int_eq(
		edge_attempt_ended(w.edge, &r, ATTEMPT_LOST, true, now),
		NEXT_RETRY);
	for (; now < r.deadline; now += 10) {
		if (now == returns[_i])
			put_server(&w, "t", "10.0.0.2", 1, false, 1, now);
		edge_tick(w.edge, now);
		ck_assert_uint_eq(w.refused, 0);
	}
	edge_tick(w.edge, now);
	ck_assert_uint_eq(w.refused, returns[_i] == 0);
	ck_assert_uint_eq(w.sent, 1 + (returns[_i] > 0));
	if (returns[_i])
		edge_abandon(w.edge, &r, now);
	world_clear(&w);
}
END_TEST

typedef struct wait_case {
	bool stream;
	bool begun;
	ms_t until;
} wait_case_t;

static const wait_case_t wait_cases[] = {
	{ true, false, 2 * MS },
	{ true, true, 8 * MS },
	{ false, true, 2 * MS },
};

/* A keeper drops the slot request of a begun stream by the same time. */
START_TEST(test_waits_until)
{
	const wait_case_t *c = &wait_cases[_i];
	edge_route_t rt = route;
	request_t r;

	rt.stream = c->stream;
	rt.timeout = 8 * MS;
	request_init(&r, &rt, 0);
	r.give_up_at = 2 * MS;
	r.ever_responded = c->begun;
	ck_assert_int_eq(edge_waits_until(&r), c->until);
}
END_TEST

/*
 * A server that loses requests is ejected, and is used again once it recovers.
 */
START_TEST(test_ejection)
{
	unsigned int to_bad = 0;
	unsigned int late = 0;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "bad", "10.0.0.1", 9, false, 1, 0);
	put_server(&w, "good", "10.0.0.2", 9, false, 1, 0);
	put_server(&w, "fine", "10.0.0.3", 9, false, 1, 0);
	for (int i = 0; i < REQUESTS; i++) {
		ms_t now = (ms_t)i * 20;
		bool broken = now < 4 * MS;
		request_t r;
		bool bad;

		request_init(&r, &route, now);
		edge_tick(w.edge, now);
		edge_submit(w.edge, &r, now);
		bad = strcmp(r.server->id, "bad") == 0;
		to_bad += bad && broken;
		late += bad && !broken;
		if (!(bad && broken))
			edge_first_event(w.edge, &r, now + 5);
		edge_attempt_ended(w.edge, &r,
				   bad && broken ? ATTEMPT_LOST
						 : ATTEMPT_ANSWERED,
				   true, now + 5);
		if (r.state != REQUEST_ENDED)
			edge_abandon(w.edge, &r, now + 6);
	}
	ck_assert_uint_le(to_bad, 12);
	ck_assert_uint_ge(late, 20);
	world_clear(&w);
}
END_TEST

/* Long streams go to the fast server, short ones to any. */
START_TEST(test_long_streams)
{
	static const double ms_a_token[] = { 9, 2 }; /* slow, fast */
	edge_route_t rt = route;
	unsigned int to_slow = 0;
	world_t w;

	world_init(&w, 1);
	rt.stream = true;
	rt.retry = RETRY_NEVER;
	rt.timeout = 8 * MS;
	put_server(&w, "slow", "10.0.0.1", 9, false, 1, 0);
	put_server(&w, "fast", "10.0.0.2", 9, false, 1, 0);
	for (int i = 0; i < REQUESTS; i++) {
		ms_t now = 1 + (ms_t)i * 10 * MS;
		bool is_long = i >= REQUESTS / 2 && i % 2;
		request_t r;
		bool fast;

		request_init(&r, &rt, now);
		r.output = is_long ? 500 : 40;
		edge_submit(w.edge, &r, now);
		fast = strcmp(r.server->id, "fast") == 0;
		to_slow += is_long && !fast;
		edge_first_event(w.edge, &r, now + 50);
		edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, true,
				   now + 50 +
					   (ms_t)(r.output * ms_a_token[fast]));
	}
	ck_assert_uint_eq(to_slow, 0);
	world_clear(&w);
}
END_TEST

/*
 * A slow server that gets mostly long streams, all cut at their deadline: no
 * complete stream shows how slow it is, but the gaps between events do.
 */
START_TEST(test_cut_streams)
{
	static const ms_t first[] = { 10, 150 }; /* slow, fast */
	static const ms_t gap[] = { 90, 18 };	 /* of six tokens */
	edge_route_t rt = route;
	unsigned int to_slow = 0;
	world_t w;

	world_init(&w, 1);
	rt.stream = true;
	rt.retry = RETRY_NEVER;
	rt.timeout = 8 * MS;
	put_server(&w, "slow", "10.0.0.1", 9, false, 1, 0);
	put_server(&w, "fast", "10.0.0.2", 9, false, 1, 0);
	for (int i = 0; i < REQUESTS; i++) {
		ms_t now = 1 + (ms_t)i * 10 * MS;
		bool is_long = i % 10 != 0;
		request_t r;
		bool fast;

		request_init(&r, &rt, now);
		r.output = is_long ? 900 : 60;
		edge_submit(w.edge, &r, now);
		fast = strcmp(r.server->id, "fast") == 0;
		to_slow += i >= WARMUP && is_long && !fast;
		edge_first_event(w.edge, &r, now + first[fast]);
		for (int k = 1; k < r.output / 6; k++) {
			ms_t at = now + first[fast] + k * gap[fast];

			if (at < r.deadline)
				edge_event(w.edge, &r, at);
		}
		if (is_long && !fast)
			edge_abandon(w.edge, &r, r.deadline);
		else
			edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, false,
					   now + first[fast] +
						   (ms_t)r.output / 6 *
							   gap[fast]);
	}
	ck_assert_uint_eq(to_slow, 0);
	world_clear(&w);
}
END_TEST

/* With a connected keeper nothing is sent before a slot is granted. */
START_TEST(test_slot_request)
{
	rid_t rid;
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 9, false, 1, 0);
	edge_keeper_state(w.edge, "10.0.0.1", 42);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_uint_eq(w.sent, 0);
	ck_assert_uint_eq(w.slot_requests, 1);
	rid = r.rid;
	ck_assert(!edge_slot_granted(w.edge, 43, rid, 1));
	ck_assert(edge_slot_granted(w.edge, 42, rid, 1));
	ck_assert_uint_eq(w.sent, 1);
	ck_assert(!edge_slot_granted(w.edge, 42, rid, 2));
	edge_attempt_ended(w.edge, &r, ATTEMPT_ANSWERED, true, 3);
	ck_assert_uint_eq(w.released, 1);
	request_init(&r, &route, 4);
	edge_submit(w.edge, &r, 4);
	ck_assert_uint_eq(w.sent, 1);
	edge_keeper_state(w.edge, "10.0.0.1", 0);
	edge_tick(w.edge, 5);
	ck_assert_uint_eq(w.sent, 2);
	edge_abandon(w.edge, &r, 6);
	world_clear(&w);
}
END_TEST

/* Which keeper a server gets, with or without one on its own host. */
typedef struct keeper_case {
	const char *name;
	bool is_model;
	uint64_t own;	/* incarnation of the one on its host; 0: none */
	bool elsewhere; /* two keepers on other hosts are connected */
	bool requested;
} keeper_case_t;

static const keeper_case_t keeper_cases[] = {
	{ "a model server with its own", true, 42, true, true },
	{ "a model server without", true, 0, true, false },
	{ "a plain server", false, 0, true, true },
	{ "a plain server, no keeper connected", false, 0, false, false },
};

static void set_config(world_t *w, bool is_model)
{
	desired_t *d = desired_new(1);
	edge_service_t *s = g_new0(edge_service_t, 1);

	s->name = g_strdup(svc);
	s->is_model = is_model;
	g_ptr_array_add(d->services, s);
	ck_assert(edge_configure(w->edge, d));
}

START_TEST(test_keeper)
{
	const keeper_case_t *c = &keeper_cases[_i];
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 9, false, 1, 0);
	set_config(&w, c->is_model);
	if (c->own)
		edge_keeper_state(w.edge, "10.0.0.1", c->own);
	if (c->elsewhere) {
		edge_keeper_state(w.edge, "10.0.0.2", 2);
		edge_keeper_state(w.edge, "10.0.0.3", 3);
	}
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_msg(w.slot_requests == c->requested &&
			      w.sent == !c->requested,
		      "%s", c->name);
	edge_keeper_state(w.edge, "10.0.0.2", 0);
	edge_keeper_state(w.edge, "10.0.0.3", 0);
	edge_tick(w.edge, 5);
	ck_assert_msg(w.sent == (c->own == 0), "%s: alone", c->name);
	edge_abandon(w.edge, &r, 6);
	world_clear(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("edge");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_sent, 0, G_N_ELEMENTS(sent_cases));
	tcase_add_test(t, test_no_rate);
	tcase_add_test(t, test_old_load);
	tcase_add_test(t, test_budget);
	tcase_add_loop_test(t, test_order, 0, G_N_ELEMENTS(order_cases));
	tcase_add_test(t, test_expired);
	tcase_add_loop_test(t, test_begun_stream_waits, 0, 2);
	tcase_add_loop_test(t, test_waits_until, 0, G_N_ELEMENTS(wait_cases));
	tcase_add_test(t, test_ejection);
	tcase_add_test(t, test_long_streams);
	tcase_add_test(t, test_cut_streams);
	tcase_add_test(t, test_slot_request);
	tcase_add_loop_test(t, test_keeper, 0, G_N_ELEMENTS(keeper_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
