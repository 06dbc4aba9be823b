/*
 * The clients of the store and of the project's own interfaces at servers whose
 * answers do not end: each call ends, its connection is closed and what it read
 * is bounded.
 */
#include "adapter.h"
#include "flood.h"
#include "platform/fns.h"

enum {
	WAIT_MAX_MS = 30000,  /* for one case */
	HEAD_MOST = 48 << 20, /* bytes: limit of a head, and what sockets and
				 20 ms of reading add */
	BODY_MOST = 48 << 20, /* the same of an answer */
	FETCH_MOST = 160 << 20,
	CALL_MAX = 1 << 20, /* bytes of the answer to a call */
};

#define OK200	 "HTTP/1.1 200 OK\r\n"
#define CHUNKED	 "Transfer-Encoding: chunked\r\n\r\n"
#define FIXED(n) "Content-Length: " #n "\r\n\r\n"

typedef enum client {
	CLIENT_FOLLOW,
	CLIENT_APPEND,
	CLIENT_CALL,
	CLIENT_FETCH,
} client_t;

typedef struct endless_case {
	const char *name;
	client_t client;
	const char *start;
	const char *more;
	size_t most;
} endless_case_t;

static const endless_case_t cases[] = {
	{ "store, head", CLIENT_FOLLOW, OK200 "A: ", "x", HEAD_MOST },
	{ "store, interim heads", CLIENT_FOLLOW, "",
	  "HTTP/1.1 100 Continue\r\n\r\n", HEAD_MOST },
	{ "store, body", CLIENT_FOLLOW, OK200 "\r\n", "x", BODY_MOST },
	{ "store, chunks", CLIENT_FOLLOW, OK200 CHUNKED, "4\r\nabcd\r\n",
	  BODY_MOST },
	{ "store, refusal's body", CLIENT_FOLLOW, "HTTP/1.1 503 No\r\n\r\n",
	  "x", BODY_MOST },
	{ "append, head", CLIENT_APPEND, OK200 "A: ", "x", HEAD_MOST },
	{ "append, body", CLIENT_APPEND, OK200 "\r\n", "x", BODY_MOST },
	{ "call, head", CLIENT_CALL, OK200 "A: ", "x", HEAD_MOST },
	{ "call, head of many fields", CLIENT_CALL, OK200, "A: b\r\n",
	  HEAD_MOST },
	{ "call, interim heads", CLIENT_CALL, "",
	  "HTTP/1.1 100 Continue\r\n\r\n", HEAD_MOST },
	{ "call, unframed body", CLIENT_CALL, OK200 "\r\n", "x", BODY_MOST },
	{ "call, length never reached", CLIENT_CALL, OK200 FIXED(99999999999),
	  "x", BODY_MOST },
	{ "call, chunks", CLIENT_CALL, OK200 CHUNKED, "4\r\nabcd\r\n",
	  BODY_MOST },
	{ "call, chunk extension", CLIENT_CALL, OK200 CHUNKED "1;", "x",
	  BODY_MOST },
	{ "call, trailers", CLIENT_CALL, OK200 CHUNKED "0\r\n", "A: b\r\n",
	  BODY_MOST },
	{ "page, body", CLIENT_FETCH, OK200 "\r\n", "x", FETCH_MOST },
};

/* A client of any kind and the server that it calls. */
typedef struct set {
	uv_loop_t loop;
	flood_t flood;
	counters_t *counters;
	store_link_t store;
	follow_t *follow;
	append_t *append;
	httpc_t *http;
	unsigned int whole; /* answers believed */
	unsigned int failed;
} set_t;

static void ignore_record(void *ctx, str_t key, str_t value, uint64_t offset)
{
	((set_t *)ctx)->whole++;
}

static void ignore(void *ctx)
{
}

static void on_reachable(void *ctx, bool yes)
{
	((set_t *)ctx)->whole += yes;
}

static void ignore_read(void *ctx, uint64_t from, uint64_t to)
{
}

