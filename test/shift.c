/*
 * Simulated rollouts: hosts with their edges, a canary analysis, and servers of
 * two versions, of which the target may turn bad in some way at some time.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include "world.h"

enum {
	HOSTS = 3,
	SERVERS = 6, /* of each version */
	SLOTS = 30,
	PER_S = 200,
	STEP = 10,	  /* ms */
	DURATION = 12000, /* ms, of the order */
	ORDERED = 1000,	  /* ms */
	STORE_MS = 20,	  /* from a decision until all hosts have it */
	REPORT_MS = 200,  /* between reports to the analysis */
	FIRST_MS = 80,	  /* of a request */
	RUN_MS = 300,
	GAPS = 5, /* number of gaps between the events of an answer */
	END = ORDERED + DURATION,
	REQUESTS = PER_S * (END + 1500) / 1000,
	CANARY_SLACK = 50,  /* requests more than the canary's share */
	ROLLBACK_MS = 5000, /* from the 50th bad answer */
	BAD_BEFORE = 50,
	AGAIN = 1 << 20, /* number of an order that was written again */
};

static const double canary_share = 0.1;

/* A fault of the target. */
typedef struct fault {
	const char *name;
	double fails;	/* part of its requests */
	double times;	/* factor on its latencies */
	ms_t from;	/* after the order */
	bool one_route; /* only on the second */
	bool one_server;
	bool old_too;	    /* the old version has it as well */
	ms_t analysis_dies; /* after the order; 0: never */
	ms_t written_again; /* the order, which gets another number; 0: never */
	shift_state_t end;
} fault_t;

static const fault_t faults[] = {
	{ "good", 0, 1, 0, false, false, false, 0, 0, SHIFT_DONE },
	{ "good, the analysis dies", 0, 1, 0, false, false, false, 5000, 0,
	  SHIFT_DONE },
	{ "fails", 0.3, 1, 0, false, false, false, 0, 0, SHIFT_ROLLED_BACK },
	{ "fails, the analysis dies", 0.3, 1, 0, false, false, false, 200, 0,
	  SHIFT_ROLLED_BACK },
	{ "fails late", 0.3, 1, 5000, false, false, false, 0, 0,
	  SHIFT_ROLLED_BACK },
	{ "fails with more than a canary", 0.3, 1, 7500, false, false, false, 0,
	  0, SHIFT_ROLLED_BACK },
	{ "fails on one route", 0.5, 1, 0, true, false, false, 0, 0,
	  SHIFT_ROLLED_BACK },
	{ "slow", 0, 4, 0, false, false, false, 0, 0, SHIFT_ROLLED_BACK },
	{ "slow late", 0, 4, 4000, false, false, false, 0, 0,
	  SHIFT_ROLLED_BACK },
	{ "never answers", 0, 1000, 0, false, false, false, 0, 0,
	  SHIFT_ROLLED_BACK },
	{ "one server fails", 0.6, 1, 0, false, true, false, 0, 0, SHIFT_DONE },
	{ "both versions fail", 0.2, 1, 0, false, false, true, 0, 0,
	  SHIFT_DONE },
	{ "good, its order is written again", 0, 1, 0, false, false, false, 0,
	  5000, SHIFT_DONE },
	{ "fails, the order written again after that", 0.3, 1, 0, false, false,
	  false, 0, 4000, SHIFT_ROLLED_BACK },
	{ "fails late, the order written again before", 0.3, 1, 5000, false,
	  false, false, 0, 4000, SHIFT_ROLLED_BACK },
};

/* A simulated request: when and how its server answers. */
typedef struct sim_request {
	request_t r;
	ms_t first;
	ms_t end;
	unsigned int gaps;
	bool fails;
	bool target;
	bool bad;
} sim_request_t;

typedef struct host {
	struct play *play;
	edge_t *edge;
} host_t;

/* A decision in transit through the store. */
typedef struct pending {
	ms_t at;
	shift_step_t step;
} pending_t;

typedef struct play {
	const fault_t *t;
	host_t hosts[HOSTS];
	canary_t *canary;
	GArray *pending; /* pending_t */
	shift_step_t decision;
	bool has_decision;
	sim_request_t *all;
	unsigned int n;
	GRand *rand;
	ms_t now;
	unsigned int asked;	/* since the order, and before its end */
	unsigned int at_target; /* of these */
	unsigned int bad;
	ms_t bad_at; /* of the 50th */
	ms_t last_target;
} play_t;

static edge_route_t routes[] = {
	{ .name = "main", .retry = RETRY_NEVER, .attempts = 1 },
	{ .name = "side", .retry = RETRY_NEVER, .attempts = 1 },
};

