/*
 * Odd records of other writers, and odd answers of the store: nested deeply,
 * with numbers too large, with bytes that are no text. An odd record costs
 * itself alone: the others of the listing are read, and reading goes on.
 */
#include <signal.h>
#include "adapter.h"
#include "script.h"

enum {
	NESTED = 100000,    /* levels; more than a decoder's stack bears */
	WAIT_MAX_MS = 5000, /* for one listing */
	TURNS = 20,	    /* of the event loop, in which nothing happens */
	NUMBER_MAX = 1000000000,
};

/* Returns text with each '@' replaced by so many brackets, and their ends. */
static char *nest(const char *text)
{
	GString *out = g_string_new(NULL);

	for (; *text; text++) {
		if (*text != '@') {
			g_string_append_c(out, *text);
			continue;
		}
		for (int i = 0; i < NESTED; i++)
			g_string_append_c(out, '[');
		for (int i = 0; i < NESTED; i++)
			g_string_append_c(out, ']');
	}
	return g_string_free(out, FALSE);
}

typedef struct server_case {
	const char *name;
	const char *key;
	const char *text;
	code_t code;
} server_case_t;

#define SERVER(addr, version, slots, extra)                                    \
	"{\"service\":\"s\",\"addr\":\"" addr "\",\"zone\":\"a\","             \
	"\"version\":\"" version "\",\"slots\":" slots                         \
	",\"state\":\"ready\",\"seq\":4" extra "}"
#define PLAIN(extra) SERVER("10.0.0.1:80", "v1", "9", extra)

static const server_case_t server_cases[] = {
	{ "sound", "i-1", PLAIN(""), CODE_OK },
	{ "nested", "i-1", PLAIN(",\"x\":@"), CODE_BAD_RECORD },
	{ "number too large", "i-1", PLAIN(",\"x\":99999999999999999999"),
	  CODE_BAD_RECORD },
	{ "real too large", "i-1", PLAIN(",\"x\":1e999"), CODE_BAD_RECORD },
	{ "slots too large", "i-1",
	  SERVER("10.0.0.1:80", "v1", "9000000000", ""), CODE_BAD_RECORD },
	{ "start time too large", "i-1", PLAIN(",\"born\":1e300"),
	  CODE_BAD_RECORD },
	{ "port too large", "i-1", SERVER("10.0.0.1:65536", "v1", "9", ""),
	  CODE_BAD_RECORD },
	{ "port of 20 digits", "i-1",
	  SERVER("10.0.0.1:99999999999999999999", "v1", "9", ""),
	  CODE_BAD_RECORD },
	{ "no port", "i-1", SERVER("10.0.0.1:", "v1", "9", ""),
	  CODE_BAD_RECORD },
	/* The key and the version go into fields of requests. */
	{ "a field in the key", "i-1\r\nX-Hold: 1", PLAIN(""),
	  CODE_BAD_RECORD },
	{ "a blank in the key", "i 1", PLAIN(""), CODE_BAD_RECORD },
	{ "no text in the key", "i-\xff", PLAIN(""), CODE_BAD_RECORD },
	{ "a field in the version", "i-1",
	  SERVER("10.0.0.1:80", "v1\\r\\nX-Hold: 1", "9", ""),
	  CODE_BAD_RECORD },
};

START_TEST(test_server)
{
	const server_case_t *c = &server_cases[_i];
	char *text = nest(c->text);
	const char *why = NULL;
	server_record_t r;
	code_t code =
		adapter_parse_server(str_of(c->key), str_of(text), &r, &why);

	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	if (code == CODE_OK)
		adapter_server_clear(&r);
	g_free(text);
}
END_TEST

typedef struct config_case {
	const char *name;
	const char *top;   /* fields beside version, routes and tenants */
	const char *route; /* fields of the route */
	const char *tenant;
	code_t code;
} config_case_t;

