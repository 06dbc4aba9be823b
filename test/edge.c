/* Decisions of an edge host: routes, servers, quotas, retries, queueing. */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include "edge/fns.h"

enum {
	REQUESTS = 400,
};

#define MS ((ms_t)1000)

static const char svc[] = "pool";

/* What the edge asked of the world. */
typedef struct world {
	edge_t *edge;
	counters_t *counters;
	unsigned int sent;
	unsigned int refused;
	code_t last_code;
	ms_t last_after;
	unsigned int asked;
	unsigned int released;
	unsigned int forgotten;
	request_t *last;
} world_t;

static void on_send(void *ctx, request_t *r)
{
	world_t *w = ctx;

	w->sent++;
	w->last = r;
}

static void on_refuse(void *ctx, request_t *r, code_t code, ms_t after)
{
	world_t *w = ctx;

	w->refused++;
	w->last_code = code;
	w->last_after = after;
}

static void on_note(void *ctx, const request_t *r, ms_t now, const char *step,
		    const char *text)
{
}

static void on_ask(void *ctx, backend_t *b, const request_t *r, ms_t now)
{
	((world_t *)ctx)->asked++;
}

static void on_release(void *ctx, uint64_t keeper, const request_t *r,
		       bool unreached)
{
	((world_t *)ctx)->released++;
}

static void on_listed(void *ctx, const backend_t *b)
{
}

static void on_forget(void *ctx, backend_t *b)
{
	((world_t *)ctx)->forgotten++;
}

static const edge_ops_t ops = { on_send,    on_refuse, on_note,	 on_ask,
				on_release, on_listed, on_forget };

static void world_init(world_t *w, double retry_ratio)
{
	edge_conf_t conf = { .inc = 7,
			     .data_center = "a",
			     .seed = 1,
			     .retry_ratio = retry_ratio,
			     .retry_window = 10 * MS,
			     .quota_window = 8 * MS };

	memset(w, 0, sizeof(*w));
	w->counters = counters_new();
	w->edge = edge_new(&conf, &ops, w, w->counters);
}

static void world_clear(world_t *w)
{
	edge_free(w->edge);
	counters_free(w->counters);
}

static void put_server(world_t *w, const char *id, const char *ip,
		       unsigned int slots, bool leaving, int64_t born, ms_t now)
{
	backend_info_t info = { .id = id,
				.service = svc,
				.version = "v1",
				.data_center = "a",
				.born = born,
				.slots = slots,
				.leaving = leaving };

	g_strlcpy(info.addr.ip, ip, sizeof(info.addr.ip));
	info.addr.port = 80;
	edge_server_put(w->edge, &info, now);
}

static split_t split = { (char *)svc, 1 };
static edge_route_t route = { .name = "r",
			      .host = "h",
			      .prefix = "/",
			      .repeat = REPEAT_SAFE,
			      .timeout = 2 * MS,
			      .first_target = 200,
			      .attempts = 2,
			      .nsplits = 1,
			      .splits = &split };

static void request_init(request_t *r, const edge_route_t *rt, ms_t now)
{
	memset(r, 0, sizeof(*r));
	r->id = "x";
	r->route = rt;
	r->rank = edge_rank(rt, NULL);
	r->arrived = now;
	r->deadline = now + rt->timeout;
	r->leaves = r->deadline;
	r->first_by = now + rt->first_target;
}

/* Which of a host's routes takes a path. */
typedef struct route_case {
	const char *host;
	const char *path;
	const char *name; /* NULL: none */
} route_case_t;

static const route_case_t route_cases[] = {
	{ "one", "/a/x", "a" },	  { "one", "/a/b/x", "ab" },
	{ "one", "/a/b", "a" },	  { "one", "/c/", NULL },
	{ "two", "/a/x", NULL },  { "two", "/z/", "z" },
	{ "one:80", "/a/", "a" }, { "ONE", "/a/?q=/a/b/", "a" },
	{ "", "/a/", NULL },
};

static void add_route(desired_t *d, const char *name, const char *host,
		      const char *prefix)
{
	edge_route_t *r = g_new0(edge_route_t, 1);

	r->name = g_strdup(name);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	g_ptr_array_add(d->routes, r);
}

