/* What a host does with what servers say of themselves in their answers. */
#include <check.h>
#include "world.h"

/* Two servers; the first says something, and then requests come. */
typedef struct leave_case {
	const char *name;
	bool by_host;	    /* another host has read it */
	int64_t said_of;    /* the life that leaves; the server's is 1 */
	int64_t listed;	    /* again, with this start; 0: not */
	bool answers_after; /* without the word, a late answer */
	bool used;	    /* gets requests afterwards */
	bool bad;	    /* beside a malformed field */
} leave_case_t;

static const leave_case_t leave_cases[] = {
	{ "said in an answer", false, 1, 0, false, false, false },
	{ "beside a malformed field", false, 1, 0, false, false, true },
	{ "its entry says that it is ready", false, 1, 1, false, false, false },
	{ "an older answer comes later", false, 1, 0, true, false, false },
	{ "its next life", false, 1, 2, false, true, false },
	{ "told by another host", true, 1, 0, false, false, false },
	{ "told of an earlier life", true, 3, 0, false, true, false },
};

static void answer(world_t *w, request_t *r, ms_t now)
{
	edge_first_event(w->edge, r, now);
	edge_attempt_ended(w->edge, r, ATTEMPT_ANSWERED, false, now);
}

/* Sends requests one after the other; returns how many the server got. */
static unsigned int requests_at(world_t *w, const char *id, ms_t now)
{
	unsigned int n = 0;
	request_t r;

	for (int i = 0; i < 20; i++) {
		request_init(&r, &route, now);
		edge_submit(w->edge, &r, now);
		ck_assert_int_eq(r.state, REQUEST_RUNNING);
		n += strcmp(r.server->id, id) == 0;
		answer(w, &r, now);
	}
	return n;
}

START_TEST(test_server_that_leaves_got_requests)
{
	const leave_case_t *c = &leave_cases[_i];
	const server_word_t says = { .leaving = true, .bad = c->bad };
	const server_word_t none = { .leaving = false };
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 4, false, 1, 0);
	request_init(&r, &route, 1);
	edge_submit(w.edge, &r, 1);
	put_server(&w, "t", "10.0.0.2", 4, false, 1, 1);
	if (c->by_host)
		edge_host_leaving(w.edge, "s", c->said_of, 2);
	else
		edge_server_word(w.edge, r.server, &says, 2);
	if (c->answers_after)
		edge_server_word(w.edge, r.server, &none, 3);
	ck_assert_int_eq(r.state, REQUEST_RUNNING);
	answer(&w, &r, 4);
	if (c->listed)
		put_server(&w, "s", "10.0.0.1", 4, false, c->listed, 5);
	ck_assert_msg((requests_at(&w, "s", 10) > 0) == c->used, "%s", c->name);
	world_clear(&w);
}
END_TEST

/* Servers that want nothing for a while: what a request gets at some time. */
typedef struct pause_case {
	const char *name;
	ms_t pauses[2][2]; /* of each server: as said at 10 ms and at 20 ms */
	ms_t at;
	unsigned int servers; /* 1, or 2 */
	const char *to;	      /* NULL: it is refused */
	ms_t after;	      /* told to callers, at least */
} pause_case_t;

static const pause_case_t pause_cases[] = {
	{ "one of two pauses", { { 1000, 0 } }, 500, 2, "t", 0 },
	{ "to the end", { { 1000, 0 } }, 1009, 2, "t", 0 },
	{ "after the end", { { 1000, 0 }, { 9000, 0 } }, 1010, 2, "s", 0 },
	{ "a shorter one later", { { 1000, 100 } }, 500, 2, "t", 0 },
	{ "a longer one later", { { 100, 1000 } }, 500, 2, "t", 0 },
	{ "all pause for longer than the request waits",
	  { { 5000, 0 }, { 6000, 0 } },
	  500,
	  2,
	  NULL,
	  4510 },
	{ "the only one pauses", { { 9000, 0 } }, 500, 1, NULL, 8510 },
};

