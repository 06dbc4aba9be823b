/* The log and host list clients against a server with scripted responses. */
#include <check.h>
#include <string.h>
#include "platform/fns.h"

enum {
	RESPONSES_MAX = 8,
	TEST_TIMEOUT_MS = 5000,
	POLL_MS = 10,
};

#define STATUS(n) "HTTP/1.1 " n " X\r\nContent-Length: 0\r\n\r\n"

/*
 * A server that answers each connection with the next response of a script: a
 * body to be sent with status 200, or a whole response that starts with "HTTP".
 */
typedef struct server {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_timer_t timeout;
	/* "" closes at once; after the final NULL each answer is a 503. */
	const char *const *responses;
	size_t next;
	httpc_t *http;
	counters_t *counters;
	addr_t addr;
	GString *events;
	const char *until; /* stop when events ends with this */
	logc_t *log;
} server_t;

typedef struct conn {
	uv_tcp_t tcp;
	uv_write_t write;
	server_t *s;
	char *out;
	bool answered;
} conn_t;

static void on_conn_closed(uv_handle_t *h)
{
	conn_t *c = h->data;

	g_free(c->out);
	g_free(c);
}

static void on_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
	static char data[65536];

	(void)h;
	(void)n;
	*buf = uv_buf_init(data, sizeof(data));
}

static void on_written(uv_write_t *w, int status)
{
	conn_t *c = w->data;

	(void)status;
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static char *next_response(server_t *s)
{
	const char *a = s->responses[s->next];

	if (!a)
		return g_strdup(STATUS("503"));
	s->next++;
	if (a[0] == '\0' || g_str_has_prefix(a, "HTTP"))
		return g_strdup(a);
	return g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			       "\r\n%s",
			       strlen(a), a);
}

static void on_read(uv_stream_t *st, ssize_t n, const uv_buf_t *buf)
{
	conn_t *c = st->data;
	uv_buf_t out;

	(void)buf;
	if (n < 0) {
		if (!uv_is_closing((uv_handle_t *)st))
			uv_close((uv_handle_t *)st, on_conn_closed);
		return;
	}
	if (c->answered)
		return;
	c->answered = true;
	c->out = next_response(c->s);
	out = uv_buf_init(c->out, (unsigned int)strlen(c->out));
	c->write.data = c;
	uv_write(&c->write, st, &out, 1, on_written);
}

static void on_connection(uv_stream_t *st, int status)
{
	conn_t *c = g_new0(conn_t, 1);

	(void)status;
	c->s = st->data;
	c->tcp.data = c;
	uv_tcp_init(st->loop, &c->tcp);
	c->tcp.data = c;
	uv_accept(st, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void on_timeout(uv_timer_t *t)
{
	uv_stop(t->loop);
}

static void server_open(server_t *s, const char *const *responses)
{
	struct sockaddr_in sa;
	int n = sizeof(sa);

	memset(s, 0, sizeof(*s));
	s->responses = responses;
	s->events = g_string_new(NULL);
	s->counters = counters_new();
	uv_loop_init(&s->loop);
	uv_tcp_init(&s->loop, &s->listener);
	s->listener.data = s;
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0);
	uv_listen((uv_stream_t *)&s->listener, 16, on_connection);
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&sa, &n);
	g_strlcpy(s->addr.ip, "127.0.0.1", sizeof(s->addr.ip));
	s->addr.port = ntohs(sa.sin_port);
	uv_timer_init(&s->loop, &s->timeout);
	uv_timer_start(&s->timeout, on_timeout, TEST_TIMEOUT_MS, 0);
	s->http = httpc_new(&s->loop, s->counters);
	s->log = logc_new(&s->loop, s->http, &s->addr, "ns", "config", POLL_MS);
}