static const config_case_t config_cases[] = {
	{ "sound", "\"version\":3", "", "", CODE_OK },
	{ "version below 0", "\"version\":-3", "", "", CODE_BAD_RECORD },
	{ "services not a list", "\"version\":3,\"services\":{}", "", "",
	  CODE_BAD_RECORD },
	{ "services left out", "\"version\":3,\"services\":null", "", "",
	  CODE_OK },
	{ "nested", "\"version\":3,\"x\":@", "", "", CODE_BAD_RECORD },
	{ "timeout too large", "\"version\":3", ",\"timeout_ms\":1e300", "",
	  CODE_OK },
	{ "targets too large", "\"version\":3",
	  ",\"latency_target_ms\":1e30,\"gap_target_ms\":9e18", "", CODE_OK },
	{ "attempts too large", "\"version\":3", ",\"attempts\":4294967297", "",
	  CODE_OK },
	{ "priority too large", "\"version\":3", ",\"priority\":1e20",
	  ",\"priority\":1e20", CODE_OK },
	{ "weight too large", "\"version\":3",
	  ",\"backends\":[{\"service\":\"s\",\"weight\":1e308},"
	  "{\"service\":\"z\",\"weight\":1e308}]",
	  "", CODE_OK },
	{ "rate too large", "\"version\":3", "",
	  ",\"rate_per_s\":1e300,\"burst\":1e300,\"plain_tokens\":1e300",
	  CODE_OK },
	{ "limits too large",
	  "\"version\":3,\"limits\":{\"max_header_bytes\":1e300,"
	  "\"max_body_bytes\":1e300,\"header_timeout_ms\":1e300,"
	  "\"idle_timeout_ms\":1e300}",
	  "", "", CODE_OK },
	{ "a field in a customer's name", "\"version\":3", "",
	  ",\"name\":\"t\\r\\nX-Hold: 1\"", CODE_BAD_RECORD },
};

static void check_bounds(const char *name, const desired_t *d)
{
	const edge_route_t *r = d->routes->pdata[0];
	const edge_customer_t *c = d->customers->pdata[0];

	ck_assert_msg(
		r->timeout >= 0 && r->timeout <= NUMBER_MAX &&
			r->first_event_target <= NUMBER_MAX &&
			r->first_event_target >= 0 && r->gap_target >= 0 &&
			r->gap_target <= NUMBER_MAX && r->attempts > 0 &&
			r->attempts <= NUMBER_MAX && r->priority <= NUMBER_MAX,
		"%s: route", name);
	for (size_t i = 0; i < r->nsplits; i++)
		ck_assert_msg(r->splits[i].weight <= NUMBER_MAX, "%s: weight",
			      name);
	ck_assert_msg(c->priority >= -1 && c->priority <= NUMBER_MAX,
		      "%s: customer", name);
	ck_assert_msg(d->limits.header_max <= NUMBER_MAX &&
			      d->limits.body_max <= NUMBER_MAX &&
			      d->limits.header_timeout >= 0 &&
			      d->limits.header_timeout <= NUMBER_MAX &&
			      d->limits.idle_timeout >= 0 &&
			      d->limits.idle_timeout <= NUMBER_MAX,
		      "%s: limits", name);
}

START_TEST(test_config)
{
	const config_case_t *c = &config_cases[_i];
	char *plain = g_strdup_printf(
		"{%s,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/\",\"kind\":\"safe\",\"service\":\"s\"%s}],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]%s}]}",
		c->top, c->route, c->tenant);
	char *text = nest(plain);
	const char *why = NULL;
	desired_t *d = NULL;
	code_t code = adapter_parse_config(str_of(text), &d, &why);

	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	if (code == CODE_OK)
		check_bounds(c->name, d);
	desired_unref(d);
	g_free(text);
	g_free(plain);
}
END_TEST

typedef struct order_case {
	const char *name;
	const char *text;
	code_t code;
} order_case_t;

