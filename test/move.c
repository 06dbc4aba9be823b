/* Version moves: the version picked, advancing stages, and how a move ends. */
#include <check.h>
#include <math.h>
#include <string.h>
#include "move/priv.h"

enum {
	FIRST = 4,
	VERSIONS = 4,
};

static version_t versions[VERSIONS] = {
	{ .service = "helper", .name = "v1" },
	{ .service = "helper", .name = "v2", .replaces = "v1" },
	{ .service = "helper", .name = "v3", .replaces = "v2", .by = 5000 },
	{ .service = "stock", .name = "s1" },
};

typedef struct rig {
	intent_t in;
	GPtrArray *results;
	facts_t *facts;
	moves_t *m;
	ms_t now;
	move_result_t last; /* passed to ended; strings are not valid */
	unsigned int ended;
	unsigned int bad_every; /* every n-th request to v2 fails; 0 none */
	ms_t slow;		/* added to v2's first token latency */
	const char *bad_server; /* v2 fails on this server; NULL none */
	const char *new_server; /* server of v2; NULL: the same as for v1 */
	bool first_elsewhere;	/* v2's FIRST requests ran well on another */
	uint64_t seq;
	unsigned int picked_new;
} rig_t;

static void on_ended(void *ctx, const move_result_t *r)
{
	rig_t *rig = ctx;

	rig->last = *r;
	rig->ended++;
}

static const moves_ops_t ops = { on_ended };

static void rig_init(rig_t *r)
{
	memset(r, 0, sizeof(*r));
	r->in.versions = g_ptr_array_new();
	for (int i = 0; i < VERSIONS; i++)
		g_ptr_array_add(r->in.versions, &versions[i]);
	r->results = g_ptr_array_new();
	r->facts = facts_new();
	r->m = moves_new(r->facts, 1, &ops, r);
	moves_set_intent(r->m, &r->in, 10, r->results, 0, 1000);
}

static void rig_clear(rig_t *r)
{
	moves_free(r->m);
	facts_free(r->facts);
	g_ptr_array_free(r->results, TRUE);
	g_ptr_array_free(r->in.versions, TRUE);
}

static void one_request(rig_t *r)
{
	const char *version = moves_pick(r->m, "helper", r->now);
	bool is_new = !strcmp(version, "v2");
	sample_t s = { .service = "helper",
		       .version = version,
		       .route = r->seq % 3 ? "chat" : "lesson",
		       .code = CODE_OK,
		       .status = 200,
		       .first_token = 100 + (ms_t)(r->seq * 7 % 50),
		       .gap = 20 + (ms_t)(r->seq * 5 % 11),
		       .tokens = 300,
		       .server = r->seq % 2 ? "side-1" : "side-2" };

	r->seq++;
	if (is_new) {
		r->picked_new++;
		s.first_token += r->slow;
		if (r->bad_every && r->picked_new % r->bad_every == 0)
			s.status = 500;
		if (r->new_server)
			s.server = r->new_server;
		if (r->first_elsewhere && r->picked_new <= FIRST) {
			s.server = "side-4";
			s.status = 200;
		}
		if (r->bad_server && !strcmp(r->bad_server, s.server))
			s.status = 500;
	}
	moves_add_sample(r->m, &s, r->now);
}

/* Sends requests at a rate per second for some seconds. */
static void run(rig_t *r, unsigned int rate, unsigned int seconds)
{
	for (unsigned int i = 0; i < seconds * 10; i++) {
		for (unsigned int k = 0; k < rate / 10; k++)
			one_request(r);
		r->now += 100;
		moves_tick(r->m, r->now);
	}
}

START_TEST(service_with_one_version_picks_it)
{
	rig_t r;

	rig_init(&r);
	ck_assert_str_eq(moves_pick(r.m, "stock", 0), "s1");
	ck_assert_ptr_null(moves_pick(r.m, "unknown", 0));
	rig_clear(&r);
}
END_TEST

START_TEST(first_stage_sends_two_percent)
{
	rig_t r;

	rig_init(&r);
	run(&r, 100, 20);
	ck_assert_uint_ge(r.picked_new, 30);
	ck_assert_uint_le(r.picked_new, 41);
	rig_clear(&r);
}
END_TEST

START_TEST(good_version_completes)
{
	rig_t r;

	rig_init(&r);
	run(&r, 100, 1000);
	ck_assert_uint_ge(r.ended, 1);
	ck_assert_int_eq(r.last.state, MOVE_DONE);
	ck_assert(!moves_is_bad(r.m, "helper", "v2"));
	ck_assert_str_eq(moves_pick(r.m, "helper", r.now), "v2");
	rig_clear(&r);
}
END_TEST

START_TEST(no_stage_advances_without_enough_requests)
{
	rig_t r;

	rig_init(&r);
	run(&r, 0, 2000);
	run(&r, 10, 50);
	ck_assert_uint_eq(r.ended, 0);
	ck_assert_uint_le(r.picked_new, 12);
	rig_clear(&r);
}
END_TEST