static void server_close(server_t *s)
{
	logc_free(s->log);
	httpc_free(s->http);
	uv_close((uv_handle_t *)&s->timeout, NULL);
	uv_close((uv_handle_t *)&s->listener, NULL);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	uv_loop_close(&s->loop);
	counters_free(s->counters);
	g_string_free(s->events, TRUE);
}

static void add_event(server_t *s, const char *fmt, uint64_t n)
{
	g_string_append_printf(s->events, fmt, (unsigned long long)n);
	if (s->until && g_str_has_suffix(s->events->str, s->until))
		uv_stop(&s->loop);
}

static void on_record(void *ctx, const log_record_t *r)
{
	add_event(ctx, "r%llu ", r->offset);
}

static void on_truncated(void *ctx, uint64_t first)
{
	add_event(ctx, "f%llu ", first);
}

static void on_caught_up(void *ctx, uint64_t next)
{
	add_event(ctx, "e%llu ", next);
}

static void on_reachable(void *ctx, bool yes)
{
	add_event(ctx, yes ? "up%.0llu " : "down%.0llu ", 0);
}

static const log_reader_ops_t reader = { on_record, on_truncated, on_caught_up,
					 on_reachable };

typedef struct read_case {
	const char *name;
	const char *responses[RESPONSES_MAX];
	const char *events;
} read_case_t;

#define EMPTY	 "{\"first\":1,\"next\":1,\"records\":[]}"
#define REC(n)	 "{\"offset\":" n ",\"data\":\"x\"}"
#define ONE	 "{\"first\":1,\"next\":2,\"records\":[" REC("1") "]}"
#define TWO	 "{\"first\":1,\"next\":3,\"records\":[" REC("1") "," REC("2") "]}"
#define SECOND	 "{\"first\":1,\"next\":3,\"records\":[" REC("2") "]}"
#define ALL_GONE "{\"first\":7,\"next\":7,\"records\":[]}"
#define GAP	 "{\"first\":5,\"next\":6,\"records\":[" REC("5") "]}"

static const read_case_t read_cases[] = {
	{ "empty", { EMPTY }, "up e1 " },
	{ "pages", { ONE, SECOND }, "up r1 e2 r2 e3 " },
	{ "stale page after an outage",
	  { TWO, STATUS("503"), ONE, TWO },
	  "up r1 r2 e3 down up e3 " },
	{ "records are gone", { ONE, GAP }, "up r1 e2 f5 r5 e6 " },
	{ "all records are gone", { ONE, ALL_GONE }, "up r1 e2 f7 e7 " },
	{ "malformed", { "{\"f", EMPTY }, "down up e1 " },
	{ "closed without a response", { "", EMPTY }, "down up e1 " },
};

START_TEST(reading)
{
	const read_case_t *c = &read_cases[_i];
	server_t s;

	server_open(&s, c->responses);
	s.until = c->events;
	logc_read(s.log, 1, &reader, &s);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	ck_assert_msg(strcmp(s.events->str, c->events) == 0, "%s: %s", c->name,
		      s.events->str);
	server_close(&s);
}
END_TEST

typedef struct append_case {
	const char *name;
	const char *responses[2];
	code_t code;
	uint64_t offset;
} append_case_t;