static const order_case_t order_cases[] = {
	{ "sound", "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":30}",
	  CODE_OK },
	{ "nested",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":30,\"x\":@}",
	  CODE_BAD_RECORD },
	{ "duration too large",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":1e300}",
	  CODE_BAD_RECORD },
	{ "duration not a number",
	  "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":\"30\"}",
	  CODE_BAD_RECORD },
	{ "target not a text",
	  "{\"service\":\"s\",\"target\":{},\"duration_s\":30}",
	  CODE_BAD_RECORD },
};

START_TEST(test_order)
{
	const order_case_t *c = &order_cases[_i];
	char *text = nest(c->text);
	const char *why = NULL;
	shift_order_t order;
	void *doc = NULL;
	code_t code = adapter_parse_rollout(str_of("rollout/s"), str_of(text),
					    1, &order, &doc, &why);

	ck_assert_msg(code == c->code, "%s: code %d", c->name, code);
	if (code == CODE_OK)
		adapter_rollout_clear(doc);
	g_free(text);
}
END_TEST

/* What a reader of a topic was told. */
typedef struct told {
	GString *keys; /* with a blank behind each */
	bool listed;
} told_t;

static void on_record(void *ctx, str_t key, str_t value, uint64_t offset)
{
	told_t *t = ctx;

	g_string_append_len(t->keys, key.p, (gssize)key.n);
	g_string_append_c(t->keys, ' ');
}

static void on_listing_begin(void *ctx)
{
}

static void on_listing_end(void *ctx)
{
	((told_t *)ctx)->listed = true;
}

static void on_reachable(void *ctx, bool yes)
{
}

static void on_range(void *ctx, uint64_t from, uint64_t to)
{
}

static const follow_ops_t follow_ops = { on_record, on_listing_begin,
					 on_listing_end, on_reachable,
					 on_range };

typedef struct page_case {
	const char *name;
	const char *item;
	const char *keys; /* read of the page */
} page_case_t;

#define ITEM(key, extra)                                                       \
	"{\"key\":" key ",\"value\":\"e30=\",\"offset\":3" extra "}"

static const page_case_t page_cases[] = {
	{ "sound", ITEM("\"o\"", ""), "a o z " },
	{ "value not base64", "{\"key\":\"o\",\"value\":\"!\",\"offset\":3}",
	  "a o z " },
	{ "key not a text", ITEM("7", ""), "a z " },
	{ "no value", "{\"key\":\"o\",\"offset\":3}", "a z " },
	{ "offset below 0", "{\"key\":\"o\",\"value\":\"\",\"offset\":-3}",
	  "a z " },
	{ "offset a text", "{\"key\":\"o\",\"value\":\"\",\"offset\":\"3\"}",
	  "a z " },
	{ "offset too large",
	  "{\"key\":\"o\",\"value\":\"\",\"offset\":99999999999999999999}",
	  "a z " },
	{ "offset too large, a real",
	  "{\"key\":\"o\",\"value\":\"\",\"offset\":1e999}", "a z " },
	{ "no object", "7", "a z " },
	{ "nothing", "null", "a z " },
	{ "nested", ITEM("\"o\"", ",\"x\":@"), "a z " },
	{ "nested by itself", "@", "a z " },
	{ "brackets and quotes in a text",
	  ITEM("\"o\"", ",\"x\":\"]}\\\"[{\",\"y\":1e999"), "a z " },
	{ "a zero byte in the key", ITEM("\"o\\u0000\"", ""), "a z " },
	{ "half a character in the key", ITEM("\"o\\ud800\"", ""), "a z " },
	{ "no text in the key", ITEM("\"o\xff\"", ""), "a z " },
};

/* Returns a whole answer with the page as its body. */
static char *page_answer(const char *item)
{
	char *nested = nest(item);
	char *page = g_strdup_printf(
		"{\"items\":[" ITEM("\"a\"", "") ",%s," ITEM(
			"\"z\"", "") "],"
				     "\"has_more\":false,\"end\":9}",
		nested);
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(page), page);

	g_free(page);
	g_free(nested);
	return text;
}

/* A reader of the topic and the store that it reads. */
typedef struct reader {
	uv_loop_t loop;
	script_t server;
	store_link_t store;
	counters_t *counters;
	follow_t *follow;
	told_t told;
} reader_t;