typedef struct bad_case {
	const char *name;
	unsigned int bad_every;
	ms_t slow;
	const char *server;
	bool first_elsewhere;
	bool rolled_back;
	unsigned int picked_max;
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{ "all fail", 1, 0, NULL, false, true, 15 },
	{ "a third fails", 3, 0, NULL, false, true, 45 },
	{ "three times as slow", 0, 200, NULL, false, true, 60 },
	{ "three times as slow on hardware of its own", 0, 200, "side-3", false,
	  false, 1000000 },
	{ "ten times as slow on hardware of its own", 0, 900, "side-3", false,
	  true, 60 },
	/* A few requests elsewhere excuse nothing. */
	{ "a third fails, all but a few on one server", 3, 0, "side-3", true,
	  true, 45 },
	{ "ten times as slow, all but a few on one server", 0, 900, "side-3",
	  true, true, 60 },
};

START_TEST(bad_version_is_rolled_back)
{
	const bad_case_t *c = &bad_cases[_i];
	rig_t r;

	rig_init(&r);
	r.bad_every = c->bad_every;
	r.slow = c->slow;
	r.new_server = c->server;
	r.first_elsewhere = c->first_elsewhere;
	run(&r, 100, 60);
	ck_assert_msg(moves_is_bad(r.m, "helper", "v2") == c->rolled_back, "%s",
		      c->name);
	ck_assert_msg(r.picked_new <= c->picked_max, "%s: %u", c->name,
		      r.picked_new);
	if (c->rolled_back) {
		ck_assert_int_eq(r.last.state, MOVE_ROLLED_BACK);
		ck_assert_str_eq(moves_pick(r.m, "helper", r.now), "v1");
	}
	rig_clear(&r);
}
END_TEST

START_TEST(failures_on_one_server_do_not_roll_back)
{
	rig_t r;

	rig_init(&r);
	run(&r, 100, 100); /* past the first stage */
	r.bad_server = "side-2";
	run(&r, 100, 20);
	ck_assert(!moves_is_bad(r.m, "helper", "v2"));
	r.bad_server = NULL;
	run(&r, 100, 20);
	ck_assert(!moves_is_bad(r.m, "helper", "v2"));
	rig_clear(&r);
}
END_TEST

/*
 * An entry that starts gets counters of its peers that were gathered under
 * other traffic shares. Comparing them would find a good version slow.
 */
START_TEST(registers_from_before_the_start_are_not_compared)
{
	static const char *const sums[] = { "n", "tn", "t", "tq" };
	static const uint64_t old[] = { 1000, 1000, 8000, 64000 };
	static const uint64_t new[] = { 1000, 1000, 100000, 700000 };
	char key[128];
	rig_t r;

	rig_init(&r);
	run(&r, 10, 10);
	for (int i = 0; i < 8; i++) {
		int k = i / 2;

		g_snprintf(key, sizeof(key),
			   "ev/%" G_GUINT64_FORMAT "/2/0/%d/chat/%s",
			   move_id(&versions[1]), i % 2, sums[k]);
		facts_raise(r.facts, key, old[k]);
		g_snprintf(key, sizeof(key),
			   "ev/%" G_GUINT64_FORMAT "/2/1/%d/chat/%s",
			   move_id(&versions[1]), i % 2, sums[k]);
		facts_raise(r.facts, key, new[k]);
	}
	run(&r, 100, 20);
	ck_assert(!moves_is_bad(r.m, "helper", "v2"));
	rig_clear(&r);
}
END_TEST

START_TEST(short_outage_does_not_roll_back)
{
	rig_t r;

	rig_init(&r);
	run(&r, 100, 120);
	r.bad_every = 1;
	run(&r, 100, 2);
	r.bad_every = 0;
	run(&r, 100, 20);
	ck_assert(!moves_is_bad(r.m, "helper", "v2"));
	rig_clear(&r);
}
END_TEST

START_TEST(suspect_version_gets_at_most_half)
{
	unsigned int before;
	rig_t r;

	rig_init(&r);
	run(&r, 100, 400);
	before = r.picked_new;
	run(&r, 100, 10);
	ck_assert_uint_ge(r.picked_new - before, 900);
	r.bad_server = "side-1";
	run(&r, 100, 10);
	before = r.picked_new;
	run(&r, 100, 10);
	ck_assert_uint_le(r.picked_new - before, 510);
	rig_clear(&r);
}
END_TEST

START_TEST(bad_register_of_a_peer_stops_the_version_at_once)
{
	rig_t r;
	char key[64];

	rig_init(&r);
	g_snprintf(key, sizeof(key), "stage/%" G_GUINT64_FORMAT,
		   move_id(&versions[1]));
	facts_raise(r.facts, key, 3);
	moves_tick(r.m, 1);
	ck_assert_str_eq(moves_fallback(r.m, "helper", "v1"), "v2");
	ck_assert_str_eq(moves_fallback(r.m, "helper", "v2"), "v1");
	g_snprintf(key, sizeof(key), "bad/%" G_GUINT64_FORMAT,
		   move_id(&versions[1]));
	facts_raise(r.facts, key, 1);
	for (int i = 0; i < 100; i++)
		ck_assert_str_eq(moves_pick(r.m, "helper", 2), "v1");
	ck_assert_ptr_null(moves_fallback(r.m, "helper", "v1"));
	rig_clear(&r);
}
END_TEST

