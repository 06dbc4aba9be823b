/* Customers' quotas over several hosts, connected or partitioned. */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include "world.h"

/*
 * A customer sends four times its quota to several hosts. Either all hosts
 * receive each other's reports or none does; the sum over a window keeps the
 * quota.
 */
typedef struct quota_case {
	const char *name;
	unsigned int hosts;
	bool connected;
	double per_s[4]; /* requests a second at each host */
	double at_least; /* served in a window, as a part of the quota */
	double at_most;
	double tolerance; /* tolerated excess, as a part of the quota */
	double slack;	  /* tolerated excess in requests per window */
} quota_case_t;

static const quota_case_t quota_cases[] = {
	{ "one host", 1, true, { 400 }, 0.95, 1.25, 0, 0 },
	{ "even", 4, true, { 100, 100, 100, 100 }, 0.95, 1.25, 0, 0 },
	{ "uneven", 4, true, { 340, 20, 20, 20 }, 0.95, 1.25, 0, 0 },
	{ "partitioned", 4, false, { 100, 100, 100, 100 }, 0.5, 1.25, 0, 0 },
	{ "partitioned, uneven",
	  4,
	  false,
	  { 340, 20, 20, 20 },
	  0.2,
	  1.25,
	  0,
	  0 },
	{ "small quota, large slack",
	  4,
	  true,
	  { 100, 100, 100, 100 },
	  1.25,
	  1.1 + 400.0 / 900,
	  0.1,
	  400 },
	{ "large quota, small slack",
	  4,
	  true,
	  { 100, 100, 100, 100 },
	  1,
	  1.25,
	  0.1,
	  20 },
	{ "partitioned, with slack",
	  4,
	  false,
	  { 100, 100, 100, 100 },
	  0.5,
	  1.1 + 400.0 / 900,
	  0.1,
	  400 },
};

typedef struct hosts {
	world_t w[4];
	unsigned int n;
	edge_customer_t customer;
	double served; /* requests in the window */
} hosts_t;

typedef struct reporter {
	edge_t *to;
	const char *name;
} reporter_t;

static void report_one(void *ctx, const char *customer, double sent)
{
	reporter_t *t = ctx;

	edge_host_usage(t->to, t->name, customer, sent);
}

static void report_all(hosts_t *h, ms_t now)
{
	static const char *const names[] = { "h0", "h1", "h2", "h3" };

	for (unsigned int i = 0; i < h->n; i++) {
		for (unsigned int k = 0; k < h->n; k++) {
			reporter_t t = { h->w[k].edge, names[i] };

			if (i == k)
				continue;
			edge_host_alive(t.to, t.name, i + 1, now);
			edge_each_usage(h->w[i].edge, report_one, &t);
		}
	}
}

static void submit_one(hosts_t *h, unsigned int i, ms_t now, bool counts)
{
	edge_route_t rt = route;
	world_t *w = &h->w[i];
	unsigned int sent = w->sent;
	request_t r;

	request_init(&r, &rt, now);
	r.customer = &h->customer;
	edge_submit(w->edge, &r, now);
	if (w->sent == sent)
		return;
	edge_attempt_ended(w->edge, &r, ATTEMPT_ANSWERED, true, now);
	h->served += counts;
}

START_TEST(test_quota)
{
	const quota_case_t *c = &quota_cases[_i];
	hosts_t h = { .n = c->hosts,
		      .customer = { .name = "c", .rate = 100, .burst = 100 } };
	double quota = 100 * 8 + 100;
	double due[4] = { 0 };

	for (unsigned int i = 0; i < h.n; i++) {
		world_open(&h.w[i], 0.2, c->tolerance, c->slack);
		put_server(&h.w[i], "s", "10.0.0.1", 100, false, 1, 0);
		for (unsigned int k = 0; k < h.n; k++) {
			char name[16];

			snprintf(name, sizeof(name), "h%u", k);
			if (k != i)
				edge_host_listed(h.w[i].edge, name);
		}
	}
	for (ms_t now = 0; now < 16 * MS; now += 10) {
		if (c->connected && now % 100 == 0)
			report_all(&h, now);
		for (unsigned int i = 0; i < h.n; i++) {
			edge_tick(h.w[i].edge, now);
			for (due[i] += c->per_s[i] / 100; due[i] >= 1; due[i]--)
				submit_one(&h, i, now, now >= 8 * MS);
		}
	}
	ck_assert_msg(h.served >= quota * c->at_least * 8 / 9 &&
			      h.served <= quota * c->at_most,
		      "%s: %.0f of %.0f", c->name, h.served, quota);
	for (unsigned int i = 0; i < h.n; i++)
		world_clear(&h.w[i]);
}
END_TEST