static void reader_open(reader_t *r, const script_step_t *steps, size_t nsteps)
{
	follow_conf_t conf = { .store = &r->store,
			       .topic = "keyed.t",
			       .retry_max = WAIT_MAX_MS };

	memset(r, 0, sizeof(*r));
	uv_loop_init(&r->loop);
	script_open(&r->server, &r->loop, steps, nsteps);
	r->store.addr = r->server.at;
	reach_init(&r->store.reach);
	r->counters = counters_new();
	r->told.keys = g_string_new(NULL);
	r->follow =
		follow_new(&r->loop, &conf, &follow_ops, &r->told, r->counters);
}

static void reader_close(reader_t *r)
{
	follow_free(r->follow);
	script_close(&r->server);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	script_free(&r->server);
	counters_free(r->counters);
	g_string_free(r->told.keys, TRUE);
}

START_TEST(test_page)
{
	const page_case_t *c = &page_cases[_i];
	char *text = page_answer(c->item);
	script_step_t steps[] = { { text, NULL, SCRIPT_KEEP },
				  { NULL, NULL, SCRIPT_KEEP } };
	ms_t until = clock_now() + WAIT_MAX_MS;
	reader_t r;

	reader_open(&r, steps, G_N_ELEMENTS(steps));
	while (r.server.nrequests < 2 && clock_now() < until) {
		follow_tick(r.follow, clock_now());
		uv_run(&r.loop, UV_RUN_NOWAIT);
	}
	ck_assert_msg(r.told.listed, "%s: not listed", c->name);
	ck_assert_msg(strcmp(r.told.keys->str, c->keys) == 0, "%s: read %s",
		      c->name, r.told.keys->str);
	ck_assert_msg(strstr(r.server.requests->str, "log-read") != NULL,
		      "%s: not read on", c->name);
	reader_close(&r);
	g_free(text);
}
END_TEST

/* Pages that cannot be read at all, or never end. */
static const char *const bad_pages[] = {
	"",
	"[]",
	"{",
	"{\"items\":[",
	"{\"items\":[1e999}",
	"{\"items\":[1e999]]",
	"{\"items\":[{}],\"has_more\":false,\"end\":-1}",
	"{\"items\":[{}],\"has_more\":false,\"end\":1e999}",
	"{\"items\":[7],\"has_more\":true,\"end\":9}",
	"{\"items\":[1e999],\"has_more\":true,\"end\":9}",
};

/* A page that brings the listing no further is asked for again only later. */
START_TEST(test_bad_page)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(bad_pages[_i]), bad_pages[_i]);
	script_step_t steps[] = { { text, NULL, SCRIPT_KEEP } };
	ms_t now = clock_now();
	ms_t until = now + WAIT_MAX_MS;
	const counter_t *failures;
	reader_t r;

	reader_open(&r, steps, G_N_ELEMENTS(steps));
	failures = counter_get(r.counters, "edge_store_failures_total",
			       "topic=\"keyed.t\"");
	while (failures->value == 0 && clock_now() < until) {
		follow_tick(r.follow, now);
		uv_run(&r.loop, UV_RUN_NOWAIT);
	}
	for (int i = 0; i < TURNS; i++) {
		follow_tick(r.follow, now);
		uv_run(&r.loop, UV_RUN_NOWAIT);
	}
	ck_assert_msg(!r.told.listed, "listed: %s", bad_pages[_i]);
	ck_assert_uint_eq(r.server.nrequests, 1);
	reader_close(&r);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("records");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, test_server, 0, G_N_ELEMENTS(server_cases));
	tcase_add_loop_test(t, test_config, 0, G_N_ELEMENTS(config_cases));
	tcase_add_loop_test(t, test_order, 0, G_N_ELEMENTS(order_cases));
	tcase_add_loop_test(t, test_page, 0, G_N_ELEMENTS(page_cases));
	tcase_add_loop_test(t, test_bad_page, 0, G_N_ELEMENTS(bad_pages));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