START_TEST(test_routes)
{
	const route_case_t *c = &route_cases[_i];
	desired_t *d = desired_new(1);
	const edge_route_t *r;

	add_route(d, "a", "one", "/a/");
	add_route(d, "ab", "one", "/a/b/");
	add_route(d, "z", "two", "/z/");
	desired_index(d);
	r = desired_route(d, str_of(c->host), str_of(c->path));
	ck_assert_msg(g_strcmp0(r ? r->name : NULL, c->name) == 0,
		      "%s%s: %s, expected %s", c->host, c->path,
		      r ? r->name : "none", c->name ? c->name : "none");
	desired_unref(d);
}
END_TEST

START_TEST(test_versions_never_go_back)
{
	world_t w;

	world_init(&w, 0.2);
	ck_assert(edge_configure(w.edge, desired_new(5)));
	ck_assert(!edge_configure(w.edge, desired_new(4)));
	ck_assert(!edge_configure(w.edge, desired_new(5)));
	ck_assert(edge_configure(w.edge, desired_new(9)));
	ck_assert_uint_eq(edge_desired(w.edge)->version, 9);
	world_clear(&w);
}
END_TEST

/* When a server whose entry went is taken as gone. */
typedef struct roster_case {
	const char *name;
	ms_t lost_at; /* the store stops answering; 0 never */
	ms_t back_at;
	ms_t drop_at;	 /* the entry goes */
	ms_t put_at;	 /* and comes back; 0 never */
	ms_t here_until; /* still listed at this time */
	ms_t gone_by;	 /* and gone at this one; 0 stays */
} roster_case_t;

static const roster_case_t roster_cases[] = {
	{ "a leaving server goes at once", 0, 0, 1000, 0, 990, 1000 },
	{ "dropped in an outage, back after it", 1000, 5000, 5010, 6500, 9000,
	  0 },
	{ "dropped in an outage, not back", 1000, 5000, 5010, 0, 6900, 7400 },
	{ "dropped 2.2 s after the return", 1000, 5000, 7200, 0, 7200, 7400 },
	{ "dropped long after the return", 1000, 5000, 9000, 0, 8990, 9000 },
};

static void info_of(backend_info_t *i)
{
	memset(i, 0, sizeof(*i));
	i->id = "s";
	i->service = svc;
	i->version = "v1";
	i->data_center = "a";
	i->slots = 1;
}

static bool is_listed(const edge_t *e)
{
	GPtrArray *ids = edge_server_ids(e);
	bool yes = ids->len == 1;

	g_ptr_array_free(ids, TRUE);
	return yes;
}

START_TEST(test_roster)
{
	const roster_case_t *c = &roster_cases[_i];
	backend_info_t info;
	world_t w;
	roster_t *r;

	world_init(&w, 0.2);
	info_of(&info);
	r = roster_new(w.edge);
	roster_reachable(r, true, -100 * MS);
	roster_put(r, &info, -90 * MS);
	for (ms_t now = 10; now <= 10 * MS; now += 10) {
		if (now == c->lost_at || now == c->back_at)
			roster_reachable(r, now == c->back_at, now);
		if (now == c->drop_at)
			roster_drop(r, "s", now);
		if (now == c->put_at)
			roster_put(r, &info, now);
		roster_tick(r, now);
		if (now == c->here_until)
			ck_assert_msg(is_listed(w.edge), "%s: early", c->name);
		if (now == c->gone_by)
			ck_assert_msg(!is_listed(w.edge), "%s: late", c->name);
	}
	ck_assert(is_listed(w.edge) == (c->gone_by == 0));
	roster_free(r);
	world_clear(&w);
}
END_TEST

/* What a server's state means for a request. */
typedef struct server_case {
	const char *name;
	bool leaving;
	int64_t born_again; /* put again with this; 0 not */
	bool sent;
	unsigned int forgotten;
} server_case_t;

static const server_case_t server_cases[] = {
	{ "ready", false, 0, true, 0 },
	{ "leaving", true, 0, false, 0 },
	{ "started anew under its id", false, 2, true, 1 },
};

START_TEST(test_servers)
{
	const server_case_t *c = &server_cases[_i];
	request_t r;
	world_t w;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 1, c->leaving, 1, 0);
	if (c->born_again)
		put_server(&w, "s", "10.0.0.1", 1, false, c->born_again, 0);
	ck_assert_uint_eq(w.forgotten, c->forgotten);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_msg(w.sent == c->sent, "%s", c->name);
	edge_drop(w.edge, &r, 0);
	world_clear(&w);
}
END_TEST