static bool has_fault(const play_t *p, const request_t *r, bool target)
{
	const fault_t *t = p->t;

	if (p->now < ORDERED + t->from || (!target && !t->old_too))
		return false;
	if (t->one_route && r->route != &routes[1])
		return false;
	return !t->one_server || strcmp(r->server->id, "new0") == 0;
}

static void play_send(void *ctx, request_t *r)
{
	const host_t *h = ctx;
	play_t *p = h->play;
	sim_request_t *x = (sim_request_t *)r;
	double times = 0.8 + 0.4 * g_rand_double(p->rand);
	bool faulty;

	x->target = strcmp(r->server->version, "v2") == 0;
	faulty = has_fault(p, r, x->target);
	x->fails = faulty && g_rand_double(p->rand) < p->t->fails;
	times *= faulty ? p->t->times : 1;
	x->bad = x->target && faulty && (x->fails || p->t->times > 1);
	x->first = p->now + (ms_t)(FIRST_MS * times);
	x->end = p->now + (ms_t)(RUN_MS * times);
	x->gaps = 0;
	if (p->now >= ORDERED && p->now < END) {
		p->asked++;
		p->at_target += x->target;
	}
	if (x->target)
		p->last_target = p->now;
}

static void play_refuse(void *ctx, request_t *r, code_t code, ms_t after)
{
}

static const edge_ops_t play_ops = {
	play_send,	     play_refuse,	  on_note,
	ignore_request_slot, ignore_release_slot, ignore_quota_join,
	on_quota_leave,	     ignore_quota_take,	  on_keeper_wanted,
	ignore_forget,	     ignore_crash_seen,	  ignore_part_answered,
	ignore_limit_named,  ignore_tell_warmup,  ignore_leaving_said,
	ignore_leave_silent
};

static void on_decided(void *ctx, const char *service, const shift_step_t *s)
{
	play_t *p = ctx;
	pending_t f = { p->now + STORE_MS, *s };

	g_array_append_val(p->pending, f);
}

static const canary_ops_t canary_ops = { on_decided };

static void new_canary(play_t *p)
{
	shift_order_t o = { svc, "v2", DURATION, 7 };

	if (p->canary)
		canary_free(p->canary);
	p->canary = canary_new(&canary_ops, p, canary_share, CANARY_SLACK);
	canary_order(p->canary, &o, p->now);
	if (p->has_decision)
		canary_step(p->canary, svc, &p->decision, p->now);
}

static void order(play_t *p)
{
	shift_order_t o = { svc, "v2", DURATION, 7 };

	for (int i = 0; i < HOSTS; i++)
		edge_shift_order(p->hosts[i].edge, &o);
	new_canary(p);
}

/* The store came back from a copy, and the operator wrote the order again. */
static void write_order_again(play_t *p)
{
	for (int i = 0; i < HOSTS; i++)
		edge_shift_renumber(p->hosts[i].edge, svc, AGAIN);
	canary_renumber(p->canary, svc, AGAIN);
	p->decision.order = AGAIN;
}

static void deliver(play_t *p)
{
	for (guint i = 0; i < p->pending->len; i++) {
		pending_t f = g_array_index(p->pending, pending_t, i);

		if (p->now < f.at)
			continue;
		p->decision = f.step;
		p->has_decision = true;
		for (int k = 0; k < HOSTS; k++)
			edge_shift_step(p->hosts[k].edge, svc, &f.step);
		canary_step(p->canary, svc, &f.step, p->now);
		g_array_remove_index(p->pending, i--);
	}
}

/* The reporting host, for the callback below. */
typedef struct reporter {
	play_t *play;
	uint64_t host;
} reporter_t;

static void on_report(void *ctx, const char *service, uint64_t order,
		      const char *cell, uint64_t value)
{
	const reporter_t *t = ctx;

	canary_report(t->play->canary, t->host, service, order, cell, value);
}

static void report(play_t *p, bool all)
{
	for (unsigned int i = 0; i < HOSTS; i++) {
		reporter_t t = { p, i + 1 };

		edge_shift_report(p->hosts[i].edge, on_report, all, &t);
	}
}

static void submit_due(play_t *p)
{
	while ((ms_t)p->n * MS < p->now * PER_S && p->n < REQUESTS) {
		sim_request_t *x = &p->all[p->n];
		host_t *h = &p->hosts[p->n % HOSTS];
		unsigned int route = g_rand_int_range(p->rand, 0, 10) < 2;

		p->n++;
		request_init(&x->r, &routes[route], p->now);
		edge_submit(h->edge, &x->r, p->now);
	}
}