/*
 * All hosts are killed and restart, at any point in time of a window in which
 * the customer got all that it could.
 */
typedef struct killed_case {
	ms_t down;
	double rate;
	double slack;
} killed_case_t;

static const killed_case_t killed_cases[] = {
	{ 100, 1000, 900 }, { 300, 1000, 800 }, { 300, 300, 900 },
	{ 900, 1000, 600 }, { 300, 500, 500 },
};

enum {
	KILLED_END = 34 * 1000, /* ms */
	KILLED_REPORT_MS = 200, /* ms between reports */
};

static void open_hosts(hosts_t *h, const killed_case_t *c)
{
	for (unsigned int i = 0; i < h->n; i++) {
		world_open(&h->w[i], 0.2, 0.1, c->slack);
		put_server(&h->w[i], "s", "10.0.0.1", 10000, false, 1, 0);
		for (unsigned int k = 0; k < h->n; k++) {
			char name[16];

			snprintf(name, sizeof(name), "h%u", k);
			if (k != i)
				edge_host_listed(h->w[i].edge, name);
		}
	}
}

static void close_hosts(hosts_t *h)
{
	for (unsigned int i = 0; i < h->n; i++)
		world_clear(&h->w[i]);
}

/* Returns the most requests served in a window around a kill at that time. */
static double play_kill(const killed_case_t *c, ms_t at)
{
	hosts_t h = {
		.n = 4,
		.customer = { .name = "c", .rate = c->rate, .burst = c->rate }
	};
	static double by_ms[KILLED_END];
	double due[4] = { 0 };
	double window = 0;
	double most = 0;

	memset(by_ms, 0, sizeof(by_ms));
	open_hosts(&h, c);
	for (ms_t now = 0; now < KILLED_END; now += 10) {
		if (now == at) {
			close_hosts(&h);
			open_hosts(&h, c);
		}
		if (now >= at && now < at + c->down)
			continue;
		if (now % KILLED_REPORT_MS == 0)
			report_all(&h, now);
		h.served = 0;
		for (unsigned int i = 0; i < h.n; i++) {
			edge_tick(h.w[i].edge, now);
			for (due[i] += c->rate / 100; due[i] >= 1; due[i]--)
				submit_one(&h, i, now, true);
		}
		by_ms[now] = h.served;
	}
	close_hosts(&h);
	for (ms_t now = 0; now < KILLED_END; now++) {
		window +=
			by_ms[now] - (now >= 8 * MS ? by_ms[now - 8 * MS] : 0);
		most = MAX(most, window);
	}
	return most;
}

START_TEST(test_killed)
{
	const killed_case_t *c = &killed_cases[_i];
	double allowed = c->rate * 9 * 1.1 + c->slack;
	double most = 0;

	for (ms_t at = 18 * MS; at < 18 * MS + 1000; at += 100)
		most = MAX(most, play_kill(c, at));
	ck_assert_msg(most <= allowed, "%.0f in a window, allowed %.0f", most,
		      allowed);
}
END_TEST

/* A customer that comes late finds its bucket full. */
START_TEST(test_late_customer)
{
	hosts_t h = { .n = 1,
		      .customer = { .name = "c", .rate = 100, .burst = 100 } };

	world_init(&h.w[0], 0.2);
	put_server(&h.w[0], "s", "10.0.0.1", 1000, false, 1, 0);
	for (ms_t now = 1; now < 12 * MS; now += 10)
		edge_tick(h.w[0].edge, now);
	for (int i = 0; i < 150; i++)
		submit_one(&h, 0, 12 * MS, true);
	ck_assert_msg(h.served >= 100, "%.0f of 100", h.served);
	world_clear(&h.w[0]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quota");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_quota, 0, G_N_ELEMENTS(quota_cases));
	tcase_set_timeout(t, 120);
	tcase_add_test(t, test_late_customer);
	tcase_add_loop_test(t, test_killed, 0, G_N_ELEMENTS(killed_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