/* Another server at the address: nothing more until a newer entry shows it. */
START_TEST(test_displaced)
{
	backend_info_t info;
	request_t r;
	world_t w;

	world_init(&w, 1);
	info_of(&info);
	info.seq = 5;
	edge_server_put(w.edge, &info, 0);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_int_eq(edge_sent(w.edge, &r, SENT_WRONG, true, 1),
			 NEXT_AGAIN);
	ck_assert_uint_eq(w.sent, 1);
	edge_server_put(w.edge, &info, 100);
	edge_tick(w.edge, 100);
	ck_assert_uint_eq(w.sent, 1);
	info.seq = 6;
	edge_server_put(w.edge, &info, 200);
	edge_tick(w.edge, 200);
	ck_assert_uint_eq(w.sent, 2);
	edge_drop(w.edge, &r, 201);
	world_clear(&w);
}
END_TEST

/* After a start nothing is known of rates: waiting requests are not refused. */
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
	ck_assert(edge_servers_short(w.edge, 20));
	put_server(&w, "s", "10.0.0.1", 20, false, 1, 30);
	edge_tick(w.edge, 31);
	ck_assert_uint_eq(w.sent, 20);
	for (int i = 0; i < 20; i++)
		edge_drop(w.edge, &r[i], 40);
	world_clear(&w);
}
END_TEST

/*
 * Short runs at a server that many hosts use: that it was full once, some runs
 * ago, keeps no request waiting.
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
		edge_load(w.edge, r.server, 6, 4, now + 30);
		edge_sent(w.edge, &r, SENT_WHOLE, true, now + 30);
	}
	ck_assert_uint_le(late, REQUESTS / 10);
	world_clear(&w);
}
END_TEST

/* What follows a send that ended, by what may be repeated. */
typedef struct sent_case {
	const char *name;
	repeat_t repeat;
	sent_t how;
	bool resumable;
	unsigned int attempts;
	double ratio; /* of repeated sends; 0: no budget */
	verdict_next_t next;
} sent_case_t;

static const sent_case_t sent_cases[] = {
	{ "whole", REPEAT_SAFE, SENT_WHOLE, true, 2, 1, NEXT_ANSWER },
	{ "safe, failed", REPEAT_SAFE, SENT_FAILED, true, 2, 1, NEXT_AGAIN },
	{ "safe, lost", REPEAT_SAFE, SENT_LOST, true, 2, 1, NEXT_AGAIN },
	{ "safe, one attempt", REPEAT_SAFE, SENT_LOST, true, 1, 1,
	  NEXT_ANSWER },
	{ "safe, no budget", REPEAT_SAFE, SENT_LOST, true, 2, 0, NEXT_ANSWER },
	{ "once, lost", REPEAT_NEVER, SENT_LOST, false, 2, 1, NEXT_ANSWER },
	{ "once, failed", REPEAT_NEVER, SENT_FAILED, false, 2, 1, NEXT_ANSWER },
	{ "once, bad answer", REPEAT_NEVER, SENT_BAD, false, 2, 1,
	  NEXT_ANSWER },
	{ "once, rejected", REPEAT_NEVER, SENT_REJECTED, false, 1, 1,
	  NEXT_AGAIN },
	{ "once, not sent", REPEAT_NEVER, SENT_NOT, false, 1, 0, NEXT_AGAIN },
	{ "once, wrong server", REPEAT_NEVER, SENT_WRONG, false, 1, 1,
	  NEXT_AGAIN },
	{ "rejected, no budget", REPEAT_SAFE, SENT_REJECTED, true, 2, 0,
	  NEXT_ANSWER },
	{ "stream lost", REPEAT_RESUME, SENT_LOST, true, 2, 1, NEXT_AGAIN },
	{ "stream lost, no place to go on", REPEAT_RESUME, SENT_LOST, false, 2,
	  1, NEXT_ANSWER },
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
	rt.repeat = c->repeat;
	rt.attempts = c->attempts;
	request_init(&r, &rt, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_uint_eq(w.sent, 1);
	ck_assert_msg(edge_sent(w.edge, &r, c->how, c->resumable, 10) ==
			      c->next,
		      "%s", c->name);
	if (c->next == NEXT_AGAIN) {
		ck_assert_uint_eq(w.sent, 2);
		ck_assert_uint_ne(r.tried[0], r.tried[1]);
		edge_drop(w.edge, &r, 20);
	}
	world_clear(&w);
}
END_TEST

/* The budget: of 100 requests that are all lost, some are sent again. */
START_TEST(test_budget)
{
	world_t w;
	unsigned int again = 0;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 4, false, 1, 0);
	for (int i = 0; i < 100; i++) {
		request_t r;

		request_init(&r, &route, i);
		edge_submit(w.edge, &r, i);
		if (edge_sent(w.edge, &r, SENT_REJECTED, true, i) == NEXT_AGAIN)
			again++;
		edge_drop(w.edge, &r, i);
	}
	ck_assert_uint_ge(again, 15);
	ck_assert_uint_le(again, 20);
	world_clear(&w);
}
END_TEST