static void count_bad(play_t *p, const sim_request_t *x)
{
	p->bad += x->bad;
	if (p->bad >= BAD_BEFORE && p->bad_at == 0)
		p->bad_at = p->now;
}

static void end_one(play_t *p, host_t *h, sim_request_t *x)
{
	edge_attempt_ended(h->edge, &x->r,
			   x->fails ? ATTEMPT_FAILED : ATTEMPT_ANSWERED, false,
			   p->now);
	count_bad(p, x);
}

/* The deadline has passed. */
static void give_up(play_t *p, host_t *h, sim_request_t *x)
{
	edge_abandon(h->edge, &x->r, p->now);
	count_bad(p, x);
}

static void run(play_t *p)
{
	for (unsigned int i = 0; i < p->n; i++) {
		sim_request_t *x = &p->all[i];
		host_t *h = &p->hosts[i % HOSTS];
		ms_t gap = (x->end - x->first) / GAPS;

		if (x->r.state != REQUEST_RUNNING)
			continue;
		if (p->now >= x->r.deadline) {
			give_up(p, h, x);
			continue;
		}
		if (!x->fails && !x->r.responded && p->now >= x->first)
			edge_first_event(h->edge, &x->r, p->now);
		while (x->r.responded && x->gaps < GAPS &&
		       p->now >= x->first + gap * (ms_t)(x->gaps + 1)) {
			x->gaps++;
			edge_event(h->edge, &x->r, p->now);
		}
		if (p->now >= x->end)
			end_one(p, h, x);
	}
}

static void open_host(play_t *p, unsigned int i, counters_t *counters)
{
	edge_conf_t conf = {
		.inc = i + 1, .data_center = "a", .subset = 12, .seed = i
	};
	world_t w = { 0 };

	p->hosts[i].play = p;
	p->hosts[i].edge = edge_new(&conf, &play_ops, &p->hosts[i], counters);
	w.edge = p->hosts[i].edge;
	for (int k = 0; k < SERVERS; k++) {
		char ip[16];
		char id[16];

		g_snprintf(ip, sizeof(ip), "10.0.0.%d", k);
		g_snprintf(id, sizeof(id), "old%d", k);
		put_version(&w, id, ip, "v1", SLOTS, 0);
		g_snprintf(ip, sizeof(ip), "10.0.1.%d", k);
		g_snprintf(id, sizeof(id), "new%d", k);
		put_version(&w, id, ip, "v2", SLOTS, 0);
	}
}

static void play_all(play_t *p)
{
	const fault_t *t = p->t;

	for (p->now = 0; p->now < END + 9600; p->now += STEP) {
		if (p->now == ORDERED)
			order(p);
		submit_due(p);
		run(p);
		deliver(p);
		if (t->analysis_dies && p->now == ORDERED + t->analysis_dies) {
			new_canary(p);
			report(p, true);
		}
		if (t->written_again && p->now == ORDERED + t->written_again)
			write_order_again(p);
		if (p->now < ORDERED)
			continue;
		if (p->now % REPORT_MS == 0)
			report(p, false);
		canary_tick(p->canary, p->now);
	}
}

START_TEST(test_rollout)
{
	const fault_t *t = &faults[_i];
	counters_t *counters = counters_new();
	play_t *p = g_new0(play_t, 1);

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		routes[i].timeout = 8 * MS;
		routes[i].first_event_target = 500;
		routes[i].nsplits = 1;
		routes[i].splits = &split;
		routes[i].stream = true;
	}
	p->t = t;
	p->rand = g_rand_new_with_seed(3);
	p->all = g_new0(sim_request_t, REQUESTS);
	p->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
	for (unsigned int i = 0; i < HOSTS; i++)
		open_host(p, i, counters);
	play_all(p);
	ck_assert_msg(p->has_decision && p->decision.state == t->end,
		      "%s: %s, %u bad of %u of %u", t->name,
		      shift_state_name(p->decision.state), p->bad, p->at_target,
		      p->asked);
	if (t->end == SHIFT_DONE)
		ck_assert_msg(p->decision.age < DURATION, "%s: late", t->name);
	else if (p->bad_at)
		ck_assert_msg(p->last_target < p->bad_at + ROLLBACK_MS,
			      "%s: used until %d", t->name,
			      (int)p->last_target);
	if (t->end == SHIFT_ROLLED_BACK && t->from == 0)
		ck_assert_msg(p->at_target <=
				      p->asked * canary_share + CANARY_SLACK,
			      "%s: %u of %u", t->name, p->at_target, p->asked);
	for (unsigned int i = 0; i < HOSTS; i++)
		edge_free(p->hosts[i].edge);
	canary_free(p->canary);
	g_array_unref(p->pending);
	g_rand_free(p->rand);
	g_free(p->all);
	g_free(p);
	counters_free(counters);
}
END_TEST

