/* The order of grants in a tier once jobs have missed first_token_target. */
#include <check.h>
#include "side/fns.h"

enum {
	INC = 5,
	TARGET = 1000, /* ms to the first token */
};

typedef struct seen {	/* what the sidecar sent */
	GArray *grants; /* of uint64_t, request numbers */
	uint64_t grant; /* number of the last grant */
} seen_t;

static void on_send(void *ctx, uint64_t inc, const msg_t *m)
{
	seen_t *s = ctx;

	if (m->type != MSG_GRANT)
		return;
	g_array_append_val(s->grants, m->u.grant.rid.seq);
	s->grant = m->u.grant.grant;
}

static void on_dispatch(void *ctx, const side_dispatch_t *d)
{
}

static void on_resume(void *ctx, rid_t rid, uint64_t from)
{
}

static void on_cancel(void *ctx, rid_t rid)
{
}

static const side_ops_t ops = { on_send, on_dispatch, on_resume, on_cancel };

static void offer(side_t *s, uint64_t seq, uint64_t tier, ms_t now)
{
	msg_t m = { .type = MSG_OFFER };

	m.u.offer.rid = (rid_t){ INC, seq };
	m.u.offer.version = str_of("v1");
	m.u.offer.customer = str_of("school");
	m.u.offer.tier = tier;
	m.u.offer.prompt_tokens = 90;
	m.u.offer.output_tokens = 10;
	m.u.offer.left_ms = 60000;
	side_recv(s, INC, &m, now);
}

static void withdraw(side_t *s, uint64_t seq, ms_t now)
{
	msg_t m = { .type = MSG_WITHDRAW };

	m.u.withdraw.rid = (rid_t){ INC, seq };
	side_recv(s, INC, &m, now);
}

typedef struct late_case {
	const char *name;
	ms_t target;
	uint64_t tiers[3]; /* of requests 2, 3 and, past the target, 4 */
	uint64_t order[3]; /* of their grants */
} late_case_t;

static const late_case_t cases[] = {
	{ "late ones go behind", TARGET, { 1, 1, 1 }, { 4, 2, 3 } },
	{ "without a target none is late", 0, { 1, 1, 1 }, { 2, 3, 4 } },
	{ "but not behind a lower tier", TARGET, { 1, 1, 2 }, { 2, 3, 4 } },
};

START_TEST(late_order)
{
	const late_case_t *c = &cases[_i];
	side_conf_t conf = { .name = "a",
			     .service = "helper",
			     .model = true,
			     .waiting_max = 10,
			     .first_token_target = c->target,
			     .token_gap_target = 70,
			     .lease = 100000,
			     .hold = 1000,
			     .entry_timeout = 5000,
			     .capacity_start = 100,
			     .capacity_max = 100 };
	seen_t seen = { g_array_new(FALSE, FALSE, sizeof(uint64_t)), 0 };
	counters_t *counters = counters_new();
	side_t *s = side_new(&conf, &ops, &seen, counters);

	side_entry_up(s, INC, 0);
	side_set_versions(s, "v1", 0);
	offer(s, 1, 1, 0);
	offer(s, 2, c->tiers[0], 0);
	offer(s, 3, c->tiers[1], 0);
	side_tick(s, TARGET + 1);
	offer(s, 4, c->tiers[2], TARGET + 1);
	for (guint i = 0; i < 4; i++) {
		uint64_t got = g_array_index(seen.grants, uint64_t, i);

		ck_assert_uint_eq(seen.grants->len, i + 1);
		if (i > 0)
			ck_assert_msg(got == c->order[i - 1], "%s", c->name);
		withdraw(s, got, TARGET + 2);
	}
	side_free(s);
	counters_free(counters);
	g_array_unref(seen.grants);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("late");
	TCase *t = tcase_create("late");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, late_order, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed != 0;
}