/* Which of two waiting requests is sent when a place is free. */
typedef struct order_case {
	const char *name;
	unsigned int rank[2];
	int customer[2]; /* rank; -1 none */
	ms_t target[2];
	ms_t free_at;
	int first;
} order_case_t;

static const order_case_t order_cases[] = {
	{ "in order", { 0, 0 }, { -1, -1 }, { 500, 500 }, 10, 0 },
	{ "by the route's rank", { 1, 0 }, { -1, -1 }, { 500, 500 }, 10, 1 },
	{ "by the customer's rank first",
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
	edge_customer_t cust[2] = { { .name = "c", .rank = c->customer[0] },
				    { .name = "d", .rank = c->customer[1] } };
	edge_route_t rt[2] = { route, route };
	request_t first;
	request_t r[2];
	world_t w;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 1, false, 1, 0);
	request_init(&first, &route, 0);
	edge_submit(w.edge, &first, 0);
	for (int i = 0; i < 2; i++) {
		rt[i].rank = c->rank[i];
		rt[i].first_target = c->target[i];
		request_init(&r[i], &rt[i], i);
		r[i].rank =
			edge_rank(&rt[i], c->customer[i] < 0 ? NULL : &cust[i]);
		edge_submit(w.edge, &r[i], i);
	}
	ck_assert_uint_eq(w.sent, 1);
	for (ms_t now = 10; now < c->free_at; now += 10) {
		edge_first(w.edge, &first, now);
		edge_tick(w.edge, now);
	}
	edge_sent(w.edge, &first, SENT_WHOLE, true, c->free_at);
	ck_assert_msg(w.last == &r[c->first], "%s", c->name);
	edge_drop(w.edge, &r[0], c->free_at);
	edge_drop(w.edge, &r[1], c->free_at);
	world_clear(&w);
}
END_TEST

/* A request that nobody can serve is given up in time, as not run. */
START_TEST(test_give_up)
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

/*
 * A customer that asks for four times its quota at several hosts. All hosts
 * hear each other, or none does; the sum over a window keeps the quota.
 */
typedef struct quota_case {
	const char *name;
	unsigned int hosts;
	bool heard;
	double asks[4];	 /* requests a second at each host */
	double at_least; /* of the quota, served in a window */
	double at_most;
} quota_case_t;

static const quota_case_t quota_cases[] = {
	{ "one host", 1, true, { 400 }, 0.95, 1.25 },
	{ "even", 4, true, { 100, 100, 100, 100 }, 0.95, 1.25 },
	{ "uneven", 4, true, { 340, 20, 20, 20 }, 0.95, 1.25 },
	{ "out of touch", 4, false, { 100, 100, 100, 100 }, 0.5, 1.25 },
	{ "out of touch, uneven", 4, false, { 340, 20, 20, 20 }, 0.2, 1.25 },
};

typedef struct hosts {
	world_t w[4];
	unsigned int n;
	edge_customer_t customer;
	double served; /* requests in the window */
} hosts_t;

typedef struct teller {
	edge_t *to;
	const char *name;
} teller_t;

static void tell_one(void *ctx, const char *customer, double sent)
{
	teller_t *t = ctx;

	edge_host_sent(t->to, t->name, customer, sent);
}

static void tell_all(hosts_t *h, ms_t now)
{
	static const char *const names[] = { "h0", "h1", "h2", "h3" };

	for (unsigned int i = 0; i < h->n; i++) {
		for (unsigned int k = 0; k < h->n; k++) {
			teller_t t = { h->w[k].edge, names[i] };

			if (i == k)
				continue;
			edge_host_heard(t.to, t.name, i + 1, now);
			edge_each_use(h->w[i].edge, tell_one, &t);
		}
	}
}