START_TEST(test_paused_server_got_requests)
{
	const pause_case_t *c = &pause_cases[_i];
	static const char *const ids[] = { "s", "t" };
	unsigned int n = MIN(c->servers, G_N_ELEMENTS(ids));
	request_t r[2];
	request_t next;
	world_t w;

	world_init(&w, 0);
	for (unsigned int i = 0; i < n; i++) {
		put_server(&w, ids[i], i ? "10.0.0.2" : "10.0.0.1", 1, false, 1,
			   0);
		request_init(&r[i], &route, 1);
		edge_submit(w.edge, &r[i], 1);
	}
	for (unsigned int i = 0; i < n; i++) {
		for (int k = 0; k < 2; k++) {
			int which = strcmp(r[i].server->id, "t") == 0;
			server_word_t says = { .pause = c->pauses[which][k] };

			edge_server_word(w.edge, r[i].server, &says,
					 10 + (ms_t)k * 10);
		}
		answer(&w, &r[i], 30);
	}
	request_init(&next, &route, c->at);
	edge_submit(w.edge, &next, c->at);
	if (c->to) {
		ck_assert_msg(next.state == REQUEST_RUNNING, "%s", c->name);
		ck_assert_msg(strcmp(next.server->id, c->to) == 0, "%s: to %s",
			      c->name, next.server->id);
		answer(&w, &next, c->at + 1);
	} else {
		ck_assert_msg(w.refused == 1, "%s", c->name);
		ck_assert_msg(w.last_after >= c->after, "%s: %d", c->name,
			      (int)w.last_after);
	}
	world_clear(&w);
}
END_TEST

/* A server's entry lapses for a while; what it said before. */
typedef struct lapse_case {
	const char *name;
	server_word_t says;
	int64_t listed; /* start of the life that comes back; before it is 1 */
	bool by_host;	/* another host has read the word, while it is gone */
	ms_t at;	/* of requests; the word was said at 10 ms */
	bool used;
} lapse_case_t;

static const lapse_case_t lapse_cases[] = {
	{ "it wants nothing for a while",
	  { .pause = 1000 },
	  1,
	  false,
	  500,
	  false },
	{ "to the end", { .pause = 1000 }, 1, false, 1009, false },
	{ "after the end", { .pause = 1000 }, 1, false, 1010, true },
	{ "its next life", { .pause = 1000 }, 2, false, 500, true },
	{ "it leaves", { .leaving = true }, 1, false, 500, false },
	{ "it leaves, long ago", { .leaving = true }, 1, false, 60000, false },
	{ "its next life does not leave",
	  { .leaving = true },
	  2,
	  false,
	  500,
	  true },
	{ "it leaves, by another host",
	  { .leaving = true },
	  1,
	  true,
	  500,
	  false },
	{ "its next life, by another host",
	  { .leaving = true },
	  2,
	  true,
	  500,
	  true },
};

START_TEST(test_server_was_used_against_its_word_once_listed_again)
{
	const lapse_case_t *c = &lapse_cases[_i];
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 4, false, 1, 0);
	request_init(&r, &route, 1);
	edge_submit(w.edge, &r, 1);
	put_server(&w, "t", "10.0.0.2", 4, false, 1, 1);
	if (!c->by_host)
		edge_server_word(w.edge, r.server, &c->says, 10);
	answer(&w, &r, 30);
	edge_server_gone(w.edge, "s", 100);
	if (c->by_host)
		edge_host_leaving(w.edge, "s", 1, 150);
	put_server(&w, "s", "10.0.0.1", 4, false, c->listed, 200);
	ck_assert_msg((requests_at(&w, "s", c->at) > 0) == c->used, "%s",
		      c->name);
	world_clear(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("word");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_server_that_leaves_got_requests, 0,
			    G_N_ELEMENTS(leave_cases));
	tcase_add_loop_test(t, test_paused_server_got_requests, 0,
			    G_N_ELEMENTS(pause_cases));
	tcase_add_loop_test(
		t, test_server_was_used_against_its_word_once_listed_again, 0,
		G_N_ELEMENTS(lapse_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