static const append_case_t append_cases[] = {
	{ "appended", { "{\"offset\":9}" }, CODE_OK, 9 },
	{ "throttled", { STATUS("429") }, CODE_THROTTLED, 0 },
	{ "outage", { STATUS("503") }, CODE_UNREACHABLE, 0 },
	{ "refused", { STATUS("400") }, CODE_UNREACHABLE, 0 },
	{ "error after the append", { STATUS("500") }, CODE_ANSWER_LOST, 0 },
	{ "closed without a response", { "" }, CODE_ANSWER_LOST, 0 },
	{ "truncated response",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{" },
	  CODE_ANSWER_LOST,
	  0 },
	{ "malformed response", { "{}" }, CODE_ANSWER_LOST, 0 },
};

static void on_appended(void *ctx, code_t code, uint64_t offset)
{
	server_t *s = ctx;

	g_string_append_printf(s->events, "%d %d", code, (int)offset);
	uv_stop(&s->loop);
}

static void expect_append(server_t *s, const append_case_t *c)
{
	char *want = g_strdup_printf("%d %d", c->code, (int)c->offset);

	logc_append(s->log, str_of("{}"), on_appended, s);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	ck_assert_msg(strcmp(s->events->str, want) == 0, "%s: %s", c->name,
		      s->events->str);
	g_free(want);
}

START_TEST(appending)
{
	server_t s;

	server_open(&s, append_cases[_i].responses);
	expect_append(&s, &append_cases[_i]);
	server_close(&s);
}
END_TEST

START_TEST(append_without_server)
{
	static const append_case_t c = {
		"no server", { NULL }, CODE_UNREACHABLE, 0
	};
	server_t s;
	server_t closed;

	server_open(&closed, c.responses);
	server_open(&s, c.responses);
	logc_free(s.log);
	s.log = logc_new(&s.loop, s.http, &closed.addr, "ns", "config",
			 POLL_MS);
	server_close(&closed);
	expect_append(&s, &c);
	server_close(&s);
}
END_TEST

START_TEST(an_append_wakes_the_reader)
{
	static const char *const responses[] = { EMPTY, "{\"offset\":1}", ONE,
						 NULL };
	server_t s;
	ms_t start = clock_now();

	server_open(&s, responses);
	logc_free(s.log);
	s.log = logc_new(&s.loop, s.http, &s.addr, "ns", "config",
			 TEST_TIMEOUT_MS);
	s.until = "e1 ";
	logc_read(s.log, 1, &reader, &s);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	logc_append(s.log, str_of("{}"), on_appended, &s);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	s.until = "e2 ";
	uv_run(&s.loop, UV_RUN_DEFAULT);
	ck_assert_str_eq(s.events->str, "up e1 0 1r1 e2 ");
	ck_assert_int_lt(clock_now() - start, TEST_TIMEOUT_MS / 2);
	server_close(&s);
}
END_TEST

static void on_hosts(void *ctx, const host_t *hosts, size_t n)
{
	server_t *s = ctx;

	for (size_t i = 0; i < n; i++)
		g_string_append_printf(s->events, "%.*s:%u%s ",
				       (int)hosts[i].name.n, hosts[i].name.p,
				       hosts[i].addr.port,
				       hosts[i].leaving ? " leaving" : "");
	uv_stop(&s->loop);
}

START_TEST(host_list)
{
	static const char *const responses[] = {
		STATUS("503"), "{}",
		"{\"hosts\":[{\"name\":\"a\",\"role\":\"entry\","
		"\"data_center\":\"x\",\"address\":\"127.0.0.1:1\","
		"\"state\":\"live\"},{\"name\":\"b\"},"
		"{\"name\":\"c\",\"role\":\"sidecar\",\"data_center\":\"x\","
		"\"address\":\"host:2\",\"state\":\"live\"},"
		"{\"name\":\"d\",\"role\":\"sidecar\",\"data_center\":\"x\","
		"\"address\":\"[::1]:3\",\"state\":\"leaving\"}]}",
		NULL
	};
	server_t s;
	hostsc_t *h;

	server_open(&s, responses);
	h = hostsc_new(&s.loop, s.http, &s.addr, POLL_MS, on_hosts, &s);
	uv_run(&s.loop, UV_RUN_DEFAULT);
	ck_assert_str_eq(s.events->str, "a:1 d:3 leaving ");
	hostsc_free(h);
	server_close(&s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("logc");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, reading, 0, G_N_ELEMENTS(read_cases));
	tcase_add_loop_test(tc, appending, 0, G_N_ELEMENTS(append_cases));
	tcase_add_test(tc, append_without_server);
	tcase_add_test(tc, an_append_wakes_the_reader);
	tcase_add_test(tc, host_list);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? 1 : 0;
}
