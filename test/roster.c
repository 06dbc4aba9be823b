/* Configuration and servers of an edge host: routes, versions, the roster. */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include "world.h"

/* Which of a host's routes matches a path. */
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

/* When a server whose entry is gone is removed. */
typedef struct roster_case {
	const char *name;
	ms_t lost_at; /* the store stops answering; 0: never */
	ms_t back_at;
	ms_t drop_at;	   /* the entry disappears */
	ms_t put_at;	   /* and comes back; 0: never */
	ms_t listed_until; /* still listed at this time */
	ms_t gone_by;	   /* and gone at this one; 0: stays listed */
} roster_case_t;

static const roster_case_t roster_cases[] = {
	{ "a draining server is removed at once", 0, 0, 1000, 0, 990, 1000 },
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
	roster_store_reachable(r, true, -100 * MS);
	roster_put(r, &info, -90 * MS);
	for (ms_t now = 10; now <= 10 * MS; now += 10) {
		if (now == c->lost_at || now == c->back_at)
			roster_store_reachable(r, now == c->back_at, now);
		if (now == c->drop_at)
			roster_remove(r, "s", now);
		if (now == c->put_at)
			roster_put(r, &info, now);
		roster_tick(r, now);
		if (now == c->listed_until)
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
	bool draining;
	int64_t restarted_unix; /* listed again with this start time; 0: not
				   listed again */
	bool sent;
	unsigned int forgotten;
} server_case_t;

static const server_case_t server_cases[] = {
	{ "ready", false, 0, true, 0 },
	{ "draining", true, 0, false, 0 },
	{ "restarted under its id", false, 2, true, 1 },
};

START_TEST(test_servers)
{
	const server_case_t *c = &server_cases[_i];
	request_t r;
	world_t w;

	world_init(&w, 0.2);
	put_server(&w, "s", "10.0.0.1", 1, c->draining, 1, 0);
	if (c->restarted_unix)
		put_server(&w, "s", "10.0.0.1", 1, false, c->restarted_unix, 0);
	ck_assert_uint_eq(w.forgotten, c->forgotten);
	request_init(&r, &route, 0);
	edge_submit(w.edge, &r, 0);
	ck_assert_msg(w.sent == c->sent, "%s", c->name);
	edge_abandon(w.edge, &r, 0);
	world_clear(&w);
}
END_TEST

/*
 * Another server has the address: the first one gets no requests until a newer
 * entry of its own is listed.
 */
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
	ck_assert_int_eq(
		edge_attempt_ended(w.edge, &r, ATTEMPT_WRONG_SERVER, true, 1),
		NEXT_RETRY);
	ck_assert_uint_eq(w.sent, 1);
	edge_server_put(w.edge, &info, 100);
	edge_tick(w.edge, 100);
	ck_assert_uint_eq(w.sent, 1);
	info.seq = 6;
	edge_server_put(w.edge, &info, 200);
	edge_tick(w.edge, 200);
	ck_assert_uint_eq(w.sent, 2);
	edge_abandon(w.edge, &r, 201);
	world_clear(&w);
}
END_TEST

/* Two entries with one address: which server gets the requests. */
typedef struct address_case {
	const char *name;
	int64_t started_unix[2]; /* of the first and the second listed */
	uint16_t port[2];
	const char *to; /* NULL: either */
} address_case_t;

static const address_case_t address_cases[] = {
	{ "the later one is listed last", { 5, 9 }, { 80, 80 }, "second" },
	{ "the later one is listed first", { 9, 5 }, { 80, 80 }, "first" },
	{ "starts unknown", { 0, 0 }, { 80, 80 }, NULL },
	{ "started in the same ms", { 5, 5 }, { 80, 80 }, NULL },
	{ "other ports", { 5, 9 }, { 80, 81 }, NULL },
};

START_TEST(test_shared_address)
{
	static const char *const ids[] = { "first", "second" };
	const address_case_t *c = &address_cases[_i];
	unsigned int to_first = 0;
	backend_info_t info;
	request_t r[20];
	world_t w;

	world_init(&w, 1);
	for (int i = 0; i < 2; i++) {
		info_of(&info);
		info.id = ids[i];
		info.started_unix = c->started_unix[i];
		info.addr.port = c->port[i];
		info.slots = 100;
		edge_server_put(w.edge, &info, 0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(r); i++) {
		request_init(&r[i], &route, 1);
		edge_submit(w.edge, &r[i], 1);
		to_first += strcmp(r[i].server->id, "first") == 0;
	}
	if (c->to)
		ck_assert_msg(to_first ==
				      (strcmp(c->to, "first") == 0 ? 20 : 0),
			      "%s: %u", c->name, to_first);
	else
		ck_assert_msg(to_first > 0 && to_first < 20, "%s", c->name);
	for (size_t i = 0; i < G_N_ELEMENTS(r); i++)
		edge_abandon(w.edge, &r[i], 2);
	world_clear(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("roster");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_add_loop_test(t, test_routes, 0, G_N_ELEMENTS(route_cases));
	tcase_add_test(t, test_versions_never_go_back);
	tcase_add_loop_test(t, test_roster, 0, G_N_ELEMENTS(roster_cases));
	tcase_add_loop_test(t, test_servers, 0, G_N_ELEMENTS(server_cases));
	tcase_add_test(t, test_displaced);
	tcase_add_loop_test(t, test_shared_address, 0,
			    G_N_ELEMENTS(address_cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