static const follow_ops_t follow_ops = { ignore_record, ignore, ignore,
					 on_reachable, ignore_read };

static void on_appended(void *ctx, const char *topic, const char *key,
			append_result_t how)
{
	((set_t *)ctx)->whole++;
}

static const append_ops_t append_ops = { on_appended };

static void ignore_head(void *ctx, int status, str_t type)
{
}

static void ignore_data(void *ctx, str_t data)
{
}

static void on_call_end(void *ctx, code_t code)
{
	set_t *s = ctx;

	s->whole += code == CODE_OK;
	s->failed += code != CODE_OK;
}

static const httpc_ops_t call_ops = { ignore_head, ignore_data, on_call_end };

static void on_fetched(void *ctx, code_t code, int status, str_t body)
{
	on_call_end(ctx, code);
}

static void open_store_client(set_t *s, client_t kind)
{
	follow_conf_t conf = { .store = &s->store,
			       .topic = "keyed.t",
			       .wait = 1000,
			       .pause = 3600000,
			       .retry_max = 100,
			       .news_max = 500 };

	s->store.addr = s->flood.at;
	reach_init(&s->store.reach);
	if (kind == CLIENT_FOLLOW) {
		s->follow = follow_new(&s->loop, &conf, &follow_ops, s,
				       s->counters);
	} else {
		s->append = append_new(&s->loop, &s->store, &append_ops, s,
				       s->counters);
		append_put(s->append, "t", "k", "v", NULL);
	}
}

static void set_open(set_t *s, const endless_case_t *c)
{
	httpc_call_t call = { .method = "GET",
			      .path = "/",
			      .answer_max = CALL_MAX };

	memset(s, 0, sizeof(*s));
	uv_loop_init(&s->loop);
	flood_open(&s->flood, &s->loop, c->start, c->more, c->most);
	s->counters = counters_new();
	call.to = s->flood.at;
	if (c->client <= CLIENT_APPEND) {
		open_store_client(s, c->client);
		return;
	}
	s->http = httpc_new(&s->loop, s->counters);
	if (c->client == CLIENT_CALL)
		httpc_call(s->http, &call, &call_ops, s);
	else
		fetch_start(s->http, &call.to, "GET", "/", str_of(""),
			    on_fetched, s);
}

static void set_close(set_t *s)
{
	if (s->follow)
		follow_free(s->follow);
	if (s->append)
		append_free(s->append);
	if (s->http)
		httpc_free(s->http);
	flood_close(&s->flood);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&s->loop), 0);
	flood_free(&s->flood);
	counters_free(s->counters);
}

/* Ticks once until the first call has ended, so that no other follows. */
static void tick(set_t *s, ms_t now)
{
	if (s->follow && s->flood.nconns == 0)
		follow_tick(s->follow, now);
	if (s->append && s->flood.nconns == 0)
		append_tick(s->append, now);
}

START_TEST(test_endless)
{
	const endless_case_t *c = &cases[_i];
	ms_t until = clock_now() + WAIT_MAX_MS;
	set_t s;

	set_open(&s, c);
	while (clock_now() < until && !flood_overran(&s.flood) &&
	       !flood_shut(&s.flood)) {
		tick(&s, clock_now());
		uv_run(&s.loop, UV_RUN_NOWAIT);
	}
	ck_assert_msg(!flood_overran(&s.flood), "%s: all was read", c->name);
	ck_assert_msg(flood_shut(&s.flood), "%s: not closed", c->name);
	ck_assert_msg(s.whole == 0, "%s: believed", c->name);
	ck_assert_msg(!s.http || s.failed == 1, "%s: %u ends", c->name,
		      s.failed);
	set_close(&s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("endless_client");
	TCase *t = tcase_create("all");
	SRunner *r = srunner_create(s);
	int failed;

	signal(SIGPIPE, SIG_IGN);
	log_open(2, LOG_ERROR, false);
	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, test_endless, 0, G_N_ELEMENTS(cases));
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