typedef struct result_case {
	const char *name;
	int states[2]; /* of v2 and v3; -1 none */
	const char *picked;
	const char *wanted;
} result_case_t;

static const result_case_t result_cases[] = {
	{ "nothing ended", { -1, -1 }, NULL, "v1,v2" },
	{ "v2 rolled back", { MOVE_ROLLED_BACK, -1 }, "v1", "v1" },
	{ "v2 done", { MOVE_DONE, -1 }, NULL, "v2,v3" },
	{ "v2 done, v3 rolled back",
	  { MOVE_DONE, MOVE_ROLLED_BACK },
	  "v2",
	  "v2" },
	{ "both done", { MOVE_DONE, MOVE_DONE }, "v3", "v3" },
	{ "a result of a later move", { -1, MOVE_DONE }, NULL, "v1,v2" },
};

static char *joined(const GPtrArray *a)
{
	GString *s = g_string_new(NULL);

	for (guint i = 0; i < a->len; i++)
		g_string_append_printf(s, "%s%s", i ? "," : "",
				       (char *)g_ptr_array_index(a, i));
	return g_string_free(s, FALSE);
}

START_TEST(results_end_moves)
{
	const result_case_t *c = &result_cases[_i];
	move_result_t results[2];
	GPtrArray *wanted;
	char *text;
	rig_t r;

	rig_init(&r);
	for (int i = 0; i < 2; i++) {
		results[i].op = move_id(&versions[i + 1]);
		results[i].state = (move_state_t)c->states[i];
		if (c->states[i] >= 0)
			g_ptr_array_add(r.results, &results[i]);
	}
	moves_set_intent(r.m, &r.in, 20, r.results, 0, 1000);
	for (int i = 0; c->picked && i < 100; i++)
		ck_assert_msg(!strcmp(moves_pick(r.m, "helper", 0), c->picked),
			      "%s", c->name);
	wanted = moves_versions_to_load(&r.in, "helper", r.results);
	text = joined(wanted);
	ck_assert_msg(!strcmp(text, c->wanted), "%s: %s", c->name, text);
	g_free(text);
	g_ptr_array_free(wanted, TRUE);
	rig_clear(&r);
}
END_TEST

START_TEST(unrelated_revision_keeps_the_stage)
{
	rig_t r;

	rig_init(&r);
	run(&r, 100, 120);
	ck_assert_int_eq(move_find(r.m, move_id(&versions[1]))->stage, 2);
	moves_set_intent(r.m, &r.in, 20, r.results, r.now, 1120);
	run(&r, 100, 1);
	ck_assert_int_eq(move_find(r.m, move_id(&versions[1]))->stage, 2);
	ck_assert_uint_eq(facts_sum(r.facts, "ev/") > 0, true);
	rig_clear(&r);
}
END_TEST

typedef struct tail_case {
	double mean, k;
	bool upper;
	double p;
} tail_case_t;

/* Expected values from the formula of the distribution. */
static const tail_case_t tails[] = {
	{ 1, 0, true, 1 },
	{ 1, 1, true, 0.6321205588 },
	{ 0.06, 3, true, 3.441824024e-5 },
	{ 2, 0, false, 0.1353352832 },
	{ 2, 1, false, 0.4060058497 },
	{ 0, 1, true, 0 },
	{ 0, 0, false, 1 },
};

START_TEST(poisson_tails)
{
	const tail_case_t *c = &tails[_i];
	double p = poisson_tail(c->mean, c->k, c->upper);

	ck_assert_msg(fabs(p - c->p) < 1e-9, "case %d: %.12g", _i, p);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("move");
	TCase *t = tcase_create("move");
	SRunner *sr;
	int failed;

	tcase_set_timeout(t, 60);
	tcase_add_test(t, service_with_one_version_picks_it);
	tcase_add_test(t, first_stage_sends_two_percent);
	tcase_add_test(t, good_version_completes);
	tcase_add_test(t, no_stage_advances_without_enough_requests);
	tcase_add_loop_test(t, bad_version_is_rolled_back, 0,
			    G_N_ELEMENTS(bad_cases));
	tcase_add_test(t, failures_on_one_server_do_not_roll_back);
	tcase_add_test(t, registers_from_before_the_start_are_not_compared);
	tcase_add_test(t, short_outage_does_not_roll_back);
	tcase_add_test(t, suspect_version_gets_at_most_half);
	tcase_add_test(t, bad_register_of_a_peer_stops_the_version_at_once);
	tcase_add_loop_test(t, results_end_moves, 0,
			    G_N_ELEMENTS(result_cases));
	tcase_add_test(t, unrelated_revision_keeps_the_stage);
	tcase_add_loop_test(t, poisson_tails, 0, G_N_ELEMENTS(tails));
	suite_add_tcase(suite, t);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
