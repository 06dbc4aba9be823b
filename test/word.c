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
} leave_case_t;

static const leave_case_t leave_cases[] = {
	{ "said in an answer", false, 1, 0, false, false },
	{ "its entry says that it is ready", false, 1, 1, false, false },
	{ "an older answer comes later", false, 1, 0, true, false },
	{ "its next life", false, 1, 2, false, true },
	{ "told by another host", true, 1, 0, false, false },
	{ "told of an earlier life", true, 3, 0, false, true },
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
	const server_word_t says = { .leaving = true };
	const server_word_t none = { .leaving = false };
	const leave_case_t *c = &leave_cases[_i];
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 4, false, 1, 0);
	request_init(&r, &route, 1);
	edge_submit(w.edge, &r, 1);
	put_server(&w, "t", "10.0.0.2", 4, false, 1, 1);
	if (c->by_host)
		edge_host_leaving(w.edge, "s", c->said_of);
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
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