/* Records of decisions: which are parsed and which are malformed. */
typedef struct text_case {
	const char *text;
	bool ok;
} text_case_t;

static const text_case_t texts[] = {
	{ "order=7 state=running share=80 age_ms=5 told=0", true },
	{ "order=7 state=reversed share=0 age_ms=5 told=1", true },
	{ "order=7 state=asleep share=80 age_ms=5 told=0", false },
	{ "order=7 state=running share=1001 age_ms=5 told=0", false },
	{ "order=-7 state=running share=80 age_ms=5 told=0", false },
	{ "order=7 share=80 state=running age_ms=5 told=0", false },
	{ "order=7 state=running share=80 age_ms=5 told=0 more=1", false },
	{ "order=7 state=running share=80 age_ms=5", false },
	{ "", false },
};

START_TEST(test_text)
{
	const text_case_t *c = &texts[_i];
	shift_step_t s;
	char *back;

	ck_assert(!shift_step_parse(str_of(c->text), &s) == c->ok);
	if (!c->ok)
		return;
	back = shift_step_format(&s);
	ck_assert_str_eq(back, c->text);
	g_free(back);
}
END_TEST

/* What a host does with a sequence of decisions. */
typedef struct rule_case {
	const char *name;
	const char *steps[4];
	bool old_left; /* a server of the old version is listed */
	unsigned int target_of_ten;
} rule_case_t;

static const rule_case_t rules[] = {
	{ "nothing decided yet", { NULL }, true, 0 },
	{ "a share",
	  { "order=7 state=running share=500 age_ms=0 told=0" },
	  true,
	  5 },
	{ "another order's share",
	  { "order=6 state=running share=500 age_ms=0 told=0" },
	  true,
	  0 },
	{ "done",
	  { "order=7 state=running share=500 age_ms=0 told=0",
	    "order=7 state=done share=1000 age_ms=9 told=0" },
	  true,
	  10 },
	{ "rolled back",
	  { "order=7 state=running share=1000 age_ms=0 told=0",
	    "order=7 state=reversed share=0 age_ms=9 told=0" },
	  true,
	  0 },
	{ "no way back from the end",
	  { "order=7 state=reversed share=0 age_ms=9 told=0",
	    "order=7 state=running share=500 age_ms=0 told=0" },
	  true,
	  0 },
	{ "the target alone", /* a canary without servers of the old version */
	  { "order=7 state=running share=80 age_ms=0 told=0" },
	  false,
	  10 },
	{ "the target alone, rolled back",
	  { "order=7 state=reversed share=0 age_ms=0 told=0" },
	  false,
	  0 },
};

START_TEST(test_rule)
{
	const rule_case_t *c = &rules[_i];
	shift_order_t o = { svc, "v2", DURATION, 7 };
	unsigned int target = 0;
	request_t r[10];
	shift_step_t s;
	world_t w;

	world_init(&w, 1);
	if (c->old_left)
		put_version(&w, "old", "10.0.0.1", "v1", SLOTS, 0);
	put_version(&w, "new", "10.0.0.2", "v2", SLOTS, 0);
	edge_shift_order(w.edge, &o);
	for (size_t i = 0; c->steps[i]; i++) {
		ck_assert(!shift_step_parse(str_of(c->steps[i]), &s));
		edge_shift_step(w.edge, svc, &s);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(r); i++) {
		request_init(&r[i], &route, 1);
		edge_submit(w.edge, &r[i], 1);
		target += r[i].server && strcmp(r[i].server->id, "new") == 0;
	}
	ck_assert_msg(target + 1 >= c->target_of_ten &&
			      target <= c->target_of_ten + 1 &&
			      (c->target_of_ten != 0 || target == 0),
		      "%s: %u", c->name, target);
	for (size_t i = 0; i < G_N_ELEMENTS(r); i++)
		edge_abandon(w.edge, &r[i], 2);
	world_clear(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("shift");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, test_rollout, 0, G_N_ELEMENTS(faults));
	tcase_add_loop_test(t, test_text, 0, G_N_ELEMENTS(texts));
	tcase_add_loop_test(t, test_rule, 0, G_N_ELEMENTS(rules));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