static void ask_once(hosts_t *h, unsigned int i, ms_t now, bool counts)
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
	edge_sent(w->edge, &r, SENT_WHOLE, true, now);
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
		world_init(&h.w[i], 0.2);
		put_server(&h.w[i], "s", "10.0.0.1", 100, false, 1, 0);
		for (unsigned int k = 0; k < h.n; k++) {
			char name[16];

			snprintf(name, sizeof(name), "h%u", k);
			if (k != i)
				edge_host_listed(h.w[i].edge, name);
		}
	}
	for (ms_t now = 0; now < 16 * MS; now += 10) {
		if (c->heard && now % 100 == 0)
			tell_all(&h, now);
		for (unsigned int i = 0; i < h.n; i++) {
			edge_tick(h.w[i].edge, now);
			for (due[i] += c->asks[i] / 100; due[i] >= 1; due[i]--)
				ask_once(&h, i, now, now >= 8 * MS);
		}
	}
	ck_assert_msg(h.served >= quota * c->at_least * 8 / 9 &&
			      h.served <= quota * c->at_most,
		      "%s: %.0f of %.0f", c->name, h.served, quota);
	for (unsigned int i = 0; i < h.n; i++)
		world_clear(&h.w[i]);
}
END_TEST

/* A server that loses what it is sent gets less and is tried again. */
START_TEST(test_set_aside)
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
		bool sick = now < 4 * MS;
		request_t r;
		bool bad;

		request_init(&r, &route, now);
		edge_tick(w.edge, now);
		edge_submit(w.edge, &r, now);
		bad = strcmp(r.server->id, "bad") == 0;
		to_bad += bad && sick;
		late += bad && !sick;
		if (!(bad && sick))
			edge_first(w.edge, &r, now + 5);
		edge_sent(w.edge, &r, bad && sick ? SENT_LOST : SENT_WHOLE,
			  true, now + 5);
		if (r.state != REQUEST_ENDED)
			edge_drop(w.edge, &r, now + 6);
	}
	ck_assert_uint_le(to_bad, 12);
	ck_assert_uint_ge(late, 20);
	world_clear(&w);
}
END_TEST

/* A long stream goes to the fast server, a short one to any. */
START_TEST(test_long_runs)
{
	static const double ms_a_token[] = { 9, 2 }; /* slow, fast */
	edge_route_t rt = route;
	unsigned int to_slow = 0;
	world_t w;

	world_init(&w, 1);
	rt.stream = true;
	rt.repeat = REPEAT_NEVER;
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
		edge_first(w.edge, &r, now + 50);
		edge_sent(w.edge, &r, SENT_WHOLE, true,
			  now + 50 + (ms_t)(r.output * ms_a_token[fast]));
	}
	ck_assert_uint_eq(to_slow, 0);
	world_clear(&w);
}
END_TEST

/* With a keeper in touch nothing is sent before a place is granted. */
START_TEST(test_asking)
{
	rid_t rid;
	request_t r;
	world_t w;

	world_init(&w, 1);
	put_server(&w, "s", "10.0.0.1", 9, false, 1, 0);
	edge_keeper(w.edge, "10.0.0.1", 42);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_uint_eq(w.sent, 0);
	ck_assert_uint_eq(w.asked, 1);
	rid = r.rid;
	ck_assert(!edge_granted(w.edge, 43, rid, 1));
	ck_assert(edge_granted(w.edge, 42, rid, 1));
	ck_assert_uint_eq(w.sent, 1);
	ck_assert(!edge_granted(w.edge, 42, rid, 2));
	edge_sent(w.edge, &r, SENT_WHOLE, true, 3);
	ck_assert_uint_eq(w.released, 1);
	request_init(&r, &route, 4);
	edge_submit(w.edge, &r, 4);
	ck_assert_uint_eq(w.sent, 1);
	edge_keeper(w.edge, "10.0.0.1", 0);
	edge_tick(w.edge, 5);
	ck_assert_uint_eq(w.sent, 2);
	edge_drop(w.edge, &r, 6);
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
	tcase_add_loop_test(t, test_routes, 0, G_N_ELEMENTS(route_cases));
	tcase_add_test(t, test_versions_never_go_back);
	tcase_add_loop_test(t, test_roster, 0, G_N_ELEMENTS(roster_cases));
	tcase_add_loop_test(t, test_servers, 0, G_N_ELEMENTS(server_cases));
	tcase_add_loop_test(t, test_sent, 0, G_N_ELEMENTS(sent_cases));
	tcase_add_test(t, test_displaced);
	tcase_add_test(t, test_no_rate);
	tcase_add_test(t, test_old_load);
	tcase_add_test(t, test_budget);
	tcase_add_loop_test(t, test_order, 0, G_N_ELEMENTS(order_cases));
	tcase_add_test(t, test_give_up);
	tcase_add_loop_test(t, test_quota, 0, G_N_ELEMENTS(quota_cases));
	tcase_add_test(t, test_set_aside);
	tcase_add_test(t, test_long_runs);
	tcase_add_test(t, test_asking);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
